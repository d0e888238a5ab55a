package replay

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// balancePeriod is the time between two samples of the imbalance.
	balancePeriod = clock.Second
	// requestTimeout ends a request at a server that is lost.
	requestTimeout = clock.Second
	storeDelay     = 5 * clock.Millisecond
)

// sim plays one trace.
type sim struct {
	trace    Trace
	now      clock.Time
	rnd      *rand.Rand
	queue    queue
	seq      int
	hosts    []*host
	servers  []*server
	byHost   map[keys.Host]*host
	byServer map[keys.Server]*server
	store    *object
	keys     []*key
	open     []request
	table    assign.Table // newest that a host has
	m        measure
	reloaded bool // rates have changed
}

// key is a key with its present owner as the newest table has it.
type key struct {
	hash   keys.Hash
	set    string
	weight float64 // share of the set's load
	rate   float64
	due    float64 // requests that are due

	row    bool
	host   *host
	server *server
	last   *server // that served it last
	gap    clock.Span
}

// request is in flight.
type request struct {
	end    clock.Time
	host   *host
	boot   uint64
	server *server
	life   int
	hash   keys.Hash
}

// Play plays a trace and judges the result.
func Play(t Trace) Result {
	s := newSim(t)
	next, step := 0, t.Step
	for ; s.now <= t.End; s.now = s.now.Add(step) {
		for next < len(t.Events) && t.Events[next].At <= s.now {
			at := s.now
			s.runUntil(max(t.Events[next].At, at.Add(-step)))
			s.happen(t.Events[next])
			s.now = at
			next++
		}
		s.runUntil(s.now)
		s.expectLoad()
		s.finish()
		s.sample()
	}
	return judge(t, s.m.finish(t))
}

func newSim(t Trace) *sim {
	s := &sim{trace: t, rnd: rand.New(rand.NewPCG(t.Seed, 1)), byHost: make(map[keys.Host]*host), byServer: make(map[keys.Server]*server)}
	s.store = &object{s: s, delay: storeDelay}
	s.m = measure{hosts: len(t.Hosts), bound: assign.Bound(t.policy), seen: make(map[keys.Fence]bool)}
	for _, set := range t.Keys {
		s.addKeys(set)
	}
	slices.SortFunc(s.keys, func(a, b *key) int { return cmp.Compare(a.hash, b.hash) })
	for _, spec := range t.Servers {
		sv := &server{s: s, name: spec.Name, checks: spec.Checks, offset: clock.Span(s.rnd.Int64N(1e6)), dead: true}
		s.servers = append(s.servers, sv)
		s.byServer[sv.name] = sv
		if !spec.Absent {
			sv.join()
			sv.known, sv.listing = true, assign.Ready
		}
	}
	for _, name := range t.Hosts {
		h := &host{s: s, name: name, offset: clock.Span(s.rnd.Int64N(1e6)), dead: true, listed: true}
		s.hosts = append(s.hosts, h)
		s.byHost[name] = h
	}
	for _, h := range s.hosts {
		s.after(clock.Span(s.rnd.Int64N(int64(tickPeriod))), h.start)
	}
	return s
}

func (s *sim) addKeys(set KeySet) {
	total := 0.0
	for i := range set.Count {
		total += math.Pow(float64(i+1), -set.Zipf)
	}
	for i := range set.Count {
		h := keys.Of(keys.Service(set.Name), fmt.Sprint(i, s.trace.Seed))
		at := (set.From + (set.To-set.From)*float64(h)/math.MaxUint64) * math.MaxUint64
		if set.From > 0 || set.To < 1 {
			h = keys.Hash(at)
		}
		s.keys = append(s.keys, &key{hash: h, set: set.Name, weight: math.Pow(float64(i+1), -set.Zipf) / total, due: s.rnd.Float64()})
	}
}

// timed is an action of the queue. Actions of one time run in their order.
type timed struct {
	at  clock.Time
	seq int
	do  func()
}

type queue []timed

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(timed)) }
func (q *queue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

func (s *sim) after(d clock.Span, do func()) {
	s.seq++
	heap.Push(&s.queue, timed{s.now.Add(d), s.seq, do})
}

func (s *sim) runUntil(end clock.Time) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(timed)
		s.now = e.at
		e.do()
	}
	s.now = end
}

func (s *sim) count(messages, bytes int) {
	if s.now >= s.trace.Warm {
		s.m.messages += messages
		s.m.bytes += bytes
	}
}

// finish ends requests. One to a lost server that checks fencing tokens ends
// after its timeout, one to another at the end of the server's machine or
// connection.
func (s *sim) finish() {
	s.open = slices.DeleteFunc(s.open, func(r request) bool {
		lost := r.server.dead || r.server.life != r.life
		switch {
		case r.host.dead || r.host.boot != r.boot:
			return true
		case s.now < r.end || r.server.frozen || r.host.paused:
			return false
		case lost && r.server.checks && s.now < r.end.Add(requestTimeout):
			return false
		case lost && !r.server.checks && !r.server.refuses && r.server.listing != assign.Gone:
			return false
		}
		r.host.hold.End(r.host.clock(), r.server.name, r.hash)
		return true
	})
}

