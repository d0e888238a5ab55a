package owner

// Newer reports whether t is newer than o and replaces it.
func (t Table) Newer(o Table) bool {
	return t.Term > o.Term || t.Term == o.Term && t.Version > o.Version
}

// Change returns the difference between old and t: only the ranges with another
// owner. A complete table can have hundreds of ranges, and each move is sent to
// all hosts.
func (t Table) Change(old Table) Table {
	c := t
	c.Base, c.Spans = old.Version, nil
	from := Key(0)
	for i, j := 0, 0; i < len(t.Spans) && j < len(old.Spans); {
		now, before := t.Spans[i], old.Spans[j]
		to := min(now.To, before.To)
		if now.Server != before.Server {
			c.Spans = appendRange(c.Spans, Span{From: from, To: to, Server: now.Server})
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
	next.Base, next.Spans = 0, nil
	for _, s := range t.Spans {
		next.Spans = appendWithChanges(next.Spans, s, c.Spans)
	}
	return next, true
}

// appendWithChanges appends a range, overridden by the changes that lie in it.
func appendWithChanges(spans []Span, s Span, changes []Span) []Span {
	from := int(s.From)
	for _, x := range changes {
		if x.To < s.From || x.From > s.To {
			continue
		}
		if int(x.From) > from {
			spans = appendRange(spans, Span{From: Key(from), To: x.From - 1, Server: s.Server})
		}
		to := min(x.To, s.To)
		spans = appendRange(spans, Span{From: Key(max(from, int(x.From))), To: to, Server: x.Server})
		from = int(to) + 1
	}
	if from <= int(s.To) {
		spans = appendRange(spans, Span{From: Key(from), To: s.To, Server: s.Server})
	}
	return spans
}

// appendRange appends a range, or extends the last one if that is adjacent and
// has the same owner.
func appendRange(spans []Span, s Span) []Span {
	if n := len(spans); n > 0 && spans[n-1].Server == s.Server && int(spans[n-1].To)+1 == int(s.From) {
		spans[n-1].To = s.To
		return spans
	}
	return append(spans, s)
}
