package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/budget"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/intent"
	"github.com/laburnummux/laburnummux/internal/segment"
)

const testBodyBytes = 1 << 20

// startBounded starts a Server with a budget for two bodies of testBodyBytes.
func startBounded(t *testing.T, maxConns int, handle func(ctx context.Context, r *Request) Response) (b *budget.Budget, addr string) {
	t.Helper()
	b = budget.New(2*testBodyBytes + testBodyBytes/2)
	limits := intent.Limits{HeaderBytes: 8000, BodyBytes: testBodyBytes, HeaderWait: 10 * clock.Second, Idle: 10 * clock.Second}
	s := New(Config{Handle: handle, Limits: func() intent.Limits { return limits }, Log: zap.NewNop(), Budget: b, MaxConns: maxConns})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	a := &acceptor{server: s, listener: l}
	go a.run()
	return b, l.Addr().String()
}

// client is a caller's connection.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func connect(t *testing.T, addr string) *client {
	t.Helper()
	return connectFrom(t, "127.0.0.1", addr)
}

func connectFrom(t *testing.T, from, addr string) *client {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	c, err := d.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if err = c.SetDeadline(time.Now().Add(10 * time.Second)); err != nil {
		t.Fatal(err)
	}
	return &client{Conn: c, reader: bufio.NewReader(c)}
}

// post sends the head of a request with a body, and the first n bytes of that.
func (c *client) post(t *testing.T, length, n int) {
	t.Helper()
	if _, err := fmt.Fprintf(c, "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", length, strings.Repeat("x", n)); err != nil {
		t.Fatal(err)
	}
}

// response returns the status, the header and the length of the body of the next
// response.
func (c *client) response(t *testing.T) (status int, h http.Header, length int64) {
	t.Helper()
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		t.Fatal(err)
	}
	if length, err = io.Copy(io.Discard, resp.Body); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, resp.Header, length
}

// awaitBytes waits until the budget has at least, or with least = 0 exactly, a number
// of bytes.
func awaitBytes(t *testing.T, b *budget.Budget, least int64) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if n := b.Used(); n >= least && (least > 0 || n == 0) {
			return
		}
	}
	t.Fatalf("%d bytes in use, not %d", b.Used(), least)
}

func respondLength(_ context.Context, r *Request) Response {
	return Response{Status: 200, Body: segment.Of(fmt.Append(nil, r.Body.Len()))}
}

// Guards against requests that are given up with a status that doesn't say so, after
// they were handled, or although others have made no progress.
func TestRequestGivenUp(t *testing.T) {
	tests := []struct {
		name    string
		stalled bool
		status  int
	}{
		{"with progress", false, http.StatusServiceUnavailable},
		{"without progress", true, http.StatusRequestTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b, addr := startBounded(t, 0, respondLength)
			first, second, third := connect(t, addr), connect(t, addr), connect(t, addr)
			first.post(t, testBodyBytes, testBodyBytes-1)
			awaitBytes(t, b, testBodyBytes)
			if tt.stalled {
				time.Sleep(budget.StallTime + 100*time.Millisecond)
			}
			second.post(t, testBodyBytes-1000, testBodyBytes-1001)
			awaitBytes(t, b, 2*testBodyBytes-1000)
			third.post(t, testBodyBytes-2000, testBodyBytes-2000)
			status, h, _ := first.response(t)
			is.Equal(status, tt.status)
			is.Equal(h.Get("Retry-After") != "", status == http.StatusServiceUnavailable)
			_, err := first.reader.ReadByte()
			is.True(err != nil) // the connection is closed
			status, _, _ = third.response(t)
			is.Equal(status, http.StatusOK)
			_, err = second.Write([]byte("x"))
			is.NoErr(err)
			status, _, _ = second.response(t)
			is.Equal(status, http.StatusOK)
			awaitBytes(t, b, 0)
		})
	}
}

