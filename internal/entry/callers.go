package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/gorilla/mux"
	"github.com/laburnummux/laburnummux/internal/caller"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/internal/dedup"
	"github.com/laburnummux/laburnummux/internal/proxy"
	"github.com/laburnummux/laburnummux/internal/retry"
	"github.com/laburnummux/laburnummux/internal/route"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// ownerPollInterval is the interval at which a request whose key has no owner
// looks up the routing again, if no new routing table wakes it earlier.
const ownerPollInterval = 20 * time.Millisecond

const (
	// crashDetectionDelay is the minimum delay before a retry after a lost
	// connection. By then the next probe has shown whether the server crashed,
	// so that a request that crashes servers is recorded as a suspect before it
	// runs again.
	crashDetectionDelay = 2 * probeInterval
	// deadlineGrace is how much later the deadline of the caller's connection is
	// than that of the request, so that the request's deadline applies first.
	deadlineGrace = 250 * time.Millisecond
)

// callerRoutes builds the callers' handler from the configuration. The whole
// handler is replaced when the configuration changes.
func (h *Host) callerRoutes(cfg config.Config) http.Handler {
	// By default the router redirects a path that isn't in its cleaned form,
	// and clients follow the redirect of a POST with a GET.
	m := mux.NewRouter().SkipClean(true)
	for _, svc := range cfg.Services() {
		for _, op := range svc.Operations() {
			m.Methods(op.Method()).Path(op.Template()).Handler(&callerHandler{h, svc, op})
		}
	}
	m.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rejectBody(w, r)
		writeOutcome(w, http.StatusNotFound, notRun(answer.NoRoute))
	})
	m.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rejectBody(w, r)
		writeOutcome(w, http.StatusMethodNotAllowed, notRun(answer.NoRoute))
	})
	return m
}

type callerHandler struct {
	host      *Host
	svc       config.Service
	operation config.Operation
}

// ServeHTTP implements http.Handler.
func (c *callerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.host.inFlight.Add(1)
	defer c.host.inFlight.Add(-1)
	if c.host.leaving.Load() {
		// Closes open connections, so that the client's next request goes to
		// another host.
		w.Header().Set("Connection", "close")
	}
	start := time.Now()
	res := c.serve(w, r)
	c.host.metrics.Request(c.svc.Name(), res.outcome, res.reason, time.Since(start))
	if res.deliverErr != nil {
		// Only part of the response was sent; aborting the connection keeps the
		// caller from taking it for complete.
		panic(http.ErrAbortHandler)
	}
	if res.outcome != answer.Answered {
		writeOutcome(w, httpStatus(res), res)
	}
}

