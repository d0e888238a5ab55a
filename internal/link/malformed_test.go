package link

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/fakes/heads"
	"github.com/laburnummux/laburnummux/internal/head"
)

// watched is a pool with a record of what it observed.
type watched struct {
	*Pool
	observed atomic.Int32 // heads
	refused  atomic.Int32 // malformed responses
}

func newWatched(addr string) *watched {
	w := &watched{Pool: NewPool(addr, NewBudget(maxBodyBytes*2))}
	w.Observe(func(int, http.Header) { w.observed.Add(1) })
	w.ObserveMalformed(func(string, error) { w.refused.Add(1) })
	return w
}

// Guards against a response with a malformed head that is returned as valid, teaches
// anything or leaves its connection in use, wherever the malformed line is, and against
// a valid one that is refused.
func TestMalformedHeads(t *testing.T) {
	forms := []struct{ name, before, fields, after string }{
		{"length", "HTTP/1.1 200 OK\r\n", "Id: me\r\nContent-Length: 3\r\n", "\r\nabc"},
		{"chunked", "HTTP/1.1 200 OK\r\n", "Id: me\r\nTransfer-Encoding: chunked\r\n", "\r\n3\r\nabc\r\n0\r\n\r\n"},
		{"until the end of the connection", "HTTP/1.1 200 OK\r\n", "Id: me\r\n", "\r\nabc"},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\n", "Id: me\r\nContent-Length: 3\r\n", "\r\nabc"},
		{"informational", "HTTP/1.1 103 Early Hints\r\n", "Link: a\r\n", "\r\n" + response("me", "abc")},
		{"third informational", "HTTP/1.1 100 a\r\n\r\nHTTP/1.1 102 b\r\n\r\nHTTP/1.1 103 c\r\n", "Link: a\r\n", "\r\n" + response("me", "abc")},
		{"mismatched", "HTTP/1.1 200 OK\r\n", "Id: other\r\nContent-Length: 3\r\n", "\r\nzzz" + response("me", "abc")},
		{"after a mismatched one", response("other", "zzz") + "HTTP/1.1 200 OK\r\n", "Id: me\r\nContent-Length: 3\r\n", "\r\nabc"},
		{"after an informational one", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n", "Id: me\r\nContent-Length: 3\r\n", "\r\nabc"},
	}
	lines := append(heads.Lines(), heads.LinesOf("Content-Length", "3")...)
	lines = append(lines, heads.LinesOf("Transfer-Encoding", "chunked")...)
	lines = append(lines, heads.LinesOf("Connection", "close")...)
	for _, f := range forms {
		for _, l := range lines {
			for _, fields := range l.Placed(f.fields) {
				t.Run(fmt.Sprintf("%s, %.80q", f.name, fields), func(t *testing.T) {
					is := is.New(t)
					s := newRawServer(t, f.before+fields+f.after)
					w := newWatched(s.listener.Addr().String())
					res := send(w.Pool)
					is.True(res.Sent)
					if l.Valid() {
						is.NoErr(res.Err)
						is.Equal(res.Body.String(), "abc")
						is.Equal(w.observed.Load(), int32(1))
						return
					}
					is.True(errors.Is(res.Err, ErrMalformed))
					_, ok := head.FaultOf(res.Err)
					is.True(ok)
					is.Equal(res.Status, 0)
					is.Equal(res.Body.Len(), int64(0))
					is.Equal(w.observed.Load(), int32(0))
					is.Equal(w.refused.Load(), int32(1))
					is.Equal(w.Idle(), 0)
				})
			}
		}
	}
}

// Guards against a connection that is used again after a malformed response although
// the server keeps it open, and against a malformed health response that keeps it.
func TestMalformedHeadClosesConnection(t *testing.T) {
	const bad = "HTTP/1.1 200 OK\r\nId: me\r\nX Foo: 1\r\nContent-Length: 3\r\n\r\nabc"
	tests := []struct {
		name      string
		responses []string
	}{
		{"request", []string{bad, response("me", "late")}},
		{"health", []string{response("me", "abc"), bad, response("me", "late")}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newRawServer(t, tt.responses...)
			w := newWatched(s.listener.Addr().String())
			first := send(w.Pool)
			is.Equal(first.Err == nil, tt.name == "health")
			w.Sweep(t.Context(), time.Now().Add(defaultIdleTimeout-probeLead/2), "/health")
			for end := time.Now().Add(time.Second); w.refused.Load() == 0 && time.Now().Before(end); time.Sleep(time.Millisecond) {
			}
			is.Equal(w.refused.Load(), int32(1))
			is.Equal(w.Idle(), 0)
			is.True(send(w.Pool).NewConn)
		})
	}
}

