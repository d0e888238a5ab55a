package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// rawServer answers the requests of each connection with the given texts, in
// order, and closes the connection after the last.
type rawServer struct {
	l       net.Listener
	answers []string
	conns   atomic.Int32
	got     atomic.Int32
}

func newRawServer(t *testing.T, answers ...string) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{l: l, answers: answers}
	t.Cleanup(func() { l.Close() })
	go s.run()
	return s
}

func (s *rawServer) run() {
	for {
		c, err := s.l.Accept()
		if err != nil {
			return
		}
		s.conns.Add(1)
		go s.loop(c)
	}
}

func (s *rawServer) loop(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for _, a := range s.answers {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		r.Body.Close()
		s.got.Add(1)
		if _, err := fmt.Fprint(c, a); err != nil {
			return
		}
	}
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func send(p *Pool) Result {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return p.Do(ctx, Request{Method: "GET", Target: "/x?y=1", Host: "h", Mine: func(h http.Header) bool { return h.Get("Id") == "me" }})
}

func TestAnswers(t *testing.T) {
	tests := []struct {
		name    string
		answer  string
		want    error
		body    string
		skipped int
	}{
		{"whole", answer("me", "abc"), nil, "abc", 0},
		{"chunked", "HTTP/1.1 200 OK\r\nId: me\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", nil, "abc", 0},
		{"until the end of the connection", "HTTP/1.1 200 OK\r\nId: me\r\n\r\nabc", nil, "abc", 0},
		{"behind another's", answer("other", "zzz") + answer("me", "abc"), nil, "abc", 1},
		{"behind a 103", "HTTP/1.1 103 Early Hints\r\n\r\n" + answer("me", "abc"), nil, "abc", 0},
		{"truncated", "HTTP/1.1 200 OK\r\nId: me\r\nContent-Length: 9\r\n\r\nabc", ErrBroken, "", 0},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nId: me\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc", ErrBroken, "", 0},
		{"no answer", "", ErrBroken, "", 0},
		{"not HTTP", "garbage\r\n\r\n", ErrMalformed, "", 0},
		{"only another's, without an end", "HTTP/1.1 200 OK\r\nId: other\r\n\r\nabc", ErrForeign, "", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newRawServer(t, tt.answer)
			res := send(NewPool(s.l.Addr().String()))
			is.True(errors.Is(res.Err, tt.want))
			is.Equal(string(res.Body), tt.body)
			is.Equal(res.Skipped, tt.skipped)
			is.True(res.Sent)
		})
	}
}

// Bytes behind a whole answer belong to no request: the connection must not be
// used again.
func TestExtraBytes(t *testing.T) {
	is := is.New(t)
	s := newRawServer(t, answer("me", "abc")+answer("me", "stale"), answer("me", "new"))
	p := NewPool(s.l.Addr().String())
	is.NoErr(send(p).Err)
	time.Sleep(20 * time.Millisecond)
	res := send(p)
	is.NoErr(res.Err)
	is.True(res.Opened)
	is.Equal(string(res.Body), "abc")
	is.Equal(s.conns.Load(), int32(2))
}

// A connection that the server has closed while unused is noticed before a
// request is sent on it: otherwise its fate would be unknown.
func TestClosedWhileUnused(t *testing.T) {
	is := is.New(t)
	s := newRawServer(t, answer("me", "abc"))
	p := NewPool(s.l.Addr().String())
	is.NoErr(send(p).Err)
	time.Sleep(20 * time.Millisecond)
	is.NoErr(send(p).Err)
	is.Equal(s.got.Load(), int32(2))
}

// Without a listener nothing was sent, so the request may go elsewhere.
func TestNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := l.Addr().String()
	l.Close()
	res := send(NewPool(addr))
	is.True(errors.Is(res.Err, ErrDial))
	is.True(!res.Sent)
}

// A kept connection is used again until the time that the server states.
func TestKeepAlive(t *testing.T) {
	is := is.New(t)
	keep := "HTTP/1.1 200 OK\r\nId: me\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n"
	s := newRawServer(t, keep, keep)
	p := NewPool(s.l.Addr().String())
	is.NoErr(send(p).Err)
	is.NoErr(send(p).Err)
	is.Equal(s.conns.Load(), int32(2)) // one second less the margin is no time at all
	plain := newRawServer(t, answer("me", ""), answer("me", ""))
	p = NewPool(plain.l.Addr().String())
	is.NoErr(send(p).Err)
	is.True(!send(p).Opened)
}
