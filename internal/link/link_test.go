package link

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
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
	return sendID(ctx, p, "me")
}

func sendID(ctx context.Context, p *Pool, id string) Result {
	return p.Do(ctx, Request{
		Method: "GET", Target: "/x?y=1", Host: "h", ID: id,
		Matches:    func(_ int, h http.Header) bool { return h.Get("Id") == id },
		Confusable: func(status int, _ http.Header) bool { return status == http.StatusServiceUnavailable },
	})
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
		{"HTTP/1.0 with a connection until its end", "HTTP/1.0 200 OK\r\nId: me\r\n\r\nabc", nil, "abc", 0},
		{"HTTP/1.0 in chunks", "HTTP/1.0 200 OK\r\nId: me\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", ErrMalformed, "", 0},
		{"HTTP/1.0 in chunks and with a length", "HTTP/1.0 200 OK\r\nId: me\r\ntransfer-encoding: chunked\r\nContent-Length: 3\r\n\r\nabc", ErrMalformed, "", 0},
		{"truncated", "HTTP/1.1 200 OK\r\nId: me\r\nContent-Length: 9\r\n\r\nabc", ErrConnLost, "", 0},
		{"truncated chunk", "HTTP/1.1 200 OK\r\nId: me\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nabc", ErrConnLost, "", 0},
		{"no response", "", ErrConnLost, "", 0},
		{"switching protocols", "HTTP/1.1 101 Switching Protocols\r\nId: me\r\n\r\nabc", ErrMalformed, "", 0},
		{"status below 100", "HTTP/1.1 042 Odd\r\nId: me\r\nContent-Length: 0\r\n\r\n", ErrMalformed, "", 0},
		{"status 000", "HTTP/1.1 000 Odd\r\nId: me\r\nContent-Length: 0\r\n\r\n", ErrMalformed, "", 0},
		{"status with a sign", "HTTP/1.1 +20 Odd\r\nId: me\r\nContent-Length: 0\r\n\r\n", ErrMalformed, "", 0},
		{"status of four digits", "HTTP/1.1 1000 Odd\r\nId: me\r\nContent-Length: 0\r\n\r\n", ErrMalformed, "", 0},
		{"status 000 before a response", "HTTP/1.1 000 Odd\r\n\r\n" + response("me", "abc"), ErrMalformed, "", 0},
		{"status 600", "HTTP/1.1 600 Odd\r\nId: me\r\nContent-Length: 0\r\n\r\n", ErrMalformed, "", 0},
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
			is.Equal(res.Body.String(), tt.body)
			is.Equal(res.MismatchedResponses, tt.skipped)
			is.True(res.Sent)
		})
	}
}

// rejecter is a server that accepts connections and closes the first ones at once, as
// one with too many connections does. It responds on the others. The first close
// comes after a request has been sent.
type rejecter struct {
	listener net.Listener
	rejects  int
	dialed   int
	closed   chan struct{} // has a value for each connection closed at once
}

func newRejecter(t *testing.T, rejects int) *rejecter {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	s := &rejecter{listener: l, rejects: rejects, closed: make(chan struct{}, rejects)}
	go s.run()
	return s
}

// dial opens a connection and returns it once the server has closed it, unless it is
// the first one or one that the server keeps. Without that order the close can come
// after the pool has stopped waiting for it, as the machine gives the server no time.
func (s *rejecter) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := Dialer(dialTimeout).DialContext(ctx, network, addr)
	n := s.dialed
	s.dialed++
	if err != nil || n == 0 || n >= s.rejects {
		return c, err
	}
	<-s.closed
	return c, nil
}

func (s *rejecter) run() {
	for n := 0; ; n++ {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		if n == 0 {
			c.Read(make([]byte, 1)) // the request has been sent
		}
		if n < s.rejects {
			c.(*net.TCPConn).SetLinger(0) // reset
			c.Close()
			if n > 0 {
				s.closed <- struct{}{}
			}
			continue
		}
		rs := &rawServer{listener: s.listener, responses: []string{response("me", "abc")}}
		go rs.loop(c)
	}
}

