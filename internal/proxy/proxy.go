// Package proxy forwards a request to one address and returns its response.
//
// Bodies are streamed in both directions. Buffers are bounded: the first
// 64 KiB of a request are buffered, so that a refused request can be sent to
// another server, and the first 16 KiB of a response, so that a short response
// is known to be complete before any of it is forwarded.
//
// # Usage
//
//	pool := proxy.NewPool(address, limits)
//	res := pool.Send(ctx, req)
//	if res.Failure() == proxy.OK {
//		err := res.WriteTo(w)
//	}
//
// The package never retries a request. The retries that http.Transport makes on
// its own after a connection failure are prevented, since they would run a
// non-idempotent GET twice.
package proxy

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/head"
	"github.com/laburnummux/laburnummux/pkg/answer"
)

//go:generate go tool stringer -type=Failure -linecomment -output=failure_string.go

// Failure is the result of an attempt. After DialFailed and NotSent the request
// can't have run; after any other failure it may have.
type Failure int

// Results of an attempt. ConnLost means that no valid response header arrived
// on the connection that the request got, Truncated that the response is
// incomplete or has a malformed trailer, and Mismatched that it belongs to another attempt.
const (
	OK         Failure = iota // ok
	DialFailed                // dial-failed
	NotSent                   // not-sent
	ConnLost                  // lost
	Truncated                 // truncated
	Mismatched                // mismatched
	TimedOut                  // timed-out
	Cancelled                 // cancelled
)

const (
	// maxBufferedResponse is how many bytes of a response body are read before
	// the response is forwarded.
	maxBufferedResponse = 16 << 10
	maxResponseHeader   = 64 << 10 // bytes
	// continueTimeout is how long to wait for 100 Continue before sending the
	// body.
	continueTimeout = 2 * time.Second
	idleTimeout     = 90 * time.Second
)

var identityEncoding = []string{"identity"}

// Limits bounds the connections of a pool.
type Limits struct {
	MaxIdle     int           // maximum of idle connections
	MaxConns    int           // maximum of open connections; 0: no limit
	DialTimeout time.Duration // timeout for opening a TCP connection
}

// Pool is a pool of HTTP connections to one address.
type Pool struct {
	address   string
	scheme    string
	transport *head.Transport
	malformed head.ReportFunc // see ObserveMalformed
	open      atomic.Int64
	opened    atomic.Uint64
}

// NewPool returns a pool for the address, given as IP:port.
func NewPool(address string, l Limits) *Pool { return NewSecurePool(address, l, nil) }

// newTransport returns the transport of a pool. secure is nil for plain text.
func (p *Pool) newTransport(l Limits, secure *tls.Config) *head.Transport {
	d := net.Dialer{Timeout: l.DialTimeout, KeepAlive: 15 * time.Second}
	t := &http.Transport{
		Proxy: nil,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := d.DialContext(ctx, network, addr)
			if err != nil {
				return nil, err
			}
			p.open.Add(1)
			p.opened.Add(1)
			return &countedConn{Conn: c, open: &p.open}, nil
		},
		DisableCompression:     true,
		MaxIdleConns:           l.MaxIdle,
		MaxIdleConnsPerHost:    l.MaxIdle,
		MaxConnsPerHost:        l.MaxConns,
		IdleConnTimeout:        idleTimeout,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxResponseHeader,
		WriteBufferSize:        16 << 10,
		ReadBufferSize:         16 << 10,
	}
	if secure != nil {
		t.DialTLSContext = secureDialer(t.DialContext, secure)
	}
	return head.NewTransport(t, func(err error, fields ...zap.Field) { p.malformed(err, fields...) })
}

// ObserveMalformed has the error of each malformed response passed to a function. It is
// called before the first request.
func (p *Pool) ObserveMalformed(observe head.ReportFunc) { p.malformed = observe }

// Address returns the IP:port that the pool was created for.
func (p *Pool) Address() string { return p.address }

// OpenConns returns the number of open connections.
func (p *Pool) OpenConns() int64 { return p.open.Load() }

// OpenedConns returns the total of connections opened by the pool.
func (p *Pool) OpenedConns() uint64 { return p.opened.Load() }

// Close closes the idle connections.
func (p *Pool) Close() { p.transport.CloseIdleConnections() }

