// Package caller serves callers' connections over HTTP/1.1.
//
// Requests that arrive on a connection behind an unanswered one are handled at
// once, and their answers are returned in order. net/http's server handles
// them one after the other, which would add up their times.
//
// # Usage
//
//	s := caller.New(caller.Config{Handle: h, Limits: limits})
//	go s.Run(ctx, listener)
//	s.Drain() // answers from now on close their connections
//	s.Shut()  // closes connections without a request
package caller

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
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/intent"
)

const (
	// pipelineMax is how many requests of a connection are handled at a time.
	pipelineMax = 16
	// writeTimeout bounds the writing of an answer to a caller that reads
	// nothing.
	writeTimeout = 10 * time.Second
	// lingerMax is how long a connection stays half open after an answer that
	// closes it, so that a reset for unread bytes doesn't destroy the answer.
	lingerMax = 500 * time.Millisecond
	bufSize   = 4 << 10
	// bodyTimeout bounds the reading of a body.
	bodyTimeout = 30 * time.Second
)

// Request is a caller's request with its whole body.
type Request struct {
	Method string
	Target string
	Path   string
	Host   string
	Header http.Header
	Body   []byte
	HasLen bool // a length was stated, even if 0
	Remote string
}

// Answer is what the caller gets.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	Close  bool // close the connection after it
	Abort  bool // close the connection without an answer
}

// Config has the parts of a Server. Handle's ctx ends when the caller is gone.
type Config struct {
	Handle func(ctx context.Context, r *Request) Answer
	Limits func() intent.Limits
	Log    *zap.Logger
}

// Server has the open connections.
type Server struct {
	cfg      Config
	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining atomic.Bool
}

// New returns a Server without connections.
func New(cfg Config) *Server { return &Server{cfg: cfg, conns: make(map[*conn]struct{})} }

// Run accepts connections until the listener is closed.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	for {
		nc, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			s.cfg.Log.Warn("accept failed", zap.Error(err))
			time.Sleep(10 * time.Millisecond) // descriptors may be short
			continue
		}
		c := &conn{s: s, nc: nc, out: make(chan *exchange, pipelineMax)}
		c.ctx, c.cancel = context.WithCancel(context.WithoutCancel(ctx))
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go c.run()
	}
}

// Drain makes all further answers close their connections.
func (s *Server) Drain() { s.draining.Store(true) }

// Shut closes the connections on which no request is in progress.
func (s *Server) Shut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.pending.Load() == 0 && !c.reading.Load() {
			c.nc.Close()
		}
	}
}

// Open returns the number of connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// conn is a caller's connection. run reads requests; loop writes answers.
type conn struct {
	s       *Server
	nc      net.Conn
	br      *bufio.Reader
	lim     *io.LimitedReader
	ctx     context.Context
	cancel  context.CancelFunc
	out     chan *exchange
	pending atomic.Int32 // requests without a written answer
	reading atomic.Bool  // a request has begun to arrive
	closing atomic.Bool  // the last answer is on its way; read no more
}

// exchange is a request and, when done is closed, its answer.
type exchange struct {
	req    *Request
	head   bool // the request's method is HEAD
	close  bool // the caller asked for the connection to be closed
	answer Answer
	done   chan struct{}
}

func (c *conn) run() {
	c.lim = &io.LimitedReader{R: c.nc, N: 1}
	c.br = bufio.NewReaderSize(c.lim, bufSize)
	written := make(chan struct{})
	go c.loop(written)
	for c.ctx.Err() == nil {
		ex, err := c.next()
		if err != nil {
			c.refuse(err)
			break
		}
		c.pending.Add(1)
		c.reading.Store(false)
		if c.closing.Load() {
			// The caller sees it behind an answer that closes the connection,
			// and sends it again elsewhere.
			c.pending.Add(-1)
			break
		}
		// The last request of a connection is the first one that is read after
		// the host has begun to leave. Those behind it are sent again elsewhere.
		ex.close = ex.close || c.s.draining.Load()
		c.out <- ex
		go ex.run(c)
		if ex.close {
			c.awaitClose()
			break
		}
	}
	close(c.out)
	<-written
	c.cancel()
	c.nc.Close()
	c.s.mu.Lock()
	delete(c.s.conns, c)
	c.s.mu.Unlock()
}

// run handles the request.
func (ex *exchange) run(c *conn) {
	ex.answer = c.s.cfg.Handle(c.ctx, ex.req)
	close(ex.done)
}

// protocolError is a request that can't be read, with the status to answer.
type protocolError struct {
	status int
	err    error
}

func (e *protocolError) Error() string { return e.err.Error() }

// refuse ends the reading side. A malformed request is answered behind those
// in progress; when the caller is gone the requests in progress are cancelled.
func (c *conn) refuse(err error) {
	var pe *protocolError
	if !errors.As(err, &pe) {
		if !errors.Is(err, errIdle) {
			c.cancel()
		}
		return
	}
	ex := &exchange{done: make(chan struct{}), close: true, answer: Answer{Status: pe.status, Close: true}}
	close(ex.done)
	c.pending.Add(1)
	c.out <- ex
}

// awaitClose waits for the caller to go while its last request is handled.
func (c *conn) awaitClose() {
	if err := c.nc.SetReadDeadline(time.Now().Add(time.Hour)); err != nil {
		c.cancel()
		return
	}
	c.lim.N = 1 << 20
	for c.pending.Load() > 0 {
		if _, err := c.br.ReadByte(); err != nil {
			c.cancel()
			return
		}
	}
}

