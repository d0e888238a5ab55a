// Package dedup keeps the deduplication records of non-idempotent requests, so
// that a request runs at most once.
//
// A State belongs to one dispatcher. It has no clock, no I/O and no lock: the
// owner calls it under a mutex. A request runs only if the State covers the
// hash of its key, which means that it knows every id that may have run for it:
// by a record, or by the floor of the range. Ids stamped at or before the
// floor that have no record may have run and are answered "unknown".
//
// # Usage
//
//	s.SetFloor(r, fence, wall.Add(dedup.TakeoverMargin)) // unplanned takeover
//	s.Import(now, batch)                                 // planned move
//	v := s.Begin(now, wall, id, hash, digest)
//	switch v.Decision {
//	case dedup.Run:     // send it, then s.Finish(now, v.Token, outcome, answer)
//	case dedup.Wait:    // an earlier request with this id runs; wait for its Finish
//	case dedup.Replay:  // v.Answer is the answer of the first request
//	case dedup.Unknown: // an earlier request may have run; v.Reason
//	case dedup.Refused: // did not run; v.Reason
//	}
//	batch := s.Export(r, fence) // the range is no longer covered here
//
// # Conditions
//
// The owner calls Begin only while it holds the lease of the key and after it
// called SetFloor or Import for the grant in force. Fences are those under
// which a range was held: a batch has its sender's, so that a late batch can't
// cover a range that was held under a later one. The wall clocks of two
// dispatchers of a range differ by at most 250 ms.
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
	// MaxAhead is how far an id's time may be ahead of the host's wall clock.
	MaxAhead = 250 * clock.Millisecond
	// TakeoverMargin is added to the wall clock at an unplanned takeover to
	// get the floor: MaxAhead, and 250 ms of skew between two entry hosts.
	TakeoverMargin = 500 * clock.Millisecond

	DefaultKeep       = 10 * clock.Minute
	DefaultMaxAge     = 9 * clock.Minute // less than Keep, so that no record is missed
	DefaultMaxRecords = 1 << 16
	DefaultMaxBytes   = 16 << 20
	DefaultMaxAnswer  = 16 << 10

	expireAtOnce = 16  // records deleted by one Begin
	recordBytes  = 256 // estimate of a record without its answer, for MaxBytes
)

// Config has the bounds of a State. Zero values mean the defaults.
type Config struct {
	Keep       clock.Span // how long a finished record is kept
	MaxAge     clock.Span // older ids without a record are answered "unknown"
	MaxRecords int
	MaxBytes   int // of records and kept answers
	MaxAnswer  int // body bytes of an answer that is kept
}

// Digest identifies the content of a request.
type Digest uint64

// Answer is a backend server's answer as it is kept for repeats.
type Answer struct {
	Status int         `json:"status"`
	Header http.Header `json:"header"`
	Body   []byte      `json:"body"`
}

func (a Answer) bytes() (n int) {
	n = len(a.Body)
	for k, vs := range a.Header {
		n += len(k)
		for _, v := range vs {
			n += len(v)
		}
	}
	return n
}

// Decision about a request with an id.
type Decision int

// Decisions.
const (
	Refused Decision = iota // refused
	Run                     // run
	Wait                    // wait
	Replay                  // replay
	Unknown                 // unknown
)

// Status of a record.
type Status int

// Statuses.
const (
	Running  Status = iota // running
	Answered               // answered
	Unsure                 // unknown
)

// Token identifies one run of an id. It keeps a late Finish of an earlier run
// from freeing the id while a later run is in flight.
type Token struct {
	id  ID
	run uint64
}

// ID returns the request id of the run.
func (t Token) ID() ID { return t.id }

// Verdict on a request.
type Verdict struct {
	Decision Decision
	Reason   answer.Reason
	Token    Token  // of the run to finish (Run) or to wait for (Wait)
	Answer   Answer // set for Replay; shared, not to be changed
}

// Record is a deduplication record as it is transferred.
type Record struct {
	ID     ID        `json:"id"`
	Hash   keys.Hash `json:"hash"`
	Digest Digest    `json:"digest"`
	Status Status    `json:"status"`
	Answer Answer    `json:"answer"`
	HasAns bool      `json:"hasAnswer"` // false if the answer was too large
}

