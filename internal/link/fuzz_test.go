package link

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/fakes/heads"
)

// bytesConn is a connection from which some bytes can be read until its end.
type bytesConn struct {
	net.Conn
	reader *bytes.Reader
}

func (c bytesConn) Read(b []byte) (int, error)  { return c.reader.Read(b) }
func (c bytesConn) Write(b []byte) (int, error) { return len(b), nil }
func (c bytesConn) Close() error                { return nil }

// checkHead checks a head, including its empty line, by the grammar.
func checkHead(t *testing.T, b []byte) {
	lines := strings.Split(strings.TrimSuffix(string(b), "\n"), "\n")
	for _, l := range lines[1:] {
		if l = strings.TrimSuffix(l, "\r"); l != "" && !heads.Line(l).Valid() {
			t.Fatalf("a head with the line %q is taken as valid", l)
		}
	}
}

// Guards against bytes that make the reading of a response panic, that end the
// head at another place than net/http does, that pass as a response if net/http
// rejects them, or although their head is malformed by the grammar, of which net/http
// accepts more.
func FuzzResponse(f *testing.F) {
	for _, s := range []string{
		response("me", "abc"), response("other", "abc") + response("me", "abc"), "HTTP/1.1 103 x\r\n\r\n" + response("me", "abc"),
		"HTTP/1.1 200 OK\r\nId: me\r\n\r\nabc", "HTTP/1.1 200 OK\nId: me\n x\n \nContent-Length: 1\n\nabc", "HTTP/1.1 204 x\r\nId: me\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: A\r\nId: me\r\n\r\n3;a=b\r\nabc\r\n0\r\nA: b\r\n\r\nx", "\r\n\r\n", "HTTP/1.1 200\r\r\n\n",
		"HTTP/1.0 200 OK\r\nId: me\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", "HTTP/1.1 101 x\r\nId: me\r\n\r\n",
		"HTTP/1.1 200 OK\r\nId: me\r\nX Foo: 1\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 103 x\r\nX-Foo : 1\r\n\r\n" + response("me", "abc"),
		"HTTP/1.1 200 OK\r\nId: me\r\nA: b\r\n X-Foo: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		is := is.New(t)
		budget := NewBudget(8 << 20)
		p := NewPool("x", budget)
		var res Result
		r := Request{Method: http.MethodGet, Target: "/", Host: "h", Matches: func(_ int, h http.Header) bool { return h.Get("Id") == "me" }, Confusable: noResponse}
		p.exchange(t.Context(), newConn(bytesConn{reader: bytes.NewReader(b)}), r, maxBodyBytes, &res)
		is.Equal(budget.Used(), int64(0))
		if res.Err != nil {
			is.Equal(res.Body.Len(), int64(0))
			return
		}
		// The response that belongs to the request, as net/http reads it.
		source := bytes.NewReader(b)
		br := bufio.NewReader(source)
		for {
			begin := len(b) - source.Len() - br.Buffered()
			want, err := http.ReadResponse(br, &http.Request{Method: http.MethodGet})
			is.NoErr(err)
			checkHead(t, b[begin:len(b)-source.Len()-br.Buffered()])
			body, err := io.ReadAll(want.Body)
			is.NoErr(err)
			if want.StatusCode < 200 || want.Header.Get("Id") != "me" {
				continue
			}
			is.Equal(res.Status, want.StatusCode)
			is.Equal(res.Header, want.Header)
			is.True(bytes.Equal(res.Body.Append(nil), body))
			return
		}
	})
}
