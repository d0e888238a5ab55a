package owner

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// SetServers sets the keyed services and the complete list of servers.
func (a *Assigner) SetServers(now clock.Time, services []keys.Service, servers []fleet.Server) []Action {
	a.now = now
	a.forgetReplaced(now)
	if a.firstListAt == 0 && len(servers) > 0 {
		a.firstListAt = now
	}
	clear(a.servers)
	a.setCold(now, servers)
	byAddr := make(map[string]keys.Server)
	for _, sv := range servers {
		a.servers[sv.ID] = sv
		if other, ok := byAddr[sv.Addr]; !ok || a.servers[other].Born < sv.Born {
			byAddr[sv.Addr] = sv.ID
		}
	}
	// If a later server uses the same address, the earlier one has ended, though
	// its registration hasn't expired yet. Its grants would reach the later one.
	for id, sv := range a.servers {
		if a.servers[byAddr[sv.Addr]].Born > sv.Born {
			delete(a.servers, id)
		}
	}
	for _, s := range services {
		if a.tables[s] == nil {
			a.tables[s] = []*rangeState{{Assignment: Assignment{To: MaxKey}, blockedUntil: a.unknownLeaseEnd}}
		}
	}
	for s, ranges := range a.tables {
		for _, rs := range ranges {
			if rs.Server == "" {
				continue
			}
			sv, ok := a.servers[rs.Server]
			if ok {
				rs.Addr = sv.Addr
			}
			if ok && sv.Born != rs.Born {
				a.serverRestarted(rs, sv)
				continue
			}
			// The server that now uses the address may have received this range's
			// grants until now, and a former assigner can still send it some.
			if other, reused := byAddr[rs.Addr]; !ok && reused && other != rs.Server && !a.formerExpired(now) {
				rs.acked = false
			}
			rs.setSuccessor(a.successor(s, rs, byAddr))
			if !ok {
				rs.confirmAfter = now
			}
			if !ok || sv.Draining {
				rs.startRelease()
			}
		}
	}
	return a.Tick(now)
}

// successor returns the server of a service that has the address of a range's server
// which has ended. byAddr has the latest server at each address.
func (a *Assigner) successor(s keys.Service, rs *rangeState, byAddr map[string]keys.Server) (in fleet.Incarnation) {
	if _, ok := a.servers[rs.Server]; ok {
		return in
	}
	sv, ok := a.servers[byAddr[rs.Addr]]
	if !ok || sv.Service != s {
		return in
	}
	return sv.Incarnation()
}

// serverRestarted assigns a range to the new incarnation of its server. The new
// incarnation has no leases and has seen no fence, so it gets a higher fence
// before anything else happens to the range: otherwise a former assigner could
// renew its lease there.
func (a *Assigner) serverRestarted(rs *rangeState, sv fleet.Server) {
	if rs.inFlight {
		// The outcome won't match the new fence, and the new incarnation may have
		// received the call.
		rs.lateLeaseEnd = max(rs.lateLeaseEnd, a.now.Add(a.cfg.Timeout+a.cfg.maxLease(a.cfg.LeaseTime)))
	}
	a.version++
	if a.record.Unverified && !rs.acked {
		rs.blockedUntil = a.unknownLeaseEnd
	}
	rs.Born, rs.Fence, rs.Addr = sv.Born, a.nextFence(), sv.Addr
	rs.recordVersion, rs.acked, rs.released, rs.inFlight, rs.nextCall, rs.unansweredSince, rs.lastConn = a.version, false, false, false, 0, 0, 0
	rs.leaseEnd = max(rs.leaseEnd, a.formerEnd.Add(a.cfg.maxLease(a.cfg.LeaseTime)))
	rs.releasing, rs.handover = sv.Draining, ""
}

// formerExpired reports whether no former assigner can act any more.
func (a *Assigner) formerExpired(now clock.Time) bool { return now > a.formerEnd }
