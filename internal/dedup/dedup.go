// Package dedup keeps the deduplication records of non-idempotent requests, so
// that a request runs at most once.
//
// A State belongs to one dispatcher. It has no clock, no I/O and no lock: the
// dispatcher calls it under a mutex. A request runs only if the State covers the
// hash of its key: every id that may have run for the hash either has a record
// or is not later than the floor of its range. The floor is a wall-clock time;
// ids stamped at or before it that have no record may have run, and their
// outcome is "unknown".
//
// # Usage
//
//	s.SetFloor(r, fence, wall.Add(dedup.TakeoverMargin)) // unplanned takeover
//	s.Import(now, batch)                                 // planned move
//	v := s.Begin(now, wall, id, hash, digest)
//	switch v.Decision {
//	case dedup.Run:     // send it, then s.Finish(now, v.Token, outcome, response)
//	case dedup.Wait:    // an earlier request with this id is running; wait for its Finish
//	case dedup.Replay:  // v.Response is the response to the first request
//	case dedup.Unknown: // an earlier request may have run; v.Reason has the reason
//	case dedup.Refused: // the request did not run; v.Reason has the reason
//	}
//	batch := s.Export(r, fence) // this State no longer covers the range
//
// # Conditions
//
// The dispatcher calls Begin only while it holds the lease of the key, and after
// SetFloor or Import for the current grant. A fence is the fencing token under
// which a range was held. A batch carries the fence of its sender, so that a
// delayed batch cannot cover a range that was since held under a later fence.
// The wall clocks of two dispatchers of a range differ by at most 250 ms.
package dedup

