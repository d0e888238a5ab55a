package entry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/budget"
	"github.com/laburnummux/laburnummux/internal/caller"
	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/internal/proxy"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// startCallers starts a server with a budget that streams a response without end to
// /endless.
func startCallers(t *testing.T, maxBytes int64) (b *budget.Budget, addr string) {
	t.Helper()
	b, addr, _ = startBoundedCallers(t, maxBytes, 0)
	return b, addr
}

// streamCounts counts requests that have a streamed body.
type streamCounts struct{ opened, ended atomic.Int32 }

// startBoundedCallers is startCallers with a bound of connections. Requests to /stream
// have streamed bodies, and wait until they are cancelled.
func startBoundedCallers(t *testing.T, maxBytes int64, maxConns int) (b *budget.Budget, addr string, streams *streamCounts) {
	t.Helper()
	streams = new(streamCounts)
	b = caller.NewBudget(maxBytes, zap.NewNop())
	m := caller.NewMetrics(prometheus.NewRegistry(), b)
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &callerListener{Listener: nl, intake: &intake{budget: b, metrics: m, conns: caller.NewConns(maxConns, m)}}
	s := &http.Server{ConnContext: withCallerConn, ConnState: trackCaller, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := callerConnOf(r)
		c.beginBody()
		if r.URL.Path == "/stream" {
			ctx, cancel := context.WithCancel(r.Context())
			defer cancel()
			if c.streamBody(cancel) {
				streams.opened.Add(1)
				<-ctx.Done()
				streams.ended.Add(1)
			}
			return
		}
		if _, err := proxy.NewCountedBody(streamedBody{r.Body, c}, r.ContentLength, c.count); err != nil {
			res := c.refuse()
			writeOutcome(w, httpStatus(res), res)
			return
		}
		if !c.keepBody() || !c.beginResponse(r.URL.Path == "/endless", func() {}) || r.URL.Path != "/endless" {
			return
		}
		for {
			if _, err := w.Write(make([]byte, 64<<10)); err != nil {
				panic(http.ErrAbortHandler)
			}
		}
	})}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return b, nl.Addr().String(), streams
}

func dialCaller(t *testing.T, addr, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err = io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

func awaitTrue(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the expected state was not reached")
		}
	}
}

// Guards against a connection that counts as idle, and is closed to make room, while the
// body of a request is streamed whose header came with the request before.
func TestPipelinedBodyIsNotIdle(t *testing.T) {
	is := is.New(t)
	nc, peer := net.Pipe()
	defer nc.Close()
	defer peer.Close()
	c := &callerConn{Conn: nc, raw: nc, tracked: caller.NewTracked(nc), intake: &intake{}}
	c.awaitHeader()
	is.True(c.tracked.Idle())
	c.beginBody() // without a Read
	is.True(!c.tracked.Idle())
	c.endBody()
	is.True(!c.tracked.Idle())
	c.awaitHeader()
	is.True(c.tracked.Idle())
}

// Guards against a response that isn't read and keeps its memory while others need it.
func TestUnreadResponseGivenUp(t *testing.T) {
	is := is.New(t)
	b, addr := startCallers(t, 3*streamBytes)
	dialCaller(t, addr, "GET /endless HTTP/1.1\r\nHost: h\r\n\r\n")
	awaitTrue(t, func() bool { return b.Used() >= streamBytes })
	h := b.NewHold("other", func() {})
	defer h.Close()
	is.True(h.Keep())
	is.True(h.Add(3 * streamBytes)) // waits until the response has released its memory
	is.Equal(b.Open(), 1)
}

