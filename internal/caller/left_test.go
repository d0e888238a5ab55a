package caller

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/intent"
)

// settleTime is how long the tests leave a server before they check that it does
// nothing, or has done something.
const settleTime = 500 * time.Millisecond

// recorder records the requests that it is to handle.
type recorder struct{ handled chan string }

func (h *recorder) handle(ctx context.Context, r *Request) Response {
	if ctx.Err() == nil {
		h.handled <- r.Path
	}
	return Response{Status: 200}
}

// Guards against requests that are handled although their callers had left before the host read them.
func TestUnreadRequestsOfDepartedCallers(t *testing.T) {
	get := func(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: h\r\n\r\n" }
	tests := []struct {
		name  string
		send  string
		reset bool
	}{
		{"one", get("/1"), false},
		{"pipelined", get("/1") + get("/2") + get("/3"), false},
		{"more than the buffer", strings.Repeat(get("/"+strings.Repeat("x", 500)), 12), false},
		{"with a body", "POST /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\n\r\n" + strings.Repeat("x", 20000), false},
		{"in chunks", "POST /1 HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nxyz\r\n0\r\n\r\n", false},
		{"last", "GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n", false},
		{"followed by a part", get("/1") + "GET /2 HTT", false},
		{"reset", get("/1"), true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			t.Cleanup(func() { l.Close() })
			const callers = 50
			for range callers {
				c, err := net.Dial("tcp", l.Addr().String())
				is.NoErr(err)
				_, err = io.WriteString(c, tt.send)
				is.NoErr(err)
				if tt.reset {
					is.NoErr(c.(*net.TCPConn).SetLinger(0))
				}
				is.NoErr(c.Close())
			}
			h := &recorder{handled: make(chan string, 12*callers)}
			limits := intent.Limits{HeaderBytes: 1000, BodyBytes: 30000, HeaderWait: clock.Second, Idle: clock.Second}
			s := New(Config{Handle: h.handle, Limits: func() intent.Limits { return limits }, Log: zap.NewNop()})
			a := &acceptor{server: s, listener: l}
			go a.run()
			time.Sleep(settleTime)
			is.Equal(len(h.handled), 0)
			is.Equal(s.ConnCount(), 0)
		})
	}
}

// Guards against requests that go on after their caller has left, because the host reads no more of the connection.
func TestCallerLeavesFullPipeline(t *testing.T) {
	tests := []struct {
		name string
		send func(i int) string
		n    int
	}{
		{"most that are handled", func(i int) string { return fmt.Sprintf("GET /wait/%d HTTP/1.1\r\nHost: h\r\n\r\n", i) }, maxPipelined},
		{"one more", func(i int) string { return fmt.Sprintf("GET /wait/%d HTTP/1.1\r\nHost: h\r\n\r\n", i) }, maxPipelined + 1},
		{"many more", func(i int) string { return fmt.Sprintf("GET /wait/%d HTTP/1.1\r\nHost: h\r\n\r\n", i) }, 10 * maxPipelined},
		{"an invalid one behind", func(i int) string {
			if i == 2 {
				return "GET\r\n\r\n"
			}
			return fmt.Sprintf("GET /wait/%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
		}, 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := &echo{release: make(chan struct{}), cancelled: make(chan string, 20*maxPipelined)}
			t.Cleanup(func() { close(e.release) })
			s, c := start(t, e)
			for i := range tt.n {
				_, err := io.WriteString(c, tt.send(i))
				is.NoErr(err)
			}
			time.Sleep(50 * time.Millisecond)
			is.NoErr(c.Close())
			time.Sleep(settleTime)
			is.True(len(e.cancelled) >= min(tt.n-1, maxPipelined))
			is.Equal(s.ConnCount(), 0)
		})
	}
}

