// Package proxy sends one request to one address and passes its answer on.
//
// Bodies are streamed in both directions. What is kept in memory is bounded:
// the first 64 KiB of a request, so that a request that was refused can be
// sent elsewhere, and the first 16 KiB of an answer, so that a short answer is
// known to be whole before any of it is passed on.
//
// # Usage
//
//	pool := proxy.NewPool(address, limits)
//	res := pool.Send(ctx, req)
//	if res.Failure() == proxy.OK {
//		err := res.WriteTo(w)
//	}
//
// A request is never repeated by this package. The transport's own repetition
// of requests on a broken connection is switched off, since it would run a
// non-idempotent GET twice.
package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/laburnummux/laburnummux/pkg/answer"
)

//go:generate go tool stringer -type=Failure -linecomment -output=failure_string.go

// Failure says how an attempt ended. After DialFailed and NotSent the request
// can't have run; after the others but OK it may have.
type Failure int

// Ends of an attempt.
const (
	OK         Failure = iota // ok
	DialFailed                // dial-failed
	NotSent                   // not-sent
	Lost                      // lost
	Truncated                 // truncated
	Mismatched                // mismatched
	TimedOut                  // timed-out
	Cancelled                 // cancelled
)

const (
	// answerHead is how much of an answer is read before it is passed on.
	answerHead = 16 << 10
	// maxAnswerHeader bounds the header of an answer in bytes.
	maxAnswerHeader = 64 << 10
	// continueTimeout is how long a body waits for the permission to send it.
	continueTimeout = 2 * time.Second
	// idleTimeout closes pooled connections that were not used.
	idleTimeout = 90 * time.Second
)

var identity = []string{"identity"}

// Limits bounds the connections of a pool.
type Limits struct {
	Idle    int           // kept open without a request
	Total   int           // open at the same time; 0 means no bound
	Connect time.Duration // time for opening one
}

// Pool has the connections to one address.
type Pool struct {
	address string
	scheme  string
	tr      *http.Transport
	open    atomic.Int64
	opened  atomic.Uint64
}

// NewPool returns a pool for the address, given as IP:port.
func NewPool(address string, l Limits) *Pool {
	p := &Pool{address: address, scheme: "http"}
	d := net.Dialer{Timeout: l.Connect, KeepAlive: 15 * time.Second}
	p.tr = &http.Transport{
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
		MaxIdleConns:           l.Idle,
		MaxIdleConnsPerHost:    l.Idle,
		MaxConnsPerHost:        l.Total,
		IdleConnTimeout:        idleTimeout,
		ExpectContinueTimeout:  continueTimeout,
		MaxResponseHeaderBytes: maxAnswerHeader,
		WriteBufferSize:        16 << 10,
		ReadBufferSize:         16 << 10,
	}
	return p
}

// Address returns the pool's address.
func (p *Pool) Address() string { return p.address }

// Open returns the number of open connections.
func (p *Pool) Open() int64 { return p.open.Load() }

// Opened returns how many connections were opened since the start.
func (p *Pool) Opened() uint64 { return p.opened.Load() }

// Close closes the idle connections.
func (p *Pool) Close() { p.tr.CloseIdleConnections() }

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

// Request is what Send sends.
type Request struct {
	Method string
	URL    *url.URL    // path and query
	Header http.Header // owned by Send after the call
	Body   *Body
	// Attempt identifies this attempt; a server that echoes it proves that
	// the answer belongs to it.
	Attempt string
}

// Result is the end of an attempt. A result whose Failure is OK must be
// closed.
type Result struct {
	failure Failure
	err     error
	status  int
	header  http.Header
	head    []byte
	whole   bool
	body    io.ReadCloser
	length  int64
}

// Failure returns how the attempt ended.
func (r *Result) Failure() Failure { return r.failure }

// Err returns the cause of a failure.
func (r *Result) Err() error { return r.err }

// Status returns the HTTP status of the answer.
func (r *Result) Status() int { return r.status }

// Header returns the header of the answer.
func (r *Result) Header() http.Header { return r.header }

// Whole returns the answer's body, if it is short and complete.
func (r *Result) Whole() ([]byte, bool) { return r.head, r.whole }

// ReadAll returns an answer of at most limit bytes and closes it.
func (r *Result) ReadAll(limit int) (b []byte, err error) {
	defer r.Close()
	if r.whole {
		return r.head, nil
	}
	rest, err := io.ReadAll(io.LimitReader(r.body, int64(limit-len(r.head)+1)))
	if err != nil {
		return nil, fmt.Errorf("proxy.ReadAll: %w", err)
	}
	if len(r.head)+len(rest) > limit {
		return nil, fmt.Errorf("proxy.ReadAll: answer above %d bytes", limit)
	}
	return append(r.head, rest...), nil
}

// Close frees the connection of an answer that isn't passed on.
func (r *Result) Close() {
	if r.body != nil {
		r.body.Close()
	}
}

