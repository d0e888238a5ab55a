package link

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/laburnummux/laburnummux/internal/segment"
	"github.com/matryer/is"
	"golang.org/x/sys/unix"
)

// ending is how a server ends the connection after its response.
type ending int

const (
	readThenClose  ending = iota // reads the request to its end before
	reset                        // without having closed its sending side
	closeUnread                  // with input that it hasn't read, which the system answers with a reset
	halfClose                    // closes its sending side, reads no more and keeps the connection open
	halfCloseRead                // closes its sending side and reads the request to its end
	halfCloseReset               // closes its sending side, then resets the connection
	halfCloseClose               // closes its sending side, then the connection with unread input
	keepOpen                     // keeps the connection open and reads the request to its end
)

// earlyServer responds to a request when it has read 4 KiB of its body, and then ends
// the connection.
type earlyServer struct {
	listener net.Listener
	response string
	ending   ending
	ended    chan struct{} // closed when the end of the first connection is made
	once     sync.Once
	release  chan struct{}
}

func newEarlyServer(t *testing.T, response string, e ending) *earlyServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &earlyServer{listener: l, response: response, ending: e, ended: make(chan struct{}), release: make(chan struct{})}
	t.Cleanup(func() { l.Close(); close(s.release) })
	go s.run()
	return s
}

func (s *earlyServer) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.loop(c.(*net.TCPConn))
	}
}

func (s *earlyServer) loop(c *net.TCPConn) {
	defer c.Close()
	defer s.once.Do(func() { close(s.ended) })
	r, err := http.ReadRequest(bufio.NewReaderSize(c, 4<<10))
	if err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, r.Body, 4<<10); err != nil && err != io.EOF {
		return
	}
	if s.ending == readThenClose {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
	if _, err := io.WriteString(c, s.response); err != nil {
		return
	}
	s.end(c, r.Body)
}

// end ends the connection. An error shows in the result of the request.
func (s *earlyServer) end(c *net.TCPConn, rest io.Reader) {
	switch s.ending {
	case reset:
		c.SetLinger(0)
		c.Close()
	case closeUnread:
		c.Close()
	case halfCloseReset:
		c.CloseWrite()
		c.SetLinger(0)
		c.Close()
	case halfCloseClose:
		c.CloseWrite()
		c.Close()
	case halfClose:
		c.CloseWrite()
		s.once.Do(func() { close(s.ended) })
		<-s.release
	case halfCloseRead:
		c.CloseWrite()
		s.once.Do(func() { close(s.ended) })
		io.Copy(io.Discard, rest)
	case keepOpen:
		s.once.Do(func() { close(s.ended) })
		io.Copy(io.Discard, rest)
	}
}

// order is which call on a socket is the first after the server has ended the
// connection. The system reports a reset to the first one only.
type order int

const (
	anyOrder order = iota
	writeFirst
	readFirst
)

// orderedConn has the server's end of a connection noticed by one kind of call
// first. It makes a race certain that otherwise takes either way.
type orderedConn struct {
	net.Conn  // not a *net.TCPConn, whose writev would bypass Write
	order     order
	ended     <-chan struct{} // the server has ended the connection
	wrote     chan struct{}   // a write has ended
	read      chan struct{}   // a read has returned an error, or the connection is closed
	wroteOnce sync.Once
	readOnce  sync.Once
}

func (c *orderedConn) Write(p []byte) (n int, err error) {
	if c.order == readFirst && len(p) > maxInlineBytes {
		if n, err = c.Conn.Write(p[:maxInlineBytes]); err != nil {
			return n, err
		}
		<-c.read
	}
	m, err := c.Conn.Write(p[n:])
	if err != nil || len(p) > maxInlineBytes {
		c.wroteOnce.Do(func() { close(c.wrote) })
	}
	return n + m, err
}

func (c *orderedConn) Read(p []byte) (n int, err error) {
	<-c.ended
	if c.order == writeFirst {
		<-c.wrote
	}
	n, err = c.Conn.Read(p)
	if err != nil {
		c.readOnce.Do(func() { close(c.read) })
	}
	return n, err
}

// SyscallConn implements syscall.Conn, by which a pool sees that a server closes a new connection.
func (c *orderedConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(*net.TCPConn).SyscallConn()
}

func (c *orderedConn) Close() error {
	err := c.Conn.Close()
	c.readOnce.Do(func() { close(c.read) })
	return err
}

const earlyHead = "Id: me\r\n"

