package caller

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/budget"
	"github.com/laburnummux/laburnummux/internal/listen"
)

// httpBufferBytes is the length of the buffer from which net/http's server reads.
const httpBufferBytes = 4 << 10

// boundedServer is a server whose connections are bounded.
type boundedServer struct {
	addr     string
	bounds   *Bounds
	budget   *budget.Budget
	registry *prometheus.Registry
}

func startBoundedServer(t *testing.T, maxConns int, bytes int64, content Content, h http.Handler) *boundedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &boundedServer{addr: l.Addr().String(), budget: budget.New(bytes), registry: prometheus.NewRegistry()}
	s.bounds = NewBounds("test", maxConns, s.budget, NewMetrics(s.registry, s.budget), zap.NewNop())
	srv := NewOperatorServer(h)
	srv.ConnContext = WithBounded
	go srv.Serve(s.bounds.Listener(l, content, 0))
	t.Cleanup(func() { srv.Close() })
	return s
}

func (s *boundedServer) dial(t *testing.T, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

// isClosed reports whether the server closes a connection without a response within a
// time.
func isClosed(c net.Conn, within time.Duration) bool {
	c.SetReadDeadline(time.Now().Add(within))
	_, err := c.Read(make([]byte, 1))
	ne, timeout := err.(net.Error)
	return err != nil && !(timeout && ne.Timeout())
}

func ok(http.ResponseWriter, *http.Request) {}

// Guards against connections beyond the bound, and against requests of other addresses
// that have to give way.
func TestBoundedConns(t *testing.T) {
	is := is.New(t)
	s := startBoundedServer(t, 4, 1<<20, Requests, http.HandlerFunc(ok))
	var conns []net.Conn
	for range 10 {
		conns = append(conns, s.dial(t, "GET / HTTP/1.1\r\n"))
	}
	resp, err := http.Get("http://" + s.addr)
	is.NoErr(err)
	resp.Body.Close()
	closed := 0
	for _, c := range conns {
		if isClosed(c, 100*time.Millisecond) {
			closed++
		}
	}
	is.Equal(closed, 7) // of 11 connections, 4 may be open
	is.True(s.bounds.conns.Len() <= 4)
	is.Equal(countOf(t, s.registry, "laburnummux_other_connections_closed_total", "test"), 7)
}

// Guards against headers of short lines, or encrypted ones, that take more than the
// budget, and against ordinary requests that are refused.
func TestBoundedHeads(t *testing.T) {
	tests := []struct {
		name    string
		content Content
		head    string
		closed  bool
	}{
		{"ordinary", Requests, strings.Repeat("Name: value of the header\r\n", 20), false},
		{"short lines", Requests, strings.Repeat("a:\r\n", 2000), true},
		{"long line", Requests, "a: " + strings.Repeat("x", 8000) + "\r\n", false},
		{"long line, encrypted", EncryptedRequests, "a: " + strings.Repeat("x", 8000) + "\r\n", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := startBoundedServer(t, 0, 256<<10, tt.content, http.HandlerFunc(ok))
			c := s.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n"+tt.head+"\r\n")
			is.Equal(isClosed(c, time.Second), tt.closed)
			c.Close()
			for range 100 {
				if s.budget.Open() == 0 {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			is.Equal(s.budget.Open(), 0)
		})
	}
}

// Guards against bodies that are counted although the handler counts them, and against
// requests that were read and are given up, or whose connections are closed.
func TestBoundedHandlers(t *testing.T) {
	is := is.New(t)
	read := make(chan struct{}, 1)
	goOn := make(chan struct{})
	s := startBoundedServer(t, 1, 256<<10, Requests, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		HeadRead(r)
		n, _ := io.Copy(io.Discard, r.Body)
		is.True(RequestRead(r))
		read <- struct{}{}
		<-goOn
		fmt.Fprint(w, n)
	}))
	const length = 1 << 20
	c := s.dial(t, fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 50)+"Content-Length: %d\r\n\r\n", length)+strings.Repeat("x", length))
	<-read
	is.True(isClosed(s.dial(t, ""), time.Second)) // there is no room for it
	is.True(s.budget.Used() > UncountedBytes)     // the header
	is.True(s.budget.Used() < length)
	other := s.budget.NewHold("other", func() {})
	is.True(!other.Add(256 << 10)) // is given up itself
	other.Close()
	close(goOn)
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	b, _ := io.ReadAll(c)
	is.True(strings.HasSuffix(string(b), fmt.Sprint(length)))
}

// Guards against long bodies between hosts that are read with a small receive buffer,
// which is slow over a distance, and against a large one that isn't counted or stays.
func TestBoundedWindow(t *testing.T) {
	is := is.New(t)
	l, err := listen.Open("127.0.0.1:0", listen.Bounds{ReadBuffer: otherReadBuffer})
	is.NoErr(err)
	b := budget.New(1 << 20)
	reg := prometheus.NewRegistry()
	bounds := NewBounds("test", 0, b, NewMetrics(reg, b), zap.NewNop())
	used := make(chan int64, 1)
	srv := NewOperatorServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		HeadRead(r)
		RequestStreams(r, func() {})
		used <- b.Used()
		io.Copy(io.Discard, r.Body)
	}))
	srv.ConnContext = WithBounded
	go srv.Serve(bounds.Listener(l, Requests, otherReadBuffer))
	defer srv.Close()
	resp, err := http.Post("http://"+l.Addr().String(), "", strings.NewReader(strings.Repeat("x", 1<<20)))
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	window := int64(listen.HeldFactor * (longReadBuffer - otherReadBuffer))
	n := <-used
	is.True(n >= window)
	is.True(n <= window+4*httpBufferBytes) // what net/http has buffered of the request counts, too
	for range 300 {
		if b.Used() == 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(b.Used(), int64(0))
	is.Equal(countOf(t, reg, "laburnummux_long_bodies_total", "large"), 1)
}

// Guards against messages that take more than the budget, and against bytes that stay
// counted after their messages must have ended.
func TestBoundedStreams(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	b := budget.New(1 << 20)
	bounds := NewBounds("test", 0, b, nil, zap.NewNop())
	client, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer client.Close()
	server, err := bounds.Listener(l, Streams, 0).Accept()
	is.NoErr(err)
	defer server.Close()
	part := make([]byte, 256<<10)
	for range 2 { // together more than the budget, which they may be
		_, err = client.Write(part)
		is.NoErr(err)
		_, err = io.ReadFull(server, part)
		is.NoErr(err)
		is.True(b.Used() > 0)
		for range 300 {
			if b.Used() == 0 {
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		is.Equal(b.Used(), int64(0))
	}
	go client.Write(make([]byte, 4<<20))
	_, err = io.Copy(io.Discard, server)
	is.Equal(err, ErrGivenUp)
	server.Close()
	is.Equal(b.Open(), 0)
}

// Guards against requests to other addresses that wait for memory after their connections
// were closed to make room for others.
func TestBoundedEvictedWhileWaiting(t *testing.T) {
	tests := []struct {
		name    string
		content Content
	}{
		{"requests", Requests},
		{"encrypted requests", EncryptedRequests},
		{"streams", Streams},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := startBoundedServer(t, 4, 2*testBodyBytes+testBodyBytes/2, tt.content, http.HandlerFunc(ok))
			h := holdWithoutRoom(t, s.budget)
			var conns []net.Conn
			for range 20 {
				conns = append(conns, s.dial(t, "GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a:\r\n", 3000)))
			}
			is.Equal(countClosed(conns), 16)
			awaitOpen(t, s.budget, 4+1)
			h.Close()
		})
	}
}
