package soak

import (
	"fmt"
	"sync"
	"time"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/platform/fakes"
)

//go:generate go tool stringer -type=Rule -output=rule_string.go

// Rule is a guarantee that the oracle checks.
type Rule int

// Rules. Each comment gives the violation.
const (
	OwnAnswer  Rule = iota // a caller got a response that is incomplete or belongs to another request
	RunsOnce               // a non-idempotent request ran more than once
	TrueNotRun             // a request was reported as not run although it ran
	OneOwner               // two servers held a lease for the same key
	Fences                 // a server got a key with a fencing token that isn't above those of earlier owners
	NoReturn               // a host went back to an older configuration
	KnownRoute             // a host returned 404 for a route that every configuration has
	InForce                // a host didn't apply a configuration in time
	Drained                // a server that drains or leaves got a new request
	Paused                 // a host sent requests to a server that had asked it for a pause
	NotLost                // a host without a fault closed a connection without a response
	StaysUp                // a host process ended without having been stopped
	Recovered              // a host didn't serve requests again after the faults
	Evacuated              // a server of an evacuated data centre got a request
)

// Violation is a violation of a rule.
type Violation struct {
	Rule Rule
	Text string
}

// drainTimeout is the time after which a draining server gets no new requests,
// including the delay that a busy machine may add.
const drainTimeout = 2500 * clock.Millisecond

// keyCount is the size of the platform's key space.
const keyCount = 1 << 16

// server is the oracle's record of one incarnation of a backend server.
type server struct {
	id     string
	dc     string
	leases []fakes.Lease
	// drainingSince is when the store got its registration as draining, or
	// zero.
	drainingSince time.Time
}

// keyOwner is the newest fencing token of a key and the server that has it.
type keyOwner struct {
	fence  uint64
	server string
}

// oracle checks what callers and backend servers observe against the rules.
type oracle struct {
	mu            sync.Mutex
	servers       map[*server]bool // running
	keys          [keyCount]keyOwner
	runs          map[string]int  // by attempt
	nonIdempotent map[string]bool // attempts that may run only once
	notRun        map[string]bool // attempts that were reported as not run
	violations    []Violation
	requests      int
	served        int
	notices       notices
	// evacuatedSince is when the data centre was evacuated, or zero.
	evacuatedSince time.Time
	longestGap     time.Duration            // longest time without a response from a running host
	lastResponse   map[string]time.Time     // by host
	faultFree      func(time.Duration) bool // reports whether there was no unplanned fault for this time
}

func newOracle(faultFree func(time.Duration) bool) *oracle {
	return &oracle{
		faultFree: faultFree,
		servers:   make(map[*server]bool), runs: make(map[string]int), nonIdempotent: make(map[string]bool),
		notRun: make(map[string]bool), notices: newNotices(), lastResponse: make(map[string]time.Time),
	}
}

// addViolation requires that o.mu is locked.
func (o *oracle) addViolation(rule Rule, format string, args ...any) {
	o.violations = append(o.violations, Violation{rule, fmt.Sprintf(format, args...)})
}

// serverStarted records a new incarnation of a backend server.
func (o *oracle) serverStarted(sv *server) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.servers[sv] = true
}

// serverStopped records that an incarnation has ended.
func (o *oracle) serverStopped(sv *server) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.servers, sv)
}

// observe processes an event of a backend server.
func (o *oracle) observe(sv *server, ev fakes.Event) {
	o.mu.Lock()
	defer o.mu.Unlock()
	switch ev := ev.(type) {
	case fakes.Granted:
		if o.servers[sv] { // a stopped server has no leases
			o.leaseGranted(sv, ev.Lease)
		}
	case fakes.Released:
		sv.leases = fakes.RemoveRange(sv.leases, ev.From, ev.To)
	case fakes.Started:
		o.runStarted(sv, ev)
	case fakes.Paused:
		o.requestPaused(sv, ev)
	}
}

