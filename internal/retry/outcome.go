package retry

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/answer"
)

// Result says what happened in an attempt: DialFailed, ServerRefused,
// WrongDispatcher, Lost, Truncated, Mismatched, TimedOut or Complete.
type Result interface{ result() }

type (
	// DialFailed says that no connection could be opened.
	DialFailed struct{}
	// ServerRefused says that the server proved that it refused the request.
	ServerRefused struct{ Why Refusal }
	// WrongDispatcher says that a relay answered 421.
	WrongDispatcher struct{}
	// Lost says that the connection was lost before an answer. Sent is false
	// only if no byte of the request was written.
	Lost struct{ Sent bool }
	// Truncated says that the answer ended early.
	Truncated struct{}
	// Mismatched says that the answer belongs to another request.
	Mismatched struct{}
	// TimedOut says that the deadline passed. Sent is as for Lost.
	TimedOut struct{ Sent bool }
	// Complete says that the whole answer has arrived, whatever its status.
	Complete struct{ Took clock.Span }
)

func (DialFailed) result()      {}
func (ServerRefused) result()   {}
func (WrongDispatcher) result() {}
func (Lost) result()            {}
func (Truncated) result()       {}
func (Mismatched) result()      {}
func (TimedOut) result()        {}
func (Complete) result()        {}

// Refusal says why a server refused a request.
type Refusal int

// Refusals.
const (
	StaleFence Refusal = iota
	Shed
	Draining
)

// Outcome returns what an attempt with this result says about the request.
// A result that proves nothing means Unknown.
func Outcome(r Result) (answer.Outcome, answer.Reason) {
	switch r := r.(type) {
	case DialFailed:
		return answer.NotRun, answer.Unreachable
	case ServerRefused:
		return r.outcome()
	case WrongDispatcher:
		return answer.NotRun, answer.NotDispatcher
	case Lost:
		return sent(r.Sent), answer.ServerLost
	case Truncated:
		return answer.Unknown, answer.Truncated
	case Mismatched:
		return answer.Unknown, answer.Mismatched
	case TimedOut:
		return sent(r.Sent), answer.DeadlinePassed
	case Complete:
		return answer.Answered, answer.ReasonNone
	}
	return answer.Unknown, answer.ServerLost
}

func (r ServerRefused) outcome() (answer.Outcome, answer.Reason) {
	switch r.Why {
	case StaleFence:
		return answer.NotRun, answer.StaleFence
	case Shed:
		return answer.NotRun, answer.Shed
	case Draining:
		return answer.NotRun, answer.Draining
	}
	return answer.Unknown, answer.ServerLost
}

func sent(sent bool) answer.Outcome {
	if sent {
		return answer.Unknown
	}
	return answer.NotRun
}
