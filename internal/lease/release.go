package lease

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// minClockRatePermille is the least advance of a server's clock, in 1/1000 of a
// time span on this host's clock: both clocks may be off by 1 in 1,000.
const minClockRatePermille = 998

// releaseLeases advances the releases of a server's leases and drops those that
// are released or have expired. Hashes with requests in flight are split off,
// so that the rest of a range needn't wait for them.
func (s *State) releaseLeases(now clock.Time, sv *server, acts []Action) []Action {
	var keep []*lease
	for _, l := range sv.leases {
		switch {
		case now >= l.expires && sv.checksFence:
			// The server refuses the fence by now, also in delayed requests.
			s.renewNow = true
			continue
		case now >= l.expires, sv.state == grant.Missed:
			l.releasing = true
		}
		if !l.releasing {
			keep = append(keep, l)
			continue
		}
		for _, part := range sv.splitInFlight(l) {
			var done bool
			if done, acts = s.releasePart(now, sv, part, acts); done {
				s.renewNow = true
				continue
			}
			keep = append(keep, part)
		}
	}
	sv.leases = sortLeases(keep)
	return acts
}

// splitInFlight splits off each hash of the lease that has requests in flight.
func (sv *server) splitInFlight(l *lease) (parts []*lease) {
	if l.hashes.Lo() == l.hashes.Hi() {
		return []*lease{l}
	}
	remaining := []keys.Range{l.hashes}
	for h := range sv.inFlight {
		if l.hashes.Contains(h) {
			single := keys.NewRange(h, h)
			remaining = subtract(remaining, single)
			parts = append(parts, l.slice(single))
		}
	}
	if len(parts) == 0 {
		return []*lease{l}
	}
	for _, r := range remaining {
		parts = append(parts, l.slice(r))
	}
	return sortLeases(parts)
}

// releasePart advances the release of one part and reports whether it is
// complete: no request is in flight, the deduplication records have been
// transferred or the transfer has failed, and the server has no valid grant.
func (s *State) releasePart(now clock.Time, sv *server, l *lease, acts []Action) (bool, []Action) {
	inFlight := l.hashes.Lo() == l.hashes.Hi() && sv.inFlight[l.hashes.Lo()] > 0
	if inFlight && sv.state == grant.Missed && sv.checksFence && now >= l.serverExpiry {
		inFlight = false // the server refuses the fence by now, also in delayed requests
	}
	if inFlight {
		return false, acts
	}
	if now >= l.expires {
		return true, acts
	}
	if sv.state == grant.Missed && !l.releaseRequested && now.Sub(sv.unreachableSince) < grant.RenewalInterval {
		return false, acts // wait for the assigner's reply, which names the next host
	}
	if l.nextHost != "" && l.nextHost != s.cfg.Host && l.transfer == transferNone {
		l.transfer, l.transferStarted = transferSent, now
		acts = append(acts, Transfer{Range: l.hashes, Fence: l.fence, Next: l.nextHost})
	}
	if !l.withdrawn {
		l.withdrawn, sv.dirty = true, true
	}
	if l.transfer == transferSent && now.Sub(l.transferStarted) < transferTimeout {
		return false, acts
	}
	return !sv.checksFence || l.lastPush == 0 || sv.ackedPush > l.lastPush || now >= l.serverExpiry, acts
}

// applyTransferred records the result of a transfer; a completed one is listed in
// the next reports.
func (s *State) applyTransferred(now clock.Time, ev Transferred) {
	for _, sv := range s.servers {
		for _, l := range sv.leases {
			if l.fence != ev.Fence || l.transfer != transferSent || intersect(l.hashes, ev.Range) != l.hashes {
				continue
			}
			if l.transfer = transferFailed; ev.OK {
				l.transfer = transferDone
				m := grant.Moved{Range: l.hashes, Fence: l.fence, To: l.nextHost}
				sv.moved = append(sv.moved, movedRange{Moved: m, movedAt: now})
			}
		}
	}
}

// pushGrants sends the grants to a server that checks fencing tokens. They are
// valid for at most a lease from the newest reading of the server's clock, so
// that a push which is delayed by a frozen server can't extend them further.
func (s *State) pushGrants(now clock.Time, sv *server, acts []Action) []Action {
	if !sv.checksFence || !sv.clockKnown || sv.state == grant.Missed {
		return acts
	}
	if !sv.dirty && now.Sub(sv.lastPushAt) < grant.RenewalInterval {
		return acts
	}
	expires := min(sv.leaseEnd, sv.clockReceived.Add(grant.LeaseTime-grant.Margin))
	push := Push{Server: sv.name, Seq: s.pushSeq + 1, Incarnation: sv.incarnation}
	if expires > now {
		push.Until = sv.clockReading + (expires-sv.clockReceived)*minClockRatePermille/1000
		for _, l := range sv.leases {
			// A lease that the newest reply didn't extend isn't pushed.
			if l.withdrawn || l.expires < expires {
				continue
			}
			if l.firstPush == 0 {
				l.firstPush = push.Seq
			}
			l.lastPush, l.serverExpiry = push.Seq, max(l.serverExpiry, expires)
			push.Grants = append(push.Grants, grant.Held{Range: l.hashes, Fence: l.fence})
		}
	}
	if len(push.Grants) == 0 && !sv.dirty {
		return acts
	}
	s.pushSeq, sv.lastPushAt, sv.dirty = push.Seq, now, false
	return append(acts, push)
}
