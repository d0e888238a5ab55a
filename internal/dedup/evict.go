package dedup

import (
	"github.com/laburnummux/laburnummux/internal/clock"
)

// appendFinished appends r to the list of finished records. Records are deleted
// in the order of this list.
func (s *State) appendFinished(now clock.Time, r *record) {
	r.finishedAt = now
	r.prev, r.next = s.newest, nil
	if s.newest == nil {
		s.oldest = r
	} else {
		s.newest.next = r
	}
	s.newest = r
}

// remove deletes a finished record and raises the floor of its hash to its time,
// so that the outcome of the id is "unknown" from now on, even if the wall clock
// is set back.
func (s *State) remove(r *record) {
	s.unlink(r)
	delete(s.records, r.ID)
	s.bytes -= recordOverheadBytes + r.Response.bytes()
	s.coverage.raiseFloor(r.Hash, r.ID.Stamp())
}

func (s *State) unlink(r *record) {
	if r.prev == nil {
		s.oldest = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		s.newest = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.prev, r.next = nil, nil
}

// expire deletes up to maxExpirePerBegin records that are older than
// Config.Retention. The number is bounded because a request waits for the call
// and after an idle period all records may be due at once. Records that are kept
// longer do no harm.
func (s *State) expire(now clock.Time) {
	for n := 0; n < maxExpirePerBegin && s.oldest != nil && now.Sub(s.oldest.finishedAt) >= s.cfg.Retention; n++ {
		s.remove(s.oldest)
		s.counts.Expired++
	}
}

// evict deletes the oldest finished records until at most n records and
// Config.MaxBytes remain. Records of requests in flight are not evicted: their
// number is bounded by the slots and the queue.
func (s *State) evict(n int) {
	for s.oldest != nil && (len(s.records) > n || s.bytes > s.cfg.MaxBytes) {
		s.remove(s.oldest)
		s.counts.Evicted++
	}
}

// ensureCapacity evicts records to make room for one more and reports whether
// there is room.
func (s *State) ensureCapacity() bool {
	s.evict(s.cfg.MaxRecords - 1)
	return len(s.records) < s.cfg.MaxRecords
}

func (s *State) Counts() Counts { return s.counts }

// Records returns the number of records.
func (s *State) Records() int { return len(s.records) }

// Dump is a snapshot of a State for encoding as JSON. It leaves out the
// responses, because they contain data of callers.
type Dump struct {
	Records  int     `json:"records"`
	Running  int     `json:"running"`
	Bytes    int     `json:"bytes"`
	Coverage []Floor `json:"coverage"`
	Counts   Counts  `json:"counts"`
}

// Dump returns a snapshot of the state for operators.
func (s *State) Dump() Dump {
	return Dump{
		Records: len(s.records), Running: s.running, Bytes: s.bytes,
		Coverage: s.coverage.floors(), Counts: s.counts,
	}
}
