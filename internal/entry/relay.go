package entry

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/laburnummux/laburnummux/internal/proxy"
	"github.com/laburnummux/laburnummux/internal/retry"
	"github.com/laburnummux/laburnummux/internal/route"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// headerOp and headerCaller are set between entry hosts only.
	headerService = answer.HeaderPrefix + "Service"
	headerOp      = answer.HeaderPrefix + "Operation"
	headerCaller  = answer.HeaderPrefix + "Caller"
	headerCell    = answer.HeaderPrefix + "Cell"
	headerDC      = answer.HeaderPrefix + "Data-Centre"
	// headerSuspects names the service whose suspicions the body has.
	headerSuspects = answer.HeaderPrefix + "Suspects"

	relayIdle    = 64
	relayConnect = 100 * time.Millisecond
)

// relayTo sends a job to the entry host that dispatches to its server.
func (h *Host) relayTo(ctx context.Context, t route.Target, j job, out deliver) (result, retry.Result) {
	pool := h.relayPool(t.Dispatcher)
	if pool == nil {
		return misdirected(answer.Unreachable), retry.DialFailed{}
	}
	req := j.send
	req.Attempt = h.attemptID(h.attempts.Add(1))
	req.Header = req.Header.Clone()
	req.Header.Set(headerService, string(j.svc.Name()))
	req.Header.Set(headerOp, j.op.Name())
	req.Header.Set(headerCaller, j.caller)
	req.Header.Set(headerDC, string(j.cell.DataCentre))
	req.Header.Set(headerCell, strconv.Itoa(j.cell.Index))
	req.Header.Set(answer.HeaderServer, string(j.server))
	req.Header.Set(answer.HeaderHash, j.hash.String())
	req.Header.Set(answer.HeaderRequestID, j.id)
	r := pool.Send(ctx, req)
	if r.Failure() != proxy.OK {
		end := attempt(r)
		o, why := retry.Outcome(end)
		// Without a connection to the dispatcher another one is needed.
		return result{outcome: o, reason: why, redirect: r.Failure() == proxy.DialFailed}, end
	}
	o := answer.Parse(r.Header().Get(answer.HeaderOutcome))
	if o == answer.Answered {
		return result{outcome: o, delivered: out(r)}, retry.Complete{}
	}
	r.Close()
	res := result{outcome: o, reason: answer.ParseReason(r.Header().Get(answer.HeaderReason))}
	if r.Status() == http.StatusMisdirectedRequest {
		res.outcome, res.redirect = answer.NotRun, true
		return res, retry.WrongDispatcher{}
	}
	return res, ended(res)
}

// relayRoutes serves the requests that other entry hosts pass on.
func (h *Host) relayRoutes() http.Handler {
	// A mux would redirect requests whose path isn't in its cleaned form.
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == fleetPath {
			h.serveStatus(w, r)
			return
		}
		h.serveRelay(w, r)
	})
}

func (h *Host) serveRelay(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get(headerSuspects) != "" {
		h.takeSuspects(w, r)
		return
	}
	j, ctx, cancel, ok := h.relayJob(r)
	defer cancel()
	if !ok {
		writeOutcome(w, http.StatusMisdirectedRequest, misdirected(answer.NotDispatcher))
		return
	}
	w.Header().Set(answer.HeaderAttempt, r.Header.Get(answer.HeaderAttempt)) // proves that the answer belongs to this request
	res := h.dispatch(ctx, j, func(res *proxy.Result) error {
		w.Header().Set(answer.HeaderOutcome, answer.Answered.String())
		return res.WriteTo(w)
	})
	switch {
	case res.delivered != nil:
		panic(http.ErrAbortHandler)
	case res.redirect:
		writeOutcome(w, http.StatusMisdirectedRequest, res)
	case res.outcome != answer.Answered:
		writeOutcome(w, statusOf(res), res)
	}
}

func (h *Host) relayJob(r *http.Request) (j job, ctx context.Context, cancel context.CancelFunc, ok bool) {
	ctx, cancel = context.WithCancel(r.Context())
	if ms, err := strconv.ParseInt(r.Header.Get(answer.HeaderTimeout), 10, 64); err == nil && ms > 0 {
		cancel()
		ctx, cancel = context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	}
	svc := h.service(keys.Service(r.Header.Get(headerService)))
	if svc == nil {
		return j, ctx, cancel, false
	}
	j.svc = svc.Service
	for _, op := range svc.Operations() {
		if op.Name() == r.Header.Get(headerOp) {
			j.op, ok = op, true
		}
	}
	index, err := strconv.Atoi(r.Header.Get(headerCell))
	if err != nil || !ok {
		return j, ctx, cancel, false
	}
	if err := j.hash.UnmarshalText([]byte(r.Header.Get(answer.HeaderHash))); err != nil {
		return j, ctx, cancel, false
	}
	var body *proxy.Body
	if r.Header.Get("Expect") != "" {
		body = proxy.NewStream(r.Body, r.ContentLength)
	} else if body, err = proxy.NewBody(r.Body, r.ContentLength); err != nil {
		return j, ctx, cancel, false
	}
	j.cell = keys.Cell{Service: svc.Name(), DataCentre: keys.DataCentre(r.Header.Get(headerDC)), Index: index}
	j.server = keys.Server(r.Header.Get(answer.HeaderServer))
	j.id, j.caller = r.Header.Get(answer.HeaderRequestID), r.Header.Get(headerCaller)
	j.send = proxy.Request{Method: r.Method, URL: r.URL, Header: proxy.FromCaller(r.Header), Body: body}
	return j, ctx, cancel, true
}

func (h *Host) relayPool(to keys.Host) *proxy.Pool {
	h.mu.Lock()
	defer h.mu.Unlock()
	m, ok := h.members[string(to)]
	if !ok {
		return nil
	}
	addr := m.Addresses().Relay
	if p := h.relays[to]; p != nil && p.Address() == addr {
		return p
	}
	p := proxy.NewSecurePool(addr, proxy.Limits{Idle: relayIdle, Connect: relayConnect}, h.secure.toHost(to))
	h.relays[to] = p
	return p
}
