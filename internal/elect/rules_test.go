package elect

import (
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

var group = []keys.Host{"a", "b", "c", "d", "e"}

// onlyAction returns the action of type T, of which there must be at most one.
func onlyAction[T Action](t *testing.T, as []Action) (found T, ok bool) {
	t.Helper()
	for _, a := range as {
		if a, is := a.(T); is {
			if ok {
				t.Fatalf("found two actions of type %T, want at most one", a)
			}
			found, ok = a, true
		}
	}
	return found, ok
}

// newStateWithRole returns the state of host a, incarnation 1, which has read r
// at time 0.
func newStateWithRole(t *testing.T, r Role) *State {
	s := New(Config{Self: "a", Incarnation: 1, Group: group})
	read, ok := onlyAction[ReadRole](t, s.Step(0, Tick{}))
	if !ok {
		t.Fatal("the first Step of a new host returned no ReadRole")
	}
	s.Step(0, RoleRead{Op: read.Op, Role: r, Version: 7, Found: true})
	return s
}

func voters(hosts ...keys.Host) (vs []Voter) {
	for _, h := range hosts {
		vs = append(vs, Voter{h, 1})
	}
	return vs
}

// runGranting runs s until time end while the given voters grant every request,
// and returns the other actions.
func runGranting(s *State, from, end clock.Time, granting ...Voter) (rest []Action) {
	for now := from; now <= end; now += 10 {
		rest = append(rest, stepGranting(s, now, Tick{}, granting)...)
	}
	return rest
}

func stepGranting(s *State, now clock.Time, ev Event, granting []Voter) (rest []Action) {
	for queue := s.Step(now, ev); len(queue) > 0; queue = queue[1:] {
		req, ok := queue[0].(PromiseRequest)
		if !ok {
			rest = append(rest, queue[0])
		}
		for _, v := range granting {
			if ok && v.Host == req.To {
				grant := v.Incarnation == req.ToIncarnation && req.Term > 0
				queue = append(queue, s.Step(now, PromiseResponded{
					From: v.Host, FromIncarnation: v.Incarnation, ToIncarnation: 1, Nonce: req.Nonce, Granted: grant, Version: req.Version,
				})...)
			}
		}
	}
	return rest
}

// Guards against a voter that grants promises to two hosts at once or under one
// term, grants a lower term than before, or accepts a request that was addressed
// to its previous incarnation.
func TestVoter(t *testing.T) {
	tests := []struct {
		name string
		at   clock.Time
		ev   Event
		want bool
	}{
		{"first request", 0, PromiseRequested{From: "b", FromIncarnation: 1, ToIncarnation: 1, Term: 10, Nonce: 4}, true},
		{"another host during the promise", 299, PromiseRequested{From: "c", FromIncarnation: 1, ToIncarnation: 1, Term: 11, Nonce: 1}, false},
		{"renewal", 100, PromiseRequested{From: "b", FromIncarnation: 1, ToIncarnation: 1, Term: 10, Nonce: 5}, true},
		{"lower term", 100, PromiseRequested{From: "b", FromIncarnation: 1, ToIncarnation: 1, Term: 9, Nonce: 6}, false},
		{"restarted holder during the promise", 100, PromiseRequested{From: "b", FromIncarnation: 2, ToIncarnation: 1, Term: 11, Nonce: 1}, false},
		{"same term for another host afterwards", 300, PromiseRequested{From: "c", FromIncarnation: 1, ToIncarnation: 1, Term: 10, Nonce: 1}, false},
		{"same term for a restarted holder", 300, PromiseRequested{From: "b", FromIncarnation: 2, ToIncarnation: 1, Term: 10, Nonce: 1}, false},
		{"higher term afterwards", 300, PromiseRequested{From: "c", FromIncarnation: 1, ToIncarnation: 1, Term: 11, Nonce: 1}, true},
		{"request to an earlier incarnation", 0, PromiseRequested{From: "b", FromIncarnation: 1, ToIncarnation: 9, Term: 11, Nonce: 6}, false},
		{"probe", 0, PromiseRequested{From: "b", FromIncarnation: 1, ToIncarnation: 1, Nonce: 6}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := New(Config{Self: "a", Incarnation: 1, Group: group})
			s.Step(0, tests[0].ev)
			r, ok := onlyAction[PromiseResponse](t, s.Step(tt.at, tt.ev))
			is.True(ok)
			is.Equal(r.Granted, tt.want)
			is.Equal(r.Highest, max(10, map[bool]uint32{true: r.Term}[tt.want]))
		})
	}
}

// Guards against a late PromiseRelease that ends a promise which was renewed
// after the PromiseRelease was sent.
func TestRelease(t *testing.T) {
	for _, tt := range []struct {
		name  string
		nonce uint64
		want  bool
	}{{"late", 4, false}, {"current", 5, true}} {
		t.Run(tt.name, func(t *testing.T) {
			s := New(Config{Self: "a", Incarnation: 1, Group: group})
			s.Step(0, PromiseRequested{From: "b", FromIncarnation: 1, ToIncarnation: 1, Term: 10, Nonce: 5})
			s.Step(0, PromiseRequested{From: "b", FromIncarnation: 1, ToIncarnation: 1, Term: 10, Nonce: 3})
			s.Step(10, PromiseReleased{From: "b", FromIncarnation: 1, Nonce: tt.nonce})
			r, _ := onlyAction[PromiseResponse](t, s.Step(20, PromiseRequested{From: "c", FromIncarnation: 1, ToIncarnation: 1, Term: 11, Nonce: 1}))
			is.New(t).Equal(r.Granted, tt.want)
		})
	}
}

