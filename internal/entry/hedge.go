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
	defer cancel() // ends the second attempt
	fctx, cancelFirst := context.WithCancel(ctx)
	defer cancelFirst()
	var won atomic.Bool
	claim := func(cancelOther func()) deliver {
		return func(r *proxy.Result) error {
			if won.Swap(true) {
				r.Close()
				return errHedged
			}
			cancelOther()
			return out(r)
		}
	}
	second := make(chan attemptEnd, 1)
	timer := time.AfterFunc(max(after, clock.Millisecond).Std(), func() {
		second <- h.hedge(ctx, svc, call, t, j, claim(cancelFirst))
	})
	res, end := h.timed(fctx, t, j, claim(func() {}))
	first := attemptEnd{res, end}
	e := first
	if !timer.Stop() && first.lost() {
		// Without a second attempt, or if it was surely not run, the first counts.
		if e = <-second; e.end == nil || e.res.outcome == answer.NotRun {
			e = first
		}
	}
	svc.learn(h, call, e.end)
	return e.res, e.end
}

// hedge makes the second attempt, if a server and a token are left for it.
func (h *Host) hedge(ctx context.Context, svc *service, call *retry.Call, t route.Target, j job, out deliver) (e attemptEnd) {
	other, ok := h.second(ctx, svc, call, t, j)
	if !ok {
		return e
	}
	j.cell, j.server, j.hash = other.Cell, other.Server, other.Hash
	e.res, e.end = h.timed(ctx, other, j, out)
	return e
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
