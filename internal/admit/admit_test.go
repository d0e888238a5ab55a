package admit

import (
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
)

var sv1 = fleet.Incarnation{ID: "s1", Born: 7}

func newState() *State {
	s := New(1)
	s.SetColdBound(1.5, 8)
	s.SetServers(0, []Server{{ID: "s1", Born: 7, Slots: 2}})
	return s
}

// newRequest returns a request of 100 ms with an objective of 500 ms and a deadline of
// 2 s.
func newRequest(num uint64, now clock.Time, change func(r *Request)) Request {
	r := Request{ID: ID{"h", num}, Server: sv1, Slots: 2, Priority: 1, Objective: now.Add(500), Deadline: now.Add(2000), RouteMean: 100}
	if change != nil {
		change(&r)
	}
	return r
}

func admitted(replies []Reply) (nums []uint64) {
	for _, r := range replies {
		if a, ok := r.(Admitted); ok {
			nums = append(nums, a.ID.Num)
		}
	}
	return nums
}

// fill has three requests admitted, as many as a server with two slots gets.
func fill(s *State, now clock.Time) {
	for num := range uint64(3) {
		s.Ask(now, newRequest(100+num, now, nil))
	}
}

// Guards against a full server that seems slower than it is: the request that waits there
// for a slot took half as long again, and requests that the server can serve in time were
// refused.
func TestServiceTimeOfFullServer(t *testing.T) {
	is := is.New(t)
	s := newState()
	fill(s, 0)
	num, running := uint64(200), []uint64{100, 101, 102}
	for now := clock.Time(50); now < 5000; now += 50 {
		s.Ask(now, newRequest(num, now, nil))
		// Two slots, 100 ms each: one request completes every 50 ms, having spent 150 ms there.
		duration := min(clock.Span(150), now.Sub(0)) // the first two didn't wait
		s.Done(now, ID{"h", running[0]}, Result{Duration: duration})
		running = append(running[1:], num)
		num++
	}
	is.True(s.Queues()["s1"].Ratio < 1.1)
}

// Guards against the starvation of requests that are urgent or due soon by those that
// came first, and against capacity spent on requests that are late anyway.
func TestOrder(t *testing.T) {
	is := is.New(t)
	s := newState()
	fill(s, 0)
	for _, r := range []Request{
		newRequest(1, 0, func(r *Request) { r.Priority = 2 }),
		newRequest(2, 0, func(r *Request) { r.Objective = 50 }), // can't be met
		newRequest(3, 0, func(r *Request) { r.Objective = 450 }),
		newRequest(4, 0, func(r *Request) { r.Objective = 300 }),
		newRequest(5, 0, func(r *Request) { r.Priority = 0 }),
	} {
		is.Equal(len(admitted(s.Ask(0, r))), 0)
	}
	var order []uint64
	for num := range uint64(5) {
		order = append(order, admitted(s.Done(10, ID{"h", []uint64{100, 101, 102, 5, 4}[num]}, Result{}))...)
	}
	is.Equal(order, []uint64{5, 4, 3, 2, 1})
}

// Guards against requests that are held until their deadline though the queue ahead shows
// that they can't be served, and against all refused callers coming back at once.
func TestRefusal(t *testing.T) {
	is := is.New(t)
	s := newState()
	fill(s, 0)
	var delays []clock.Span
	queued := 0
	for num := range uint64(60) {
		for _, r := range s.Ask(0, newRequest(num, 0, nil)) {
			switch r := r.(type) {
			case Queued:
				queued++
			case Refused:
				delays = append(delays, r.RetryAfter)
			}
		}
	}
	is.True(queued >= 15 && queued <= 20) // a slot is free every 50 ms, and half of the 2 s may be waited
	is.True(slices.Min(delays) >= 900)
	is.True(slices.Max(delays)-slices.Min(delays) > 100)
	is.Equal(len(s.requests), 3+queued)
}

