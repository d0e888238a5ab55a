package entry

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/internal/dedup"
	"github.com/laburnummux/laburnummux/internal/hold"
	"github.com/laburnummux/laburnummux/internal/limit"
	"github.com/laburnummux/laburnummux/internal/proxy"
	"github.com/laburnummux/laburnummux/internal/retry"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// job is a request at the dispatcher of its backend server.
type job struct {
	svc    config.Service
	op     config.Operation
	cell   keys.Cell
	server keys.Server
	hash   keys.Hash
	id     string // request id
	caller string
	send   proxy.Request
	// named says that the caller chose the id, so it may have sent the request
	// before.
	named bool
	// record is the deduplication record of a non-idempotent job.
	record dedup.Token
}

// result is the end of a job. An answered result has an answer to deliver,
// unless it was delivered already.
type result struct {
	outcome answer.Outcome
	reason  answer.Reason
	// redirect says that this host isn't the dispatcher, or can't act as one
	// now: another host may be asked.
	redirect  bool
	answer    *proxy.Result // a short answer, for a repeat of the request
	delivered error         // why an answer could not be passed on in full
}

func notRun(r answer.Reason) result  { return result{outcome: answer.NotRun, reason: r} }
func unknown(r answer.Reason) result { return result{outcome: answer.Unknown, reason: r} }
func misdirected(r answer.Reason) result {
	return result{outcome: answer.NotRun, reason: r, redirect: true}
}

// deliver passes an answer on to the caller or to the relaying host.
type deliver func(*proxy.Result) error

// dispatch runs a job at its server, if this host is the server's dispatcher.
func (h *Host) dispatch(ctx context.Context, j job, out deliver) result {
	c := h.cell(j.cell)
	if c == nil {
		return misdirected(answer.NotDispatcher)
	}
	if j.op.Idempotent() {
		return c.run(ctx, j, out)
	}
	return c.runOnce(ctx, j, out)
}

// runOnce runs a non-idempotent job unless its id has run or may have run.
func (c *cell) runOnce(ctx context.Context, j job, out deliver) result {
	id, err := dedup.ParseID(j.id)
	if err != nil {
		return notRun(answer.BadID)
	}
	c.mu.Lock()
	now := c.h.clk.Now()
	if _, err := c.hold.Check(now, j.server, j.hash); err != nil {
		c.mu.Unlock()
		return misdirected(holdReason(err))
	}
	v := c.dedup.Begin(now, dedup.Wall(wall()), id, j.hash, digest(j))
	var first chan result
	if v.Decision == dedup.Wait {
		first = make(chan result, 1)
		c.attached[v.Token] = append(c.attached[v.Token], first)
	}
	if v.Decision == dedup.Run {
		j.record = v.Token
		c.unsent[v.Token] = j.hash
	}
	c.mu.Unlock()
	switch v.Decision {
	case dedup.Replay:
		return replay(v.Answer, out)
	case dedup.Wait:
		return await(ctx, first, out)
	case dedup.Unknown:
		if v.Reason == answer.NotDispatcher {
			return misdirected(v.Reason)
		}
		return unknown(v.Reason)
	case dedup.Refused:
		return notRun(v.Reason)
	}
	var kept dedup.Answer
	res := c.run(ctx, j, func(r *proxy.Result) error {
		if body, whole := r.Whole(); whole {
			kept = dedup.Answer{Status: r.Status(), Header: r.Header().Clone(), Body: body}
		}
		return out(r)
	})
	c.finish(v.Token, res, kept)
	return res
}

// digest identifies what a request asks for, so that an id that is used for
// something else is noticed.
func digest(j job) dedup.Digest {
	return dedup.Digest(uint64(keys.Of(keys.Service(j.op.Name()), j.send.URL.RequestURI())) ^ j.send.Body.Sum())
}

// finish ends a run and tells the requests that wait for it.
func (c *cell) finish(t dedup.Token, res result, kept dedup.Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.h.clk.Now()
	outcome := res.outcome
	if res.delivered != nil && kept.Status == 0 {
		outcome = answer.Unknown // the answer broke off, so it can't be repeated
	}
	if outcome == answer.Answered && kept.Status == 0 {
		outcome = answer.Unknown // too long to keep
	}
	c.dedup.Finish(now, t, outcome, kept)
	delete(c.unsent, t)
	shared := result{outcome: outcome, reason: res.reason}
	if outcome == answer.Unknown {
		shared.reason = answer.EarlierAttempt
	}
	for _, ch := range c.attached[t] {
		if outcome == answer.Answered {
			shared.answer = short(kept) // each has a header of its own
		}
		ch <- shared
	}
	delete(c.attached, t)
}

func short(a dedup.Answer) *proxy.Result { return proxy.Short(a.Status, a.Header.Clone(), a.Body) }

func replay(a dedup.Answer, out deliver) result {
	if a.Status == 0 {
		return unknown(answer.EarlierAttempt) // it ran, but its answer was too long to keep
	}
	return result{outcome: answer.Answered, delivered: out(short(a))}
}

// await waits for the end of an earlier request with the same id.
func await(ctx context.Context, first chan result, out deliver) result {
	select {
	case <-ctx.Done():
		return unknown(answer.StillRunning)
	case res := <-first:
		if res.answer != nil {
			return result{outcome: answer.Answered, delivered: out(res.answer)}
		}
		return res
	}
}

