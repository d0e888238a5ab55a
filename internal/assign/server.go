package assign

import (
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// drainBatch is the number of rows that a draining server starts to
	// release per drainPeriod: 64 rows take 300 ms, well below the 3 s after
	// which it must have no new work.
	drainBatch  = 16
	drainPeriod = grant.Renewal
	// dispatchPeriod is the time between two planned changes of a dispatcher.
	dispatchPeriod = clock.Second
)

func (s *State) serverSeen(ev ServerSeen) {
	sv, _ := s.server(ev.Server)
	if ev.State == Gone {
		sv.ready = false
	}
	s.dirty = s.dirty || sv.addr != ev.Address || sv.listing != ev.State || sv.checks != ev.Checks
	sv.addr, sv.slots, sv.checks, sv.listing = ev.Address, ev.Slots, ev.Checks, ev.State
	if sv.weight = ev.Weight; sv.weight <= 0 {
		sv.weight = 1
	}
}

func (s *State) hostSeen(now clock.Time, ev HostSeen) {
	h := s.host(ev.Host)
	if h.leaving = ev.Leaving; !ev.Live && !h.gone {
		h.goneAt = now
	}
	h.gone = !ev.Live
}

// live reports whether a host has renewed recently in this term.
func (s *State) live(now clock.Time, h *host) bool {
	return h.nonce > 0 && !h.gone && now.Sub(h.heard) <= grant.Silence
}

// dispatches reports whether the server's dispatcher still works as far as is
// known.
func (s *State) dispatches(now clock.Time, sv *server) bool {
	if sv.host == "" {
		return false
	}
	h := s.host(sv.host)
	if h.boot != sv.boot || h.gone {
		return false
	}
	return s.live(now, h) || h.nonce == 0 && now.Sub(s.elected) <= electedGrace
}

// usable reports whether the server can be given ranges.
func (s *State) usable(now clock.Time, sv *server) bool {
	return sv.listing != Gone && sv.listing != Leaving && sv.state == grant.Ready && s.answers(now, sv)
}

// answers reports whether the server answers its dispatcher.
func (s *State) answers(now clock.Time, sv *server) bool {
	if sv.host == "" || sv.state == grant.Unknown || sv.state == grant.Missed {
		return false
	}
	h := s.host(sv.host)
	return s.live(now, h) && h.boot == sv.boot
}

// lost reports whether the server's ranges must go to another server, and
// whether it is unreachable rather than draining.
func (s *State) lost(now clock.Time, sv *server) (lost, unreachable bool) {
	switch {
	case sv.listing == Gone, sv.state == grant.Missed:
		return true, true
	case sv.listing == Leaving, sv.state == grant.Draining, sv.state == grant.Starting:
		return true, false
	}
	silent := sv.state == grant.Unknown && now.Sub(sv.since) > grant.Silence
	return silent, silent
}

// dispatch gives each server a dispatcher: the present one as long as it
// works, else the one with the fewest servers.
func (s *State) dispatch(now clock.Time) {
	count := make(map[keys.Host]int)
	for _, sv := range s.servers {
		if sv.listing != Gone && sv.host != "" {
			count[sv.host]++
		}
	}
	least := func(leaving bool) (best *host) {
		for _, h := range s.hosts {
			if s.live(now, h) && h.leaving == leaving && (best == nil || count[h.name] < count[best.name]) {
				best = h
			}
		}
		return best
	}
	move := func(sv *server, to *host) {
		count[sv.host]--
		count[to.name]++
		if h := s.host(sv.host); sv.host != "" {
			h.changed = true
		}
		sv.host, sv.boot, sv.state, sv.since = to.name, to.boot, grant.Unknown, now
		to.changed, s.dirty = true, true
	}
	for _, sv := range s.servers {
		works := s.dispatches(now, sv)
		if sv.listing == Gone || works && !s.host(sv.host).leaving {
			continue
		}
		to := least(false)
		if to == nil && !works {
			to = least(true) // better than none
		}
		if to != nil {
			move(sv, to)
		}
	}
	if now < s.balancer.dispatch || now < s.elected.Add(2*lease) {
		return
	}
	s.balancer.dispatch = now.Add(dispatchPeriod)
	to := least(false)
	if to == nil || s.moving() {
		return
	}
	for _, sv := range s.servers {
		if sv.listing != Gone && sv.host != "" && count[sv.host] >= count[to.name]+2 {
			move(sv, to)
			return
		}
	}
}

// moving reports whether a grant is being released.
func (s *State) moving() bool {
	return slices.ContainsFunc(s.rows, func(w *row) bool { return w.g != nil && w.g.releasing })
}

// retarget gives the rows of lost and draining servers to others. A row with a
// claim stays with the claim's server.
func (s *State) retarget(now clock.Time) {
	if now >= s.balancer.drain {
		s.balancer.drain, s.balancer.drained = now.Add(drainPeriod), 0
	}
	var loads *loads
	for _, w := range s.rows {
		if to := s.claimant(w); to != "" {
			s.dirty = s.dirty || w.server != to
			w.server = to
			continue
		}
		lost, unreachable := true, true
		if w.server == "" && now < s.elected.Add(lease) {
			continue // divided first
		}
		if w.server != "" {
			sv, _ := s.server(w.server)
			lost, unreachable = s.lost(now, sv)
		}
		if !lost || !unreachable && s.balancer.drained >= drainBatch {
			continue
		}
		if loads == nil {
			loads = s.sum(now)
		}
		to := loads.least(w)
		if to == "" {
			continue
		}
		if !unreachable {
			s.balancer.drained++
		}
		w.server, s.dirty = to, true
	}
}

func (s *State) claimant(w *row) keys.Server {
	for _, c := range s.claims {
		if c.Range.Overlaps(w.r) {
			return c.Server
		}
	}
	return ""
}

// release asks for the release of grants whose server or dispatcher changes.
// While the present ones work, it waits until the next ones do.
func (s *State) release(now clock.Time) {
	for _, w := range s.rows {
		g := w.g
		if g == nil || g.releasing {
			continue
		}
		to, _ := s.server(w.server)
		if g.server == to.name && g.host == to.host && g.boot == to.boot {
			continue
		}
		from, _ := s.server(g.server)
		h := s.host(g.host)
		works := s.live(now, h) && h.boot == g.boot && from.listing != Gone && from.state != grant.Missed
		if works && (!s.usable(now, to) || now < s.elected.Add(lease)) {
			continue // nothing can be granted before the earlier leases end
		}
		g.releasing = true
		if to.host != g.host {
			g.next = to.host
		}
		h.changed, s.dirty = true, true
	}
}
