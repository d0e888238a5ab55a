package caller

import (
	"crypto/tls"
	"errors"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// socketOf returns the socket of a connection.
func socketOf(nc net.Conn) (syscall.RawConn, error) {
	sc, ok := nc.(syscall.Conn)
	if !ok {
		return nil, errors.New("caller: connection has no socket")
	}
	return sc.SyscallConn()
}

// Closed reports whether the peer of a connection has closed it, even if input before
// the close hasn't been read. It reports false for a connection without a socket.
func Closed(nc net.Conn) bool {
	if tc, ok := nc.(*tls.Conn); ok {
		nc = tc.NetConn()
	}
	socket, err := socketOf(nc)
	if err != nil {
		return false
	}
	closed := false
	if err := socket.Control(func(fd uintptr) { closed = peerClosed(int(fd)) }); err != nil {
		return true // this host has closed it
	}
	return closed
}

// left reports whether the caller has closed the connection, and cancels its
// requests then. The close counts even if input before it hasn't been read.
func (c *conn) left() bool {
	if c.ctx.Err() != nil {
		return true
	}
	closed := false
	err := c.socket.Control(func(fd uintptr) { closed = peerClosed(int(fd)) })
	if err == nil && !closed {
		return false
	}
	c.cancel() // err: this host has closed the connection
	return true
}

// peerClosed reports whether the peer of a socket has closed or reset the
// connection. A peek tells, unless there is unread input: then only the poll sees
// the close behind it.
func peerClosed(fd int) bool {
	var b [1]byte
	n, _, err := unix.Recvfrom(fd, b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	switch {
	case errors.Is(err, unix.EAGAIN), errors.Is(err, unix.EINTR):
		return false
	case err != nil || n == 0:
		return true
	}
	fds := [1]unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
	n, err = unix.Poll(fds[:], 0)
	return err == nil && n > 0
}

// awaitPending waits until at most n requests are pending, without reading. It
// reports whether the connection is still in use: false if the caller disconnects.
func (c *conn) awaitPending(n int32) bool {
	for c.pending.Load() > n && c.ctx.Err() == nil {
		if err := c.netConn.SetReadDeadline(time.Now().Add(time.Hour)); err != nil {
			c.cancel()
			return false
		}
		c.setWaiting(true)
		// The function is called when the socket has input or is closed.
		err := c.socket.Read(func(uintptr) bool { return c.pending.Load() <= n || c.left() })
		c.setWaiting(false)
		if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
			c.cancel()
		}
	}
	return c.ctx.Err() == nil
}

func (c *conn) setWaiting(waiting bool) {
	c.waitMu.Lock()
	defer c.waitMu.Unlock()
	c.waiting = waiting
}

// endPending counts a request as no longer pending, and wakes awaitPending. The
// deadline that wakes it must not be set later, as it would end the next read.
func (c *conn) endPending() {
	c.waitMu.Lock()
	defer c.waitMu.Unlock()
	c.pending.Add(-1)
	if c.waiting {
		c.netConn.SetReadDeadline(time.Unix(1, 0)) // an error means that the connection is closed, which ends the wait, too
	}
}