// Guards against a response that its server breaks off by a reset and that passes as
// complete, when the reset is reported to the write of a long request, and against
// a complete response that is lost because of a reset or an unfinished request.
func TestEarlyResponse(t *testing.T) {
	const (
		unframed = "HTTP/1.1 200 OK\r\n" + earlyHead + "\r\nabc"
		chunked  = "HTTP/1.1 200 OK\r\n" + earlyHead + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"
	)
	tests := []struct {
		name     string
		method   string // default: POST
		response string
		ending   ending
		order    order
		body     string
		want     error
	}{
		{"no length, reset", "", unframed, reset, writeFirst, "", ErrConnLost},
		{"no length, reset", "", unframed, reset, readFirst, "", ErrConnLost},
		{"no length, closed with unread input", "", unframed, closeUnread, writeFirst, "", ErrConnLost},
		{"no length, closed with unread input", "", unframed, closeUnread, readFirst, "", ErrConnLost},
		{"no length, closed after the request", "", unframed, readThenClose, anyOrder, "abc", nil},
		{"no length, half-closed", "", unframed, halfClose, anyOrder, "abc", nil},
		{"no length, half-closed and read on", "", unframed, halfCloseRead, anyOrder, "abc", nil},
		{"no length, half-closed and reset", "", unframed, halfCloseReset, writeFirst, "abc", nil},
		{"no length, half-closed and reset", "", unframed, halfCloseReset, readFirst, "abc", nil},
		{"no length, half-closed, closed with unread input", "", unframed, halfCloseClose, writeFirst, "abc", nil},
		{"no length, half-closed, closed with unread input", "", unframed, halfCloseClose, readFirst, "abc", nil},
		{"no length or body, reset", "", strings.TrimSuffix(unframed, "abc"), reset, writeFirst, "", ErrConnLost},
		{"no length or body, half-closed", "", strings.TrimSuffix(unframed, "abc"), halfClose, anyOrder, "", nil},
		{"error without a length, reset", "", "HTTP/1.1 500 Odd\r\n" + earlyHead + "\r\nabc", reset, writeFirst, "", ErrConnLost},
		{"Connection: close, reset", "", "HTTP/1.1 200 OK\r\nConnection: close\r\n" + earlyHead + "\r\nabc", reset, writeFirst, "", ErrConnLost},
		{"after a 103, reset", "", "HTTP/1.1 103 Early Hints\r\n\r\n" + unframed, reset, writeFirst, "", ErrConnLost},
		{"after a 100, half-closed and reset", "", "HTTP/1.1 100 Continue\r\n\r\n" + unframed, halfCloseReset, writeFirst, "abc", nil},
		{"after a mismatched response, reset", "", response("other", "zzz") + unframed, reset, writeFirst, "", ErrConnLost},
		{"HTTP/1.0, reset", "", "HTTP/1.0 200 OK\r\n" + earlyHead + "\r\nabc", reset, writeFirst, "", ErrConnLost},
		{"HTTP/1.0, half-closed and reset", "", "HTTP/1.0 200 OK\r\n" + earlyHead + "\r\nabc", halfCloseReset, writeFirst, "abc", nil},
		{"HTTP/1.0 with a transfer encoding, reset", "", "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + earlyHead + "\r\nabc", reset, writeFirst, "", ErrConnLost},
		{"HTTP/1.0 with a length, reset", "", "HTTP/1.0 200 OK\r\nContent-Length: 3\r\n" + earlyHead + "\r\nabc", reset, writeFirst, "abc", nil},
		{"head broken off, reset", "", "HTTP/1.1 200 OK\r\nId: m", reset, writeFirst, "", ErrConnLost},
		{"length, reset", "", response("me", "abc"), reset, writeFirst, "abc", nil},
		{"length, reset", "", response("me", "abc"), reset, readFirst, "abc", nil},
		{"length, reset before the end", "", strings.TrimSuffix(response("me", "abcd"), "d"), reset, writeFirst, "", ErrConnLost},
		{"length, kept open", "", response("me", "abc"), keepOpen, anyOrder, "abc", nil},
		{"chunked, reset", "", chunked + "0\r\n\r\n", reset, writeFirst, "abc", nil},
		{"chunked, reset before the last chunk", "", chunked, reset, writeFirst, "", ErrConnLost},
		{"HEAD, reset", "HEAD", "HTTP/1.1 200 OK\r\n" + earlyHead + "\r\n", reset, writeFirst, "", nil},
		{"HEAD with a length, reset", "HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n" + earlyHead + "\r\n", reset, writeFirst, "", nil},
		{"204, reset", "", "HTTP/1.1 204 No Content\r\n" + earlyHead + "\r\n", reset, writeFirst, "", nil},
		{"304, reset", "", "HTTP/1.1 304 Not Modified\r\n" + earlyHead + "\r\n", reset, writeFirst, "", nil},
	}
	body := segment.Of(make([]byte, 8<<20))
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newEarlyServer(t, tt.response, tt.ending)
			p := New(Config{Addr: s.listener.Addr().String(), Budget: NewBudget(maxBodyBytes), Dial: s.dialer(tt.order)})
			began := time.Now()
			res := sendEarly(t, p, cmp.Or(tt.method, "POST"), body)
			is.True(errors.Is(res.Err, tt.want))
			is.Equal(res.Err == nil, tt.want == nil)
			is.Equal(res.Body.String(), tt.body)
			is.True(res.Sent)
			is.True(p.Idle() == 0 || tt.ending == keepOpen) // the server may have read all
			is.True(time.Since(began) < 5*time.Second)      // long before the end of its context
		})
	}
}