// Guards against refusals with the wrong reason of requests whose body was given up,
// and against their memory being kept for as long as net/http keeps the connection.
func TestBodyGivenUp(t *testing.T) {
	tests := []struct {
		name   string
		pause  time.Duration // without progress, before others need the memory
		reason answer.Reason
		status int
	}{
		{"in progress", 0, answer.Overloaded, http.StatusServiceUnavailable},
		{"stalled", budget.StallTime + 100*time.Millisecond, answer.TooSlow, http.StatusRequestTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			const size, headBytes = 64 << 10, 10 << 10
			b, addr := startCallers(t, 2*size)
			c := dialCaller(t, addr, "POST /body HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("a", headBytes)+"\r\nContent-Length: 65536\r\n\r\n"+strings.Repeat("x", size-1))
			awaitTrue(t, func() bool { return b.Used() >= size+3*headBytes })
			time.Sleep(tt.pause)
			h := b.NewHold("other", func() {})
			defer h.Close()
			is.True(h.Keep())
			is.True(h.Add(size)) // waits until the request has released its memory
			is.Equal(b.Open(), 1)
			is.NoErr(c.SetReadDeadline(time.Now().Add(20 * time.Second)))
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			is.Equal(resp.Header.Get(answer.HeaderReason), tt.reason.String())
			is.Equal(resp.StatusCode, tt.status)
		})
	}
}

// Guards against a dispatcher that takes the bodies of relayed requests beyond its
// memory, or that doesn't say that it hasn't run one.
func TestRelayedBodyGivenUp(t *testing.T) {
	is := is.New(t)
	doc, probs := config.Parse("f", []byte(`{"services": {"s": {"path": "/s", "operations": {"put": {"method": "PUT"}},
		"dataCentres": {"n": {"weight": 1}}, "server": {"slots": 2, "connections": 130}}}}`))
	is.NoErr(probs.Err())
	cfg, probs := doc.Config()
	is.NoErr(probs.Err())
	svc, _ := cfg.Service("s")
	b := budget.New(512 << 10) // with its reserve too small for the body
	h := &Host{services: map[keys.Service]*service{"s": {Service: svc}}, intake: &intake{budget: b}}
	srv := httptest.NewServer(http.HandlerFunc(h.serveRelay))
	defer srv.Close()
	full := b.NewHold("other", func() {})
	is.True(full.Keep())
	is.True(full.Add(512 << 10))
	req, err := http.NewRequest(http.MethodPut, srv.URL+"/s", strings.NewReader(strings.Repeat("x", 64<<10)))
	is.NoErr(err)
	req.Header = http.Header{headerService: {"s"}, headerOperation: {"put"}, headerCell: {"0"}, answer.HeaderHash: {keys.Hash(7).String()}, headerCaller: {"127.0.0.1"}}
	resp, err := http.DefaultClient.Do(req)
	is.NoErr(err)
	resp.Body.Close()
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.Equal(resp.Header.Get(answer.HeaderOutcome), answer.NotRun.String())
	is.Equal(resp.Header.Get(answer.HeaderReason), answer.Overloaded.String())
	is.Equal(b.Open(), 1)
}

// Guards against a retry that gets "not run" from a host that doesn't know whether the
// first request with its id has run.
func TestOverloadedRetry(t *testing.T) {
	tests := []struct {
		idFromCaller bool
		want         answer.Outcome
	}{{true, answer.Unknown}, {false, answer.NotRun}}
	for _, tt := range tests {
		is := is.New(t)
		cl := call{idFromCaller: tt.idFromCaller}
		is.Equal(cl.withoutDispatcher(notRun(answer.Overloaded)).outcome, tt.want)
		is.Equal(cl.withoutDispatcher(notRun(answer.TooSlow)).outcome, tt.want)
	}
}

// Guards against headers that aren't counted, or whose memory isn't released.
func TestHeadersCounted(t *testing.T) {
	const lines = 900 // in net/http's buffer
	long := strings.Repeat("a:\r\n", lines)
	get := "GET / HTTP/1.1\r\nHost: h\r\n"
	tests := []struct {
		name, text string
		want       int64
	}{
		{"ordinary", get, 0},
		{"incomplete", get + long, lines * 192},
		{"pipelined", get + "\r\n" + get + long, lines*192 - caller.UncountedBytes},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b, addr := startCallers(t, 1<<20)
			c := dialCaller(t, addr, tt.text)
			awaitTrue(t, func() bool { return b.Used() >= tt.want })
			is.NoErr(c.Close())
			awaitTrue(t, func() bool { return b.Open() == 0 && b.Used() == 0 })
		})
	}
}

