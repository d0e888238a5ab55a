package elect

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"reflect"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// micros is real time in the simulation.
type micros int64

const ms micros = 1000

// timed is a step of the simulation, ordered by time and then by creation.
type timed struct {
	at  micros
	seq int
	run func()
}

type agenda []timed

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at < a[j].at || a[i].at == a[j].at && a[i].seq < a[j].seq
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(timed)) }
func (a *agenda) Pop() any {
	old := *a
	x := old[len(old)-1]
	*a = old[:len(old)-1]
	return x
}

// node is a host; its run changes with each restart.
type node struct {
	name   keys.Host
	boot   uint64
	s      *State
	ppm    int64 // rate error of the clock
	offset int64
	paused bool
	down   bool
	noShop bool // partitioned from the store
	queue  []Event
}

type storeMode int

const (
	storeUp storeMode = iota
	storeDown
	storeHangs // neither takes effect nor answers
	storeSlow  // up to 400 ms each way
	storeLossy // takes effect, but half of the answers are lost
	storeModes
)

// world simulates hosts, their links and the store, and checks after each step
// that at most one host holds the role and that no term has two holders.
type world struct {
	rng    *rand.Rand
	now    micros
	seq    int
	todo   agenda
	nodes  []*node
	cut    map[[2]int]bool
	slow   map[[2]int]micros // added delay of a link
	loss   float64
	delay  micros // greatest message delay
	boots  uint64
	steps  int
	fault  string
	holder map[uint32]Voter

	mode    storeMode
	stored  Role
	version uint64
}

func newWorld(seed uint64, hosts int) *world {
	w := &world{
		rng: rand.New(rand.NewPCG(seed, 1)), cut: map[[2]int]bool{}, slow: map[[2]int]micros{}, holder: map[uint32]Voter{}, delay: 2 * ms,
	}
	for i := range hosts {
		n := &node{name: keys.Host(fmt.Sprintf("h%d", i)), ppm: 500 * (w.rng.Int64N(3) - 1), offset: w.rng.Int64N(1 << 20)}
		w.nodes = append(w.nodes, n)
	}
	for i, n := range w.nodes {
		w.start(n)
		w.after(micros(w.rng.Int64N(int64(10*ms))), func() { w.tick(i) })
	}
	return w
}

func (w *world) start(n *node) {
	w.boots++
	n.boot, n.queue, n.paused, n.down = w.boots, nil, false, false
	var group []keys.Host
	for _, m := range w.nodes {
		group = append(group, m.name)
	}
	n.s = New(Config{Self: n.name, Boot: n.boot, Group: group, Seed: w.rng.Uint64()})
}

// read returns the clock of n.
func (w *world) read(n *node) clock.Time {
	return clock.Time((n.offset + int64(w.now) + int64(w.now)*n.ppm/1_000_000) / int64(ms))
}

func (w *world) after(d micros, f func()) {
	w.seq++
	heap.Push(&w.todo, timed{w.now + d, w.seq, f})
}

// advance runs the simulation for d or until a fault was found.
func (w *world) advance(d micros) {
	end := w.now + d
	for w.fault == "" && len(w.todo) > 0 && w.todo[0].at <= end {
		t := heap.Pop(&w.todo).(timed)
		for w.now/ms < t.at/ms && w.fault == "" { // a role may also overlap between steps
			w.now = min(t.at, (w.now/ms+1)*ms)
			w.check()
		}
		w.now = t.at
		t.run()
		w.check()
	}
	w.now = end
}

// check looks at every run, paused ones too: they act on it when they wake.
func (w *world) check() {
	var first *node
	for _, n := range w.nodes {
		term, ok := n.s.Holding(w.read(n))
		if !ok || n.down {
			continue
		}
		if first != nil {
			w.fail("%s and %s both hold the role at %d µs", first.name, n.name, w.now)
		}
		first = n
		v := Voter{n.name, n.boot}
		if old, ok := w.holder[term]; ok && old != v {
			w.fail("term %d held by %v and %v", term, old, v)
		}
		w.holder[term] = v
	}
}

func (w *world) fail(format string, args ...any) {
	if w.fault == "" {
		w.fault = fmt.Sprintf(format, args...)
	}
}

// holding returns the index of the holder, or -1.
func (w *world) holding() int {
	for i, n := range w.nodes {
		if _, ok := n.s.Holding(w.read(n)); ok && !n.down {
			return i
		}
	}
	return -1
}

