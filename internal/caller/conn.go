package caller

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/laburnummux/laburnummux/internal/budget"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/head"
	"github.com/laburnummux/laburnummux/internal/segment"
)

const (
	// maxPipelined is the maximum number of requests of a connection that are handled
	// concurrently with its oldest unanswered one.
	maxPipelined = 16
	// maxExchanges is the most exchanges of a connection: one more for the response
	// to an invalid request.
	maxExchanges    = maxPipelined + 2
	readBufferBytes = 4 << 10
	// bodyTimeout bounds the reading of a request body.
	bodyTimeout = 30 * time.Second
)

// conn is a caller's connection. run reads requests; loop writes responses.
type conn struct {
	*Tracked
	server    *Server
	socket    syscall.RawConn // of netConn
	reader    *bufio.Reader
	hold      *budget.Hold      // memory of the request that is being read, see count; of run
	counted   int64             // its memory, with or without a hold; of run
	window    Window            // of run
	inRequest bool              // a request is being read; of run
	inHead    bool              // its header is being read; of run
	scanner   head.Scanner      // checks that header; of run
	fault     error             // of that header; of run
	received  int64             // bytes of that request that were read from the socket; of run
	readErr   error             // last error of the socket; of run
	hasConfig bool              // the limits of that request are those of a configuration; of run
	limited   *io.LimitedReader // source of reader
	ctx       context.Context
	cancel    context.CancelFunc
	exchanges chan *exchange
	waitMu    sync.Mutex
	waiting   bool        // run is in awaitPending and reads nothing; guarded by waitMu
	closing   atomic.Bool // the last response is being written
}

// exchange is a request and its response, which is set when done is closed.
type exchange struct {
	req      *Request     // nil when done is closed
	hold     *budget.Hold // memory of req
	isHead   bool         // the request's method is HEAD
	close    bool         // close the connection after the response
	response Response
	done     chan struct{}
	mu       sync.Mutex
	started  bool // the response is being written or dropped; guarded by mu
}

