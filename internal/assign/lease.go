package assign

import (
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// applyRenewal applies a dispatcher's report. It returns the host to reply to,
// or nil if the renewal is outdated or the dispatcher has accepted a newer term.
func (s *State) applyRenewal(now clock.Time, ev Renewal) *host {
	h := s.host(ev.From)
	if s.term == 0 || ev.Ack.Term > s.term || ev.Nonce <= h.nonces[ev.Incarnation] {
		return nil
	}
	if ev.Incarnation != h.incarnation {
		// Incarnations have no order. If a delayed renewal of an earlier
		// incarnation is applied, the next renewal of the present one
		// corrects it within 100 ms.
		h.incarnation, h.incarnationSeen = ev.Incarnation, now
	}
	h.nonces[ev.Incarnation] = ev.Nonce
	h.nonce, h.lastRenewal, h.ack, h.removed = ev.Nonce, now, ev.Ack, false
	for _, r := range ev.Servers {
		sv, _ := s.server(r.Server)
		if sv.dispatcher == h.name && sv.dispatcherIncarnation == h.incarnation {
			sv.setState(now, r.State)
		}
		for _, held := range r.Held {
			s.restoreLease(now, h, r.Server, held)
		}
		s.applyLoads(h, r)
	}
	s.applyReleases(h, ev)
	s.narrowClaims(ev)
	return h
}

// setState records the state that the server's dispatcher reports.
func (sv *server) setState(now clock.Time, st grant.State) {
	if st == grant.Ready && !sv.wasReady {
		sv.wasReady, sv.readyAt = true, now
	}
	if st == grant.Missed {
		sv.wasReady = false // it warms up again when it returns
	}
	sv.state = st
}

// restoreLease restores a grant of an earlier term that the dispatcher reports.
// If reports overlap, the grant with the higher fence is the newer one; the
// other has expired at its dispatcher.
func (s *State) restoreLease(now clock.Time, h *host, name keys.Server, held grant.Held) {
	if held.Fence.Term() >= s.term || !held.Range.Overlaps(s.cfg.Interval) {
		return
	}
	for _, rg := range s.overlapping(held.Range) {
		if rg.highestFence >= held.Fence {
			return // already known, or superseded
		}
	}
	if now >= s.electedAt.Add(leaseTime) {
		// The lease has expired; only requests in flight can be left.
		if sv, _ := s.server(name); !sv.checksFence && !s.hasClaim(name, held) {
			s.claims = append(s.claims, &claim{lastSent: grant.Ack{Term: s.term},
				Claim: Claim{Range: held.Range, Server: name, Dispatcher: h.name, Incarnation: h.incarnation, Fence: held.Fence}})
			s.splitAround(held.Range)
			s.dirty = true
		}
		return
	}
	s.splitAround(held.Range)
	for _, rg := range s.overlapping(held.Range) {
		rg.owner, rg.highestFence = name, held.Fence
		rg.lease = &lease{server: name, dispatcher: h.name, incarnation: h.incarnation, fence: held.Fence,
			lastSent: grant.Ack{Term: s.term}, expires: now.Add(leaseTime)}
	}
	h.dirty, s.dirty = true, true
}

// applyReleases ends the leases that the dispatcher no longer reports. A missing
// grant counts as released only if the report acknowledges the last reply
// that could create it; otherwise that reply may still be in transit.
func (s *State) applyReleases(h *host, ev Renewal) {
	for i := 0; i < len(s.ranges); i++ {
		rg := s.ranges[i]
		if rg.lease == nil || rg.lease.dispatcher != h.name || rg.lease.incarnation != h.incarnation || !ev.Ack.Covers(rg.lease.lastSent) {
			continue
		}
		k := slices.IndexFunc(ev.Servers, func(r grant.Report) bool { return r.Server == rg.lease.server })
		var held []keys.Range
		var transfers []grant.Moved
		if k >= 0 {
			held = heldParts(ev.Servers[k].Held, rg.lease.fence, rg.hashes)
			transfers = ev.Servers[k].Moved
		}
		if len(held) == 1 && held[0] == rg.hashes {
			continue
		}
		whole := rg.hashes
		for _, p := range held {
			s.splitAround(p)
		}
		for _, p := range s.overlapping(whole) {
			if len(held) > 0 {
				p.fragment, p.originFence = true, rg.highestFence
			}
			if !slices.ContainsFunc(held, func(r keys.Range) bool { return r.Overlaps(p.hashes) }) {
				s.endLease(p, transfers)
			}
		}
	}
}

// heldParts returns the parts of r that are held under the fence, joined where
// they are adjacent.
func heldParts(held []grant.Held, f keys.Fence, r keys.Range) (out []keys.Range) {
	for _, x := range held {
		if x.Fence != f || !x.Range.Overlaps(r) {
			continue
		}
		p := keys.NewRange(max(x.Range.Lo(), r.Lo()), min(x.Range.Hi(), r.Hi()))
		if n := len(out); n > 0 && out[n-1].Hi()+1 == p.Lo() {
			out[n-1] = keys.NewRange(out[n-1].Lo(), p.Hi())
			continue
		}
		out = append(out, p)
	}
	return out
}

// endLease ends a lease that was released, and records which host has the
// deduplication records.
func (s *State) endLease(rg *rangeState, transfers []grant.Moved) {
	rg.dedupHost, rg.dedupIncarnation = rg.lease.dispatcher, rg.lease.incarnation
	for _, m := range transfers {
		if m.Fence == rg.lease.fence && m.Range.Lo() <= rg.hashes.Lo() && rg.hashes.Hi() <= m.Range.Hi() {
			rg.dedupHost, rg.dedupIncarnation = m.To, s.host(m.To).incarnation
		}
	}
	rg.lease = nil
	s.dirty = true
}

// expireLeases ends the leases that can no longer be valid at their
// dispatchers. A server that doesn't check fencing tokens may still have
// requests of a lost dispatcher, so its ranges get a claim.
func (s *State) expireLeases(now clock.Time) {
	for _, rg := range s.ranges {
		if rg.lease == nil || now < rg.lease.expires {
			continue
		}
		sv, _ := s.server(rg.lease.server)
		if !sv.checksFence && sv.listing != Gone {
			s.claims = append(s.claims, s.newClaim(rg))
		}
		rg.lease, rg.dedupHost = nil, ""
		s.dirty = true
	}
}
