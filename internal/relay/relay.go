// Package relay forwards callers' requests to backend servers and returns the
// responses.
//
// It applies the decisions of the packages intent, place and quota and of
// retry.Quarantine to the connections of link. A request is sent to a second
// server only if the first certainly didn't run it or the request is idempotent,
// and if the retry budget allows.
//
// # Usage
//
//	r := relay.New(relay.Config{Clock: c, Codec: codec, ...})
//	r.SetConfig(cfg)
//	r.SetServers(list)
//	go r.Run(ctx)
//	response := r.Handle(ctx, request)
package relay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/caller"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/head"
	"github.com/laburnummux/laburnummux/internal/intent"
	"github.com/laburnummux/laburnummux/internal/link"
	"github.com/laburnummux/laburnummux/internal/owner"
	"github.com/laburnummux/laburnummux/internal/place"
	"github.com/laburnummux/laburnummux/internal/quota"
	"github.com/laburnummux/laburnummux/internal/retry"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// noConfigRetryAfter is the delay after which a caller may retry if this host
	// has no configuration yet.
	noConfigRetryAfter = 500 * clock.Millisecond
	// routeMeanWeight is the weight of the latest request in the moving average
	// of a route's service time.
	routeMeanWeight = 0.05
	// defaultTimeout is used for a request whose header has no timeout.
	defaultTimeout = 30 * clock.Second
	// defaultRouteMean is the assumed service time of a route without completed
	// requests.
	defaultRouteMean = 100 * clock.Millisecond
	// minSendTime is the least time until the deadline with which a request is
	// still sent.
	minSendTime = 5 * clock.Millisecond
	// maxResponseBytes bounds the memory of all responses that are being read without
	// Config.Budget.
	maxResponseBytes = 100 << 20
)

// Config configures a Relay.
type Config struct {
	Clock       *clock.Clock
	Codec       Codec
	DC          keys.DataCentre
	RetryBudget quota.Config
	// DrainTimeout is the time after which a leaving server must get no requests.
	DrainTimeout clock.Span
	// ColdOver and ColdSlack bound the requests to a cold server, see
	// place.State.SetColdBound.
	ColdOver, ColdSlack float64
	Log                 *zap.Logger
	Metrics             *Metrics
	Heads               *head.Reporter // may be nil
	LoadChanged         func()         // called when the number of requests in flight may have changed
	ServerLeaving       func()         // called when a server is leaving that wasn't before
	// WarmupChanged is called when a health response tells that a server is cold, or no
	// longer is.
	WarmupChanged func()
	// Admitter is asked before a request is sent where placement says so; nil: requests
	// are sent without admission.
	Admitter Admitter
	Budget   *link.Budget // bounds the memory of responses; nil: 100 MiB
	// ColdAdmissionOnly restricts admission to requests to cold servers, whose limit
	// needs it.
	ColdAdmissionOnly bool
	NoSlowStart       bool // placement ignores the warm-up time of services
	IgnoreSlowdown    bool // the slowdown that servers report has no effect
}

// Relay forwards the requests that one host receives.
type Relay struct {
	cfg          Config
	activeConfig atomic.Pointer[intent.Config]

	mu            sync.Mutex
	lastID        uint64
	placement     *place.State
	retryBudget   *quota.Budget
	quarantine    *retry.Quarantine
	pending       map[uint64]chan place.Action
	pools         map[keys.Server]*pool
	responses     *link.Budget
	requestCounts map[string]*uint64                        // requests by route, for the choice by weights
	routeMeans    map[string]float64                        // moving average of the service time in ms, by route
	hostCount     int                                       // hosts that share the retry budget
	keyLoads      map[keys.Service]map[owner.Key]clock.Span // estimated service time since the last TakeObservations
	serviceTimes  map[keys.Server]*owner.ServiceTime        // since the last TakeObservations
	// admissionWaits are the requests that wait for their admission.
	admissionWaits map[*call]admissionWait
	toldLeaving    bool // some pool may have leaving set
}

// pool has the connections to one process of a server.
type pool struct {
	*link.Pool
	server  fleet.Server // as in the last list
	leaving bool         // the server has told this host that it is leaving
	// badHeader is set once an invalid header was reported.
	badHeader bool
}

