package caller

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnummux/laburnummux/internal/budget"
)

// firstRequestTime is how long a new connection isn't taken for idle before it has sent
// anything. Distant callers need several round trips with TLS.
const firstRequestTime = time.Second

// unreadTime is how long the write of a part of a response may take before its connection
// may be closed to make room. A slow caller may take seconds to free a socket's buffer.
const unreadTime = 3 * time.Second

// evictionClass says how soon a connection is closed to make room, among those of addresses
// with equally many connections: lower values first, and requestPending never. idle is first
// whatever the address.
type evictionClass int

const (
	idle           evictionClass = iota
	stalledRequest               // a part of a request, and no more bytes for budget.StallTime
	unreadResponse               // a part of a response has been blocked for unreadTime
	awaitingFirst                // a new connection, from which nothing was received yet
	incomplete                   // a request is being received
	requestPending               // a request awaits its response, or the response is being written
)

// Tracked is a caller's connection with what Conns has to know of it.
type Tracked struct {
	netConn net.Conn
	address string // of the caller, without the port
	opened  time.Time
	used    atomic.Bool  // a request was received, at least in part
	since   atomic.Int64 // when the last request began or was answered, Unix ns
	pending atomic.Int32 // requests whose response isn't written
	reading atomic.Bool  // a request has been received in part
	input   atomic.Int64 // when bytes were last received, Unix ns; 0: never
	blocked atomic.Int64 // when the write in progress began, Unix ns; 0: there is none

	mu      sync.Mutex
	evicted bool               // the connection was closed to make room
	hold    *budget.Hold       // memory of the last request that has one
	cancel  context.CancelFunc // of the last request with OnEvict; may be nil
}

// NewTracked returns a connection without requests.
func NewTracked(nc net.Conn) *Tracked {
	t := &Tracked{netConn: nc, address: addressOf(nc), opened: time.Now()}
	t.since.Store(t.opened.UnixNano())
	return t
}

// Address returns the address of the caller without the port.
func (t *Tracked) Address() string { return t.address }

// NewHold opens a hold for the memory of the connection's request. It is given up if the
// connection is closed to make room: the request would wait for memory as one that is
// in no bound any more.
func (t *Tracked) NewHold(b *budget.Budget, giveUp func()) *budget.Hold {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hold = b.NewHold(t.address, giveUp)
	if t.evicted {
		t.hold.Cancel()
	}
	return t.hold
}

// OnEvict sets the function that cancels the request in progress if the connection is
// closed to make room.
func (t *Tracked) OnEvict(cancel context.CancelFunc) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancel = cancel
	if t.evicted {
		cancel()
	}
}

// Evicted reports whether the connection was closed to make room.
func (t *Tracked) Evicted() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.evicted
}

// evict closes the connection and ends its request.
func (t *Tracked) evict() {
	t.netConn.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.evicted = true
	if t.hold != nil {
		t.hold.Cancel()
	}
	if t.cancel != nil {
		t.cancel()
	}
}

// BeginRequest records that a request is being received.
func (t *Tracked) BeginRequest() {
	if !t.reading.Swap(true) {
		t.used.Store(true)
		t.since.Store(time.Now().UnixNano())
	}
}

// Active records that the connection, which carries more than one request at a time, is
// in use.
func (t *Tracked) Active() {
	t.used.Store(true)
	t.since.Store(time.Now().UnixNano())
	t.reading.Store(true)
}

// EndRead records that the request has been received and awaits its response. It is for
// connections that handle one request at a time.
func (t *Tracked) EndRead() {
	t.pending.Store(1)
	t.reading.Store(false)
}

// EndRequest records that the request was answered. It is for connections that handle
// one request at a time.
func (t *Tracked) EndRequest() {
	t.since.Store(time.Now().UnixNano())
	t.reading.Store(false)
	t.pending.Store(0)
}

// Idle reports whether the connection has no request in progress.
func (t *Tracked) Idle() bool { return t.pending.Load() == 0 && !t.reading.Load() }

// isNew reports whether the connection may still be about to send its first request.
func (t *Tracked) isNew() bool { return !t.used.Load() && time.Since(t.opened) < firstRequestTime }

// RecordInput records that bytes were received.
func (t *Tracked) RecordInput() { t.input.Store(time.Now().UnixNano()) }

// beginWrite records that the write of a part of a response begins.
func (t *Tracked) beginWrite() { t.blocked.Store(time.Now().UnixNano()) }

// endWrite records that the write has ended, with or without an error.
func (t *Tracked) endWrite() { t.blocked.Store(0) }

// evictionClass returns the current class of the connection.
func (t *Tracked) evictionClass(now time.Time) evictionClass {
	input, blocked := t.input.Load(), t.blocked.Load()
	switch {
	case blocked != 0 && now.UnixNano()-blocked > int64(unreadTime):
		return unreadResponse
	case t.pending.Load() > 0:
		return requestPending
	case t.Idle() && !t.isNew():
		return idle
	case input == 0:
		return awaitingFirst
	case now.UnixNano()-input > int64(budget.StallTime):
		return stalledRequest
	}
	return incomplete
}

// addressOf returns the address of a caller without the port.
func addressOf(nc net.Conn) string {
	host, _, err := net.SplitHostPort(nc.RemoteAddr().String())
	if err != nil {
		return nc.RemoteAddr().String()
	}
	return host
}
