// Package caller is an HTTP/1.1 server for callers.
//
// Pipelined requests are handled concurrently, and their responses are written
// in the order of the requests. net/http's server handles the requests of a
// connection sequentially, which would add up their latencies.
//
// # Usage
//
//	s := caller.New(caller.Config{Handle: h, Limits: limits, Log: log})
//	go s.Run(ctx, listener)
//	s.Drain()     // the next request of each connection is its last one
//	s.CloseIdle() // closes idle connections
package caller

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/intent"
)

const (
	// maxPipelined is the maximum number of requests of a connection that are handled
	// concurrently with its oldest unanswered one.
	maxPipelined = 16
	// maxExchanges is the most exchanges of a connection: one more for the response
	// to an invalid request.
	maxExchanges = maxPipelined + 2
	// writeTimeout bounds the writing of a response to a caller that doesn't read
	// it.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long a connection stays half-closed after its last
	// response. Closing it at once with unread bytes would send a reset, and the
	// caller could lose the response.
	lingerTimeout   = 500 * time.Millisecond
	readBufferBytes = 4 << 10
	// maxCopiedBytes bounds the response bodies that are copied behind their head.
	// Longer ones are written without a copy.
	maxCopiedBytes = 16 << 10
	// bodyTimeout bounds the reading of a request body.
	bodyTimeout = 30 * time.Second
)

// Request is a caller's request with its complete body.
type Request struct {
	Method           string
	Target           string
	Path             string
	Host             string
	Header           http.Header
	Body             []byte
	HasContentLength bool // the request had a Content-Length, even if 0, or was chunked
	RemoteAddr       string
	// Left reports whether the caller has disconnected. The ctx of the request may
	// not tell yet: it is cancelled when the end of the connection is read, which a
	// busy host does late. May be nil.
	Left func() bool
}

// Response is the response to a request.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	Close  bool // close the connection after the response
	Abort  bool // close the connection without a response
}

// Config has the dependencies of a Server. The ctx of Handle is cancelled when
// the caller disconnects.
type Config struct {
	Handle func(ctx context.Context, r *Request) Response
	Limits func() intent.Limits
	Log    *zap.Logger
}

// Server serves the requests of callers' connections.
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
			s.cfg.Log.Warn("cannot accept connection; retrying in 10 ms", zap.Error(err))
			time.Sleep(10 * time.Millisecond) // file descriptors may be exhausted
			continue
		}
		c := &conn{server: s, netConn: nc, exchanges: make(chan *exchange, maxExchanges)}
		if c.socket, err = socketOf(nc); err != nil {
			s.cfg.Log.Warn("cannot use connection", zap.Error(err))
			nc.Close()
			continue
		}
		c.ctx, c.cancel = context.WithCancel(context.WithoutCancel(ctx))
		s.mu.Lock()
		s.conns[c] = struct{}{}
		s.mu.Unlock()
		go c.run()
	}
}

// Drain makes the next request that is read on each connection the last one: its
// response closes the connection.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections without a request in progress.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.pending.Load() == 0 && !c.reading.Load() {
			c.netConn.Close()
		}
	}
}

// ConnCount returns the number of open connections.
func (s *Server) ConnCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// conn is a caller's connection. run reads requests; loop writes responses.
type conn struct {
	server    *Server
	netConn   net.Conn
	socket    syscall.RawConn // of netConn
	reader    *bufio.Reader
	limited   *io.LimitedReader // source of reader
	ctx       context.Context
	cancel    context.CancelFunc
	exchanges chan *exchange
	pending   atomic.Int32 // requests whose response isn't written
	waiting   atomic.Bool  // run waits for pending to fall
	reading   atomic.Bool  // a request has been received in part
	closing   atomic.Bool  // the last response is being written
}

// exchange is a request and its response, which is set when done is closed.
type exchange struct {
	req      *Request
	isHead   bool // the request's method is HEAD
	close    bool // close the connection after the response
	response Response
	done     chan struct{}
}

