package fakes

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

var (
	lowRange  = keys.NewRange(0, 99)
	highRange = keys.NewRange(100, 199)
	fence5    = keys.NewFence(1, 5)
	fence6    = keys.NewFence(1, 6)
)

type testBackend struct {
	t     *testing.T
	clock *clock.Clock
	*Server
	backend *Backend
	client  *http.Client
	started chan string
}

func newTestBackend(t *testing.T, cfg BackendConfig) *testBackend {
	t.Helper()
	x := &testBackend{t: t, clock: clock.Manual(1000), started: make(chan string, 16), client: &http.Client{Transport: &http.Transport{}}}
	cfg.Name, cfg.Clock, cfg.OnRun = "s1", x.clock, func(id string) { x.started <- id }
	x.backend = NewBackend(cfg)
	x.Server = NewServer(x.backend)
	if err := x.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		x.Kill()
		x.client.CloseIdleConnections()
	})
	return x
}

// send returns the response and its body. err is the error of the request or of
// reading the body.
func (x *testBackend) send(ctx context.Context, method, path, body string, header ...string) (*http.Response, string, error) {
	ctx, cancel := context.WithTimeout(ctx, testTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+x.Addr()+path, strings.NewReader(body))
	if err != nil {
		x.t.Fatal(err)
	}
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	w, err := x.client.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer w.Body.Close()
	b, err := io.ReadAll(w.Body)
	return w, string(b), err
}

func (x *testBackend) grant(m GrantMessage) int {
	b, err := json.Marshal(m)
	if err != nil {
		x.t.Fatal(err)
	}
	w, _, err := x.send(context.Background(), http.MethodPut, "/laburnummux/grants", string(b))
	if err != nil {
		x.t.Fatal(err)
	}
	return w.StatusCode
}

func fenced(h keys.Hash, f keys.Fence, id string) []string {
	return []string{answer.HeaderHash, h.String(), answer.HeaderFence, f.String(), answer.HeaderRequestID, id}
}

// Guards against a server that runs a request whose fencing token is not valid
// now: lower, higher, expired, of another range or missing.
func TestFence(t *testing.T) {
	tests := []struct {
		name    string
		header  []string
		advance clock.Span
		status  int
	}{
		{"held", fenced(5, fence5, "r"), 0, 200},
		{"lower", fenced(5, fence5-1, "r"), 0, 409},
		{"not yet granted", fenced(5, fence6, "r"), 0, 409},
		{"other range", fenced(100, fence5, "r"), 0, 409},
		{"missing", []string{answer.HeaderRequestID, "r"}, 0, 409},
		{"last valid ms", fenced(5, fence5, "r"), 399, 200},
		{"expired", fenced(5, fence5, "r"), 400, 409},
		{"malformed", []string{answer.HeaderHash, "x", answer.HeaderFence, "1.5", answer.HeaderRequestID, "r"}, 0, 400},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			x := newTestBackend(t, BackendConfig{ChecksFences: true, Offset: 7})
			is.Equal(x.grant(GrantMessage{Grants: []Grant{{lowRange, fence5}}, ValidUntil: 407}), 200)
			x.clock.Advance(tt.advance)
			w, _, err := x.send(t.Context(), "POST", "/a", "body", tt.header...)
			is.NoErr(err)
			is.Equal(w.StatusCode, tt.status)
			is.Equal(w.Header.Get(answer.HeaderReason) == "stale-fence", tt.status == 409)
			is.Equal(x.backend.Runs("r").Started, map[bool]int{true: 1}[tt.status == 200])
		})
	}
}

