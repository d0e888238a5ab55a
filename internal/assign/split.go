package assign

import (
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// A row is hot when its load is hotFactor times the mean of the rows and
	// at least hotShare of a server's mean load, in hotDecisions decisions in
	// a row. The latter keeps a short burst from splitting ranges.
	hotFactor    = 4
	hotShare     = 0.2
	hotDecisions = 2
	// isolateShare is the share of a row's load from which its hottest hash
	// gets a range of its own.
	isolateShare = 0.5
	// A row is cold when its load is below coldFactor times the mean, in
	// coldDecisions decisions in a row; with hotFactor this is the hysteresis
	// between split and merge.
	coldFactor    = 0.5
	coldDecisions = 10
	// mergeAbove is the number of rows of a server, and mergeRows that of the
	// cell, from which rows with different fences are merged; that needs a
	// release, so it is done only near the limits.
	mergeAbove = maxPerServer * 3 / 4
	mergeRows  = maxRows * 3 / 4
	// mergeWait is how long a released row waits for its neighbour.
	mergeWait = 3 * grant.Renewal
)

// fill adds rows without a server where the assignment has gaps, and drops
// rows that overlap an earlier one.
func (s *State) fill() {
	slices.SortStableFunc(s.rows, func(a, b *row) int {
		switch {
		case a.r.Lo() < b.r.Lo():
			return -1
		case a.r.Lo() > b.r.Lo():
			return 1
		}
		return 0
	})
	in := s.cfg.Interval
	next, full := in.Lo(), false
	var rows []*row
	for _, w := range s.rows {
		if full || w.r.Lo() < next || w.r.Hi() > in.Hi() {
			continue
		}
		if w.r.Lo() > next {
			rows = append(rows, &row{r: keys.NewRange(next, w.r.Lo()-1)})
		}
		rows = append(rows, w)
		next, full = w.r.Hi()+1, w.r.Hi() == in.Hi()
	}
	if !full {
		rows = append(rows, &row{r: keys.NewRange(next, in.Hi())})
	}
	s.rows = rows
}

// divide cuts what has no server yet into rangesPerServer ranges per server,
// once the leases of the earlier term have ended.
func (s *State) divide(now clock.Time) {
	if now < s.elected.Add(lease) || !slices.ContainsFunc(s.rows, func(w *row) bool { return w.server == "" }) {
		return
	}
	n := 0
	for _, sv := range s.servers {
		if s.usable(now, sv) {
			n++
		}
	}
	if n == 0 {
		return
	}
	var whole []keys.Range
	for _, w := range s.rows {
		if w.server == "" {
			whole = append(whole, w.r)
		}
	}
	for _, p := range s.cfg.Interval.Divide(min(n*rangesPerServer, maxRows/2)) {
		for _, r := range whole {
			if r.Contains(p.Lo()) {
				s.cutBefore(p.Lo())
			}
		}
	}
}

// loads takes the rates of a report.
func (s *State) loads(h *host, r grant.Report) {
	for _, l := range r.Loads {
		if !l.Range.Overlaps(s.cfg.Interval) {
			continue
		}
		for _, w := range s.overlapping(l.Range) {
			if w.g == nil || w.g.host != h.name || w.g.server != r.Server {
				continue
			}
			if w.r == l.Range {
				w.rate, w.hot, w.hotRate, w.measured = l.Rate, l.Hot, l.HotRate, true
			}
		}
	}
}

// splitHot splits rows that stay far above the mean, at most max of them.
func (s *State) splitHot(ld *loads, most int) {
	mean := ld.total / float64(max(len(s.rows), 1))
	for _, w := range slices.Clone(s.rows) {
		e := ld.of(w)
		if e <= hotFactor*mean || e <= hotShare*ld.mean() || w.r.Lo() == w.r.Hi() {
			w.hotFor = 0
			continue
		}
		if w.hotFor++; w.hotFor >= hotDecisions && most > 0 && s.split(ld, w) {
			most--
		}
	}
}

