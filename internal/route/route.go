// Package route selects the backend server and the dispatcher for a request.
//
// A service's hash space is divided into cells by its layout, which follows
// from the configuration. Each cell has a routing table, published by the
// cell's assigner (package assign), that maps ranges of hashes to backend
// servers and to their dispatchers, the hosts that send requests to them. An
// entry host keeps the tables of the cells that it uses.
//
// # Usage
//
//	s := route.New(seed)
//	s.SetLayouts(map[keys.Service]route.Layout{"ledger": svc.Cells()})
//	s.Update(now, table)
//	target, miss := s.Lookup("ledger", keys.HashOf("ledger", key))
//
// For a service without keys, Pick chooses a server by the host's own
// measurements:
//
//	target, ok := s.Pick(now, "catalogue", "north-1")
//
// The package has no clock, no I/O and no goroutine. A State is not safe for
// concurrent use.
package route

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

//go:generate go tool stringer -type=Miss -linecomment -output=route_string.go

// Miss is the result of a lookup: Hit, or the reason why it found no target.
type Miss int

// Results of a lookup.
const (
	Hit       Miss = iota // hit
	NoService             // no-service
	NoTable               // no-table
	NoOwner               // no-owner
)

// Layout is the division of a service's hash space into cells, sorted by
// range.
type Layout []config.CellRange

// Find returns the cell that contains h.
func (l Layout) Find(h keys.Hash) (keys.Cell, bool) {
	i, ok := slices.BinarySearchFunc(l, h, func(p config.CellRange, h keys.Hash) int { return compareRange(p.Range, h) })
	if !ok {
		return keys.Cell{}, false
	}
	return l[i].Cell, true
}

// compareRange returns -1 if r is below h, 1 if it is above, and 0 if it
// contains h.
func compareRange(r keys.Range, h keys.Hash) int {
	switch {
	case r.Hi() < h:
		return -1
	case r.Lo() > h:
		return 1
	}
	return 0
}

// Share returns the share of the hash space that belongs to cell c.
func (l Layout) Share(c keys.Cell) float64 {
	for _, p := range l {
		if p.Cell == c {
			return p.Range.Share()
		}
	}
	return 0
}

// Backend is a backend server as a routing table lists it.
type Backend struct {
	Name       keys.Server
	Dispatcher keys.Host
	Leaving    bool
}

// Row assigns a range to the backend server with index Backend. While a server
// changes its dispatcher, the dispatcher of a row can differ from the server's.
type Row struct {
	Range      keys.Range
	Fence      keys.Fence
	Backend    int
	Dispatcher keys.Host
}

// Table is one version of a cell's assignment of ranges to backend servers.
type Table struct {
	cell     keys.Cell
	term     uint32
	version  uint64
	assigner keys.Host
	stored   bool
	backends []Backend
	rows     []Row
}

// NewTable returns a table. Rows are sorted by range; rows whose index names
// no backend server are dropped.
func NewTable(c keys.Cell, term uint32, version uint64, assigner keys.Host, stored bool, backends []Backend, rows []Row) *Table {
	rows = slices.DeleteFunc(slices.Clone(rows), func(r Row) bool { return r.Backend < 0 || r.Backend >= len(backends) })
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.Range.Lo(), b.Range.Lo()) })
	return &Table{cell: c, term: term, version: version, assigner: assigner, stored: stored, backends: backends, rows: rows}
}

func (t *Table) Cell() keys.Cell { return t.cell }

// Term returns the term of the assigner that published the table.
func (t *Table) Term() uint32 { return t.term }

// Version returns the table's version within its term.
func (t *Table) Version() uint64 { return t.version }

// Assigner returns the host that published t.
func (t *Table) Assigner() keys.Host { return t.assigner }

// Stored reports whether the assignment has been written to the store.
func (t *Table) Stored() bool { return t.stored }

// Backends returns the cell's backend servers. The slice must not be modified.
func (t *Table) Backends() []Backend { return t.backends }

// Rows returns the assignment sorted by range. The slice must not be modified.
func (t *Table) Rows() []Row { return t.rows }

// Newer reports whether t is newer than the table with the given term and
// version.
func (t *Table) Newer(term uint32, version uint64) bool {
	return t.term > term || t.term == term && t.version > version
}

func (t *Table) find(h keys.Hash) (Row, bool) {
	i, ok := slices.BinarySearchFunc(t.rows, h, func(r Row, h keys.Hash) int { return compareRange(r.Range, h) })
	if !ok {
		return Row{}, false
	}
	return t.rows[i], true
}

// Target is the destination of a request: a backend server, the dispatcher that
// sends to it, and the table version that named them.
type Target struct {
	Cell       keys.Cell
	Server     keys.Server
	Dispatcher keys.Host
	Hash       keys.Hash
	Fence      keys.Fence
	Term       uint32
	Version    uint64
}

// State holds layouts, tables, and the load and latency of servers as measured
// by this host.
type State struct {
	layouts  map[keys.Service]Layout
	tables   map[keys.Cell]*Table
	loads    map[keys.Server]*serverLoad
	trackers map[keys.Cell]*tracker
	rng      *rand.Rand
}

