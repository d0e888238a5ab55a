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

// rawServer sends the given raw responses to the requests of each connection,
// in order, and closes the connection after the last.
type rawServer struct {
	listener     net.Listener
	responses    []string
	connCount    atomic.Int32
	requestCount atomic.Int32
}

func newRawServer(t *testing.T, responses ...string) *rawServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{listener: l, responses: responses}
	t.Cleanup(func() { l.Close() })
	go s.run()
	return s
}

func (s *rawServer) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.connCount.Add(1)
		go s.loop(c)
	}
}

func (s *rawServer) loop(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for _, resp := range s.responses {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		r.Body.Close()
		s.requestCount.Add(1)
		if _, err := fmt.Fprint(c, resp); err != nil {
			return
		}
	}
}

func response(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func send(p *Pool) Result {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return p.Do(ctx, Request{Method: "GET", Target: "/x?y=1", Host: "h", Matches: func(h http.Header) bool { return h.Get("Id") == "me" }})
}

// Guards against a valid response that is returned as an error, and against a
// truncated, mismatched or malformed one that is returned as valid.
func TestResponses(t *testing.T) {
	tests := []struct {
		name     string
		response string
		want     error
		body     string
		skipped  int
	}{
		{"complete", response("me", "abc"), nil, "abc", 0},
		{"chunked", "HTTP/1.1 200 OK\r\nId: me\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", nil, "abc", 0},
		{"until the end of the connection", "HTTP/1.1 200 OK\r\nId: me\r\n\r\nabc", nil, "abc", 0},
		{"after a mismatched response", response("other", "zzz") + response("me", "abc"), nil, "abc", 1},
		{"after a 103", "HTTP/1.1 103 Early Hints\r\n\r\n" + response("me", "abc"), nil, "abc", 0},
		{"truncated", "HTTP/1.1 200 OK\r\nId: me\r\nContent-Length: 9\r\n\r\nabc", ErrConnLost, "", 0},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nId: me\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc", ErrConnLost, "", 0},
		{"no response", "", ErrConnLost, "", 0},
		{"switching protocols", "HTTP/1.1 101 Switching Protocols\r\nId: me\r\n\r\nabc", ErrMalformed, "", 0},
		{"status below 100", "HTTP/1.1 042 Odd\r\nId: me\r\nContent-Length: 0\r\n\r\n", ErrMalformed, "", 0},
		{"status above 599", "HTTP/1.1 742 Odd\r\nId: me\r\nContent-Length: 0\r\n\r\n", ErrMalformed, "", 0},
		{"not HTTP", "garbage\r\n\r\n", ErrMalformed, "", 0},
		{"only a mismatched response until the end of the connection", "HTTP/1.1 200 OK\r\nId: other\r\n\r\nabc", ErrMismatched, "", 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newRawServer(t, tt.response)
			res := send(NewPool(s.listener.Addr().String(), NewBudget(maxBodyBytes*2)))
			is.True(errors.Is(res.Err, tt.want))
			is.Equal(string(res.Body), tt.body)
			is.Equal(res.MismatchedResponses, tt.skipped)
			is.True(res.Sent)
		})
	}
}

// Guards against the reuse of a connection with bytes after a complete response,
// which belong to no request.
func TestExtraBytes(t *testing.T) {
	is := is.New(t)
	s := newRawServer(t, response("me", "abc")+response("me", "stale"), response("me", "new"))
	p := NewPool(s.listener.Addr().String(), NewBudget(maxBodyBytes*2))
	is.NoErr(send(p).Err)
	time.Sleep(20 * time.Millisecond)
	res := send(p)
	is.NoErr(res.Err)
	is.True(res.NewConn)
	is.Equal(string(res.Body), "abc")
	is.Equal(s.connCount.Load(), int32(2))
}

// Guards against a request that is sent on a connection that the server has
// closed while it was idle: it would be unknown whether the request has run.
func TestClosedWhileIdle(t *testing.T) {
	is := is.New(t)
	s := newRawServer(t, response("me", "abc"))
	p := NewPool(s.listener.Addr().String(), NewBudget(maxBodyBytes*2))
	is.NoErr(send(p).Err)
	time.Sleep(20 * time.Millisecond)
	is.NoErr(send(p).Err)
	is.Equal(s.requestCount.Load(), int32(2))
}

// Guards against a failed dial that is reported as a sent request, which then
// couldn't be sent to another server.
func TestNotSent(t *testing.T) {
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	addr := l.Addr().String()
	l.Close()
	res := send(NewPool(addr, NewBudget(maxBodyBytes*2)))
	is.True(errors.Is(res.Err, ErrDial))
	is.True(!res.Sent)
}

// Guards against the reuse of a connection after the idle timeout that the
// server sends, less the margin, and against a new connection for each request
// if the server sends none.
func TestKeepAlive(t *testing.T) {
	is := is.New(t)
	resp := "HTTP/1.1 200 OK\r\nId: me\r\nKeep-Alive: timeout=1\r\nContent-Length: 0\r\n\r\n"
	s := newRawServer(t, resp, resp)
	p := NewPool(s.listener.Addr().String(), NewBudget(maxBodyBytes*2))
	is.NoErr(send(p).Err)
	is.NoErr(send(p).Err)
	is.Equal(s.connCount.Load(), int32(2)) // a timeout of one second is shorter than the margin
	plain := newRawServer(t, response("me", ""), response("me", ""))
	p = NewPool(plain.listener.Addr().String(), NewBudget(maxBodyBytes*2))
	is.NoErr(send(p).Err)
	is.True(!send(p).NewConn)
}
