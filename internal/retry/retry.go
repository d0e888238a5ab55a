// Package retry decides what happens after an attempt of a request: whether
// it is retried or hedged, which outcome its caller gets, and which requests are
// quarantined because they crash backend servers.
//
// State and Quarantine have no clock, no I/O and no lock. There is one State for
// each service, and one Quarantine for each dispatcher.
//
// # Usage
//
//	s := retry.New(retry.Defaults(seed))
//	c := s.Call(now, retry.Op{Idempotent: true}, deadline)
//	for {
//		result := attempt()
//		d := s.Decide(now, &c, result)
//		if !d.Retry {
//			return d.Outcome, d.Reason
//		}
//		wait(d.Delay)
//	}
//
// # Rules
//
//   - A request is retried if it is certain that none of its attempts ran. An
//     idempotent request is also retried after other failures.
//   - Retries and hedges take a token from the retry budget of the service: each
//     request adds a fraction of a token, and a small rate is always added.
//     Package entry uses this token bucket, which is local to the host; relay
//     uses the budget of package quota, which bounds the retries of all hosts in
//     a window.
//   - Once an attempt may have run, the outcome is never "not run".
package retry

import (
	"math/rand/v2"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/answer"
)

// Defaults of Config.
const (
	DefaultTokensPerRequest = 0.1
	DefaultMaxTokens        = 10
	DefaultTokensPerSecond  = 1
	DefaultMaxAttempts      = 4
	DefaultBaseBackoff      = 5 * clock.Millisecond
	DefaultMaxBackoff       = 200 * clock.Millisecond
)

// Config configures the retries of a service.
type Config struct {
	TokensPerRequest float64    // tokens that each request adds to the budget
	TokensPerSecond  float64    // tokens added per second
	MaxTokens        float64    // capacity of the budget
	MaxAttempts      int        // per request, hedges included
	BaseBackoff      clock.Span // upper bound of the first backoff; doubles with each retry
	MaxBackoff       clock.Span // upper bound of any backoff
	Seed             uint64     // of the jitter
	// MaxRedirects is how many times a request may be retried after a 421 without
	// a token and without backoff. Such an attempt has reached no server.
	MaxRedirects int
}

// Op has the properties of an operation that decide about retries.
type Op struct{ Idempotent bool }

// Call is one request of a caller with all its attempts.
type Call struct {
	op           Op
	deadline     clock.Time // 0 means none
	attemptStart clock.Time // of the latest attempt
	attempts     int        // started, whether ended or still running
	running      int        // attempts without a result
	redirects    int
	hedged       bool
	completed    bool          // an attempt got a complete response
	mayHaveRun   bool          // an attempt may have run
	reason       answer.Reason // of the first attempt that may have run
}

// Decision is the decision after an attempt.
type Decision struct {
	Retry   bool
	Delay   clock.Span // delay before the retry
	Pending bool       // the other attempt of a hedged request is still running
	Outcome answer.Outcome
	Reason  answer.Reason
}

// State has the retry budget and the latency histogram of a service.
type State struct {
	cfg       Config
	rng       *rand.Rand
	tokens    float64
	refilled  clock.Time // when TokensPerSecond was last added
	latencies histogram
	counts    Counts
}

// Counts has the totals since New.
type Counts struct {
	Calls, Retries, Redirects, Hedges, OverBudget uint64
}

// New returns a State with a full budget.
func New(cfg Config) *State {
	cfg.MaxTokens = max(cfg.MaxTokens, 1)
	cfg.MaxAttempts = max(cfg.MaxAttempts, 1)
	cfg.BaseBackoff = max(cfg.BaseBackoff, 1)
	cfg.MaxBackoff = max(cfg.MaxBackoff, cfg.BaseBackoff)
	return &State{cfg: cfg, tokens: cfg.MaxTokens, rng: rand.New(rand.NewPCG(cfg.Seed, cfg.Seed))}
}

// Defaults returns the default Config with the given seed.
func Defaults(seed uint64) Config {
	return Config{
		TokensPerRequest: DefaultTokensPerRequest, TokensPerSecond: DefaultTokensPerSecond, MaxTokens: DefaultMaxTokens,
		MaxAttempts: DefaultMaxAttempts, BaseBackoff: DefaultBaseBackoff, MaxBackoff: DefaultMaxBackoff, Seed: seed,
	}
}

// Call starts a request with its first attempt, and adds the request's share to
// the budget. A deadline of 0 means none.
func (s *State) Call(now clock.Time, op Op, deadline clock.Time) Call {
	s.refill(now)
	s.tokens = min(s.tokens+s.cfg.TokensPerRequest, s.cfg.MaxTokens)
	s.counts.Calls++
	return Call{op: op, deadline: deadline, attemptStart: now, attempts: 1, running: 1}
}

