// Package place chooses the backend server for each request of this host,
// queues requests while all servers are busy, and refuses requests that can't
// be served in time.
//
// The load of a server is the number of requests that this host has in flight
// there, plus the numbers that the other hosts report. The reports are a few
// milliseconds old, so hosts can pick the same slot at the same time; each
// server therefore queues a few requests. The package is made for loads near
// and above capacity: bursts, hot keys, slow and failing servers. It does no
// I/O and doesn't lock; calls of a State must be serialized.
//
// # Usage
//
//	s := place.New("north", idleConns)
//	acts := s.SetServers(now, servers)
//	acts = append(acts, s.Submit(now, place.Request{ID: 1, Service: "ledger", ...})...)
//	acts = append(acts, s.Done(now, server, place.Result{...})...)
//	acts = append(acts, s.Tick(now)...) // periodically
//	for _, act := range acts {
//		switch act := act.(type) {
//		case place.Start:
//		case place.Refuse:
//		}
//	}
package place

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/owner"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// failureWeight is the weight of the latest result in the moving average of
	// a server's failure rate.
	failureWeight = 0.15
	// serviceTimeWeight is the weight of the latest request in the moving
	// average of a server's service time ratio.
	serviceTimeWeight = 0.1
	// backoffMin and backoffMax bound how long a server gets no requests after
	// its connections failed.
	backoffMin = 250 * clock.Millisecond
	backoffMax = 3 * clock.Second
	// shedBackoff is how long a server gets no requests after it rejected one
	// because it was full.
	shedBackoff = 60 * clock.Millisecond
	// peerMaxAge is the age from which another host's load report is dropped.
	peerMaxAge = 1500 * clock.Millisecond
	// retryAfterMin and retryAfterMax bound the delay after which a refused
	// caller may retry.
	retryAfterMin = 100 * clock.Millisecond
	retryAfterMax = 2 * clock.Second
	// sizeClassRatio is the ratio between the service times of neighbouring size
	// classes.
	sizeClassRatio = 1.8
	// maxWaitShare is the share of its objective that a request may wait in the
	// queue. With a longer wait it would miss the objective after an average
	// service time.
	maxWaitShare = 0.6
)

// Request is a request to be placed on a server.
type Request struct {
	ID        uint64
	Service   keys.Service
	Keyed     bool
	Key       owner.Key
	Priority  int
	Objective clock.Time // response due under the service level objective
	Deadline  clock.Time // no response is useful after this time
	Arrived   clock.Time
	RouteMean clock.Span    // mean service time of its route
	Tried     []keys.Server // servers that it was already sent to
}

// Action is a decision on a submitted request: Start or Refuse.
type Action interface{ action() }

// Start sends a request to a server.
type Start struct {
	ID     uint64
	Server fleet.Server
	Admit  bool // to be sent only once the server's admitter has admitted it
}

// Refuse rejects a request without sending it to a server.
type Refuse struct {
	ID         uint64
	Why        Why
	RetryAfter clock.Span // delay before the caller should retry
}

func (Start) action()  {}
func (Refuse) action() {}

//go:generate go tool stringer -type=Why -linecomment -output=why_string.go

// Why is the reason for a refusal.
type Why int

// Reasons for refusals.
const (
	QueueFull    Why = iota // queue-full
	QueueTimeout            // waited-out
	NoServer                // no-server
	NoOwner                 // no-owner
	Stopping                // stopping
	Unreachable             // unreachable
	Paused                  // paused
	Evacuated               // evacuated
)

// Result is the outcome of a request at a server.
type Result struct {
	Duration   clock.Span
	RouteMean  clock.Span // mean service time of its route
	Failed     bool       // error status, or a response that isn't valid for the request
	ConnFailed bool       // the connection couldn't be opened or was lost
	Shed       bool       // rejected by the server, which is full
	Cancelled  bool       // not completed, without a cause at the server
	Load       int        // requests at the server when it sent the response, without this one
	HasLoad    bool       // the server has told Load
	Slowdown   float64    // how long work takes there at the moment, 1: the usual time; 0: unknown
	TimedOut   bool       // no response until the deadline; Cancelled is set as well
}

