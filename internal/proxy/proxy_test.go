package proxy

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/matryer/is"
)

var limits = Limits{MaxIdle: 2, MaxConns: 4, DialTimeout: time.Second}

func newRequest(t *testing.T, method, body string) Request {
	t.Helper()
	b, err := NewBody(strings.NewReader(body), int64(len(body)))
	if err != nil {
		t.Fatal(err)
	}
	return Request{Method: method, URL: &url.URL{Path: "/ledger/k"}, Header: http.Header{}, Body: b, Attempt: "7"}
}

// rawServer sends the next of responses for each request on a connection and
// closes the connection after the last. It counts the requests in runs.
func rawServer(t *testing.T, runs *atomic.Int64, responses ...string) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serveRaw(c, runs, responses)
		}
	}()
	return ln.Addr().String()
}

func serveRaw(c net.Conn, runs *atomic.Int64, responses []string) {
	defer c.Close()
	buf := make([]byte, 64<<10)
	for _, response := range responses {
		if _, err := c.Read(buf); err != nil {
			return
		}
		runs.Add(1)
		io.WriteString(c, response)
	}
}

// Guards against retries by http.Transport after the connection failed with
// the request already sent: a non-idempotent GET would run twice.
func TestLostRequestIsNotRetried(t *testing.T) {
	for _, method := range []string{"GET", "POST"} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int64
			p := NewPool(rawServer(t, &runs, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", ""), limits)
			res := p.Send(t.Context(), newRequest(t, method, ""))
			is.Equal(res.Failure(), OK)
			res = p.Send(t.Context(), newRequest(t, method, "")) // reuses the connection
			is.Equal(res.Failure(), ConnLost)
			is.Equal(runs.Load(), int64(2))
		})
	}
}

// Guards against a request that is sent although its caller has left, and against one
// whose caller waits that isn't.
func TestAbandonedRequestIsNotSent(t *testing.T) {
	tests := []struct {
		name      string
		abandoned func() bool
		want      Failure
		runs      int64
	}{
		{"unknown", nil, OK, 1},
		{"waits", func() bool { return false }, OK, 1},
		{"has left", func() bool { return true }, NotSent, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int64
			p := NewPool(rawServer(t, &runs, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), limits)
			r := newRequest(t, "GET", "")
			r.Abandoned = tt.abandoned
			is.Equal(p.Send(t.Context(), r).Failure(), tt.want)
			is.Equal(runs.Load(), tt.runs)
		})
	}
}

// Guards against a truncated or mismatched response that is forwarded as a
// complete one.
func TestInvalidResponses(t *testing.T) {
	tests := []struct {
		name, response string
		want           Failure
	}{
		{"shorter than Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nok", Truncated},
		{"no last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", Truncated},
		{"another attempt", "HTTP/1.1 200 OK\r\nLaburnummux-Attempt: 6\r\nContent-Length: 2\r\n\r\nok", Mismatched},
		{"truncated header", "HTTP/1.1 200 OK\r\nContent-Le", ConnLost},
		{"not HTTP", "hello\r\n\r\n", ConnLost},
		{"complete chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", OK},
		{"empty", "HTTP/1.1 204 No Content\r\n\r\n", OK},
		{"own attempt", "HTTP/1.1 200 OK\r\nLaburnummux-Attempt: 7\r\nContent-Length: 2\r\n\r\nok", OK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var runs atomic.Int64
			p := NewPool(rawServer(t, &runs, tt.response), limits)
			is.Equal(p.Send(t.Context(), newRequest(t, "GET", "")).Failure(), tt.want)
		})
	}
}

// Guards against a long response that is truncated by the server and reaches
// the caller as a complete one.
func TestLongResponseTruncated(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int64
	p := NewPool(rawServer(t, &runs, "HTTP/1.1 200 OK\r\nContent-Length: 40000\r\n\r\n"+strings.Repeat("x", 30000)), limits)
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if err := p.Send(r.Context(), newRequest(t, "GET", "")).WriteTo(w); err != nil {
			panic(http.ErrAbortHandler)
		}
	}))
	defer front.Close()
	resp, err := http.Get(front.URL)
	is.NoErr(err)
	defer resp.Body.Close()
	_, err = io.ReadAll(resp.Body)
	is.True(err != nil)
}

// Guards against a failure to connect that is classified as "may have run", and
// against a time-out or cancellation after sending that is classified as "not
// run".
func TestFailures(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := ln.Addr().String()
	ln.Close()
	is.Equal(NewPool(addr, limits).Send(t.Context(), newRequest(t, "GET", "")).Failure(), DialFailed)

	unblock := make(chan struct{})
	entered := make(chan struct{}, 2)
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { entered <- struct{}{}; <-unblock }))
	defer s.Close()
	defer close(unblock)
	p := NewPool(strings.TrimPrefix(s.URL, "http://"), limits)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	is.Equal(p.Send(ctx, newRequest(t, "GET", "")).Failure(), TimedOut)
	<-entered
	ctx, cancel = context.WithCancel(t.Context())
	go func() { <-entered; cancel() }()
	is.Equal(p.Send(ctx, newRequest(t, "GET", "")).Failure(), Cancelled)
}

