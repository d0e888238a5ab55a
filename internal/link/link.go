// Package link sends requests to backend servers over HTTP/1.1 connections
// that are kept open.
//
// It knows at every moment whether bytes of a request may have reached its
// server, which net/http's transport doesn't tell, and never repeats a request
// by itself.
//
// # Usage
//
//	p := link.NewPool("10.128.0.9:8080")
//	res := p.Do(ctx, link.Request{Method: "GET", Target: "/a/b", Host: "h", Header: h, Mine: mine})
//	if res.Err != nil && !res.Sent { /* safe to send elsewhere */ }
package link

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the opening of a connection. A lost first packet is
	// sent again after a second, which isn't worth waiting for.
	dialTimeout = 400 * time.Millisecond
	// unackedMax closes a connection whose peer has not acknowledged sent data
	// for so long: it is cut off or has no power.
	unackedMax = 1500 * time.Millisecond
	// keepIdle, keepEvery and keepCount detect silent connections while a
	// response is awaited.
	keepIdle  = time.Second
	keepEvery = 500 * time.Millisecond
	keepCount = 3
	// idleMax is how long an unused connection is kept if the server doesn't
	// state its own limit.
	idleMax = 8 * time.Second
	// idleMargin is how much earlier than the server an unused connection is
	// given up, so that a request never meets the server's close.
	idleMargin = 1500 * time.Millisecond
	// probesMax is how many times in a row an unused connection is kept open,
	// probeBefore how long before its end, and probeTimeout bounds the wait.
	probesMax    = 2
	probeBefore  = 1100 * time.Millisecond
	probeTimeout = 2 * time.Second
	// answerMax bounds the body of a response.
	answerMax = 64 << 20
	// skipMax is how many responses to other requests are skipped on a
	// connection before it is given up.
	skipMax = 3
	// inlineMax is the longest body that is written before the response is
	// read; it fits into the socket's buffer.
	inlineMax = 8 << 10
	bufSize   = 4 << 10
)

// Errors of Do.
var (
	ErrDial      = errors.New("link: no connection")
	ErrBroken    = errors.New("link: connection broke")
	ErrForeign   = errors.New("link: response belongs to another request")
	ErrMalformed = errors.New("link: malformed response")
)

// Request is a request to a server.
type Request struct {
	Method string
	Target string // path and query as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	HasLen bool // send a length even if the body is empty
	// Mine reports whether a response belongs to this request.
	Mine func(http.Header) bool
}

// Result is the outcome of a request.
type Result struct {
	Sent    bool // bytes may have reached the server
	Status  int
	Proto   string
	Header  http.Header
	Body    []byte
	Opened  bool // a new connection was opened
	Skipped int  // responses to other requests that came first
	Err     error
}

type conn struct {
	net.Conn
	br     *bufio.Reader
	expiry time.Time
	probes int // sent since its last request
}

// Pool has the connections to one server.
type Pool struct {
	addr   string
	mu     sync.Mutex
	idle   []*conn
	closed bool
}

// NewPool returns a Pool without connections.
func NewPool(addr string) *Pool { return &Pool{addr: addr} }

// Close closes the unused connections; those in use close when they end.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// Unused returns the number of open connections that no request uses.
func (p *Pool) Unused() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// Sweep closes connections that have been unused for too long. The one that
// was used last is kept open by asking the server for its health at the given
// path, a few times: that costs less than a new connection.
func (p *Pool) Sweep(ctx context.Context, now time.Time, health string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := p.idle[:0]
	for i, c := range p.idle {
		last := i == len(p.idle)-1
		switch {
		case !now.Before(c.expiry):
			c.Close()
		case last && health != "" && c.probes < probesMax && c.expiry.Sub(now) <= probeBefore:
			c.probes++
			pr := &probe{p: p, c: c, path: health}
			go pr.run(ctx)
		default:
			left = append(left, c)
		}
	}
	clear(p.idle[len(left):])
	p.idle = left
}

// probe keeps a connection open with a health request.
type probe struct {
	p    *Pool
	c    *conn
	path string
}

func (pr *probe) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if !pr.c.quiet() {
		pr.c.Close()
		return
	}
	var res Result
	stop := context.AfterFunc(ctx, func() { pr.c.Close() })
	keep := pr.p.exchange(pr.c, Request{Method: http.MethodGet, Target: pr.path, Host: pr.p.addr, Mine: anyAnswer}, &res)
	if !stop() || !keep || res.Status != http.StatusOK || pr.c.br.Buffered() > 0 {
		pr.c.Close()
		return
	}
	pr.p.put(pr.c)
}

func anyAnswer(http.Header) bool { return true }

