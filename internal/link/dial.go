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