// Guards against requests that are lost one after the other on new connections to a
// server that has too many: callers were told 502, which says nothing, for requests
// that had reached no server. After the first one they count as not sent.
func TestRejectedConnections(t *testing.T) {
	is := is.New(t)
	s := newRejecter(t, 4)
	p := New(Config{Addr: s.listener.Addr().String(), Budget: NewBudget(maxBodyBytes * 2), Dial: s.dial})
	first := send(p)
	is.True(errors.Is(first.Err, ErrConnLost))
	is.True(first.Sent) // it can't be known
	for range 3 {
		res := send(p)
		is.True(errors.Is(res.Err, ErrDial))
		is.True(!res.Sent)
	}
	res := send(p)
	is.NoErr(res.Err)
	is.Equal(res.Body.String(), "abc")
}

// Guards against the wait for a close that counts as a part of the server's time: a
// server seemed slower for each new connection, and got no more requests.
func TestWaitOfNewConnection(t *testing.T) {
	is := is.New(t)
	s := newRawServer(t, response("me", "abc"), response("me", "abc"))
	p := NewPool(s.listener.Addr().String(), NewBudget(maxBodyBytes*2))
	first, second := send(p), send(p)
	is.NoErr(first.Err)
	is.NoErr(second.Err)
	is.True(first.NewConn && first.Waited >= minCloseWait)
	is.True(!second.NewConn && second.Waited == 0)
}

