package fakes

import (
	"context"
	"net/http"
	"time"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/store"
)

//go:generate go tool stringer -type=Outage,Call,State -linecomment -output=enum_string.go

// Outage is a kind of outage of the store. The store processes no requests
// during any of them.
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
	Get      Call = iota // get
	Put                  // put
	List                 // list
	Watch                // watch
	Hosts                // hosts
	numCalls             // calls
)

// Limits is the number of calls that the store accepts per second.
type Limits struct {
	Writes int `json:"writes"`
	Reads  int `json:"reads"`
}

// DefaultLimits are the limits of the platform's store.
var DefaultLimits = Limits{Writes: 500, Reads: 2000}

// Usage counts the calls to the store. A watch counts as one call, however
// long it waits.
type Usage struct {
	Calls      [numCalls]uint64 `json:"calls"` // by kind, including refused calls
	Refused    uint64           `json:"refused"`
	Waiting    int              `json:"waiting"`    // watches
	PeakWrites int              `json:"peakWrites"` // per second
	PeakReads  int              `json:"peakReads"`  // per second
}

// rateWindow counts the calls of the current second of the clock.
type rateWindow struct {
	second        clock.Time
	writes, reads int
}

type faults struct {
	outage        Outage
	delay         clock.Span
	loseResponses int // number of writes
	limits        Limits
	listLag       clock.Span    // of the host list
	changed       chan struct{} // closed by the next change of faults
}

// SetOutage starts or ends an outage. It also ends waiting watches.
func (s *Store) SetOutage(o Outage) { s.setFaults(func(f *faults) { f.outage = o }) }

// SetDelay delays the processing of each call. A delayed write takes effect
// even if its client has disconnected. Calls that are being delayed when the
// delay changes are processed at once.
func (s *Store) SetDelay(d clock.Span) { s.setFaults(func(f *faults) { f.delay = d }) }

// LoseResponses makes the next n successful writes take effect without a
// response.
func (s *Store) LoseResponses(n int) { s.setFaults(func(f *faults) { f.loseResponses = n }) }

// SetLimits sets the accepted rates.
func (s *Store) SetLimits(l Limits) { s.setFaults(func(f *faults) { f.limits = l }) }

// SetLag sets the lag of the host list: the age of the version that is returned.
func (s *Store) SetLag(d clock.Span) { s.setFaults(func(f *faults) { f.listLag = d }) }

// Usage returns the counters.
func (s *Store) Usage() Usage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.usage
}

func (s *Store) setFaults(fn func(*faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(&s.faults)
	close(s.faults.changed)
	s.faults.changed = make(chan struct{})
}

func (s *Store) currentFaults() faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

func (s *Store) updateUsage(fn func(*Usage)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(&s.usage)
}

// handle wraps the handler of a kind of call with authentication and the faults.
// The body is read first, because net/http detects that the client has
// disconnected only after that.
func (s *Store) handle(kind Call, fn func(http.ResponseWriter, *http.Request, []byte)) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.token != "" && r.Header.Get("Authorization") != "Bearer "+s.token {
			writeError(w, http.StatusUnauthorized, "unauthorized")
			return
		}
		body, ok := readBody(w, r, store.MaxValue)
		if !ok || !s.applyOutage(w, r) {
			return
		}
		if !s.admit(kind) {
			writeError(w, http.StatusTooManyRequests, "rate-limit")
			return
		}
		s.waitDelay(r.Context(), kind)
		fn(w, r, body)
	})
}

// applyOutage applies the current outage and reports whether r is to be
// processed.
func (s *Store) applyOutage(w http.ResponseWriter, r *http.Request) bool {
	for {
		f := s.currentFaults()
		switch f.outage {
		case Refuse:
			writeError(w, http.StatusServiceUnavailable, "unavailable")
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
		s.window = rateWindow{second: second}
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

// waitDelay waits as set by SetDelay. A read stops waiting when its client has
// disconnected.
func (s *Store) waitDelay(ctx context.Context, kind Call) {
	f := s.currentFaults()
	if f.delay <= 0 {
		return
	}
	disconnected := ctx.Done()
	if kind == Put {
		disconnected = nil
	}
	t := time.NewTimer(f.delay.Std())
	defer t.Stop()
	for d := f.delay; f.delay == d; f = s.currentFaults() {
		select {
		case <-f.changed:
		case <-t.C:
			return
		case <-disconnected:
			return
		}
	}
}
