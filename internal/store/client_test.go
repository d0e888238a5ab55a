package store

import (
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/fakes/heads"
)

// Guards against taking a gateway's 5xx response, a redirect or a response
// without a version as proof that a write did not take effect, and against
// reading a response without a limit.
func TestPutResponses(t *testing.T) {
	tests := []struct {
		name   string
		status int
		body   string
		want   error
	}{
		{"gateway's 503", 503, "try later", ErrIndeterminate},
		{"store's 503", 503, `{"code":"unavailable"}`, ErrUnavailable},
		{"500", 500, "", ErrIndeterminate},
		{"502", 502, "", ErrIndeterminate},
		{"504", 504, "", ErrIndeterminate},
		{"408", 408, "", ErrIndeterminate},
		{"redirect", 307, "", ErrIndeterminate},
		{"no ETag", 200, "", ErrIndeterminate},
		{"response above the limit", 200, string(make([]byte, 9<<20)), ErrIndeterminate},
		{"forbidden", 403, "", ErrRejected},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n := 0
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				n++
				w.Header().Set("Location", "/other")
				w.WriteHeader(tt.status)
				w.Write([]byte(tt.body))
			}))
			c, err := New(Config{URL: srv.URL})
			is.NoErr(err)
			_, err = c.Put(t.Context(), "a", nil, 0)
			is.True(errors.Is(err, tt.want))
			c.Close()
			srv.Close()
			is.Equal(n, 1) // never retried

			_, err = c.Put(t.Context(), "a", nil, 0) // the dial fails
			is.True(errors.Is(err, ErrUnavailable))
			is.True(!errors.Is(err, ErrIndeterminate))
		})
	}
}

// Guards against a write that counts as done, or as not done, after a response with a
// malformed head, and against a valid response that isn't used.
func TestMalformedHead(t *testing.T) {
	for _, l := range append(heads.Lines(), heads.LinesOf("ETag", `"8"`)...) {
		for _, fields := range l.Placed("ETag: \"7\"\r\nContent-Length: 0\r\n") {
			t.Run(fmt.Sprintf("%.80q", fields), func(t *testing.T) {
				is := is.New(t)
				s := heads.NewServer(t, "HTTP/1.1 200 OK\r\n"+fields+"\r\n")
				c, err := New(Config{URL: "http://" + s.Addr()})
				is.NoErr(err)
				defer c.Close()
				version, err := c.Put(t.Context(), "a", nil, 0)
				if l.Valid() {
					is.NoErr(err)
					is.Equal(version, uint64(7))
					return
				}
				is.True(errors.Is(err, ErrIndeterminate))
			})
		}
	}
}
