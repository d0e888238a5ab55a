package entry

import (
	"fmt"
	"time"

	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/elect"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/internal/lease"
	"github.com/laburnummux/laburnummux/internal/peerpb"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"google.golang.org/protobuf/proto"
)

const (
	frameBytes  = 60 // bytes that HTTP/2 and gRPC add to a batch or its response
	hopTime     = 1 * clock.Millisecond
	startupTime = 44 * clock.Second // until the moves after the start, including the warm-up, have ended
)

// simHost is a host of the group with its state for all cells.
type simHost struct {
	name        keys.Host
	incarnation uint64
	down        bool
	cells       []*simCell
}

// simCell is the state of one host for one cell.
type simCell struct {
	index           int
	elect           *elect.State
	assign          *assign.State
	leases          *lease.State
	term            uint32
	electedTerm     uint32
	assigner        keys.Host
	assignerReplyAt clock.Time
}

type simLink struct{ from, to int }

type simBatch struct {
	link        simLink
	incarnation uint64
	batch       *peerpb.Batch
}

// controlSim runs the decision packages for a group's cells in simulated time,
// with a store that responds at once and servers that respond within hopTime.
type controlSim struct {
	now         clock.Time
	hosts       []*simHost
	cells       []keys.Cell
	roles       []elect.Role
	versions    []uint64
	assignments []assign.Assignment
	lostServers map[keys.Server]bool
	outgoing    map[simLink]*peerpb.Batch
	inTransit   map[clock.Time][]simBatch
	timers      map[clock.Time][]func()

	messages, bytes                  map[string]int // by kind of message
	batches, totalBytes, storeWrites int
	ticks, events                    int
	tickTime, eventTime              time.Duration
	assignerTick, otherTick          time.Duration
	assignerTicks, otherTicks        int
}

func newControlSim(hosts, cells, servers, ranges int) *controlSim {
	m := &controlSim{lostServers: map[keys.Server]bool{}, outgoing: map[simLink]*peerpb.Batch{}, inTransit: map[clock.Time][]simBatch{},
		timers: map[clock.Time][]func(){}}
	m.resetCounters()
	var names []keys.Host
	for i := range hosts {
		names = append(names, keys.Host(fmt.Sprintf("north-1-e%03d", i)))
		m.hosts = append(m.hosts, &simHost{name: names[i], incarnation: 1<<60 + uint64(i)})
	}
	voters := 3
	if hosts >= 5 {
		voters = 5
	}
	var role elect.Role
	role.Epoch = 1
	for _, h := range m.hosts[:voters] {
		role.Voters = append(role.Voters, elect.Voter{Host: h.name, Incarnation: h.incarnation})
	}
	for k := range cells {
		m.cells = append(m.cells, keys.Cell{Service: "catalogue", DataCentre: "north-1", Index: k})
		m.roles = append(m.roles, role)
		m.versions = append(m.versions, 1)
		a := assign.Assignment{Term: 1, Version: 1}
		for s := range servers {
			a.Owners = append(a.Owners, assign.Owner{Name: simServerName(k, s), Address: fmt.Sprintf("10.0.%d.%d:8080", k, s), ChecksFences: true})
		}
		for i, r := range keys.FullRange().Divide(servers * ranges) {
			a.Ranges = append(a.Ranges, assign.Range{Hashes: r, Server: i % servers})
		}
		m.assignments = append(m.assignments, a)
	}
	for i := range m.hosts {
		m.startHost(i)
	}
	return m
}

func simServerName(cell, i int) keys.Server {
	return keys.Server(fmt.Sprintf("catalogue-north-1-%03d", cell*16+i))
}

func (m *controlSim) resetCounters() {
	m.messages, m.bytes = map[string]int{}, map[string]int{}
	m.batches, m.totalBytes, m.storeWrites, m.ticks, m.events = 0, 0, 0, 0, 0
	m.tickTime, m.eventTime, m.assignerTick, m.otherTick, m.assignerTicks, m.otherTicks = 0, 0, 0, 0, 0, 0
}

// startHost starts a new incarnation of a host.
func (m *controlSim) startHost(i int) {
	h := m.hosts[i]
	h.cells, h.down = nil, false
	var group []keys.Host
	for _, g := range m.hosts {
		group = append(group, g.name)
	}
	for k, name := range m.cells {
		c := &simCell{index: k,
			elect:  elect.New(elect.Config{Self: h.name, Incarnation: h.incarnation, Cell: name, Group: group, Seed: uint64(i*1000 + k)}),
			assign: assign.New(assign.Config{Cell: name, Interval: keys.FullRange()}),
			leases: lease.New(lease.Config{Cell: name, Host: h.name}),
		}
		for s, o := range m.assignments[k].Owners {
			c.assign.Step(m.now, assign.ServerListed{Server: simServerName(k, s), Address: o.Address, Slots: 6, Weight: 1, ChecksFences: true, State: assign.Ready})
		}
		h.cells = append(h.cells, c)
	}
}

