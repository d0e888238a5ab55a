package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/laburnummux/laburnummux/internal/apply"
	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/internal/gossip"
	"github.com/laburnummux/laburnummux/internal/retry"
	"github.com/laburnummux/laburnummux/internal/route"
	"github.com/laburnummux/laburnummux/internal/store"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"go.uber.org/zap"
)

const (
	// ConfigObject is the store object with the configuration in force.
	ConfigObject = apply.CurrentObject

	minMembersInterval       = 500 * time.Millisecond
	maxMembersReadsPerSecond = 80 // reads of the host list by all hosts together
	storeCallTimeout         = time.Second
	watchTimeout             = 10 * time.Second
	watchRetryDelay          = 200 * time.Millisecond
)

// pollMembers reads the host list periodically.
func (h *Host) pollMembers(ctx context.Context) error {
	for {
		h.readMembers(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(h.membersInterval()):
		}
	}
}

// membersInterval returns the interval of reads of the host list. It grows with the
// number of entry hosts, so that they read the list at most
// maxMembersReadsPerSecond times a second together.
func (h *Host) membersInterval() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	entryHosts := 0
	for _, m := range h.members {
		if m.Role() == store.RoleEntry {
			entryHosts++
		}
	}
	return max(minMembersInterval, time.Duration(entryHosts)*time.Second/maxMembersReadsPerSecond)
}

func (h *Host) readMembers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	members, err := h.store.Hosts(ctx)
	h.recordStoreCall("hosts", err)
	if err != nil {
		return // keeps the previous list
	}
	h.setMembers(members)
}

func (h *Host) setMembers(members []store.Member) {
	addrs := make(map[keys.Host]string)
	m := make(map[string]store.Member, len(members))
	var entryHosts []gossip.Member
	for _, x := range members {
		m[x.Name()] = x
		if x.Role() == store.RoleEntry {
			addrs[keys.Host(x.Name())] = x.Addresses().Peers
			entryHosts = append(entryHosts, gossip.Member{
				Host: keys.Host(x.Name()), DataCentre: x.DataCentre(), Leaving: x.State() == store.StateLeaving,
			})
		}
	}
	h.mu.Lock()
	h.members = m
	h.mu.Unlock()
	h.peers.SetAddresses(addrs)
	h.events.Push(gossipEvent{gossip.HostList{Members: entryHosts}})
	for _, c := range h.cellList() {
		c.updateMembers()
	}
}

func (c *cell) updateMembers() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.updateMembersLocked(c.host.clk.Now())
}

// updateMembersLocked passes the backend servers of the host list and the entry
// hosts of the group to the assigner, if this host has that role. The caller must
// hold c.mu.
func (c *cell) updateMembersLocked(now clock.Time) {
	if c.term == 0 {
		return
	}
	c.host.mu.Lock()
	members := make([]store.Member, 0, len(c.host.members))
	for _, m := range c.host.members {
		members = append(members, m)
	}
	leaving := map[keys.Host]bool{c.host.self: c.host.leaving.Load()}
	for name, p := range c.host.peerStates {
		leaving[name] = p.leaving
	}
	c.host.mu.Unlock()
	for name, l := range leaving {
		c.stepAssign(now, assign.HostListed{Host: name, Live: true, Leaving: l})
	}
	listed := make(map[keys.Server]bool)
	for _, m := range members {
		if c.ownsServer(m) {
			listed[keys.Server(m.Name())] = true
			state := assign.Ready
			if m.State() == store.StateLeaving || c.host.drainOrdered(keys.Server(m.Name())) {
				state = assign.Leaving
			}
			c.stepAssign(now, c.serverListed(m, state))
		}
	}
	if len(members) == 0 {
		return // the host list was not read yet
	}
	for _, o := range c.table.Owners {
		if !listed[o.Name] {
			c.stepAssign(now, assign.ServerListed{Server: o.Name, Address: o.Address, ChecksFences: o.ChecksFences, State: assign.Gone})
		}
	}
}

// ownsServer reports whether a member is a backend server of this cell. If a data
// centre has several cells of a service, the hash of a server's name selects one.
func (c *cell) ownsServer(m store.Member) bool {
	if m.Role() != store.RoleBackend || m.Service() != c.name.Service || m.DataCentre() != c.name.DataCentre {
		return false
	}
	return cellIndex(c.svc, m) == c.name.Index
}

// cellIndex returns the index of a backend server's cell in its data centre.
func cellIndex(svc config.Service, m store.Member) int {
	cells := 1
	for _, dc := range svc.DataCentres() {
		if dc.Name() == m.DataCentre() {
			cells = max(dc.Cells(), 1)
		}
	}
	return int(uint64(keys.HashOf(m.Service(), m.Name())) % uint64(cells))
}

func (c *cell) serverListed(m store.Member, state assign.Listing) assign.ServerListed {
	srv := c.svc.Server()
	return assign.ServerListed{
		Server: keys.Server(m.Name()), Address: m.Addresses().Requests, Slots: srv.Slots(), Weight: 1,
		ChecksFences: srv.ChecksFences(), State: state,
	}
}

