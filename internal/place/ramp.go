package place

import (
	"math"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/ramp"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// coldCost is added to the score of a cold server, so that it gets requests without
	// a key only while no warm one has room.
	coldCost = 100.0
	// allowanceAge is how long a host may use its allowance of a cold server. Where the
	// hosts are more than the bound allows requests at once, unused allowances would add
	// up to that many.
	allowanceAge = 250 * clock.Millisecond
	// hostsRetention is how long the number of hosts counts after it fell: hosts that
	// can't reach each other still send to the same servers.
	hostsRetention = 10 * clock.Minute
	// hostsSettle is how long a host sends nothing to cold servers after it learned of
	// many more hosts than before. After their start all take themselves for the only one.
	hostsSettle = clock.Second
	// hostsGrowth is the ratio from which the number of hosts has grown much.
	hostsGrowth = 1.25
	// lateResponse is how many usual service times a request without a response must
	// have taken for that to be the server's fault. Others had little time left.
	lateResponse = 3
)

// Ramp configures slow start and the limit of cold servers of a service.
type Ramp struct {
	Warmup   clock.Span // above 0: servers have a slow-start window
	ColdRate float64    // requests per second to a cold server; 0: no limit
}

// rampState is the slow start of a server, and the allowance while it is cold.
type rampState struct {
	window    *ramp.Window // nil: fully used
	allowance *ramp.Bucket // nil: not cold, or no request since it is
	readyAt   clock.Time   // since when there is an allowance; 0: there is none
	until     clock.Time   // end of the warm-up that the allowance is for
}

// rampConfig has the settings of cold servers, and the number of hosts that share the
// limit of each.
type rampConfig struct {
	ramps       map[keys.Service]Ramp
	over, slack float64 // see SetColdBound
	hosts       int     // that send to the same servers, at most in hostsRetention
	hostsAt     clock.Time
	settledAt   clock.Time // end of hostsSettle
	admitted    bool       // see SetColdAdmitted
	listed      bool       // a list of servers is known
	heldByCold  uint64
}

// SetRamps sets the slow start and the limits of cold servers of the services.
func (s *State) SetRamps(ramps map[keys.Service]Ramp) { s.ramp.ramps = ramps }

// SetColdBound sets the bound on the requests of all hosts to a cold server: in no second
// more than its rate times over, plus slack.
func (s *State) SetColdBound(over, slack float64) { s.ramp.over, s.ramp.slack = over, slack }

// SetColdAdmitted sets whether each request to a cold server is admitted by a host that
// knows of those of all hosts. Without that, each host has a share of the limit.
func (s *State) SetColdAdmitted(on bool) { s.ramp.admitted = on }

// ColdCounts returns the number of cold servers, of those in slow start, and of the
// requests so far that had to wait because of the limit of a cold server, or were refused.
func (s *State) ColdCounts(now clock.Time) (cold, ramping int, held uint64) {
	for _, sv := range s.servers {
		if now < sv.warmupUntil {
			cold++
		}
		if sv.ramp.window != nil {
			ramping++
		}
	}
	return cold, ramping, s.ramp.heldByCold
}

// startRamp starts the slow start of a server that wasn't in the last list. Those of the
// first list are only new to this host. A cold one starts slowly anyway, see ramps.
func (s *State) startRamp(now clock.Time, sv *server, reg fleet.Server) {
	if s.ramp.ramps[reg.Service].Warmup <= 0 || !s.ramp.listed {
		return
	}
	sv.ramp.window = ramp.NewWindow(now, 0.5, windowLimit(reg))
}

// windowLimit returns the size at which the window of a server no longer matters.
func windowLimit(sv fleet.Server) float64 { return float64(sv.Slots + serverQueueLen) }

// isCold reports whether a server is cold and of a service for which that matters.
func (s *State) isCold(now clock.Time, sv *server) bool {
	if now >= sv.warmupUntil {
		return false
	}
	r := s.ramp.ramps[sv.Service]
	return r.Warmup > 0 || r.ColdRate > 0
}

// coldLimit returns the rate of requests of all hosts to a server, if it is limited
// because the server is cold.
func (s *State) coldLimit(now clock.Time, sv *server) (perSecond float64, limited bool) {
	if now >= sv.warmupUntil {
		return 0, false
	}
	rate := s.ramp.ramps[sv.Service].ColdRate
	return rate * min(max(s.ramp.over, 0), 1), rate > 0
}

// ramps reports whether a server is in slow start, after it ended it if it is over:
// when the window is open, and at the latest a warm-up time after the last failure. Where
// many hosts use a server, each gets few responses to judge it by.
func (s *State) ramps(now clock.Time, sv *server) bool {
	w := sv.ramp.window
	if w == nil && now < sv.warmupUntil && s.ramp.ramps[sv.Service].Warmup > 0 {
		w = ramp.NewWindow(now, 1, windowLimit(sv.Server))
		sv.ramp.window = w
	}
	if w == nil {
		return false
	}
	open := w.Advance(now, sv.peerInFlight, s.usualTime(sv)) || now.Sub(w.RestartedAt()) >= s.ramp.ramps[sv.Service].Warmup
	if open && now >= sv.warmupUntil {
		sv.ramp.window = nil
		return false
	}
	return true
}

// admits reports whether a server may get another request as far as slow start and the
// limit of cold servers are concerned. Nobody else can run a request for one of its keys,
// so such a request may always be the only one in flight.
func (s *State) admits(now clock.Time, sv *server, keyed bool) bool {
	if _, limited := s.coldLimit(now, sv); limited && !s.ramp.admitted && !s.allowed(now, sv) {
		return false
	}
	if !s.ramps(now, sv) || keyed && sv.load() == 0 {
		return true
	}
	return sv.ramp.window.Allows(now, sv.load(), s.usualTime(sv), s.explorers())
}