type countedConn struct {
	net.Conn
	open   *atomic.Int64
	closed atomic.Bool
}

func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}

// Request is a request to send with Pool.Send.
type Request struct {
	Method string
	URL    *url.URL    // path and query
	Header http.Header // must not be used after the call; Send modifies it
	Body   *Body
	// Attempt identifies this attempt. A server that echoes it proves that the
	// response belongs to the attempt; a response that echoes another one is
	// a Mismatched failure.
	Attempt string
	// Abandoned reports whether nobody waits for the response any more. It is called
	// right before the request is sent. May be nil: then only ctx decides.
	Abandoned func() bool
}

// Result is the result of an attempt: a failure or a response. A result whose
// Failure is OK must be closed.
type Result struct {
	failure  Failure
	err      error
	status   int
	header   http.Header
	head     []byte
	named    bool // the response names the attempt
	complete bool // head is the complete body
	body     io.ReadCloser
	length   int64 // of the body in bytes; -1 if unknown
}

// Failure returns OK if the attempt got a response, and otherwise why it failed.
func (r *Result) Failure() Failure { return r.failure }

// Err returns the cause of a failure.
func (r *Result) Err() error { return r.err }

// Status returns the HTTP status of the response.
func (r *Result) Status() int { return r.status }

// Header returns the header of the response.
func (r *Result) Header() http.Header { return r.header }

// NamesAttempt reports whether the server has proved that the response belongs to
// the attempt. Any other one may be a copy of an earlier response.
func (r *Result) NamesAttempt() bool { return r.named }

// CompleteBody returns the response body if it is complete within the buffer.
// If not, it returns the first bytes and false.
func (r *Result) CompleteBody() ([]byte, bool) { return r.head, r.complete }

// ReadAll returns a response body of at most limit bytes and closes the result.
func (r *Result) ReadAll(limit int) (b []byte, err error) {
	defer r.Close()
	if r.complete {
		return r.head, nil
	}
	rest, err := io.ReadAll(io.LimitReader(r.body, int64(limit-len(r.head)+1)))
	if err != nil {
		return nil, fmt.Errorf("proxy.ReadAll: %w", err)
	}
	if len(r.head)+len(rest) > limit {
		return nil, fmt.Errorf("proxy.ReadAll: response body exceeds the limit of %d bytes", limit)
	}
	return append(r.head, rest...), nil
}

// Close releases the connection of a response that isn't forwarded.
func (r *Result) Close() {
	if r.body != nil {
		r.body.Close()
	}
}

// NewResult returns a result with a complete response that uses no connection.
func NewResult(status int, header http.Header, body []byte) *Result {
	return &Result{status: status, header: header, head: body, complete: true, length: int64(len(body))}
}

