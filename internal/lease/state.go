// Package lease manages a dispatcher's leases for one cell: which fence (fencing
// token) may be sent to which backend server now, and the release of ranges.
//
// A cell is a part of the hash space with an assigner of its own. The assigner
// grants ranges of hashes for a limited time; the dispatcher renews its leases
// and passes the grants on to servers that check fencing tokens.
//
// # Usage
//
//	s := lease.New(lease.Config{Cell: cell, Host: host})
//	for _, a := range s.Step(now, lease.Tick{}) {
//		switch a := a.(type) {
//		case lease.Renewal:  // send to the assigner, which replies with lease.Reply
//		case lease.Push:     // send to the server, which responds with lease.Response
//		case lease.Transfer: // send the records to the next host; then step lease.Transferred
//		}
//	}
//	fence, err := s.Begin(now, server, hash)
//	...
//	s.End(now, server, hash)
//
// A State is not safe for concurrent use. Replies of the assigner to another
// incarnation of this host must not be passed to Step.
package lease

import (
	"slices"
	"strings"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// maxMissedProbes is the number of consecutive missed probes, 100 ms apart,
	// after which a server counts as unreachable.
	maxMissedProbes = 3
	// movedReportTime is how long a completed transfer is reported. With fewer
	// reports, the loss of several renewals would make the assigner treat
	// complete deduplication records as incomplete.
	movedReportTime = 2 * clock.Second
	// transferTimeout bounds a transfer. If the deduplication records don't
	// arrive, requests with earlier ids get the outcome "unknown", which is
	// better than a longer gap in service.
	transferTimeout = 200 * clock.Millisecond
	// drainLimit is how long a draining server gets new requests; it must get
	// none after 3 s.
	drainLimit = 2500 * clock.Millisecond
)

// Config of a State.
type Config struct {
	Cell keys.Cell
	Host keys.Host
}

// State is the state of one dispatcher's leases for one cell.
type State struct {
	cfg          Config
	acked        grant.Ack // newest accepted reply
	nonce        uint64
	sentRenewals map[uint64]clock.Time // when each renewal was sent, by nonce
	lastRenewal  clock.Time
	// pushSeq numbers the pushes to all servers, so that a server that is
	// dropped and listed again never gets a number twice.
	pushSeq uint64
	// renewNow requests a renewal before the period ends.
	renewNow bool
	servers  []*server // by name
}

// server is a backend server that this host dispatches to.
type server struct {
	name        keys.Server
	addr        string
	checksFence bool
	// listed reports whether the newest reply names the server.
	listed           bool
	state            grant.State
	missedProbes     int
	unreachableSince clock.Time
	drainingSince    clock.Time
	slots            int

	// clockReading is the newest reading of the server's clock, clockReceived
	// when it was received and clockRequested when it was requested.
	clockReading, clockReceived, clockRequested clock.Time
	clockKnown                                  bool
	incarnation                                 string // incarnation of the server whose clock was read

	leaseEnd      clock.Time // end of the newest lease
	ackedPush     uint64     // newest push that the server has applied
	lastPushAt    clock.Time
	dirty         bool // the server's grants differ from the last push
	leases        []*lease
	inFlight      map[keys.Hash]int // number of requests without an End
	inFlightTotal int
	moved         []movedRange // completed transfers to report
	windowStart   clock.Time

	// loadsDue reports whether the assigner may lack the present loads.
	// loadsNonce is the nonce of the first renewal that reported them, or 0.
	loadsDue   bool
	loadsNonce uint64
}

// movedRange is a completed transfer, and when it was completed.
type movedRange struct {
	grant.Moved
	movedAt clock.Time
}

// New returns a State without leases.
func New(cfg Config) *State {
	return &State{cfg: cfg, sentRenewals: make(map[uint64]clock.Time), renewNow: true}
}

// Step applies an event.
func (s *State) Step(now clock.Time, ev Event) []Action {
	switch ev := ev.(type) {
	case Reply:
		s.applyReply(now, ev)
	case Response:
		s.applyResponse(now, ev)
	case Unanswered:
		s.applyUnanswered(now, ev)
	case Transferred:
		s.applyTransferred(now, ev)
	case NewTerm:
		s.renewNow = true
	case Tick:
	}
	var acts []Action
	for _, sv := range s.servers {
		acts = s.releaseLeases(now, sv, acts)
		acts = s.pushGrants(now, sv, acts)
		sv.rollWindow(now)
	}
	s.servers = slices.DeleteFunc(s.servers, func(sv *server) bool {
		return !sv.listed && len(sv.leases) == 0 && sv.inFlightTotal == 0 && len(sv.moved) == 0
	})
	// All cells of a host renew at the same time, so that their messages to
	// one host are sent in one batch.
	if s.renewNow || !now.SamePeriod(s.lastRenewal, grant.RenewalInterval) {
		acts = append(acts, s.renewal(now))
	}
	return acts
}

// Servers returns the names of the servers that must be probed every 100 ms,
// and at once when they appear.
func (s *State) Servers() (names []keys.Server) {
	for _, sv := range s.servers {
		if sv.listed || len(sv.leases) > 0 {
			names = append(names, sv.name)
		}
	}
	return names
}

