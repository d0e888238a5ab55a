package entry

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/elect"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/internal/hold"
	"github.com/laburnummux/laburnummux/internal/peerpb"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"google.golang.org/protobuf/proto"
)

const (
	capFrame = 60 // bytes that HTTP/2 and gRPC add to a batch or its answer
	capHop   = 1 * clock.Millisecond
	capWarm  = 44 * clock.Second // until the moves of the start, with its ramp, have ended
)

// capHost is one host's part in all cells of the group.
type capHost struct {
	name keys.Host
	boot uint64
	down bool
	part []*capPart
}

// capPart is one host's part in one cell.
type capPart struct {
	cell     int
	elect    *elect.State
	assign   *assign.State
	hold     *hold.State
	term     uint32
	pending  uint32
	assigner keys.Host
	answered clock.Time
}

type capLink struct{ from, to int }

type capBatch struct {
	link capLink
	boot uint64
	b    *peerpb.Batch
}

// capSim drives the decisions of a group's cells in simulated time, with a
// store that answers at once and servers that answer within a hop.
type capSim struct {
	now     clock.Time
	hosts   []*capHost
	cells   []keys.Cell
	roles   []elect.Role
	version []uint64
	last    []assign.Assignment
	gone    map[keys.Server]bool
	out     map[capLink]*peerpb.Batch
	fly     map[clock.Time][]capBatch
	reached map[clock.Time][]func()

	msgs, bytes               map[string]int // by kind of message
	batches, total, writes    int
	ticks, events             int
	tickTime, eventTime       time.Duration
	assignerTick, otherTick   time.Duration
	assignerTicks, otherTicks int
}

func newCapSim(hosts, cells, servers, ranges int) *capSim {
	m := &capSim{gone: map[keys.Server]bool{}, out: map[capLink]*peerpb.Batch{}, fly: map[clock.Time][]capBatch{},
		reached: map[clock.Time][]func(){}}
	m.reset()
	var names []keys.Host
	for i := range hosts {
		names = append(names, keys.Host(fmt.Sprintf("north-1-e%03d", i)))
		m.hosts = append(m.hosts, &capHost{name: names[i], boot: 1<<60 + uint64(i)})
	}
	voters := 3
	if hosts >= 5 {
		voters = 5
	}
	var role elect.Role
	role.Epoch = 1
	for _, h := range m.hosts[:voters] {
		role.Voters = append(role.Voters, elect.Voter{Host: h.name, Boot: h.boot})
	}
	for k := range cells {
		m.cells = append(m.cells, keys.Cell{Service: "catalogue", DataCentre: "north-1", Index: k})
		m.roles = append(m.roles, role)
		m.version = append(m.version, 1)
		a := assign.Assignment{Term: 1, Version: 1}
		for s := range servers {
			a.Owners = append(a.Owners, assign.Owner{Name: capServer(k, s), Address: fmt.Sprintf("10.0.%d.%d:8080", k, s), Checks: true})
		}
		for i, r := range keys.Full().Divide(servers * ranges) {
			a.Rows = append(a.Rows, assign.Row{Range: r, Server: i % servers})
		}
		m.last = append(m.last, a)
	}
	for i := range m.hosts {
		m.start(i)
	}
	return m
}

func capServer(cell, i int) keys.Server {
	return keys.Server(fmt.Sprintf("catalogue-north-1-%03d", cell*16+i))
}

func (m *capSim) reset() {
	m.msgs, m.bytes = map[string]int{}, map[string]int{}
	m.batches, m.total, m.writes, m.ticks, m.events = 0, 0, 0, 0, 0
	m.tickTime, m.eventTime, m.assignerTick, m.otherTick, m.assignerTicks, m.otherTicks = 0, 0, 0, 0, 0, 0
}

