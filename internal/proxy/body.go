package proxy

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// bodyHead is how much of a request is kept for sending it elsewhere.
const bodyHead = 64 << 10

// Body is the body of a request. Its start is kept, so that the request can
// be sent again as long as nothing beyond the start was consumed.
type Body struct {
	head   []byte
	whole  bool
	rest   io.Reader
	length int64 // -1 when unknown
	used   atomic.Bool
}

// NewBody reads the start of r, whose length is -1 when unknown. The error of
// a body that ends early is returned here when the start holds all of it.
func NewBody(r io.Reader, length int64) (b *Body, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("proxy.NewBody: %w", err)
		}
	}()
	if r == nil || length == 0 {
		return &Body{whole: true}, nil
	}
	if length > bodyHead {
		return &Body{rest: r, length: length}, nil
	}
	var buf bytes.Buffer
	if length > 0 {
		buf.Grow(int(length))
	}
	n, err := io.CopyN(&buf, r, bodyHead+1)
	switch {
	case errors.Is(err, io.EOF):
		return &Body{head: buf.Bytes(), whole: true, length: n}, nil
	case err != nil:
		return nil, err
	}
	return &Body{head: buf.Bytes(), rest: r, length: length}, nil
}

// NewStream returns a body of which nothing is read before it is sent, so that
// the sender isn't told to go on with a body that may be refused.
func NewStream(r io.Reader, length int64) *Body { return &Body{rest: r, length: length} }

// Length returns the length in bytes, or -1 when it isn't known.
func (b *Body) Length() int64 { return b.length }

// Whole reports whether all of the body is kept.
func (b *Body) Whole() bool { return b.whole }

// Replayable reports whether the body can be sent (again).
func (b *Body) Replayable() bool { return b.whole || !b.used.Load() }

// Sum returns a digest of the kept start and the length. Two long bodies that
// differ only after the start have the same digest.
func (b *Body) Sum() uint64 {
	var d xxhash.Digest
	d.Reset()
	fmt.Fprintf(&d, "%d:", b.length)
	d.Write(b.head)
	return d.Sum64()
}

// open returns a reader over the whole body. It never returns nil or
// http.NoBody: the transport repeats GET requests without a body by itself.
func (b *Body) open() (io.ReadCloser, bool) {
	if b.whole {
		return io.NopCloser(bytes.NewReader(b.head)), true
	}
	if b.used.Load() {
		return nil, false
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.head), &marked{b.rest, &b.used})), true
}

// marked notes the first read of the part of a body that isn't kept.
type marked struct {
	r    io.Reader
	used *atomic.Bool
}

func (m *marked) Read(p []byte) (int, error) {
	m.used.Store(true)
	return m.r.Read(p)
}
