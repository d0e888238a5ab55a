package limit

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"github.com/laburnummux/laburnummux/internal/clock"
)

// The simulation has 10 equal servers and 12 entry hosts. A tick of its clock is
// 0.1 ms. Network latency is not simulated.
const (
	simServers     = 10
	simHosts       = 12
	simRequests    = 100_000
	simMeanService = 50  // ticks of service, exponentially distributed
	simDeadline    = 500 // ticks
	simTickMs      = 0.1
)

type simRequest struct {
	arrived, service clock.Span
	host, server     int
}

// simServer is a server with its own queue, for the baseline policies.
type simServer struct {
	running int
	queue   []uint64
}

type sim struct {
	rng             *rand.Rand
	slots           int
	pick            func(s *sim, host int) int
	dispatcherQueue bool // requests queue at the dispatcher, in a State
	refuseWhenBusy  bool // servers have no queue; the host tries up to three
	now             clock.Time
	reqs            []simRequest
	completions     map[clock.Time][]uint64
	servers         [simServers]simServer
	states          [simServers]*State
	inFlight        [simHosts][simServers]int // requests of a host at a server
	nextServer      [simHosts]int             // for roundRobin
	waits           []float64                 // queueing times in ms
	inTime          int                       // requests completed within their deadline
}

func (s *sim) random(int) int { return s.rng.IntN(simServers) }

func (s *sim) roundRobin(host int) int {
	s.nextServer[host]++
	return s.nextServer[host] % simServers
}

func (s *sim) leastConnections(host int) int {
	first := s.rng.IntN(simServers)
	best := first
	for i := range simServers {
		if n := (first + i) % simServers; s.inFlight[host][n] < s.inFlight[host][best] {
			best = n
		}
	}
	return best
}

// twoChoices picks two random servers and returns the one whose dispatcher has
// fewer requests running and queued.
func (s *sim) twoChoices(int) int {
	a, b := s.rng.IntN(simServers), s.rng.IntN(simServers)
	if s.states[b].Running()+s.states[b].Waiting() < s.states[a].Running()+s.states[a].Waiting() {
		return b
	}
	return a
}

func (s *sim) start(id uint64) {
	r := &s.reqs[id]
	s.waits = append(s.waits, float64(clock.Span(s.now)-r.arrived)*simTickMs)
	end := s.now.Add(r.service)
	s.completions[end] = append(s.completions[end], id)
}

func (s *sim) arrive(id uint64) {
	r := &s.reqs[id]
	r.server = s.pick(s, r.host)
	if s.dispatcherQueue {
		v, acts := s.states[r.server].Offer(s.now, Request{
			ID: id, Caller: string(rune('a' + r.host)), Deadline: s.now.Add(simDeadline),
		})
		if s.apply(acts); v.Decision == Started {
			s.start(id)
		}
		return
	}
	for try := 1; s.refuseWhenBusy && try < 3 && s.servers[r.server].running >= s.slots; try++ {
		r.server = s.pick(s, r.host)
	}
	srv := &s.servers[r.server]
	switch {
	case srv.running < s.slots:
		srv.running++
		s.start(id)
	case s.refuseWhenBusy || len(srv.queue) >= s.slots*DefaultQueuePerSlot:
		return
	default:
		srv.queue = append(srv.queue, id)
	}
	s.inFlight[r.host][r.server]++
}

func (s *sim) apply(acts []Action) {
	for _, a := range acts {
		if st, ok := a.(Start); ok {
			s.start(st.ID)
		}
	}
}

func (s *sim) complete(id uint64) {
	r := s.reqs[id]
	if clock.Span(s.now)-r.arrived <= simDeadline {
		s.inTime++
	}
	if s.dispatcherQueue {
		s.apply(s.states[r.server].Done(s.now, id, Result{ServiceTime: r.service}))
		return
	}
	s.inFlight[r.host][r.server]--
	srv := &s.servers[r.server]
	if srv.running--; len(srv.queue) > 0 {
		next := srv.queue[0]
		srv.queue = srv.queue[1:]
		srv.running++
		s.start(next)
	}
}

// simulate offers requests at load times the capacity and returns the goodput as
// a share of the capacity.
func (s *sim) simulate(load float64) (goodput float64) {
	for i := range s.states {
		s.states[i] = New(Config{Slots: s.slots, InitialServiceTime: simMeanService})
	}
	s.completions = make(map[clock.Time][]uint64)
	gap, next := float64(simMeanService)/(load*float64(s.slots*simServers)), 0.0
	for len(s.reqs) < simRequests {
		for _, id := range s.completions[s.now] {
			s.complete(id)
		}
		delete(s.completions, s.now)
		for ; next < float64(s.now+1) && len(s.reqs) < simRequests; next += s.rng.ExpFloat64() * gap {
			s.reqs = append(s.reqs, simRequest{
				arrived: clock.Span(s.now), service: max(1, clock.Span(s.rng.ExpFloat64()*simMeanService)), host: s.rng.IntN(simHosts),
			})
			s.arrive(uint64(len(s.reqs) - 1))
		}
		s.now++
	}
	return float64(s.inTime) * simMeanService / (float64(s.now) * float64(s.slots*simServers))
}

// BenchmarkPolicies reports the queueing time of requests and the goodput: the
// share of the capacity that served requests within their 50 ms deadline.
func BenchmarkPolicies(b *testing.B) {
	policies := []struct {
		name string
		sim  sim
	}{
		{"limit-keyed", sim{pick: (*sim).random, dispatcherQueue: true}},
		{"limit-two-choices", sim{pick: (*sim).twoChoices, dispatcherQueue: true}},
		{"random-refusal", sim{pick: (*sim).random, refuseWhenBusy: true}},
		{"least-connections", sim{pick: (*sim).leastConnections}},
		{"round-robin", sim{pick: (*sim).roundRobin}},
	}
	for _, slots := range []int{2, 6} {
		for _, load := range []float64{0.5, 0.8, 0.95, 1.2, 2} {
			for _, p := range policies {
				b.Run(fmt.Sprintf("slots=%d/load=%.2f/%s", slots, load, p.name), func(b *testing.B) {
					var s sim
					var goodput float64
					for b.Loop() {
						s = p.sim
						s.rng, s.slots = rand.New(rand.NewPCG(11, uint64(slots))), slots
						goodput = s.simulate(load)
					}
					slices.Sort(s.waits)
					for _, q := range []float64{50, 99, 99.9} {
						b.ReportMetric(s.waits[int(float64(len(s.waits)-1)*q/100)], fmt.Sprintf("p%g-ms", q))
					}
					b.ReportMetric(goodput, "goodput")
					b.ReportMetric(0, "ns/op")
				})
			}
		}
	}
}

// BenchmarkOfferDone measures a request that starts at once, and one that passes
// through a queue of 96 requests of 12 callers.
func BenchmarkOfferDone(b *testing.B) {
	for _, waiting := range []int{0, 95} {
		b.Run(fmt.Sprintf("waiting=%d", waiting), func(b *testing.B) {
			s := New(Config{Slots: 6})
			id, oldest := uint64(0), uint64(1)
			callers := strings.Split("abcdefghijkl", "")
			offer := func() {
				id++
				s.Offer(0, Request{ID: id, Caller: callers[id%12], Deadline: 1 << 40})
			}
			for s.Waiting() < waiting {
				offer()
			}
			b.ReportAllocs()
			for b.Loop() {
				offer()
				s.Done(0, oldest, Result{ServiceTime: 5})
				oldest++
			}
		})
	}
}
