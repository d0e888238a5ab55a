package place

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// registrationDelay is how much older a registration may be than a health response
// that arrived before it: servers renew their registrations about once a second, and
// a host receives them through the store and another host.
const registrationDelay = 1500 * clock.Millisecond

// register applies the warm-up of a registration that the last list didn't have. It is
// called before reg becomes part of sv.
func (sv *server) register(now clock.Time, reg fleet.Server) {
	if sv.SameRegistration(reg) {
		return
	}
	until := now.Add(reg.Warmup)
	if sv.warmupToldAt != 0 && now.Sub(sv.warmupToldAt) < registrationDelay {
		until = max(until, sv.warmupUntil)
	}
	sv.warmupUntil = until
}

// SetWarmup applies the remaining warm-up time that a process of a server has stated
// in a health response. It replaces earlier statements.
func (s *State) SetWarmup(now clock.Time, in fleet.Incarnation, left clock.Span) []Action {
	sv := s.servers[in.ID]
	if sv == nil || sv.Born != in.Born {
		return nil
	}
	wasCold := now < sv.warmupUntil
	sv.warmupUntil, sv.warmupToldAt = now.Add(max(left, 0)), now
	if wasCold && left <= 0 {
		return s.dispatch(now, sv.Service)
	}
	return nil
}

// ColdLeft returns how much longer a server is cold, or 0.
func (s *State) ColdLeft(now clock.Time, id keys.Server) clock.Span {
	if sv := s.servers[id]; sv != nil {
		return max(sv.warmupUntil.Sub(now), 0)
	}
	return 0
}
