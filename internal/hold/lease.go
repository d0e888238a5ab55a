package hold

import (
	"cmp"
	"errors"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Reasons why Begin refuses a request. All of them mean "not run".
var (
	ErrNotHeld        = errors.New("hold: no lease on this hash for this server")
	ErrReleasing      = errors.New("hold: range is being released")
	ErrUnreachable    = errors.New("hold: server is unreachable")
	ErrDraining       = errors.New("hold: server is draining")
	ErrUnacknowledged = errors.New("hold: server has not acknowledged the grant")
)

// record is a range, or a part of one, that was granted and not yet released.
type record struct {
	r     keys.Range
	fence keys.Fence
	// until is the end of the lease at this host.
	until     clock.Time
	releasing bool
	// ordered says that the assigner asked for the release, so next is final.
	ordered  bool
	next     keys.Host
	complete bool

	// firstPush and lastPush are the first and last push that contained the
	// record; end is when its validity at the server has certainly passed.
	firstPush, lastPush uint64
	end                 clock.Time
	unpush              bool

	transfer   transfer
	transferAt clock.Time
	meter      meter
}

type transfer int

const (
	transferNone transfer = iota
	transferSent
	transferDone
	transferFailed
)

// Begin admits a request and returns the fence to send with it. Each
// successful Begin needs one End.
func (s *State) Begin(now clock.Time, name keys.Server, h keys.Hash) (keys.Fence, error) {
	sv, rec, err := s.check(now, name, h)
	if err != nil {
		return 0, err
	}
	if sv.inFlight == nil {
		sv.inFlight = make(map[keys.Hash]int)
	}
	sv.inFlight[h]++
	sv.total++
	rec.meter.count(h)
	return rec.fence, nil
}

// Check returns the fence with which a request may be sent now. A request that
// waited since Begin is checked again right before it is sent.
func (s *State) Check(now clock.Time, name keys.Server, h keys.Hash) (keys.Fence, error) {
	_, rec, err := s.check(now, name, h)
	if err != nil {
		return 0, err
	}
	return rec.fence, nil
}

func (s *State) check(now clock.Time, name keys.Server, h keys.Hash) (*server, *record, error) {
	sv, _, ok := s.find(name)
	if !ok {
		return nil, nil, ErrNotHeld
	}
	if sv.state == grant.Missed {
		return nil, nil, ErrUnreachable
	}
	if sv.state == grant.Draining && now.Sub(sv.drainAt) >= drainLimit {
		return nil, nil, ErrDraining
	}
	rec, err := sv.lookup(now, h)
	if err != nil {
		return nil, nil, err
	}
	if sv.checks && (rec.firstPush == 0 || sv.ackSeq < rec.firstPush) {
		return nil, nil, ErrUnacknowledged
	}
	return sv, rec, nil
}

// Complete reports whether all deduplication records of the hash are here.
func (s *State) Complete(now clock.Time, name keys.Server, h keys.Hash) bool {
	sv, _, ok := s.find(name)
	if !ok {
		return false
	}
	rec, err := sv.lookup(now, h)
	return err == nil && rec.complete
}

// End says that a request can no longer run at the server: it answered,
// refused, or its own end broke the connection. For a server that doesn't
// check fencing tokens a timeout or a cancelled request is not enough.
func (s *State) End(now clock.Time, name keys.Server, h keys.Hash) {
	sv, _, ok := s.find(name)
	if !ok || sv.inFlight[h] == 0 {
		return
	}
	sv.total--
	if sv.inFlight[h]--; sv.inFlight[h] == 0 {
		delete(sv.inFlight, h)
	}
}

// lookup returns the live record with the highest fence that contains h.
func (sv *server) lookup(now clock.Time, h keys.Hash) (best *record, err error) {
	err = ErrNotHeld
	n, _ := slices.BinarySearchFunc(sv.records, h, func(rec *record, h keys.Hash) int {
		if rec.r.Lo() > h {
			return 1
		}
		return -1
	})
	for i := n - 1; i >= 0; i-- {
		rec := sv.records[i]
		switch {
		case !rec.r.Contains(h) || now >= rec.until:
		case rec.releasing:
			if best == nil {
				err = ErrReleasing
			}
		case best == nil || rec.fence > best.fence:
			best, err = rec, nil
		}
	}
	return best, err
}

// granted applies an answer of the assigner. An answer of an older term, or
// older than one of the same term that was accepted, is refused: it may
// contain a grant that was released since.
func (s *State) granted(now clock.Time, ev Granted) {
	asked, ok := s.sent[ev.Nonce]
	a := grant.Ack{Term: ev.Term, Seq: ev.Seq}
	if !ok || s.ack.Covers(a) {
		return
	}
	s.urgent = s.urgent || a.Term > s.ack.Term
	for _, sv := range s.servers {
		if sv.loadsNonce != 0 && ev.Nonce >= sv.loadsNonce {
			sv.loadsDue = false
		}
		if a.Term > s.ack.Term {
			sv.reportLoads() // another assigner doesn't know them
		}
	}
	s.ack = a
	until := asked.Add(min(ev.Span, grant.Lease) - grant.Margin)
	for _, sv := range s.servers {
		sv.listed = false
	}
	for _, g := range ev.Servers {
		sv, at, ok := s.find(g.Server)
		if !ok {
			sv = &server{name: g.Server, window: now}
			s.servers = slices.Insert(s.servers, at, sv)
		}
		sv.listed, sv.addr, sv.checks = true, g.Address, g.Checks
		sv.lease = max(sv.lease, until)
		if sv.apply(now, until, ev.Term, g.Grants) {
			s.urgent = true
		}
	}
	for _, sv := range s.servers {
		if !sv.listed && sv.apply(now, until, ev.Term, nil) {
			s.urgent = true
		}
	}
}

// apply replaces the records by the listed entries. What is held and not
// listed is released. A fence of an earlier term only extends what is held and
// hasn't lapsed: another assigner may have granted the range since.
func (sv *server) apply(now, until clock.Time, term uint32, entries []grant.Entry) (changed bool) {
	var recs []*record
	for _, old := range sv.records {
		rest := []keys.Range{old.r}
		for _, e := range entries {
			if e.Fence != old.fence || !e.Range.Overlaps(old.r) {
				continue
			}
			part := intersect(old.r, e.Range)
			rest = subtract(rest, part)
			rec := old.slice(part)
			if now < old.until {
				rec.until = max(old.until, until)
			}
			rec.complete = e.Complete
			if e.Releasing {
				changed = changed || !rec.ordered
				rec.releasing, rec.ordered = true, true
				if rec.transfer == transferNone {
					rec.next = e.Next
				}
			}
			recs = append(recs, rec)
		}
		for _, r := range rest {
			rec := old.slice(r)
			changed = changed || !rec.releasing
			rec.releasing = true
			recs = append(recs, rec)
		}
	}
	for _, e := range entries {
		if e.Releasing || e.Fence.Term() != term || now >= until {
			continue
		}
		rest := []keys.Range{e.Range}
		for _, old := range sv.records {
			if old.fence == e.Fence {
				rest = subtract(rest, old.r)
			}
		}
		for _, r := range rest {
			recs = append(recs, &record{r: r, fence: e.Fence, until: until, complete: e.Complete, meter: meter{partial: true}})
			changed, sv.dirty = true, true
		}
	}
	recs = sv.join(tidy(recs), entries)
	if !sameRanges(recs, sv.records) {
		sv.reportLoads() // the assigner keeps loads by range
	}
	sv.records = recs
	return changed
}

// join merges neighbours of one fence that the assigner lists as one range.
func (sv *server) join(recs []*record, entries []grant.Entry) (out []*record) {
	for _, rec := range recs {
		if len(out) > 0 && !rec.releasing {
			last := out[len(out)-1]
			whole := keys.NewRange(last.r.Lo(), rec.r.Hi())
			acked := last.firstPush == rec.firstPush || max(last.firstPush, rec.firstPush) <= sv.ackSeq
			listed := slices.ContainsFunc(entries, func(e grant.Entry) bool {
				return e.Fence == rec.fence && intersect(e.Range, whole) == whole
			})
			if last.fence == rec.fence && !last.releasing && last.r.Hi()+1 == rec.r.Lo() && acked && listed &&
				last.until == rec.until && last.lastPush == rec.lastPush && last.end == rec.end {
				last.r = whole
				last.meter.add(rec.meter)
				continue
			}
		}
		out = append(out, rec)
	}
	return out
}

// slice returns a copy of rec for a part of its range.
func (rec *record) slice(part keys.Range) *record {
	c := *rec
	c.r = part
	if part != rec.r {
		c.meter = rec.meter.slice(rec.r, part)
	}
	return &c
}

// tidy sorts records by range, then fence.
func tidy(recs []*record) []*record {
	slices.SortFunc(recs, func(a, b *record) int {
		return cmp.Or(cmp.Compare(a.r.Lo(), b.r.Lo()), cmp.Compare(a.fence, b.fence))
	})
	return recs
}

func intersect(a, b keys.Range) keys.Range {
	return keys.NewRange(max(a.Lo(), b.Lo()), min(a.Hi(), b.Hi()))
}

// subtract removes cut from the ranges.
func subtract(ranges []keys.Range, cut keys.Range) (rest []keys.Range) {
	for _, r := range ranges {
		if !r.Overlaps(cut) {
			rest = append(rest, r)
			continue
		}
		if r.Lo() < cut.Lo() {
			rest = append(rest, keys.NewRange(r.Lo(), cut.Lo()-1))
		}
		if cut.Hi() < r.Hi() {
			rest = append(rest, keys.NewRange(cut.Hi()+1, r.Hi()))
		}
	}
	return rest
}
