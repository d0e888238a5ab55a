// Package segment holds bodies of requests and responses in segments, which grow
// with the bytes received. A body of n bytes takes n bytes of memory and at most one
// segment more, and is sent and hashed without a copy.
//
// # Usage
//
//	b, err := segment.Read(r, length, maxBytes, func(n int64) bool { return hold.Add(n) })
//	hash := b.Sum64()
//	_, err = b.WriteTo(conn)
package segment

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"

	"github.com/cespare/xxhash/v2"
)

const (
	// minBytes and maxBytes are the lengths of the first and of the longest segments.
	// In between, a segment is as long as all before it.
	minBytes = 4 << 10
	maxBytes = 256 << 10
)

// unused has segments of maxBytes, as arrays, of bodies that ended with an error. Nothing
// else refers to them. Without it, bodies that are given up under pressure would stay
// in memory as garbage beside those that replace them.
var unused sync.Pool

// newSegment returns an empty segment with a capacity. Its bytes beyond its length may
// be those of another body.
func newSegment(size int64) []byte {
	if size == maxBytes {
		if a, ok := unused.Get().(*[maxBytes]byte); ok {
			return a[:0]
		}
	}
	return make([]byte, 0, size)
}

// recycle has the segments used for other bodies.
func (b Body) recycle() {
	for _, s := range b.segments {
		if cap(s) == maxBytes {
			unused.Put((*[maxBytes]byte)(s[:maxBytes]))
		}
	}
}

// Errors of Read.
var (
	ErrTooLong = errors.New("segment: body exceeds the limit")
	ErrGivenUp = errors.New("segment: body given up: bodies exceed the limit for their memory")
)

// Body is a body that isn't changed any more. Its zero value is empty.
type Body struct {
	segments [][]byte
	length   int64
}

// Of returns a body with the given bytes, which must not be changed.
func Of(p []byte) Body {
	if len(p) == 0 {
		return Body{}
	}
	return Body{segments: [][]byte{p}, length: int64(len(p))}
}

// Len returns the number of bytes.
func (b Body) Len() int64 { return b.length }

// Segments returns the segments, which must not be changed.
func (b Body) Segments() [][]byte { return b.segments }

// Sum64 returns the xxhash of the bytes.
func (b Body) Sum64() uint64 {
	d := xxhash.New()
	for _, s := range b.segments {
		d.Write(s) // never fails
	}
	return d.Sum64()
}

// WriteTo implements io.WriterTo.
func (b Body) WriteTo(w io.Writer) (int64, error) {
	bufs := append(net.Buffers(nil), b.segments...) // WriteTo changes it
	return bufs.WriteTo(w)
}

// Reader returns a reader of the bytes. For at most one segment it is a bytes.Reader,
// which net/http writes in one packet with the header, and takes for empty if it is.
func (b Body) Reader() io.Reader {
	switch len(b.segments) {
	case 0:
		return bytes.NewReader(nil)
	case 1:
		return bytes.NewReader(b.segments[0])
	}
	bufs := append(net.Buffers(nil), b.segments...) // Read changes it
	return &bufs
}

// Append appends the bytes to p.
func (b Body) Append(p []byte) []byte {
	for _, s := range b.segments {
		p = append(p, s...)
	}
	return p
}

// String returns a copy of the bytes.
func (b Body) String() string { return string(b.Append(nil)) }

// Read reads a body to its end. length is its announced length, or negative if it
// wasn't announced; more than limit bytes give ErrTooLong. grow is called before each
// segment is allocated; Read returns ErrGivenUp if it returns false.
func Read(r io.Reader, length, limit int64, grow func(n int64) bool) (Body, error) {
	if length > limit {
		return Body{}, ErrTooLong
	}
	if length >= 0 {
		limit = length
	}
	var b Body
	if err := b.readAll(r, limit, grow); err != nil {
		b.recycle()
		return Body{}, err
	}
	return b, nil
}

// ReadHead reads the first bytes of a body, at most n. complete reports that the body
// has ended before. grow is used as by Read.
func ReadHead(r io.Reader, n int64, grow func(n int64) bool) (b Body, complete bool, err error) {
	if err = b.readAll(io.LimitReader(r, n), n, grow); err != nil {
		b.recycle()
		return Body{}, false, err
	}
	return b, b.length < n, nil
}

// readAll appends the bytes of r up to its end.
func (b *Body) readAll(r io.Reader, limit int64, grow func(n int64) bool) error {
	var last []byte
	var beyond [1]byte // for the read that finds the end of a body at the limit
	for {
		if len(last) == cap(last) && b.length < limit {
			size := min(max(b.length, minBytes), maxBytes, limit-b.length)
			if !grow(size) {
				return ErrGivenUp
			}
			last = newSegment(size)
			b.segments = append(b.segments, nil)
		}
		free := last[len(last):cap(last)]
		if len(free) == 0 {
			free = beyond[:]
		}
		n, err := r.Read(free)
		if n > 0 && len(last) == cap(last) {
			return ErrTooLong
		}
		last = last[:len(last)+n]
		b.length += int64(n)
		if len(b.segments) > 0 {
			b.segments[len(b.segments)-1] = last
		}
		switch {
		case err == io.EOF:
			return nil
		case err != nil:
			return err
		}
	}
}
