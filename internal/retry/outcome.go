package retry

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/answer"
)

// Result is the result of an attempt: DialFailed, ServerRefused,
// WrongDispatcher, Lost, Truncated, Mismatched, TimedOut or Complete.
type Result interface{ result() }

type (
	// DialFailed means that no connection could be opened.
	DialFailed struct{}
	// ServerRefused means that the server provably refused the request.
	ServerRefused struct{ Reason Refusal }
	// WrongDispatcher means that a relay responded with status 421, Misdirected
	// Request.
	WrongDispatcher struct{}
	// Lost means that the connection was lost before a response. Sent is false
	// only if no byte of the request was written.
	Lost struct{ Sent bool }
	// Truncated means that the response ended early.
	Truncated struct{}
	// Mismatched means that the response belongs to another request.
	Mismatched struct{}
	// TimedOut means that the deadline passed. Sent is as for Lost.
	TimedOut struct{ Sent bool }
	// Complete means that the complete response was received, whatever its
	// status.
	Complete struct{ Duration clock.Span }
)

func (DialFailed) result()      {}
func (ServerRefused) result()   {}
func (WrongDispatcher) result() {}
func (Lost) result()            {}
func (Truncated) result()       {}
func (Mismatched) result()      {}
func (TimedOut) result()        {}
func (Complete) result()        {}

// Refusal is the reason why a server refused a request.
type Refusal int

// Reasons for refusals.
const (
	StaleFence Refusal = iota
	Shed
	Draining
)

// Outcome returns the outcome of a request with a single attempt that had this
// result. It is Unknown unless the result proves that the request did or didn't
// run.
func Outcome(r Result) (answer.Outcome, answer.Reason) {
	switch r := r.(type) {
	case DialFailed:
		return answer.NotRun, answer.Unreachable
	case ServerRefused:
		return r.outcome()
	case WrongDispatcher:
		return answer.NotRun, answer.NotDispatcher
	case Lost:
		return outcomeIfSent(r.Sent), answer.ServerLost
	case Truncated:
		return answer.Unknown, answer.Truncated
	case Mismatched:
		return answer.Unknown, answer.Mismatched
	case TimedOut:
		return outcomeIfSent(r.Sent), answer.DeadlinePassed
	case Complete:
		return answer.Answered, answer.ReasonNone
	}
	return answer.Unknown, answer.ServerLost
}

func (r ServerRefused) outcome() (answer.Outcome, answer.Reason) {
	switch r.Reason {
	case StaleFence:
		return answer.NotRun, answer.StaleFence
	case Shed:
		return answer.NotRun, answer.Shed
	case Draining:
		return answer.NotRun, answer.Draining
	}
	return answer.Unknown, answer.ServerLost
}

// outcomeIfSent returns the outcome of an attempt without a response.
func outcomeIfSent(sent bool) answer.Outcome {
	if sent {
		return answer.Unknown
	}
	return answer.NotRun
}
