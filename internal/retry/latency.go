package retry

import (
	"math/bits"

	"github.com/laburnummux/laburnummux/internal/clock"
)

const (
	// minSamples is the least number of samples for a 95th percentile that doesn't
	// depend on a single value.
	minSamples = 40
	// decayWindow is the number of samples after which all counts are halved.
	decayWindow        = 1024
	bucketsPerDoubling = 4 // the error is at most 25 %
)

// histogram counts latencies in logarithmic buckets. The weight of old samples
// decays.
type histogram struct {
	buckets [40 * bucketsPerDoubling]uint32
	total   uint32
}

func (h *histogram) add(d clock.Span) {
	h.buckets[bucket(d)]++
	h.total++
	if h.total < decayWindow {
		return
	}
	h.total = 0
	for i := range h.buckets {
		h.buckets[i] /= 2
		h.total += h.buckets[i]
	}
}

// p95 returns the upper bound of the bucket that has the 95th percentile. It
// returns false if there are fewer than minSamples samples.
func (h *histogram) p95() (clock.Span, bool) {
	if h.total < minSamples {
		return 0, false
	}
	above := h.total / 20
	for i := len(h.buckets) - 1; i > 0; i-- {
		if h.buckets[i] > above {
			return upperBound(i), true
		}
		above -= h.buckets[i]
	}
	return upperBound(0), true
}

// bucket returns the index of the bucket for d: d itself below
// bucketsPerDoubling, then bucketsPerDoubling buckets per doubling.
func bucket(d clock.Span) int {
	n := uint64(max(d, 0))
	if n < bucketsPerDoubling {
		return int(n)
	}
	e := bits.Len64(n) - 3 // n>>e is in [bucketsPerDoubling, 2*bucketsPerDoubling)
	return min(e*bucketsPerDoubling+int(n>>e), 40*bucketsPerDoubling-1)
}

// upperBound returns the longest latency in bucket i.
func upperBound(i int) clock.Span {
	if i < 2*bucketsPerDoubling {
		return clock.Span(i)
	}
	e := i/bucketsPerDoubling - 1
	return clock.Span(i-e*bucketsPerDoubling+1)<<e - 1
}
