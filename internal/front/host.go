// Package front is the daemon of an entry host on the users' platform
// (`laburnummux front`), which provides a store, a balancer and backend servers
// that own their keys exclusively.
//
// Each host watches the configuration and the servers, reports its requests in
// flight to the other hosts in heartbeats, and sends callers' requests directly
// to the backend servers. One host at a time has the assigner's role as well: it
// assigns the keys of all keyed services to the backend servers. The role and
// the assignment are one record in the store; a host claims the role by a
// conditional write of it.
//
// The package reaches the platform's store, backend servers and formats through
// the interfaces Store, Granter and relay.Codec, which the adapter in platform/
// implements. The entry host of the stand-alone system is package entry, which
// has dispatchers and an elected assigner for each cell instead.
//
// # Usage
//
//	h := front.New(front.Config{Settings: s, Store: st, Granter: g, Codec: codec, ReadyPath: "/ready", Log: log})
//	err := h.Start(ctx)
//	...
//	err = h.Stop(ctx) // has the balancer remove the host and finishes the requests in flight
package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/budget"
	"github.com/laburnummux/laburnummux/internal/caller"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/head"
	"github.com/laburnummux/laburnummux/internal/intent"
	"github.com/laburnummux/laburnummux/internal/listen"
	"github.com/laburnummux/laburnummux/internal/mesh"
	"github.com/laburnummux/laburnummux/internal/owner"
	"github.com/laburnummux/laburnummux/internal/quota"
	"github.com/laburnummux/laburnummux/internal/relay"
	"github.com/laburnummux/laburnummux/internal/super"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// fallbackLimits apply until a configuration has been loaded.
var fallbackLimits = intent.Limits{
	HeaderBytes: 16 << 10, BodyBytes: 1 << 20, HeaderWait: 3 * clock.Second, Idle: 15 * clock.Second,
}

// Config has the dependencies of a Host.
type Config struct {
	Settings  Settings
	Reload    func() (Settings, error) // reads the settings again
	Store     Store
	Granter   Granter
	Codec     relay.Codec
	ReadyPath string
	Log       *zap.Logger
	Registry  *prometheus.Registry
}

// Host is a running entry host.
type Host struct {
	cfg         Config
	clock       *clock.Clock
	incarnation int64 // start of this process, Unix ms; distinguishes it from earlier ones of the host
	log         *zap.Logger
	relay       *relay.Relay
	callers     *caller.Server
	operators   *caller.Bounds // of the addresses other than the callers'
	mesh        *mesh.Conn
	admission   *admission
	members     *members
	role        *assignerRole
	dropped     droppedMessages
	tableParts  tableAssemblies // used by the goroutine that receives messages
	announced   versions        // in the last heartbeat; of the goroutine that sends heartbeats
	group       group           // as the relay has it; of the goroutine that sends heartbeats

	mu            sync.Mutex
	settings      Settings
	fleet         *fleet.Registry
	serversLoaded bool // the list of servers has been loaded
	storeFailedAt clock.Time
	storeUp       bool
	outage        storeOutage
	storeEpoch    uint64 // latest known epoch of the store
	sync          syncState
	changes       changeLog
	evac          evacuations
	roundsAt      [2]clock.Time // last two rounds of sendHeartbeats

	serverByHash      atomic.Pointer[map[mesh.ServerHash]keys.Server] // of the servers in the list
	watchFrom         clock.Time                                      // when the store may first be watched, see maxStartupWatchDelay
	leaving           atomic.Bool
	configAppliedAt   atomic.Int64  // when the configuration was applied, Unix ms
	heartbeatDue      chan struct{} // something that heartbeats report has changed
	snapshotAvailable chan struct{} // another host may have a newer snapshot
	cancel            context.CancelFunc
	stopped           chan struct{}
	callerListener    net.Listener
	listeners         []net.Listener
	metrics           *hostMetrics
	heads             *head.Reporter
}

// New returns a Host that isn't started.
func New(cfg Config) *Host {
	if cfg.Registry == nil {
		cfg.Registry = prometheus.NewRegistry()
	}
	h := &Host{
		cfg: cfg, clock: clock.System(), incarnation: time.Now().UnixMilli(), log: cfg.Log, settings: cfg.Settings,
		fleet: fleet.NewRegistry(restoredHoldIntervals*cfg.Settings.RegistrationInterval, cfg.Settings.registrationGrace()), watchFrom: clock.Time(minStartupWatchDelay + rand.N(maxStartupWatchDelay-minStartupWatchDelay)), heartbeatDue: make(chan struct{}, 1), snapshotAvailable: make(chan struct{}, 1), stopped: make(chan struct{}), storeUp: true,
	}
	cfg.Registry.MustRegister(collectors.NewGoCollector())
	h.metrics = newHostMetrics(cfg.Registry)
	h.heads = head.NewReporter(cfg.Registry, cfg.Log)
	s := cfg.Settings
	s.registerFeatures(cfg.Registry)
	h.members = newMembers(s)
	h.members.listsFrom = h.clock.Now().Add(startQuiet)
	h.admission = newAdmission(h)
	h.tableParts = make(tableAssemblies)
	bodies := h.newBodyBudget()
	h.relay = relay.New(h.relayConfig(bodies))
	m := caller.NewMetrics(cfg.Registry, bodies)
	maxConns := s.maxCallerConns()
	h.callers = caller.New(caller.Config{
		Handle: h.relay.Handle, Limits: h.limits, Version: h.ConfigVersion, Log: cfg.Log,
		Budget: bodies, MaxConns: maxConns, ReadBuffer: s.capacity().CallerBounds(maxConns).ReadBuffer, Metrics: m,
	})
	h.operators = caller.NewBounds("operators", s.maxOperatorConns(), bodies, m, cfg.Log)
	h.role = newAssignerRole(h)
	return h
}