// Guards against an old grant message that grants a withdrawn range again, also
// after the range was split, and against a message for an earlier
// incarnation.
func TestGrants(t *testing.T) {
	tests := []struct {
		name    string
		message GrantMessage
		status  int
	}{
		{"renewal", GrantMessage{Grants: []Grant{{lowRange, fence6}, {highRange, fence6}}}, 200},
		{"newer", GrantMessage{Grants: []Grant{{lowRange, fence6 + 1}}}, 200},
		{"lower fence", GrantMessage{Grants: []Grant{{lowRange, fence5}}}, 409},
		{"one of two lower", GrantMessage{Grants: []Grant{{lowRange, fence6 + 1}, {highRange, fence5}}}, 409},
		{"range before the split", GrantMessage{Grants: []Grant{{keys.NewRange(0, 199), fence5}}}, 409},
		{"no grants", GrantMessage{}, 200},
		{"other boot", GrantMessage{Grants: []Grant{{lowRange, fence6}}, Boot: "before"}, 409},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			x := newTestBackend(t, BackendConfig{ChecksFences: true})
			is.Equal(x.grant(GrantMessage{Grants: []Grant{{lowRange, fence6}, {highRange, fence6}}, ValidUntil: 400}), 200)
			tt.message.ValidUntil = 500
			is.Equal(x.grant(tt.message), tt.status)
			// A rejected message changes nothing; an accepted one replaces all grants.
			w, _, err := x.send(t.Context(), "GET", "/a", "", fenced(150, fence6, "r")...)
			is.NoErr(err)
			is.Equal(w.StatusCode == 200, tt.status == 409 || tt.name == "renewal")
		})
	}
}

// Guards against a frozen server that still responds, and against one that runs
// a request received before the freeze although its grant has expired.
func TestFreeze(t *testing.T) {
	for _, expired := range []bool{false, true} {
		is := is.New(t)
		x := newTestBackend(t, BackendConfig{ChecksFences: true})
		is.Equal(x.grant(GrantMessage{Grants: []Grant{{lowRange, fence5}}, ValidUntil: 400}), 200)

		// The first half of the body arrives before the freeze, so that the
		// fencing token has already been checked once.
		pr, pw := io.Pipe()
		r, err := http.NewRequestWithContext(t.Context(), "POST", "http://"+x.Addr()+"/a", pr)
		is.NoErr(err)
		for i, h := 0, fenced(5, fence5, "r"); i < len(h); i += 2 {
			r.Header.Set(h[i], h[i+1])
		}
		status := make(chan int, 1)
		go func() {
			w, err := x.client.Do(r)
			if err != nil {
				status <- 0
				return
			}
			w.Body.Close()
			status <- w.StatusCode
		}()
		pw.Write([]byte("half"))
		for x.backend.Health().InFlight == 0 {
			<-time.After(time.Millisecond)
		}
		x.backend.Freeze()
		pw.Close()
		health := make(chan error, 1)
		go func() {
			w, err := x.client.Get("http://" + x.Addr() + "/laburnummux/health")
			if err == nil {
				w.Body.Close()
			}
			health <- err
		}()
		select {
		case <-status:
			t.Fatal("a frozen server responded to a request")
		case <-health:
			t.Fatal("a frozen server reported its health")
		case <-time.After(time.Millisecond):
		}
		if expired {
			x.clock.Advance(400)
		}
		is.Equal(x.backend.Runs("r").Started, 0)
		x.backend.Resume()
		is.NoErr(<-health)
		is.Equal(<-status, map[bool]int{false: 200, true: 409}[expired])
		is.Equal(x.backend.Runs("r").Started, map[bool]int{false: 1}[expired])
	}
}

// Guards against runs that continue after their caller has disconnected or their
// timeout has passed, which would occupy a slot.
func TestStopped(t *testing.T) {
	tests := []struct {
		name   string
		header []string
		cancel bool
	}{
		{"cancelled", []string{answer.HeaderRequestID, "r"}, true},
		{"timeout", []string{answer.HeaderRequestID, "r", answer.HeaderTimeout, "200"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			x := newTestBackend(t, BackendConfig{})
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			if tt.cancel {
				go func() {
					<-x.started
					cancel()
				}()
			}
			w, _, err := x.send(ctx, "POST", "/a?work=600000", "body", tt.header...)
			is.Equal(errors.Is(err, context.Canceled), tt.cancel)
			is.True(tt.cancel || w.StatusCode == http.StatusGatewayTimeout)
			x.backend.WaitIdle()
			is.Equal(x.backend.Runs("r"), Runs{Started: 1, Stopped: 1})
		})
	}
}

