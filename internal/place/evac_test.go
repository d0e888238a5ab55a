package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
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
//
// Guards also against servers that get none after the evacuation: a host with a share
// draws servers outside it at random, and requests for which it has drawn only full ones
// wait for the next tick.
func TestEvacuatedServersGetNoRequests(t *testing.T) {
	const (
		seeds     = 100
		queueTick = 10 * clock.Millisecond
	)
	for _, share := range []Share{{}, {Number: 0, Count: 2, Hosts: 4}} {
		usedAtOnce := 0
		for seed := range uint64(seeds) {
			t.Run(fmt.Sprint(share.Count, ", seed ", seed), func(t *testing.T) {
				is := is.New(t)
				s := twoSites(4, share)
				s.rng = rand.New(rand.NewPCG(seed, 0))
				submitDuringEvacuation(t, s, share)
				const end = clock.Time(1200)
				acts := s.SetEvacuated(end, nil) // requests wait
				if startsIn("south", acts) {
					usedAtOnce++
					return
				}
				for now := end; now < end.Add(4*queueTick) && !startsIn("south", acts); {
					now = now.Add(queueTick)
					acts = s.Tick(now)
				}
				is.True(startsIn("south", acts))
			})
		}
		t.Logf("%d shares: used at once with %d of %d seeds", share.Count, usedAtOnce, seeds)
		if share.Count == 0 {
			is.New(t).Equal(usedAtOnce, seeds) // nothing is drawn
		}
		is.New(t).True(usedAtOnce >= seeds*9/10)
	}
}

// submitDuringEvacuation submits requests and replaces the list of servers and the share
// between them.
func submitDuringEvacuation(t *testing.T, s *State, share Share) {
	is := is.New(t)
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
		acts := s.Submit(now, newRequest(id, now))
		is.True(!startsIn("south", acts))
		sent += len(starts(acts))
	}
	is.True(sent >= 8)
}

// startsIn reports whether a request starts at a server of a data centre.
func startsIn(dc keys.DataCentre, acts []Action) bool {
	return slices.ContainsFunc(acts, func(a Action) bool {
		st, ok := a.(Start)
		return ok && st.Server.DC == dc
	})
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