// relayConfig returns the configuration of the relay. It registers the
// relay's metrics, so it must be called only once.
func (h *Host) relayConfig(bodies *budget.Budget) relay.Config {
	cfg, s := h.cfg, h.cfg.Settings
	return relay.Config{
		Clock: h.clock, Codec: cfg.Codec, DC: s.DC, Log: cfg.Log, LoadChanged: h.triggerHeartbeat,
		DrainTimeout: s.DrainTimeout, ServerLeaving: h.serverLeaving, WarmupChanged: h.warmupChanged, ColdOver: s.ColdOver, ColdSlack: s.ColdSlack,
		RetryBudget: quota.Config{Ratio: s.BudgetRatio, Slack: s.BudgetSlack, Window: s.BudgetWindow},
		Metrics:     relay.NewMetrics(cfg.Registry), Heads: h.heads, Admitter: h.admission, Budget: bodies,
		ColdAdmissionOnly: s.disables(Admission), NoSlowStart: s.disables(SlowStart), IgnoreSlowdown: s.disables(Slowdown),
	}
}

func (h *Host) limits() intent.Limits {
	if c := h.relay.Config(); c != nil {
		return c.Limits()
	}
	return fallbackLimits
}

// triggerHeartbeat has a heartbeat sent without waiting for the interval.
func (h *Host) triggerHeartbeat() {
	select {
	case h.heartbeatDue <- struct{}{}:
	default:
	}
}

// serverLeaving has the keys of a leaving server moved, and the other hosts told.
func (h *Host) serverLeaving() {
	h.role.notifyServersChanged()
	h.triggerHeartbeat()
}

// Start opens the listeners and starts the workers.
func (h *Host) Start(context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("front: start: %w", err)
		}
	}()
	s := h.cfg.Settings
	if h.mesh, err = mesh.Listen(s.IP, s.MeshPort); err != nil {
		return err
	}
	if h.callerListener, err = listen.Open(s.Callers, s.capacity().CallerBounds(s.maxCallerConns())); err != nil {
		return err
	}
	if err = h.serveHTTP(); err != nil {
		return err
	}
	root := super.New("front", h.log)
	root.Add("relay", h.relay.Run)
	root.Add("mesh", h.receive)
	root.Add("admission", h.admission.run)
	root.Add("beat", h.sendHeartbeats)
	root.Add("config", h.watchConfig)
	root.Add("servers", h.watchServers)
	if s.evacuates() {
		root.Add("evacuations", h.watchEvacuations)
	}
	root.Add("view", h.fetchSnapshots)
	root.Add("duty", h.role.run)
	root.Add("join", h.join)
	root.Add("reload", h.reload)
	var ctx context.Context
	ctx, h.cancel = context.WithCancel(context.Background())
	go h.loop(ctx, root)
	acc := &acceptor{host: h}
	go acc.run(ctx)
	h.triggerHeartbeat() // seeds respond to the first heartbeat with the list of hosts
	h.log.Info("start", zap.String("host", string(s.Host)), zap.String("dc", string(s.DC)), zap.Int64("run", h.incarnation), zap.String("store", s.Store))
	s.logFeatures(h.log)
	return nil
}

// loop runs the workers until the host stops.
func (h *Host) loop(ctx context.Context, root *super.Supervisor) {
	defer close(h.stopped)
	if err := root.Run(ctx); err != nil {
		h.log.Error("supervisor failed", zap.Error(err))
	}
}

// acceptor serves callers' connections.
type acceptor struct{ host *Host }

func (a *acceptor) run(ctx context.Context) {
	if err := a.host.callers.Run(ctx, a.host.callerListener); err != nil {
		a.host.log.Error("listener for callers failed", zap.Error(err))
	}
}

// applyTables applies tables of key owners that come from the assigner or the
// store, and logs those that are newer than the known ones.
func (h *Host) applyTables(ts []owner.Table) {
	for _, t := range ts {
		if t, ok := h.members.applyTable(t); ok {
			h.log.Info("owners", zap.String("service", string(t.Service)), zap.Uint64("term", t.Term),
				zap.Uint64("version", t.Version), zap.Int("spans", len(t.Spans)))
			h.relay.SetTable(t)
		}
	}
}
