package fakes

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
)

// Server serves a Backend on a loopback address.
type Server struct {
	backend *Backend

	mu   sync.Mutex
	addr string
	http *http.Server  // nil while stopped or killed
	tls  *tls.Config   // nil for plain text
	done chan struct{} // closed when http has stopped serving
}

// NewServer returns a server that is not started.
func NewServer(b *Backend) *Server {
	s := &Server{backend: b}
	b.mu.Lock()
	b.onKill = s.close
	b.mu.Unlock()
	return s
}

// SetTLS makes the server use TLS from its next start on.
func (s *Server) SetTLS(cfg *tls.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tls = cfg
}

// Start listens on a free port of 127.0.0.1 or, after the first start, on the
// port of the first start.
func (s *Server) Start() (err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.http != nil {
		return errors.New("fakes.Start: already started")
	}
	addr := s.addr
	if addr == "" {
		addr = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("fakes.Start: %w", err)
	}
	s.addr = l.Addr().String()
	if s.tls != nil {
		l = tls.NewListener(l, s.tls)
	}
	s.http = &http.Server{Handler: s.backend}
	s.done = make(chan struct{})
	go run(s.http, l, s.done)
	return nil
}

func run(h *http.Server, l net.Listener, done chan<- struct{}) {
	defer close(done)
	h.Serve(l) // returns when the server is closed
}

// Addr returns the server's address, which stays the same after Start.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.addr
}

// Stop drains the server and waits for the requests in flight. Start cannot
// undo the draining; Restart does.
func (s *Server) Stop(ctx context.Context) error {
	s.backend.Drain()
	s.mu.Lock()
	h, done := s.http, s.done
	s.http = nil
	s.mu.Unlock()
	if h == nil {
		return nil
	}
	if err := h.Shutdown(ctx); err != nil {
		h.Close()
		return fmt.Errorf("fakes.Stop: %w", err)
	}
	<-done
	return nil
}

// Backend returns the server's request handler.
func (s *Server) Backend() *Backend { return s.backend }

// Kill stops the server abruptly, as when its process crashes.
func (s *Server) Kill() { s.backend.Kill() }

// close closes the listener and all connections.
func (s *Server) close() {
	s.mu.Lock()
	h, done := s.http, s.done
	s.http = nil
	s.mu.Unlock()
	if h != nil {
		h.Close()
		<-done
	}
}

// Restart kills the server if it is running and starts a new incarnation of it
// on the same port.
func (s *Server) Restart() error {
	s.Kill()
	s.backend.Revive()
	return s.Start()
}

// Control returns the handler of the backend server's control paths and of POST
// /fake/restart. It must be served elsewhere, because a killed server has no
// listener.
func (s *Server) Control() http.Handler {
	c := s.backend.control()
	c.handlePost("restart", func(*http.Request) error { return s.Restart() })
	return c
}
