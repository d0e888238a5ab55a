package limit

import (
	"math"

	"github.com/laburnummux/laburnummux/internal/clock"
)

const (
	// shedFactor multiplies the slots when the server sheds load. Two reductions
	// bring 6 slots to 2; one brings 2 slots to 1.
	shedFactor = 0.7
	// meanWeight is the weight of a new sample in the moving mean of the service
	// time. About the last 20 requests count, so that a change shows within a
	// second with 2 slots and a service time of 10 ms.
	meanWeight = 0.1
	// slotEpsilon, in slots, is added before rounding down, because 6*0.7+0.8 is
	// slightly less than 5 in floating point. It is far below the growth in 1 ms.
	slotEpsilon = 1e-6
)

// Slots returns the effective concurrency limit: the configured limit, reduced
// during warm-up and after the server shed load. It is at least one.
func (s *State) Slots(now clock.Time) int {
	n := float64(s.cfg.Slots)
	if s.warmingUp {
		n = min(n, s.warmupSlots(now))
	}
	if s.reduced {
		n = min(n, s.recoveredSlots(now))
	}
	return max(int(n+slotEpsilon), 1)
}

// warmupSlots returns the limit during warm-up, with fractions of a slot.
func (s *State) warmupSlots(now clock.Time) float64 {
	return 1 + float64(s.cfg.Slots-1)*float64(now.Sub(s.warmupStart))/float64(s.cfg.Warmup)
}

// recoveredSlots returns the limit after the last reduction, with fractions of a
// slot.
func (s *State) recoveredSlots(now clock.Time) float64 {
	return s.reducedSlots + float64(now.Sub(s.reducedAt))/float64(s.cfg.SlotRecovery)
}

// reduceSlots reduces the effective slots after the server shed a request. A
// request that started before the last reduction belongs to the same overload
// and does not reduce them again.
func (s *State) reduceSlots(now, started clock.Time) {
	s.counts.Shed++
	if s.reduced && started.Before(s.reducedAt) {
		return
	}
	s.reducedSlots = max(1, float64(s.Slots(now))*shedFactor)
	s.reducedAt, s.reduced = now, true
}

func (s *State) recordServiceTime(r Request, d clock.Span) {
	mean := &s.meanService[r.Class][r.lane()]
	*mean += (float64(max(d, 0)) - *mean) * meanWeight
}

// queuedTime returns the service time of a number of requests of a class, by lane, in ms.
func (s *State) queuedTime(c Class, n [numLanes]int) float64 {
	return float64(n[complete])*s.meanService[c][complete] + float64(n[streamed])*s.meanService[c][streamed]
}

// longestMean returns the mean service time of a class's lane with the longer one, in ms.
func (s *State) longestMean(c Class) float64 {
	return max(s.meanService[c][complete], s.meanService[c][streamed])
}

// bulkSlots returns how many of the effective slots bulk requests may hold.
func (s *State) bulkSlots(slots int) int {
	return max(1, int(s.cfg.BulkShare*float64(slots)))
}

// mayStart reports whether a request of class c may occupy a slot now. It does
// not consider queued requests of class c; the calling function does.
func (s *State) mayStart(now clock.Time, c Class) bool {
	slots := s.Slots(now)
	if s.running[Interactive]+s.running[Bulk] >= slots {
		return false
	}
	if c == Interactive {
		return true
	}
	return s.queues[Interactive].size() == 0 && s.running[Bulk] < s.bulkSlots(slots)
}

