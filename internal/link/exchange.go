package link

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnummux/laburnummux/internal/segment"
)

// exchange sends a request on a connection and reads its response with a body of
// at most maxBytes. It reports whether the connection can be reused.
func (p *Pool) exchange(ctx context.Context, c *conn, r Request, maxBytes int64, res *Result) (reusable bool) {
	defer func() {
		if errors.Is(res.Err, ErrMalformed) {
			p.malformed(r.ID, res.Err)
		}
	}()
	res.Sent = true
	wrote := c.send(r)
	resp, err := c.readResponse(r, res)
	if err != nil {
		res.Err = err
		return false
	}
	p.observe(resp.StatusCode, resp.Header)
	// The body isn't closed: that would read it to its end.
	h := newHold(ctx, p, func() { c.Close() })
	defer func() {
		if res.Hold == nil {
			h.close()
		}
	}()
	body, err := c.receiveBody(ctx, resp, wrote, maxBytes, h)
	if err == nil && r.KeepHold {
		if !h.keep() {
			err = fmt.Errorf("%w: %w", ErrMalformed, errGivenUp)
		} else {
			res.Hold = h.Hold
		}
	}
	if err != nil {
		res.Err = err
		return false
	}
	res.Status, res.Header, res.Body, res.Proto = resp.StatusCode, resp.Header, body, resp.Proto
	return c.keep(r, resp, wrote)
}

// send writes a request. The result of the writing of a long body comes later.
func (c *conn) send(r Request) (wrote <-chan error) {
	head, done := r.encodeHead(), make(chan error, 1)
	if r.Body.Len() <= maxInlineBytes {
		_, err := c.Write(r.Body.Append(head))
		done <- err
		return done
	}
	w := &writer{conn: c, head: head, body: r.Body, done: done}
	go w.run()
	return done
}

// receiveBody reads the body of a response to its end.
func (c *conn) receiveBody(ctx context.Context, resp *http.Response, wrote <-chan error, maxBytes int64, h *hold) (body segment.Body, err error) {
	body, err = readBody(ctx, resp, maxBytes, h)
	if err == nil && delimitedByClose(resp) {
		err = c.checkEnd(wrote)
	}
	return body, err
}

// keep records how a connection can be used after a complete response. It reports whether it
// can be reused.
func (c *conn) keep(r Request, resp *http.Response, wrote <-chan error) (reusable bool) {
	select {
	case err := <-wrote:
		// A server may respond before it has read a long body. Unless the complete
		// body was written, the server still expects the rest on this connection,
		// which can't be reused.
		if err != nil {
			return false
		}
	default:
		return false
	}
	if r.Confusable(resp.StatusCode, resp.Header) {
		c.confusable = append(c.confusable, xxhash.Sum64String(r.ID))
	}
	c.expiry = time.Now().Add(idleTimeout(resp.Header))
	return !resp.Close && len(c.confusable) < maxConfusable
}

// idleTimeout returns how long a connection may stay idle after a response with
// the given header.
func idleTimeout(h http.Header) time.Duration {
	for _, p := range strings.Split(h.Get("Keep-Alive"), ",") {
		if v, ok := strings.CutPrefix(strings.TrimSpace(p), "timeout="); ok {
			if n, err := strconv.Atoi(v); err == nil && n >= 0 {
				return max(time.Duration(n)*time.Second-idleMargin, 0)
			}
		}
	}
	return defaultIdleTimeout
}

// readResponse returns the response to a request. It skips mismatched responses
// that precede it.
func (c *conn) readResponse(r Request, res *Result) (*http.Response, error) {
	req := &http.Request{Method: r.Method}
	c.head.reset()
	for {
		resp, err := c.readHead(req)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= 100 && resp.StatusCode < 200 && resp.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if resp.StatusCode < 200 || resp.StatusCode > 599 { // no request asks for another protocol
			return nil, fmt.Errorf("%w: status %d", ErrMalformed, resp.StatusCode)
		}
		if r.Matches(resp.StatusCode, resp.Header) {
			return resp, nil
		}
		if res.MismatchedResponses++; res.MismatchedResponses > maxMismatched || resp.Close || resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
			return nil, ErrMismatched
		}
		if err := skipBody(resp); err != nil {
			return nil, err
		}
	}
}
