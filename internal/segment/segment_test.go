package segment

import (
	"bytes"
	"io"
	"testing"
	"testing/iotest"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against bodies that lose or repeat bytes at the ends of segments, that take
// more memory than announced, and against limits that are off by one.
func TestRead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := bytes.Repeat([]byte("0123456789abcdef!"), rapid.IntRange(0, 60_000).Draw(t, "blocks"))
		n := int64(len(want))
		announced := rapid.Bool().Draw(t, "announced")
		limit := max(n+rapid.Int64Range(-1, 1).Draw(t, "beyond"), 0)
		var r io.Reader = bytes.NewReader(want)
		if rapid.Bool().Draw(t, "eof with data") {
			r = iotest.DataErrReader(r)
		}
		length := int64(-1)
		if announced {
			length = n
		}
		var grown int64
		b, err := Read(r, length, limit, func(n int64) bool { grown += n; return true })
		if limit < n {
			if err != ErrTooLong {
				t.Fatalf("a body of %d bytes at a limit of %d: %v", n, limit, err)
			}
			return
		}
		if err != nil || b.Len() != n || !bytes.Equal(b.Append(nil), want) || b.Sum64() != xxhash.Sum64(want) {
			t.Fatalf("a body of %d bytes: %d bytes, %v", n, b.Len(), err)
		}
		if grown > 2*n+minBytes || announced && grown > n {
			t.Fatalf("a body of %d bytes took %d", n, grown)
		}
		var out bytes.Buffer
		for range 2 { // a body may be sent again
			out.Reset()
			if _, err = b.WriteTo(&out); err != nil || !bytes.Equal(out.Bytes(), want) {
				t.Fatalf("wrote %d of %d bytes: %v", out.Len(), n, err)
			}
		}
	})
}

// Guards against heads that lose bytes, or that are taken for complete bodies, and
// against readers that change the body.
func TestReadHead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := bytes.Repeat([]byte("0123456789abcdef!"), rapid.IntRange(0, 9_000).Draw(t, "blocks"))
		n := rapid.Int64Range(1, 200_000).Draw(t, "n")
		rest := bytes.NewReader(want)
		b, complete, err := ReadHead(rest, n, func(int64) bool { return true })
		if err != nil || complete != (int64(len(want)) < n) || b.Len() != min(n, int64(len(want))) {
			t.Fatalf("head of %d of %d bytes: %d, %t, %v", n, len(want), b.Len(), complete, err)
		}
		for range 2 { // a body may be sent again
			got, err := io.ReadAll(b.Reader())
			if err != nil || !bytes.Equal(got, want[:len(got)]) || int64(len(got)) != b.Len() {
				t.Fatalf("read %d of %d bytes: %v", len(got), b.Len(), err)
			}
		}
		if int64(rest.Len()) != max(int64(len(want))-n, 0) {
			t.Fatalf("%d bytes are left of %d behind a head of %d", rest.Len(), len(want), n)
		}
	})
}

// Guards against a complete body whose segments are used again, and against bytes of
// another body in a segment that is.
func TestRecycle(t *testing.T) {
	is := is.New(t)
	const size = 4 * maxBytes
	kept, err := Read(bytes.NewReader(bytes.Repeat([]byte("a"), size)), size, size, func(int64) bool { return true })
	is.NoErr(err)
	for range 4 {
		_, err = Read(bytes.NewReader(bytes.Repeat([]byte("b"), size-1)), size, size, func(int64) bool { return true })
		is.NoErr(err)
		_, err = Read(bytes.NewReader(bytes.Repeat([]byte("b"), size)), -1, size-1, func(int64) bool { return true })
		is.Equal(err, ErrTooLong)
		b, err := Read(bytes.NewReader(bytes.Repeat([]byte("c"), size)), -1, size, func(int64) bool { return true })
		is.NoErr(err)
		is.True(b.String() == string(bytes.Repeat([]byte("c"), size)))
	}
	is.True(kept.String() == string(bytes.Repeat([]byte("a"), size)))
}

// Guards against a body that goes on after its memory was refused.
func TestGivenUp(t *testing.T) {
	is := is.New(t)
	_, err := Read(bytes.NewReader(make([]byte, 20_000)), -1, 1<<20, func(n int64) bool { return n <= minBytes })
	is.Equal(err, ErrGivenUp)
}