func (m *controlSim) index(name keys.Host) int {
	for i, h := range m.hosts {
		if h.name == name {
			return i
		}
	}
	return -1
}

func (m *controlSim) send(from int, to keys.Host, kind string, msg *peerpb.Message) {
	l := simLink{from, m.index(to)}
	b := m.outgoing[l]
	if b == nil {
		b = &peerpb.Batch{From: string(m.hosts[from].name), Boot: m.hosts[from].incarnation}
		m.outgoing[l] = b
	}
	b.Messages = append(b.Messages, msg)
	m.messages[kind]++
	m.bytes[kind] += proto.Size(msg)
}

func (m *controlSim) sendToGroup(from int, kind string, msg *peerpb.Message) {
	for i, h := range m.hosts {
		if i != from {
			m.send(from, h.name, kind, msg)
		}
	}
}

// run advances the simulated time by d in steps of 1 ms. All messages from one
// host to another in one step are sent as one batch.
func (m *controlSim) run(d clock.Span) {
	for end := m.now.Add(d); m.now < end; m.now++ {
		for _, f := range m.timers[m.now] {
			f()
		}
		delete(m.timers, m.now)
		for _, sb := range m.inTransit[m.now] {
			m.deliver(sb)
		}
		delete(m.inTransit, m.now)
		for i, h := range m.hosts {
			if h.down {
				continue
			}
			if (m.now+clock.Time(i))%10 == 0 {
				for _, c := range h.cells {
					m.tick(i, c)
				}
			}
			if (m.now+clock.Time(7*i))%200 == 0 {
				m.sendToGroup(i, "digest", &peerpb.Message{Body: &peerpb.Message_Digest{Digest: &peerpb.Digest{Revision: 1000,
					Hosts: []*peerpb.HostBeat{{Host: string(h.name), Boot: h.incarnation}}}}})
			}
			if (m.now+clock.Time(13*i))%100 == 0 {
				for _, c := range h.cells {
					for _, s := range c.leases.Servers() {
						m.probe(i, c, s, 0)
					}
					m.simulateLoad(c)
				}
			}
		}
		for i := range m.hosts { // in a fixed order, for reproducible runs
			for j := range m.hosts {
				l := simLink{i, j}
				b := m.outgoing[l]
				if b == nil {
					continue
				}
				delete(m.outgoing, l)
				m.batches++
				m.totalBytes += proto.Size(b) + 2*frameBytes + proto.Size(&peerpb.Batch{From: b.From, Boot: b.Boot})
				m.inTransit[m.now.Add(hopTime)] = append(m.inTransit[m.now.Add(hopTime)], simBatch{l, b.Boot, b})
			}
		}
	}
}

// simulateLoad sends one request per range, so that all ranges have the same rate.
func (m *controlSim) simulateLoad(c *simCell) {
	for _, s := range c.leases.Dump().Servers {
		for _, r := range s.Leases {
			if _, err := c.leases.Begin(m.now, s.Server, r.Range.Lo()); err == nil {
				c.leases.End(m.now, s.Server, r.Range.Lo())
			}
		}
	}
}

func (m *controlSim) probe(i int, c *simCell, s keys.Server, seq uint64) {
	sent := m.now
	incarnation := m.hosts[i].incarnation
	at := m.now.Add(hopTime)
	if m.lostServers[s] {
		at = m.now.Add(100)
	}
	m.timers[at] = append(m.timers[at], func() {
		switch {
		case m.hosts[i].down || m.hosts[i].incarnation != incarnation:
		case m.lostServers[s]:
			m.leaseStep(i, c, lease.Unanswered{Server: s})
		default:
			m.leaseStep(i, c, lease.Response{Server: s, Sent: sent, ServerClock: sent, Incarnation: "b", State: grant.Ready, Slots: 6, Seq: seq})
		}
	})
}

// unowned counts the sample hashes that no live host may send to a live server.
func (m *controlSim) unowned(samples []keys.Hash) (n int) {
	for _, x := range samples {
		ok := false
		for _, h := range m.hosts {
			for k := 0; !h.down && k < len(h.cells) && !ok; k++ {
				for s := range m.assignments[k].Owners {
					name := simServerName(k, s)
					if m.lostServers[name] {
						continue
					}
					if _, err := h.cells[k].leases.Check(m.now, name, x); err == nil {
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

func (m *controlSim) assigner(cell int) int {
	for i, h := range m.hosts {
		if _, ok := h.cells[cell].elect.Holding(m.now); ok && !h.down {
			return i
		}
	}
	return -1
}

func (m *controlSim) rangeCount() (n int) {
	for _, a := range m.assignments {
		n += len(a.Ranges)
	}
	return n
}
