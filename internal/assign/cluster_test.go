package assign_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"

	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/internal/lease"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// cluster is a simulated group of entry hosts and backend servers. Real time is
// in microseconds. Every process reads its own clock, whose rate is off by up
// to 1 in 2,000.
type cluster struct {
	now     int64
	rnd     *rand.Rand
	queue   eventQueue
	seq     int
	steps   int
	fail    func(format string, args ...any)
	hosts   []*host
	servers []*backend
	hashes  []keys.Hash

	reportRefused bool // dispatchers get an event for refused connections
	reliable      bool // no message is lost, duplicated or unusually delayed
	sendRequests  bool
	storeDown     bool
	stored        assign.Assignment
	table         assign.Table // newest published table
	assigner      *assigner
	term          uint32
	policy        assign.Policy
	openRequests  []*request
	grants        map[keys.Fence]holder
	newestFence   map[keys.Hash]keys.Fence
	partitions    map[[2]string]bool // sender and receiver between which messages are lost
	begun         int
	executed      int
	refused       int
	trace         func(format string, args ...any)
}

// holder identifies the process that may use a grant, and its server.
type holder struct {
	server      keys.Server
	host        keys.Host
	incarnation uint64
}

// assigner is an elected assigner for one term; roleUntil is the real time at
// which its role lease ends.
type assigner struct {
	host        *host
	incarnation uint64
	term        uint32
	roleUntil   int64
	state       *assign.State
	unpublished bool              // has not published a table yet
	initial     assign.Assignment // assignment with which its term started
	deposed     bool              // doesn't renew its role lease
}

// host is an entry host.
type host struct {
	name             keys.Host
	incarnation      uint64
	clockOffset      int64
	clockRate        float64
	dead, paused     bool
	inbox            []func(clock.Time)
	dispatcher       *lease.State
	assigner         *assigner // newest assigner that it has been informed of
	previousAssigner *assigner
	lastProbe        map[keys.Server]int64
	unanswered       map[keys.Server]int64
	requests         map[*request]bool
}

// backend is a backend server.
type backend struct {
	name           keys.Server
	clockOffset    int64
	clockRate      float64
	checksFence    bool
	dead, frozen   bool
	refusesConns   bool // its machine refuses connections to the dead process
	delisted       bool // removed from the host list
	incarnation    int
	state          grant.State
	inbox          []func()
	pushes         map[holder]pushedGrants
	skipFenceCheck bool // for mutation tests: accepts any fence
}

// pushedGrants is the newest push of one dispatcher.
type pushedGrants struct {
	seq    uint64
	grants []grant.Held
	until  clock.Time
}

// request counts as executable at its server from Begin until it has run or
// can't run any more.
type request struct {
	id              int
	server          *backend
	incarnation     int
	hash            keys.Hash
	fence           keys.Fence
	host            *host
	hostIncarnation uint64
	sent            bool
	done            bool
}

