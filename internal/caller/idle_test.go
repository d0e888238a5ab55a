package caller

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/intent"
)

// Guards against a connection that is closed as idle soon after a long response.
func TestIdleTimeBeginsAfterResponse(t *testing.T) {
	is := is.New(t)
	const idle = 600 * clock.Millisecond
	s := New(Config{
		Handle: func(_ context.Context, req *Request) Response {
			if req.Path == "/slow" {
				time.Sleep(500 * time.Millisecond)
			}
			return Response{Status: http.StatusOK}
		},
		Limits: func() intent.Limits {
			return intent.Limits{HeaderBytes: 1000, BodyBytes: 100, HeaderWait: clock.Second, Idle: idle}
		},
		Log: zap.NewNop(),
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	a := &acceptor{server: s, listener: l}
	go a.run()
	c, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer c.Close()
	is.NoErr(c.SetDeadline(time.Now().Add(10 * time.Second)))
	reader := bufio.NewReader(c)
	for _, path := range []string{"/slow", "/next"} {
		_, err = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		time.Sleep(400 * time.Millisecond) // within the idle time
	}
}
