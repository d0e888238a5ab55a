package gossip

import (
	"fmt"
	"slices"
	"testing"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"github.com/matryer/is"
)

const testIncarnation = 100

func newTestState(group ...keys.Host) *State {
	return New(Config{Host: "a", Incarnation: testIncarnation, DataCentre: "north-1", Group: group, Seed: 1})
}

// actionsOf returns the actions of one type.
func actionsOf[A Action](l []Action) (out []A) {
	for _, a := range l {
		if a, ok := a.(A); ok {
			out = append(out, a)
		}
	}
	return out
}

func newDigestReceived(from keys.Host, incarnation, count, revision uint64, hosts ...Heartbeat) DigestReceived {
	return DigestReceived{from, incarnation, Digest{Revision: revision, Count: count, Heartbeats: hosts}}
}

func newHostList(names ...keys.Host) (l HostList) {
	for _, n := range names {
		l.Members = append(l.Members, Member{Host: n, DataCentre: "north-1"})
	}
	return l
}

// Guards against a late response or read that replaces the configuration by an
// older revision.
func TestApplyOnlyHigher(t *testing.T) {
	tests := []struct {
		name  string
		event Event
		want  uint64
	}{
		{"lower from a peer", FetchResponse{From: "b", Revision: 4}, 5},
		{"same from a peer", FetchResponse{From: "b", Revision: 5}, 5},
		{"higher from a peer", FetchResponse{From: "b", Revision: 6}, 6},
		{"lower from the store", StoreRead{Revision: 4}, 5},
		{"higher from the store", StoreRead{Revision: 7}, 7},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestState("b", "c")
			s.Step(0, StoreRead{Revision: 5})
			acts := s.Step(250, tt.event)
			got, _ := s.Current()
			is.Equal(got, tt.want)
			is.Equal(len(actionsOf[ApplyRevision](acts)) == 1, tt.want > 5)
			if tt.want > 5 {
				is.True(len(actionsOf[SendDigest](acts)) > 0) // digests are sent at once
			}
		})
	}
}

// Guards against a fetch that waits forever for a lost host, and against a
// second fetch while one is pending.
func TestFetchRetry(t *testing.T) {
	is := is.New(t)
	s := newTestState("b", "c")
	s.Step(0, StoreRead{Revision: 5})
	is.Equal(actionsOf[Fetch](s.Step(10, newDigestReceived("b", 1, 1, 6))), []Fetch{{From: "b", Have: 5}})
	is.Equal(len(actionsOf[Fetch](s.Step(20, newDigestReceived("c", 1, 1, 6)))), 0)
	is.Equal(len(actionsOf[Fetch](s.Step(309, Tick{}))), 0)
	is.Equal(actionsOf[Fetch](s.Step(310, Tick{})), []Fetch{{From: "c", Have: 5}})
	// c restarted and has a lower revision than it reported; b is fetched from again.
	is.Equal(actionsOf[Fetch](s.Step(320, FetchResponse{From: "c"})), []Fetch{{From: "b", Have: 5}})
	is.Equal(len(actionsOf[ApplyRevision](s.Step(330, FetchResponse{From: "b", Revision: 6}))), 1)
	is.Equal(len(actionsOf[Fetch](s.Step(2000, Tick{}))), 0)
}

// Guards against a host that becomes ready before it has tried to obtain the
// newest revision, or never becomes ready while the store is down.
func TestReady(t *testing.T) {
	tests := []struct {
		name   string
		events []Event
		at     clock.Time
		want   bool
	}{
		{"no answer", []Event{Tick{}}, 900, false},
		{"no answer for 5 s", []Event{Tick{}, StoreReadFailed{}}, 5000, false},
		{"store answered", []Event{StoreRead{Revision: 1}}, 0, true},
		{"store is empty", []Event{StoreRead{}}, 0, true},
		{"store failed, one peer pending", []Event{StoreReadFailed{}, FetchResponse{From: "b", Revision: 1}}, 900, false},
		{"store failed, one peer lost", []Event{StoreReadFailed{}, FetchResponse{From: "b", Revision: 1}}, 1000, true},
		{"store failed, peers answered", []Event{StoreReadFailed{}, FetchResponse{From: "b", Revision: 1}, FetchResponse{From: "c"}}, 10, true},
		{"peers have no revision", []Event{StoreReadFailed{}, FetchResponse{From: "b"}, FetchResponse{From: "c"}}, 900, false},
		{"store pending, peers answered", []Event{Tick{}, FetchResponse{From: "b", Revision: 1}, FetchResponse{From: "c"}}, 900, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestState("b", "c")
			for _, ev := range tt.events {
				s.Step(0, ev)
			}
			s.Step(tt.at, Tick{})
			is.Equal(s.Ready(), tt.want)
		})
	}
}

