package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a server's invalid status that is passed on, or that ends the
// caller's connection because http.ResponseWriter panics at it.
func TestInvalidStatus(t *testing.T) {
	const head = "Content-Length: 2\r\n\r\nok"
	tests := []struct {
		response string
		want     Failure
		status   int
	}{
		{"HTTP/1.1 000 Odd\r\n" + head, ConnLost, 502},
		{"HTTP/1.1 020 Odd\r\n" + head, ConnLost, 502},
		{"HTTP/1.1 +20 Odd\r\n" + head, ConnLost, 502},
		{"HTTP/1.1 -20 Odd\r\n" + head, ConnLost, 502},
		{"HTTP/1.1 1000 Odd\r\n" + head, ConnLost, 502},
		{"HTTP/1.1 099 Odd\r\n" + head, ConnLost, 502},
		{"HTTP/1.1 600 Odd\r\n" + head, ConnLost, 502},
		{"HTTP/1.1 999 Odd\r\n" + head, ConnLost, 502},
		{"HTTP/1.1 101 Switching Protocols\r\n" + head, ConnLost, 502},
		{"HTTP/1.1 101 Switching Protocols\r\nConnection: Upgrade\r\nUpgrade: x\r\n\r\nok", ConnLost, 502},
		{"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 Odd\r\n" + head, ConnLost, 502},
		{"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + head, OK, 200},
		{"HTTP/1.1 599 Odd\r\n" + head, OK, 599},
	}
	for _, tt := range tests {
		for _, method := range []string{"GET", "POST"} {
			t.Run(method+" "+tt.response, func(t *testing.T) {
				is := is.New(t)
				var runs atomic.Int64
				p := NewPool(rawServer(t, &runs, tt.response, tt.response), limits)
				failure := make(chan Failure, 1)
				front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					res := p.Send(r.Context(), newRequest(t, method, ""))
					failure <- res.Failure()
					if res.Failure() != OK {
						w.WriteHeader(http.StatusBadGateway)
						return
					}
					if err := res.WriteTo(w); err != nil {
						panic(http.ErrAbortHandler)
					}
				}))
				defer front.Close()
				c, err := net.Dial("tcp", front.Listener.Addr().String())
				is.NoErr(err)
				defer c.Close()
				is.NoErr(c.SetDeadline(time.Now().Add(5 * time.Second)))
				_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
				is.NoErr(err)
				resp, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					t.Fatalf("the caller gets no response: %v", err)
				}
				t.Logf("the caller gets %d", resp.StatusCode)
				is.Equal(resp.StatusCode, tt.status)
				is.Equal(<-failure, tt.want)
				is.Equal(runs.Load(), int64(1)) // never sent again
			})
		}
	}
}
