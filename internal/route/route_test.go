package route

import (
	"testing"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"github.com/matryer/is"
)

// layout returns a layout with a single cell that covers the hash space.
func layout(dc keys.DataCentre) Layout {
	return Layout{{Cell: keys.Cell{Service: "ledger", DataCentre: dc}, Range: keys.FullRange()}}
}

func newTestState(term uint32, version uint64) *State {
	s := New(1)
	l := layout("north-1")
	s.SetLayouts(map[keys.Service]Layout{"ledger": l})
	parts := keys.FullRange().Divide(2)
	s.Update(0, NewTable(l[0].Cell, term, version, "a", true,
		[]Backend{{Name: "s1", Dispatcher: "a"}, {Name: "s2", Dispatcher: "b"}},
		[]Row{{parts[1], 2, 1, ""}, {parts[0], 1, 0, ""}, {parts[0], 1, 9, ""}}))
	return s
}

// Guards against a delayed message that replaces a table with an older one.
func TestUpdateKeepsNewest(t *testing.T) {
	tests := []struct {
		name      string
		term      uint32
		version   uint64
		installed bool
	}{
		{"older term", 1, 99, false},
		{"same version", 2, 5, false},
		{"older version", 2, 4, false},
		{"newer version", 2, 6, true},
		{"newer term", 3, 1, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newTestState(2, 5)
			c := s.Layout("ledger")[0].Cell
			is.Equal(s.Update(0, NewTable(c, tt.term, tt.version, "b", true, nil, nil)), tt.installed)
		})
	}
}

// Guards against requests that reach a server that doesn't own the key.
func TestLookup(t *testing.T) {
	is := is.New(t)
	s := newTestState(1, 1)
	tg, miss := s.Lookup("ledger", 0)
	is.Equal(miss, Hit)
	is.Equal(tg.Server, keys.Server("s1"))
	tg, miss = s.Lookup("ledger", keys.MaxHash)
	is.Equal(miss, Hit)
	is.Equal(tg.Server, keys.Server("s2"))
	is.Equal(tg.Dispatcher, keys.Host("b"))
	_, miss = s.Lookup("orderdesk", 0)
	is.Equal(miss, NoService)
	s.SetLayouts(map[keys.Service]Layout{"ledger": layout("north-2")})
	_, miss = s.Lookup("ledger", 0)
	is.Equal(miss, NoTable) // the table of the removed cell is dropped
}

// Guards against a search that misses the first or last hash of a cell, or that
// finds a cell for a hash outside the layout.
func TestLayoutFind(t *testing.T) {
	is := is.New(t)
	var l Layout
	for i, r := range keys.NewRange(100, 899).Divide(7) {
		l = append(l, config.CellRange{Cell: keys.Cell{Index: i}, Range: r})
	}
	for i, p := range l {
		for _, h := range []keys.Hash{p.Range.Lo(), p.Range.Hi()} {
			c, ok := l.Find(h)
			is.True(ok)
			is.Equal(c.Index, i)
		}
	}
	for _, h := range []keys.Hash{0, 99, 900, keys.MaxHash} {
		_, ok := l.Find(h)
		is.True(!ok)
	}
}

// Guards against wrong figures of churn and unavailability: after a move, a
// period without an owner, and a split of ranges without a move.
func TestCellStats(t *testing.T) {
	is := is.New(t)
	s := New(1)
	s.SetLayouts(map[keys.Service]Layout{"ledger": layout("north-1")})
	cell := s.Layout("ledger")[0].Cell
	quarters := keys.FullRange().Divide(4)
	backends := []Backend{{Name: "s1"}, {Name: "s2"}}
	version := uint64(0)
	update := func(now clock.Time, owner ...int) {
		var rows []Row
		for i, o := range owner {
			if o >= 0 {
				rows = append(rows, Row{Range: quarters[i], Backend: o})
			}
		}
		version++
		is.True(s.Update(now, NewTable(cell, 1, version, "a", true, backends, rows)))
	}
	approxEqual := func(got, want float64) { t.Helper(); is.True(got > want-1e-6 && got < want+1e-6) }
	update(0, 0, 0, 1, 1)
	is.Equal(s.Stats(500, cell), CellStats{})
	update(1000, 0, 1, 1, 1) // one quarter moves
	approxEqual(s.Stats(1000, cell).Moved, 0.25)
	update(2000, 0, 1, -1, -1) // half of the hashes lose their owner
	is.Equal(s.Stats(2100, cell).Unowned, clock.Span(50))
	is.Equal(s.Stats(2100, cell).LongestGap, clock.Span(100))
	update(2400, 0, 1, 0, -1)
	update(2600, 0, 1, 0, 1)
	m := s.Stats(9000, cell)
	is.Equal(m.Unowned, clock.Span(400/2+200/4))
	is.Equal(m.LongestGap, clock.Span(600))
	approxEqual(m.Moved, 0.25) // a range that was unowned in between does not count as moved
	s.Update(9000, NewTable(cell, 1, 99, "a", true, backends, []Row{
		{Range: keys.NewRange(quarters[0].Lo(), 5)}, {Range: keys.NewRange(6, quarters[0].Hi())},
		{Range: quarters[1], Backend: 1}, {Range: quarters[2]}, {Range: quarters[3], Backend: 1},
	}))
	approxEqual(s.Stats(9000, cell).Moved, 0.25)
}

// Guards against a slow server that is picked as often as a fast one.
func TestPickPrefersFastServer(t *testing.T) {
	is := is.New(t)
	s := newTestState(1, 1)
	for range 20 {
		s.RequestStarted("s1")
		s.RequestEnded(0, "s1", 200, true)
		s.RequestStarted("s2")
		s.RequestEnded(0, "s2", 2, true)
	}
	n := map[keys.Server]int{}
	for range 1000 {
		tg, ok := s.Pick(0, "ledger", "north-1")
		is.True(ok)
		n[tg.Server]++
	}
	is.True(n["s2"] > 2*n["s1"])
	is.True(n["s1"] > 0) // needed to keep measuring the slow server
	tg, _ := s.Pick(0, "ledger", "north-1", "s2")
	is.Equal(tg.Server, keys.Server("s1"))
	// Without samples the latency decays, so that the slow server is tried again.
	is.True(s.cost(clock.Time(60*clock.Second), "s1") <= 4)
}
