package limit

import (
	"math"

	"github.com/laburnummux/laburnummux/internal/clock"
)

const (
	// shrink is applied to the slots at a shed answer. Two of them bring 6
	// slots to 2; one brings 2 slots to 1.
	shrink = 0.7
	// weight of a new measurement in the moving mean: about the last 20
	// requests count, so a change shows within a second at 2 slots and 10 ms.
	weight = 0.1
	// rounding in slots, because 6*0.7+0.8 is a little less than 5 in floating
	// point. It is far below what a slot gains in 1 ms.
	rounding = 1e-6
)

// Slots returns the effective concurrency limit: the configured one, reduced
// while the server is cold or after it shed load. It is at least one.
func (s *State) Slots(now clock.Time) int {
	n := float64(s.cfg.Slots)
	if s.cold {
		n = min(n, s.ramped(now))
	}
	if s.hasShed {
		n = min(n, s.regrown(now))
	}
	return max(int(n+rounding), 1)
}

func (s *State) ramped(now clock.Time) float64 {
	return 1 + float64(s.cfg.Slots-1)*float64(now.Sub(s.coldAt))/float64(s.cfg.Ramp)
}

func (s *State) regrown(now clock.Time) float64 {
	return s.shedCap + float64(now.Sub(s.shedAt))/float64(s.cfg.Regrow)
}

// shed shrinks the effective slots. Requests that started before the last
// shrink belong to the same overload and don't shrink again.
func (s *State) shed(now, started clock.Time) {
	s.counts.Shed++
	if s.hasShed && started.Before(s.shedAt) {
		return
	}
	s.shedCap = max(1, float64(s.Slots(now))*shrink)
	s.shedAt, s.hasShed = now, true
}

func (s *State) learn(c Class, took clock.Span) {
	s.mean[c] += (float64(max(took, 0)) - s.mean[c]) * weight
}

// bulkSlots returns how many of the effective slots bulk requests may hold.
func (s *State) bulkSlots(slots int) int {
	return max(1, int(s.cfg.BulkShare*float64(slots)))
}

// mayStart reports whether a request of class c may take a slot now. Requests
// of its own class that wait are the concern of the calling function.
func (s *State) mayStart(now clock.Time, c Class) bool {
	slots := s.Slots(now)
	if s.running[Interactive]+s.running[Bulk] >= slots {
		return false
	}
	if c == Interactive {
		return true
	}
	return s.queues[Interactive].size == 0 && s.running[Bulk] < s.bulkSlots(slots)
}

// expected returns the time until r would be complete if it was queued now:
// the requests that start before it, shared by the slots of its class, and its
// own service. For bulk it includes the interactive requests that go first.
func (s *State) expected(now clock.Time, r Request) clock.Span {
	slots := s.Slots(now)
	turn := float64(s.queues[r.Class].ahead(r.Caller) + 1)
	var wait float64
	switch r.Class {
	case Interactive:
		free := slots - s.running[Bulk]
		if free < 1 { // a bulk request must end first
			wait, free = s.mean[Bulk]/float64(max(s.running[Bulk], 1)), 1
			turn--
		}
		wait += turn * s.mean[Interactive] / float64(free)
	case Bulk:
		wait = turn*s.mean[Bulk]/float64(s.bulkSlots(slots)) +
			float64(s.queues[Interactive].size)*s.mean[Interactive]/float64(slots)
	}
	return clock.Span(math.Round(wait + s.mean[r.Class]))
}

// Next returns when Expire has something to do: a deadline passes, or a slot
// grows while requests wait. It returns false if nothing is due.
func (s *State) Next(now clock.Time) (at clock.Time, ok bool) {
	if s.Waiting() == 0 {
		return 0, false
	}
	at = s.soonest
	if s.Slots(now) < s.cfg.Slots {
		if s.cold {
			at = min(at, s.coldAt.Add(grown(s.ramped(now), 1, float64(s.cfg.Ramp)/float64(s.cfg.Slots-1))))
		}
		if s.hasShed {
			at = min(at, s.shedAt.Add(grown(s.regrown(now), s.shedCap, float64(s.cfg.Regrow))))
		}
		at = max(at, now.Add(1))
	}
	return at, at != never
}

// grown returns the time after which a limit that starts at from and gains a
// slot per span exceeds the whole slots of n by one.
func grown(n, from, per float64) clock.Span {
	return clock.Span(math.Ceil((math.Floor(n+rounding) + 1 - rounding - from) * per))
}

// Waiting returns the number of queued requests.
func (s *State) Waiting() int { return s.queues[Interactive].size + s.queues[Bulk].size }

// Running returns the number of slots in use.
func (s *State) Running() int { return s.running[Interactive] + s.running[Bulk] }

// Counts returns what happened since New.
func (s *State) Counts() Counts { return s.counts }

// ClassDump is the state of one class.
type ClassDump struct {
	Class   string         `json:"class"`
	Running int            `json:"running"`
	Waiting map[string]int `json:"waiting"` // by caller
	MeanMs  float64        `json:"meanMs"`
}

// Dump is the state in a form for JSON.
type Dump struct {
	Slots     int         `json:"slots"`
	Effective int         `json:"effective"`
	Refusing  string      `json:"refusing"`
	Classes   []ClassDump `json:"classes"`
	Counts    Counts      `json:"counts"`
}

// Dump returns the state for an operator.
func (s *State) Dump(now clock.Time) Dump {
	d := Dump{Slots: s.cfg.Slots, Effective: s.Slots(now), Refusing: s.refusing.String(), Counts: s.counts}
	for c := range Class(classes) {
		cd := ClassDump{Class: c.String(), Running: s.running[c], MeanMs: s.mean[c], Waiting: make(map[string]int)}
		for _, l := range s.queues[c].lines {
			cd.Waiting[l.caller] = l.size
		}
		d.Classes = append(d.Classes, cd)
	}
	return d
}
