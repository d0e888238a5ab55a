package assign

import (
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Owner is a backend server as it appears in an assignment or table.
type Owner struct {
	Name    keys.Server `json:"name"`
	Address string      `json:"address"`
	Checks  bool        `json:"checks"`
	Leaving bool        `json:"leaving,omitempty"`
	// Dispatcher is the host through which new ranges of the server are
	// served, Boot its boot id.
	Dispatcher keys.Host `json:"dispatcher"`
	Boot       uint64    `json:"boot"`
}

// Row assigns a range to a server, given by its index among the owners, or -1.
// A row with fence 0 has no grant.
type Row struct {
	Range  keys.Range `json:"range"`
	Server int        `json:"server"`
	Fence  keys.Fence `json:"fence"`
	// Dispatcher holds the grant; during a change of dispatcher it differs
	// from the owner's.
	Dispatcher keys.Host `json:"dispatcher,omitempty"`
	Boot       uint64    `json:"boot,omitempty"`
	// Holder is the server that has the grant while the range is on its way
	// from it to Server.
	Holder keys.Server `json:"holder,omitempty"`
	// Releasing says that the dispatcher takes no new requests.
	Releasing bool `json:"releasing,omitempty"`
}

// Claim says that a lost dispatcher may still have requests in flight to a
// server that doesn't check fencing tokens. The range can't move to another
// server until the claim ends.
type Claim struct {
	Range      keys.Range  `json:"range"`
	Server     keys.Server `json:"server"`
	Dispatcher keys.Host   `json:"dispatcher"`
	Boot       uint64      `json:"boot"`
	Fence      keys.Fence  `json:"fence"`
}

// Assignment is what the store keeps of a cell's ownership.
type Assignment struct {
	Term    uint32  `json:"term"`
	Version uint64  `json:"version"`
	Owners  []Owner `json:"owners"`
	Rows    []Row   `json:"rows"`
	Claims  []Claim `json:"claims,omitempty"`
}

// Newer reports whether a replaces o.
func (a Assignment) Newer(o Assignment) bool {
	return a.Term > o.Term || a.Term == o.Term && a.Version > o.Version
}

// Table is the routing table of a cell.
type Table struct {
	Cell keys.Cell `json:"cell"`
	Assignment
	// Stored is false while the store doesn't have this assignment.
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
		a.Owners = append(a.Owners, Owner{Name: sv.name, Address: sv.addr, Checks: sv.checks,
			Leaving: sv.listing == Leaving, Dispatcher: sv.host, Boot: sv.boot})
	}
	a.Rows = make([]Row, 0, len(s.rows))
	for _, w := range s.rows {
		r := Row{Range: w.r, Server: -1}
		if i, ok := index[w.server]; ok {
			r.Server = i
		}
		if w.g != nil {
			r.Fence, r.Dispatcher, r.Boot, r.Releasing = w.g.fence, w.g.host, w.g.boot, w.g.releasing
			if w.g.server != w.server {
				r.Holder = w.g.server
			}
		}
		a.Rows = append(a.Rows, r)
	}
	for _, c := range s.claims {
		a.Claims = append(a.Claims, c.Claim)
	}
	return a
}

func (s *State) owns(name keys.Server) bool {
	return slices.ContainsFunc(s.rows, func(w *row) bool { return w.server == name })
}

// publish emits the table when the assignment changed, and the write unless
// one is pending. A failed write is repeated with the next change or after
// storeWait.
func (s *State) publish(now clock.Time, acts []Action) []Action {
	if s.writing != 0 && now.Sub(s.writeAt) >= storeWait {
		s.writing, s.unsaved = 0, true
	}
	changed := s.dirty
	if changed {
		s.version++
		s.dirty, s.stored, s.unsaved = false, false, true
	}
	if !changed && !s.republish && (!s.unsaved || s.writing != 0 || now < s.retryAt) {
		return acts
	}
	a := s.assignment()
	if changed || s.republish {
		acts = append(acts, Publish{Table: Table{Cell: s.cfg.Cell, Assignment: a, Stored: s.stored}})
		s.republish = false
	}
	if s.unsaved && s.writing == 0 && (changed || now >= s.retryAt) {
		acts = append(acts, Store{Assignment: a})
		s.writing, s.writeAt, s.unsaved = a.Version, now, false
		s.retryAt = now.Add(storeWait)
	}
	return acts
}

// wrote takes the result of a write.
func (s *State) wrote(now clock.Time, version uint64, ok bool) {
	if version != s.writing {
		return
	}
	s.writing = 0
	switch {
	case !ok:
		s.unsaved = true
	case version == s.version:
		// The version grows, because readers ignore a table that isn't newer.
		s.version++
		s.stored, s.republish = true, true
	default:
		s.retryAt = now // newer changes are waiting
	}
}
