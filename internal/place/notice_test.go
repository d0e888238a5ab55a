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

// Guards against requests to a server in the pause that it asked for, also after
// its registration was missing, and against a later process that gets none. A
// rejection or a shorter pause doesn't end it.
func TestPausedServer(t *testing.T) {
	tests := []struct {
		name  string
		lists [][]fleet.Server
		at    clock.Time
		want  bool // it gets a request
	}{
		{"in the pause", nil, 4999, false},
		{"after the pause", nil, 5000, true},
		{"registered again", [][]fleet.Server{nil, servers(1)}, 4999, false},
		{"new process", [][]fleet.Server{{{ID: "s0", Service: svc, Addr: "a0", DC: "north", Slots: 2, Born: 2}}}, 100, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newState(1)
			s.Submit(0, newRequest(1, 0))
			in := fleet.Incarnation{ID: "s0", Born: 1}
			is.True(s.Pause(0, in, 5000))
			is.True(!s.Pause(10, in, 1000))
			s.Done(10, "s0", Result{Shed: true})
			for _, list := range tt.lists {
				s.SetServers(50, list)
			}
			is.Equal(len(starts(s.Submit(tt.at, newRequest(2, tt.at)))) == 1, tt.want)
		})
	}
}

// Guards against requests that wait in vain for servers in a pause, queued before
// it or submitted in it, and against a caller that isn't told when it ends.
func TestPauseRefusesAtOnce(t *testing.T) {
	tests := []struct {
		name       string
		keyed      bool
		ends       []clock.Time // of the pauses of the servers; the first one owns all keys
		retryAfter clock.Span   // 0: it may be served
	}{
		{"owner", true, []clock.Time{5000, 0}, 4900},
		{"owner, for a moment", true, []clock.Time{250, 0}, 0},
		{"another server than the owner", true, []clock.Time{0, 5000}, 0},
		{"one server", false, []clock.Time{5000, 0}, 0},
		{"all servers", false, []clock.Time{5000, 4000}, 3900},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newState(2)
			s.SetTable(0, owner.Table{Service: svc, Term: 1, Version: 1, Spans: []owner.Range{{From: 0, To: owner.MaxKey, Server: "s0"}}})
			s.SetPeerLoad(0, "other", map[keys.Server]int{"s0": 3, "s1": 3}, nil) // no server has room
			queued, later := newRequest(1, 90), newRequest(2, 100)
			queued.Keyed, later.Keyed = tt.keyed, tt.keyed
			is.Equal(len(s.Submit(90, queued)), 0)
			for i, end := range tt.ends {
				s.Pause(95, fleet.Incarnation{ID: s.order[i], Born: 1}, end)
			}
			got := refusals(append(s.Submit(100, later), s.Tick(100)...))
			if tt.retryAfter == 0 {
				is.Equal(len(got), 0)
				return
			}
			is.Equal(got, []Refuse{{ID: 2, Why: Paused, RetryAfter: tt.retryAfter}, {ID: 1, Why: Paused, RetryAfter: tt.retryAfter}})
		})
	}
}

// Guards against a late response of a former process that marks the present one,
// which has given a notice itself.
func TestNoticeOfFormerProcess(t *testing.T) {
	is := is.New(t)
	s := New("north", oneIdleConn)
	s.SetServers(0, []fleet.Server{{ID: "s0", Service: svc, Addr: "a0", DC: "north", Slots: 2, Born: 6}})
	s.Pause(0, fleet.Incarnation{ID: "s0", Born: 6}, 100)
	first, _ := s.SetLeaving(0, fleet.Incarnation{ID: "s0", Born: 5}, 0)
	is.True(!first)
	is.True(!s.Pause(0, fleet.Incarnation{ID: "s0", Born: 5}, 5000))
	is.Equal(len(starts(s.Submit(100, newRequest(1, 100)))), 1)
}

// Guards against a refusal for the pause of a leaving owner, whose keys move, and
// against requests that are queued though a pause makes their wait too long.
func TestWaitInPause(t *testing.T) {
	tests := []struct {
		name    string
		keyed   bool
		leaving bool
		pause   clock.Time // its end; of the first server, which owns all keys
		ahead   int        // queued requests
		refused bool
	}{
		{"room without a pause", false, false, 0, 5, false},      // 5 x 100 ms / 4 slots
		{"less room in the pause", false, false, 5000, 5, true},  // 5 x 100 ms / 2 slots
		{"short queue at the owner", true, false, 150, 1, false}, // 150 ms + 100 ms / 2 slots
		{"long queue at the owner", true, false, 150, 2, true},   // 150 ms + 2 x 100 ms / 2 slots
		{"leaving owner", true, true, 5000, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newState(2)
			s.SetTable(0, owner.Table{Service: svc, Term: 1, Version: 1, Spans: []owner.Range{{From: 0, To: owner.MaxKey, Server: "s0"}}})
			s.SetPeerLoad(0, "other", map[keys.Server]int{"s0": 3, "s1": 3}, nil) // no server has room
			in := fleet.Incarnation{ID: "s0", Born: 1}
			s.Pause(0, in, tt.pause)
			if tt.leaving {
				s.SetLeaving(0, in, 1800)
			}
			for id := range tt.ahead + 1 {
				r := newRequest(uint64(id), 0)
				r.Keyed = tt.keyed
				is.Equal(len(s.Submit(0, r)) > 0, tt.refused && id == tt.ahead)
			}
		})
	}
}

// Guards against memory that grows with each server that has left.
func TestNoticesAreForgotten(t *testing.T) {
	is := is.New(t)
	s := New("north", oneIdleConn)
	s.SetServers(0, servers(1))
	s.SetLeaving(0, servers(1)[0].Incarnation(), 1800)
	s.SetServers(clock.Time(1800).Add(noticeRetention), nil)
	is.Equal(len(s.notices), 1)
	s.SetServers(clock.Time(1801).Add(noticeRetention), servers(1))
	is.Equal(len(s.notices), 1) // listed
	s.SetServers(clock.Time(1801).Add(noticeRetention), nil)
	is.Equal(len(s.notices), 0)
}
