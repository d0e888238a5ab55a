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
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// deadlineGrace is how much later the deadline of the caller's connection is than that of
// the request, so that the request's deadline applies first.
const deadlineGrace = 250 * time.Millisecond

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
