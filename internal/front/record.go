package front

import (
	"context"
	"errors"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/owner"
)

// handleResign gives up the role and clears the holder in the store, so that
// the next assigner need not wait for the role lease to expire.
func (r *assignerRole) handleResign(ctx context.Context) {
	r.resigned = true
	if r.assigner == nil {
		return
	}
	rec, rev := r.assigner.Record(), r.recordRev
	r.stepDown("planned stop")
	if r.storeCallPending {
		return // a call is in flight; the next assigner may have to wait
	}
	rec.Holder = ""
	ctx, cancel := context.WithTimeout(ctx, grantTimeout.Std()/2)
	defer cancel()
	if _, err := r.host.cfg.Store.PutRecord(ctx, rec, rev); err != nil {
		r.host.log.Info("cannot clear the assigner role in the store; the next assigner may have to wait for the role lease to expire", zap.Error(err))
	}
	r.host.triggerHeartbeat()
}

func (r *assignerRole) handleWrite(ctx context.Context, now clock.Time, ev writeDone) {
	r.host.recordStoreResult(ev.err)
	if r.assigner == nil {
		return
	}
	switch {
	case ev.err == nil:
		r.host.noteEpoch(ev.rev.Epoch())
		r.recordRev = ev.rev
		r.confirm(ev.startedAt)
		r.executeAndPublish(ctx, r.assigner.WriteDone(now, ev.version))
	case errors.Is(ev.err, ErrRefused):
		r.nextWriteAt = now.Add(writeBackoff)
		r.assigner.WriteFailed()
	default:
		// After a conflict or a call without a response, only the stored record
		// shows whether the write took effect.
		r.host.log.Info("cannot write the assignment record; reading it back", zap.Error(ev.err))
		r.confirmStartedAt, r.storeCallPending = now, true
		c := &readCall{role: r, startedAt: now, writtenVersion: ev.version}
		go c.run(ctx)
	}
}

func (r *assignerRole) handleRead(ctx context.Context, now clock.Time, ev readDone) {
	r.host.recordStoreResult(ev.err)
	if ev.err != nil {
		if r.assigner != nil {
			r.nextWriteAt = now.Add(writeBackoff)
			r.assigner.WriteFailed()
			r.replaceInvalidRecord(ev)
		}
		return
	}
	r.host.noteEpoch(ev.rev.Epoch())
	if r.assigner == nil {
		r.storedHolder, r.storedHolderAt = ev.rec.Process(), r.host.clock.Now()
		// No assigner sends tables; the stored ones are the latest available.
		var ts []owner.Table
		for s := range ev.rec.Tables {
			ts = append(ts, ev.rec.TableOf(s))
		}
		r.host.applyTables(ts)
		return
	}
	if ev.rev.Epoch() > r.recordRev.Epoch() {
		switch {
		case ev.rev.Number() == 0:
			r.keepAfterRestore(ctx, now, ev.rev)
			return
		case ev.rec.Process() == (owner.Holder{Host: r.host.cfg.Settings.Host, Incarnation: r.host.incarnation}):
			// The response to keepAfterRestore's call was lost.
			r.restored(ctx, now, restoreDone{rec: ev.rec, rev: ev.rev, startedAt: ev.startedAt})
			return
		}
	}
	if ev.rec.Term != r.assigner.Term() || ev.rec.Holder != r.host.cfg.Settings.Host || ev.rec.Incarnation != r.host.incarnation {
		r.stepDown("the store names another assigner")
		return
	}
	r.confirm(ev.startedAt)
	if !ev.rev.Before(r.recordRev) {
		r.recordRev = ev.rev
		r.assigner.RecordRead(ev.rec)
	}
}

// replaceInvalidRecord has the record written again if another writer has replaced
// it by an invalid one. The write takes effect only while that one is stored.
func (r *assignerRole) replaceInvalidRecord(ev readDone) {
	if !errors.Is(ev.err, ErrMalformed) || ev.rev.Epoch() != r.recordRev.Epoch() || ev.rev.Number() <= r.recordRev.Number() {
		return
	}
	r.host.log.Warn("assignment record is invalid; writing it again", zap.Stringer("rev", ev.rev), zap.Error(ev.err))
	r.recordRev = ev.rev
	r.assigner.RecordLost()
}
