package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/internal/dedup"
	"github.com/laburnummux/laburnummux/internal/lease"
	"github.com/laburnummux/laburnummux/internal/limit"
	"github.com/laburnummux/laburnummux/internal/proxy"
	"github.com/laburnummux/laburnummux/internal/retry"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// call is a caller's request inside an entry host, with all its attempts.
type call struct {
	svc       config.Service
	operation config.Operation
	cell      keys.Cell
	server    keys.Server
	hash      keys.Hash
	id        string // request id
	caller    string
	request   proxy.Request
	transfers transfers
	// idFromCaller reports that the caller chose the id, so that the request may
	// be a retry.
	idFromCaller bool
	// record is the deduplication record of a non-idempotent request.
	record dedup.Token
}

// result is the result of a call. A result with the outcome "answered" has a
// response to deliver, unless it was delivered already.
type result struct {
	outcome answer.Outcome
	reason  answer.Reason
	// redirect reports that this host isn't the dispatcher of the backend
	// server, or can't act as one at present. Another host may be tried.
	redirect   bool
	response   *proxy.Result // recorded response, for a retry of the request
	deliverErr error         // why the response could not be delivered completely
}

func notRun(r answer.Reason) result  { return result{outcome: answer.NotRun, reason: r} }
func unknown(r answer.Reason) result { return result{outcome: answer.Unknown, reason: r} }
func misdirected(r answer.Reason) result {
	return result{outcome: answer.NotRun, reason: r, redirect: true}
}

// deliverFunc sends a response to the caller or to the relaying host.
type deliverFunc func(*proxy.Result) error

// dispatch sends a call to its backend server, if this host is the server's
// dispatcher.
func (h *Host) dispatch(ctx context.Context, cl call, deliver deliverFunc) result {
	c := h.cell(cl.cell)
	if c == nil {
		return misdirected(answer.NotDispatcher)
	}
	if cl.operation.Idempotent() {
		return c.send(ctx, cl, deliver)
	}
	return c.sendOnce(ctx, cl, deliver)
}

// sendOnce sends a non-idempotent call, unless a request with its id has run or
// may have run.
func (c *cell) sendOnce(ctx context.Context, cl call, deliver deliverFunc) result {
	id, err := dedup.ParseID(cl.id)
	if err != nil {
		return notRun(answer.BadRequestID)
	}
	c.mu.Lock()
	now := c.host.clk.Now()
	if _, err := c.leases.Check(now, cl.server, cl.hash); err != nil {
		c.mu.Unlock()
		return misdirected(leaseReason(err))
	}
	v := c.dedup.Begin(now, dedup.WallTime(unixMilli()), id, cl.hash, digest(cl))
	var original chan result
	if v.Decision == dedup.Wait {
		original = make(chan result, 1)
		c.duplicates[v.Token] = append(c.duplicates[v.Token], original)
	}
	if v.Decision == dedup.Run {
		cl.record = v.Token
		c.unsent[v.Token] = cl.hash
	}
	c.mu.Unlock()
	switch v.Decision {
	case dedup.Replay:
		return replay(v.Response, deliver)
	case dedup.Wait:
		return awaitOriginal(ctx, original, deliver)
	case dedup.Unknown:
		if v.Reason == answer.NotDispatcher {
			return misdirected(v.Reason)
		}
		return unknown(v.Reason)
	case dedup.Refused:
		return notRun(v.Reason)
	}
	var recorded dedup.Response
	res := c.send(ctx, cl, func(r *proxy.Result) error {
		if body, complete := r.CompleteBody(); complete {
			recorded = dedup.Response{Status: r.Status(), Header: r.Header().Clone(), Body: body}
		}
		return deliver(r)
	})
	c.finish(v.Token, res, recorded)
	return res
}

// digest returns a digest of the operation, URI and body of a request. It shows
// whether an id is used again for a different request.
func digest(cl call) dedup.Digest {
	return dedup.Digest(uint64(keys.HashOf(keys.Service(cl.operation.Name()), cl.request.URL.RequestURI())) ^ cl.request.Body.Digest())
}

