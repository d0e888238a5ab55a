package proxy

import (
	"crypto/tls"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

// Guards against sending a request to a server whose certificate is not
// trusted, and against a failed handshake that is classified as "may have run".
func TestSecurePool(t *testing.T) {
	var runs atomic.Int64
	handler := http.HandlerFunc(func(http.ResponseWriter, *http.Request) { runs.Add(1) })
	secure, plain := httptest.NewUnstartedServer(handler), httptest.NewServer(handler)
	secure.StartTLS()
	defer secure.Close()
	defer plain.Close()
	unresponsive, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never sends anything
	if err != nil {
		t.Fatal(err)
	}
	defer unresponsive.Close()
	trusted := secure.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
	trusted.ServerName = "example.com" // of the test server's certificate
	tests := []struct {
		name, address string
		cfg           *tls.Config
		want          Failure
		runs          int64
	}{
		{"accepted", strings.TrimPrefix(secure.URL, "https://"), trusted, OK, 1},
		{"unknown CA", strings.TrimPrefix(secure.URL, "https://"), &tls.Config{ServerName: "example.com"}, DialFailed, 0},
		{"plain text", strings.TrimPrefix(plain.URL, "http://"), trusted, DialFailed, 0},
		{"no handshake", unresponsive.Addr().String(), trusted, DialFailed, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			runs.Store(0)
			p := NewSecurePool(tt.address, limits, tt.cfg)
			res := p.Send(t.Context(), newRequest(t, "GET", ""))
			res.Close()
			is.Equal(res.Failure(), tt.want)
			is.Equal(runs.Load(), tt.runs)
			p.Close()

			if tt.want != OK { // a failed handshake closes its connection
				is.Equal(p.OpenConns(), int64(0))
			}
		})
	}
}
