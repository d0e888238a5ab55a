package front

import (
	"context"

	"github.com/laburnummux/laburnummux/internal/clock"
)

// confirmBackoff is the shortest time between reads of the record that confirm the
// role for grants on new connections.
const confirmBackoff = 100 * clock.Millisecond

// confirmRole confirms the role if grants wait for it: by the store or, if that
// doesn't respond, by the heartbeats of a majority of the hosts. A later assigner
// would have sent them its tables. The heartbeats may be aliveTimeout old.
func (r *assignerRole) confirmRole(ctx context.Context, now clock.Time) {
	if !r.assigner.NeedsConfirmation() {
		return
	}
	if !r.storeCallPending && now.Sub(r.confirmStartedAt) > confirmBackoff {
		r.confirmStartedAt, r.storeCallPending = now, true
		c := &readCall{role: r, startedAt: now}
		go c.run(ctx)
	}
	if r.host.members.supports(r.host.clock.Now(), r.assigner.Term()) {
		r.assigner.Confirm(now.Add(-aliveTimeout))
	}
}

// supports reports whether a majority of the known hosts is alive and none of
// them has the tables of a later term.
func (ms *members) supports(now clock.Time, term uint64) bool {
	if !ms.membership(now).majority {
		return false
	}
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, m := range ms.all {
		if m.tablesTerm > term {
			return false
		}
	}
	return ms.maxTerm <= term
}