// expectedLatency estimates the time until r would complete if it were queued
// now: the service time of the requests that start before it, divided by the
// slots of its class, and its own service time. For a bulk request it includes
// the queued interactive requests, which have priority.
func (s *State) expectedLatency(now clock.Time, r Request) clock.Span {
	slots := s.Slots(now)
	own := s.meanService[r.Class][r.lane()]
	ahead := s.queues[r.Class].aheadOf(r)
	ahead[r.lane()]++ // for one that runs and has to end first
	var wait float64
	switch r.Class {
	case Interactive:
		free := slots - s.running[Bulk]
		if free < 1 { // a bulk request must end first
			wait, free = s.longestMean(Bulk)/float64(max(s.running[Bulk], 1)), 1
			ahead[r.lane()]--
		}
		wait += s.queuedTime(Interactive, ahead) / float64(free)
	case Bulk:
		lanes := &s.queues[Interactive].lanes
		first := [numLanes]int{lanes[complete].size, lanes[streamed].size}
		wait = s.queuedTime(Bulk, ahead)/float64(s.bulkSlots(slots)) + s.queuedTime(Interactive, first)/float64(slots)
	}
	return clock.Span(math.Round(wait + own))
}

// Next returns the time at which Expire is to be called: when the next deadline
// passes, or when a slot is added while requests are queued. ok is false if no
// call is due.
func (s *State) Next(now clock.Time) (at clock.Time, ok bool) {
	if s.Waiting() == 0 {
		return 0, false
	}
	at = s.earliestDeadline
	if s.Slots(now) < s.cfg.Slots {
		if s.warmingUp {
			at = min(at, s.warmupStart.Add(timeToNextSlot(s.warmupSlots(now), 1, float64(s.cfg.Warmup)/float64(s.cfg.Slots-1))))
		}
		if s.reduced {
			at = min(at, s.reducedAt.Add(timeToNextSlot(s.recoveredSlots(now), s.reducedSlots, float64(s.cfg.SlotRecovery))))
		}
		at = max(at, now.Add(1))
	}
	return at, at != never
}

// timeToNextSlot returns the time that a limit needs to grow from start to one
// whole slot more than current, if it gains one slot every msPerSlot.
func timeToNextSlot(current, start, msPerSlot float64) clock.Span {
	return clock.Span(math.Ceil((math.Floor(current+slotEpsilon) + 1 - slotEpsilon - start) * msPerSlot))
}

// Waiting returns the number of queued requests.
func (s *State) Waiting() int { return s.queues[Interactive].size() + s.queues[Bulk].size() }

// Running returns the number of slots in use.
func (s *State) Running() int { return s.running[Interactive] + s.running[Bulk] }

func (s *State) Counts() Counts { return s.counts }

// ClassDump is the part of a Dump that concerns one class.
type ClassDump struct {
	Class   string         `json:"class"`
	Running int            `json:"running"`
	Waiting map[string]int `json:"waiting"` // by caller
	MeanMs  float64        `json:"meanMs"`
	// Streamed and StreamMs are the queued requests with streamed bodies, which Waiting
	// includes, and their mean service time, which MeanMs doesn't include.
	Streamed int     `json:"streamed"`
	StreamMs float64 `json:"streamMs"`
}

// Dump is a snapshot of a State for encoding as JSON.
type Dump struct {
	Slots     int         `json:"slots"`
	Effective int         `json:"effective"`
	Refusing  string      `json:"refusing"`
	Classes   []ClassDump `json:"classes"`
	Counts    Counts      `json:"counts"`
}

// Dump returns a snapshot of the state for operators.
func (s *State) Dump(now clock.Time) Dump {
	d := Dump{Slots: s.cfg.Slots, Effective: s.Slots(now), Refusing: s.drainReason.String(), Counts: s.counts}
	for c := range Class(numClasses) {
		q := &s.queues[c]
		cd := ClassDump{
			Class: c.String(), Running: s.running[c], MeanMs: s.meanService[c][complete], Waiting: make(map[string]int),
			Streamed: q.lanes[streamed].size, StreamMs: s.meanService[c][streamed],
		}
		for _, l := range q.lanes {
			for _, cq := range l.active {
				cd.Waiting[cq.caller] += cq.size
			}
		}
		d.Classes = append(d.Classes, cd)
	}
	return d
}
