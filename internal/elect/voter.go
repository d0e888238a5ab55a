package elect

import (
	"github.com/laburnummux/laburnummux/internal/clock"
)

// voterState is the last promise that this host granted, and the highest term
// that it has granted.
type voterState struct {
	promisedTo    Voter
	promisedUntil clock.Time
	promiseNonce  uint64 // highest nonce of the requests for it
	highestTerm   uint32
	highestTermTo Voter
	campaignAt    clock.Time // when to start a campaign unless a promise is still valid
}

// canPromise reports whether a promise of term to v is compatible with all
// promises granted before.
func (s *State) canPromise(now clock.Time, v Voter, term uint32) bool {
	own := &s.voter
	if own.promisedUntil.After(now) && own.promisedTo != v {
		return false
	}
	return term > own.highestTerm || term == own.highestTerm && own.highestTermTo == v
}

// grantPromise grants or renews a promise to v.
func (s *State) grantPromise(now clock.Time, v Voter, term uint32, nonce uint64) {
	own := &s.voter
	if own.promisedTo != v {
		own.promiseNonce = 0
	}
	own.promisedTo, own.promisedUntil = v, now.Add(PromiseTime)
	own.promiseNonce = max(own.promiseNonce, nonce)
	own.highestTerm, own.highestTermTo = term, v
	own.campaignAt = own.promisedUntil.Add(s.electionDelay())
}

func (s *State) handleRequest(now clock.Time, ev PromiseRequested) {
	from := Voter{ev.From, ev.FromIncarnation}
	s.observePeer(now, from)
	if ev.Role != nil {
		s.setRole(now, *ev.Role, ev.Version)
	}
	if e := epochOf(ev.Term); s.roleFound && e > s.role.Epoch {
		s.store.wantRead = true
	}
	granted := ev.ToIncarnation == s.cfg.Incarnation && ev.Term > 0 && s.canPromise(now, from, ev.Term) && s.yieldsTo(ev)
	if granted {
		if s.campaign.active {
			s.stepDown(now)
		}
		s.campaign.failures = 0
		s.grantPromise(now, from, ev.Term, ev.Nonce)
	}
	reply := PromiseResponse{
		To: ev.From, ToIncarnation: ev.FromIncarnation, Nonce: ev.Nonce, Term: ev.Term,
		Granted: granted, Highest: s.voter.highestTerm, Version: s.roleVersion,
	}
	if s.roleFound && ev.Version < s.roleVersion {
		reply.Role = s.copyRole()
	}
	s.emit(reply)
}

// yieldsTo reports whether this host gives precedence to the sender of a
// request. A holder never does. Of two candidates, the one with the lower term,
// or with equal terms the lower name, yields, so that a collision is resolved
// within the current campaigns.
func (s *State) yieldsTo(ev PromiseRequested) bool {
	switch {
	case s.holder.active:
		return false
	case !s.campaign.active:
		return true
	case ev.Term != s.campaign.term:
		return ev.Term > s.campaign.term
	}
	return ev.From > s.cfg.Self
}

// handleRelease ends the promise that the sender gave up. The nonce prevents a
// late PromiseRelease from ending a promise that was requested after it.
func (s *State) handleRelease(now clock.Time, ev PromiseReleased) {
	own := &s.voter
	if own.promisedTo != (Voter{ev.From, ev.FromIncarnation}) || !own.promisedUntil.After(now) || ev.Nonce < own.promiseNonce {
		return
	}
	own.promisedUntil = now
	own.campaignAt = now.Add(s.electionDelay())
}