// Guards against a request that is cancelled because its caller, who stays, sends much behind the last request of a connection.
func TestMuchInputBehindLastRequest(t *testing.T) {
	tests := []struct {
		name string
		send string
	}{
		{"last request", "GET /wait/1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"},
		{"invalid request", "GET /wait/1 HTTP/1.1\r\nHost: h\r\n\r\nGET\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			e := newEcho()
			s, c := start(t, e)
			_, err := io.WriteString(c, tt.send)
			is.NoErr(err)
			is.NoErr(c.SetWriteDeadline(time.Now().Add(4 * settleTime)))
			_, err = c.Write(make([]byte, 8<<20))
			is.NoErr(err)
			time.Sleep(settleTime)
			is.Equal(len(e.cancelled), 0)
			is.NoErr(c.Close())
			time.Sleep(settleTime)
			is.Equal(len(e.cancelled), 1)
			is.Equal(s.ConnCount(), 0)
		})
	}
}

// Guards against requests behind a full pipeline that are never read.
func TestFullPipelineGoesOn(t *testing.T) {
	is := is.New(t)
	const requests = 4 * maxPipelined
	e := newEcho()
	_, c := start(t, e)
	for i := range requests {
		_, err := fmt.Fprintf(c, "GET /wait/%d HTTP/1.1\r\nHost: h\r\n\r\n", i)
		is.NoErr(err)
	}
	time.Sleep(50 * time.Millisecond) // until the pipeline is full
	close(e.release)
	is.NoErr(c.SetReadDeadline(time.Now().Add(10 * settleTime)))
	br := bufio.NewReader(c)
	for i := range requests {
		resp, err := http.ReadResponse(br, nil)
		is.NoErr(err)
		b, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.Equal(string(b), fmt.Sprintf("/wait/%d", i))
	}
}

// slowSocket is a connection on which setting the read deadline takes until release.
type slowSocket struct {
	net.Conn
	entered, release chan struct{}
}

func (s *slowSocket) SetReadDeadline(time.Time) error {
	close(s.entered)
	<-s.release
	return nil
}

// waitEnder ends the wait of a connection for a free place.
type waitEnder struct {
	conn *conn
	done chan struct{}
}

func (w *waitEnder) run() {
	w.conn.setWaiting(false)
	close(w.done)
}

// Guards against a read that fails, and cancels all requests of its connection, because the wake-up of a wait that has ended sets its deadline.
func TestLateWakeUpEndsNoRead(t *testing.T) {
	s := &slowSocket{entered: make(chan struct{}), release: make(chan struct{})}
	c := &conn{Tracked: &Tracked{netConn: s}, waiting: true}
	c.pending.Store(1)
	go c.endPending()
	<-s.entered
	w := &waitEnder{conn: c, done: make(chan struct{})}
	go w.run()
	select {
	case <-w.done:
		t.Fatal("the wait ended before its wake-up")
	case <-time.After(50 * time.Millisecond):
	}
	close(s.release)
	<-w.done
}

// Guards against a close that isn't seen behind unread input, after a reset or under
// TLS, and against an open connection that passes for a closed one.
func TestClosed(t *testing.T) {
	tests := []struct {
		name   string
		unread string // input before the close
		close  func(c *net.TCPConn) error
		tls    bool
		want   bool
	}{
		{"open", "", nil, false, false},
		{"open, unread input", "GET / HTT", nil, false, false},
		{"closed", "", (*net.TCPConn).Close, false, true},
		{"closed behind unread input", "GET / HTT", (*net.TCPConn).Close, false, true},
		{"reset", "", resetConn, false, true},
		{"reset behind unread input", "GET / HTT", resetConn, false, true},
		{"open under TLS", "", nil, true, false},
		{"closed under TLS, behind unread input", "GET / HTT", (*net.TCPConn).Close, true, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			c, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer c.Close()
			accepted, err := l.Accept()
			is.NoErr(err)
			defer accepted.Close()
			_, err = io.WriteString(c, tt.unread)
			is.NoErr(err)
			if tt.close != nil {
				is.NoErr(tt.close(c.(*net.TCPConn)))
			}
			if tt.tls {
				accepted = tls.Server(accepted, &tls.Config{})
			}
			for end := time.Now().Add(settleTime); Closed(accepted) != tt.want && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			is.Equal(Closed(accepted), tt.want)
		})
	}
}

func resetConn(c *net.TCPConn) error {
	if err := c.SetLinger(0); err != nil {
		return err
	}
	return c.Close()
}