// followConfig reads the configuration from the store when the gossip requests
// it, and watches it while this host is one of its data centre's watchers.
func (h *Host) followConfig(ctx context.Context) error {
	since := uint64(0)
	for {
		if !h.watching.Load() {
			since = 0
			select {
			case <-ctx.Done():
				return nil
			case <-h.readStore:
			}
		}
		next, err := h.watchConfig(ctx, since)
		if err == nil {
			since = next
			continue
		}
		if ctx.Err() == nil {
			h.events.Push(gossipEvent{gossip.StoreReadFailed{}})
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(watchRetryDelay):
		}
	}
}

// watchConfig reads the configuration object if since is 0, or else waits for a
// change after the version since.
func (h *Host) watchConfig(ctx context.Context, since uint64) (next uint64, err error) {
	defer func() { h.recordStoreCall("watch", err) }()
	if since == 0 {
		cctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
		defer cancel()
		obj, err := h.store.Get(cctx, ConfigObject)
		if errors.Is(err, store.ErrNotFound) {
			h.events.Push(gossipEvent{gossip.StoreRead{}})
			return 0, err
		}
		if err != nil {
			return 0, err
		}
		h.handleConfigObject(obj)
		return obj.Version(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, watchTimeout)
	defer cancel()
	changes, rev, err := h.store.Watch(ctx, ConfigObject, since)
	if err != nil {
		return since, err
	}
	for _, o := range changes {
		if o.Name() == ConfigObject {
			h.handleConfigObject(o)
		}
	}
	return max(rev, since), nil
}

// handleConfigObject passes a revision from the store to the gossip.
func (h *Host) handleConfigObject(o store.Object) {
	rev, err := config.DecodeRevision(o.Value())
	if err != nil {
		h.log.Error("cannot decode the configuration in the store; ignoring it", zap.Error(err))
		return
	}
	h.events.Push(gossipEvent{gossip.StoreRead{Revision: rev.Number(), Body: o.Value()}})
}

// applyRevision puts a configuration revision in force, unless this host has it
// or a later one already.
func (h *Host) applyRevision(b []byte) {
	rev, err := config.DecodeRevision(b)
	if err != nil {
		h.log.Error("cannot decode a configuration revision; ignoring it", zap.Error(err))
		return
	}
	conf, ok := rev.Site(h.settings.DataCentre())
	if !ok {
		h.log.Error("configuration revision has no site for this data centre; ignoring it", zap.Uint64("revision", rev.Number()))
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !apply.Newer(h.revision, rev) {
		return
	}
	h.revision, h.config, h.inForceSince = rev, conf, time.Now()
	h.log.Info("put configuration revision in force", zap.Uint64("revision", rev.Number()), zap.String("author", rev.Author()))
	layouts := make(map[keys.Service]route.Layout)
	services := make(map[keys.Service]*service)
	for _, svc := range conf.Services() {
		layouts[svc.Name()] = svc.Cells()
		s := &service{Service: svc}
		if old := h.services[svc.Name()]; old != nil && old.RetryBudget() == svc.RetryBudget() {
			s.retry = old.retry
		} else {
			rc := retry.Defaults(h.incarnation)
			rc.TokensPerRequest, rc.MaxRedirects = svc.RetryBudget(), 2
			s.retry = retry.New(rc)
		}
		services[svc.Name()] = s
	}
	h.services = services
	h.router.SetLayouts(layouts)
	h.listeners.setCallerRoutes(h.callerRoutes(conf))
	h.signalRoutingChange()
	h.events.Push(configEvent{})
}

// syncCells starts and stops cells so that they match the configuration. It runs
// on the control worker.
func (h *Host) syncCells(ctx context.Context) {
	h.mu.Lock()
	want := make(map[keys.Cell]bool)
	var stopped []*cell
	kept := make(map[*cell]config.Service)
	for _, svc := range h.config.Services() {
		for _, p := range svc.Cells() {
			if p.Cell.DataCentre != h.settings.DataCentre() {
				continue
			}
			want[p.Cell] = true
			if c := h.cells[p.Cell]; c != nil {
				kept[c] = svc
				continue
			}
			h.cells[p.Cell] = newCell(ctx, h, p.Cell, p.Range, svc)
		}
	}
	for name, c := range h.cells {
		if !want[name] {
			stopped = append(stopped, c)
			delete(h.cells, name)
		}
	}
	h.mu.Unlock()
	for c, svc := range kept {
		c.configure(svc)
		c.updateMembers() // the drains may have changed
	}
	for _, c := range stopped {
		c.stop()
	}
}

func (c *cell) configure(svc config.Service) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.svc = svc
	c.stepAssign(c.host.clk.Now(), assign.SetPolicy{Policy: policyOf(svc)})
}

// sortedCells returns the host's cells, sorted by name.
func (h *Host) sortedCells() []*cell {
	cs := h.cellList()
	slices.SortFunc(cs, func(a, b *cell) int {
		switch x, y := a.name.String(), b.name.String(); {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	return cs
}