// run waits for a slot and sends the job to its server.
func (c *cell) run(ctx context.Context, j job, out deliver) result {
	id := c.h.attempts.Add(1)
	l, ticket, res, ok := c.admit(ctx, id, j)
	if !ok {
		return res
	}
	c.mu.Lock()
	now := c.h.clk.Now()
	fence, err := c.begin(now, j)
	if err != nil {
		l.take(l.limit.Done(now, id, limit.Result{}))
		c.quarantine.End(now, ticket, false)
		c.mu.Unlock()
		return misdirected(holdReason(err))
	}
	c.mu.Unlock()

	// The header is copied, because another attempt may need it unchanged.
	j.send.Header = j.send.Header.Clone()
	j.send.Header.Set(answer.HeaderFence, fence.String())
	j.send.Header.Set(answer.HeaderHash, j.hash.String())
	j.send.Header.Set(answer.HeaderRequestID, j.id)
	j.send.Attempt = c.h.attemptID(id)
	sctx, cancel := l.sendContext(ctx)
	sent := make(chan *proxy.Result, 1)
	go func() { sent <- l.pool.Send(sctx, j.send) }()
	select {
	case r := <-sent:
		res = c.complete(j, r, out)
		c.release(l, id, ticket, j, r, c.h.clk.Now().Sub(now))
		cancel()
		return res
	case <-ctx.Done():
		go func() {
			defer cancel()
			r := <-sent
			r.Close()
			c.release(l, id, ticket, j, r, c.h.clk.Now().Sub(now))
		}()
		if errors.Is(ctx.Err(), context.Canceled) {
			return unknown(answer.Cancelled)
		}
		return unknown(answer.DeadlinePassed)
	}
}

// begin notes that a job is being sent. A job whose record was ended because
// its range moved isn't sent any more, even if the range has come back. The
// cell's mutex is held.
func (c *cell) begin(now clock.Time, j job) (f keys.Fence, err error) {
	if _, unsent := c.unsent[j.record]; !unsent && !j.op.Idempotent() {
		return 0, hold.ErrNotHeld
	}
	if f, err = c.hold.Begin(now, j.server, j.hash); err == nil {
		delete(c.unsent, j.record)
	}
	return f, err
}

// endUnsent ends the records of the range's requests that weren't sent, so that
// they are sent to the next dispatcher. Their records end here and not when
// their goroutines notice: a record that is transferred as "running" makes the
// next dispatcher answer "unknown". The cell's mutex is held.
func (c *cell) endUnsent(now clock.Time, r keys.Range) {
	for t, hash := range c.unsent {
		if r.Contains(hash) {
			c.dedup.Finish(now, t, answer.NotRun, dedup.Answer{})
			delete(c.unsent, t)
		}
	}
}

// attemptID returns a name for an attempt that no other host or run uses.
func (h *Host) attemptID(n uint64) string {
	return strconv.FormatUint(h.boot, 36) + "-" + strconv.FormatUint(n, 36)
}

// complete turns the end of an attempt into the result of the job.
func (c *cell) complete(j job, r *proxy.Result, out deliver) result {
	c.h.metrics.Attempt(j.svc.Name(), r.Failure().String())
	if r.Failure() == proxy.OK {
		if why, refused := refusal(r); refused {
			r.Close()
			return result{outcome: answer.NotRun, reason: why, redirect: why != answer.Shed}
		}
		proxy.DropOwn(r.Header())
		r.Header().Set(answer.HeaderOwner, string(j.server))
		return result{outcome: answer.Answered, delivered: out(r)}
	}
	o, why := retry.Outcome(attempt(r))
	// A request that only this server may run waits for the key's next owner,
	// which exists once the probes have missed the server.
	bound := j.svc.Keyed() || !j.op.Idempotent()
	return result{outcome: o, reason: why, redirect: bound && r.Failure() == proxy.DialFailed}
}

// refusal reports whether a server proved that it did not run the request.
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

// attempt says in the terms of package retry how an attempt ended.
func attempt(r *proxy.Result) retry.Result {
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
	case proxy.Lost:
		return retry.Lost{Sent: true}
	}
	return retry.Complete{}
}

// release frees what an attempt held.
func (c *cell) release(l *lane, id uint64, ticket retry.Ticket, j job, r *proxy.Result, took clock.Span) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.h.clk.Now()
	why, _ := refusal(r)
	l.take(l.limit.Done(now, id, limit.Result{Shed: why == answer.Shed, Took: took}))
	c.hold.End(now, j.server, j.hash)
	if r.Failure() == proxy.Lost {
		// The next probe tells whether the server has crashed.
		l.lost = append(l.lost, lostAttempt{ticket, now})
	} else {
		c.quarantine.End(now, ticket, r.Failure() == proxy.OK)
	}
	l.wakeIsolated()
}

func holdReason(err error) answer.Reason {
	switch {
	case errors.Is(err, hold.ErrUnreachable):
		return answer.Unreachable
	case errors.Is(err, hold.ErrDraining):
		return answer.Draining
	}
	return answer.NotDispatcher
}
