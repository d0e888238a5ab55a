package place

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// notice is what a process of a server has said about itself in its responses.
// It outlives the server's entry in the list, which may be missing or older than
// the response while the store is down or after it was restored from a copy.
type notice struct {
	born     int64 // incarnation of the server
	leaving  bool
	leavesAt clock.Time // a leaving server gets no requests from then on
	// pausedUntil is the end of the pause that it has asked for.
	pausedUntil clock.Time
}

// noticeRetention is how long the notice of a server is kept after its effect, while
// the server isn't listed. It is longer than the age of a copy that the store may be
// restored from.
const noticeRetention = 5 * 60 * clock.Second

// forgetNotices removes the notices of servers that are no longer listed.
func (s *State) forgetNotices(now clock.Time) {
	for id, n := range s.notices {
		if s.servers[id] == nil && now.Sub(max(n.leavesAt, n.pausedUntil)) > noticeRetention {
			delete(s.notices, id)
		}
	}
}

// applies reports whether a listed server is the process that gave the notice,
// or an earlier one.
func (n notice) applies(sv fleet.Server) bool { return sv.Born <= n.born }

// noticeOf returns the notice that applies to a listed server, or the zero value.
func (s *State) noticeOf(sv fleet.Server) notice {
	if n := s.notices[sv.ID]; n.applies(sv) {
		return n
	}
	return notice{}
}

// noticeBy returns the notice of a process, to be changed. ok is false if a later
// process has given one.
func (s *State) noticeBy(in fleet.Incarnation) (n notice, ok bool) {
	n, found := s.notices[in.ID]
	if !found || n.born < in.Born {
		return notice{born: in.Born}, true
	}
	return n, n.born == in.Born
}

// setNotice replaces the notice of a server.
func (s *State) setNotice(id keys.Server, n notice) {
	s.notices[id] = n
	if sv := s.servers[id]; sv != nil && n.applies(sv.Server) {
		sv.notice = n
	}
}

// SetLeaving records that a process of a server is leaving. From then on it gets
// requests only if no other server can serve them: those for its keys, and those
// of a service whose servers are all leaving. It gets none from leavesAt on.
// first is false if this is already known.
func (s *State) SetLeaving(now clock.Time, in fleet.Incarnation, leavesAt clock.Time) (first bool, acts []Action) {
	n, ok := s.noticeBy(in)
	if !ok || n.leaving {
		return false, nil
	}
	n.leaving, n.leavesAt = true, leavesAt
	s.setNotice(in.ID, n)
	s.groupServers()
	return true, s.dispatchAll(now)
}

// Pause records that a process of a server wants no requests before a time. first
// is false if it is in a pause already. A longer pause replaces a shorter one.
func (s *State) Pause(now clock.Time, in fleet.Incarnation, until clock.Time) (first bool) {
	n, ok := s.noticeBy(in)
	if !ok || until <= n.pausedUntil {
		return false
	}
	first = n.pausedUntil <= now
	n.pausedUntil = until
	s.setNotice(in.ID, n)
	s.lastPauseEnd = max(s.lastPauseEnd, until)
	return first
}

// Paused reports whether a listed server wants no requests for now.
func (s *State) Paused(now clock.Time, sv fleet.Server) bool { return now < s.noticeOf(sv).pausedUntil }

// Leaving reports whether a listed server has said that it is leaving.
func (s *State) Leaving(sv fleet.Server) bool { return s.noticeOf(sv).leaving }

// groupServers sets the servers of each service that get requests without a key.
func (s *State) groupServers() {
	s.serversOf = make(map[keys.Service][]*server)
	s.leavingOf = make(map[keys.Service][]*server)
	s.evacuatedOf = make(map[keys.Service]bool)
	for _, id := range s.order {
		sv := s.servers[id]
		switch {
		case s.markEvacuated(sv):
			s.evacuatedOf[sv.Service] = true
		case sv.Draining:
		case sv.notice.leaving:
			s.leavingOf[sv.Service] = append(s.leavingOf[sv.Service], sv)
		default:
			s.serversOf[sv.Service] = append(s.serversOf[sv.Service], sv)
		}
	}
	s.setShares()
}

// candidates returns the servers that may run a request without a key: those that
// stay or, if there are none, the leaving ones that still get requests.
func (s *State) candidates(now clock.Time, name keys.Service) (group []*server) {
	if group = s.serversOf[name]; len(group) > 0 {
		return group
	}
	for _, sv := range s.leavingOf[name] {
		if !sv.gone(now) {
			group = append(group, sv)
		}
	}
	return group
}

// gone reports whether a server gets no requests any more because it leaves or is
// evacuated.
func (sv *server) gone(now clock.Time) bool {
	return sv.Draining || sv.notice.leaving && now >= sv.notice.leavesAt || sv.evacuated && now >= sv.ownsUntil
}

// avoided reports whether a server gets no requests for now, because it asked for
// a pause, rejected one or couldn't be reached.
func (sv *server) avoided(now clock.Time) bool {
	return now < max(sv.avoidUntil, sv.notice.pausedUntil)
}

// pauseLeft returns how long requests for the keys of a server have to wait for
// the end of its pause. The keys of a server that leaves or is evacuated are about
// to move.
func (sv *server) pauseLeft(now clock.Time) clock.Span {
	if sv.Draining || sv.notice.leaving || sv.evacuated {
		return 0
	}
	return max(sv.notice.pausedUntil.Sub(now), 0)
}

// availableAt returns from when a server is expected to accept requests.
func (sv *server) availableAt() clock.Time {
	if sv.connFailures > 1 {
		return max(sv.avoidUntil, sv.notice.pausedUntil)
	}
	return sv.notice.pausedUntil
}

// blocked refuses a request if no server that may run it is expected to accept
// one before the request's wait limit: its owner if it has a key, else any server
// of the service. ok is false if it may be served.
func (s *State) blocked(now clock.Time, r *Request) (ref Refuse, ok bool) {
	if s.allEvacuated(now, r.Service) {
		return Refuse{ID: r.ID, Why: Evacuated, RetryAfter: retryAfterMax}, true
	}
	sv := s.firstAvailable(now, r)
	limit := s.waitLimit(now, r)
	switch {
	case sv == nil || sv.availableAt() < limit:
		return ref, false
	case sv.notice.pausedUntil < limit:
		return Refuse{ID: r.ID, Why: Unreachable, RetryAfter: retryAfterMax / 2}, true
	}
	return Refuse{ID: r.ID, Why: Paused, RetryAfter: max(sv.notice.pausedUntil.Sub(now), retryAfterMin)}, true
}

// firstAvailable returns the server that is expected to accept a request first, or
// nil if that isn't known. The keys of an owner that leaves or is evacuated are about
// to move.
func (s *State) firstAvailable(now clock.Time, r *Request) (first *server) {
	if r.Keyed {
		sv := s.ownerOf(r)
		if sv == nil || sv.Draining || sv.notice.leaving || sv.evacuated {
			return nil
		}
		return sv
	}
	for _, sv := range s.candidates(now, r.Service) {
		if first == nil || sv.availableAt() < first.availableAt() {
			first = sv
		}
	}
	return first
}