// Every kind of event that ends a reservation must free its place, and only once.
func TestReservations(t *testing.T) {
	tests := []struct {
		name string
		end  func(s *State) []Reply
		next int // requests that are admitted by it
	}{
		{"result", func(s *State) []Reply { return s.Done(50, ID{"h", 100}, Result{Duration: 50}) }, 1},
		{"result twice", func(s *State) []Reply {
			return append(s.Done(50, ID{"h", 100}, Result{}), s.Done(50, ID{"h", 100}, Result{})...)
		}, 1},
		{"result of an unknown request", func(s *State) []Reply { return s.Done(50, ID{"h", 999}, Result{}) }, 0},
		{"result from another host", func(s *State) []Reply { return s.Done(50, ID{"g", 100}, Result{}) }, 0},
		{"the same ask again", func(s *State) []Reply { return s.Ask(50, newRequest(1, 50, nil)) }, 0},
		{"cancelled while it waits", func(s *State) []Reply { return s.Cancel(50, ID{"h", 1}) }, 0},
		{"no result until the deadline", func(s *State) []Reply { return s.Tick(2000) }, 2},
		{"no result long before the deadline", func(s *State) []Reply {
			for _, q := range s.requests {
				q.Deadline = 60_000
			}
			return s.Tick(2000)
		}, 2},
		{"server reports that only this one was there", func(s *State) []Reply {
			return s.Done(50, ID{"h", 100}, Result{Duration: 50, HasLoad: true})
		}, 1},
		{"the same, after the others' results must have come", func(s *State) []Reply {
			return s.Done(600, ID{"h", 100}, Result{Duration: 100, HasLoad: true})
		}, 2},
		{"server reports that the others are still there", func(s *State) []Reply {
			return s.Done(600, ID{"h", 100}, Result{Duration: 100, Load: 2, HasLoad: true})
		}, 1},
		{"server is full of others", func(s *State) []Reply {
			return s.Done(50, ID{"h", 100}, Result{Duration: 50, Load: 6, HasLoad: true})
		}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newState()
			fill(s, 0)
			for num := range uint64(2) {
				s.Ask(0, newRequest(1+num, 0, func(r *Request) { r.Objective, r.Deadline = 3000, 6000 }))
			}
			is.Equal(len(admitted(tt.end(s))), tt.next)
		})
	}
}

// Guards against a server whose clock was set back at a restart and that gets no
// requests, as an ask has named its former process, which the list doesn't have.
func TestRestartWithLowerBorn(t *testing.T) {
	is := is.New(t)
	s := newState()
	s.Ask(0, newRequest(1, 0, func(r *Request) { r.Server.Born = 9 }))
	is.Equal(s.Ask(100, newRequest(2, 100, nil)), []Reply{Gone{ID{"h", 2}}}) // this host may learn of 9 later
	now := clock.Time(unlistedGrace)
	is.Equal(admitted(s.Ask(now, newRequest(3, now, nil))), []uint64{3})
}

// Guards against limits of a cold server that two admitters exceed together if the bound
// leaves little above the server's rate.
func TestColdBoundWithoutSlack(t *testing.T) {
	for _, rate := range []float64{2, 4, 20, 100} {
		s := New(1)
		s.SetColdBound(1.2, 0)
		if n := 2 * (s.coldBurst(rate) + s.coldRate(rate)); n > 1.2*rate+1e-9 {
			t.Errorf("%v requests in a second at a rate of %v", n, rate)
		}
	}
}

// Guards against requests that wait for a server that is gone, against those for an
// earlier process of it, and against a server that a host knows before this one.
func TestServersChange(t *testing.T) {
	is := is.New(t)
	s := newState()
	fill(s, 0)
	s.Ask(0, newRequest(1, 0, nil))
	is.Equal(s.SetServers(10, []Server{{ID: "s1", Born: 8, Slots: 2}}), []Reply{Gone{ID{"h", 1}}})
	is.Equal(s.Ask(10, newRequest(2, 10, nil)), []Reply{Gone{ID{"h", 2}}})
	later := newRequest(3, 10, func(r *Request) { r.Server.Born = 9 })
	is.Equal(s.Ask(10, later), []Reply{Admitted{ID{"h", 3}}})
	is.Equal(len(s.SetServers(20, []Server{{ID: "s1", Born: 8, Slots: 2}})), 0) // the list is older
	is.Equal(s.Ask(20, later), []Reply{Admitted{ID{"h", 3}}})
	s.SetServers(30, nil)
	s.Done(40, ID{"h", 3}, Result{})
	s.SetServers(50, nil)
	is.Equal(len(s.servers), 0)
	is.True(s.Idle())
}

// A host that stops tells those that wait to ask the next host, and admits nothing more.
func TestStop(t *testing.T) {
	is := is.New(t)
	s := newState()
	fill(s, 0)
	s.Ask(0, newRequest(1, 0, nil))
	is.Equal(s.Stop(), []Reply{Moved{ID{"h", 1}}})
	is.Equal(s.Ask(1, newRequest(2, 1, nil)), []Reply{Moved{ID{"h", 2}}})
	is.True(s.Idle())
}

