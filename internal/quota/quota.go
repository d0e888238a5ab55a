// Package quota implements a retry budget: it limits how often requests are sent
// to a second server.
//
// All hosts together may send a service at most ratio x requests + slack retries
// in any window. Each host limits itself to its share: the ratio of its own
// requests, and an equal part of the slack. The hosts need no communication to
// keep the total, as long as the number of hosts isn't underestimated.
//
// Package relay uses this budget, which counts in a window and bounds the total
// of all hosts; the budget of package retry, which package entry uses, is a token
// bucket of each host and service.
//
// # Usage
//
//	b := quota.New(now, quota.Config{Ratio: 0.2, Slack: 60, Window: 10 * clock.Second})
//	b.CountRequest(now, service)
//	if b.AllowRetry(now, service, hosts) { /* send again */ }
package quota

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// reserve is the fraction of the budget that is left unused. It covers
	// windows that begin inside a bucket, and hosts that have just joined and
	// aren't counted yet.
	reserve          = 0.2
	bucketsPerWindow = 20
)

// Config has the limits of all hosts together.
type Config struct {
	Ratio  float64 // retries per request
	Slack  float64 // additional retries per window
	Window clock.Span
}

// Budget is the retry budget of one host. It counts requests and retries of each
// service.
type Budget struct {
	cfg      Config
	start    clock.Time
	services map[keys.Service]*window
}

// window is a ring of counts per bucket, indexed by the bucket's number modulo
// its length. It has one bucket more than a window, so that it covers every
// window of Config.Window that ends in the newest bucket.
type window struct {
	newest   int64 // number of the newest bucket
	requests [bucketsPerWindow + 1]int
	retries  [bucketsPerWindow + 1]int
}

// New returns the Budget of a host that started at the given time.
func New(start clock.Time, cfg Config) *Budget {
	return &Budget{cfg: cfg, start: start, services: make(map[keys.Service]*window)}
}

// bucket returns the counts of a service, advanced to the given time, and the
// index of the current bucket.
func (b *Budget) bucket(now clock.Time, s keys.Service) (w *window, i int) {
	current := int64(now) * bucketsPerWindow / int64(max(b.cfg.Window, bucketsPerWindow))
	if w = b.services[s]; w == nil {
		w = &window{newest: current}
		b.services[s] = w
	}
	for ; w.newest < current; w.newest++ {
		if current-w.newest > bucketsPerWindow {
			*w = window{newest: current}
			break
		}
		n := (w.newest + 1) % (bucketsPerWindow + 1)
		w.requests[n], w.retries[n] = 0, 0
	}
	return w, int(w.newest % (bucketsPerWindow + 1))
}

// CountRequest counts a caller's request to a service.
func (b *Budget) CountRequest(now clock.Time, s keys.Service) {
	w, i := b.bucket(now, s)
	w.requests[i]++
}

// AllowRetry reports whether a request may be retried, and counts the retry if so.
// hosts is the number of hosts that share the budget.
func (b *Budget) AllowRetry(now clock.Time, s keys.Service, hosts int) bool {
	w, i := b.bucket(now, s)
	requests, retries := 0, 0
	for n := range w.requests {
		requests += w.requests[n]
		retries += w.retries[n]
	}
	// A restarted host has lost its counts. Its part of the slack grows from 0
	// during the first window, so that restarts can't increase the total.
	slackFraction := min(1, float64(now.Sub(b.start))/float64(b.cfg.Window))
	limit := (1 - reserve) * (b.cfg.Ratio*float64(requests) + slackFraction*b.cfg.Slack/float64(max(hosts, 1)))
	if float64(retries+1) > limit {
		return false
	}
	w.retries[i]++
	return true
}
