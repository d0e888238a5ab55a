package caller

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/intent"
)

// Guards against a request on an open connection that is rejected by limits that were replaced before the request began.
func TestLimitsChangeOnOpenConnection(t *testing.T) {
	long := strings.Repeat("x", 1000)
	tests := []struct {
		name    string
		request string
	}{
		{"body with a length", "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 1000\r\n\r\n" + long},
		{"body in chunks", "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3e8\r\n" + long + "\r\n0\r\n\r\n"},
		{"header", "GET /b HTTP/1.1\r\nHost: h\r\nX: " + long + "\r\n\r\n"},
	}
	for _, tt := range tests {
		for _, version := range []uint64{0, 7} {
			t.Run(fmt.Sprint(tt.name, ", version ", version), func(t *testing.T) {
				is := is.New(t)
				var limits atomic.Pointer[intent.Limits]
				var current atomic.Uint64
				limits.Store(&intent.Limits{HeaderBytes: 500, BodyBytes: 500, HeaderWait: clock.Second, Idle: 5 * clock.Second})
				current.Store(version)
				c := serveConn(t, Config{
					Handle: func(context.Context, *Request) Response { return Response{Status: http.StatusOK} },
					Limits: func() intent.Limits { return *limits.Load() }, Version: current.Load, Log: zap.NewNop(),
				})
				reader := bufio.NewReader(c)
				send := func(request string) int {
					_, err := io.WriteString(c, request)
					is.NoErr(err)
					resp, err := http.ReadResponse(reader, nil)
					is.NoErr(err)
					return resp.StatusCode
				}
				is.Equal(send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n"), http.StatusOK)
				time.Sleep(50 * time.Millisecond) // the server awaits the next request
				limits.Store(&intent.Limits{HeaderBytes: 5000, BodyBytes: 5000, HeaderWait: clock.Second, Idle: 5 * clock.Second})
				current.Store(8)
				is.Equal(send(tt.request), http.StatusOK)
			})
		}
	}
}
