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
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/internal/dedup"
	"github.com/laburnummux/laburnummux/internal/proxy"
	"github.com/laburnummux/laburnummux/internal/retry"
	"github.com/laburnummux/laburnummux/internal/route"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// gapPoll is how often a request whose key has no owner looks again, if no new
// routing table wakes it earlier.
const gapPoll = 20 * time.Millisecond

const (
	// crashNotice is the least delay before a retry after a lost connection:
	// by then the next probe has told whether the server crashed, so that a
	// request that crashes its servers is known to before it runs again.
	crashNotice = 2 * probePeriod
	// deadlineGrace lets a request's own deadline end it before that of its
	// connection does.
	deadlineGrace = 250 * time.Millisecond
)

// callerRoutes builds the handler for callers from the configuration. It is
// replaced as a whole when the configuration changes.
func (h *Host) callerRoutes(cfg config.Config) http.Handler {
	// By default the router redirects a path that isn't in its cleaned form,
	// and clients repeat a redirected POST as a GET.
	m := mux.NewRouter().SkipClean(true)
	for _, svc := range cfg.Services() {
		for _, op := range svc.Operations() {
			m.Methods(op.Method()).Path(op.Template()).Handler(&callerHandler{h, svc, op})
		}
	}
	m.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		skipBody(w, r)
		writeOutcome(w, http.StatusNotFound, notRun(answer.NoRoute))
	})
	m.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		skipBody(w, r)
		writeOutcome(w, http.StatusMethodNotAllowed, notRun(answer.NoRoute))
	})
	return m
}

type callerHandler struct {
	h   *Host
	svc config.Service
	op  config.Operation
}

// ServeHTTP implements http.Handler.
func (c *callerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.h.callers.Add(1)
	defer c.h.callers.Add(-1)
	if c.h.leaving.Load() {
		// Clients with open connections must reach another host next time.
		w.Header().Set("Connection", "close")
	}
	start := time.Now()
	res := c.serve(w, r)
	c.h.metrics.Request(c.svc.Name(), res.outcome, res.reason, time.Since(start))
	if res.delivered != nil {
		// Part of the answer was sent; the caller must not take it for the
		// whole.
		panic(http.ErrAbortHandler)
	}
	if res.outcome != answer.Answered {
		writeOutcome(w, statusOf(res), res)
	}
}

