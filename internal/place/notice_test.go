package place

import (
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/owner"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Guards against a server that said it leaves and gets requests again because its
// registration is written again, is replaced by an older one or is missing for a
// while, and against a later process under the same ID that gets none.
func TestLeavingServerInLists(t *testing.T) {
	const leavesAt = clock.Time(1800)
	born := func(n int64) []fleet.Server {
		list := servers(1)
		list[0].Born = n
		return list
	}
	tests := []struct {
		name  string
		lists [][]fleet.Server // after the response of the process that was born at 5
		at    clock.Time
		want  bool // it gets a request
	}{
		{"within the time", nil, leavesAt - 1, true},
		{"after the time", nil, leavesAt, false},
		{"registered again", [][]fleet.Server{born(5)}, leavesAt, false},
		{"older registration", [][]fleet.Server{born(4)}, leavesAt, false},
		{"missing for a while", [][]fleet.Server{nil, born(5)}, leavesAt, false},
		{"new process", [][]fleet.Server{born(6)}, leavesAt, true},
		{"new process, then an older registration", [][]fleet.Server{born(6), born(5)}, leavesAt, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := New("north", oneIdleConn)
			s.SetServers(0, born(5))
			first, _ := s.SetLeaving(0, fleet.Incarnation{ID: "s0", Born: 5}, leavesAt)
			is.True(first)
			again, _ := s.SetLeaving(500, fleet.Incarnation{ID: "s0", Born: 5}, leavesAt+500)
			is.True(!again)
			for _, list := range tt.lists {
				s.SetServers(1000, list)
			}
			is.Equal(len(starts(s.Submit(tt.at, newRequest(1, tt.at)))) == 1, tt.want)
		})
	}
}

// Guards against requests to a leaving server that another one can serve, also
// while the others are busy, and against a late response of a former process that
// hides the present one.
func TestLeavingServerIsAvoided(t *testing.T) {
	is := is.New(t)
	s := newState(2)
	s.SetLeaving(0, fleet.Incarnation{ID: "s0", Born: 1}, 1800)
	for id := uint64(1); id <= 3; id++ {
		is.Equal(s.Submit(0, newRequest(id, 0))[0].(Start).Server.ID, keys.Server("s1"))
	}
	is.Equal(len(s.Submit(0, newRequest(4, 0))), 0)
	s.SetLeaving(0, fleet.Incarnation{ID: "s1", Born: 0}, 1800)
	is.Equal(starts(s.Done(100, "s1", Result{Duration: 100, RouteMean: 100})), []uint64{4})
}

// Guards against keys that aren't served while they are with a leaving server,
// and against requests to it after the time for them.
func TestLeavingOwner(t *testing.T) {
	is := is.New(t)
	s := newState(2)
	s.SetTable(0, owner.Table{Service: svc, Term: 1, Version: 1, Spans: []owner.Range{{From: 0, To: owner.MaxKey, Server: "s0"}}})
	s.SetLeaving(0, fleet.Incarnation{ID: "s0", Born: 1}, 1800)
	keyed := func(id uint64, at clock.Time) Request {
		r := newRequest(id, at)
		r.Keyed = true
		return r
	}
	is.Equal(starts(s.Submit(1799, keyed(1, 1799))), []uint64{1})
	is.Equal(len(s.Submit(1800, keyed(2, 1800))), 0)
	acts := s.SetTable(1900, owner.Table{Service: svc, Term: 1, Version: 2, Spans: []owner.Range{{From: 0, To: owner.MaxKey, Server: "s1"}}})
	is.Equal(starts(acts), []uint64{2})
}
