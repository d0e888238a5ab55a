// Package owner decides which backend server owns which keys.
//
// One host at a time is the assigner. It keeps a Record in the store, grants
// leases on ranges of keys to servers, renews them, and moves ranges: away from
// servers that drain or have failed, and from more to less loaded ones.
//
// The order of the steps of a change keeps ownership exclusive: the former owner
// acknowledges a release or its lease has certainly expired; the Record that
// names the new owner is written; the grant is sent. A Record therefore names
// the only server that can hold a lease on a range, and a new assigner needs no
// other state.
//
// The package does no I/O. The caller passes events with the current time and
// executes the returned actions.
//
// # Usage
//
//	a := owner.New(cfg, now, record)
//	acts := a.SetServers(now, services, servers)
//	acts = a.GrantDone(now, sent, grant, owner.Done)
//	acts = a.Tick(now)
package owner

import (
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// timingSlack is added to the longest validity of a lease: timers fire late
	// and a call takes time to arrive.
	timingSlack = 150 * clock.Millisecond
	// renewalsPerLease is the number of renewals per lease duration. A lease
	// survives the loss of two renewals in a row.
	renewalsPerLease = 4
	// maxUnanswered is how long a server may leave grants unanswered before its
	// ranges are moved.
	maxUnanswered = 1500 * clock.Millisecond
	// failureBackoff is how long a server gets no further ranges after a grant to
	// it failed or went unanswered.
	failureBackoff = 10 * clock.Second
	// grantRetryDelay is the delay before a failed or unanswered grant is sent
	// again.
	grantRetryDelay = 200 * clock.Millisecond
	// releaseRetryDelay is the delay before an unanswered release is sent again.
	releaseRetryDelay = 300 * clock.Millisecond
	// firstAssignDelay is the time between the first non-empty list of servers
	// and the first assignment, so that the keys aren't divided among only the
	// first few servers.
	firstAssignDelay = 1500 * clock.Millisecond
)

// Config has the time limits of an assigner.
type Config struct {
	LeaseTime clock.Span // duration of a lease
	Timeout   clock.Span // after which a call counts as unanswered
	RoleLease clock.Span // how long an assigner may act, and renew leases, without confirming its role in the store
}

// Outcome is the result of a call to a server.
type Outcome int

// Outcomes of a call.
const (
	Done    Outcome = iota // executed
	Refused                // rejected: the server has seen a higher fencing token
	Failed                 // not executed, and never will be
	Unknown                // no response; may still be executed
	// Unconnected: not sent, as no connection up to Grant.LastConn is left. The
	// process that got the fencing token may have ended.
	Unconnected
	Replaced // not executed: the server has ended, and another one has its address
)

// Action is a call or write that the caller has to execute: a Grant, a Release
// or a Write.
type Action interface{ action() }

// Grant gives a server a lease on a range of keys, or renews it.
type Grant struct {
	Service   keys.Service
	Server    keys.Server
	Born      int64 // incarnation of Server
	Addr      string
	From, To  Key
	Fence     Fence
	LeaseTime clock.Span
	Handover  string // state from the former owner
	First     bool   // not a renewal
	// LastConn is the number of the last connection that may carry the grant. A
	// later one may reach another process at the address than the one that got
	// Fence before. 0: no process has got it.
	LastConn uint64
	// EndsFormer says that the server's leases from former assigners end with the
	// acknowledgement.
	EndsFormer bool
}

// Release makes a server give up its lease on a range of keys.
type Release struct {
	Service  keys.Service
	Server   keys.Server
	Born     int64 // incarnation of Server
	Addr     string
	From, To Key
	Fence    Fence
}

// Write writes the record to the store. Version is passed to WriteDone.
type Write struct {
	Record  Record
	Version uint64
}

func (Grant) action()   {}
func (Release) action() {}
func (Write) action()   {}

// rangeState is a range of keys with its state at the assigner.
type rangeState struct {
	Assignment
	recordVersion   uint64      // first version of the record that names this server
	acked           bool        // the server has acknowledged this fence
	lastConn        uint64      // see Grant.LastConn
	confirmAfter    clock.Time  // a grant on a new connection needs a confirmation of the role after this time
	leaseEnd        clock.Time  // latest time at which the server's lease can be valid
	lateLeaseEnd    clock.Time  // same, for grants that were never answered
	unansweredSince clock.Time  // first unanswered grant since the last response; 0: none
	inFlight        bool        // a grant or release is in flight
	nextCall        clock.Time  // when the next call is due
	releasing       bool        // the server has to give up the range
	released        bool        // the server acknowledged the release
	handover        string      // state for the next owner
	dest            keys.Server // the next owner, if already chosen
	movedAt         clock.Time  // when the range moved to this server; 0: first assignment
	evacuatedAt     clock.Time  // when it began to move from an evacuated server; 0: never
	// blockedUntil is when the range may be granted at the earliest, because until
	// then a server that isn't known may have a lease.
	blockedUntil clock.Time
	// successor is the server of the service that now has the address of the range's
	// former server. It may have taken a grant of the range.
	successor fleet.Incarnation
}

