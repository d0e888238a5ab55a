package assign

import (
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// newClaim returns the claim that a lapsed grant leaves.
func (s *State) newClaim(w *row) *claim {
	g := w.g
	return &claim{last: g.last, Claim: Claim{Range: w.r, Server: g.server, Dispatcher: g.host, Boot: g.boot, Fence: g.fence}}
}

func (s *State) hasClaim(name keys.Server, held grant.Held) bool {
	return slices.ContainsFunc(s.claims, func(c *claim) bool {
		return c.Server == name && c.Fence == held.Fence && c.Range.Overlaps(held.Range)
	})
}

// narrow reduces the claims that wait for the sender to the hashes that still
// have requests in flight.
func (s *State) narrow(ev Renew) {
	var keep []*claim
	for _, c := range s.claims {
		if c.Dispatcher != ev.From || c.Boot != ev.Boot {
			keep = append(keep, c)
			continue
		}
		if !ev.Ack.Covers(c.last) {
			keep = append(keep, c)
			continue
		}
		var busy []keys.Range
		for _, r := range ev.Servers {
			if r.Server == c.Server {
				busy = parts(r.Held, c.Fence, c.Range)
			}
		}
		for _, p := range busy {
			nc := *c
			nc.Range = p
			s.cut(p)
			keep = append(keep, &nc)
		}
		s.dirty = s.dirty || len(busy) != 1 || busy[0] != c.Range
	}
	s.claims = keep
}

// ended reports whether the process of a host has ended, and when that was
// known: the host answers under another boot id, or is off the host list.
func (s *State) ended(name keys.Host, boot uint64) (at clock.Time, ok bool) {
	h := s.host(name)
	if h.gone {
		return h.goneAt, true
	}
	return h.bootAt, h.nonce > 0 && h.boot != boot
}

// endClaims drops claims against servers that are gone, and those whose
// dispatcher is known to have ended for cfg.Settle if the server has answered its new
// dispatcher since.
func (s *State) endClaims(now clock.Time) {
	n := len(s.claims)
	s.claims = slices.DeleteFunc(s.claims, func(c *claim) bool {
		sv, _ := s.server(c.Server)
		if sv.listing == Gone {
			return true
		}
		at, ok := s.ended(c.Dispatcher, c.Boot)
		if !ok || now.Sub(at) < s.cfg.Settle {
			c.settled = grant.Ack{}
			return false
		}
		if c.settled == (grant.Ack{}) {
			c.settled = grant.Ack{Term: s.term, Seq: s.answer + 1}
		}
		return s.answers(now, sv) && s.host(sv.host).ack.Covers(c.settled)
	})
	s.dirty = s.dirty || len(s.claims) != n
}
