package link

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// benchServer responds to all requests of a connection with the same bytes.
type benchServer struct {
	listener net.Listener
	response string
}

func (s *benchServer) run() {
	c, err := s.listener.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	for br := bufio.NewReader(c); ; {
		if _, err := http.ReadRequest(br); err != nil {
			return
		}
		if _, err := io.WriteString(c, s.response); err != nil {
			return
		}
	}
}

// BenchmarkExchange measures one request after another on a kept connection, by the
// number of fields in the response's head.
func BenchmarkExchange(b *testing.B) {
	for _, fields := range []int{4, 20, 100} {
		b.Run(fmt.Sprintf("fields=%d", fields), func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			b.Cleanup(func() { l.Close() })
			var more strings.Builder
			for i := range fields - 2 {
				fmt.Fprintf(&more, "X-Field-%d: %s\r\n", i, strings.Repeat("v", 30))
			}
			s := &benchServer{listener: l, response: "HTTP/1.1 200 OK\r\nId: me\r\n" + more.String() + "Content-Length: 3\r\n\r\nabc"}
			go s.run()
			p := NewPool(l.Addr().String(), NewBudget(maxBodyBytes*2))
			b.ReportAllocs()
			for b.Loop() {
				if res := send(p); res.Err != nil {
					b.Fatal(res.Err)
				}
			}
		})
	}
}
