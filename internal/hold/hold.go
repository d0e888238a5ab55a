// Package hold keeps a dispatcher's leases for one cell: which fencing token
// may be sent to which backend server now, and the release of a range.
//
// # Usage
//
//	s := hold.New(hold.Config{Cell: cell, Host: host})
//	for _, a := range s.Step(now, hold.Tick{}) {
//		switch a := a.(type) {
//		case hold.Renew:    // to the assigner; its answer is hold.Granted
//		case hold.Push:     // to the server; its answer is hold.Reached
//		case hold.Transfer: // records to the next host; hold.Transferred
//		}
//	}
//	fence, err := s.Begin(now, server, hash)
//	...
//	s.End(now, server, hash)
//
// The owner of a State serialises all calls. Answers of the assigner that were
// meant for another boot of this host must not be delivered.
package hold

import (
	"slices"
	"strings"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// maxMisses is the number of missed probes, 100 ms apart, after which a
	// server counts as unreachable.
	maxMisses = 3
	// movedFor is how long a completed transfer is reported: several lost
	// renewals must not turn complete records into incomplete ones.
	movedFor = 2 * clock.Second
	// transferWait bounds a transfer. Records that don't arrive make old
	// request ids "unknown", which is better than a longer gap.
	transferWait = 200 * clock.Millisecond
	// drainLimit stops new work at a draining server before the 3 s limit.
	drainLimit = 2500 * clock.Millisecond
)

// Config of a State.
type Config struct {
	Cell keys.Cell
	Host keys.Host
}

// State has the leases of one dispatcher for one cell.
type State struct {
	cfg      Config
	ack      grant.Ack
	nonce    uint64
	sent     map[uint64]clock.Time // renewals that may still be answered
	lastSent clock.Time
	// pushSeq numbers the pushes to all servers, so that a server that is
	// dropped and listed again never sees a number twice.
	pushSeq uint64
	// urgent asks for a renewal before the period ends.
	urgent  bool
	servers []*server // by name
}

// server is a backend server that this host dispatches to.
type server struct {
	name   keys.Server
	addr   string
	checks bool
	// listed says that the newest answer names the server.
	listed   bool
	state    grant.State
	misses   int
	missedAt clock.Time
	drainAt  clock.Time
	slots    int

	// read is the newest reading of the server's clock, readAt when it came
	// and readSent when it was asked for.
	read, readAt, readSent clock.Time
	haveRead               bool
	boot                   string // run of the server whose clock was read

	lease    clock.Time // end of the newest lease
	ackSeq   uint64     // newest push that the server has applied
	lastPush clock.Time
	dirty    bool // the server's grants differ from the last push
	records  []*record
	inFlight map[keys.Hash]int
	total    int
	moved    []moved
	window   clock.Time

	// loadsDue says that the assigner may not have the present loads;
	// loadsNonce is the first renewal that reported them, or 0.
	loadsDue   bool
	loadsNonce uint64
}

type moved struct {
	grant.Moved
	at clock.Time
}

// New returns a State without leases.
func New(cfg Config) *State {
	return &State{cfg: cfg, sent: make(map[uint64]clock.Time), urgent: true}
}

// Step applies an event.
func (s *State) Step(now clock.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Granted:
		s.granted(now, ev)
	case Reached:
		s.reached(now, ev)
	case Missed:
		s.missed(now, ev)
	case Transferred:
		s.transferred(now, ev)
	case TermSeen:
		s.urgent = true
	case Tick:
	}
	var acts []Action
	for _, sv := range s.servers {
		acts = s.settle(now, sv, acts)
		acts = s.push(now, sv, acts)
		sv.roll(now)
	}
	s.servers = slices.DeleteFunc(s.servers, func(sv *server) bool {
		return !sv.listed && len(sv.records) == 0 && sv.total == 0 && len(sv.moved) == 0
	})
	// All cells of a host renew together, so that their messages to a host
	// travel in one batch.
	if s.urgent || !now.SamePeriod(s.lastSent, grant.Renewal) {
		acts = append(acts, s.renew(now))
	}
	return acts
}

// Servers returns the names of the servers that must be probed every 100 ms,
// and at once when they appear.
func (s *State) Servers() (names []keys.Server) {
	for _, sv := range s.servers {
		if sv.listed || len(sv.records) > 0 {
			names = append(names, sv.name)
		}
	}
	return names
}

func (s *State) find(name keys.Server) (sv *server, at int, ok bool) {
	at, ok = slices.BinarySearchFunc(s.servers, name, func(sv *server, n keys.Server) int {
		return strings.Compare(string(sv.name), string(n))
	})
	if ok {
		sv = s.servers[at]
	}
	return sv, at, ok
}