// Assigner is the state of the host that assigns keys.
type Assigner struct {
	cfg               Config
	record            Record
	tables            map[keys.Service][]*rangeState
	servers           map[keys.Server]fleet.Server
	coldUntil         map[keys.Server]clock.Time // end of the warm-up of cold servers
	fastLoads         map[keys.Service]*loadEstimate
	slowLoads         map[keys.Service]*loadEstimate
	loads             map[keys.Service]*loadEstimate // the one of the two that decisions use
	serviceTimeRatios map[keys.Server]*serviceTimeRatio
	version           uint64 // of the record; increases with each change
	writtenVersion    uint64
	writeInFlight     bool
	startedAt         clock.Time
	firstListAt       clock.Time
	nextBalance       clock.Time
	storeOutage       bool
	unknownLeaseEnd   clock.Time // until then servers that the record doesn't name may have leases
	confirmedAt       clock.Time // see Confirm
	unconfirmed       bool       // see NeedsConfirmation
	formerEnd         clock.Time // until then calls of former assigners may arrive
	slowPenalty       float64    // exponent of the service time ratio in a server's share; see capacity
	now               clock.Time
	failedAt          map[keys.Server]clock.Time // when a grant to the server last failed or went unanswered
	replaced          map[keys.Server]replacement
	evacuation        evacuation
	movedShare        float64 // share of all keys that changed owner
}

// New returns the state of a host that has just become the assigner. rec is the
// record that it wrote, with its own term; the ranges in it still have the
// fences of the former assigner.
func New(cfg Config, now clock.Time, rec Record) *Assigner {
	a := &Assigner{
		cfg: cfg, record: rec, tables: make(map[keys.Service][]*rangeState), servers: make(map[keys.Server]fleet.Server), coldUntil: make(map[keys.Server]clock.Time),
		fastLoads: make(map[keys.Service]*loadEstimate), slowLoads: make(map[keys.Service]*loadEstimate),
		serviceTimeRatios: make(map[keys.Server]*serviceTimeRatio), startedAt: now,
		now: now, failedAt: make(map[keys.Server]clock.Time), replaced: make(map[keys.Server]replacement),
		version: 1, writtenVersion: 1, nextBalance: now.Add(balanceInterval),
	}
	a.loads = a.fastLoads
	// Until a server has acknowledged a fence of this term, the former assigner can
	// renew its leases there. Its last grant may arrive until its timeout.
	a.formerEnd = now.Add(cfg.RoleLease + cfg.Timeout)
	formerExpiry := a.formerEnd.Add(cfg.maxLease(cfg.LeaseTime))
	if rec.Unverified {
		a.unknownLeaseEnd = formerExpiry
	}
	for s, ranges := range rec.Tables {
		for _, r := range normalize(ranges) {
			rs := &rangeState{Assignment: r, recordVersion: 1, blockedUntil: a.unknownLeaseEnd}
			if r.Server != "" {
				rs.leaseEnd = formerExpiry
				rs.Fence = a.nextFence()
			}
			a.tables[s] = append(a.tables[s], rs)
		}
	}
	return a
}

// maxLease returns the longest time for which a server may consider a lease
// valid after its grant arrived. Clocks of servers may run 2% slow; 3% is added.
func (c Config) maxLease(lease clock.Span) clock.Span { return lease + lease*3/100 + timingSlack }

func (a *Assigner) nextFence() Fence {
	a.record.Seq++
	return newFence(a.record.Term, a.record.Seq)
}

// Term returns the assigner's term.
func (a *Assigner) Term() uint64 { return a.record.Term }

