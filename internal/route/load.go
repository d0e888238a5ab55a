package route

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// latencyWeight is the share of a new sample in the moving average.
	latencyWeight = 0.2
	// latencyHalfLife halves an old average, so that a server that was once
	// slow is tried again.
	latencyHalfLife = 2 * clock.Second
	// failurePenalty is the latency in ms that a failed request counts as.
	failurePenalty = 250
)

// load is what this host measured of a server. Reports of the server itself
// are not used: they lag and can mislead.
type load struct {
	inFlight int
	latency  float64 // moving average in ms
	last     clock.Time
}

// Started counts a request to server.
func (s *State) Started(server keys.Server) { s.load(server).inFlight++ }

// Ended records the end of a request to server.
func (s *State) Ended(now clock.Time, server keys.Server, took clock.Span, ok bool) {
	l := s.load(server)
	l.inFlight = max(l.inFlight-1, 0)
	sample := float64(took)
	if !ok {
		sample = max(sample, failurePenalty)
	}
	l.latency = (1-latencyWeight)*l.aged(now) + latencyWeight*sample
	l.last = now
}

func (s *State) load(server keys.Server) *load {
	l := s.loads[server]
	if l == nil {
		l = &load{}
		s.loads[server] = l
	}
	return l
}

// cost is the expected wait of one more request.
func (s *State) cost(now clock.Time, server keys.Server) float64 {
	l := s.loads[server]
	if l == nil {
		return 0
	}
	return float64(l.inFlight+1) * (l.aged(now) + 1)
}

func (l *load) aged(now clock.Time) float64 {
	v := l.latency
	for d := now.Sub(l.last); d >= latencyHalfLife && v > 1; d -= latencyHalfLife {
		v /= 2
	}
	return v
}
