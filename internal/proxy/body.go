package proxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// maxBufferedBody is how many bytes of a request body are buffered, so that the
// request can be sent to another server.
const maxBufferedBody = 64 << 10

// Body is a request body. Its first bytes are buffered, so that the request can
// be sent again as long as nothing beyond the buffer was read.
type Body struct {
	head     []byte
	buffered bool // head is the complete body
	rest     io.Reader
	length   int64 // in bytes; -1 if unknown
	consumed atomic.Bool
}

// NewBody buffers the first bytes of r, whose length is -1 if unknown. An
// announced length above the buffer's size disables buffering. If r fails
// within the buffered part, NewBody returns the error.
func NewBody(r io.Reader, length int64) (b *Body, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("proxy.NewBody: %w", err)
		}
	}()
	if r == nil || length == 0 {
		return &Body{buffered: true}, nil
	}
	if length > maxBufferedBody {
		return &Body{rest: r, length: length}, nil
	}
	var buf bytes.Buffer
	if length > 0 {
		buf.Grow(int(length))
	}
	n, err := io.CopyN(&buf, r, maxBufferedBody+1)
	switch {
	case errors.Is(err, io.EOF):
		return &Body{head: buf.Bytes(), buffered: true, length: n}, nil
	case err != nil:
		return nil, err
	}
	return &Body{head: buf.Bytes(), rest: r, length: length}, nil
}

// NewUnbufferedBody returns an unbuffered body. Reading it early would make
// net/http send 100 Continue to the client, although the next hop may refuse
// the request.
func NewUnbufferedBody(r io.Reader, length int64) *Body { return &Body{rest: r, length: length} }

// Length returns the length in bytes, or -1 if it is unknown.
func (b *Body) Length() int64 { return b.length }

// Buffered reports whether the complete body is buffered.
func (b *Body) Buffered() bool { return b.buffered }

// Replayable reports whether the body can be sent (again).
func (b *Body) Replayable() bool { return b.buffered || !b.consumed.Load() }

// Digest returns a digest of the buffered bytes and the length. Two long bodies
// that differ only beyond the buffer have the same digest.
func (b *Body) Digest() uint64 {
	var d xxhash.Digest
	d.Reset()
	fmt.Fprintf(&d, "%d:", b.length)
	d.Write(b.head)
	return d.Sum64()
}

// open returns a reader of the complete body, or false if the body can't be
// sent again. It never returns nil or http.NoBody, because http.Transport
// retries GET requests without a body on its own.
func (b *Body) open() (io.ReadCloser, bool) {
	if b.buffered {
		return io.NopCloser(bytes.NewReader(b.head)), true
	}
	if b.consumed.Load() {
		return nil, false
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.head), &consumedReader{b.rest, &b.consumed})), true
}

// consumedReader sets consumed when r, the unbuffered part of a body, is read.
type consumedReader struct {
	r        io.Reader
	consumed *atomic.Bool
}

func (c *consumedReader) Read(p []byte) (int, error) {
	c.consumed.Store(true)
	return c.r.Read(p)
}
