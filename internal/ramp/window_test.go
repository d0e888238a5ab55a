package ramp

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/laburnummux/laburnummux/internal/clock"
)

// Guards against a window that leaves its bounds, lets more requests through than its
// size, or grows in a round with a failure.
func TestWindowProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Float64Range(1, 9).Draw(t, "limit")
		usual := clock.Span(rapid.Int64Range(1, 400).Draw(t, "usual"))
		hosts := rapid.IntRange(1, 80).Draw(t, "hosts")
		now := clock.Time(0)
		w := NewWindow(now, rapid.Float64Range(0, 9).Draw(t, "size"), limit)
		inFlight, lastStart := 0, clock.Time(-1)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(clock.Span(rapid.Int64Range(0, 150).Draw(t, "step")))
			before := w.Size()
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				if !w.Allows(now, inFlight, usual, hosts) {
					break
				}
				if before < 1 && lastStart >= 0 && now.Sub(lastStart) < min(usual*clock.Span(hosts), maxSpacing) {
					t.Fatalf("two starts within %d ms in a window of %.2f", now.Sub(lastStart), before)
				}
				inFlight++
				lastStart = now
				w.Start(now)
				if float64(inFlight) > max(before, 1) {
					t.Fatalf("%d in flight in a window of %.2f", inFlight, before)
				}
			case 1:
				if inFlight > 0 {
					inFlight--
					w.Respond(now, rapid.Float64Range(0, 20).Draw(t, "ratio"))
				}
			case 2:
				if inFlight > 0 {
					inFlight--
					w.Halve(now)
					if w.Size() > max(before, minSize) {
						t.Fatalf("grew from %.2f to %.2f by a failure", before, w.Size())
					}
				}
			case 3:
				others := rapid.IntRange(0, 3).Draw(t, "others")
				w.Advance(now, others, usual)
				if grown := max(2*before, before+limit/recoveryRounds, float64(others)); w.Size() > grown {
					t.Fatalf("grew from %.2f to %.2f in one round", before, w.Size())
				}
			}
			if w.Size() < minSize || w.Size() > limit {
				t.Fatalf("window of %.2f, limits %.2f and %.2f", w.Size(), minSize, limit)
			}
		}
		// A server that responds at its usual speed gets the whole window soon, however
		// often it failed before.
		for rounds := 0; !w.Advance(now, 0, usual); rounds++ {
			if rounds > recoveryRounds+6 { // the average of the ratios settles in a few
				t.Fatalf("window of %.2f after %d rounds of good responses, limit %.2f", w.Size(), rounds, limit)
			}
			now = now.Add(maxRound)
			w.Respond(now, 1)
		}
	})
}

// Guards against a server that is halved several times for the same burst of failures,
// and against one that stays in the smallest window because no request is sent to it.
func TestWindowAfterFailures(t *testing.T) {
	const usual = 100 * clock.Millisecond
	is := is.New(t)
	w := NewWindow(0, 8, 9)
	for at := clock.Time(10); at < 50; at += 10 {
		w.Halve(at)
	}
	is.Equal(w.Size(), 4.0)
	w.Advance(100, 0, usual)
	is.Equal(w.Size(), 4.0) // the round of the failure isn't over
	w.Advance(210, 0, usual)
	for at := clock.Time(220); w.Size() > minSize; at += 250 {
		w.Halve(at)
		w.Advance(at+220, 0, usual)
	}
	for at := clock.Time(5000); w.Size() < 1; at += 250 {
		is.True(at < 5000+9*250) // eight rounds
		w.Advance(at, 0, usual)
	}
	w.Advance(9000, 0, usual)
	is.Equal(w.Size(), 1.0) // more only after responses
	w.Advance(10000, 3, usual)
	is.Equal(w.Size(), 3.0) // others have that much in flight
}

// Guards against a window that shrinks by the ordinary variation of service times, and
// one that doesn't shrink for a server that is slow beyond what it reports.
func TestWindowOfSlowServer(t *testing.T) {
	tests := []struct {
		name   string
		ratios []float64
		halved bool
	}{
		{"usual", []float64{0.2, 2.3, 0.7, 1.4, 3, 0.1, 0.9, 2}, false},
		{"one outlier", []float64{1, 5, 1, 1}, false},
		{"four times as slow", []float64{4, 4, 4, 4}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := NewWindow(0, 4, 9)
			for _, r := range tt.ratios {
				w.Respond(10, r)
			}
			is.Equal(w.Size() < 4, tt.halved)
		})
	}
}
