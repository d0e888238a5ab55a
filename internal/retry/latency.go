package retry

import (
	"math/bits"

	"github.com/laburnummux/laburnummux/internal/clock"
)

const (
	// enough measurements for a 95th percentile that rests on several values.
	enough = 40
	// window is after how many measurements the old ones count half.
	window = 1024
	steps  = 4 // buckets per doubling: an error of at most 25 %
)

// latencies is a histogram with logarithmic buckets in which old measurements
// fade.
type latencies struct {
	buckets [40 * steps]uint32
	total   uint32
}

func (l *latencies) add(d clock.Span) {
	l.buckets[bucket(d)]++
	l.total++
	if l.total < window {
		return
	}
	l.total = 0
	for i := range l.buckets {
		l.buckets[i] /= 2
		l.total += l.buckets[i]
	}
}

// p95 returns the upper bound of the bucket of the 95th percentile.
func (l *latencies) p95() (clock.Span, bool) {
	if l.total < enough {
		return 0, false
	}
	above := l.total / 20
	for i := len(l.buckets) - 1; i > 0; i-- {
		if l.buckets[i] > above {
			return upper(i), true
		}
		above -= l.buckets[i]
	}
	return upper(0), true
}

// bucket returns d itself below steps, then steps buckets per doubling.
func bucket(d clock.Span) int {
	n := uint64(max(d, 0))
	if n < steps {
		return int(n)
	}
	e := bits.Len64(n) - 3 // n>>e is in [steps, 2*steps)
	return min(e*steps+int(n>>e), 40*steps-1)
}

// upper returns the largest span in bucket i.
func upper(i int) clock.Span {
	if i < 2*steps {
		return clock.Span(i)
	}
	e := i/steps - 1
	return clock.Span(i-e*steps+1)<<e - 1
}
