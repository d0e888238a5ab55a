package fakes

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// State is the state of a backend server in its health reports.
type State int

// States.
const (
	Starting State = iota // starting
	Ready                 // ready
	Draining              // draining
)

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *State) UnmarshalText(b []byte) error {
	for _, v := range []State{Starting, Ready, Draining} {
		if v.String() == string(b) {
			*s = v
			return nil
		}
	}
	return fmt.Errorf("fakes.State: unknown state %q", b)
}

// BackendConfig configures a Backend. Zero values are valid.
type BackendConfig struct {
	Name         keys.Server
	Slots        int          // 2 if 0
	ChecksFences bool         // checks fencing tokens
	Clock        *clock.Clock // system clock if nil
	Offset       clock.Span   // added to readings of the server's own clock
	ServiceTime  clock.Span   // base service time

	// Until Warmup after its start, the server reports the state starting and
	// WarmupExtra is added to the service time of each request.
	Warmup      clock.Span
	WarmupExtra clock.Span

	OnRun func(requestID string) // called when a run starts
}

const defaultSlots = 2

// Health is the health report of a backend server, which is also its response
// to grant messages.
type Health struct {
	Clock       clock.Time `json:"clock"` // the server's own clock: ms since its start, plus Offset
	Slots       int        `json:"slots"`
	InFlight    int        `json:"inFlight"`
	Load        float64    `json:"load"` // slots in use, from 0 to 1
	State       State      `json:"state"`
	Incarnation string     `json:"boot"`
}

// Runs counts the runs of a request ID. A run that is neither finished nor
// stopped is in progress or was lost in a crash.
type Runs struct {
	Started  int // counted after all checks, when the complete body has been read
	Finished int
	Stopped  int // by cancellation or the request's timeout
}

// Backend is the HTTP handler of a fake backend server. Its counters of runs
// survive restarts; a restart loses all other state.
type Backend struct {
	cfg BackendConfig

	mu           sync.Mutex
	incarnation  *incarnation
	frozen       chan struct{} // closed by Resume; nil if not frozen
	faults       backendFaults
	runs         map[string]*Runs
	requestEnded *sync.Cond // a request has ended, or a new incarnation has started
	onKill       func()     // closes the listener of the Server
}

// incarnation is the state of the server that a restart loses.
type incarnation struct {
	id       string
	start    clock.Time
	killed   chan struct{}
	grants   grants
	inFlight int
	draining bool
}

// NewBackend returns a backend server that accepts requests.
func NewBackend(cfg BackendConfig) *Backend {
	if cfg.Slots <= 0 {
		cfg.Slots = defaultSlots
	}
	if cfg.Clock == nil {
		cfg.Clock = clock.System()
	}
	b := &Backend{cfg: cfg, runs: make(map[string]*Runs)}
	b.requestEnded = sync.NewCond(&b.mu)
	b.incarnation = b.newIncarnation()
	return b
}

func (b *Backend) newIncarnation() *incarnation {
	return &incarnation{
		id:     fmt.Sprintf("%016x", rand.Uint64()),
		start:  b.cfg.Clock.Now(),
		killed: make(chan struct{}),
	}
}

// Name returns the server's name.
func (b *Backend) Name() keys.Server { return b.cfg.Name }

// Runs returns the counters of a request ID.
func (b *Backend) Runs(id string) Runs {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.runs[id]; r != nil {
		return *r
	}
	return Runs{}
}

// AllRuns returns the counters of all request IDs.
func (b *Backend) AllRuns() map[string]Runs {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := make(map[string]Runs, len(b.runs))
	for id, r := range b.runs {
		m[id] = *r
	}
	return m
}

// WaitIdle waits until no request of the current incarnation is in flight.
func (b *Backend) WaitIdle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.incarnation.inFlight > 0 {
		b.requestEnded.Wait()
	}
}

// Health returns the actual health of the server, without OverrideHealth.
func (b *Backend) Health() Health {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.health()
}

func (b *Backend) health() Health {
	h := Health{
		Clock:       b.now(),
		Slots:       b.cfg.Slots,
		InFlight:    b.incarnation.inFlight,
		Load:        float64(b.incarnation.inFlight) / float64(b.cfg.Slots),
		State:       Ready,
		Incarnation: b.incarnation.id,
	}
	switch {
	case b.incarnation.draining:
		h.State = Draining
	case b.warmingUp():
		h.State = Starting
	}
	return h
}

// now reads the server's own clock, which restarts with each incarnation.
func (b *Backend) now() clock.Time {
	return clock.Time(b.cfg.Clock.Now().Sub(b.incarnation.start) + b.cfg.Offset)
}

func (b *Backend) warmingUp() bool { return b.cfg.Clock.Now().Sub(b.incarnation.start) < b.cfg.Warmup }

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/fake/") {
		b.Control().ServeHTTP(w, r)
		return
	}
	b.mu.Lock()
	inc := b.incarnation
	b.mu.Unlock()
	b.waitWhileFrozen(inc)
	switch {
	case r.URL.Path == "/laburnummux/grants" && r.Method == http.MethodPut:
		b.putGrants(w, r, inc)
	case r.URL.Path == "/laburnummux/health" && r.Method == http.MethodGet:
		b.getHealth(w, inc)
	case strings.HasPrefix(r.URL.Path, "/laburnummux/"):
		http.NotFound(w, r)
	default:
		b.serve(w, r, inc)
	}
}

