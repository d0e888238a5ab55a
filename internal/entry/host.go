// Package entry is the daemon of an entry host.
//
// It joins the decision packages with the outside: callers, other entry hosts,
// backend servers, the platform's store and operators. Each worker has one
// goroutine; events reach the decisions through bounded rings, and the actions
// that come back are carried out here.
//
// # Usage
//
//	h, err := entry.New(entry.Config{Settings: settings, Store: st, Log: log})
//	err = h.Start(ctx)
//	...
//	err = h.Stop(ctx) // finishes what is in flight
//
// # Listeners
//
// callers serves callers' requests and nothing else; relay serves requests
// that other entry hosts pass on; peers serves the gRPC exchange; operators
// serves health, metrics, the state dump and operators' commands.
package entry

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnummux/laburnummux/internal/certs"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/internal/peers"
	"github.com/laburnummux/laburnummux/internal/proxy"
	"github.com/laburnummux/laburnummux/internal/retry"
	"github.com/laburnummux/laburnummux/internal/ring"
	"github.com/laburnummux/laburnummux/internal/route"
	"github.com/laburnummux/laburnummux/internal/spread"
	"github.com/laburnummux/laburnummux/internal/stats"
	"github.com/laburnummux/laburnummux/internal/store"
	"github.com/laburnummux/laburnummux/internal/super"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"go.uber.org/zap"
)

// controlRing bounds the control events that wait. At 100 events a second per
// cell it holds several seconds.
const controlRing = 4096

// Config is what a Host needs.
type Config struct {
	Settings config.Settings
	Store    store.Store
	Log      *zap.Logger
	// Audit gets a line per changing call of an operator; nil means Log.
	Audit *zap.Logger
	// Watched are files that others use and that the host checks for changes.
	Watched []certs.Checker
}

// Host is an entry host.
type Host struct {
	cfg       config.Settings
	self      keys.Host
	boot      uint64
	clk       *clock.Clock
	log       *zap.Logger
	st        store.Store
	metrics   *stats.Metrics
	peers     *peers.Peers
	events    *ring.Ring[event]
	tree      *super.Supervisor
	listeners *listeners
	started   time.Time
	secure    security
	watched   []certs.Checker
	auditor   *zap.Logger

	leaving  atomic.Bool
	callers  atomic.Int64 // callers' requests in flight
	attempts atomic.Uint64
	ready    atomic.Bool // the newest revision within reach is in force
	watching atomic.Bool // this host watches the store

	readStore chan struct{} // asks for one read of the configuration

	mu       sync.Mutex
	router   *route.State
	conf     config.Config
	revision config.Revision
	inForce  time.Time // since when the revision is in force here
	services map[keys.Service]*service
	cells    map[keys.Cell]*cell
	members  map[string]store.Member
	relays   map[keys.Host]*proxy.Pool
	gossip   *spread.State
	heard    map[keys.Host]peer // hosts of the group
	changed  chan struct{}      // closed when routing changes

	cancel context.CancelFunc
	done   chan struct{}
}

// peer is what this host heard last of another host of the group.
type peer struct {
	boot    uint64
	at      clock.Time
	leaving bool
}

// service is what a host keeps for requests of a service.
type service struct {
	config.Service
	mu    sync.Mutex
	retry *retry.State
}

// New returns a host that is not started.
func New(cfg Config) *Host {
	boot := newBoot()
	h := &Host{
		cfg: cfg.Settings, self: cfg.Settings.Host(), boot: boot, clk: clock.System(),
		watched: cfg.Watched, log: cfg.Log.With(zap.String("host", string(cfg.Settings.Host()))), st: cfg.Store, metrics: stats.New(),
		events: ring.New[event](controlRing), started: time.Now(),
		router: route.New(boot), services: make(map[keys.Service]*service), cells: make(map[keys.Cell]*cell),
		members: make(map[string]store.Member), relays: make(map[keys.Host]*proxy.Pool), changed: make(chan struct{}), heard: make(map[keys.Host]peer),
		readStore: make(chan struct{}, 1),
	}
	h.gossip = spread.New(spread.Config{
		Host: h.self, Boot: boot, DataCentre: h.cfg.DataCentre(), Group: h.cfg.Group(), Seed: boot,
	})
	h.auditor = cmp.Or(cfg.Audit, cfg.Log).Named("audit").With(zap.String("host", string(h.self)))
	h.peers = peers.New(h.self, boot, h.receive, h.log)
	h.metrics.Register(&collector{h})
	return h
}

