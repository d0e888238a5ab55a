package place

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// minSlowdown and maxSlowdown bound the slowdown that a server reports.
	minSlowdown, maxSlowdown = 0.5, 5.0
	// slowdownAge is how long a reported slowdown counts in the choice among servers.
	slowdownAge = 200 * clock.Millisecond
	// meanSlowdownWeight is the weight of the latest report in the moving average of a
	// server's reports. What a server reports all the time is its usual speed, also if
	// that isn't true: its response times then count as they are.
	meanSlowdownWeight = 0.02
	// maxSlowdownGain bounds by which factor reports change the measured service time
	// of a server, so that a server that always reports to be slow gains little.
	maxSlowdownGain = 1.5
	// minSlowdownWeight bounds how much a server is preferred because it reports to be
	// faster than usual.
	minSlowdownWeight = 0.6
)

// slowdown is what a server reports about how long its work takes at the moment.
type slowdown struct {
	last     float64 // within the bounds; 0: none
	lastAt   clock.Time
	mean     float64 // moving average; 0: none yet
	rawRatio float64 // as serviceTimeRatio, without regard to the reports
}

// SetSlowdown sets whether the slowdown that servers report counts. It does if
// SetSlowdown isn't called.
func (s *State) SetSlowdown(on bool) { s.ignoreSlowdown = !on }

// recordSlowdown records the slowdown in a response.
func (sv *server) recordSlowdown(now clock.Time, x float64) {
	if !(x > 0) {
		return
	}
	d := &sv.slowdown
	d.last, d.lastAt = min(max(x, minSlowdown), maxSlowdown), now
	if d.mean == 0 {
		d.mean = 1
	}
	d.mean += meanSlowdownWeight * (d.last - d.mean)
}

// relative returns a reported slowdown relative to what the server usually reports.
func (d *slowdown) relative(x float64) float64 {
	if !(x > 0) || d.mean == 0 {
		return 1
	}
	return min(max(min(max(x, minSlowdown), maxSlowdown)/d.mean, minSlowdown), maxSlowdown)
}

// Slowdown returns by what a response time of a server is divided that reports a
// slowdown with it, before it counts towards the server's speed.
func (s *State) Slowdown(id keys.Server, reported float64) float64 {
	if sv := s.servers[id]; sv != nil {
		return sv.slowdown.relative(reported)
	}
	return 1
}

// recordSpeed adds a response time, relative to the mean of its route, to the measured
// speed of a server.
func (sv *server) recordSpeed(res Result) {
	raw := float64(res.Duration) / float64(res.RouteMean)
	d := &sv.slowdown
	if d.rawRatio == 0 {
		d.rawRatio = sv.serviceTimeRatio
	}
	d.rawRatio += serviceTimeWeight * (raw - d.rawRatio)
	sv.serviceTimeRatio += serviceTimeWeight * (raw/sv.slowdown.relative(res.Slowdown) - sv.serviceTimeRatio)
	if d.mean != 0 {
		sv.serviceTimeRatio = min(max(sv.serviceTimeRatio, d.rawRatio/maxSlowdownGain), d.rawRatio*maxSlowdownGain)
	}
}

// slowdownWeight returns by what the expected time at a server is multiplied: its latest
// report, while that is fresh.
func (sv *server) slowdownWeight(now clock.Time) float64 {
	if sv.slowdown.last == 0 || now.Sub(sv.slowdown.lastAt) > slowdownAge {
		return 1
	}
	return max(sv.slowdown.relative(sv.slowdown.last), minSlowdownWeight)
}
