package entry

import (
	"crypto/tls"
	"net"
	"sync/atomic"

	"github.com/laburnummux/laburnummux/internal/budget"
	"github.com/laburnummux/laburnummux/internal/caller"
	"github.com/laburnummux/laburnummux/internal/listen"
)

// intake bounds the memory and the number of callers' connections.
type intake struct {
	budget   *budget.Budget
	conns    *caller.Conns
	metrics  *caller.Metrics
	maxConns int // bound of conns
	capacity caller.Capacity
}

// bounds returns the bounds of callers' connections.
func (in *intake) bounds() listen.Bounds { return in.capacity.CallerBounds(in.maxConns) }

// otherBounds returns the bounds of connections that aren't those of callers, see
// caller.ShareOfConns.
func (in *intake) otherBounds(divisor int) listen.Bounds {
	return in.capacity.OtherBounds(caller.ShareOfConns(in.maxConns, divisor))
}

// peerBounds returns the bounds of connections for batches of other hosts.
func (in *intake) peerBounds() listen.Bounds {
	b := in.otherBounds(peerConnShare)
	if b.ReadBuffer > 0 {
		b.ReadBuffer = peerReadBuffer
	}
	return b
}

// callerListener accepts callers' connections within the bounds of an intake.
type callerListener struct {
	net.Listener
	intake           *intake
	readBuffer       int         // bytes of the connections' receive buffers; 0: the system sets the size
	tls              *tls.Config // nil: plain text
	failedHandshakes *atomic.Uint64
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		window, err := caller.WindowOf(nc, l.readBuffer, l.intake.metrics)
		if err != nil {
			nc.Close()
			continue
		}
		c := &callerConn{Conn: nc, raw: nc, tracked: caller.NewTracked(nc), intake: l.intake, window: window}
		c.giveUp = c.endRead
		if l.tls != nil {
			c.tls, c.failedHandshakes = tls.Server(nc, l.tls), l.failedHandshakes
			c.Conn = c.tls
		}
		if l.intake.conns.Admit(c.tracked) {
			return c, nil
		}
		nc.Close()
	}
}