// Decide records the result of an attempt. If it returns Retry, the next attempt
// must start after the delay.
func (s *State) Decide(now clock.Time, c *Call, r Result) (d Decision) {
	if c.completed || c.running == 0 {
		return c.finalDecision()
	}
	c.running--
	d.Outcome, d.Reason = Outcome(r)
	if done, ok := r.(Complete); ok {
		s.latencies.add(done.Duration)
		c.completed = true
		return d
	}
	if d.Outcome == answer.Unknown && !c.mayHaveRun {
		c.mayHaveRun, c.reason = true, d.Reason
	}
	if c.mayHaveRun {
		d.Outcome, d.Reason = answer.Unknown, c.reason
	}
	if c.running > 0 {
		d.Pending = true
		return d
	}
	if !c.retriable() || c.attempts >= s.cfg.MaxAttempts {
		return d
	}
	_, redirect := r.(WrongDispatcher)
	if redirect = redirect && c.redirects < s.cfg.MaxRedirects; !redirect {
		d.Delay = s.backoff(c.attempts)
	}
	if c.deadline != 0 && !now.Add(d.Delay).Before(c.deadline) {
		return d
	}
	if redirect {
		c.redirects++
		s.counts.Redirects++
	} else if !s.takeToken(now) {
		return d
	} else {
		s.counts.Retries++
	}
	d.Retry = true
	c.attempts++
	c.running++
	c.attemptStart = now.Add(d.Delay)
	return d
}

// finalDecision returns the decision for a result that changes nothing: that of
// the slower attempt of a hedged request, or one without a running attempt.
func (c *Call) finalDecision() Decision {
	if c.completed {
		return Decision{Outcome: answer.Answered}
	}
	return Decision{Outcome: answer.Unknown, Reason: c.reason}
}

func (c *Call) retriable() bool { return c.op.Idempotent || !c.mayHaveRun }

// backoff returns a random delay whose upper bound doubles with each attempt.
// The lower bound is half of the upper one, so that no retry follows at once.
func (s *State) backoff(attempts int) clock.Span {
	top := s.cfg.BaseBackoff << min(attempts-1, 20)
	if top <= 0 || top > s.cfg.MaxBackoff {
		top = s.cfg.MaxBackoff
	}
	return top - clock.Span(s.rng.Int64N(int64(top)/2+1))
}

// refill adds the tokens for the time since the last call.
func (s *State) refill(now clock.Time) {
	if d := now.Sub(s.refilled); d > 0 {
		s.tokens = min(s.tokens+s.cfg.TokensPerSecond*float64(d)/float64(clock.Second), s.cfg.MaxTokens)
		s.refilled = now
	}
}

// takeToken takes a token from the budget, and reports whether there was one.
func (s *State) takeToken(now clock.Time) bool {
	s.refill(now)
	if s.tokens < 1 {
		s.counts.OverBudget++
		return false
	}
	s.tokens--
	return true
}

// HedgeAfter returns the time without a response after which the request may be
// hedged: the 95th percentile of the service's latency. It returns false if the
// operation isn't idempotent, if the request can't get another attempt, or if
// there are too few samples.
func (s *State) HedgeAfter(c *Call) (clock.Span, bool) {
	if !c.op.Idempotent || c.hedged || c.completed || c.running != 1 || c.attempts >= s.cfg.MaxAttempts {
		return 0, false
	}
	return s.latencies.p95()
}

// Hedge reports whether a second attempt must start now, in parallel to the
// running one, and takes a token for it. Decide must be called for each of the
// two.
func (s *State) Hedge(now clock.Time, c *Call) bool {
	after, ok := s.HedgeAfter(c)
	if !ok || now.Sub(c.attemptStart) < after || c.deadline != 0 && !now.Before(c.deadline) || !s.takeToken(now) {
		return false
	}
	c.hedged = true
	c.attempts++
	c.running++
	s.counts.Hedges++
	return true
}

func (s *State) Counts() Counts { return s.counts }

// Dump is the state of a service's retries for an operator.
type Dump struct {
	Tokens float64    `json:"tokens"`
	P95    clock.Span `json:"p95Ms"` // 0 if there are too few samples
	Counts Counts     `json:"counts"`
}

// Dump returns the budget, the 95th percentile and the counts.
func (s *State) Dump() Dump {
	p, _ := s.latencies.p95()
	return Dump{Tokens: s.tokens, P95: p, Counts: s.counts}
}
