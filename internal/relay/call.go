package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnummux/laburnummux/internal/caller"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/intent"
	"github.com/laburnummux/laburnummux/internal/link"
	"github.com/laburnummux/laburnummux/internal/place"
	"github.com/laburnummux/laburnummux/internal/retry"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// exclusiveRetryDelay is the delay before a request that the quarantine didn't
// admit to a server is placed again: a suspect has to run alone, and other
// requests must not run beside it.
const exclusiveRetryDelay = 20 * time.Millisecond

//go:generate go tool stringer -type=stage -linecomment -output=stage_string.go

// stage is how far a request has got.
type stage int

// Stages of a request.
const (
	stageUnread stage = iota // unread
	stageQueued              // queued
	stageSent                // sent
)

// quarantineRetryAfter is the delay after which the caller of a quarantined
// request may retry.
const quarantineRetryAfter = 5 * clock.Second

// call is one request of a caller, from its arrival to its final response.
type call struct {
	relay          *Relay
	req            *caller.Request
	meta           Meta
	cfg            *intent.Config
	route          *intent.Route
	service        keys.Service
	started        clock.Time
	callerDeadline clock.Time // the caller gives up
	deadline       clock.Time // the final response is due

	sends      int           // number of times that it was sent to a server
	tried      []keys.Server // servers that it was sent to, in order
	mayHaveRun bool          // a server may have run it
	queueTime  clock.Span    // time spent queued for a server
	openedConn bool          // a connection was opened for it
	leftAt     stage         // when its caller disconnected
	lastErr    error
	// admissionDone ends its admission to the server that it is placed on, or is nil.
	admissionDone func(place.Result)
}

// run places and sends the request until there is a final response.
func (c *call) run(ctx context.Context) caller.Response {
	ctx, cancel := context.WithTimeout(ctx, c.deadline.Sub(c.relay.cfg.Clock.Now()).Std())
	defer cancel()
	sig := c.signature()
	for {
		act := c.awaitPlacement(ctx)
		if act == nil {
			return c.expire(ctx)
		}
		if ref, ok := act.(place.Refuse); ok {
			return c.refuseByPlacement(ref)
		}
		start := act.(place.Start)
		sv := start.Server
		if c.needsAdmission(start) {
			if resp, send, final := c.admit(ctx, sv); final {
				return resp
			} else if !send {
				continue
			}
		}
		c.relay.mu.Lock()
		adm := c.relay.quarantine.Start(c.relay.cfg.Clock.Now(), sv.ID, sig)
		c.relay.mu.Unlock()
		if !adm.Run {
			c.reportResult(sv, place.Result{Cancelled: true})
			if !adm.Wait {
				return c.refuseUnlessRun(reasonQuarantined, quarantineRetryAfter)
			}
			select {
			case <-ctx.Done():
				return c.expire(ctx)
			case <-time.After(exclusiveRetryDelay):
			}
			continue
		}
		resp, final := c.send(ctx, sv, adm.Ticket)
		if final {
			return resp
		}
	}
}

// signature identifies the request if a caller sends it again with another ID.
func (c *call) signature() retry.Signature {
	return retry.Signature{Op: c.req.Method + " " + c.req.Host, Key: keys.Hash(xxhash.Sum64String(c.req.Target)), Body: c.req.Body.Sum64()}
}

