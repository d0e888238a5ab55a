// Package grant has the messages between a cell's assigner and its
// dispatchers, and the periods that both sides must agree on.
//
// # Usage
//
// A dispatcher (package hold) asks with Reports, the assigner (package assign)
// answers with Servers. Ack names the newest answer that the dispatcher has
// accepted; a grant that is missing from a report counts as released only if
// the report acknowledges the last answer that contained it.
package grant

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Periods of the lease protocol.
const (
	// Lease is how long a grant is valid.
	Lease = 400 * clock.Millisecond
	// Renewal is the time between two renewals of a dispatcher.
	Renewal = 100 * clock.Millisecond
	// Margin covers clock rates that differ by 1 in 1,000 and rounding to ms.
	Margin = 10 * clock.Millisecond
	// Silence is three missed renewals or probes: the peer counts as lost.
	Silence = 3 * Renewal
)

//go:generate go tool stringer -type State

// State is a backend server's state as its dispatcher sees it.
type State int

// States of a backend server.
const (
	Unknown State = iota
	Ready
	Starting
	Draining
	Missed
)

// Ack identifies an answer of an assigner. Answers are ordered by term, then
// by sequence number; a dispatcher never accepts an older one.
type Ack struct {
	Term uint32
	Seq  uint64
}

// Covers reports whether a dispatcher that acknowledges a can no longer accept
// the answer b.
func (a Ack) Covers(b Ack) bool {
	return a.Term > b.Term || a.Term == b.Term && a.Seq >= b.Seq
}

// Entry is one range that a dispatcher may send to a server.
type Entry struct {
	Range keys.Range
	Fence keys.Fence
	// Releasing asks for no new requests; it extends the lease of a grant
	// that the dispatcher still has and never creates one.
	Releasing bool
	// Next is the host to which the deduplication records go first, empty if
	// they stay or can't be used.
	Next keys.Host
	// Complete says that the dispatcher has all deduplication records.
	Complete bool
}

// Server is the part of an answer that concerns one backend server.
type Server struct {
	Server keys.Server
	// Address and Checks come from the host list; Checks says that the server
	// checks fencing tokens.
	Address string
	Checks  bool
	Grants  []Entry
}

// Held is a range that the dispatcher has not released. For a server that
// doesn't check fencing tokens it may be a single hash with a request in
// flight, without a lease.
type Held struct {
	Range keys.Range
	Fence keys.Fence
}

// Moved is a released range whose deduplication records host To has accepted.
type Moved struct {
	Range keys.Range
	Fence keys.Fence
	To    keys.Host
}

// Load is the request rate of a range and of its most requested hash.
type Load struct {
	Range   keys.Range
	Rate    float64
	Hot     keys.Hash
	HotRate float64
}

// Report is a dispatcher's report on one of its servers.
type Report struct {
	Server keys.Server
	State  State
	Held   []Held
	// Moved lists the releases of the last 2 s with transferred records.
	Moved    []Moved
	Loads    []Load
	Slots    int
	InFlight int
}
