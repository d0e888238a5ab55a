package fakes

import (
	"bytes"
	"errors"
	"net/http"

	"github.com/laburnummux/laburnummux/internal/clock"
)

type backendFaults struct {
	truncate       int        // number of responses
	mismatch       int        // number of responses
	slow           clock.Span // added to the service time
	crashes        []crashTrigger
	overrideHealth func(*Health)
}

// crashTrigger matches the requests that crash the server.
type crashTrigger struct {
	path string
	body []byte
}

// runFaults are the faults of one run.
type runFaults struct {
	truncate, mismatch, crash bool
	workTime                  clock.Span
}

// forRun returns the faults of a run and counts them down.
func (f *backendFaults) forRun(rq *request) (rf runFaults) {
	for _, c := range f.crashes {
		if c.path == rq.path && bytes.Contains(rq.prefix, c.body) {
			return runFaults{crash: true}
		}
	}
	if f.truncate > 0 {
		f.truncate--
		rf.truncate = true
	}
	if f.mismatch > 0 {
		f.mismatch--
		rf.mismatch = true
	}
	return rf
}

func (b *Backend) setFaults(fn func(*backendFaults)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fn(&b.faults)
}

// Truncate makes the next n responses break off after half of their length.
func (b *Backend) Truncate(n int) { b.setFaults(func(f *backendFaults) { f.truncate = n }) }

// MismatchAttempt makes the next n responses carry the ID of another attempt.
func (b *Backend) MismatchAttempt(n int) { b.setFaults(func(f *backendFaults) { f.mismatch = n }) }

// Slow adds d to the service time of runs that start later.
func (b *Backend) Slow(d clock.Span) { b.setFaults(func(f *backendFaults) { f.slow = d }) }

// OverrideHealth makes fn change the health reports; nil ends this. Responses to
// grant messages aren't changed. The function must not call methods of b.
func (b *Backend) OverrideHealth(fn func(*Health)) {
	b.setFaults(func(f *backendFaults) { f.overrideHealth = fn })
}

// CrashOn makes the server crash when it runs a request with this path whose
// first 64 KiB of body contain body. It applies after a restart too.
func (b *Backend) CrashOn(path, body string) {
	b.setFaults(func(f *backendFaults) { f.crashes = append(f.crashes, crashTrigger{path, []byte(body)}) })
}

// ClearCrashes undoes all calls of CrashOn.
func (b *Backend) ClearCrashes() { b.setFaults(func(f *backendFaults) { f.crashes = nil }) }

// Drain makes the server reject new requests until it is restarted.
func (b *Backend) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.incarnation.draining = true
}

// Freeze stops all processing, as when a process is suspended. The server's
// clock continues.
func (b *Backend) Freeze() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.frozen == nil {
		b.frozen = make(chan struct{})
	}
}

// Resume ends a freeze. Requests continue where they stopped, as in a process
// that has been suspended.
func (b *Backend) Resume() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.resume()
}

func (b *Backend) resume() {
	if b.frozen != nil {
		close(b.frozen)
		b.frozen = nil
	}
}

// Kill aborts all requests without a response. The server serves nothing
// until Revive. If it belongs to a Server, its listener and connections are
// closed.
func (b *Backend) Kill() {
	b.mu.Lock()
	select {
	case <-b.incarnation.killed:
	default:
		close(b.incarnation.killed)
	}
	b.resume()
	onKill := b.onKill
	b.mu.Unlock()
	if onKill != nil {
		onKill()
	}
}

// Revive starts a new incarnation of a killed server, without grants and with a
// restarted clock. Use Server.Restart for a server with a listener.
func (b *Backend) Revive() {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.incarnation.killed:
		b.incarnation = b.newIncarnation()
		b.requestEnded.Broadcast()
	default:
	}
}

// Control returns the handler of the backend server's control paths. The server
// itself serves them too unless it has been killed:
//
//	POST /fake/freeze
//	POST /fake/resume
//	POST /fake/kill
//	POST /fake/drain
//	POST /fake/slow?ms=N
//	POST /fake/truncate?n=N
//	POST /fake/cross?n=N
//	POST /fake/crash?path=P&body=B
//	POST /fake/nocrash
//	POST /fake/lie?load=N        health reports have load N %, state ready, nothing in flight
//	POST /fake/truth
//	GET  /fake/runs
//	GET  /fake/health
func (b *Backend) Control() http.Handler { return b.control() }

func (b *Backend) control() control {
	c := newControl()
	for name, fn := range map[string]func(){
		"freeze": b.Freeze, "resume": b.Resume, "kill": b.Kill, "drain": b.Drain, "nocrash": b.ClearCrashes,
		"truth": func() { b.OverrideHealth(nil) },
	} {
		c.handlePost(name, func(*http.Request) error {
			fn()
			return nil
		})
	}
	for param, fns := range map[string]map[string]func(int){
		"ms": {"slow": func(n int) { b.Slow(clock.Span(n)) }},
		"n":  {"truncate": b.Truncate, "cross": b.MismatchAttempt},
		"load": {"lie": func(n int) {
			b.OverrideHealth(func(h *Health) { h.Load, h.InFlight, h.State = float64(n)/100, 0, Ready })
		}},
	} {
		for name, fn := range fns {
			c.handlePost(name, func(r *http.Request) error {
				n, err := intParam(r, param)
				if err == nil {
					fn(n)
				}
				return err
			})
		}
	}
	c.handlePost("crash", func(r *http.Request) error {
		q := r.URL.Query()
		if q.Get("path") == "" {
			return errors.New("fakes: missing parameter \"path\"")
		}
		b.CrashOn(q.Get("path"), q.Get("body"))
		return nil
	})
	c.handleGet("runs", func() any { return b.AllRuns() })
	c.handleGet("health", func() any { return b.Health() })
	return c
}
