package caller

import "net"

// admit adds a connection. If there are Config.MaxConns, it closes another one: the
// one that has been idle for longest, else the one of the address with most
// connections that has been reading a request for longest. It returns false if none
// can be closed, because all have requests in progress.
func (s *Server) admit(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.cfg.MaxConns > 0 && len(s.conns) >= s.cfg.MaxConns {
		v, reason := s.victim()
		if v == nil {
			s.cfg.Metrics.countConn(reasonRefused)
			return false
		}
		s.cfg.Metrics.countConn(reason)
		v.netConn.Close()
		delete(s.conns, v)
	}
	s.conns[c] = struct{}{}
	return true
}

// victim returns the connection that is closed to make room, or nil. s.mu is held.
func (s *Server) victim() (v *conn, reason string) {
	counts := make(map[string]int)
	for c := range s.conns {
		counts[c.address]++
		if c.isIdle() && (v == nil || c.since.Load() < v.since.Load()) {
			v = c
		}
	}
	if v != nil {
		return v, reasonIdle
	}
	for c := range s.conns {
		if c.pending.Load() > 0 {
			continue
		}
		if v == nil || counts[c.address] > counts[v.address] || counts[c.address] == counts[v.address] && c.since.Load() < v.since.Load() {
			v = c
		}
	}
	return v, reasonIncomplete
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