// Guards against a cold server that crashes because two hosts, which don't know of each
// other, both act as its admitter: in no second it may get more than the bound, whatever
// comes when.
func TestColdBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const over, slack = 1.5, 8
		rate := rapid.Float64Range(0.5, 60).Draw(t, "rate")
		var sent []clock.Time
		num := uint64(0)
		for range 2 {
			s := newState()
			tick := clock.Span(rapid.IntRange(1, 40).Draw(t, "tick"))
			idleFrom := clock.Time(rapid.IntRange(0, 8000).Draw(t, "idle"))
			for now := clock.Time(rapid.IntRange(0, 500).Draw(t, "from")); now < 6000; {
				// All requests end at once, so that the slots limit nothing.
				replies := s.Tick(now)
				for range rapid.IntRange(0, 8).Draw(t, "asks") {
					num++
					replies = append(replies, s.Ask(now, newRequest(num, now, func(r *Request) {
						r.Cold, r.ColdRate, r.Objective, r.Deadline = 60_000, rate, now.Add(1500), now.Add(3000)
					}))...)
				}
				for waiting := admitted(replies); len(waiting) > 0; waiting = waiting[1:] {
					sent = append(sent, now)
					waiting = append(waiting, admitted(s.Done(now, ID{"h", waiting[0]}, Result{Duration: 1}))...)
				}
				now = now.Add(tick)
				if now.SamePeriod(idleFrom, 1000) { // the bucket fills
					now = now.Add(1000)
				}
			}
		}
		slices.Sort(sent)
		for i, from := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at.Sub(from) < clock.Second {
					n++
				}
			}
			if float64(n) > rate*over+slack {
				t.Fatalf("%d requests within 1 s from %d ms on, at a rate of %v", n, from, rate)
			}
		}
	})
}

// A cold server must get requests at about its rate, and a request without a key that
// would have to wait goes elsewhere.
func TestColdRate(t *testing.T) {
	is := is.New(t)
	s := newState()
	cold := func(r *Request) { r.Cold, r.ColdRate, r.Objective, r.Deadline = 20_000, 4.6, 1<<40, 1<<40 }
	n := 0
	for now := clock.Time(0); now < 10_000; now += 20 {
		replies := append(s.Ask(now, newRequest(uint64(now), now, cold)), s.Tick(now)...)
		for _, num := range admitted(replies) {
			n++
			s.Done(now, ID{"h", num}, Result{})
		}
	}
	is.True(n >= 43 && n <= 48)
	s.SetColdFrom(20_000)
	s.SetServers(10_000, nil)
	for now := clock.Time(10_000); now < 20_200; now += 20 { // the host may have to wait for others to be known
		is.Equal(len(admitted(s.Ask(now, newRequest(uint64(now), now, cold)))), 0)
	}
	is.True(len(admitted(s.Tick(20_220))) > 0)
	replies := s.Ask(20_221, newRequest(1, 20_221, func(r *Request) { cold(r); r.AtOnce = true }))
	_, refused := replies[len(replies)-1].(Refused)
	is.True(refused)
}

// Guards against reservations that are lost or counted twice, and against requests that
// hang: whatever hosts send in whatever order, no server has more than its admissions, a
// request gets one final reply, and nothing is left once all have ended.
func TestRandomEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(1)
		now, ended := clock.Time(0), make(map[ID]bool)
		born := int64(7)
		check := func(replies []Reply) {
			for _, r := range replies {
				switch r.(type) {
				case Refused, Gone:
					if ended[r.To()] {
						t.Fatalf("%T for a request that has ended", r)
					}
					ended[r.To()] = true
				}
			}
			requests := 0
			for sv := range s.active {
				requests += len(sv.queue) + len(sv.admitted)
				if len(sv.admitted) > sv.slots+spareAdmissions || len(sv.queue) > maxQueue {
					t.Fatalf("%d admitted, %d queued", len(sv.admitted), len(sv.queue))
				}
			}
			if requests != len(s.requests) {
				t.Fatalf("%d requests at servers, %d known", requests, len(s.requests))
			}
		}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			now = now.Add(clock.Span(rapid.IntRange(0, 200).Draw(t, "pause")))
			id := ID{"h", uint64(rapid.IntRange(0, 30).Draw(t, "num"))}
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0, 1:
				if ended[id] {
					continue // a host uses a number once
				}
				check(s.Ask(now, Request{
					ID: id, Server: fleet.Incarnation{ID: "s1", Born: born + int64(rapid.IntRange(-1, 1).Draw(t, "born"))}, Slots: 2, Priority: int(id.Num % 3),
					Objective: now.Add(clock.Span(rapid.IntRange(-100, 800).Draw(t, "objective"))), Deadline: now.Add(clock.Span(rapid.IntRange(0, 3000).Draw(t, "deadline"))),
					RouteMean: clock.Span(rapid.IntRange(0, 300).Draw(t, "mean")),
				}))
			case 2:
				ended[id] = true
				check(s.Done(now, id, Result{Duration: clock.Span(rapid.IntRange(0, 900).Draw(t, "took")), Load: rapid.IntRange(0, 20).Draw(t, "load"), HasLoad: rapid.Bool().Draw(t, "told")}))
			case 3:
				check(s.Tick(now))
			case 4:
				born += int64(rapid.IntRange(0, 1).Draw(t, "restart"))
				check(s.SetServers(now, []Server{{ID: "s1", Born: born, Slots: 2}}))
			case 5:
				check(s.SetServers(now, nil))
			}
		}
		now = now.Add(10_000)
		for range 3 {
			check(s.Tick(now))
		}
		if len(s.requests) > 0 || !s.Idle() {
			t.Fatalf("%d requests are left", len(s.requests))
		}
	})
}
