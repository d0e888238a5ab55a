package elect

import (
	"maps"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
)

// bidState is a request for promises: of a candidate, or of a holder, which
// renews them or raises its term.
type bidState struct {
	on      bool
	term    uint32
	since   clock.Time
	fails   int    // attempts that failed since this host last supported another
	known   uint32 // highest term that a voter reported
	support map[Voter]support
}

// support is a voter's promise as counted from before the request was sent.
type support struct {
	until   clock.Time
	term    uint32
	asked   clock.Time // time of the last request
	due     bool       // ask without waiting for the period
	version uint64     // role version that the voter is known to have
}

// heldState is the role as it is held. Its role may be older than the known
// one, until the voters of the known one support this host.
type heldState struct {
	ok    bool
	since clock.Time
	term  uint32
	role  Role
}

// sent is a request whose reply is awaited.
type sent struct {
	to   Voter
	term uint32
	at   clock.Time
}

// electorate lists the voters of the known and of the held role once.
func (s *State) electorate() []Voter {
	if len(s.role.Previous) == 0 && (!s.held.ok || s.held.role.Epoch == s.role.Epoch) {
		return s.role.Voters
	}
	var vs []Voter
	for _, set := range [][]Voter{s.role.Voters, s.role.Previous, s.held.role.Voters, s.held.role.Previous} {
		for _, v := range set {
			if !slices.Contains(vs, v) {
				vs = append(vs, v)
			}
		}
	}
	return vs
}

// supported reports whether majorities of r's voters support this host, under
// the given term unless it is zero.
func (s *State) supported(now clock.Time, r Role, term uint32) bool {
	return s.majority(now, r.Voters, term) && (len(r.Previous) == 0 || s.majority(now, r.Previous, term))
}

func (s *State) majority(now clock.Time, vs []Voter, term uint32) bool {
	n := 0
	for _, v := range vs {
		g := s.bid.support[v]
		if g.until.After(now) && (term == 0 || g.term == term) {
			n++
		}
	}
	return n > len(vs)/2
}

// expire ends a role whose promises have run out.
func (s *State) expire(now clock.Time) {
	if s.held.ok && !s.supported(now, s.held.role, 0) {
		s.abandon(now)
	}
}

// abandon gives up the bid and the role. Replies to earlier requests don't
// count any more, so the voters may be told to forget them.
func (s *State) abandon(now clock.Time) {
	if s.held.ok {
		s.emit(Lost{})
	}
	for _, v := range s.electorate() {
		if v != s.me && s.bid.support[v].asked > 0 {
			s.emit(Release{To: v.Host, ToBoot: v.Boot, Nonce: s.nonce})
		}
	}
	clear(s.asks)
	clear(s.bid.support)
	s.bid.on, s.held = false, heldState{}
	if s.voter.to == s.me {
		s.voter.until = min(s.voter.until, now)
	}
	s.voter.standAt = now.Add(s.delay() * clock.Span(min(1+s.bid.fails, maxBackoff)))
}

// campaign stands for election, asks for promises and takes the role.
func (s *State) campaign(now clock.Time) {
	if s.resigned || !s.found || !slices.Contains(s.role.Voters, s.me) {
		return
	}
	if s.bid.on && !s.held.ok && now.Sub(s.bid.since) >= attempt {
		s.bid.fails++
		s.abandon(now)
	}
	if !s.bid.on && !s.voter.until.After(now) && !s.voter.standAt.After(now) {
		s.bid.since = now
		s.setBid()
	}
	if s.bid.on {
		s.win(now)
		s.ask(now)
	}
}

// setBid chooses the lowest term that no voter is known to have granted.
func (s *State) setBid() {
	known := max(s.bid.known, s.voter.highest, s.held.term)
	term := max(known+1, s.role.Epoch<<countBits)
	if epochOf(term) != s.role.Epoch { // no count is left or the role is old
		s.store.wantRead = s.store.wantRead || epochOf(known) > s.role.Epoch
		s.bid.on = s.held.ok
		return
	}
	s.bid.on, s.bid.term = true, term
	for v, g := range s.bid.support {
		g.due = true
		s.bid.support[v] = g
	}
}

