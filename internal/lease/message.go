package lease

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Event is an input of Step.
type Event interface{ event() }

// Reply is the assigner's reply to the renewal with the same nonce. An assigner
// may reply to a nonce several times; Seq orders the replies. LeaseTime
// is counted from when the renewal was sent.
type Reply struct {
	Nonce     uint64
	Term      uint32
	Seq       uint64
	LeaseTime clock.Span
	Servers   []grant.Server
}

// Response reports that a server responded to a probe or a push. Sent is when the
// probe or push was sent, ServerClock the reading of the server's own clock, and
// Seq the sequence number of the push if the server has applied it, else 0.
// Incarnation is that of the server whose clock was read; it is empty if the
// server doesn't report one.
type Response struct {
	Server      keys.Server
	Sent        clock.Time
	ServerClock clock.Time
	Incarnation string
	State       grant.State
	Slots       int
	Seq         uint64
}

// Unanswered reports that a server didn't respond to a probe or push in time.
// Refused reports that its machine refused the connection: no process listens
// there.
type Unanswered struct {
	Server  keys.Server
	Refused bool
}

// Transferred is the result of a Transfer.
type Transferred struct {
	Range keys.Range
	Fence keys.Fence
	OK    bool
}

// NewTerm reports that a new assigner has published a table. A renewal is sent
// at once, because the leases were last renewed by the earlier assigner.
type NewTerm struct{}

// Tick applies the passage of time; it must be sent at least every 20 ms.
type Tick struct{}

func (Reply) event()       {}
func (Response) event()    {}
func (Unanswered) event()  {}
func (Transferred) event() {}
func (NewTerm) event()     {}
func (Tick) event()        {}

// Action is an output of Step.
type Action interface{ action() }

// Renewal is a renewal of all leases, to be sent to the cell's assigner.
type Renewal struct {
	Nonce   uint64
	Ack     grant.Ack
	Servers []grant.Report
}

// Push is sent to a server that checks fencing tokens. It replaces the grants of
// this dispatcher at the server unless a push with a higher Seq has been applied.
// Until is a time on the clock of the server's Incarnation; another incarnation
// must refuse the push, because its clock has started again.
type Push struct {
	Server      keys.Server
	Seq         uint64
	Grants      []grant.Held
	Until       clock.Time
	Incarnation string
}

// Transfer requests that the deduplication records of the range be sent to Next.
// Transferred reports the result.
type Transfer struct {
	Range keys.Range
	Fence keys.Fence
	Next  keys.Host
}

func (Renewal) action()  {}
func (Push) action()     {}
func (Transfer) action() {}
