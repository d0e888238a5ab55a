package limit

import (
	"math"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/answer"
)

// never is later than any deadline.
const never = clock.Time(math.MaxInt64)

// entry is a request that is queued or holds a slot. Entries are recycled, so
// that a request costs no allocation in the steady state.
type entry struct {
	req         Request
	started     bool
	startedAt   clock.Time
	seq         uint64 // order of arrival
	callerQueue *callerQueue
	prev, next  *entry
}

// callerQueue holds the queued requests of one caller in one class.
type callerQueue struct {
	caller     string
	head, tail *entry
	size       int
	round      uint64 // round in which the caller is served next
	index      int    // in laneQueue.active
}

// lane is the part of a class's queue that a request waits in.
type lane int

// Lanes. A streamed request holds its slot for as long as its caller takes to send the
// body, so the others mustn't wait behind all of them.
const (
	complete lane = iota // the body has been received
	streamed             // the body is received while the request runs
	numLanes = 2
)

func (r Request) lane() lane {
	if r.Streamed {
		return streamed
	}
	return complete
}

// classQueue holds the queued requests of one class. While both lanes have some, they
// start by turns.
type classQueue struct {
	lanes [numLanes]laneQueue
	last  lane // of the last request that started
}

func (q *classQueue) size() int { return q.lanes[complete].size + q.lanes[streamed].size }

func (q *classQueue) laneOf(e *entry) *laneQueue { return &q.lanes[e.req.lane()] }

// peek returns the request to be started next, or nil.
func (q *classQueue) peek() *entry {
	next := 1 - q.last
	if q.lanes[next].size == 0 {
		next = q.last
	}
	return q.lanes[next].peek()
}

// aheadOf returns the numbers of queued requests that start before a new one, by lane.
func (q *classQueue) aheadOf(r Request) (n [numLanes]int) {
	own := r.lane()
	other := 1 - own
	n[own] = q.lanes[own].countAhead(r.Caller)
	n[other] = n[own]
	if q.last == own {
		n[other]++ // the other lane has the next turn
	}
	n[other] = min(n[other], q.lanes[other].size)
	return n
}

// longest returns the queue of the caller with the most queued requests in a lane, or
// nil.
func (q *classQueue) longest() *callerQueue {
	c, s := q.lanes[complete].longest(), q.lanes[streamed].longest()
	if c == nil || s != nil && s.size > c.size {
		return s
	}
	return c
}

// laneQueue holds the queued requests of one lane of a class.
type laneQueue struct {
	byCaller map[string]*callerQueue // callers with queued requests
	active   []*callerQueue          // the values of byCaller
	size     int
	round    uint64         // round-robin round of the last start
	free     []*callerQueue // for reuse
}

func (q *laneQueue) push(e *entry, seq uint64) {
	cq := q.byCaller[e.req.Caller]
	if cq == nil {
		if n := len(q.free); n > 0 {
			cq, q.free = q.free[n-1], q.free[:n-1]
		} else {
			cq = new(callerQueue)
		}
		// A caller without queued requests joins in the next round. Otherwise
		// a caller with a single request at a time would get every other slot.
		*cq = callerQueue{caller: e.req.Caller, round: q.round + 1, index: len(q.active)}
		q.byCaller[cq.caller] = cq
		q.active = append(q.active, cq)
	}
	e.seq, e.callerQueue, e.prev, e.next = seq, cq, cq.tail, nil
	if cq.tail == nil {
		cq.head = e
	} else {
		cq.tail.next = e
	}
	cq.tail = e
	cq.size++
	q.size++
}

