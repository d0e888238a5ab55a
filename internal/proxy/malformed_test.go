package proxy

import (
	"fmt"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/fakes/heads"
)

// Guards against a response with a malformed head that is passed on, or whose connection
// is used again, and against a valid one that is refused.
func TestMalformedHead(t *testing.T) {
	const valid = "HTTP/1.1 200 OK\r\nLaburnummux-Attempt: 7\r\nContent-Length: 2\r\n\r\nok"
	forms := []struct{ name, before, fields, after string }{
		{"length", "HTTP/1.1 200 OK\r\n", "Laburnummux-Attempt: 7\r\nContent-Length: 2\r\n", "\r\nok"},
		{"chunked", "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n", "\r\n2\r\nok\r\n0\r\n\r\n"},
		{"informational", "HTTP/1.1 103 Early Hints\r\n", "A: b\r\n", "\r\n" + valid},
		{"refusal", "HTTP/1.1 503 Busy\r\n", "Laburnummux-Attempt: 7\r\nLaburnummux-Reason: shed\r\nContent-Length: 2\r\n", "\r\nok"},
	}
	lines := append(heads.Lines(), heads.LinesOf("Content-Length", "2")...)
	lines = append(lines, heads.LinesOf("Laburnummux-Attempt", "7")...)
	for _, f := range forms {
		for _, l := range lines {
			for _, fields := range l.Placed(f.fields) {
				for _, method := range []string{"GET", "POST"} {
					t.Run(fmt.Sprintf("%s, %s, %.80q", f.name, method, fields), func(t *testing.T) {
						is := is.New(t)
						var runs atomic.Int64
						p := NewPool(rawServer(t, &runs, f.before+fields+f.after, valid), limits)
						defer p.Close()
						res := p.Send(t.Context(), newRequest(t, method, ""))
						is.Equal(runs.Load(), int64(1)) // never sent again
						if l.Valid() {
							is.Equal(res.Failure(), OK)
							head, complete := res.CompleteBody()
							is.True(complete && string(head) == "ok")
							return
						}
						is.Equal(res.Failure(), ConnLost)
						is.True(strings.Contains(res.Err().Error(), "malformed head"))
						is.Equal(p.Send(t.Context(), newRequest(t, method, "")).Failure(), ConnLost) // the first response of a new connection
					})
				}
			}
		}
	}
}

// Guards against a response with a malformed trailer that is passed on as complete.
func TestMalformedTrailer(t *testing.T) {
	tests := []struct {
		trailer string
		want    Failure
	}{
		{"X-Foo: 1", OK},
		{"X Foo: 1", Truncated},
		{"X-Foo : 1", Truncated},
		{"X\x01: 1", Truncated},
	}
	for _, tt := range tests {
		t.Run(tt.trailer, func(t *testing.T) {
			var runs atomic.Int64
			p := NewPool(rawServer(t, &runs, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+tt.trailer+"\r\n\r\n"), limits)
			defer p.Close()
			is.New(t).Equal(p.Send(t.Context(), newRequest(t, "GET", "")).Failure(), tt.want)
		})
	}
}