// Guards against memory of requests that stays counted, or held, after the request
// has ended in any way.
func TestMemoryReleased(t *testing.T) {
	tests := []struct {
		name string
		send string
	}{
		{"disconnect in the header", "GET /a HTTP/1.1\r\nHost: h\r\n"},
		{"disconnect in the body", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 100000\r\n\r\n" + strings.Repeat("x", 50_000)},
		{"malformed", "GET\r\n\r\n"},
		{"malformed chunk", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n"},
		{"too long", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9999999\r\n\r\n"},
		{"pipelined", strings.Repeat("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabc", 20)},
		{"after the last request", "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\nGET /a HTTP/1.1\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b, addr := startBounded(t, 0, respondLength)
			c := connect(t, addr)
			_, err := io.WriteString(c, tt.send)
			is.NoErr(err)
			time.Sleep(20 * time.Millisecond)
			c.Close()
			awaitBytes(t, b, 0)
			is.Equal(b.Open(), 0)
		})
	}
}

// Guards against bodies of requests that were answered and wait for the response to
// an earlier request of their connection.
func TestPipelinedBodiesReleased(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	b, addr := startBounded(t, 0, func(ctx context.Context, r *Request) Response {
		if r.Method == http.MethodGet {
			<-release
		}
		return respondLength(ctx, r)
	})
	c := connect(t, addr)
	_, err := io.WriteString(c, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	for range 8 {
		c.post(t, testBodyBytes/4, testBodyBytes/4)
	}
	time.Sleep(100 * time.Millisecond)
	is.True(b.Used() < testBodyBytes/8)
	close(release)
	for range 9 {
		status, _, _ := c.response(t)
		is.Equal(status, http.StatusOK)
	}
}

// Guards against responses that callers don't read and that keep the memory, and
// against the same for callers that read them.
func TestUnreadResponses(t *testing.T) {
	is := is.New(t)
	var b *budget.Budget
	body := segment.Of(make([]byte, testBodyBytes))
	b, addr := startBounded(t, 0, func(context.Context, *Request) Response {
		h := b.NewHold("server", func() {})
		if !h.Add(body.Len()) || !h.Keep() {
			h.Close()
			return Response{Status: http.StatusBadGateway}
		}
		return Response{Status: 200, Body: body, Hold: h}
	})
	unread := connect(t, addr)
	_, err := io.WriteString(unread, strings.Repeat("GET /a HTTP/1.1\r\nHost: h\r\n\r\n", 16))
	is.NoErr(err)
	time.Sleep(200 * time.Millisecond)
	is.True(b.Used() <= 3*testBodyBytes)
	for range 4 {
		c := connect(t, addr)
		_, err = io.WriteString(c, "GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		status, _, length := c.response(t)
		is.Equal(status, http.StatusOK)
		is.Equal(length, body.Len())
	}
	unread.Close()
	awaitBytes(t, b, 0)
}

// Guards against a legal body that is cut because its chunks take more bytes than it.
func TestChunksOfOneByte(t *testing.T) {
	is := is.New(t)
	_, addr := startBounded(t, 0, respondLength)
	c := connect(t, addr)
	_, err := io.WriteString(c, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+strings.Repeat("1\r\nx\r\n", testBodyBytes)+"0\r\n\r\n")
	is.NoErr(err)
	status, _, _ := c.response(t)
	is.Equal(status, http.StatusOK)
}

// Guards against a bound of connections that closes one with a request in progress,
// or refuses a caller while there are idle connections.
func TestMaxConns(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	_, addr := startBounded(t, 3, func(ctx context.Context, r *Request) Response {
		if r.Path == "/wait" {
			<-release
		}
		return respondLength(ctx, r)
	})
	send := func(c *client, s string) {
		_, err := io.WriteString(c, s)
		is.NoErr(err)
	}
	const request = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	const waiting = "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n"
	busy, idle, incomplete := connect(t, addr), connect(t, addr), connect(t, addr)
	send(idle, request)
	idle.response(t)
	send(busy, waiting)
	send(incomplete, "GET /a HTTP/1.1\r\n")
	time.Sleep(50 * time.Millisecond)

	second := connect(t, addr) // closes the idle connection
	send(second, waiting)
	_, err := idle.reader.ReadByte()
	is.Equal(err, io.EOF)
	time.Sleep(50 * time.Millisecond)

	third := connect(t, addr) // closes the one with an incomplete request
	send(third, waiting)
	_, err = incomplete.reader.ReadByte()
	is.True(err != nil)
	time.Sleep(50 * time.Millisecond)

	refused := connect(t, addr)
	_, err = refused.reader.ReadByte()
	is.True(err != nil)
	close(release)
	for _, c := range []*client{busy, second, third} {
		status, _, _ := c.response(t)
		is.Equal(status, http.StatusOK)
	}
}

// Guards against new connections that are closed as idle, to make room for others, before
// their callers could send a request: ordinary ones beside a crowd of incomplete requests.
func TestNewConnectionIsKept(t *testing.T) {
	is := is.New(t)
	_, addr := startBounded(t, 4, func(context.Context, *Request) Response { return Response{Status: 200} })
	for range 3 {
		connect(t, addr).post(t, 100, 50)
	}
	ordinary := connectFrom(t, "127.0.0.2", addr)
	for range 3 {
		connect(t, addr).post(t, 100, 50)
	}
	time.Sleep(50 * time.Millisecond)
	ordinary.post(t, 100, 100)
	status, _, _ := ordinary.response(t)
	is.Equal(status, 200)
}

// Guards against a request that is closed to make room while it is being sent, beside new
// connections from other addresses that send nothing.
func TestRequestBesideNewConnections(t *testing.T) {
	is := is.New(t)
	_, addr := startBounded(t, 4, func(context.Context, *Request) Response { return Response{Status: 200} })
	ordinary := connect(t, addr)
	ordinary.post(t, 100, 50)
	for i := range 8 {
		connectFrom(t, fmt.Sprintf("127.0.1.%d", i+1), addr)
		time.Sleep(10 * time.Millisecond)
	}
	ordinary.Write(make([]byte, 50)) // fails if the connection was closed
	status, _, _ := ordinary.response(t)
	is.Equal(status, 200)
}

// Guards against an ordinary request that is refused beside callers that don't read their
// responses, or that stopped within a request, on all connections.
func TestRequestBesideStoppedCallers(t *testing.T) {
	tests := []struct {
		name string
		stop func(t *testing.T, c *client)
	}{
		{"response", func(t *testing.T, c *client) { c.post(t, 1, 1) }},
		{"body", func(t *testing.T, c *client) { c.post(t, 100, 50) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			body := segment.Of(make([]byte, 32<<20))
			_, addr := startBounded(t, 4, func(_ context.Context, r *Request) Response {
				if r.Body.Len() == 1 {
					return Response{Status: 200, Body: body}
				}
				return Response{Status: 200}
			})
			for i := range 4 {
				tt.stop(t, connectFrom(t, fmt.Sprintf("127.0.1.%d", i+1), addr))
			}
			time.Sleep(unreadTime + 200*time.Millisecond)
			ordinary := connect(t, addr)
			ordinary.post(t, 100, 50)
			for i := range 3 { // the stopped ones make room for these
				connectFrom(t, fmt.Sprintf("127.0.2.%d", i+1), addr)
			}
			ordinary.Write(make([]byte, 50)) // fails if the connection was closed
			status, _, _ := ordinary.response(t)
			is.Equal(status, 200)
		})
	}
}

// Guards against requests that wait for memory after their connections were closed to make
// room for others: they would be in no bound any more.
func TestEvictedWhileWaiting(t *testing.T) {
	is := is.New(t)
	b, addr := startBounded(t, 4, func(context.Context, *Request) Response { return Response{Status: 200} })
	h := holdWithoutRoom(t, b)
	var conns []net.Conn
	for range 20 {
		c := connect(t, addr)
		c.post(t, testBodyBytes, testBodyBytes/2)
		conns = append(conns, c)
	}
	is.Equal(countClosed(conns), 16)
	awaitOpen(t, b, 4+1)
	h.Close()
	c := connect(t, addr)
	c.post(t, 100, 100)
	status, _, _ := c.response(t)
	is.Equal(status, 200)
}

// holdWithoutRoom returns a hold that was given up and still has all bytes of the budget,
// so that others wait for them.
func holdWithoutRoom(t *testing.T, b *budget.Budget) *budget.Hold {
	t.Helper()
	h := b.NewHold("other", func() {})
	if !h.Add(2*testBodyBytes + testBodyBytes/2) {
		t.Fatal("the budget isn't empty")
	}
	h.Cancel()
	return h
}

// countClosed returns how many connections the server has closed without a response.
func countClosed(conns []net.Conn) (n int) {
	for _, c := range conns {
		if isClosed(c, 500*time.Millisecond) {
			n++
		}
	}
	return n
}

// awaitOpen waits until a budget has n holds.
func awaitOpen(t *testing.T, b *budget.Budget, n int) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); b.Open() != n; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d holds are open, want %d", b.Open(), n)
		}
	}
}
