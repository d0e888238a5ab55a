// Package link is an HTTP/1.1 client for backend servers with a connection
// pool for each server.
//
// Unlike net/http's transport, it reports whether bytes of a request may have
// reached the server, and it never retries a request.
//
// # Usage
//
//	budget := link.NewBudget(64 << 20) // shared by all pools
//	p := link.NewPool("10.128.0.9:8080", budget)
//	res := p.Do(ctx, link.Request{Method: "GET", Target: "/a/b", Host: "h", Header: h, ID: id, Matches: matches, Confusable: rejected})
//	if res.Err != nil && !res.Sent { /* safe to send elsewhere */ }
package link

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"github.com/laburnummux/laburnummux/internal/budget"
	"github.com/laburnummux/laburnummux/internal/segment"
)

const (
	// dialTimeout bounds the opening of a connection. TCP retransmits a lost SYN
	// after a second, which isn't worth waiting for.
	dialTimeout = 400 * time.Millisecond
	// tcpUserTimeout is the TCP user timeout: a connection is closed when the server
	// hasn't acknowledged sent data for so long, because of a network partition
	// or a loss of power.
	tcpUserTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount are the parameters of
	// TCP keep-alive, which detects dead connections while a response is awaited.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
	// defaultIdleTimeout is how long an idle connection is kept if the server
	// sends no Keep-Alive timeout.
	defaultIdleTimeout = 8 * time.Second
	// idleMargin is how much earlier than the server an idle connection is
	// closed, so that no request is sent while the server closes it.
	idleMargin = 1500 * time.Millisecond
	// maxProbes is how many health requests in a row keep an idle connection
	// open, probeLead how long before its expiry one is sent, and probeTimeout
	// the timeout of each.
	maxProbes    = 2
	probeLead    = 1100 * time.Millisecond
	probeTimeout = 2 * time.Second
	// maxMismatched is how many mismatched responses, which belong to other
	// requests, are skipped on a connection before it is closed.
	maxMismatched = 3
	// maxInlineBytes bounds the request bodies that are written before the
	// response is read: they fit into the socket's send buffer. Longer ones are
	// written concurrently.
	maxInlineBytes  = 8 << 10
	readBufferBytes = 4 << 10
	// inUsePollInterval is the period in which a request that needs an earlier
	// connection checks whether one in use is idle again.
	inUsePollInterval = 2 * time.Millisecond
	// maxConfusable bounds the confusable responses that are remembered for a
	// connection. It is closed after them.
	maxConfusable = 64
)

// Errors of Do.
var (
	ErrDial       = errors.New("link: dial failed")
	ErrConnLost   = errors.New("link: connection lost")
	ErrMismatched = errors.New("link: response belongs to another request")
	ErrMalformed  = errors.New("link: malformed response")
	ErrNoConn     = errors.New("link: no connection that was open before")
	ErrAbandoned  = errors.New("link: request abandoned before it was sent")
)

// Request is a request to a backend server.
type Request struct {
	Method           string
	Target           string // path and query as the caller sent them
	Host             string
	Header           http.Header
	Body             segment.Body
	HasContentLength bool // send a Content-Length even if the body is empty
	// ID identifies the request, or the kind of request if responses don't identify
	// it further.
	ID string
	// Matches reports whether a response belongs to this request.
	Matches func(status int, h http.Header) bool
	// Confusable reports whether a copy of a response, which a faulty server may
	// send later on the same connection, could do harm as the response to another
	// request with the same ID. That isn't sent on this connection any more.
	Confusable func(status int, h http.Header) bool
	// Abandoned reports whether nobody waits for the response any more. It is called
	// right before the request is sent. May be nil: then only ctx decides.
	Abandoned func() bool
	// KeepHold has the memory of a response without an error counted until Result.Hold
	// is closed, and not only until the response is complete.
	KeepHold bool
	NewConn  bool // send it on a new connection only
	// LastConn is the highest number of a connection that may carry the request;
	// 0 means any, and a new one is opened if none is idle. The request waits for one
	// that is in use.
	LastConn uint64
}

// Result is the response to a request, or the error.
type Result struct {
	Sent    bool // bytes of the request may have reached the server
	Status  int
	Proto   string
	Header  http.Header
	Body    segment.Body
	Hold    *budget.Hold // see Request.KeepHold
	NewConn bool         // a new connection was opened
	// Waited is how long the new connection was left unused, see Pool.dial.
	Waited time.Duration
	// LastConn is the number of the last connection that was open when the request
	// was sent. Connections up to this one reach the process that responded or
	// earlier ones at its address.
	LastConn            uint64
	MismatchedResponses int // responses to other requests, which were skipped
	Err                 error
}

// lastConn is the number of the connection that was opened last.
var lastConn atomic.Uint64

type conn struct {
	net.Conn
	number uint64 // connections of all pools are numbered in the order in which they were opened
	head   *headReader
	reader *bufio.Reader // reads from head
	expiry time.Time
	probes int // health requests since the last request
	// confusable has the hashes of the IDs with a confusable response. An equal hash
	// of another ID only costs the reuse.
	confusable []uint64
}

