package elect

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Voter is one run of an entry host. A host that restarted has another boot
// id and is not the voter that it was, because it lost its promises.
type Voter struct {
	Host keys.Host `json:"host"`
	Boot uint64    `json:"boot"`
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
	// Tick only passes the time. It is due every TickPeriod.
	Tick struct{}
	// RoleRead answers ReadRole. With Op zero it reports a role that the
	// driver came to know otherwise, for example after storing an assignment
	// in the same object.
	RoleRead struct {
		Op      uint64
		Role    Role
		Version uint64
		Found   bool
	}
	// RoleFailed says that a read, or a write before it was sent, failed.
	RoleFailed struct{ Op uint64 }
	// RoleWritten says that a write took effect.
	RoleWritten struct {
		Op      uint64
		Version uint64
	}
	// RoleConflict says that a write was refused because of its version.
	RoleConflict struct{ Op uint64 }
	// RoleUnsure says that the result of a write is unknown.
	RoleUnsure struct{ Op uint64 }
	// Asked is the receiver's side of Ask.
	Asked struct {
		From     keys.Host
		FromBoot uint64
		ToBoot   uint64
		Term     uint32
		Nonce    uint64
		Version  uint64
		Role     *Role
	}
	// Replied is the receiver's side of Reply.
	Replied struct {
		From     keys.Host
		FromBoot uint64
		ToBoot   uint64
		Nonce    uint64
		Granted  bool
		Highest  uint32
		Version  uint64
		Role     *Role
	}
	// Released is the receiver's side of Release.
	Released struct {
		From     keys.Host
		FromBoot uint64
		Nonce    uint64
	}
	// Resign says that this host is about to stop. It gives the role up before
	// its promises expire, stands no more, and goes on as a voter.
	Resign struct{}
	// PeerBoot says that a message of a host's run was received. It may be
	// late: it is a reason to ask the host, not a proof of a restart.
	PeerBoot struct {
		Host keys.Host
		Boot uint64
	}
)

func (Tick) event()         {}
func (RoleRead) event()     {}
func (RoleFailed) event()   {}
func (RoleWritten) event()  {}
func (RoleConflict) event() {}
func (RoleUnsure) event()   {}
func (Asked) event()        {}
func (Replied) event()      {}
func (Released) event()     {}
func (PeerBoot) event()     {}
func (Resign) event()       {}

// Action is an output of Step.
type Action interface{ action() }

// Actions.
type (
	// Ask requests a promise. Term zero requests none, but the peer's boot id.
	// Role is set until the peer is known to have this Version.
	Ask struct {
		To      keys.Host
		ToBoot  uint64
		Term    uint32
		Nonce   uint64
		Version uint64
		Role    *Role
	}
	// Reply answers Asked. Role is set if the asker has an older version. ToBoot
	// keeps a later run of the asker from counting it as the reply to its own
	// request of the same nonce.
	Reply struct {
		To      keys.Host
		ToBoot  uint64
		Nonce   uint64
		Term    uint32
		Granted bool
		Highest uint32
		Version uint64
		Role    *Role
	}
	// Release gives promises up that were asked for with Nonce or before.
	Release struct {
		To     keys.Host
		ToBoot uint64
		Nonce  uint64
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
	// Became says that this host holds the role. While it holds the role
	// already, only its term grows and nothing was lost in between.
	Became struct{ Term uint32 }
	// Lost says that this host does not hold the role any more.
	Lost struct{}
)

func (Ask) action()       {}
func (Reply) action()     {}
func (Release) action()   {}
func (ReadRole) action()  {}
func (WriteRole) action() {}
func (Became) action()    {}
func (Lost) action()      {}

// Dump is a JSON-ready copy of the state.
type Dump struct {
	Cell      keys.Cell   `json:"cell"`
	Self      Voter       `json:"self"`
	Found     bool        `json:"found"`
	Role      Role        `json:"role"`
	Version   uint64      `json:"version"`
	Holding   bool        `json:"holding"`
	Term      uint32      `json:"term"`
	Bidding   bool        `json:"bidding"`
	BidTerm   uint32      `json:"bidTerm"`
	Promised  Voter       `json:"promised"`
	Until     clock.Time  `json:"promisedUntil"`
	Highest   uint32      `json:"highest"`
	Supported []Support   `json:"supported"`
	Peers     []PeerState `json:"peers"`
}

// Support is a voter's promise as its holder counts it.
type Support struct {
	Voter Voter      `json:"voter"`
	Term  uint32     `json:"term"`
	Until clock.Time `json:"until"`
}

// PeerState is the last boot id and time at which a host was heard.
type PeerState struct {
	Voter Voter      `json:"voter"`
	At    clock.Time `json:"at"`
}
