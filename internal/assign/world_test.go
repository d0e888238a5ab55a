package assign_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/internal/hold"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// world is a simulated group of entry hosts and backend servers. Real time is
// in microseconds; every process reads its own clock, which is up to 1 in
// 2,000 off.
type world struct {
	now    int64
	rnd    *rand.Rand
	queue  events
	seq    int
	steps  int
	fail   func(format string, args ...any)
	hosts  []*node
	peers  []*backend
	hashes []keys.Hash

	refusals  bool // dispatchers are told of refused connections
	calm      bool // no message delay beyond the usual, no loss
	load      bool
	storeDown bool
	stored    assign.Assignment
	table     assign.Table // newest published one
	asn       *assigner
	term      uint32
	policy    assign.Policy
	open      []*request
	grants    map[keys.Fence]holder
	newest    map[keys.Hash]keys.Fence
	cut       map[[2]string]bool // partitions
	begun     int
	served    int
	refused   int
	trace     func(format string, args ...any)
}

type holder struct {
	server keys.Server
	host   keys.Host
	boot   uint64
}

// assigner is an instance for one term; hold is the real time at which its
// promises end.
type assigner struct {
	at    *node
	boot  uint64
	term  uint32
	hold  int64
	state *assign.State
	first bool // no table yet
	asked assign.Assignment
	out   bool // doesn't renew its promises
}

// node is an entry host.
type node struct {
	name         keys.Host
	boot         uint64
	off          int64
	rate         float64
	dead, paused bool
	inbox        []func(clock.Time)
	hold         *hold.State
	believes     *assigner
	former       *assigner             // the one before
	probing      map[keys.Server]int64 // last probe
	unanswered   map[keys.Server]int64
	requests     map[*request]bool
}

// backend is a backend server.
type backend struct {
	name         keys.Server
	off          int64
	rate         float64
	checks       bool
	dead, frozen bool
	refuses      bool // its machine refuses connections to a dead process
	gone         bool
	life         int
	state        grant.State
	inbox        []func()
	sets         map[holder]pushed
	unchecked    bool // mutation: the fence check is left out
}

type pushed struct {
	seq    uint64
	grants []grant.Held
	until  clock.Time
}

// request counts as executable at its server from Begin until it has run or
// can't run any more.
type request struct {
	id     int
	server *backend
	life   int
	hash   keys.Hash
	fence  keys.Fence
	node   *node
	boot   uint64
	sent   bool
	over   bool
}

type event struct {
	at  int64
	seq int
	do  func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

const ms = 1000

func newWorld(seed uint64, hosts int, checks []bool, fail func(string, ...any)) *world {
	w := &world{rnd: rand.New(rand.NewPCG(seed, 1)), fail: fail, load: true, grants: make(map[keys.Fence]holder),
		newest: make(map[keys.Hash]keys.Fence), cut: make(map[[2]string]bool), trace: func(string, ...any) {}}
	for i := range 6 {
		w.hashes = append(w.hashes, keys.Hash(i)*(keys.MaxHash/6)+keys.Hash(w.rnd.Uint64N(1<<60)))
	}
	w.hashes = append(w.hashes, 0, keys.MaxHash)
	skew := func() float64 { return 1 + (w.rnd.Float64()-0.5)/1000 }
	for i := range hosts {
		n := &node{name: keys.Host(fmt.Sprintf("h%d", i)), off: w.rnd.Int64N(1e6), rate: skew()}
		w.hosts = append(w.hosts, n)
		w.boot(n)
	}
	for i, c := range checks {
		w.peers = append(w.peers, &backend{name: keys.Server(fmt.Sprintf("s%d", i)), off: w.rnd.Int64N(1e6), rate: skew(),
			checks: c, state: grant.Ready, sets: make(map[holder]pushed)})
	}
	w.after(0, w.requests)
	w.after(0, w.elections)
	return w
}

// boot starts a process on the host with an empty state.
func (w *world) boot(n *node) {
	n.boot++
	n.dead, n.paused, n.inbox = false, false, nil
	n.hold = hold.New(hold.Config{Host: n.name})
	n.probing, n.unanswered = make(map[keys.Server]int64), make(map[keys.Server]int64)
	n.requests = make(map[*request]bool)
	n.believes = w.asn
	w.tick(n, n.boot)
}

func (w *world) after(d int64, do func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now + max(d, 0), w.seq, do})
}

// run lets real time pass, and checks the oracle after every event.
func (w *world) run(d int64) {
	end := w.now + d
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
		w.steps++
		w.check()
	}
	w.now = end
}

// delay is the time that a message takes.
func (w *world) delay() int64 {
	d := int64(200 + w.rnd.IntN(1500))
	if w.calm {
		return d
	}
	switch r := w.rnd.IntN(100); {
	case r < 2:
		d += int64(w.rnd.IntN(500)) * ms
	case r < 8:
		d += int64(w.rnd.IntN(60)) * ms
	}
	return d
}

// send delivers a message that may be lost, delayed or duplicated.
func (w *world) send(from, to string, do func()) {
	if w.cut[[2]string{from, to}] || !w.calm && w.rnd.IntN(50) == 0 {
		return
	}
	w.after(w.delay(), do)
	if !w.calm && w.rnd.IntN(30) == 0 {
		w.after(w.delay(), do)
	}
}

