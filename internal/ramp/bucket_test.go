package ramp

import (
	"flag"
	"math"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/laburnummux/laburnummux/internal/clock"
)

// TestMain sets defaults of rapid's flags before they are parsed. The fixed seed makes
// runs reproducible. A longer run:
//
//	go test ./internal/ramp -rapid.checks=20000 -rapid.seed=7
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"seed": "1", "checks": "500", "nofailfile": "true"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// Guards against a bucket that gives more than its rate and burst in some period, which
// crashes a cold server, and against one that gives less than its rate to a caller that
// waits as told.
func TestBucketProperty(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.Float64Range(0.1, 300).Draw(t, "rate")
		burst := rapid.Float64Range(1, 5).Draw(t, "burst")
		full := rapid.Bool().Draw(t, "full")
		now := clock.Time(rapid.Int64Range(0, 1000).Draw(t, "start"))
		b := NewBucket(now, rate, burst, full)
		start, tokens := now, 0.0
		if full {
			tokens = burst
		}
		var taken []clock.Time
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(clock.Span(rapid.SampledFrom([]int64{-50, 0, 0, 1, 3, 20, 200, 2000}).Draw(t, "step")))
			if wait := b.Wait(now); rapid.Bool().Draw(t, "waits") && wait > 0 {
				if wait > 1 && b.Ready(now.Add(wait-2)) {
					t.Fatalf("token %d ms before the wait of %d ms ends", 2, wait)
				}
				now = now.Add(wait)
				if !b.Ready(now) {
					t.Fatalf("no token after the wait of %d ms", wait)
				}
			}
			if b.Take(now) {
				taken = append(taken, max(now, start))
			}
		}
		latest := start
		for i, at := range taken {
			latest = max(latest, at)
			taken[i] = latest // a clock that goes back stands still
		}
		for i, from := range taken {
			for j := i; j < len(taken); j++ {
				limit := burst + rate*float64(taken[j].Sub(from))/1000
				if n := j - i + 1; float64(n) > limit+1e-6 {
					t.Fatalf("%d tokens within %d ms, limit %.3f", n, taken[j].Sub(from), limit)
				}
			}
			if limit := tokens + rate*float64(taken[i].Sub(start))/1000; float64(i+1) > limit+1e-6 {
				t.Fatalf("%d tokens since the start, limit %.3f", i+1, limit)
			}
		}
	})
}

// Guards against a bucket of a wrong configuration that gives tokens without a limit or
// names a wait that overflows.
func TestBucketWithoutRate(t *testing.T) {
	for _, rate := range []float64{0, -1, math.NaN(), math.Inf(1), 1e-300} {
		is := is.New(t)
		b := NewBucket(0, rate, 2, false)
		is.True(!b.Take(1 << 40))
		is.Equal(b.Wait(1<<40), Never)
		is.Equal(NewBucket(0, 5, math.NaN(), true).Wait(0), Never)
	}
}

// Guards against a changed rate that gives tokens for the time before the change, and
// against a returned token that exceeds the burst.
func TestBucketChanges(t *testing.T) {
	is := is.New(t)
	b := NewBucket(0, 1, 2, false)
	is.Equal(b.Wait(0), 1000*clock.Millisecond)
	is.Equal(b.WaitFor(0, 3), 3000*clock.Millisecond)
	b.SetRate(500, 10, 2) // half a token until here
	is.True(!b.Take(540))
	is.True(b.Take(550))
	b.Return(550)
	b.Return(550)
	b.Return(550)
	is.True(b.Take(550))
	is.True(b.Take(550))
	is.True(!b.Take(550))
	b.SetRate(5000, 10, 1)
	is.True(b.Take(5000))
	is.True(!b.Take(5000))
}