// waitWhileFrozen blocks the calling request while the server is frozen, and
// aborts it without a response if the server has been killed.
func (b *Backend) waitWhileFrozen(inc *incarnation) {
	for {
		b.mu.Lock()
		frozen := b.frozen
		b.mu.Unlock()
		select {
		case <-inc.killed:
			panic(http.ErrAbortHandler)
		default:
		}
		if frozen == nil {
			return
		}
		select {
		case <-frozen:
		case <-inc.killed:
		}
	}
}

func (b *Backend) getHealth(w http.ResponseWriter, inc *incarnation) {
	b.mu.Lock()
	h := b.health()
	if b.faults.overrideHealth != nil {
		b.faults.overrideHealth(&h)
	}
	b.mu.Unlock()
	b.waitWhileFrozen(inc)
	writeJSON(w, h)
}

// reject writes the error response to a request that did not run or was stopped.
func reject(w http.ResponseWriter, status int, reason answer.Reason) {
	w.Header().Set(answer.HeaderReason, reason.String())
	writeError(w, status, reason.String())
}

// serve handles an application request.
func (b *Backend) serve(w http.ResponseWriter, r *http.Request, inc *incarnation) {
	w.Header().Set(answer.HeaderAttempt, r.Header.Get(answer.HeaderAttempt))
	rq, err := parseRequest(r)
	if err != nil {
		reject(w, http.StatusBadRequest, answer.BadRequest)
		return
	}
	if status, reason := b.admit(rq, inc); reason != answer.ReasonNone {
		reject(w, status, reason)
		return
	}
	defer b.releaseSlot(inc)

	ctx, cancel := rq.context(r.Context())
	defer cancel()
	if !rq.readBody(r.Body) {
		panic(http.ErrAbortHandler) // the body is incomplete, so the request does not run
	}
	b.waitWhileFrozen(inc)
	if ctx.Err() != nil {
		reject(w, http.StatusGatewayTimeout, answer.DeadlinePassed)
		return
	}
	f, runs, ok := b.startRun(rq, inc)
	if !ok {
		reject(w, http.StatusConflict, answer.StaleFence)
		return
	}
	if f.crash {
		b.Kill()
		panic(http.ErrAbortHandler)
	}
	finished := b.work(ctx, f.workTime, inc)
	b.waitWhileFrozen(inc)
	b.endRun(rq, finished)
	if !finished {
		reject(w, http.StatusGatewayTimeout, answer.DeadlinePassed) // the run has started
		return
	}
	b.writeResponse(w, rq, f, runs, inc)
}

// admit takes a slot for the request, before any of the body is read. A reason
// other than ReasonNone means that the request is rejected.
func (b *Backend) admit(rq *request, inc *incarnation) (status int, reason answer.Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case inc.draining:
		return http.StatusServiceUnavailable, answer.Draining
	case !b.fenceValid(rq, inc):
		return http.StatusConflict, answer.StaleFence
	case inc.inFlight >= b.cfg.Slots:
		return http.StatusServiceUnavailable, answer.Shed
	}
	inc.inFlight++
	return 0, answer.ReasonNone
}

func (b *Backend) releaseSlot(inc *incarnation) {
	b.mu.Lock()
	defer b.mu.Unlock()
	inc.inFlight--
	b.requestEnded.Broadcast()
}

// fenceValid reports whether the request's fencing token is the valid one for
// its hash. A token that the server has not yet been granted is rejected too.
func (b *Backend) fenceValid(rq *request, inc *incarnation) bool {
	return !b.cfg.ChecksFences || rq.fenced && inc.grants.valid(rq.hash, rq.fence, b.now())
}

// startRun records the start of a run and returns the faults that apply to it
// and the number of runs of the request ID. The fencing token is checked again,
// because the body may have arrived slowly and the server may have been frozen
// since the first check.
func (b *Backend) startRun(rq *request, inc *incarnation) (f runFaults, runs int, ok bool) {
	b.mu.Lock()
	select {
	case <-inc.killed: // killed since the last call of waitWhileFrozen
		b.mu.Unlock()
		panic(http.ErrAbortHandler)
	default:
	}
	if ok = b.fenceValid(rq, inc); !ok {
		b.mu.Unlock()
		return f, 0, false
	}
	n := b.runs[rq.id]
	if n == nil {
		n = &Runs{}
		b.runs[rq.id] = n
	}
	n.Started++
	runs = n.Started
	f = b.faults.forRun(rq)
	f.workTime = b.cfg.ServiceTime + rq.workTime + b.faults.slow
	if b.warmingUp() {
		f.workTime += b.cfg.WarmupExtra
	}
	b.mu.Unlock()
	if b.cfg.OnRun != nil {
		b.cfg.OnRun(rq.id)
	}
	return f, runs, true
}

func (b *Backend) endRun(rq *request, finished bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := b.runs[rq.id]; finished {
		n.Finished++
	} else {
		n.Stopped++
	}
}

// readBody reads the body into the request's digest and prefix. It reports
// whether the body is complete.
func (rq *request) readBody(body io.Reader) bool {
	n, err := io.Copy(rq, body)
	rq.bodyLength = n
	return err == nil
}
