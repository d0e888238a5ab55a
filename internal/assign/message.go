package assign

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Event is an input of Step.
type Event interface{ event() }

// Tick applies the passage of time; it must be sent at least every 20 ms.
type Tick struct{}

// Elected starts a term. Assignment is the newest by (term, version) of the
// stored one and the copies at the group's hosts; it is empty if there is none.
type Elected struct {
	Term       uint32
	Assignment Assignment
}

// Deposed ends the term: the assigner role was lost.
type Deposed struct{}

//go:generate go tool stringer -type Listing

// Listing is a backend server's state in the platform's host list.
type Listing int

// Listings of a backend server.
const (
	Joining Listing = iota
	Ready
	Leaving
	Gone
)

// ServerListed reports a backend server's new or changed entry in the host list.
type ServerListed struct {
	Server  keys.Server
	Address string
	Slots   int
	Weight  float64
	// ChecksFences reports whether the server checks fencing tokens.
	ChecksFences bool
	State        Listing
}

// HostListed reports a new or changed entry of one of the group's entry hosts in
// the host list. If Live is false, the host and all its processes have ended.
type HostListed struct {
	Host    keys.Host
	Live    bool
	Leaving bool
}

// Renewal is a dispatcher's renewal of its leases. A new incarnation means that
// the host's earlier processes have ended.
type Renewal struct {
	From        keys.Host
	Incarnation uint64
	Nonce       uint64
	Ack         grant.Ack
	Servers     []grant.Report
}

// Stored reports that the store has the given version of this term.
type Stored struct{ Version uint64 }

// StoreFailed reports that a write failed or that its result is unknown.
type StoreFailed struct{ Version uint64 }

// SetPolicy sets the policy.
type SetPolicy struct{ Policy Policy }

func (Tick) event()         {}
func (Elected) event()      {}
func (Deposed) event()      {}
func (ServerListed) event() {}
func (HostListed) event()   {}
func (Renewal) event()      {}
func (Stored) event()       {}
func (StoreFailed) event()  {}
func (SetPolicy) event()    {}

// Action is an output of Step.
type Action interface{ action() }

// Reply is the reply to a renewal, for one incarnation of the host To. A nonce
// gets a further reply when the grants change.
type Reply struct {
	To          keys.Host
	Incarnation uint64
	Nonce       uint64
	Term        uint32
	Seq         uint64
	LeaseTime   clock.Span
	Servers     []grant.Server
}

// Store requests a conditional write of the assignment. The next one is
// requested after Stored or StoreFailed, or after a time-out of 1 s.
type Store struct{ Assignment Assignment }

// Publish sends the new routing table to the group's hosts.
type Publish struct{ Table Table }

func (Reply) action()   {}
func (Store) action()   {}
func (Publish) action() {}
