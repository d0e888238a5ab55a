// Package elect elects the one assigner of a cell among the entry hosts of a
// group.
//
// The role object in the store names voters, each one run of a host. A host
// holds the role while it has unexpired promises of a majority of them. A
// voter promises for 300 ms not to support another host and keeps nothing on
// disk. Elections use messages between hosts only, so that a slow or absent
// store doesn't delay them; the store is written when the voters change.
//
// A term has the epoch of the role in its high 20 bits and a count of the
// elections under that role in its low 12 bits. A voter never grants one term
// to two hosts, and any two majorities share a voter, so a term has one holder.
//
// The voters change in two writes. The first names the new voters and keeps
// the old ones as Previous; a holder then needs a majority of both. When it has
// them under the new epoch, the second write empties Previous: from then on
// each majority of the old voters has a member that granted a term of the new
// epoch, and refuses every host that knows only the old role. The voters that
// all holders up to now needed a majority of are the base: Previous if it isn't
// empty, else Voters. Every new role keeps the base until it was fenced in this
// way, except if so many of the base's runs have ended that they can't
// have a majority any more.
//
// # Usage
//
//	s := elect.New(elect.Config{Self: "a1", Boot: boot, Cell: cell, Group: hosts, Seed: seed})
//	for _, a := range s.Step(clk.Now(), elect.Tick{}) {
//		switch a := a.(type) {
//		case elect.Ask:
//			// send to a.To, whose driver calls Step with Asked
//		}
//	}
//	if term, ok := s.Holding(clk.Now()); ok { ... }
//
// The time passed to Step must be read after the event was received, and
// messages must be sent after Step returned. Two runs of one host must not
// overlap. Clocks count suspended time.
package elect

import (
	"math/rand/v2"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Periods of the protocol.
const (
	// Promise is the time for which a voter supports one host.
	Promise = 300 * clock.Millisecond
	// Margin covers clock rates that differ by 1 in 1,000 and readings that
	// are rounded to milliseconds.
	Margin = 10 * clock.Millisecond
	// Renewal is the time between two requests of the holder to a voter.
	Renewal = 100 * clock.Millisecond
	// TickPeriod is the longest time between two Ticks that the figures for
	// an election assume.
	TickPeriod = 10 * clock.Millisecond

	delayMin     = 20 * clock.Millisecond
	delayMax     = 80 * clock.Millisecond
	retry        = 20 * clock.Millisecond  // of a candidate's requests
	attempt      = 100 * clock.Millisecond // after which a candidate gives up
	maxBackoff   = 4                       // times the election delay
	storeTimeout = 150 * clock.Millisecond
	storeBackoff = 200 * clock.Millisecond
	storeLongest = 3200 * clock.Millisecond
	silence      = 3 * clock.Second // after which a voter is replaced

	countBits = 12
	countMask = 1<<countBits - 1
)

// Config is what an election has to know of its host and group.
type Config struct {
	Self  keys.Host
	Boot  uint64
	Cell  keys.Cell
	Group []keys.Host // all configured hosts of the group, with Self
	Seed  uint64
}

// State is one host's part in the elections of one cell.
type State struct {
	cfg Config
	me  Voter
	rng *rand.Rand
	out []Action

	// Role as the store is known to have had it at version.
	role    Role
	version uint64
	found   bool

	store  storeState
	voter  voterState
	bid    bidState
	held   heldState
	heard  map[keys.Host]sighting
	ended  map[Voter]bool // runs that are proven to have ended
	probed map[Voter]clock.Time
	asks   map[uint64]sent
	nonce  uint64
	// resigned says that this host stands for election no more. handover says
	// that it names another voter in its place before that; toldAt is when it
	// told that voter last.
	resigned bool
	handover bool
	toldAt   clock.Time

	deadSince clock.Time // when the base was found to have no majority
	dead      bool
	repairAt  clock.Time
}

type sighting struct {
	boot uint64
	at   clock.Time
}

// New returns the state of a host that has just started.
func New(cfg Config) *State {
	return &State{
		cfg:    cfg,
		me:     Voter{cfg.Self, cfg.Boot},
		rng:    rand.New(rand.NewPCG(cfg.Seed, cfg.Boot)),
		heard:  map[keys.Host]sighting{},
		ended:  map[Voter]bool{},
		probed: map[Voter]clock.Time{},
		asks:   map[uint64]sent{},
		bid:    bidState{support: map[Voter]support{}},
		store:  storeState{wantRead: true},
	}
}

// Step handles one event and returns what the driver has to do, in order.
func (s *State) Step(now clock.Time, ev Event) []Action {
	s.out = nil
	s.expire(now) // a late reply must not revive a role that has been lost
	switch ev := ev.(type) {
	case Tick:
	case RoleRead:
		s.roleRead(now, ev)
	case RoleFailed:
		s.roleFailed(now, ev.Op)
	case RoleWritten:
		s.roleWritten(now, ev)
	case RoleConflict:
		s.roleConflict(now, ev.Op)
	case RoleUnsure:
		s.roleFailed(now, ev.Op)
	case Asked:
		s.asked(now, ev)
	case Replied:
		s.replied(now, ev)
	case Released:
		s.released(now, ev)
	case PeerBoot:
		s.sighted(now, Voter(ev))
	case Resign:
		s.resign(now)
	}
	s.campaign(now)
	s.tellVoter(now)
	s.probe(now)
	s.storeStep(now)
	return s.out
}

// Holding reports whether this host holds the role at now, and its term.
func (s *State) Holding(now clock.Time) (term uint32, ok bool) {
	if !s.held.ok || !s.supported(now, s.held.role, 0) {
		return 0, false
	}
	return s.held.term, true
}

// Dump returns a copy of the state.
func (s *State) Dump() Dump {
	d := Dump{
		Cell: s.cfg.Cell, Self: s.me,
		Found: s.found, Role: s.role, Version: s.version,
		Holding: s.held.ok, Term: s.held.term,
		Bidding: s.bid.on, BidTerm: s.bid.term,
		Promised: s.voter.to, Until: s.voter.until, Highest: s.voter.highest,
	}
	for _, v := range s.electorate() {
		g := s.bid.support[v]
		d.Supported = append(d.Supported, Support{v, g.term, g.until})
	}
	for _, h := range s.cfg.Group {
		if p, ok := s.heard[h]; ok {
			d.Peers = append(d.Peers, PeerState{Voter{h, p.boot}, p.at})
		}
	}
	return d
}

func (s *State) emit(a Action) { s.out = append(s.out, a) }

// delay returns a random election delay.
func (s *State) delay() clock.Span {
	return delayMin + clock.Span(s.rng.Int64N(int64(delayMax-delayMin)+1))
}

// sighted notes that a message of v was received.
func (s *State) sighted(now clock.Time, v Voter) {
	if v.Host != s.cfg.Self && !s.ended[v] && slices.Contains(s.cfg.Group, v.Host) {
		s.heard[v.Host] = sighting{v.Boot, now}
	}
}

// live lists the runs heard within the silence limit, this host first.
func (s *State) live(now clock.Time) []Voter {
	vs := []Voter{s.me}
	for _, h := range s.cfg.Group {
		if p, ok := s.heard[h]; ok && h != s.cfg.Self && now.Sub(p.at) < silence {
			vs = append(vs, Voter{h, p.boot})
		}
	}
	return vs
}

func epochOf(term uint32) uint32 { return term >> countBits }