// Short returns a result with a complete answer that needs no connection.
func Short(status int, header http.Header, body []byte) *Result {
	return &Result{status: status, header: header, head: body, whole: true, length: int64(len(body))}
}

// Send makes one attempt.
func (p *Pool) Send(ctx context.Context, r Request) (res *Result) {
	var sending bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sending = true }}
	body, ok := r.Body.open()
	if !ok {
		return &Result{failure: NotSent, err: errors.New("proxy.Send: the request's body was already consumed")}
	}
	req := &http.Request{
		Method: r.Method, URL: &url.URL{Scheme: p.scheme, Host: p.address, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery},
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: r.Header, Host: p.address, Body: body, ContentLength: r.Body.Length(),
	}
	if r.Body.whole && r.Body.length == 0 && (r.Method == http.MethodGet || r.Method == http.MethodHead) {
		// The body can't be nil (see Body.open). With an encoding stated, the
		// transport doesn't start a goroutine to find out that it is empty.
		req.TransferEncoding = identity
	}
	if !r.Body.whole {
		// The receiver can refuse before any of the body is consumed.
		req.Header.Set("Expect", "100-continue")
	}
	if r.Attempt != "" {
		req.Header.Set(answer.HeaderAttempt, r.Attempt)
	}
	if d, ok := ctx.Deadline(); ok {
		req.Header.Set(answer.HeaderTimeout, strconv.FormatInt(max(time.Until(d).Milliseconds(), 1), 10))
	}
	resp, err := p.tr.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err != nil {
		return &Result{failure: classify(ctx, err, sending), err: fmt.Errorf("proxy.Send: %w", err)}
	}
	if a := resp.Header.Get(answer.HeaderAttempt); a != "" && a != r.Attempt {
		// Closing before the end of the body drops the connection.
		resp.Body.Close()
		return &Result{failure: Mismatched, err: fmt.Errorf("proxy.Send: answer for attempt %q instead of %q", a, r.Attempt)}
	}
	return read(ctx, resp)
}

func read(ctx context.Context, resp *http.Response) *Result {
	res := &Result{status: resp.StatusCode, header: resp.Header, body: resp.Body, length: resp.ContentLength}
	dropHopHeaders(res.header)
	if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody {
		// Only the end of the connection ends this body, as that of a crash
		// would, so nothing proves that it is whole.
		resp.Body.Close()
		return &Result{failure: Truncated, err: errors.New("proxy.read: answer with neither length nor chunks")}
	}
	size := int64(answerHead)
	if resp.ContentLength >= 0 && resp.ContentLength < size {
		size = resp.ContentLength
	}
	buf := make([]byte, size)
	n, err := io.ReadFull(resp.Body, buf)
	res.head = buf[:n]
	switch {
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF) && resp.ContentLength < 0 && bodyEnded(resp.Body):
		res.whole = true
	case err == nil && resp.ContentLength == size:
		res.whole = true
	case err == nil:
		return res // the rest is streamed
	default:
		resp.Body.Close()
		f := Truncated
		if ctx.Err() != nil {
			f = classify(ctx, ctx.Err(), true)
		}
		return &Result{failure: f, err: fmt.Errorf("proxy.read: %w", err)}
	}
	resp.Body.Close()
	res.body = nil
	return res
}

// bodyEnded reports whether the body ended as announced. io.ReadFull turns a
// regular end before the buffer is full into ErrUnexpectedEOF; one more read
// tells it from a broken connection.
func bodyEnded(r io.Reader) bool {
	var b [1]byte
	_, err := r.Read(b[:])
	return errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF)
}

func classify(ctx context.Context, err error, sending bool) Failure {
	var op *net.OpError
	switch {
	case errors.Is(ctx.Err(), context.Canceled):
		if !sending {
			return NotSent
		}
		return Cancelled
	case !sending && errors.As(err, &op) && op.Op == "dial":
		return DialFailed
	case !sending:
		return NotSent
	case ctx.Err() != nil || errors.Is(err, context.DeadlineExceeded):
		return TimedOut
	}
	return Lost
}

// WriteTo passes the answer on. It returns an error when the answer ended
// early; the caller must then abort its own connection, so that nobody takes
// the part for the whole.
func (r *Result) WriteTo(w http.ResponseWriter) (err error) {
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
	} else if r.whole {
		h.Set("Content-Length", strconv.Itoa(len(r.head)))
	}
	w.WriteHeader(r.status)
	if _, err = w.Write(r.head); err != nil && !errors.Is(err, http.ErrBodyNotAllowed) {
		return err
	}
	if r.whole {
		return nil
	}
	return stream(w, r.body)
}

func stream(w http.ResponseWriter, body io.Reader) error {
	buf := make([]byte, 32<<10)
	rc := http.NewResponseController(w)
	for {
		n, err := body.Read(buf)
		if n > 0 {
			if _, werr := w.Write(buf[:n]); werr != nil {
				return werr
			}
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		// A slow producer's data must not wait for a full buffer.
		if n < len(buf) {
			if err := rc.Flush(); err != nil {
				return err
			}
		}
	}
}
