// Package gossip is the gossip protocol that propagates configuration revisions
// between entry hosts and determines which entry hosts are live.
//
// Every 200 ms a host sends a digest to 2 random hosts of its group and to 1
// outside it. A digest has the sender's revision and heartbeat, and a few of
// the heartbeats of other hosts that the sender received last. A host that
// receives a digest with a higher revision fetches that revision from the
// sender. Two hosts per data centre, the watchers, watch the store.
//
// # Usage
//
//	s := gossip.New(gossip.Config{Host: "north-1-a", Incarnation: incarnation, DataCentre: "north-1", Group: group, Seed: seed})
//	for _, a := range s.Step(clk.Now(), gossip.Tick{}) { // every 100 ms or less
//		switch a := a.(type) {
//		case gossip.SendDigest: // send a.Digest to a.To
//		case gossip.Fetch: // request the revision and, if a.WithHeartbeats, the heartbeats of a.From
//		case gossip.ReadStore: // read the store; then StoreRead or StoreReadFailed
//		case gossip.ApplyRevision: // put a.Revision into force once Ready
//		case gossip.Watch: // start or stop watching the store
//		case gossip.Superseded: // restart with an incarnation above a.Incarnation
//		}
//	}
//
// The response to a Fetch consists of Current and, if heartbeats are requested,
// Heartbeats. A host must serve callers only while Ready reports true.
//
// The package is pure: it has no clock, no I/O and no goroutine. A State must be
// used from one goroutine.
package gossip

import (
	"math/rand/v2"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Times and limits of the protocol.
const (
	// RoundInterval is the time between two rounds of digests.
	RoundInterval = 200 * clock.Millisecond
	// FetchTimeout is the time after which a fetch is repeated from another
	// host. The longest round trip between regions is 140 ms.
	FetchTimeout = 300 * clock.Millisecond
	// startTimeout is how long a starting host waits for the store and for the
	// peers from which it requested the revision.
	startTimeout = clock.Second

	groupFanout = 2 // digests per round to hosts of the group
	startFanout = 4 // peers from which a starting host fetches at a time
	maxSources  = 4 // hosts recorded as having a higher revision
	maxAttempts = 3 // fetches from one source before it is dropped
)

// Config holds the identity of the host and its group.
type Config struct {
	Host keys.Host
	// Incarnation identifies this incarnation (process start) of the host. A later
	// incarnation must have a higher value, for instance the wall clock in ms in
	// the high 44 bits and a random number below. By this order a host can reject
	// a late heartbeat of an earlier incarnation even if it has received none of
	// that incarnation before.
	Incarnation uint64
	DataCentre  keys.DataCentre
	Group       []keys.Host // may include Host
	Seed        uint64
}

// Heartbeat is a heartbeat of a host. Count counts the heartbeats of an
// incarnation.
type Heartbeat struct {
	Host        keys.Host `json:"host"`
	Incarnation uint64    `json:"boot"`
	Count       uint64    `json:"beat"`
	Leaving     bool      `json:"leaving,omitempty"`
}

// Digest is the gossip message. The enclosing batch has the sender's name and
// incarnation.
type Digest struct {
	Revision   uint64
	Count      uint64      // heartbeat count of the sender
	Leaving    bool        // the sender is about to stop
	Heartbeats []Heartbeat // heartbeats of other hosts
}

// Member is an entry host in the list of the platform.
type Member struct {
	Host       keys.Host
	DataCentre keys.DataCentre
	Leaving    bool
}

// Event is an input of Step.
type Event interface{ event() }

// Events.
type (
	// Tick reports that time has passed.
	Tick struct{}
	// DigestReceived is a digest from another host.
	DigestReceived struct {
		From        keys.Host
		Incarnation uint64
		Digest      Digest
	}
	// FetchResponse is the response to a Fetch. Revision 0 means that the host has
	// none.
	FetchResponse struct {
		From       keys.Host
		Revision   uint64
		Body       []byte
		Heartbeats []Heartbeat
	}
	// StoreRead is the revision in the store. Revision 0 means that it has none.
	StoreRead struct {
		Revision uint64
		Body     []byte
	}
	// StoreReadFailed reports that the store could not be read.
	StoreReadFailed struct{}
	// HostList is the platform's list of entry hosts. If the list can't be read,
	// there is no event and the last list is kept.
	HostList struct{ Members []Member }
	// GroupChanged replaces the hosts of the group.
	GroupChanged struct{ Hosts []keys.Host }
	// Leave reports that this host is about to stop.
	Leave struct{}
)

func (Tick) event()            {}
func (DigestReceived) event()  {}
func (FetchResponse) event()   {}
func (StoreRead) event()       {}
func (StoreReadFailed) event() {}
func (HostList) event()        {}
func (GroupChanged) event()    {}
func (Leave) event()           {}

// Action is an output of Step.
type Action interface{ action() }

// Actions.
type (
	// SendDigest sends a digest.
	SendDigest struct {
		To     keys.Host
		Digest Digest
	}
	// Fetch requests the revision of a host, which it sends even if it isn't
	// above Have, and its heartbeats if WithHeartbeats is set.
	Fetch struct {
		From           keys.Host
		Have           uint64
		WithHeartbeats bool
	}
	// ReadStore reads the configuration once.
	ReadStore struct{}
	// ApplyRevision puts a revision into force. Each is higher than the one
	// before.
	ApplyRevision struct {
		Revision uint64
		Body     []byte
	}
	// Watch starts or stops watching the store.
	Watch struct{ On bool }
	// Superseded reports that a heartbeat of this host with a higher incarnation was
	// received: the wall clock was set back or two processes have the same name.
	Superseded struct{ Incarnation uint64 }
)

func (SendDigest) action()    {}
func (Fetch) action()         {}
func (ReadStore) action()     {}
func (ApplyRevision) action() {}
func (Watch) action()         {}
func (Superseded) action()    {}

// State is the state of one host in the gossip protocol.
type State struct {
	cfg       Config
	rng       *rand.Rand
	now       clock.Time
	started   bool
	startedAt clock.Time
	actions   []Action

	revision uint64
	body     []byte
	fetch    fetch
	startup  startup

	heartbeatCount uint64
	leaving        bool
	nextRound      clock.Time
	round          uint64
	extraDigests   int // digests that may still be sent before the next round
	byteBudget     int // for heartbeats of other hosts; may be negative

	hosts hosts
	self  ranked
	watch watch
}

// New returns the state of a host that has just started. It has no revision.
func New(cfg Config) *State {
	s := &State{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Incarnation))}
	s.hosts.index = make(map[keys.Host]int32)
	s.self = rank(cfg.DataCentre, cfg.Host, -1)
	s.setGroup(cfg.Group)
	return s
}

