package limit

import (
	"testing"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/matryer/is"
)

func startedIDs(acts []Action) (ids []uint64) {
	for _, a := range acts {
		if s, ok := a.(Start); ok {
			ids = append(ids, s.ID)
		}
	}
	return ids
}

// Guards against an order other than: interactive requests first, callers
// round-robin, and in one round the earliest deadline first.
func TestOrder(t *testing.T) {
	tests := []struct {
		name  string
		queue []Request
		want  []uint64
	}{
		{"interactive before bulk", []Request{{ID: 1, Class: Bulk}, {ID: 2}}, []uint64{2, 1}},
		{"callers in turn", []Request{{ID: 1, Caller: "a"}, {ID: 2, Caller: "a"}, {ID: 3, Caller: "b"}}, []uint64{1, 3, 2}},
		{"earliest deadline in a round", []Request{
			{ID: 1, Caller: "a", Deadline: 900}, {ID: 2, Caller: "b", Deadline: 300}, {ID: 3, Caller: "b", Deadline: 200},
		}, []uint64{2, 1, 3}},
		{"streamed and complete by turns", []Request{
			{ID: 1, Caller: "a", Streamed: true}, {ID: 2, Caller: "b", Streamed: true}, {ID: 3, Caller: "c", Streamed: true}, {ID: 4, Caller: "a"}, {ID: 5, Caller: "a"},
		}, []uint64{1, 4, 2, 5, 3}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := New(Config{Slots: 1})
			s.Offer(0, Request{ID: 99})
			for _, r := range tt.queue {
				v, _ := s.Offer(0, r)
				is.Equal(v.Decision, Queued)
			}
			last := uint64(99)
			for _, want := range tt.want {
				is.Equal(startedIDs(s.Done(1, last, Result{ServiceTime: 5})), []uint64{want})
				last = want
			}
		})
	}
}

// Guards against a caller with one request at a time that gets every other slot
// while requests of three callers are queued.
func TestReturningCallerWaitsForRound(t *testing.T) {
	is := is.New(t)
	s := New(Config{Slots: 1})
	s.Offer(0, Request{ID: 1, Caller: "z"})
	for i, c := range []string{"a", "b", "c"} {
		s.Offer(0, Request{ID: uint64(10 + i), Caller: c})
		s.Offer(0, Request{ID: uint64(20 + i), Caller: c})
	}
	is.Equal(startedIDs(s.Done(1, 1, Result{})), []uint64{10})
	s.Offer(1, Request{ID: 2, Caller: "z"})
	is.Equal(startedIDs(s.Done(2, 10, Result{})), []uint64{11})
	is.Equal(startedIDs(s.Done(2, 11, Result{})), []uint64{12})
	is.Equal(startedIDs(s.Done(2, 12, Result{})), []uint64{20})
}

// Guards against requests that stay queued although they cannot meet their
// deadline: a request that is expected to miss it must be refused at once, a
// queued request when its deadline passes.
func TestDeadlines(t *testing.T) {
	is := is.New(t)
	s := New(Config{Slots: 2, InitialServiceTime: 20})
	s.Offer(0, Request{ID: 1})
	s.Offer(0, Request{ID: 2})
	v, _ := s.Offer(0, Request{ID: 3, Deadline: 29}) // 20/2 ms in the queue + 20 ms of service
	is.Equal(v, Verdict{Refused, answer.DeadlineTooNear})
	v, _ = s.Offer(0, Request{ID: 4, Deadline: 30})
	is.Equal(v.Decision, Queued)
	at, ok := s.Next(0)
	is.True(ok)
	is.Equal(at, clock.Time(30))
	is.Equal(len(s.Expire(29)), 0)
	is.Equal(s.Expire(30), []Action{Refuse{4, answer.DeadlinePassed}})
	v, _ = s.Offer(30, Request{ID: 5, Deadline: 30})
	is.Equal(v, Verdict{Refused, answer.DeadlinePassed})
	for id := uint64(1); id <= 2; id++ { // shorter measurements lower the estimate
		s.Done(30, id, Result{ServiceTime: 1})
		s.Offer(30, Request{ID: 10 + id})
	}
	v, _ = s.Offer(30, Request{ID: 6, Deadline: 59})
	is.Equal(v.Decision, Queued)
}

// Guards against a request that starts although it will miss its deadline while
// another is queued, and against its refusal when no other is queued.
func TestStartTooLate(t *testing.T) {
	is := is.New(t)
	s := New(Config{Slots: 1, InitialServiceTime: 20})
	s.Offer(0, Request{ID: 1})
	s.Offer(0, Request{ID: 2, Deadline: 50})
	s.Offer(0, Request{ID: 3, Deadline: 70})
	is.Equal(s.Done(31, 1, Result{ServiceTime: 20}), []Action{Refuse{2, answer.DeadlineTooNear}, Start{3}})
	s.Offer(31, Request{ID: 4, Deadline: 71})
	is.Equal(s.Done(60, 3, Result{ServiceTime: 20}), []Action{Start{4}})
}

