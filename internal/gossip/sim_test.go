package gossip

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// node is a simulated entry host.
type node struct {
	s                *State
	cfg              Config
	dc               int
	down             bool
	wasReady         bool
	earlierRevision  uint64 // highest revision in force in any earlier incarnation while ready
	receivedRevision uint64 // highest revision that this incarnation received from a peer or the store
	storeRead        bool   // this incarnation read the store
}

type delivery struct {
	to          int
	incarnation uint64 // the incarnation that the message is for, or 0 for any
	ev          Event
	fetch       *Fetch // a request of host from
	from        int
}

// sim delivers messages between hosts with delays, loss and duplication.
type sim struct {
	t                testing.TB
	rng              *rand.Rand
	now              clock.Time
	nodes            []*node
	byName           map[keys.Host]int
	queue            [1024][]delivery
	dcs              int
	lossRate         float64
	duplicateRate    float64
	partitioned      []bool // by data centre: partitioned from the others
	storePartitioned []bool // by data centre: partitioned from the store
	revision         uint64
	body             []byte
	acceptedAt       []clock.Time
	latency          []clock.Span // from acceptance until in force, of every host and revision
	messages         int
	requestBytes     int // digests and requests
	responseBytes    int // responses to fetches
	steps            int
}

func newSim(t testing.TB, hosts, dcs, group int, seed uint64) *sim {
	m := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), byName: make(map[keys.Host]int), dcs: dcs,
		partitioned: make([]bool, dcs), storePartitioned: make([]bool, dcs), body: make([]byte, 4096), acceptedAt: []clock.Time{0},
	}
	for i := range hosts {
		name := keys.Host(fmt.Sprintf("north-%d-%04d", i%dcs+1, i/dcs))
		m.byName[name] = i
		m.nodes = append(m.nodes, &node{dc: i % dcs, cfg: Config{Host: name, DataCentre: dcName(i % dcs), Seed: seed + uint64(i)}})
	}
	for i, n := range m.nodes {
		first := i / dcs / group * group
		for j := first; j < first+group && j*dcs+n.dc < hosts; j++ {
			n.cfg.Group = append(n.cfg.Group, m.nodes[j*dcs+n.dc].cfg.Host)
		}
		m.startHost(i)
	}
	return m
}

func dcName(dc int) keys.DataCentre { return keys.DataCentre(fmt.Sprintf("north-%d", dc+1)) }

// startHost starts a new incarnation of a host without state.
func (m *sim) startHost(i int) {
	n := m.nodes[i]
	if n.wasReady {
		n.earlierRevision = max(n.earlierRevision, n.s.revision)
	}
	n.cfg.Incarnation = 1<<60 + uint64(m.now)<<12 + n.cfg.Incarnation&0xfff + 1
	n.s, n.down, n.wasReady, n.receivedRevision, n.storeRead = New(n.cfg), false, false, 0, false
	m.step(i, HostList{m.members()})
}

func (m *sim) members() []Member {
	var l []Member
	for _, n := range m.nodes {
		if !n.down {
			l = append(l, Member{Host: n.cfg.Host, DataCentre: dcName(n.dc)})
		}
	}
	return l
}

func (m *sim) sendList() {
	l := m.members()
	for i := range m.nodes {
		m.step(i, HostList{l})
	}
}

// accept stores a new revision.
func (m *sim) accept() {
	m.revision++
	m.acceptedAt = append(m.acceptedAt, m.now)
}

func (m *sim) schedule(d clock.Span, v delivery) {
	at := (int64(m.now) + int64(max(d, 1))) % int64(len(m.queue))
	m.queue[at] = append(m.queue[at], v)
}

// delay returns 1-2 ms in a data centre, 1-5 ms in a region and 35-70 ms between
// the two regions, which have the even and the odd data centres.
func (m *sim) delay(a, b int) clock.Span {
	switch {
	case a == b:
		return 1 + clock.Span(m.rng.IntN(2))
	case m.dcs < 7 || a%2 == b%2:
		return 1 + clock.Span(m.rng.IntN(5))
	}
	return 35 + clock.Span(m.rng.IntN(36))
}

