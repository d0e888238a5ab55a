// Package quota limits how often requests are sent to a second server.
//
// All hosts together may send a service at most ratio x requests + slack
// repeats in any window. Each host keeps to its share: the ratio of its own
// requests, and an equal part of the slack. No host needs to hear of another
// for the sum to hold, as long as the number of hosts isn't underestimated.
//
// # Usage
//
//	b := quota.New(quota.Config{Ratio: 0.2, Slack: 60, Window: 10 * clock.Second})
//	b.Request(now, service)
//	if b.Take(now, service, hosts) { /* send again */ }
package quota

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// reserve is the part of the budget that is left unused. It covers
	// windows that begin between two of our slots, and hosts that have just
	// joined and aren't counted yet.
	reserve = 0.2
	slots   = 20 // parts of a window that are counted separately
)

// Config has the bounds for all hosts together.
type Config struct {
	Ratio  float64
	Slack  float64
	Window clock.Span
}

// Budget counts the requests and repeats of one host.
type Budget struct {
	cfg      Config
	start    clock.Time
	services map[keys.Service]*window
}

// window has counts of the last slots parts. It covers slots+1 parts, so that
// no window of the bound's length falls between them.
type window struct {
	part     int64 // number of the newest part
	requests [slots + 1]int
	repeats  [slots + 1]int
}

// New returns a Budget of a host that starts at the given time.
func New(start clock.Time, cfg Config) *Budget {
	return &Budget{cfg: cfg, start: start, services: make(map[keys.Service]*window)}
}

func (b *Budget) at(now clock.Time, s keys.Service) (w *window, i int) {
	part := int64(now) * slots / int64(max(b.cfg.Window, slots))
	if w = b.services[s]; w == nil {
		w = &window{part: part}
		b.services[s] = w
	}
	for ; w.part < part; w.part++ {
		if part-w.part > slots {
			*w = window{part: part}
			break
		}
		n := (w.part + 1) % (slots + 1)
		w.requests[n], w.repeats[n] = 0, 0
	}
	return w, int(w.part % (slots + 1))
}

// Request counts a caller's request for a service.
func (b *Budget) Request(now clock.Time, s keys.Service) {
	w, i := b.at(now, s)
	w.requests[i]++
}

// Take asks to send a request once more, and counts it if it may be. hosts is
// the number of hosts that share the budget.
func (b *Budget) Take(now clock.Time, s keys.Service, hosts int) bool {
	w, i := b.at(now, s)
	requests, repeats := 0, 0
	for n := range w.requests {
		requests += w.requests[n]
		repeats += w.repeats[n]
	}
	// A host that restarts forgets what it has sent. It earns its part of the
	// slack over the first window, so that restarts can't add to the sum.
	earned := min(1, float64(now.Sub(b.start))/float64(b.cfg.Window))
	limit := (1 - reserve) * (b.cfg.Ratio*float64(requests) + earned*b.cfg.Slack/float64(max(hosts, 1)))
	if float64(repeats+1) > limit {
		return false
	}
	w.repeats[i]++
	return true
}
