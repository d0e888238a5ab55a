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
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/laburnummux/laburnummux/internal/budget"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/intent"
)

// rejecting is a server whose log and metrics are read by a test.
type rejecting struct {
	listener net.Listener
	logs     *observer.ObservedLogs
	registry *prometheus.Registry
	server   *Server
}

func newRejecting(t *testing.T, limits intent.Limits) *rejecting {
	core, logs := observer.New(zap.InfoLevel)
	r := &rejecting{logs: logs, registry: prometheus.NewRegistry()}
	b := budget.New(DefaultBudget)
	r.server = New(Config{
		Handle: func(context.Context, *Request) Response { return Response{Status: http.StatusOK} },
		Limits: func() intent.Limits { return limits }, Version: func() uint64 { return 7 },
		Log: zap.New(core), Budget: b, Metrics: NewMetrics(r.registry, b),
	})
	var err error
	if r.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { r.listener.Close() })
	a := &acceptor{server: r.server, listener: r.listener}
	go a.run()
	return r
}

// send sends a part of a request on a connection of its own, and returns the status of
// the response, or 0 if the connection is closed without one.
func (r *rejecting) send(t *testing.T, part string) (status int) {
	c, err := net.Dial("tcp", r.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	if _, err = io.WriteString(c, part); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return resp.StatusCode
}

// rejections returns the counter of rejections by "reason status".
func (r *rejecting) rejections(t *testing.T) map[string]int {
	families, err := r.registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	counts := make(map[string]int)
	for _, f := range families {
		if f.GetName() != "laburnummux_requests_rejected_total" {
			continue
		}
		for _, m := range f.GetMetric() {
			counts[m.GetLabel()[0].GetValue()+" "+m.GetLabel()[1].GetValue()] = int(m.GetCounter().GetValue())
		}
	}
	return counts
}

// Guards against a rejected request that neither the log nor a counter explains.
func TestRejectionsAreReported(t *testing.T) {
	limits := intent.Limits{HeaderBytes: 1000, BodyBytes: 100, HeaderWait: clock.Second, Idle: clock.Second}
	long := strings.Repeat("x", 2000)
	tests := []struct {
		name   string
		send   string
		status int
		why    string
		path   string
	}{
		{"malformed", "GET\r\n\r\n", 400, "header", ""},
		{"long header", "GET /a HTTP/1.1\r\nHost: h\r\nX: " + long + "\r\n\r\n", 431, "long-header", ""},
		{"long body", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 101\r\n\r\n", 413, "long-body", "/a"},
		{"malformed chunk", "POST /" + long[:100] + " HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nz\r\n", 400, "body", "/" + long[:maxLoggedBytes-1]},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newRejecting(t, limits)
			is.Equal(r.send(t, tt.send), tt.status)
			is.Equal(r.rejections(t), map[string]int{fmt.Sprint(tt.why, " ", tt.status): 1})
			lines := r.logs.FilterMessage("request rejected").All()
			is.Equal(len(lines), 1)
			m := lines[0].ContextMap()
			is.Equal(m["why"], tt.why)
			is.Equal(m["status"], int64(tt.status))
			is.Equal(m["config"], uint64(7))
			is.True(m["bytes"].(int64) > 0)
			is.True(len(m["error"].(string)) <= maxErrorBytes)
			if tt.path != "" {
				is.Equal(m["vhost"], "h")
				is.Equal(m["path"], tt.path)
			}
		})
	}
}

// Guards against a request that ends early and is rejected as if it were malformed.
func TestIncompleteRequestIsNotMalformed(t *testing.T) {
	limits := intent.Limits{HeaderBytes: 1000, BodyBytes: 100, HeaderWait: 200 * clock.Millisecond, Idle: clock.Second}
	const chunked = "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	tests := []struct {
		name string
		send string
	}{
		{"method", "GE"},
		{"request line", "GET /a HT"},
		{"header name", "GET /a HTTP/1.1\r\nHo"},
		{"header value", "GET /a HTTP/1.1\r\nHost: h\r\nX: "},
		{"header line", "GET /a HTTP/1.1\r\nHost: h\r\n"},
		{"end of header", "GET /a HTTP/1.1\r\nHost: h\r\n\r"},
		{"body", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nx"},
		{"chunk size", chunked + "3"},
		{"chunk", chunked + "3\r\nx"},
		{"end of chunk", chunked + "3\r\nxyz\r"},
		{"last chunk", chunked + "3\r\nxyz\r\n0\r\n"},
		{"end of body", chunked + "3\r\nxyz\r\n0\r\n\r"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r := newRejecting(t, limits)
			r.server.bodyTimeout = limits.HeaderWait.Std()
			is.Equal(r.send(t, tt.send), http.StatusRequestTimeout)
			for reason := range r.rejections(t) {
				is.True(strings.HasSuffix(reason, " 408"))
			}
		})
	}
}

