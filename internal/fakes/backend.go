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

// State is the state that a backend server reports.
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
	return fmt.Errorf("fakes.State: %q is not a state", b)
}

// BackendConfig configures a Backend. Zero values are valid.
type BackendConfig struct {
	Name    keys.Server
	Slots   int          // 2 if 0
	Checks  bool         // checks fencing tokens
	Clock   *clock.Clock // system clock if nil
	Offset  clock.Span   // added to readings of the server's own clock
	Service clock.Span   // base service time

	// A server is slower by ColdExtra for each request until ColdFor after
	// its start; it reports the state starting in this time.
	ColdFor   clock.Span
	ColdExtra clock.Span

	OnRun func(requestID string) // called when a run begins
}

const defaultSlots = 2

// Health is the health report of a backend server, which is also its answer to
// new grants.
type Health struct {
	Clock    clock.Time `json:"clock"` // the server's own, in ms since its start
	Slots    int        `json:"slots"`
	InFlight int        `json:"inFlight"`
	Load     float64    `json:"load"` // slots in use, from 0 to 1
	State    State      `json:"state"`
	Boot     string     `json:"boot"`
}

// Runs counts the runs of a request id. A run that is neither finished nor
// stopped is going on or was lost in a crash.
type Runs struct {
	Started  int // counted after all checks, when the whole body has been read
	Finished int
	Stopped  int // by cancellation or the request's timeout
}

// Backend is the request handling of a backend server. Its counters of runs
// survive restarts; all other state belongs to a boot.
type Backend struct {
	cfg BackendConfig

	mu     sync.Mutex
	boot   *boot
	frozen chan struct{} // closed by Resume; nil if not frozen
	faults backendFaults
	runs   map[string]*Runs
	idle   *sync.Cond
	onKill func()
}

// boot is the state that a restart loses.
type boot struct {
	id       string
	start    clock.Time
	dead     chan struct{}
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
	b.idle = sync.NewCond(&b.mu)
	b.boot = b.newBoot()
	return b
}

func (b *Backend) newBoot() *boot {
	return &boot{
		id:    fmt.Sprintf("%016x", rand.Uint64()),
		start: b.cfg.Clock.Now(),
		dead:  make(chan struct{}),
	}
}

// Name returns the server's name.
func (b *Backend) Name() keys.Server { return b.cfg.Name }

// Runs returns the counters of a request id.
func (b *Backend) Runs(id string) Runs {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.runs[id]; r != nil {
		return *r
	}
	return Runs{}
}

// AllRuns returns the counters of all request ids.
func (b *Backend) AllRuns() map[string]Runs {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := make(map[string]Runs, len(b.runs))
	for id, r := range b.runs {
		m[id] = *r
	}
	return m
}

// WaitIdle waits until no request of the current boot is in flight.
func (b *Backend) WaitIdle() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.boot.inFlight > 0 {
		b.idle.Wait()
	}
}

// Health returns the true health of the server, whatever it reports.
func (b *Backend) Health() Health {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.health()
}

func (b *Backend) health() Health {
	h := Health{
		Clock:    b.now(),
		Slots:    b.cfg.Slots,
		InFlight: b.boot.inFlight,
		Load:     float64(b.boot.inFlight) / float64(b.cfg.Slots),
		State:    Ready,
		Boot:     b.boot.id,
	}
	switch {
	case b.boot.draining:
		h.State = Draining
	case b.cold():
		h.State = Starting
	}
	return h
}

// now reads the server's own clock, which starts again with each boot.
func (b *Backend) now() clock.Time {
	return clock.Time(b.cfg.Clock.Now().Sub(b.boot.start) + b.cfg.Offset)
}

func (b *Backend) cold() bool { return b.cfg.Clock.Now().Sub(b.boot.start) < b.cfg.ColdFor }

// ServeHTTP implements http.Handler.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/fake/") {
		b.Control().ServeHTTP(w, r)
		return
	}
	b.mu.Lock()
	bt := b.boot
	b.mu.Unlock()
	b.gate(bt)
	switch {
	case r.URL.Path == "/laburnummux/grants" && r.Method == http.MethodPut:
		b.putGrants(w, r, bt)
	case r.URL.Path == "/laburnummux/health" && r.Method == http.MethodGet:
		b.getHealth(w, bt)
	case strings.HasPrefix(r.URL.Path, "/laburnummux/"):
		http.NotFound(w, r)
	default:
		b.serve(w, r, bt)
	}
}

