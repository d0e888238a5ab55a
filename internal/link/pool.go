package link

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
)

const (
	// maxProbes is how many health requests in a row keep an idle connection
	// open, probeLead how long before its expiry one is sent, and probeTimeout
	// the timeout of each.
	maxProbes    = 2
	probeLead    = 1100 * time.Millisecond
	probeTimeout = 2 * time.Second
)

// Pool has the connections to one backend server.
type Pool struct {
	cfg       Config
	observe   func(status int, h http.Header)
	malformed func(id string, err error)
	mu        sync.Mutex
	idle      []*conn
	inUse     map[uint64]bool // numbers of the connections with a request in progress
	closed    bool
}

// Config configures a Pool.
type Config struct {
	Addr    string
	Budget  *Budget                                                           // bounds the memory of the responses of all pools that share it
	Dial    func(ctx context.Context, network, addr string) (net.Conn, error) // nil: as Dialer
	MaxIdle int                                                               // most idle connections; 0: no limit
}

// NewPool returns a Pool without connections for an address.
func NewPool(addr string, b *Budget) *Pool { return New(Config{Addr: addr, Budget: b}) }

// New returns a Pool without connections.
func New(cfg Config) *Pool {
	if cfg.Dial == nil {
		cfg.Dial = Dialer(dialTimeout).DialContext
	}
	return &Pool{cfg: cfg, observe: func(int, http.Header) {}, malformed: func(string, error) {}, inUse: make(map[uint64]bool)}
}

// Observe has the head of each response passed to a function, also that of health
// requests and of responses whose body is incomplete, but not that of mismatched
// ones. It is called before the first request.
func (p *Pool) Observe(observe func(status int, h http.Header)) { p.observe = observe }

// ObserveMalformed has the error of each malformed response passed to a function, with the
// ID of the request, also of health requests. It is called before the first request.
func (p *Pool) ObserveMalformed(observe func(id string, err error)) { p.malformed = observe }

// Close closes the idle connections. The others are closed after their request.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle)
}

// Sweep closes the idle connections that have expired or have input, which may go
// on without end. The one that was used last is kept open with health requests to
// the given path, at most maxProbes in a row, as they cost less than a new
// connection.
func (p *Pool) Sweep(ctx context.Context, now time.Time, healthPath string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for i, c := range p.idle {
		last := i == len(p.idle)-1
		switch {
		case !now.Before(c.expiry), !c.hasNoInput():
			c.Close()
		case last && healthPath != "" && c.probes < maxProbes && c.expiry.Sub(now) <= probeLead:
			c.probes++
			pr := &probe{pool: p, conn: c, path: healthPath}
			go pr.run(ctx)
		default:
			kept = append(kept, c)
		}
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// probe sends a health request to keep an idle connection open.
type probe struct {
	pool *Pool
	conn *conn
	path string
}

func (pr *probe) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	if !pr.conn.hasNoInput() {
		pr.conn.Close()
		return
	}
	var res Result
	stop := context.AfterFunc(ctx, func() { pr.conn.Close() })
	reusable := pr.pool.exchange(ctx, pr.conn, Request{Method: http.MethodGet, Target: pr.path, Host: pr.pool.cfg.Addr, Matches: anyResponse, Confusable: noResponse}, maxProbeBodyBytes, &res)
	if !stop() || !reusable || res.Status != http.StatusOK || pr.conn.reader.Buffered() > 0 {
		pr.conn.Close()
		return
	}
	pr.pool.putIdle(pr.conn)
}

func anyResponse(int, http.Header) bool { return true }

func noResponse(int, http.Header) bool { return false }

// takeIdle returns the idle connection that was used last and can be reused for a
// request (see Request.ID and Request.LastConn), or nil if there is none. It closes
// those that can't be reused for any.
func (p *Pool) takeIdle(now time.Time, r Request) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	idHash := xxhash.Sum64String(r.ID)
	for i := len(p.idle) - 1; i >= 0; i-- {
		c := p.idle[i]
		if r.LastConn != 0 && c.number > r.LastConn || slices.Contains(c.confusable, idHash) {
			continue
		}
		p.idle = slices.Delete(p.idle, i, i+1)
		if now.Before(c.expiry) && c.hasNoInput() {
			c.probes = 0
			p.inUse[c.number] = true
			return c
		}
		c.Close()
	}
	return nil
}

// setInUse records whether a connection has a request in progress.
func (p *Pool) setInUse(c *conn, inUse bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if inUse {
		p.inUse[c.number] = true
		return
	}
	delete(p.inUse, c.number)
}

// hasInUse reports whether a connection up to a number has a request in progress.
func (p *Pool) hasInUse(last uint64) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for number := range p.inUse {
		if number <= last {
			return true
		}
	}
	return false
}

// hasNoInput reports whether an idle connection has nothing to read: neither the
// server's close nor bytes that belong to no request.
func (c *conn) hasNoInput() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	empty := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		empty = errors.Is(e, unix.EAGAIN)
		return true
	})
	return err == nil && empty
}

func (p *Pool) putIdle(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.cfg.MaxIdle > 0 && len(p.idle) >= p.cfg.MaxIdle {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// Probe opens a connection to the server and adds it to the pool. It returns an error
// if the server accepts none.
func (p *Pool) Probe() (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("%w: %w", ErrDial, err)
		}
	}()
	nc, err := p.cfg.Dial(context.Background(), "tcp", p.cfg.Addr)
	if err != nil {
		return err
	}
	p.putIdle(newConn(nc))
	return nil
}
