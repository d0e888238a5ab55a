package dedup

import (
	"sort"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// segment is a part of the hash space with one floor.
type segment struct {
	r     keys.Range
	owned bool       // every id that may have run has a record or is not above floor
	floor Wall       // ids up to this time may have run without a record
	fence keys.Fence // of the last change of owned
}

// cover divides the whole hash space into segments, in order.
type cover struct{ segs []segment }

func newCover() cover { return cover{segs: []segment{{r: keys.Full()}}} }

func (c *cover) index(h keys.Hash) int {
	return sort.Search(len(c.segs), func(i int) bool { return c.segs[i].r.Hi() >= h })
}

func (c *cover) at(h keys.Hash) segment { return c.segs[c.index(h)] }

// raise lifts the floor of the segment that contains h.
func (c *cover) raise(h keys.Hash, floor Wall) {
	s := &c.segs[c.index(h)]
	s.floor = max(s.floor, floor)
}

// cut makes h the start of a segment.
func (c *cover) cut(h keys.Hash) {
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

// update calls f for each segment of r, cut to r, and joins equal neighbours.
func (c *cover) update(r keys.Range, f func(*segment)) {
	c.cut(r.Lo())
	if r.Hi() != keys.MaxHash {
		c.cut(r.Hi() + 1)
	}
	for i := c.index(r.Lo()); i < len(c.segs) && c.segs[i].r.Lo() <= r.Hi(); i++ {
		f(&c.segs[i])
	}
	joined := c.segs[:1]
	for _, s := range c.segs[1:] {
		last := &joined[len(joined)-1]
		if s.owned == last.owned && s.floor == last.floor && s.fence == last.fence {
			last.r = keys.NewRange(last.r.Lo(), s.r.Hi())
			continue
		}
		joined = append(joined, s)
	}
	c.segs = joined
}

// Floor says up to which time ids of a range may have run without a record.
type Floor struct {
	Range keys.Range `json:"range"`
	Fence keys.Fence `json:"fence"`
	Wall  Wall       `json:"wall"`
}

// floors returns the covered segments.
func (c *cover) floors() (fs []Floor) {
	for _, s := range c.segs {
		if s.owned {
			fs = append(fs, Floor{Range: s.r, Fence: s.fence, Wall: s.floor})
		}
	}
	return fs
}

// Batch has what a dispatcher knows about a range, for its successor.
type Batch struct {
	Fence   keys.Fence `json:"fence"` // under which the sender held the range
	Floors  []Floor    `json:"floors"`
	Records []Record   `json:"records"`
}

// SetFloor covers r under the given fence after an unplanned takeover. Ids
// stamped up to wall that have no record are answered "unknown". wall is the
// host's wall clock plus TakeoverMargin. Parts of r for which the State has
// seen a later fence stay as they are; ok is false if that is all of r.
func (s *State) SetFloor(r keys.Range, fence keys.Fence, wall Wall) (ok bool) {
	s.cover.update(r, func(g *segment) {
		if fence >= g.fence {
			g.owned, g.fence, g.floor = true, fence, max(g.floor, wall)
			ok = true
		}
	})
	return ok
}

// Export ends the coverage of r, which was held under the given fence, and
// returns what is known about it. Requests in flight are exported as
// "unknown": the successor must not run them. Records stay here until they
// expire, because they remain true.
func (s *State) Export(r keys.Range, fence keys.Fence) Batch {
	b := Batch{Fence: fence}
	s.cover.update(r, func(g *segment) {
		if g.owned {
			b.Floors = append(b.Floors, Floor{Range: g.r, Fence: g.fence, Wall: g.floor})
			g.owned, g.fence = false, max(g.fence, fence)
		}
	})
	for _, rec := range s.records {
		if !r.Contains(rec.Hash) {
			continue
		}
		out := rec.Record
		if out.Status == Running {
			out.Status = Unsure
		}
		b.Records = append(b.Records, out)
	}
	sort.Slice(b.Records, func(i, j int) bool {
		x, y := b.Records[i].ID, b.Records[j].ID
		return string(x[:]) < string(y[:])
	})
	return b
}

// Uncover ends the coverage of r without a successor, when its lease is lost.
func (s *State) Uncover(r keys.Range, fence keys.Fence) {
	s.cover.update(r, func(g *segment) {
		if g.owned && fence >= g.fence {
			g.owned, g.fence = false, fence
		}
	})
}

// Import takes over the records of a planned move and covers the ranges of
// the batch, except parts for which the State has seen the batch's fence or a
// later one: such a batch is a duplicate or late, and requests may have run
// since. Records are kept in any case. ok is false if nothing is covered.
func (s *State) Import(now clock.Time, b Batch) (ok bool) {
	for _, f := range b.Floors {
		s.cover.update(f.Range, func(g *segment) {
			if b.Fence > g.fence {
				g.owned, g.fence, g.floor = true, b.Fence, max(g.floor, f.Wall)
				ok = true
			}
		})
	}
	for _, rec := range b.Records {
		s.merge(now, rec)
	}
	s.shrink(s.cfg.MaxRecords)
	return ok
}

// merge adds a record. An answer replaces an "unknown"; a request in flight
// here keeps its record.
func (s *State) merge(now clock.Time, rec Record) {
	old := s.records[rec.ID]
	switch {
	case old == nil:
		old = &record{}
		s.records[rec.ID] = old
	case old.Status == Unsure && rec.Status == Answered && old.Digest == rec.Digest:
		s.unlink(old)
		s.bytes -= recordBytes + old.Answer.bytes()
	default:
		return
	}
	if rec.Status == Running {
		rec.Status = Unsure
	}
	old.Record = rec
	s.bytes += recordBytes + rec.Answer.bytes()
	s.link(now, old)
}

// Outcome returns the outcome that a caller learns from the verdict; Run and
// Wait have none yet.
func (v Verdict) Outcome() answer.Outcome {
	switch v.Decision {
	case Refused:
		return answer.NotRun
	case Replay:
		return answer.Answered
	}
	return answer.Unknown
}
