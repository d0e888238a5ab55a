package spread

import (
	"fmt"
	"slices"
	"testing"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"github.com/matryer/is"
)

const testBoot = 100

func newTestState(group ...keys.Host) *State {
	return New(Config{Host: "a", Boot: testBoot, DataCentre: "north-1", Group: group, Seed: 1})
}

// actions returns the actions of one type.
func actions[A Action](l []Action) (out []A) {
	for _, a := range l {
		if a, ok := a.(A); ok {
			out = append(out, a)
		}
	}
	return out
}

func hear(from keys.Host, boot, beat, revision uint64, hosts ...Beat) Heard {
	return Heard{from, boot, Digest{Revision: revision, Beat: beat, Hosts: hosts}}
}

func listed(names ...keys.Host) (l Listed) {
	for _, n := range names {
		l.Members = append(l.Members, Member{Host: n, DataCentre: "north-1"})
	}
	return l
}

// Guards against a late answer or read that takes the configuration back.
func TestAdoptOnlyHigher(t *testing.T) {
	tests := []struct {
		name  string
		event Event
		want  uint64
	}{
		{"lower from a peer", Fetched{From: "b", Revision: 4}, 5},
		{"same from a peer", Fetched{From: "b", Revision: 5}, 5},
		{"higher from a peer", Fetched{From: "b", Revision: 6}, 6},
		{"lower from the store", Watched{Revision: 4}, 5},
		{"higher from the store", Watched{Revision: 7}, 7},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestState("b", "c")
			s.Step(0, Watched{Revision: 5})
			acts := s.Step(250, tt.event)
			got, _ := s.Current()
			is.Equal(got, tt.want)
			is.Equal(len(actions[Adopt](acts)) == 1, tt.want > 5)
			if tt.want > 5 {
				is.True(len(actions[Tell](acts)) > 0) // told at once
			}
		})
	}
}

// Guards against a fetch that waits forever for a lost host, and against a
// second fetch while one is under way.
func TestFetchRetry(t *testing.T) {
	is := is.New(t)
	s := newTestState("b", "c")
	s.Step(0, Watched{Revision: 5})
	is.Equal(actions[Fetch](s.Step(10, hear("b", 1, 1, 6))), []Fetch{{From: "b", Have: 5}})
	is.Equal(len(actions[Fetch](s.Step(20, hear("c", 1, 1, 6)))), 0)
	is.Equal(len(actions[Fetch](s.Step(309, Tick{}))), 0)
	is.Equal(actions[Fetch](s.Step(310, Tick{})), []Fetch{{From: "c", Have: 5}})
	// The restarted host has less than it told; b is asked again.
	is.Equal(actions[Fetch](s.Step(320, Fetched{From: "c"})), []Fetch{{From: "b", Have: 5}})
	is.Equal(len(actions[Adopt](s.Step(330, Fetched{From: "b", Revision: 6}))), 1)
	is.Equal(len(actions[Fetch](s.Step(2000, Tick{}))), 0)
}

