package caller

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

const (
	// maxScanned is how many connections are compared to find the one that is closed to
	// make room, if there is one among them: a flood of connections must not cost time
	// with the number of all.
	maxScanned = 64
	// maxSearched is how many are looked at if there is none among the first.
	maxSearched = 512
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

// Admit adds a connection. If there are as many as allowed, it closes another one: the
// one that has been idle for longest, else one of the address with most connections
// whose request is incomplete or whose response isn't being read. It returns false if none
// can be closed, because all have requests in progress.
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
	var class evictionClass
	now := time.Now()
	scanned := 0
	for t := range s.open {
		if scanned++; scanned > maxSearched || scanned > maxScanned && v != nil {
			break
		}
		tc := t.evictionClass(now)
		if tc != requestPending && (v == nil || s.evictsBefore(t, tc, v, class)) {
			v, class = t, tc
		}
	}
	switch {
	case v == nil:
		return nil, reasonRefused
	case class == idle:
		return v, reasonIdle
	case class == unreadResponse:
		return v, reasonUnread
	}
	return v, reasonIncomplete
}

// evictsBefore reports whether t is closed before other: idle connections first, then those
// of the address with most connections, then by class and age. s.mu is held.
func (s *Conns) evictsBefore(t *Tracked, class evictionClass, other *Tracked, otherClass evictionClass) bool {
	if class == idle || otherClass == idle {
		return class < otherClass || class == otherClass && t.since.Load() < other.since.Load()
	}
	if n, m := s.byAddress[t.address], s.byAddress[other.address]; n != m {
		return n > m
	}
	return class < otherClass || class == otherClass && t.since.Load() < other.since.Load()
}