// finish records the outcome of a non-idempotent call and sends it to the
// requests with the same id that wait for it.
func (c *cell) finish(t dedup.Token, res result, recorded dedup.Response) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.host.clk.Now()
	outcome := res.outcome
	if res.deliverErr != nil && recorded.Status == 0 {
		outcome = answer.Unknown // the response was truncated, so it can't be replayed
	}
	if outcome == answer.Answered && recorded.Status == 0 {
		outcome = answer.Unknown // the response was too long to record
	}
	c.dedup.Finish(now, t, outcome, recorded)
	delete(c.unsent, t)
	shared := result{outcome: outcome, reason: res.reason}
	if outcome == answer.Unknown {
		shared.reason = answer.EarlierAttempt
	}
	for _, ch := range c.duplicates[t] {
		if outcome == answer.Answered {
			shared.response = recordedResponse(recorded) // with a copy of the header for each
		}
		ch <- shared
	}
	delete(c.duplicates, t)
}

func recordedResponse(a dedup.Response) *proxy.Result {
	return proxy.NewResult(a.Status, a.Header.Clone(), a.Body)
}

func replay(a dedup.Response, deliver deliverFunc) result {
	if a.Status == 0 {
		return unknown(answer.EarlierAttempt) // it ran, but its response was too long to record
	}
	return result{outcome: answer.Answered, deliverErr: deliver(recordedResponse(a))}
}

// awaitOriginal waits for the result of an earlier request with the same id that
// is still running.
func awaitOriginal(ctx context.Context, original chan result, deliver deliverFunc) result {
	select {
	case <-ctx.Done():
		return unknown(answer.StillRunning)
	case res := <-original:
		if res.response != nil {
			return result{outcome: answer.Answered, deliverErr: deliver(res.response)}
		}
		return res
	}
}

// send waits for a slot of the backend server and sends it the call.
func (c *cell) send(ctx context.Context, cl call, deliver deliverFunc) result {
	id := c.host.attempts.Add(1)
	b, ticket, res, ok := c.admit(ctx, id, cl)
	if !ok {
		return res
	}
	c.mu.Lock()
	now := c.host.clk.Now()
	fence, err := c.begin(now, cl)
	if err != nil {
		b.apply(b.limiter.Done(now, id, limit.Result{}))
		c.quarantine.End(now, ticket, false)
		c.mu.Unlock()
		return misdirected(leaseReason(err))
	}
	b.running[id] = runningCall{hash: cl.hash, transfers: cl.transfers}
	c.mu.Unlock()

	// Another attempt may need the original header, so this one gets a copy.
	cl.request.Header = cl.request.Header.Clone()
	cl.request.Header.Set(answer.HeaderFence, fence.String())
	cl.request.Header.Set(answer.HeaderHash, cl.hash.String())
	cl.request.Header.Set(answer.HeaderRequestID, cl.id)
	cl.request.Attempt = c.host.attemptID(id)
	sctx, cancel := b.sendContext(ctx)
	sent := make(chan *proxy.Result, 1)
	go func() { sent <- b.pool.Send(sctx, cl.request) }()
	select {
	case r := <-sent:
		res = c.attemptResult(cl, r, deliver)
		if res.outcome == answer.Unknown && cl.transfers.upload.Interrupted() {
			res.reason = answer.TooSlow
		}
		c.release(b, id, ticket, cl, r, c.host.clk.Now().Sub(now))
		cancel()
		return res
	case <-ctx.Done():
		go func() {
			defer cancel()
			r := <-sent
			r.Close()
			c.release(b, id, ticket, cl, r, c.host.clk.Now().Sub(now))
		}()
		switch {
		case cl.transfers.upload.Interrupted(): // which cancels ctx, too
			return unknown(answer.TooSlow)
		case errors.Is(ctx.Err(), context.Canceled):
			return unknown(answer.Cancelled)
		}
		return unknown(answer.DeadlinePassed)
	}
}

// begin records that a call is being sent. A call whose deduplication record was
// finished because its range moved is not sent any more, even if this host has a
// lease of the range again. The caller must hold c.mu.
func (c *cell) begin(now clock.Time, cl call) (f keys.Fence, err error) {
	if _, unsent := c.unsent[cl.record]; !unsent && !cl.operation.Idempotent() {
		return 0, lease.ErrNoLease
	}
	if f, err = c.leases.Begin(now, cl.server, cl.hash); err == nil {
		delete(c.unsent, cl.record)
	}
	return f, err
}

