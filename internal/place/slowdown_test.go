package place

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/clock"
)

// Guards against a server that attracts requests, or loses all, by a false slowdown, and
// against a server that seems slow for long because its machine was for a moment. The
// expected time at a server is 1 if it is at its usual speed.
func TestReportedSlowdown(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 2))
	slow := func(i int) bool { return i%25 < 5 } // a fifth of the time
	tests := []struct {
		name        string
		took        func(i int) float64 // relative to the route's mean
		report      func(i int) float64
		least, mean float64 // bounds of the expected time: at any moment, and on average
	}{
		{"no report", func(int) float64 { return 1 }, func(int) float64 { return 0 }, 0.99, 1.01},
		{"always faster", func(int) float64 { return 1 }, func(int) float64 { return 0.01 }, 0.75, 1.3},
		{"always slower", func(int) float64 { return 1 }, func(int) float64 { return 1000 }, 0.6, 1.3},
		{"alternating", func(int) float64 { return 1 }, func(i int) float64 { return []float64{0.1, 9}[i%2] }, 0.55, 2},
		{"at random", func(int) float64 { return 1 }, func(int) float64 { return 5 * rng.Float64() }, 0.5, 1.6},
		{"not a number", func(int) float64 { return 1 }, func(int) float64 { return math.NaN() }, 0.99, 1.01},
		{"slow at times, and says so", func(i int) float64 {
			if slow(i) {
				return 3
			}
			return 1
		}, func(i int) float64 {
			if slow(i) {
				return 3
			}
			return 1
		}, 0.95, 1.5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newState(1)
			least, sum, n := math.Inf(1), 0.0, 0
			for i := range 1000 {
				now := clock.Time(100 * i)
				s.Done(now, "s0", Result{Duration: clock.Span(100 * tt.took(i)), RouteMean: 100, Slowdown: tt.report(i)})
				sv := s.servers["s0"]
				if i < 200 {
					continue
				}
				for _, at := range []clock.Time{now, now.Add(slowdownAge + 1)} {
					x, ok := s.score(at, sv)
					is.True(ok)
					least, sum, n = min(least, x), sum+x, n+1
				}
			}
			t.Logf("expected time at least %.2f, %.2f on average", least, sum/float64(n))
			is.True(least >= tt.least)
			is.True(sum/float64(n) <= tt.mean)
		})
	}
}

// Guards against requests that go to a machine that is slow at the moment, while another
// one isn't, and against a report that counts for longer than the slowdown lasts.
func TestSlowServerIsAvoided(t *testing.T) {
	is := is.New(t)
	s := newState(2)
	for i := range 50 {
		for _, sv := range servers(2) {
			s.Done(clock.Time(i), sv.ID, Result{Duration: 100, RouteMean: 100, Slowdown: 1})
		}
	}
	s.Done(100, "s0", Result{Duration: 300, RouteMean: 100, Slowdown: 3})
	first, _ := s.score(100, s.servers["s0"])
	other, _ := s.score(100, s.servers["s1"])
	is.True(first > 2*other)
	first, _ = s.score(301, s.servers["s0"])
	is.True(math.Abs(first-other) < 0.1)
}

// Guards against a slowdown that has an effect though it is disabled, and against a load in
// the same header that is disabled with it.
func TestIgnoredSlowdown(t *testing.T) {
	tests := []struct {
		name string
		on   bool
	}{{"enabled", true}, {"disabled", false}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s, silent := newState(1), newState(1)
			s.SetSlowdown(tt.on)
			for i := range 100 {
				now := clock.Time(10 * i)
				res := Result{Duration: clock.Span(100 + 50*(i%5)), RouteMean: 100, Load: i % 3, HasLoad: true}
				silent.Done(now, "s0", res)
				res.Slowdown = float64(1 + i%5)
				s.Done(now, "s0", res)
				x, _ := s.score(now, s.servers["s0"])
				y, _ := silent.score(now, silent.servers["s0"])
				if !tt.on {
					is.Equal(x, y)
					is.Equal(s.Slowdown("s0", 3), 1.0)
				}
				is.Equal(s.servers["s0"].toldLoad, i%3)
				is.True(tt.on || s.servers["s0"].serviceTimeRatio == silent.servers["s0"].serviceTimeRatio)
			}
			is.Equal(s.Slowdown("s0", 5) != 1, tt.on)
			is.Equal(s.servers["s0"].serviceTimeRatio != silent.servers["s0"].serviceTimeRatio, tt.on)
		})
	}
}
