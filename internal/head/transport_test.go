package head

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/fakes/heads"
)

// fetch sends a request and reads its response.
func fetch(t *testing.T, tr http.RoundTripper, method, url string) (body string, err error) {
	req, err := http.NewRequestWithContext(t.Context(), method, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return string(b), err
}

// Guards against a malformed head that a client takes, whose request it sends again by
// itself, or whose connection it goes on using, and against a valid one that it refuses.
func TestTransport(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc"
	forms := []struct{ name, before, fields, after string }{
		{"length", "HTTP/1.1 200 OK\r\n", "Content-Length: 3\r\n", "\r\nabc"},
		{"chunked", "HTTP/1.1 200 OK\r\n", "Transfer-Encoding: chunked\r\n", "\r\n3\r\nabc\r\n0\r\n\r\n"},
		{"without a body", "HTTP/1.1 204 No Content\r\n", "A: b\r\n", "\r\n"},
		{"informational", "HTTP/1.1 103 Early Hints\r\n", "Link: a\r\n", "\r\n" + sound},
		{"after informational ones", "HTTP/1.1 100 a\r\n\r\nHTTP/1.1 103 b\r\n\r\nHTTP/1.1 200 OK\r\n", "Content-Length: 3\r\n", "\r\nabc"},
	}
	lines := append(heads.Lines(), heads.LinesOf("Content-Length", "3")...)
	lines = append(lines, heads.LinesOf("Transfer-Encoding", "chunked")...)
	lines = append(lines, heads.LinesOf("Connection", "close")...)
	for _, f := range forms {
		for _, l := range lines {
			for _, fields := range l.Placed(f.fields) {
				for _, reused := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, %v, %.80q", f.name, reused, fields), func(t *testing.T) {
						is := is.New(t)
						s := heads.NewServer(t, f.before+fields+f.after, sound)
						if reused {
							s.Respond(sound, f.before+fields+f.after)
						}
						tr := NewTransport(&http.Transport{}, nil)
						defer tr.CloseIdleConnections()
						url := "http://" + s.Addr()
						if reused {
							_, err := fetch(t, tr, "GET", url)
							is.NoErr(err)
						}
						before := s.Requests()
						body, err := fetch(t, tr, "GET", url)
						is.Equal(s.Requests()-before, 1)
						if l.Valid() {
							is.NoErr(err)
							is.Equal(body == "abc", f.name != "without a body")
							return
						}
						_, ok := FaultOf(err)
						is.True(ok)
						s.Respond(sound)
						conns := s.Conns()
						_, err = fetch(t, tr, "GET", url)
						is.NoErr(err)
						is.Equal(s.Conns(), conns+1)
					})
				}
			}
		}
	}
}

// Guards against the status line of an informational response that is taken for that of
// the last one, so that the head behind it isn't checked, against the reverse, and against a
// transfer encoding that isn't one.
func TestTransportStatusLine(t *testing.T) {
	const bad = "HTTP/1.1 200 OK\r\nX Foo: 1\r\nContent-Length: 0\r\n\r\n"
	tests := []struct {
		response string
		want     bool // it is valid
	}{
		{"HTTP/1.1 200\r\nContent-Length: 0\r\n\r\n", true},
		{"HTTP/1.0 200 \r\nContent-Length: 0\r\n\r\n", true},
		{"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n", false},
		{"HTTP/1.1 200 HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true},
		{"HTTP/0.9 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 0\r\n\r\n", false},
		{"HTTP/1.0 200 OK\r\nTransfer-Encodings: chunked\r\nContent-Length: 0\r\n\r\n", true},
		{"HTTP/1.1 103 a\r\n\r\n" + bad, false},
		{"HTTP/1.1  103 a\r\n\r\n" + bad, false},
		{"HTTP/1.1 103\r\n\r\n" + bad, false},
		{"HTTP/1.1\t103 a\r\n\r\n" + bad, false},
		{"HTTP/1.1 1\r\n\r\n" + bad, false},
		{"\r\n" + bad, false},
	}
	for _, tt := range tests {
		t.Run(tt.response, func(t *testing.T) {
			s := heads.NewServer(t, tt.response)
			_, err := fetch(t, NewTransport(&http.Transport{}, nil), "GET", "http://"+s.Addr())
			is.New(t).Equal(err == nil, tt.want)
		})
	}
}

// Guards against a malformed head that is received in pieces, and behind which the reading
// goes on, and against a valid one that is refused.
func TestTransportHeadInPieces(t *testing.T) {
	const rest = "Content-Length: 3\r\n\r\nabc"
	tests := []struct {
		head string
		want bool // it is valid
	}{
		{"HTTP/1.1 200 OK\r\nA: b\r\nX Foo: 1\r\n", false},
		{"HTTP/1.1 200 OK\r\nA: b\r\n X-Foo: 1\r\n", false},
		{"HTTP/1.1 103 OK\r\nA: b\r\n\r\nHTTP/1.1 200 OK\r\nX-Foo: 1\r\n", true},
	}
	for _, tt := range tests {
		for n := range len(tt.head) {
			t.Run(fmt.Sprintf("%q, %d", tt.head, n), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				s := heads.NewServer(t, tt.head[:n]+heads.Cut+tt.head[n:]+heads.Cut+rest)
				_, err := fetch(t, NewTransport(&http.Transport{}, nil), "GET", "http://"+s.Addr())
				is.Equal(err == nil, tt.want)
				_, ok := FaultOf(err)
				is.Equal(ok, !tt.want)
			})
		}
	}
}

