package dedup

import (
	"sort"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// segment is a range of hashes with the same floor and fence.
type segment struct {
	r       keys.Range
	covered bool       // every id that may have run has a record or a time up to floor
	floor   WallTime   // ids up to this time may have run without a record
	fence   keys.Fence // of the last change of covered
}

// coverage divides the whole hash space into segments, sorted by range.
type coverage struct{ segs []segment }

func newCoverage() coverage { return coverage{segs: []segment{{r: keys.FullRange()}}} }

func (c *coverage) index(h keys.Hash) int {
	return sort.Search(len(c.segs), func(i int) bool { return c.segs[i].r.Hi() >= h })
}

func (c *coverage) segmentAt(h keys.Hash) segment { return c.segs[c.index(h)] }

// raiseFloor raises the floor of the segment that contains h to at least floor.
func (c *coverage) raiseFloor(h keys.Hash, floor WallTime) {
	s := &c.segs[c.index(h)]
	s.floor = max(s.floor, floor)
}

// split divides the segment that contains h so that one starts at h.
func (c *coverage) split(h keys.Hash) {
	i := c.index(h)
	if c.segs[i].r.Lo() == h {
		return
	}
	left, right := c.segs[i], c.segs[i]
	left.r, right.r = c.segs[i].r.Split(h)
	c.segs = append(c.segs, segment{})
	copy(c.segs[i+1:], c.segs[i:])
	c.segs[i], c.segs[i+1] = left, right
}

// update splits segments at the ends of r, calls f for each segment within r, and
// joins adjacent segments with equal values.
func (c *coverage) update(r keys.Range, f func(*segment)) {
	c.split(r.Lo())
	if r.Hi() != keys.MaxHash {
		c.split(r.Hi() + 1)
	}
	for i := c.index(r.Lo()); i < len(c.segs) && c.segs[i].r.Lo() <= r.Hi(); i++ {
		f(&c.segs[i])
	}
	joined := c.segs[:1]
	for _, s := range c.segs[1:] {
		last := &joined[len(joined)-1]
		if s.covered == last.covered && s.floor == last.floor && s.fence == last.fence {
			last.r = keys.NewRange(last.r.Lo(), s.r.Hi())
			continue
		}
		joined = append(joined, s)
	}
	c.segs = joined
}

// Floor is the floor of a range: ids stamped up to Wall may have run without a
// record.
type Floor struct {
	Range keys.Range `json:"range"`
	Fence keys.Fence `json:"fence"`
	Wall  WallTime   `json:"wall"`
}

// floors returns the floors of the covered segments.
func (c *coverage) floors() (fs []Floor) {
	for _, s := range c.segs {
		if s.covered {
			fs = append(fs, Floor{Range: s.r, Fence: s.fence, Wall: s.floor})
		}
	}
	return fs
}

// Batch has the floors and records of a range, which a dispatcher transfers to
// its successor.
type Batch struct {
	Fence   keys.Fence `json:"fence"` // under which the sender held the range
	Floors  []Floor    `json:"floors"`
	Records []Record   `json:"records"`
}

// SetFloor covers r under the given fence after an unplanned takeover. The
// outcome of ids stamped up to wall that have no record is "unknown". wall is
// the host's wall clock plus TakeoverMargin. Parts of r that the State has
// recorded under a later fence stay unchanged; ok is false if that is all of r.
func (s *State) SetFloor(r keys.Range, fence keys.Fence, wall WallTime) (ok bool) {
	s.coverage.update(r, func(g *segment) {
		if fence >= g.fence {
			g.covered, g.fence, g.floor = true, fence, max(g.floor, wall)
			ok = true
		}
	})
	return ok
}

// Export ends the coverage of r, which was held under the given fence, and
// returns its floors and records. Requests in flight are exported as
// Indeterminate, because the successor must not run them. The records also stay
// here until they expire, because they remain valid.
func (s *State) Export(r keys.Range, fence keys.Fence) Batch {
	b := Batch{Fence: fence}
	s.coverage.update(r, func(g *segment) {
		if g.covered {
			b.Floors = append(b.Floors, Floor{Range: g.r, Fence: g.fence, Wall: g.floor})
			g.covered, g.fence = false, max(g.fence, fence)
		}
	})
	for _, rec := range s.records {
		if !r.Contains(rec.Hash) {
			continue
		}
		out := rec.Record
		if out.Status == Running {
			out.Status = Indeterminate
		}
		b.Records = append(b.Records, out)
	}
	sort.Slice(b.Records, func(i, j int) bool {
		x, y := b.Records[i].ID, b.Records[j].ID
		return string(x[:]) < string(y[:])
	})
	return b
}

// Uncover ends the coverage of r without a transfer, after its lease is lost.
func (s *State) Uncover(r keys.Range, fence keys.Fence) {
	s.coverage.update(r, func(g *segment) {
		if g.covered && fence >= g.fence {
			g.covered, g.fence = false, fence
		}
	})
}

// Import adds the records of a planned move and covers the ranges of the batch,
// except for parts that the State has recorded under the fence of the batch or
// a later one. For these the batch is a duplicate or late, and requests may have
// run since. Records are added in any case. ok is false if the batch has covered
// no range.
func (s *State) Import(now clock.Time, b Batch) (ok bool) {
	for _, f := range b.Floors {
		s.coverage.update(f.Range, func(g *segment) {
			if b.Fence > g.fence {
				g.covered, g.fence, g.floor = true, b.Fence, max(g.floor, f.Wall)
				ok = true
			}
		})
	}
	for _, rec := range b.Records {
		s.mergeRecord(now, rec)
	}
	s.evict(s.cfg.MaxRecords)
	return ok
}

// mergeRecord adds a record. An Answered record replaces an Indeterminate one of
// the same content; any other existing record is kept, such as that of a request
// in flight here.
func (s *State) mergeRecord(now clock.Time, rec Record) {
	old := s.records[rec.ID]
	switch {
	case old == nil:
		old = &record{}
		s.records[rec.ID] = old
	case old.Status == Indeterminate && rec.Status == Answered && old.Digest == rec.Digest:
		s.unlink(old)
		s.bytes -= recordOverheadBytes + old.Response.bytes()
	default:
		return
	}
	if rec.Status == Running {
		rec.Status = Indeterminate
	}
	old.Record = rec
	s.bytes += recordOverheadBytes + rec.Response.bytes()
	s.appendFinished(now, old)
}

// Outcome returns the outcome that is reported to the caller. For Run and Wait it
// is not yet known.
func (v Verdict) Outcome() answer.Outcome {
	switch v.Decision {
	case Refused:
		return answer.NotRun
	case Replay:
		return answer.Answered
	}
	return answer.Unknown
}
