package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fakes/heads"
	"github.com/laburnummux/laburnummux/internal/intent"
)

// countingServer is a server that counts the requests that it handles.
type countingServer struct {
	addr    string
	handled atomic.Int32
}

func newCountingServer(t *testing.T) *countingServer {
	limits := intent.Limits{HeaderBytes: 8000, BodyBytes: 1000, HeaderWait: 5 * clock.Second, Idle: 5 * clock.Second}
	c := &countingServer{}
	s := New(Config{Limits: func() intent.Limits { return limits }, Log: zap.NewNop(), Handle: func(context.Context, *Request) Response {
		c.handled.Add(1)
		return Response{Status: http.StatusOK}
	}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go (&acceptor{server: s, listener: l}).run()
	c.addr = l.Addr().String()
	return c
}

// send sends bytes in one piece and returns the statuses of the responses until the server
// closes the connection, at most n.
func (s *countingServer) send(t *testing.T, p string, n int) (statuses []int) {
	c, err := net.Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err = io.WriteString(c, p); err != nil {
		t.Fatal(err)
	}
	for reader := bufio.NewReader(c); len(statuses) < n; {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			break
		}
		statuses = append(statuses, resp.StatusCode)
	}
	return statuses
}

// Guards against a request with a malformed head that is handled, as servers and hosts
// may differ in where it ends, or that is followed by others, and against a valid one that
// is rejected.
func TestMalformedHead(t *testing.T) {
	forms := []struct{ name, before, fields, after string }{
		{"without a body", "GET /a HTTP/1.1\r\n", "Host: h\r\n", "\r\n"},
		{"length", "POST /a HTTP/1.1\r\n", "Host: h\r\nContent-Length: 3\r\n", "\r\nabc"},
		{"chunked", "POST /a HTTP/1.1\r\n", "Host: h\r\nTransfer-Encoding: chunked\r\n", "\r\n3\r\nabc\r\n0\r\n\r\n"},
		{"after an empty line", "\r\nGET /a HTTP/1.1\r\n", "Host: h\r\n", "\r\n"},
	}
	const next = "GET /b HTTP/1.1\r\nHost: h\r\n\r\n"
	lines := append(heads.Lines(), heads.LinesOf("Content-Length", "3")...)
	lines = append(lines, heads.LinesOf("Transfer-Encoding", "chunked")...)
	lines = append(lines, heads.LinesOf("Laburnummux-Attempt-Id", "1")...)
	s := newCountingServer(t)
	for _, f := range forms {
		for _, l := range lines {
			for _, fields := range l.Placed(f.fields) {
				for _, pipelined := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, %v, %.80q", f.name, pipelined, fields), func(t *testing.T) {
						is := is.New(t)
						s.handled.Store(0)
						request, want, count := f.before+fields+f.after+next, []int{200, 200}, int32(2)
						if pipelined {
							request, want, count = next+request, []int{200, 200, 200}, 3
						}
						if !l.Valid() {
							want, count = append(want[:len(want)-2], 400), count-2
						}
						is.Equal(s.send(t, request, len(want)), want)
						is.Equal(s.handled.Load(), count)
					})
				}
			}
		}
	}
}

// Guards against a request that is handled although a name of its trailer is malformed.
func TestMalformedTrailer(t *testing.T) {
	tests := []struct {
		trailer string
		status  int
	}{
		{"X-Foo: 1", 200},
		{"X Foo: 1", 400},
		{"X-Foo : 1", 400},
		{"X\x01: 1", 400},
	}
	for _, tt := range tests {
		t.Run(tt.trailer, func(t *testing.T) {
			is := is.New(t)
			s := newCountingServer(t)
			statuses := s.send(t, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"+tt.trailer+"\r\n\r\n", 1)
			is.Equal(statuses, []int{tt.status})
			is.Equal(s.handled.Load() == 1, tt.status == 200)
		})
	}
}

// Guards against a malformed header that net/http's server accepts, which serves the
// requests of `serve` and of operators. It joins folded lines.
func TestMalformedHeadOfNetHTTP(t *testing.T) {
	const maxBytes = 1 << 20
	var handled atomic.Int32
	bounded := startBoundedServer(t, 0, maxBytes, Requests, http.HandlerFunc(func(http.ResponseWriter, *http.Request) { handled.Add(1) }))
	s := &countingServer{addr: bounded.addr}
	for _, l := range heads.Lines() {
		for i, fields := range l.Placed("Host: h\r\nX: y\r\n") {
			if i > 0 && strings.HasPrefix(strings.ReplaceAll(string(l), "\t", " "), " ") {
				continue
			}
			t.Run(fmt.Sprintf("%.80q", fields), func(t *testing.T) {
				is := is.New(t)
				handled.Store(0)
				want := http.StatusOK
				if !l.Valid() {
					want = http.StatusBadRequest
				}
				is.Equal(s.send(t, "GET / HTTP/1.1\r\n"+fields+"\r\n", 1), []int{want})
				is.Equal(handled.Load() == 1, l.Valid())
			})
		}
	}
}

// Guards against a rejection whose line doesn't name the fault, also if the line of the
// header is received in two parts.
func TestMalformedHeadIsReported(t *testing.T) {
	const request = "GET /a HTTP/1.1\r\nHost: h\r\nX Foo: 1\r\n\r\n"
	limits := intent.Limits{HeaderBytes: 1000, BodyBytes: 100, HeaderWait: 5 * clock.Second, Idle: 5 * clock.Second}
	for n := range len(request) {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			is := is.New(t)
			r := newRejecting(t, limits)
			c, err := net.Dial("tcp", r.listener.Addr().String())
			is.NoErr(err)
			defer c.Close()
			_, err = io.WriteString(c, request[:n])
			is.NoErr(err)
			time.Sleep(5 * time.Millisecond) // usually enough for the host to read the first part
			_, err = io.WriteString(c, request[n:])
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusBadRequest)
			is.Equal(r.rejections(t), map[string]int{"header 400": 1})
			m := r.logs.FilterMessage("request rejected").All()[0].ContextMap()
			is.Equal(m["error"], "malformed head: name: byte 0x20 in line 3")
		})
	}
}

// Guards against a request of HTTP/1.0 with a transfer encoding that is handled without its
// body: net/http ignores the field, and takes the chunks for the next request.
func TestTransferEncodingOfHTTP10(t *testing.T) {
	tests := []struct {
		line, fields, body string
		status             int
	}{
		{"POST /a HTTP/1.0", "Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n", 400},
		{"POST /a HTTP/1.0", "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", "abc", 400},
		{"POST /a HTTP/1.0", "transfer-encoding: chunked\r\nConnection: keep-alive\r\n", "3\r\nabc\r\n0\r\n\r\n", 400},
		{"POST /a HTTP/0.9", "Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n", 400},
		{"POST /a HTTP/1.0", "Content-Length: 3\r\n", "abc", 200},
		{"POST /a HTTP/1.1", "Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n", 200},
		{"POST /HTTP/1.0 HTTP/1.1", "Transfer-Encoding: chunked\r\n", "3\r\nabc\r\n0\r\n\r\n", 200},
	}
	for _, tt := range tests {
		t.Run(tt.line+" "+tt.fields, func(t *testing.T) {
			is := is.New(t)
			s := newCountingServer(t)
			is.Equal(s.send(t, tt.line+"\r\nHost: h\r\n"+tt.fields+"\r\n"+tt.body, 1), []int{tt.status})
			is.Equal(s.handled.Load() == 1, tt.status == 200)
		})
	}
}
