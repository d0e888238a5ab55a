package soak

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/platform/fakes"
)

// Guards against seeds whose plan can't be reproduced, and against kinds of
// steps that occur in no plan.
func TestPlan(t *testing.T) {
	is := is.New(t)
	seen := make(map[Kind]int)
	for _, seed := range slices.Concat(seedsFrom(0), seedsFrom(allKindsFrom), seedsFrom(evacuationsFrom)) {
		steps := Plan(seed, 3, 6, 12*clock.Second)
		is.True(reflect.DeepEqual(steps, Plan(seed, 3, 6, 12*clock.Second)))
		for _, s := range steps {
			seen[s.Kind]++
			is.True(s.At >= clock.Time(startDelay))
			is.True(s.Mode > Pass && s.Mode < numModes)
			is.True(s.Kind.planned() || seed%plannedOnlyEvery != 0)
		}
	}
	for k := range numKinds {
		if seen[k] < 5 {
			t.Errorf("%s occurs %d times in 50 seeds", k, seen[k])
		}
	}
}

// seedsFrom returns the first seed and the 49 after it.
func seedsFrom(first uint64) (seeds []uint64) {
	for i := range uint64(50) {
		seeds = append(seeds, first+i)
	}
	return seeds
}

// Guards against new kinds of steps that change the plans of the seeds with which
// faults were found.
func TestPlansOfEarlierSeeds(t *testing.T) {
	is := is.New(t)
	for _, seed := range seedsFrom(0) {
		for _, s := range Plan(seed, 3, 6, 12*clock.Second) {
			is.True(s.Kind < LeaveServer || s.Kind > PauseServer) // later ones are drawn apart
		}
	}
}

func alwaysFaultFree(time.Duration) bool { return true }

