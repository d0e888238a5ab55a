package entry

import (
	"fmt"
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
