// Package ramp limits the requests to a server that isn't at its usual speed: Bucket
// limits the rate of those to a cold server, and Window the number that are in flight
// at one that has just started or recovered.
//
// The types do no I/O, read no clock and don't lock.
//
// # Usage
//
//	b := ramp.NewBucket(now, 4.6, 2, false)
//	if b.Take(now) {
//		// send
//	} else {
//		wait := b.Wait(now)
//	}
package ramp

import (
	"math"

	"github.com/laburnummux/laburnummux/internal/clock"
)

// minRate is the lowest rate, in tokens per second. Lower ones count as none.
const minRate = 1e-6

// Never is the wait for a token of a bucket that gets none.
const Never clock.Span = math.MaxInt64 / 4

// Bucket is a token bucket. In any period of d seconds it gives at most burst + rate*d
// tokens, and at least one is available after 1/rate seconds if burst is 1 or more.
type Bucket struct {
	rate   float64 // tokens per ms
	burst  float64
	tokens float64 // at the time at
	at     clock.Time
}

// NewBucket returns a bucket with a rate in tokens per second, which holds at most burst
// tokens. It starts with burst tokens if full is set, else with none.
func NewBucket(now clock.Time, rate, burst float64, full bool) *Bucket {
	b := &Bucket{at: now}
	b.SetRate(now, rate, burst)
	if full {
		b.tokens = b.burst
	}
	return b
}

// SetRate changes the rate and the burst. The bucket keeps its tokens, up to the burst.
// Values that aren't positive numbers count as 0.
func (b *Bucket) SetRate(now clock.Time, rate, burst float64) {
	b.refill(now)
	b.rate, b.burst = 0, 0
	if rate >= minRate && !math.IsInf(rate, 0) {
		b.rate = rate / float64(clock.Second)
	}
	if burst > 0 && !math.IsInf(burst, 0) {
		b.burst = burst
	}
	b.tokens = min(b.tokens, b.burst)
}

// refill adds the tokens since the last call. A clock that goes back adds none.
func (b *Bucket) refill(now clock.Time) {
	if now <= b.at {
		return
	}
	b.tokens = min(b.tokens+b.rate*float64(now.Sub(b.at)), b.burst)
	b.at = now
}

// whole is the least number of tokens that counts as one: the sum of many small
// additions is a little less than the product.
const whole = 1 - 1e-9

// Ready reports whether Take would succeed.
func (b *Bucket) Ready(now clock.Time) bool {
	b.refill(now)
	return b.tokens >= whole
}

// Take takes a token. It returns false if there is none.
func (b *Bucket) Take(now clock.Time) bool {
	if !b.Ready(now) {
		return false
	}
	b.tokens = max(b.tokens-1, 0)
	return true
}

// Return gives back a token that was taken and not used.
func (b *Bucket) Return(now clock.Time) {
	b.refill(now)
	b.tokens = min(b.tokens+1, b.burst)
}

// Wait returns the time until there is a token: 0 if there is one, Never if there will
// be none.
func (b *Bucket) Wait(now clock.Time) clock.Span { return b.WaitFor(now, 1) }

// WaitFor returns the time until n tokens have been available, if all that come before
// the last are taken at once.
func (b *Bucket) WaitFor(now clock.Time, n int) clock.Span {
	b.refill(now)
	missing := float64(n) - b.tokens
	switch {
	case missing <= 1-whole:
		return 0
	case b.rate == 0 || b.burst < whole:
		return Never
	}
	wait := math.Ceil((missing - (1 - whole)) / b.rate)
	if wait >= float64(Never) {
		return Never
	}
	return clock.Span(wait) + max(b.at.Sub(now), 0)
}
