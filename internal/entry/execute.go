package entry

import (
	"context"
	"time"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/retry"
	"github.com/laburnummux/laburnummux/internal/route"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// ownerPollInterval is the interval at which a request whose key has no owner
	// looks up the routing again, if no new routing table wakes it earlier.
	ownerPollInterval = 20 * time.Millisecond
	// crashDetectionDelay is the minimum delay before a retry after a lost
	// connection. By then the next probe has shown whether the server crashed,
	// so that a request that crashes servers is recorded as a suspect before it
	// runs again.
	crashDetectionDelay = 2 * probeInterval
)

// execute makes attempts until the result of the request is final.
func (h *Host) execute(ctx context.Context, cl call, deliver deliverFunc) result {
	svc := h.service(cl.svc.Name())
	if svc == nil {
		return notRun(answer.NoRoute)
	}
	deadline, _ := ctx.Deadline()
	svc.mu.Lock()
	now := h.clk.Now()
	rc := svc.retry.Call(now, retry.Op{Idempotent: cl.operation.Idempotent()}, now.Add(clock.FromStd(time.Until(deadline))))
	svc.mu.Unlock()
	var avoid []keys.Server
	// indeterminate is the first result after which the request may have run.
	// After it, a refusal of a later attempt doesn't mean "not run".
	var indeterminate *result
	finalResult := func(res result) result {
		switch {
		case res.outcome == answer.NotRun && indeterminate != nil:
			return *indeterminate
		case res.reason == answer.Overloaded: // by a dispatcher that hasn't looked for a record
			return cl.withoutDispatcher(res)
		}
		return res
	}
	for {
		t, changed, res := h.waitTarget(ctx, cl, avoid)
		if res.outcome != answer.Unknown {
			return finalResult(cl.withoutDispatcher(res))
		}
		cl.cell, cl.server, cl.hash = t.Cell, t.Server, t.Hash
		var end retry.Result
		if cl.hedgeable() {
			res, end = h.hedgedAttempt(ctx, svc, &rc, t, cl, deliver)
		} else {
			res, end = h.timedAttempt(ctx, t, cl, deliver)
		}
		if res.outcome == answer.Answered {
			return res
		}
		if res.redirect {
			// No server has received the request. It waits for the next owner
			// and uses no retry.
			h.requestTable(t.Cell, t.Term, t.Version)
			if h.waitRoutingChange(ctx, changed) && cl.request.Body.Replayable() {
				continue
			}
			return finalResult(cl.withoutDispatcher(notRun(res.reason)))
		}
		if res.outcome == answer.Unknown && indeterminate == nil {
			indeterminate = &res
		}
		if !cl.svc.Keyed() && cl.operation.Idempotent() {
			avoid = append(avoid, t.Server)
		}
		if gone := cl.request.Abandoned; gone != nil && gone() {
			return finalResult(res) // a retry would use the budget in vain
		}
		svc.mu.Lock()
		d := svc.retry.Decide(h.clk.Now(), &rc, end)
		svc.mu.Unlock()
		if !d.Retry || !cl.request.Body.Replayable() || res.final(cl.svc.Keyed()) {
			return finalResult(res)
		}
		after := d.Delay.Std()
		if res.reason == answer.ServerLost {
			after = max(after, crashDetectionDelay)
		}
		select {
		case <-ctx.Done():
			return finalResult(res)
		case <-time.After(after):
		}
	}
}

// withoutDispatcher returns the outcome of a request that reached no dispatcher.
// Only the dispatcher has a record of whether an id has run. A refusal of a
// non-idempotent request with an id from the caller, which may be a retry,
// therefore becomes "unknown": a caller that retries a booking while its key has
// no owner must not get "not run" if the first attempt ran.
func (cl *call) withoutDispatcher(res result) result {
	if res.outcome == answer.NotRun && res.reason != answer.NoRoute && cl.idFromCaller && !cl.operation.Idempotent() {
		return unknown(res.reason)
	}
	return res
}

