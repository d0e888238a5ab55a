package caller

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/budget"
)

const (
	// maxScanned is how many connections are compared to find the one that is closed to
	// make room, if there is one among them: a flood of connections must not cost time
	// with the number of all.
	maxScanned = 64
	// maxSearched is how many are looked at if there is none among the first.
	maxSearched = 512
	// firstRequestTime is how long a new connection isn't taken for idle before it has
	// sent anything. Distant callers need several round trips with TLS.
	firstRequestTime = time.Second
	// recoveredConns is the part of the bound, as a divisor, below which there are no
	// longer too many connections.
	recoveredConns = 2
)

// Conns has the open connections of callers and bounds their number.
type Conns struct {
	mu        sync.Mutex
	max       int // 0: no limit
	metrics   *Metrics
	open      map[*Tracked]struct{}
	byAddress map[string]int // number of connections by address
	pressed   bool
	pressure  func(bool)
}

// NewConns returns a Conns without connections. maxConns 0 means no limit; m may be
// nil.
func NewConns(maxConns int, m *Metrics) *Conns {
	return &Conns{max: maxConns, metrics: m, open: make(map[*Tracked]struct{}), byAddress: make(map[string]int), pressure: func(bool) {}}
}

// LogPressure logs when connections begin to be closed because there are too many, and
// when they are well below the bound again. name says which connections. It is called
// before the first one is admitted.
func (s *Conns) LogPressure(name string, log *zap.Logger) {
	s.pressure = func(on bool) {
		if on {
			log.Warn("too many connections: closing idle and incomplete ones", zap.String("address", name), zap.Int("bound", s.max))
		} else {
			log.Info("connections are below the bound again", zap.String("address", name))
		}
	}
}

// Tracked is a caller's connection with what Conns has to know of it.
type Tracked struct {
	netConn net.Conn
	address string // of the caller, without the port
	opened  time.Time
	used    atomic.Bool  // a request was received, at least in part
	since   atomic.Int64 // when the last request began or was answered, Unix ns
	pending atomic.Int32 // requests whose response isn't written
	reading atomic.Bool  // a request has been received in part

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

// Admit adds a connection. If there are as many as allowed, it closes another one: the
// one that has been idle for longest, else the one of the address with most
// connections that has been reading a request for longest, or awaiting its first one. It
// returns false if none can be closed, because all have requests in progress.
func (s *Conns) Admit(t *Tracked) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.max > 0 && len(s.open) >= s.max {
		s.setPressed(true)
		v, reason := s.victim()
		s.metrics.countConn(reason)
		if v == nil {
			return false
		}
		s.remove(v)
		v.evict()
	}
	s.open[t] = struct{}{}
	s.byAddress[t.address]++
	return true
}

// Remove removes a connection, unless it was removed before.
func (s *Conns) Remove(t *Tracked) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(t)
}

// remove is Remove with s.mu held.
func (s *Conns) remove(t *Tracked) {
	if _, ok := s.open[t]; !ok {
		return
	}
	delete(s.open, t)
	if s.byAddress[t.address]--; s.byAddress[t.address] == 0 {
		delete(s.byAddress, t.address)
	}
	if s.pressed && len(s.open) < s.max/recoveredConns {
		s.setPressed(false)
	}
}

// setPressed records whether there are too many connections. s.mu is held.
func (s *Conns) setPressed(pressed bool) {
	if s.pressed != pressed {
		s.pressed = pressed
		s.pressure(pressed)
	}
}

// Len returns the number of connections.
func (s *Conns) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}

// CloseIdle closes the connections without a request in progress.
func (s *Conns) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for t := range s.open {
		if t.Idle() {
			t.netConn.Close()
		}
	}
}

// victim returns the connection that is closed to make room, or nil, among
// maxScanned random ones, or up to maxSearched if none of those can be. s.mu is held.
func (s *Conns) victim() (v *Tracked, reason string) {
	var idle, incomplete *Tracked
	scanned := 0
	for t := range s.open {
		if scanned++; scanned > maxSearched || scanned > maxScanned && (idle != nil || incomplete != nil) {
			break
		}
		switch {
		case t.pending.Load() > 0:
		case t.Idle() && !t.isNew():
			if idle == nil || t.since.Load() < idle.since.Load() {
				idle = t
			}
		case incomplete == nil, s.byAddress[t.address] > s.byAddress[incomplete.address],
			s.byAddress[t.address] == s.byAddress[incomplete.address] && t.since.Load() < incomplete.since.Load():
			incomplete = t
		}
	}
	switch {
	case idle != nil:
		return idle, reasonIdle
	case incomplete != nil:
		return incomplete, reasonIncomplete
	}
	return nil, reasonRefused
}

// addressOf returns the address of a caller without the port.
func addressOf(nc net.Conn) string {
	host, _, err := net.SplitHostPort(nc.RemoteAddr().String())
	if err != nil {
		return nc.RemoteAddr().String()
	}
	return host
}
