// Package entry is the daemon of an entry host of the stand-alone system
// (`laburnummux serve`).
//
// Each backend server has one dispatcher, each cell has an elected assigner, and
// the hosts exchange heartbeats and the configuration by gossip. The store is
// accessed with the client of package store. The entry host on the users'
// platform is package front: it sends requests directly to the backend servers,
// and one assigner serves all keyed services.
//
// The package connects the decision packages, which are pure, to callers, other
// entry hosts, backend servers, the platform's store and operators. Each worker
// has one goroutine. Events reach the decision packages through bounded queues,
// and this package executes the actions that they return.
//
// # Terms
//
// A cell is the part of a service's hash space that the backend servers of one
// data centre own; a data centre may have several cells of a service. The
// entry hosts of a group elect one of them as the assigner of the cell, which
// assigns ranges of the hash space to backend servers, and backend servers to
// dispatchers. A dispatcher is the only entry host that sends requests to its
// backend servers; other hosts relay requests to it.
//
// # Usage
//
//	h := entry.New(entry.Config{Settings: settings, Store: st, Log: log})
//	err := h.Start(ctx)
//	...
//	err = h.Stop(ctx) // finishes the requests in flight
//
// # Listeners
//
// The callers listener serves callers' requests only. The relay listener serves
// requests that other entry hosts forward. The peers listener serves the gRPC
// exchange between entry hosts. The operators listener serves health checks,
// metrics, the state dump and operators' commands.
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
	"github.com/laburnummux/laburnummux/internal/gossip"
	"github.com/laburnummux/laburnummux/internal/head"
	"github.com/laburnummux/laburnummux/internal/peers"
	"github.com/laburnummux/laburnummux/internal/proxy"
	"github.com/laburnummux/laburnummux/internal/retry"
	"github.com/laburnummux/laburnummux/internal/ring"
	"github.com/laburnummux/laburnummux/internal/route"
	"github.com/laburnummux/laburnummux/internal/stats"
	"github.com/laburnummux/laburnummux/internal/store"
	"github.com/laburnummux/laburnummux/internal/super"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"go.uber.org/zap"
)

// eventQueueSize bounds the queue of control events. At 100 events per second
// and cell it holds several seconds of events.
const eventQueueSize = 4096

// Config is the configuration of a Host.
type Config struct {
	Settings config.Settings
	Store    store.Store
	Log      *zap.Logger
	// Audit receives one line per operator's call that changes state; nil means
	// Log.
	Audit *zap.Logger
	// Checkers are files, used by other parts of the process, that the host
	// checks for changes.
	Checkers []certs.Checker
}

// Host is an entry host.
type Host struct {
	settings    config.Settings
	self        keys.Host
	incarnation uint64
	clk         *clock.Clock
	log         *zap.Logger
	store       store.Store
	metrics     *stats.Metrics
	heads       *head.Reporter
	peers       *peers.Peers
	events      *ring.Ring[event]
	supervisor  *super.Supervisor
	listeners   *listeners
	started     time.Time
	security    security
	checkers    []certs.Checker
	auditLog    *zap.Logger
	intake      *intake

	leaving  atomic.Bool
	inFlight atomic.Int64  // callers' requests
	attempts atomic.Uint64 // total; numbers the attempts for their IDs
	ready    atomic.Bool   // the newest available revision is in force
	watching atomic.Bool   // this host watches the store

	readStore chan struct{} // requests one read of the configuration from the store

	mu             sync.Mutex
	router         *route.State
	config         config.Config
	revision       config.Revision
	inForceSince   time.Time // when the revision took effect on this host
	services       map[keys.Service]*service
	cells          map[keys.Cell]*cell
	members        map[string]store.Member
	relayPools     map[keys.Host]*proxy.Pool
	gossip         *gossip.State
	peerStates     map[keys.Host]peerState // by host of the group
	routingChanged chan struct{}           // closed when routing changes

	cancel context.CancelFunc
	done   chan struct{}
}

// peerState is the last known state of another host of the group.
type peerState struct {
	incarnation   uint64
	lastMessageAt clock.Time
	leaving       bool
}

// service is a service of the configuration with its retry state.
type service struct {
	config.Service
	mu    sync.Mutex
	retry *retry.State
}

