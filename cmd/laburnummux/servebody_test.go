package main

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/dedup"
	"github.com/laburnummux/laburnummux/pkg/answer"
)

// The tests of this file do for an entry host of the stand-alone system what those
// of body_test.go do for one on the users' platform.

const (
	// serveMemoryMB is the memory of the host, serveConns its bound of callers'
	// connections, and serveFDs what its descriptors have to stay below.
	serveMemoryMB = 96
	serveConns    = 300
	serveFDs      = 500
	// serveBuffer is how many bytes of a body serve buffers, and serveBodyLimit the
	// limit of bodies of the configuration.
	serveBuffer    = 64 << 10
	serveBodyLimit = 1 << 20
)

// serveLimits are the limits in the settings of the host.
var serveLimits = map[string]any{"memoryMB": serveMemoryMB, "callers": map[string]any{"maxConnections": serveConns}}

// serveHead returns the head of a request with a body. length < 0 means chunks.
func serveHead(path string, length int) string {
	framing := fmt.Sprintf("Content-Length: %d", length)
	if length < 0 {
		framing = "Transfer-Encoding: chunked"
	}
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\n%s\r\n\r\n", path, framing)
}

// serveGroup is callers that send the same at once.
type serveGroup struct {
	name    string
	callers int
	kept    bool // on connections on which a request was answered
	send    func(c net.Conn)
}

var serveGroups = []serveGroup{
	{"a byte short of the buffer", 800, false, func(c net.Conn) {
		io.WriteString(c, serveHead("/bookings", serveBuffer))
		sendRepeated(c, serveBuffer-1, serveBuffer)
	}},
	{"a byte short of the buffer, kept", 800, true, func(c net.Conn) {
		io.WriteString(c, serveHead("/bookings", serveBuffer))
		sendRepeated(c, serveBuffer-1, 4<<10)
	}},
	{"chunks without end of the body", 800, false, func(c net.Conn) {
		io.WriteString(c, serveHead("/bookings", -1))
		sendChunks(c, serveBuffer-4096, 4<<10)
	}},
	{"long chunked bodies", 800, false, func(c net.Conn) {
		io.WriteString(c, serveHead("/bookings", -1))
		sendChunks(c, 4*serveBuffer, 4<<10)
	}},
	{"long bodies a byte short", 600, false, func(c net.Conn) {
		io.WriteString(c, serveHead("/bookings", serveBodyLimit))
		sendRepeated(c, serveBodyLimit-1, 64<<10)
	}},
	{"announced over the limit", 24, false, func(c net.Conn) {
		io.WriteString(c, serveHead("/bookings", 1<<30))
		sendRepeated(c, 4*serveBodyLimit, 64<<10)
	}},
	{"sent over the limit", 24, false, func(c net.Conn) {
		io.WriteString(c, serveHead("/bookings", -1))
		sendChunks(c, math.MaxInt, 64<<10)
	}},
	{"headers without end", 120, false, func(c net.Conn) {
		io.WriteString(c, "GET /ledger/tin-1 HTTP/1.1\r\nHost: h\r\n")
		for i := range 8 << 10 {
			fmt.Fprintf(c, "%x:\r\n", i)
		}
	}},
	{"headers without end, pipelined", 120, true, func(c net.Conn) {
		io.WriteString(c, "GET /ledger/tin-1 HTTP/1.1\r\nHost: h\r\n\r\nGET /ledger/tin-1 HTTP/1.1\r\nHost: h\r\n")
		for i := range 8 << 10 {
			fmt.Fprintf(c, "%x:\r\n", i)
		}
	}},
	{"long headers and a body a byte short", 120, false, func(c net.Conn) {
		io.WriteString(c, "POST /bookings HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n")
		for i := range 8 << 10 {
			fmt.Fprintf(c, "%x:\r\n", i)
		}
		io.WriteString(c, "\r\nx")
	}},
	{"responses that aren't read", 120, false, func(c net.Conn) {
		for range 64 {
			io.WriteString(c, "GET /ledger/tin-1?size=2000000 HTTP/1.1\r\nHost: h\r\n\r\n")
		}
	}},
	{"idle connections", 600, true, func(net.Conn) {}},
	{"incomplete headers", 600, false, func(c net.Conn) { io.WriteString(c, "GET /ledger/tin-1 HTTP/1.1\r\nHost: h\r\n") }},
	{"incomplete bodies", 600, false, func(c net.Conn) { io.WriteString(c, serveHead("/bookings", 1000)+"x") }},
}