// serves reports whether a request for the key would run now.
func (s *sim) serves(k *key) bool {
	if !k.row || k.host == nil || k.host.dead || k.host.paused || k.server.dead || k.server.frozen {
		return false
	}
	_, err := k.host.hold.Check(k.host.clock(), k.server.name, k.hash)
	return err == nil && k.server.accepts(k.hash)
}

// sample sends the requests that are due and measures.
func (s *sim) sample() {
	counted, step := s.now >= s.trace.Warm, s.trace.Step
	for _, k := range s.keys {
		ok := s.serves(k)
		if k.due += k.rate * float64(step) / float64(clock.Second); k.due >= 1 {
			s.request(k, ok)
		}
		if !ok {
			if counted {
				k.gap += step
				s.m.UnavailableKeySeconds += float64(step) / float64(clock.Second)
				if k.gap >= s.m.LongestGap {
					s.m.LongestGap, s.m.LongestGapAt = k.gap, s.now
				}
			}
			continue
		}
		k.gap = 0
		if k.last != k.server && k.last != nil && counted {
			s.m.moved += k.rate
			s.m.KeyMoves++
		}
		k.last = k.server
	}
	if counted && s.doubled() {
		s.m.DoubleOwners++
	}
	if counted && s.now%clock.Time(balancePeriod) == 0 {
		s.balance()
	}
}

func (s *sim) request(k *key, ok bool) {
	for ; k.due >= 1; k.due-- {
		if !ok {
			continue // the caller repeats it later
		}
		h, sv := k.host, k.server
		if _, err := h.hold.Begin(h.clock(), sv.name, k.hash); err != nil {
			continue
		}
		s.open = append(s.open, request{s.now.Add(s.trace.Service), h, h.boot, sv, sv.life, k.hash})
		if sv.leftAt > 0 {
			s.m.LeavingWork = max(s.m.LeavingWork, s.now.Sub(sv.leftAt))
		}
	}
}

// doubled reports whether two servers could run one hash now.
func (s *sim) doubled() bool {
	type span struct {
		r  keys.Range
		sv *server
	}
	var spans []span
	for _, sv := range s.servers {
		if sv.dead || !sv.checks {
			continue
		}
		for _, p := range sv.sets {
			if sv.clock() >= p.Until {
				continue
			}
			for _, g := range p.Grants {
				spans = append(spans, span{g.Range, sv})
			}
		}
	}
	for _, h := range s.hosts {
		if h.dead || !slices.ContainsFunc(s.servers, func(sv *server) bool { return !sv.checks }) {
			continue
		}
		for _, d := range h.hold.Dump().Servers {
			sv := s.byServer[d.Server]
			if sv.checks || sv.dead || d.State == grant.Missed.String() {
				continue
			}
			for _, r := range d.Records {
				if !r.Releasing && h.clock() < r.Until {
					spans = append(spans, span{r.Range, sv})
				}
			}
		}
	}
	for _, r := range s.open {
		if !r.server.checks && !r.server.dead {
			spans = append(spans, span{keys.NewRange(r.hash, r.hash), r.server})
		}
	}
	slices.SortFunc(spans, func(a, b span) int { return cmp.Compare(a.r.Lo(), b.r.Lo()) })
	for i := range spans {
		for j := i + 1; j < len(spans) && spans[j].r.Lo() <= spans[i].r.Hi(); j++ {
			if spans[j].sv != spans[i].sv {
				return true
			}
		}
	}
	return false
}

// balanced lists the servers that should have load.
func (s *sim) balanced() (all []*server) {
	for _, sv := range s.servers {
		if !sv.dead && !sv.frozen && sv.leftAt == 0 {
			all = append(all, sv)
		}
	}
	return all
}

func (s *sim) total() (sum float64) {
	for _, k := range s.keys {
		sum += k.rate
	}
	return sum
}

func (s *sim) loadOf(sv *server) (sum float64) {
	for _, k := range s.keys {
		if k.last == sv {
			sum += k.rate
		}
	}
	return sum
}

// balance samples the imbalance.
func (s *sim) balance() {
	total, most := s.total(), 0.0
	all := s.balanced()
	for _, sv := range all {
		most = max(most, s.loadOf(sv))
	}
	if total == 0 || len(all) == 0 {
		return
	}
	ratio := most / (total / float64(len(all)))
	s.m.loadSum += total
	s.m.balSum += ratio
	s.m.ImbalancePeak = max(s.m.ImbalancePeak, ratio)
	s.m.samples++
}

// expect adds to the least load that has to move.
func (m *measure) expect(s *sim, load float64) {
	if s.now >= s.trace.Warm {
		m.least += load
	}
}
