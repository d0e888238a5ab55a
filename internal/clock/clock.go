// Package clock measures time in milliseconds on a monotonic clock.
//
// Packages that make decisions don't read a clock: they receive a Time with each
// event. Workers own a Clock and read it once per event.
//
// # Usage
//
//	c := clock.System()
//	deadline := c.Now().Add(250 * clock.Millisecond)
//
// Tests and simulations use a manual clock, which changes only with Advance:
//
//	c := clock.Manual(0)
//	c.Advance(100 * clock.Millisecond)
package clock

import (
	"sync/atomic"
	"time"
)

// Time is a reading of a monotonic clock in milliseconds since the process
// started. Readings of different processes can't be compared.
type Time int64

// Span is a length of time in milliseconds.
type Span int64

// Units of Span.
const (
	Millisecond Span = 1
	Second           = 1000 * Millisecond
	Minute           = 60 * Second
)

// Add returns t+d.
func (t Time) Add(d Span) Time { return t + Time(d) }

// Sub returns t-u.
func (t Time) Sub(u Time) Span { return Span(t - u) }

// Before reports whether t is earlier than u.
func (t Time) Before(u Time) bool { return t < u }

// After reports whether t is later than u.
func (t Time) After(u Time) bool { return t > u }

// SamePeriod reports whether t and u lie between the same two multiples of d.
// Users of the same clock that do something once per period do it at the same
// time.
func (t Time) SamePeriod(u Time, d Span) bool { return int64(t)/int64(d) == int64(u)/int64(d) }

// Std converts d to the standard library's type.
func (d Span) Std() time.Duration { return time.Duration(d) * time.Millisecond }

// FromStd converts a standard duration, rounding down.
func FromStd(d time.Duration) Span { return Span(d / time.Millisecond) }

// Clock gives the current Time. Use System or Manual to create one.
type Clock struct {
	start  time.Time
	manual bool
	now    atomic.Int64
}

// System returns a clock that starts at zero and follows the operating
// system's monotonic clock.
func System() *Clock { return &Clock{start: time.Now()} }

// Manual returns a clock that reads t until Advance is called.
func Manual(t Time) *Clock {
	c := &Clock{manual: true}
	c.now.Store(int64(t))
	return c
}

// Now returns the current time.
func (c *Clock) Now() Time {
	if c.manual {
		return Time(c.now.Load())
	}
	return Time(time.Since(c.start) / time.Millisecond)
}

// Advance moves a manual clock forward. It has no effect on a system clock.
func (c *Clock) Advance(d Span) {
	if c.manual {
		c.now.Add(int64(d))
	}
}
