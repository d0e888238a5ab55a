package elect

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Voter is one incarnation of an entry host. A host that restarted has another
// incarnation and isn't the same voter, because its promises weren't stored.
type Voter struct {
	Host        keys.Host `json:"host"`
	Incarnation uint64    `json:"boot"`
}

// Role is the stored part of an election. Versions of the stored object order
// the roles; the epoch grows whenever the voters change.
type Role struct {
	Epoch    uint32    `json:"epoch"`
	Holder   keys.Host `json:"holder"`
	Voters   []Voter   `json:"voters"`
	Previous []Voter   `json:"previous,omitempty"`
}

// Event is an input of Step.
type Event interface{ event() }

// Events.
type (
	// Tick reports only that time has passed. It is due every TickInterval.
	Tick struct{}
	// RoleRead is the result of ReadRole. With Op zero it reports a role that
	// was obtained in another way, for example by storing an assignment in the
	// same object.
	RoleRead struct {
		Op      uint64
		Role    Role
		Version uint64
		Found   bool
	}
	// RoleOpFailed reports that a read failed, or that a write failed before it
	// was sent.
	RoleOpFailed struct{ Op uint64 }
	// RoleWritten reports that a write took effect.
	RoleWritten struct {
		Op      uint64
		Version uint64
	}
	// RoleConflict reports that the store rejected a write because IfVersion
	// didn't match.
	RoleConflict struct{ Op uint64 }
	// RoleIndeterminate reports that the result of a write is unknown.
	RoleIndeterminate struct{ Op uint64 }
	// PromiseRequested is a PromiseRequest as received.
	PromiseRequested struct {
		From            keys.Host
		FromIncarnation uint64
		ToIncarnation   uint64
		Term            uint32
		Nonce           uint64
		Version         uint64
		Role            *Role
	}
	// PromiseResponded is a PromiseResponse as received.
	PromiseResponded struct {
		From            keys.Host
		FromIncarnation uint64
		ToIncarnation   uint64
		Nonce           uint64
		Granted         bool
		Highest         uint32
		Version         uint64
		Role            *Role
	}
	// PromiseReleased is a PromiseRelease as received.
	PromiseReleased struct {
		From            keys.Host
		FromIncarnation uint64
		Nonce           uint64
	}
	// Resign reports that this host is about to stop. The host gives up the
	// role before its promises expire and doesn't campaign any more, but goes
	// on as a voter.
	Resign struct{}
	// IncarnationSeen reports that a message of an incarnation of a host was
	// received. The message may be late, so a new incarnation is a reason to query
	// the host but no proof of a restart.
	IncarnationSeen struct {
		Host        keys.Host
		Incarnation uint64
	}
)

func (Tick) event()              {}
func (RoleRead) event()          {}
func (RoleOpFailed) event()      {}
func (RoleWritten) event()       {}
func (RoleConflict) event()      {}
func (RoleIndeterminate) event() {}
func (PromiseRequested) event()  {}
func (PromiseResponded) event()  {}
func (PromiseReleased) event()   {}
func (IncarnationSeen) event()   {}
func (Resign) event()            {}

// Action is an output of Step.
type Action interface{ action() }

// Actions.
type (
	// PromiseRequest requests a promise. With Term zero it is a probe that
	// requests only the peer's incarnation. Role is set until the peer has confirmed
	// this Version.
	PromiseRequest struct {
		To            keys.Host
		ToIncarnation uint64
		Term          uint32
		Nonce         uint64
		Version       uint64
		Role          *Role
	}
	// PromiseResponse is the response to a PromiseRequest. Role is set if the
	// requesting host has an older version. ToIncarnation prevents a later
	// incarnation of that host from taking it for the response to its own request
	// with the same nonce.
	PromiseResponse struct {
		To            keys.Host
		ToIncarnation uint64
		Nonce         uint64
		Term          uint32
		Granted       bool
		Highest       uint32
		Version       uint64
		Role          *Role
	}
	// PromiseRelease gives up the promises that were requested with Nonce or a
	// lower one.
	PromiseRelease struct {
		To            keys.Host
		ToIncarnation uint64
		Nonce         uint64
	}
	// ReadRole reads the role object.
	ReadRole struct{ Op uint64 }
	// WriteRole writes the role object if its version is IfVersion. IfVersion
	// zero creates the object.
	WriteRole struct {
		Op        uint64
		Role      Role
		IfVersion uint64
	}
	// Elected reports that this host holds the role. If it held the role before,
	// only its term has grown and it held the role throughout.
	Elected struct{ Term uint32 }
	// Deposed reports that this host doesn't hold the role any more.
	Deposed struct{}
)

func (PromiseRequest) action()  {}
func (PromiseResponse) action() {}
func (PromiseRelease) action()  {}
func (ReadRole) action()        {}
func (WriteRole) action()       {}
func (Elected) action()         {}
func (Deposed) action()         {}

// Dump is a copy of the state for diagnostics, in a form for JSON.
type Dump struct {
	Cell          keys.Cell   `json:"cell"`
	Self          Voter       `json:"self"`
	Found         bool        `json:"found"`
	Role          Role        `json:"role"`
	Version       uint64      `json:"version"`
	Holding       bool        `json:"holding"`
	Term          uint32      `json:"term"`
	Campaigning   bool        `json:"bidding"`
	CampaignTerm  uint32      `json:"bidTerm"`
	PromisedTo    Voter       `json:"promised"`
	PromisedUntil clock.Time  `json:"promisedUntil"`
	HighestTerm   uint32      `json:"highest"`
	Promises      []Promise   `json:"supported"`
	Peers         []PeerState `json:"peers"`
}

// Promise is a voter's promise as the host that received it counts it.
type Promise struct {
	Voter Voter      `json:"voter"`
	Term  uint32     `json:"term"`
	Until clock.Time `json:"until"`
}

// PeerState is the last incarnation of a host from which a message arrived, and
// when that was.
type PeerState struct {
	Voter  Voter      `json:"voter"`
	SeenAt clock.Time `json:"at"`
}
