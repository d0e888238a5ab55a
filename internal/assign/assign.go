// Package assign decides which backend server owns which hash range of a cell
// and through which dispatcher each server is reached.
//
// A cell is a part of the hash space with an assigner of its own. A dispatcher
// is the entry host that sends requests to a backend server; each server has
// one. A fence (fencing token) numbers the grants of a range, so that a server
// can refuse requests under an earlier grant. A Claim keeps a range from moving
// while a lost dispatcher may still have requests in flight to its server.
//
// # Usage
//
//	s := assign.New(assign.Config{Cell: cell, Interval: interval})
//	s.Step(now, assign.Elected{Term: term, Assignment: newest})
//	for _, a := range s.Step(now, ev) {
//		switch a := a.(type) {
//		case assign.Reply:   // send to the dispatcher
//		case assign.Store:   // write conditionally; then step Stored or StoreFailed
//		case assign.Publish: // send to the group's hosts
//		}
//	}
//
// The caller of Step must have confirmed the assigner role with elect's Holding
// at the same now. Ownership of a range is the triple (server, dispatcher,
// fence). It changes only after the dispatcher has released the range or its
// lease has expired on any clock within the permitted drift.
package assign

import (
	"cmp"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// leaseTime is the longest time that a dispatcher may use a grant, counted
	// from the reply that gave or renewed it.
	leaseTime = grant.LeaseTime + grant.Margin
	// electionGrace is how long after an election a dispatcher counts as
	// working without a renewal. Dispatchers renew every 100 ms; the rest of
	// leaseTime is left to choose another one before the leases of the earlier
	// term expire.
	electionGrace = 2 * grant.RenewalInterval
	// defaultInFlightTime is the sum of 200 ms for packets of an ended
	// dispatcher and 400 ms for the age of a server's newest response in a
	// report.
	defaultInFlightTime = 600 * clock.Millisecond
	// storeTimeout bounds the wait for the result of a write.
	storeTimeout = clock.Second
	// initialRangesPerServer is the number of ranges per server into which an
	// unassigned cell is divided.
	initialRangesPerServer = 8
	// maxRangesPerServer and maxRanges bound the size of the stored
	// assignment.
	maxRangesPerServer = 64
	maxRanges          = 1024
)

// Config of a State.
type Config struct {
	Cell     keys.Cell
	Interval keys.Range
	Policy   Policy
	// InFlightTime is how long requests of an ended dispatcher may still be in
	// flight to, or run at, a server that doesn't check fencing tokens.
	// Default 600 ms.
	InFlightTime clock.Span
}

// State is the assigner of one cell.
type State struct {
	cfg       Config
	term      uint32 // 0 while not elected
	electedAt clock.Time
	fenceSeq  uint32 // sequence number of the newest fence
	replySeq  uint64 // sequence number of the newest reply

	ranges  []*rangeState // sorted; cover the interval once divided
	claims  []*claim
	servers []*server // by name
	hosts   []*host   // by name

	version        uint64
	dirty          bool // the assignment differs from the published one
	stored         bool
	unsaved        bool   // no write of the newest version has been requested yet
	writingVersion uint64 // version that is being written, or 0
	writeStarted   clock.Time
	retryAt        clock.Time
	// republish requests a Publish without a change: the version has been
	// stored, which the table reports.
	republish bool

	balancer balancer
}

// rangeState is a range of hashes with its owner and its lease.
type rangeState struct {
	hashes keys.Range
	owner  keys.Server // present owner, or the next one while lease is being released
	lease  *lease      // nil while the range isn't granted
	// highestFence is the highest fence under which the range was granted.
	highestFence keys.Fence
	// dedupHost and dedupIncarnation identify the host process that has the
	// deduplication records after a release.
	dedupHost        keys.Host
	dedupIncarnation uint64
	// fragment reports that the range was split from a grant by a partial
	// release.
	fragment    bool
	originFence keys.Fence // fence of that grant
	// mergeUntil postpones a grant so that a neighbour can be released and
	// joined.
	mergeUntil clock.Time

	rate, hotRate float64
	measured      bool // rate was reported in this term
	hotHash       keys.Hash
	hotCount      int // consecutive decisions in which the range was hot
	coldCount     int // consecutive decisions in which the range was cold
}

// lease is a grant of a range to a server and its dispatcher. A grant to
// another server or dispatcher gets a new lease.
type lease struct {
	server        keys.Server
	dispatcher    keys.Host
	incarnation   uint64
	fence         keys.Fence
	lastSent      grant.Ack // newest reply that could create the grant
	expires       clock.Time
	releasing     bool
	nextHost      keys.Host
	dedupComplete bool
}

// claim is a Claim with the acknowledgements that it waits for.
type claim struct {
	Claim
	// lastSent is the newest reply that could create the grant.
	lastSent grant.Ack
	// settledAck is the first reply sent after cfg.InFlightTime has passed since
	// the dispatcher ended.
	settledAck grant.Ack
}