// Step handles an event and returns the actions to be executed, in order.
func (s *State) Step(now clock.Time, ev Event) []Action {
	s.actions = nil
	s.now = max(s.now, now)
	if !s.started {
		s.started = true
		s.startedAt = s.now
		// A random offset prevents hosts that start together from sending at the
		// same time.
		s.nextRound = s.now.Add(clock.Span(s.rng.Int64N(int64(RoundInterval))))
		s.extraDigests = digestsPerRound
	}
	switch ev := ev.(type) {
	case Tick:
	case DigestReceived:
		s.handleDigest(ev)
	case FetchResponse:
		s.handleFetched(ev)
	case StoreRead:
		s.startup.storeRead = true
		s.setRevision(ev.Revision, ev.Body)
	case StoreReadFailed:
		s.startup.storeFailed = true
	case HostList:
		s.setMembers(ev.Members)
	case GroupChanged:
		s.setGroup(ev.Hosts)
	case Leave:
		if !s.leaving {
			s.leaving = true
			s.heartbeatCount++ // receivers ignore a heartbeat that isn't higher
		}
	}
	s.stepStartup()
	s.retryFetch()
	if !s.now.Before(s.nextRound) {
		s.sendRound()
	}
	s.updateWatch()
	return s.actions
}

func (s *State) emit(a Action) { s.actions = append(s.actions, a) }

// Current returns the revision that the host has, or 0 if it has none.
func (s *State) Current() (revision uint64, body []byte) { return s.revision, s.body }

// Dump is a copy of the state for diagnostics, in a form for JSON.
type Dump struct {
	Host             keys.Host   `json:"host"`
	Incarnation      uint64      `json:"boot"`
	Now              clock.Time  `json:"now"`
	Revision         uint64      `json:"revision"`
	Ready            bool        `json:"ready"`
	Watching         bool        `json:"watching"`
	Leaving          bool        `json:"leaving"`
	Fetching         keys.Host   `json:"fetching,omitempty"`
	HeartbeatTimeout clock.Span  `json:"silentSpanMs"`
	Group            []keys.Host `json:"group"`
	Live             []keys.Host `json:"live"`
	Heartbeats       []Heartbeat `json:"beats"`
}

// Dump returns a copy of the state for diagnostics.
func (s *State) Dump() Dump {
	return Dump{
		Host: s.cfg.Host, Incarnation: s.cfg.Incarnation, Now: s.now, Revision: s.revision, Ready: s.Ready(), Watching: s.Watching(),
		Leaving: s.leaving, Fetching: s.fetch.from, HeartbeatTimeout: s.heartbeatTimeout(), Group: s.hosts.groupNames(),
		Live: s.Live(), Heartbeats: s.Heartbeats(),
	}
}
