package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/laburnummux/laburnummux/internal/budget"
	"github.com/laburnummux/laburnummux/internal/caller"
	"github.com/laburnummux/laburnummux/internal/head"
	"github.com/laburnummux/laburnummux/internal/proxy"
	"github.com/laburnummux/laburnummux/internal/retry"
	"github.com/laburnummux/laburnummux/internal/route"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// The following headers are sent between entry hosts only.
	headerService    = answer.HeaderPrefix + "Service"
	headerOperation  = answer.HeaderPrefix + "Operation"
	headerCaller     = answer.HeaderPrefix + "Caller"
	headerCell       = answer.HeaderPrefix + "Cell"
	headerDataCentre = answer.HeaderPrefix + "Data-Centre"
	// headerSuspects has the name of the service whose suspect records are in
	// the body.
	headerSuspects = answer.HeaderPrefix + "Suspects"

	relayIdleConns      = 64
	relayConnectTimeout = 100 * time.Millisecond
)

// relayTo sends a call to the entry host that dispatches to its server.
func (h *Host) relayTo(ctx context.Context, t route.Target, cl call, deliver deliverFunc) (result, retry.Result) {
	pool := h.relayPool(t.Dispatcher)
	if pool == nil {
		return misdirected(answer.Unreachable), retry.DialFailed{}
	}
	req := cl.request
	req.Attempt = h.attemptID(h.attempts.Add(1))
	req.Header = req.Header.Clone()
	req.Header.Set(headerService, string(cl.svc.Name()))
	req.Header.Set(headerOperation, cl.operation.Name())
	req.Header.Set(headerCaller, cl.caller)
	req.Header.Set(headerDataCentre, string(cl.cell.DataCentre))
	req.Header.Set(headerCell, strconv.Itoa(cl.cell.Index))
	req.Header.Set(answer.HeaderServer, string(cl.server))
	req.Header.Set(answer.HeaderHash, cl.hash.String())
	req.Header.Set(answer.HeaderRequestID, cl.id)
	r := pool.Send(ctx, req)
	if r.Failure() != proxy.OK {
		end := retryResult(r)
		o, reason := retry.Outcome(end)
		// If the dispatcher can't be reached, the call needs another one.
		return result{outcome: o, reason: reason, redirect: r.Failure() == proxy.DialFailed}, end
	}
	o := answer.Parse(r.Header().Get(answer.HeaderOutcome))
	if o == answer.Answered {
		return result{outcome: o, deliverErr: deliver(r)}, retry.Complete{}
	}
	r.Close()
	res := result{outcome: o, reason: answer.ParseReason(r.Header().Get(answer.HeaderReason))}
	if r.Status() == http.StatusMisdirectedRequest {
		res.outcome, res.redirect = answer.NotRun, true
		return res, retry.WrongDispatcher{}
	}
	return res, dispatchRetryResult(res)
}

// relayRoutes returns the handler for requests from other entry hosts.
func (h *Host) relayRoutes() http.Handler {
	// A mux would redirect requests whose path isn't in its cleaned form.
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		caller.HeadRead(r)
		if r.URL.Path == fleetPath {
			h.serveStatus(w, r)
			return
		}
		h.serveRelay(w, r)
	})
}

func (h *Host) serveRelay(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(headerSuspects) != "" {
		h.handleSuspects(w, r)
		return
	}
	hold := h.relayHold(w, r)
	defer hold.Close()
	cl, ctx, cancel, ok := h.relayedCall(r, hold)
	defer cancel()
	switch givenUp, _ := hold.GivenUp(); {
	case givenUp:
		w.Header().Set("Connection", "close")
		writeOutcome(w, http.StatusServiceUnavailable, notRun(answer.Overloaded))
		return
	case !ok:
		writeOutcome(w, http.StatusMisdirectedRequest, misdirected(answer.NotDispatcher))
		return
	}
	cl.transfers = newTransfers(w, endRead(w))
	cl.request.Body.Watch(cl.transfers.upload)
	w.Header().Set(answer.HeaderAttempt, r.Header.Get(answer.HeaderAttempt)) // lets the sender match the response to its request
	res := h.dispatch(ctx, cl, func(res *proxy.Result) error {
		w.Header().Set(answer.HeaderOutcome, answer.Answered.String())
		return res.WriteWatched(w, cl.transfers.download)
	})
	switch {
	case res.deliverErr != nil:
		panic(http.ErrAbortHandler)
	case res.redirect:
		writeOutcome(w, http.StatusMisdirectedRequest, res)
	case res.outcome != answer.Answered:
		writeOutcome(w, httpStatus(res), res)
	}
}

