package elect

import (
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
)

// resign ends this host's part in elections before a planned stop. The only
// voter of a cell first names another host as voter, because nobody could be
// elected after its end. It keeps the role until that is written.
func (s *State) resign(now clock.Time) {
	if s.held.ok && len(s.role.Voters) == 1 && len(s.spare(now)) > 0 {
		s.handover = true
		return
	}
	s.resigned = true
	if s.bid.on {
		s.abandon(now)
	}
}

// tellVoter tells the voter that was named in this host's place, which reads
// the role from the store only when it has a reason to.
func (s *State) tellVoter(now clock.Time) {
	if !s.handover || slices.Contains(s.role.Voters, s.me) {
		return
	}
	s.resigned = true
	if s.toldAt != 0 && now.Sub(s.toldAt) < Renewal {
		return
	}
	s.toldAt = max(now, 1)
	for _, v := range s.role.Voters {
		s.nonce++
		s.emit(Ask{To: v.Host, ToBoot: v.Boot, Nonce: s.nonce, Version: s.version, Role: s.copyRole()})
	}
}