// FormerEnded records that the processes of all former assigners are known to
// have ended. They can't renew leases any more, so only their last ones remain.
func (a *Assigner) FormerEnded(now clock.Time) {
	a.formerEnd = min(a.formerEnd, now.Add(a.cfg.Timeout))
	a.record.Former = nil
	lastExpiry := a.formerEnd.Add(a.cfg.maxLease(a.cfg.LeaseTime))
	a.unknownLeaseEnd = min(a.unknownLeaseEnd, lastExpiry)
	for _, ranges := range a.tables {
		for _, rs := range ranges {
			if !rs.acked && !rs.assignedThisTerm() {
				rs.leaseEnd = min(rs.leaseEnd, lastExpiry)
			}
			rs.blockedUntil = min(rs.blockedUntil, lastExpiry)
		}
	}
}

// Confirm records that this process was the assigner at a time.
func (a *Assigner) Confirm(at clock.Time) { a.confirmedAt = max(a.confirmedAt, at) }

// NeedsConfirmation reports whether a grant waits until this process is confirmed
// to be the assigner. A grant on a new connection may reach a process that has seen
// no fence of a later term, so it is sent only if there was no later assigner when
// it became known that a new connection is needed.
func (a *Assigner) NeedsConfirmation() bool { return a.unconfirmed }

// RequireConfirmation has grants on new connections wait until this process is
// confirmed to have been the assigner at a time.
func (a *Assigner) RequireConfirmation(at clock.Time) {
	for _, ranges := range a.tables {
		for _, rs := range ranges {
			rs.confirmAfter = at
		}
	}
}

// SetStoreOutage sets whether the store is unreachable. Load isn't balanced during
// an outage, as no move can be recorded.
func (a *Assigner) SetStoreOutage(out bool) { a.storeOutage = out }

// startRelease marks the range to be released by its server.
func (rs *rangeState) startRelease() {
	if !rs.releasing {
		rs.releasing, rs.nextCall = true, 0
	}
}

// Tick returns the actions that are due.
func (a *Assigner) Tick(now clock.Time) (acts []Action) {
	if len(a.record.Former) > 0 && a.formerExpired(now) {
		a.record.Former = nil
	}
	if a.record.Unverified && a.verified(now) {
		a.record.Unverified = false
		a.version++
	}
	a.evacuate(now)
	if now < a.nextBalance {
		return a.advance(now)
	}
	a.nextBalance = now.Add(balanceInterval)
	for _, s := range a.serviceNames() {
		a.rebalance(now, s)
	}
	return a.advance(now)
}

func (a *Assigner) serviceNames() (names []keys.Service) {
	for s := range a.tables {
		names = append(names, s)
	}
	slices.Sort(names)
	return names
}

// advance moves each range to its next state and returns the actions that are
// due.
func (a *Assigner) advance(now clock.Time) (acts []Action) {
	a.now, a.unconfirmed = now, false
	for _, s := range a.serviceNames() {
		a.assignFree(now, s)
		for _, rs := range a.tables[s] {
			if act := a.nextAction(now, s, rs); act != nil {
				acts = append(acts, act)
			}
		}
		a.merge(s)
	}
	if a.version > a.writtenVersion && !a.writeInFlight && !a.holdsWrite(now) {
		a.writeInFlight, a.evacuation.wroteAt, a.evacuation.heldAt = true, now, 0
		acts = append(acts, Write{Record: a.snapshot(), Version: a.version})
	}
	return acts
}

// nextAction returns the call that is due for a range, or nil.
func (a *Assigner) nextAction(now clock.Time, s keys.Service, rs *rangeState) Action {
	if rs.Server == "" || rs.inFlight || now < rs.nextCall || now < rs.blockedUntil || a.isReplaced(now, rs) {
		return nil
	}
	// A server that has not acknowledged a fence of this term is granted the
	// range even if it has to give it up: a release alone doesn't stop a former
	// assigner from renewing the lease.
	if rs.releasing && rs.acked {
		if rs.released {
			return nil
		}
		rs.inFlight, rs.nextCall = true, now.Add(releaseRetryDelay)
		at := rs.releaseTarget()
		return Release{Service: s, Server: at.ID, Born: at.Born, Addr: rs.Addr, From: rs.From, To: rs.To, Fence: rs.Fence}
	}
	if rs.recordVersion > a.writtenVersion {
		return nil
	}
	// The address of a removed server may already belong to another one.
	if _, ok := a.servers[rs.Server]; !ok || rs.releasing && rs.leaseEnd <= now {
		return nil
	}
	if rs.unansweredSince != 0 && now.Sub(rs.unansweredSince) > maxUnanswered {
		rs.startRelease()
		if rs.acked {
			return nil
		}
	}
	if rs.lastConn == 0 && rs.confirmAfter > a.confirmedAt {
		a.unconfirmed = true
		return nil
	}
	lease := a.cfg.LeaseTime
	rs.inFlight, rs.released = true, false
	rs.nextCall = now.Add(a.cfg.LeaseTime / renewalsPerLease)
	return Grant{
		Service: s, Server: rs.Server, Born: rs.Born, Addr: rs.Addr, From: rs.From, To: rs.To, Fence: rs.Fence, LeaseTime: lease,
		Handover: rs.handover, First: !rs.acked, EndsFormer: !rs.acked && rs.leaseEnd > now, LastConn: rs.lastConn,
	}
}