func newConn(nc net.Conn) *conn {
	h := &headReader{source: nc}
	return &conn{
		Conn: nc, number: lastConn.Add(1), head: h, reader: bufio.NewReaderSize(h, readBufferBytes),
		expiry: time.Now().Add(defaultIdleTimeout),
	}
}

// Pool has the connections to one backend server.
type Pool struct {
	cfg     Config
	observe func(status int, h http.Header)
	mu      sync.Mutex
	idle    []*conn
	inUse   map[uint64]bool // numbers of the connections with a request in progress
	closed  bool
}

// Config configures a Pool.
type Config struct {
	Addr    string
	Budget  *Budget                                                           // bounds the memory of the responses of all pools that share it
	Dial    func(ctx context.Context, network, addr string) (net.Conn, error) // nil: as Dialer
	MaxIdle int                                                               // most idle connections; 0: no limit
}

// NewPool returns a Pool without connections for an address.
func NewPool(addr string, b *Budget) *Pool { return New(Config{Addr: addr, Budget: b}) }

// New returns a Pool without connections.
func New(cfg Config) *Pool {
	if cfg.Dial == nil {
		cfg.Dial = Dialer(dialTimeout).DialContext
	}
	return &Pool{cfg: cfg, observe: func(int, http.Header) {}, inUse: make(map[uint64]bool)}
}

// Observe has the head of each response passed to a function, also that of health
// requests and of responses whose body is incomplete, but not that of mismatched
// ones. It is called before the first request.
func (p *Pool) Observe(observe func(status int, h http.Header)) { p.observe = observe }

// Close closes the idle connections. The others are closed after their request.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// Sweep closes the idle connections that have expired or have input, which may go
// on without end. The one that was used last is kept open with health requests to
// the given path, at most maxProbes in a row, as they cost less than a new
// connection.
func (p *Pool) Sweep(ctx context.Context, now time.Time, healthPath string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for i, c := range p.idle {
		last := i == len(p.idle)-1
		switch {
		case !now.Before(c.expiry), !c.hasNoInput():
			c.Close()
		case last && healthPath != "" && c.probes < maxProbes && c.expiry.Sub(now) <= probeLead:
			c.probes++
			pr := &probe{pool: p, conn: c, path: healthPath}
			go pr.run(ctx)
		default:
			kept = append(kept, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// probe sends a health request to keep an idle connection open.
type probe struct {
	pool *Pool
	conn *conn
	path string
}

func (pr *probe) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if !pr.conn.hasNoInput() {
		pr.conn.Close()
		return
	}
	var res Result
	stop := context.AfterFunc(ctx, func() { pr.conn.Close() })
	reusable := pr.pool.exchange(ctx, pr.conn, Request{Method: http.MethodGet, Target: pr.path, Host: pr.pool.cfg.Addr, Matches: anyResponse, Confusable: noResponse}, maxProbeBodyBytes, &res)
	if !stop() || !reusable || res.Status != http.StatusOK || pr.conn.reader.Buffered() > 0 {
		pr.conn.Close()
		return
	}
	pr.pool.putIdle(pr.conn)
}

func anyResponse(int, http.Header) bool { return true }

func noResponse(int, http.Header) bool { return false }

// takeIdle returns the idle connection that was used last and can be reused for a
// request (see Request.ID and Request.LastConn), or nil if there is none. It closes
// those that can't be reused for any.
func (p *Pool) takeIdle(now time.Time, r Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idHash := xxhash.Sum64String(r.ID)
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if r.LastConn != 0 && c.number > r.LastConn || slices.Contains(c.confusable, idHash) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if now.Before(c.expiry) && c.hasNoInput() {
			c.probes = 0
			p.inUse[c.number] = true
			return c
		}
		c.Close()
	}
	return nil
}

// setInUse records whether a connection has a request in progress.
func (p *Pool) setInUse(c *conn, inUse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if inUse {
		p.inUse[c.number] = true
		return
	}
	delete(p.inUse, c.number)
}

// hasInUse reports whether a connection up to a number has a request in progress.
func (p *Pool) hasInUse(last uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for number := range p.inUse {
		if number <= last {
			return true
		}
	}
	return false
}

// hasNoInput reports whether an idle connection has nothing to read: neither the
// server's close nor bytes that belong to no request.
func (c *conn) hasNoInput() bool {
	if c.reader.Buffered() > 0 {
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
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(e, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}

func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.cfg.MaxIdle > 0 && len(p.idle) >= p.cfg.MaxIdle {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// Dialer returns a dialer whose connections detect an unresponsive peer, by TCP
// keep-alive and the TCP user timeout.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			if e := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout/time.Millisecond))
			}); e != nil {
				return e
			}
			return err
		},
	}
}

