// Package answer names what a caller learns about the fate of a request.
//
// # Usage
//
// Every answer of an entry host carries the outcome in a header:
//
//	switch answer.Parse(resp.Header.Get(answer.HeaderOutcome)) {
//	case answer.NotRun:
//		// safe to send again
//	case answer.Unknown:
//		// may have run; ask the service before sending again
//	}
package answer

//go:generate go tool stringer -type=Outcome,Reason -linecomment -output=answer_string.go

// Headers of requests and answers.
const (
	HeaderPrefix    = "Laburnummux-" // stripped from callers' requests
	HeaderOutcome   = "Laburnummux-Outcome"
	HeaderReason    = "Laburnummux-Reason"
	HeaderOwner     = "Laburnummux-Owner"
	HeaderFence     = "Laburnummux-Fence"
	HeaderAttempt   = "Laburnummux-Attempt"
	HeaderServer    = "Laburnummux-Server" // relay: the backend server to use
	HeaderHash      = "Laburnummux-Hash"   // relay: hash of the key
	HeaderRequestID = "Request-Id"
	HeaderTimeout   = "Request-Timeout" // milliseconds
)

// Outcome says what is known about the execution of a request.
type Outcome int

// Outcomes.
const (
	Unknown  Outcome = iota // unknown
	Answered                // answered
	NotRun                  // not-run
)

// Parse returns the outcome named by s; any other text means Unknown.
func Parse(s string) Outcome {
	for _, o := range []Outcome{Answered, NotRun} {
		if s == o.String() {
			return o
		}
	}
	return Unknown
}

// Reason says why a request was not answered by its backend server.
type Reason int

// Reasons.
const (
	ReasonNone      Reason = iota // none
	NoOwner                       // no-owner
	NoRoute                       // no-route
	NotDispatcher                 // not-dispatcher
	StaleFence                    // stale-fence
	Draining                      // draining
	Shed                          // shed
	QueueFull                     // queue-full
	DeadlineTooNear               // deadline-too-near
	DeadlinePassed                // deadline-passed
	Cancelled                     // cancelled
	BadRequest                    // bad-request
	BadID                         // bad-request-id
	EarlierAttempt                // earlier-attempt
	StillRunning                  // still-running
	Truncated                     // truncated-answer
	Mismatched                    // mismatched-answer
	ServerLost                    // server-lost
	Unreachable                   // unreachable
	Quarantined                   // quarantined
	Stopping                      // stopping
	TooLarge                      // too-large
)

// ParseReason returns the reason named by s; any other text means ReasonNone.
func ParseReason(s string) Reason {
	for r := ReasonNone; r <= TooLarge; r++ {
		if s == r.String() {
			return r
		}
	}
	return ReasonNone
}