func (s *State) reached(now clock.Time, ev Reached) {
	sv, _, ok := s.find(ev.Server)
	if !ok {
		return
	}
	sv.misses = 0
	if sv.haveRead && ev.Boot != sv.boot {
		sv.restarted()
	}
	sv.boot = ev.Boot
	sv.ackSeq = max(sv.ackSeq, ev.Seq)
	if sv.haveRead && ev.Sent < sv.readSent {
		return
	}
	if !sv.haveRead {
		sv.dirty = true
	}
	sv.haveRead, sv.read, sv.readAt, sv.readSent = true, ev.ServerClock, now, ev.Sent
	if ev.Slots > 0 {
		sv.slots = ev.Slots
	}
	if ev.State == sv.state {
		return
	}
	if ev.State == grant.Draining {
		sv.drainAt = now
	}
	if sv.state == grant.Missed {
		sv.dirty = true
	}
	sv.state, s.urgent = ev.State, true
}

// restarted forgets what the server's earlier run knew. Its grants are gone, and
// readings of its clock say nothing about the clock of the new run.
func (sv *server) restarted() {
	sv.haveRead, sv.dirty = false, true
	for _, rec := range sv.records {
		rec.firstPush = 0
	}
}

func (s *State) missed(now clock.Time, ev Missed) {
	sv, _, ok := s.find(ev.Server)
	if !ok {
		return
	}
	if sv.misses++; ev.Refused {
		sv.misses = maxMisses
	}
	if sv.misses < maxMisses || sv.state == grant.Missed {
		return
	}
	sv.state, sv.missedAt, s.urgent = grant.Missed, now, true
}

// renew reports everything that is held, and the loads of a server until the
// assigner has answered a report of them: they change once per window. A renewal that wasn't answered within
// a lease can't give one any more.
func (s *State) renew(now clock.Time) Renew {
	for n, t := range s.sent {
		if now.Sub(t) >= grant.Lease {
			delete(s.sent, n)
		}
	}
	s.nonce++
	s.sent[s.nonce] = now
	s.lastSent, s.urgent = now, false
	r := Renew{Nonce: s.nonce, Ack: s.ack}
	for _, sv := range s.servers {
		r.Servers = append(r.Servers, sv.report(now, s.nonce))
	}
	return r
}

func (sv *server) report(now clock.Time, nonce uint64) grant.Report {
	r := grant.Report{Server: sv.name, State: sv.state, Slots: sv.slots, InFlight: sv.total}
	if r.State != grant.Missed && now.Sub(sv.readSent) > grant.Silence+grant.Renewal {
		r.State = grant.Unknown // this host was paused
	}
	for _, rec := range sv.records {
		r.Held = append(r.Held, grant.Held{Range: rec.r, Fence: rec.fence})
		if !rec.releasing && sv.loadsDue && rec.meter.known {
			r.Loads = append(r.Loads, rec.meter.load(rec.r))
		}
	}
	if sv.loadsDue && sv.loadsNonce == 0 {
		sv.loadsNonce = nonce
	}
	sv.moved = slices.DeleteFunc(sv.moved, func(m moved) bool { return now.Sub(m.at) > movedFor })
	for _, m := range sv.moved {
		r.Moved = append(r.Moved, m.Moved)
	}
	return r
}

// Dump is the state in a form for operators.
type Dump struct {
	Host    keys.Host    `json:"host"`
	Term    uint32       `json:"term"`
	Nonce   uint64       `json:"nonce"`
	Servers []ServerDump `json:"servers"`
}

// ServerDump is the part of a Dump that concerns one server.
type ServerDump struct {
	Server   keys.Server  `json:"server"`
	State    string       `json:"state"`
	Checks   bool         `json:"checks"`
	InFlight int          `json:"inFlight"`
	Records  []RecordDump `json:"records"`
}

// RecordDump is a range that has not been released.
type RecordDump struct {
	Range     keys.Range `json:"range"`
	Fence     keys.Fence `json:"fence"`
	Until     clock.Time `json:"until"`
	Releasing bool       `json:"releasing,omitempty"`
	Complete  bool       `json:"complete"`
}

// Dump returns a copy of the state.
func (s *State) Dump() Dump {
	d := Dump{Host: s.cfg.Host, Term: s.ack.Term, Nonce: s.nonce}
	for _, sv := range s.servers {
		sd := ServerDump{Server: sv.name, State: sv.state.String(), Checks: sv.checks, InFlight: sv.total}
		for _, r := range sv.records {
			sd.Records = append(sd.Records, RecordDump{r.r, r.fence, r.until, r.releasing, r.complete})
		}
		d.Servers = append(d.Servers, sd)
	}
	return d
}