// server is a backend server.
type server struct {
	name        keys.Server
	addr        string
	slots       int
	weight      float64
	checksFence bool
	listing     Listing

	dispatcher            keys.Host
	dispatcherIncarnation uint64
	dispatcherSince       clock.Time // when the dispatcher was chosen
	state                 grant.State
	// readyAt is when the server was first reported ready; the warm-up starts
	// then.
	readyAt  clock.Time
	wasReady bool
}

// host is an entry host of the group.
type host struct {
	name            keys.Host
	removed         bool
	leaving         bool
	incarnation     uint64
	incarnationSeen clock.Time        // when the present incarnation sent its first renewal
	removedAt       clock.Time        // when the host list removed the host
	nonces          map[uint64]uint64 // newest nonce of this term by incarnation
	lastRenewal     clock.Time
	nonce           uint64
	ack             grant.Ack
	dirty           bool // the next reply to it differs from the last one
}

// New returns an assigner without a term.
func New(cfg Config) *State {
	if cfg.InFlightTime == 0 {
		cfg.InFlightTime = defaultInFlightTime
	}
	return &State{cfg: cfg}
}

// Step applies an event.
func (s *State) Step(now clock.Time, ev Event) (acts []Action) {
	var from *host
	switch ev := ev.(type) {
	case Elected:
		s.startTerm(now, ev)
	case Deposed:
		s.term = 0
	case ServerListed:
		s.updateServer(ev)
	case HostListed:
		s.updateHost(now, ev)
	case Renewal:
		from = s.applyRenewal(now, ev)
	case Stored:
		s.storeResult(now, ev.Version, true)
	case StoreFailed:
		s.storeResult(now, ev.Version, false)
	case SetPolicy:
		s.cfg.Policy = ev.Policy
	case Tick:
	}
	if s.term == 0 {
		return nil
	}
	s.expireLeases(now)
	s.endClaims(now)
	s.assignDispatchers(now)
	s.divideUnowned(now)
	s.reassignRanges(now)
	s.balance(now)
	s.startReleases(now)
	s.grantRanges(now)
	for _, h := range s.hosts {
		// A changed reply is sent without waiting for the next renewal.
		// The dispatcher counts its lease from the last renewal.
		if h == from || h.dirty && s.hostLive(now, h) {
			acts = append(acts, s.reply(now, h))
		}
	}
	return s.publish(now, acts)
}

// startTerm starts a term from the newest known assignment. Its grants count
// as valid until the leases of the earlier term have expired.
func (s *State) startTerm(now clock.Time, ev Elected) {
	s.term, s.electedAt, s.fenceSeq, s.replySeq = ev.Term, now, 0, 0
	s.ranges, s.claims = nil, nil
	s.writingVersion, s.stored, s.republish = 0, false, false
	s.version, s.dirty = ev.Assignment.Version, true
	s.balancer = balancer{nextDecision: now.Add(leaseTime)}
	for _, h := range s.hosts {
		h.lastRenewal, h.nonce, h.ack = now, 0, grant.Ack{}
		clear(h.nonces)
	}
	for _, sv := range s.servers {
		sv.dispatcher, sv.dispatcherIncarnation, sv.state, sv.dispatcherSince = "", 0, grant.Unknown, now
	}
	for _, o := range ev.Assignment.Owners {
		sv, known := s.server(o.Name)
		if !known {
			// The host list may lag, so the server counts as ready until it is
			// listed as gone.
			sv.addr, sv.checksFence, sv.listing = o.Address, o.ChecksFences, Ready
		}
		if o.Dispatcher != "" {
			h := s.host(o.Dispatcher)
			if h.incarnation == 0 {
				h.incarnation, h.lastRenewal = o.Incarnation, now
			}
			sv.dispatcher, sv.dispatcherIncarnation = o.Dispatcher, o.Incarnation
		}
	}
	for _, r := range ev.Assignment.Ranges {
		if !r.Hashes.Overlaps(s.cfg.Interval) || r.Server < 0 || r.Server >= len(ev.Assignment.Owners) {
			continue
		}
		rg := &rangeState{hashes: r.Hashes, owner: ev.Assignment.Owners[r.Server].Name, highestFence: r.Fence}
		if sv, _ := s.server(rg.owner); r.Fence != 0 && !sv.wasReady {
			// It served in the earlier term. Restarting its warm-up would move
			// load between servers at each election.
			sv.wasReady, sv.readyAt = true, now.Add(-warmupTime)
		}
		if r.Fence != 0 {
			rg.lease = &lease{server: rg.owner, dispatcher: r.Dispatcher, incarnation: r.Incarnation, fence: r.Fence,
				lastSent: grant.Ack{Term: s.term}, expires: now.Add(leaseTime)}
			if r.GrantedTo != "" {
				rg.lease.server = r.GrantedTo
			}
		}
		s.ranges = append(s.ranges, rg)
	}
	s.fillGaps()
	for _, cl := range ev.Assignment.Claims {
		s.claims = append(s.claims, &claim{Claim: cl, lastSent: grant.Ack{Term: s.term}})
	}
}

