package elect

import (
	"maps"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
)

// storeState is the one call to the store that may be pending.
type storeState struct {
	op       uint64 // id of the last call
	pending  bool
	write    *Role // role of a pending write
	since    clock.Time
	nextAt   clock.Time
	backoff  clock.Span
	wantRead bool // the stored role may differ from the known one
	absent   bool // the last read found no role object
}

// copyRole returns a copy of the known role. Lists are never changed in place.
func (s *State) copyRole() *Role {
	r := s.role
	return &r
}

// adopt takes over a role that the store had at the given version.
func (s *State) adopt(now clock.Time, r Role, version uint64) {
	if s.found && version <= s.version {
		return
	}
	first, old := !s.found, s.role
	candidate := s.bid.on && !s.held.ok && old.Epoch != r.Epoch
	if candidate || s.bid.on && !slices.Contains(r.Voters, s.me) {
		s.abandon(now)
	}
	s.role, s.version, s.found = r, version, true
	s.store.absent = false
	s.pruneEnded()
	if !first && old.Epoch == r.Epoch {
		// Only Previous may have been emptied, after it had been fenced.
		if s.held.ok && s.held.role.Epoch == r.Epoch {
			s.held.role = r
		}
		return
	}
	s.dead = false
	s.repairAt = now.Add(s.delay())
	if s.held.ok {
		s.setBid()
	}
	s.voter.standAt = max(s.voter.standAt, now.Add(s.delay()))
}

func (s *State) pruneEnded() {
	named := s.electorate()
	maps.DeleteFunc(s.ended, func(v Voter, _ bool) bool { return !slices.Contains(named, v) })
	maps.DeleteFunc(s.probed, func(v Voter, _ clock.Time) bool { return !slices.Contains(named, v) })
	for _, v := range named { // this run proves that this host's others ended
		if v.Host == s.cfg.Self && v != s.me {
			s.ended[v] = true
		}
	}
}

func (s *State) roleRead(now clock.Time, ev RoleRead) {
	if s.store.pending && s.store.write == nil && ev.Op == s.store.op {
		s.done()
		s.store.wantRead = false
		s.store.absent = !ev.Found
		s.repairAt = now.Add(s.delay())
	}
	if ev.Found {
		s.adopt(now, ev.Role, ev.Version)
	}
}

func (s *State) roleWritten(now clock.Time, ev RoleWritten) {
	if !s.store.pending || s.store.write == nil || ev.Op != s.store.op {
		return
	}
	r := *s.store.write
	s.done()
	s.adopt(now, r, ev.Version)
}

func (s *State) roleConflict(now clock.Time, op uint64) {
	if s.store.pending && op == s.store.op {
		s.done()
		s.store.wantRead = true
		s.repairAt = now.Add(s.delay())
	}
}

// roleFailed handles calls that failed or whose result is unknown. Another
// write would only conflict with the first if that one took effect, but the
// role is read first, because it is needed in any case.
func (s *State) roleFailed(now clock.Time, op uint64) {
	if !s.store.pending || op != s.store.op {
		return
	}
	b := min(max(2*s.store.backoff, storeBackoff), storeLongest)
	s.done()
	s.store.backoff = b
	s.store.nextAt = now.Add(b + s.delay())
	s.store.wantRead = true
}

func (s *State) done() {
	s.store.pending, s.store.write, s.store.backoff = false, nil, 0
}

// storeStep starts the next call to the store if one is wanted.
func (s *State) storeStep(now clock.Time) {
	st := &s.store
	if st.pending {
		if now.Sub(st.since) < storeTimeout {
			return
		}
		s.roleFailed(now, st.op)
	}
	if st.nextAt.After(now) {
		return
	}
	if st.wantRead {
		s.call(now, nil)
		return
	}
	if r, ok := s.nextRole(now); ok {
		s.call(now, &r)
	}
}

func (s *State) call(now clock.Time, r *Role) {
	st := &s.store
	st.op++
	st.pending, st.write, st.since = true, r, now
	if r == nil {
		s.emit(ReadRole{Op: st.op})
		return
	}
	s.emit(WriteRole{Op: st.op, Role: *r, IfVersion: s.version})
}

// nextRole returns the role that this host should write, if any.
func (s *State) nextRole(now clock.Time) (r Role, ok bool) {
	if !s.found {
		return s.firstRole(now)
	}
	if s.held.ok {
		return s.holdersRole(now)
	}
	return s.repairedRole(now)
}