// New returns a Host. Start starts it.
func New(cfg Config) *Host {
	incarnation := newIncarnation()
	h := &Host{
		settings: cfg.Settings, self: cfg.Settings.Host(), incarnation: incarnation, clk: clock.System(),
		checkers: cfg.Checkers, log: cfg.Log.With(zap.String("host", string(cfg.Settings.Host()))),
		store: cfg.Store, metrics: stats.New(), events: ring.New[event](eventQueueSize), started: time.Now(),
		router: route.New(incarnation), services: make(map[keys.Service]*service), cells: make(map[keys.Cell]*cell),
		members: make(map[string]store.Member), relayPools: make(map[keys.Host]*proxy.Pool),
		routingChanged: make(chan struct{}), peerStates: make(map[keys.Host]peerState), readStore: make(chan struct{}, 1),
	}
	h.gossip = gossip.New(gossip.Config{
		Host: h.self, Incarnation: incarnation, DataCentre: h.settings.DataCentre(), Group: h.settings.Group(), Seed: incarnation,
	})
	h.auditLog = cmp.Or(cfg.Audit, cfg.Log).Named("audit").With(zap.String("host", string(h.self)))
	h.peers = peers.New(h.self, incarnation, h.receive, h.log)
	h.metrics.Register(&collector{h})
	h.heads = head.NewReporter(h.metrics.Registry(), h.log)
	h.intake = h.newIntake()
	return h
}

// recordStoreCall counts a call to the store.
func (h *Host) recordStoreCall(call string, err error) {
	h.metrics.Store(call, err)
	h.heads.Report(head.SourceStore, err)
}

// newIncarnation returns the ID of a new incarnation of the host, which is higher
// than those of earlier incarnations.
func newIncarnation() uint64 {
	const randomBits = 20
	return uint64(unixMilli())<<randomBits | rand.Uint64N(1<<randomBits)
}

// Start opens the listeners and starts the workers of the host.
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
	h.supervisor = super.New("entry", h.log)
	h.supervisor.Add("listeners", h.listeners.run)
	h.supervisor.Add("peers", h.peers.Run)
	h.supervisor.Add("control", h.control)
	h.supervisor.Add("members", h.pollMembers)
	h.supervisor.Add("configuration", h.followConfig)
	h.supervisor.Add("files", h.pollFiles)
	go h.run(ctx)
	h.log.Info("entry host started", zap.Uint64("boot", h.incarnation), zap.String("callers", h.listeners.callerAddr()))
	return nil
}

func (h *Host) run(ctx context.Context) {
	defer close(h.done)
	h.supervisor.Run(ctx)
}

// Stop fails the readiness check, finishes the requests in flight, hands the
// backend servers of this host over to other dispatchers, and stops the workers.
// The context bounds the wait.
func (h *Host) Stop(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("entry.Stop: %w", err)
		}
	}()
	h.log.Info("entry host stopping")
	h.leaving.Store(true)
	h.events.Push(gossipEvent{gossip.Leave{}})
	// The balancer stops sending requests after its next readiness check; until
	// then requests are served as usual.
	err = h.waitIdle(ctx)
	h.listeners.shutdown(ctx)
	h.cancel()
	<-h.done
	return err
}

// deregistrationDelay is the time in which the balancer detects that the host
// is no longer ready. Requests that arrive in this time are served.
const deregistrationDelay = time.Second

// successorTimeout is the time after its last message at which a host no longer
// counts as a successor: five missed digests.
const successorTimeout = clock.Second

// waitIdle waits until the balancer sends no more requests, the last request has
// ended, and other dispatchers have taken over all backend servers. The last two
// conditions are waited for at most as long as the drain setting allows.
func (h *Host) waitIdle(ctx context.Context) error {
	limit := h.settings.DrainTimeout().Std()
	end := time.NewTimer(limit)
	defer end.Stop()
	select {
	case <-ctx.Done():
	case <-time.After(min(deregistrationDelay, limit)):
	}
	tick := time.NewTicker(20 * time.Millisecond)
	defer tick.Stop()
	for h.inFlight.Load() > 0 || !h.handedOver() {
		select {
		case <-ctx.Done():
			return errors.New("stop deadline passed with requests in flight or backend servers not handed over")
		case <-end.C:
			return nil // shutdown of the listeners waits for requests in flight
		case <-tick.C:
		}
	}
	return nil
}

// handedOver reports whether this host dispatches to no backend server any more,
// or no other host can take over its backend servers.
func (h *Host) handedOver() bool {
	if !h.hasSuccessor() {
		return true
	}
	for _, c := range h.cellList() {
		if c.isDispatcher() {
			return false
		}
	}
	return true
}

// hasSuccessor reports whether another host of the group has sent a message
// within successorTimeout and isn't stopping.
func (h *Host) hasSuccessor() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, p := range h.peerStates {
		if !p.leaving && h.clk.Now().Sub(p.lastMessageAt) < successorTimeout {
			return true
		}
	}
	return false
}

// Incarnation returns the ID of this incarnation of the host.
func (h *Host) Incarnation() uint64 { return h.incarnation }

// PeerCounters returns the counters of messages to other entry hosts.
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

// signalRoutingChange wakes the requests that wait for a change of routing. The
// caller must hold h.mu.
func (h *Host) signalRoutingChange() {
	close(h.routingChanged)
	h.routingChanged = make(chan struct{})
}

// unixMilli returns the wall clock time in Unix milliseconds.
func unixMilli() int64 { return time.Now().UnixMilli() }