// server returns the server of that name and adds it if it is unknown.
func (s *State) server(name keys.Server) (sv *server, known bool) {
	i, ok := slices.BinarySearchFunc(s.servers, name, func(sv *server, n keys.Server) int { return cmp.Compare(sv.name, n) })
	if !ok {
		sv = &server{name: name, weight: 1, listing: Gone}
		s.servers = slices.Insert(s.servers, i, sv)
	}
	return s.servers[i], ok
}

// host returns the host of that name and adds it if it is unknown.
func (s *State) host(name keys.Host) *host {
	i, ok := slices.BinarySearchFunc(s.hosts, name, func(h *host, n keys.Host) int { return cmp.Compare(h.name, n) })
	if !ok {
		s.hosts = slices.Insert(s.hosts, i, &host{name: name, nonces: make(map[uint64]uint64)})
	}
	return s.hosts[i]
}

// overlapping returns the ranges that contain any of the hashes.
func (s *State) overlapping(hashes keys.Range) []*rangeState {
	lo, _ := slices.BinarySearchFunc(s.ranges, hashes.Lo(), func(rg *rangeState, h keys.Hash) int { return cmp.Compare(rg.hashes.Hi(), h) })
	hi := lo
	for hi < len(s.ranges) && s.ranges[hi].hashes.Lo() <= hashes.Hi() {
		hi++
	}
	return s.ranges[lo:hi:hi]
}

// splitAround splits ranges so that one starts and one ends with hashes. Both
// parts of a split grant keep its fence, because owner and dispatcher stay the
// same.
func (s *State) splitAround(hashes keys.Range) {
	if hashes.Lo() > s.cfg.Interval.Lo() {
		s.splitBefore(hashes.Lo())
	}
	if hashes.Hi() < s.cfg.Interval.Hi() {
		s.splitBefore(hashes.Hi() + 1)
	}
}

// splitBefore splits the range that contains at, so that a range starts there.
func (s *State) splitBefore(at keys.Hash) {
	i, _ := slices.BinarySearchFunc(s.ranges, at, func(rg *rangeState, h keys.Hash) int { return cmp.Compare(rg.hashes.Hi(), h) })
	if i == len(s.ranges) || s.ranges[i].hashes.Lo() >= at || !s.ranges[i].hashes.Contains(at) {
		return
	}
	left := s.ranges[i]
	right := *left
	whole := left.hashes
	left.hashes, right.hashes = whole.Split(at)
	if left.lease != nil {
		l := *left.lease
		right.lease = &l
		s.host(l.dispatcher).dirty = true
	}
	right.divideLoad(left, whole)
	left.hotCount, right.hotCount = 0, 0
	s.ranges = slices.Insert(s.ranges, i+1, &right)
	s.dirty = true
}

// divideLoad estimates the loads of both parts of a split range until they are
// reported. The hot hash's load goes to the part that contains it.
func (rg *rangeState) divideLoad(left *rangeState, whole keys.Range) {
	rest := left.rate - left.hotRate // rate of the other hashes
	for _, p := range []*rangeState{left, rg} {
		p.rate = rest * p.hashes.Share() / whole.Share()
	}
	if rg.hashes.Contains(rg.hotHash) {
		rg.rate, left.hotHash, left.hotRate = rg.rate+rg.hotRate, 0, 0
	} else {
		left.rate, rg.hotHash, rg.hotRate = left.rate+left.hotRate, 0, 0
	}
}

// Dump is the state in a form for operators.
type Dump struct {
	Term       uint32     `json:"term"`
	Stored     bool       `json:"stored"`
	Policy     string     `json:"policy"`
	Hosts      []HostDump `json:"hosts"`
	Assignment Assignment `json:"assignment"`
}

// HostDump is the part of a Dump that concerns one entry host.
type HostDump struct {
	Host        keys.Host  `json:"host"`
	Incarnation uint64     `json:"boot"`
	LastRenewal clock.Time `json:"heard"`
	Leaving     bool       `json:"leaving,omitempty"`
	Gone        bool       `json:"gone,omitempty"`
}

// Dump returns a copy of the state.
func (s *State) Dump() Dump {
	d := Dump{Term: s.term, Stored: s.stored, Policy: s.cfg.Policy.String(), Assignment: s.assignment()}
	for _, h := range s.hosts {
		d.Hosts = append(d.Hosts, HostDump{h.name, h.incarnation, h.lastRenewal, h.leaving, h.removed})
	}
	return d
}