// connect opens the connections of a group. The host may close them at any time.
func (g serveGroup) connect(t *testing.T, p *process) (conns []net.Conn) {
	t.Helper()
	for range g.callers {
		c, err := net.Dial("tcp", p.callers)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		conns = append(conns, c)
		if g.kept {
			c.SetDeadline(time.Now().Add(sendTimeout))
			io.WriteString(c, "GET /ledger/tin-1 HTTP/1.1\r\nHost: h\r\n\r\n")
			c.Read(make([]byte, 4096))
		}
	}
	return conns
}

// run has all callers send at once, and returns when all have sent or given up.
func (g serveGroup) run(conns []net.Conn) {
	var wg sync.WaitGroup
	end := time.Now().Add(sendTimeout)
	for _, c := range conns {
		c.SetDeadline(end)
		wg.Go(func() { g.send(c) })
	}
	wg.Wait()
}

// checkAnswers fails the test unless the host answers a request of an ordinary
// caller.
func checkAnswers(t *testing.T, p *process) {
	t.Helper()
	waitFor(t, func() bool { return send(t, p, "/ledger/tin-1", http.MethodGet, "").status == http.StatusOK })
}

// Guards against callers that end the process of a host, or keep it from serving
// others, by bodies, headers, responses or connections that take more than its memory
// or descriptors.
func TestServeMisbehavingCallers(t *testing.T) {
	for _, g := range serveGroups {
		t.Run(g.name, func(t *testing.T) {
			_, ps := startLimitedHosts(t, 1, serveLimits)
			p := ps[0]
			pid := p.cmd.Process.Pid
			s := newSampler(pid)
			g.run(g.connect(t, p))
			time.Sleep(idleWait)
			checkAnswers(t, p)
			u := s.finish()
			u.check(t, pid, serveMemoryMB, serveFDs)
		})
	}
}

// Guards against callers over TLS that do as above: it hides the lines of headers, and
// takes buffers of its own.
func TestServeMisbehavingCallersTLS(t *testing.T) {
	for _, g := range serveGroups {
		if !slices.Contains([]string{"a byte short of the buffer", "headers without end", "idle connections", "responses that aren't read"}, g.name) {
			continue
		}
		t.Run(g.name, func(t *testing.T) {
			limits := maps.Clone(serveLimits)
			limits["tls"] = map[string]any{"callers": serverCertificate(t)}
			_, ps := startLimitedHosts(t, 1, limits)
			p := ps[0]
			pid := p.cmd.Process.Pid
			plain := g.send
			g.send = func(c net.Conn) { plain(tls.Client(c, &tls.Config{InsecureSkipVerify: true})) } // the fake's certificate
			g.kept = false
			s := newSampler(pid)
			g.run(g.connect(t, p))
			time.Sleep(idleWait)
			checkAnswers(t, p)
			u := s.finish()
			u.check(t, pid, serveMemoryMB, serveFDs)
		})
	}
}

