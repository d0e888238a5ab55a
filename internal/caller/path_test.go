package caller

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/intent"
)

// Guards against a request that misses its route because of the form of its target.
func TestPathOfTarget(t *testing.T) {
	tests := []struct{ method, target, host, path string }{
		{"GET", "/x/y", "h.example", "/x/y"},
		{"GET", "/x/?q=/z", "h.example", "/x/"},
		{"GET", "//x/y", "h.example", "//x/y"},
		{"GET", "/x/a%2Fb", "h.example", "/x/a%2Fb"},
		{"GET", "/x/a;b|c", "h.example", "/x/a;b|c"},
		{"GET", "http://a.example:80/x/y?q=1", "a.example:80", "/x/y"},
		{"GET", "http://a.example/x%2Fy", "a.example", "/x%2Fy"},
		{"GET", "http://a.example", "a.example", "/"},
		{"GET", "http://a.example?q=1", "a.example", "/"},
		{"OPTIONS", "*", "h.example", "*"},
		{"GET", "http:opaque", "h.example", ""},
		{"CONNECT", "a.example:443", "a.example:443", ""},
	}
	limits := intent.Limits{HeaderBytes: 1000, BodyBytes: 100, HeaderWait: clock.Second, Idle: clock.Second}
	got := make(chan *Request, 1)
	s := New(Config{Limits: func() intent.Limits { return limits }, Log: zap.NewNop(), Handle: func(_ context.Context, r *Request) Response {
		got <- r
		return Response{Status: http.StatusOK, Header: http.Header{}}
	}})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { l.Close() })
	go (&acceptor{server: s, listener: l}).run()
	for _, tt := range tests {
		t.Run(tt.method+" "+tt.target, func(t *testing.T) {
			is := is.New(t)
			c, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			t.Cleanup(func() { c.Close() })
			is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
			_, err = fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: h.example\r\n\r\n", tt.method, tt.target)
			is.NoErr(err)
			resp, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			is.Equal(resp.StatusCode, http.StatusOK)
			r := <-got
			is.Equal(r.Host, tt.host)
			is.Equal(r.Path, tt.path)
			is.Equal(r.Target, tt.target)
		})
	}
}
