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

// A new assigner's table can arrive before its first beat. A host that took the
// table for a sign that it had heard the assigner took the role from it 4 ms
// later, as the beats that it waits for were missing.
func TestTableBeforeBeat(t *testing.T) {
	table := owner.Table{Service: "ledger", Term: 3, Version: 1}
	beat := &mesh.Beat{From: "a", Run: 1, IP: "127.0.0.2", Term: 3}
	tests := []struct {
		name     string
		do       func(ms *members)
		led      uint64
		assigner string
	}{
		{"table alone", func(ms *members) { ms.table(table) }, 0, ""},
		{"beat alone", func(ms *members) { ms.beat(5, beat) }, 3, "a"},
		{"table, then the stored record", func(ms *members) { ms.table(table); ms.learn(5, "a", 3) }, 3, "a"},
		{"beat, then an older record", func(ms *members) { ms.beat(5, beat); ms.learn(6, "b", 2) }, 3, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ms := newMembers(Settings{Host: "b", IP: "127.0.0.1"})
			tt.do(ms)
			name, _, _, heard := ms.leader()
			is.Equal(ms.ledTerm(), tt.led)
			is.Equal(string(name), tt.assigner)
			is.Equal(heard > clock.Time(0), tt.assigner != "")
		})
	}
}

// A weak host that came first by its name had the assigner's role and the
// watches: hundreds of calls a second beside its callers' requests.
func TestStrongHostsFirst(t *testing.T) {
	tests := []struct {
		name  string
		other mesh.Beat
		rank  int
	}{
		{"a stronger host", mesh.Beat{From: "z", Power: 0.8}, 1},
		{"a weaker host with a lower name", mesh.Beat{From: "a", Power: 0.16}, 0},
		{"an equal host with a lower name", mesh.Beat{From: "a", Power: 0.32}, 1},
		{"an equal host with a higher name", mesh.Beat{From: "z", Power: 0.32}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ms := newMembers(Settings{Host: "m", IP: "127.0.0.1", DC: "north", Power: 0.32})
			tt.other.Run, tt.other.IP, tt.other.DC = 1, "127.0.0.2", "north"
			ms.beat(5, &tt.other)
			is.Equal(ms.standing(6).rank, tt.rank)
			first, _ := ms.watchers(6)
			is.Equal(first, tt.rank == 0)
		})
	}
}

// Hosts that start together must know each other after one exchange with a
// seed. Named eight at a time, 91 hosts took seconds, and those that the
// assigner didn't know took its role in turn.
func TestHostsMeetThroughSeed(t *testing.T) {
	is := is.New(t)
	const n = 90
	ip := func(i int) string { return fmt.Sprintf("127.0.1.%d", i) }
	beat := func(i int) *mesh.Beat {
		return &mesh.Beat{From: keys.Host(fmt.Sprintf("host-%02d", i)), Run: 1, IP: ip(i), DC: "north"}
	}
	seed := newMembers(Settings{Host: "host-00", IP: ip(0), DC: "north", Seeds: []string{ip(0)}})
	is.True(seed.welcomes(1))
	var last *members
	for i := 1; i <= n; i++ {
		is.True(seed.beat(10, beat(i)))
		last = newMembers(Settings{Host: beat(i).From, IP: ip(i), DC: "north", Seeds: []string{ip(0)}})
		last.learnNames(10, seed.names(10))
	}
	is.Equal(len(last.all), n-1) // all but itself
	is.Equal(len(last.targets(10, false)), n)
	is.True(!seed.beat(20, beat(1))) // told once only
	again := beat(1)
	again.Run = 2
	is.True(seed.beat(30, again)) // a new process
}
