package lease

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Guards against ranges that move because of the noise of a steady load, and
// against a change of the load that shows late.
func TestMeterNoise(t *testing.T) {
	tests := []struct {
		name         string
		mean         int // requests in a window
		windows      int
		last         int // requests in the last window, or 0
		maxDeviation float64
	}{
		{"steady", 100, 50, 0, 0.5}, // in standard deviations of a window's count
		{"steady and rare", 9, 50, 0, 0.5},
		{"doubled", 100, 50, 200, 0.5},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(7, 1))
			var m meter
			window := func(n int) {
				for range n {
					m.count(keys.Hash(rnd.Uint64()))
				}
				m.roll(clock.Second)
			}
			sumSquares, counted := 0.0, 0
			for i := range tt.windows {
				window(poisson(rnd, tt.mean))
				if i >= 10 {
					sumSquares, counted = sumSquares+math.Pow(m.rate-float64(tt.mean), 2), counted+1
				}
			}
			want := tt.mean
			deviation := math.Sqrt(sumSquares / float64(counted))
			if tt.last > 0 {
				window(tt.last)
				want, deviation = tt.last, math.Abs(m.rate-float64(tt.last))
			}
			if deviation > tt.maxDeviation*math.Sqrt(float64(want)) {
				t.Errorf("the rate %v differs from the load by %.1f, at most %.1f", m.rate, deviation, tt.maxDeviation*math.Sqrt(float64(want)))
			}
		})
	}
}

// poisson returns a random count with a Poisson distribution of that mean.
func poisson(rnd *rand.Rand, mean int) (n int) {
	for elapsed := rnd.ExpFloat64(); elapsed < float64(mean); elapsed += rnd.ExpFloat64() {
		n++
	}
	return n
}
