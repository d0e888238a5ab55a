package entry

import (
	"context"
	"slices"
	"sync"

	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/internal/dedup"
	"github.com/laburnummux/laburnummux/internal/elect"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/internal/lease"
	"github.com/laburnummux/laburnummux/internal/peerpb"
	"github.com/laburnummux/laburnummux/internal/retry"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"go.uber.org/zap"
)

const (
	// tableCollectTime is how long a new assigner waits for the copies of the
	// assignment from the other hosts of the group, which arrive after a round
	// trip. The wait prolongs the time without an assigner.
	tableCollectTime = 30 * clock.Millisecond
	// assignerTimeout is the time without a reply of the assigner after which
	// renewals are sent to all hosts of the group, until the new assigner is
	// known.
	assignerTimeout = 2 * grant.RenewalInterval
)

// RecordsMissingMessage is logged when a dispatcher takes over a range without
// the deduplication records of the previous dispatcher, whose lease expired.
const RecordsMissingMessage = "took over a range without its deduplication records; retries of earlier requests are answered unknown"

// cell is the state of this host for one cell of its group. The host is a voter
// in, or a candidate for, the election of the assigner, it may be the assigner,
// and it is the dispatcher of some of the cell's backend servers.
type cell struct {
	host     *Host
	name     keys.Cell
	interval keys.Range
	store    *cellStore
	ctx      context.Context
	cancel   context.CancelFunc

	// mu guards the fields below. The control worker holds it for each event,
	// and the goroutines of requests hold it for each decision.
	mu             sync.Mutex
	svc            config.Service
	elect          *elect.State
	assign         *assign.State
	leases         *lease.State
	dedup          *dedup.State
	quarantine     *retry.Quarantine
	suspectsSentAt clock.Time // when the suspect records were last sent to other hosts
	backends       map[keys.Server]*backend
	duplicates     map[dedup.Token][]chan result // requests that wait for one with the same id
	unsent         map[dedup.Token]keys.Hash     // non-idempotent requests not yet sent to a server
	floors         map[keys.Fence]dedup.WallTime // ids generated up to the floor that have no record are answered "unknown"
	floorSet       map[grantKey]bool             // grants for whose range the floor is set
	servers        map[keys.Server]grant.Server

	lists           listCache
	table           assign.Table
	electedTerm     uint32 // term for which copies of the assignment are being collected, 0 if none
	electedAt       clock.Time
	term            uint32 // term of the assigner on this host, 0 if it isn't the assigner
	roleTerm        uint32 // newest term of this host's assigner role; exceeds term if it has increased since
	seenTerm        uint32 // newest term of an assigner in a received message
	assigner        keys.Host
	assignerReplyAt clock.Time // when the assigner last replied
}

type grantKey struct {
	hashes keys.Range
	fence  keys.Fence
}

func newCell(ctx context.Context, h *Host, name keys.Cell, interval keys.Range, svc config.Service) *cell {
	c := &cell{
		host: h, name: name, interval: interval, store: newCellStore(h, name), svc: svc,
		elect: elect.New(elect.Config{
			Self: h.self, Incarnation: h.incarnation, Cell: name, Group: h.settings.Group(), Seed: h.incarnation ^ uint64(keys.HashOf(name.Service, name.String())),
		}),
		assign:     assign.New(assign.Config{Cell: name, Interval: interval, Policy: policyOf(svc), InFlightTime: settleTime(svc)}),
		leases:     lease.New(lease.Config{Cell: name, Host: h.self}),
		dedup:      dedup.New(dedup.Config{}),
		quarantine: retry.NewQuarantine(retry.QuarantineConfig{}),
		backends:   make(map[keys.Server]*backend),
		duplicates: make(map[dedup.Token][]chan result),
		unsent:     make(map[dedup.Token]keys.Hash),
		floors:     make(map[keys.Fence]dedup.WallTime),
		floorSet:   make(map[grantKey]bool),
		servers:    make(map[keys.Server]grant.Server),
	}
	c.ctx, c.cancel = context.WithCancel(ctx)
	go c.store.run(c.ctx)
	return c
}

func policyOf(svc config.Service) assign.Policy {
	if svc.Policy() == config.LeastChurn {
		return assign.LeastChurn
	}
	return assign.LeastUnavailable
}

// settleTime returns how long a request of a lost dispatcher may still run at a
// server that doesn't check fencing tokens. Such a server stops a request when
// the timeout that it received with the request has passed.
func settleTime(svc config.Service) clock.Span {
	longest := clock.Span(0)
	for _, op := range svc.Operations() {
		longest = max(longest, op.Timeout())
	}
	return longest + 2*grant.LeaseTime
}

func (c *cell) stop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cancel()
	for _, b := range c.backends {
		b.stop()
	}
}

