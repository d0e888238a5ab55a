// Package limit is the concurrency limit and the request queue of a backend
// server.
//
// A State is the only queue of its server; it belongs to the server's
// dispatcher, the host that sends requests to the server. It counts the slots
// in use and orders the queued requests. It has no clock, no I/O and no lock:
// the dispatcher calls it under a mutex and carries out the returned actions.
//
// # Usage
//
//	s := limit.New(limit.Config{Slots: 6, BulkShare: 0.5})
//	v, acts := s.Offer(now, limit.Request{ID: 1, Caller: "shop", Deadline: d})
//	switch v.Decision {
//	case limit.Started: // send it; call Done when the attempt has ended
//	case limit.Queued:  // wait for a Start or Refuse action with this id
//	case limit.Refused: // the request did not run; v.Reason has the reason
//	}
//
// Actions concern requests other than the one in the call. The slice is reused
// and valid only until the next call.
//
// # Rules
//
//   - Interactive requests have priority. Bulk requests hold at most BulkShare
//     of the effective slots (at least one) and start only when no interactive
//     request is queued.
//   - Within a class, requests with complete bodies and streamed ones start by turns
//     while both are queued: a slot may be held by a caller that sends slowly.
//   - Within each of these lanes callers are served round-robin; in one round the caller
//     whose first request has the earliest deadline is served first. The
//     requests of one caller and class start in the order of arrival.
//   - A request that is expected to miss its deadline in the queue is refused
//     at once. A queued request is refused when its deadline passes, or when it
//     reaches the head of the queue too late to meet its deadline and another
//     request is queued for the slot.
//   - When the queue is full, an interactive request displaces the newest
//     request of the caller with the most bulk requests, one with a complete body
//     the newest of the caller with the most streamed ones if these are in the
//     majority, and a request of a caller with few requests the newest of the
//     caller with the most.
package limit

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/answer"
)

//go:generate go tool stringer -type=Class,Decision -linecomment -output=limit_string.go

// Class is the priority class of a request.
type Class int

// Classes in order of priority.
const (
	Interactive Class = iota // interactive
	Bulk                     // bulk
	numClasses  = 2
)

// Decision is the outcome of Offer.
type Decision int

// Decisions.
const (
	Refused Decision = iota // refused
	Queued                  // queued
	Started                 // started
)

// Defaults of Config.
const (
	DefaultQueuePerSlot = 16
	DefaultSlotRecovery = 500 * clock.Millisecond
	DefaultServiceTime  = 5 * clock.Millisecond
)

// Config has the settings of a server's slots and queue.
type Config struct {
	Slots              int        // concurrency limit of the server
	QueuePerSlot       int        // length of the queue per slot
	BulkShare          float64    // share of the slots that bulk requests may hold
	Warmup             clock.Span // warm-up time, in which the slots grow from one to Slots
	SlotRecovery       clock.Span // time after which one slot is regained after load was shed
	InitialServiceTime clock.Span // service time assumed before the first measurement
}

// Request is a request for a slot.
type Request struct {
	ID       uint64
	Class    Class
	Caller   string
	Streamed bool       // the body is received while the request runs
	Deadline clock.Time // 0 means none
}

// Verdict is the result of Offer.
type Verdict struct {
	Decision Decision
	Reason   answer.Reason // set if refused
}

// Result is the result of an attempt that held a slot.
type Result struct {
	Shed        bool       // the server refused the request because of its load
	ServiceTime clock.Span // ignored if Shed is set
}

// Action is an action for the dispatcher to carry out: Start or Refuse.
type Action interface{ action() }

// Start instructs the dispatcher to send a queued request, which now holds a
// slot.
type Start struct{ ID uint64 }

// Refuse instructs the dispatcher to refuse a request that has left the queue and
// did not run.
type Refuse struct {
	ID     uint64
	Reason answer.Reason
}

func (Start) action()  {}
func (Refuse) action() {}

// State holds the slots and the queue of one server.
type State struct {
	cfg              Config
	byID             map[uint64]*entry
	queues           [numClasses]classQueue
	running          [numClasses]int
	meanService      [numClasses][numLanes]float64 // moving mean of the service time in ms
	warmupStart      clock.Time
	warmingUp        bool
	reducedSlots     float64 // slots right after the last reduction
	reducedAt        clock.Time
	reduced          bool
	earliestDeadline clock.Time // lower bound of the deadlines of queued requests
	lastSeq          uint64
	drainReason      answer.Reason // set by Drain
	counts           Counts
	actions          []Action
	freeEntries      *entry
}

// Counts has the number of requests since New by outcome.
type Counts struct {
	Offered, Started, Refused, Cancelled, Shed uint64
}

