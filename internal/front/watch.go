package front

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// watchWait is how long a watch waits for a change. Each one is a priced
	// call; silent connections are noticed by keep-alive probes, not by it.
	watchWait = 15 * clock.Second
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

// pause waits after a failed call, longer each time, and not all hosts at the
// same moment.
func pause(ctx context.Context, fails int) {
	d := min(storePauseMin<<min(fails, 4), storePauseMax)
	d = d/2 + rand.N(d/2)
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

// watchConfig keeps the configuration in force.
func (h *Host) watchConfig(ctx context.Context) error {
	var rev uint64
	fails := 0
	for ctx.Err() == nil {
		err := h.nextConfig(ctx, &rev)
		if ctx.Err() != nil {
			return nil
		}
		h.storeResult(err)
		if err == nil {
			fails = 0
			continue
		}
		h.log.Debug("configuration watch ended", zap.Error(err))
		if errors.Is(err, ErrHistory) {
			rev = 0
			continue
		}
		// A watch may be cut off at any time; the next one continues from the
		// same revision.
		pause(ctx, fails)
		fails++
	}
	return nil
}

func (h *Host) nextConfig(ctx context.Context, rev *uint64) error {
	get := h.cfg.Store.Config
	if *rev != 0 {
		cfg, next, err := h.cfg.Store.WatchConfig(ctx, *rev, watchWait)
		if err != nil {
			return err
		}
		*rev = next
		if cfg != nil {
			h.configure(cfg)
		}
		return nil
	}
	cfg, next, err := get(ctx)
	if err != nil {
		return err
	}
	*rev = next
	h.configure(cfg)
	return nil
}

// watchServers keeps the list of servers.
func (h *Host) watchServers(ctx context.Context) error {
	var rev uint64
	fails := 0
	for ctx.Err() == nil {
		err := h.nextServers(ctx, &rev)
		if ctx.Err() != nil {
			return nil
		}
		h.storeResult(err)
		if err == nil {
			fails = 0
			continue
		}
		h.log.Debug("server watch ended", zap.Error(err))
		if errors.Is(err, ErrHistory) {
			rev = 0
			continue
		}
		pause(ctx, fails)
		fails++
	}
	return nil
}

func (h *Host) nextServers(ctx context.Context, rev *uint64) error {
	if *rev == 0 {
		list, next, err := h.cfg.Store.Servers(ctx)
		if err != nil {
			return err
		}
		*rev = next
		h.mu.Lock()
		now := h.clock.Now()
		seen := make(map[keys.Server]bool, len(list))
		for _, sv := range list {
			seen[sv.ID] = true
		}
		lost := 0
		for _, sv := range h.view.List() {
			if !seen[sv.ID] && !sv.Draining {
				lost++
			}
		}
		h.view.Replace(now, list, h.outage(now, lost))
		h.listed = true
		h.mu.Unlock()
		h.servers()
		return nil
	}
	evs, next, err := h.cfg.Store.WatchServers(ctx, *rev, watchWait)
	if err != nil {
		return err
	}
	*rev = next
	if len(evs) == 0 {
		return nil
	}
	h.apply(evs)
	h.servers()
	return nil
}

// apply changes the view by the events of a watch.
func (h *Host) apply(evs []ServerEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
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
}

// outage reports whether entries that vanish now may have lapsed because the
// store was away. h.mu is held.
func (h *Host) outage(now clock.Time, lost int) bool {
	if h.storeBad != 0 && now.Sub(h.storeBad) < outageMemory {
		return true
	}
	return lost >= massLapse && float64(lost) >= massShare*float64(h.view.Len())
}

// servers passes the current list on.
func (h *Host) servers() {
	h.mu.Lock()
	list := h.view.List()
	h.mu.Unlock()
	h.relay.Servers(list)
	h.duty.changed()
}

// list returns the servers that are known.
func (h *Host) list() []fleet.Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.view.List()
}
