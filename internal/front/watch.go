package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/epoch"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/mesh"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// watchWaitFraction is the longest wait of a watch call, as a fraction of
	// the shorter of the bounds for configurations and draining servers. It
	// bounds how long a host fails to notice that the store is unreachable, or
	// that a watch delivers no changes.
	watchWaitFraction = 0.5
	// staleFraction is the fraction of that bound after which a snapshot is
	// stale: a host watches the store itself if no other host reports a fresher
	// one. The rest of the bound is left for its call.
	staleFraction = 0.675
	// othersStaleFraction is the same for hosts that don't stand by for roles, so that
	// they don't all call the store in an outage.
	othersStaleFraction = 1.5
	// serverChangePause is the pause after changes of servers. Registrations
	// often change in groups, and every response of a watch is a billed call.
	serverChangePause = 100 * time.Millisecond
	// minStartupWatchDelay and maxStartupWatchDelay bound the time for which a new
	// process waits for other hosts' heartbeats and snapshots before it watches the
	// store. Each host draws a random delay, so that after a failure of all hosts the
	// first few read the store early and the others fetch their snapshots.
	minStartupWatchDelay = 80 * clock.Millisecond
	maxStartupWatchDelay = 400 * clock.Millisecond
	// shouldWatchInterval is the period in which a host that doesn't watch the
	// store checks whether it should.
	shouldWatchInterval = 100 * time.Millisecond
	// minStoreBackoff and maxStoreBackoff bound the pause after a failed call.
	minStoreBackoff = 100 * time.Millisecond
	maxStoreBackoff = 800 * time.Millisecond
	// nonStandbyFactor multiplies maxStoreBackoff on hosts that don't stand by for roles.
	// There are many of these, and they call only if the others learn nothing.
	nonStandbyFactor = 2
	// maxStoreWait bounds how long, in a store outage, the watches of servers and
	// evacuations wait for the watch of the configuration to succeed.
	maxStoreWait     = 2 * time.Second
	storeUpPollPause = 50 * time.Millisecond
	// restoredHoldIntervals is how many registration intervals a host waits before
	// it uses a server that it knows to have left and that a restored store lists.
	// The store removes the registration after three if the server doesn't renew it.
	restoredHoldIntervals = 4
)

// syncState records how up to date this host is with the store. Host.mu guards
// it.
type syncState struct {
	serversRev         epoch.Revision // store revision of the last change of the servers
	configConfirmedAt  clock.Time     // when the store last confirmed the configuration
	serversConfirmedAt clock.Time     // when it last confirmed the servers
	serversAsOf        clock.Time     // earliest time at which it can have sent that confirmation
	configConfirmed    bool           // the store has confirmed the configuration at least once
	serversConfirmed   bool           // and the servers
	fetchFails         bool           // the last fetch of a snapshot failed
	fetchFailsSince    clock.Time     // time of the first of the failed fetches in a row
}

// confirmationAge returns the time since the store last confirmed both the
// configuration and the servers, or -1 if it hasn't.
func (s syncState) confirmationAge(now clock.Time) clock.Span {
	if !s.configConfirmed || !s.serversConfirmed {
		return -1
	}
	return now.Sub(min(s.configConfirmedAt, s.serversConfirmedAt))
}