// New returns the state of a server that is warmed up and has no requests.
func New(cfg Config) *State {
	cfg.Slots = max(cfg.Slots, 1)
	if cfg.QueuePerSlot <= 0 {
		cfg.QueuePerSlot = DefaultQueuePerSlot
	}
	if cfg.SlotRecovery <= 0 {
		cfg.SlotRecovery = DefaultSlotRecovery
	}
	if cfg.InitialServiceTime <= 0 {
		cfg.InitialServiceTime = DefaultServiceTime
	}
	s := &State{cfg: cfg, byID: make(map[uint64]*entry), earliestDeadline: never}
	for c := range s.queues {
		for l := range s.queues[c].lanes {
			s.queues[c].lanes[l].byCaller = make(map[string]*callerQueue)
			s.meanService[c][l] = float64(cfg.InitialServiceTime)
		}
	}
	return s
}

// StartWarmup starts the warm-up of a server that has just started: its slots
// grow from one to the limit within Config.Warmup.
func (s *State) StartWarmup(now clock.Time) {
	s.warmingUp, s.warmupStart = s.cfg.Warmup > 0, now
}

// Offer starts, queues or refuses a request. The actions concern other requests:
// those whose deadline has passed, those that start because the number of slots
// has grown, and those that r displaces from a full queue.
func (s *State) Offer(now clock.Time, r Request) (Verdict, []Action) {
	s.actions = s.actions[:0]
	s.counts.Offered++
	if s.drainReason != answer.ReasonNone {
		return s.refuse(s.drainReason)
	}
	if r.Class < Interactive || r.Class > Bulk || s.byID[r.ID] != nil {
		return s.refuse(answer.BadRequest)
	}
	if r.Deadline != 0 && !now.Before(r.Deadline) {
		return s.refuse(answer.DeadlinePassed)
	}
	s.schedule(now)
	q := &s.queues[r.Class]
	if q.size() == 0 && s.mayStart(now, r.Class) {
		e := s.newEntry(r)
		s.start(now, e)
		return Verdict{Decision: Started}, s.actions
	}
	if r.Deadline != 0 && now.Add(s.expectedLatency(now, r)).After(r.Deadline) {
		return s.refuse(answer.DeadlineTooNear)
	}
	if s.Waiting() >= s.cfg.Slots*s.cfg.QueuePerSlot && !s.displaceFor(r) {
		return s.refuse(answer.QueueFull)
	}
	s.lastSeq++
	e := s.newEntry(r)
	q.laneOf(e).push(e, s.lastSeq)
	if r.Deadline != 0 && r.Deadline.Before(s.earliestDeadline) {
		s.earliestDeadline = r.Deadline
	}
	return Verdict{Decision: Queued}, s.actions
}

// Done frees the slot of a started request. Unknown ids are ignored.
func (s *State) Done(now clock.Time, id uint64, res Result) []Action {
	s.actions = s.actions[:0]
	e := s.byID[id]
	if e == nil || !e.started {
		return nil
	}
	s.running[e.req.Class]--
	if res.Shed {
		s.reduceSlots(now, e.startedAt)
	} else {
		s.recordServiceTime(e.req, res.ServiceTime)
	}
	s.freeEntry(e)
	s.schedule(now)
	return s.actions
}

// Cancel removes a request from the queue and reports whether it was queued. A
// started request keeps its slot until Done, because the server may still be
// processing it.
func (s *State) Cancel(now clock.Time, id uint64) (removed bool, acts []Action) {
	s.actions = s.actions[:0]
	if e := s.byID[id]; e != nil && !e.started {
		s.queues[e.req.Class].laneOf(e).remove(e)
		s.freeEntry(e)
		s.counts.Cancelled++
		removed = true
	}
	s.schedule(now)
	return removed, s.actions
}

// Expire refuses queued requests whose deadline has passed and starts requests if
// the number of slots has grown. It is to be called at the time that Next
// returns.
func (s *State) Expire(now clock.Time) []Action {
	s.actions = s.actions[:0]
	s.schedule(now)
	return s.actions
}

// Drain refuses all queued requests and every later Offer. The reason
// answer.ReasonNone stands for answer.Draining. Requests in flight keep their
// slots.
func (s *State) Drain(reason answer.Reason) []Action {
	s.actions = s.actions[:0]
	if reason == answer.ReasonNone {
		reason = answer.Draining
	}
	s.drainReason = reason
	for c := range s.queues {
		for s.queues[c].size() > 0 {
			s.refuseQueued(s.queues[c].peek(), reason)
		}
	}
	s.earliestDeadline = never
	return s.actions
}

func (s *State) refuse(reason answer.Reason) (Verdict, []Action) {
	s.counts.Refused++
	return Verdict{Decision: Refused, Reason: reason}, s.actions
}

func (s *State) refuseQueued(e *entry, reason answer.Reason) {
	s.actions = append(s.actions, Refuse{ID: e.req.ID, Reason: reason})
	s.counts.Refused++
	s.queues[e.req.Class].laneOf(e).remove(e)
	s.freeEntry(e)
}

func (s *State) start(now clock.Time, e *entry) {
	e.started, e.startedAt = true, now
	s.running[e.req.Class]++
	s.queues[e.req.Class].last = e.req.lane()
	s.counts.Started++
}
