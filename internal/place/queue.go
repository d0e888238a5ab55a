package place

import (
	"cmp"
	"math"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// service has the requests that wait for one service.
type service struct {
	queue []*Request
	mean  float64 // ms per request
}

func (s *State) service(name keys.Service) *service {
	x := s.services[name]
	if x == nil {
		x = &service{mean: 100}
		s.services[name] = x
	}
	return x
}

// unreachable reports whether a request can't be served before its limit
// because its only server, or every server, can't be connected to.
func (s *State) unreachable(now clock.Time, r *Request) bool {
	until := s.limit(now, r)
	if r.Keyed {
		sv := s.ownerOf(r)
		return sv != nil && sv.broken > 1 && sv.avoid >= until
	}
	group := s.groups[r.Service]
	return len(group) > 0 && !slices.ContainsFunc(group, func(sv *server) bool { return sv.broken <= 1 || sv.avoid < until })
}

// position returns where a request belongs in the queue: behind more urgent
// ones, then behind those that take less time, then behind those whose
// objective comes earlier. Short requests first means that the most callers are
// served in time when not all can be.
func (x *service) position(r *Request) int {
	i, _ := slices.BinarySearchFunc(x.queue, r, func(q, r *Request) int {
		if c := cmp.Or(cmp.Compare(q.Priority, r.Priority), cmp.Compare(q.size(), r.size())); c != 0 {
			return c
		}
		if q.Objective <= r.Objective {
			return -1
		}
		return 1
	})
	return i
}

// size classes requests by the time that they take, in powers of sizeStep, so
// that small differences don't matter.
func (r *Request) size() int {
	return int(math.Log(float64(max(r.Mean, 1))) / math.Log(sizeStep))
}

// limit returns until when a request may wait in the queue.
func (s *State) limit(now clock.Time, r *Request) clock.Time {
	full := float64(r.Objective.Sub(r.Arrived))
	until := r.Arrived.Add(clock.Span(full * waitShare))
	if len(r.Avoid) > 0 { // it has spent time at a server already
		until = max(until, now.Add(clock.Span(full*waitShare/4)))
	}
	return min(until, r.Deadline)
}

// expected estimates how long a request at a position of the queue has to wait:
// the requests ahead of it here and their like on other hosts, divided by the
// pace at which the servers that may run it free slots.
func (s *State) expected(x *service, r *Request, at int) clock.Span {
	ahead, group := at, s.groups[r.Service]
	if r.Keyed {
		sv := s.ownerOf(r)
		if sv == nil {
			return 0 // nothing tells how long there will be no owner
		}
		ahead, group = s.aheadAt(x, sv, at), []*server{sv}
	}
	slots := 0.0
	for _, sv := range group {
		slots += float64(sv.Slots) / max(sv.pace, 0.1)
	}
	if slots == 0 || ahead == 0 {
		return 0
	}
	all := ahead
	for _, p := range s.peers {
		all += p.waiting[r.Service] * ahead / max(len(x.queue), 1)
	}
	return clock.Span(float64(all) * x.mean / slots)
}

// aheadAt returns how many of the first requests of the queue wait for a server.
func (s *State) aheadAt(x *service, sv *server, at int) (n int) {
	for _, q := range x.queue[:at] {
		if q.Keyed && s.ownerOf(q) == sv {
			n++
		}
	}
	return n
}

// ownerOf returns the server that owns a request's key, or nil.
func (s *State) ownerOf(r *Request) *server { return s.servers[s.tables[r.Service].Owner(r.Key)] }

func after(wait clock.Span) clock.Span { return min(max(wait, retryMin), retryMax) }

// Cancel removes a request that waits. It reports whether there was one.
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

// Stop refuses all requests that wait, and from now on every new one: the host
// ends.
func (s *State) Stop() (acts []Action) {
	s.stopped = true
	for _, x := range s.services {
		for _, r := range x.queue {
			acts = append(acts, Refuse{ID: r.ID, Why: Stopping, After: retryMin})
		}
		x.queue = nil
	}
	return acts
}

// why explains a refusal after a wait.
func (s *State) why(r *Request) Why {
	switch {
	case len(s.groups[r.Service]) == 0:
		return NoServer
	case r.Keyed && s.tables[r.Service].Owner(r.Key) == "":
		return NoOwner
	}
	return WaitedOut
}