// start begins a run of a host.
func (m *capSim) start(i int) {
	h := m.hosts[i]
	h.part, h.down = nil, false
	var group []keys.Host
	for _, g := range m.hosts {
		group = append(group, g.name)
	}
	for k, c := range m.cells {
		p := &capPart{cell: k,
			elect:  elect.New(elect.Config{Self: h.name, Boot: h.boot, Cell: c, Group: group, Seed: uint64(i*1000 + k)}),
			assign: assign.New(assign.Config{Cell: c, Interval: keys.Full()}),
			hold:   hold.New(hold.Config{Cell: c, Host: h.name}),
		}
		for s, o := range m.last[k].Owners {
			p.assign.Step(m.now, assign.ServerSeen{Server: capServer(k, s), Address: o.Address, Slots: 6, Weight: 1, Checks: true, State: assign.Ready})
		}
		h.part = append(h.part, p)
	}
}

func (m *capSim) index(name keys.Host) int {
	for i, h := range m.hosts {
		if h.name == name {
			return i
		}
	}
	return -1
}

func (m *capSim) send(from int, to keys.Host, kind string, msg *peerpb.Message) {
	l := capLink{from, m.index(to)}
	b := m.out[l]
	if b == nil {
		b = &peerpb.Batch{From: string(m.hosts[from].name), Boot: m.hosts[from].boot}
		m.out[l] = b
	}
	b.Messages = append(b.Messages, msg)
	m.msgs[kind]++
	m.bytes[kind] += proto.Size(msg)
}

func (m *capSim) toGroup(from int, kind string, msg *peerpb.Message) {
	for i, h := range m.hosts {
		if i != from {
			m.send(from, h.name, kind, msg)
		}
	}
}

// run lets d pass in steps of 1 ms: all messages between two hosts in one step
// are one batch.
func (m *capSim) run(d clock.Span) {
	for end := m.now.Add(d); m.now < end; m.now++ {
		for _, f := range m.reached[m.now] {
			f()
		}
		delete(m.reached, m.now)
		for _, c := range m.fly[m.now] {
			m.deliver(c)
		}
		delete(m.fly, m.now)
		for i, h := range m.hosts {
			if h.down {
				continue
			}
			if (m.now+clock.Time(i))%10 == 0 {
				for _, p := range h.part {
					m.tick(i, p)
				}
			}
			if (m.now+clock.Time(7*i))%200 == 0 {
				m.toGroup(i, "digest", &peerpb.Message{Body: &peerpb.Message_Digest{Digest: &peerpb.Digest{Revision: 1000,
					Hosts: []*peerpb.HostBeat{{Host: string(h.name), Boot: h.boot}}}}})
			}
			if (m.now+clock.Time(13*i))%100 == 0 {
				for _, p := range h.part {
					for _, s := range p.hold.Servers() {
						m.probe(i, p, s, 0)
					}
					m.load(p)
				}
			}
		}
		for i := range m.hosts { // in a fixed order, so that runs repeat
			for j := range m.hosts {
				l := capLink{i, j}
				b := m.out[l]
				if b == nil {
					continue
				}
				delete(m.out, l)
				m.batches++
				m.total += proto.Size(b) + 2*capFrame + proto.Size(&peerpb.Batch{From: b.From, Boot: b.Boot})
				m.fly[m.now.Add(capHop)] = append(m.fly[m.now.Add(capHop)], capBatch{l, b.Boot, b})
			}
		}
	}
}

// load makes a request for each range, so that all have the same rate.
func (m *capSim) load(p *capPart) {
	for _, s := range p.hold.Dump().Servers {
		for _, r := range s.Records {
			if _, err := p.hold.Begin(m.now, s.Server, r.Range.Lo()); err == nil {
				p.hold.End(m.now, s.Server, r.Range.Lo())
			}
		}
	}
}

func (m *capSim) probe(i int, p *capPart, s keys.Server, seq uint64) {
	sent := m.now
	boot := m.hosts[i].boot
	at := m.now.Add(capHop)
	if m.gone[s] {
		at = m.now.Add(100)
	}
	m.reached[at] = append(m.reached[at], func() {
		switch {
		case m.hosts[i].down || m.hosts[i].boot != boot:
		case m.gone[s]:
			m.holdStep(i, p, hold.Missed{Server: s})
		default:
			m.holdStep(i, p, hold.Reached{Server: s, Sent: sent, ServerClock: sent, Boot: "b", State: grant.Ready, Slots: 6, Seq: seq})
		}
	})
}