// tick steps the decision packages' states for the cell with the current time and
// expires queued calls.
func (c *cell) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.host.clk.Now()
	c.stepElect(now, elect.Tick{})
	if c.electedTerm != 0 && now.Sub(c.electedAt) >= tableCollectTime {
		c.startTerm(now)
	}
	c.stepAssign(now, assign.Tick{})
	c.stepLeases(now, lease.Tick{})
	c.republishSuspects(now)
	for _, b := range c.backends {
		b.expire(now)
	}
}

// step applies an event of package elect, assign or lease.
func (c *cell) step(ev any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.host.clk.Now()
	switch ev := ev.(type) {
	case elect.Event:
		c.stepElect(now, ev)
	case assign.Event:
		c.stepAssign(now, ev)
	case lease.Event:
		c.stepLeases(now, ev)
	}
}

func (c *cell) stepElect(now clock.Time, ev elect.Event) {
	if a, ok := ev.(elect.PromiseRequested); ok && a.Term != 0 && c.term == 0 {
		c.assigner = a.From
	}
	for _, a := range c.elect.Step(now, ev) {
		switch a := a.(type) {
		case elect.PromiseRequest:
			c.host.peers.Send(a.To, promiseAskToWire(c.name, a))
		case elect.PromiseResponse:
			c.host.peers.Send(a.To, promiseReplyToWire(c.name, a))
		case elect.PromiseRelease:
			c.host.peers.Send(a.To, promiseReleaseToWire(c.name, a))
		case elect.ReadRole:
			c.store.ops.Push(readRole{a.Op})
		case elect.WriteRole:
			c.store.ops.Push(writeRole{a.Op, a.Role, a.IfVersion})
		case elect.Elected:
			c.roleWon(now, a.Term)
		case elect.Deposed:
			c.roleLost(now)
		}
	}
}

// roleWon starts to collect the copies of the assignment, before the term starts.
func (c *cell) roleWon(now clock.Time, term uint32) {
	c.roleTerm = term
	if c.term != 0 || c.electedTerm != 0 {
		return // only the term has increased; the role was held throughout
	}
	c.host.metrics.Election(c.name, "elected")
	c.host.log.Info("elected as assigner; collecting copies of the assignment", zap.Stringer("cell", c.name), zap.Uint32("term", term))
	c.assigner = c.host.self
	c.electedTerm, c.electedAt = term, now
	req := &peerpb.Message{Body: &peerpb.Message_TableAsk{TableAsk: &peerpb.TableAsk{
		Cell: cellToWire(c.name), Term: c.table.Term, Version: c.table.Version, ElectedTerm: term,
	}}}
	for _, g := range c.host.otherGroupHosts() {
		c.host.peers.Send(g, req)
	}
	c.store.ops.Push(readRole{})
}

// startTerm starts the assigner with the newest copy of the assignment.
func (c *cell) startTerm(now clock.Time) {
	c.term, c.electedTerm = c.electedTerm, 0
	c.updateMembersLocked(now)
	c.stepAssign(now, assign.Elected{Term: c.term, Assignment: c.table.Assignment})
}

func (c *cell) roleLost(now clock.Time) {
	c.host.metrics.Election(c.name, "lost")
	c.host.log.Info("lost the assigner role", zap.Stringer("cell", c.name), zap.Uint32("term", c.term))
	c.electedTerm, c.term = 0, 0
	c.assigner = ""
	c.applyAssignActions(now, c.assign.Step(now, assign.Deposed{}))
}

func (c *cell) stepAssign(now clock.Time, ev assign.Event) {
	if c.term == 0 {
		return
	}
	if term, ok := c.elect.Holding(now); !ok || term != c.roleTerm {
		return
	}
	c.applyAssignActions(now, c.assign.Step(now, ev))
}

func (c *cell) applyAssignActions(now clock.Time, acts []assign.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case assign.Reply:
			if a.To != c.host.self {
				c.host.peers.Send(a.To, c.lists.shortenReply(a.To, grantToWire(c.name, a)))
			} else if a.Incarnation == c.host.incarnation {
				c.applyGrant(now, lease.Reply{Nonce: a.Nonce, Term: a.Term, Seq: a.Seq, LeaseTime: a.LeaseTime, Servers: a.Servers})
			}
		case assign.Store:
			c.store.ops.Push(writeAssignment{a.Assignment})
		case assign.Publish:
			c.publish(a.Table)
		}
	}
}

func (c *cell) publish(t assign.Table) {
	c.updateTable(t, c.host.self)
	m, err := tableToWire(c.host.self, t)
	if err != nil {
		c.host.log.Error("cannot encode the routing table; not publishing it", zap.Error(err))
		return
	}
	for _, g := range c.host.otherGroupHosts() {
		c.host.peers.Send(g, m)
	}
}

