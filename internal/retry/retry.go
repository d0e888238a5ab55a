// Package retry decides what happens after an attempt of a request: whether
// it is retried or hedged, what its caller learns, and which requests are
// quarantined because they crash backend servers.
//
// State and Quarantine have no clock, no I/O and no lock. A State belongs to
// one service; a Quarantine to one dispatcher.
//
// # Usage
//
//	c := s.Call(now, retry.Op{Idempotent: true}, deadline)
//	for {
//		result := attempt()
//		d := s.Decide(now, &c, result)
//		if !d.Retry {
//			return d.Outcome, d.Reason
//		}
//		wait(d.After)
//	}
//
// # Rules
//
//   - An operation is retried if all its attempts surely did not run. An
//     idempotent operation is also retried after other failures.
//   - Retries and hedges take a token from the budget of the service: each
//     request adds a share of a token, and a small rate is added in any case.
//   - Once an attempt may have run, a request is never "not run".
package retry

import (
	"math/rand/v2"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/answer"
)

// Defaults of Config.
const (
	DefaultShare     = 0.1
	DefaultBurst     = 10
	DefaultPerSecond = 1
	DefaultAttempts  = 4
	DefaultBase      = 5 * clock.Millisecond
	DefaultMax       = 200 * clock.Millisecond
)

// Config of a service's retries.
type Config struct {
	Share     float64    // tokens that a request adds to the budget
	PerSecond float64    // tokens added per second
	Burst     float64    // most tokens kept
	Attempts  int        // attempts of one request, hedges included
	Base      clock.Span // upper bound of the first delay; doubles with each retry
	Max       clock.Span // upper bound of any delay
	Seed      uint64     // of the jitter
	// Redirects is how many times a request may follow a 421 without a token
	// and without delay. Such an attempt has reached no server.
	Redirects int
}

// Op describes an operation.
type Op struct{ Idempotent bool }

// Call is one request with its attempts.
type Call struct {
	op        Op
	deadline  clock.Time // 0 means none
	started   clock.Time // of the last attempt
	attempts  int        // ended or running
	open      int        // attempts without a result
	redirects int
	hedged    bool
	done      bool          // an attempt was complete
	mayRun    bool          // an attempt may have run
	why       answer.Reason // of the first attempt that may have run
}

// Decision after an attempt.
type Decision struct {
	Retry   bool
	After   clock.Span // delay before the retry
	Pending bool       // the other attempt of a hedged request still runs
	Outcome answer.Outcome
	Reason  answer.Reason
}

// State has the retry budget and the latencies of a service.
type State struct {
	cfg    Config
	rng    *rand.Rand
	tokens float64
	filled clock.Time // when PerSecond was last added
	took   latencies
	counts Counts
}

// Counts of what happened since New.
type Counts struct {
	Calls, Retries, Redirects, Hedges, OverBudget uint64
}

// New returns a State with a full budget.
func New(cfg Config) *State {
	cfg.Burst = max(cfg.Burst, 1)
	cfg.Attempts = max(cfg.Attempts, 1)
	cfg.Base = max(cfg.Base, 1)
	cfg.Max = max(cfg.Max, cfg.Base)
	return &State{cfg: cfg, tokens: cfg.Burst, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))}
}

// Defaults returns the default Config with the given seed.
func Defaults(seed uint64) Config {
	return Config{
		Share: DefaultShare, PerSecond: DefaultPerSecond, Burst: DefaultBurst,
		Attempts: DefaultAttempts, Base: DefaultBase, Max: DefaultMax, Seed: seed,
	}
}

// Call starts a request with its first attempt. A deadline of 0 means none.
func (s *State) Call(now clock.Time, op Op, deadline clock.Time) Call {
	s.fill(now)
	s.tokens = min(s.tokens+s.cfg.Share, s.cfg.Burst)
	s.counts.Calls++
	return Call{op: op, deadline: deadline, started: now, attempts: 1, open: 1}
}

