// Package limit decides which request may use a slot of a backend server.
//
// A State is the only queue of its server, at the server's dispatcher. It
// counts the slots in use and orders the requests that wait. It has no clock,
// no I/O and no lock: the owner calls it under the mutex of the server and
// carries out the actions that it returns.
//
// # Usage
//
//	s := limit.New(limit.Config{Slots: 6, BulkShare: 0.5})
//	v, acts := s.Offer(now, limit.Request{ID: 1, Caller: "shop", Deadline: d})
//	switch v.Decision {
//	case limit.Started: // send it; call Done when the attempt has ended
//	case limit.Queued:  // wait for a Start or Refuse action with this id
//	case limit.Refused: // v.Reason; the request did not run
//	}
//
// Actions concern other requests than the one in the call. The slice is
// reused: it is valid until the next call.
//
// # Rules
//
//   - Interactive requests go first. Bulk requests hold at most BulkShare of
//     the effective slots (at least one) and start only when no interactive
//     request waits.
//   - Within a class callers take turns; in one round the caller whose first
//     request has the earliest deadline goes first. The requests of one caller
//     and class start in the order in which they came.
//   - A request that is expected to miss its deadline in the queue is refused
//     at once; a queued request is refused when its deadline passes, or when its
//     turn comes too late to meet it and another request waits for the slot.
//   - A full queue makes room for an interactive request by refusing the
//     newest bulk request, and for a caller with few requests by refusing the
//     newest request of the caller that has the most.
package limit

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/answer"
)

//go:generate go tool stringer -type=Class,Decision -linecomment -output=limit_string.go

// Class of a request.
type Class int

// Classes, the most urgent first.
const (
	Interactive Class = iota // interactive
	Bulk                     // bulk
	classes     = 2
)

// Decision about an offered request.
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
	DefaultRegrow       = 500 * clock.Millisecond
	DefaultEstimate     = 5 * clock.Millisecond
)

// Config of a server's queue.
type Config struct {
	Slots        int        // concurrency limit of the server
	QueuePerSlot int        // waiting requests per slot
	BulkShare    float64    // share of the slots that bulk requests may hold
	Ramp         clock.Span // time in which a cold server's slots grow from one to Slots
	Regrow       clock.Span // time in which one slot grows back after a shed answer
	Estimate     clock.Span // service time assumed before the first measurement
}

// Request asks for a slot.
type Request struct {
	ID       uint64
	Class    Class
	Caller   string
	Deadline clock.Time // 0 means none
}

// Verdict on an offered request.
type Verdict struct {
	Decision Decision
	Reason   answer.Reason // set if refused
}

// Result of an attempt that held a slot.
type Result struct {
	Shed bool // the server refused the request because of its load
	Took clock.Span
}

// Action for the owner to carry out: Start or Refuse.
type Action interface{ action() }

// Start says that a queued request holds a slot now.
type Start struct{ ID uint64 }

// Refuse says that a queued request left the queue and did not run.
type Refuse struct {
	ID     uint64
	Reason answer.Reason
}

func (Start) action()  {}
func (Refuse) action() {}

// State of one server's slots and queue.
type State struct {
	cfg      Config
	byID     map[uint64]*entry
	queues   [classes]queue
	running  [classes]int
	mean     [classes]float64 // moving mean of the service time in ms
	coldAt   clock.Time
	cold     bool
	shedCap  float64 // slots right after the last shrink
	shedAt   clock.Time
	hasShed  bool
	soonest  clock.Time // no queued request has an earlier deadline
	arrivals uint64
	refusing answer.Reason // set by Drain
	counts   Counts
	acts     []Action
	free     *entry
}

// Counts of what happened since New.
type Counts struct {
	Offered, Started, Refused, Cancelled, Shed uint64
}

// New returns an empty queue of a warm server.
func New(cfg Config) *State {
	cfg.Slots = max(cfg.Slots, 1)
	if cfg.QueuePerSlot <= 0 {
		cfg.QueuePerSlot = DefaultQueuePerSlot
	}
	if cfg.Regrow <= 0 {
		cfg.Regrow = DefaultRegrow
	}
	if cfg.Estimate <= 0 {
		cfg.Estimate = DefaultEstimate
	}
	s := &State{cfg: cfg, byID: make(map[uint64]*entry), soonest: never}
	for c := range s.queues {
		s.queues[c].callers = make(map[string]*line)
		s.mean[c] = float64(cfg.Estimate)
	}
	return s
}