// take returns an unused connection that is still good, or nil.
func (p *Pool) take(now time.Time) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(p.idle) > 0 {
		c := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		if now.Before(c.expiry) && c.quiet() {
			c.probes = 0
			return c
		}
		c.Close()
	}
	return nil
}

// quiet reports whether nothing has arrived on an unused connection: neither
// its end nor bytes that belong to no request.
func (c *conn) quiet() bool {
	if c.br.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(e, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

func (p *Pool) put(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// Dialer opens connections that notice a silent peer.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepIdle, Interval: keepEvery, Count: keepCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			if e := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedMax/time.Millisecond))
			}); e != nil {
				return e
			}
			return err
		},
	}
}

// Do sends a request and reads the whole response.
func (p *Pool) Do(ctx context.Context, r Request) (res Result) {
	c := p.take(time.Now())
	if c == nil {
		nc, err := Dialer(dialTimeout).DialContext(ctx, "tcp", p.addr)
		if err != nil {
			res.Err = fmt.Errorf("%w: %w", ErrDial, err)
			return res
		}
		c = &conn{Conn: nc, br: bufio.NewReaderSize(nc, bufSize)}
		res.Opened = true
	}
	stop := context.AfterFunc(ctx, func() { c.Close() })
	keep := p.exchange(c, r, &res)
	if !stop() || !keep || c.br.Buffered() > 0 {
		c.Close()
		return res
	}
	p.put(c)
	return res
}

// exchange sends a request on a connection and reads its response. keep is
// false if the connection can't be used again.
func (p *Pool) exchange(c *conn, r Request, res *Result) (keep bool) {
	head := r.head()
	res.Sent = true
	wrote := make(chan error, 1)
	if len(r.Body) <= inlineMax {
		_, err := c.Write(append(head, r.Body...))
		wrote <- err
	} else {
		w := &writer{c: c, head: head, body: r.Body, done: wrote}
		go w.run()
	}
	resp, err := c.read(r, res)
	if err != nil {
		res.Err = err
		return false
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, answerMax+1))
	switch {
	case err != nil:
		res.Err = fmt.Errorf("%w: %w", ErrBroken, err)
		return false
	case len(body) > answerMax:
		res.Err = fmt.Errorf("%w: body is longer than %d bytes", ErrMalformed, answerMax)
		return false
	}
	res.Status, res.Header, res.Body, res.Proto = resp.StatusCode, resp.Header, body, resp.Proto
	select {
	case err := <-wrote:
		// A server may answer before it has read a long body. The rest of the
		// body is still due on this connection, so it can't be used again
		// unless all was written.
		if err != nil {
			return false
		}
	default:
		return false
	}
	now := time.Now()
	c.expiry = now.Add(idleTime(resp.Header))
	return !resp.Close
}

// idleTime returns how long a connection may stay unused.
func idleTime(h http.Header) time.Duration {
	for _, p := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(p), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil && n >= 0 {
				return max(time.Duration(n)*time.Second-idleMargin, 0)
			}
		}
	}
	return idleMax
}

// read returns the response to a request; responses to others that come first
// are skipped.
func (c *conn) read(r Request, res *Result) (*http.Response, error) {
	req := &http.Request{Method: r.Method}
	for {
		if res.Skipped > 0 || !res.Opened {
			// A connection that was closed while unused shows its end here.
			if _, err := c.br.Peek(1); err != nil {
				return nil, fmt.Errorf("%w: %w", ErrBroken, err)
			}
		}
		resp, err := http.ReadResponse(c.br, req)
		if err != nil {
			if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || isNet(err) {
				return nil, fmt.Errorf("%w: %w", ErrBroken, err)
			}
			return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if r.Mine(resp.Header) {
			return resp, nil
		}
		if res.Skipped++; res.Skipped > skipMax || resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, ErrForeign
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrBroken, err)
		}
	}
}

func isNet(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) || errors.Is(err, net.ErrClosed) || errors.Is(err, syscall.ECONNRESET)
}

// writer sends a long request while its response is read.
type writer struct {
	c    *conn
	head []byte
	body []byte
	done chan<- error
}

func (w *writer) run() {
	bufs := net.Buffers{w.head, w.body}
	_, err := bufs.WriteTo(w.c.Conn)
	w.done <- err
}

// head returns the request line and the header.
func (r Request) head() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(r.Body))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if len(r.Body) > 0 || r.HasLen {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Probe reports whether the server accepts a connection, and keeps it.
func (p *Pool) Probe() bool {
	nc, err := Dialer(dialTimeout).Dial("tcp", p.addr)
	if err != nil {
		return false
	}
	p.put(&conn{Conn: nc, br: bufio.NewReaderSize(nc, bufSize), expiry: time.Now().Add(idleMax)})
	return true
}