func (o *oracle) leaseGranted(sv *server, lease fakes.Lease) {
	now := time.Now()
	for other := range o.servers {
		if other == sv {
			continue
		}
		for _, x := range other.leases {
			if x.From <= lease.To && x.To >= lease.From && now.Before(x.Until) {
				o.addViolation(OneOwner, "%s got keys %d-%d with fencing token %d while %s has a lease for %d-%d with token %d for another %v",
					sv.id, lease.From, lease.To, lease.Fence, other.id, x.From, x.To, x.Fence, x.Until.Sub(now))
			}
		}
	}
	for k := lease.From; k <= lease.To; k++ {
		if last := o.keys[k]; last.server != sv.id && last.fence >= lease.Fence {
			o.addViolation(Fences, "%s got key %d with fencing token %d after %s had it with token %d", sv.id, k, lease.Fence, last.server, last.fence)
			break
		}
	}
	for k := lease.From; k <= lease.To; k++ {
		if o.keys[k].fence <= lease.Fence {
			o.keys[k] = keyOwner{lease.Fence, sv.id}
		}
	}
	sv.leases = append(fakes.RemoveRange(sv.leases, lease.From, lease.To), lease)
}

func (o *oracle) runStarted(sv *server, ev fakes.Started) {
	o.runs[ev.AttemptID]++
	o.checkLeaving(sv, ev.AttemptID)
	o.checkEvacuated(sv, ev)
	switch {
	case o.nonIdempotent[ev.AttemptID] && o.runs[ev.AttemptID] > 1:
		o.addViolation(RunsOnce, "%s is non-idempotent and ran again on %s", ev.AttemptID, sv.id)
	case o.notRun[ev.AttemptID]:
		o.addViolation(TrueNotRun, "%s was reported as not run and then started on %s", ev.AttemptID, sv.id)
	}
	if d := time.Since(sv.drainingSince); !sv.drainingSince.IsZero() && d > drainTimeout.Std() && o.faultFree(d+faultFreeTime.Std()) {
		o.addViolation(Drained, "%s started on %s %v after the server began to drain", ev.AttemptID, sv.id, d)
	}
}

// serverDraining records that the store lists a server as draining.
func (o *oracle) serverDraining(sv *server) {
	o.mu.Lock()
	defer o.mu.Unlock()
	sv.drainingSince = time.Now()
}

// connectionLost checks a connection that was closed without a response while
// there was no fault.
func (o *oracle) connectionLost(host, attempt string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.runs[attempt] > 0 {
		o.addViolation(NotLost, "%s ran and %s closed the connection without a response: %v", attempt, host, err)
	}
}

// requestSent records a request before it is sent.
func (o *oracle) requestSent(attempt string, nonIdempotent bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.requests++
	if nonIdempotent {
		o.nonIdempotent[attempt] = true
	}
}

// responseReceived checks the response to a request and reports whether the
// request was served.
func (o *oracle) responseReceived(host, attempt string, nonIdempotent bool, a fakes.Response) (served bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if a.Leaving && a.Err == nil {
		o.notices.serverLeaves(host, attempt)
	}
	switch {
	case a.NotRun() && nonIdempotent:
		o.notRun[attempt] = true
		if o.runs[attempt] > 0 {
			o.addViolation(TrueNotRun, "%s got status %d (not run) from %s after it had run", attempt, a.Status, host)
		}
	case a.Err == nil && a.Status < 300:
		if a.SignedBy(attempt) == "" || o.runs[attempt] == 0 {
			o.addViolation(OwnAnswer, "%s got response body %q from %s; the request ran %d times", attempt, a.Body, host, o.runs[attempt])
			return false
		}
		o.served++
		now := time.Now()
		if last, ok := o.lastResponse[host]; ok {
			o.longestGap = max(o.longestGap, now.Sub(last))
		}
		o.lastResponse[host] = now
		return true
	}
	return false
}

// hostExited discards the time of the last response of a host whose process
// has ended: the time until the next process starts doesn't count as a gap of
// the router.
func (o *oracle) hostExited(host string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.lastResponse, host)
	o.notices.forget(host)
}

func (o *oracle) report(rule Rule, format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.addViolation(rule, format, args...)
}