func (m *capSim) tick(i int, p *capPart) {
	events, timed := m.events, time.Now()
	m.electStep(i, p, elect.Tick{})
	m.assignStep(i, p, assign.Tick{})
	m.holdStep(i, p, hold.Tick{})
	m.events = events
	d := time.Since(timed)
	m.ticks++
	m.tickTime += d
	if p.term != 0 {
		m.assignerTick += d
		m.assignerTicks++
	} else {
		m.otherTick += d
		m.otherTicks++
	}
}

func (m *capSim) electStep(i int, p *capPart, ev elect.Event) {
	c := m.cells[p.cell]
	m.events++
	if a, ok := ev.(elect.Asked); ok && a.Term != 0 && p.term == 0 {
		p.assigner = a.From
	}
	for _, a := range p.elect.Step(m.now, ev) {
		switch a := a.(type) {
		case elect.Ask:
			m.send(i, a.To, "promise-ask", askToWire(c, a))
		case elect.Reply:
			m.send(i, a.To, "promise-reply", replyToWire(c, a))
		case elect.Release:
			m.send(i, a.To, "promise-release", releaseToWire(c, a))
		case elect.ReadRole:
			m.electStep(i, p, elect.RoleRead{Op: a.Op, Role: m.roles[p.cell], Version: m.version[p.cell], Found: true})
		case elect.WriteRole:
			if m.writes++; a.IfVersion != m.version[p.cell] {
				m.electStep(i, p, elect.RoleConflict{Op: a.Op})
				break
			}
			m.version[p.cell]++
			m.roles[p.cell] = a.Role
			m.electStep(i, p, elect.RoleWritten{Op: a.Op, Version: m.version[p.cell]})
		case elect.Became:
			if p.term != 0 || p.pending != 0 {
				break
			}
			p.pending = a.Term
			m.reached[m.now.Add(tableGrace)] = append(m.reached[m.now.Add(tableGrace)], func() {
				if p.pending != 0 {
					p.term, p.pending = p.pending, 0
					m.assignStep(i, p, assign.Elected{Term: p.term, Assignment: m.last[p.cell]})
				}
			})
		case elect.Lost:
			p.term, p.pending, p.assigner = 0, 0, ""
			p.assign.Step(m.now, assign.Lost{})
		}
	}
}

func (m *capSim) assignStep(i int, p *capPart, ev assign.Event) {
	if _, ok := p.elect.Holding(m.now); !ok || p.term == 0 {
		return
	}
	c := m.cells[p.cell]
	m.events++
	for _, a := range p.assign.Step(m.now, ev) {
		switch a := a.(type) {
		case assign.Grant:
			if a.To == m.hosts[i].name {
				m.holdStep(i, p, hold.Granted{Nonce: a.Nonce, Term: a.Term, Seq: a.Seq, Span: a.Span, Servers: a.Servers})
			} else {
				m.send(i, a.To, "renew-reply", grantToWire(c, a))
			}
		case assign.Store:
			m.writes++
			m.version[p.cell]++
			m.last[p.cell] = a.Assignment
			m.electStep(i, p, elect.RoleRead{Role: m.roles[p.cell], Version: m.version[p.cell], Found: true})
			m.assignStep(i, p, assign.Stored{Version: a.Assignment.Version})
		case assign.Publish:
			if t, err := tableToWire(m.hosts[i].name, a.Table); err == nil {
				m.toGroup(i, "table", t)
			}
		}
	}
}

func (m *capSim) holdStep(i int, p *capPart, ev hold.Event) {
	c := m.cells[p.cell]
	m.events++
	for _, a := range p.hold.Step(m.now, ev) {
		switch a := a.(type) {
		case hold.Renew:
			switch {
			case p.term != 0:
				m.assignStep(i, p, assign.Renew{From: m.hosts[i].name, Boot: m.hosts[i].boot, Nonce: a.Nonce, Ack: a.Ack, Servers: a.Servers})
			case p.assigner != "" && m.now.Sub(p.answered) < assignerSilence:
				m.send(i, p.assigner, "renew-ask", renewToWire(c, a))
			default:
				m.toGroup(i, "renew-ask", renewToWire(c, a))
			}
		case hold.Push:
			m.probe(i, p, a.Server, a.Seq)
		case hold.Transfer:
			m.holdStep(i, p, hold.Transferred{Range: a.Range, Fence: a.Fence, OK: true})
		}
	}
}

