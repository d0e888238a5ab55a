package assign

import (
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// drainBatch is the number of ranges of draining servers that start to be
	// released per drainPeriod: 64 ranges take 300 ms, well below the 3 s after
	// which a draining server must get no new requests.
	drainBatch  = 16
	drainPeriod = grant.RenewalInterval
	// dispatchPeriod is the time between two changes of a dispatcher that only
	// even out the number of servers per host.
	dispatchPeriod = clock.Second
)

func (s *State) updateServer(ev ServerListed) {
	sv, _ := s.server(ev.Server)
	if ev.State == Gone {
		sv.wasReady = false
	}
	s.dirty = s.dirty || sv.addr != ev.Address || sv.listing != ev.State || sv.checksFence != ev.ChecksFences
	sv.addr, sv.slots, sv.checksFence, sv.listing = ev.Address, ev.Slots, ev.ChecksFences, ev.State
	if sv.weight = ev.Weight; sv.weight <= 0 {
		sv.weight = 1
	}
}

func (s *State) updateHost(now clock.Time, ev HostListed) {
	h := s.host(ev.Host)
	if h.leaving = ev.Leaving; !ev.Live && !h.removed {
		h.removedAt = now
	}
	h.removed = !ev.Live
}

// hostLive reports whether the host has sent a renewal in this term within
// grant.PeerTimeout and has not been removed from the host list.
func (s *State) hostLive(now clock.Time, h *host) bool {
	return h.nonce > 0 && !h.removed && now.Sub(h.lastRenewal) <= grant.PeerTimeout
}

// dispatcherWorks reports whether the server's dispatcher renews its leases, or
// may still do so for the first time after the election.
func (s *State) dispatcherWorks(now clock.Time, sv *server) bool {
	if sv.dispatcher == "" {
		return false
	}
	h := s.host(sv.dispatcher)
	if h.incarnation != sv.dispatcherIncarnation || h.removed {
		return false
	}
	return s.hostLive(now, h) || h.nonce == 0 && now.Sub(s.electedAt) <= electionGrace
}

// usable reports whether ranges can be granted to the server.
func (s *State) usable(now clock.Time, sv *server) bool {
	return sv.listing != Gone && sv.listing != Leaving && sv.state == grant.Ready && s.reachable(now, sv)
}

// reachable reports whether the server responds to its dispatcher.
func (s *State) reachable(now clock.Time, sv *server) bool {
	if sv.dispatcher == "" || sv.state == grant.Unknown || sv.state == grant.Missed {
		return false
	}
	h := s.host(sv.dispatcher)
	return s.hostLive(now, h) && h.incarnation == sv.dispatcherIncarnation
}

// mustMove reports whether the server's ranges must move to other servers, and
// whether it is unreachable rather than draining or starting.
func (s *State) mustMove(now clock.Time, sv *server) (move, unreachable bool) {
	switch {
	case sv.listing == Gone, sv.state == grant.Missed:
		return true, true
	case sv.listing == Leaving, sv.state == grant.Draining, sv.state == grant.Starting:
		return true, false
	}
	unreported := sv.state == grant.Unknown && now.Sub(sv.dispatcherSince) > grant.PeerTimeout
	return unreported, unreported
}

// assignDispatchers gives each server a dispatcher: the present one as long as
// it works and stays, else the host with the fewest servers.
func (s *State) assignDispatchers(now clock.Time) {
	count := make(map[keys.Host]int)
	for _, sv := range s.servers {
		if sv.listing != Gone && sv.dispatcher != "" {
			count[sv.dispatcher]++
		}
	}
	fewest := func(leaving bool) (best *host) {
		for _, h := range s.hosts {
			if s.hostLive(now, h) && h.leaving == leaving && (best == nil || count[h.name] < count[best.name]) {
				best = h
			}
		}
		return best
	}
	move := func(sv *server, to *host) {
		count[sv.dispatcher]--
		count[to.name]++
		if h := s.host(sv.dispatcher); sv.dispatcher != "" {
			h.dirty = true
		}
		sv.dispatcher, sv.dispatcherIncarnation, sv.state, sv.dispatcherSince = to.name, to.incarnation, grant.Unknown, now
		to.dirty, s.dirty = true, true
	}
	for _, sv := range s.servers {
		working := s.dispatcherWorks(now, sv)
		if sv.listing == Gone || working && !s.host(sv.dispatcher).leaving {
			continue
		}
		to := fewest(false)
		if to == nil && !working {
			to = fewest(true) // a leaving host is better than none
		}
		if to != nil {
			move(sv, to)
		}
	}
	if now < s.balancer.nextDispatch || now < s.electedAt.Add(2*leaseTime) {
		return
	}
	s.balancer.nextDispatch = now.Add(dispatchPeriod)
	to := fewest(false)
	if to == nil || s.releasing() {
		return
	}
	for _, sv := range s.servers {
		if sv.listing != Gone && sv.dispatcher != "" && count[sv.dispatcher] >= count[to.name]+2 {
			move(sv, to)
			return
		}
	}
}

// releasing reports whether any grant is being released.
func (s *State) releasing() bool {
	return slices.ContainsFunc(s.ranges, func(rg *rangeState) bool { return rg.lease != nil && rg.lease.releasing })
}

// reassignRanges gives ranges without an owner, and those of servers that are
// unreachable, draining or starting, to usable servers. A range with a claim
// goes to the claim's server.
func (s *State) reassignRanges(now clock.Time) {
	if now >= s.balancer.nextDrain {
		s.balancer.nextDrain, s.balancer.drainCount = now.Add(drainPeriod), 0
	}
	var ld *loads
	for _, rg := range s.ranges {
		if to := s.claimant(rg); to != "" {
			s.dirty = s.dirty || rg.owner != to
			rg.owner = to
			continue
		}
		move, unreachable := true, true
		if rg.owner == "" && now < s.electedAt.Add(leaseTime) {
			continue // divideUnowned divides it first
		}
		if rg.owner != "" {
			sv, _ := s.server(rg.owner)
			move, unreachable = s.mustMove(now, sv)
		}
		if !move || !unreachable && s.balancer.drainCount >= drainBatch {
			continue
		}
		if ld == nil {
			ld = s.sumLoads(now)
		}
		to := ld.placeRange(rg)
		if to == "" {
			continue
		}
		if !unreachable {
			s.balancer.drainCount++
		}
		rg.owner, s.dirty = to, true
	}
}

// claimant returns the server of a claim on any part of the range, or "".
func (s *State) claimant(rg *rangeState) keys.Server {
	for _, cl := range s.claims {
		if cl.Range.Overlaps(rg.hashes) {
			return cl.Server
		}
	}
	return ""
}

// startReleases requests the release of grants whose server or dispatcher
// changes. While the present ones work, it waits until the next ones do.
func (s *State) startReleases(now clock.Time) {
	for _, rg := range s.ranges {
		l := rg.lease
		if l == nil || l.releasing {
			continue
		}
		next, _ := s.server(rg.owner)
		if l.server == next.name && l.dispatcher == next.dispatcher && l.incarnation == next.dispatcherIncarnation {
			continue
		}
		current, _ := s.server(l.server)
		h := s.host(l.dispatcher)
		working := s.hostLive(now, h) && h.incarnation == l.incarnation && current.listing != Gone && current.state != grant.Missed
		if working && (!s.usable(now, next) || now < s.electedAt.Add(leaseTime)) {
			continue // nothing can be granted before the earlier leases expire
		}
		l.releasing = true
		if next.dispatcher != l.dispatcher {
			l.nextHost = next.dispatcher
		}
		h.dirty, s.dirty = true, true
	}
}