// Do sends a request and reads the complete response.
func (p *Pool) Do(ctx context.Context, r Request) (res Result) {
	var c *conn
	if !r.NewConn {
		c = p.takeIdle(time.Now(), r)
	}
	for c == nil && r.LastConn != 0 {
		if ctx.Err() != nil || !p.hasInUse(r.LastConn) {
			res.Err = ErrNoConn
			return res
		}
		time.Sleep(inUsePollInterval)
		c = p.takeIdle(time.Now(), r)
	}
	if c == nil {
		var err error
		if c, res.Waited, err = p.dial(ctx); err != nil {
			res.Err = fmt.Errorf("%w: %w", ErrDial, err)
			return res
		}
		res.NewConn = true
		p.setInUse(c, true)
	}
	defer p.setInUse(c, false)
	if ctx.Err() != nil || r.Abandoned != nil && r.Abandoned() {
		res.Err = ErrAbandoned
		p.putIdle(c)
		return res
	}
	res.LastConn = lastConn.Load()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	reusable := p.exchange(ctx, c, r, maxBodyBytes, &res)
	if !stop() || !reusable || c.reader.Buffered() > 0 {
		c.Close()
		return res
	}
	p.putIdle(c)
	return res
}

// exchange sends a request on a connection and reads its response with a body of
// at most maxBytes. It reports whether the connection can be reused.
func (p *Pool) exchange(ctx context.Context, c *conn, r Request, maxBytes int64, res *Result) (reusable bool) {
	head := r.encodeHead()
	res.Sent = true
	wrote := make(chan error, 1)
	if r.Body.Len() <= maxInlineBytes {
		_, err := c.Write(r.Body.Append(head))
		wrote <- err
	} else {
		w := &writer{conn: c, head: head, body: r.Body, done: wrote}
		go w.run()
	}
	resp, err := c.readResponse(r, res)
	if err != nil {
		res.Err = err
		return false
	}
	p.observe(resp.StatusCode, resp.Header)
	// The body isn't closed: that would read it to its end.
	h := newHold(ctx, p, func() { c.Close() })
	defer func() {
		if res.Hold == nil {
			h.close()
		}
	}()
	body, err := readBody(ctx, resp, maxBytes, h)
	if err == nil && delimitedByClose(resp) {
		err = c.checkEnd(wrote)
	}
	if err == nil && r.KeepHold {
		if !h.keep() {
			err = fmt.Errorf("%w: %w", ErrMalformed, errGivenUp)
		} else {
			res.Hold = h.Hold
		}
	}
	if err != nil {
		res.Err = err
		return false
	}
	res.Status, res.Header, res.Body, res.Proto = resp.StatusCode, resp.Header, body, resp.Proto
	select {
	case err := <-wrote:
		// A server may respond before it has read a long body. Unless the complete
		// body was written, the server still expects the rest on this connection,
		// which can't be reused.
		if err != nil {
			return false
		}
	default:
		return false
	}
	if r.Confusable(resp.StatusCode, resp.Header) {
		c.confusable = append(c.confusable, xxhash.Sum64String(r.ID))
	}
	now := time.Now()
	c.expiry = now.Add(idleTimeout(resp.Header))
	return !resp.Close && len(c.confusable) < maxConfusable
}

// idleTimeout returns how long a connection may stay idle after a response with
// the given header.
func idleTimeout(h http.Header) time.Duration {
	for _, p := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(p), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil && n >= 0 {
				return max(time.Duration(n)*time.Second-idleMargin, 0)
			}
		}
	}
	return defaultIdleTimeout
}

// readResponse returns the response to a request. It skips mismatched responses
// that precede it.
func (c *conn) readResponse(r Request, res *Result) (*http.Response, error) {
	req := &http.Request{Method: r.Method}
	c.head.reset()
	for {
		resp, err := c.readHead(req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if resp.StatusCode < 200 || resp.StatusCode > 599 { // no request asks for another protocol
			return nil, fmt.Errorf("%w: status %d", ErrMalformed, resp.StatusCode)
		}
		if r.Matches(resp.StatusCode, resp.Header) {
			return resp, nil
		}
		if res.MismatchedResponses++; res.MismatchedResponses > maxMismatched || resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, ErrMismatched
		}
		if err := skipBody(resp); err != nil {
			return nil, err
		}
	}
}

// writer writes a request with a long body while the response is read.
type writer struct {
	conn *conn
	head []byte
	body segment.Body
	done chan<- error
}

func (w *writer) run() {
	bufs := append(net.Buffers{w.head}, w.body.Segments()...)
	_, err := bufs.WriteTo(w.conn.Conn)
	w.done <- err
}

// encodeHead returns the request line and the header.
func (r Request) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(512 + int(min(r.Body.Len(), maxInlineBytes)))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if r.Body.Len() > 0 || r.HasContentLength {
		b.WriteString("Content-Length: " + strconv.FormatInt(r.Body.Len(), 10) + "\r\n")
	}
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Probe opens a connection to the server and adds it to the pool. It returns an error
// if the server accepts none.
func (p *Pool) Probe() (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%w: %w", ErrDial, err)
		}
	}()
	nc, err := p.cfg.Dial(context.Background(), "tcp", p.cfg.Addr)
	if err != nil {
		return err
	}
	p.putIdle(newConn(nc))
	return nil
}