// Guards against a response whose head breaks off and that passes as a success with
// an empty or short body, or as malformed, wherever it breaks off.
func TestCutHead(t *testing.T) {
	tests := []struct{ name, framing, body string }{
		{"length", "Content-Length: 12\r\n", "abcdefghijkl"},
		{"chunked", "Transfer-Encoding: chunked\r\n", "c\r\nabcdefghijkl\r\n0\r\n\r\n"},
		{"until the end of the connection", "", "abcdefghijkl"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			head := "HTTP/1.1 200 OK\r\nId: me\r\n" + tt.framing + "\r\n"
			for n := range head {
				s := newRawServer(t, head[:n])
				res := send(NewPool(s.listener.Addr().String(), NewBudget(maxBodyBytes*2)))
				is.True(errors.Is(res.Err, ErrConnLost))
				is.Equal(res.Body.Len(), int64(0))
				is.True(res.Sent) // it may have run
			}
			s := newRawServer(t, head+tt.body)
			is.NoErr(send(NewPool(s.listener.Addr().String(), NewBudget(maxBodyBytes*2))).Err)
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
	is.Equal(res.Body.String(), "abc")
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

func rejection(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nId: %s\r\nContent-Length: 0\r\n\r\n", id)
}

// Guards against a copy of an earlier rejection on a kept connection that is
// taken for the response to a request.
func TestCopiedRejection(t *testing.T) {
	tests := []struct {
		name      string
		ids       []string // of the requests, in order
		responses []string // on each connection
		status    int      // of the last response
		newConn   bool     // for the last request
	}{
		{"before the response to another request", []string{"a", "b"}, []string{rejection("a"), rejection("a") + response("b", "")}, 200, false},
		{"before the rejection of another request", []string{"a", "b"}, []string{rejection("a"), rejection("a") + rejection("b")}, 503, false},
		{"without an id", []string{"a", "b"}, []string{rejection("a"), rejection("") + response("b", "")}, 200, false},
		{"to the same request", []string{"a", "a"}, []string{rejection("a"), rejection("a") + response("a", "")}, 503, true},
		{"to the same request, after another one", []string{"a", "b", "a"}, []string{rejection("a"), response("b", ""), rejection("a") + response("a", "")}, 503, true},
		{"to requests without an id", []string{"", ""}, []string{rejection(""), rejection("") + response("", "")}, 503, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			p := NewPool(newRawServer(t, tt.responses...).listener.Addr().String(), NewBudget(maxBodyBytes*2))
			var res Result
			for _, id := range tt.ids {
				res = sendID(ctx, p, id)
				is.NoErr(res.Err)
			}
			is.Equal(res.Status, tt.status)
			is.Equal(res.NewConn, tt.newConn)
		})
	}
}

// Guards against the loss of a connection to a rejection: it is kept for other
// requests, until too many rejections would have to be remembered.
func TestRejectionKeepsConnection(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	const n = 2 * maxConfusable
	var responses []string
	for i := range n {
		responses = append(responses, rejection(fmt.Sprint(i)))
	}
	s := newRawServer(t, responses...)
	p := NewPool(s.listener.Addr().String(), NewBudget(maxBodyBytes*2))
	for i := range maxConfusable {
		res := sendID(ctx, p, fmt.Sprint(i))
		is.NoErr(res.Err)
		is.Equal(res.Status, http.StatusServiceUnavailable)
	}
	is.Equal(s.connCount.Load(), int32(1))
	is.Equal(p.Idle(), 0)
}

// Guards against a response of which the server's notices are missed, such as one
// with an incomplete body or to a health request, and against a notice that is
// taken from a mismatched response.
func TestObserve(t *testing.T) {
	head := func(id string) string {
		return "HTTP/1.1 503 Service Unavailable\r\nId: " + id + "\r\nContent-Length: 3\r\n\r\n"
	}
	tests := []struct {
		name      string
		responses []string
		want      []string // IDs of the observed heads
	}{
		{"complete", []string{head("me") + "abc"}, []string{"me"}},
		{"incomplete", []string{head("me")}, []string{"me"}},
		{"mismatched", []string{head("other") + "abc" + head("me") + "abc"}, []string{"me"}},
		{"health", []string{head("me") + "abc", head("health") + "abc"}, []string{"me", "health"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			p := NewPool(newRawServer(t, tt.responses...).listener.Addr().String(), NewBudget(maxBodyBytes*2))
			observed := make(chan string, 4)
			p.Observe(func(status int, h http.Header) {
				is.Equal(status, http.StatusServiceUnavailable)
				observed <- h.Get("Id")
			})
			send(p)
			p.Sweep(t.Context(), time.Now().Add(defaultIdleTimeout-probeLead/2), "/health")
			for _, id := range tt.want {
				select {
				case got := <-observed:
					is.Equal(got, id)
				case <-time.After(time.Second):
					t.Fatalf("head of %q not observed", id)
				}
			}
			is.Equal(len(observed), 0)
		})
	}
}

// Guards against a request that reaches another process at the address than the
// one that an earlier connection reached.
func TestLastConn(t *testing.T) {
	is := is.New(t)
	s := newRawServer(t, response("me", ""), response("me", ""))
	p := NewPool(s.listener.Addr().String(), NewBudget(maxBodyBytes*2))
	do := func(last uint64) Result {
		return p.Do(t.Context(), Request{Method: "GET", Target: "/x", Host: "h", Matches: anyResponse, Confusable: noResponse, LastConn: last})
	}
	first := do(0)
	is.NoErr(first.Err)
	is.True(first.LastConn > 0)
	again := do(first.LastConn)
	is.NoErr(again.Err)
	is.True(!again.NewConn) // the server closes it now
	time.Sleep(20 * time.Millisecond)
	closed := do(again.LastConn)
	is.Equal(closed.Err, ErrNoConn)
	is.True(!closed.Sent)
	is.True(do(0).NewConn)
	is.Equal(do(again.LastConn).Err, ErrNoConn) // the idle connection was opened later
	is.Equal(s.requestCount.Load(), int32(3))
}

// Guards against more idle connections than a server allows a host.
func TestMaxIdle(t *testing.T) {
	is := is.New(t)
	s := newRawServer(t, response("me", ""), response("me", ""))
	p := New(Config{Addr: s.listener.Addr().String(), Budget: NewBudget(maxBodyBytes * 2), MaxIdle: 1})
	is.NoErr(p.Probe())
	is.NoErr(p.Probe())
	is.Equal(p.Idle(), 1)
	is.NoErr(send(p).Err)
	is.Equal(p.Idle(), 1)
}

// Guards against a request that isn't sent because the earlier connections that may
// carry it are all in use.
func TestLastConnInUse(t *testing.T) {
	is := is.New(t)
	s := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { time.Sleep(50 * time.Millisecond) }))
	defer s.Close()
	p := NewPool(s.Listener.Addr().String(), NewBudget(maxBodyBytes*2))
	req := Request{Method: "GET", Target: "/", Host: "h", Matches: anyResponse, Confusable: noResponse}
	req.LastConn = p.Do(t.Context(), req).LastConn
	other := make(chan Result, 1)
	x := &sending{ctx: t.Context(), pool: p, results: other, last: req.LastConn}
	go x.run()
	res := p.Do(t.Context(), req)
	is.NoErr(res.Err)
	is.True(!res.NewConn)
	res = <-other
	is.NoErr(res.Err)
	is.True(!res.NewConn)
}
