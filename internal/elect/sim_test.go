package elect

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"reflect"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// realTime is simulated real time in microseconds, in contrast to the hosts'
// clocks.
type realTime int64

const ms realTime = 1000

// scheduled is a call that is due at a time of the simulation. Calls with the
// same time are executed in the order of their creation.
type scheduled struct {
	at   realTime
	seq  int
	call func()
}

type schedule []scheduled

func (a schedule) Len() int { return len(a) }
func (a schedule) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a schedule) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *schedule) Push(x any)   { *a = append(*a, x.(scheduled)) }
func (a *schedule) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// node is a host. Its incarnation and state are replaced at each restart.
type node struct {
	name             keys.Host
	incarnation      uint64
	s                *State
	ppm              int64 // rate error of the clock
	offset           int64
	paused           bool
	down             bool
	storePartitioned bool
	queue            []Event
}

type storeMode int

const (
	storeUp storeMode = iota
	storeDown
	storeHangs // calls neither take effect nor return
	storeSlow  // up to 400 ms for each request and each response
	storeLossy // calls take effect, but half of the responses are lost
	storeModeCount
)

// sim simulates hosts, their links and the store, and checks after each step
// that at most one host holds the role and that no term has two holders.
type sim struct {
	rng             *rand.Rand
	now             realTime
	seq             int
	schedule        schedule
	nodes           []*node
	partitioned     map[[2]int]bool
	linkDelay       map[[2]int]realTime // added to the delay of a link
	lossRate        float64
	maxDelay        realTime // of messages
	lastIncarnation uint64
	steps           int
	violation       string
	termHolders     map[uint32]Voter

	storeMode     storeMode
	storedRole    Role
	storedVersion uint64
}

func newSim(seed uint64, hosts int) *sim {
	m := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), partitioned: map[[2]int]bool{}, linkDelay: map[[2]int]realTime{}, termHolders: map[uint32]Voter{}, maxDelay: 2 * ms,
	}
	for i := range hosts {
		n := &node{name: keys.Host(fmt.Sprintf("h%d", i)), ppm: 500 * (m.rng.Int64N(3) - 1), offset: m.rng.Int64N(1 << 20)}
		m.nodes = append(m.nodes, n)
	}
	for i, n := range m.nodes {
		m.start(n)
		m.after(realTime(m.rng.Int64N(int64(10*ms))), func() { m.tick(i) })
	}
	return m
}

func (m *sim) start(n *node) {
	m.lastIncarnation++
	n.incarnation, n.queue, n.paused, n.down = m.lastIncarnation, nil, false, false
	var group []keys.Host
	for _, peer := range m.nodes {
		group = append(group, peer.name)
	}
	n.s = New(Config{Self: n.name, Incarnation: n.incarnation, Group: group, Seed: m.rng.Uint64()})
}

// readClock returns the time on the clock of n.
func (m *sim) readClock(n *node) clock.Time {
	return clock.Time((n.offset + int64(m.now) + int64(m.now)*n.ppm/1_000_000) / int64(ms))
}

func (m *sim) after(d realTime, f func()) {
	m.seq++
	heap.Push(&m.schedule, scheduled{m.now + d, m.seq, f})
}

// advance runs the simulation for d or until an invariant is violated.
func (m *sim) advance(d realTime) {
	end := m.now + d
	for m.violation == "" && len(m.schedule) > 0 && m.schedule[0].at <= end {
		t := heap.Pop(&m.schedule).(scheduled)
		for m.now/ms < t.at/ms && m.violation == "" { // two holders may also overlap between steps
			m.now = min(t.at, (m.now/ms+1)*ms)
			m.checkInvariants()
		}
		m.now = t.at
		t.call()
		m.checkInvariants()
	}
	m.now = end
}

// checkInvariants checks every host, including paused ones, which act as holder
// when they resume.
func (m *sim) checkInvariants() {
	var first *node
	for _, n := range m.nodes {
		term, ok := n.s.Holding(m.readClock(n))
		if !ok || n.down {
			continue
		}
		if first != nil {
			m.recordViolation("%s and %s both hold the role at %d µs", first.name, n.name, m.now)
		}
		first = n
		v := Voter{n.name, n.incarnation}
		if old, ok := m.termHolders[term]; ok && old != v {
			m.recordViolation("term %d is held by %v and by %v", term, old, v)
		}
		m.termHolders[term] = v
	}
}