func (m *capSim) deliver(c capBatch) {
	h := m.hosts[c.link.to]
	if h.down || m.hosts[c.link.from].down || m.hosts[c.link.from].boot != c.boot {
		return
	}
	from, i := m.hosts[c.link.from].name, c.link.to
	for _, msg := range c.b.Messages {
		timed := time.Now()
		switch b := msg.GetBody().(type) {
		case *peerpb.Message_PromiseAsk:
			a := b.PromiseAsk
			m.electStep(i, h.part[a.GetCell().GetIndex()], elect.Asked{From: from, FromBoot: c.boot, ToBoot: a.GetToBoot(), Term: a.GetTerm(),
				Nonce: a.GetNonce(), Version: a.GetVersion(), Role: roleFromWire(a.GetRole())})
		case *peerpb.Message_PromiseReply:
			a := b.PromiseReply
			m.electStep(i, h.part[a.GetCell().GetIndex()], elect.Replied{From: from, FromBoot: c.boot, ToBoot: a.GetToBoot(), Nonce: a.GetNonce(),
				Granted: a.GetGranted(), Highest: a.GetHighest(), Version: a.GetVersion(), Role: roleFromWire(a.GetRole())})
		case *peerpb.Message_PromiseRelease:
			if a := b.PromiseRelease; a.GetToBoot() == h.boot {
				m.electStep(i, h.part[a.GetCell().GetIndex()], elect.Released{From: from, FromBoot: c.boot, Nonce: a.GetNonce()})
			}
		case *peerpb.Message_RenewAsk:
			m.assignStep(i, h.part[b.RenewAsk.GetCell().GetIndex()], renewFromWire(from, c.boot, b.RenewAsk))
		case *peerpb.Message_RenewReply:
			if p := h.part[b.RenewReply.GetCell().GetIndex()]; b.RenewReply.GetToBoot() == h.boot {
				p.assigner, p.answered = from, m.now
				m.holdStep(i, p, grantFromWire(b.RenewReply))
			}
		case *peerpb.Message_Digest:
			for _, p := range h.part {
				m.electStep(i, p, elect.PeerBoot{Host: from, Boot: c.boot})
				m.assignStep(i, p, assign.HostSeen{Host: from, Live: true})
			}
		}
		m.eventTime += time.Since(timed)
	}
}

// unowned counts sample hashes that no live host may send to a live server.
func (m *capSim) unowned(samples []keys.Hash) (n int) {
	for _, x := range samples {
		ok := false
		for _, h := range m.hosts {
			for k := 0; !h.down && k < len(h.part) && !ok; k++ {
				for s := range m.last[k].Owners {
					name := capServer(k, s)
					if m.gone[name] {
						continue
					}
					if _, err := h.part[k].hold.Check(m.now, name, x); err == nil {
						ok = true
					}
				}
			}
		}
		if !ok {
			n++
		}
	}
	return n
}

func (m *capSim) assigner(cell int) int {
	for i, h := range m.hosts {
		if _, ok := h.part[cell].elect.Holding(m.now); ok && !h.down {
			return i
		}
	}
	return -1
}

func (m *capSim) rows() (n int) {
	for _, a := range m.last {
		n += len(a.Rows)
	}
	return n
}