// Guards against refusals for want of memory that don't tell the caller whether its
// request has run, or when to come back, and that aren't counted.
func TestServeRefusals(t *testing.T) {
	is := is.NewRelaxed(t) // used by several goroutines
	const callers = 600    // which need twice the memory for bodies
	s, ps := startLimitedHosts(t, 1, map[string]any{"memoryMB": 64, "callers": map[string]any{"maxConnections": 2 * callers}})
	runs := func() (n int) {
		for _, name := range s.Servers() {
			n += len(s.Server(name).Backend().AllRuns())
		}
		return n
	}
	ran := runs()
	var mu sync.Mutex
	refused := make(map[answer.Outcome]int)
	g := serveGroup{callers: callers, send: func(c net.Conn) {
		id := ""
		if c.LocalAddr().(*net.TCPAddr).Port%4 == 0 {
			id = newRequestID(t)
		}
		head := strings.Replace(serveHead("/bookings", serveBuffer), "\r\n\r\n", "\r\n"+answer.HeaderRequestID+": "+id+"\r\n\r\n", 1)
		io.WriteString(c, head)
		sendRepeated(c, serveBuffer-1, 4<<10)
		c.SetReadDeadline(time.Now().Add(2 * time.Second)) // before the deadline of the request
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return // not refused, or the connection was closed
		}
		mu.Lock()
		defer mu.Unlock()
		outcome := answer.Parse(resp.Header.Get(answer.HeaderOutcome))
		refused[outcome]++
		reason := answer.ParseReason(resp.Header.Get(answer.HeaderReason))
		switch {
		case id != "": // it may have run before
			is.Equal(outcome, answer.Unknown)
			is.Equal(resp.StatusCode, http.StatusBadGateway)
		case reason == answer.TooSlow:
			is.Equal(outcome, answer.NotRun)
			is.Equal(resp.StatusCode, http.StatusRequestTimeout)
		default:
			is.Equal(outcome, answer.NotRun)
			is.Equal(reason, answer.Overloaded)
			is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
			is.True(resp.Header.Get("Retry-After") != "")
		}
	}}
	g.run(g.connect(t, ps[0]))
	t.Log(refused)
	is.True(refused[answer.NotRun] > 0)
	is.True(refused[answer.Unknown] > 0)
	is.Equal(runs(), ran)
	resp, err := http.Get("http://" + ps[0].operators + "/metrics")
	is.NoErr(err)
	defer resp.Body.Close()
	metrics, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	for _, name := range []string{"laburnummux_body_bytes ", `laburnummux_bodies_given_up_total{reason="memory"}`} {
		is.True(strings.Contains(string(metrics), name))
	}
}

func newRequestID(t *testing.T) string {
	t.Helper()
	id, err := dedup.NewID()
	if err != nil {
		t.Error(err)
	}
	return id.String()
}

// Guards against bodies that wait for servers that don't respond and take more than
// the memory of the host, or that of requests to others.
func TestServeBodiesAtHungServers(t *testing.T) {
	s, ps := startLimitedHosts(t, 1, serveLimits)
	p := ps[0]
	pid := p.cmd.Process.Pid
	for _, name := range s.Servers() {
		if strings.HasPrefix(string(name), "bookings") {
			s.Server(name).Backend().Freeze()
		}
	}
	g := serveGroup{callers: 800, send: func(c net.Conn) {
		io.WriteString(c, serveHead("/bookings", serveBuffer))
		sendRepeated(c, serveBuffer, serveBuffer)
	}}
	sm := newSampler(pid)
	g.run(g.connect(t, p))
	time.Sleep(idleWait)
	checkAnswers(t, p)
	u := sm.finish()
	u.check(t, pid, serveMemoryMB, serveFDs)
}

// Guards against a host without other work that refuses a body of the length that its
// configuration allows.
func TestServeLongestBody(t *testing.T) {
	tests := []struct {
		name   string
		length int64 // announced, in bytes
		size   int64
	}{{"announced", serveBodyLimit, serveBodyLimit}, {"in chunks", -1, serveBodyLimit}, {"buffered", serveBuffer, serveBuffer}}
	_, ps := startLimitedHosts(t, 1, serveLimits)
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var status int
			waitFor(t, func() bool { // ids from before the first grant are answered "unknown"
				body := io.LimitReader(endless{}, tt.size)
				req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+ps[0].callers+"/bookings", body)
				is.NoErr(err)
				req.ContentLength = tt.length
				resp, err := http.DefaultClient.Do(req)
				is.NoErr(err)
				resp.Body.Close()
				status = resp.StatusCode
				return status == http.StatusOK
			})
			is.Equal(status, http.StatusOK)
			is.True(residentBytes(ps[0].cmd.Process.Pid) < serveMemoryMB*1e6)
		})
	}
}

// endless is a reader of bytes without end.
type endless struct{}

func (endless) Read(p []byte) (int, error) {
	for i := range p {
		p[i] = 'x'
	}
	return len(p), nil
}

// Guards against a host that doesn't end while callers are connected whose bodies stop
// a byte short.
func TestServeStopWithIncompleteBodies(t *testing.T) {
	is := is.New(t)
	_, ps := startLimitedHosts(t, 1, serveLimits)
	g := serveGroups[0]
	g.callers = 100
	g.run(g.connect(t, ps[0]))
	is.NoErr(ps[0].cmd.Process.Signal(syscall.SIGTERM))
	waitFor(t, func() bool { return !isAlive(ps[0].cmd.Process.Pid) })
}