func (m *sim) recordViolation(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

// holderIndex returns the index of the holder, or -1 if there is none.
func (m *sim) holderIndex() int {
	for i, n := range m.nodes {
		if _, ok := n.s.Holding(m.readClock(n)); ok && !n.down {
			return i
		}
	}
	return -1
}

func (m *sim) tick(i int) {
	n := m.nodes[i]
	if len(n.queue) < 1000 {
		m.deliver(n, n.incarnation, Tick{})
	}
	if m.rng.IntN(10) == 0 { // other traffic between the hosts
		for j := range m.nodes {
			m.message(i, j, IncarnationSeen{n.name, n.incarnation})
		}
	}
	m.after(10*ms, func() { m.tick(i) })
}

// deliver passes ev to the given incarnation of n, or queues it while n is
// paused.
func (m *sim) deliver(n *node, incarnation uint64, ev Event) {
	switch {
	case n.down || n.incarnation != incarnation:
	case n.paused:
		n.queue = append(n.queue, ev)
	default:
		m.step(n, ev)
	}
}

func (m *sim) resume(n *node) {
	n.paused = false
	for len(n.queue) > 0 && !n.paused && m.violation == "" {
		ev := n.queue[0]
		n.queue = n.queue[1:]
		m.step(n, ev)
		m.checkInvariants()
	}
}

// message sends ev over a link that loses, delays, reorders and duplicates
// messages.
func (m *sim) message(i, j int, ev Event) {
	if i == j || m.partitioned[[2]int{i, j}] {
		return
	}
	for range 1 + m.rng.IntN(20)/19 {
		if m.rng.Float64() < m.lossRate {
			continue
		}
		d := m.linkDelay[[2]int{i, j}] + realTime(m.rng.Int64N(int64(max(m.maxDelay, ms/50))))
		if m.lossRate > 0 && m.rng.IntN(20) == 0 {
			d += realTime(m.rng.Int64N(int64(700 * ms))) // longer than a promise is valid
		}
		m.after(d, func() { m.deliver(m.nodes[j], m.nodes[j].incarnation, ev) })
	}
}

func (m *sim) step(n *node, ev Event) {
	m.steps++
	self := int(n.name[1] - '0')
	for _, a := range n.s.Step(m.readClock(n), ev) {
		switch a := a.(type) {
		case PromiseRequest:
			m.message(self, int(a.To[1]-'0'), PromiseRequested{n.name, n.incarnation, a.ToIncarnation, a.Term, a.Nonce, a.Version, a.Role})
		case PromiseResponse:
			m.message(self, int(a.To[1]-'0'),
				PromiseResponded{n.name, n.incarnation, a.ToIncarnation, a.Nonce, a.Granted, a.Highest, a.Version, a.Role})
		case PromiseRelease:
			if m.nodes[a.To[1]-'0'].incarnation == a.ToIncarnation {
				m.message(self, int(a.To[1]-'0'), PromiseReleased{n.name, n.incarnation, a.Nonce})
			}
		case ReadRole:
			m.callStore(n, func() Event {
				return RoleRead{a.Op, m.storedRole, m.storedVersion, m.storedVersion > 0}
			}, RoleOpFailed(a))
		case WriteRole:
			m.callStore(n, func() Event { return m.writeRole(a) }, RoleIndeterminate{a.Op})
		}
	}
}

func (m *sim) writeRole(a WriteRole) Event {
	if a.IfVersion != m.storedVersion {
		return RoleConflict{a.Op}
	}
	if m.storedVersion > 0 && a.Role.Epoch == m.storedRole.Epoch && !reflect.DeepEqual(a.Role.Voters, m.storedRole.Voters) {
		m.recordViolation("epoch %d was written with two sets of voters", a.Role.Epoch)
	}
	m.storedRole = a.Role
	m.storedVersion++
	return RoleWritten{a.Op, m.storedVersion}
}

// callStore calls the store for n. The result depends on the store's mode.
func (m *sim) callStore(n *node, call func() Event, failed Event) {
	incarnation, limit := n.incarnation, 2*ms
	switch {
	case n.storePartitioned || m.storeMode == storeDown:
		m.after(ms, func() { m.deliver(n, incarnation, failed) })
		return
	case m.storeMode == storeHangs:
		return
	case m.storeMode == storeSlow:
		limit = 400 * ms
	}
	requestDelay, responseDelay := realTime(m.rng.Int64N(int64(limit))), realTime(m.rng.Int64N(int64(limit)))
	lost := m.storeMode == storeLossy && m.rng.IntN(2) == 0
	m.after(ms/2+requestDelay, func() {
		ev := call()
		if lost {
			ev = failed
		}
		m.after(ms/2+responseDelay, func() { m.deliver(n, incarnation, ev) })
	})
}

// heal ends all faults except that hosts which are down stay down.
func (m *sim) heal() {
	clear(m.partitioned)
	clear(m.linkDelay)
	m.lossRate, m.maxDelay, m.storeMode = 0, 2*ms, storeUp
	for _, n := range m.nodes {
		n.storePartitioned = false
		if n.paused {
			m.resume(n)
		}
	}
}
