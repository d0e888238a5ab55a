package relay

import (
	"cmp"
	"errors"
	"net"
	"slices"
	"syscall"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/retry"
)

const (
	// minCrashes is the number of servers that a request must have crashed one after
	// the other. With two a request that is sent again during a rolling failure of
	// servers could be quarantined.
	minCrashes = 3
	// maxSuspects and maxCleared are the most suspects and cleared requests that are
	// sent to other hosts in one message, maxLosses the most losses of servers, and
	// maxRecordLosses the most of a suspect.
	maxSuspects     = 24
	maxCleared      = 8
	maxLosses       = 48
	maxRecordLosses = 12
)

// crashCheck determines whether a server has crashed after it lost a connection,
// by opening another one: a crashed server refuses it. Until then the quarantine
// counts the request as in flight.
type crashCheck struct {
	relay  *Relay
	server fleet.Server
	pool   *pool
	ticket retry.Ticket
	lostAt clock.Time
}

func (c *crashCheck) run() {
	kind, known := retry.Alive, true
	if err := c.pool.Probe(); err != nil {
		kind, known = lossKind(err)
	}
	c.relay.mu.Lock()
	defer c.relay.mu.Unlock()
	now := c.relay.cfg.Clock.Now()
	if !known || c.relay.placement.Leaving(c.server) {
		c.relay.quarantine.End(now, c.ticket, false) // a server that is leaving ends without a crash
		return
	}
	c.relay.logQuarantined(c.relay.quarantine.ServerLost(now, c.lostAt, c.ticket, kind))
}

// lossKind returns what the error of opening a connection says about a server. ok is
// false if it says nothing, such as the lack of descriptors.
func lossKind(err error) (kind retry.LossKind, ok bool) {
	var timeout net.Error
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		return retry.Refused, true
	case errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH), errors.As(err, &timeout) && timeout.Timeout():
		return retry.Unreachable, true
	}
	return 0, false
}

// recordDialFailure records that a server accepted no connection.
func (r *Relay) recordDialFailure(now clock.Time, sv fleet.Server, ticket retry.Ticket, err error) {
	kind, ok := lossKind(err)
	if !ok {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.placement.Leaving(sv) {
		r.quarantine.DialFailed(now, ticket, kind)
	}
}

// logQuarantined logs the requests that were quarantined. r.mu must be held.
func (r *Relay) logQuarantined(list []retry.Signature) {
	for _, sig := range list {
		r.cfg.Log.Warn("quarantined a request: backend servers crashed while they processed it", zap.String("op", sig.Op), zap.Stringer("hash", sig.Key))
	}
}

// Suspects returns the requests that are most likely to crash servers, quarantined
// ones and then those with most crashes first, the latest of those that were cleared,
// and the latest losses of servers.
func (r *Relay) Suspects() (list []retry.SuspectRecord, losses []retry.Loss) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	var cleared []retry.SuspectRecord
	for _, s := range r.quarantine.Export(now) {
		s.Losses = s.Losses[max(len(s.Losses)-maxRecordLosses, 0):]
		if s.Crashes == 0 && !s.Quarantined {
			cleared = append(cleared, s)
		} else {
			list = append(list, s)
		}
	}
	slices.SortStableFunc(list, func(a, b retry.SuspectRecord) int {
		return cmp.Or(cmp.Compare(b.Crashes, a.Crashes), cmp.Compare(len(b.Losses), len(a.Losses)), cmp.Compare(b.Remaining, a.Remaining))
	})
	slices.SortStableFunc(cleared, func(a, b retry.SuspectRecord) int { return cmp.Compare(a.ClearedAge, b.ClearedAge) })
	list = append(list[:min(len(list), maxSuspects)], cleared[:min(len(cleared), maxCleared)]...)
	return list, r.quarantine.ExportLosses(now, maxLosses)
}

// SuspectChanges returns a number that grows when Suspects should be sent soon.
func (r *Relay) SuspectChanges() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.quarantine.Changes()
}

// ImportSuspects merges the suspects of another host and the losses of servers that it
// has noticed.
func (r *Relay) ImportSuspects(list []retry.SuspectRecord, losses []retry.Loss) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Clock.Now()
	r.quarantine.ImportLosses(now, losses)
	r.logQuarantined(r.quarantine.Import(now, list))
}
