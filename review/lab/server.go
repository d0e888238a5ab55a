package lab

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// heartbeat is the interval in which a backend server registers itself.
	heartbeat = 870 * time.Millisecond
	// expiry is the time without a registration after which the store removes it.
	expiry = 3 * heartbeat
)

// Server is a stand-in for a backend server without keys.
type Server struct {
	ID, Service, Zone string
	Addr              string

	lab    *Lab
	handle func(s *Server, w http.ResponseWriter, r *http.Request)

	mu      sync.Mutex
	srv     *http.Server
	up      bool
	state   string
	running int
	warmEnd time.Time
	born    int64
}

// Slots is the number of requests that a server processes at a time.
const Slots = 2

// StartServer starts a server and registers it. handle runs the requests that the
// server accepts.
func (l *Lab) StartServer(id, service, zone string, handle func(s *Server, w http.ResponseWriter, r *http.Request)) (s *Server, err error) {
	s = &Server{ID: id, Service: service, Zone: zone, Addr: l.Addr(200) + ":0", lab: l, handle: handle, state: "ready"}
	if err = s.start(); err != nil {
		return nil, fmt.Errorf("lab: start server %s: %w", id, err)
	}
	return s, nil
}

func (s *Server) start() error {
	ln, err := net.Listen("tcp", s.Addr)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.Addr = ln.Addr().String()
	s.srv = &http.Server{Handler: s}
	s.up, s.running, s.born = true, 0, time.Now().UnixMilli()
	go func(srv *http.Server) { _ = srv.Serve(ln) }(s.srv) // ends with Close
	s.register()
	return nil
}

// register writes the registration. s.mu is held.
func (s *Server) register() {
	s.lab.Store.Put("servers", s.ID, map[string]any{
		"service": s.Service, "address": s.Addr, "zone": s.Zone, "version": "v1", "capacity": Slots, "state": s.state,
		"warmup_left": fmt.Sprintf("%dms", max(time.Until(s.warmEnd).Milliseconds(), 0)), "seq": 1, "born": s.born,
	})
}

// WarmUp has the server say for a time how much longer it is slow, once per
// heartbeat.
func (s *Server) WarmUp(d time.Duration) {
	s.mu.Lock()
	s.warmEnd = time.Now().Add(d)
	s.register()
	s.mu.Unlock()
	for at := heartbeat; at < d+heartbeat; at += heartbeat {
		time.AfterFunc(at, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.up {
				s.register()
			}
		})
	}
}

// Unregister removes the registration of a server that leaves without reporting
// that it drains. It goes on serving.
func (s *Server) Unregister() { s.lab.Store.Remove("servers", s.ID) }

// Exit ends the server for good.
func (s *Server) Exit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.up = false
	s.srv.Close()
}

// Crash ends the server, and starts it again after a time. The store removes its
// registration if it is down for longer than three heartbeats.
func (s *Server) Crash(down time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up {
		return
	}
	s.up = false
	s.srv.Close()
	s.lab.Record("server %s has crashed", s.ID)
	if down > expiry {
		time.AfterFunc(expiry, func() { s.lab.Store.Remove("servers", s.ID) })
	}
	time.AfterFunc(down, func() {
		if err := s.start(); err != nil {
			s.lab.Record("server %s can't start: %v", s.ID, err)
			return
		}
		s.lab.Record("server %s is back", s.ID)
	})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("Laburnummux-Instance-Id", s.ID)
		return
	}
	id := r.Header.Get("Laburnummux-Attempt-Id")
	w.Header().Set("Laburnummux-Attempt-Id", id)
	status := 0
	s.mu.Lock()
	switch want := r.Header.Get("Laburnummux-Expect-Instance"); {
	case want != "" && want != s.ID:
		status = http.StatusMisdirectedRequest
	case !s.up || s.running >= 2*Slots:
		status = http.StatusServiceUnavailable
	default:
		s.running++
	}
	load := fmt.Sprintf("%d,0,%d", s.running, Slots)
	s.mu.Unlock()
	w.Header().Set("Laburnummux-Server-Load", load)
	if status != 0 {
		w.Header().Set("Laburnummux-Not-Executed", "1")
		w.WriteHeader(status)
		return
	}
	s.handle(s, w, r)
	s.mu.Lock()
	s.running = max(s.running-1, 0)
	s.mu.Unlock()
}

// Answer writes the signed response to a request.
func (s *Server) Answer(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Laburnummux-Response-Signature", "s."+s.ID)
	fmt.Fprintf(w, "%s ran %s", s.ID, r.Header.Get("Laburnummux-Attempt-Id"))
}

// Request is a caller's request.
type Request struct {
	Method, Path, ID, Body string
	Deadline               time.Duration
}

// Send sends a request to an address on a new connection. It returns the status, or
// 0 without a complete response.
func Send(ctx context.Context, addr string, q Request) (status int, signed bool) {
	return SendOn(ctx, &http.Transport{DisableKeepAlives: true, DisableCompression: true}, addr, q)
}

// SendOn is Send on the connections of a transport.
func SendOn(ctx context.Context, t *http.Transport, addr string, q Request) (status int, signed bool) {
	ctx, cancel := context.WithTimeout(ctx, q.Deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, q.Method, "http://"+addr+q.Path, newBody(q.Body))
	if err != nil {
		return 0, false
	}
	req.Host = HostName
	req.Header.Set("Laburnummux-Attempt-Id", q.ID)
	req.Header.Set("Laburnummux-Deadline-Ms", fmt.Sprint(q.Deadline.Milliseconds()))
	resp, err := t.RoundTrip(req)
	if err != nil {
		return 0, false
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, false
	}
	return resp.StatusCode, resp.Header.Get("Laburnummux-Response-Signature") != ""
}

// Register registers a server that the case runs itself.
func (l *Lab) Register(id, service, zone, addr string) {
	l.Store.Put("servers", id, map[string]any{
		"service": service, "address": addr, "zone": zone, "version": "v1", "capacity": Slots, "state": "ready",
		"warmup_left": "0ms", "seq": 1, "born": time.Now().UnixMilli(),
	})
}
