// Package elect elects the assigner of a cell among the entry hosts of a group.
//
// The role object in the store names the voters, each one incarnation (process
// start) of a host. A voter grants promises: votes that expire after 300 ms,
// during which it grants none to another host. Promises aren't written to disk.
// A host holds the role while it has unexpired promises of a majority of the
// voters. Elections use messages between hosts only, so that a slow or
// unavailable store doesn't delay them. The store is written when the voters
// change.
//
// A term has the epoch of the role in its high 20 bits and a count of the
// elections under that role in its low 12 bits. A voter never grants one term
// to two hosts, and any two majorities share a voter, so a term has one holder.
//
// The voters change in two writes. The first names the new voters and keeps
// the old ones as Previous; a holder then needs a majority of both. When it has
// them under the new epoch, the second write empties Previous: from then on
// each majority of the old voters has a member that granted a term of the new
// epoch and therefore rejects every host that has only the old role. This is
// called fencing the old voters. The base is the set of voters of which every
// holder up to now needed a majority: Previous if it isn't empty, else Voters.
// Every new role keeps the base until it has been fenced, except if so many of
// the base's incarnations have ended that they can't form a majority any more.
//
// # Usage
//
//	s := elect.New(elect.Config{Self: "a1", Incarnation: incarnation, Cell: cell, Group: hosts, Seed: seed})
//	for _, a := range s.Step(clk.Now(), elect.Tick{}) {
//		switch a := a.(type) {
//		case elect.PromiseRequest:
//			// send to a.To, which passes it to its Step as PromiseRequested
//		}
//	}
//	if term, ok := s.Holding(clk.Now()); ok { ... }
//
// The time passed to Step must be read after the event was received, and
// messages must be sent after Step returned. Two incarnations of one host must
// not overlap. Clocks must count the time for which the machine is suspended.
package elect

import (
	"math/rand/v2"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Timing of the protocol.
const (
	// PromiseTime is the time from the grant of a promise to its expiry at the
	// voter.
	PromiseTime = 300 * clock.Millisecond
	// ClockMargin is the time by which a promise expires earlier at the host
	// that received it. It covers clock rates that differ by 1 in 1,000 and
	// readings that are rounded to milliseconds.
	ClockMargin = 10 * clock.Millisecond
	// RenewalInterval is the interval at which the holder renews each promise.
	RenewalInterval = 100 * clock.Millisecond
	// TickInterval is the longest permitted time between two Ticks. It is part of
	// the time that an election can take.
	TickInterval = 10 * clock.Millisecond

	electionDelayMin = 20 * clock.Millisecond
	electionDelayMax = 80 * clock.Millisecond
	candidateRetry   = 20 * clock.Millisecond  // before a candidate repeats a request
	campaignTimeout  = 100 * clock.Millisecond // after which a candidate gives up
	maxDelayFactor   = 4                       // of the election delay, after failed campaigns
	storeTimeout     = 150 * clock.Millisecond
	storeBackoffMin  = 200 * clock.Millisecond
	storeBackoffMax  = 3200 * clock.Millisecond
	peerTimeout      = 3 * clock.Second // without a message, after which a voter is replaced

	countBits = 12
	countMask = 1<<countBits - 1
)

// Config holds the identity of the host and its group.
type Config struct {
	Self        keys.Host
	Incarnation uint64
	Cell        keys.Cell
	Group       []keys.Host // all configured hosts of the group, including Self
	Seed        uint64
}

// State is the state of one host in the elections of one cell: as voter,
// candidate and holder.
type State struct {
	cfg     Config
	self    Voter
	rng     *rand.Rand
	actions []Action

	// The latest role that was read, written or received, and its version in
	// the store.
	role        Role
	roleVersion uint64
	roleFound   bool

	store          storeState
	voter          voterState
	campaign       campaignState
	holder         holderState
	peers          map[keys.Host]peer
	endedVoters    map[Voter]bool // incarnations that are proven to have ended
	probedAt       map[Voter]clock.Time
	requests       map[uint64]request // without a reply, by nonce
	lastNonce      uint64
	resigned       bool // this host doesn't campaign any more
	handingOver    bool // another voter is to replace this host before it resigns
	handoverSentAt clock.Time

	baseLostSince clock.Time
	baseLost      bool       // the base can't form a majority any more
	repairAt      clock.Time // earliest time to create or repair the role
}

// peer is the last incarnation of another host from which a message arrived.
type peer struct {
	incarnation uint64
	seenAt      clock.Time
}

// New returns the state of a host that has just started.
func New(cfg Config) *State {
	return &State{
		cfg:         cfg,
		self:        Voter{cfg.Self, cfg.Incarnation},
		rng:         rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation)),
		peers:       map[keys.Host]peer{},
		endedVoters: map[Voter]bool{},
		probedAt:    map[Voter]clock.Time{},
		requests:    map[uint64]request{},
		campaign:    campaignState{progress: map[Voter]progress{}},
		store:       storeState{wantRead: true},
	}
}

