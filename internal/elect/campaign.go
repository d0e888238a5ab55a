package elect

import (
	"maps"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
)

// campaignState is a request for promises: of a candidate, or of a holder that
// renews them or raises its term.
type campaignState struct {
	active      bool
	term        uint32
	startedAt   clock.Time
	failures    int    // since the last win or promise to another host
	highestTerm uint32 // highest term that a voter reported
	progress    map[Voter]progress
}

// progress is the state of the requests to one voter and of its promise. The
// promise is counted from before the request was sent.
type progress struct {
	promisedUntil clock.Time
	promisedTerm  uint32
	requestedAt   clock.Time // when the last request was sent
	resend        bool       // at once, before the period has passed
	roleVersion   uint64     // the latest that the voter confirmed
}

// holderState is the role as this host holds it. It may be older than
// State.role until a majority of that role's voters has granted a promise.
type holderState struct {
	active bool
	since  clock.Time
	term   uint32
	role   Role
}

// request is a sent request without a reply.
type request struct {
	to     Voter
	term   uint32
	sentAt clock.Time
}

// electorate returns the voters of the latest and of the held role without
// duplicates.
func (s *State) electorate() []Voter {
	if len(s.role.Previous) == 0 && (!s.holder.active || s.holder.role.Epoch == s.role.Epoch) {
		return s.role.Voters
	}
	var vs []Voter
	for _, set := range [][]Voter{s.role.Voters, s.role.Previous, s.holder.role.Voters, s.holder.role.Previous} {
		for _, v := range set {
			if !slices.Contains(vs, v) {
				vs = append(vs, v)
			}
		}
	}
	return vs
}

// hasMajorities reports whether this host has unexpired promises of a majority
// of r.Voters and of r.Previous, of the given term unless it is zero.
func (s *State) hasMajorities(now clock.Time, r Role, term uint32) bool {
	return s.hasMajority(now, r.Voters, term) && (len(r.Previous) == 0 || s.hasMajority(now, r.Previous, term))
}

func (s *State) hasMajority(now clock.Time, vs []Voter, term uint32) bool {
	n := 0
	for _, v := range vs {
		p := s.campaign.progress[v]
		if p.promisedUntil.After(now) && (term == 0 || p.promisedTerm == term) {
			n++
		}
	}
	return n > len(vs)/2
}

// expireRole gives up the role if its promises have expired.
func (s *State) expireRole(now clock.Time) {
	if s.holder.active && !s.hasMajorities(now, s.holder.role, 0) {
		s.stepDown(now)
	}
}

// stepDown ends the campaign and gives up the role. Replies to earlier requests
// don't count any more, so the voters can be released from their promises.
func (s *State) stepDown(now clock.Time) {
	if s.holder.active {
		s.emit(Deposed{})
	}
	for _, v := range s.electorate() {
		if v != s.self && s.campaign.progress[v].requestedAt > 0 {
			s.emit(PromiseRelease{To: v.Host, ToIncarnation: v.Incarnation, Nonce: s.lastNonce})
		}
	}
	clear(s.requests)
	clear(s.campaign.progress)
	s.campaign.active, s.holder = false, holderState{}
	if s.voter.promisedTo == s.self {
		s.voter.promisedUntil = min(s.voter.promisedUntil, now)
	}
	s.voter.campaignAt = now.Add(s.electionDelay() * clock.Span(min(1+s.campaign.failures, maxDelayFactor)))
}

// stepCampaign starts or ends a campaign, requests promises and takes the role.
func (s *State) stepCampaign(now clock.Time) {
	if s.resigned || !s.roleFound || !slices.Contains(s.role.Voters, s.self) {
		return
	}
	if s.campaign.active && !s.holder.active && now.Sub(s.campaign.startedAt) >= campaignTimeout {
		s.campaign.failures++
		s.stepDown(now)
	}
	if !s.campaign.active && !s.voter.promisedUntil.After(now) && !s.voter.campaignAt.After(now) {
		s.campaign.startedAt = now
		s.chooseTerm()
	}
	if s.campaign.active {
		s.takeRole(now)
		s.sendRequests(now)
	}
}

// chooseTerm sets the campaign's term to the lowest one that no voter is known
// to have granted.
func (s *State) chooseTerm() {
	highest := max(s.campaign.highestTerm, s.voter.highestTerm, s.holder.term)
	term := max(highest+1, s.role.Epoch<<countBits)
	if epochOf(term) != s.role.Epoch { // the epoch has no count left, or the role is outdated
		s.store.wantRead = s.store.wantRead || epochOf(highest) > s.role.Epoch
		s.campaign.active = s.holder.active
		return
	}
	s.campaign.active, s.campaign.term = true, term
	for v, p := range s.campaign.progress {
		p.resend = true
		s.campaign.progress[v] = p
	}
}