// BenchmarkControl measures what the control of one group costs per simulated
// second. Run it with -benchtime 1x. Counts repeat exactly; times don't.
func BenchmarkControl(b *testing.B) {
	for _, tt := range []struct{ hosts, cells, servers, ranges int }{
		{3, 1, 2, 8}, {3, 1, 8, 8}, {3, 1, 16, 8}, {3, 1, 2, 64}, {3, 1, 8, 64}, {3, 1, 16, 64},
		{4, 1, 2, 8}, {4, 1, 8, 8}, {4, 1, 16, 8}, {4, 1, 2, 64}, {4, 1, 8, 64}, {4, 1, 16, 64},
		{8, 1, 2, 8}, {8, 1, 8, 8}, {8, 1, 16, 8}, {8, 1, 2, 64}, {8, 1, 8, 64}, {8, 1, 16, 64},
		{8, 4, 16, 8}, {8, 5, 16, 8}, {8, 20, 16, 8}, {8, 50, 16, 8},
	} {
		b.Run(fmt.Sprintf("hosts=%d/cells=%d/servers=%d/ranges=%d", tt.hosts, tt.cells, tt.servers, tt.ranges), func(b *testing.B) {
			for range b.N {
				m := newCapSim(tt.hosts, tt.cells, tt.servers, tt.ranges)
				m.run(capWarm)
				if n := m.unowned([]keys.Hash{0, 1 << 40, 1 << 63}); n > 0 {
					b.Fatalf("%d of 3 hashes have no owner", n)
				}
				m.reset()
				rows := m.rows()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				m.run(clock.Second)
				runtime.ReadMemStats(&after)
				perHost := func(n int) float64 { return float64(n) / float64(tt.hosts) }
				b.ReportMetric(float64(rows)/float64(tt.cells), "rows/cell")
				for kind, n := range m.msgs {
					b.ReportMetric(float64(n)/float64(tt.cells), kind+"/cell")
					b.ReportMetric(float64(m.bytes[kind])/float64(tt.cells), kind+"-B/cell")
				}
				b.ReportMetric(perHost(m.batches), "batches/host")
				b.ReportMetric(perHost(m.total), "sent-B/host")
				b.ReportMetric(float64(m.writes), "writes")
				b.ReportMetric(float64(m.assignerTick)/float64(max(m.assignerTicks, 1))/1000, "us/assigner-tick")
				b.ReportMetric(float64(m.otherTick)/float64(max(m.otherTicks, 1))/1000, "us/other-tick")
				b.ReportMetric(perHost(int(m.tickTime+m.eventTime))/1e6, "cpu-ms/host")
				b.ReportMetric(perHost(int(after.Mallocs-before.Mallocs)), "allocs/host")
			}
		})
	}
}

// BenchmarkIdleTick measures a tick of elect, assign and hold with nothing due.
func BenchmarkIdleTick(b *testing.B) {
	for _, tt := range []struct{ servers, ranges int }{{2, 8}, {8, 8}, {16, 8}, {2, 64}, {8, 64}, {16, 64}} {
		m := newCapSim(8, 1, tt.servers, tt.ranges)
		m.run(capWarm + 5) // between two renewals
		a := m.assigner(0)
		for _, bb := range []struct {
			name string
			host int
		}{{"assigner", a}, {"other", (a + 1) % len(m.hosts)}} {
			p := m.hosts[bb.host].part[0]
			b.Run(fmt.Sprintf("%s/servers=%d/ranges=%d", bb.name, tt.servers, tt.ranges), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					p.elect.Step(m.now, elect.Tick{})
					if p.term != 0 {
						p.assign.Step(m.now, assign.Tick{})
					}
					p.hold.Step(m.now, hold.Tick{})
				}
			})
		}
	}
}

