package entry

import (
	"context"
	"errors"
	"time"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/internal/limit"
	"github.com/laburnummux/laburnummux/internal/retry"
	"github.com/laburnummux/laburnummux/pkg/answer"
)

// sendContext returns the context of an attempt. When it ends, the connection is
// closed, which makes the server stop the request. After that, it is not known
// whether the request still runs. The context for a server that doesn't check
// fencing tokens therefore never ends: the server gets the deadline, and its
// response is waited for.
func (b *backend) sendContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if b.checksFences {
		return context.WithCancel(ctx)
	}
	d, ok := ctx.Deadline()
	detached := context.WithoutCancel(ctx)
	if ok {
		detached = announcedDeadline{detached, d}
	}
	return context.WithCancel(detached)
}

// admit waits for a slot of the call's server.
func (c *cell) admit(ctx context.Context, id uint64, cl call) (b *backend, ticket retry.Ticket, res result, ok bool) {
	c.mu.Lock()
	now := c.host.clk.Now()
	if _, err := c.leases.Check(now, cl.server, cl.hash); err != nil {
		c.mu.Unlock()
		return nil, ticket, misdirected(leaseReason(err)), false
	}
	b = c.backends[cl.server]
	if b == nil {
		c.mu.Unlock()
		return nil, ticket, misdirected(answer.NotDispatcher), false
	}
	offer := limit.Request{ID: id, Caller: cl.caller, Streamed: !cl.request.Body.Buffered(), Deadline: c.deadline(ctx, now)}
	if cl.operation.Class() == config.Bulk {
		offer.Class = limit.Bulk
	}
	v, acts := b.limiter.Offer(now, offer)
	b.apply(acts)
	var q *queuedCall
	if v.Decision == limit.Queued {
		q = &queuedCall{hash: cl.hash, decision: make(chan answer.Reason, 1)}
		b.queued[id] = q
	}
	c.mu.Unlock()
	switch v.Decision {
	case limit.Refused:
		return nil, ticket, notRun(v.Reason), false
	case limit.Queued:
		if r := c.waitSlot(ctx, b, id, q); r != answer.ReasonNone {
			return nil, ticket, result{outcome: answer.NotRun, reason: r, redirect: r == answer.NotDispatcher}, false
		}
	}
	return c.isolate(ctx, b, id, cl)
}

// isolate waits until the quarantine allows the call to run. A request that may
// have crashed a server runs without others beside it, or is refused.
func (c *cell) isolate(ctx context.Context, b *backend, id uint64, cl call) (*backend, retry.Ticket, result, bool) {
	sig := signature(cl)
	for {
		c.mu.Lock()
		now := c.host.clk.Now()
		a := c.quarantine.Start(now, cl.server, sig)
		changed := b.attemptEnded
		if !a.Run && !a.Wait {
			b.apply(b.limiter.Done(now, id, limit.Result{}))
		}
		c.mu.Unlock()
		switch {
		case a.Run:
			return b, a.Ticket, result{}, true
		case !a.Wait:
			return nil, a.Ticket, notRun(a.Reason), false
		}
		select {
		case <-ctx.Done():
			c.mu.Lock()
			b.apply(b.limiter.Done(c.host.clk.Now(), id, limit.Result{}))
			c.mu.Unlock()
			return nil, a.Ticket, notRun(answer.DeadlinePassed), false
		case <-changed:
		}
	}
}

// signature returns a value that is the same when a request is sent again. For a
// service without keys it leaves out the hash, which is that of the id or of the
// chosen server and differs each time.
func signature(cl call) retry.Signature {
	sig := retry.Signature{Op: string(cl.svc.Name()) + "/" + cl.operation.Name(), Body: uint64(digest(cl))}
	if cl.svc.Keyed() {
		sig.Key = cl.hash
	}
	return sig
}

// waitSlot waits until a queued request gets a slot or is refused.
func (c *cell) waitSlot(ctx context.Context, b *backend, id uint64, q *queuedCall) answer.Reason {
	select {
	case r := <-q.decision:
		return r
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(b.queued, id)
	now := c.host.clk.Now()
	removed, acts := b.limiter.Cancel(now, id)
	b.apply(acts)
	if !removed {
		select {
		case r := <-q.decision:
			if r != answer.ReasonNone {
				return r
			}
		default:
		}
		b.apply(b.limiter.Done(now, id, limit.Result{}))
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return answer.Cancelled
	}
	return answer.DeadlinePassed
}

// announcedDeadline is a context with a deadline for the server to see, which
// doesn't end when the deadline passes.
type announcedDeadline struct {
	context.Context
	at time.Time
}

// Deadline implements context.Context.
func (d announcedDeadline) Deadline() (time.Time, bool) { return d.at, true }

func (c *cell) deadline(ctx context.Context, now clock.Time) clock.Time {
	d, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return now.Add(max(clock.FromStd(time.Until(d)), 1))
}
