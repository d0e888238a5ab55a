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
	// imbalanceInterval is the time between two samples of the imbalance.
	imbalanceInterval = clock.Second
	// requestTimeout is the time after which a request at a lost server ends.
	requestTimeout = clock.Second
	storeDelay     = 5 * clock.Millisecond
)

// sim is the simulation of one trace.
type sim struct {
	trace        Trace
	now          clock.Time
	rand         *rand.Rand
	queue        queue
	seq          int // number of the last action in queue
	hosts        []*host
	servers      []*server
	byHost       map[keys.Host]*host
	byServer     map[keys.Server]*server
	store        *storeModel
	keys         []*key // by hash
	inFlight     []request
	table        assign.Table // newest that a host has
	stats        stats
	ratesChanged bool // since the last addOverload
}

// key is a key with its owner according to the newest table.
type key struct {
	hash   keys.Hash
	keySet string
	weight float64 // share of the key set's load
	rate   float64 // requests/s
	due    float64 // requests that are due

	routable   bool // the table has an owner that accepts new requests
	dispatcher *host
	server     *server
	lastServer *server    // that served it last
	gap        clock.Span // time for which it has been unavailable
}

// request is a request in flight.
type request struct {
	end               clock.Time
	host              *host
	hostIncarnation   uint64
	server            *server
	serverIncarnation int
	hash              keys.Hash
}

// Play plays a trace and compares the figures with the expected outcome.
func Play(t Trace) Result {
	s := newSim(t)
	next, step := 0, t.Step
	for ; s.now <= t.End; s.now = s.now.Add(step) {
		for next < len(t.Events) && t.Events[next].At <= s.now {
			at := s.now
			s.runUntil(max(t.Events[next].At, at.Add(-step)))
			s.applyEvent(t.Events[next])
			s.now = at
			next++
		}
		s.runUntil(s.now)
		s.addOverload()
		s.endRequests()
		s.sample()
	}
	return evaluate(t, s.stats.figures(t))
}

func newSim(t Trace) *sim {
	s := &sim{trace: t, rand: rand.New(rand.NewPCG(t.Seed, 1)), byHost: make(map[keys.Host]*host), byServer: make(map[keys.Server]*server)}
	s.store = &storeModel{sim: s, delay: storeDelay}
	s.stats = stats{hosts: len(t.Hosts), maxImbalance: assign.MaxImbalance(t.policy), seenFences: make(map[keys.Fence]bool)}
	for _, set := range t.Keys {
		s.addKeys(set)
	}
	slices.SortFunc(s.keys, func(a, b *key) int { return cmp.Compare(a.hash, b.hash) })
	for _, spec := range t.Servers {
		sv := &server{sim: s, name: spec.Name, checksFences: spec.ChecksFences, offset: clock.Span(s.rand.Int64N(1e6)), dead: true}
		s.servers = append(s.servers, sv)
		s.byServer[sv.name] = sv
		if !spec.Absent {
			sv.join()
			sv.listed, sv.listState = true, assign.Ready
		}
	}
	for _, name := range t.Hosts {
		h := &host{sim: s, name: name, offset: clock.Span(s.rand.Int64N(1e6)), dead: true, listed: true}
		s.hosts = append(s.hosts, h)
		s.byHost[name] = h
	}
	for _, h := range s.hosts {
		s.after(clock.Span(s.rand.Int64N(int64(tickInterval))), h.start)
	}
	return s
}

func (s *sim) addKeys(set KeySet) {
	total := 0.0
	for i := range set.Count {
		total += math.Pow(float64(i+1), -set.Zipf)
	}
	for i := range set.Count {
		h := keys.HashOf(keys.Service(set.Name), fmt.Sprint(i, s.trace.Seed))
		at := (set.From + (set.To-set.From)*float64(h)/math.MaxUint64) * math.MaxUint64
		if set.From > 0 || set.To < 1 {
			h = keys.Hash(at)
		}
		s.keys = append(s.keys, &key{hash: h, keySet: set.Name, weight: math.Pow(float64(i+1), -set.Zipf) / total, due: s.rand.Float64()})
	}
}

// action is a call at a simulated time. Actions at the same time are called in
// the order of their numbers.
type action struct {
	at  clock.Time
	seq int
	fn  func()
}

// queue implements heap.Interface.
type queue []action

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(action)) }
func (q *queue) Pop() any {
	e := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return e
}

// after calls fn after d of simulated time.
func (s *sim) after(d clock.Span, fn func()) {
	s.seq++
	heap.Push(&s.queue, action{s.now.Add(d), s.seq, fn})
}

func (s *sim) runUntil(end clock.Time) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(action)
		s.now = e.at
		e.fn()
	}
	s.now = end
}

func (s *sim) count(messages, bytes int) {
	if s.now >= s.trace.WarmupEnd {
		s.stats.messages += messages
		s.stats.bytes += bytes
	}
}

// endRequests ends requests whose service time has passed. A request at a lost
// server that checks fencing tokens ends after its timeout. At any other lost
// server it ends only when the machine refuses connections or the server is
// gone from the host list, since it could still be running until then.
func (s *sim) endRequests() {
	s.inFlight = slices.DeleteFunc(s.inFlight, func(r request) bool {
		lost := r.server.dead || r.server.incarnation != r.serverIncarnation
		switch {
		case r.host.dead || r.host.incarnation != r.hostIncarnation:
			return true
		case s.now < r.end || r.server.frozen || r.host.paused:
			return false
		case lost && r.server.checksFences && s.now < r.end.Add(requestTimeout):
			return false
		case lost && !r.server.checksFences && !r.server.refuses && r.server.listState != assign.Gone:
			return false
		}
		r.host.leases.End(r.host.now(), r.server.name, r.hash)
		return true
	})
}

