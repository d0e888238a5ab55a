// Package listen opens TCP listeners whose connections hold a bounded number of bytes
// that were received and not read.
//
// These bytes are memory of the process, although it hasn't allocated them. Without
// bounds, each connection may hold several MB while the process gets no processor time,
// also those that it hasn't accepted.
//
// # Usage
//
//	l, err := listen.Open("10.1.0.18:8381", listen.Bounds{ReadBuffer: 12 << 10, Backlog: 256})
//	c, err := l.Accept()
//	err = listen.SetReadBuffer(c, 64<<10) // for a long body
package listen

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HeldFactor is how many times the size of its receive buffer a connection holds at
// most: Linux doubles the size, and the additional half isn't only used for overhead.
const HeldFactor = 2

// Bounds bounds what the connections of a listener hold. A bound of 0 is that of the
// system.
type Bounds struct {
	ReadBuffer int // bytes; size of each connection's receive buffer
	Backlog    int // most connections that aren't accepted yet
}

// Held returns the bytes that a number of open connections, and those that aren't
// accepted, hold at most. It returns 0 if there is no bound.
func (b Bounds) Held(conns int) int64 {
	return HeldFactor * int64(b.ReadBuffer) * int64(conns+b.Backlog)
}

// Open opens a listener.
func Open(addr string, b Bounds) (l net.Listener, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("listen: open: %w", err)
		}
	}()
	var cfg net.ListenConfig
	if b.ReadBuffer > 0 {
		// Connections inherit the size. Setting it later would let those that aren't
		// accepted hold more.
		cfg.Control = func(_, _ string, socket syscall.RawConn) error {
			return control(socket, func(fd int) error {
				return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, b.ReadBuffer)
			})
		}
	}
	if l, err = cfg.Listen(context.Background(), "tcp", addr); err != nil || b.Backlog <= 0 {
		return l, err
	}
	if err = setBacklog(l, b.Backlog); err != nil {
		l.Close()
		return nil, err
	}
	return l, nil
}

// setBacklog changes the backlog of a listener. Package net uses the system's maximum.
func setBacklog(l net.Listener, n int) error {
	tl, ok := l.(*net.TCPListener)
	if !ok {
		return errors.New("listener has no socket")
	}
	socket, err := tl.SyscallConn()
	if err != nil {
		return err
	}
	return control(socket, func(fd int) error { return unix.Listen(fd, n) })
}

// SetReadBuffer changes the size of a connection's receive buffer, and with it the
// window that the peer may fill. The window of a connection that was accepted with a
// small buffer stays below 64 KiB, as its scale isn't changed.
func SetReadBuffer(socket syscall.RawConn, bytes int) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("listen: set read buffer: %w", err)
		}
	}()
	return control(socket, func(fd int) error {
		if err := unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, bytes); err != nil {
			return err
		}
		// The buffer of the listener has bounded the window, too.
		return unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_WINDOW_CLAMP, bytes)
	})
}

// Unread returns the bytes that a connection has received and that weren't read.
func Unread(socket syscall.RawConn) (n int, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("listen: unread: %w", err)
		}
	}()
	err = control(socket, func(fd int) (err error) {
		n, err = unix.IoctlGetInt(fd, unix.TIOCINQ)
		return err
	})
	return n, err
}

// control calls f with the descriptor of a socket, and returns its error.
func control(socket syscall.RawConn, f func(fd int) error) error {
	var err error
	if e := socket.Control(func(fd uintptr) { err = f(int(fd)) }); e != nil {
		return e
	}
	return err
}