func (c *conn) run() {
	c.limited = &io.LimitedReader{R: c.netConn, N: 1}
	c.reader = bufio.NewReaderSize(c.limited, readBufferBytes)
	written := make(chan struct{})
	go c.loop(written)
	for c.awaitPending(maxPipelined) {
		ex, err := c.readExchange()
		if err != nil {
			c.handleReadError(err)
			break
		}
		c.left() // cancels the request if nobody waits for its response
		c.pending.Add(1)
		c.reading.Store(false)
		if c.closing.Load() {
			// The request follows a response that closes the connection. The caller
			// sends it again on another connection.
			c.endPending()
			break
		}
		// While draining, the next request of a connection is its last one. The
		// caller sends those that follow it again on another connection.
		ex.close = ex.close || c.server.draining.Load()
		c.exchanges <- ex
		go ex.run(c)
		if ex.close {
			c.awaitDisconnect()
			break
		}
	}
	close(c.exchanges)
	<-written
	c.cancel()
	c.netConn.Close()
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
}

// run handles the request and closes done.
func (ex *exchange) run(c *conn) {
	ex.response = c.server.cfg.Handle(c.ctx, ex.req)
	close(ex.done)
}

// protocolError is the error of an invalid request, with the status of the
// response.
type protocolError struct {
	status int
	err    error
}

func (e *protocolError) Error() string { return e.err.Error() }

// handleReadError handles the error that ends the reading of requests. An
// invalid request gets an error response after the responses to the requests
// in progress. If the caller has disconnected, these are cancelled.
func (c *conn) handleReadError(err error) {
	var pe *protocolError
	if !errors.As(err, &pe) {
		if !errors.Is(err, errIdle) {
			c.cancel()
		}
		return
	}
	ex := &exchange{done: make(chan struct{}), close: true, response: Response{Status: pe.status, Close: true}}
	close(ex.done)
	c.pending.Add(1)
	c.exchanges <- ex
	c.awaitDisconnect()
}

// awaitDisconnect discards input while the last requests are handled, and
// cancels them if the caller disconnects.
func (c *conn) awaitDisconnect() {
	if err := c.netConn.SetReadDeadline(time.Now().Add(time.Hour)); err != nil {
		c.cancel()
		return
	}
	c.limited.N = math.MaxInt64 // a close reaches this host behind all of the input
	for c.pending.Load() > 0 {
		_, err := c.reader.Peek(1)
		if err == nil {
			_, err = c.reader.Discard(c.reader.Buffered())
		}
		if err != nil {
			c.cancel()
			return
		}
	}
}

// errIdle ends a connection that was idle for longer than Limits.Idle.
var errIdle = errors.New("caller: connection exceeded the idle timeout")

// readExchange reads a request with its body.
func (c *conn) readExchange() (ex *exchange, err error) {
	limits := c.server.cfg.Limits()
	c.limited.N = int64(limits.HeaderBytes)
	if err = c.awaitRequest(limits.Idle); err != nil {
		return nil, err
	}
	c.reading.Store(true)
	if err = c.netConn.SetReadDeadline(time.Now().Add(limits.HeaderWait.Std())); err != nil {
		return nil, err
	}
	r, err := http.ReadRequest(c.reader)
	if err != nil {
		switch {
		case c.limited.N <= 0:
			return nil, &protocolError{http.StatusRequestHeaderFieldsTooLarge, err}
		case isDisconnect(err):
			return nil, err
		}
		return nil, &protocolError{http.StatusBadRequest, err}
	}
	c.limited.N = limits.BodyBytes + int64(limits.HeaderBytes) + readBufferBytes
	body, err := c.readBody(r, limits.BodyBytes)
	if err != nil {
		return nil, err
	}
	req := &Request{
		Method: r.Method, Target: r.RequestURI, Path: r.URL.Path, Host: r.Host, Header: r.Header, Body: body,
		HasContentLength: r.ContentLength > 0 || len(r.TransferEncoding) > 0 || r.Header.Get("Content-Length") != "",
		RemoteAddr:       c.netConn.RemoteAddr().String(),
		Left:             c.left,
	}
	if raw, _, _ := strings.Cut(r.RequestURI, "?"); strings.HasPrefix(raw, "/") {
		req.Path = raw
	}
	return &exchange{req: req, isHead: r.Method == http.MethodHead, close: r.Close, done: make(chan struct{})}, nil
}

