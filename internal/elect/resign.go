package elect

import (
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
)

// handleResign ends this host's campaigns before a planned stop. If this host is
// the only voter of the cell, it first names another host as voter, because no
// host could be elected after it has stopped, and keeps the role until that has
// been written.
func (s *State) handleResign(now clock.Time) {
	if s.holder.active && len(s.role.Voters) == 1 && len(s.spareHosts(now)) > 0 {
		s.handingOver = true
		return
	}
	s.resigned = true
	if s.campaign.active {
		s.stepDown(now)
	}
}

// sendHandover sends the new role to the voter that replaces this host, which
// reads the store only when another event gives it a reason to.
func (s *State) sendHandover(now clock.Time) {
	if !s.handingOver || slices.Contains(s.role.Voters, s.self) {
		return
	}
	s.resigned = true
	if s.handoverSentAt != 0 && now.Sub(s.handoverSentAt) < RenewalInterval {
		return
	}
	s.handoverSentAt = max(now, 1)
	for _, v := range s.role.Voters {
		s.lastNonce++
		s.emit(PromiseRequest{To: v.Host, ToIncarnation: v.Incarnation, Nonce: s.lastNonce, Version: s.roleVersion, Role: s.copyRole()})
	}
}
