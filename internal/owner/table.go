package owner

// Newer reports whether t is newer than o and replaces it.
func (t Table) Newer(o Table) bool {
	return t.Term > o.Term || t.Term == o.Term && t.Version > o.Version
}

// Diff returns the difference between old and t: only the ranges with another
// owner. A complete table can have hundreds of ranges, and each move is sent to
// all hosts.
func (t Table) Diff(old Table) Table {
	c := t
	c.Base, c.Spans = old.Version, nil
	from := Key(0)
	for i, j := 0, 0; i < len(t.Spans) && j < len(old.Spans); {
		now, before := t.Spans[i], old.Spans[j]
		to := min(now.To, before.To)
		if now.Server != before.Server {
			c.Spans = appendRange(c.Spans, Range{From: from, To: to, Server: now.Server})
		}
		if now.To == to {
			i++
		}
		if before.To == to {
			j++
		}
		from = to + 1
	}
	return c
}

// Apply returns t with the changes of c. ok is false if c isn't newer than t, or
// is a change to another version than t.
func (t Table) Apply(c Table) (next Table, ok bool) {
	if !c.Newer(t) {
		return t, false
	}
	if c.Base == 0 {
		return c, true
	}
	if c.Term != t.Term || c.Base != t.Version {
		return t, false
	}
	next = c
	next.Base, next.Spans = 0, make([]Range, 0, len(t.Spans)+2*len(c.Spans)) // each change splits one range at most
	for _, r := range t.Spans {
		next.Spans = appendWithChanges(next.Spans, r, c.Spans)
	}
	return next, true
}

// appendWithChanges appends a range, overridden by the changes that lie in it.
func appendWithChanges(ranges []Range, r Range, changes []Range) []Range {
	from := int(r.From)
	for _, x := range changes {
		if x.To < r.From || x.From > r.To {
			continue
		}
		if int(x.From) > from {
			ranges = appendRange(ranges, Range{From: Key(from), To: x.From - 1, Server: r.Server})
		}
		to := min(x.To, r.To)
		ranges = appendRange(ranges, Range{From: Key(max(from, int(x.From))), To: to, Server: x.Server})
		from = int(to) + 1
	}
	if from <= int(r.To) {
		ranges = appendRange(ranges, Range{From: Key(from), To: r.To, Server: r.Server})
	}
	return ranges
}

// appendRange appends a range, or extends the last one if that is adjacent and
// has the same owner.
func appendRange(ranges []Range, r Range) []Range {
	if n := len(ranges); n > 0 && ranges[n-1].Server == r.Server && int(ranges[n-1].To)+1 == int(r.From) {
		ranges[n-1].To = r.To
		return ranges
	}
	return append(ranges, r)
}
