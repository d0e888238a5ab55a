// Package admit decides when the requests of all hosts may be sent to the servers for
// which this host is the admitter.
//
// Each server has one admitter. Hosts ask it before they send a request, and tell it
// when the request is done. At most one request more than the server has slots is
// admitted at a time, so that requests wait here, in the order of priority and
// objective, and not at the server in the order of arrival. A request that can't be
// served before its wait limit is refused.
//
// The package does no I/O, reads no clock and doesn't lock; calls of a State must be
// serialized. The work per call depends on the queue of one server, which is bounded,
// and not on the number of hosts and servers.
//
// # Usage
//
//	s := admit.New(seed)
//	replies := s.Ask(now, admit.Request{ID: id, Server: sv, ...})
//	replies = append(replies, s.Done(now, id, admit.Result{...})...)
//	replies = append(replies, s.Tick(now)...) // periodically
//	for _, r := range replies {
//		switch r := r.(type) {
//		case admit.Admitted:
//		case admit.Queued:
//		case admit.Refused:
//		case admit.Gone:
//		case admit.Moved:
//		}
//	}
package admit

import (
	"math/rand/v2"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// maxQueue is the most requests that wait for a server. Those behind more would be
	// refused by their wait limit.
	maxQueue = 48
	// maxRequests is the most requests that wait or are admitted at all servers.
	maxRequests = 16384
	// unlistedGrace is how long a process that an ask has named counts although the list
	// has an earlier one: hosts learn of a restart at different times.
	unlistedGrace = 5 * clock.Second
	// maxServers is the most servers that hosts have asked for.
	maxServers = 16384
	// spareAdmissions is the number of admitted requests beyond the server's slots. The
	// next request then starts before the result of the last one has arrived here.
	spareAdmissions = 1
	// retryAfterMin and retryAfterMax bound the delay after which a refused caller may
	// retry.
	retryAfterMin = 50 * clock.Millisecond
	retryAfterMax = 2 * clock.Second
	// retryJitter is the largest random addition to that delay, as a share of it.
	retryJitter = 0.5
)

// ID identifies a request: Num is unique at the host that asks.
type ID struct {
	Host string // address
	Num  uint64
}

// Request asks for the admission of a request to a server.
type Request struct {
	ID        ID
	Server    fleet.Incarnation
	Slots     int // of the server
	Priority  int // 0 is the highest
	Objective clock.Time
	Deadline  clock.Time
	RouteMean clock.Span // mean service time of its route
	Cold      clock.Span // how much longer the server is cold; 0: it isn't
	ColdRate  float64    // requests per second that it tolerates while it is cold
	AtOnce    bool       // refused if it can't be admitted at once
}

// Reply is the answer to a request: Admitted, Queued, Refused, Gone or Moved.
type Reply interface {
	// To returns the request that the reply is for.
	To() ID
}

// Admitted allows the host to send the request.
type Admitted struct{ ID ID }

// Queued has the host wait for another reply.
type Queued struct{ ID ID }

// Refused rejects a request that can't be served in time.
type Refused struct {
	ID         ID
	RetryAfter clock.Span // delay before the caller should retry
}

// Gone means that the server has left or restarted; the request is placed again.
type Gone struct{ ID ID }

// Moved means that this host isn't an admitter any more; the next host is asked.
type Moved struct{ ID ID }

func (r Admitted) To() ID { return r.ID }
func (r Queued) To() ID   { return r.ID }
func (r Refused) To() ID  { return r.ID }
func (r Gone) To() ID     { return r.ID }
func (r Moved) To() ID    { return r.ID }

// Result is the outcome of an admitted request.
type Result struct {
	Duration clock.Span // at the server; 0: it wasn't completed
	Load     int        // requests at the server when it responded, without this one
	HasLoad  bool       // the server has told Load
}

// request is a request that waits or is admitted.
type request struct {
	Request
	server     *server
	limit      clock.Time // until which it may wait
	admitted   bool
	admittedAt clock.Time
	// waits says that all slots were in use when it was admitted, so that it waits at the
	// server for the next request that completes. waited is how long it has waited.
	waits  bool
	waited clock.Span
}

// State has the queues and reservations of the servers for which hosts ask this one.
type State struct {
	rng      *rand.Rand
	listed   map[keys.Server]Server
	servers  map[keys.Server]*server
	active   map[*server]bool // with requests
	requests map[ID]*request
	stopped  bool
	over     float64 // see SetColdBound
	slack    float64
	coldFrom clock.Time // see SetColdFrom
}

// New returns a State without servers.
func New(seed uint64) *State {
	return &State{
		rng: rand.New(rand.NewPCG(seed, 0)), listed: make(map[keys.Server]Server), servers: make(map[keys.Server]*server),
		active: make(map[*server]bool), requests: make(map[ID]*request),
	}
}

// Ask adds a request. The replies may also admit or refuse others. A request that is
// asked for again gets the same reply.
func (s *State) Ask(now clock.Time, r Request) []Reply {
	if s.stopped {
		return []Reply{Moved{r.ID}}
	}
	if q := s.requests[r.ID]; q != nil {
		if q.admitted {
			return []Reply{Admitted{r.ID}}
		}
		return []Reply{Queued{r.ID}}
	}
	sv := s.serverOf(now, &r)
	if sv == nil {
		return []Reply{Gone{r.ID}}
	}
	if len(s.requests) >= maxRequests {
		return []Reply{s.refuse(r.ID, retryAfterMax/2)}
	}
	s.setCold(now, sv, r.Cold, r.ColdRate)
	sv.meanMs += meanWeight * (r.mean() - sv.meanMs)
	sv.recordDemand(now, &r)
	q := &request{Request: r, server: sv}
	q.limit = sv.waitLimit(now, &r)
	s.requests[r.ID] = q
	s.active[sv] = true
	sv.queue = append(sv.queue, q)
	replies := s.advance(now, sv, q)
	if !q.admitted && s.requests[r.ID] == q {
		replies = append(replies, Queued{r.ID})
	}
	return replies
}