// takeRole takes the role under the campaign's term if the promises suffice. A
// candidate grants the promise to itself last, so that a failed campaign leaves
// it free to grant one to another host.
func (s *State) takeRole(now clock.Time) {
	self := s.campaign.progress[s.self]
	current := self.promisedTerm == s.campaign.term && self.promisedUntil.After(now) && now.Sub(self.requestedAt) < RenewalInterval
	if !current && (s.holder.active || s.hasMajoritiesWithSelf(now)) {
		if !s.canPromise(now, s.self, s.campaign.term) {
			s.chooseTerm()
			return
		}
		s.grantPromise(now, s.self, s.campaign.term, 0)
		s.campaign.progress[s.self] = progress{promisedUntil: now.Add(PromiseTime - ClockMargin), promisedTerm: s.campaign.term, requestedAt: now}
	}
	if s.holder.active && s.holder.term == s.campaign.term || !s.hasMajorities(now, s.role, s.campaign.term) {
		return
	}
	if epochOf(s.campaign.term) != s.role.Epoch {
		return // a term must have the epoch of the voters that granted it
	}
	s.campaign.failures = 0
	since := s.holder.since
	if !s.holder.active {
		since = now
	}
	s.holder = holderState{active: true, since: since, term: s.campaign.term, role: s.role}
	s.emit(Elected{Term: s.campaign.term})
}

func (s *State) hasMajoritiesWithSelf(now clock.Time) bool {
	saved := s.campaign.progress[s.self]
	defer func() { s.campaign.progress[s.self] = saved }()
	s.campaign.progress[s.self] = progress{promisedUntil: now.Add(1), promisedTerm: s.campaign.term}
	return s.hasMajorities(now, s.role, s.campaign.term)
}

// sendRequests sends the requests that are due.
func (s *State) sendRequests(now clock.Time) {
	for _, v := range s.electorate() {
		if v == s.self || s.endedVoters[v] {
			continue
		}
		p := s.campaign.progress[v]
		if p.requestedAt > 0 && !p.resend && !s.requestDue(now, p) {
			continue
		}
		p.requestedAt, p.resend = max(now, 1), false
		s.campaign.progress[v] = p
		s.sendRequest(now, v, s.campaign.term, p.roleVersion)
	}
}

// requestDue reports whether a request is to be repeated. A holder renews at the
// same time for all cells of the host, so that the requests to a voter are sent
// in one batch.
func (s *State) requestDue(now clock.Time, p progress) bool {
	if !s.holder.active && p.promisedTerm != s.campaign.term {
		return now.Sub(p.requestedAt) >= candidateRetry
	}
	return !now.SamePeriod(p.requestedAt, RenewalInterval)
}

// sendRequest sends v a request, which includes the role unless v has confirmed
// it.
func (s *State) sendRequest(now clock.Time, v Voter, term uint32, version uint64) {
	maps.DeleteFunc(s.requests, func(_ uint64, a request) bool { return now.Sub(a.sentAt) > PromiseTime })
	s.lastNonce++
	s.requests[s.lastNonce] = request{to: v, term: term, sentAt: now}
	a := PromiseRequest{To: v.Host, ToIncarnation: v.Incarnation, Term: term, Nonce: s.lastNonce, Version: s.roleVersion}
	if term > 0 && version < s.roleVersion {
		a.Role = s.copyRole()
	}
	s.emit(a)
}

func (s *State) handleReply(now clock.Time, ev PromiseResponded) {
	from := Voter{ev.From, ev.FromIncarnation}
	s.observePeer(now, from)
	if ev.Role != nil {
		s.setRole(now, *ev.Role, ev.Version)
	}
	req, ok := s.requests[ev.Nonce]
	if !ok || req.to.Host != ev.From || ev.ToIncarnation != s.cfg.Incarnation {
		return
	}
	delete(s.requests, ev.Nonce)
	if from != req.to {
		s.markEnded(req.to)
		s.observePeer(now, from)
		return
	}
	if req.term == 0 || !s.campaign.active {
		return
	}
	p := s.campaign.progress[from]
	p.roleVersion = max(p.roleVersion, ev.Version)
	if ev.Granted {
		p.promisedUntil = max(p.promisedUntil, req.sentAt.Add(PromiseTime-ClockMargin))
		p.promisedTerm = max(p.promisedTerm, req.term)
	}
	s.campaign.progress[from] = p
	if ev.Granted {
		return
	}
	s.campaign.highestTerm = max(s.campaign.highestTerm, ev.Highest)
	switch {
	case epochOf(ev.Highest) > s.role.Epoch:
		s.store.wantRead = true
	case ev.Highest >= s.campaign.term:
		s.chooseTerm()
	}
}

// markEnded records that incarnation v has ended. This is proven by a reply of
// another incarnation of the host to a request that was addressed to v, sent
// after v had been read in a role.
func (s *State) markEnded(v Voter) {
	s.endedVoters[v] = true
	if s.peers[v.Host].incarnation == v.Incarnation {
		delete(s.peers, v.Host)
	}
}

// probeVoters queries the incarnations of voters that seem to have restarted.
func (s *State) probeVoters(now clock.Time) {
	for _, v := range s.electorate() {
		p, ok := s.peers[v.Host]
		if !ok || p.incarnation == v.Incarnation || s.endedVoters[v] || v.Host == s.cfg.Self {
			continue
		}
		if at, ok := s.probedAt[v]; !ok || now.Sub(at) >= RenewalInterval {
			s.probedAt[v] = now
			s.sendRequest(now, v, 0, 0)
		}
	}
}