// event calls do at a point of real time; seq orders events of the same time.
type event struct {
	at  int64
	seq int
	do  func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

const ms = 1000 // microseconds

func newCluster(seed uint64, hosts int, checks []bool, fail func(string, ...any)) *cluster {
	c := &cluster{rnd: rand.New(rand.NewPCG(seed, 1)), fail: fail, sendRequests: true, grants: make(map[keys.Fence]holder),
		newestFence: make(map[keys.Hash]keys.Fence), partitions: make(map[[2]string]bool), trace: func(string, ...any) {}}
	for i := range 6 {
		c.hashes = append(c.hashes, keys.Hash(i)*(keys.MaxHash/6)+keys.Hash(c.rnd.Uint64N(1<<60)))
	}
	c.hashes = append(c.hashes, 0, keys.MaxHash)
	skew := func() float64 { return 1 + (c.rnd.Float64()-0.5)/1000 }
	for i := range hosts {
		h := &host{name: keys.Host(fmt.Sprintf("h%d", i)), clockOffset: c.rnd.Int64N(1e6), clockRate: skew()}
		c.hosts = append(c.hosts, h)
		c.startHost(h)
	}
	for i, check := range checks {
		c.servers = append(c.servers, &backend{name: keys.Server(fmt.Sprintf("s%d", i)), clockOffset: c.rnd.Int64N(1e6), clockRate: skew(),
			checksFence: check, state: grant.Ready, pushes: make(map[holder]pushedGrants)})
	}
	c.after(0, c.sendRequest)
	c.after(0, c.runElection)
	return c
}

// startHost starts a process on the host with an empty state.
func (c *cluster) startHost(h *host) {
	h.incarnation++
	h.dead, h.paused, h.inbox = false, false, nil
	h.dispatcher = lease.New(lease.Config{Host: h.name})
	h.lastProbe, h.unanswered = make(map[keys.Server]int64), make(map[keys.Server]int64)
	h.requests = make(map[*request]bool)
	h.assigner = c.assigner
	c.tick(h, h.incarnation)
}

func (c *cluster) after(d int64, do func()) {
	c.seq++
	heap.Push(&c.queue, event{c.now + max(d, 0), c.seq, do})
}

// run advances real time by d, and checks the ownership after every event.
func (c *cluster) run(d int64) {
	end := c.now + d
	for len(c.queue) > 0 && c.queue[0].at <= end {
		e := heap.Pop(&c.queue).(event)
		c.now = e.at
		e.do()
		c.steps++
		c.checkOwnership()
	}
	c.now = end
}

// delay returns the transit time of a message.
func (c *cluster) delay() int64 {
	d := int64(200 + c.rnd.IntN(1500))
	if c.reliable {
		return d
	}
	switch r := c.rnd.IntN(100); {
	case r < 2:
		d += int64(c.rnd.IntN(500)) * ms
	case r < 8:
		d += int64(c.rnd.IntN(60)) * ms
	}
	return d
}

// send delivers a message, which may be lost, delayed or duplicated.
func (c *cluster) send(from, to string, do func()) {
	if c.partitions[[2]string{from, to}] || !c.reliable && c.rnd.IntN(50) == 0 {
		return
	}
	c.after(c.delay(), do)
	if !c.reliable && c.rnd.IntN(30) == 0 {
		c.after(c.delay(), do)
	}
}

// runOnHost runs do in the host's process with that incarnation; a paused process
// runs it when it resumes.
func (c *cluster) runOnHost(h *host, hostIncarnation uint64, do func(now clock.Time)) {
	switch {
	case h.dead || h.incarnation != hostIncarnation:
	case h.paused:
		h.inbox = append(h.inbox, do)
	default:
		do(h.clock(c.now))
	}
}

func (h *host) clock(realTime int64) clock.Time {
	return clock.Time(float64(realTime+h.clockOffset) * h.clockRate / ms)
}
func (sv *backend) clock(realTime int64) clock.Time {
	return clock.Time(float64(realTime+sv.clockOffset) * sv.clockRate / ms)
}

// runOnServer runs do at the server unless it has been restarted since that
// incarnation; a frozen server runs it when it is unfrozen.
func (c *cluster) runOnServer(sv *backend, incarnation int, do func()) {
	switch {
	case sv.dead || sv.incarnation != incarnation:
	case sv.frozen:
		sv.inbox = append(sv.inbox, do)
	default:
		do()
	}
}

func (c *cluster) resumeHost(h *host) {
	h.paused = false
	inbox := h.inbox
	h.inbox = nil
	for _, do := range inbox {
		c.runOnHost(h, h.incarnation, do)
	}
}

func (c *cluster) unfreezeServer(sv *backend) {
	sv.frozen = false
	inbox := sv.inbox
	sv.inbox = nil
	for _, do := range inbox {
		c.runOnServer(sv, sv.incarnation, do)
	}
}

// tick steps a host's dispatcher and, if the host is elected, its assigner.
func (c *cluster) tick(h *host, hostIncarnation uint64) {
	if h.dead || h.incarnation != hostIncarnation {
		return
	}
	c.runOnHost(h, hostIncarnation, func(now clock.Time) {
		c.stepDispatcher(h, now, lease.Tick{})
		for _, name := range h.dispatcher.Servers() {
			c.probe(h, now, name)
		}
		if a := h.assigner; a != nil && a.host == h {
			c.stepAssigner(a, assign.Tick{})
		}
	})
	c.after(15*ms, func() { c.tick(h, hostIncarnation) })
}

func (c *cluster) server(name keys.Server) *backend {
	i := slices.IndexFunc(c.servers, func(sv *backend) bool { return sv.name == name })
	return c.servers[i]
}

func (c *cluster) host(name keys.Host) *host {
	i := slices.IndexFunc(c.hosts, func(h *host) bool { return h.name == name })
	return c.hosts[i]
}

// probe requests a server's clock every 100 ms; a probe without a response
// within 100 ms counts as missed.
func (c *cluster) probe(h *host, now clock.Time, name keys.Server) {
	last, known := h.lastProbe[name]
	if known && c.now-last < 100*ms {
		return
	}
	if known && h.unanswered[name] == last {
		c.stepDispatcher(h, now, lease.Unanswered{Server: name})
	}
	sent := c.now
	h.lastProbe[name], h.unanswered[name] = sent, sent
	sv := c.server(name)
	hostIncarnation, incarnation := h.incarnation, sv.incarnation
	c.send(string(h.name), string(name), func() {
		if sv.dead && sv.refusesConns && c.reportRefused {
			c.after(ms, func() {
				c.runOnHost(h, hostIncarnation, func(now clock.Time) { c.stepDispatcher(h, now, lease.Unanswered{Server: name, Refused: true}) })
			})
			return
		}
		c.runOnServer(sv, incarnation, func() { c.respondToProbe(h, hostIncarnation, sv, now, sent, 0) })
	})
}

// respondToProbe sends a server's clock and state to a dispatcher, in response
// to a probe or to the push seq.
func (c *cluster) respondToProbe(h *host, hostIncarnation uint64, sv *backend, sent clock.Time, probe int64, seq uint64) {
	ev := lease.Response{Server: sv.name, Sent: sent, ServerClock: sv.clock(c.now), State: sv.state, Slots: 2, Seq: seq}
	c.send(string(sv.name), string(h.name), func() {
		c.runOnHost(h, hostIncarnation, func(now clock.Time) {
			if h.unanswered[sv.name] == probe {
				h.unanswered[sv.name] = -1
			}
			c.stepDispatcher(h, now, ev)
		})
	})
}

// stepDispatcher steps the host's dispatcher and carries out its actions.
func (c *cluster) stepDispatcher(h *host, now clock.Time, ev lease.Event) {
	hostIncarnation := h.incarnation
	for _, a := range h.dispatcher.Step(now, ev) {
		switch a := a.(type) {
		case lease.Renewal:
			ev := assign.Renewal{From: h.name, Incarnation: hostIncarnation, Nonce: a.Nonce, Ack: a.Ack, Servers: a.Servers}
			for _, to := range []*assigner{h.assigner, h.previousAssigner} {
				if to == nil || to == h.previousAssigner && c.rnd.IntN(2) == 0 {
					continue
				}
				c.send(string(h.name), string(to.host.name), func() {
					c.runOnHost(to.host, to.incarnation, func(clock.Time) { c.stepAssigner(to, ev) })
				})
			}
		case lease.Push:
			c.deliverPush(h, now, a)
		case lease.Transfer:
			to := c.host(a.Next)
			c.send(string(h.name), string(to.name), func() {
				c.send(string(to.name), string(h.name), func() {
					c.runOnHost(h, hostIncarnation, func(now clock.Time) {
						c.stepDispatcher(h, now, lease.Transferred{Range: a.Range, Fence: a.Fence, OK: true})
					})
				})
			})
		}
	}
}

func (c *cluster) deliverPush(h *host, sent clock.Time, a lease.Push) {
	sv, hostIncarnation := c.server(a.Server), h.incarnation
	incarnation := sv.incarnation
	c.send(string(h.name), string(sv.name), func() {
		c.runOnServer(sv, incarnation, func() {
			from := holder{sv.name, h.name, hostIncarnation}
			if sv.pushes[from].seq >= a.Seq {
				return
			}
			sv.pushes[from] = pushedGrants{a.Seq, a.Grants, a.Until}
			c.respondToProbe(h, hostIncarnation, sv, sent, 0, a.Seq)
		})
	})
}