// Guards against lost hosts that count as live, live hosts that don't, and late
// heartbeats of earlier incarnations that replace newer ones.
func TestLive(t *testing.T) {
	type step struct {
		t  clock.Time
		ev Event
	}
	const n = 3 // hosts known in most cases: heartbeatTimeout is 13.6 s
	timeout := clock.Time(groupHeartbeatTimeout + n*heartbeatTimeoutPerHost)
	tests := []struct {
		name  string
		steps []step
		end   clock.Time
		want  string
	}{
		{"listed, no heartbeat", []step{{0, newHostList("x", "y")}}, 1, "[a]"},
		{"listed, with a heartbeat", []step{{0, newHostList("x", "y")}, {5, newDigestReceived("x", 1, 1, 0)}}, 6, "[a x]"},
		{"heartbeat relayed", []step{{0, newHostList("x", "y")}, {5, newDigestReceived("x", 1, 1, 0, Heartbeat{Host: "y", Incarnation: 1, Count: 1})}}, 6, "[a x y]"},
		{"end of the timeout", []step{{0, newHostList("x", "y")}, {0, newDigestReceived("x", 1, 1, 0)}}, timeout, "[a x]"},
		{"after the timeout", []step{{0, newHostList("x", "y")}, {0, newDigestReceived("x", 1, 1, 0)}}, timeout + 1, "[a]"},
		{"same heartbeat again", []step{{0, newHostList("x", "y")}, {0, newDigestReceived("x", 1, 1, 0)}, {9000, newDigestReceived("x", 1, 1, 0)}}, timeout + 1, "[a]"},
		{"leaving according to its heartbeat", []step{{0, newHostList("x")}, {1, DigestReceived{"x", 1, Digest{Count: 2, Leaving: true}}}}, 2, "[a]"},
		{"leaving according to the list", []step{{0, newDigestReceived("x", 1, 1, 0)}, {1, HostList{[]Member{{"x", "north-1", true}}}}}, 2, "[a]"},
		{"unlisted, with a heartbeat", []step{{0, newHostList("y")}, {5, newDigestReceived("x", 1, 1, 0)}}, 6, "[a x]"},
		{"unlisted too long", []step{{0, newDigestReceived("x", 1, 1, 0)}, {59000, newDigestReceived("x", 1, 9, 0)}, {60001, newHostList("y")}}, 60002, "[a]"},
		{"unlisted, no lists", []step{{0, newDigestReceived("x", 1, 1, 0)}, {60001, newDigestReceived("x", 1, 9, 0)}}, 60002, "[a x]"},
		{"removed from the list", []step{{0, newHostList("x")}, {1, newHostList()}, {59000, newHostList()}, {59001, newDigestReceived("x", 1, 9, 0)}}, 59002, "[a x]"},
		{"removed for long", []step{{0, newHostList("x")}, {1, newHostList()}, {60002, newHostList()}, {60003, newDigestReceived("x", 1, 9, 0)}}, 60004, "[a]"},
		{"restart", []step{{0, newHostList("x")}, {0, DigestReceived{"x", 1, Digest{Count: 9, Leaving: true}}}, {1, newDigestReceived("x", 2, 1, 0)}}, 2, "[a x]"},
		{"late heartbeat of an earlier incarnation", []step{{0, newHostList("x")}, {0, newDigestReceived("x", 2, 1, 0)}, {timeout, newDigestReceived("x", 1, 99, 0)}}, timeout + 1, "[a]"},
		{"leaving itself", []step{{0, Leave{}}}, 1, "[]"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestState()
			for _, st := range tt.steps {
				s.Step(st.t, st.ev)
			}
			s.Step(tt.end, Tick{})
			is.Equal(fmt.Sprint(s.Live()), tt.want)
		})
	}
}