// Guards against an oracle that misses the violation of a rule, or reports one
// where there is none.
func TestOracle(t *testing.T) {
	valid := func(from, to int, fence uint64) fakes.Granted {
		return fakes.Granted{Lease: fakes.Lease{From: from, To: to, Fence: fence, Until: time.Now().Add(time.Minute)}}
	}
	expired := func(from, to int, fence uint64) fakes.Granted {
		return fakes.Granted{Lease: fakes.Lease{From: from, To: to, Fence: fence, Until: time.Now().Add(-time.Minute)}}
	}
	tests := []struct {
		name string
		do   func(o *oracle, a, b *server)
		want []Rule
	}{
		{"renewal", func(o *oracle, a, b *server) { o.observe(a, valid(0, 9, 1)); o.observe(a, valid(0, 9, 1)) }, nil},
		{"moved after a release", func(o *oracle, a, b *server) {
			o.observe(a, valid(0, 9, 1))
			o.observe(a, fakes.Released{From: 5, To: 9})
			o.observe(b, valid(5, 9, 2))
		}, nil},
		{"moved after the lease expired", func(o *oracle, a, b *server) { o.observe(a, expired(0, 9, 1)); o.observe(b, valid(0, 9, 2)) }, nil},
		{"moved after a crash", func(o *oracle, a, b *server) {
			o.observe(a, valid(0, 9, 1))
			o.serverStopped(a)
			o.observe(b, valid(0, 9, 2))
		}, nil},
		{"request at a server that is being stopped", func(o *oracle, a, b *server) {
			o.serverStopped(a)
			o.observe(a, fakes.Started{AttemptID: "x"})
			o.responseReceived("h", "x", false, fakes.Response{Status: 200, Body: "a ran x", Signer: "a"})
		}, nil},
		{"two owners", func(o *oracle, a, b *server) { o.observe(a, valid(0, 9, 1)); o.observe(b, valid(9, 12, 2)) }, []Rule{OneOwner}},
		{"token not above the previous one", func(o *oracle, a, b *server) { o.observe(a, expired(0, 9, 5)); o.observe(b, valid(0, 9, 5)) }, []Rule{Fences}},
		{"non-idempotent request runs twice", func(o *oracle, a, b *server) {
			o.requestSent("x", true)
			o.observe(a, fakes.Started{AttemptID: "x"})
			o.observe(b, fakes.Started{AttemptID: "x"})
		}, []Rule{RunsOnce}},
		{"idempotent request retried", func(o *oracle, a, b *server) {
			o.requestSent("x", false)
			o.observe(a, fakes.Started{AttemptID: "x"})
			o.observe(b, fakes.Started{AttemptID: "x"})
		}, nil},
		{"refused after it ran", func(o *oracle, a, b *server) {
			o.requestSent("x", true)
			o.observe(a, fakes.Started{AttemptID: "x"})
			o.responseReceived("h", "x", true, fakes.Response{Status: 503})
		}, []Rule{TrueNotRun}},
		{"ran after it was refused", func(o *oracle, a, b *server) {
			o.requestSent("x", true)
			o.responseReceived("h", "x", true, fakes.Response{Status: 503})
			o.observe(a, fakes.Started{AttemptID: "x"})
		}, []Rule{TrueNotRun}},
		{"gateway error after it ran", func(o *oracle, a, b *server) {
			o.requestSent("x", true)
			o.observe(a, fakes.Started{AttemptID: "x"})
			o.responseReceived("h", "x", true, fakes.Response{Status: 502})
		}, nil},
		{"own response", func(o *oracle, a, b *server) {
			o.observe(a, fakes.Started{AttemptID: "x"})
			o.responseReceived("h", "x", false, fakes.Response{Status: 200, Body: "a ran x", Signer: "a"})
		}, nil},
		{"response of another request", func(o *oracle, a, b *server) {
			o.observe(a, fakes.Started{AttemptID: "x"})
			o.responseReceived("h", "x", false, fakes.Response{Status: 200, Body: "a ran y", Signer: "a"})
		}, []Rule{OwnAnswer}},
		{"truncated response", func(o *oracle, a, b *server) {
			o.observe(a, fakes.Started{AttemptID: "x"})
			o.responseReceived("h", "x", false, fakes.Response{Status: 200, Body: "a ra", Signer: "a"})
		}, []Rule{OwnAnswer}},
		{"new request for a draining server", func(o *oracle, a, b *server) {
			a.drainingSince = time.Now().Add(-time.Minute)
			o.observe(a, fakes.Started{AttemptID: "x"})
		}, []Rule{Drained}},
		{"request for a server that has told the host that it leaves", func(o *oracle, a, b *server) {
			o.notices.leaving[hostServer{"h", a}] = time.Now().Add(-time.Minute)
			o.requestSentVia("h", "x")
			o.observe(a, fakes.Started{AttemptID: "x"})
		}, []Rule{Drained}},
		{"request for a server that has told another host that it leaves", func(o *oracle, a, b *server) {
			o.notices.leaving[hostServer{"h", a}] = time.Now().Add(-time.Minute)
			o.requestSentVia("i", "x")
			o.observe(a, fakes.Started{AttemptID: "x"})
		}, nil},
		{"request for a leaving server within the time", func(o *oracle, a, b *server) {
			o.requestSentVia("h", "x")
			o.observe(a, fakes.Started{AttemptID: "x"})
			o.responseReceived("h", "x", false, fakes.Response{Status: 200, Body: "a ran x", Signer: "a", Leaving: true})
			o.requestSentVia("h", "y")
			o.observe(a, fakes.Started{AttemptID: "y"})
		}, nil},
		{"request for a leaving server after the host was suspended", func(o *oracle, a, b *server) {
			o.notices.leaving[hostServer{"h", a}] = time.Now().Add(-time.Minute)
			o.hostPaused("h")
			o.requestSentVia("h", "x")
			o.observe(a, fakes.Started{AttemptID: "x"})
		}, nil},
		{"requests in a pause", func(o *oracle, a, b *server) {
			paused := fakes.Paused{AttemptID: "x", Until: time.Now().Add(time.Minute)}
			o.requestSentVia("h", "x")
			o.observe(a, paused)
			o.notices.pauses[hostServer{"h", a}].since = time.Now().Add(-2 * pauseSlack.Std())
			for range maxInPause + 1 {
				o.observe(a, paused)
			}
		}, []Rule{Paused}},
		{"requests that were on their way before a pause", func(o *oracle, a, b *server) {
			paused := fakes.Paused{AttemptID: "x", Until: time.Now().Add(time.Minute)}
			o.requestSentVia("h", "x")
			for range maxInPause + 2 {
				o.observe(a, paused)
			}
		}, nil},
		{"request for a server of an evacuated data centre", func(o *oracle, a, b *server) {
			a.dc, b.dc = evacuatedDC, "north"
			o.evacuate(true)
			o.observe(a, fakes.Started{AttemptID: "x"})
			o.evacuatedSince = time.Now().Add(-time.Minute)
			o.observe(b, fakes.Started{AttemptID: "y"})
			o.observe(a, fakes.Started{AttemptID: "z"})
		}, []Rule{Evacuated}},
		{"request for its server after the evacuation", func(o *oracle, a, b *server) {
			a.dc = evacuatedDC
			o.evacuate(true)
			o.evacuate(false)
			o.observe(a, fakes.Started{AttemptID: "x"})
		}, nil},
		{"connection closed without a response", func(o *oracle, a, b *server) {
			o.observe(a, fakes.Started{AttemptID: "x"})
			o.connectionLost("h", "x", io.EOF)
			o.connectionLost("h", "y", io.EOF)
		}, []Rule{NotLost}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			o := newOracle(alwaysFaultFree)
			a, b := &server{id: "a"}, &server{id: "b"}
			o.serverStarted(a)
			o.serverStarted(b)
			tt.do(o, a, b)
			var got []Rule
			for _, v := range o.violations {
				got = append(got, v.Rule)
			}
			is.Equal(got, tt.want)
		})
	}
}

// Guards against a proxy whose faults have no effect, or that affects
// connections without a fault.
func TestProxy(t *testing.T) {
	const readTimeout = 400 * time.Millisecond // longer than chunkDelay in both directions
	tests := []struct {
		mode     Mode
		request  bool // arrives at the server
		response bool // arrives at the client
	}{
		{Pass, true, true},
		{Delay, true, true},
		{Reset, false, false},
		{Blackhole, false, false},
		{OneWay, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.mode.String(), func(t *testing.T) {
			is := is.New(t)
			arrived := make(chan struct{}, 2)
			srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { arrived <- struct{}{} }))
			defer srv.Close()
			p, err := newProxy(strings.TrimPrefix(srv.URL, "http://"))
			is.NoErr(err)
			defer p.Close()
			c, err := net.Dial("tcp", p.Addr())
			is.NoErr(err)
			defer c.Close()
			p.SetMode(tt.mode)
			if _, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n"); err != nil {
				is.Equal(tt.mode, Reset)
			}
			is.NoErr(c.SetReadDeadline(time.Now().Add(readTimeout)))
			n, err := c.Read(make([]byte, 1))
			is.Equal(n == 1 && err == nil, tt.response)
			is.Equal(len(arrived) == 1, tt.request)
			p.SetMode(Pass)
			is.Equal(getStatus(t, p.Addr()), http.StatusOK)
		})
	}
}

func getStatus(t *testing.T, addr string) int {
	t.Helper()
	resp, err := http.Get("http://" + addr)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}
