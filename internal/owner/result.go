package owner

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// find returns the rows inside a call's range that still have its fence; a row
// may have been split while the call was in flight.
func (a *Assigner) find(s keys.Service, from, to Key, f Fence) (rows []*row) {
	for _, w := range a.tables[s] {
		if w.From >= from && w.To <= to && w.Fence == f {
			rows = append(rows, w)
		}
	}
	return rows
}

// Granted reports the end of a grant call that was sent at the given time.
func (a *Assigner) Granted(now, sent clock.Time, g Grant, out Outcome) []Action {
	late := sent.Add(a.cfg.Timeout + a.cfg.held(g.Hold))
	for _, w := range a.find(g.Service, g.From, g.To, g.Fence) {
		w.calling = false
		switch out {
		case Done:
			if !w.acked {
				// The fence of this term shuts out the former assigner.
				w.acked, w.heldUntil = true, 0
			}
			w.heldUntil = max(w.heldUntil, now.Add(a.cfg.held(g.Hold)))
			w.silent, w.handover = 0, ""
			delete(a.failed, w.Server)
		case Refused:
			w.leave()
		case Failed, Unknown:
			if out == Unknown {
				w.lateUntil = max(w.lateUntil, late)
			}
			if w.silent == 0 {
				w.silent = max(now, 1)
			}
			a.failed[w.Server] = now
			w.callAt = min(w.callAt, now.Add(retryGrant))
		}
	}
	return a.advance(now)
}

// Released reports the end of a release call.
func (a *Assigner) Released(now clock.Time, r Release, out Outcome, handover string) []Action {
	for _, w := range a.find(r.Service, r.From, r.To, r.Fence) {
		w.calling = false
		if out == Done && w.releasing {
			w.released, w.handover = true, handover
		}
	}
	return a.advance(now)
}

// Written reports a write that was done. After a conflict or an unknown result
// the caller reads the record; if it no longer names this host, it drops the
// state, else it reports what it found.
func (a *Assigner) Written(now clock.Time, version uint64) []Action {
	a.writing = false
	a.written = max(a.written, version)
	return a.advance(now)
}

// Unwritten reports a write that was not done. A later Tick asks again.
func (a *Assigner) Unwritten() { a.writing = false }

// Found reports a record that was read from the store and names this host. It
// shows which of the writes without an answer were carried out.
func (a *Assigner) Found(rec Record) {
	a.writing = false
	if rec.Seq > a.record.Seq {
		return // can't come from this run
	}
	cur := a.snapshot()
	if rec.Seq == cur.Seq && equal(rec.Tables, cur.Tables) {
		a.written = a.version
	}
}