type record struct {
	Record
	run        uint64
	attached   int // callers that wait for the run
	finished   clock.Time
	prev, next *record // order of finishing; unlinked while running
}

// State has the records and floors of one dispatcher.
type State struct {
	cfg      Config
	records  map[ID]*record
	cover    cover
	old, new *record // finished records, the oldest first
	bytes    int
	runs     uint64
	running  int
	counts   Counts
}

// Counts of what happened since New.
type Counts struct {
	Run, Wait, Replay, Unknown, Refused, Evicted, Expired uint64
}

// New returns a State that covers nothing: until SetFloor or Import it
// answers "unknown" with the reason not-dispatcher.
func New(cfg Config) *State {
	def := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	if cfg.Keep <= 0 {
		cfg.Keep = DefaultKeep
	}
	if cfg.MaxAge <= 0 {
		cfg.MaxAge = DefaultMaxAge
	}
	def(&cfg.MaxRecords, DefaultMaxRecords)
	def(&cfg.MaxBytes, DefaultMaxBytes)
	def(&cfg.MaxAnswer, DefaultMaxAnswer)
	return &State{cfg: cfg, records: make(map[ID]*record), cover: newCover()}
}

// Begin decides about a request. wall is the host's wall clock, hash the
// position of the key, and digest identifies the request's content.
//
// Floors are checked before ids from the future are refused: such an id may
// have run at a lost dispatcher whose clock was ahead, and only an id that
// surely did not run may be refused.
func (s *State) Begin(now clock.Time, wall Wall, id ID, hash keys.Hash, digest Digest) (v Verdict) {
	if !id.valid() {
		return s.verdict(Refused, answer.BadID)
	}
	s.expire(now)
	if r := s.records[id]; r != nil {
		return s.repeat(r, hash, digest)
	}
	seg := s.cover.at(hash)
	switch {
	case !seg.owned:
		return s.verdict(Unknown, answer.NotDispatcher)
	case id.Stamp() <= seg.floor, id.Stamp() < wall.Add(-s.cfg.MaxAge):
		return s.verdict(Unknown, answer.EarlierAttempt)
	case id.Stamp() > wall.Add(MaxAhead):
		return s.verdict(Refused, answer.BadID)
	case !s.room():
		return s.verdict(Refused, answer.QueueFull)
	}
	s.runs++
	r := &record{Record: Record{ID: id, Hash: hash, Digest: digest}, run: s.runs}
	s.records[id] = r
	s.bytes += recordBytes
	s.running++
	v = s.verdict(Run, answer.ReasonNone)
	v.Token = Token{id: id, run: r.run}
	return v
}

// repeat decides about an id that has a record. An id that is used with other
// content is refused, except beside an "unknown" record: its run may have ended
// as "not run" after it was exported, and the other content may have run since.
func (s *State) repeat(r *record, hash keys.Hash, digest Digest) Verdict {
	switch {
	case r.Status != Unsure && (r.Hash != hash || r.Digest != digest):
		return s.verdict(Refused, answer.BadID)
	case r.Status == Running:
		r.attached++
		v := s.verdict(Wait, answer.StillRunning)
		v.Token = Token{id: r.ID, run: r.run}
		return v
	case r.Status == Answered && r.HasAns:
		v := s.verdict(Replay, answer.ReasonNone)
		v.Answer = r.Answer
		return v
	}
	return s.verdict(Unknown, answer.EarlierAttempt)
}

// Finish ends a run and returns the number of callers that wait for it. They
// get the same outcome. NotRun frees the id; the owner may say so only if no
// attempt of the run can have reached a server. A token of an earlier run has
// no effect and returns false.
func (s *State) Finish(now clock.Time, t Token, o answer.Outcome, a Answer) (attached int, ok bool) {
	r := s.records[t.id]
	if r == nil || r.run != t.run || r.Status != Running {
		return 0, false
	}
	s.running--
	if o == answer.NotRun {
		delete(s.records, t.id)
		s.bytes -= recordBytes
		return r.attached, true
	}
	r.Status = Unsure
	if o == answer.Answered {
		r.Status = Answered
		if len(a.Body) <= s.cfg.MaxAnswer {
			r.Answer, r.HasAns = a, true
			s.bytes += a.bytes()
		}
	}
	s.link(now, r)
	s.shrink(s.cfg.MaxRecords)
	return r.attached, true
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