// New returns a Relay without a configuration.
func New(cfg Config) *Relay {
	if cfg.Budget == nil {
		cfg.Budget = link.NewBudget(maxResponseBytes)
	}
	r := &Relay{
		cfg: cfg, retryBudget: quota.New(cfg.Clock.Now(), cfg.RetryBudget),
		quarantine: retry.NewQuarantine(retry.QuarantineConfig{MinCrashes: minCrashes, CheckLosses: true}), pending: make(map[uint64]chan place.Action),
		pools: make(map[keys.Server]*pool), responses: cfg.Budget, requestCounts: make(map[string]*uint64), routeMeans: make(map[string]float64), hostCount: 1,
		keyLoads: make(map[keys.Service]map[owner.Key]clock.Span), serviceTimes: make(map[keys.Server]*owner.ServiceTime),
		admissionWaits: make(map[*call]admissionWait),
	}
	r.placement = place.New(cfg.DC, r.idleConns)
	r.placement.SetColdBound(cfg.ColdOver, cfg.ColdSlack)
	r.placement.SetAdmission(cfg.Admitter != nil && !cfg.ColdAdmissionOnly)
	r.placement.SetColdAdmitted(cfg.Admitter != nil)
	r.placement.SetSlowdown(!cfg.IgnoreSlowdown)
	return r
}

// idleConns returns the number of idle connections to a server. r.mu must be
// held.
func (r *Relay) idleConns(id keys.Server) int {
	if p := r.pools[id]; p != nil {
		return p.Idle()
	}
	return 0
}

// SetConfig replaces the configuration.
func (r *Relay) SetConfig(c *intent.Config) {
	r.activeConfig.Store(c)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limitConns()
}

// Config returns the configuration, or nil if there is none yet.
func (r *Relay) Config() *intent.Config { return r.activeConfig.Load() }

// SetServers replaces the list of servers. Connections to servers that were
// removed, have restarted or have another address are closed.
func (r *Relay) SetServers(list []fleet.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := make(map[keys.Server]bool, len(list))
	for _, sv := range list {
		seen[sv.ID] = true
		if p := r.pools[sv.ID]; p == nil || p.server.Addr != sv.Addr || p.server.Born != sv.Born {
			if p != nil {
				p.Close()
			}
			r.pools[sv.ID] = r.newPool(sv)
			r.logQuarantined(r.quarantine.SetProcess(r.cfg.Clock.Now(), sv.ID, sv.Service, sv.Born))
		}
		r.pools[sv.ID].server = sv
	}
	for id, p := range r.pools {
		if !seen[id] {
			p.Close()
			delete(r.pools, id)
			r.quarantine.RemoveProcess(id)
		}
	}
	r.deliver(r.placement.SetServers(r.cfg.Clock.Now(), list))
	r.cancelMoved()
}

// SetTable replaces the table of key owners of a keyed service.
func (r *Relay) SetTable(t owner.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deliver(r.placement.SetTable(r.cfg.Clock.Now(), t))
	r.cancelMoved()
}

// SetPeerLoad replaces the load report of another host.
func (r *Relay) SetPeerLoad(h keys.Host, inFlight map[keys.Server]int, queued map[keys.Service]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deliver(r.placement.SetPeerLoad(r.cfg.Clock.Now(), h, inFlight, queued))
}

// SetHosts sets the number of hosts that share the retry budget and the servers'
// connections.
func (r *Relay) SetHosts(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if n == r.hostCount {
		return
	}
	r.hostCount = n
	r.limitConns()
}

// limitConns passes the number of hosts and the limits of connections to
// placement. r.mu is held.
func (r *Relay) limitConns() {
	conns := make(map[keys.Service]int)
	if c := r.activeConfig.Load(); c != nil {
		for _, s := range c.Document().Services {
			conns[s.Name] = s.Conns
		}
	}
	r.placement.SetHosts(r.hostCount, conns)
	r.placement.SetRamps(r.serviceRamps())
}

// SetShare sets the part of the data centre's servers that this host uses for
// requests without keys.
func (r *Relay) SetShare(share place.Share) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deliver(r.placement.SetShare(r.cfg.Clock.Now(), share))
}

// LocalLoad returns this host's requests in flight at each server, and its queued
// requests for each service.
func (r *Relay) LocalLoad() (inFlight map[keys.Server]int, queued map[keys.Service]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.placement.LocalLoad()
}

// Stop refuses the queued requests and all later ones.
func (r *Relay) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deliver(r.placement.Stop())
}

// TakeObservations returns the load of the keys and the service times of the servers
// since the last call, for the assigner.
func (r *Relay) TakeObservations() (loads map[keys.Service][]owner.KeyLoad, times []owner.ServiceTime) {
	r.mu.Lock()
	defer r.mu.Unlock()
	loads = make(map[keys.Service][]owner.KeyLoad, len(r.keyLoads))
	for s, m := range r.keyLoads {
		for k, t := range m {
			loads[s] = append(loads[s], owner.KeyLoad{Key: k, Time: t})
		}
	}
	for _, p := range r.serviceTimes {
		times = append(times, *p)
	}
	clear(r.keyLoads)
	clear(r.serviceTimes)
	return loads, times
}

const (
	// queueTick and idleTick are the periods of Run while requests are queued,
	// and while none is.
	queueTick = 10 * time.Millisecond
	idleTick  = 50 * time.Millisecond
	// sweepPeriod is the period in which idle connections are checked.
	sweepPeriod = time.Second
)

