package route

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// latencyWeight is the weight of a new sample in the moving average.
	latencyWeight = 0.2
	// latencyHalfLife is the time without a sample after which the average is
	// halved, so that a server that was slow is tried again.
	latencyHalfLife = 2 * clock.Second
	// failurePenaltyMs is the least latency that a failed request counts as.
	failurePenaltyMs = 250
)

// serverLoad is the load of a server as measured by this host. Figures that the
// server itself reports are not used: they lag and can be wrong.
type serverLoad struct {
	inFlight  int
	latency   float64 // moving average in ms
	updatedAt clock.Time
}

// RequestStarted records the start of a request to server.
func (s *State) RequestStarted(server keys.Server) { s.loadOf(server).inFlight++ }

// RequestEnded records the end of a request to server. A failed request (ok is
// false) counts with at least failurePenaltyMs.
func (s *State) RequestEnded(now clock.Time, server keys.Server, latency clock.Span, ok bool) {
	l := s.loadOf(server)
	l.inFlight = max(l.inFlight-1, 0)
	sample := float64(latency)
	if !ok {
		sample = max(sample, failurePenaltyMs)
	}
	l.latency = (1-latencyWeight)*l.decayedLatency(now) + latencyWeight*sample
	l.updatedAt = now
}

func (s *State) loadOf(server keys.Server) *serverLoad {
	l := s.loads[server]
	if l == nil {
		l = &serverLoad{}
		s.loads[server] = l
	}
	return l
}

// cost estimates the latency in ms of one more request to server. It is 0 for a
// server without measurements.
func (s *State) cost(now clock.Time, server keys.Server) float64 {
	l := s.loads[server]
	if l == nil {
		return 0
	}
	return float64(l.inFlight+1) * (l.decayedLatency(now) + 1)
}

// decayedLatency returns the average latency in ms, halved for every
// latencyHalfLife since the last sample.
func (l *serverLoad) decayedLatency(now clock.Time) float64 {
	v := l.latency
	for d := now.Sub(l.updatedAt); d >= latencyHalfLife && v > 1; d -= latencyHalfLife {
		v /= 2
	}
	return v
}
