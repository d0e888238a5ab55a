package relay

import (
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/laburnummux/laburnummux/internal/caller"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/intent"
	"github.com/laburnummux/laburnummux/internal/place"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// goneRetryDelay is the delay before a request is placed again whose server has left or
// restarted as its admitter says: this host is about to learn of it.
const goneRetryDelay = 20 * time.Millisecond

// Admitter obtains the admission of requests to servers from the servers' admitters.
type Admitter interface {
	// Admit waits until a request may be sent, is refused, or ctx ends.
	Admit(ctx context.Context, a Ask) Admission
}

// Ask is a request that is to be sent to a server.
type Ask struct {
	Server    fleet.Server
	Priority  int
	Objective clock.Time
	Deadline  clock.Time
	RouteMean clock.Span // mean service time of its route
	Cold      clock.Span // how much longer the server is cold; 0: it isn't
	ColdRate  float64    // requests per second that it tolerates while it is cold
	Keyed     bool       // no other server may run it
}

// AdmitVerdict is the decision on an Ask.
type AdmitVerdict int

// Verdicts.
const (
	AdmitEnded   AdmitVerdict = iota // ctx has ended; the request isn't admitted
	AdmitSend                        // the request may be sent
	AdmitRefused                     // it can't be served in time
	AdmitGone                        // the server has left or restarted
)

// Admission is the decision on an Ask.
type Admission struct {
	Verdict    AdmitVerdict
	RetryAfter clock.Span // delay before the caller of a refused request should retry
	// Done ends the admission of a request that was sent, or isn't sent after all. It is
	// nil if there is nothing to end.
	Done func(place.Result)
}

// admissionWait is a request that waits for its admission.
type admissionWait struct {
	server fleet.Incarnation
	cancel context.CancelFunc
}

// admit waits for the admission of the request to a server. final is true if the
// request has ended, with resp; else send says whether it may be sent now or has to be
// placed again.
func (c *call) admit(ctx context.Context, sv fleet.Server) (resp caller.Response, send, final bool) {
	r := c.relay
	waitCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	r.mu.Lock()
	began := r.cfg.Clock.Now()
	left, rate := r.coldLeft(sv.ID)
	ask := Ask{Server: sv, Priority: c.route.Priority, Objective: c.started.Add(c.route.Objective), Deadline: c.deadline, RouteMean: r.routeMean(c.route.Name), Cold: left, ColdRate: rate, Keyed: c.keyed()}
	wait := admissionWait{server: sv.Incarnation(), cancel: cancel}
	r.admissionWaits[c] = wait
	if r.moved(c, wait) {
		cancel()
	}
	r.mu.Unlock()
	adm := r.cfg.Admitter.Admit(waitCtx, ask)
	r.mu.Lock()
	delete(r.admissionWaits, c)
	now := r.cfg.Clock.Now()
	sendable := r.placement.Sendable(now, sv.ID, ask.Keyed)
	r.mu.Unlock()
	c.queueTime += now.Sub(began)
	c.admissionDone = adm.Done
	if adm.Verdict == AdmitSend && sendable {
		return resp, true, false
	}
	if adm.Verdict == AdmitRefused && !ask.Keyed {
		r.mu.Lock()
		r.placement.Decline(r.cfg.Clock.Now(), sv.ID, adm.RetryAfter)
		r.mu.Unlock()
	}
	c.reportResult(sv, place.Result{Cancelled: true})
	switch {
	case ctx.Err() != nil:
		return c.expire(ctx), false, true
	case adm.Verdict == AdmitRefused && !ask.Keyed: // another server may run it
	case adm.Verdict == AdmitRefused:
		return c.refuseUnlessRun(reasonNotAdmitted, adm.RetryAfter), false, true
	case adm.Verdict == AdmitGone:
		select {
		case <-ctx.Done():
		case <-time.After(goneRetryDelay):
		}
	}
	return resp, false, false
}

// endAdmission ends the admission of the request, if it has one.
func (c *call) endAdmission(id keys.Server, res place.Result) {
	done := c.admissionDone
	if done == nil {
		return
	}
	c.admissionDone = nil
	// A slowdown that the server reports has passed before the requests that wait now
	// are served, so it doesn't count towards the server's speed.
	c.relay.mu.Lock()
	res.Duration = clock.Span(float64(res.Duration) / c.relay.placement.Slowdown(id, res.Slowdown))
	c.relay.mu.Unlock()
	done(res)
}

// cancelMoved ends the wait for an admission of the requests whose key has another owner
// now, or whose server has left or restarted, so that they are placed again. r.mu is
// held.
func (r *Relay) cancelMoved() {
	for c, w := range r.admissionWaits {
		if r.moved(c, w) {
			w.cancel()
		}
	}
}

// moved reports whether a request that waits for its admission has to be placed again.
// r.mu is held.
func (r *Relay) moved(c *call, w admissionWait) bool {
	if p := r.pools[w.server.ID]; p == nil || p.server.Born != w.server.Born {
		return true
	}
	return c.keyed() && r.placement.Owner(c.service, c.meta.Key) != w.server.ID
}

// keyed reports whether only the owner of its key may run the request.
func (c *call) keyed() bool {
	svc, _ := c.cfg.Service(c.service)
	return svc.Keyed && c.meta.HasKey
}

// coldLeft returns how much longer a server is cold, and how many requests per second it
// tolerates until then, or 0 if it isn't cold or tolerates any number. r.mu is held.
func (r *Relay) coldLeft(id keys.Server) (left clock.Span, rate float64) {
	c, p := r.activeConfig.Load(), r.pools[id]
	if c == nil || p == nil {
		return 0, 0
	}
	if svc, _ := c.Service(p.server.Service); svc.ColdRate > 0 {
		if left = r.placement.ColdLeft(r.cfg.Clock.Now(), id); left > 0 {
			return left, svc.ColdRate
		}
	}
	return 0, 0
}

// ColdRate returns how many requests per second a server tolerates while it is cold, or 0
// if the server is unknown or tolerates any number.
func (r *Relay) ColdRate(id keys.Server) float64 {
	c := r.activeConfig.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[id]
	if c == nil || p == nil {
		return 0
	}
	svc, _ := c.Service(p.server.Service)
	return svc.ColdRate
}

// ColdLimit returns how much longer a server is cold, and how many requests per second
// it tolerates until then, or 0 if it isn't cold or tolerates any number.
func (r *Relay) ColdLimit(id keys.Server) (left clock.Span, rate float64) {
	c := r.activeConfig.Load()
	if c == nil || !slices.ContainsFunc(c.Document().Services, func(s intent.Service) bool { return s.ColdRate > 0 }) {
		return 0, 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.coldLeft(id)
}

// needsAdmission reports whether a request that placement has started has to be admitted
// first.
func (c *call) needsAdmission(st place.Start) bool {
	svc, _ := c.cfg.Service(c.service)
	if st.Admit || c.relay.cfg.Admitter == nil || svc.ColdRate <= 0 {
		return st.Admit
	}
	_, rate := c.relay.ColdLimit(st.Server.ID)
	return rate > 0
}

// refuseUnlessRun responds that the request has not run, or with 502 if an earlier
// server may have run it.
func (c *call) refuseUnlessRun(why string, retryAfter clock.Span) caller.Response {
	if c.mayHaveRun {
		return c.finish(caller.Response{Status: http.StatusBadGateway}, why)
	}
	return c.refuse(why, retryAfter)
}