import (
	"net/http"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

//go:generate go tool stringer -type=Decision,Status -linecomment -output=dedup_string.go

// Defaults and limits.
const (
	// MaxAhead is how far the time of an id may be ahead of the host's wall
	// clock.
	MaxAhead = 250 * clock.Millisecond
	// TakeoverMargin is added to the wall clock to get the floor of an
	// unplanned takeover: MaxAhead plus 250 ms of clock skew between two entry
	// hosts.
	TakeoverMargin = 500 * clock.Millisecond

	DefaultRetention        = 10 * clock.Minute
	DefaultMaxAge           = 9 * clock.Minute // less than Retention, so that the record of an accepted id still exists
	DefaultMaxRecords       = 1 << 16
	DefaultMaxBytes         = 16 << 20
	DefaultMaxResponseBytes = 16 << 10

	maxExpirePerBegin   = 16  // expired records that one Begin deletes at most
	recordOverheadBytes = 256 // estimated size of a record without its response
)

// Config has the limits of a State. Zero values stand for the defaults.
type Config struct {
	Retention        clock.Span // how long a finished record is kept
	MaxAge           clock.Span // the outcome of older ids without a record is "unknown"
	MaxRecords       int
	MaxBytes         int // of records with their responses
	MaxResponseBytes int // largest body of a response that is kept
}

// Digest is a hash of the content of a request.
type Digest uint64

// Response is a backend server's response as it is kept for repeated requests.
type Response struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

func (a Response) bytes() (n int) {
	n = len(a.Body)
	for k, vs := range a.Header {
		n += len(k)
		for _, v := range vs {
			n += len(v)
		}
	}
	return n
}

// Decision is what Begin decides about a request.
type Decision int

// Decisions.
const (
	Refused Decision = iota // refused
	Run                     // run
	Wait                    // wait
	Replay                  // replay
	Unknown                 // unknown
)

// Status is the status of a record.
type Status int

// Statuses.
const (
	Running       Status = iota // running
	Answered                    // answered
	Indeterminate               // unknown
)

// Token identifies one run of an id. With it, a late Finish of an earlier run
// cannot free the id while a later run is in flight.
type Token struct {
	id  ID
	run uint64
}

// ID returns the request id of the run.
func (t Token) ID() ID { return t.id }

// Verdict is the result of Begin.
type Verdict struct {
	Decision Decision
	Reason   answer.Reason
	Token    Token    // the run to finish (Run) or to wait for (Wait)
	Response Response // set for Replay; shared, must not be modified
}

// Record is a deduplication record in the form in which it is transferred
// between dispatchers.
type Record struct {
	ID          ID        `json:"id"`
	Hash        keys.Hash `json:"hash"`
	Digest      Digest    `json:"digest"`
	Status      Status    `json:"status"`
	Response    Response  `json:"answer"`
	HasResponse bool      `json:"hasAnswer"` // false if the response was too large to keep
}

type record struct {
	Record
	run        uint64
	waiters    int // requests that wait for the run
	finishedAt clock.Time
	prev, next *record // in the order of completion; nil while running
}

// State holds the records and floors of one dispatcher.
type State struct {
	cfg            Config
	records        map[ID]*record
	coverage       coverage
	oldest, newest *record // ends of the list of finished records
	bytes          int
	lastRun        uint64
	running        int
	counts         Counts
}

// Counts has the numbers of decisions, evictions and expirations since New.
type Counts struct {
	Run, Wait, Replay, Unknown, Refused, Evicted, Expired uint64
}

// New returns a State that covers no hash: until SetFloor or Import, the
// decision about every id is Unknown with the reason not-dispatcher.
func New(cfg Config) *State {
	setDefault := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	if cfg.Retention <= 0 {
		cfg.Retention = DefaultRetention
	}
	if cfg.MaxAge <= 0 {
		cfg.MaxAge = DefaultMaxAge
	}
	setDefault(&cfg.MaxRecords, DefaultMaxRecords)
	setDefault(&cfg.MaxBytes, DefaultMaxBytes)
	setDefault(&cfg.MaxResponseBytes, DefaultMaxResponseBytes)
	return &State{cfg: cfg, records: make(map[ID]*record), coverage: newCoverage()}
}

// Begin decides whether a request may run. wall is the host's wall clock, hash
// the hash of the key, and digest the digest of the request's content.
//
// The floor is checked before ids with a time in the future are refused: such
// an id may have run at a lost dispatcher whose clock was ahead, and only an id
// that certainly did not run may be refused.
func (s *State) Begin(now clock.Time, wall WallTime, id ID, hash keys.Hash, digest Digest) (v Verdict) {
	if !id.valid() {
		return s.verdict(Refused, answer.BadRequestID)
	}
	s.expire(now)
	if r := s.records[id]; r != nil {
		return s.repeat(r, hash, digest)
	}
	seg := s.coverage.segmentAt(hash)
	switch {
	case !seg.covered:
		return s.verdict(Unknown, answer.NotDispatcher)
	case id.Stamp() <= seg.floor, id.Stamp() < wall.Add(-s.cfg.MaxAge):
		return s.verdict(Unknown, answer.EarlierAttempt)
	case id.Stamp() > wall.Add(MaxAhead):
		return s.verdict(Refused, answer.BadRequestID)
	case !s.ensureCapacity():
		return s.verdict(Refused, answer.QueueFull)
	}
	s.lastRun++
	r := &record{Record: Record{ID: id, Hash: hash, Digest: digest}, run: s.lastRun}
	s.records[id] = r
	s.bytes += recordOverheadBytes
	s.running++
	v = s.verdict(Run, answer.ReasonNone)
	v.Token = Token{id: id, run: r.run}
	return v
}

// repeat decides about an id that has a record. An id that is reused with other
// content is refused unless the status of the record is Indeterminate: its run
// may have ended as "not run" after the export of the record, and a request with
// the other content may have run since.
func (s *State) repeat(r *record, hash keys.Hash, digest Digest) Verdict {
	switch {
	case r.Status != Indeterminate && (r.Hash != hash || r.Digest != digest):
		return s.verdict(Refused, answer.BadRequestID)
	case r.Status == Running:
		r.waiters++
		v := s.verdict(Wait, answer.StillRunning)
		v.Token = Token{id: r.ID, run: r.run}
		return v
	case r.Status == Answered && r.HasResponse:
		v := s.verdict(Replay, answer.ReasonNone)
		v.Response = r.Response
		return v
	}
	return s.verdict(Unknown, answer.EarlierAttempt)
}

// Finish ends a run and returns the number of requests that wait for it; they
// get the same outcome. The outcome answer.NotRun frees the id and is allowed
// only if no attempt of the run can have reached a server. The token of an
// earlier run has no effect, and ok is false.
func (s *State) Finish(now clock.Time, t Token, o answer.Outcome, a Response) (waiters int, ok bool) {
	r := s.records[t.id]
	if r == nil || r.run != t.run || r.Status != Running {
		return 0, false
	}
	s.running--
	if o == answer.NotRun {
		delete(s.records, t.id)
		s.bytes -= recordOverheadBytes
		return r.waiters, true
	}
	r.Status = Indeterminate
	if o == answer.Answered {
		r.Status = Answered
		if len(a.Body) <= s.cfg.MaxResponseBytes {
			r.Response, r.HasResponse = a, true
			s.bytes += a.bytes()
		}
	}
	s.appendFinished(now, r)
	s.evict(s.cfg.MaxRecords)
	return r.waiters, true
}

func (s *State) verdict(d Decision, reason answer.Reason) Verdict {
	switch d {
	case Run:
		s.counts.Run++
	case Wait:
		s.counts.Wait++
	case Replay:
		s.counts.Replay++
	case Unknown:
		s.counts.Unknown++
	case Refused:
		s.counts.Refused++
	}
	return Verdict{Decision: d, Reason: reason}
}