// Record returns the current record.
func (a *Assigner) Record() Record { return a.snapshot() }

// free reports whether no server can hold a valid lease on the range.
func (rs *rangeState) free(now clock.Time) bool {
	if now < rs.blockedUntil {
		return false
	}
	if rs.Server == "" {
		return true
	}
	if !rs.releasing || rs.inFlight {
		return false
	}
	if rs.released && (rs.acked || rs.leaseEnd <= now) {
		// A grant that was never answered may be executed after the release.
		return rs.lateLeaseEnd <= now
	}
	return rs.leaseEnd <= now && rs.lateLeaseEnd <= now
}

// assignFree assigns ranges without a valid lease to servers.
func (a *Assigner) assignFree(now clock.Time, s keys.Service) {
	if a.firstListAt == 0 || now < a.firstListAt.Add(firstAssignDelay) {
		return
	}
	if slices.ContainsFunc(a.tables[s], func(rs *rangeState) bool { return rs.Server == "" && rs.From == 0 && rs.To == MaxKey && rs.free(now) }) {
		a.divideEvenly(s)
	}
	for _, rs := range a.tables[s] {
		if !rs.free(now) {
			continue
		}
		dest := rs.dest
		if !a.usable(s, dest) || a.avoidsAsOwner(s, dest) {
			dest = a.leastLoaded(s, rs)
		}
		if dest == "" {
			continue
		}
		a.assign(rs, dest)
	}
}

// assign assigns a free range to a server.
func (a *Assigner) assign(rs *rangeState, dest keys.Server) {
	sv := a.servers[dest]
	movedAt := clock.Time(0)
	if rs.Server != "" {
		movedAt = a.now
		a.movedShare += float64(int(rs.To)-int(rs.From)+1) / float64(int(MaxKey)+1)
	}
	a.version++
	*rs = rangeState{
		Assignment:    Assignment{From: rs.From, To: rs.To, Server: dest, Addr: sv.Addr, Born: sv.Born, Fence: a.nextFence()},
		recordVersion: a.version, handover: rs.handover, movedAt: movedAt, evacuatedAt: rs.evacuatedAt,
	}
}

func (a *Assigner) usable(s keys.Service, id keys.Server) bool {
	sv, ok := a.servers[id]
	if !ok || sv.Draining || sv.Service != s || a.isEvacuated(id) {
		return false
	}
	failedAt, failed := a.failedAt[id]
	return !failed || a.now.Sub(failedAt) > failureBackoff
}

// snapshot returns the record to write.
func (a *Assigner) snapshot() Record {
	r := a.record
	r.Tables = make(map[keys.Service][]Assignment, len(a.tables))
	for s, ranges := range a.tables {
		for _, rs := range ranges {
			r.Tables[s] = append(r.Tables[s], rs.Assignment)
		}
	}
	return r
}

// Tables returns the tables to publish to other hosts. A range that is being
// released, or whose server hasn't acknowledged the grant, has no owner.
func (a *Assigner) Tables() (tables []Table) {
	for _, s := range a.serviceNames() {
		t := Table{Service: s, Term: a.record.Term}
		for _, rs := range a.tables[s] {
			id := rs.Server
			if rs.releasing || !rs.acked && rs.assignedThisTerm() {
				id = ""
			}
			if n := len(t.Spans); n > 0 && t.Spans[n-1].Server == id {
				t.Spans[n-1].To = rs.To
				continue
			}
			t.Spans = append(t.Spans, Range{From: rs.From, To: rs.To, Server: id})
		}
		tables = append(tables, t)
	}
	return tables
}

// assignedThisTerm reports whether the range was assigned in this term. A server
// goes on serving a range that the former assigner gave it before it has
// received the new fence.
func (rs *rangeState) assignedThisTerm() bool { return rs.recordVersion > 1 }

// MovedShare returns the share of all keys that changed owner in this term.
func (a *Assigner) MovedShare() float64 { return a.movedShare }
