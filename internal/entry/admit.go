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

// sendContext returns the context of an attempt. Its end breaks the
// connection, which tells the server to stop. After that nothing shows whether
// the request still runs, so a server that doesn't check fencing tokens keeps
// its connection: it is told the deadline, and its answer is waited for.
func (l *lane) sendContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if l.checks {
		return context.WithCancel(ctx)
	}
	d, ok := ctx.Deadline()
	kept := context.WithoutCancel(ctx)
	if ok {
		kept = announcedDeadline{kept, d}
	}
	return context.WithCancel(kept)
}

// admit waits for a slot of the server.
func (c *cell) admit(ctx context.Context, id uint64, j job) (l *lane, ticket retry.Ticket, res result, ok bool) {
	c.mu.Lock()
	now := c.h.clk.Now()
	if _, err := c.hold.Check(now, j.server, j.hash); err != nil {
		c.mu.Unlock()
		return nil, ticket, misdirected(holdReason(err)), false
	}
	l = c.lanes[j.server]
	if l == nil {
		c.mu.Unlock()
		return nil, ticket, misdirected(answer.NotDispatcher), false
	}
	req := limit.Request{ID: id, Caller: j.caller, Deadline: c.deadline(ctx, now)}
	if j.op.Class() == config.Bulk {
		req.Class = limit.Bulk
	}
	v, acts := l.limit.Offer(now, req)
	l.take(acts)
	var w *waiter
	if v.Decision == limit.Queued {
		w = &waiter{hash: j.hash, done: make(chan answer.Reason, 1)}
		l.waiting[id] = w
	}
	c.mu.Unlock()
	switch v.Decision {
	case limit.Refused:
		return nil, ticket, notRun(v.Reason), false
	case limit.Queued:
		if r := c.wait(ctx, l, id, w); r != answer.ReasonNone {
			return nil, ticket, result{outcome: answer.NotRun, reason: r, redirect: r == answer.NotDispatcher}, false
		}
	}
	return c.isolate(ctx, l, id, j)
}

// isolate keeps requests that may have crashed a server apart from others.
func (c *cell) isolate(ctx context.Context, l *lane, id uint64, j job) (*lane, retry.Ticket, result, bool) {
	sig := signature(j)
	for {
		c.mu.Lock()
		now := c.h.clk.Now()
		a := c.quarantine.Start(now, j.server, sig)
		changed := l.ended
		if !a.Run && !a.Wait {
			l.take(l.limit.Done(now, id, limit.Result{}))
		}
		c.mu.Unlock()
		switch {
		case a.Run:
			return l, a.Ticket, result{}, true
		case !a.Wait:
			return nil, a.Ticket, notRun(a.Reason), false
		}
		select {
		case <-ctx.Done():
			c.mu.Lock()
			l.take(l.limit.Done(c.h.clk.Now(), id, limit.Result{}))
			c.mu.Unlock()
			return nil, a.Ticket, notRun(answer.DeadlinePassed), false
		case <-changed:
		}
	}
}

// signature recognises a request that is sent again. Without keys the hash is
// that of the id or of the chosen server, which differs each time.
func signature(j job) retry.Signature {
	sig := retry.Signature{Op: string(j.svc.Name()) + "/" + j.op.Name(), Body: uint64(digest(j))}
	if j.svc.Keyed() {
		sig.Key = j.hash
	}
	return sig
}

// wait waits for the turn of a queued request.
func (c *cell) wait(ctx context.Context, l *lane, id uint64, w *waiter) answer.Reason {
	select {
	case r := <-w.done:
		return r
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(l.waiting, id)
	now := c.h.clk.Now()
	removed, acts := l.limit.Cancel(now, id)
	l.take(acts)
	if !removed {
		select {
		case r := <-w.done:
			if r != answer.ReasonNone {
				return r
			}
		default:
		}
		l.take(l.limit.Done(now, id, limit.Result{}))
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		return answer.Cancelled
	}
	return answer.DeadlinePassed
}

// announcedDeadline has a deadline that the server is told, but never ends.
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
	return now.Add(max(clock.Of(time.Until(d)), 1))
}
