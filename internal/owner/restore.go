package owner

import "github.com/laburnummux/laburnummux/internal/clock"

// Restored handles a restore of the store from an older copy, after rec was
// written in the new epoch. rec has the tables of this assigner.
//
// Another host may have claimed the role in the part of the history that was lost.
// It can have moved only ranges whose servers have acknowledged its fence, so a
// process that has had this assigner's fence and still accepts it is the only one
// with a lease on the range. The others may be leased to unknown servers until the
// role lease of that host and a lease time have passed.
func (a *Assigner) Restored(now clock.Time, rec Record) {
	a.record.Term, a.record.Epoch, a.record.Seq = rec.Term, rec.Epoch, rec.Seq
	a.record.Former, a.record.Unverified = rec.Former, rec.Unverified
	a.startedAt, a.formerEnd = now, now.Add(a.cfg.RoleLease+a.cfg.Timeout)
	a.unknownLeaseEnd = a.formerEnd.Add(a.cfg.maxLease(a.cfg.LeaseTime))
	a.version++
	for _, ranges := range a.tables {
		for _, rs := range ranges {
			rs.acked, rs.released = false, false
			rs.leaseEnd = max(rs.leaseEnd, a.unknownLeaseEnd)
			if rs.Server != "" && rs.recordVersion <= a.writtenVersion && rs.lastConn != 0 {
				rs.recordVersion = 1
				continue
			}
			rs.inFlight, rs.blockedUntil, rs.recordVersion = false, a.unknownLeaseEnd, a.version
			if rs.Server != "" {
				rs.Fence = a.nextFence()
			}
		}
	}
}

// verified reports whether no server can have a lease that the tables don't show.
func (a *Assigner) verified(now clock.Time) bool {
	if now >= a.unknownLeaseEnd {
		return true
	}
	for _, ranges := range a.tables {
		for _, rs := range ranges {
			if now < rs.blockedUntil || rs.Server != "" && !rs.acked && !rs.assignedThisTerm() && now < rs.leaseEnd {
				return false
			}
		}
	}
	return true
}
