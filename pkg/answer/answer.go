// Package answer defines the headers, outcomes and reasons by which an entry host
// reports to a caller whether a request ran.
//
// # Usage
//
// Every response of an entry host has the outcome in a header:
//
//	switch answer.Parse(resp.Header.Get(answer.HeaderOutcome)) {
//	case answer.Answered:
//		// the complete response of the backend server
//	case answer.NotRun:
//		// safe to retry
//	case answer.Unknown:
//		// may have run; query the service before a retry
//	}
package answer

//go:generate go tool stringer -type=Outcome,Reason -linecomment -output=answer_string.go

// Headers of requests and responses.
const (
	HeaderPrefix    = "Laburnummux-" // of laburnummux's own headers; removed from callers' requests
	HeaderOutcome   = "Laburnummux-Outcome"
	HeaderReason    = "Laburnummux-Reason"
	HeaderOwner     = "Laburnummux-Owner"
	HeaderFence     = "Laburnummux-Fence"
	HeaderAttempt   = "Laburnummux-Attempt"
	HeaderServer    = "Laburnummux-Server" // between entry hosts: the backend server to use
	HeaderHash      = "Laburnummux-Hash"   // to entry hosts and backend servers: hash of the key
	HeaderRequestID = "Request-Id"
	HeaderTimeout   = "Request-Timeout" // milliseconds
)

// Outcome is whether a request ran, as far as the entry host can determine it.
type Outcome int

// Outcomes. Answered is a complete response of the backend server; NotRun
// guarantees that the request did not run; after Unknown it may have run.
const (
	Unknown  Outcome = iota // unknown
	Answered                // answered
	NotRun                  // not-run
)

// Parse returns the outcome whose text is s, or Unknown for any other text.
func Parse(s string) Outcome {
	for _, o := range []Outcome{Answered, NotRun} {
		if s == o.String() {
			return o
		}
	}
	return Unknown
}

// Reason is why a caller did not get a response of the backend server.
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
	BadRequestID                  // bad-request-id
	EarlierAttempt                // earlier-attempt
	StillRunning                  // still-running
	Truncated                     // truncated-answer
	Mismatched                    // mismatched-answer
	ServerLost                    // server-lost
	Unreachable                   // unreachable
	Quarantined                   // quarantined
	Stopping                      // stopping
	TooLarge                      // too-large
	TooSlow                       // too-slow
	Overloaded                    // overloaded
)

// ParseReason returns the reason whose text is s, or ReasonNone for any other
// text.
func ParseReason(s string) Reason {
	for r := ReasonNone; r <= Overloaded; r++ {
		if s == r.String() {
			return r
		}
	}
	return ReasonNone
}
