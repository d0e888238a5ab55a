package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/mesh"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// watchPart is the part of the shorter of the bounds for configurations and
	// leaving servers for which a watch waits. It bounds how long a host is
	// wrong about being in touch with the store, and how long a watch that
	// hears nothing goes unnoticed.
	watchPart = 0.5
	// stalePart is the part of that bound after which a view is stale: a host
	// that knows no fresher one watches the store itself. The rest is left for
	// its call.
	stalePart = 0.675
	// serversGap is the pause after changes of servers. Entries often change
	// in groups, and every answer of a watch is a priced call.
	serversGap = 100 * time.Millisecond
	// peersFirst is the longest time for which a new process waits for other
	// hosts' views before it asks the store. Each host draws a time below it, so
	// that after a loss of all hosts the first few ask at once, and the others
	// learn from them.
	peersFirst = 400 * clock.Millisecond
	// followPoll is how often a host that doesn't watch checks whether it
	// should.
	followPoll = 50 * time.Millisecond
	// storePauseMin and storePauseMax bound the pause after a failed call.
	storePauseMin = 100 * time.Millisecond
	storePauseMax = 800 * time.Millisecond
	// outageMemory is for how long after a failed call vanished entries count
	// as lost in the outage. They are back within about 2 s of its end.
	outageMemory = 2500 * clock.Millisecond
	// massLapse and massShare are the number and the share of servers whose
	// entries vanish at once from which on it counts as an outage, though no
	// call has failed: the store was silent while a watch waited.
	massLapse = 3
	massShare = 0.2
)

// seen is how far this host has seen the store. h.mu guards it.
type seen struct {
	configRev   uint64     // of the configuration
	serversRev  uint64     // of the last change of the servers
	configAt    clock.Time // when the store last confirmed the configuration
	serversAt   clock.Time // and the servers
	configOnce  bool       // it has confirmed it at least once
	serversOnce bool
}

// fresh returns how old the confirmation by the store is, or -1 without one.
func (s seen) fresh(now clock.Time) clock.Span {
	if !s.configOnce || !s.serversOnce {
		return -1
	}
	return now.Sub(min(s.configAt, s.serversAt))
}