// Send makes one attempt to send r.
func (p *Pool) Send(ctx context.Context, r Request) (res *Result) {
	if r.Abandoned != nil && r.Abandoned() {
		return &Result{failure: NotSent, err: errors.New("proxy.Send: the caller has disconnected")}
	}
	body, ok := r.Body.open()
	if !ok {
		return &Result{failure: NotSent, err: errors.New("proxy.Send: cannot resend the request: its body was already read")}
	}
	req := &http.Request{
		Method: r.Method, URL: &url.URL{Scheme: p.scheme, Host: p.address, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: r.Header, Host: p.address, Body: body, ContentLength: r.Body.Length(),
	}
	if r.Body.buffered && r.Body.length == 0 && (r.Method == http.MethodGet || r.Method == http.MethodHead) {
		// The body can't be nil (see Body.open). With a transfer encoding set,
		// http.Transport doesn't start a goroutine that probes for an empty body.
		req.TransferEncoding = identityEncoding
	}
	if !r.Body.buffered {
		// The server can refuse the request before any of the body is read.
		req.Header.Set("Expect", "100-continue")
	}
	if r.Attempt != "" {
		req.Header.Set(answer.HeaderAttempt, r.Attempt)
	}
	if d, ok := ctx.Deadline(); ok {
		req.Header.Set(answer.HeaderTimeout, strconv.FormatInt(max(time.Until(d).Milliseconds(), 1), 10))
	}
	resp, connected, err := p.transport.Send(ctx, req)
	if err != nil {
		return &Result{failure: classify(ctx, err, connected), err: fmt.Errorf("proxy.Send: %w", err)}
	}
	if !validStatus(resp.StatusCode) {
		resp.Body.Close()
		return &Result{failure: ConnLost, err: fmt.Errorf("proxy.Send: invalid status %d", resp.StatusCode)}
	}
	a := resp.Header.Get(answer.HeaderAttempt)
	if a != "" && a != r.Attempt {
		// Closing the body before its end closes the connection, too.
		resp.Body.Close()
		return &Result{failure: Mismatched, err: fmt.Errorf("proxy.Send: response is for attempt %q, not for %q", a, r.Attempt)}
	}
	res = readResponse(ctx, resp)
	res.named = a != ""
	return res
}

// readResponse reads the first bytes of the body, so that a short response is
// known to be complete.
func readResponse(ctx context.Context, resp *http.Response) *Result {
	res := &Result{status: resp.StatusCode, header: resp.Header, body: resp.Body, length: resp.ContentLength}
	dropHopHeaders(res.header)
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody {
		// The body ends when the connection is closed, which a crash of the
		// server does as well, so nothing proves that it is complete.
		resp.Body.Close()
		return &Result{failure: Truncated, err: errors.New("proxy.readResponse: response has neither a Content-Length nor chunked encoding")}
	}
	size := int64(maxBufferedResponse)
	if resp.ContentLength >= 0 && resp.ContentLength < size {
		size = resp.ContentLength
	}
	buf := make([]byte, size)
	n, err := io.ReadFull(resp.Body, buf)
	res.head = buf[:n]
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF) && resp.ContentLength < 0 && bodyEnded(resp.Body):
		res.complete = true
	case err == nil && resp.ContentLength == size:
		res.complete = true
	case err == nil:
		return res // the rest is streamed
	default:
		resp.Body.Close()
		f := Truncated
		if ctx.Err() != nil {
			f = classify(ctx, ctx.Err(), true)
		}
		return &Result{failure: f, err: fmt.Errorf("proxy.readResponse: %w", err)}
	}
	resp.Body.Close()
	res.body = nil
	return res
}

// bodyEnded reports whether the body is complete. io.ReadFull returns
// ErrUnexpectedEOF both for a complete body that doesn't fill the buffer and
// for a connection failure; one more read distinguishes them.
func bodyEnded(r io.Reader) bool {
	var b [1]byte
	_, err := r.Read(b[:])
	return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
}

// classify returns the failure for an error. connected is whether the request
// got a connection, after which the server may have received it.
func classify(ctx context.Context, err error, connected bool) Failure {
	var op *net.OpError
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		if !connected {
			return NotSent
		}
		return Cancelled
	case !connected && errors.As(err, &op) && op.Op == "dial":
		return DialFailed
	case !connected:
		return NotSent
	case ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
		return TimedOut
	}
	return ConnLost
}

// WriteTo writes the response to w and closes the result. It returns an error
// if the response is truncated; the handler must then abort its connection, so
// that the client doesn't take the truncated response for a complete one.
func (r *Result) WriteTo(w http.ResponseWriter) error { return r.WriteWatched(w, nil) }

// WriteWatched is WriteTo with a transfer that watches the writing; it may be nil.
func (r *Result) WriteWatched(w http.ResponseWriter, t *Transfer) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("proxy.WriteTo: %w", err)
		}
	}()
	defer r.Close()
	h := w.Header()
	for k, vs := range r.header {
		h[k] = vs
	}
	if r.length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(r.length, 10))
	} else if r.complete {
		h.Set("Content-Length", strconv.Itoa(len(r.head)))
	}
	w.WriteHeader(r.status)
	if err = writeWatched(w, r.head, t); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return err
	}
	if r.complete {
		return nil
	}
	return streamBody(w, r.body, t)
}

func writeWatched(w io.Writer, p []byte, t *Transfer) error {
	t.begin()
	defer t.end()
	_, err := w.Write(p)
	return err
}

func streamBody(w http.ResponseWriter, body io.Reader, t *Transfer) error {
	buf := make([]byte, 32<<10)
	rc := http.NewResponseController(w)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if werr := writeWatched(w, buf[:n], t); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		// Flush partial reads, so that data of a slow server isn't delayed until
		// the buffer is full.
		if n < len(buf) {
			if err := rc.Flush(); err != nil {
				return err
			}
		}
	}
}
