package caller

import (
	"net"
	"syscall"

	"github.com/laburnummux/laburnummux/internal/budget"
	"github.com/laburnummux/laburnummux/internal/listen"
)

const (
	// ReadBuffer is the receive buffer of a caller's connection, if the memory of the
	// process is known. All connections may have it full while the process gets no
	// processor time. It takes what a sender may send at once on a new connection.
	ReadBuffer = 12 << 10
	// longReadBuffer is the receive buffer while a long body is read, for distant
	// callers. It is the longest window that connections with a short buffer may have.
	longReadBuffer = 64 << 10
	// longBody is the length from which on a body is long.
	longBody = 64 << 10
)

// Window is the receive buffer of a connection. It is large only while a long body is
// read and bodies use a part of the budget for their memory. It is for one goroutine at
// a time. The zero value never changes the buffer.
type Window struct {
	socket  syscall.RawConn
	short   int // bytes of the buffer otherwise; 0: the system sets the size
	metrics *Metrics
	hold    *budget.Hold // memory of a large buffer
	large   bool
	reading bool // a long body is being read
}

// WindowOf returns the window of a connection, see newWindow.
func WindowOf(nc net.Conn, short int, m *Metrics) (Window, error) {
	socket, err := socketOf(nc)
	if err != nil {
		return Window{}, err
	}
	return newWindow(socket, short, m), nil
}

// newWindow returns the window of a connection with a receive buffer of a size; 0 means
// that the system sets it. m may be nil.
func newWindow(socket syscall.RawConn, short int, m *Metrics) Window {
	return Window{socket: socket, short: short, metrics: m}
}

// Grow makes the buffer large for a long body. The memory is counted in an account of
// the budget. If bodies use much of it, the buffer stays short.
func (w *Window) Grow(b *budget.Budget, account string) {
	if w.short == 0 || w.large {
		return
	}
	w.reading = true
	if w.hold == nil {
		w.hold = b.Reserve(account, listen.HeldFactor*int64(longReadBuffer-w.short))
	}
	if w.hold == nil {
		return
	}
	if listen.SetReadBuffer(w.socket, longReadBuffer) != nil {
		w.Release() // the connection is closed
		return
	}
	w.large = true
}

// Shrink makes the buffer short again, after the body. Its memory stays counted as long
// as the connection has received more than that.
func (w *Window) Shrink() {
	if !w.reading {
		return
	}
	w.metrics.countLongBody(w.large)
	w.reading = false
	if !w.large || listen.SetReadBuffer(w.socket, w.short) != nil {
		return
	}
	w.large = false
	if n, err := listen.Unread(w.socket); err == nil && n <= listen.HeldFactor*w.short {
		w.Release()
	}
}

// Release ends the counting of the memory, when the connection is closed at the latest.
func (w *Window) Release() {
	w.hold.Close()
	w.hold = nil
}