// relayHold returns the hold of what is buffered of a relayed request's body, in the
// account of its caller.
func (h *Host) relayHold(w http.ResponseWriter, r *http.Request) *budget.Hold {
	return h.intake.budget.NewHold(r.Header.Get(headerCaller), endRead(w))
}

// endRead returns a function that ends the reading of a request.
func endRead(w http.ResponseWriter) func() {
	conn := http.NewResponseController(w)
	return func() { conn.SetReadDeadline(time.Unix(1, 0)) }
}

// relayedCall returns the call of a relayed request. It keeps the hold of its body once
// that is read.
func (h *Host) relayedCall(r *http.Request, hold *budget.Hold) (cl call, ctx context.Context, cancel context.CancelFunc, ok bool) {
	ctx, cancel = context.WithCancel(r.Context())
	if ms, err := strconv.ParseInt(r.Header.Get(answer.HeaderTimeout), 10, 64); err == nil && ms > 0 {
		cancel()
		ctx, cancel = context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	}
	svc := h.service(keys.Service(r.Header.Get(headerService)))
	if svc == nil {
		return cl, ctx, cancel, false
	}
	cl.svc = svc.Service
	for _, op := range svc.Operations() {
		if op.Name() == r.Header.Get(headerOperation) {
			cl.operation, ok = op, true
		}
	}
	index, err := strconv.Atoi(r.Header.Get(headerCell))
	if err != nil || !ok {
		return cl, ctx, cancel, false
	}
	if err := cl.hash.UnmarshalText([]byte(r.Header.Get(answer.HeaderHash))); err != nil {
		return cl, ctx, cancel, false
	}
	var body *proxy.Body
	if r.Header.Get("Expect") != "" {
		body = proxy.NewUnbufferedBody(r.Body, r.ContentLength)
	} else if body, err = proxy.NewCountedBody(r.Body, r.ContentLength, hold.Add); err != nil {
		return cl, ctx, cancel, false
	}
	if !body.Buffered() {
		caller.RequestStreams(r, cancel)
	} else if !caller.RequestRead(r) {
		hold.Cancel()
	}
	if !hold.Keep() {
		return cl, ctx, cancel, false
	}
	cl.cell = keys.Cell{Service: svc.Name(), DataCentre: keys.DataCentre(r.Header.Get(headerDataCentre)), Index: index}
	cl.server = keys.Server(r.Header.Get(answer.HeaderServer))
	cl.id, cl.caller = r.Header.Get(answer.HeaderRequestID), r.Header.Get(headerCaller)
	cl.request = proxy.Request{Method: r.Method, URL: r.URL, Header: proxy.ForwardedHeader(r.Header), Body: body, Abandoned: abandoned(r)}
	return cl, ctx, cancel, true
}

func (h *Host) relayPool(to keys.Host) *proxy.Pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	m, ok := h.members[string(to)]
	if !ok {
		return nil
	}
	addr := m.Addresses().Relay
	if p := h.relayPools[to]; p != nil && p.Address() == addr {
		return p
	}
	p := proxy.NewSecurePool(addr, proxy.Limits{MaxIdle: relayIdleConns, DialTimeout: relayConnectTimeout}, h.security.hostTLS(to))
	p.ObserveMalformed(h.heads.From(head.SourceHost))
	h.relayPools[to] = p
	return p
}
