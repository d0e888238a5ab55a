package assign

import (
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// newClaim returns the claim that replaces an expired lease.
func (s *State) newClaim(rg *rangeState) *claim {
	l := rg.lease
	return &claim{lastSent: l.lastSent, Claim: Claim{Range: rg.hashes, Server: l.server, Dispatcher: l.dispatcher, Incarnation: l.incarnation, Fence: l.fence}}
}

// hasClaim reports whether a claim covers a part of the reported grant.
func (s *State) hasClaim(name keys.Server, held grant.Held) bool {
	return slices.ContainsFunc(s.claims, func(cl *claim) bool {
		return cl.Server == name && cl.Fence == held.Fence && cl.Range.Overlaps(held.Range)
	})
}

// narrowClaims reduces the claims whose dispatcher sent the renewal to the
// hashes that still have requests in flight.
func (s *State) narrowClaims(ev Renewal) {
	var keep []*claim
	for _, cl := range s.claims {
		if cl.Dispatcher != ev.From || cl.Incarnation != ev.Incarnation {
			keep = append(keep, cl)
			continue
		}
		if !ev.Ack.Covers(cl.lastSent) {
			keep = append(keep, cl)
			continue
		}
		var held []keys.Range
		for _, r := range ev.Servers {
			if r.Server == cl.Server {
				held = heldParts(r.Held, cl.Fence, cl.Range)
			}
		}
		for _, p := range held {
			narrowed := *cl
			narrowed.Range = p
			s.splitAround(p)
			keep = append(keep, &narrowed)
		}
		s.dirty = s.dirty || len(held) != 1 || held[0] != cl.Range
	}
	s.claims = keep
}

// processEnded reports whether a process of a host has ended, and when that
// became known: the host renewed under another incarnation, or was removed from
// the host list.
func (s *State) processEnded(name keys.Host, incarnation uint64) (at clock.Time, ok bool) {
	h := s.host(name)
	if h.removed {
		return h.removedAt, true
	}
	return h.incarnationSeen, h.nonce > 0 && h.incarnation != incarnation
}

// endClaims drops claims on servers that are gone. It also drops a claim if it
// has been known for cfg.InFlightTime that its dispatcher has ended, and the
// server has responded to its new dispatcher since.
func (s *State) endClaims(now clock.Time) {
	n := len(s.claims)
	s.claims = slices.DeleteFunc(s.claims, func(cl *claim) bool {
		sv, _ := s.server(cl.Server)
		if sv.listing == Gone {
			return true
		}
		at, ok := s.processEnded(cl.Dispatcher, cl.Incarnation)
		if !ok || now.Sub(at) < s.cfg.InFlightTime {
			cl.settledAck = grant.Ack{}
			return false
		}
		if cl.settledAck == (grant.Ack{}) {
			cl.settledAck = grant.Ack{Term: s.term, Seq: s.replySeq + 1}
		}
		return s.reachable(now, sv) && s.host(sv.dispatcher).ack.Covers(cl.settledAck)
	})
	s.dirty = s.dirty || len(s.claims) != n
}