// dialer returns a Dial whose connections have an order of calls.
func (s *earlyServer) dialer(o order) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := Dialer(dialTimeout).DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &orderedConn{Conn: c, order: o, ended: s.ended, wrote: make(chan struct{}), read: make(chan struct{})}, nil
	}
}

// sendEarly sends a request with a body and ID "me". It needs its whole time only if
// it waits for what the server doesn't do.
func sendEarly(t *testing.T, p *Pool, method string, body segment.Body) Result {
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	return p.Do(ctx, Request{
		Method: method, Target: "/x", Host: "h", ID: "me", Body: body,
		Matches:    func(_ int, h http.Header) bool { return h.Get("Id") == "me" },
		Confusable: noResponse,
	})
}

// Guards against the same faults with the product's own connections, where either the
// read or the write is told of a reset first, and with a request that the socket
// takes at once or that is written before the response is read.
func TestEarlyResponseWithoutOrder(t *testing.T) {
	const unframed = "HTTP/1.1 200 OK\r\n" + earlyHead + "\r\n"
	tests := []struct {
		name   string
		ending ending
		want   error
	}{
		{"reset", reset, ErrConnLost},
		{"closed with unread input", closeUnread, ErrConnLost},
		{"closed after the request", readThenClose, nil},
		{"half-closed", halfClose, nil},
		{"half-closed and read on", halfCloseRead, nil},
		{"half-closed and reset", halfCloseReset, nil},
		{"half-closed, closed with unread input", halfCloseClose, nil},
	}
	answer := strings.Repeat("x", 10<<10)
	for _, tt := range tests {
		for _, size := range []int{8 << 20, 100 << 10, maxInlineBytes} {
			t.Run(fmt.Sprint(tt.name, ", ", size), func(t *testing.T) {
				is := is.New(t)
				s := newEarlyServer(t, unframed+answer, tt.ending)
				p := NewPool(s.listener.Addr().String(), NewBudget(maxBodyBytes))
				body := segment.Of(make([]byte, size))
				for range 30 {
					res := sendEarly(t, p, "POST", body)
					is.True(errors.Is(res.Err, tt.want))
					is.Equal(res.Err == nil, tt.want == nil)
					is.True(res.Err != nil || res.Body.String() == answer)
				}
			})
		}
	}
}

// Guards against a system that reports the end of a connection otherwise than
// checkEnd relies on: a reset that the write isn't told of must be an error of the
// read, and one after a half-close must be EPIPE for the write.
func TestReportOfReset(t *testing.T) {
	const (
		closed    = unix.BPF_TCP_CLOSE
		closeWait = unix.BPF_TCP_CLOSE_WAIT
	)
	tests := []struct {
		name        string
		ending      ending
		order       order
		read, write error // read: nil if the stream ends
		state       uint8 // of the socket
	}{
		{"reset", reset, writeFirst, nil, syscall.ECONNRESET, closed},
		{"reset", reset, readFirst, syscall.ECONNRESET, syscall.EPIPE, closed},
		{"closed with unread input", closeUnread, writeFirst, nil, syscall.ECONNRESET, closed},
		{"closed with unread input", closeUnread, readFirst, syscall.ECONNRESET, syscall.EPIPE, closed},
		{"half-closed and reset", halfCloseReset, writeFirst, nil, syscall.EPIPE, closed},
		{"half-closed and reset", halfCloseReset, readFirst, nil, syscall.EPIPE, closed},
		{"half-closed", halfClose, readFirst, nil, os.ErrDeadlineExceeded, closeWait},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newEarlyServer(t, "abc", tt.ending)
			nc, err := s.dialer(tt.order)(t.Context(), "tcp", s.listener.Addr().String())
			is.NoErr(err)
			defer nc.Close()
			wrote := make(chan error, 1)
			w := &writer{conn: &conn{Conn: nc}, head: []byte("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8388608\r\n\r\n"), body: segment.Of(make([]byte, 8<<20)), done: wrote}
			go w.run()
			b, err := io.ReadAll(nc)
			is.Equal(string(b), "abc")
			is.True(errors.Is(err, tt.read))
			is.Equal(err == nil, tt.read == nil)
			is.Equal(stateOf(t, nc), tt.state)
			is.NoErr(nc.SetWriteDeadline(time.Now().Add(200 * time.Millisecond)))
			is.True(errors.Is(<-wrote, tt.write))
		})
	}
}

