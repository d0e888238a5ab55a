package lease

import (
	"math"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// loadWindow is the period over which request rates are measured.
	loadWindow = clock.Second
	// hotCandidates is the number of counters for the hottest hash. Every hash
	// with more than 1/(hotCandidates+1) of the requests keeps a counter.
	hotCandidates = 8
	// noiseSigmas is the difference of a window from the estimate, in standard
	// deviations of a count, above which the load counts as changed: noise
	// exceeds it once in 16,000 windows.
	noiseSigmas = 4
	// windowWeight is the weight of a window in the moving average of a steady
	// rate; the noise of the average is a third of a window's.
	windowWeight = 0.2
)

// meter counts requests of one range with the Misra-Gries summary, which finds
// frequent hashes in constant space.
type meter struct {
	requests int
	hashes   [hotCandidates]keys.Hash
	counts   [hotCandidates]int

	rate, hotRate float64
	hotHash       keys.Hash
	// known reports whether rate was measured over a full window, or estimated
	// from one. A new lease has no rate yet; if it were reported as 0, the
	// assigner would move more ranges to its server.
	known bool
	// partial reports whether counting started within the present window.
	partial bool
}

func (m *meter) count(h keys.Hash) {
	m.requests++
	free := -1
	for i, c := range m.counts {
		if c > 0 && m.hashes[i] == h {
			m.counts[i]++
			return
		}
		if c == 0 {
			free = i
		}
	}
	if free >= 0 {
		m.hashes[free], m.counts[free] = h, 1
		return
	}
	for i := range m.counts {
		m.counts[i]--
	}
}

// roll ends a window of length d and updates the rates.
func (m *meter) roll(d clock.Span) {
	if m.partial {
		m.requests, m.counts, m.partial = 0, [hotCandidates]int{}, false
		return
	}
	perSecond := float64(clock.Second) / float64(max(d, 1))
	rate, hot, hotRate := float64(m.requests)*perSecond, keys.Hash(0), 0.0
	for i, c := range m.counts {
		if r := float64(c) * perSecond; r > hotRate {
			hot, hotRate = m.hashes[i], r
		}
	}
	if m.known {
		if hot == m.hotHash {
			hotRate = smooth(m.hotRate, hotRate, perSecond)
		}
		rate = smooth(m.rate, rate, perSecond)
	}
	m.known, m.rate, m.hotHash, m.hotRate = true, rate, hot, min(hotRate, rate)
	m.requests, m.counts = 0, [hotCandidates]int{}
}

// smooth returns the estimate of a rate after a window with the rate current.
// Ranges are moved by these estimates, so the noise of a steady load must hardly
// change them, while a real change must show at once.
func smooth(previous, current, perSecond float64) float64 {
	if math.Abs(current-previous) > noiseSigmas*math.Sqrt(max(current, previous)*perSecond) {
		return current
	}
	return previous + windowWeight*(current-previous)
}

func (m *meter) load(r keys.Range) grant.Load {
	return grant.Load{Range: r, Rate: m.rate, Hot: m.hotHash, HotRate: m.hotRate}
}

// slice estimates the rates of a part of the range until the next full window.
func (m *meter) slice(whole, hashes keys.Range) meter {
	part := meter{known: m.known, partial: true, rate: (m.rate - m.hotRate) * hashes.Share() / whole.Share()}
	if hashes.Contains(m.hotHash) {
		part.rate, part.hotHash, part.hotRate = part.rate+m.hotRate, m.hotHash, m.hotRate
	}
	return part
}

// add adds a neighbour's rates. Its counts of single hashes are dropped.
func (m *meter) add(other meter) {
	m.requests, m.rate = m.requests+other.requests, m.rate+other.rate
	m.known, m.partial = m.known && other.known, m.partial || other.partial
	if other.hotRate > m.hotRate {
		m.hotHash, m.hotRate = other.hotHash, other.hotRate
	}
}

// rollWindow ends the window of all leases of the server once it has lasted for
// loadWindow.
func (sv *server) rollWindow(now clock.Time) {
	d := now.Sub(sv.windowStart)
	if d < loadWindow {
		return
	}
	for _, l := range sv.leases {
		l.meter.roll(d)
	}
	sv.windowStart = now
	sv.reportLoads()
}

// reportLoads makes the next renewals report the loads.
func (sv *server) reportLoads() { sv.loadsDue, sv.loadsNonce = true, 0 }

// sameRanges reports whether loads of a are reported for the same ranges as
// loads of b.
func sameRanges(a, b []*lease) bool {
	return slices.EqualFunc(a, b, func(x, y *lease) bool {
		return x.hashes == y.hashes && x.fence == y.fence && x.releasing == y.releasing
	})
}
