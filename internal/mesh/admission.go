package mesh

import (
	"fmt"
	"math"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// maxAdmissions is the most asks, replies or results in one message.
	maxAdmissions = 1024
	// maxRemaining is the longest time that is left for a request.
	maxRemaining = 24 * 60 * clock.Minute
	// maxSlots is the most slots of a server.
	maxSlots = 1 << 16
)

// Ask asks the admitter of a server for the admission of a request. Times are relative,
// as the clocks of hosts aren't compared.
type Ask struct {
	Num         uint64      `cbor:"1,keyasint"` // unique at the asking host
	Server      keys.Server `cbor:"2,keyasint"`
	Born        int64       `cbor:"3,keyasint,omitempty"` // incarnation of the server
	Slots       int         `cbor:"4,keyasint,omitempty"` // of the server
	Priority    int         `cbor:"5,keyasint,omitempty"`
	ObjectiveIn clock.Span  `cbor:"6,keyasint,omitempty"` // negative: it has passed
	DeadlineIn  clock.Span  `cbor:"7,keyasint,omitempty"`
	RouteMean   clock.Span  `cbor:"8,keyasint,omitempty"` // mean service time of the route
	// Cold is how much longer the server is cold, and ColdRate how many requests per
	// second it tolerates until then.
	Cold     clock.Span `cbor:"9,keyasint,omitempty"`
	ColdRate float64    `cbor:"10,keyasint,omitempty"`
	AtOnce   bool       `cbor:"11,keyasint,omitempty"` // refused if it can't be admitted at once
}

// Verdict is the admitter's decision on a request.
type Verdict int

// Verdicts.
const (
	VerdictQueued   Verdict = iota // another reply follows
	VerdictAdmitted                // it may be sent
	VerdictRefused                 // it can't be served in time
	VerdictGone                    // the server has left or restarted
	VerdictMoved                   // the host isn't an admitter any more
	numVerdicts
)

// AskReply replies to an Ask.
type AskReply struct {
	Num        uint64     `cbor:"1,keyasint"`
	Verdict    Verdict    `cbor:"2,keyasint,omitempty"`
	RetryAfter clock.Span `cbor:"3,keyasint,omitempty"` // of a refusal
}

// AskDone ends the reservation of an admitted request, or takes an ask back.
type AskDone struct {
	Num      uint64     `cbor:"1,keyasint"`
	Duration clock.Span `cbor:"2,keyasint,omitempty"` // at the server; 0: it wasn't completed
	Load     int        `cbor:"3,keyasint,omitempty"` // requests at the server when it responded, without this one
	HasLoad  bool       `cbor:"4,keyasint,omitempty"` // the server has told Load
}

// hasAdmissions reports whether the message is about admission.
func (m Message) hasAdmissions() bool {
	return len(m.Asks) > 0 || len(m.AskReplies) > 0 || len(m.AskDones) > 0
}

// checkAdmissions returns an error for parts that no host can have sent.
func (m Message) checkAdmissions() error {
	if n := max(len(m.Asks), len(m.AskReplies), len(m.AskDones)); n > maxAdmissions {
		return fmt.Errorf("%d admissions", n)
	}
	for _, a := range m.Asks {
		if a.Server == "" || a.Slots < 0 || a.Slots > maxSlots || a.Priority < 0 || a.DeadlineIn < 0 || a.DeadlineIn > maxRemaining ||
			a.ObjectiveIn > maxRemaining || a.ObjectiveIn < -maxRemaining || a.RouteMean < 0 || a.RouteMean > maxRemaining {
			return fmt.Errorf("ask for server %q with %d slots, priority %d, objective in %d ms, deadline in %d ms, mean of %d ms", a.Server, a.Slots, a.Priority, a.ObjectiveIn, a.DeadlineIn, a.RouteMean)
		}
	}
	for _, a := range m.Asks {
		if a.Cold < 0 || a.Cold > maxRemaining || !(a.ColdRate >= 0) || math.IsInf(a.ColdRate, 0) {
			return fmt.Errorf("ask for server %q that is cold for %d ms and tolerates %v requests per second", a.Server, a.Cold, a.ColdRate)
		}
	}
	for _, r := range m.AskReplies {
		if r.Verdict < 0 || r.Verdict >= numVerdicts || r.RetryAfter < 0 || r.RetryAfter > maxRemaining {
			return fmt.Errorf("reply with verdict %d, retry after %d ms", r.Verdict, r.RetryAfter)
		}
	}
	for _, d := range m.AskDones {
		if d.Duration < 0 || d.Duration > maxRemaining || d.Load < 0 || d.Load > maxInFlight {
			return fmt.Errorf("result with %d ms, load of %d", d.Duration, d.Load)
		}
	}
	return nil
}
