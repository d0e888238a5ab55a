package front

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
)

const (
	// outageWindow is how long after a failed call to the store a removed
	// registration counts as expired because of an outage. Servers are registered
	// again within about 2 s of the end of an outage.
	outageWindow = 2500 * clock.Millisecond
	// shortestOutageIntervals is how many registration intervals an outage lasts at
	// least if a registration expires in it. The store removes it after three.
	shortestOutageIntervals = 2
	// If at least massExpiryMinServers registrations, and at least a share of
	// massExpiryMinShare of all, are removed at once, it may be an outage though no
	// call has failed: the store was unavailable during the wait of a watch call.
	massExpiryMinServers = 3
	massExpiryMinShare   = 0.2
	// maxRegistrationGrace is how long a server is kept after its registration has
	// disappeared in an outage of the store. Most servers register again with their
	// next heartbeat to the store.
	maxRegistrationGrace = 1600 * clock.Millisecond
	// drainMargin is the part of the bound for leaving servers that isn't used for
	// this grace: servers that leave together can look like an outage. It allows for
	// the delay of the store's response, and for requests that are being sent.
	drainMargin = 400 * clock.Millisecond
	// watchLatency is the longest time from a change until a waiting watch responds.
	watchLatency = 100 * clock.Millisecond
)

// registrationGrace returns how long a server may be kept after its registration
// was removed.
func (s Settings) registrationGrace() clock.Span {
	return max(min(maxRegistrationGrace, s.DrainTimeout-drainMargin), 0)
}

// graceFunc returns until when servers are kept whose registrations are gone. lost is
// the number of those that weren't draining. Host.mu is held.
type graceFunc func(now clock.Time, lost int) fleet.Grace

// graceSince returns the grace of registrations that the store has removed after a
// time; 0 means that the time isn't known.
func (h *Host) graceSince(since clock.Time) graceFunc {
	return func(now clock.Time, lost int) fleet.Grace {
		failed := h.storeFailed(now)
		switch {
		case failed && (since == 0 || now.Sub(since) >= shortestOutageIntervals*h.cfg.Settings.RegistrationInterval):
			since = now // in the outage, or just after it
		case !failed && (since == 0 || !h.isMassExpiry(lost)):
			return fleet.Grace{}
		}
		return fleet.Grace{Until: since.Add(h.cfg.Settings.registrationGrace())}
	}
}

// storeFailed reports whether registrations that are removed now may have expired
// because the store was unavailable to this host. h.mu is held.
func (h *Host) storeFailed(now clock.Time) bool {
	return h.storeFailedAt != 0 && now.Sub(h.storeFailedAt) < outageWindow
}

// isMassExpiry reports whether so many registrations were removed at once that
// they may have expired in an outage. h.mu is held.
func (h *Host) isMassExpiry(lost int) bool {
	return lost >= massExpiryMinServers && float64(lost) >= massExpiryMinShare*float64(h.fleet.Len())
}

// watchResult is a response of a watch call.
type watchResult struct {
	began, ended clock.Time // of the call
	// sentAfter is the earliest time at which the store can have sent the response.
	// It is long before ended if this process was stopped meanwhile.
	sentAfter clock.Time
}

// newWatchResult returns the result of a call that has just ended.
func (h *Host) newWatchResult(began, ended clock.Time) watchResult {
	h.mu.Lock()
	defer h.mu.Unlock()
	return watchResult{began: began, ended: ended, sentAfter: max(began, min(ended.Add(-watchLatency), h.roundsAt[0]))}
}

// removedSince returns the earliest time at which the store can have removed the
// registrations that a result reports, or 0 if that isn't known. The store responds
// to a waiting call at once, so only a change from before the call is older than the
// response.
func (s syncState) removedSince(res watchResult) clock.Time {
	if s.serversAsOf == 0 || res.ended.Sub(res.began) <= watchLatency {
		return s.serversAsOf
	}
	return max(s.serversAsOf, res.sentAfter)
}