// peer is the last load report of another host.
type peer struct {
	reportedAt clock.Time
	queued     map[keys.Service]int
	inFlight   map[keys.Server]int
}

// State has the servers, queues and load reports of one host.
type State struct {
	dc        keys.DataCentre
	servers   map[keys.Server]*server
	order     []keys.Server    // as in the last list
	busy      map[*server]bool // listed servers with requests of this host in flight
	serversOf map[keys.Service][]*server
	shareOf   map[keys.Service][]*server // see SetShare; nil: all of serversOf
	leavingOf map[keys.Service][]*server
	// evacuations has the evacuated data centres, and until when owners of keys there
	// get requests; evacuatedOf the services with servers there.
	evacuations map[keys.DataCentre]clock.Time
	evacuatedOf map[keys.Service]bool
	share       Share
	notices     map[keys.Server]notice
	// lastPauseEnd is the latest end of a pause that a server has asked for.
	lastPauseEnd clock.Time
	services     map[keys.Service]*service
	peers        map[keys.Host]*peer
	tables       map[keys.Service]owner.Table
	idleConns    func(keys.Server) int // number of idle connections to a server
	rng          *rand.Rand
	rotation     int // start of the next scan of a group, so that ties are spread
	stopped      bool
	admission    bool                 // see SetAdmission
	hostCount    int                  // hosts that send to the same servers
	maxConns     map[keys.Service]int // connections that a server accepts from all hosts together
	ramp         rampConfig
	// ignoreSlowdown is set if the slowdown that servers report has no effect.
	ignoreSlowdown bool
}

// New returns the state of a host in a data centre. idleConns returns the
// number of idle connections of the host to a server.
func New(dc keys.DataCentre, idleConns func(keys.Server) int) *State {
	return &State{
		dc: dc, idleConns: idleConns, rng: rand.New(rand.NewPCG(rand.Uint64(), 0)), servers: make(map[keys.Server]*server), busy: make(map[*server]bool), serversOf: make(map[keys.Service][]*server),
		leavingOf: make(map[keys.Service][]*server), notices: make(map[keys.Server]notice),
		ramp: rampConfig{over: 1}, services: make(map[keys.Service]*service), peers: make(map[keys.Host]*peer), tables: make(map[keys.Service]owner.Table),
	}
}

// SetHosts sets the number of hosts that send to the same servers, and the
// number of connections that each server of a service accepts.
func (s *State) SetHosts(n int, maxConns map[keys.Service]int) {
	s.hostCount, s.maxConns = max(n, 1), maxConns
}

// SetServers replaces the list of servers. A server that has restarted or moved
// to another address starts without statistics.
func (s *State) SetServers(now clock.Time, list []fleet.Server) []Action {
	old := s.servers
	s.servers = make(map[keys.Server]*server, len(list))
	s.order = s.order[:0]
	clear(s.busy)
	for _, sv := range list {
		x := old[sv.ID]
		if x == nil || x.Born != sv.Born || x.Addr != sv.Addr {
			inFlight := 0
			if x != nil {
				inFlight = x.localInFlight
			}
			x = &server{localInFlight: inFlight, serviceTimeRatio: 1}
			s.startRamp(now, x, sv)
		}
		x.register(now, sv)
		x.Server, x.notice, x.peerInFlight = sv, s.noticeOf(sv), 0
		if x.localInFlight > 0 {
			s.busy[x] = true
		}
		s.servers[sv.ID] = x
		s.order = append(s.order, sv.ID)
	}
	s.ramp.listed = true
	s.groupServers()
	s.forgetNotices(now)
	for _, p := range s.peers {
		s.addPeerLoad(p)
	}
	return s.dispatchAll(now)
}

// SetTable replaces the table of key owners of a keyed service.
func (s *State) SetTable(now clock.Time, t owner.Table) []Action {
	s.tables[t.Service] = t
	return s.dispatch(now, t.Service)
}