// updateTable keeps the newest copy of the assignment, for a later election, and
// updates the routing.
func (c *cell) updateTable(t assign.Table, assigner keys.Host) {
	if t.Newer(c.table.Assignment) || !c.table.Newer(t.Assignment) && t.Stored {
		c.table = t
	}
	c.host.updateRoute(routeTable(t, assigner))
}

func (c *cell) stepLeases(now clock.Time, ev lease.Event) {
	acts := c.leases.Step(now, ev)
	c.syncBackends(now)
	for _, a := range acts {
		switch a := a.(type) {
		case lease.Renewal:
			c.renew(now, a)
		case lease.Push:
			if b := c.backends[a.Server]; b != nil {
				b.grantPushes.Replace(a)
			}
		case lease.Transfer:
			c.transferRecords(now, a)
		}
	}
}

// renew sends a renewal of the leases to the assigner, or to the whole group
// while the assigner isn't known.
func (c *cell) renew(now clock.Time, a lease.Renewal) {
	if c.term != 0 {
		c.stepAssign(now, assign.Renewal{From: c.host.self, Incarnation: c.host.incarnation, Nonce: a.Nonce, Ack: a.Ack, Servers: a.Servers})
		return
	}
	m := c.lists.shortenAsk(c.assigner, now.Sub(c.assignerReplyAt) < assignerTimeout, renewToWire(c.name, a))
	if c.assigner != "" && c.assigner != c.host.self && now.Sub(c.assignerReplyAt) < assignerTimeout {
		c.host.peers.Send(c.assigner, m)
		return
	}
	for _, g := range c.host.otherGroupHosts() {
		c.host.peers.Send(g, m)
	}
}

// handleRenewAsk handles a renewal from the dispatcher on another host.
func (c *cell) handleRenewAsk(from keys.Host, incarnation uint64, m *peerpb.RenewAsk) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term != 0 && c.lists.expandAsk(from, incarnation, m) {
		c.stepAssign(c.host.clk.Now(), renewFromWire(from, incarnation, m))
	}
}

// handleRenewReply handles the reply of the assigner on another host.
func (c *cell) handleRenewReply(from keys.Host, m *peerpb.RenewReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.host.clk.Now()
	if !c.lists.expandReply(from, m) {
		return
	}
	g := grantFromWire(m)
	c.assigner, c.assignerReplyAt = from, now
	c.applyGrant(now, g)
}

func (c *cell) applyGrant(now clock.Time, g lease.Reply) {
	c.setFloors(g)
	c.stepLeases(now, g)
}

// setFloors prepares deduplication for new grants. If this host doesn't have the
// records of the previous dispatcher, requests with ids from before now may have
// run, so a floor makes them "unknown".
func (c *cell) setFloors(g lease.Reply) {
	live := make(map[keys.Fence]bool)
	for _, s := range g.Servers {
		c.servers[s.Server] = grant.Server{Server: s.Server, Address: s.Address, ChecksFences: s.ChecksFences}
		for _, e := range s.Grants {
			live[e.Fence] = true
			k := grantKey{e.Range, e.Fence}
			if e.Complete || e.Releasing || c.floorSet[k] {
				continue
			}
			c.floorSet[k] = true
			floor, ok := c.floors[e.Fence]
			if !ok {
				floor = dedup.WallTime(unixMilli()).Add(dedup.TakeoverMargin)
				c.floors[e.Fence] = floor
				c.host.log.Info(RecordsMissingMessage,
					zap.Stringer("cell", c.name), zap.Stringer("range", e.Range), zap.Stringer("fence", e.Fence),
					zap.String("server", string(s.Server)), zap.Int64("floorMs", int64(floor)))
			}
			c.dedup.SetFloor(e.Range, e.Fence, floor)
		}
	}
	for k := range c.floorSet {
		if !live[k.fence] {
			delete(c.floorSet, k)
			delete(c.floors, k.fence)
		}
	}
}

// isDispatcher reports whether this host has a lease for a backend server and is
// therefore its dispatcher.
func (c *cell) isDispatcher() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.ContainsFunc(c.leases.Dump().Servers, func(s lease.ServerDump) bool { return len(s.Leases) > 0 })
}

// syncBackends creates and removes entries of backends, so that there is one for
// each backend server that this host dispatches to. The entry of another server is
// kept until its calls have ended and a probe has decided its lost attempts.
func (c *cell) syncBackends(now clock.Time) {
	names := c.leases.Servers()
	for name, b := range c.backends {
		if !slices.Contains(names, name) && b.idle() {
			b.stop()
			delete(c.backends, name)
		}
	}
	for _, name := range names {
		if c.backends[name] == nil {
			if s := c.servers[name]; s.Address != "" {
				c.backends[name] = newBackend(c, s)
			}
		}
	}
}
