package dedup

import (
	"github.com/laburnummux/laburnummux/internal/clock"
)

// link appends a finished record to the order in which records are deleted.
func (s *State) link(now clock.Time, r *record) {
	r.finished = now
	r.prev, r.next = s.new, nil
	if s.new == nil {
		s.old = r
	} else {
		s.new.next = r
	}
	s.new = r
}

// remove deletes a finished record. The floor of its hash rises to its time,
// so that the id is answered "unknown" from now on, even if the wall clock is
// set back.
func (s *State) remove(r *record) {
	s.unlink(r)
	delete(s.records, r.ID)
	s.bytes -= recordBytes + r.Answer.bytes()
	s.cover.raise(r.Hash, r.ID.Stamp())
}

func (s *State) unlink(r *record) {
	if r.prev == nil {
		s.old = r.next
	} else {
		r.prev.next = r.next
	}
	if r.next == nil {
		s.new = r.prev
	} else {
		r.next.prev = r.prev
	}
	r.prev, r.next = nil, nil
}

// expire deletes records that were kept for Config.Keep. The number is bounded,
// because the caller is a request: after an idle time all records are due at
// once. Records that stay longer do no harm.
func (s *State) expire(now clock.Time) {
	for n := 0; n < expireAtOnce && s.old != nil && now.Sub(s.old.finished) >= s.cfg.Keep; n++ {
		s.remove(s.old)
		s.counts.Expired++
	}
}

// shrink evicts the oldest finished records until at most n records and
// Config.MaxBytes remain. Records of requests in flight stay: their number is
// bounded by the slots and the queue.
func (s *State) shrink(n int) {
	for s.old != nil && (len(s.records) > n || s.bytes > s.cfg.MaxBytes) {
		s.remove(s.old)
		s.counts.Evicted++
	}
}

// room makes room for one record and reports whether there is any.
func (s *State) room() bool {
	s.shrink(s.cfg.MaxRecords - 1)
	return len(s.records) < s.cfg.MaxRecords
}

// Counts returns what happened since New.
func (s *State) Counts() Counts { return s.counts }

// Records returns the number of records.
func (s *State) Records() int { return len(s.records) }

// Dump is the state in a form for JSON. Answers are left out, because they
// belong to callers.
type Dump struct {
	Records  int     `json:"records"`
	Running  int     `json:"running"`
	Bytes    int     `json:"bytes"`
	Coverage []Floor `json:"coverage"`
	Counts   Counts  `json:"counts"`
}

// Dump returns the state for an operator.
func (s *State) Dump() Dump {
	return Dump{
		Records: len(s.records), Running: s.running, Bytes: s.bytes,
		Coverage: s.cover.floors(), Counts: s.counts,
	}
}