// SetPeerLoad replaces the load report of another host: its requests in flight
// at each server, and its queued requests for each service.
func (s *State) SetPeerLoad(now clock.Time, h keys.Host, inFlight map[keys.Server]int, queued map[keys.Service]int) []Action {
	if p := s.peers[h]; p != nil {
		s.removePeerLoad(p)
	}
	p := &peer{reportedAt: now, inFlight: inFlight, queued: queued}
	s.peers[h] = p
	s.addPeerLoad(p)
	return s.dispatchAll(now)
}

// addPeerLoad adds a load report to the servers that it names.
func (s *State) addPeerLoad(p *peer) {
	for id, n := range p.inFlight {
		if sv := s.servers[id]; sv != nil && n > 0 {
			sv.peerInFlight += n
			sv.explored = true
		}
	}
}

// removePeerLoad takes back what addPeerLoad added.
func (s *State) removePeerLoad(p *peer) {
	for id, n := range p.inFlight {
		if sv := s.servers[id]; sv != nil && n > 0 {
			sv.peerInFlight -= n
		}
	}
}

// LocalLoad returns this host's requests in flight at each server, and its
// queued requests for each service. Zeros are left out.
func (s *State) LocalLoad() (inFlight map[keys.Server]int, queued map[keys.Service]int) {
	inFlight, queued = make(map[keys.Server]int, len(s.busy)), make(map[keys.Service]int)
	for sv := range s.busy {
		inFlight[sv.ID] = sv.localInFlight
	}
	for name, x := range s.services {
		if len(x.queue) > 0 {
			queued[name] = len(x.queue)
		}
	}
	return inFlight, queued
}

// begin counts a request that this host sends to a server.
func (s *State) begin(sv *server) {
	sv.localInFlight++
	s.busy[sv] = true
}

// end takes back what begin counted.
func (s *State) end(sv *server) {
	if sv.localInFlight = max(sv.localInFlight-1, 0); sv.localInFlight == 0 {
		delete(s.busy, sv)
	}
}

// Submit adds a request. The actions may start or refuse it at once, and start
// other requests.
func (s *State) Submit(now clock.Time, r Request) []Action {
	if s.stopped {
		return []Action{Refuse{ID: r.ID, Why: Stopping, RetryAfter: retryAfterMin}}
	}
	if ref, ok := s.blocked(now, &r); ok {
		return []Action{ref}
	}
	s.countHeld(now, &r)
	x := s.service(r.Service)
	if wait := s.expectedWait(now, x, &r, x.position(&r)); now.Add(wait) > s.waitLimit(now, &r) {
		return []Action{Refuse{ID: r.ID, Why: QueueFull, RetryAfter: retryAfter(wait)}}
	}
	x.queue = slices.Insert(x.queue, x.position(&r), &r)
	return s.dispatch(now, r.Service)
}

// Done records the result of a request at a server.
func (s *State) Done(now clock.Time, id keys.Server, res Result) []Action {
	sv := s.servers[id]
	if sv == nil {
		return nil
	}
	s.end(sv)
	if s.ignoreSlowdown {
		res.Slowdown = 0
	}
	if res.HasLoad {
		sv.toldLoad, sv.toldLoadAt = res.Load, now
	}
	sv.recordSlowdown(now, res.Slowdown)
	s.observeRamp(now, sv, res)
	switch {
	case res.Cancelled:
	case res.ConnFailed:
		sv.failureRate += failureWeight * (1 - sv.failureRate)
		sv.avoidUntil = now.Add(min(backoffMin<<min(sv.connFailures, 5), backoffMax))
		sv.connFailures++
	case res.Shed:
		sv.avoidUntil = now.Add(shedBackoff)
	case res.Failed:
		sv.failureRate += failureWeight * (1 - sv.failureRate)
		sv.connFailures = 0
	default:
		sv.failureRate -= failureWeight * sv.failureRate
		sv.connFailures = 0
		if res.RouteMean > 0 {
			sv.recordSpeed(res)
		}
		x := s.service(sv.Service)
		x.meanMs += 0.02 * (float64(res.Duration) - x.meanMs)
	}
	return s.dispatch(now, sv.Service)
}

