package heads

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Cut is where a response of a Server is divided into pieces.
const Cut = "<cut>"

// pause is the time between two pieces, usually enough for the client to read the first.
const pause = 2 * time.Millisecond

// Server is a server that responds to the requests of each connection with given bytes, in
// turn, and with the last ones again. It keeps connections open.
type Server struct {
	listener  net.Listener
	responses atomic.Pointer[[]string]
	requests  atomic.Int32
	conns     atomic.Int32
}

// NewServer starts a server that ends with the test.
func NewServer(t testing.TB, responses ...string) *Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &Server{listener: l}
	s.Respond(responses...)
	go s.run()
	return s
}

// Respond replaces the responses, on open connections also.
func (s *Server) Respond(responses ...string) { s.responses.Store(&responses) }

// Addr returns the server's address.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Requests returns the number of requests received.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// Conns returns the number of connections accepted.
func (s *Server) Conns() int { return int(s.conns.Load()) }

func (s *Server) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.conns.Add(1)
		go s.loop(c)
	}
}

func (s *Server) loop(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for n := 0; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s.requests.Add(1)
		responses := *s.responses.Load()
		for i, piece := range strings.Split(responses[min(n, len(responses)-1)], Cut) {
			if i > 0 {
				time.Sleep(pause)
			}
			if _, err := io.WriteString(c, piece); err != nil {
				return
			}
		}
	}
}
