package caller

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/intent"
	"github.com/laburnummux/laburnummux/internal/segment"
)

// echo responds with the target and the body of the request. Requests under
// /wait/ wait until release is closed or the caller disconnects.
type echo struct {
	release   chan struct{}
	cancelled chan string // paths of requests whose caller has disconnected
}

func (e *echo) handle(ctx context.Context, r *Request) Response {
	if strings.HasPrefix(r.Path, "/wait/") {
		select {
		case <-e.release:
		case <-ctx.Done():
			e.cancelled <- r.Path
			return Response{Abort: true}
		}
	}
	return Response{Status: 200, Header: http.Header{}, Body: segment.Of([]byte(r.Target + r.Body.String()))}
}

func start(t *testing.T, e *echo) (s *Server, c net.Conn) {
	limits := intent.Limits{HeaderBytes: 1000, BodyBytes: 100, HeaderWait: clock.Second, Idle: 300}
	s = New(Config{Handle: e.handle, Limits: func() intent.Limits { return limits }, Log: zap.NewNop()})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	a := &acceptor{server: s, listener: l}
	go a.run()
	if c, err = net.Dial("tcp", l.Addr().String()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return s, c
}

type acceptor struct {
	server   *Server
	listener net.Listener
}

func (a *acceptor) run() {
	if err := a.server.Run(context.Background(), a.listener); err != nil {
		panic(err)
	}
}

func newEcho() *echo { return &echo{release: make(chan struct{}), cancelled: make(chan string, 4)} }

// Guards against valid requests that are rejected, and against invalid ones that
// are handled or get a wrong status.
func TestRequests(t *testing.T) {
	tests := []struct {
		name   string
		send   string
		status int
		body   string
		closed bool
	}{
		{"plain", "GET /a?b=1 HTTP/1.1\r\nHost: h\r\n\r\n", 200, "/a?b=1", false},
		{"with a body", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nxyz", 200, "/axyz", false},
		{"in chunks", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n", 200, "/axyz", false},
		{"last", "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", 200, "/a", true},
		{"malformed", "GET\r\n\r\n", 400, "", true},
		{"long header", "GET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 2000) + "\r\n\r\n", 431, "", true},
		{"long body", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", 413, "", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			_, c := start(t, newEcho())
			_, err := io.WriteString(c, tt.send)
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			b, err := io.ReadAll(resp.Body)
			is.NoErr(err)
			is.Equal(resp.StatusCode, tt.status)
			is.Equal(string(b), tt.body)
			is.Equal(resp.Close, tt.closed)
		})
	}
}

// Guards against requests that go on after their caller has disconnected.
func TestCallerDisconnects(t *testing.T) {
	is := is.New(t)
	e := newEcho()
	_, c := start(t, e)
	for i := range 2 {
		_, err := fmt.Fprintf(c, "GET /wait/%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
		is.NoErr(err)
	}
	time.Sleep(50 * time.Millisecond)
	c.Close()
	for range 2 {
		select {
		case <-e.cancelled:
		case <-time.After(500 * time.Millisecond):
			t.Fatal("request in progress not cancelled within 500 ms after its caller disconnected")
		}
	}
}

// Guards against a draining host that drops requests that it has read, or that
// keeps a connection open because there always is a request on it.
func TestDrain(t *testing.T) {
	is := is.New(t)
	e := newEcho()
	s, c := start(t, e)
	_, err := io.WriteString(c, "GET /wait/1 HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond)
	s.Drain()
	for i := range 3 {
		_, err = fmt.Fprintf(c, "GET /%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
		is.NoErr(err)
	}
	time.Sleep(50 * time.Millisecond)
	close(e.release)
	br := bufio.NewReader(c)
	for _, want := range []string{"/wait/1", "/0"} {
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		b, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(b), want)
		is.Equal(resp.Close, want == "/0")
	}
	_, err = br.ReadByte()
	is.True(err != nil)
}

// Guards against an idle connection that stays open after the idle timeout, and
// against one that is closed while a response is pending.
func TestIdle(t *testing.T) {
	is := is.New(t)
	e := newEcho()
	_, c := start(t, e)
	_, err := io.WriteString(c, "GET /wait/1 HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	time.Sleep(700 * time.Millisecond)
	close(e.release)
	br := bufio.NewReader(c)
	resp, err := http.ReadResponse(br, nil)
	is.NoErr(err)
	_, err = io.ReadAll(resp.Body)
	is.NoErr(err)
	began := time.Now()
	_, err = br.ReadByte()
	is.Equal(err, io.EOF)
	is.True(time.Since(began) < 2*time.Second)
}

// Guards against a copy of each long response, for which the process may not have
// the memory, and against one that is written in part.
func TestLongResponse(t *testing.T) {
	is := is.New(t)
	const size = 32 << 20
	body := bytes.Repeat([]byte("x"), size)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { l.Close() })
	handle := func(context.Context, *Request) Response {
		return Response{Status: 200, Header: http.Header{}, Body: segment.Of(body)}
	}
	limits := intent.Limits{HeaderBytes: 1000, BodyBytes: 100, HeaderWait: clock.Second, Idle: 300}
	s := New(Config{Handle: handle, Limits: func() intent.Limits { return limits }, Log: zap.NewNop()})
	a := &acceptor{server: s, listener: l}
	go a.run()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { c.Close() })
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	n, err := io.Copy(io.Discard, resp.Body)
	is.NoErr(err)
	runtime.ReadMemStats(&after)
	is.Equal(n, int64(size))
	is.True(after.TotalAlloc-before.TotalAlloc < size/4)
}
