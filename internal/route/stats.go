package route

import (
	"github.com/laburnummux/laburnummux/internal/clock"
)

// CellStats are the availability and churn of a cell, computed from the tables
// that this host has received. Shares are of the cell's hash space.
type CellStats struct {
	// Moved is the share whose owner changed, summed over all changes. Hashes
	// that had no owner in between, for example after the loss of a server,
	// are not counted.
	Moved float64 `json:"moved"`
	// Unowned is the time during which part of the cell had no owner, weighted
	// by the share without one.
	Unowned clock.Span `json:"unownedMs"`
	// LongestGap is the longest period during which part of the cell had no
	// owner.
	LongestGap clock.Span `json:"longestGapMs"`
}

// tracker accumulates the statistics of one cell.
type tracker struct {
	total            CellStats
	unownedShare     float64 // share without an owner since updatedAt
	unownedRemainder float64 // fraction of a ms not yet in total.Unowned
	updatedAt        clock.Time
	gapStart         clock.Time
}

// at returns the statistics up to now.
func (tr *tracker) at(now clock.Time) CellStats {
	m := tr.total
	if tr.unownedShare > 0 {
		m.Unowned += clock.Span(tr.unownedRemainder + tr.unownedShare*float64(now.Sub(tr.updatedAt)))
		m.LongestGap = max(m.LongestGap, now.Sub(tr.gapStart))
	}
	return m
}

// update accounts for the change from one table to the next; from is nil for
// the first. cellShare is the cell's share of the service's hash space.
func (tr *tracker) update(now clock.Time, from, to *Table, cellShare float64) {
	if cellShare <= 0 {
		return
	}
	if tr.unownedShare > 0 {
		tr.unownedRemainder += tr.unownedShare * float64(now.Sub(tr.updatedAt))
		whole := clock.Span(tr.unownedRemainder)
		tr.total.Unowned += whole
		tr.unownedRemainder -= float64(whole)
	}
	before := tr.unownedShare
	tr.updatedAt, tr.unownedShare = now, max(1-to.ownedShare()/cellShare, 0)
	if tr.unownedShare < shareEpsilon {
		tr.unownedShare = 0
	}
	switch {
	case before == 0 && tr.unownedShare > 0:
		tr.gapStart = now
	case before > 0 && tr.unownedShare == 0:
		tr.total.LongestGap = max(tr.total.LongestGap, now.Sub(tr.gapStart))
	}
	if from != nil {
		tr.total.Moved += movedShare(from, to) / cellShare
	}
}

// shareEpsilon is smaller than the share of any range worth measuring. Smaller
// unowned shares count as 0.
const shareEpsilon = 1e-9

// ownedShare returns the share of the service's hash space that has an owner.
func (t *Table) ownedShare() (sum float64) {
	for _, r := range t.rows {
		sum += r.Range.Share()
	}
	return sum
}

// movedShare returns the share of the service's hash space that has an owner in
// both tables, but a different one.
func movedShare(from, to *Table) (sum float64) {
	i, j := 0, 0
	for i < len(from.rows) && j < len(to.rows) {
		a, b := from.rows[i], to.rows[j]
		if part, ok := a.Range.Intersect(b.Range); ok && from.backends[a.Backend].Name != to.backends[b.Backend].Name {
			sum += part.Share()
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
