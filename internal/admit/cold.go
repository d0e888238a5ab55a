package admit

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/ramp"
)

const (
	// maxColdBurst is the most requests that a cold server gets at once.
	maxColdBurst = 2
	// minColdShare is the least share of a cold server's rate that one admitter uses,
	// if the bound is too low for two.
	minColdShare = 0.25
)

// coldState is the limit of a cold server.
type coldState struct {
	until  clock.Time
	rate   float64      // requests per second that the server tolerates
	bucket *ramp.Bucket // nil: it isn't cold
}

// SetColdBound sets the bound on the requests to a cold server: in no second more than
// its rate times over, plus slack. Two hosts that both act as the admitter stay within
// it together.
func (s *State) SetColdBound(over, slack float64) { s.over, s.slack = over, slack }

// SetColdFrom has nothing admitted to cold servers before a time. A host that has just
// started doesn't know the other hosts, and many may have started with it.
func (s *State) SetColdFrom(at clock.Time) { s.coldFrom = at }

// setCold records how much longer a server is cold. Hosts may have learned different
// times; the latest end counts.
func (s *State) setCold(now clock.Time, sv *server, left clock.Span, rate float64) {
	c := &sv.cold
	if left <= 0 || rate <= 0 {
		return
	}
	c.until = max(c.until, now.Add(left))
	if c.bucket == nil {
		// It starts empty, as another host may have been the admitter until now.
		c.rate = rate
		c.bucket = ramp.NewBucket(max(now, s.coldFrom), s.coldRate(rate), s.coldBurst(rate), false)
	} else if rate < c.rate {
		c.rate = rate
		c.bucket.SetRate(now, s.coldRate(rate), s.coldBurst(rate))
	}
}

// coldRate returns the rate at which one admitter admits requests to a cold server.
func (s *State) coldRate(rate float64) float64 {
	if left := s.halfBound(rate) - s.coldBurst(rate); left > 0 {
		return min(rate, left)
	}
	return minColdShare * rate
}

// coldBurst returns how many requests one admitter may admit to a cold server at once.
func (s *State) coldBurst(rate float64) float64 {
	return min(maxColdBurst, max(s.halfBound(rate)/2, 1))
}

// halfBound returns half of the bound on the requests to a cold server in a second.
func (s *State) halfBound(rate float64) float64 { return (rate*s.over + s.slack) / 2 }

// limit returns the bucket of a server that is cold, or nil.
func (sv *server) limit(now clock.Time) *ramp.Bucket {
	if sv.cold.bucket != nil && now >= sv.cold.until {
		sv.cold = coldState{}
	}
	return sv.cold.bucket
}