// Run refuses requests that have waited too long and closes idle connections,
// until ctx ends.
func (r *Relay) Run(ctx context.Context) error {
	swept := time.Now()
	for period := idleTick; ; {
		began := time.Now()
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(period):
		}
		r.cfg.Metrics.observeTickDelay(time.Since(began) - period)
		period = idleTick
		r.mu.Lock()
		r.deliver(r.placement.Tick(r.cfg.Clock.Now()))
		r.logQuarantined(r.quarantine.Tick(r.cfg.Clock.Now()))
		if len(r.pending) > 0 {
			period = queueTick
		}
		if time.Since(swept) >= sweepPeriod {
			swept = time.Now()
			r.cfg.Metrics.observeCold(r.placement.ColdCounts(r.cfg.Clock.Now()))
			for _, p := range r.pools {
				p.Sweep(ctx, swept, r.healthPath(p.server))
			}
		}
		r.mu.Unlock()
	}
}

// healthPath returns the path of a server's health check, or "" if it gets no
// health requests. r.mu must be held.
func (r *Relay) healthPath(sv fleet.Server) string {
	c := r.activeConfig.Load()
	if c == nil || r.placement.Leaving(sv) || r.placement.Paused(r.cfg.Clock.Now(), sv) {
		return ""
	}
	svc, _ := c.Service(sv.Service)
	return svc.Health
}

// deliver sends actions to the calls that wait for them. r.mu must be held.
func (r *Relay) deliver(acts []place.Action) {
	for _, act := range acts {
		var id uint64
		switch act := act.(type) {
		case place.Start:
			id = act.ID
		case place.Refuse:
			id = act.ID
		}
		r.pending[id] <- act // never blocks: buffered for the only action of the request
		delete(r.pending, id)
	}
}

// Handle forwards a caller's request and returns the final response.
func (r *Relay) Handle(ctx context.Context, req *caller.Request) caller.Response {
	now := r.cfg.Clock.Now()
	c := &call{relay: r, req: req, meta: r.cfg.Codec.Meta(req.Header), started: now}
	if ctx.Err() != nil {
		return c.endAbandoned()
	}
	c.leftAt = stageQueued
	c.cfg = r.activeConfig.Load()
	if c.cfg == nil {
		return c.refuse(reasonNoConfig, noConfigRetryAfter)
	}
	if c.route = c.cfg.Match(req.Host, req.Path); c.route == nil {
		return c.finish(caller.Response{Status: http.StatusNotFound}, reasonNoRoute)
	}
	timeout := defaultTimeout
	if c.meta.HasTimeout {
		timeout = c.meta.Remaining
	}
	c.callerDeadline = now.Add(timeout)
	c.deadline = c.callerDeadline
	if c.route.Timeout > 0 {
		c.deadline = now.Add(min(timeout, c.route.Timeout))
	}
	c.service = r.chooseService(c.route)
	return c.run(ctx)
}

// chooseService chooses the service of a request by the route's weights.
func (r *Relay) chooseService(rt *intent.Route) keys.Service {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.requestCounts[rt.Name]
	if n == nil {
		// Each host starts at another point, so that the weights also hold for
		// few requests on many hosts.
		start := uint64(time.Now().UnixNano())
		n = &start
		r.requestCounts[rt.Name] = n
	}
	*n++
	s := rt.Pick(*n)
	r.retryBudget.CountRequest(r.cfg.Clock.Now(), s)
	return s
}

// recordServiceTime adds a completed request to the mean of its route and to the
// service times of its server. It returns the mean.
func (r *Relay) recordServiceTime(c *call, id keys.Server, took clock.Span, slowdown float64) (mean clock.Span) {
	m, ok := r.routeMeans[c.route.Name]
	if !ok {
		m = float64(took)
	}
	m += routeMeanWeight * (float64(took) - m)
	r.routeMeans[c.route.Name] = m
	p := r.serviceTimes[id]
	if p == nil {
		p = &owner.ServiceTime{Server: id}
		r.serviceTimes[id] = p
	}
	p.N++
	p.Ratio += float64(took) / max(m, 1) / r.placement.Slowdown(id, slowdown)
	return clock.Span(m)
}

// recordKeyLoad adds a keyed request to the load that is reported for its key. It
// uses the mean of the route, because the time of completed requests would
// understate the load of an overloaded server.
func (r *Relay) recordKeyLoad(c *call) {
	m := r.keyLoads[c.service]
	if m == nil {
		m = make(map[owner.Key]clock.Span)
		r.keyLoads[c.service] = m
	}
	m[c.meta.Key] += r.routeMean(c.route.Name)
}

// routeMean returns the mean service time of a route.
func (r *Relay) routeMean(route string) clock.Span {
	if m, ok := r.routeMeans[route]; ok {
		return clock.Span(m)
	}
	return defaultRouteMean
}
