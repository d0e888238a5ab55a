package entry

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/proxy"
	"github.com/laburnummux/laburnummux/internal/retry"
	"github.com/laburnummux/laburnummux/internal/route"
	"github.com/laburnummux/laburnummux/pkg/answer"
)

// errHedged ends the slower of two attempts, whose answer nobody needs.
var errHedged = errors.New("entry.hedged: the other attempt was answered")

// hedgeable reports whether a second attempt may run beside the first: any
// server may answer a lookup without a key.
func (j *job) hedgeable() bool {
	return !j.svc.Keyed() && j.op.Idempotent() && j.send.Body.Whole()
}

type attemptEnd struct {
	res result
	end retry.Result
}

// hedged makes an attempt and, if it takes longer than most, a second one at
// another server. The first answer is delivered and cancels the other attempt.
// Both attempts have called out, if at all, before it returns or never do.
func (h *Host) hedged(ctx context.Context, svc *service, call *retry.Call, t route.Target, j job, out deliver) (result, retry.Result) {
	svc.mu.Lock()
	after, hedge := svc.retry.HedgeAfter(call)
	svc.mu.Unlock()
	if !hedge {
		res, end := h.timed(ctx, t, j, out)
		svc.learn(h, call, end)
		return res, end
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var won atomic.Bool
	ends := make(chan attemptEnd, 2)
	send := func(t route.Target, j job) {
		res, end := h.timed(ctx, t, j, func(r *proxy.Result) error {
			if won.Swap(true) {
				r.Close()
				return errHedged
			}
			return out(r)
		})
		ends <- attemptEnd{res, end}
	}
	go send(t, j)
	timer := time.NewTimer(max(after, clock.Millisecond).Std())
	defer timer.Stop()
	select {
	case e := <-ends:
		svc.learn(h, call, e.end)
		return e.res, e.end
	case <-timer.C:
	}
	second, ok := h.second(ctx, svc, call, t, j)
	if !ok {
		e := <-ends
		svc.learn(h, call, e.end)
		return e.res, e.end
	}
	j.cell, j.server, j.hash = second.Cell, second.Server, second.Hash
	go send(second, j)
	e := <-ends
	if e.lost() {
		first := e
		if e = <-ends; e.res.outcome == answer.NotRun && first.res.outcome == answer.Unknown {
			e = first // it may have run
		}
	}
	svc.learn(h, call, e.end)
	return e.res, e.end
}

// lost reports whether the other attempt may still be, or was, answered.
func (e attemptEnd) lost() bool {
	return e.res.outcome != answer.Answered || errors.Is(e.res.delivered, errHedged)
}

// second chooses another server and takes a token of the retry budget.
func (h *Host) second(ctx context.Context, svc *service, call *retry.Call, t route.Target, j job) (route.Target, bool) {
	h.mu.Lock()
	second, ok := h.router.Pick(h.clk.Now(), j.svc.Name(), h.cfg.DataCentre(), t.Server)
	h.mu.Unlock()
	if !ok || second.Server == t.Server || ctx.Err() != nil {
		return second, false
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return second, svc.retry.Hedge(h.clk.Now(), call)
}

// learn notes the latency of an answer for later hedges.
func (s *service) learn(h *Host, call *retry.Call, end retry.Result) {
	if _, ok := end.(retry.Complete); ok {
		s.mu.Lock()
		s.retry.Decide(h.clk.Now(), call, end)
		s.mu.Unlock()
	}
}