func (s *State) findServer(name keys.Server) (sv *server, i int, ok bool) {
	i, ok = slices.BinarySearchFunc(s.servers, name, func(sv *server, n keys.Server) int {
		return strings.Compare(string(sv.name), string(n))
	})
	if ok {
		sv = s.servers[i]
	}
	return sv, i, ok
}

func (s *State) applyResponse(now clock.Time, ev Response) {
	sv, _, ok := s.findServer(ev.Server)
	if !ok {
		return
	}
	sv.missedProbes = 0
	if sv.clockKnown && ev.Incarnation != sv.incarnation {
		sv.resetIncarnation()
	}
	sv.incarnation = ev.Incarnation
	sv.ackedPush = max(sv.ackedPush, ev.Seq)
	if sv.clockKnown && ev.Sent < sv.clockRequested {
		return
	}
	if !sv.clockKnown {
		sv.dirty = true
	}
	sv.clockKnown, sv.clockReading, sv.clockReceived, sv.clockRequested = true, ev.ServerClock, now, ev.Sent
	if ev.Slots > 0 {
		sv.slots = ev.Slots
	}
	if ev.State == sv.state {
		return
	}
	if ev.State == grant.Draining {
		sv.drainingSince = now
	}
	if sv.state == grant.Missed {
		sv.dirty = true
	}
	sv.state, s.renewNow = ev.State, true
}

// resetIncarnation drops what applied to the server's earlier incarnation. The
// new one has no grants, and its clock is unrelated to earlier readings.
func (sv *server) resetIncarnation() {
	sv.clockKnown, sv.dirty = false, true
	for _, l := range sv.leases {
		l.firstPush = 0
	}
}

func (s *State) applyUnanswered(now clock.Time, ev Unanswered) {
	sv, _, ok := s.findServer(ev.Server)
	if !ok {
		return
	}
	if sv.missedProbes++; ev.Refused {
		sv.missedProbes = maxMissedProbes
	}
	if sv.missedProbes < maxMissedProbes || sv.state == grant.Missed {
		return
	}
	sv.state, sv.unreachableSince, s.renewNow = grant.Missed, now, true
}

// renewal returns a renewal with all leases. It has the loads of a server only
// until the assigner has replied to a report of them, because they change once
// per window. Renewals that got no reply within grant.LeaseTime are dropped: the
// lease of a later reply would already have expired.
func (s *State) renewal(now clock.Time) Renewal {
	for n, t := range s.sentRenewals {
		if now.Sub(t) >= grant.LeaseTime {
			delete(s.sentRenewals, n)
		}
	}
	s.nonce++
	s.sentRenewals[s.nonce] = now
	s.lastRenewal, s.renewNow = now, false
	r := Renewal{Nonce: s.nonce, Ack: s.acked}
	for _, sv := range s.servers {
		r.Servers = append(r.Servers, sv.report(now, s.nonce))
	}
	return r
}

func (sv *server) report(now clock.Time, nonce uint64) grant.Report {
	r := grant.Report{Server: sv.name, State: sv.state, Slots: sv.slots, InFlight: sv.inFlightTotal}
	if r.State != grant.Missed && now.Sub(sv.clockRequested) > grant.PeerTimeout+grant.RenewalInterval {
		r.State = grant.Unknown // this host was paused; its newest reading is old
	}
	for _, l := range sv.leases {
		r.Held = append(r.Held, grant.Held{Range: l.hashes, Fence: l.fence})
		if !l.releasing && sv.loadsDue && l.meter.known {
			r.Loads = append(r.Loads, l.meter.load(l.hashes))
		}
	}
	if sv.loadsDue && sv.loadsNonce == 0 {
		sv.loadsNonce = nonce
	}
	sv.moved = slices.DeleteFunc(sv.moved, func(m movedRange) bool { return now.Sub(m.movedAt) > movedReportTime })
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
	Server   keys.Server `json:"server"`
	State    string      `json:"state"`
	Checks   bool        `json:"checks"`
	InFlight int         `json:"inFlight"`
	Leases   []LeaseDump `json:"records"`
}

// LeaseDump is the part of a ServerDump that concerns one lease.
type LeaseDump struct {
	Range         keys.Range `json:"range"`
	Fence         keys.Fence `json:"fence"`
	Until         clock.Time `json:"until"`
	Releasing     bool       `json:"releasing,omitempty"`
	DedupComplete bool       `json:"complete"`
}

// Dump returns a copy of the state.
func (s *State) Dump() Dump {
	d := Dump{Host: s.cfg.Host, Term: s.acked.Term, Nonce: s.nonce}
	for _, sv := range s.servers {
		sd := ServerDump{Server: sv.name, State: sv.state.String(), Checks: sv.checksFence, InFlight: sv.inFlightTotal}
		for _, r := range sv.leases {
			sd.Leases = append(sd.Leases, LeaseDump{r.hashes, r.fence, r.expires, r.releasing, r.dedupComplete})
		}
		d.Servers = append(d.Servers, sd)
	}
	return d
}
