package fakes

import (
	"context"
	"net/http"
	"time"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/store"
)

//go:generate go tool stringer -type=Outage,Call,State -linecomment -output=enum_string.go

// Outage is a way in which the store is down. None of them processes requests.
type Outage int

// Outages.
const (
	NoOutage Outage = iota // none
	Refuse                 // refuse
	Drop                   // drop
	Hang                   // hang
)

// Call is a kind of call to the store.
type Call int

// Kinds of calls.
const (
	Get   Call = iota // get
	Put               // put
	List              // list
	Watch             // watch
	Hosts             // hosts
	calls             // calls
)

// Limits are the calls that the store accepts in a second.
type Limits struct {
	Writes int `json:"writes"`
	Reads  int `json:"reads"`
}

// DefaultLimits are the limits of the platform's store.
var DefaultLimits = Limits{Writes: 500, Reads: 2000}

// Usage counts the calls to the store. A watch counts as one call, however
// long it waits.
type Usage struct {
	Calls      [calls]uint64 `json:"calls"` // by kind, with refused ones
	Refused    uint64        `json:"refused"`
	Waiting    int           `json:"waiting"`    // watches
	PeakWrites int           `json:"peakWrites"` // in a second
	PeakReads  int           `json:"peakReads"`  // in a second
}

// window counts the calls of the current second of the clock.
type window struct {
	second        clock.Time
	writes, reads int
}

type faults struct {
	outage  Outage
	delay   clock.Span
	lose    int // writes whose answers are lost
	limits  Limits
	lag     clock.Span
	changed chan struct{} // closed by the next change of faults
}

// SetOutage starts or ends an outage. It also ends the watches that wait.
func (s *Store) SetOutage(o Outage) { s.fault(func(f *faults) { f.outage = o }) }

// SetDelay delays the processing of each call. A delayed write takes effect
// even if its client has given up. Calls that are delayed when the delay
// changes are processed at once.
func (s *Store) SetDelay(d clock.Span) { s.fault(func(f *faults) { f.delay = d }) }

// LoseAnswers makes the next n successful writes take effect without an answer.
func (s *Store) LoseAnswers(n int) { s.fault(func(f *faults) { f.lose = n }) }

// SetLimits sets the accepted rates.
func (s *Store) SetLimits(l Limits) { s.fault(func(f *faults) { f.limits = l }) }

// SetLag sets the age of the host list that is returned.
func (s *Store) SetLag(d clock.Span) { s.fault(func(f *faults) { f.lag = d }) }

// Usage returns the counters.
func (s *Store) Usage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usage
}

func (s *Store) fault(fn func(*faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(&s.faults)
	close(s.faults.changed)
	s.faults.changed = make(chan struct{})
}

func (s *Store) current() faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Store) count(fn func(*Usage)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(&s.usage)
}

// call wraps the handler of one kind of call with the faults. The body is read
// first, because net/http notices a lost client only after that.
func (s *Store) call(kind Call, fn func(http.ResponseWriter, *http.Request, []byte)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.token != "" && r.Header.Get("Authorization") != "Bearer "+s.token {
			fail(w, http.StatusUnauthorized, "unauthorized")
			return
		}
		body, ok := readBody(w, r, store.MaxValue)
		if !ok || !s.pass(w, r) {
			return
		}
		if !s.admit(kind) {
			fail(w, http.StatusTooManyRequests, "rate-limit")
			return
		}
		s.delay(r.Context(), kind)
		fn(w, r, body)
	})
}

// pass applies the current outage and reports whether r is to be processed.
func (s *Store) pass(w http.ResponseWriter, r *http.Request) bool {
	for {
		f := s.current()
		switch f.outage {
		case Refuse:
			fail(w, http.StatusServiceUnavailable, "unavailable")
			return false
		case Drop:
			panic(http.ErrAbortHandler)
		case Hang:
			select {
			case <-f.changed:
				continue
			case <-r.Context().Done():
				return false
			}
		}
		return true
	}
}

// admit counts a call and reports whether it is within the limits.
func (s *Store) admit(kind Call) bool {
	second := s.clock.Now() / clock.Time(clock.Second)
	s.mu.Lock()
	defer s.mu.Unlock()
	if second != s.window.second {
		s.window = window{second: second}
	}
	s.usage.Calls[kind]++
	n, limit, peak := &s.window.reads, s.faults.limits.Reads, &s.usage.PeakReads
	if kind == Put {
		n, limit, peak = &s.window.writes, s.faults.limits.Writes, &s.usage.PeakWrites
	}
	*n++
	*peak = max(*peak, *n)
	if *n > limit {
		s.usage.Refused++
		return false
	}
	return true
}

// delay waits as set by SetDelay. Reads end early when their client is gone.
func (s *Store) delay(ctx context.Context, kind Call) {
	f := s.current()
	if f.delay <= 0 {
		return
	}
	gone := ctx.Done()
	if kind == Put {
		gone = nil
	}
	t := time.NewTimer(f.delay.Std())
	defer t.Stop()
	for d := f.delay; f.delay == d; f = s.current() {
		select {
		case <-f.changed:
		case <-t.C:
			return
		case <-gone:
			return
		}
	}
}