// Guards against a response that is returned although a line behind its chunks is
// malformed, also if the response is skipped. Folded lines are joined there, as trailers
// aren't passed on.
func TestMalformedTrailers(t *testing.T) {
	const chunks = "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n%s\r\n"
	for _, l := range heads.Lines() {
		for i, trailer := range l.Placed("A: b\r\n") {
			folded := i > 0 && strings.HasPrefix(strings.ReplaceAll(string(l), "\t", " "), " ") && heads.Line("A: "+l).Valid()
			for _, id := range []string{"me", "other"} {
				t.Run(fmt.Sprintf("%s, %.80q", id, trailer), func(t *testing.T) {
					is := is.New(t)
					w := newWatched(newRawServer(t, fmt.Sprintf(chunks, id, trailer)+response("me", "abc")).listener.Addr().String())
					res := send(w.Pool)
					is.True(res.Sent)
					if l.Valid() || folded {
						is.NoErr(res.Err)
						is.Equal(res.Body.String(), "abc")
						return
					}
					is.True(res.Err != nil)
					is.Equal(res.Status, 0)
					is.Equal(w.Idle(), 0)
				})
			}
		}
	}
}

// Guards against a malformed trailer that isn't told apart from a lost connection.
func TestMalformedTrailerIsReported(t *testing.T) {
	is := is.New(t)
	w := newWatched(newRawServer(t, "HTTP/1.1 200 OK\r\nId: me\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX Foo: 1\r\n\r\n").listener.Addr().String())
	res := send(w.Pool)
	is.True(errors.Is(res.Err, ErrMalformed))
	is.Equal(w.refused.Load(), int32(1))
}

// Guards against a malformed head that is received in pieces: net/http takes the part of a
// line for a complete one and drops the error, so that reading could go on behind the
// malformed line, or wait for more.
func TestMalformedHeadInPieces(t *testing.T) {
	const (
		bad   = "HTTP/1.1 200 OK\r\nA: b\r\nX Foo: 1\r\n"
		rest  = "Id: me\r\nContent-Length: 3\r\n\r\nabc"
		limit = 5 * time.Second
	)
	for n := range len(bad) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := heads.NewServer(t, bad[:n]+heads.Cut+bad[n:]+heads.Cut+rest)
			p := NewPool(s.Addr(), NewBudget(maxBodyBytes*2))
			ctx, cancel := context.WithTimeout(t.Context(), 2*limit)
			defer cancel()
			began := time.Now()
			res := sendID(ctx, p, "me")
			is.True(errors.Is(res.Err, ErrMalformed))
			is.True(time.Since(began) < limit)
		})
	}
}

// Guards against a response with unknown framing that is awaited to the end of a connection
// that stays open, that teaches something, or behind which another one is used.
func TestUnknownFraming(t *testing.T) {
	const chunks = "HTTP/1.0 200 OK\r\nId: %s\r\nConnection: keep-alive\r\nTransfer-Encoding: chunked\r\n%s\r\n3\r\nabc\r\n0\r\n\r\n"
	tests := []struct{ id, length string }{
		{"me", ""},
		{"me", "Content-Length: 13\r\n"},
		{"other", ""},
		{"other", "Content-Length: 13\r\n"},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt), func(t *testing.T) {
			is := is.New(t)
			w := newWatched(heads.NewServer(t, fmt.Sprintf(chunks, tt.id, tt.length)+response("me", "abc")).Addr())
			res := send(w.Pool)
			is.True(errors.Is(res.Err, ErrMalformed))
			is.Equal(w.observed.Load(), int32(0))
			is.Equal(w.refused.Load(), int32(1))
			is.Equal(w.Idle(), 0)
		})
	}
}