// Guards against a role held with too few promises, after their expiry, or with
// a reply to an earlier incarnation of the holder.
func TestHolder(t *testing.T) {
	abc := Role{Epoch: 2, Holder: "a", Voters: voters("a", "b", "c")}
	joint := Role{Epoch: 2, Holder: "a", Voters: voters("a", "b", "d"), Previous: voters("a", "c", "e")}
	tests := []struct {
		name     string
		role     Role
		granting []Voter
		want     bool
	}{
		{"majority", abc, voters("b"), true},
		{"no other voter", abc, nil, false},
		{"restarted voter", abc, []Voter{{"b", 2}, {"c", 2}}, false},
		{"majority of the new voters only", joint, voters("b", "d"), false},
		{"majority of the previous voters only", joint, voters("c", "e"), false},
		{"majorities of both", joint, voters("b", "e"), true},
		{"not a voter", Role{Epoch: 2, Voters: voters("b", "c", "d")}, voters("b", "c", "d"), false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newStateWithRole(t, tt.role)
			runGranting(s, 0, 200, tt.granting...)
			term, ok := s.Holding(200)
			is.Equal(ok, tt.want)
			if ok {
				is.Equal(term, uint32(2<<countBits))
			}
		})
	}
	t.Run("time", func(t *testing.T) {
		is := is.New(t)
		s := newStateWithRole(t, abc)
		var req PromiseRequest
		now := clock.Time(0)
		for ; req.Nonce == 0; now++ {
			for _, a := range s.Step(now, Tick{}) {
				if a, ok := a.(PromiseRequest); ok && a.To == "b" {
					req = a
				}
			}
		}
		sentAt := now - 1
		reply := PromiseResponded{From: "b", FromIncarnation: 1, ToIncarnation: 9, Nonce: req.Nonce, Granted: true}
		s.Step(sentAt+50, reply)
		_, ok := s.Holding(sentAt + 50)
		is.True(!ok) // the reply was addressed to another incarnation
		reply.ToIncarnation = 1
		_, ok = onlyAction[Elected](t, s.Step(sentAt+50, reply))
		is.True(ok)
		_, ok = s.Holding(sentAt + 289)
		is.True(ok)
		_, ok = s.Holding(sentAt + 290) // counted from the request, minus ClockMargin
		is.True(!ok)
		_, ok = onlyAction[Deposed](t, s.Step(sentAt+300, reply)) // a late duplicate
		is.True(ok)
		_, ok = s.Holding(sentAt + 300)
		is.True(!ok)
	})
}

// Guards against voters that are changed without a majority of the old ones, and
// against a cell whose voters stay unable to elect a holder.
func TestRole(t *testing.T) {
	abc := voters("a", "b", "c")
	tests := []struct {
		name     string
		role     Role
		granting []Voter
		end      clock.Time
		want     []Role // written
	}{
		{"restarted voter", Role{2, "a", abc, nil}, []Voter{{"b", 1}, {"c", 2}}, 400,
			[]Role{{3, "a", []Voter{{"a", 1}, {"b", 1}, {"c", 2}}, abc}}},
		{"timed-out voter without a replacement", Role{2, "a", abc, nil}, voters("b"), 4000, nil},
		{"timed-out voter", Role{2, "a", abc, nil}, voters("b", "d"), 3200,
			[]Role{{3, "a", voters("a", "b", "d"), abc}}},
		{"more hosts", Role{2, "a", abc, nil}, voters("b", "c", "d", "e"), 200,
			[]Role{{3, "a", voters("a", "b", "c", "d", "e"), abc}}},
		{"fenced previous voters", Role{2, "a", voters("a", "b", "d"), abc}, voters("b", "c", "d"), 200,
			[]Role{{2, "a", voters("a", "b", "d"), nil}}},
		{"previous voters that are not fenced", Role{2, "a", voters("a", "b", "d"), abc}, voters("d"), 200, nil},
		{"another holder stored", Role{2, "b", abc, nil}, voters("b", "c"), 200, []Role{{2, "a", abc, nil}}},
		{"majority restarted, promises not expired", Role{2, "b", abc, nil}, []Voter{{"b", 2}, {"c", 2}}, 300, nil},
		{"majority restarted", Role{2, "b", abc, nil}, []Voter{{"b", 2}, {"c", 2}}, 600,
			[]Role{{3, "b", []Voter{{"a", 1}, {"b", 2}, {"c", 2}}, nil}}},
		{"new voters restarted, previous ones not", Role{2, "b", voters("a", "d", "e"), abc},
			[]Voter{{"b", 1}, {"c", 1}, {"d", 2}, {"e", 2}}, 600,
			[]Role{{3, "b", []Voter{{"a", 1}, {"b", 1}, {"c", 1}, {"d", 2}, {"e", 2}}, abc}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newStateWithRole(t, tt.role)
			for now := clock.Time(0); now <= tt.end; now += 10 {
				as := stepGranting(s, now, Tick{}, tt.granting)
				for _, v := range tt.granting {
					as = append(as, stepGranting(s, now, IncarnationSeen(v), tt.granting)...)
				}
				for _, a := range as {
					if w, ok := a.(WriteRole); ok {
						is.True(len(tt.want) > 0) // a write is expected
						is.Equal(w.Role, tt.want[0])
						is.Equal(w.IfVersion, uint64(7))
						return
					}
				}
			}
			is.Equal(len(tt.want), 0) // the expected write was seen
		})
	}
}

