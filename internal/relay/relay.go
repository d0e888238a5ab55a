// Package relay carries a caller's request to a backend server and its answer
// back.
//
// It joins the decisions of intent, place, quota and retry's quarantine with
// the connections of link. A request is sent to a second server only if the
// first has certainly not run it, or if it is idempotent, and the budget
// allows.
//
// # Usage
//
//	r := relay.New(relay.Config{Clock: c, Codec: codec, ...})
//	r.Configure(cfg)
//	r.Servers(list)
//	answer := r.Handle(ctx, request)
package relay

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/caller"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/intent"
	"github.com/laburnummux/laburnummux/internal/link"
	"github.com/laburnummux/laburnummux/internal/owner"
	"github.com/laburnummux/laburnummux/internal/place"
	"github.com/laburnummux/laburnummux/internal/quota"
	"github.com/laburnummux/laburnummux/internal/retry"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// unready is the time after which a caller is told to come back if this
	// host doesn't know the configuration yet.
	unready = 500 * clock.Millisecond
	// meanWeight is the weight of the last request in a route's mean time.
	meanWeight = 0.05
	// defaultLeft is how long a caller waits that doesn't say so.
	defaultLeft = 30 * clock.Second
	// defaultMean is the assumed time of a request on a route without any yet.
	defaultMean = 100 * clock.Millisecond
	// minLeft is the shortest time for which a request is still sent.
	minLeft = 5 * clock.Millisecond
)

// Config has the parts of a Relay.
type Config struct {
	Clock   *clock.Clock
	Codec   Codec
	DC      keys.DataCentre
	Budget  quota.Config
	Log     *zap.Logger
	Metrics *Metrics
	Changed func() // called when the number of requests at servers changes
}

// Relay forwards the requests of one host.
type Relay struct {
	cfg    Config
	config atomic.Pointer[intent.Config]

	mu          sync.Mutex
	next        uint64
	place       *place.State
	retryBudget *quota.Budget
	suspect     *retry.Quarantine
	waiting     map[uint64]chan place.Action
	pools       map[keys.Server]*pool
	counts      map[string]*uint64 // requests by route, for the weights
	means       map[string]float64 // ms by route
	hosts       int                // that share the budget
	busy        map[keys.Service]map[owner.Key]clock.Span
	paces       map[keys.Server]*owner.Pace
	lost        loss
}

// loss is the last server that couldn't be connected to after it had broken a
// connection.
type loss struct {
	id keys.Server
	at clock.Time
}

type pool struct {
	*link.Pool
	addr    string
	service keys.Service
}

// New returns a Relay that knows no configuration yet.
func New(cfg Config) *Relay {
	r := &Relay{
		cfg: cfg, retryBudget: quota.New(cfg.Clock.Now(), cfg.Budget),
		suspect: retry.NewQuarantine(retry.QuarantineConfig{}), waiting: make(map[uint64]chan place.Action),
		pools: make(map[keys.Server]*pool), counts: make(map[string]*uint64), means: make(map[string]float64), hosts: 1,
		busy: make(map[keys.Service]map[owner.Key]clock.Span), paces: make(map[keys.Server]*owner.Pace),
	}
	r.place = place.New(cfg.DC, r.unused)
	return r
}

// unused returns the number of unused connections to a server. r.mu is held.
func (r *Relay) unused(id keys.Server) int {
	if p := r.pools[id]; p != nil {
		return p.Unused()
	}
	return 0
}

// Configure puts a configuration in force.
func (r *Relay) Configure(c *intent.Config) { r.config.Store(c) }

// Config returns the configuration in force, or nil.
func (r *Relay) Config() *intent.Config { return r.config.Load() }

// Servers takes the list of servers.
func (r *Relay) Servers(list []fleet.Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := make(map[keys.Server]bool, len(list))
	for _, sv := range list {
		seen[sv.ID] = true
		if p := r.pools[sv.ID]; p == nil || p.addr != sv.Addr {
			if p != nil {
				p.Close()
			}
			r.pools[sv.ID] = &pool{Pool: link.NewPool(sv.Addr), addr: sv.Addr, service: sv.Service}
		}
	}
	for id, p := range r.pools {
		if !seen[id] {
			p.Close()
			delete(r.pools, id)
		}
	}
	r.deliver(r.place.SetServers(r.cfg.Clock.Now(), list))
}

// Table takes the owners of a keyed service.
func (r *Relay) Table(t owner.Table) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deliver(r.place.SetTable(r.cfg.Clock.Now(), t))
}

// Peer takes another host's requests.
func (r *Relay) Peer(h keys.Host, busy map[keys.Server]int, waiting map[keys.Service]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deliver(r.place.SetPeerLoad(r.cfg.Clock.Now(), h, busy, waiting))
}

// suspectsMax is the most suspicions that are told at a time.
const suspectsMax = 24

// Suspects returns the requests that most probably crash servers.
func (r *Relay) Suspects() []retry.Suspicion {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := slices.DeleteFunc(r.suspect.Export(r.cfg.Clock.Now()), func(s retry.Suspicion) bool { return s.Crashes == 0 && !s.Quarantined })
	slices.SortStableFunc(list, func(a, b retry.Suspicion) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(b.Remaining, a.Remaining))
	})
	return list[:min(len(list), suspectsMax)]
}

// Suspect takes the suspicions of another host.
func (r *Relay) Suspect(list []retry.Suspicion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suspect.Import(r.cfg.Clock.Now(), list)
}

