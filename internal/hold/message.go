package hold

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Event is an input of Step.
type Event interface{ event() }

// Granted is the assigner's answer to the renewal with the same nonce. An
// assigner may answer a nonce several times; Seq orders the answers.
type Granted struct {
	Nonce   uint64
	Term    uint32
	Seq     uint64
	Span    clock.Span
	Servers []grant.Server
}

// Reached says that a server answered a probe or a push. Sent is when the
// probe was sent, ServerClock the server's own reading, Seq the sequence
// number of the push if the server has applied it, else 0. Boot identifies
// the run of the server whose clock was read, if it tells one.
type Reached struct {
	Server      keys.Server
	Sent        clock.Time
	ServerClock clock.Time
	Boot        string
	State       grant.State
	Slots       int
	Seq         uint64
}

// Missed says that a server didn't answer a probe or push in time. Refused
// says that its machine refused the connection: nothing listens there.
type Missed struct {
	Server  keys.Server
	Refused bool
}

// Transferred is the result of a Transfer.
type Transferred struct {
	Range keys.Range
	Fence keys.Fence
	OK    bool
}

// TermSeen says that a new assigner has published a table. The next renewal is
// sent at once: the leases were last renewed under the earlier assigner.
type TermSeen struct{}

// Tick lets time pass; one is due at least every 20 ms.
type Tick struct{}

func (Granted) event()     {}
func (Reached) event()     {}
func (Missed) event()      {}
func (Transferred) event() {}
func (TermSeen) event()    {}
func (Tick) event()        {}

// Action is an output of Step.
type Action interface{ action() }

// Renew is sent to the cell's assigner.
type Renew struct {
	Nonce   uint64
	Ack     grant.Ack
	Servers []grant.Report
}

// Push is sent to a server that checks fencing tokens. It replaces the grants
// of this dispatcher at the server unless a push with a higher Seq was
// applied. Until is on the clock of the server's run Boot; another run must
// refuse the push, because its clock has started again.
type Push struct {
	Server keys.Server
	Seq    uint64
	Grants []grant.Held
	Until  clock.Time
	Boot   string
}

// Transfer asks for the deduplication records of the range to be sent to Next;
// it is answered by Transferred.
type Transfer struct {
	Range keys.Range
	Fence keys.Fence
	Next  keys.Host
}

func (Renew) action()    {}
func (Push) action()     {}
func (Transfer) action() {}