// errIdle ends a connection that was idle for too long.
var errIdle = errors.New("caller: idle")

// next reads a request with its body.
func (c *conn) next() (ex *exchange, err error) {
	limits := c.s.cfg.Limits()
	c.lim.N = int64(limits.HeaderBytes)
	if err = c.awaitFirst(limits.Idle); err != nil {
		return nil, err
	}
	c.reading.Store(true)
	if err = c.nc.SetReadDeadline(time.Now().Add(limits.HeaderWait.Std())); err != nil {
		return nil, err
	}
	r, err := http.ReadRequest(c.br)
	if err != nil {
		switch {
		case c.lim.N <= 0:
			return nil, &protocolError{http.StatusRequestHeaderFieldsTooLarge, err}
		case isGone(err):
			return nil, err
		}
		return nil, &protocolError{http.StatusBadRequest, err}
	}
	c.lim.N = limits.BodyBytes + int64(limits.HeaderBytes) + bufSize
	body, err := c.body(r, limits.BodyBytes)
	if err != nil {
		return nil, err
	}
	req := &Request{
		Method: r.Method, Target: r.RequestURI, Path: r.URL.Path, Host: r.Host, Header: r.Header, Body: body,
		HasLen: r.ContentLength > 0 || len(r.TransferEncoding) > 0 || r.Header.Get("Content-Length") != "",
		Remote: c.nc.RemoteAddr().String(),
	}
	if raw, _, _ := strings.Cut(r.RequestURI, "?"); strings.HasPrefix(raw, "/") {
		req.Path = raw
	}
	return &exchange{req: req, head: r.Method == http.MethodHead, close: r.Close, done: make(chan struct{})}, nil
}

func isGone(err error) bool {
	var ne net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &ne) || errors.Is(err, net.ErrClosed)
}

// awaitFirst waits for the first byte of a request. A connection isn't idle
// while an answer is outstanding.
func (c *conn) awaitFirst(idle clock.Span) error {
	for {
		if err := c.nc.SetReadDeadline(time.Now().Add(idle.Std())); err != nil {
			return err
		}
		_, err := c.br.Peek(1)
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() {
			if c.pending.Load() > 0 {
				continue
			}
			return errIdle
		}
		return err
	}
}

func (c *conn) body(r *http.Request, most int64) (b []byte, err error) {
	if r.ContentLength > most {
		return nil, &protocolError{http.StatusRequestEntityTooLarge, fmt.Errorf("body of %d bytes", r.ContentLength)}
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if _, err = io.WriteString(c.nc, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, err
		}
	}
	if err = c.nc.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, err
	}
	b, err = io.ReadAll(io.LimitReader(r.Body, most+1))
	switch {
	case err != nil && isGone(err):
		return nil, err
	case err != nil:
		return nil, &protocolError{http.StatusBadRequest, err}
	case int64(len(b)) > most:
		return nil, &protocolError{http.StatusRequestEntityTooLarge, fmt.Errorf("body is longer than %d bytes", most)}
	}
	return b, nil
}

// loop writes the answers in the order of the requests.
func (c *conn) loop(written chan<- struct{}) {
	defer close(written)
	closed := false
	for ex := range c.out {
		if closed {
			// Behind an answer that closes the connection; not read, as far as
			// the caller can tell.
			<-ex.done
			c.pending.Add(-1)
			continue
		}
		<-ex.done
		closed = c.write(ex)
		c.pending.Add(-1)
		if closed {
			c.finish(ex)
		}
	}
}

// finish closes a connection after its last answer.
func (c *conn) finish(ex *exchange) {
	c.cancel()
	if ex.answer.Abort {
		c.nc.Close()
		return
	}
	if tc, ok := c.nc.(*net.TCPConn); ok && tc.CloseWrite() == nil {
		// The reading side ends at the caller's close or at this deadline.
		if tc.SetReadDeadline(time.Now().Add(lingerMax)) == nil {
			return
		}
	}
	c.nc.Close()
}

// write sends an answer. It reports whether the connection has to be closed.
func (c *conn) write(ex *exchange) (closed bool) {
	a := &ex.answer
	if a.Abort {
		return true
	}
	closed = a.Close || ex.close
	if closed {
		c.closing.Store(true)
	}
	var b bytes.Buffer
	b.Grow(256 + len(a.Body))
	b.WriteString("HTTP/1.1 " + strconv.Itoa(a.Status) + " " + http.StatusText(a.Status) + "\r\n")
	bodyless := a.Status == http.StatusNoContent || a.Status == http.StatusNotModified
	for name, values := range a.Header {
		if name == "Content-Length" || name == "Transfer-Encoding" || name == "Connection" || name == "Keep-Alive" {
			continue
		}
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if !bodyless {
		n := strconv.Itoa(len(a.Body))
		if ex.head && a.Header.Get("Content-Length") != "" {
			n = a.Header.Get("Content-Length")
		}
		b.WriteString("Content-Length: " + n + "\r\n")
	}
	if closed {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	if !ex.head && !bodyless {
		b.Write(a.Body)
	}
	if err := c.nc.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return true
	}
	if _, err := c.nc.Write(b.Bytes()); err != nil {
		return true
	}
	return closed
}
