package caller

import "net"

// maxScanned is how many connections are compared to find the one that is closed to
// make room, if there is one among them: a flood of connections must not cost time
// with the number of all.
const maxScanned = 64

// admit adds a connection. If there are Config.MaxConns, it closes another one: the
// one that has been idle for longest, else the one of the address with most
// connections that has been reading a request for longest. It returns false if none
// can be closed, because all have requests in progress.
func (s *Server) admit(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.MaxConns > 0 && len(s.conns) >= s.cfg.MaxConns {
		v, reason := s.victim()
		s.cfg.Metrics.countConn(reason)
		if v == nil {
			return false
		}
		v.netConn.Close()
		s.remove(v)
	}
	s.conns[c] = struct{}{}
	s.byAddress[c.address]++
	return true
}

// remove removes a connection, unless it was removed before. s.mu is held.
func (s *Server) remove(c *conn) {
	if _, ok := s.conns[c]; !ok {
		return
	}
	delete(s.conns, c)
	if s.byAddress[c.address]--; s.byAddress[c.address] == 0 {
		delete(s.byAddress, c.address)
	}
}

// victim returns the connection that is closed to make room, or nil, among
// maxScanned random ones. s.mu is held.
func (s *Server) victim() (v *conn, reason string) {
	var idle, incomplete *conn
	scanned := 0
	for c := range s.conns {
		if scanned++; scanned > maxScanned && (idle != nil || incomplete != nil) {
			break
		}
		switch {
		case c.isIdle():
			if idle == nil || c.since.Load() < idle.since.Load() {
				idle = c
			}
		case c.pending.Load() > 0:
		case incomplete == nil, s.byAddress[c.address] > s.byAddress[incomplete.address],
			s.byAddress[c.address] == s.byAddress[incomplete.address] && c.since.Load() < incomplete.since.Load():
			incomplete = c
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

// isIdle reports whether the connection has no request in progress.
func (c *conn) isIdle() bool { return c.pending.Load() == 0 && !c.reading.Load() }

// addressOf returns the address of a caller without the port.
func addressOf(nc net.Conn) string {
	host, _, err := net.SplitHostPort(nc.RemoteAddr().String())
	if err != nil {
		return nc.RemoteAddr().String()
	}
	return host
}
