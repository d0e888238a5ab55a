package owner

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// rangesOf returns the ranges inside a call's range that still have its fence. A
// range may have been split while the call was in flight.
func (a *Assigner) rangesOf(s keys.Service, from, to Key, f Fence) (ranges []*rangeState) {
	for _, rs := range a.tables[s] {
		if rs.From >= from && rs.To <= to && rs.Fence == f {
			ranges = append(ranges, rs)
		}
	}
	return ranges
}

// GrantDone handles the outcome of a grant that was sent at the given time.
// g.LastConn is that of the next grant with the same fencing token: the last
// connection that was open when the first grant with it, or the last one that was
// executed, was sent.
func (a *Assigner) GrantDone(now, sent clock.Time, g Grant, out Outcome) []Action {
	lateEnd := sent.Add(a.cfg.Timeout + a.cfg.maxLease(g.LeaseTime))
	for _, rs := range a.rangesOf(g.Service, g.From, g.To, g.Fence) {
		rs.inFlight, rs.lastConn = false, g.LastConn
		switch out {
		case Done:
			a.acknowledged(rs, sent)
			rs.released = false
			rs.leaseEnd = max(rs.leaseEnd, now.Add(a.cfg.maxLease(g.LeaseTime)))
			rs.unansweredSince, rs.handover = 0, ""
			delete(a.failedAt, rs.Server)
		case Refused:
			rs.startRelease()
			if !rs.acked {
				rs.nextCall = rs.leaseEnd
			}
		case Replaced:
			a.setReplaced(now, rs)
		case Unconnected:
			if rs.Fence.term() != a.record.Term {
				// Only the former fence could show that the server still had the range
				// at the restore (see Restored).
				rs.blockedUntil = a.unknownLeaseEnd
			}
			// The record names the server already, and the next term has higher
			// tokens, so it needn't be written first.
			if !rs.releasing || !rs.acked {
				rs.Fence, rs.lastConn, rs.nextCall, rs.confirmAfter = a.nextFence(), 0, 0, now
			}
		case Failed, Unknown:
			if out == Unknown {
				rs.lateLeaseEnd = max(rs.lateLeaseEnd, lateEnd)
			}
			if rs.unansweredSince == 0 {
				rs.unansweredSince = max(now, 1)
			}
			rs.confirmAfter = now
			a.failedAt[rs.Server] = now
			rs.nextCall = min(rs.nextCall, now.Add(grantRetryDelay))
		}
	}
	return a.advance(now)
}

// acknowledged handles the first acknowledgement of a grant in this term.
func (a *Assigner) acknowledged(rs *rangeState, sent clock.Time) {
	switch {
	case rs.acked || sent < a.startedAt:
		return
	case rs.Fence.term() != a.record.Term:
		// No host that claimed the role before the restore has granted the range
		// (see Restored). It still can, until the server has a fence of this term.
		rs.Fence, rs.lastConn, rs.nextCall = a.nextFence(), 0, 0
	default:
		// From now on the server rejects grants of the former assigner, as it has
		// seen a fence of this term.
		rs.acked, rs.leaseEnd = true, 0
	}
}

// ReleaseDone handles the outcome of a release.
func (a *Assigner) ReleaseDone(now clock.Time, r Release, out Outcome, handover string) []Action {
	for _, rs := range a.rangesOf(r.Service, r.From, r.To, r.Fence) {
		rs.inFlight = false
		switch {
		case out == Replaced:
			a.setReplaced(now, rs)
		case out == Done && rs.releasing:
			rs.released, rs.handover = true, handover
		}
	}
	return a.advance(now)
}

// WriteDone handles a write that succeeded. After a conflict or an unknown result
// the caller reads the record: if it no longer names this host as the assigner,
// the caller discards the Assigner, else it passes the record to RecordRead.
func (a *Assigner) WriteDone(now clock.Time, version uint64) []Action {
	a.writeInFlight = false
	a.writtenVersion = max(a.writtenVersion, version)
	return a.advance(now)
}

// WriteFailed handles a write that did not take place. A later Tick returns it
// again.
func (a *Assigner) WriteFailed() { a.writeInFlight = false }

// RecordRead handles a record that was read from the store and names this host as
// the assigner. The record shows which writes without a response took effect.
func (a *Assigner) RecordRead(rec Record) {
	a.writeInFlight = false
	if rec.Seq > a.record.Seq {
		return // not written by this process
	}
	cur := a.snapshot()
	if rec.Seq == cur.Seq && rec.Unverified == cur.Unverified && equalTables(rec.Tables, cur.Tables) {
		a.writtenVersion = a.version
	}
}

// RecordLost handles the loss of the stored record, which then is written again
// before any further change of owner.
func (a *Assigner) RecordLost() { a.version++ }