// on runs do at a process of the host; a paused process runs it later.
func (w *world) on(n *node, boot uint64, do func(now clock.Time)) {
	switch {
	case n.dead || n.boot != boot:
	case n.paused:
		n.inbox = append(n.inbox, do)
	default:
		do(n.clock(w.now))
	}
}

func (n *node) clock(now int64) clock.Time { return clock.Time(float64(now+n.off) * n.rate / ms) }
func (p *backend) clock(now int64) clock.Time {
	return clock.Time(float64(now+p.off) * p.rate / ms)
}

// at runs do at a server unless it has crashed since life.
func (w *world) at(p *backend, life int, do func()) {
	switch {
	case p.dead || p.life != life:
	case p.frozen:
		p.inbox = append(p.inbox, do)
	default:
		do()
	}
}

func (w *world) resume(n *node) {
	n.paused = false
	inbox := n.inbox
	n.inbox = nil
	for _, do := range inbox {
		w.on(n, n.boot, do)
	}
}

func (w *world) thaw(p *backend) {
	p.frozen = false
	inbox := p.inbox
	p.inbox = nil
	for _, do := range inbox {
		w.at(p, p.life, do)
	}
}

// tick drives a host's dispatcher and, if it is elected, its assigner.
func (w *world) tick(n *node, boot uint64) {
	if n.dead || n.boot != boot {
		return
	}
	w.on(n, boot, func(now clock.Time) {
		w.step(n, now, hold.Tick{})
		for _, name := range n.hold.Servers() {
			w.probe(n, now, name)
		}
		if a := n.believes; a != nil && a.at == n {
			w.assign(a, assign.Tick{})
		}
	})
	w.after(15*ms, func() { w.tick(n, boot) })
}

func (w *world) peer(name keys.Server) *backend {
	i := slices.IndexFunc(w.peers, func(p *backend) bool { return p.name == name })
	return w.peers[i]
}

func (w *world) node(name keys.Host) *node {
	i := slices.IndexFunc(w.hosts, func(n *node) bool { return n.name == name })
	return w.hosts[i]
}

// probe asks a server for its clock every 100 ms; no answer in 100 ms is a miss.
func (w *world) probe(n *node, now clock.Time, name keys.Server) {
	last, known := n.probing[name]
	if known && w.now-last < 100*ms {
		return
	}
	if known && n.unanswered[name] == last {
		w.step(n, now, hold.Missed{Server: name})
	}
	sent := w.now
	n.probing[name], n.unanswered[name] = sent, sent
	p := w.peer(name)
	boot, life := n.boot, p.life
	w.send(string(n.name), string(name), func() {
		if p.dead && p.refuses && w.refusals {
			w.after(ms, func() {
				w.on(n, boot, func(now clock.Time) { w.step(n, now, hold.Missed{Server: name, Refused: true}) })
			})
			return
		}
		w.at(p, life, func() { w.reached(n, boot, p, now, sent, 0) })
	})
}

func (w *world) reached(n *node, boot uint64, p *backend, sent clock.Time, probe int64, seq uint64) {
	ev := hold.Reached{Server: p.name, Sent: sent, ServerClock: p.clock(w.now), State: p.state, Slots: 2, Seq: seq}
	w.send(string(p.name), string(n.name), func() {
		w.on(n, boot, func(now clock.Time) {
			if n.unanswered[p.name] == probe {
				n.unanswered[p.name] = -1
			}
			w.step(n, now, ev)
		})
	})
}

// step hands an event to the host's dispatcher and carries out its actions.
func (w *world) step(n *node, now clock.Time, ev hold.Event) {
	boot := n.boot
	for _, a := range n.hold.Step(now, ev) {
		switch a := a.(type) {
		case hold.Renew:
			ev := assign.Renew{From: n.name, Boot: boot, Nonce: a.Nonce, Ack: a.Ack, Servers: a.Servers}
			for _, asn := range []*assigner{n.believes, n.former} {
				if asn == nil || asn == n.former && w.rnd.IntN(2) == 0 {
					continue
				}
				w.send(string(n.name), string(asn.at.name), func() {
					w.on(asn.at, asn.boot, func(clock.Time) { w.assign(asn, ev) })
				})
			}
		case hold.Push:
			w.push(n, now, a)
		case hold.Transfer:
			to := w.node(a.Next)
			w.send(string(n.name), string(to.name), func() {
				w.send(string(to.name), string(n.name), func() {
					w.on(n, boot, func(now clock.Time) {
						w.step(n, now, hold.Transferred{Range: a.Range, Fence: a.Fence, OK: true})
					})
				})
			})
		}
	}
}

func (w *world) push(n *node, sent clock.Time, a hold.Push) {
	p, boot := w.peer(a.Server), n.boot
	life := p.life
	w.send(string(n.name), string(p.name), func() {
		w.at(p, life, func() {
			from := holder{p.name, n.name, boot}
			if p.sets[from].seq >= a.Seq {
				return
			}
			p.sets[from] = pushed{a.Seq, a.Grants, a.Until}
			w.reached(n, boot, p, sent, 0, a.Seq)
		})
	})
}