// Guards against the first voters being named without a majority of the group,
// which both halves of a partitioned group could do, and against the use of a
// role before it is known to be stored.
func TestFirstRole(t *testing.T) {
	tests := []struct {
		name  string
		peers []keys.Host
		want  int
	}{{"two of five", group[1:2], 0}, {"three of five", group[1:3], 3}, {"all", group[1:], 5}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := New(Config{Self: "a", Incarnation: 1, Group: group})
			read, _ := onlyAction[ReadRole](t, s.Step(0, Tick{}))
			s.Step(0, RoleRead{Op: read.Op})
			for _, h := range tt.peers {
				s.Step(0, IncarnationSeen{h, 1})
			}
			w, ok := onlyAction[WriteRole](t, s.Step(80, Tick{}))
			is.Equal(len(w.Role.Voters), tt.want)
			is.Equal(ok, tt.want > 0)
			if !ok {
				return
			}
			s.Step(80, RoleIndeterminate{w.Op})
			is.True(!s.Dump().Found)
			s.Step(90, RoleWritten{w.Op, 1}) // too late: the role has to be read first
			is.True(!s.Dump().Found)
			as := runGranting(s, 100, 600)
			_, wrote := onlyAction[WriteRole](t, as)
			is.True(!wrote)
			read, _ = onlyAction[ReadRole](t, as[:1])
			s.Step(600, RoleRead{Op: read.Op, Role: w.Role, Version: 1, Found: true})
			is.True(s.Dump().Found) // accepted also after the timeout of the read
		})
	}
}

// Guards against two candidates that each obtain some promises and wait for the
// others to expire. With equal terms the one with the lower name yields.
func TestCollision(t *testing.T) {
	is := is.New(t)
	s := newStateWithRole(t, Role{Epoch: 2, Voters: voters("a", "b", "c")})
	runGranting(s, 0, 100)
	term := s.Dump().CampaignTerm
	is.True(s.Dump().Campaigning)
	as := s.Step(105, PromiseRequested{From: "b", FromIncarnation: 1, ToIncarnation: 1, Term: term, Nonce: 1})
	r, _ := onlyAction[PromiseResponse](t, as)
	is.True(r.Granted)
	_, ok := as[0].(PromiseRelease) // to another voter
	is.True(ok)
	is.True(!s.Dump().Campaigning)
}

// Guards against late messages of an earlier incarnation that are taken for a
// restart.
func TestLateIncarnation(t *testing.T) {
	is := is.New(t)
	s := newStateWithRole(t, Role{Epoch: 2, Voters: voters("a", "b", "c")})
	as := append(s.Step(0, IncarnationSeen{"b", 9}), s.Step(0, IncarnationSeen{"c", 9})...)
	probe, ok := as[0].(PromiseRequest)
	is.True(ok && probe.Term == 0 && probe.ToIncarnation == 1) // sends a probe first
	for now := clock.Time(10); now < 1000; now += 10 {
		_, wrote := onlyAction[WriteRole](t, s.Step(now, Tick{}))
		is.True(!wrote)
	}
}

// Guards against a term of one epoch that is held with promises of the voters
// of another epoch.
func TestEpoch(t *testing.T) {
	is := is.New(t)
	s := newStateWithRole(t, Role{Epoch: 2, Holder: "a", Voters: voters("a", "b", "c")})
	runGranting(s, 0, 100, voters("b", "c")...)
	refuse := func(highest uint32) {
		for _, a := range s.Step(s.campaign.progress[Voter{"b", 1}].requestedAt.Add(RenewalInterval), Tick{}) {
			if a, ok := a.(PromiseRequest); ok && a.To == "b" {
				s.Step(200, PromiseResponded{From: "b", FromIncarnation: 1, ToIncarnation: 1, Nonce: a.Nonce, Highest: highest})
			}
		}
	}
	refuse(2<<countBits | 5)
	refuse(4 << countBits) // of a role that this host has not read
	s.Step(200, RoleRead{Role: Role{Epoch: 3, Voters: voters("a", "b", "d")}, Version: 8, Found: true})
	is.Equal(s.Dump().CampaignTerm, uint32(2<<countBits|6))
	for _, a := range runGranting(s, 210, 400, voters("b", "c", "d")...) {
		_, ok := a.(Elected)
		is.True(!ok)
	}
}