// Guards against two processes with the same host name that don't detect each
// other.
func TestSuperseded(t *testing.T) {
	is := is.New(t)
	s := newTestState("b")
	is.Equal(len(actionsOf[Superseded](s.Step(0, newDigestReceived("b", 1, 1, 0, Heartbeat{Host: "a", Incarnation: testIncarnation})))), 0)
	is.Equal(actionsOf[Superseded](s.Step(0, newDigestReceived("b", 1, 2, 0, Heartbeat{Host: "a", Incarnation: testIncarnation + 1}))), []Superseded{{testIncarnation + 1}})
}

// Guards against a data centre without a watcher after the loss of hosts, and
// against watchers that stop and start in quick succession.
func TestWatching(t *testing.T) {
	is := is.New(t)
	names := []keys.Host{"a", "b", "c", "d"}
	slices.SortFunc(names, func(x, y keys.Host) int { return rank("north-1", x, 0).compare(rank("north-1", y, 0)) })
	s := New(Config{Host: names[2], Incarnation: testIncarnation, DataCentre: "north-1", Group: names, Seed: 1})
	sendHeartbeats := func(from, to clock.Time, hosts ...keys.Host) {
		for now := from; now < to; now += 500 {
			for _, h := range hosts {
				s.Step(now, newDigestReceived(h, 1, uint64(now)+1, 0))
			}
			s.Step(now, Tick{})
		}
	}
	sendHeartbeats(0, 10000, names[0], names[1])
	is.True(!s.Watching()) // two live hosts precede it
	sendHeartbeats(10000, 12500, names[0])
	is.True(!s.Watching())                 // the last heartbeat of names[1] was at 9.5 s
	sendHeartbeats(12500, 13500, names[0]) // and counts for 3 s
	is.True(s.Watching())                  // one live host precedes it
	sendHeartbeats(13500, 18500, names[:2]...)
	is.True(s.Watching()) // two precede it again, but for less than 5 s
	sendHeartbeats(18500, 19500, names[:2]...)
	is.True(!s.Watching())
	s.Step(19500, DigestReceived{names[0], 1, Digest{Count: 1 << 30, Leaving: true}})
	is.True(s.Watching()) // a leaving host doesn't count as a watcher
}

// Guards against digests that grow with the fleet, that reach only one data
// centre, or that are sent in a burst after a pause.
func TestRound(t *testing.T) {
	is := is.New(t)
	var l HostList
	s := newTestState("b", "c", "d")
	for i := range 2000 {
		m := Member{Host: keys.Host(fmt.Sprintf("north-%d-%04d", i%4+1, i)), DataCentre: dcName(i % 4)}
		l.Members = append(l.Members, m)
	}
	s.Step(0, l)
	bytes, targets := 0, make(map[keys.Host]bool)
	for now := clock.Time(0); now < 60000; now += 100 {
		digests := actionsOf[SendDigest](s.Step(now, Tick{}))
		for i := range 20 {
			s.Step(now, newDigestReceived(l.Members[(int(now)+i)%2000].Host, 1, uint64(now)+1, 0))
		}
		is.True(len(digests) <= digestsPerRound)
		for _, a := range digests {
			bytes += a.Digest.Size("a")
			targets[a.To[:min(7, len(a.To))]] = true
		}
	}
	is.True(bytes <= 60*MaxRate)
	is.True(bytes > 55*MaxRate) // the rest is used for heartbeats
	is.Equal(len(targets), 3+4) // the group and four data centres
	is.Equal(len(actionsOf[SendDigest](s.Step(90000, Tick{}))), digestsPerRound)
	is.Equal(len(actionsOf[SendDigest](s.Step(90001, Tick{}))), 0)
}