// pick returns the server for a request, or nil if the request has to wait.
func (s *State) pick(now clock.Time, r *Request) (best *server) {
	if r.Keyed {
		sv := s.ownerOf(r)
		// r.Tried doesn't matter here: only the owner may run the request, so a
		// server that rejected it gets it again.
		if sv == nil || sv.gone(now) || sv.avoided(now) {
			return nil
		}
		if !s.needsAdmission(r) && (s.full(sv) || !s.admits(now, sv, true)) {
			return nil
		}
		return sv
	}
	s.rotation++
	best = s.pickFrom(now, r, s.pool(now, r.Service))
	if (best == nil || s.isCold(now, best)) && len(s.shareOf[r.Service]) > 0 {
		if sv := s.pickOverflow(now, r); sv != nil {
			best = sv
		}
	}
	return best
}

// pickFrom returns the server of a group with the lowest score, or nil if none has
// room.
func (s *State) pickFrom(now clock.Time, r *Request, group []*server) (best *server) {
	least := math.Inf(1)
	for i := range group {
		sv := group[(i+s.rotation)%len(group)]
		if sv.unavailable(now) || slices.Contains(r.Tried, sv.ID) {
			continue
		}
		if s.shouldExplore(now, sv) {
			return sv
		}
		if x, ok := s.score(now, sv); ok && x < least {
			best, least = sv, x
		}
	}
	return best
}

// dispatchAll calls dispatch for every service with queued requests.
func (s *State) dispatchAll(now clock.Time) (acts []Action) {
	for name, x := range s.services {
		if len(x.queue) > 0 {
			acts = append(acts, s.dispatch(now, name)...)
		}
	}
	return acts
}

// dispatch starts the queued requests of a service for which servers have room.
func (s *State) dispatch(now clock.Time, name keys.Service) (acts []Action) {
	x := s.service(name)
	if len(x.queue) == 0 {
		return nil
	}
	left := x.queue[:0]
	full := false // no server has room for a request without a key
	for _, r := range x.queue {
		var sv *server
		if !full || r.Keyed {
			sv = s.pick(now, r)
			full = sv == nil && len(r.Tried) == 0 && !r.Keyed
		}
		if sv == nil {
			left = append(left, r)
			continue
		}
		s.begin(sv)
		s.sent(now, sv)
		sv.explored = true
		acts = append(acts, Start{ID: r.ID, Server: sv.Server, Admit: s.needsAdmission(r)})
	}
	clear(x.queue[len(left):])
	x.queue = left
	return acts
}

// Tick drops load reports older than peerMaxAge, starts the queued requests for
// which servers have room, and refuses those that have waited too long, or whose
// servers have asked for a pause or are all evacuated.
func (s *State) Tick(now clock.Time) (acts []Action) {
	s.coldHosts(now)
	for h, p := range s.peers {
		if now.Sub(p.reportedAt) > peerMaxAge {
			s.removePeerLoad(p)
			delete(s.peers, h)
		}
	}
	acts = s.dispatchAll(now)
	for _, x := range s.services {
		left := x.queue[:0]
		for i, r := range x.queue {
			if now < s.lastPauseEnd || len(s.evacuations) > 0 {
				if ref, ok := s.blocked(now, r); ok {
					acts = append(acts, ref)
					continue
				}
			}
			if now < s.waitLimit(now, r) {
				left = append(left, r)
				continue
			}
			acts = append(acts, Refuse{ID: r.ID, Why: s.refusalReason(now, r), RetryAfter: retryAfter(s.expectedWait(now, x, r, i))})
		}
		clear(x.queue[len(left):])
		x.queue = left
	}
	return acts
}

// Owner returns the server that owns a key, or "" if none is known.
func (s *State) Owner(name keys.Service, k owner.Key) keys.Server { return s.tables[name].Owner(k) }

// Table returns the table of key owners of a service, if it is known.
func (s *State) Table(name keys.Service) (owner.Table, bool) {
	t, ok := s.tables[name]
	return t, ok
}