// isDisconnect reports whether err means that the connection is closed, broken
// or timed out, as opposed to an invalid request.
func isDisconnect(err error) bool {
	var ne net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &ne) || errors.Is(err, net.ErrClosed)
}

// awaitRequest waits for the first byte of a request. A connection isn't idle
// while a response is pending.
func (c *conn) awaitRequest(idle clock.Span) error {
	for {
		if err := c.netConn.SetReadDeadline(time.Now().Add(idle.Std())); err != nil {
			return err
		}
		_, err := c.reader.Peek(1)
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

func (c *conn) readBody(r *http.Request, maxBytes int64) (b []byte, err error) {
	if r.ContentLength > maxBytes {
		return nil, &protocolError{http.StatusRequestEntityTooLarge, fmt.Errorf("body of %d bytes exceeds the limit", r.ContentLength)}
	}
	if r.ContentLength == 0 {
		return nil, nil
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if _, err = io.WriteString(c.netConn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, err
		}
	}
	if err = c.netConn.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return nil, err
	}
	b, err = io.ReadAll(io.LimitReader(r.Body, maxBytes+1))
	switch {
	case err != nil && isDisconnect(err):
		return nil, err
	case err != nil:
		return nil, &protocolError{http.StatusBadRequest, err}
	case int64(len(b)) > maxBytes:
		return nil, &protocolError{http.StatusRequestEntityTooLarge, fmt.Errorf("body exceeds the limit of %d bytes", maxBytes)}
	}
	return b, nil
}

// loop writes the responses in the order of the requests.
func (c *conn) loop(written chan<- struct{}) {
	defer close(written)
	closed := false
	for ex := range c.exchanges {
		if closed {
			// The request follows one whose response has closed the connection.
			// To the caller it looks as if it hadn't been read.
			<-ex.done
			c.endPending()
			continue
		}
		<-ex.done
		closed = c.writeResponse(ex)
		c.endPending()
		if closed {
			c.finish(ex)
		}
	}
}

// finish closes a connection after its last response.
func (c *conn) finish(ex *exchange) {
	c.cancel()
	if ex.response.Abort {
		c.netConn.Close()
		return
	}
	if tc, ok := c.netConn.(*net.TCPConn); ok && tc.CloseWrite() == nil {
		// run reads until the caller closes its side or the deadline expires, and
		// then closes the connection.
		if tc.SetReadDeadline(time.Now().Add(lingerTimeout)) == nil {
			return
		}
	}
	c.netConn.Close()
}

// writeResponse writes the response of an exchange. It reports whether the
// connection has to be closed.
func (c *conn) writeResponse(ex *exchange) (closed bool) {
	resp := &ex.response
	if resp.Abort {
		return true
	}
	closed = resp.Close || ex.close
	if closed {
		c.closing.Store(true)
	}
	var b bytes.Buffer
	b.Grow(256 + min(len(resp.Body), maxCopiedBytes))
	b.WriteString("HTTP/1.1 " + strconv.Itoa(resp.Status) + " " + http.StatusText(resp.Status) + "\r\n")
	noBody := resp.Status == http.StatusNoContent || resp.Status == http.StatusNotModified
	for name, values := range resp.Header {
		if name == "Content-Length" || name == "Transfer-Encoding" || name == "Connection" || name == "Keep-Alive" {
			continue
		}
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if !noBody {
		n := strconv.Itoa(len(resp.Body))
		if ex.isHead && resp.Header.Get("Content-Length") != "" {
			n = resp.Header.Get("Content-Length")
		}
		b.WriteString("Content-Length: " + n + "\r\n")
	}
	if closed {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	body := resp.Body
	if ex.isHead || noBody {
		body = nil
	}
	if len(body) <= maxCopiedBytes {
		b.Write(body)
		body = nil
	}
	if err := c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return true
	}
	if _, err := c.netConn.Write(b.Bytes()); err != nil {
		return true
	}
	if len(body) > 0 {
		if _, err := c.netConn.Write(body); err != nil {
			return true
		}
	}
	return closed
}
