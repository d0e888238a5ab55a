package caller

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/budget"
)

// Limits of requests of the balancer, operators and metrics.
const (
	operatorHeaderTimeout = 5 * time.Second
	operatorReadTimeout   = 30 * time.Second
	operatorWriteTimeout  = 30 * time.Second
	operatorIdleTimeout   = time.Minute
	operatorHeaderBytes   = 16 << 10
)

// Bounds bounds the connections of the addresses for the balancer, operators, metrics
// and other hosts, and the memory of the requests on them, which share a budget with
// those of callers.
type Bounds struct {
	conns   *Conns
	budget  *budget.Budget
	metrics *Metrics
}

// NewBounds returns the bounds of addresses, which have a name in metrics and log
// lines, with at most maxConns connections together; 0 means no limit. m may be nil.
func NewBounds(name string, maxConns int, b *budget.Budget, m *Metrics, log *zap.Logger) *Bounds {
	m = m.ForAddress(name)
	conns := NewConns(maxConns, m)
	conns.LogPressure(name, log)
	return &Bounds{conns: conns, budget: b, metrics: m}
}

// NewOperatorServer returns a server for the balancer, operators or metrics. Its
// listener must be one of Listener.
func NewOperatorServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: operatorHeaderTimeout, ReadTimeout: operatorReadTimeout, WriteTimeout: operatorWriteTimeout,
		IdleTimeout: operatorIdleTimeout, MaxHeaderBytes: operatorHeaderBytes, ConnState: TrackBounded,
	}
}

// messageByteCost is the memory that a byte of a message is counted with: it is received,
// copied to the message and decoded.
const messageByteCost = 3

// Content is what a connection carries.
type Content int

//go:generate go tool stringer -type=Content -linecomment -output=content_string.go

// Contents of connections.
const (
	// Requests are those of HTTP/1.1.
	Requests Content = iota // requests
	// EncryptedRequests are the same, where the user of the listener adds TLS.
	EncryptedRequests // encrypted requests
	// Streams are those of HTTP/2, with messages that end within MaxMessageTime.
	Streams // streams
)

// MaxMessageTime is the longest time in which a message on a connection with Streams is
// received. Until then its bytes count.
const MaxMessageTime = time.Second

// Listener returns a listener whose connections are bounded. readBuffer is the size of
// their receive buffers in bytes; 0: the system sets it.
func (b *Bounds) Listener(l net.Listener, content Content, readBuffer int) net.Listener {
	return &boundedListener{Listener: l, bounds: b, content: content, readBuffer: readBuffer}
}

type boundedListener struct {
	net.Listener
	bounds     *Bounds
	content    Content
	readBuffer int
}

// Accept implements net.Listener.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		window, err := WindowOf(nc, l.readBuffer, l.bounds.metrics)
		if err != nil {
			nc.Close()
			continue
		}
		c := &boundedConn{Conn: nc, tracked: NewTracked(nc), bounds: l.bounds, content: l.content, window: window}
		if l.bounds.conns.Admit(c.tracked) {
			return c, nil
		}
		nc.Close()
	}
}

// boundedConn is a connection of a boundedListener. What it reads is counted until the
// server awaits the next request.
type boundedConn struct {
	net.Conn
	tracked *Tracked
	bounds  *Bounds
	content Content
	refused atomic.Bool // the request was given up

	mu       sync.Mutex
	window   Window
	hold     *budget.Hold // memory of the request
	counted  int64        // the same, with or without a hold
	headRead bool         // the rest of the request is counted by its handler
	closed   bool
}

// Read implements net.Conn.
func (c *boundedConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if n > 0 {
		c.tracked.RecordInput()
	}
	switch {
	case n == 0:
	case c.content == Streams && !c.countRecent(int64(n)), c.content != Streams && !c.count(p[:n]):
		c.refused.Store(true)
		return 0, ErrGivenUp
	}
	return n, err
}

// Write implements net.Conn. It fails for a request that was given up: the server would
// respond with 400 to a header that has no end.
func (c *boundedConn) Write(p []byte) (int, error) {
	if c.refused.Load() {
		return 0, ErrGivenUp
	}
	return c.Conn.Write(p)
}