// Guards against a rejection of a caller that disconnects in the middle of a request.
func TestDisconnectIsNoRejection(t *testing.T) {
	tests := []string{"GE", "GET /a HTTP/1.1\r\nHo", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n"}
	for _, part := range tests {
		t.Run(fmt.Sprintf("%q", part), func(t *testing.T) {
			is := is.New(t)
			r := newRejecting(t, intent.Limits{HeaderBytes: 1000, BodyBytes: 100, HeaderWait: clock.Second, Idle: clock.Second})
			c, err := net.Dial("tcp", r.listener.Addr().String())
			is.NoErr(err)
			_, err = io.WriteString(c, part)
			is.NoErr(err)
			is.NoErr(c.(*net.TCPConn).CloseWrite())
			_, err = io.ReadAll(c) // until the server has closed the connection
			is.NoErr(err)
			is.Equal(r.rejections(t), map[string]int{})
			c.Close()
		})
	}
}

// Guards against an empty line before a request that has it rejected (RFC 9112, section 2.2).
func TestEmptyLineBeforeRequest(t *testing.T) {
	tests := []struct {
		name string
		send string
		want []int
	}{
		{"first request", "\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n", []int{200}},
		{"line feed", "\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n", []int{200}},
		{"after a body", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\n\r\nx\r\nGET /b HTTP/1.1\r\nHost: h\r\n\r\n", []int{200, 200}},
		{"before the longest header", "\r\nGET /a HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 1000-len("GET /a HTTP/1.1\r\nHost: h\r\nX: \r\n\r\n")) + "\r\n\r\n", []int{200}},
		{"two lines", "\r\n\r\nGET /a HTTP/1.1\r\nHost: h\r\n\r\n", []int{400}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newRejecting(t, intent.Limits{HeaderBytes: 1000, BodyBytes: 100, HeaderWait: clock.Second, Idle: clock.Second})
			c, err := net.Dial("tcp", r.listener.Addr().String())
			is.NoErr(err)
			defer c.Close()
			is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
			_, err = io.WriteString(c, tt.send)
			is.NoErr(err)
			reader := bufio.NewReader(c)
			for _, status := range tt.want {
				resp, err := http.ReadResponse(reader, nil)
				is.NoErr(err)
				is.Equal(resp.StatusCode, status)
			}
		})
	}
}

// lateListener has connections that are read late.
type lateListener struct {
	net.Listener
	delay time.Duration
}

func (l *lateListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lateConn{TCPConn: c.(*net.TCPConn), delay: l.delay}, nil
}

// lateConn delays all reads but the first one.
type lateConn struct {
	*net.TCPConn
	delay time.Duration
	reads int
}

func (c *lateConn) Read(p []byte) (int, error) {
	if c.reads++; c.reads > 1 {
		time.Sleep(c.delay)
	}
	return c.TCPConn.Read(p)
}

// Guards against the rejection of a header that was received in time and is read after
// its deadline, and against a header without an end that is never rejected as a result.
func TestHeaderReadLate(t *testing.T) {
	const wait = 100 * clock.Millisecond
	tests := []struct {
		name   string
		rest   string
		status int
	}{
		{"complete", "st: h\r\n\r\n", http.StatusOK},
		{"incomplete", "st: h\r\n", http.StatusRequestTimeout},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			limits := intent.Limits{HeaderBytes: 1000, BodyBytes: 100, HeaderWait: wait, Idle: clock.Second}
			s := New(Config{Handle: respondLength, Limits: func() intent.Limits { return limits }, Log: zap.NewNop()})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			a := &acceptor{server: s, listener: &lateListener{Listener: l, delay: 2 * wait.Std()}}
			go a.run()
			c := connect(t, l.Addr().String())
			_, err = io.WriteString(c, "GET /a HTTP/1.1\r\nHo")
			is.NoErr(err)
			time.Sleep(wait.Std() / 5) // the first part is read
			_, err = io.WriteString(c, tt.rest)
			is.NoErr(err)
			status, _, _ := c.response(t)
			is.Equal(status, tt.status)
		})
	}
}

// Guards against a connection that is reset, and loses responses that the caller hasn't
// read yet, because the caller sends more behind the last request that is answered.
func TestLastResponseIsDelivered(t *testing.T) {
	const long = "GET /a/5 HTTP/1.1\r\nHost: h\r\n"
	tests := []struct {
		name string
		send string
		last int
	}{
		{"invalid request", long + "\r\nGET\r\n\r\n", http.StatusBadRequest},
		{"close asked for", long + "Connection: close\r\n\r\n", http.StatusOK},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := &handled{ran: make(map[string]bool)}
			_, addr := startValid(t, condition{}, h)
			c := connect(t, addr)
			is.NoErr(c.Conn.(*net.TCPConn).SetReadBuffer(32 << 10))
			_, err := io.WriteString(c, tt.send)
			is.NoErr(err)
			for range 5 {
				time.Sleep(20 * time.Millisecond) // the response is written, and not read
				io.WriteString(c, "GET /a/6 HTTP/1.1\r\nHost: h\r\n\r\n")
			}
			status, _, n := c.response(t)
			is.Equal(status, http.StatusOK)
			is.True(n > longResponse)
			if tt.last != http.StatusOK {
				status, _, _ = c.response(t)
				is.Equal(status, tt.last)
			}
		})
	}
}

// Guards against a body in short chunks with extensions that ends its connection without a response.
func TestShortChunksWithExtensions(t *testing.T) {
	is := is.New(t)
	const length = 6000 // its chunks are longer than the limits and 7 times that
	r := newRejecting(t, intent.Limits{HeaderBytes: 100, BodyBytes: length, HeaderWait: clock.Second, Idle: clock.Second})
	is.Equal(r.send(t, "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"+
		strings.Repeat("1;name=value\r\nx\r\n", length)+"0\r\n\r\n"), http.StatusOK)
	is.Equal(r.rejections(t), map[string]int{})
}
