package assign

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Event is an input of Step.
type Event interface{ event() }

// Tick lets time pass; one is due at least every 20 ms.
type Tick struct{}

// Elected starts a term. Assignment is the newest by (term, version) of the
// stored one and of the copies at the group's hosts, or empty.
type Elected struct {
	Term       uint32
	Assignment Assignment
}

// Lost ends the term.
type Lost struct{}

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

// ServerSeen is a change of a backend server in the host list.
type ServerSeen struct {
	Server  keys.Server
	Address string
	Slots   int
	Weight  float64
	// Checks says that the server checks fencing tokens.
	Checks bool
	State  Listing
}

// HostSeen is a change of an entry host of the group in the host list. A host
// that isn't live has ended, with all its processes.
type HostSeen struct {
	Host    keys.Host
	Live    bool
	Leaving bool
}

// Renew is a dispatcher's renewal. A host that answers under a new boot id has
// ended its earlier boots.
type Renew struct {
	From    keys.Host
	Boot    uint64
	Nonce   uint64
	Ack     grant.Ack
	Servers []grant.Report
}

// Stored says that the store has the given version of this term.
type Stored struct{ Version uint64 }

// StoreFailed says that a write failed or has an unknown result.
type StoreFailed struct{ Version uint64 }

// Intent changes the policy.
type Intent struct{ Policy Policy }

func (Tick) event()        {}
func (Elected) event()     {}
func (Lost) event()        {}
func (ServerSeen) event()  {}
func (HostSeen) event()    {}
func (Renew) event()       {}
func (Stored) event()      {}
func (StoreFailed) event() {}
func (Intent) event()      {}

// Action is an output of Step.
type Action interface{ action() }

// Grant is the answer to a renewal, to be sent to boot Boot of host To. A
// nonce may be answered again when something changed.
type Grant struct {
	To      keys.Host
	Boot    uint64
	Nonce   uint64
	Term    uint32
	Seq     uint64
	Span    clock.Span
	Servers []grant.Server
}

// Store asks for a conditional write of the assignment. The next one follows
// after Stored or StoreFailed.
type Store struct{ Assignment Assignment }

// Publish gives the new routing table to the group's hosts.
type Publish struct{ Table Table }

func (Grant) action()   {}
func (Store) action()   {}
func (Publish) action() {}
