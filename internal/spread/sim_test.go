package spread

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// node is a simulated entry host.
type node struct {
	s        *State
	cfg      Config
	dc       int
	down     bool
	wasReady bool
	had      uint64 // highest revision in force in any earlier run while ready
	answers  uint64 // highest revision that a peer or the store answered to this run
	readBack bool   // this run read the store
}

type delivery struct {
	to   int
	boot uint64 // the run that the message is for, or 0 for any
	ev   Event
	ask  *Fetch // a request, with the sender
	from int
}

// sim delivers messages between hosts with delays, loss and duplication.
type sim struct {
	t        testing.TB
	rng      *rand.Rand
	now      clock.Time
	nodes    []*node
	byName   map[keys.Host]int
	queue    [1024][]delivery
	dcs      int
	loss     float64
	dup      float64
	cut      []bool // data centre is cut off from the others
	storeCut []bool // data centre is cut off from the store
	revision uint64
	body     []byte
	accepted []clock.Time
	latency  []clock.Span // of every host and revision
	msgs     int
	bytes    int // digests and requests
	bodies   int // bytes of answers
	steps    int
}

func newSim(t testing.TB, hosts, dcs, group int, seed uint64) *sim {
	m := &sim{
		t: t, rng: rand.New(rand.NewPCG(seed, 7)), byName: make(map[keys.Host]int), dcs: dcs,
		cut: make([]bool, dcs), storeCut: make([]bool, dcs), body: make([]byte, 4096), accepted: []clock.Time{0},
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
		m.boot(i)
	}
	return m
}

func dcName(dc int) keys.DataCentre { return keys.DataCentre(fmt.Sprintf("north-%d", dc+1)) }

// boot starts a host with an empty memory.
func (m *sim) boot(i int) {
	n := m.nodes[i]
	if n.wasReady {
		n.had = max(n.had, n.s.revision)
	}
	n.cfg.Boot = 1<<60 + uint64(m.now)<<12 + n.cfg.Boot&0xfff + 1
	n.s, n.down, n.wasReady, n.answers, n.readBack = New(n.cfg), false, false, 0, false
	m.step(i, Listed{m.members()})
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

func (m *sim) list() {
	l := m.members()
	for i := range m.nodes {
		m.step(i, Listed{l})
	}
}

// accept stores a new revision.
func (m *sim) accept() {
	m.revision++
	m.accepted = append(m.accepted, m.now)
}

func (m *sim) after(d clock.Span, v delivery) {
	at := (int64(m.now) + int64(max(d, 1))) % int64(len(m.queue))
	m.queue[at] = append(m.queue[at], v)
}

// delay is 1-2 ms in a data centre, 1-5 ms in a region and 35-70 ms between
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
	m.msgs++
	j, ok := m.byName[to]
	a, b := m.nodes[from].dc, m.nodes[j].dc
	if !ok || a != b && (m.cut[a] || m.cut[b]) {
		return
	}
	v.to, v.from = j, from
	copies := 1
	if m.dup > 0 && m.rng.Float64() < m.dup {
		copies = 2
	}
	for range copies {
		if m.loss > 0 && m.rng.Float64() < m.loss {
			continue
		}
		d := m.delay(a, b)
		if m.dup > 0 && m.rng.IntN(10) == 0 {
			d += clock.Span(m.rng.IntN(900)) // late and out of order
		}
		m.after(d, v)
	}
	if v.ask == nil {
		if f, ok := v.ev.(Fetched); ok {
			m.bodies += f.Size()
			return
		}
	}
	m.bytes += size
}

func (m *sim) step(i int, ev Event) {
	n := m.nodes[i]
	if n.down {
		return
	}
	m.steps++
	before := n.s.revision
	switch ev := ev.(type) {
	case Fetched:
		n.answers = max(n.answers, ev.Revision)
	case Watched:
		n.answers, n.readBack = max(n.answers, ev.Revision), true
	}
	for _, a := range n.s.Step(m.now, ev) {
		switch a := a.(type) {
		case Tell:
			m.send(i, a.To, delivery{ev: Heard{n.cfg.Host, n.cfg.Boot, a.Digest}}, a.Digest.Size(n.cfg.Host))
		case Fetch:
			m.send(i, a.From, delivery{ask: &a}, a.Size(n.cfg.Host))
		case ReadStore:
			m.after(5, delivery{to: i, boot: n.cfg.Boot, ev: m.read(n)})
		case Adopt:
			if a.Revision <= before || a.Revision > m.revision {
				m.t.Fatalf("%s went from revision %d to %d; the store has %d", n.cfg.Host, before, a.Revision, m.revision)
			}
			for r := before + 1; r <= a.Revision; r++ {
				m.latency = append(m.latency, m.now.Sub(m.accepted[r]))
			}
			before = a.Revision
		}
	}
	if n.s.revision != before {
		m.t.Fatalf("%s has revision %d without Adopt", n.cfg.Host, n.s.revision)
	}
	if n.s.Ready() && !n.wasReady {
		n.wasReady = true
		if n.s.revision < n.answers || n.readBack && n.s.revision < n.had {
			m.t.Fatalf("%s is ready with %d; had %d before, was told %d", n.cfg.Host, n.s.revision, n.had, n.answers)
		}
	}
}

func (m *sim) read(n *node) Event {
	if m.storeCut[n.dc] {
		return StoreFailed{}
	}
	return Watched{m.revision, m.body}
}

// run lets time pass. A watch of the store has an event within 100 ms.
func (m *sim) run(d clock.Span) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.now++
		slot := int(m.now) % len(m.queue)
		due := m.queue[slot]
		m.queue[slot] = nil
		for _, v := range due {
			n := m.nodes[v.to]
			switch {
			case n.down || v.boot != 0 && v.boot != n.cfg.Boot:
			case v.ask != nil:
				r, b := n.s.Current()
				f := Fetched{From: n.cfg.Host, Revision: r, Body: b}
				if v.ask.Hosts {
					f.Hosts = n.s.Beats()
				}
				m.send(v.to, m.nodes[v.from].cfg.Host, delivery{ev: f}, 0)
			default:
				m.step(v.to, v.ev)
			}
		}
		for i := int(m.now) % 100; i < len(m.nodes); i += 100 {
			m.step(i, Tick{})
			if n := m.nodes[i]; !n.down && n.s.Watching() && n.s.revision < m.revision && !m.storeCut[n.dc] {
				m.after(clock.Span(1+m.rng.IntN(10)), delivery{to: i, boot: n.cfg.Boot, ev: m.read(n)})
			}
		}
	}
}

// behind returns the hosts that lack the newest revision.
func (m *sim) behind() (names []keys.Host) {
	for _, n := range m.nodes {
		if !n.down && (n.s.revision != m.revision || !n.s.Ready()) {
			names = append(names, n.cfg.Host)
		}
	}
	return names
}

// watching returns the number of watching hosts in each data centre.
func (m *sim) watching() []int {
	w := make([]int, m.dcs)
	for _, n := range m.nodes {
		if !n.down && n.s.Watching() {
			w[n.dc]++
		}
	}
	return w
}