// Hosts sets the number of hosts that share the retry budget and the servers'
// connections.
func (r *Relay) Hosts(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = n
	conns := make(map[keys.Service]int)
	if c := r.config.Load(); c != nil {
		for _, s := range c.Document().Services {
			conns[s.Name] = s.Conns
		}
	}
	r.place.SetHosts(n, conns)
}

// Busy returns this host's requests at each server and in each queue.
func (r *Relay) Busy() (busy map[keys.Server]int, waiting map[keys.Service]int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.place.LocalLoad()
}

// Stop refuses the requests that wait for a server, and those that come later.
func (r *Relay) Stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deliver(r.place.Stop())
}

// Observed returns what was observed since the last call, for the assigner.
func (r *Relay) Observed() (busy map[keys.Service][]owner.Busy, paces []owner.Pace) {
	r.mu.Lock()
	defer r.mu.Unlock()
	busy = make(map[keys.Service][]owner.Busy, len(r.busy))
	for s, m := range r.busy {
		for k, t := range m {
			busy[s] = append(busy[s], owner.Busy{Key: k, Time: t})
		}
	}
	for _, p := range r.paces {
		paces = append(paces, *p)
	}
	clear(r.busy)
	clear(r.paces)
	return busy, paces
}

const (
	// tickBusy and tickIdle are the periods of Run's work while requests wait
	// for servers, and while none does.
	tickBusy = 10 * time.Millisecond
	tickIdle = 50 * time.Millisecond
	// sweepEvery is the period in which unused connections are looked through.
	sweepEvery = time.Second
)

// Run refuses requests that have waited too long and closes unused connections.
func (r *Relay) Run(ctx context.Context) error {
	swept := time.Now()
	for every := tickIdle; ; {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(every):
		}
		every = tickIdle
		r.mu.Lock()
		r.deliver(r.place.Tick(r.cfg.Clock.Now()))
		if len(r.waiting) > 0 {
			every = tickBusy
		}
		if time.Since(swept) >= sweepEvery {
			swept = time.Now()
			for _, p := range r.pools {
				p.Sweep(ctx, swept, r.health(p.service))
			}
		}
		r.mu.Unlock()
	}
}

// health returns the path of a service's health check.
func (r *Relay) health(s keys.Service) string {
	c := r.config.Load()
	if c == nil {
		return ""
	}
	svc, _ := c.Service(s)
	return svc.Health
}

// deliver hands actions to the requests that wait for them. r.mu is held.
func (r *Relay) deliver(acts []place.Action) {
	for _, act := range acts {
		var id uint64
		switch act := act.(type) {
		case place.Start:
			id = act.ID
		case place.Refuse:
			id = act.ID
		}
		r.waiting[id] <- act // has room for the only action
		delete(r.waiting, id)
	}
}

// Handle answers a caller's request.
func (r *Relay) Handle(ctx context.Context, req *caller.Request) caller.Answer {
	now := r.cfg.Clock.Now()
	f := &flight{r: r, req: req, meta: r.cfg.Codec.Meta(req.Header), began: now}
	f.cfg = r.config.Load()
	if f.cfg == nil {
		return f.refuse(reasonNoConfig, unready)
	}
	if f.route = f.cfg.Match(req.Host, req.Path); f.route == nil {
		return f.end(caller.Answer{Status: http.StatusNotFound}, reasonNoRoute)
	}
	left := defaultLeft
	if f.meta.Bound {
		left = f.meta.Left
	}
	f.expiry = now.Add(left)
	f.deadline = f.expiry
	if f.route.Timeout > 0 {
		f.deadline = now.Add(min(left, f.route.Timeout))
	}
	f.service = r.choose(f.route)
	return f.run(ctx)
}

// choose picks the service of a request by the route's weights.
func (r *Relay) choose(rt *intent.Route) keys.Service {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := r.counts[rt.Name]
	if n == nil {
		// Hosts start at different points, so that few requests on many hosts
		// keep to the weights too.
		start := uint64(time.Now().UnixNano())
		n = &start
		r.counts[rt.Name] = n
	}
	*n++
	s := rt.Pick(*n)
	r.retryBudget.Request(r.cfg.Clock.Now(), s)
	return s
}

// observe adds a finished request to the means that placement uses.
func (r *Relay) observe(f *flight, id keys.Server, took clock.Span) (mean clock.Span) {
	m, ok := r.means[f.route.Name]
	if !ok {
		m = float64(took)
	}
	m += meanWeight * (float64(took) - m)
	r.means[f.route.Name] = m
	p := r.paces[id]
	if p == nil {
		p = &owner.Pace{Server: id}
		r.paces[id] = p
	}
	p.N++
	p.Ratio += float64(took) / max(m, 1)
	return clock.Span(m)
}

// asked adds a keyed request to the load that its key is reported with. The
// time is an estimate: what an overloaded server has finished would understate
// the load.
func (r *Relay) asked(f *flight) {
	m := r.busy[f.service]
	if m == nil {
		m = make(map[owner.Key]clock.Span)
		r.busy[f.service] = m
	}
	m[f.meta.Key] += r.mean(f.route.Name)
}

// mean returns the time that a request of a route takes.
func (r *Relay) mean(route string) clock.Span {
	if m, ok := r.means[route]; ok {
		return clock.Span(m)
	}
	return defaultMean
}