// New returns an empty state. The seed initializes the random choice of servers
// in Pick.
func New(seed uint64) *State {
	return &State{
		layouts:  make(map[keys.Service]Layout),
		tables:   make(map[keys.Cell]*Table),
		loads:    make(map[keys.Server]*serverLoad),
		trackers: make(map[keys.Cell]*tracker),
		rng:      rand.New(rand.NewPCG(seed, seed)),
	}
}

// SetLayouts replaces the layouts of all services and drops the tables of cells
// that no layout contains any more.
func (s *State) SetLayouts(ls map[keys.Service]Layout) {
	s.layouts = ls
	for c := range s.tables {
		if !slices.ContainsFunc(ls[c.Service], func(p config.CellRange) bool { return p.Cell == c }) {
			delete(s.tables, c)
			delete(s.trackers, c)
		}
	}
}

func (s *State) Layout(name keys.Service) Layout { return s.layouts[name] }

// Update installs t if it is newer than the current table of its cell, and
// reports whether it did.
func (s *State) Update(now clock.Time, t *Table) bool {
	old := s.tables[t.cell]
	if old != nil && !t.Newer(old.term, old.version) {
		return false
	}
	tr := s.trackers[t.cell]
	if tr == nil {
		tr = new(tracker)
		s.trackers[t.cell] = tr
	}
	tr.update(now, old, t, s.layouts[t.cell.Service].Share(t.cell))
	s.tables[t.cell] = t
	return true
}

// Stats returns the statistics of cell c up to now.
func (s *State) Stats(now clock.Time, c keys.Cell) CellStats {
	if tr := s.trackers[c]; tr != nil {
		return tr.at(now)
	}
	return CellStats{}
}

// Table returns the table of a cell, or nil.
func (s *State) Table(c keys.Cell) *Table { return s.tables[c] }

// Tables returns all tables sorted by cell.
func (s *State) Tables() []*Table {
	ts := make([]*Table, 0, len(s.tables))
	for _, t := range s.tables {
		ts = append(ts, t)
	}
	slices.SortFunc(ts, func(a, b *Table) int { return cmp.Compare(a.cell.String(), b.cell.String()) })
	return ts
}

// Lookup returns the target for hash h. On NoTable the target names the cell
// whose table is missing, on NoOwner also the term and version of the table.
func (s *State) Lookup(name keys.Service, h keys.Hash) (Target, Miss) {
	c, ok := s.layouts[name].Find(h)
	if !ok {
		return Target{}, NoService
	}
	t := s.tables[c]
	if t == nil {
		return Target{Cell: c, Hash: h}, NoTable
	}
	r, ok := t.find(h)
	if !ok {
		return Target{Cell: c, Hash: h, Term: t.term, Version: t.version}, NoOwner
	}
	return t.target(r, h), Hit
}

func (t *Table) target(r Row, h keys.Hash) Target {
	b := t.backends[r.Backend]
	return Target{
		Cell: t.cell, Server: b.Name, Dispatcher: cmp.Or(r.Dispatcher, b.Dispatcher),
		Hash: h, Fence: r.Fence, Term: t.term, Version: t.version,
	}
}

// Pick chooses a server for a request that any server may process. It draws two
// random servers of data centre dc and returns the one with the lower expected
// latency (power of two choices). Servers of other data centres are used if dc
// has none, and servers in avoid only if there is no other.
func (s *State) Pick(now clock.Time, name keys.Service, dc keys.DataCentre, avoid ...keys.Server) (Target, bool) {
	var local, remote []Target
	for _, p := range s.layouts[name] {
		t := s.tables[p.Cell]
		if t == nil {
			continue
		}
		if p.Cell.DataCentre == dc {
			local = t.appendServers(local)
		} else {
			remote = t.appendServers(remote)
		}
	}
	for _, ts := range [][]Target{excluding(local, avoid), excluding(remote, avoid), local, remote} {
		if len(ts) > 0 {
			return s.pickOfTwo(now, ts), true
		}
	}
	return Target{}, false
}

// appendServers appends one target for each server that owns a range and is not
// leaving.
func (t *Table) appendServers(ts []Target) []Target {
	seen := make([]bool, len(t.backends))
	for _, r := range t.rows {
		if b := r.Backend; !seen[b] && !t.backends[b].Leaving {
			seen[b] = true
			ts = append(ts, t.target(r, r.Range.Lo()))
		}
	}
	return ts
}

// excluding returns the targets whose server is not in avoid.
func excluding(ts []Target, avoid []keys.Server) []Target {
	if len(avoid) == 0 {
		return ts
	}
	var kept []Target
	for _, t := range ts {
		if !slices.Contains(avoid, t.Server) {
			kept = append(kept, t)
		}
	}
	return kept
}

// pickOfTwo draws two targets at random, possibly the same one twice, and returns
// the one with the lower cost.
func (s *State) pickOfTwo(now clock.Time, ts []Target) Target {
	a := ts[s.rng.IntN(len(ts))]
	b := ts[s.rng.IntN(len(ts))]
	if s.cost(now, b.Server) < s.cost(now, a.Server) {
		return b
	}
	return a
}