// gate stops the calling request while the server is frozen, and ends it
// without an answer if the server was killed.
func (b *Backend) gate(bt *boot) {
	for {
		b.mu.Lock()
		frozen := b.frozen
		b.mu.Unlock()
		select {
		case <-bt.dead:
			panic(http.ErrAbortHandler)
		default:
		}
		if frozen == nil {
			return
		}
		select {
		case <-frozen:
		case <-bt.dead:
		}
	}
}

func (b *Backend) getHealth(w http.ResponseWriter, bt *boot) {
	b.mu.Lock()
	h := b.health()
	if b.faults.lie != nil {
		b.faults.lie(&h)
	}
	b.mu.Unlock()
	b.gate(bt)
	send(w, h)
}

// refuse answers a request that did not run or was stopped.
func refuse(w http.ResponseWriter, status int, why answer.Reason) {
	w.Header().Set(answer.HeaderReason, why.String())
	fail(w, status, why.String())
}

// serve handles an application request.
func (b *Backend) serve(w http.ResponseWriter, r *http.Request, bt *boot) {
	w.Header().Set(answer.HeaderAttempt, r.Header.Get(answer.HeaderAttempt))
	rq, err := parse(r)
	if err != nil {
		refuse(w, http.StatusBadRequest, answer.BadRequest)
		return
	}
	if status, why := b.admit(rq, bt); why != answer.ReasonNone {
		refuse(w, status, why)
		return
	}
	defer b.release(bt)

	ctx, cancel := rq.context(r.Context())
	defer cancel()
	if !rq.read(r.Body) {
		panic(http.ErrAbortHandler) // the body was cut off: the request does not run
	}
	b.gate(bt)
	if ctx.Err() != nil {
		refuse(w, http.StatusGatewayTimeout, answer.DeadlinePassed)
		return
	}
	f, runs, ok := b.begin(rq, bt)
	if !ok {
		refuse(w, http.StatusConflict, answer.StaleFence)
		return
	}
	if f.crash {
		b.Kill()
		panic(http.ErrAbortHandler)
	}
	finished := b.work(ctx, f.work, bt)
	b.gate(bt)
	b.end(rq, finished)
	if !finished {
		refuse(w, http.StatusGatewayTimeout, answer.DeadlinePassed) // the run was begun
		return
	}
	b.reply(w, rq, f, runs, bt)
}

// admit takes a slot, before anything of the body is read.
func (b *Backend) admit(rq *request, bt *boot) (status int, why answer.Reason) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case bt.draining:
		return http.StatusServiceUnavailable, answer.Draining
	case !b.granted(rq, bt):
		return http.StatusConflict, answer.StaleFence
	case bt.inFlight >= b.cfg.Slots:
		return http.StatusServiceUnavailable, answer.Shed
	}
	bt.inFlight++
	return 0, answer.ReasonNone
}

func (b *Backend) release(bt *boot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	bt.inFlight--
	b.idle.Broadcast()
}

// granted reports whether the request's fencing token is the valid one for its
// hash. A token that the server has not yet been granted is refused too.
func (b *Backend) granted(rq *request, bt *boot) bool {
	return !b.cfg.Checks || rq.fenced && bt.grants.holds(rq.hash, rq.fence, b.now())
}

// begin records a run and takes the faults that apply to it. The fencing token
// is checked again, because the body may have arrived slowly and the server may
// have been frozen since the first check.
func (b *Backend) begin(rq *request, bt *boot) (f runFaults, runs int, ok bool) {
	b.mu.Lock()
	select {
	case <-bt.dead: // killed since the last gate
		b.mu.Unlock()
		panic(http.ErrAbortHandler)
	default:
	}
	if ok = b.granted(rq, bt); !ok {
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
	f = b.faults.take(rq)
	f.work = b.cfg.Service + rq.work + b.faults.slow
	if b.cold() {
		f.work += b.cfg.ColdExtra
	}
	b.mu.Unlock()
	if b.cfg.OnRun != nil {
		b.cfg.OnRun(rq.id)
	}
	return f, runs, true
}

func (b *Backend) end(rq *request, finished bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := b.runs[rq.id]; finished {
		n.Finished++
	} else {
		n.Stopped++
	}
}

// read reads the body into the request's digest and keeps its beginning.
func (rq *request) read(body io.Reader) bool {
	n, err := io.Copy(rq, body)
	rq.length = n
	return err == nil
}
