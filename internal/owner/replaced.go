package owner

import (
	"maps"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// replacement says that another server has the address of one that has ended.
type replacement struct {
	addr string
	born int64 // incarnation of the server that has ended
	at   clock.Time
}

// setReplaced records that another server has responded to a call for a range. The
// range's server has ended, but the other one may have taken an earlier grant, so
// its ranges move once their leases have expired.
func (a *Assigner) setReplaced(now clock.Time, rs *rangeState) {
	a.replaced[rs.Server] = replacement{addr: rs.Addr, born: rs.Born, at: now}
	a.failedAt[rs.Server] = now
	for _, ranges := range a.tables {
		for _, other := range ranges {
			if other.Server == rs.Server && other.Addr == rs.Addr && other.Born == rs.Born {
				other.startRelease()
			}
		}
	}
}

// isReplaced reports whether calls for a range would reach another server than its
// own. They are tried again after failureBackoff, or when the server has registered
// anew.
func (a *Assigner) isReplaced(now clock.Time, rs *rangeState) bool {
	r, ok := a.replaced[rs.Server]
	return ok && rs.successor.ID == "" && r.addr == rs.Addr && r.born == rs.Born && now.Sub(r.at) <= failureBackoff
}

// setSuccessor records which server of the service has the address of a range's
// server, or that none is known.
func (rs *rangeState) setSuccessor(in fleet.Incarnation) {
	if rs.successor == in {
		return
	}
	rs.successor = in
	if in.ID != "" {
		rs.nextCall = 0
	}
}

// releaseTarget returns the process that has to release the range. A server that has
// ended holds nothing.
func (rs *rangeState) releaseTarget() fleet.Incarnation {
	if rs.successor.ID != "" {
		return rs.successor
	}
	return fleet.Incarnation{ID: rs.Server, Born: rs.Born}
}

// forgetReplaced forgets the servers of which isReplaced doesn't hold any more.
func (a *Assigner) forgetReplaced(now clock.Time) {
	maps.DeleteFunc(a.replaced, func(_ keys.Server, r replacement) bool { return now.Sub(r.at) > failureBackoff })
}