// snapshotVersions returns the version of the configuration, the revision of the
// servers, and the time since the store confirmed both.
func (h *Host) snapshotVersions(now clock.Time) (config uint64, servers epoch.Revision, age clock.Span) {
	if c := h.relay.Config(); c != nil {
		config = c.Version()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return config, h.sync.serversRev, h.sync.confirmationAge(now)
}

// shouldWatch reports whether this host has to watch the store itself: it is one
// of the watchers (see members.watchState), no other host has a fresh snapshot, or
// none can be fetched.
func (h *Host) shouldWatch() bool {
	now := h.clock.Now()
	if now < h.watchFrom {
		return false
	}
	watcher, age := h.members.watchState(now)
	if watcher || h.cannotFetch(now) {
		return true
	}
	limit := h.changeDeadline(staleFraction)
	if !h.members.isStandby(now) {
		limit = h.changeDeadline(othersStaleFraction)
	}
	if age < 0 { // no other host has a snapshot
		return h.members.isStandby(now) || now.Sub(h.watchFrom) > limit
	}
	return age > limit
}

// changeDeadline returns a fraction of the time within which changes of the
// configuration and of draining servers must be applied.
func (h *Host) changeDeadline(fraction float64) clock.Span {
	return clock.Span(fraction * float64(min(h.cfg.Settings.DrainTimeout, h.cfg.Settings.ApplyTimeout)))
}

// backoff waits after a failed call, with exponential backoff and jitter.
func (h *Host) backoff(ctx context.Context, fails int) {
	longest := maxStoreBackoff
	if !h.members.isStandby(h.clock.Now()) {
		longest *= nonStandbyFactor
	}
	d := min(minStoreBackoff<<min(fails, 4), longest)
	sleep(ctx, d/2+rand.N(d/2))
}

// awaitStore waits until the store responds to another watch, for maxStoreWait at most.
func (h *Host) awaitStore(ctx context.Context) {
	longest := maxStoreWait/2 + rand.N(maxStoreWait/2)
	for began := time.Now(); ctx.Err() == nil && !h.isStoreUp() && time.Since(began) < longest; {
		sleep(ctx, storeUpPollPause)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// recordStoreResult records whether the store is available, and logs changes.
func (h *Host) recordStoreResult(err error) {
	bad := errors.Is(err, ErrNoResponse) || errors.Is(err, ErrRefused)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.outage.record(h.clock.Now(), bad)
	if bad {
		h.storeFailedAt = h.clock.Now()
	}
	if bad == h.storeUp {
		h.storeUp = !bad
		if bad {
			h.log.Warn("store is unavailable; continuing with the last known state", zap.Error(err))
		} else {
			h.log.Info("store is available again")
			h.role.notifyServersChanged() // see assignerRole.serverList
		}
	}
}

// noteEpoch logs that the store was restored from an older copy.
func (h *Host) noteEpoch(e uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if e <= h.storeEpoch {
		return
	}
	if h.storeEpoch != 0 {
		h.log.Warn("store was restored from an older copy", zap.Uint64("epoch", e), zap.Uint64("former", h.storeEpoch))
	}
	h.storeEpoch = e
	h.metrics.storeEpoch.Set(float64(e))
}

// knownEpoch returns the latest known epoch of the store.
func (h *Host) knownEpoch() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.storeEpoch
}

func (h *Host) isStoreUp() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.storeUp
}

//go:generate go tool stringer -type=watched -linecomment -output=watched_string.go

// watched is what a watch of the store is about.
type watched int

const (
	watchedConfig      watched = iota // configuration
	watchedServers                    // servers
	watchedEvacuations                // evacuations
)

// probes reports whether the watch tells whether the store responds. The others wait for
// it in a store outage. The configuration is the shortest to read.
func (w watched) probes() bool { return w == watchedConfig }

// watchStore calls next repeatedly while this host has to watch the store. next
// returns the revision to continue from; the zero value means to read everything
// again.
func (h *Host) watchStore(ctx context.Context, what watched, next func(ctx context.Context, rev epoch.Revision) (epoch.Revision, error)) error {
	var rev epoch.Revision
	fails := 0
	for ctx.Err() == nil {
		if !h.shouldWatch() {
			rev = epoch.Revision{}
			sleep(ctx, shouldWatchInterval)
			continue
		}
		n, err := next(ctx, rev)
		if ctx.Err() != nil {
			return nil
		}
		h.recordStoreResult(err)
		if err == nil {
			h.noteEpoch(n.Epoch())
			rev, fails = n, 0
			continue
		}
		h.log.Info("watch of the store failed; retrying", zap.Stringer("what", what), zap.Stringer("rev", rev), zap.Error(err))
		if errors.Is(err, ErrCompacted) || errors.Is(err, ErrRestored) {
			first := rev != epoch.Revision{}
			rev = epoch.Revision{}
			if first { // the store has responded, so earlier failures don't count
				fails = 0
				continue
			}
		}
		if errors.Is(err, ErrMalformed) {
			rev = epoch.Revision{} // a watch from the same revision gets the same response
		}
		// A watch may fail at any time. The next one continues from the same
		// revision.
		h.backoff(ctx, fails)
		if !what.probes() {
			h.awaitStore(ctx)
		}
		fails++
	}
	return nil
}

// watchConfig applies changes of the configuration in the store.
func (h *Host) watchConfig(ctx context.Context) error {
	return h.watchStore(ctx, watchedConfig, h.nextConfig)
}

// nextConfig reads the configuration if rev is the zero value, else waits for a
// change.
func (h *Host) nextConfig(ctx context.Context, rev epoch.Revision) (next epoch.Revision, err error) {
	began := h.clock.Now()
	if rev == (epoch.Revision{}) {
		cfg, next, err := h.cfg.Store.Config(ctx)
		if err != nil {
			return next, err
		}
		if cfg != nil {
			h.applyConfig(cfg)
		}
		h.markConfigConfirmed(began)
		return next, nil
	}
	cfg, next, err := h.cfg.Store.WatchConfig(ctx, rev, h.changeDeadline(watchWaitFraction))
	if err != nil {
		return next, err
	}
	if cfg != nil {
		h.applyConfig(cfg)
	}
	h.markConfigConfirmed(h.clock.Now())
	return next, nil
}

func (h *Host) markConfigConfirmed(at clock.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sync.configConfirmedAt, h.sync.configConfirmed = at, true
}

// watchServers applies changes of the servers in the store.
func (h *Host) watchServers(ctx context.Context) error {
	return h.watchStore(ctx, watchedServers, h.nextServers)
}

// nextServers reads the servers if rev is the zero value, else waits for changes.
func (h *Host) nextServers(ctx context.Context, rev epoch.Revision) (next epoch.Revision, err error) {
	began := h.clock.Now()
	if rev == (epoch.Revision{}) {
		list, next, err := h.cfg.Store.Servers(ctx)
		if err != nil {
			return next, err
		}
		h.mu.Lock()
		since := h.sync.serversAsOf
		h.mu.Unlock()
		h.replaceServers(list, next, h.graceSince(since))
		h.markServersConfirmed(began, began)
		return next, nil
	}
	evs, next, err := h.cfg.Store.WatchServers(ctx, rev, h.changeDeadline(watchWaitFraction))
	if err != nil {
		return next, err
	}
	res := h.newWatchResult(began, h.clock.Now())
	if len(evs) > 0 {
		h.mu.Lock()
		since := h.sync.removedSince(res)
		h.mu.Unlock()
		h.applyChanges(evs, next, h.graceSince(since))
	}
	h.markServersConfirmed(res.ended, res.sentAfter)
	if len(evs) > 0 {
		sleep(ctx, serverChangePause)
	}
	return next, nil
}

// markServersConfirmed records when the store has confirmed the servers, and the
// earliest time at which it can have sent that.
func (h *Host) markServersConfirmed(at, sentAfter clock.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sync.serversConfirmedAt, h.sync.serversAsOf, h.sync.serversConfirmed = at, sentAfter, true
}

// replaceServers applies a complete list as of a revision. It comes from the store or
// from another host, which has decided which servers are kept.
func (h *Host) replaceServers(list []fleet.Server, rev epoch.Revision, graceOf graceFunc) {
	h.noteEpoch(rev.Epoch())
	h.mu.Lock()
	if rev.Before(h.sync.serversRev) {
		h.mu.Unlock()
		return
	}
	now := h.clock.Now()
	listed := make(map[keys.Server]bool, len(list))
	for _, sv := range list {
		listed[sv.ID] = true
	}
	var lost []keys.Server
	for _, sv := range h.fleet.Registered() {
		if _, ok := h.fleet.Get(sv.ID); ok && !listed[sv.ID] && !sv.Draining {
			lost = append(lost, sv.ID)
		}
	}
	grace := graceOf(now, len(lost))
	held := h.fleet.Replace(now, rev.Epoch(), list, grace)
	for _, id := range lost {
		h.logRemoved(now, id)
	}
	for _, id := range held {
		h.log.Info("server registration of the restored store is outdated; not using it", zap.String("server", string(id)))
	}
	h.serversLoaded = true
	h.sync.serversRev = rev
	h.changes.reset()
	h.mu.Unlock()
	h.publishServers()
	h.triggerHeartbeat()
}

// applyChanges applies changes of the list of servers up to a revision. They come
// from where a list does (see replaceServers).
func (h *Host) applyChanges(evs []ServerEvent, rev epoch.Revision, graceOf graceFunc) {
	if h.applyServerEvents(evs, rev, graceOf) {
		h.publishServers()
		h.triggerHeartbeat()
	}
}

// applyServerEvents is applyChanges without telling others. It reports whether the
// changes were newer than the list.
func (h *Host) applyServerEvents(evs []ServerEvent, rev epoch.Revision, graceOf graceFunc) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.sync.serversRev.Before(rev) {
		return false // a newer list was fetched from another host
	}
	h.changes.add(change{from: h.sync.serversRev, to: rev, events: evs})
	h.sync.serversRev = rev
	now := h.clock.Now()
	lost := 0
	for _, ev := range evs {
		if sv, ok := h.fleet.Get(ev.ID); ok && ev.Removed && !sv.Draining {
			lost++
		}
	}
	grace := graceOf(now, lost)
	for _, ev := range evs {
		if ev.Removed {
			h.fleet.Remove(now, ev.ID, grace)
			h.logRemoved(now, ev.ID)
			continue
		}
		old, known := h.fleet.Get(ev.ID)
		h.fleet.Put(now, ev.Server)
		sv, _ := h.fleet.Get(ev.ID)
		if !known || old.Draining != sv.Draining || old.Born != sv.Born {
			h.log.Info("server", zap.String("server", string(ev.ID)), zap.String("service", string(sv.Service)),
				zap.Bool("draining", sv.Draining), zap.Int64("born", sv.Born))
		}
	}
	return true
}