func (c *callerHandler) serve(w http.ResponseWriter, r *http.Request) result {
	bodyRead := false
	defer func() {
		if !bodyRead {
			rejectBody(w, r)
		}
	}()
	id := r.Header.Get(answer.HeaderRequestID)
	idFromCaller := id != ""
	if !idFromCaller {
		newID, err := dedup.NewID()
		if err != nil {
			return notRun(answer.BadRequestID)
		}
		id = newID.String()
	} else if _, err := dedup.ParseID(id); err != nil && !c.operation.Idempotent() {
		return notRun(answer.BadRequestID)
	}
	w.Header().Set(answer.HeaderRequestID, id)
	timeout, ok := c.timeout(r)
	if !ok {
		return notRun(answer.BadRequest)
	}
	maxBody := int64(min(c.svc.MaxBodyBytes(), c.host.settings.Callers().MaxBodyBytes()))
	if r.ContentLength > maxBody {
		c.host.intake.metrics.CountGivenUp(caller.ReasonTooLong)
		return notRun(answer.TooLarge)
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	// A slow caller, in sending the body or in reading the response, must not
	// occupy a slot of a server beyond the request's deadline.
	conn := http.NewResponseController(w)
	conn.SetReadDeadline(time.Now().Add(timeout + deadlineGrace))
	conn.SetWriteDeadline(time.Now().Add(timeout + deadlineGrace))
	defer conn.SetWriteDeadline(time.Time{})
	bodyRead = true
	cc := callerConnOf(r)
	cl := call{
		svc: c.svc, operation: c.operation, id: id, idFromCaller: idFromCaller, caller: cc.tracked.Address(),
		request: proxy.Request{Method: r.Method, URL: r.URL, Header: proxy.ForwardedHeader(r.Header), Abandoned: abandoned(r)},
	}
	body, err := proxy.NewCountedBody(streamedBody{http.MaxBytesReader(w, r.Body, maxBody), cc}, r.ContentLength, cc.count)
	if err != nil {
		w.Header().Set("Connection", "close")
		return c.bodyRefusal(&cl, cc, err)
	}
	cl.transfers = newTransfers(w, cc.endRead)
	body.Watch(cl.transfers.upload)
	cl.request.Body = body
	if body.Buffered() && !cc.keepBody() || !body.Buffered() && !cc.streamBody(cancel) {
		w.Header().Set("Connection", "close")
		return cl.withoutDispatcher(cc.refuse())
	}
	if body.Buffered() {
		// An expired read deadline would be taken for a disconnect of the caller.
		conn.SetReadDeadline(time.Time{})
	}
	// A retry with the same id must reach the dispatcher that has the record of
	// the first request.
	switch key := mux.Vars(r)["key"]; {
	case c.svc.Keyed():
		cl.hash = keys.HashOf(c.svc.Name(), key)
	case !c.operation.Idempotent():
		cl.hash = keys.HashOf(c.svc.Name(), id)
	}
	return c.host.execute(ctx, cl, func(res *proxy.Result) error {
		owner := res.Header().Get(answer.HeaderOwner)
		proxy.DropOwnHeaders(res.Header())
		w.Header().Set(answer.HeaderOwner, owner)
		w.Header().Set(answer.HeaderOutcome, answer.Answered.String())
		if _, complete := res.CompleteBody(); !cc.beginResponse(!complete, cancel) {
			res.Close()
			return errGivenUp
		}
		return res.WriteWatched(w, cl.transfers.download)
	})
}

// bodyRefusal returns the result of a request whose body could not be read. The request
// wasn't sent to a server.
func (c *callerHandler) bodyRefusal(cl *call, cc *callerConn, err error) result {
	m := c.host.intake.metrics
	var large *http.MaxBytesError
	var ne net.Error
	switch {
	case errors.As(err, &large):
		m.CountGivenUp(caller.ReasonTooLong)
		return notRun(answer.TooLarge)
	case cc.givenUp():
		return cl.withoutDispatcher(cc.refuse())
	case errors.As(err, &ne) && ne.Timeout():
		m.CountGivenUp(caller.ReasonTimeout)
	}
	return notRun(answer.BadRequest)
}

// rejectBody makes net/http send the response without reading the request's
// body. Otherwise net/http waits for the body without a time limit.
func rejectBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
		http.NewResponseController(w).SetReadDeadline(time.Now())
	}
}

// timeout returns the timeout of the request: that of the operation, or a
// shorter one from the request's header. It reports false if the header is
// invalid.
func (c *callerHandler) timeout(r *http.Request) (time.Duration, bool) {
	limit := c.operation.Timeout()
	s := r.Header.Get(answer.HeaderTimeout)
	if s == "" {
		return limit.Std(), true
	}
	n, err := strconv.ParseInt(s, 10, 64)
	if err != nil || n <= 0 {
		return 0, false
	}
	return min(limit, clock.Span(n)).Std(), true
}

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

// httpStatus returns the HTTP status for a request without a response from a
// backend server.
func httpStatus(res result) int {
	if res.outcome == answer.NotRun {
		switch res.reason {
		case answer.BadRequest, answer.BadRequestID:
			return http.StatusBadRequest
		case answer.TooLarge:
			return http.StatusRequestEntityTooLarge
		case answer.TooSlow:
			return http.StatusRequestTimeout
		case answer.QueueFull:
			return http.StatusTooManyRequests
		}
		return http.StatusServiceUnavailable
	}
	switch res.reason {
	case answer.EarlierAttempt, answer.StillRunning:
		return http.StatusConflict
	case answer.DeadlinePassed, answer.NoOwner, answer.NotDispatcher, answer.Unreachable, answer.Draining:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

func writeOutcome(w http.ResponseWriter, status int, res result) {
	h := w.Header()
	h.Set(answer.HeaderOutcome, res.outcome.String())
	h.Set(answer.HeaderReason, res.reason.String())
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if res.reason == answer.Overloaded {
		h.Set("Retry-After", caller.RetryAfter())
	}
	w.WriteHeader(status)
	if res.outcome == answer.NotRun {
		fmt.Fprintf(w, "The request was not run: %s.\n", res.reason)
		return
	}
	fmt.Fprintf(w, "It is not known whether the request ran: %s.\n", res.reason)
}
