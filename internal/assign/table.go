package assign

import (
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Owner is a backend server as it appears in an assignment or table.
type Owner struct {
	Name         keys.Server `json:"name"`
	Address      string      `json:"address"`
	ChecksFences bool        `json:"checks"`
	Leaving      bool        `json:"leaving,omitempty"`
	// Dispatcher and Incarnation are the host and the process of it through which
	// new grants of the server go.
	Dispatcher  keys.Host `json:"dispatcher"`
	Incarnation uint64    `json:"boot"`
}

// Range assigns a range to a server, given by its index among the owners, or -1
// if it has none. With fence 0 the range isn't granted.
type Range struct {
	Hashes keys.Range `json:"range"`
	Server int        `json:"server"`
	Fence  keys.Fence `json:"fence"`
	// Dispatcher is the host that holds the grant. During a change of
	// dispatcher it differs from the owner's.
	Dispatcher  keys.Host `json:"dispatcher,omitempty"`
	Incarnation uint64    `json:"boot,omitempty"`
	// GrantedTo is the server that still has the grant while the range moves to
	// Server.
	GrantedTo keys.Server `json:"holder,omitempty"`
	// Releasing reports that the dispatcher accepts no new requests.
	Releasing bool `json:"releasing,omitempty"`
}

// Claim records that a lost dispatcher may still have requests in flight to a
// server that doesn't check fencing tokens. The range can't move to another
// server until the claim ends.
type Claim struct {
	Range       keys.Range  `json:"range"`
	Server      keys.Server `json:"server"`
	Dispatcher  keys.Host   `json:"dispatcher"`
	Incarnation uint64      `json:"boot"`
	Fence       keys.Fence  `json:"fence"`
}

// Assignment is the ownership of a cell, as it is written to the store.
type Assignment struct {
	Term    uint32  `json:"term"`
	Version uint64  `json:"version"`
	Owners  []Owner `json:"owners"`
	Ranges  []Range `json:"rows"`
	Claims  []Claim `json:"claims,omitempty"`
}

// Newer reports whether a is newer than o, by term, then version.
func (a Assignment) Newer(o Assignment) bool {
	return a.Term > o.Term || a.Term == o.Term && a.Version > o.Version
}

// Table is the routing table of a cell.
type Table struct {
	Cell keys.Cell `json:"cell"`
	Assignment
	// Stored reports whether the store has this assignment.
	Stored bool `json:"stored"`
}

// assignment builds the assignment of the current version.
func (s *State) assignment() Assignment {
	a := Assignment{Term: s.term, Version: s.version}
	index := make(map[keys.Server]int, len(s.servers))
	for _, sv := range s.servers {
		if sv.listing == Gone && !s.owns(sv.name) {
			continue
		}
		index[sv.name] = len(a.Owners)
		a.Owners = append(a.Owners, Owner{Name: sv.name, Address: sv.addr, ChecksFences: sv.checksFence,
			Leaving: sv.listing == Leaving, Dispatcher: sv.dispatcher, Incarnation: sv.dispatcherIncarnation})
	}
	a.Ranges = make([]Range, 0, len(s.ranges))
	for _, rg := range s.ranges {
		r := Range{Hashes: rg.hashes, Server: -1}
		if i, ok := index[rg.owner]; ok {
			r.Server = i
		}
		if rg.lease != nil {
			r.Fence, r.Dispatcher, r.Incarnation, r.Releasing = rg.lease.fence, rg.lease.dispatcher, rg.lease.incarnation, rg.lease.releasing
			if rg.lease.server != rg.owner {
				r.GrantedTo = rg.lease.server
			}
		}
		a.Ranges = append(a.Ranges, r)
	}
	for _, cl := range s.claims {
		a.Claims = append(a.Claims, cl.Claim)
	}
	return a
}

func (s *State) owns(name keys.Server) bool {
	return slices.ContainsFunc(s.ranges, func(rg *rangeState) bool { return rg.owner == name })
}

// publish appends a Publish if the assignment has changed, and a Store unless a
// write is pending. A failed write is retried with the next change or after
// storeTimeout.
func (s *State) publish(now clock.Time, acts []Action) []Action {
	if s.writingVersion != 0 && now.Sub(s.writeStarted) >= storeTimeout {
		s.writingVersion, s.unsaved = 0, true
	}
	changed := s.dirty
	if changed {
		s.version++
		s.dirty, s.stored, s.unsaved = false, false, true
	}
	if !changed && !s.republish && (!s.unsaved || s.writingVersion != 0 || now < s.retryAt) {
		return acts
	}
	a := s.assignment()
	if changed || s.republish {
		acts = append(acts, Publish{Table: Table{Cell: s.cfg.Cell, Assignment: a, Stored: s.stored}})
		s.republish = false
	}
	if s.unsaved && s.writingVersion == 0 && (changed || now >= s.retryAt) {
		acts = append(acts, Store{Assignment: a})
		s.writingVersion, s.writeStarted, s.unsaved = a.Version, now, false
		s.retryAt = now.Add(storeTimeout)
	}
	return acts
}

// storeResult applies the result of a write.
func (s *State) storeResult(now clock.Time, version uint64, ok bool) {
	if version != s.writingVersion {
		return
	}
	s.writingVersion = 0
	switch {
	case !ok:
		s.unsaved = true
	case version == s.version:
		// The table is published again as stored. It needs a new version,
		// because readers ignore a table that isn't newer.
		s.version++
		s.stored, s.republish = true, true
	default:
		s.retryAt = now // write the newer changes at once
	}
}
