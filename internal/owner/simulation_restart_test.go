package owner

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// links are the connections of the assigners of a simulation to its servers, in
// the order in which they were opened.
type links []simConn

type simConn struct {
	assigner int
	addr     string
	born     int64 // of the process that it reaches
}

// connect opens a connection for a grant unless one that may carry it is left. It
// returns the number of the last connection, and false if the grant can't be sent.
func (l *links) connect(assigner int, sv *fakeServer, g Grant) (last uint64, ok bool) {
	if sv == nil {
		return uint64(len(*l)), g.LastConn == 0
	}
	c := simConn{assigner, g.Addr, sv.Born}
	for i, other := range *l {
		if other == c && (g.LastConn == 0 || uint64(i) < g.LastConn) {
			return uint64(len(*l)), true
		}
	}
	if g.LastConn != 0 {
		return 0, false
	}
	*l = append(*l, c)
	return uint64(len(*l)), true
}

// listing is a registration of a server in the store.
type listing struct {
	server      fleet.Server
	from, until clock.Time
}

const never = clock.Time(1 << 40)

func (sim *simulation) lateServerList() (out []fleet.Server) {
	for _, l := range sim.listed {
		if l.from > sim.now || l.until <= sim.now {
			continue
		}
		for _, sv := range sim.servers {
			if sv.ID == l.server.ID && sv.Born == l.server.Born {
				l.server.Draining = sv.Draining
			}
		}
		out = append(out, l.server)
	}
	return out
}

// relist passes the list of servers to the assigners that reach the store.
func (sim *simulation) relist() {
	for _, sa := range sim.assigners {
		if !sa.stopped && !sim.storeDown {
			sim.execute(sa, sa.assigner.SetServers(sim.now, []keys.Service{svc}, sim.serverList()))
		}
	}
}

// restart ends a server's process and starts another one at its address. Its
// registration is late, and the former one goes by itself under another ID.
func (sim *simulation) restart(sv *fakeServer, life int) {
	id := sv.ID
	sim.ended = append(sim.ended, *sv)
	sv.leases, sv.fences, sv.Draining = nil, nil, false
	sv.Born += int64(life)
	if rapid.Bool().Draw(sim.t, "new id") {
		sv.ID = keys.Server(fmt.Sprintf("new%d", life))
	}
	from := sim.now.Add(clock.Span(rapid.IntRange(0, 2500).Draw(sim.t, "listed after")))
	until := from
	if sv.ID != id {
		until = sim.now.Add(clock.Span(rapid.IntRange(0, 3000).Draw(sim.t, "expires after")))
	}
	for i := range sim.listed {
		if sim.listed[i].server.ID == id {
			sim.listed[i].until = min(sim.listed[i].until, until)
		}
	}
	sim.listed = append(sim.listed, listing{sv.Server, from, never})
	sim.after(from.Sub(sim.now), sim.relist)
	sim.after(until.Sub(sim.now), sim.relist)
}

// confirm confirms the role by the store or, while that is down, by the heartbeats
// of the other hosts: without the store there can be no new assigner, and they
// remember the terms that a restore of the store has lost.
func (sim *simulation) confirm(sa *simAssigner) {
	if !sim.storeDown {
		sim.readRecord(sa)
	} else if sa.assigner.Term() == sim.highestTerm() {
		sa.assigner.Confirm(sim.now)
	}
}

// highestTerm returns the highest term that an assigner has had.
func (sim *simulation) highestTerm() (term uint64) {
	for _, sa := range sim.assigners {
		term = max(term, sa.assigner.Term())
	}
	return term
}

// accept has a server execute a grant. It fails if the fence isn't above all that
// other processes have had for the keys.
func (sim *simulation) accept(sv *fakeServer, arrived clock.Time, g Grant) bool {
	if !sv.grant(sim.now, arrived, g) {
		return false
	}
	if arrived.Add(g.LeaseTime) <= sim.now {
		return true // too late for a lease
	}
	for _, other := range sim.servers {
		if other != sv {
			sim.checkFence(sv, g, other)
		}
	}
	for i := range sim.ended {
		sim.checkFence(sv, g, &sim.ended[i])
	}
	return true
}

func (sim *simulation) checkFence(sv *fakeServer, g Grant, other *fakeServer) {
	for _, f := range other.fences {
		if f.from <= g.To && g.From <= f.to && f.fence >= g.Fence {
			sim.t.Fatalf("at %d ms server %s (born %d) got keys %d-%d with fence %d, server %s (born %d) had %d-%d with fence %d",
				sim.now, sv.ID, sv.Born, g.From, g.To, g.Fence, other.ID, other.Born, f.from, f.to, f.fence)
		}
	}
}

// resign has the present assigner give up the role. Its calls in flight still
// arrive. The next assigner knows that it acts no more.
func (sim *simulation) resign() {
	if sim.storeDown {
		return
	}
	for _, sa := range sim.assigners {
		if !sa.stopped && sa.assigner.Term() < sim.stored.Term {
			return // an earlier one may still act
		}
	}
	for _, sa := range sim.assigners {
		sa.stopped = true
	}
	sim.takeover()
	sa := sim.assigners[len(sim.assigners)-1]
	sa.assigner.FormerEnded(sim.now)
}

// No key may have valid leases at two processes, or a fence that another process
// has had, while servers are back at their addresses before the assigners know,
// assigners end or give up the role, and the store is restored. The test fails with any of these mutations:
// keeping the fence after Unconnected; a grant on a new connection without a
// confirmation of the role; lastConn only of executed grants.
func TestOneOwnerLateRegistrations(t *testing.T) {
	setRapidDefaults(t)
	rapid.Check(t, func(t *rapid.T) {
		sim := &simulation{t: t, now: 1000}
		for i := range 3 {
			sv := &fakeServer{Server: server(fmt.Sprintf("s%d", i)), unreachableBy: make(map[int]bool)}
			sim.servers = append(sim.servers, sv)
			sim.listed = append(sim.listed, listing{sv.Server, 0, never})
		}
		sim.takeover()
		sim.advance(2500)
		for life := range rapid.IntRange(3, 14).Draw(t, "steps") {
			sv := sim.servers[rapid.IntRange(0, len(sim.servers)-1).Draw(t, "server")]
			switch rapid.IntRange(0, 11).Draw(t, "what") {
			case 0:
				sim.takeover()
			case 1:
				sim.resign()
			case 2:
				sv.unreachableBy[rapid.IntRange(0, len(sim.assigners)).Draw(t, "cut")] = true
			case 3:
				clear(sv.unreachableBy)
			case 4:
				sv.Draining = true
				sim.relist()
			case 5:
				sim.storeDown = !sim.storeDown
				sim.relist()
			case 6:
				for _, sa := range sim.assigners {
					sim.readRecord(sa)
				}
			case 7:
				sim.restore()
			case 8:
				sim.noneActs()
			default:
				sim.restart(sv, life+1)
			}
			sim.advance(clock.Span(rapid.IntRange(20, 4000).Draw(t, "pause")))
		}
	})
}