// final reports whether another attempt would be refused too. For a service
// without keys, a full queue at one server doesn't imply a full queue at others.
func (r result) final(keyed bool) bool {
	switch r.reason {
	case answer.Quarantined, answer.BadRequestID, answer.BadRequest, answer.Cancelled, answer.DeadlinePassed:
		return true
	case answer.QueueFull, answer.DeadlineTooNear, answer.Overloaded:
		return keyed
	}
	return false
}

// waitTarget returns the target of a request, and waits while its key has no
// owner. The result's outcome is Unknown if there is a target. changed is closed
// when routing changes after the choice.
func (h *Host) waitTarget(ctx context.Context, cl call, avoid []keys.Server) (t route.Target, changed chan struct{}, res result) {
	for {
		var miss route.Miss
		h.mu.Lock()
		changed = h.routingChanged
		if cl.svc.Keyed() || !cl.operation.Idempotent() {
			t, miss = h.router.Lookup(cl.svc.Name(), cl.hash)
		} else {
			var ok bool
			if t, ok = h.router.Pick(h.clk.Now(), cl.svc.Name(), h.settings.DataCentre(), avoid...); !ok {
				miss = route.NoOwner
			}
		}
		h.mu.Unlock()
		switch miss {
		case route.Hit:
			return t, changed, result{}
		case route.NoService:
			return t, changed, notRun(answer.NoRoute)
		}
		if t.Cell.Service != "" {
			h.requestTable(t.Cell, t.Term, t.Version)
		} else {
			h.requestTables(cl.svc.Name())
		}
		if !h.waitRoutingChange(ctx, changed) {
			return t, changed, notRun(answer.NoOwner)
		}
	}
}

// waitRoutingChange waits for a change of routing, at most ownerPollInterval. It
// reports whether the request still has time left.
func (h *Host) waitRoutingChange(ctx context.Context, changed chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-time.After(ownerPollInterval):
	}
	return ctx.Err() == nil
}

// timedAttempt makes an attempt and records its duration for the choice of later
// targets.
func (h *Host) timedAttempt(ctx context.Context, t route.Target, cl call, deliver deliverFunc) (result, retry.Result) {
	h.recordStart(t.Server)
	start := h.clk.Now()
	res, end := h.attempt(ctx, t, cl, deliver)
	elapsed := h.clk.Now().Sub(start)
	h.recordEnd(t.Server, elapsed, res.outcome == answer.Answered)
	if res.outcome == answer.Answered {
		end = retry.Complete{Duration: elapsed}
	}
	return res, end
}

// attempt sends the call to the dispatcher of its server.
func (h *Host) attempt(ctx context.Context, t route.Target, cl call, deliver deliverFunc) (result, retry.Result) {
	if t.Dispatcher == h.self {
		res := h.dispatch(ctx, cl, deliver)
		return res, dispatchRetryResult(res)
	}
	return h.relayTo(ctx, t, cl, deliver)
}

// dispatchRetryResult converts the result of a dispatch for package retry.
func dispatchRetryResult(res result) retry.Result {
	switch {
	case res.outcome == answer.Answered:
		return retry.Complete{}
	case res.outcome == answer.NotRun && res.reason == answer.Shed:
		return retry.ServerRefused{Reason: retry.Shed}
	case res.outcome == answer.NotRun:
		return retry.DialFailed{}
	case res.reason == answer.Truncated:
		return retry.Truncated{}
	case res.reason == answer.Mismatched:
		return retry.Mismatched{}
	}
	return retry.Lost{Sent: true}
}

func (h *Host) recordStart(s keys.Server) {
	h.mu.Lock()
	h.router.RequestStarted(s)
	h.mu.Unlock()
}

func (h *Host) recordEnd(s keys.Server, elapsed clock.Span, ok bool) {
	h.mu.Lock()
	h.router.RequestEnded(h.clk.Now(), s, elapsed, ok)
	h.mu.Unlock()
}

func (h *Host) service(name keys.Service) *service {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.services[name]
}