// Done ends the reservation of an admitted request, and the wait of one that isn't
// wanted any more. Unknown requests are ignored.
func (s *State) Done(now clock.Time, id ID, res Result) []Reply {
	q := s.requests[id]
	if q == nil {
		return nil
	}
	sv := q.server
	s.forget(now, q)
	if q.admitted {
		sv.record(now, q, res)
		for _, lost := range sv.stale(now, res) {
			s.forget(now, lost)
		}
	}
	return s.advance(now, sv, nil)
}

// Cancel is Done for a request that wasn't sent.
func (s *State) Cancel(now clock.Time, id ID) []Reply { return s.Done(now, id, Result{}) }

// Tick ends the reservations whose deadline has passed, refuses requests that have
// waited too long, and admits others.
func (s *State) Tick(now clock.Time) (replies []Reply) {
	for sv := range s.active {
		for _, q := range sv.expired(now) {
			s.forget(now, q)
		}
		replies = append(replies, s.advance(now, sv, nil)...)
	}
	return replies
}

// Idle reports whether no requests wait or are admitted, so that Tick has nothing to
// do.
func (s *State) Idle() bool { return len(s.active) == 0 }

// SetServers replaces the list of servers. The requests for servers that have left or
// restarted are replied to with Gone.
func (s *State) SetServers(now clock.Time, list []Server) (replies []Reply) {
	clear(s.listed)
	for _, sv := range list {
		s.listed[sv.ID] = sv
	}
	for id, sv := range s.servers {
		l, ok := s.listed[id]
		switch {
		case ok && l.Born <= sv.born:
			sv.update(l)
			replies = append(replies, s.advance(now, sv, nil)...)
		case ok || sv.listed || sv.idle():
			replies = append(replies, s.drop(sv)...)
		}
	}
	return replies
}

// Stop replies to the waiting requests, and to all later ones, that this host isn't an
// admitter any more.
func (s *State) Stop() (replies []Reply) {
	s.stopped = true
	for _, q := range s.requests {
		if !q.admitted {
			replies = append(replies, Moved{q.ID})
		}
	}
	clear(s.requests)
	clear(s.servers)
	clear(s.active)
	return replies
}

// Queue is the number of requests of one server.
type Queue struct {
	Waiting  int     `json:"waiting"`
	Admitted int     `json:"admitted"`
	Ratio    float64 `json:"ratio"` // service time relative to the mean
}

// Queues returns the queues that aren't empty.
func (s *State) Queues() map[keys.Server]Queue {
	out := make(map[keys.Server]Queue, len(s.active))
	for sv := range s.active {
		out[sv.id] = Queue{Waiting: len(sv.queue), Admitted: len(sv.admitted), Ratio: sv.ratio}
	}
	return out
}

// serverOf returns the server that a request is for, or nil if it names an earlier
// process than the current one, or there are too many. A server that isn't listed yet is
// taken from the request.
func (s *State) serverOf(now clock.Time, r *Request) *server {
	sv := s.servers[r.Server.ID]
	if sv != nil && sv.born == r.Server.Born {
		return sv
	}
	l, ok := s.listed[r.Server.ID]
	if ok && l.Born > r.Server.Born {
		return nil
	}
	// A server whose clock was set back starts again with a lower Born.
	restarted := ok && l.Born == r.Server.Born && sv != nil && now.Sub(sv.madeAt) >= unlistedGrace
	if sv != nil && sv.born > r.Server.Born && !restarted {
		return nil
	}
	if !ok || l.Born < r.Server.Born {
		l = Server{ID: r.Server.ID, Born: r.Server.Born, Slots: r.Slots}
	}
	if sv == nil && len(s.servers) >= maxServers {
		return nil
	}
	if sv != nil {
		s.drop(sv) // the hosts place the waiting requests again when they learn of the restart
	}
	sv = &server{id: l.ID, born: l.Born, madeAt: now, ratio: 1, meanMs: r.mean()}
	sv.update(l)
	sv.listed = ok
	s.servers[l.ID] = sv
	return sv
}

// drop forgets a server that has left or restarted.
func (s *State) drop(sv *server) (replies []Reply) {
	for _, q := range sv.queue {
		delete(s.requests, q.ID)
		replies = append(replies, Gone{q.ID})
	}
	for _, q := range sv.admitted {
		delete(s.requests, q.ID)
	}
	delete(s.active, sv)
	delete(s.servers, sv.id)
	return replies
}

// forget removes a request.
func (s *State) forget(now clock.Time, q *request) {
	delete(s.requests, q.ID)
	q.server.remove(now, q)
	if q.server.idle() {
		delete(s.active, q.server)
	}
}

// refuse returns the refusal of a request that could be served after the given time.
func (s *State) refuse(id ID, wait clock.Span) Refused {
	wait = min(max(wait, retryAfterMin), retryAfterMax)
	return Refused{ID: id, RetryAfter: wait + clock.Span(s.rng.Float64()*retryJitter*float64(wait))}
}
