package front

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/mesh"
	"github.com/laburnummux/laburnummux/internal/owner"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Guards against a claim of the role from a live assigner. The table of a new
// assigner can arrive before its first heartbeat. A host that took the table for a
// heartbeat of the assigner claimed the role 4 ms later, because no heartbeat had
// arrived.
func TestTableBeforeHeartbeat(t *testing.T) {
	table := owner.Table{Service: "ledger", Term: 3, Version: 1}
	heartbeat := &mesh.Heartbeat{From: "a", Incarnation: 1, IP: "127.0.0.2", Term: 3}
	tests := []struct {
		name     string
		apply    func(ms *members)
		term     uint64
		assigner string
	}{
		{"table only", func(ms *members) { ms.applyTable(table) }, 0, ""},
		{"heartbeat only", func(ms *members) { ms.handleHeartbeat(5, heartbeat) }, 3, "a"},
		{"table, then the stored record", func(ms *members) { ms.applyTable(table); ms.setAssigner(5, "a", 3) }, 3, "a"},
		{"heartbeat, then an older record", func(ms *members) { ms.handleHeartbeat(5, heartbeat); ms.setAssigner(6, "b", 2) }, 3, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ms := newMembers(Settings{Host: "b", IP: "127.0.0.1"})
			tt.apply(ms)
			name, _, _, seen := ms.currentAssigner()
			is.Equal(ms.lastAssignerTerm(), tt.term)
			is.Equal(string(name), tt.assigner)
			is.Equal(seen > clock.Time(0), tt.assigner != "")
		})
	}
}

// Guards against precedence by name only. A host with little processor time then
// had the assigner's role and watched the store: hundreds of calls a second in
// addition to its callers' requests.
func TestHostsWithMoreCoresFirst(t *testing.T) {
	tests := []struct {
		name  string
		other mesh.Heartbeat
		rank  int
	}{
		{"more cores", mesh.Heartbeat{From: "z", Cores: 0.8}, 1},
		{"fewer cores and a lower name", mesh.Heartbeat{From: "a", Cores: 0.16}, 0},
		{"as many cores and a lower name", mesh.Heartbeat{From: "a", Cores: 0.32}, 1},
		{"as many cores and a higher name", mesh.Heartbeat{From: "z", Cores: 0.32}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ms := newMembers(Settings{Host: "m", IP: "127.0.0.1", DC: "north", Cores: 0.32})
			tt.other.Incarnation, tt.other.IP, tt.other.DC = 1, "127.0.0.2", "north"
			ms.handleHeartbeat(5, &tt.other)
			is.Equal(ms.membership(6).rank, tt.rank)
			watcher, _ := ms.watchState(6)
			is.Equal(watcher, tt.rank == 0)
		})
	}
}

// Hosts that start together must discover each other in one exchange with a seed.
// When a seed listed eight hosts at a time, discovery took seconds with 91 hosts,
// and hosts that the assigner hadn't discovered yet claimed its role one after
// another.
func TestHostsDiscoveredThroughSeed(t *testing.T) {
	is := is.New(t)
	const n = 90
	ip := func(i int) string { return fmt.Sprintf("127.0.1.%d", i) }
	heartbeat := func(i int) *mesh.Heartbeat {
		return &mesh.Heartbeat{From: keys.Host(fmt.Sprintf("host-%02d", i)), Incarnation: 1, IP: ip(i), DC: "north"}
	}
	seed := newMembers(Settings{Host: "host-00", IP: ip(0), DC: "north", Seeds: []string{ip(0)}})
	is.True(seed.sendsMemberList(1))
	var last *members
	for i := 1; i <= n; i++ {
		is.True(seed.handleHeartbeat(10, heartbeat(i)))
		last = newMembers(Settings{Host: heartbeat(i).From, IP: ip(i), DC: "north", Seeds: []string{ip(0)}})
		last.addAll(10, seed.active(10))
	}
	is.Equal(len(last.all), n-1) // all but itself
	sent := 0
	for _, b := range last.heartbeatTargets(10, mesh.ReachGroup) {
		sent += len(b.ips)
	}
	is.Equal(sent, n)
	is.True(!seed.handleHeartbeat(20, heartbeat(1))) // not the first of its process
	restarted := heartbeat(1)
	restarted.Incarnation = 2
	is.True(seed.handleHeartbeat(30, restarted)) // a new process
}

// Guards against a list of hosts from each host to most of the others when all start
// together, as each takes itself for the first of its data centre: its bytes grow with
// the cube of the number of hosts.
func TestListsOfStartingHosts(t *testing.T) {
	const listsFrom = 1500
	tests := []struct {
		name  string
		seeds []string
		at    clock.Time
		want  bool
	}{
		{"just started", []string{"127.0.0.9"}, 100, false},
		{"the first for a while", []string{"127.0.0.9"}, listsFrom, true},
		{"a seed that has just started", []string{"127.0.0.1"}, 100, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ms := newMembers(Settings{Host: "self", IP: "127.0.0.1", DC: "north", Seeds: tt.seeds})
			ms.listsFrom = listsFrom
			is.Equal(ms.sendsMemberList(tt.at), tt.want)
		})
	}
}

// Guards against a stopping host that still has the assigner's role but counts as
// one that can't act, so that keys move before its leases have expired.
func TestNoneActsWhileHostStops(t *testing.T) {
	tests := []struct {
		name string
		last mesh.Heartbeat
		at   clock.Time
		want bool
	}{
		{"without the role", mesh.Heartbeat{}, 20, true},
		{"without the role, before", mesh.Heartbeat{}, 5, false},
		{"with the role", mesh.Heartbeat{Term: 3}, 20, false},
		{"leaving, role given up", mesh.Heartbeat{Leaving: true}, 5, true},
		{"leaving, still with the role", mesh.Heartbeat{Leaving: true, Term: 3}, 5, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ms := newMembers(Settings{Host: "self", IP: "127.0.0.1"})
			tt.last.From, tt.last.Incarnation, tt.last.IP = "a", 1, "127.0.0.2"
			ms.handleHeartbeat(tt.at, &tt.last)
			is.Equal(ms.noneActs(10), tt.want)
		})
	}
}

// Guards against a host that restarts with its clock set back and is ignored by the
// distant hosts until its former process counts as ended. A late heartbeat of that
// process is still ignored.
func TestRestartWithClockSetBack(t *testing.T) {
	tests := []struct {
		name  string
		after clock.Span // since the last heartbeat of the former process
		want  bool       // the new one is taken
	}{
		{"late heartbeat", 100, false},
		{"new process", aliveTimeout + 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ms := newMembers(Settings{Host: "a", IP: "127.0.0.1"})
			ms.handleHeartbeat(10, &mesh.Heartbeat{From: "b", Incarnation: 9, IP: "127.0.0.2", Interval: 14_000})
			is.Equal(ms.handleHeartbeat(clock.Time(10).Add(tt.after), &mesh.Heartbeat{From: "b", Incarnation: 5, IP: "127.0.0.2"}), tt.want)
		})
	}
}