// Guards against sending a long body to a server that refuses the request: the
// body could not be sent to another server then.
func TestRefusalKeepsLongBody(t *testing.T) {
	is := is.New(t)
	refuse := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusMisdirectedRequest)
	}))
	defer refuse.Close()
	accept := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		fmt.Fprint(w, n, " ", err)
	}))
	defer accept.Close()
	const size = 300 << 10
	tests := []struct {
		name   string
		length int64
	}{{"announced length", size}, {"unknown length", -1}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b, err := NewBody(bytes.NewReader(make([]byte, size)), tt.length)
			is.NoErr(err)
			r := newRequest(t, "POST", "")
			r.Body = b
			res := NewPool(strings.TrimPrefix(refuse.URL, "http://"), limits).Send(t.Context(), r)
			is.Equal(res.Status(), http.StatusMisdirectedRequest)
			is.True(b.Replayable())
			r.Header = http.Header{}
			res = NewPool(strings.TrimPrefix(accept.URL, "http://"), limits).Send(t.Context(), r)
			is.Equal(res.Failure(), OK)
			body, complete := res.CompleteBody()
			is.True(complete)
			is.Equal(string(body), fmt.Sprint(size, " ", nil))
			is.True(!b.Replayable())
		})
	}
}

// Guards against forwarding headers of a caller that only entry hosts may set.
func TestForwardedHeader(t *testing.T) {
	is := is.New(t)
	h := http.Header{}
	h.Set(answer.HeaderFence, "1.1")
	h.Set("laburnummux-server", "s")
	h.Set("Connection", "close, X-Per-Hop")
	h.Set("X-Per-Hop", "1")
	h.Set("X-Kept", "1")
	c := ForwardedHeader(h)
	is.Equal(c, http.Header{"X-Kept": {"1"}})
	is.Equal(h.Get(answer.HeaderFence), "1.1") // the original is unchanged
}

// Guards against accepting a response that is delimited only by the end of the
// connection: a server that crashes midway would seem to have completed it.
func TestUnframedResponseIsTruncated(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		http.ReadRequest(bufio.NewReader(c))
		io.WriteString(c, "HTTP/1.0 200 OK\r\n\r\nhalf of an ans")
		c.Close()
	}()
	r := NewPool(ln.Addr().String(), limits).Send(t.Context(), newRequest(t, http.MethodGet, ""))
	is.Equal(r.Failure(), Truncated)
}

// Guards against a GET without a body that is sent with a length or a transfer
// encoding, and against a connection that isn't reused after it.
func TestGetWithoutBody(t *testing.T) {
	is := is.New(t)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 || len(r.TransferEncoding) > 0 || r.Header.Get("Transfer-Encoding") != "" {
			w.WriteHeader(http.StatusTeapot)
		}
	}))
	defer srv.Close()
	p := NewPool(srv.Listener.Addr().String(), limits)
	for range 3 {
		r := p.Send(t.Context(), newRequest(t, http.MethodGet, ""))
		is.Equal(r.Failure(), OK)
		is.Equal(r.Status(), http.StatusOK)
	}
	is.Equal(p.OpenedConns(), uint64(1))
}

// Guards against a body that counts as stalled while its bytes come or its server is
// slow, and against one whose read goes on after it was interrupted.
func TestInterrupt(t *testing.T) {
	is := is.New(t)
	r, w := io.Pipe()
	t.Cleanup(func() { w.Close() })
	b, err := NewBody(r, maxBufferedBody+1)
	is.NoErr(err)
	tr := NewTransfer(func() { w.CloseWithError(os.ErrDeadlineExceeded) })
	b.Watch(tr)
	is.True(!tr.Stalled(0)) // nobody reads it
	is.True(!tr.Interrupt())
	body, ok := b.open()
	is.True(ok)
	go w.Write([]byte("x"))
	_, err = body.Read(make([]byte, 1))
	is.NoErr(err)
	is.True(!tr.Stalled(0))
	result := make(chan error, 1)
	go func() {
		_, err := body.Read(make([]byte, 1))
		result <- err
	}()
	for !tr.Stalled(10 * time.Millisecond) {
		time.Sleep(time.Millisecond)
	}
	is.True(!tr.Interrupted())
	is.True(tr.Interrupt())
	is.True(!tr.Interrupt())
	is.True(tr.Interrupted())
	is.Equal(<-result, os.ErrDeadlineExceeded)
	is.True(!tr.Stalled(0))
}