// usualTime returns the mean service time of a server.
func (s *State) usualTime(sv *server) clock.Span {
	return clock.Span(s.service(sv.Service).meanMs * max(sv.serviceTimeRatio, 0.1))
}

// sent records that a request is sent to a server.
func (s *State) sent(now clock.Time, sv *server) {
	if sv.ramp.window != nil {
		sv.ramp.window.Start(now)
	}
	if b := sv.ramp.allowance; b != nil && now < sv.warmupUntil && !s.ramp.admitted {
		b.Take(now)
		sv.ramp.readyAt = 0
	}
}

// observeRamp applies a result to the slow start of a server. A server whose connections
// failed is started anew when it is used again.
func (s *State) observeRamp(now clock.Time, sv *server, res Result) {
	if s.ramp.ramps[sv.Service].Warmup <= 0 {
		return
	}
	w := sv.ramp.window
	switch {
	case res.ConnFailed && w == nil && sv.connFailures > 0:
		sv.ramp.window = ramp.NewWindow(now, windowLimit(sv.Server), windowLimit(sv.Server))
		sv.ramp.window.Halve(now)
	case w == nil:
	case res.ConnFailed, res.Shed, res.TimedOut && res.Duration > lateResponse*s.usualTime(sv):
		w.Halve(now)
	case res.Cancelled, res.Failed, res.RouteMean <= 0:
	default:
		w.Respond(now, float64(res.Duration)/float64(res.RouteMean)/sv.slowdown.relative(res.Slowdown)/max(sv.serviceTimeRatio, 0.1))
	}
}

// coldHosts returns how many hosts share the limit of a cold server.
func (s *State) coldHosts(now clock.Time) int {
	if float64(s.hostCount) > hostsGrowth*float64(s.ramp.hosts) {
		s.ramp.settledAt = now.Add(hostsSettle)
	}
	if s.hostCount >= s.ramp.hosts || now.Sub(s.ramp.hostsAt) > hostsRetention {
		s.ramp.hosts, s.ramp.hostsAt = s.hostCount, now
	}
	return max(s.ramp.hosts, 1)
}

// allowed reports whether this host has an allowance for a request to a cold server.
func (s *State) allowed(now clock.Time, sv *server) bool {
	limit, _ := s.coldLimit(now, sv)
	hosts := s.coldHosts(now)
	rate := limit / float64(hosts)
	st := &sv.ramp
	if now < s.ramp.settledAt {
		st.allowance = nil
		return false
	}
	if st.allowance == nil || st.until < now {
		// The hosts learn at the same time that a server is cold. Their first allowances
		// are spread over the time between two.
		phase := clock.Span(min(s.rng.Float64()/max(rate, 1e-9), float64(clock.Minute)) * float64(clock.Second))
		st.allowance, st.readyAt = ramp.NewBucket(now.Add(-phase), rate, 1, false), 0
	}
	st.until = max(st.until, sv.warmupUntil)
	st.allowance.SetRate(now, rate, 1)
	if !st.allowance.Ready(now) {
		return false
	}
	if st.readyAt == 0 {
		st.readyAt = now
	}
	// With few hosts all allowances together stay within the bound.
	if float64(hosts) <= max((s.ramp.over-1)*limit+s.ramp.slack, 1) || now.Sub(st.readyAt) <= allowanceAge {
		return true
	}
	st.allowance.Take(now)
	st.readyAt = 0
	return false
}

// allowanceWait returns how long a request for a key of a server waits for an allowance,
// after others that wait for one too.
func (s *State) allowanceWait(now clock.Time, sv *server, ahead int) clock.Span {
	if _, limited := s.coldLimit(now, sv); !limited || s.ramp.admitted || s.allowed(now, sv) && ahead == 0 {
		return 0
	}
	if sv.ramp.allowance == nil {
		return s.ramp.settledAt.Sub(now)
	}
	return sv.ramp.allowance.WaitFor(now, ahead+1)
}

// groupWait returns how long a request waits for an allowance, if all servers that may
// run it are cold and limited.
func (s *State) groupWait(now clock.Time, group []*server, ahead int) (wait clock.Span) {
	if len(group) == 0 || s.ramp.admitted {
		return 0
	}
	wait = math.MaxInt64
	for _, sv := range group {
		if _, limited := s.coldLimit(now, sv); !limited {
			return 0
		}
		wait = min(wait, s.allowanceWait(now, sv, ahead/len(group)))
	}
	return wait
}

// slotsOf returns how many requests of usual service time a server runs at a time. A
// limited cold server has no more than its rate keeps busy.
func (s *State) slotsOf(now clock.Time, sv *server) float64 {
	if limit, limited := s.coldLimit(now, sv); limited {
		return min(float64(sv.Slots), limit*s.service(sv.Service).meanMs/float64(clock.Second))
	}
	return float64(sv.Slots)
}

// countHeld counts a request that the limit of cold servers has wait, or refuses.
func (s *State) countHeld(now clock.Time, r *Request) {
	group := s.candidates(now, r.Service)
	if r.Keyed {
		sv := s.ownerOf(r)
		if sv == nil {
			return
		}
		group = []*server{sv}
	}
	if len(group) > 0 && s.groupWait(now, group, 0) > 0 {
		s.ramp.heldByCold++
	}
}
