package proxy

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnummux/laburnummux/internal/segment"
)

// maxBufferedBody is how many bytes of a request body are buffered, so that the
// request can be sent to another server.
const maxBufferedBody = 64 << 10

// Body is a request body. Its first bytes are buffered, so that the request can
// be sent again as long as nothing beyond the buffer was read.
type Body struct {
	head     segment.Body
	buffered bool // head is the complete body
	rest     io.Reader
	length   int64 // in bytes; -1 if unknown
	consumed atomic.Bool
	transfer *Transfer // watches the reading of rest; may be nil
}

// NewBody buffers the first bytes of r, whose length is -1 if unknown. An
// announced length above the buffer's size disables buffering. If r fails
// within the buffered part, NewBody returns the error.
func NewBody(r io.Reader, length int64) (b *Body, err error) {
	return NewCountedBody(r, length, func(int64) bool { return true })
}

// NewCountedBody is NewBody for bodies whose memory is bounded: grow is called before
// memory is allocated, and the error wraps segment.ErrGivenUp if it returns false.
func NewCountedBody(r io.Reader, length int64, grow func(n int64) bool) (b *Body, err error) {
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
	if length > 0 {
		head, err := segment.Read(r, length, length, grow)
		if err != nil {
			return nil, err
		}
		return &Body{head: head, buffered: true, length: head.Len()}, nil
	}
	head, complete, err := segment.ReadHead(r, maxBufferedBody+1, grow)
	switch {
	case err != nil:
		return nil, err
	case complete:
		return &Body{head: head, buffered: true, length: head.Len()}, nil
	}
	return &Body{head: head, rest: r, length: length}, nil
}

// NewUnbufferedBody returns an unbuffered body. Reading it early would make
// net/http send 100 Continue to the client, although the next hop may refuse
// the request.
func NewUnbufferedBody(r io.Reader, length int64) *Body { return &Body{rest: r, length: length} }

// Watch has a transfer watch the reading of the part that isn't buffered. It is called
// before the body is sent.
func (b *Body) Watch(t *Transfer) { b.transfer = t }

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
	for _, s := range b.head.Segments() {
		d.Write(s)
	}
	return d.Sum64()
}

// open returns a reader of the complete body, or false if the body can't be
// sent again. It never returns nil or http.NoBody, because http.Transport
// retries GET requests without a body on its own.
func (b *Body) open() (io.ReadCloser, bool) {
	if b.buffered {
		return io.NopCloser(b.head.Reader()), true
	}
	if b.consumed.Load() {
		return nil, false
	}
	return io.NopCloser(io.MultiReader(b.head.Reader(), restReader{b})), true
}

// restReader reads the part of a body that isn't buffered.
type restReader struct{ body *Body }

// Read implements io.Reader.
func (r restReader) Read(p []byte) (int, error) {
	r.body.consumed.Store(true)
	r.body.transfer.begin()
	defer r.body.transfer.end()
	return r.body.rest.Read(p)
}