func (w *world) tick(i int) {
	n := w.nodes[i]
	if len(n.queue) < 1000 {
		w.deliver(n, n.boot, Tick{})
	}
	if w.rng.IntN(10) == 0 { // other traffic between the hosts
		for j := range w.nodes {
			w.message(i, j, PeerBoot{n.name, n.boot})
		}
	}
	w.after(10*ms, func() { w.tick(i) })
}

// deliver hands ev to a run of n, or queues it while n is paused.
func (w *world) deliver(n *node, boot uint64, ev Event) {
	switch {
	case n.down || n.boot != boot:
	case n.paused:
		n.queue = append(n.queue, ev)
	default:
		w.step(n, ev)
	}
}

func (w *world) resume(n *node) {
	n.paused = false
	for len(n.queue) > 0 && !n.paused && w.fault == "" {
		ev := n.queue[0]
		n.queue = n.queue[1:]
		w.step(n, ev)
		w.check()
	}
}

// message sends ev over a link that loses, delays, reorders and duplicates.
func (w *world) message(i, j int, ev Event) {
	if i == j || w.cut[[2]int{i, j}] {
		return
	}
	for range 1 + w.rng.IntN(20)/19 {
		if w.rng.Float64() < w.loss {
			continue
		}
		d := w.slow[[2]int{i, j}] + micros(w.rng.Int64N(int64(max(w.delay, ms/50))))
		if w.loss > 0 && w.rng.IntN(20) == 0 {
			d += micros(w.rng.Int64N(int64(700 * ms))) // older than a promise
		}
		w.after(d, func() { w.deliver(w.nodes[j], w.nodes[j].boot, ev) })
	}
}

func (w *world) step(n *node, ev Event) {
	w.steps++
	self := int(n.name[1] - '0')
	for _, a := range n.s.Step(w.read(n), ev) {
		switch a := a.(type) {
		case Ask:
			w.message(self, int(a.To[1]-'0'), Asked{n.name, n.boot, a.ToBoot, a.Term, a.Nonce, a.Version, a.Role})
		case Reply:
			w.message(self, int(a.To[1]-'0'),
				Replied{n.name, n.boot, a.ToBoot, a.Nonce, a.Granted, a.Highest, a.Version, a.Role})
		case Release:
			if w.nodes[a.To[1]-'0'].boot == a.ToBoot {
				w.message(self, int(a.To[1]-'0'), Released{n.name, n.boot, a.Nonce})
			}
		case ReadRole:
			w.shop(n, func() Event {
				return RoleRead{a.Op, w.stored, w.version, w.version > 0}
			}, RoleFailed(a))
		case WriteRole:
			w.shop(n, func() Event { return w.write(a) }, RoleUnsure{a.Op})
		}
	}
}

func (w *world) write(a WriteRole) Event {
	if a.IfVersion != w.version {
		return RoleConflict{a.Op}
	}
	if w.version > 0 && a.Role.Epoch == w.stored.Epoch && !reflect.DeepEqual(a.Role.Voters, w.stored.Voters) {
		w.fail("epoch %d with two sets of voters", a.Role.Epoch)
	}
	w.stored = a.Role
	w.version++
	return RoleWritten{a.Op, w.version}
}

// shop calls the store for n under the store's mode.
func (w *world) shop(n *node, call func() Event, failed Event) {
	boot, limit := n.boot, 2*ms
	switch {
	case n.noShop || w.mode == storeDown:
		w.after(ms, func() { w.deliver(n, boot, failed) })
		return
	case w.mode == storeHangs:
		return
	case w.mode == storeSlow:
		limit = 400 * ms
	}
	there, back := micros(w.rng.Int64N(int64(limit))), micros(w.rng.Int64N(int64(limit)))
	lost := w.mode == storeLossy && w.rng.IntN(2) == 0
	w.after(ms/2+there, func() {
		ev := call()
		if lost {
			ev = failed
		}
		w.after(ms/2+back, func() { w.deliver(n, boot, ev) })
	})
}

// heal ends all faults but lost hosts.
func (w *world) heal() {
	clear(w.cut)
	clear(w.slow)
	w.loss, w.delay, w.mode = 0, 2*ms, storeUp
	for _, n := range w.nodes {
		n.noShop = false
		if n.paused {
			w.resume(n)
		}
	}
}
