package place

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/owner"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// twoSites returns a state with n servers in north and n in south, which is
// evacuated from 1000 on.
func twoSites(n int, share Share) *State {
	s := New("north", oneIdleConn)
	s.SetShare(0, share)
	list := servers(2 * n)
	for i := range list[n:] {
		list[n+i].DC = "south"
	}
	s.SetServers(0, list)
	s.SetEvacuated(1000, []Evacuation{{DC: "south", OwnersUntil: 5000}})
	return s
}

// Guards against requests without a key to an evacuated data centre: as the usual
// choice, while all other servers are full, as the first request to a new server, and
// after the list of servers or the share has been replaced.
func TestEvacuatedServersGetNoRequests(t *testing.T) {
	for _, share := range []Share{{}, {Number: 0, Count: 2, Hosts: 4}} {
		t.Run(fmt.Sprint(share.Count), func(t *testing.T) {
			is := is.New(t)
			s := twoSites(4, share)
			sent := 0
			for id := range uint64(200) {
				now := clock.Time(1000).Add(clock.Span(id))
				if id == 100 {
					list := servers(8)
					for i := range list {
						list[i].Born = 2
						if i >= 4 {
							list[i].DC = "south"
						}
					}
					s.SetServers(now, list)
					s.SetShare(now, share)
				}
				for _, act := range s.Submit(now, newRequest(id, now)) {
					if st, ok := act.(Start); ok {
						is.Equal(st.Server.DC, keys.DataCentre("north"))
						sent++
					}
				}
			}
			is.True(sent >= 8)
			acts := s.SetEvacuated(2000, nil) // requests wait
			used := make(map[keys.DataCentre]bool)
			for _, act := range acts {
				if st, ok := act.(Start); ok {
					used[st.Server.DC] = true
				}
			}
			is.True(used["south"]) // the servers are used again
		})
	}
}

// Guards against keys that aren't served while they are about to move from an
// evacuated owner, against requests to it after the time for them, and against
// requests that aren't continued when the keys have moved.
func TestEvacuatedOwner(t *testing.T) {
	is := is.New(t)
	s := twoSites(1, Share{})
	table := func(now clock.Time, version uint64, id keys.Server) []Action {
		return s.SetTable(now, owner.Table{Service: svc, Term: 1, Version: version, Spans: []owner.Range{{From: 0, To: owner.MaxKey, Server: id}}})
	}
	keyed := func(id uint64, at clock.Time) Request {
		r := newRequest(id, at)
		r.Keyed = true
		return r
	}
	table(1000, 1, "s1")
	is.Equal(starts(s.Submit(4999, keyed(1, 4999))), []uint64{1})
	is.Equal(len(s.Submit(5000, keyed(2, 5000))), 0)
	is.Equal(starts(table(5050, 2, "s0")), []uint64{2})
	is.Equal(starts(s.Submit(5060, keyed(3, 5060))), []uint64{3})
}

// Guards against requests that wait for their limit although every server that may
// run them is evacuated, and against a name of no data centre that changes anything.
func TestAllEvacuated(t *testing.T) {
	is := is.New(t)
	s := newState(1)
	s.SetEvacuated(0, []Evacuation{{DC: "nowhere"}})
	for id := uint64(1); id <= 3; id++ {
		is.Equal(starts(s.Submit(0, newRequest(id, 0))), []uint64{id})
	}
	is.Equal(len(s.Submit(0, newRequest(4, 0))), 0) // waits
	s.SetEvacuated(10, []Evacuation{{DC: "north"}})
	is.Equal(refusals(s.Tick(20)), []Refuse{{ID: 4, Why: Evacuated, RetryAfter: retryAfterMax}})
	is.Equal(len(s.Done(30, "s0", Result{Duration: 30, RouteMean: 100})), 0)
	for _, isKeyed := range []bool{false, true} {
		r := newRequest(5, 40)
		r.Keyed = isKeyed
		is.Equal(s.Submit(40, r), []Action{Refuse{ID: 5, Why: Evacuated, RetryAfter: retryAfterMax}})
	}
	s.SetEvacuated(50, nil)
	is.Equal(starts(s.Submit(50, newRequest(6, 50))), []uint64{6})
}
