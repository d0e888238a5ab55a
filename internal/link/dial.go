package link

import (
	"cmp"
	"context"
	"errors"
	"time"
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
func (p *Pool) dial(ctx context.Context) (*conn, error) {
	began := time.Now()
	nc, err := p.cfg.Dial(ctx, "tcp", p.cfg.Addr)
	if err != nil {
		return nil, err
	}
	c := newConn(nc)
	select {
	case <-ctx.Done():
	case <-time.After(min(max(2*time.Since(began), minCloseWait), maxCloseWait)):
	}
	if ctx.Err() == nil && c.hasNoInput() {
		return c, nil
	}
	c.Close()
	return nil, cmp.Or(ctx.Err(), errRejected)
}