func (m *sim) send(from int, to keys.Host, v delivery, size int) {
	m.messages++
	j, ok := m.byName[to]
	a, b := m.nodes[from].dc, m.nodes[j].dc
	if !ok || a != b && (m.partitioned[a] || m.partitioned[b]) {
		return
	}
	v.to, v.from = j, from
	copies := 1
	if m.duplicateRate > 0 && m.rng.Float64() < m.duplicateRate {
		copies = 2
	}
	for range copies {
		if m.lossRate > 0 && m.rng.Float64() < m.lossRate {
			continue
		}
		d := m.delay(a, b)
		if m.duplicateRate > 0 && m.rng.IntN(10) == 0 {
			d += clock.Span(m.rng.IntN(900)) // late and out of order
		}
		m.schedule(d, v)
	}
	if v.fetch == nil {
		if f, ok := v.ev.(FetchResponse); ok {
			m.responseBytes += f.Size()
			return
		}
	}
	m.requestBytes += size
}

func (m *sim) step(i int, ev Event) {
	n := m.nodes[i]
	if n.down {
		return
	}
	m.steps++
	before := n.s.revision
	switch ev := ev.(type) {
	case FetchResponse:
		n.receivedRevision = max(n.receivedRevision, ev.Revision)
	case StoreRead:
		n.receivedRevision, n.storeRead = max(n.receivedRevision, ev.Revision), true
	}
	for _, a := range n.s.Step(m.now, ev) {
		switch a := a.(type) {
		case SendDigest:
			m.send(i, a.To, delivery{ev: DigestReceived{n.cfg.Host, n.cfg.Incarnation, a.Digest}}, a.Digest.Size(n.cfg.Host))
		case Fetch:
			m.send(i, a.From, delivery{fetch: &a}, a.Size(n.cfg.Host))
		case ReadStore:
			m.schedule(5, delivery{to: i, incarnation: n.cfg.Incarnation, ev: m.readStore(n)})
		case ApplyRevision:
			if a.Revision <= before || a.Revision > m.revision {
				m.t.Fatalf("%s replaced revision %d by %d; the store has %d", n.cfg.Host, before, a.Revision, m.revision)
			}
			for r := before + 1; r <= a.Revision; r++ {
				m.latency = append(m.latency, m.now.Sub(m.acceptedAt[r]))
			}
			before = a.Revision
		}
	}
	if n.s.revision != before {
		m.t.Fatalf("%s has revision %d without ApplyRevision", n.cfg.Host, n.s.revision)
	}
	if n.s.Ready() && !n.wasReady {
		n.wasReady = true
		if n.s.revision < n.receivedRevision || n.storeRead && n.s.revision < n.earlierRevision {
			m.t.Fatalf("%s is ready with revision %d; an earlier incarnation had %d, and this one received %d", n.cfg.Host, n.s.revision, n.earlierRevision, n.receivedRevision)
		}
	}
}

func (m *sim) readStore(n *node) Event {
	if m.storePartitioned[n.dc] {
		return StoreReadFailed{}
	}
	return StoreRead{m.revision, m.body}
}

// run runs the simulation for d. A watch of the store has an event within 100 ms.
func (m *sim) run(d clock.Span) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now++
		slot := int(m.now) % len(m.queue)
		due := m.queue[slot]
		m.queue[slot] = nil
		for _, v := range due {
			n := m.nodes[v.to]
			switch {
			case n.down || v.incarnation != 0 && v.incarnation != n.cfg.Incarnation:
			case v.fetch != nil:
				r, b := n.s.Current()
				f := FetchResponse{From: n.cfg.Host, Revision: r, Body: b}
				if v.fetch.WithHeartbeats {
					f.Heartbeats = n.s.Heartbeats()
				}
				m.send(v.to, m.nodes[v.from].cfg.Host, delivery{ev: f}, 0)
			default:
				m.step(v.to, v.ev)
			}
		}
		for i := int(m.now) % 100; i < len(m.nodes); i += 100 {
			m.step(i, Tick{})
			if n := m.nodes[i]; !n.down && n.s.Watching() && n.s.revision < m.revision && !m.storePartitioned[n.dc] {
				m.schedule(clock.Span(1+m.rng.IntN(10)), delivery{to: i, incarnation: n.cfg.Incarnation, ev: m.readStore(n)})
			}
		}
	}
}

// outdated returns the hosts that aren't ready or lack the newest revision.
func (m *sim) outdated() (names []keys.Host) {
	for _, n := range m.nodes {
		if !n.down && (n.s.revision != m.revision || !n.s.Ready()) {
			names = append(names, n.cfg.Host)
		}
	}
	return names
}

// watcherCounts returns the number of watching hosts in each data centre.
func (m *sim) watcherCounts() []int {
	w := make([]int, m.dcs)
	for _, n := range m.nodes {
		if !n.down && n.s.Watching() {
			w[n.dc]++
		}
	}
	return w
}