// Guards against full load on a server that has just started, and against queued
// requests that do not start when the warm-up adds a slot.
func TestWarmup(t *testing.T) {
	is := is.New(t)
	s := New(Config{Slots: 6, Warmup: 1000})
	s.StartWarmup(0)
	for id := uint64(1); id <= 6; id++ {
		s.Offer(0, Request{ID: id})
	}
	is.Equal(s.Running(), 1)
	at, _ := s.Next(0)
	is.Equal(at, clock.Time(200))
	is.Equal(startedIDs(s.Expire(199)), nil)
	is.Equal(startedIDs(s.Expire(200)), []uint64{2})
	is.Equal(len(startedIDs(s.Expire(1000))), 4)
}

// Guards against unchanged load on a server that sheds requests, against several
// reductions for one overload, and against slots that are never regained.
func TestShed(t *testing.T) {
	is := is.New(t)
	s := New(Config{Slots: 6, SlotRecovery: 100})
	for id := uint64(1); id <= 6; id++ {
		s.Offer(0, Request{ID: id})
	}
	s.Done(10, 1, Result{Shed: true})
	s.Done(10, 2, Result{Shed: true}) // same overload: no second reduction
	is.Equal(s.Slots(10), 4)
	is.Equal(s.Slots(90), 5) // 4.2 + 80/100
	is.Equal(s.Slots(190), 6)
	v, _ := s.Offer(10, Request{ID: 7})
	is.Equal(v.Decision, Queued)
	at, _ := s.Next(10)
	is.Equal(at, clock.Time(90))
	is.Equal(startedIDs(s.Expire(at)), []uint64{7})
}

// Guards against one caller or bulk requests that fill the queue and lock out all
// others, and against a displaced request without a Refuse action.
func TestFullQueue(t *testing.T) {
	is := is.New(t)
	s := New(Config{Slots: 1, QueuePerSlot: 3})
	s.Offer(0, Request{ID: 1})
	for id := uint64(2); id <= 4; id++ {
		s.Offer(0, Request{ID: id, Class: Bulk, Caller: "a"})
	}
	v, _ := s.Offer(0, Request{ID: 5, Class: Bulk, Caller: "a"})
	is.Equal(v, Verdict{Refused, answer.QueueFull})
	v, acts := s.Offer(0, Request{ID: 6, Class: Bulk, Caller: "b"})
	is.Equal(v.Decision, Queued)
	is.Equal(acts, []Action{Refuse{4, answer.QueueFull}})
	v, acts = s.Offer(0, Request{ID: 7, Caller: "a"})
	is.Equal(v.Decision, Queued)
	is.Equal(acts, []Action{Refuse{3, answer.QueueFull}})
}

// Guards against streamed requests that fill the queue and lock out the others.
func TestQueueFullOfStreams(t *testing.T) {
	is := is.New(t)
	s := New(Config{Slots: 1, QueuePerSlot: 3})
	for id := uint64(1); id <= 4; id++ {
		s.Offer(0, Request{ID: id, Streamed: true, Caller: string(rune('a' + id))})
	}
	v, acts := s.Offer(0, Request{ID: 5, Caller: "e"})
	is.Equal(v.Decision, Queued)
	is.Equal(acts, []Action{Refuse{4, answer.QueueFull}})
	v, _ = s.Offer(0, Request{ID: 6, Streamed: true, Caller: "f"})
	is.Equal(v, Verdict{Refused, answer.QueueFull})
	is.Equal(startedIDs(s.Done(1, 1, Result{})), []uint64{5})
}

// Guards against an estimate for complete requests that includes all streamed ones, or
// their service time in its own.
func TestEstimateBesideStreams(t *testing.T) {
	is := is.New(t)
	s := New(Config{Slots: 1, InitialServiceTime: 20})
	for id := uint64(1); id <= 60; id++ {
		s.Offer(0, Request{ID: id, Streamed: true})
		s.Done(0, id, Result{ServiceTime: 1000})
	}
	for id := uint64(101); id <= 105; id++ {
		s.Offer(0, Request{ID: id, Streamed: true, Caller: "a"})
	}
	v, _ := s.Offer(0, Request{ID: 106, Deadline: 40, Caller: "b"}) // the running one, and its own
	is.Equal(v.Decision, Queued)
	v, _ = s.Offer(0, Request{ID: 107, Deadline: 900, Caller: "b"}) // and that, and a streamed one
	is.Equal(v, Verdict{Refused, answer.DeadlineTooNear})
	v, _ = s.Offer(0, Request{ID: 108, Deadline: 1100, Caller: "b"})
	is.Equal(v.Decision, Queued)
}

// Guards against reuse of a slot whose request was cancelled while the server is
// still processing it, and against new requests to a server that drains.
func TestCancelAndDrain(t *testing.T) {
	is := is.New(t)
	s := New(Config{Slots: 1})
	s.Offer(0, Request{ID: 1})
	s.Offer(0, Request{ID: 2})
	s.Offer(0, Request{ID: 3})
	removed, _ := s.Cancel(0, 1)
	is.True(!removed)
	is.Equal(s.Running(), 1)
	removed, _ = s.Cancel(0, 2)
	is.True(removed)
	is.Equal(s.Drain(answer.Stopping), []Action{Refuse{3, answer.Stopping}})
	v, _ := s.Offer(0, Request{ID: 4})
	is.Equal(v, Verdict{Refused, answer.Stopping})
	is.Equal(startedIDs(s.Done(1, 1, Result{})), nil)
	is.Equal(s.Running(), 0)
}