// BenchmarkFailure measures a loss in one cell of 16 servers and a group of 8:
// messages, bytes and writes above those of an equally long idle time, and the
// time for which sample hashes had no owner. Run it with -benchtime 1x.
func BenchmarkFailure(b *testing.B) {
	var samples []keys.Hash
	for _, r := range keys.Full().Divide(128) {
		samples = append(samples, r.Lo())
	}
	other := func(m *capSim) int { return (m.assigner(0) + 1) % len(m.hosts) }
	lose := func(m *capSim, i int) { m.hosts[i].down = true }
	for _, tt := range []struct {
		name string
		fail func(m *capSim)
		back bool
	}{
		{"none", func(*capSim) {}, false},
		{"server", func(m *capSim) { m.gone[capServer(0, 3)] = true }, false},
		{"dispatcher", func(m *capSim) { lose(m, other(m)) }, false},
		{"assigner", func(m *capSim) { lose(m, m.assigner(0)) }, false},
		{"assigner+server", func(m *capSim) { m.gone[capServer(0, 3)] = true; lose(m, m.assigner(0)) }, false},
		{"assigner+dispatcher", func(m *capSim) { o := other(m); lose(m, m.assigner(0)); lose(m, o) }, false},
		{"restart", func(m *capSim) { lose(m, m.assigner(0)) }, true},
	} {
		b.Run(tt.name, func(b *testing.B) {
			const seeds, step = 5, 5 * clock.Millisecond
			msgs, bytes, writes, keyMs, longest := 0, 0, 0, clock.Span(0), clock.Span(0)
			for seed := range seeds * b.N {
				m := newCapSim(8, 1, 16, 8)
				m.run(capWarm + clock.Span(17*seed))
				m.reset()
				tt.fail(m)
				gap := make(map[keys.Hash]clock.Span)
				for t := range clock.Span(10 * clock.Second) {
					if tt.back && t == 2*clock.Second {
						for i, h := range m.hosts {
							if h.down {
								h.boot += 1000
								m.start(i)
							}
						}
					}
					if m.run(1); t > 2500 || t%step != 0 {
						continue
					}
					for _, x := range samples {
						if m.unowned([]keys.Hash{x}) == 0 {
							gap[x] = 0
						} else {
							gap[x] += step
							keyMs += step
							longest = max(longest, gap[x])
						}
					}
				}
				for _, n := range m.msgs {
					msgs += n
				}
				bytes += m.total
				writes += m.writes
			}
			n := float64(seeds * b.N)
			b.ReportMetric(float64(msgs)/n, "msgs")
			b.ReportMetric(float64(bytes)/n, "bytes")
			b.ReportMetric(float64(writes)/n, "writes")
			b.ReportMetric(float64(keyMs)/n/float64(len(samples)), "ms-unowned/key")
			b.ReportMetric(float64(longest), "longest-ms")
		})
	}
}

// BenchmarkHeap measures the heap of a group's decisions, and the stored object.
func BenchmarkHeap(b *testing.B) {
	for _, tt := range []struct{ servers, ranges int }{{2, 8}, {8, 8}, {16, 8}, {2, 64}, {8, 64}, {16, 64}} {
		b.Run(fmt.Sprintf("servers=%d/ranges=%d", tt.servers, tt.ranges), func(b *testing.B) {
			for range b.N {
				const cells = 8
				m := newCapSim(8, cells, tt.servers, tt.ranges)
				m.run(capWarm)
				m.fly, m.reached, m.out = nil, nil, nil
				rows := float64(m.rows()) / cells
				a := m.last[0]
				doc, err := json.Marshal(cellObject{Role: m.roles[0], Assignment: a})
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(rows, "rows/cell")
				b.ReportMetric(float64(len(doc)), "stored-B/cell")
				b.ReportMetric(float64(len(doc))/rows, "stored-B/range")
				push := grantBody{ValidUntil: 1 << 40, From: "north-1-e001/1fffffffffffffff", Seq: 1 << 20, Boot: "1fffffffffffffff"}
				for _, r := range a.Rows[:tt.ranges] {
					push.Grants = append(push.Grants, grantRow{r.Range, r.Fence})
				}
				if doc, err = json.Marshal(push); err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(doc)), "push-B/server")
				before := capHeap()
				for _, f := range []struct {
					unit string
					drop func(*capPart)
				}{
					{"hold-B/cell", func(p *capPart) { p.hold = nil }},
					{"elect-B/cell", func(p *capPart) { p.elect = nil }},
					{"assign-B/cell", func(p *capPart) { p.assign = nil }},
				} {
					for _, h := range m.hosts {
						for _, p := range h.part {
							f.drop(p)
						}
					}
					after := capHeap()
					b.ReportMetric(float64(before-after)/cells, f.unit)
					before = after
				}
				table := routeTable(assign.Table{Cell: m.cells[0], Assignment: a, Stored: true}, "h")
				b.ReportMetric(float64(capHeap()-before), "route-B/cell")
				runtime.KeepAlive(table)
				runtime.KeepAlive(m)
			}
		})
	}
}

func capHeap() int64 {
	runtime.GC()
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
}
