package fakes

import (
	"bytes"
	"errors"
	"net/http"

	"github.com/laburnummux/laburnummux/internal/clock"
)

type backendFaults struct {
	truncate int // answers
	cross    int // answers
	slow     clock.Span
	crash    []crash
	lie      func(*Health)
}

// crash identifies the requests that crash the server.
type crash struct {
	path string
	body []byte
}

// runFaults are the faults of one run.
type runFaults struct {
	truncate, cross, crash bool
	work                   clock.Span
}

func (f *backendFaults) take(rq *request) (rf runFaults) {
	for _, c := range f.crash {
		if c.path == rq.path && bytes.Contains(rq.start, c.body) {
			return runFaults{crash: true}
		}
	}
	if f.truncate > 0 {
		f.truncate--
		rf.truncate = true
	}
	if f.cross > 0 {
		f.cross--
		rf.cross = true
	}
	return rf
}

func (b *Backend) fault(fn func(*backendFaults)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	fn(&b.faults)
}

// Truncate cuts off the next n answers after half of their length.
func (b *Backend) Truncate(n int) { b.fault(func(f *backendFaults) { f.truncate = n }) }

// Cross sends the next n answers with another attempt's id.
func (b *Backend) Cross(n int) { b.fault(func(f *backendFaults) { f.cross = n }) }

// Slow adds d to the service time of runs that begin later.
func (b *Backend) Slow(d clock.Span) { b.fault(func(f *backendFaults) { f.slow = d }) }

// Lie changes the health reports; nil restores the truth. Answers to grants
// stay true. The function must not call methods of b.
func (b *Backend) Lie(fn func(*Health)) { b.fault(func(f *backendFaults) { f.lie = fn }) }

// CrashOn makes the server crash when it runs a request with this path and
// with body somewhere in the first 64 KiB of its body. It stays in force after
// a restart.
func (b *Backend) CrashOn(path, body string) {
	b.fault(func(f *backendFaults) { f.crash = append(f.crash, crash{path, []byte(body)}) })
}

// NoCrash removes all that CrashOn added.
func (b *Backend) NoCrash() { b.fault(func(f *backendFaults) { f.crash = nil }) }

// Drain makes the server refuse new requests until it is restarted.
func (b *Backend) Drain() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.boot.draining = true
}

// Freeze stops all processing, as when a process is suspended. The server's
// clock goes on.
func (b *Backend) Freeze() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.frozen == nil {
		b.frozen = make(chan struct{})
	}
}

// Resume ends a freeze. The server does not notice that it was frozen.
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

// Kill ends all requests without an answer. The server stays dead until Revive.
// If it belongs to a Server, its listener and connections are closed.
func (b *Backend) Kill() {
	b.mu.Lock()
	select {
	case <-b.boot.dead:
	default:
		close(b.boot.dead)
	}
	b.resume()
	onKill := b.onKill
	b.mu.Unlock()
	if onKill != nil {
		onKill()
	}
}

// Revive starts a new boot of a killed server, without grants and with a clock
// that starts again. Use Server.Restart for a server with a listener.
func (b *Backend) Revive() {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.boot.dead:
		b.boot = b.newBoot()
		b.idle.Broadcast()
	default:
	}
}

// Control returns the handler of the backend server's control path. It is also
// served below /fake/ by the server itself while it is not dead:
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
//	POST /fake/lie?load=N        load in percent, state ready, nothing in flight
//	POST /fake/truth
//	GET  /fake/runs
//	GET  /fake/health
func (b *Backend) Control() http.Handler { return b.control() }

func (b *Backend) control() control {
	c := newControl()
	for name, fn := range map[string]func(){
		"freeze": b.Freeze, "resume": b.Resume, "kill": b.Kill, "drain": b.Drain, "nocrash": b.NoCrash,
		"truth": func() { b.Lie(nil) },
	} {
		c.on(name, func(*http.Request) error {
			fn()
			return nil
		})
	}
	for param, fns := range map[string]map[string]func(int){
		"ms": {"slow": func(n int) { b.Slow(clock.Span(n)) }},
		"n":  {"truncate": b.Truncate, "cross": b.Cross},
		"load": {"lie": func(n int) {
			b.Lie(func(h *Health) { h.Load, h.InFlight, h.State = float64(n)/100, 0, Ready })
		}},
	} {
		for name, fn := range fns {
			c.on(name, func(r *http.Request) error {
				n, err := number(r, param)
				if err == nil {
					fn(n)
				}
				return err
			})
		}
	}
	c.on("crash", func(r *http.Request) error {
		q := r.URL.Query()
		if q.Get("path") == "" {
			return errors.New("fakes: parameter \"path\" is missing")
		}
		b.CrashOn(q.Get("path"), q.Get("body"))
		return nil
	})
	c.show("runs", func() any { return b.AllRuns() })
	c.show("health", func() any { return b.Health() })
	return c
}