// split isolates the hottest hash of a row, or halves the row.
func (s *State) split(ld *loads, w *row) bool {
	if len(s.rows)+2 > maxRows || ld.rows[w.server]+2 > maxPerServer || w.r.Lo() == w.r.Hi() || w.g != nil && w.g.releasing {
		return false
	}
	w.fragment, w.hotFor = false, 0
	ld.rows[w.server]++
	if w.hotRate >= isolateShare*w.rate && w.hotRate > 0 && w.r.Contains(w.hot) {
		ld.rows[w.server]++
		s.cut(keys.NewRange(w.hot, w.hot))
		return true
	}
	s.cutBefore(w.r.Lo() + (w.r.Hi()-w.r.Lo())/2 + 1)
	return true
}

// joinRows joins neighbours that were cut by a partial release and are equal
// again, and free neighbours that wait for it.
func (s *State) joinRows() {
	s.joinIf(func(a, b *row) bool {
		if !a.fragment || !b.fragment || a.origin != b.origin || a.server != b.server {
			return false
		}
		if a.g == nil || b.g == nil {
			return a.g == b.g && a.records == b.records && a.recordsBoot == b.recordsBoot &&
				s.claimant(a) == s.claimant(b)
		}
		return *a.g == *b.g
	})
	s.joinIf(func(a, b *row) bool {
		return a.wait > 0 && a.wait == b.wait && a.g == nil && b.g == nil && a.server == b.server &&
			a.records == b.records && a.recordsBoot == b.recordsBoot
	})
}

// joinIf joins neighbours for which ok holds.
func (s *State) joinIf(ok func(a, b *row) bool) (joined int) {
	out := s.rows[:0]
	for _, w := range s.rows {
		if len(out) > 0 && ok(out[len(out)-1], w) {
			last := out[len(out)-1]
			last.r = keys.NewRange(last.r.Lo(), w.r.Hi())
			last.measured = last.measured && w.measured
			last.rate, last.floor, last.wait = last.rate+w.rate, max(last.floor, w.floor), 0
			if w.hotRate > last.hotRate {
				last.hot, last.hotRate = w.hot, w.hotRate
			}
			if last.g != nil {
				s.host(last.g.host).changed = true
			}
			s.dirty = true
			joined++
			continue
		}
		out = append(out, w)
	}
	clear(s.rows[len(out):])
	s.rows = out
	return joined
}

// mergeCold joins cold neighbours. Rows of one fence are joined at no cost;
// near the limits one pair with different fences is released to be joined.
func (s *State) mergeCold(now clock.Time, ld *loads) {
	mean := ld.total / float64(max(len(s.rows), 1))
	for _, w := range s.rows {
		if w.coldFor++; ld.of(w) > coldFactor*mean {
			w.coldFor = 0
		}
	}
	cold := func(a, b *row) bool {
		return a.server == b.server && a.coldFor >= coldDecisions && b.coldFor >= coldDecisions &&
			ld.rows[a.server] > rangesPerServer && ld.of(a)+ld.of(b) <= mean
	}
	s.joinIf(func(a, b *row) bool {
		if a.g == nil || b.g == nil || *a.g != *b.g || !cold(a, b) {
			return false
		}
		ld.rows[a.server]--
		return true
	})
	for i := 1; i < len(s.rows); i++ {
		a, b := s.rows[i-1], s.rows[i]
		near := ld.rows[a.server] > mergeAbove || len(s.rows) > mergeRows
		if !near || !cold(a, b) || a.g == nil || b.g == nil || a.g.releasing || b.g.releasing || a.g.host != b.g.host {
			continue
		}
		for _, w := range []*row{a, b} {
			w.g.releasing, w.wait, w.coldFor = true, now.Add(mergeWait), 0
			s.host(w.g.host).changed = true
		}
		s.dirty = true
		return
	}
}
