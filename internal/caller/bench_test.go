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

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/intent"
)

// BenchmarkRequest measures one request after another on a kept connection, without
// a backend server.
func BenchmarkRequest(b *testing.B) {
	for _, bytes := range []int{0, 1000, 60_000} {
		b.Run(fmt.Sprintf("body=%d", bytes), func(b *testing.B) {
			limits := intent.Limits{HeaderBytes: 8000, BodyBytes: 1 << 20, HeaderWait: clock.Second, Idle: 10 * clock.Second}
			s := New(Config{
				Handle: func(context.Context, *Request) Response { return Response{Status: 200} },
				Limits: func() intent.Limits { return limits }, Log: zap.NewNop(),
			})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() { l.Close() })
			a := &acceptor{server: s, listener: l}
			go a.run()
			c, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() { c.Close() })
			r := bufio.NewReader(c)
			request := fmt.Sprintf("POST /a HTTP/1.1\r\nHost: h\r\nLaburnummux-Attempt-Id: 1\r\nContent-Length: %d\r\n\r\n%s", bytes, strings.Repeat("x", bytes))
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(c, request); err != nil {
					b.Fatal(err)
				}
				if _, err := http.ReadResponse(r, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