// Cold says that the server has just started: its slots grow from one to the
// limit within Config.Ramp.
func (s *State) Cold(now clock.Time) {
	s.cold, s.coldAt = s.cfg.Ramp > 0, now
}

// Offer asks for a slot. The actions concern other requests: those whose
// deadline passed, those that start because slots have grown, and those that
// had to make room.
func (s *State) Offer(now clock.Time, r Request) (Verdict, []Action) {
	s.acts = s.acts[:0]
	s.counts.Offered++
	if s.refusing != answer.ReasonNone {
		return s.refuse(s.refusing)
	}
	if r.Class < Interactive || r.Class > Bulk || s.byID[r.ID] != nil {
		return s.refuse(answer.BadRequest)
	}
	if r.Deadline != 0 && !now.Before(r.Deadline) {
		return s.refuse(answer.DeadlinePassed)
	}
	s.settle(now)
	q := &s.queues[r.Class]
	if q.size == 0 && s.mayStart(now, r.Class) {
		e := s.entry(r)
		s.start(now, e)
		return Verdict{Decision: Started}, s.acts
	}
	if r.Deadline != 0 && now.Add(s.expected(now, r)).After(r.Deadline) {
		return s.refuse(answer.DeadlineTooNear)
	}
	if s.Waiting() >= s.cfg.Slots*s.cfg.QueuePerSlot && !s.makeRoom(r) {
		return s.refuse(answer.QueueFull)
	}
	s.arrivals++
	e := s.entry(r)
	q.push(e, s.arrivals)
	if r.Deadline != 0 && r.Deadline.Before(s.soonest) {
		s.soonest = r.Deadline
	}
	return Verdict{Decision: Queued}, s.acts
}

// Done frees the slot of a started request. Unknown ids are ignored.
func (s *State) Done(now clock.Time, id uint64, res Result) []Action {
	s.acts = s.acts[:0]
	e := s.byID[id]
	if e == nil || !e.started {
		return nil
	}
	s.running[e.req.Class]--
	if res.Shed {
		s.shed(now, e.since)
	} else {
		s.learn(e.req.Class, res.Took)
	}
	s.release(e)
	s.settle(now)
	return s.acts
}

// Cancel takes a queued request out of the queue and reports whether it was
// there. A started request keeps its slot until Done, because the server may
// still be working on it.
func (s *State) Cancel(now clock.Time, id uint64) (removed bool, acts []Action) {
	s.acts = s.acts[:0]
	if e := s.byID[id]; e != nil && !e.started {
		s.queues[e.req.Class].remove(e)
		s.release(e)
		s.counts.Cancelled++
		removed = true
	}
	s.settle(now)
	return removed, s.acts
}

// Expire refuses queued requests whose deadline passed and starts those for
// which slots have grown. Next says when it is due.
func (s *State) Expire(now clock.Time) []Action {
	s.acts = s.acts[:0]
	s.settle(now)
	return s.acts
}

// Drain refuses all queued requests and every later offer, with the reason
// Draining if none is given. Requests in flight keep their slots.
func (s *State) Drain(reason answer.Reason) []Action {
	s.acts = s.acts[:0]
	if reason == answer.ReasonNone {
		reason = answer.Draining
	}
	s.refusing = reason
	for c := range s.queues {
		for s.queues[c].size > 0 {
			s.drop(s.queues[c].lines[0].head, reason)
		}
	}
	s.soonest = never
	return s.acts
}

func (s *State) refuse(reason answer.Reason) (Verdict, []Action) {
	s.counts.Refused++
	return Verdict{Decision: Refused, Reason: reason}, s.acts
}

// drop refuses a queued request.
func (s *State) drop(e *entry, reason answer.Reason) {
	s.acts = append(s.acts, Refuse{ID: e.req.ID, Reason: reason})
	s.counts.Refused++
	s.queues[e.req.Class].remove(e)
	s.release(e)
}

func (s *State) start(now clock.Time, e *entry) {
	e.started, e.since = true, now
	s.running[e.req.Class]++
	s.counts.Started++
}
