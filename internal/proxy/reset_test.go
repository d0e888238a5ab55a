package proxy

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// earlyServer responds to a request when it has read 4 KiB of its body, and resets the
// connection, with or without having closed its sending side.
type earlyServer struct {
	listener  net.Listener
	response  string
	halfClose bool
}

func (s *earlyServer) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.loop(c.(*net.TCPConn))
	}
}

func (s *earlyServer) loop(c *net.TCPConn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReaderSize(c, 4<<10))
	if err != nil {
		return
	}
	if _, err := io.WriteString(c, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
		return
	}
	if _, err := io.CopyN(io.Discard, r.Body, 4<<10); err != nil {
		return
	}
	if _, err := io.WriteString(c, s.response); err != nil {
		return
	}
	if s.halfClose {
		c.CloseWrite()
	}
	c.SetLinger(0)
}

// Guards against a response that its server breaks off by a reset and that passes as
// complete, when the reset is reported to the write of a long request: the read sees
// a normal end of the stream then.
func TestResetDuringRequest(t *testing.T) {
	const size = 8 << 20
	short, long := strings.Repeat("x", 10<<10), strings.Repeat("x", 40<<10)
	tests := []struct {
		name, framing, body string
	}{
		{"HTTP/1.1, no length", "HTTP/1.1 200 OK\r\n\r\n", short},
		{"HTTP/1.1, no length, close", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", short},
		{"HTTP/1.0, no length", "HTTP/1.0 200 OK\r\n\r\n", short},
		{"no length, long", "HTTP/1.1 200 OK\r\n\r\n", long},
		{"length", "HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n", short},
		{"length, long", "HTTP/1.1 200 OK\r\nContent-Length: 50000\r\n\r\n", long},
		{"HTTP/1.0, length", "HTTP/1.0 200 OK\r\nContent-Length: 50000\r\n\r\n", short},
		{"chunked", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(short), short)},
		{"chunked, long", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(long), long)},
	}
	for _, tt := range tests {
		for _, halfClose := range []bool{false, true} {
			for _, stalled := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, half-close %t, stalled caller %t", tt.name, halfClose, stalled), func(t *testing.T) {
					is := is.New(t)
					ln, err := net.Listen("tcp", "127.0.0.1:0")
					is.NoErr(err)
					defer ln.Close()
					s := &earlyServer{listener: ln, response: tt.framing + tt.body, halfClose: halfClose}
					go s.run()
					p := NewPool(ln.Addr().String(), limits)
					for range 10 {
						var body io.Reader = bytes.NewReader(make([]byte, size))
						if stalled { // the caller sends no more
							pr, pw := io.Pipe()
							defer pw.Close()
							body = io.MultiReader(bytes.NewReader(make([]byte, size/2)), pr)
						}
						r := newRequest(t, http.MethodPost, "")
						if r.Body, err = NewBody(body, size); err != nil {
							t.Fatal(err)
						}
						res := p.Send(t.Context(), r)
						complete := res.Failure() == OK && res.WriteTo(httptest.NewRecorder()) == nil
						is.True(!complete)
					}
				})
			}
		}
	}
}
