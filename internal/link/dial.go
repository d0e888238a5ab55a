package link

import (
	"context"
	"errors"
	"time"
)

const (
	// rejectionMemory is how long after the loss of a new connection a pool checks
	// new ones before it uses them. A server with too many connections, or a long
	// queue, accepts and closes the next one.
	rejectionMemory = 2 * time.Second
	// minRejectionWait and maxRejectionWait bound the wait for such a close.
	minRejectionWait = 2 * time.Millisecond
	maxRejectionWait = 20 * time.Millisecond
)

var errRejected = errors.New("server closed the new connection")

// dial opens a connection. If the server has lately closed a new one, it waits about
// as long as the server needs to close this one too: a request on it would be lost,
// and it would be unknown whether it has run.
func (p *Pool) dial(ctx context.Context) (*conn, error) {
	began := time.Now()
	nc, err := p.cfg.Dial(ctx, "tcp", p.cfg.Addr)
	if err != nil {
		return nil, err
	}
	c := newConn(nc)
	if !p.rejectedLately(began) {
		return c, nil
	}
	select {
	case <-ctx.Done():
	case <-time.After(min(max(2*time.Since(began), minRejectionWait), maxRejectionWait)):
	}
	if ctx.Err() == nil && c.hasNoInput() {
		return c, nil
	}
	c.Close()
	if err = ctx.Err(); err == nil {
		p.noteRejection(time.Now())
		err = errRejected
	}
	return nil, err
}

// noteRejection records that the server closed a new connection without a response.
func (p *Pool) noteRejection(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rejectedAt = now
}

func (p *Pool) rejectedLately(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.rejectedAt.IsZero() && now.Sub(p.rejectedAt) < rejectionMemory
}
