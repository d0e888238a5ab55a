package ramp

import "github.com/laburnummux/laburnummux/internal/clock"

const (
	// minSize is the smallest window. A server then gets a request after each four
	// usual service times, which is enough to notice that it has recovered.
	minSize = 0.25
	// ratioWeight is the weight of the latest response in the moving average of the
	// response times. With exponential service times the average exceeds slowRatio at
	// a usual server in less than one of a thousand responses.
	ratioWeight = 0.25
	// slowRatio is the average response time, relative to the expected one, above
	// which a server is slow.
	slowRatio = 2.5
	// usualRatio is the average up to which a server responds at its usual speed. Above
	// it the window doesn't grow.
	usualRatio = 1.6
	// maxRatio bounds the weight of a single response.
	maxRatio = 8.0
	// idleGrowth is the growth in a round without responses, up to one request at a time.
	idleGrowth = 1.2
	// recoveryRounds is in how many rounds the window grows to its limit beyond the size at
	// which the server failed before. Doubling there would make it fail again at once.
	recoveryRounds = 12
	// roundTimes is the length of a round in usual service times. Responses to the
	// requests that were sent in one round come in the next one.
	roundTimes = 2
	// minRound and maxRound bound the length of a round.
	minRound = 50 * clock.Millisecond
	maxRound = clock.Second
	// maxSpacing bounds the time between two starts in a window below one, so that a
	// server isn't left idle by a few hosts that expect others to use it.
	maxSpacing = 2 * clock.Second
)

// Window is the slow-start window of a server: the number of requests that may be in
// flight there. It doubles in each round of responses at the usual speed, and is halved
// when the server rejects a request, doesn't respond, or is slow; from then on it grows
// in even steps. A window below one means that single requests are sent with time between
// them.
//
// Several hosts have a window for the same server. Each counts the requests of all
// hosts that it knows of, and takes what the others have in flight as proof that the
// server bears that much.
type Window struct {
	size      float64
	max       float64
	edge      float64 // up to this size the window doubles
	ratio     float64 // moving average of the response times relative to the expected ones
	good      int     // responses at the usual speed in this round
	bad       bool    // the window was halved in this round
	slow      bool    // a response was slow in this round
	roundFrom clock.Time
	restartAt clock.Time // when it was made or last halved
	startedAt clock.Time // of the last request
	started   bool
}

// NewWindow returns a window of a size that grows to limit.
func NewWindow(now clock.Time, size, limit float64) *Window {
	limit = max(limit, 1)
	return &Window{size: min(max(size, minSize), limit), max: limit, edge: limit, ratio: 1, roundFrom: now, restartAt: now}
}

// Size returns the number of requests that may be in flight.
func (w *Window) Size() float64 { return w.size }

// RestartedAt returns when the window was made, or last halved.
func (w *Window) RestartedAt() clock.Time { return w.restartAt }

// Allows reports whether another request may be sent, while inFlight are in flight. usual
// is the usual service time, and hosts how many hosts send requests to the server, each
// with a window of its own. The spacing is that of all of them together.
func (w *Window) Allows(now clock.Time, inFlight int, usual clock.Span, hosts int) bool {
	if w.size >= 1 {
		return float64(inFlight)+1 <= w.size
	}
	if inFlight > 0 {
		return false
	}
	spacing := min(clock.Span(float64(usual)*float64(max(hosts, 1))/w.size), maxSpacing)
	return !w.started || now.Sub(w.startedAt) >= spacing
}

// Start records that a request is sent.
func (w *Window) Start(now clock.Time) { w.startedAt, w.started = now, true }

// Respond records a response. ratio is its time relative to the one expected of the
// server: its usual speed, and the slowdown that it reports.
func (w *Window) Respond(now clock.Time, ratio float64) {
	w.ratio += ratioWeight * (min(max(ratio, 0), maxRatio) - w.ratio)
	switch {
	case w.ratio > slowRatio:
		w.Halve(now)
	case w.ratio <= usualRatio:
		w.good++
	default:
		w.slow = true
	}
}

// Halve records that the server has rejected a request, or not responded. The failures
// of one round count once, as the requests were sent before the first of them was known.
func (w *Window) Halve(now clock.Time) {
	if w.bad {
		return
	}
	w.size = max(w.size/2, minSize)
	w.edge = w.size
	w.ratio, w.bad, w.good, w.roundFrom, w.restartAt = 1, true, 0, now, now
}

// Advance ends a round that is over, and reports whether the window has reached its
// limit. others is the number of requests that other hosts have in flight.
func (w *Window) Advance(now clock.Time, others int, usual clock.Span) (open bool) {
	round := min(max(roundTimes*usual, minRound), maxRound)
	if now.Sub(w.roundFrom) >= round {
		w.grow(others)
		w.good, w.bad, w.slow, w.roundFrom = 0, false, false, now
	}
	return w.size >= w.max
}

// grow grows the window at the end of a round.
func (w *Window) grow(others int) {
	switch {
	case w.bad, w.slow && w.good == 0:
		return
	case w.good > 0 && w.size < w.edge:
		w.size = min(w.size*2, w.edge)
	case w.good > 0:
		w.size += w.max / recoveryRounds
	case w.size < 1:
		// Without responses nothing shows whether the server has recovered. One request
		// at a time does it no harm.
		w.size = min(w.size*idleGrowth, 1)
	}
	w.size = min(max(w.size, float64(others)), w.max)
}