// Guards against a response with a status for a header that was given up: the caller
// couldn't tell whether its request has run.
func TestHeaderGivenUp(t *testing.T) {
	is := is.New(t)
	_, addr := startCallers(t, 256<<10)
	head := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 1500) // its second half exceeds the budget
	c := dialCaller(t, addr, head)
	is.NoErr(c.SetReadDeadline(time.Now().Add(20 * time.Second)))
	b, err := io.ReadAll(c) // a reset has an error, too
	t.Log(err)
	is.Equal(string(b), "")
}

// Guards against bounds that exceed the memory or the descriptors of a process, and
// against ones that ordinary callers reach.
func TestLimitsOfProcess(t *testing.T) {
	tests := []struct {
		stated int
		memory int64
		fds    uint64
		bytes  int64
		conns  int
	}{
		{0, 0, 20_000, caller.DefaultBudget, 9_900},
		{0, 0, 1_024, caller.DefaultBudget, 412},
		{0, 0, 100, caller.DefaultBudget, 16},
		{0, 0, 1<<64 - 1, caller.DefaultBudget, (1<<30 - 200) / 2},
		{0, 144e6, 20_000, 50_400_000, 659},
		{0, 144e6, 1_024, 50_400_000, 412},
		{3_000, 144e6, 1_024, 50_400_000, 3_000},
	}
	for _, tt := range tests {
		is := is.New(t)
		is.Equal(bodyBytes(tt.memory), tt.bytes)
		is.Equal(maxCallerConns(tt.stated, tt.memory, tt.fds), tt.conns)
	}
}

// Guards against receive buffers of connections for batches that are too small for a
// configuration, or that are set where the memory isn't known.
func TestPeerBounds(t *testing.T) {
	tests := []struct {
		memory     int64
		readBuffer int
	}{{0, 0}, {144e6, 128 << 10}}
	for _, tt := range tests {
		is := is.New(t)
		in := &intake{maxConns: 659, capacity: newCapacity(tt.memory, 20_000)}
		is.Equal(in.peerBounds().ReadBuffer, tt.readBuffer)
		is.True(in.otherBounds(relayConnShare).ReadBuffer <= in.bounds().ReadBuffer)
	}
}

// Guards against streamed requests that go on after their connections were closed to make
// room for others: nobody reads from those, so that isn't noticed.
func TestEvictedStreams(t *testing.T) {
	_, addr, streams := startBoundedCallers(t, 1<<20, 4)
	for i := range 8 {
		dialCaller(t, addr, "POST /stream HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n")
		awaitTrue(t, func() bool { return int(streams.opened.Load()) == i+1 })
	}
	awaitTrue(t, func() bool { return streams.ended.Load() == 4 })
}

// Guards against requests that wait for memory after their connections were closed to make
// room for others.
func TestEvictedWhileWaiting(t *testing.T) {
	tests := []struct {
		name string
		text string
	}{
		{"header", "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", 600)},
		{"body", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 60000\r\n\r\n" + strings.Repeat("x", 30000)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			const maxBytes = 1 << 20
			b, addr, _ := startBoundedCallers(t, maxBytes, 4)
			leaving := b.NewHold("other", func() {}) // others wait for its bytes
			is.True(leaving.Add(maxBytes))
			leaving.Cancel()
			short := b.NewHold("other", func() {}) // all that short ones may have beyond
			is.True(short.Add(maxBytes / 16))
			var conns []net.Conn
			for range 20 {
				conns = append(conns, dialCaller(t, addr, tt.text))
			}
			closed := 0
			for _, c := range conns {
				c.SetReadDeadline(time.Now().Add(500 * time.Millisecond))
				if _, err := c.Read(make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
					closed++
				}
			}
			is.Equal(closed, 16)
			awaitTrue(t, func() bool { return b.Open() == 4+2 })
			leaving.Close()
			short.Close()
		})
	}
}