// Decide takes the result of an attempt. If it returns Retry, the next
// attempt begins after the delay.
func (s *State) Decide(now clock.Time, c *Call, r Result) (d Decision) {
	if c.done || c.open == 0 {
		return c.decided()
	}
	c.open--
	d.Outcome, d.Reason = Outcome(r)
	if done, ok := r.(Complete); ok {
		s.took.add(done.Took)
		c.done = true
		return d
	}
	if d.Outcome == answer.Unknown && !c.mayRun {
		c.mayRun, c.why = true, d.Reason
	}
	if c.mayRun {
		d.Outcome, d.Reason = answer.Unknown, c.why
	}
	if c.open > 0 {
		d.Pending = true
		return d
	}
	if !c.retriable() || c.attempts >= s.cfg.Attempts {
		return d
	}
	_, redirect := r.(WrongDispatcher)
	if redirect = redirect && c.redirects < s.cfg.Redirects; !redirect {
		d.After = s.delay(c.attempts)
	}
	if c.deadline != 0 && !now.Add(d.After).Before(c.deadline) {
		return d
	}
	if redirect {
		c.redirects++
		s.counts.Redirects++
	} else if !s.spend(now) {
		return d
	} else {
		s.counts.Retries++
	}
	d.Retry = true
	c.attempts++
	c.open++
	c.started = now.Add(d.After)
	return d
}

// decided is the answer to a result that changes nothing: of the slower
// attempt of a hedged request, or one too many.
func (c *Call) decided() Decision {
	if c.done {
		return Decision{Outcome: answer.Answered}
	}
	return Decision{Outcome: answer.Unknown, Reason: c.why}
}

func (c *Call) retriable() bool { return c.op.Idempotent || !c.mayRun }

// delay returns a random delay whose upper bound doubles with each attempt.
// The lower bound of half of it keeps retries from following at once.
func (s *State) delay(attempts int) clock.Span {
	top := s.cfg.Base << min(attempts-1, 20)
	if top <= 0 || top > s.cfg.Max {
		top = s.cfg.Max
	}
	return top - clock.Span(s.rng.Int64N(int64(top)/2+1))
}

// fill adds the constant part of the budget.
func (s *State) fill(now clock.Time) {
	if d := now.Sub(s.filled); d > 0 {
		s.tokens = min(s.tokens+s.cfg.PerSecond*float64(d)/float64(clock.Second), s.cfg.Burst)
		s.filled = now
	}
}

func (s *State) spend(now clock.Time) bool {
	s.fill(now)
	if s.tokens < 1 {
		s.counts.OverBudget++
		return false
	}
	s.tokens--
	return true
}

// HedgeAfter returns after which time without an answer the request may be
// hedged: the 95th percentile of the service's latency. It returns false for
// operations that aren't idempotent and while there are too few measurements.
func (s *State) HedgeAfter(c *Call) (clock.Span, bool) {
	if !c.op.Idempotent || c.hedged || c.done || c.open != 1 || c.attempts >= s.cfg.Attempts {
		return 0, false
	}
	return s.took.p95()
}

// Hedge reports whether a second attempt begins now, beside the running one,
// and takes a token for it. Each of the two attempts ends with Decide.
func (s *State) Hedge(now clock.Time, c *Call) bool {
	after, ok := s.HedgeAfter(c)
	if !ok || now.Sub(c.started) < after || c.deadline != 0 && !now.Before(c.deadline) || !s.spend(now) {
		return false
	}
	c.hedged = true
	c.attempts++
	c.open++
	s.counts.Hedges++
	return true
}

// Counts returns what happened since New.
func (s *State) Counts() Counts { return s.counts }

// Dump is the state in a form for JSON.
type Dump struct {
	Tokens float64    `json:"tokens"`
	P95    clock.Span `json:"p95Ms"` // 0 if there are too few measurements
	Counts Counts     `json:"counts"`
}

// Dump returns the state for an operator.
func (s *State) Dump() Dump {
	p, _ := s.took.p95()
	return Dump{Tokens: s.tokens, P95: p, Counts: s.counts}
}
