package owner

import (
	"maps"

	"github.com/laburnummux/laburnummux/internal/clock"
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
	return ok && r.addr == rs.Addr && r.born == rs.Born && now.Sub(r.at) <= failureBackoff
}

// forgetReplaced forgets the servers of which isReplaced doesn't hold any more.
func (a *Assigner) forgetReplaced(now clock.Time) {
	maps.DeleteFunc(a.replaced, func(_ keys.Server, r replacement) bool { return now.Sub(r.at) > failureBackoff })
}
