// Package spread decides how entry hosts tell each other about the newest
// configuration revision and about which entry hosts are live.
//
// Every 200 ms a host sends a digest to 2 random hosts of its group and to 1
// elsewhere. A digest has the sender's revision and heartbeat and a few of the
// heartbeats that it heard last. A host that hears of a higher revision fetches
// it from the sender. Two hosts per data centre watch the store.
//
// # Usage
//
//	s := spread.New(spread.Config{Host: "north-1-a", Boot: boot, DataCentre: "north-1", Group: group, Seed: seed})
//	for _, a := range s.Step(clk.Now(), spread.Tick{}) { // every 100 ms or less
//		switch a := a.(type) {
//		case spread.Tell: // send a.Digest to a.To
//		case spread.Fetch: // ask a.From for its revision and, if a.Hosts, its heartbeats
//		case spread.ReadStore: // read the store; then Watched or StoreFailed
//		case spread.Adopt: // put a.Revision into force once Ready
//		case spread.Watch: // start or stop watching the store
//		case spread.Superseded: // restart with a boot id above a.Boot
//		}
//	}
//
// A fetch is answered from Current and, if heartbeats are asked for, Beats. A
// host serves callers only once Ready reports true.
//
// The package is pure: it has no clock, no I/O and no goroutine. Its owner
// calls it from one goroutine.
package spread

import (
	"math/rand/v2"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Times and counts of the protocol.
const (
	// RoundSpan is the time between two rounds of digests.
	RoundSpan = 200 * clock.Millisecond
	// RetrySpan is how long a fetch may take before another host is asked. The
	// longest round trip between regions is 140 ms.
	RetrySpan = 300 * clock.Millisecond
	// startSpan is how long a starting host waits for the store and for the
	// hosts that it asked.
	startSpan = clock.Second

	groupTargets = 2 // digests of a round to hosts of the group
	startPeers   = 4 // hosts that a starting host asks at a time
	maxSources   = 4 // hosts remembered as having a higher revision
	maxTries     = 3 // fetches from one source before it is forgotten
)

// Config is what a host knows when it starts.
type Config struct {
	Host keys.Host
	// Boot identifies this run of the process. A later run of the same host
	// must have a higher one, for instance the wall clock in ms in the high
	// 44 bits and a random number below: an order is the only way to refuse a
	// late heartbeat of a former run that this host never heard before.
	Boot       uint64
	DataCentre keys.DataCentre
	Group      []keys.Host // with or without Host itself
	Seed       uint64
}

// Beat is a heartbeat of a host.
type Beat struct {
	Host    keys.Host `json:"host"`
	Boot    uint64    `json:"boot"`
	Beat    uint64    `json:"beat"`
	Leaving bool      `json:"leaving,omitempty"`
}

// Digest is what a host tells another one. The message that carries it names
// the sender and its boot id.
type Digest struct {
	Revision uint64
	Beat     uint64 // the sender's own heartbeat
	Leaving  bool   // the sender is leaving
	Hosts    []Beat
}

// Member is an entry host in the platform's list.
type Member struct {
	Host       keys.Host
	DataCentre keys.DataCentre
	Leaving    bool
}

// Event is an input of Step.
type Event interface{ event() }

// Events.
type (
	// Tick says that time has passed.
	Tick struct{}
	// Heard is a digest from another host.
	Heard struct {
		From   keys.Host
		Boot   uint64
		Digest Digest
	}
	// Fetched answers a Fetch. Revision 0 says that the host has none.
	Fetched struct {
		From     keys.Host
		Revision uint64
		Body     []byte
		Hosts    []Beat
	}
	// Watched is what the store has. Revision 0 says that it has none.
	Watched struct {
		Revision uint64
		Body     []byte
	}
	// StoreFailed says that the store could not be read.
	StoreFailed struct{}
	// Listed is the platform's list of entry hosts. When the list can't be
	// read there is no event, and the last one remains in force.
	Listed struct{ Members []Member }
	// Grouped replaces the hosts of the group.
	Grouped struct{ Hosts []keys.Host }
	// Leave says that this host is about to stop.
	Leave struct{}
)

func (Tick) event()        {}
func (Heard) event()       {}
func (Fetched) event()     {}
func (Watched) event()     {}
func (StoreFailed) event() {}
func (Listed) event()      {}
func (Grouped) event()     {}
func (Leave) event()       {}

// Action is an output of Step.
type Action interface{ action() }

// Actions.
type (
	// Tell sends a digest.
	Tell struct {
		To     keys.Host
		Digest Digest
	}
	// Fetch asks a host for its revision, which it sends even if it is not
	// above Have, and for its heartbeats if Hosts is set.
	Fetch struct {
		From  keys.Host
		Have  uint64
		Hosts bool
	}
	// ReadStore reads the configuration once.
	ReadStore struct{}
	// Adopt puts a revision into force. Revisions only ever grow.
	Adopt struct {
		Revision uint64
		Body     []byte
	}
	// Watch starts or stops watching the store.
	Watch struct{ On bool }
	// Superseded says that a heartbeat of this host with a higher boot id was
	// heard: the wall clock was set back or two processes have the same name.
	Superseded struct{ Boot uint64 }
)

func (Tell) action()       {}
func (Fetch) action()      {}
func (ReadStore) action()  {}
func (Adopt) action()      {}
func (Watch) action()      {}
func (Superseded) action() {}

// State is what a host knows about revisions and hosts.
type State struct {
	cfg     Config
	rng     *rand.Rand
	now     clock.Time
	started bool
	start   clock.Time
	out     []Action

	revision uint64
	body     []byte
	fetch    fetch
	boot     startup

	beat      uint64
	leaving   bool
	nextRound clock.Time
	round     uint64
	extra     int // digests that may still be sent outside a round
	allowance int // bytes that heartbeats of others may use

	hosts hosts
	self  ranked
	watch watch
}

// New returns the state of a host that has just started. It has no revision.
func New(cfg Config) *State {
	s := &State{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Boot))}
	s.hosts.index = make(map[keys.Host]int32)
	s.self = rank(cfg.DataCentre, cfg.Host, -1)
	s.setGroup(cfg.Group)
	return s
}

