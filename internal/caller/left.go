package caller

import (
	"errors"
	"net"
	"syscall"

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

// left reports whether the caller has closed the connection, and cancels its
// requests then. The close counts even if input before it hasn't been read.
func (c *conn) left() bool {
	if c.ctx.Err() != nil {
		return true
	}
	closed := false
	err := c.socket.Control(func(fd uintptr) { closed = peerClosed(int32(fd)) })
	if err == nil && !closed {
		return false
	}
	c.cancel() // err: this host has closed the connection
	return true
}

// peerClosed reports whether the peer of a socket has closed or reset the
// connection.
func peerClosed(fd int32) bool {
	fds := [1]unix.PollFd{{Fd: fd, Events: unix.POLLRDHUP}}
	for {
		n, err := unix.Poll(fds[:], 0)
		if errors.Is(err, unix.EINTR) {
			continue
		}
		return n > 0
	}
}
