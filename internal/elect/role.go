package elect

import (
	"maps"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
)

// storeState is the state of calls to the store, of which at most one is
// pending.
type storeState struct {
	lastOp      uint64 // id of the latest call
	pending     bool
	pendingRole *Role // role of a pending write
	startedAt   clock.Time
	notBefore   clock.Time
	backoff     clock.Span
	wantRead    bool // the stored role may differ from State.role
	roleAbsent  bool // the last read found no role object
}

// copyRole returns a copy of the role that shares its slices, which are never
// modified in place.
func (s *State) copyRole() *Role {
	r := s.role
	return &r
}

// setRole replaces the role if the given version of the stored object is newer.
func (s *State) setRole(now clock.Time, r Role, version uint64) {
	if s.roleFound && version <= s.roleVersion {
		return
	}
	first, old := !s.roleFound, s.role
	campaigning := s.campaign.active && !s.holder.active && old.Epoch != r.Epoch
	if campaigning || s.campaign.active && !slices.Contains(r.Voters, s.self) {
		s.stepDown(now)
	}
	s.role, s.roleVersion, s.roleFound = r, version, true
	s.store.roleAbsent = false
	s.pruneEnded()
	if !first && old.Epoch == r.Epoch {
		// The voters are the same, but Previous may have been fenced and emptied.
		if s.holder.active && s.holder.role.Epoch == r.Epoch {
			s.holder.role = r
		}
		return
	}
	s.baseLost = false
	s.repairAt = now.Add(s.electionDelay())
	if s.holder.active {
		s.chooseTerm()
	}
	s.voter.campaignAt = max(s.voter.campaignAt, now.Add(s.electionDelay()))
}

// pruneEnded removes the records of incarnations that aren't voters any more.
func (s *State) pruneEnded() {
	named := s.electorate()
	maps.DeleteFunc(s.endedVoters, func(v Voter, _ bool) bool { return !slices.Contains(named, v) })
	maps.DeleteFunc(s.probedAt, func(v Voter, _ clock.Time) bool { return !slices.Contains(named, v) })
	for _, v := range named { // earlier incarnations of this host have ended
		if v.Host == s.cfg.Self && v != s.self {
			s.endedVoters[v] = true
		}
	}
}

func (s *State) handleRoleRead(now clock.Time, ev RoleRead) {
	if s.store.pending && s.store.pendingRole == nil && ev.Op == s.store.lastOp {
		s.finishCall()
		s.store.wantRead = false
		s.store.roleAbsent = !ev.Found
		s.repairAt = now.Add(s.electionDelay())
	}
	if ev.Found {
		s.setRole(now, ev.Role, ev.Version)
	}
}

func (s *State) handleRoleWritten(now clock.Time, ev RoleWritten) {
	if !s.store.pending || s.store.pendingRole == nil || ev.Op != s.store.lastOp {
		return
	}
	r := *s.store.pendingRole
	s.finishCall()
	s.setRole(now, r, ev.Version)
}

func (s *State) handleRoleConflict(now clock.Time, op uint64) {
	if s.store.pending && op == s.store.lastOp {
		s.finishCall()
		s.store.wantRead = true
		s.repairAt = now.Add(s.electionDelay())
	}
}

// handleRoleFailed handles calls that failed or whose result is unknown. It
// requests a read: repeating a write would be safe, because it conflicts if the
// first one took effect, but then the role has to be read anyway.
func (s *State) handleRoleFailed(now clock.Time, op uint64) {
	if !s.store.pending || op != s.store.lastOp {
		return
	}
	backoff := min(max(2*s.store.backoff, storeBackoffMin), storeBackoffMax)
	s.finishCall()
	s.store.backoff = backoff
	s.store.notBefore = now.Add(backoff + s.electionDelay())
	s.store.wantRead = true
}

func (s *State) finishCall() {
	s.store.pending, s.store.pendingRole, s.store.backoff = false, nil, 0
}

// stepStore starts the next call to the store if one is due.
func (s *State) stepStore(now clock.Time) {
	st := &s.store
	if st.pending {
		if now.Sub(st.startedAt) < storeTimeout {
			return
		}
		s.handleRoleFailed(now, st.lastOp)
	}
	if st.notBefore.After(now) {
		return
	}
	if st.wantRead {
		s.startCall(now, nil)
		return
	}
	if r, ok := s.roleToWrite(now); ok {
		s.startCall(now, &r)
	}
}

func (s *State) startCall(now clock.Time, r *Role) {
	st := &s.store
	st.lastOp++
	st.pending, st.pendingRole, st.startedAt = true, r, now
	if r == nil {
		s.emit(ReadRole{Op: st.lastOp})
		return
	}
	s.emit(WriteRole{Op: st.lastOp, Role: *r, IfVersion: s.roleVersion})
}

// roleToWrite returns the role that this host should write, if any.
func (s *State) roleToWrite(now clock.Time) (r Role, ok bool) {
	if !s.roleFound {
		return s.initialRole(now)
	}
	if s.holder.active {
		return s.holderRole(now)
	}
	return s.repairedRole(now)
}

