// Package grant defines the messages of the lease protocol between a cell's
// assigner and its dispatchers, and the periods that both sides must agree on.
//
// # Usage
//
// A dispatcher (package lease) renews its leases with Reports; the assigner
// (package assign) replies with Servers. Ack identifies the newest reply that
// the dispatcher has accepted. A grant that is missing from a report counts as
// released only if the report acknowledges the last reply that contained it.
package grant

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Periods of the lease protocol.
const (
	// LeaseTime is the time for which a grant is valid.
	LeaseTime = 400 * clock.Millisecond
	// RenewalInterval is the interval at which a dispatcher renews its leases.
	RenewalInterval = 100 * clock.Millisecond
	// Margin covers clock rates that differ by 1 in 1,000, and rounding to ms.
	Margin = 10 * clock.Millisecond
	// PeerTimeout is the time without a renewal or a probe response after which the
	// peer counts as lost: three missed ones.
	PeerTimeout = 3 * RenewalInterval
)

//go:generate go tool stringer -type State

// State is the state of a backend server as observed by its dispatcher.
type State int

// States of a backend server.
const (
	Unknown State = iota
	Ready
	Starting
	Draining
	Missed // does not respond to health probes
)

// Ack identifies a reply of an assigner. Replies are ordered by term, then by
// sequence number; a dispatcher never accepts an older one.
type Ack struct {
	Term uint32
	Seq  uint64
}

// Covers reports whether a dispatcher that has acknowledged a can no longer accept
// the reply b.
func (a Ack) Covers(b Ack) bool {
	return a.Term > b.Term || a.Term == b.Term && a.Seq >= b.Seq
}

// Entry grants one range: the dispatcher may send its requests to the server.
type Entry struct {
	Range keys.Range
	Fence keys.Fence
	// Releasing instructs the dispatcher to accept no new requests for the
	// range. Such an entry extends the lease of an existing grant and never
	// creates one.
	Releasing bool
	// Next is the host to which the deduplication records are transferred
	// before the release. It is empty if they stay or cannot be used.
	Next keys.Host
	// Complete is set if the dispatcher has all deduplication records.
	Complete bool
}

// Server is the part of a reply that concerns one backend server.
type Server struct {
	Server keys.Server
	// Address and ChecksFences are taken from the host list. ChecksFences is set
	// if the server checks fencing tokens.
	Address      string
	ChecksFences bool
	Grants       []Entry
}

// Held is a range that the dispatcher has not released. For a server that does
// not check fencing tokens it can be a single hash that has a request in flight
// but no lease.
type Held struct {
	Range keys.Range
	Fence keys.Fence
}

// Moved is a released range whose deduplication records were accepted by host
// To.
type Moved struct {
	Range keys.Range
	Fence keys.Fence
	To    keys.Host
}

// Load is the request rate of a range and of Hot, its most requested hash.
type Load struct {
	Range   keys.Range
	Rate    float64
	Hot     keys.Hash
	HotRate float64
}

// Report is the part of a renewal that concerns one backend server.
type Report struct {
	Server keys.Server
	State  State
	Held   []Held
	// Moved has the releases of the last 2 s whose records were transferred.
	Moved    []Moved
	Loads    []Load
	Slots    int
	InFlight int
}