func (c *conn) run() {
	c.limited = &io.LimitedReader{R: source{c}, N: 1}
	c.reader = bufio.NewReaderSize(c.limited, readBufferBytes)
	written := make(chan struct{})
	go c.loop(written)
	for c.awaitPending(maxPipelined) {
		ex, err := c.readExchange()
		if err != nil {
			err = c.endRequest(err)
			c.handleReadError(err)
			break
		}
		c.left() // cancels the request if nobody waits for its response
		c.pending.Add(1)
		c.reading.Store(false)
		if c.closing.Load() {
			// The request follows a response that closes the connection. The caller
			// sends it again on another connection.
			ex.hold.Close()
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
	c.linger()
	c.netConn.Close()
	c.window.Release()
	c.server.conns.Remove(c.Tracked)
}

// run handles the request and closes done.
func (ex *exchange) run(c *conn) {
	ex.response = c.server.cfg.Handle(c.ctx, ex.req)
	ex.req = nil // the response may wait for those of earlier requests
	ex.hold.Close()
	if h := ex.response.Hold; h != nil {
		h.Move(c.address, func() { ex.giveUp(c) })
	}
	close(ex.done)
}

// handleReadError handles the error that ends the reading of requests. An
// invalid request gets an error response after the responses to the requests
// in progress. If the caller has disconnected, or the last response is being
// written, these are cancelled.
func (c *conn) handleReadError(err error) {
	var pe *protocolError
	if !errors.As(err, &pe) || c.closing.Load() {
		if !errors.Is(err, errIdle) {
			c.cancel()
		}
		return
	}
	c.reportRejection(pe)
	ex := &exchange{done: make(chan struct{}), close: true, response: Response{Status: pe.reason.status(), Header: pe.header, Close: true}}
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

// linger discards input after the last response, until the caller closes the connection
// or lingerTimeout is over.
func (c *conn) linger() {
	if !c.closing.Load() || c.netConn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	c.limited.N = math.MaxInt64
	io.Copy(io.Discard, c.reader) // an error ends the connection
}

// errIdle ends a connection that was idle for longer than Limits.Idle.
var errIdle = errors.New("caller: connection exceeded the idle timeout")

// readExchange reads a request with its body.
func (c *conn) readExchange() (ex *exchange, err error) {
	before := c.server.cfg.Limits()
	c.limited.N = int64(before.HeaderBytes)
	if err = c.awaitRequest(before.Idle); err != nil {
		return nil, err
	}
	c.hasConfig = c.server.hasConfig() // before the limits, which may change in between
	limits := c.server.cfg.Limits()    // they may have changed while the connection was idle
	c.limited.N += int64(limits.HeaderBytes - before.HeaderBytes)
	c.BeginRequest()
	if err = c.beginRequest(); err != nil {
		return nil, err
	}
	if err = c.setReadDeadline(time.Now().Add(limits.HeaderWait.Std())); err != nil {
		return nil, err
	}
	r, err := http.ReadRequest(c.reader)
	if err == nil {
		c.fault = c.scanner.CheckFraming()
	}
	if err != nil || c.fault != nil {
		return nil, c.headerError(err)
	}
	c.inHead = false
	c.limited.N = limits.BodyBytes + int64(limits.HeaderBytes) + readBufferBytes
	if r.ContentLength < 0 {
		c.limited.N += chunkOverhead * limits.BodyBytes
	}
	body, err := c.readBody(r, limits.BodyBytes)
	if err != nil {
		return nil, withHostAndPath(err, r)
	}
	if c.hold != nil && !c.hold.Keep() {
		return nil, ErrGivenUp
	}
	req := &Request{
		Method: r.Method, Target: r.RequestURI, Path: sentPath(r), Host: r.Host, Header: r.Header, Body: body,
		HasContentLength: r.ContentLength > 0 || len(r.TransferEncoding) > 0 || r.Header.Get("Content-Length") != "",
		RemoteAddr:       c.netConn.RemoteAddr().String(),
		Left:             c.left,
	}
	return &exchange{req: req, hold: c.takeHold(), isHead: r.Method == http.MethodHead, close: r.Close, done: make(chan struct{})}, nil
}

// sentPath returns the path of a request without decoding it. That of an absolute URL
// may be empty, which stands for a slash.
func sentPath(r *http.Request) string {
	if raw, _, _ := strings.Cut(r.RequestURI, "?"); strings.HasPrefix(raw, "/") {
		return raw
	}
	if r.URL.Scheme != "" && r.URL.Host != "" && r.URL.Path == "" {
		return "/"
	}
	return r.URL.EscapedPath()
}

// headerError returns the error of a header that http.ReadRequest didn't accept.
// At the end of the input http.ReadRequest takes a part of a line for a complete one, so its
// error doesn't show that the input has ended.
func (c *conn) headerError(err error) error {
	switch {
	case c.fault != nil:
		return &protocolError{reason: rejectedHeader, err: c.fault}
	case c.readErr != nil:
		return c.incompleteError(rejectedSlowHeader)
	case c.limited.N <= 0:
		return c.limitError(rejectedLongHeader, err)
	}
	return &protocolError{reason: rejectedHeader, err: err}
}

// limitError returns the error of a request that exceeds a limit. Without a configuration
// the limits are defaults, and those of the operator may be higher: the caller may retry.
func (c *conn) limitError(reason rejection, err error) error {
	if !c.hasConfig {
		return &protocolError{reason: rejectedNoConfig, err: err, header: http.Header{"Retry-After": {RetryAfter()}}}
	}
	return &protocolError{reason: reason, err: err}
}

// incompleteError returns the error of a request that is incomplete because its deadline
// has expired, which is a rejection, or because the caller has disconnected.
func (c *conn) incompleteError(slow rejection) error {
	if errors.Is(c.readErr, os.ErrDeadlineExceeded) {
		return &protocolError{reason: slow, err: c.readErr}
	}
	return c.readErr
}

// awaitRequest waits for the first byte of a request. A connection isn't idle
// while a response is pending. One empty line before the request is skipped.
func (c *conn) awaitRequest(idle clock.Span) error {
	if err := c.awaitInput(idle, 1); err != nil {
		return err
	}
	first, err := c.reader.Peek(1)
	if err != nil {
		return err
	}
	switch first[0] {
	case '\n':
		return c.skipLine(idle, 1)
	case '\r':
		return c.skipEmptyLine(idle)
	}
	return nil
}

// skipEmptyLine skips an empty line that ends with CR and LF.
func (c *conn) skipEmptyLine(idle clock.Span) error {
	if err := c.awaitInput(idle, len("\r\n")); err != nil {
		return err
	}
	line, err := c.reader.Peek(len("\r\n"))
	if err != nil || line[1] != '\n' {
		return err
	}
	return c.skipLine(idle, len(line))
}

// skipLine skips a number of buffered bytes and waits for the byte that follows them.
func (c *conn) skipLine(idle clock.Span, n int) error {
	if _, err := c.reader.Discard(n); err != nil {
		return err
	}
	c.limited.N += int64(n) // the line is no part of the header
	return c.awaitInput(idle, 1)
}

// awaitInput waits until at least n bytes are buffered. The idle time begins when the
// last response is written.
func (c *conn) awaitInput(idle clock.Span, n int) error {
	for wait := idle.Std(); ; {
		if err := c.netConn.SetReadDeadline(time.Now().Add(wait)); err != nil {
			return err
		}
		_, err := c.reader.Peek(n)
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		wait = c.server.cfg.Limits().Idle.Std()
		if c.pending.Load() > 0 {
			continue
		}
		wait = min(wait, wait-time.Since(time.Unix(0, c.since.Load())))
		if wait <= 0 || c.ctx.Err() != nil { // or the last response was written, see finish
			return errIdle
		}
	}
}

// writeContinue writes a 100 Continue after the responses to earlier requests.
func (c *conn) writeContinue() error {
	if !c.awaitPending(0) {
		return c.ctx.Err()
	}
	if c.closing.Load() {
		return net.ErrClosed
	}
	return c.write([]byte("HTTP/1.1 100 Continue\r\n\r\n"))
}

// readBody reads the body of a request, up to maxBytes.
func (c *conn) readBody(r *http.Request, maxBytes int64) (b segment.Body, err error) {
	if r.ContentLength > maxBytes {
		return b, c.limitError(rejectedLongBody, fmt.Errorf("body of %d bytes exceeds the limit", r.ContentLength))
	}
	if r.ContentLength == 0 {
		return b, nil
	}
	if strings.EqualFold(r.Header.Get("Expect"), "100-continue") {
		if err = c.writeContinue(); err != nil {
			return b, err
		}
	}
	if err = c.setReadDeadline(time.Now().Add(c.server.bodyTimeout)); err != nil {
		return b, err
	}
	b, err = segment.Read(r.Body, r.ContentLength, maxBytes, c.count)
	switch {
	case err == nil:
		return b, checkTrailer(r)
	case errors.Is(err, segment.ErrTooLong):
		return b, c.limitError(rejectedLongBody, fmt.Errorf("body exceeds the limit of %d bytes", maxBytes))
	case c.readErr != nil:
		return b, c.incompleteError(rejectedSlowBody)
	case c.limited.N <= 0:
		return b, c.limitError(rejectedLongBody, errors.New("chunks of the body exceed the limit"))
	}
	return b, &protocolError{reason: rejectedBody, err: err}
}

// checkTrailer returns an error if the trailer behind a body is malformed.
func checkTrailer(r *http.Request) error {
	if err := head.CheckTrailer(r.Trailer); err != nil {
		return &protocolError{reason: rejectedBody, err: err}
	}
	return nil
}