// initialRole returns a role with the first voters of a cell. It needs a live
// majority of the group, because otherwise each half of a partitioned group
// could name voters.
func (s *State) initialRole(now clock.Time) (r Role, ok bool) {
	if !s.store.roleAbsent || s.repairAt.After(now) || !s.groupMajorityLive(now) {
		return r, false
	}
	return Role{Epoch: 1, Holder: s.cfg.Self, Voters: s.newVoters(now)}, true
}

// holderRole returns the next role to be written by its holder: with the
// previous voters removed, voters replaced or added, or a new epoch before the
// counts of the present one run out.
func (s *State) holderRole(now clock.Time) (r Role, ok bool) {
	if s.holder.role.Epoch != s.role.Epoch {
		return r, false // the latest role isn't held yet
	}
	r = s.role
	r.Holder = s.cfg.Self
	if len(r.Previous) > 0 { // held with majorities of both, hence Previous is fenced
		r.Previous = nil
		return r, true
	}
	if spares := s.spareHosts(now); s.handingOver && len(spares) > 0 {
		r.Epoch++
		r.Voters, r.Previous = spares[:1:1], s.role.Voters
		return r, true
	}
	if vs := s.replacedVoters(now); !slices.Equal(vs, r.Voters) {
		r.Epoch++
		r.Voters, r.Previous = vs, s.role.Voters
		return r, true
	}
	if s.holder.term&countMask > countMask/2 {
		r.Epoch++
		return r, true
	}
	return r, s.role.Holder != s.cfg.Self
}

// repairedRole returns a role to replace one under which no host can be elected
// any more.
func (s *State) repairedRole(now clock.Time) (r Role, ok bool) {
	base := s.role.Previous
	if len(base) == 0 {
		base = s.role.Voters
	}
	if !s.majorityEnded(base) {
		s.baseLost = false
	} else if !s.baseLost {
		s.baseLost, s.baseLostSince = true, now
	}
	if s.repairAt.After(now) {
		return r, false
	}
	r = Role{Epoch: s.role.Epoch + 1, Holder: s.role.Holder}
	switch {
	case s.baseLost:
		// A holder may still count promises of the ended incarnations.
		if now.Sub(s.baseLostSince) < PromiseTime+ClockMargin || !s.groupMajorityLive(now) {
			return r, false
		}
		r.Voters = s.newVoters(now)
	case s.majorityEnded(s.role.Voters):
		if !s.groupMajorityLive(now) {
			return r, false
		}
		r.Voters, r.Previous = s.newVoters(now), base
	case max(s.campaign.highestTerm, s.voter.highestTerm) == s.role.Epoch<<countBits|countMask:
		r.Voters, r.Previous = s.role.Voters, s.role.Previous
	default:
		return r, false
	}
	return r, true
}

// majorityEnded reports whether so many of the voters have ended that the rest
// isn't a majority.
func (s *State) majorityEnded(vs []Voter) bool {
	n := 0
	for _, v := range vs {
		if !s.endedVoters[v] {
			n++
		}
	}
	return n <= len(vs)/2
}

func (s *State) groupMajorityLive(now clock.Time) bool {
	return len(s.liveHosts(now)) > len(s.cfg.Group)/2
}

// voterCount returns the number of voters for a number of hosts. It is odd,
// because an even number tolerates no more losses than the next lower one.
func voterCount(hosts int) int {
	switch {
	case hosts >= 5:
		return 5
	case hosts >= 3:
		return 3
	}
	return 1
}

func (s *State) newVoters(now clock.Time) []Voter {
	vs := s.liveHosts(now)
	return slices.Clip(vs[:voterCount(len(vs))])
}

// spareHosts returns the live hosts that aren't voters.
func (s *State) spareHosts(now clock.Time) []Voter {
	return slices.DeleteFunc(slices.Clone(s.liveHosts(now)), func(l Voter) bool {
		return slices.ContainsFunc(s.role.Voters, func(v Voter) bool { return v.Host == l.Host })
	})
}

// replacedVoters returns the voters after the replacement of those that
// restarted or from which no message arrived within peerTimeout. It adds voters
// if there are more hosts. Voters without a replacement stay.
func (s *State) replacedVoters(now clock.Time) []Voter {
	live := s.liveHosts(now)
	vs := slices.Clone(s.role.Voters)
	spares := s.spareHosts(now)
	for i, v := range vs {
		// Before this host held the role, it may not have received messages from
		// every voter.
		timedOut := !slices.Contains(live, v) && now.Sub(s.holder.since) >= peerTimeout
		if !timedOut && !s.endedVoters[v] {
			continue
		}
		j := slices.IndexFunc(live, func(l Voter) bool { return l.Host == v.Host && s.endedVoters[v] })
		switch {
		case j >= 0:
			vs[i] = live[j]
		case len(spares) > 0:
			vs[i], spares = spares[0], spares[1:]
		}
	}
	for len(vs) < voterCount(len(live)) && len(spares) > 0 {
		vs, spares = append(vs, spares[0]), spares[1:]
	}
	return vs
}