// Step handles one event and returns the actions to be executed, in order.
func (s *State) Step(now clock.Time, ev Event) []Action {
	s.actions = nil
	s.expireRole(now) // first, so that a late reply can't extend an expired role
	switch ev := ev.(type) {
	case Tick:
	case RoleRead:
		s.handleRoleRead(now, ev)
	case RoleOpFailed:
		s.handleRoleFailed(now, ev.Op)
	case RoleWritten:
		s.handleRoleWritten(now, ev)
	case RoleConflict:
		s.handleRoleConflict(now, ev.Op)
	case RoleIndeterminate:
		s.handleRoleFailed(now, ev.Op)
	case PromiseRequested:
		s.handleRequest(now, ev)
	case PromiseResponded:
		s.handleReply(now, ev)
	case PromiseReleased:
		s.handleRelease(now, ev)
	case IncarnationSeen:
		s.observePeer(now, Voter(ev))
	case Resign:
		s.handleResign(now)
	}
	s.stepCampaign(now)
	s.sendHandover(now)
	s.probeVoters(now)
	s.stepStore(now)
	return s.actions
}

// Holding reports whether this host holds the role at now, and its term.
func (s *State) Holding(now clock.Time) (term uint32, ok bool) {
	if !s.holder.active || !s.hasMajorities(now, s.holder.role, 0) {
		return 0, false
	}
	return s.holder.term, true
}

// Dump returns a copy of the state for diagnostics.
func (s *State) Dump() Dump {
	d := Dump{
		Cell: s.cfg.Cell, Self: s.self,
		Found: s.roleFound, Role: s.role, Version: s.roleVersion,
		Holding: s.holder.active, Term: s.holder.term,
		Campaigning: s.campaign.active, CampaignTerm: s.campaign.term,
		PromisedTo: s.voter.promisedTo, PromisedUntil: s.voter.promisedUntil, HighestTerm: s.voter.highestTerm,
	}
	for _, v := range s.electorate() {
		p := s.campaign.progress[v]
		d.Promises = append(d.Promises, Promise{v, p.promisedTerm, p.promisedUntil})
	}
	for _, h := range s.cfg.Group {
		if p, ok := s.peers[h]; ok {
			d.Peers = append(d.Peers, PeerState{Voter{h, p.incarnation}, p.seenAt})
		}
	}
	return d
}

func (s *State) emit(a Action) { s.actions = append(s.actions, a) }

// electionDelay returns a random delay before a campaign or a write of the
// role, so that hosts rarely act at the same time.
func (s *State) electionDelay() clock.Span {
	return electionDelayMin + clock.Span(s.rng.Int64N(int64(electionDelayMax-electionDelayMin)+1))
}

// observePeer records that a message of v was received.
func (s *State) observePeer(now clock.Time, v Voter) {
	if v.Host != s.cfg.Self && !s.endedVoters[v] && slices.Contains(s.cfg.Group, v.Host) {
		s.peers[v.Host] = peer{v.Incarnation, now}
	}
}

// liveHosts returns this host, followed by the incarnations from which a
// message arrived within peerTimeout.
func (s *State) liveHosts(now clock.Time) []Voter {
	hosts := []Voter{s.self}
	for _, h := range s.cfg.Group {
		if p, ok := s.peers[h]; ok && h != s.cfg.Self && now.Sub(p.seenAt) < peerTimeout {
			hosts = append(hosts, Voter{h, p.incarnation})
		}
	}
	return hosts
}

func epochOf(term uint32) uint32 { return term >> countBits }
