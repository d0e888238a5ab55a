package limit

import (
	"math"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/answer"
)

const never = clock.Time(math.MaxInt64)

// entry is a request that is queued or holds a slot. Entries are recycled, so
// that a request costs no allocation in the steady state.
type entry struct {
	req        Request
	started    bool
	since      clock.Time // when it started
	order      uint64     // order of arrival in the queue
	line       *line
	prev, next *entry
}

// line holds the queued requests of one caller in one class.
type line struct {
	caller     string
	head, tail *entry
	size       int
	round      uint64 // round in which the caller has its next turn
	index      int    // in queue.lines
}

// queue holds the queued requests of one class.
type queue struct {
	callers map[string]*line // callers with queued requests
	lines   []*line
	size    int
	round   uint64 // round of the last start
	spare   []*line
}

func (q *queue) push(e *entry, order uint64) {
	l := q.callers[e.req.Caller]
	if l == nil {
		if n := len(q.spare); n > 0 {
			l, q.spare = q.spare[n-1], q.spare[:n-1]
		} else {
			l = new(line)
		}
		// A caller that comes back waits for the next round: otherwise one
		// with a single request at a time would have every other turn.
		*l = line{caller: e.req.Caller, round: q.round + 1, index: len(q.lines)}
		q.callers[l.caller] = l
		q.lines = append(q.lines, l)
	}
	e.order, e.line, e.prev, e.next = order, l, l.tail, nil
	if l.tail == nil {
		l.head = e
	} else {
		l.tail.next = e
	}
	l.tail = e
	l.size++
	q.size++
}

func (q *queue) remove(e *entry) {
	l := e.line
	if e.prev == nil {
		l.head = e.next
	} else {
		e.prev.next = e.next
	}
	if e.next == nil {
		l.tail = e.prev
	} else {
		e.next.prev = e.prev
	}
	e.prev, e.next, e.line = nil, nil, nil
	l.size--
	q.size--
	if l.size > 0 {
		return
	}
	last := q.lines[len(q.lines)-1]
	q.lines[l.index], last.index = last, l.index
	q.lines[len(q.lines)-1] = nil
	q.lines = q.lines[:len(q.lines)-1]
	delete(q.callers, l.caller)
	q.spare = append(q.spare, l)
}

// first returns the request that has the next turn. A scan is cheap enough:
// a queue holds at most 96 requests of 6 slots.
func (q *queue) first() *entry {
	var best *line
	for _, l := range q.lines {
		if best == nil || before(l, best) {
			best = l
		}
	}
	if best == nil {
		return nil
	}
	return best.head
}

func before(a, b *line) bool {
	if a.round != b.round {
		return a.round < b.round
	}
	if da, db := due(a.head), due(b.head); da != db {
		return da < db
	}
	return a.head.order < b.head.order
}

// due returns the deadline of e, or never.
func due(e *entry) clock.Time {
	if e.req.Deadline == 0 {
		return never
	}
	return e.req.Deadline
}

// take removes the request that has the next turn and ends its caller's turn.
func (q *queue) take(e *entry) {
	q.round = max(q.round, e.line.round)
	e.line.round = q.round + 1
	q.remove(e)
}

// hopeless reports whether e is expected to end after its deadline while
// others wait for the slot. Under overload most requests would otherwise start
// just before their deadline, and their answers would come too late.
func (s *State) hopeless(now clock.Time, e *entry) bool {
	c := e.req.Class
	return s.queues[c].size > 1 && now.Add(clock.Span(math.Round(s.mean[c]))).After(due(e))
}

// ahead counts the requests that start before a new one of the caller.
func (q *queue) ahead(caller string) (n int) {
	own := 0
	if l := q.callers[caller]; l != nil {
		own = l.size
	}
	for _, l := range q.lines {
		n += min(l.size, own+1)
	}
	return n
}

// longest returns the caller with the most queued requests.
func (q *queue) longest() *line {
	var best *line
	for _, l := range q.lines {
		if best == nil || l.size > best.size || l.size == best.size && l.tail.order > best.tail.order {
			best = l
		}
	}
	return best
}

// makeRoom refuses one queued request in favour of r, if r has the better
// claim to its place.
func (s *State) makeRoom(r Request) bool {
	if r.Class == Interactive && s.queues[Bulk].size > 0 {
		s.drop(s.queues[Bulk].longest().tail, answer.QueueFull)
		return true
	}
	q := &s.queues[r.Class]
	l := q.longest()
	own := 0
	if o := q.callers[r.Caller]; o != nil {
		own = o.size
	}
	if l == nil || l.size < own+2 {
		return false
	}
	s.drop(l.tail, answer.QueueFull)
	return true
}

func (s *State) entry(r Request) *entry {
	e := s.free
	if e == nil {
		e = new(entry)
	} else {
		s.free = e.next
	}
	*e = entry{req: r}
	s.byID[r.ID] = e
	return e
}

func (s *State) release(e *entry) {
	delete(s.byID, e.req.ID)
	*e = entry{next: s.free}
	s.free = e
}

// settle refuses what is overdue and starts what may start.
func (s *State) settle(now clock.Time) {
	if !now.Before(s.soonest) {
		s.expire(now)
	}
	for c := range Class(classes) {
		for s.queues[c].size > 0 && s.mayStart(now, c) {
			e := s.queues[c].first()
			if s.hopeless(now, e) {
				s.drop(e, answer.DeadlineTooNear)
				continue
			}
			s.queues[c].take(e)
			s.start(now, e)
			s.acts = append(s.acts, Start{ID: e.req.ID})
		}
	}
}

func (s *State) expire(now clock.Time) {
	s.soonest = never
	for c := range s.queues {
		q := &s.queues[c]
		for i := len(q.lines) - 1; i >= 0; i-- {
			for e := q.lines[i].head; e != nil; {
				next := e.next
				if d := due(e); !now.Before(d) {
					s.drop(e, answer.DeadlinePassed)
				} else {
					s.soonest = min(s.soonest, d)
				}
				e = next
			}
		}
	}
}
