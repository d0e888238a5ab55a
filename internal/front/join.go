package front

import (
	"context"
	"time"
)

const (
	// registrationDelay is how long a new process waits for heartbeats of other hosts,
	// which tell whether it has to register.
	registrationDelay = 300 * time.Millisecond
	// discoverInterval is the period in which a host without enough live hosts
	// reads the hosts' addresses from the store.
	discoverInterval = 3 * time.Second
)

// join registers this host in the store if it stands by for roles, again after a
// restore of the store, and reads the other hosts' addresses there while too few of
// them are alive: the seeds in the settings may be stale. A host that finds one of the
// registered hosts learns of the others from it.
func (h *Host) join(ctx context.Context) error {
	registered, registeredIn := false, uint64(0)
	sleep(ctx, registrationDelay)
	for {
		mayAct := h.members.isStandby(h.clock.Now()) || h.role.term() > 0
		if mayAct && (!registered || h.knownEpoch() > registeredIn) {
			storeEpoch, err := h.cfg.Store.PutHost(ctx, h.cfg.Settings.Host, h.cfg.Settings.IP)
			h.recordStoreResult(err)
			if err == nil {
				h.noteEpoch(storeEpoch)
				registered, registeredIn = true, storeEpoch
			}
		}
		if ms := h.members.membership(h.clock.Now()); ms.alive < 2 || !ms.majority {
			h.discoverHosts(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(discoverInterval):
		}
	}
}

// discoverHosts adds the hosts that are registered in the store.
func (h *Host) discoverHosts(ctx context.Context) {
	ips, err := h.cfg.Store.Hosts(ctx)
	h.recordStoreResult(err)
	if err != nil {
		return
	}
	h.members.mu.Lock()
	defer h.members.mu.Unlock()
	now := h.clock.Now()
	for name, ip := range ips {
		h.members.add(now, name, ip, "")
	}
}
