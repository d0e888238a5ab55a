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

// errHedged is the delivery error of the slower of two attempts, whose response
// is not needed.
var errHedged = errors.New("entry: the other of two hedged attempts was answered first")

// hedgeable reports whether a second attempt may run concurrently at another
// server. This is so for idempotent requests without a key, which any server can
// process.
func (cl *call) hedgeable() bool {
	return !cl.svc.Keyed() && cl.operation.Idempotent() && cl.request.Body.Buffered()
}

type attemptOutcome struct {
	res result
	end retry.Result
}

// hedgedAttempt makes an attempt and, if it takes longer than most, a second one
// at another server. The first response is delivered and cancels the other
// attempt. deliver is not called after hedgedAttempt has returned.
func (h *Host) hedgedAttempt(ctx context.Context, svc *service, rc *retry.Call, t route.Target, cl call, deliver deliverFunc) (result, retry.Result) {
	svc.mu.Lock()
	after, hedge := svc.retry.HedgeAfter(rc)
	svc.mu.Unlock()
	if !hedge {
		res, end := h.timedAttempt(ctx, t, cl, deliver)
		svc.recordLatency(h, rc, end)
		return res, end
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // cancels the second attempt
	fctx, cancelFirst := context.WithCancel(ctx)
	defer cancelFirst()
	var answered atomic.Bool
	claim := func(cancelOther func()) deliverFunc {
		return func(r *proxy.Result) error {
			if answered.Swap(true) {
				r.Close()
				return errHedged
			}
			cancelOther()
			return deliver(r)
		}
	}
	second := make(chan attemptOutcome, 1)
	timer := time.AfterFunc(max(after, clock.Millisecond).Std(), func() {
		second <- h.sendHedge(ctx, svc, rc, t, cl, claim(cancelFirst))
	})
	res, end := h.timedAttempt(fctx, t, cl, claim(func() {}))
	first := attemptOutcome{res, end}
	e := first
	if !timer.Stop() && first.unanswered() {
		// If there was no second attempt, or it certainly did not run, the result
		// is that of the first.
		if e = <-second; e.end == nil || e.res.outcome == answer.NotRun {
			e = first
		}
	}
	svc.recordLatency(h, rc, e.end)
	return e.res, e.end
}

// sendHedge makes the second attempt, if another server and a token of the retry
// budget are available.
func (h *Host) sendHedge(ctx context.Context, svc *service, rc *retry.Call, t route.Target, cl call, deliver deliverFunc) (e attemptOutcome) {
	other, ok := h.hedgeTarget(ctx, svc, rc, t, cl)
	if !ok {
		return e
	}
	cl.cell, cl.server, cl.hash = other.Cell, other.Server, other.Hash
	e.res, e.end = h.timedAttempt(ctx, other, cl, deliver)
	return e
}

// unanswered reports whether this attempt delivered no response, so that the
// result depends on the other attempt.
func (e attemptOutcome) unanswered() bool {
	return e.res.outcome != answer.Answered || errors.Is(e.res.deliverErr, errHedged)
}

// hedgeTarget chooses another server and takes a token of the retry budget.
func (h *Host) hedgeTarget(ctx context.Context, svc *service, rc *retry.Call, t route.Target, cl call) (route.Target, bool) {
	h.mu.Lock()
	target, ok := h.router.Pick(h.clk.Now(), cl.svc.Name(), h.settings.DataCentre(), t.Server)
	h.mu.Unlock()
	if !ok || target.Server == t.Server || ctx.Err() != nil {
		return target, false
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	return target, svc.retry.Hedge(h.clk.Now(), rc)
}

// recordLatency records the latency of a complete response, which sets the delay
// of later hedges.
func (s *service) recordLatency(h *Host, rc *retry.Call, end retry.Result) {
	if _, ok := end.(retry.Complete); ok {
		s.mu.Lock()
		s.retry.Decide(h.clk.Now(), rc, end)
		s.mu.Unlock()
	}
}
