package front

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/owner"
)

const (
	// handOverFailures and handOverDelay say when the store counts as unreachable for
	// the assigner: after so many failed calls in a row, the first of them so long ago.
	// A single response may be lost.
	handOverFailures = 2
	handOverDelay    = clock.Second
	// storeProbeInterval is the period in which the assigner confirms its role while
	// the store doesn't respond to it, so that it learns early whether that lasts.
	storeProbeInterval = 500 * clock.Millisecond
	// handOverMargin is how much later than the first failed call the store must have
	// responded to another host. The times are taken from heartbeats.
	handOverMargin = 300 * clock.Millisecond
	// successorCores is the least processor of a successor, as a share of that of this
	// host. A host with too little can't renew all leases in time.
	successorCores = 0.5
)

// storeOutage is the time during which the store hasn't responded to this host.
type storeOutage struct {
	failures int // failed calls in a row
	since    clock.Time
}

// record adds the result of a call.
func (o *storeOutage) record(now clock.Time, failed bool) {
	if !failed {
		*o = storeOutage{}
		return
	}
	if o.failures == 0 {
		o.since = now
	}
	o.failures++
}

// lasts reports whether the store counts as unreachable.
func (o storeOutage) lasts(now clock.Time) bool {
	return o.failures >= handOverFailures && now.Sub(o.since) >= handOverDelay
}

// othersReachStore reports whether the store doesn't respond to this host while it
// responds to another live one with enough processor for the assigner's role. Without
// the store an assigner can't move keys. It is false if the handover is disabled.
func (h *Host) othersReachStore(now clock.Time) bool {
	if h.cfg.Settings.disables(Handover) {
		return false
	}
	h.mu.Lock()
	o := h.outage
	h.mu.Unlock()
	if !o.lasts(now) {
		return false
	}
	return h.members.standing(now).successorConfirmedAt > o.since.Add(handOverMargin)
}

// gaveUp reports whether a former assigner has said in a heartbeat since a time that
// its process has given up the role in the term that it is listed with.
func (ms *members) gaveUp(h owner.Holder, after clock.Time) bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	m := ms.all[h.Host]
	return m != nil && h.Term > 0 && m.lastHeartbeat > after && m.incarnation == h.Incarnation && m.roleTerm == 0 && m.gaveUpTerm >= h.Term
}

// gaveUp returns the last term in which this process gave up the role, for the other
// hosts, or 0 if there is none or the handover is disabled.
func (r *assignerRole) gaveUp() uint64 {
	if r.host.cfg.Settings.disables(Handover) {
		return 0
	}
	return r.gaveUpTerm.Load()
}

// handOver gives up the role, and tells the other hosts in heartbeats, so that one of
// them claims it at once. Servers keep their leases from this term meanwhile.
func (r *assignerRole) handOver() {
	r.stepDown("the store doesn't respond to this host, but to others")
	r.host.triggerHeartbeat()
}
