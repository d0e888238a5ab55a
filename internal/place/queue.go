package place

import (
	"cmp"
	"math"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// service has the queued requests of one service.
type service struct {
	queue  []*Request
	meanMs float64 // moving average of the service time
}

func (s *State) service(name keys.Service) *service {
	x := s.services[name]
	if x == nil {
		x = &service{meanMs: 100}
		s.services[name] = x
	}
	return x
}

// position returns the index at which a request is inserted in the queue, which
// is ordered by priority, size class and objective. If not all requests can be
// served in time, serving the shortest first serves the most.
func (x *service) position(r *Request) int {
	i, _ := slices.BinarySearchFunc(x.queue, r, func(q, r *Request) int {
		if c := cmp.Or(cmp.Compare(q.Priority, r.Priority), cmp.Compare(q.sizeClass(), r.sizeClass())); c != 0 {
			return c
		}
		if q.Objective <= r.Objective {
			return -1
		}
		return 1
	})
	return i
}

// sizeClass classes requests by their mean service time in powers of
// sizeClassRatio, so that small differences don't change the order.
func (r *Request) sizeClass() int {
	return int(math.Log(float64(max(r.RouteMean, 1))) / math.Log(sizeClassRatio))
}

// waitLimit returns the time until which a request may wait in the queue.
func (s *State) waitLimit(now clock.Time, r *Request) clock.Time {
	full := float64(r.Objective.Sub(r.Arrived))
	until := r.Arrived.Add(clock.Span(full * maxWaitShare))
	if len(r.Tried) > 0 { // part of the objective was already spent at a server
		until = max(until, now.Add(clock.Span(full*maxWaitShare/4)))
	}
	return min(until, r.Deadline)
}

// expectedWait estimates how long a request at a position of the queue has to
// wait: the number of requests ahead of it, here and in proportion on the other
// hosts, divided by the rate at which the servers that may run it free slots. The
// rest of a pause that its owner has asked for is added, and what its owner has said
// to have queued.
func (s *State) expectedWait(now clock.Time, x *service, r *Request, at int) clock.Span {
	if s.needsAdmission(r) {
		return s.waitForOwner(now, r)
	}
	ahead, group, pause, waiting := at, s.pool(now, r.Service), clock.Span(0), 0
	if r.Keyed {
		sv := s.ownerOf(r)
		if sv == nil {
			return 0 // unknown how long the key will have no owner
		}
		ahead, group, pause, waiting = s.aheadFor(x, sv, at), []*server{sv}, max(sv.pauseLeft(now), s.allowanceWait(now, sv, s.aheadFor(x, sv, at))), s.toldWaiting(now, sv)
	} else {
		pause = s.groupWait(now, s.candidates(now, r.Service), at)
	}
	slots := 0.0
	for _, sv := range group {
		if !r.Keyed && now < sv.notice.pausedUntil {
			continue
		}
		slots += s.slotsOf(now, sv) / max(sv.serviceTimeRatio, 0.1)
	}
	if slots == 0 || ahead+waiting == 0 {
		return pause
	}
	all := ahead + waiting
	for _, p := range s.peers {
		all += p.queued[r.Service] * ahead / max(len(x.queue), 1)
	}
	return pause + clock.Span(float64(all)*x.meanMs/slots)
}

// aheadFor returns how many requests before a position of the queue wait for a
// server.
func (s *State) aheadFor(x *service, sv *server, at int) (n int) {
	for _, q := range x.queue[:at] {
		if q.Keyed && s.ownerOf(q) == sv {
			n++
		}
	}
	return n
}

// ownerOf returns the server that owns a request's key, or nil.
func (s *State) ownerOf(r *Request) *server { return s.servers[s.tables[r.Service].Owner(r.Key)] }

// retryAfter returns the delay for a refused caller, given the expected wait.
func retryAfter(wait clock.Span) clock.Span { return min(max(wait, retryAfterMin), retryAfterMax) }

// Cancel removes a queued request and reports whether it was in the queue.
func (s *State) Cancel(name keys.Service, id uint64) bool {
	x := s.service(name)
	for i, r := range x.queue {
		if r.ID == id {
			x.queue = slices.Delete(x.queue, i, i+1)
			return true
		}
	}
	return false
}

// Stop refuses all queued requests and every later one. It is called when the
// host shuts down.
func (s *State) Stop() (acts []Action) {
	s.stopped = true
	for _, x := range s.services {
		for _, r := range x.queue {
			acts = append(acts, Refuse{ID: r.ID, Why: Stopping, RetryAfter: retryAfterMin})
		}
		x.queue = nil
	}
	return acts
}

// refusalReason returns why a request that has waited to its limit is refused.
func (s *State) refusalReason(now clock.Time, r *Request) Why {
	switch {
	case len(s.candidates(now, r.Service)) == 0:
		return NoServer
	case r.Keyed && s.tables[r.Service].Owner(r.Key) == "":
		return NoOwner
	}
	return QueueTimeout
}