// Guards against a host that serves before it asked, or never when the store
// is down.
func TestReady(t *testing.T) {
	tests := []struct {
		name   string
		events []Event
		at     clock.Time
		want   bool
	}{
		{"nothing answered", []Event{Tick{}}, 900, false},
		{"nothing answered for long", []Event{Tick{}, StoreFailed{}}, 5000, false},
		{"store answered", []Event{Watched{Revision: 1}}, 0, true},
		{"store is empty", []Event{Watched{}}, 0, true},
		{"store failed, one peer open", []Event{StoreFailed{}, Fetched{From: "b", Revision: 1}}, 900, false},
		{"store failed, one peer lost", []Event{StoreFailed{}, Fetched{From: "b", Revision: 1}}, 1000, true},
		{"store failed, peers answered", []Event{StoreFailed{}, Fetched{From: "b", Revision: 1}, Fetched{From: "c"}}, 10, true},
		{"peers have nothing", []Event{StoreFailed{}, Fetched{From: "b"}, Fetched{From: "c"}}, 900, false},
		{"store silent, peers answered", []Event{Tick{}, Fetched{From: "b", Revision: 1}, Fetched{From: "c"}}, 900, false},
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

// Guards against lost hosts that count as live, live hosts that don't, and
// former runs that come back.
func TestLive(t *testing.T) {
	type at struct {
		t  clock.Time
		ev Event
	}
	const n = 3 // hosts known in most cases: silentSpan is 13.6 s
	silent := clock.Time(groupSilentSpan + n*silentSpanPerHost)
	tests := []struct {
		name  string
		steps []at
		end   clock.Time
		want  string
	}{
		{"listed, not heard", []at{{0, listed("x", "y")}}, 1, "[a]"},
		{"listed and heard", []at{{0, listed("x", "y")}, {5, hear("x", 1, 1, 0)}}, 6, "[a x]"},
		{"heard through another", []at{{0, listed("x", "y")}, {5, hear("x", 1, 1, 0, Beat{Host: "y", Boot: 1, Beat: 1})}}, 6, "[a x y]"},
		{"until silent", []at{{0, listed("x", "y")}, {0, hear("x", 1, 1, 0)}}, silent, "[a x]"},
		{"silent", []at{{0, listed("x", "y")}, {0, hear("x", 1, 1, 0)}}, silent + 1, "[a]"},
		{"same heartbeat again", []at{{0, listed("x", "y")}, {0, hear("x", 1, 1, 0)}, {9000, hear("x", 1, 1, 0)}}, silent + 1, "[a]"},
		{"leaving by heartbeat", []at{{0, listed("x")}, {1, Heard{"x", 1, Digest{Beat: 2, Leaving: true}}}}, 2, "[a]"},
		{"leaving by the list", []at{{0, hear("x", 1, 1, 0)}, {1, Listed{[]Member{{"x", "north-1", true}}}}}, 2, "[a]"},
		{"unlisted, heard", []at{{0, listed("y")}, {5, hear("x", 1, 1, 0)}}, 6, "[a x]"},
		{"unlisted too long", []at{{0, hear("x", 1, 1, 0)}, {59000, hear("x", 1, 9, 0)}, {60001, listed("y")}}, 60002, "[a]"},
		{"unlisted, no lists", []at{{0, hear("x", 1, 1, 0)}, {60001, hear("x", 1, 9, 0)}}, 60002, "[a x]"},
		{"removed from the list", []at{{0, listed("x")}, {1, listed()}, {59000, listed()}, {59001, hear("x", 1, 9, 0)}}, 59002, "[a x]"},
		{"removed for long", []at{{0, listed("x")}, {1, listed()}, {60002, listed()}, {60003, hear("x", 1, 9, 0)}}, 60004, "[a]"},
		{"restart", []at{{0, listed("x")}, {0, Heard{"x", 1, Digest{Beat: 9, Leaving: true}}}, {1, hear("x", 2, 1, 0)}}, 2, "[a x]"},
		{"late former run", []at{{0, listed("x")}, {0, hear("x", 2, 1, 0)}, {silent, hear("x", 1, 99, 0)}}, silent + 1, "[a]"},
		{"leaving itself", []at{{0, Leave{}}}, 1, "[]"},
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

// Guards against two runs of one name that don't notice each other.
func TestSuperseded(t *testing.T) {
	is := is.New(t)
	s := newTestState("b")
	is.Equal(len(actions[Superseded](s.Step(0, hear("b", 1, 1, 0, Beat{Host: "a", Boot: testBoot})))), 0)
	is.Equal(actions[Superseded](s.Step(0, hear("b", 1, 2, 0, Beat{Host: "a", Boot: testBoot + 1}))), []Superseded{{testBoot + 1}})
}

// Guards against a data centre without a watcher after losses, and against
// watchers that come and go.
func TestWatching(t *testing.T) {
	is := is.New(t)
	names := []keys.Host{"a", "b", "c", "d"}
	slices.SortFunc(names, func(x, y keys.Host) int { return rank("north-1", x, 0).compare(rank("north-1", y, 0)) })
	s := New(Config{Host: names[2], Boot: testBoot, DataCentre: "north-1", Group: names, Seed: 1})
	both := func(from, to clock.Time, hosts ...keys.Host) {
		for now := from; now < to; now += 500 {
			for _, h := range hosts {
				s.Step(now, hear(h, 1, uint64(now)+1, 0))
			}
			s.Step(now, Tick{})
		}
	}
	both(0, 10000, names[0], names[1])
	is.True(!s.Watching()) // two before it
	both(10000, 12500, names[0])
	is.True(!s.Watching())       // names[1] was heard at 9.5 s
	both(12500, 13500, names[0]) // and counts for 3 s
	is.True(s.Watching())        // one before it
	both(13500, 18500, names[:2]...)
	is.True(s.Watching()) // two again, but for less than 5 s
	both(18500, 19500, names[:2]...)
	is.True(!s.Watching())
	s.Step(19500, Heard{names[0], 1, Digest{Beat: 1 << 30, Leaving: true}})
	is.True(s.Watching()) // a leaving host isn't relied on
}

// Guards against digests that grow with the fleet, that reach only one data
// centre, or that go out in a burst after a pause.
func TestRound(t *testing.T) {
	is := is.New(t)
	var l Listed
	s := newTestState("b", "c", "d")
	for i := range 2000 {
		m := Member{Host: keys.Host(fmt.Sprintf("north-%d-%04d", i%4+1, i)), DataCentre: dcName(i % 4)}
		l.Members = append(l.Members, m)
	}
	s.Step(0, l)
	bytes, reached := 0, make(map[keys.Host]bool)
	for now := clock.Time(0); now < 60000; now += 100 {
		tells := actions[Tell](s.Step(now, Tick{}))
		for i := range 20 {
			s.Step(now, hear(l.Members[(int(now)+i)%2000].Host, 1, uint64(now)+1, 0))
		}
		is.True(len(tells) <= digestsPerRound)
		for _, a := range tells {
			bytes += a.Digest.Size("a")
			reached[a.To[:min(7, len(a.To))]] = true
		}
	}
	is.True(bytes <= 60*MaxRate)
	is.True(bytes > 55*MaxRate) // the rest is used for heartbeats
	is.Equal(len(reached), 3+4) // the group and four data centres
	is.Equal(len(actions[Tell](s.Step(90000, Tick{}))), digestsPerRound)
	is.Equal(len(actions[Tell](s.Step(90001, Tick{}))), 0)
}
