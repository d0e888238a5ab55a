package caller

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"sync/atomic"
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
	c := serveConn(t, Config{
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
	reader := bufio.NewReader(c)
	for _, path := range []string{"/slow", "/next"} {
		_, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		resp, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		is.Equal(resp.StatusCode, http.StatusOK)
		time.Sleep(400 * time.Millisecond) // within the idle time
	}
}

// Guards against a connection that is closed by an idle timeout that has been replaced by a longer one.
func TestIdleTimeoutChange(t *testing.T) {
	is := is.New(t)
	var idle atomic.Int64
	idle.Store(int64(300 * clock.Millisecond))
	c := serveConn(t, Config{
		Handle: func(context.Context, *Request) Response { return Response{Status: http.StatusOK} },
		Limits: func() intent.Limits {
			return intent.Limits{HeaderBytes: 1000, BodyBytes: 100, HeaderWait: clock.Second, Idle: clock.Span(idle.Load())}
		},
		Log: zap.NewNop(),
	})
	time.Sleep(100 * time.Millisecond)
	idle.Store(int64(2 * clock.Second))
	time.Sleep(500 * time.Millisecond)
	_, err := io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	is.NoErr(err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusOK)
}