// versions returns what a beat says of this host's view.
func (h *Host) versions(now clock.Time) (config, servers uint64, fresh clock.Span) {
	if c := h.relay.Config(); c != nil {
		config = c.Version()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	return config, h.seen.serversRev, h.seen.fresh(now)
}

// watches reports whether this host has to watch the store itself: it comes
// first among the live hosts of its data centre, or no other host has a fresh
// view.
func (h *Host) watches() bool {
	now := h.clock.Now()
	first, fresh := h.members.watchers(now)
	if now < h.askFrom {
		return false
	}
	return first || fresh < 0 || fresh > h.bound(stalePart)
}

// bound returns a part of the time within which changes must be in force.
func (h *Host) bound(part float64) clock.Span {
	return clock.Span(part * float64(min(h.cfg.Settings.Drain, h.cfg.Settings.Apply)))
}

// pause waits after a failed call, longer each time, and not all hosts at the
// same moment.
func pause(ctx context.Context, fails int) {
	d := min(storePauseMin<<min(fails, 4), storePauseMax)
	sleep(ctx, d/2+rand.N(d/2))
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// storeResult notes whether the store answers, and logs changes.
func (h *Host) storeResult(err error) {
	bad := errors.Is(err, ErrNoAnswer) || errors.Is(err, ErrBusy)
	h.mu.Lock()
	defer h.mu.Unlock()
	if bad {
		h.storeBad = h.clock.Now()
	}
	if bad == h.storeUp {
		h.storeUp = !bad
		if bad {
			h.log.Warn("store is lost", zap.Error(err))
		} else {
			h.log.Info("store is back")
		}
	}
}

// follow calls next while this host has to watch the store. next returns the
// revision to go on from; 0 means to read everything again.
func (h *Host) follow(ctx context.Context, what string, next func(ctx context.Context, rev uint64) (uint64, error)) error {
	var rev uint64
	fails := 0
	for ctx.Err() == nil {
		if !h.watches() {
			rev = 0
			sleep(ctx, followPoll)
			continue
		}
		n, err := next(ctx, rev)
		if ctx.Err() != nil {
			return nil
		}
		h.storeResult(err)
		if err == nil {
			rev, fails = n, 0
			continue
		}
		h.log.Info("watch ended", zap.String("what", what), zap.Uint64("rev", rev), zap.Error(err))
		if errors.Is(err, ErrHistory) {
			rev = 0
			if fails == 0 {
				fails++
				continue
			}
		}
		// A watch may be cut off at any time; the next one continues from the
		// same revision.
		pause(ctx, fails)
		fails++
	}
	return nil
}

// watchConfig keeps the configuration in force.
func (h *Host) watchConfig(ctx context.Context) error {
	return h.follow(ctx, "configuration", h.nextConfig)
}

func (h *Host) nextConfig(ctx context.Context, rev uint64) (next uint64, err error) {
	began := h.clock.Now()
	if rev == 0 {
		cfg, next, err := h.cfg.Store.Config(ctx)
		if err != nil {
			return 0, err
		}
		h.configure(cfg, next)
		h.confirmConfig(began)
		return next, nil
	}
	cfg, next, err := h.cfg.Store.WatchConfig(ctx, rev, h.bound(watchPart))
	if err != nil {
		return 0, err
	}
	if cfg != nil {
		h.configure(cfg, next)
	}
	h.confirmConfig(h.clock.Now())
	return next, nil
}

func (h *Host) confirmConfig(at clock.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seen.configAt, h.seen.configOnce = at, true
}

// watchServers keeps the list of servers.
func (h *Host) watchServers(ctx context.Context) error {
	return h.follow(ctx, "servers", h.nextServers)
}

func (h *Host) nextServers(ctx context.Context, rev uint64) (next uint64, err error) {
	began := h.clock.Now()
	if rev == 0 {
		list, next, err := h.cfg.Store.Servers(ctx)
		if err != nil {
			return 0, err
		}
		h.mu.Lock()
		outage := h.outage(began, 0)
		h.mu.Unlock()
		h.replace(list, next, outage)
		h.confirmServers(began)
		return next, nil
	}
	evs, next, err := h.cfg.Store.WatchServers(ctx, rev, h.bound(watchPart))
	if err != nil {
		return 0, err
	}
	if len(evs) > 0 {
		h.apply(evs, next)
	}
	h.confirmServers(h.clock.Now())
	if len(evs) > 0 {
		h.servers()
		sleep(ctx, serversGap)
	}
	return next, nil
}

func (h *Host) confirmServers(at clock.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.seen.serversAt, h.seen.serversOnce = at, true
}

// replace takes a complete list as of a revision. outage means that who read it
// has just seen the store fail; this host's own trouble with the store says
// nothing about another's list.
func (h *Host) replace(list []fleet.Server, rev uint64, outage bool) {
	h.mu.Lock()
	if rev < h.seen.serversRev {
		h.mu.Unlock()
		return
	}
	now := h.clock.Now()
	has := make(map[keys.Server]bool, len(list))
	for _, sv := range list {
		has[sv.ID] = true
	}
	var lost []keys.Server
	for _, sv := range h.view.Entries() {
		if !has[sv.ID] && !sv.Draining {
			lost = append(lost, sv.ID)
		}
	}
	outage = outage || h.massLapse(len(lost))
	for _, id := range lost {
		h.log.Info("server entry is gone", zap.String("server", string(id)), zap.Bool("outage", outage))
	}
	h.view.Replace(now, list, outage)
	h.listed = true
	h.seen.serversRev = rev
	h.mu.Unlock()
	h.servers()
	h.changed()
}

// apply changes the view by the events of a watch.
func (h *Host) apply(evs []ServerEvent, rev uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if rev <= h.seen.serversRev {
		return // another host's list was newer
	}
	h.seen.serversRev = rev
	now := h.clock.Now()
	lost := 0
	for _, ev := range evs {
		if sv, ok := h.view.Get(ev.ID); ok && ev.Gone && !sv.Draining {
			lost++
		}
	}
	outage := h.outage(now, lost)
	for _, ev := range evs {
		if ev.Gone {
			h.view.Remove(now, ev.ID, outage)
			h.log.Info("server entry is gone", zap.String("server", string(ev.ID)), zap.Bool("outage", outage))
			continue
		}
		old, known := h.view.Get(ev.ID)
		h.view.Put(ev.Server)
		if !known || old.Draining != ev.Server.Draining || old.Born != ev.Server.Born {
			h.log.Info("server", zap.String("server", string(ev.ID)), zap.String("service", string(ev.Server.Service)),
				zap.Bool("draining", ev.Server.Draining), zap.Int64("born", ev.Server.Born))
		}
	}
	h.changed()
}

// outage reports whether entries that vanish now may have lapsed because the
// store was away. h.mu is held.
func (h *Host) outage(now clock.Time, lost int) bool {
	if h.storeBad != 0 && now.Sub(h.storeBad) < outageMemory {
		return true
	}
	return h.massLapse(lost)
}

// massLapse reports whether so many entries that vanish at once must have
// lapsed in an outage. h.mu is held.
func (h *Host) massLapse(lost int) bool {
	return lost >= massLapse && float64(lost) >= massShare*float64(h.view.Len())
}

// servers passes the current list on.
func (h *Host) servers() {
	h.mu.Lock()
	list := h.view.List()
	h.mu.Unlock()
	tags := make(map[mesh.Tag]keys.Server, len(list))
	for _, sv := range list {
		tags[mesh.TagOf(sv.ID)] = sv.ID
	}
	h.tags.Store(&tags)
	h.relay.Servers(list)
	h.duty.changed()
}

// list returns the servers that are known.
func (h *Host) list() []fleet.Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view.List()
}