func (q *laneQueue) remove(e *entry) {
	cq := e.callerQueue
	if e.prev == nil {
		cq.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		cq.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next, e.callerQueue = nil, nil, nil
	cq.size--
	q.size--
	if cq.size > 0 {
		return
	}
	last := q.active[len(q.active)-1]
	q.active[cq.index], last.index = last, cq.index
	q.active[len(q.active)-1] = nil
	q.active = q.active[:len(q.active)-1]
	delete(q.byCaller, cq.caller)
	q.free = append(q.free, cq)
}

// peek returns the request of the lane to be started next, or nil. A linear scan is
// cheap enough: the queue of a server with 6 slots has at most 96 requests.
func (q *laneQueue) peek() *entry {
	var best *callerQueue
	for _, cq := range q.active {
		if best == nil || precedes(cq, best) {
			best = cq
		}
	}
	if best == nil {
		return nil
	}
	return best.head
}

// precedes reports whether the first request of a is started before that of b.
func precedes(a, b *callerQueue) bool {
	if a.round != b.round {
		return a.round < b.round
	}
	if da, db := deadlineOf(a.head), deadlineOf(b.head); da != db {
		return da < db
	}
	return a.head.seq < b.head.seq
}

// deadlineOf returns the deadline of e, or never if it has none.
func deadlineOf(e *entry) clock.Time {
	if e.req.Deadline == 0 {
		return never
	}
	return e.req.Deadline
}

// dequeue removes e, the request that peek returned. The next request of its
// caller has to wait for the next round.
func (q *laneQueue) dequeue(e *entry) {
	q.round = max(q.round, e.callerQueue.round)
	e.callerQueue.round = q.round + 1
	q.remove(e)
}

// willMissDeadline reports whether e is expected to complete after its deadline
// while other requests of its class are queued. Under overload most requests
// would otherwise start just before their deadline and complete too late.
func (s *State) willMissDeadline(now clock.Time, e *entry) bool {
	c := e.req.Class
	return s.queues[c].size() > 1 && now.Add(clock.Span(math.Round(s.meanService[c][e.req.lane()]))).After(deadlineOf(e))
}

// countAhead returns the number of queued requests of the lane that start before a
// new request of caller.
func (q *laneQueue) countAhead(caller string) (n int) {
	own := 0
	if cq := q.byCaller[caller]; cq != nil {
		own = cq.size
	}
	for _, cq := range q.active {
		n += min(cq.size, own+1)
	}
	return n
}

// longest returns the queue of the caller with the most queued requests, or nil.
func (q *laneQueue) longest() *callerQueue {
	var best *callerQueue
	for _, cq := range q.active {
		if best == nil || cq.size > best.size || cq.size == best.size && cq.tail.seq > best.tail.seq {
			best = cq
		}
	}
	return best
}

// displaceFor refuses one queued request in favour of r and reports whether it
// did. An interactive request displaces a bulk request, and a complete one the newest
// of the caller with the most streamed ones if these are the most. Otherwise the
// caller with the most queued requests loses its newest if it has at least two more
// than the caller of r.
func (s *State) displaceFor(r Request) bool {
	if r.Class == Interactive && s.queues[Bulk].size() > 0 {
		s.refuseQueued(s.queues[Bulk].longest().tail, answer.QueueFull)
		return true
	}
	q := &s.queues[r.Class]
	if !r.Streamed && q.lanes[streamed].size > q.lanes[complete].size {
		s.refuseQueued(q.lanes[streamed].longest().tail, answer.QueueFull)
		return true
	}
	cq := q.longest()
	own := 0
	if o := q.lanes[r.lane()].byCaller[r.Caller]; o != nil {
		own = o.size
	}
	if cq == nil || cq.size < own+2 {
		return false
	}
	s.refuseQueued(cq.tail, answer.QueueFull)
	return true
}

func (s *State) newEntry(r Request) *entry {
	e := s.freeEntries
	if e == nil {
		e = new(entry)
	} else {
		s.freeEntries = e.next
	}
	*e = entry{req: r}
	s.byID[r.ID] = e
	return e
}

func (s *State) freeEntry(e *entry) {
	delete(s.byID, e.req.ID)
	*e = entry{next: s.freeEntries}
	s.freeEntries = e
}

// schedule refuses queued requests that have missed or will miss their deadline
// and starts requests while slots are free.
func (s *State) schedule(now clock.Time) {
	if !now.Before(s.earliestDeadline) {
		s.refuseExpired(now)
	}
	for c := range Class(numClasses) {
		for s.queues[c].size() > 0 && s.mayStart(now, c) {
			e := s.queues[c].peek()
			if s.willMissDeadline(now, e) {
				s.refuseQueued(e, answer.DeadlineTooNear)
				continue
			}
			s.queues[c].laneOf(e).dequeue(e)
			s.start(now, e)
			s.actions = append(s.actions, Start{ID: e.req.ID})
		}
	}
}

// refuseExpired refuses queued requests whose deadline has passed and updates
// earliestDeadline.
func (s *State) refuseExpired(now clock.Time) {
	s.earliestDeadline = never
	for c := range s.queues {
		for l := range s.queues[c].lanes {
			s.refuseExpiredOf(now, &s.queues[c].lanes[l])
		}
	}
}

// refuseExpiredOf is refuseExpired for a lane.
func (s *State) refuseExpiredOf(now clock.Time, q *laneQueue) {
	for i := len(q.active) - 1; i >= 0; i-- {
		for e := q.active[i].head; e != nil; {
			next := e.next
			if d := deadlineOf(e); !now.Before(d) {
				s.refuseQueued(e, answer.DeadlinePassed)
			} else {
				s.earliestDeadline = min(s.earliestDeadline, d)
			}
			e = next
		}
	}
}