// stateOf returns the state of a connection's socket.
func stateOf(t *testing.T, nc net.Conn) (state uint8) {
	raw, err := nc.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var info *unix.TCPInfo
	if e := raw.Control(func(fd uintptr) { info, err = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO) }); e != nil || err != nil {
		t.Fatal(e, err)
	}
	return info.State
}

// pipeServer responds on a connection that isn't a socket, and closes it.
type pipeServer struct {
	conn     net.Conn
	response string
	readAll  bool
}

func (s *pipeServer) run() {
	defer s.conn.Close()
	r, err := http.ReadRequest(bufio.NewReader(s.conn))
	if err != nil {
		return
	}
	if s.readAll {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
	}
	io.WriteString(s.conn, s.response) // an error shows in the result of the request
}

// failingConn is a connection whose writes fail with an error after the head of a request.
type failingConn struct {
	net.Conn
	err error
}

func (c failingConn) Write(p []byte) (int, error) {
	if len(p) > maxInlineBytes {
		return 0, c.err
	}
	return c.Conn.Write(p)
}

// Guards against a rule that needs a TCP socket, and against another error of the write than a reset that
// isn't taken for a sign of a broken-off response.
func TestEarlyResponseOnOtherConn(t *testing.T) {
	tests := []struct {
		name    string
		size    int
		readAll bool
		write   error // of the request's body; nil: as the connection's
		want    error
	}{
		{"short request", 1, true, nil, nil},
		{"long request, read", 1 << 20, true, nil, nil},
		{"long request, unread", 1 << 20, false, nil, nil},
		{"closed sending side", 1 << 20, false, syscall.EPIPE, nil},
		{"reset", 1 << 20, false, syscall.ECONNRESET, ErrConnLost},
		{"server lost", 1 << 20, false, syscall.ETIMEDOUT, ErrConnLost},
		{"no route", 1 << 20, false, syscall.EHOSTUNREACH, ErrConnLost},
		{"unknown error", 1 << 20, false, errors.New("x"), ErrConnLost},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			client, server := net.Pipe()
			s := &pipeServer{conn: server, response: "HTTP/1.1 200 OK\r\n" + earlyHead + "\r\nabc", readAll: tt.readAll}
			go s.run()
			var nc net.Conn = client
			if tt.write != nil {
				nc = failingConn{client, tt.write}
			}
			var res Result
			r := Request{Method: "POST", Target: "/", Host: "h", Body: segment.Of(make([]byte, tt.size)), Matches: anyResponse, Confusable: noResponse}
			reusable := NewPool("x", NewBudget(maxBodyBytes)).exchange(t.Context(), newConn(nc), r, maxBodyBytes, &res)
			is.True(!reusable)
			is.True(errors.Is(res.Err, tt.want))
			is.Equal(res.Err == nil, tt.want == nil)
		})
	}
}

// Guards against a connection that stays in the pool after the response to a health request was broken off.
func TestEarlyHealthResponse(t *testing.T) {
	for _, e := range []ending{reset, halfClose, halfCloseReset} {
		is := is.New(t)
		s := newEarlyServer(t, "HTTP/1.1 200 OK\r\n"+earlyHead+"\r\nabc", e)
		p := NewPool(s.listener.Addr().String(), NewBudget(maxBodyBytes))
		observed := make(chan bool, 1)
		p.Observe(func(int, http.Header) { observed <- true })
		is.NoErr(p.Probe())
		p.Sweep(t.Context(), time.Now().Add(defaultIdleTimeout-probeLead/2), "/health")
		select {
		case <-observed: // a head tells what it tells, whatever its body
		case <-time.After(5 * time.Second):
			t.Fatal("no response to the health request")
		}
		time.Sleep(20 * time.Millisecond)
		is.Equal(p.Idle(), 0)
	}
}
