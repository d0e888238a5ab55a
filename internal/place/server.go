package place

import (
	"math"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// serverQueueLen is the number of requests that may queue at a server, so
	// that the next one starts as soon as a slot is free, before the host has
	// received the response and sent another request.
	serverQueueLen = 1
	// remoteCost is added to the score of a server in another data centre, in
	// units of a mean request. Traffic between data centres is expensive.
	remoteCost = 0.6
	// connectCost is added to the score of a server to which this host has no
	// idle connection. Opening one takes time at the server and may hold a slot.
	connectCost = 0.25
	// warmupFactor multiplies the service time ratio of a server during its
	// warm-up, if its service has no slow start.
	warmupFactor = 2.0
	// failureCost is added to the score of a server whose every request fails,
	// and in proportion below that.
	failureCost = 6.0
	// connShare is the share of the connections accepted by a server that all
	// hosts together may use. After a power loss, the connections of a host stay
	// open at the server for a while, in addition to those of its next process.
	connShare = 0.6
	// minConns is the smallest limit of requests in flight of a host at a
	// server.
	minConns = 2
)

// server has the load and the statistics of a backend server.
type server struct {
	fleet.Server
	localInFlight    int
	peerInFlight     int // sum of the load reports of the other hosts
	toldLoad         int // in its last response
	toldLoadAt       clock.Time
	serviceTimeRatio float64 // moving average of service time / mean of the route
	failureRate      float64 // moving average of failed requests, 0 to 1
	connFailures     int     // consecutive connection failures
	avoidUntil       clock.Time
	declinedUntil    clock.Time // see Decline
	warmupUntil      clock.Time
	warmupToldAt     clock.Time // when a health response last told warmupUntil; 0: never
	explored         bool       // some host has sent it a request
	notice           notice
	evacuated        bool       // its data centre is evacuated
	ownsUntil        clock.Time // see Evacuation.OwnersUntil
	ramp             rampState
	slowdown         slowdown
}

// connLimit returns how many requests this host may have in flight at a server
// of a service. Each uses one connection.
func (s *State) connLimit(name keys.Service) int {
	c, ok := s.maxConns[name]
	if !ok || c <= 0 {
		return math.MaxInt
	}
	return max(int(float64(c)*connShare)/max(s.hostCount, 1), minConns)
}

// full reports whether a server has no room for another request.
func (s *State) full(sv *server) bool {
	return sv.localInFlight >= s.connLimit(sv.Service) || sv.load() >= sv.Slots+serverQueueLen
}

// load returns the number of requests of all hosts in flight at a server.
func (sv *server) load() int { return sv.localInFlight + sv.peerInFlight }

// score estimates the time that a request would take at a server, in units of
// a mean request of the service. ok is false if the server has no room.
func (s *State) score(now clock.Time, sv *server) (x float64, ok bool) {
	if s.full(sv) || !s.admits(now, sv, false) {
		return 0, false
	}
	n := sv.load()
	x = max(sv.serviceTimeRatio, 0.1) * sv.slowdownWeight(now)
	if now < sv.warmupUntil && !s.isCold(now, sv) {
		x *= warmupFactor
	}
	if n >= sv.Slots {
		x *= 1 + float64(n+1-sv.Slots)/float64(sv.Slots)
	}
	x += failureCost * sv.failureRate
	if sv.DC != s.dc {
		x += remoteCost
	}
	if s.idleConns(sv.ID) == 0 {
		x += connectCost
	}
	if s.isCold(now, sv) {
		x += coldCost
	}
	return x, true
}

// shouldExplore reports whether this host should send a request to a server of
// its data centre to measure its service time, because no host has sent it one
// since it joined. At low load all requests would otherwise go to the servers
// known to be fast. One host at a time is enough: the others see the request in
// its load report. With shares, the hosts of a share explore its servers.
func (s *State) shouldExplore(now clock.Time, sv *server) bool {
	return !sv.explored && sv.DC == s.dc && now >= sv.warmupUntil && sv.load() == 0 && s.rotation%s.explorers() == 0
}
