package link

import (
	"cmp"
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the opening of a connection. TCP retransmits a lost SYN
	// after a second, which isn't worth waiting for.
	dialTimeout = 400 * time.Millisecond
	// tcpUserTimeout is the TCP user timeout: a connection is closed when the server
	// hasn't acknowledged sent data for so long, because of a network partition
	// or a loss of power.
	tcpUserTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount are the parameters of
	// TCP keep-alive, which detects dead connections while a response is awaited.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 3
)

const (
	// minCloseWait and maxCloseWait bound the time for which a pool leaves a new
	// connection unused. A server with too many connections, or a long queue, accepts
	// one and closes it.
	minCloseWait = time.Millisecond
	maxCloseWait = 20 * time.Millisecond
)

var errRejected = errors.New("server closed the new connection")

// dial opens a connection. It waits about as long as a full server needs to close it:
// a request on it would be lost, and it would be unknown whether it has run.
// waited is the time of that wait.
func (p *Pool) dial(ctx context.Context) (c *conn, waited time.Duration, err error) {
	began := time.Now()
	nc, err := p.cfg.Dial(ctx, "tcp", p.cfg.Addr)
	if err != nil {
		return nil, 0, err
	}
	c = newConn(nc)
	opened := time.Now()
	select {
	case <-ctx.Done():
	case <-time.After(min(max(2*opened.Sub(began), minCloseWait), maxCloseWait)):
	}
	if ctx.Err() == nil && c.hasNoInput() {
		return c, time.Since(opened), nil
	}
	c.Close()
	return nil, time.Since(opened), cmp.Or(ctx.Err(), errRejected)
}

// Dialer returns a dialer whose connections detect an unresponsive peer, by TCP
// keep-alive and the TCP user timeout.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount},
		Control: func(_, _ string, c syscall.RawConn) error {
			var err error
			if e := c.Control(func(fd uintptr) {
				err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout/time.Millisecond))
			}); e != nil {
				return e
			}
			return err
		},
	}
}