// Guards against response faults that have no effect or occur more often than
// requested, and against runs that are not counted.
func TestResponseFaults(t *testing.T) {
	is := is.New(t)
	x := newTestBackend(t, BackendConfig{})
	h := []string{answer.HeaderRequestID, "r", answer.HeaderAttempt, "a1"}
	x.backend.Truncate(2)
	_, b, err := x.send(t.Context(), "POST", "/a", "body", h...)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.True(len(b) > 0)
	_, b, err = x.send(t.Context(), "POST", "/a?size=100001", "body", h...)
	is.True(errors.Is(err, io.ErrUnexpectedEOF))
	is.Equal(len(b), 50000)
	x.backend.Cross(1)
	w, _, err := x.send(t.Context(), "POST", "/a", "body", h...)
	is.NoErr(err)
	is.Equal(w.Header.Get(answer.HeaderAttempt), "not-a1")

	w, b, err = x.send(t.Context(), "POST", "/a", "body", h...)
	is.NoErr(err)
	is.Equal(w.Header.Get(answer.HeaderAttempt), "a1")
	var got Answer
	is.NoErr(json.Unmarshal([]byte(b), &got))
	is.Equal(got, Answer{Server: "s1", Method: "POST", Path: "/a", ID: "r", Length: 4, Sum: fmt.Sprintf("%016x", xxhash.Sum64String("body")), Runs: 4})
	is.Equal(x.backend.Runs("r"), Runs{Started: 4, Finished: 4})
}

// Guards against requests that are admitted above the number of slots or while
// the server drains, and against health reports that don't show this unless they
// are overridden.
func TestAdmission(t *testing.T) {
	is := is.New(t)
	x := newTestBackend(t, BackendConfig{Slots: 1, Warmup: 10, WarmupExtra: 1})
	is.Equal(x.backend.Health().State, Starting)
	x.clock.Advance(10)
	ctx, cancel := context.WithCancel(t.Context())
	long, err := http.NewRequestWithContext(ctx, "GET", "http://"+x.Addr()+"/a?work=600000", nil)
	is.NoErr(err)
	go x.client.Do(long) // ends with an error when ctx does
	<-x.started
	w, _, err := x.send(t.Context(), "GET", "/a", "")
	is.NoErr(err)
	is.Equal(w.StatusCode, 503)
	is.Equal(w.Header.Get(answer.HeaderReason), "shed")
	h := x.backend.Health()
	is.Equal(h, Health{Clock: 10, Slots: 1, InFlight: 1, Load: 1, State: Ready, Boot: h.Boot})

	x.backend.OverrideHealth(func(h *Health) { h.Load = 0 })
	x.backend.Drain()
	_, b, err := x.send(t.Context(), "GET", "/laburnummux/health", "")
	is.NoErr(err)
	is.NoErr(json.Unmarshal([]byte(b), &h))
	is.Equal(h.Load, 0.0)
	is.Equal(h.State, Draining)
	w, _, err = x.send(t.Context(), "GET", "/a", "")
	is.NoErr(err)
	is.Equal(w.Header.Get(answer.HeaderReason), "draining")
	cancel()
	x.backend.WaitIdle()
}

// Guards against a crashed server that still accepts connections, and against
// grants or a clock that persist across a restart.
func TestCrash(t *testing.T) {
	is := is.New(t)
	x := newTestBackend(t, BackendConfig{ChecksFences: true})
	x.clock.Advance(50)
	is.Equal(x.grant(GrantMessage{Grants: []Grant{{lowRange, fence5}}, ValidUntil: 400}), 200)
	x.backend.CrashOn("/a", "poison")
	before, addr := x.backend.Health().Boot, x.Addr()
	_, _, err := x.send(t.Context(), "POST", "/a", "some poison", fenced(5, fence5, "r")...)
	is.True(err != nil)
	_, _, err = x.send(t.Context(), "GET", "/laburnummux/health", "")
	is.True(err != nil)
	is.Equal(x.backend.Runs("r"), Runs{Started: 1})

	is.NoErr(x.Restart())
	is.Equal(x.Addr(), addr)
	h := x.backend.Health()
	is.True(h.Boot != before)
	is.Equal(h.Clock, clock.Time(0))
	w, _, err := x.send(t.Context(), "POST", "/a", "harmless", fenced(5, fence5, "r")...)
	is.NoErr(err)
	is.Equal(w.StatusCode, 409)
	is.NoErr(x.Stop(t.Context()))
}