func (c *callerHandler) serve(w http.ResponseWriter, r *http.Request) result {
	read := false
	defer func() {
		if !read {
			skipBody(w, r)
		}
	}()
	id := r.Header.Get(answer.HeaderRequestID)
	named := id != ""
	if !named {
		fresh, err := dedup.NewID()
		if err != nil {
			return notRun(answer.BadID)
		}
		id = fresh.String()
	} else if _, err := dedup.ParseID(id); err != nil && !c.op.Idempotent() {
		return notRun(answer.BadID)
	}
	w.Header().Set(answer.HeaderRequestID, id)
	timeout, ok := c.timeout(r)
	if !ok {
		return notRun(answer.BadRequest)
	}
	maxBody := int64(min(c.svc.MaxBodyBytes(), c.h.cfg.Callers().MaxBodyBytes()))
	if r.ContentLength > maxBody {
		return notRun(answer.TooLarge)
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	defer cancel()
	// Neither a body that arrives slowly nor an answer that is read slowly may
	// hold a server's slot beyond the request's deadline.
	conn := http.NewResponseController(w)
	conn.SetReadDeadline(time.Now().Add(timeout + deadlineGrace))
	conn.SetWriteDeadline(time.Now().Add(timeout + deadlineGrace))
	defer conn.SetWriteDeadline(time.Time{})
	read = true
	body, err := proxy.NewBody(http.MaxBytesReader(w, r.Body, maxBody), r.ContentLength)
	if err != nil {
		var large *http.MaxBytesError
		if errors.As(err, &large) {
			return notRun(answer.TooLarge)
		}
		return notRun(answer.BadRequest)
	}
	if body.Whole() {
		// The end of the read deadline would look like the caller's hang-up.
		conn.SetReadDeadline(time.Time{})
	}
	caller, _, _ := net.SplitHostPort(r.RemoteAddr)
	j := job{
		svc: c.svc, op: c.op, id: id, named: named, caller: caller,
		send: proxy.Request{Method: r.Method, URL: r.URL, Header: proxy.FromCaller(r.Header), Body: body},
	}
	// A repeat with the same id must meet the record of the first.
	switch key := mux.Vars(r)["key"]; {
	case c.svc.Keyed():
		j.hash = keys.Of(c.svc.Name(), key)
	case !c.op.Idempotent():
		j.hash = keys.Of(c.svc.Name(), id)
	}
	return c.h.call(ctx, j, func(res *proxy.Result) error {
		owner := res.Header().Get(answer.HeaderOwner)
		proxy.DropOwn(res.Header())
		w.Header().Set(answer.HeaderOwner, owner)
		w.Header().Set(answer.HeaderOutcome, answer.Answered.String())
		return res.WriteTo(w)
	})
}

// skipBody refuses to read a request's body. Otherwise net/http waits for it,
// without a bound in time, before it sends the answer.
func skipBody(w http.ResponseWriter, r *http.Request) {
	if r.ContentLength != 0 {
		w.Header().Set("Connection", "close")
		http.NewResponseController(w).SetReadDeadline(time.Now())
	}
}

// timeout returns the time allowed: the operation's, or less if the caller
// says so.
func (c *callerHandler) timeout(r *http.Request) (time.Duration, bool) {
	limit := c.op.Timeout()
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

// call makes attempts until one settles the request.
func (h *Host) call(ctx context.Context, j job, out deliver) result {
	svc := h.service(j.svc.Name())
	if svc == nil {
		return notRun(answer.NoRoute)
	}
	deadline, _ := ctx.Deadline()
	svc.mu.Lock()
	now := h.clk.Now()
	call := svc.retry.Call(now, retry.Op{Idempotent: j.op.Idempotent()}, now.Add(clock.Of(time.Until(deadline))))
	svc.mu.Unlock()
	var avoid []keys.Server
	// mayRun is the first result after which the request may have run. From
	// then on a refusal of a later attempt doesn't mean "not run".
	var mayRun *result
	settle := func(res result) result {
		if res.outcome == answer.NotRun && mayRun != nil {
			return *mayRun
		}
		return res
	}
	for {
		t, changed, res := h.target(ctx, j, avoid)
		if res.outcome != answer.Unknown {
			return settle(j.unconfirmed(res))
		}
		j.cell, j.server, j.hash = t.Cell, t.Server, t.Hash
		var end retry.Result
		if j.hedgeable() {
			res, end = h.hedged(ctx, svc, &call, t, j, out)
		} else {
			res, end = h.timed(ctx, t, j, out)
		}
		if res.outcome == answer.Answered {
			return res
		}
		if res.redirect {
			// No server saw the request: it waits for the next owner, and
			// costs no retry.
			h.askTable(t.Cell, t.Term, t.Version)
			if h.waitChange(ctx, changed) && j.send.Body.Replayable() {
				continue
			}
			return settle(j.unconfirmed(notRun(res.reason)))
		}
		if res.outcome == answer.Unknown && mayRun == nil {
			mayRun = &res
		}
		if !j.svc.Keyed() && j.op.Idempotent() {
			avoid = append(avoid, t.Server)
		}
		svc.mu.Lock()
		d := svc.retry.Decide(h.clk.Now(), &call, end)
		svc.mu.Unlock()
		if !d.Retry || !j.send.Body.Replayable() || res.settled(j.svc.Keyed()) {
			return settle(res)
		}
		after := d.After.Std()
		if res.reason == answer.ServerLost {
			after = max(after, crashNotice)
		}
		select {
		case <-ctx.Done():
			return settle(res)
		case <-time.After(after):
		}
	}
}

// unconfirmed turns the refusal of a request that met no dispatcher into the
// outcome that is certain. Only the dispatcher knows whether an id has run: a
// caller that repeats a booking while its key has no owner must not be told
// that the booking was not run.
func (j *job) unconfirmed(res result) result {
	if res.outcome == answer.NotRun && res.reason != answer.NoRoute && j.named && !j.op.Idempotent() {
		return unknown(res.reason)
	}
	return res
}

// settled reports whether another attempt would only be refused again. A full
// queue at one of several equal servers says nothing about the others.
func (r result) settled(keyed bool) bool {
	switch r.reason {
	case answer.Quarantined, answer.BadID, answer.BadRequest, answer.Cancelled, answer.DeadlinePassed:
		return true
	case answer.QueueFull, answer.DeadlineTooNear:
		return keyed
	}
	return false
}

// target finds where a request goes. It waits while its key has no owner. The
// result's outcome is Unknown if there is a target. changed is closed when
// routing changes after the choice.
func (h *Host) target(ctx context.Context, j job, avoid []keys.Server) (t route.Target, changed chan struct{}, res result) {
	for {
		var miss route.Miss
		h.mu.Lock()
		changed = h.changed
		if j.svc.Keyed() || !j.op.Idempotent() {
			t, miss = h.router.Lookup(j.svc.Name(), j.hash)
		} else {
			var ok bool
			if t, ok = h.router.Pick(h.clk.Now(), j.svc.Name(), h.cfg.DataCentre(), avoid...); !ok {
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
			h.askTable(t.Cell, t.Term, t.Version)
		} else {
			h.askTables(j.svc.Name())
		}
		if !h.waitChange(ctx, changed) {
			return t, changed, notRun(answer.NoOwner)
		}
	}
}

// waitChange waits for a change of routing, at most gapPoll, and reports
// whether time is left.
func (h *Host) waitChange(ctx context.Context, changed chan struct{}) bool {
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-time.After(gapPoll):
	}
	return ctx.Err() == nil
}

// timed makes an attempt and measures it for the choice of later ones.
func (h *Host) timed(ctx context.Context, t route.Target, j job, out deliver) (result, retry.Result) {
	h.began(t.Server)
	start := h.clk.Now()
	res, end := h.attempt(ctx, t, j, out)
	took := h.clk.Now().Sub(start)
	h.ended(t.Server, took, res.outcome == answer.Answered)
	if res.outcome == answer.Answered {
		end = retry.Complete{Took: took}
	}
	return res, end
}

// attempt sends the job to the dispatcher of its server.
func (h *Host) attempt(ctx context.Context, t route.Target, j job, out deliver) (result, retry.Result) {
	if t.Dispatcher == h.self {
		res := h.dispatch(ctx, j, out)
		return res, ended(res)
	}
	return h.relayTo(ctx, t, j, out)
}

// ended translates the result of a local dispatch for package retry.
func ended(res result) retry.Result {
	switch {
	case res.outcome == answer.Answered:
		return retry.Complete{}
	case res.outcome == answer.NotRun && res.reason == answer.Shed:
		return retry.ServerRefused{Why: retry.Shed}
	case res.outcome == answer.NotRun:
		return retry.DialFailed{}
	case res.reason == answer.Truncated:
		return retry.Truncated{}
	case res.reason == answer.Mismatched:
		return retry.Mismatched{}
	}
	return retry.Lost{Sent: true}
}

func (h *Host) began(s keys.Server) {
	h.mu.Lock()
	h.router.Started(s)
	h.mu.Unlock()
}

func (h *Host) ended(s keys.Server, took clock.Span, ok bool) {
	h.mu.Lock()
	h.router.Ended(h.clk.Now(), s, took, ok)
	h.mu.Unlock()
}

func (h *Host) service(name keys.Service) *service {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.services[name]
}

// statusOf returns the HTTP status for a request without an answer.
func statusOf(res result) int {
	if res.outcome == answer.NotRun {
		switch res.reason {
		case answer.BadRequest, answer.BadID:
			return http.StatusBadRequest
		case answer.TooLarge:
			return http.StatusRequestEntityTooLarge
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
	w.WriteHeader(status)
	if res.outcome == answer.NotRun {
		fmt.Fprintf(w, "The request was not run: %s.\n", res.reason)
		return
	}
	fmt.Fprintf(w, "It is not known whether the request ran: %s.\n", res.reason)
}