// logRemoved logs the removal of a registration, and for how long its server is kept.
// h.mu is held.
func (h *Host) logRemoved(now clock.Time, id keys.Server) {
	kept := h.fleet.GraceLeft(now, id)
	h.log.Info("server registration removed", zap.String("server", string(id)), zap.Bool("outage", kept > 0), zap.Int64("keptMs", int64(kept)))
}

// publishServers passes the current list of servers to the parts that use it.
func (h *Host) publishServers() {
	if h.holdServers() {
		return
	}
	h.checkEvacuations()
	h.mu.Lock()
	list := h.fleet.List()
	h.mu.Unlock()
	byHash := make(map[mesh.ServerHash]keys.Server, len(list))
	for _, sv := range list {
		byHash[mesh.HashServer(sv.ID)] = sv.ID
	}
	h.serverByHash.Store(&byHash)
	h.admission.setServers(list)
	h.relay.SetServers(list)
	h.role.notifyServersChanged()
}

// serverList returns the listed servers. Those that have said that they are
// leaving are draining in it, whatever their registrations say.
func (h *Host) serverList() []fleet.Server {
	h.mu.Lock()
	list := h.fleet.List()
	h.mu.Unlock()
	for i, sv := range list {
		list[i].Draining = sv.Draining || h.relay.Leaving(sv)
	}
	return list
}