// finishUnsent finishes the deduplication records of the range's requests that
// weren't sent to a server, so that they can be sent to the next dispatcher. It
// doesn't leave this to the goroutines of the requests: a record that is
// transferred as "running" makes the next dispatcher answer "unknown". The
// caller must hold c.mu.
func (c *cell) finishUnsent(now clock.Time, r keys.Range) {
	for t, hash := range c.unsent {
		if r.Contains(hash) {
			c.dedup.Finish(now, t, answer.NotRun, dedup.Response{})
			delete(c.unsent, t)
		}
	}
}

// attemptID returns an ID for an attempt that is unique among all hosts and
// their incarnations.
func (h *Host) attemptID(n uint64) string {
	return strconv.FormatUint(h.incarnation, 36) + "-" + strconv.FormatUint(n, 36)
}

// attemptResult converts the result of an attempt into that of the call.
func (c *cell) attemptResult(cl call, r *proxy.Result, deliver deliverFunc) result {
	c.host.metrics.Attempt(cl.svc.Name(), r.Failure().String())
	if r.Failure() == proxy.OK {
		if reason, refused := refusal(r); refused {
			r.Close()
			if !r.NamesAttempt() {
				return unknown(answer.Mismatched)
			}
			return result{outcome: answer.NotRun, reason: reason, redirect: reason != answer.Shed}
		}
		proxy.DropOwnHeaders(r.Header())
		r.Header().Set(answer.HeaderOwner, string(cl.server))
		return result{outcome: answer.Answered, deliverErr: deliver(r)}
	}
	o, reason := retry.Outcome(retryResult(r))
	// If only this server may run the request, the request waits for the key's
	// next owner, which is assigned after failed probes of the server.
	singleServer := cl.svc.Keyed() || !cl.operation.Idempotent()
	return result{outcome: o, reason: reason, redirect: singleServer && r.Failure() == proxy.DialFailed}
}

// refusal reports whether a server's response, if it isn't a copy of an earlier
// one, proves that it did not run the request, and returns the reason.
func refusal(r *proxy.Result) (answer.Reason, bool) {
	reason := r.Header().Get(answer.HeaderReason)
	switch {
	case r.Status() == http.StatusConflict && reason == answer.StaleFence.String():
		return answer.StaleFence, true
	case r.Status() == http.StatusServiceUnavailable && reason == answer.Shed.String():
		return answer.Shed, true
	case r.Status() == http.StatusServiceUnavailable && reason == answer.Draining.String():
		return answer.Draining, true
	}
	return answer.ReasonNone, false
}

// retryResult converts the result of an attempt for package retry.
func retryResult(r *proxy.Result) retry.Result {
	switch r.Failure() {
	case proxy.DialFailed:
		return retry.DialFailed{}
	case proxy.NotSent:
		return retry.Lost{}
	case proxy.Truncated:
		return retry.Truncated{}
	case proxy.Mismatched:
		return retry.Mismatched{}
	case proxy.TimedOut, proxy.Cancelled:
		return retry.TimedOut{Sent: true}
	case proxy.ConnLost:
		return retry.Lost{Sent: true}
	}
	return retry.Complete{}
}

// release frees the slot, the lease use and the quarantine ticket of an attempt.
func (c *cell) release(b *backend, id uint64, ticket retry.Ticket, cl call, r *proxy.Result, serviceTime clock.Span) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.host.clk.Now()
	reason, _ := refusal(r)
	delete(b.running, id)
	b.apply(b.limiter.Done(now, id, limit.Result{Shed: reason == answer.Shed, ServiceTime: serviceTime}))
	c.leases.End(now, cl.server, cl.hash)
	if r.Failure() == proxy.ConnLost {
		// The next probe shows whether the server has crashed.
		b.lostAttempts = append(b.lostAttempts, lostAttempt{ticket, now})
	} else {
		c.quarantine.End(now, ticket, r.Failure() == proxy.OK)
	}
	b.wakeIsolated()
}

func leaseReason(err error) answer.Reason {
	switch {
	case errors.Is(err, lease.ErrUnreachable):
		return answer.Unreachable
	case errors.Is(err, lease.ErrDraining):
		return answer.Draining
	}
	return answer.NotDispatcher
}
