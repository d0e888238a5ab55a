package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/platform/fakes"
)

const (
	// callersPerHost keeps a few requests in flight at each host.
	callersPerHost = 6
	// thinkTime is the mean time between two requests of a caller.
	thinkTime = 40 * clock.Millisecond
	// requestDeadline is the deadline that callers set for a request.
	requestDeadline = 1500 * clock.Millisecond
	// applyTimeout is the longest time until an accepted configuration is in
	// force, including the delay that a busy machine may add.
	applyTimeout = 2500 * clock.Millisecond
	// faultFreeTime is the time without a fault after which time limits apply
	// again.
	faultFreeTime = 3 * clock.Second
)

// caller sends requests to one host, one after the other, over connections that
// it keeps as long as they last.
type caller struct {
	deployment *deployment
	host       *host
	rand       *rand.Rand
	name       string
	sent       int // requests
}

// requestKind is a kind of request that callers send.
type requestKind struct {
	route         string
	nonIdempotent bool
	keyed         bool
	version       int // of the configuration that adds the route; 0 if all have it
}

var requestKinds = []requestKind{
	{route: "browse"}, {route: "book", nonIdempotent: true}, {route: "history", keyed: true}, {route: "bond", nonIdempotent: true, keyed: true},
}

func (c *caller) loop(ctx context.Context) {
	conn := fakes.NewCaller(fmt.Sprintf("%s:%d", c.host.ip, fakes.CallerPort))
	defer conn.Close()
	for ctx.Err() == nil {
		c.send(ctx, conn, c.randomKind())
		pause := time.Duration(c.rand.ExpFloat64() * float64(thinkTime.Std()))
		if !sleepUntil(ctx, time.Now().Add(pause)) {
			return
		}
	}
}

// randomKind returns the kind of the next request; one in five requests uses a
// route that a later configuration has added.
func (c *caller) randomKind() requestKind {
	newest := c.deployment.newestVersion()
	if newest == firstVersion || c.rand.IntN(5) > 0 {
		return requestKinds[c.rand.IntN(len(requestKinds))]
	}
	v := firstVersion + 1 + c.rand.IntN(newest-firstVersion)
	return requestKind{route: versionRoute(v), version: v}
}

// send sends a request and passes the response to the oracle.
func (c *caller) send(ctx context.Context, conn *fakes.Caller, q requestKind) (served bool) {
	c.sent++
	attempt := fmt.Sprintf("%s-%d", c.name, c.sent)
	method, key := http.MethodGet, -1
	if q.nonIdempotent {
		method = http.MethodPost
	}
	if q.keyed {
		key = c.rand.IntN(keyCount)
	}
	incarnation, applied := c.host.current()
	due := q.version == 0 || c.deployment.configAge(q.version) > applyTimeout.Std()
	faultFree := c.host.faultFree(faultFreeTime.Std()) && c.deployment.faultFree(faultFreeTime.Std())
	c.deployment.oracle.requestSent(attempt, q.nonIdempotent)
	c.deployment.oracle.requestSentVia(c.host.name, attempt)
	a := conn.Send(ctx, fakes.Request{
		Host: fakes.HostName, Method: method, Path: "/" + q.route + "/x", AttemptID: attempt, Key: key, Deadline: requestDeadline.Std(),
	})
	if ctx.Err() != nil {
		return false
	}
	served = c.deployment.oracle.responseReceived(c.host.name, attempt, q.nonIdempotent, a)
	switch {
	case served && q.version > 0:
		c.host.setApplied(incarnation, q.version)
	case a.Err == nil && a.Status == http.StatusNotFound && a.Signer == "":
		c.checkNotFound(q, incarnation, applied, due && faultFree && c.deployment.faultFree(faultFreeTime.Std()))
	case a.Err != nil && !errors.Is(a.Err, context.DeadlineExceeded) && faultFree && c.deployment.faultFree(faultFreeTime.Std()):
		c.deployment.oracle.connectionLost(c.host.name, attempt, a.Err)
	}
	return served
}

// checkNotFound checks a 404 response. due means that the route must be in
// force by now.
func (c *caller) checkNotFound(q requestKind, incarnation, applied int, due bool) {
	now, _ := c.host.current()
	switch {
	case q.version == 0:
		c.deployment.oracle.report(KnownRoute, "%s returned 404 for route %s, which every configuration has", c.host.name, q.route)
	case q.version <= applied && now == incarnation:
		c.deployment.oracle.report(NoReturn, "%s applied configuration %d and later returned 404 for route %s", c.host.name, applied, q.route)
	case due && now == incarnation:
		c.deployment.oracle.report(InForce, "%s returned 404 for route %s %v after its configuration was written", c.host.name, q.route, c.deployment.configAge(q.version))
	}
}