// Step handles an event and returns what is to be done.
func (s *State) Step(now clock.Time, ev Event) []Action {
	s.out = nil
	s.now = max(s.now, now)
	if !s.started {
		s.started = true
		s.start = s.now
		// Hosts that start together must not send in the same millisecond.
		s.nextRound = s.now.Add(clock.Span(s.rng.Int64N(int64(RoundSpan))))
		s.extra = digestsPerRound
	}
	switch ev := ev.(type) {
	case Tick:
	case Heard:
		s.heard(ev)
	case Fetched:
		s.fetched(ev)
	case Watched:
		s.boot.storeRead = true
		s.adopt(ev.Revision, ev.Body)
	case StoreFailed:
		s.boot.storeFailed = true
	case Listed:
		s.list(ev.Members)
	case Grouped:
		s.setGroup(ev.Hosts)
	case Leave:
		if !s.leaving {
			s.leaving = true
			s.beat++ // a heartbeat that isn't higher is ignored
		}
	}
	s.starting()
	s.retryFetch()
	if !s.now.Before(s.nextRound) {
		s.sendRound()
	}
	s.decideWatch()
	return s.out
}

func (s *State) do(a Action) { s.out = append(s.out, a) }

// Current returns the revision that the host has; 0 means none.
func (s *State) Current() (revision uint64, body []byte) { return s.revision, s.body }

// Dump is the state in a form for JSON.
type Dump struct {
	Host       keys.Host   `json:"host"`
	Boot       uint64      `json:"boot"`
	Now        clock.Time  `json:"now"`
	Revision   uint64      `json:"revision"`
	Ready      bool        `json:"ready"`
	Watching   bool        `json:"watching"`
	Leaving    bool        `json:"leaving"`
	Fetching   keys.Host   `json:"fetching,omitempty"`
	SilentSpan clock.Span  `json:"silentSpanMs"`
	Group      []keys.Host `json:"group"`
	Live       []keys.Host `json:"live"`
	Beats      []Beat      `json:"beats"`
}

// Dump returns the state for operators.
func (s *State) Dump() Dump {
	return Dump{
		Host: s.cfg.Host, Boot: s.cfg.Boot, Now: s.now, Revision: s.revision, Ready: s.Ready(), Watching: s.Watching(),
		Leaving: s.leaving, Fetching: s.fetch.from, SilentSpan: s.silentSpan(), Group: s.hosts.groupNames(),
		Live: s.Live(), Beats: s.Beats(),
	}
}