// Guards against a malformed trailer that a client takes, and against a valid one that it
// refuses.
func TestTransportTrailer(t *testing.T) {
	tests := []struct {
		line heads.Line
		want bool
	}{
		{"A: b", true},
		{tokenLine, true},
		{"X Foo: 1", false},
		{"X-Foo : 1", false},
		{"X\x01: 1", false},
	}
	for _, tt := range tests {
		t.Run(string(tt.line), func(t *testing.T) {
			is := is.New(t)
			s := heads.NewServer(t, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n"+string(tt.line)+"\r\n\r\n")
			tr := NewTransport(&http.Transport{}, nil)
			for range 2 {
				_, err := fetch(t, tr, "GET", "http://"+s.Addr())
				is.Equal(err == nil, tt.want)
			}
			is.Equal(s.Conns() == 1, tt.want)
		})
	}
}

const tokenLine = "!#$%&'*+-.^_`|~: 1"

// Guards against responses of a sound server that are refused, by what their requests and
// connections have in common.
func TestTransportTakesSoundResponses(t *testing.T) {
	for _, secure := range []bool{false, true} {
		t.Run(fmt.Sprint("TLS ", secure), func(t *testing.T) {
			s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.WriteHeader(http.StatusEarlyHints)
				io.Copy(io.Discard, r.Body)
				w.Header().Set("Trailer", "T")
				w.Header().Set("T", "1")
				io.WriteString(w, strings.Repeat("abc", len(r.URL.Path)*100))
			}))
			base := &http.Transport{MaxConnsPerHost: 3}
			if secure {
				s.StartTLS()
				base.TLSClientConfig = s.Client().Transport.(*http.Transport).TLSClientConfig
			} else {
				s.Start()
			}
			defer s.Close()
			tr := NewTransport(base, nil)
			defer tr.CloseIdleConnections()
			var requests sync.WaitGroup
			for i := range 20 {
				requests.Go(func() {
					for j, method := range []string{"GET", "HEAD", "POST", "PUT"} {
						body, err := fetch(t, tr, method, s.URL+"/"+strings.Repeat("x", i*j))
						if want := 300 * (1 + i*j); err != nil || method != "HEAD" && len(body) != want {
							t.Errorf("%s: %d bytes and not %d, error %v", method, len(body), want, err)
						}
					}
				})
			}
			requests.Wait()
		})
	}
}

// Guards against a server without a valid certificate that a client accepts.
func TestTransportVerifiesCertificate(t *testing.T) {
	s := httptest.NewTLSServer(http.NotFoundHandler())
	defer s.Close()
	_, err := fetch(t, NewTransport(&http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12}}, nil), "GET", s.URL)
	var invalid *tls.CertificateVerificationError
	is.New(t).True(errors.As(err, &invalid))
}

// Guards against bytes that a server sends on a new connection before it gets a request,
// and that aren't checked if http.Transport takes them for the response.
func TestEarlyBytesAreChecked(t *testing.T) {
	is := is.New(t)
	client, server := net.Pipe()
	defer server.Close()
	dial := checked(func(context.Context, string, string) (net.Conn, error) { return client, nil })
	c, err := dial(t.Context(), "tcp", "")
	is.NoErr(err)
	defer c.Close()
	go io.WriteString(server, "HTTP/1.1 200 OK\r\nX Foo: 1\r\n")
	b := make([]byte, 100)
	_, err = c.Read(b)
	_, ok := FaultOf(err)
	is.True(ok)
	c.(*checkedConn).begin() // the connection gets a request
	_, err = c.Read(b)
	_, ok = FaultOf(err)
	is.True(ok)
}
