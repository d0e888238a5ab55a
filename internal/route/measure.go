package route

import (
	"github.com/laburnummux/laburnummux/internal/clock"
)

// Measures are what a host has seen of a cell since it has the cell's tables.
// Shares are of the cell's hash space.
type Measures struct {
	// Moved is the share that changed its server, summed over all changes.
	// Hashes that had no owner in between, as after a loss, don't count.
	Moved float64 `json:"moved"`
	// Unowned is the time without an owner, weighted by the share without one.
	Unowned clock.Span `json:"unownedMs"`
	// LongestGap is the longest time in which a part had no owner.
	LongestGap clock.Span `json:"longestGapMs"`
}

// follower keeps the measures of one cell.
type follower struct {
	total   Measures
	unowned float64 // share without an owner
	debt    float64 // part of Unowned below a millisecond
	since   clock.Time
	gapFrom clock.Time
}

// at returns the measures up to now.
func (f *follower) at(now clock.Time) Measures {
	m := f.total
	if f.unowned > 0 {
		m.Unowned += clock.Span(f.debt + f.unowned*float64(now.Sub(f.since)))
		m.LongestGap = max(m.LongestGap, now.Sub(f.gapFrom))
	}
	return m
}

// update takes the step from one table to the next. width is the share of the
// service's hash space that the cell has.
func (f *follower) update(now clock.Time, from, to *Table, width float64) {
	if width <= 0 {
		return
	}
	if f.unowned > 0 {
		f.debt += f.unowned * float64(now.Sub(f.since))
		whole := clock.Span(f.debt)
		f.total.Unowned += whole
		f.debt -= float64(whole)
	}
	before := f.unowned
	f.since, f.unowned = now, max(1-to.owned()/width, 0)
	if f.unowned < rounding {
		f.unowned = 0
	}
	switch {
	case before == 0 && f.unowned > 0:
		f.gapFrom = now
	case before > 0 && f.unowned == 0:
		f.total.LongestGap = max(f.total.LongestGap, now.Sub(f.gapFrom))
	}
	if from != nil {
		f.total.Moved += moved(from, to) / width
	}
}

// rounding is below the share of any range that is worth measuring.
const rounding = 1e-9

// owned returns the share of the service's hash space that has an owner.
func (t *Table) owned() (sum float64) {
	for _, r := range t.rows {
		sum += r.Range.Width()
	}
	return sum
}

// moved returns the share of the service's hash space whose server differs.
func moved(from, to *Table) (sum float64) {
	i, j := 0, 0
	for i < len(from.rows) && j < len(to.rows) {
		a, b := from.rows[i], to.rows[j]
		if part, ok := a.Range.Intersect(b.Range); ok && from.backends[a.Backend].Name != to.backends[b.Backend].Name {
			sum += part.Width()
		}
		if a.Range.Hi() <= b.Range.Hi() {
			i++
		}
		if b.Range.Hi() <= a.Range.Hi() {
			j++
		}
	}
	return sum
}