// countRecent counts bytes for MaxMessageTime. It returns false if the connection was
// given up.
func (c *boundedConn) countRecent(n int64) bool {
	c.tracked.Active()
	n *= messageByteCost
	c.mu.Lock()
	if c.hold == nil && !c.closed {
		c.hold = c.tracked.NewHold(c.bounds.budget, c.endRead)
	}
	h := c.hold
	c.mu.Unlock()
	if h == nil || !h.Add(n) {
		return false
	}
	time.AfterFunc(MaxMessageTime, func() { c.discount(n) })
	return true
}

// discount ends the counting of bytes.
func (c *boundedConn) discount(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hold != nil {
		c.hold.Release(n)
	}
}

// count counts bytes of a request. It returns false if the request was given up.
func (c *boundedConn) count(p []byte) bool {
	cost := HeadCost(p)
	if c.content == EncryptedRequests {
		cost = int64(len(p)) * encryptedByteCost
	}
	c.mu.Lock()
	if c.headRead || c.closed {
		c.mu.Unlock()
		return true
	}
	if c.counted += cost; c.counted <= UncountedBytes {
		c.mu.Unlock()
		return true
	}
	if c.hold == nil {
		c.hold = c.tracked.NewHold(c.bounds.budget, c.endRead)
		cost = c.counted
	}
	h := c.hold
	c.mu.Unlock()
	if h.Add(cost) {
		return true
	}
	if !c.tracked.Evicted() {
		c.bounds.metrics.CountGivenUp(ReasonMemory)
	}
	return false
}

// endRead ends the reading of a request.
func (c *boundedConn) endRead() {
	c.Conn.SetReadDeadline(time.Unix(1, 0)) // an error means that the connection is closed
}

// release releases the memory of the request.
func (c *boundedConn) release(closed bool) {
	c.mu.Lock()
	h := c.hold
	c.hold, c.counted, c.headRead, c.closed = nil, 0, false, closed
	if closed {
		c.window.Release()
	} else {
		c.window.Shrink()
	}
	c.mu.Unlock()
	h.Close()
}

// Close implements net.Conn.
func (c *boundedConn) Close() error {
	c.release(true)
	c.bounds.conns.Remove(c.tracked)
	return c.Conn.Close()
}

// CloseWrite closes the sending side, which net/http does before it closes a connection
// with unread bytes.
func (c *boundedConn) CloseWrite() error {
	if cw, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return cw.CloseWrite()
	}
	return nil
}

// SyscallConn implements syscall.Conn.
func (c *boundedConn) SyscallConn() (syscall.RawConn, error) { return socketOf(c.Conn) }

// TrackBounded is the ConnState of servers with bounded connections. A request counts as
// incomplete until its response is written, as its body may never end.
func TrackBounded(nc net.Conn, s http.ConnState) {
	c := boundedConnOf(nc)
	switch s {
	case http.StateActive:
		c.tracked.BeginRequest()
	case http.StateIdle:
		c.release(false)
		c.tracked.EndRequest()
	}
}

// boundedConnOf returns the bounded connection below a server's connection.
func boundedConnOf(nc net.Conn) *boundedConn {
	if tc, ok := nc.(*tls.Conn); ok {
		nc = tc.NetConn()
	}
	return nc.(*boundedConn)
}

type boundedConnKey struct{}

// WithBounded is for the ConnContext of servers whose handlers call HeadRead,
// RequestStreams and RequestRead.
func WithBounded(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, boundedConnKey{}, boundedConnOf(nc))
}

// HeadRead records that the head of a request was read. The memory of its body is
// counted by the handler.
func HeadRead(r *http.Request) {
	c, ok := r.Context().Value(boundedConnKey{}).(*boundedConn)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.headRead = true
}

// RequestStreams records that a request has a long body that is read while it is
// handled. The receive buffer of its connection is large until it is answered, and if the
// connection is closed to make room, the request is cancelled.
func RequestStreams(r *http.Request, cancel context.CancelFunc) {
	c, ok := r.Context().Value(boundedConnKey{}).(*boundedConn)
	if !ok {
		return
	}
	c.tracked.OnEvict(cancel)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.closed {
		c.window.Grow(c.bounds.budget, c.tracked.Address())
	}
}

// RequestRead records that a request was read to its end. It isn't given up, and its
// connection isn't closed to make room for others, until it is answered. RequestRead
// returns false if it was given up before.
func RequestRead(r *http.Request) bool {
	c, ok := r.Context().Value(boundedConnKey{}).(*boundedConn)
	if !ok {
		return true
	}
	c.tracked.EndRead()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hold == nil || c.hold.Keep()
}
