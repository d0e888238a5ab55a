package elect

import (
	"github.com/laburnummux/laburnummux/internal/clock"
)

// voterState is the promise of this host and the highest term that it granted.
type voterState struct {
	to        Voter
	until     clock.Time
	nonce     uint64 // highest nonce of the promise's requests
	highest   uint32
	highestTo Voter
	standAt   clock.Time // when to stand for election without a promise
}

// open reports whether a promise of term to v would break no other one.
func (s *State) open(now clock.Time, v Voter, term uint32) bool {
	p := &s.voter
	if p.until.After(now) && p.to != v {
		return false
	}
	return term > p.highest || term == p.highest && p.highestTo == v
}

// promise binds this host to v.
func (s *State) promise(now clock.Time, v Voter, term uint32, nonce uint64) {
	p := &s.voter
	if p.to != v {
		p.nonce = 0
	}
	p.to, p.until = v, now.Add(Promise)
	p.nonce = max(p.nonce, nonce)
	p.highest, p.highestTo = term, v
	p.standAt = p.until.Add(s.delay())
}

func (s *State) asked(now clock.Time, ev Asked) {
	from := Voter{ev.From, ev.FromBoot}
	s.sighted(now, from)
	if ev.Role != nil {
		s.adopt(now, *ev.Role, ev.Version)
	}
	if e := epochOf(ev.Term); s.found && e > s.role.Epoch {
		s.store.wantRead = true
	}
	ok := ev.ToBoot == s.cfg.Boot && ev.Term > 0 && s.open(now, from, ev.Term) && s.yields(ev)
	if ok {
		if s.bid.on {
			s.abandon(now)
		}
		s.bid.fails = 0
		s.promise(now, from, ev.Term, ev.Nonce)
	}
	r := Reply{
		To: ev.From, ToBoot: ev.FromBoot, Nonce: ev.Nonce, Term: ev.Term,
		Granted: ok, Highest: s.voter.highest, Version: s.version,
	}
	if s.found && ev.Version < s.version {
		r.Role = s.copyRole()
	}
	s.emit(r)
}

// yields reports whether this host may support another one. A holder may not;
// of two candidates, the one with the lower term, or else the lower name, gives
// way, so that a collision is settled within the running attempts.
func (s *State) yields(ev Asked) bool {
	switch {
	case s.held.ok:
		return false
	case !s.bid.on:
		return true
	case ev.Term != s.bid.term:
		return ev.Term > s.bid.term
	}
	return ev.From > s.cfg.Self
}

// released ends a promise that its receiver gave up. The nonce keeps a late
// Release from ending a promise that was asked for after it.
func (s *State) released(now clock.Time, ev Released) {
	p := &s.voter
	if p.to != (Voter{ev.From, ev.FromBoot}) || !p.until.After(now) || ev.Nonce < p.nonce {
		return
	}
	p.until = now
	p.standAt = now.Add(s.delay())
}