// awaitPlacement submits the request for placement and waits for the decision. It
// returns nil if ctx ends first.
func (c *call) awaitPlacement(ctx context.Context) place.Action {
	r := c.relay
	ch := make(chan place.Action, 1)
	r.mu.Lock()
	now := r.cfg.Clock.Now()
	r.lastID++
	id := r.lastID
	r.pending[id] = ch
	svc, _ := c.cfg.Service(c.service)
	if svc.Keyed && c.meta.HasKey && c.sends == 0 && c.queueTime == 0 {
		r.recordKeyLoad(c)
	}
	r.deliver(r.placement.Submit(now, place.Request{
		ID: id, Service: c.service, Keyed: svc.Keyed && c.meta.HasKey, Key: c.meta.Key, Priority: c.route.Priority,
		Objective: c.started.Add(c.route.Objective), Deadline: c.deadline, Arrived: c.started, Tried: c.tried,
		RouteMean: r.routeMean(c.route.Name),
	}))
	r.mu.Unlock()
	defer func() { c.queueTime += r.cfg.Clock.Now().Sub(now) }()
	select {
	case act := <-ch:
		r.notifyLoadChanged()
		return act
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.placement.Cancel(c.service, id) {
		delete(r.pending, id)
		return nil
	}
	if st, ok := (<-ch).(place.Start); ok {
		r.deliver(r.placement.Done(r.cfg.Clock.Now(), st.Server.ID, place.Result{Cancelled: true}))
	}
	return nil
}

// notifyLoadChanged calls Config.LoadChanged.
func (r *Relay) notifyLoadChanged() {
	if r.cfg.LoadChanged != nil {
		r.cfg.LoadChanged()
	}
}

// reportResult reports the result of the request at a server to placement.
func (c *call) reportResult(sv fleet.Server, res place.Result) {
	c.endAdmission(sv.ID, res)
	c.relay.mu.Lock()
	c.relay.deliver(c.relay.placement.Done(c.relay.cfg.Clock.Now(), sv.ID, res))
	c.relay.mu.Unlock()
	c.relay.notifyLoadChanged()
}

// send sends the request to a server. final is false if the request has to be
// placed again.
func (c *call) send(ctx context.Context, sv fleet.Server, ticket retry.Ticket) (resp caller.Response, final bool) {
	r := c.relay
	now := r.cfg.Clock.Now()
	remaining := c.deadline.Sub(now)
	r.mu.Lock()
	p := r.pools[sv.ID]
	r.mu.Unlock()
	if p == nil || remaining < minSendTime {
		c.endAttempt(now, ticket, false)
		c.reportResult(sv, place.Result{Cancelled: true})
		if remaining < minSendTime {
			return c.expire(ctx), true
		}
		return resp, false // the server was removed after the placement
	}
	h := endToEnd(c.req.Header)
	r.cfg.Codec.Forward(h, remaining, sv.ID)
	began := time.Now()
	res := p.Do(ctx, link.Request{
		Method: c.req.Method, Target: c.req.Target, Host: c.req.Host, Header: h, Body: c.req.Body, HasContentLength: c.req.HasContentLength,
		ID: c.meta.ID, Matches: func(status int, h http.Header) bool { return r.cfg.Codec.Reply(status, h).ID == c.meta.ID },
		Confusable: func(status int, h http.Header) bool { return r.cfg.Codec.Reply(status, h).NotRun },
		Abandoned:  c.req.Left,
		KeepHold:   true,
	})
	end := r.cfg.Clock.Now()
	took := clock.Span((time.Since(began) - res.Waited).Milliseconds())
	r.cfg.Metrics.observeSend(c.service, res)
	if res.Sent {
		c.sends++
		c.tried = append(c.tried, sv.ID)
	}
	result := c.classify(ctx, res)
	if result.outcome == connLost && res.Sent {
		check := &crashCheck{relay: r, server: sv, pool: p, ticket: ticket, lostAt: end}
		go check.run()
	} else {
		if result.outcome == dialFailed {
			r.recordDialFailure(end, sv, ticket, res.Err)
		}
		c.endAttempt(end, ticket, result.outcome == answered)
	}
	r.mu.Lock()
	result.placement.Duration = took
	if result.outcome == answered && !result.placement.Failed {
		result.placement.RouteMean = r.recordServiceTime(c, sv.ID, took, result.reply.Slowdown)
	}
	r.mu.Unlock()
	c.reportResult(sv, result.placement)
	resp, final = c.nextStep(ctx, sv, res, result)
	if resp.Hold == nil {
		res.Hold.Close() // the response isn't passed on
	}
	return resp, final
}

// endAttempt reports the end of an attempt without a crash to the quarantine.
func (c *call) endAttempt(now clock.Time, ticket retry.Ticket, completed bool) {
	c.relay.mu.Lock()
	defer c.relay.mu.Unlock()
	c.relay.quarantine.End(now, ticket, completed)
}

// nextStep returns the final response, or final = false if the request is to be
// sent again.
func (c *call) nextStep(ctx context.Context, sv fleet.Server, res link.Result, result sendResult) (resp caller.Response, final bool) {
	c.lastErr = result.err
	c.openedConn = c.openedConn || res.NewConn
	idempotent := c.route.Repeat == intent.Idempotent
	switch result.outcome {
	case cancelled:
		c.mayHaveRun = c.mayHaveRun || res.Sent
		if ctx.Err() == nil {
			return c.endAbandoned(), true
		}
		return c.expire(ctx), true
	case dialFailed:
		return resp, false
	case answered:
		if !result.placement.Failed || !idempotent || c.pause(result.reply) > 0 || !c.takeRetry() {
			return c.finish(caller.Response{Status: res.Status, Header: endToEnd(res.Header), Body: res.Body, Hold: res.Hold}, reasonAnswered), true
		}
		c.mayHaveRun = true
		return resp, false
	case notRun:
		if c.takeRetry() {
			return resp, false
		}
		if c.mayHaveRun {
			return c.finish(caller.Response{Status: http.StatusBadGateway}, reasonRejected), true
		}
		return c.refuse(reasonRejected, max(c.pause(result.reply), c.timeToServe(sv, result.reply))), true
	}
	c.mayHaveRun = true
	if idempotent && c.takeRetry() {
		return resp, false
	}
	return c.finish(caller.Response{Status: http.StatusBadGateway}, reasonAnswerLost), true
}

// pause returns how long the owner of the request's key wants no requests. Without
// a key another server may run the request at once.
func (c *call) pause(reply Reply) clock.Span {
	if svc, _ := c.cfg.Service(c.service); svc.Keyed && c.meta.HasKey {
		return reply.Pause
	}
	return 0
}

// maxTimeToServe bounds what a server's report of its load may have callers wait.
const maxTimeToServe = 2 * clock.Second

// timeToServe estimates when the owner of the request's key, which is full, will
// have served what it has, or 0 if it hasn't told its load.
func (c *call) timeToServe(sv fleet.Server, reply Reply) clock.Span {
	if svc, _ := c.cfg.Service(c.service); !svc.Keyed || !c.meta.HasKey || !reply.HasLoad {
		return 0
	}
	c.relay.mu.Lock()
	defer c.relay.mu.Unlock()
	return min(c.relay.routeMean(c.route.Name)*clock.Span(reply.Load)/clock.Span(max(sv.Slots, 1)), maxTimeToServe)
}

// takeRetry takes a retry from the budget, and reports whether the request may be
// sent once more.
func (c *call) takeRetry() bool {
	if c.sends >= c.route.Attempts {
		return false
	}
	c.relay.mu.Lock()
	defer c.relay.mu.Unlock()
	return c.relay.retryBudget.AllowRetry(c.relay.cfg.Clock.Now(), c.service, c.relay.hostCount)
}

// expire ends a request whose deadline has passed or whose caller has
// disconnected.
func (c *call) expire(ctx context.Context) caller.Response {
	if errors.Is(ctx.Err(), context.Canceled) {
		return c.endAbandoned()
	}
	if c.mayHaveRun {
		return c.finish(caller.Response{Status: http.StatusGatewayTimeout}, reasonTimeout)
	}
	return c.refuse(reasonTimeout, 0)
}

// endAbandoned ends a request whose caller has disconnected.
func (c *call) endAbandoned() caller.Response {
	if c.sends > 0 {
		c.leftAt = stageSent
	}
	c.relay.cfg.Metrics.observeCallerLeft(c.service, c.leftAt)
	return c.finish(caller.Response{Abort: true}, reasonCallerGone)
}

// refuseByPlacement ends a request that placement has refused.
func (c *call) refuseByPlacement(ref place.Refuse) caller.Response {
	return c.refuseUnlessRun(ref.Why.String(), ref.RetryAfter)
}

// refuse responds that the request has not run and never will.
func (c *call) refuse(why string, retryAfter clock.Span) caller.Response {
	h := make(http.Header)
	if retryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(float64(retryAfter)/float64(clock.Second), 'f', 3, 64))
	}
	return c.finish(caller.Response{Status: http.StatusServiceUnavailable, Header: h}, why)
}