// win takes the role under the bid's term if the promises suffice. A candidate
// promises its own support last, so that a failed attempt binds no one to it.
func (s *State) win(now clock.Time) {
	own := s.bid.support[s.me]
	fresh := own.term == s.bid.term && own.until.After(now) && now.Sub(own.asked) < Renewal
	if !fresh && (s.held.ok || s.enoughWithSelf(now)) {
		if !s.open(now, s.me, s.bid.term) {
			s.setBid()
			return
		}
		s.promise(now, s.me, s.bid.term, 0)
		s.bid.support[s.me] = support{until: now.Add(Promise - Margin), term: s.bid.term, asked: now}
	}
	if s.held.ok && s.held.term == s.bid.term || !s.supported(now, s.role, s.bid.term) {
		return
	}
	if epochOf(s.bid.term) != s.role.Epoch {
		return // the epochs keep terms of different voters apart
	}
	s.bid.fails = 0
	since := s.held.since
	if !s.held.ok {
		since = now
	}
	s.held = heldState{ok: true, since: since, term: s.bid.term, role: s.role}
	s.emit(Became{Term: s.bid.term})
}

func (s *State) enoughWithSelf(now clock.Time) bool {
	old := s.bid.support[s.me]
	defer func() { s.bid.support[s.me] = old }()
	s.bid.support[s.me] = support{until: now.Add(1), term: s.bid.term}
	return s.supported(now, s.role, s.bid.term)
}

// ask sends the requests that are due.
func (s *State) ask(now clock.Time) {
	for _, v := range s.electorate() {
		if v == s.me || s.ended[v] {
			continue
		}
		g := s.bid.support[v]
		if g.asked > 0 && !g.due && !s.askAgain(now, g) {
			continue
		}
		g.asked, g.due = max(now, 1), false
		s.bid.support[v] = g
		s.send(now, v, s.bid.term, g.version)
	}
}

// askAgain reports whether a request is due again. Holders ask for all cells
// of a host together, so that the requests to a voter travel in one batch.
func (s *State) askAgain(now clock.Time, g support) bool {
	if !s.held.ok && g.term != s.bid.term {
		return now.Sub(g.asked) >= retry
	}
	return !now.SamePeriod(g.asked, Renewal)
}

// send asks v, with the role unless v is known to have it.
func (s *State) send(now clock.Time, v Voter, term uint32, version uint64) {
	maps.DeleteFunc(s.asks, func(_ uint64, a sent) bool { return now.Sub(a.at) > Promise })
	s.nonce++
	s.asks[s.nonce] = sent{to: v, term: term, at: now}
	a := Ask{To: v.Host, ToBoot: v.Boot, Term: term, Nonce: s.nonce, Version: s.version}
	if term > 0 && version < s.version {
		a.Role = s.copyRole()
	}
	s.emit(a)
}

func (s *State) replied(now clock.Time, ev Replied) {
	from := Voter{ev.From, ev.FromBoot}
	s.sighted(now, from)
	if ev.Role != nil {
		s.adopt(now, *ev.Role, ev.Version)
	}
	a, ok := s.asks[ev.Nonce]
	if !ok || a.to.Host != ev.From || ev.ToBoot != s.cfg.Boot {
		return
	}
	delete(s.asks, ev.Nonce)
	if from != a.to {
		s.end(a.to)
		s.sighted(now, from)
		return
	}
	if a.term == 0 || !s.bid.on {
		return
	}
	g := s.bid.support[from]
	g.version = max(g.version, ev.Version)
	if ev.Granted {
		g.until = max(g.until, a.at.Add(Promise-Margin))
		g.term = max(g.term, a.term)
	}
	s.bid.support[from] = g
	if ev.Granted {
		return
	}
	s.bid.known = max(s.bid.known, ev.Highest)
	switch {
	case epochOf(ev.Highest) > s.role.Epoch:
		s.store.wantRead = true
	case ev.Highest >= s.bid.term:
		s.setBid()
	}
}

// end notes that a run has ended. The reply came from another run of the host
// after this host had read the ended run's id in a role.
func (s *State) end(v Voter) {
	s.ended[v] = true
	if s.heard[v.Host].boot == v.Boot {
		delete(s.heard, v.Host)
	}
}

// probe asks voters that seem to have restarted for their boot ids.
func (s *State) probe(now clock.Time) {
	for _, v := range s.electorate() {
		p, ok := s.heard[v.Host]
		if !ok || p.boot == v.Boot || s.ended[v] || v.Host == s.cfg.Self {
			continue
		}
		if at, ok := s.probed[v]; !ok || now.Sub(at) >= Renewal {
			s.probed[v] = now
			s.send(now, v, 0, 0)
		}
	}
}
