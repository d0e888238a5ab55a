// Package caller is an HTTP/1.1 server for callers.
//
// Pipelined requests are handled concurrently, and their responses are written
// in the order of the requests. net/http's server handles the requests of a
// connection sequentially, which would add up their latencies.
//
// # Usage
//
//	s := caller.New(caller.Config{Handle: h, Limits: limits, Log: log})
//	go s.Run(ctx, listener)
//	s.Drain()     // the next request of each connection is its last one
//	s.CloseIdle() // closes idle connections
//
// Capacity derives the bounds of connections from what the process may use. Bounds
// applies them to the addresses that aren't for callers, which net/http serves:
//
//	b := caller.NewBounds("operators", maxConns, budget, metrics, log)
//	go caller.NewOperatorServer(h).Serve(b.Listener(listener, caller.Requests, readBuffer))
package caller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/budget"
	"github.com/laburnummux/laburnummux/internal/intent"
	"github.com/laburnummux/laburnummux/internal/segment"
)

// Request is a caller's request with its complete body.
type Request struct {
	Method           string
	Target           string
	Path             string
	Host             string
	Header           http.Header
	Body             segment.Body
	HasContentLength bool // the request had a Content-Length, even if 0, or was chunked
	RemoteAddr       string
	// Left reports whether the caller has disconnected. The ctx of the request may
	// not tell yet: it is cancelled when the end of the connection is read, which a
	// busy host does late. May be nil.
	Left func() bool
}

// Response is the response to a request.
type Response struct {
	Status int
	Header http.Header
	Body   segment.Body
	Hold   *budget.Hold // memory of Body, which is released when it is written; may be nil
	Close  bool         // close the connection after the response
	Abort  bool         // close the connection without a response
}

// Config has the dependencies of a Server. The ctx of Handle is cancelled when
// the caller disconnects.
type Config struct {
	Handle func(ctx context.Context, r *Request) Response
	Limits func() intent.Limits
	// Version returns the version of the configuration that Limits comes from, or 0 as
	// long as there is none: then a request that exceeds them is rejected with 503 and
	// Retry-After. nil: there is one.
	Version func() uint64
	Log     *zap.Logger
	// Budget bounds the memory of requests until their response, and of responses
	// until they are written. nil: a budget of 1 GiB.
	Budget   *budget.Budget
	MaxConns int // most open connections; 0: no limit
	// ReadBuffer is the receive buffer of the listener's connections, see package
	// listen. It grows while long bodies are read. 0: the system sets the size.
	ReadBuffer int
	Metrics    *Metrics // may be nil
}

// Server serves the requests of callers' connections.
type Server struct {
	cfg         Config
	conns       *Conns
	bodyTimeout time.Duration // of the reading of a request body; shorter in tests
	draining    atomic.Bool
}

// New returns a Server without connections.
func New(cfg Config) *Server {
	if cfg.Budget == nil {
		cfg.Budget = budget.New(DefaultBudget)
	}
	s := &Server{cfg: cfg, conns: NewConns(cfg.MaxConns, cfg.Metrics), bodyTimeout: bodyTimeout}
	s.conns.LogPressure("callers", cfg.Log)
	return s
}

// Run accepts connections until the listener is closed.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	for {
		nc, err := l.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return nil
			}
			s.cfg.Log.Warn("cannot accept connection; retrying in 10 ms", zap.Error(err))
			time.Sleep(10 * time.Millisecond) // file descriptors may be exhausted
			continue
		}
		c := &conn{Tracked: NewTracked(nc), server: s, exchanges: make(chan *exchange, maxExchanges)}
		if c.socket, err = socketOf(nc); err != nil {
			s.cfg.Log.Warn("cannot use connection", zap.Error(err))
			nc.Close()
			continue
		}
		c.window = newWindow(c.socket, s.cfg.ReadBuffer, s.cfg.Metrics)
		c.ctx, c.cancel = context.WithCancel(context.WithoutCancel(ctx))
		if !s.conns.Admit(c.Tracked) {
			c.cancel()
			nc.Close()
			continue
		}
		go c.run()
	}
}

// Drain makes the next request that is read on each connection the last one: its
// response closes the connection.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections without a request in progress.
func (s *Server) CloseIdle() { s.conns.CloseIdle() }

// hasConfig reports whether there is a configuration.
func (s *Server) hasConfig() bool { return s.cfg.Version == nil || s.cfg.Version() > 0 }

// ConnCount returns the number of open connections.
func (s *Server) ConnCount() int { return s.conns.Len() }