// serves reports whether a request for the key would be processed now.
func (s *sim) serves(k *key) bool {
	if !k.routable || k.dispatcher == nil || k.dispatcher.dead || k.dispatcher.paused || k.server.dead || k.server.frozen {
		return false
	}
	_, err := k.dispatcher.leases.Check(k.dispatcher.now(), k.server.name, k.hash)
	return err == nil && k.server.accepts(k.hash)
}

// sample sends the requests that are due and updates the figures.
func (s *sim) sample() {
	counted, step := s.now >= s.trace.WarmupEnd, s.trace.Step
	for _, k := range s.keys {
		ok := s.serves(k)
		if k.due += k.rate * float64(step) / float64(clock.Second); k.due >= 1 {
			s.sendDue(k, ok)
		}
		if !ok {
			if counted {
				k.gap += step
				s.stats.UnavailableKeySeconds += float64(step) / float64(clock.Second)
				if k.gap >= s.stats.LongestGap {
					s.stats.LongestGap, s.stats.LongestGapAt = k.gap, s.now
				}
			}
			continue
		}
		k.gap = 0
		if k.lastServer != k.server && k.lastServer != nil && counted {
			s.stats.moved += k.rate
			s.stats.KeyMoves++
		}
		k.lastServer = k.server
	}
	if counted && s.hasDoubleOwner() {
		s.stats.DoubleOwners++
	}
	if counted && s.now%clock.Time(imbalanceInterval) == 0 {
		s.sampleImbalance()
	}
}

// sendDue sends the requests for a key that are due. Requests that fail aren't
// sent again.
func (s *sim) sendDue(k *key, ok bool) {
	for ; k.due >= 1; k.due-- {
		if !ok {
			continue // the caller would retry later
		}
		h, sv := k.dispatcher, k.server
		if _, err := h.leases.Begin(h.now(), sv.name, k.hash); err != nil {
			continue
		}
		s.inFlight = append(s.inFlight, request{s.now.Add(s.trace.ServiceTime), h, h.incarnation, sv, sv.incarnation, k.hash})
		if sv.drainingSince > 0 {
			s.stats.LeavingWork = max(s.stats.LeavingWork, s.now.Sub(sv.drainingSince))
		}
	}
}

// hasDoubleOwner reports whether two servers could run requests for the same
// hash now.
func (s *sim) hasDoubleOwner() bool {
	type owned struct {
		r  keys.Range
		sv *server
	}
	var all []owned
	for _, sv := range s.servers {
		if sv.dead || !sv.checksFences {
			continue
		}
		for _, p := range sv.grants {
			if sv.now() >= p.Until {
				continue
			}
			for _, g := range p.Grants {
				all = append(all, owned{g.Range, sv})
			}
		}
	}
	for _, h := range s.hosts {
		if h.dead || !slices.ContainsFunc(s.servers, func(sv *server) bool { return !sv.checksFences }) {
			continue
		}
		for _, d := range h.leases.Dump().Servers {
			sv := s.byServer[d.Server]
			if sv.checksFences || sv.dead || d.State == grant.Missed.String() {
				continue
			}
			for _, r := range d.Leases {
				if !r.Releasing && h.now() < r.Until {
					all = append(all, owned{r.Range, sv})
				}
			}
		}
	}
	for _, r := range s.inFlight {
		if !r.server.checksFences && !r.server.dead {
			all = append(all, owned{keys.NewRange(r.hash, r.hash), r.server})
		}
	}
	slices.SortFunc(all, func(a, b owned) int { return cmp.Compare(a.r.Lo(), b.r.Lo()) })
	for i := range all {
		for j := i + 1; j < len(all) && all[j].r.Lo() <= all[i].r.Hi(); j++ {
			if all[j].sv != all[i].sv {
				return true
			}
		}
	}
	return false
}

// activeServers returns the servers that should have load.
func (s *sim) activeServers() (all []*server) {
	for _, sv := range s.servers {
		if !sv.dead && !sv.frozen && sv.drainingSince == 0 {
			all = append(all, sv)
		}
	}
	return all
}

func (s *sim) totalRate() (sum float64) {
	for _, k := range s.keys {
		sum += k.rate
	}
	return sum
}

// loadOf returns the load of the keys that the server served last.
func (s *sim) loadOf(sv *server) (sum float64) {
	for _, k := range s.keys {
		if k.lastServer == sv {
			sum += k.rate
		}
	}
	return sum
}

func (s *sim) sampleImbalance() {
	total, most := s.totalRate(), 0.0
	all := s.activeServers()
	for _, sv := range all {
		most = max(most, s.loadOf(sv))
	}
	if total == 0 || len(all) == 0 {
		return
	}
	ratio := most / (total / float64(len(all)))
	s.stats.loadSum += total
	s.stats.imbalanceSum += ratio
	s.stats.ImbalancePeak = max(s.stats.ImbalancePeak, ratio)
	s.stats.samples++
}

// addMinMoved adds to the load that has to move.
func (m *stats) addMinMoved(s *sim, load float64) {
	if s.now >= s.trace.WarmupEnd {
		m.minMoved += load
	}
}