// newBoot returns an id for this run. Later runs of a host have higher ids.
func newBoot() uint64 {
	const randomBits = 20
	return uint64(wall())<<randomBits | rand.Uint64N(1<<randomBits)
}

// Start opens the listeners and starts the workers.
func (h *Host) Start(context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("entry.Start: %w", err)
		}
	}()
	if err = h.loadSecurity(); err != nil {
		return err
	}
	if h.listeners, err = h.listen(); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel, h.done = cancel, make(chan struct{})
	h.tree = super.New("entry", h.log)
	h.tree.Add("listeners", h.listeners.run)
	h.tree.Add("peers", h.peers.Run)
	h.tree.Add("control", h.control)
	h.tree.Add("members", h.followMembers)
	h.tree.Add("configuration", h.followConfig)
	h.tree.Add("files", h.followFiles)
	go h.run(ctx)
	h.log.Info("entry host started", zap.Uint64("boot", h.boot), zap.String("callers", h.listeners.callerAddr()))
	return nil
}

func (h *Host) run(ctx context.Context) {
	defer close(h.done)
	h.tree.Run(ctx)
}

// Stop leaves the balancer, finishes the requests in flight, hands over what
// the host holds, and stops the workers. The context bounds the wait.
func (h *Host) Stop(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("entry.Stop: %w", err)
		}
	}()
	h.log.Info("entry host stopping")
	h.leaving.Store(true)
	h.events.Push(gossipEvent{spread.Leave{}})
	// The balancer notices the failing readiness check; until then requests
	// that still arrive are served.
	err = h.waitIdle(ctx)
	h.listeners.shutdown(ctx)
	h.cancel()
	<-h.done
	return err
}

// balancerNotice is how long the balancer is given to notice that the host
// isn't ready any more. Requests that arrive until then are served.
const balancerNotice = time.Second

// successorSilence is five missed digests.
const successorSilence = clock.Second

// waitIdle waits for the balancer to send elsewhere, for the last request to
// end, and for the dispatcher role of all servers to be handed over; the last
// two at most for the drain span.
func (h *Host) waitIdle(ctx context.Context) error {
	limit := h.cfg.Drain().Std()
	end := time.NewTimer(limit)
	defer end.Stop()
	select {
	case <-ctx.Done():
	case <-time.After(min(balancerNotice, limit)):
	}
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for h.callers.Load() > 0 || !h.handedOver() {
		select {
		case <-ctx.Done():
			return errors.New("requests still in flight at the end of the time allowed")
		case <-end.C:
			return nil // the listeners still wait for requests in flight
		case <-tick.C:
		}
	}
	return nil
}

// handedOver reports whether no backend server is left to this host, or nobody
// is there to take them.
func (h *Host) handedOver() bool {
	if !h.hasSuccessor() {
		return true
	}
	for _, c := range h.cellList() {
		if c.serving() {
			return false
		}
	}
	return true
}

// hasSuccessor reports whether another host of the group was heard of lately
// and isn't stopping itself.
func (h *Host) hasSuccessor() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.heard {
		if !p.leaving && h.clk.Now().Sub(p.at) < successorSilence {
			return true
		}
	}
	return false
}

// Boot returns the id of this run.
func (h *Host) Boot() uint64 { return h.boot }

// PeerCounters returns the totals of messages to other entry hosts.
func (h *Host) PeerCounters() peers.Counters { return h.peers.Counters() }

// CallerAddr returns the address of the callers' listener.
func (h *Host) CallerAddr() string { return h.listeners.callerAddr() }

// OperatorAddr returns the address of the operators' listener.
func (h *Host) OperatorAddr() string { return h.listeners.operatorAddr() }

func (h *Host) cellList() []*cell {
	h.mu.Lock()
	defer h.mu.Unlock()
	cs := make([]*cell, 0, len(h.cells))
	for _, c := range h.cells {
		cs = append(cs, c)
	}
	return cs
}

// notify wakes the requests that wait for a change of routing. h.mu is held.
func (h *Host) notify() {
	close(h.changed)
	h.changed = make(chan struct{})
}

// wall returns the wall clock in Unix ms.
func wall() int64 { return time.Now().UnixMilli() }
