package front

import (
	"context"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/epoch"
	"github.com/laburnummux/laburnummux/internal/owner"
)

// keepAfterRestore writes the assignment record of a new epoch of the store, in
// which nobody has the role yet. The earlier record in the restored store is an
// older one, so the new one has the tables of this host.
func (r *assignerRole) keepAfterRestore(ctx context.Context, now clock.Time, rev epoch.Revision) {
	r.storeCallPending = true
	c := &restoreCall{role: r, rec: r.assigner.Record().Restored(rev.Epoch()), rev: rev, startedAt: now}
	go c.run(ctx)
}

func (r *assignerRole) handleRestore(ctx context.Context, now clock.Time, ev restoreDone) {
	r.host.recordStoreResult(ev.err)
	if r.assigner == nil {
		return
	}
	r.assigner.WriteFailed()
	if ev.err != nil {
		r.host.log.Info("cannot keep the assigner role in the restored store; reading the record", zap.Error(ev.err))
		r.nextWriteAt, r.confirmStartedAt = now.Add(writeBackoff), now // see confirmPeriod
		return
	}
	r.restored(ctx, now, ev)
}

// restored begins the term of a record that keepAfterRestore has written.
func (r *assignerRole) restored(ctx context.Context, now clock.Time, ev restoreDone) {
	r.assigner.Restored(now, ev.rec)
	r.assigner.Confirm(ev.startedAt)
	r.startTerm(now, ev.rec, ev.rev, ev.startedAt)
	r.host.log.Info("kept the assigner role after a restore of the store", zap.Uint64("term", ev.rec.Term), zap.Uint64("epoch", ev.rev.Epoch()))
	r.executeAndPublish(ctx, r.updateServers(now))
	r.host.triggerHeartbeat()
}

// restoreCall creates the assignment record of a new epoch.
type restoreCall struct {
	role      *assignerRole
	rec       owner.Record
	rev       epoch.Revision
	startedAt clock.Time
}

func (c *restoreCall) run(ctx context.Context) {
	ev := restoreDone{rec: c.rec, startedAt: c.startedAt}
	ev.rev, ev.err = c.role.host.cfg.Store.PutRecord(ctx, c.rec, c.rev)
	c.role.postResult(ctx, ev)
}