// firstRole names the first voters of a cell.
func (s *State) firstRole(now clock.Time) (r Role, ok bool) {
	if !s.store.absent || s.repairAt.After(now) || !s.heardMajority(now) {
		return r, false
	}
	return Role{Epoch: 1, Holder: s.cfg.Self, Voters: s.freshVoters(now)}, true
}

// holdersRole keeps the voters of a held role complete.
func (s *State) holdersRole(now clock.Time) (r Role, ok bool) {
	if s.held.role.Epoch != s.role.Epoch {
		return r, false // the known role is not held yet
	}
	r = s.role
	r.Holder = s.cfg.Self
	if len(r.Previous) > 0 { // held with majorities of both, hence fenced
		r.Previous = nil
		return r, true
	}
	if spare := s.spare(now); s.handover && len(spare) > 0 {
		r.Epoch++
		r.Voters, r.Previous = spare[:1:1], s.role.Voters
		return r, true
	}
	if vs := s.replaced(now); !slices.Equal(vs, r.Voters) {
		r.Epoch++
		r.Voters, r.Previous = vs, s.role.Voters
		return r, true
	}
	if s.held.term&countMask > countMask/2 {
		r.Epoch++
		return r, true
	}
	return r, s.role.Holder != s.cfg.Self
}

// repairedRole makes a role electable again that can't be held any more.
func (s *State) repairedRole(now clock.Time) (r Role, ok bool) {
	base := s.role.Previous
	if len(base) == 0 {
		base = s.role.Voters
	}
	if !s.endedMajority(base) {
		s.dead = false
	} else if !s.dead {
		s.dead, s.deadSince = true, now
	}
	if s.repairAt.After(now) {
		return r, false
	}
	r = Role{Epoch: s.role.Epoch + 1, Holder: s.role.Holder}
	switch {
	case s.dead:
		// Promises of the ended runs may still be counted by a holder.
		if now.Sub(s.deadSince) < Promise+Margin || !s.heardMajority(now) {
			return r, false
		}
		r.Voters = s.freshVoters(now)
	case s.endedMajority(s.role.Voters):
		if !s.heardMajority(now) {
			return r, false
		}
		r.Voters, r.Previous = s.freshVoters(now), base
	case max(s.bid.known, s.voter.highest) == s.role.Epoch<<countBits|countMask:
		r.Voters, r.Previous = s.role.Voters, s.role.Previous
	default:
		return r, false
	}
	return r, true
}

// endedMajority reports whether too few of the runs are left for a majority.
func (s *State) endedMajority(vs []Voter) bool {
	n := 0
	for _, v := range vs {
		if !s.ended[v] {
			n++
		}
	}
	return n <= len(vs)/2
}

func (s *State) heardMajority(now clock.Time) bool {
	return len(s.live(now)) > len(s.cfg.Group)/2
}

// size returns the number of voters for a number of hosts. It is odd, because
// an even number tolerates no more losses than the next lower one.
func size(hosts int) int {
	switch {
	case hosts >= 5:
		return 5
	case hosts >= 3:
		return 3
	}
	return 1
}

func (s *State) freshVoters(now clock.Time) []Voter {
	vs := s.live(now)
	return slices.Clip(vs[:size(len(vs))])
}

// spare returns the live hosts that aren't voters.
func (s *State) spare(now clock.Time) []Voter {
	return slices.DeleteFunc(slices.Clone(s.live(now)), func(l Voter) bool {
		return slices.ContainsFunc(s.role.Voters, func(v Voter) bool { return v.Host == l.Host })
	})
}

// replaced returns the voters with those that restarted or are silent
// replaced, and with more of them if there are more hosts. Voters without a
// replacement stay.
func (s *State) replaced(now clock.Time) []Voter {
	live := s.live(now)
	vs := slices.Clone(s.role.Voters)
	spare := s.spare(now)
	for i, v := range vs {
		// What was heard before this host held the role may be incomplete.
		silent := !slices.Contains(live, v) && now.Sub(s.held.since) >= silence
		if !silent && !s.ended[v] {
			continue
		}
		j := slices.IndexFunc(live, func(l Voter) bool { return l.Host == v.Host && s.ended[v] })
		switch {
		case j >= 0:
			vs[i] = live[j]
		case len(spare) > 0:
			vs[i], spare = spare[0], spare[1:]
		}
	}
	for len(vs) < size(len(live)) && len(spare) > 0 {
		vs, spare = append(vs, spare[0]), spare[1:]
	}
	return vs
}
