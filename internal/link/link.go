// Package link is an HTTP/1.1 client for backend servers with a connection
// pool for each server.
//
// Unlike net/http's transport, it reports whether bytes of a request may have
// reached the server, and it never retries a request.
//
// # Usage
//
//	budget := link.NewBudget(64 << 20) // shared by all pools
//	p := link.NewPool("10.128.0.9:8080", budget)
//	res := p.Do(ctx, link.Request{Method: "GET", Target: "/a/b", Host: "h", Header: h, ID: id, Matches: matches, Confusable: rejected})
//	if res.Err != nil && !res.Sent { /* safe to send elsewhere */ }
package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync/atomic"
	"time"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept if the server
	// sends no Keep-Alive timeout.
	defaultIdleTimeout = 8 * time.Second
	// idleMargin is how much earlier than the server an idle connection is
	// closed, so that no request is sent while the server closes it.
	idleMargin = 1500 * time.Millisecond
	// maxMismatched is how many mismatched responses, which belong to other
	// requests, are skipped on a connection before it is closed.
	maxMismatched = 3
	// maxInlineBytes bounds the request bodies that are written before the
	// response is read: they fit into the socket's send buffer. Longer ones are
	// written concurrently.
	maxInlineBytes  = 8 << 10
	readBufferBytes = 4 << 10
	// inUsePollInterval is the period in which a request that needs an earlier
	// connection checks whether one in use is idle again.
	inUsePollInterval = 2 * time.Millisecond
	// maxConfusable bounds the confusable responses that are remembered for a
	// connection. It is closed after them.
	maxConfusable = 64
)

// Errors of Do.
var (
	ErrDial       = errors.New("link: dial failed")
	ErrConnLost   = errors.New("link: connection lost")
	ErrMismatched = errors.New("link: response belongs to another request")
	ErrMalformed  = errors.New("link: malformed response")
	ErrNoConn     = errors.New("link: no connection that was open before")
	ErrAbandoned  = errors.New("link: request abandoned before it was sent")
)

// lastConn is the number of the connection that was opened last.
var lastConn atomic.Uint64

type conn struct {
	net.Conn
	number uint64 // connections of all pools are numbered in the order in which they were opened
	head   *headReader
	reader *bufio.Reader // reads from head
	expiry time.Time
	probes int // health requests since the last request
	// confusable has the hashes of the IDs with a confusable response. An equal hash
	// of another ID only costs the reuse.
	confusable []uint64
}

func newConn(nc net.Conn) *conn {
	h := &headReader{source: nc}
	return &conn{
		Conn: nc, number: lastConn.Add(1), head: h, reader: bufio.NewReaderSize(h, readBufferBytes),
		expiry: time.Now().Add(defaultIdleTimeout),
	}
}

// Do sends a request and reads the complete response.
func (p *Pool) Do(ctx context.Context, r Request) (res Result) {
	var c *conn
	if !r.NewConn {
		c = p.takeIdle(time.Now(), r)
	}
	for c == nil && r.LastConn != 0 {
		if ctx.Err() != nil || !p.hasInUse(r.LastConn) {
			res.Err = ErrNoConn
			return res
		}
		time.Sleep(inUsePollInterval)
		c = p.takeIdle(time.Now(), r)
	}
	if c == nil {
		var err error
		if c, res.Waited, err = p.dial(ctx); err != nil {
			res.Err = fmt.Errorf("%w: %w", ErrDial, err)
			return res
		}
		res.NewConn = true
		p.setInUse(c, true)
	}
	defer p.setInUse(c, false)
	if ctx.Err() != nil || r.Abandoned != nil && r.Abandoned() {
		res.Err = ErrAbandoned
		p.putIdle(c)
		return res
	}
	res.LastConn = lastConn.Load()
	stop := context.AfterFunc(ctx, func() { c.Close() })
	reusable := p.exchange(ctx, c, r, maxBodyBytes, &res)
	if !stop() || !reusable || c.reader.Buffered() > 0 {
		c.Close()
		return res
	}
	p.putIdle(c)
	return res
}
