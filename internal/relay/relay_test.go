package relay

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/caller"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/intent"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

type noCodec struct{}

func (noCodec) Meta(http.Header) Meta                        { return Meta{} }
func (noCodec) Forward(http.Header, clock.Span, keys.Server) {}
func (noCodec) Reply(int, http.Header) Reply                 { return Reply{} }

func newRelay() *Relay {
	return New(Config{Clock: clock.Manual(0), Codec: noCodec{}, DC: "north", Log: zap.NewNop()})
}

// Two servers that are lost within a second are behind a cut. Without this, a
// cut data centre left innocent requests in quarantine.
func TestCutOff(t *testing.T) {
	tests := []struct {
		name  string
		first keys.Server
		gap   clock.Time
		want  bool
	}{
		{"two servers at once", "a", 500, true},
		{"the same server again", "b", 500, false},
		{"two servers one by one", "a", 1500, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newRelay()
			is.True(!r.cutOff(5000, tt.first))
			is.Equal(r.cutOff(5000+tt.gap, "b"), tt.want)
		})
	}
}

// A path is unknown only to a host that knows the configuration.
func TestUnknownPath(t *testing.T) {
	is := is.New(t)
	r := newRelay()
	req := &caller.Request{Method: "GET", Target: "/x", Path: "/x", Host: "h", Header: http.Header{}}
	a := r.Handle(context.Background(), req)
	is.Equal(a.Status, http.StatusServiceUnavailable)
	is.True(a.Header.Get("Retry-After") != "")
	r.Configure(intent.New(intent.Document{Version: 1}))
	is.Equal(r.Handle(context.Background(), req).Status, http.StatusNotFound)
}

// Headers of one connection aren't forwarded, nor those that it names.
func TestEndToEnd(t *testing.T) {
	is := is.New(t)
	h := http.Header{"Connection": {"keep-alive, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"5"}, "X-End": {"2"}, "Content-Length": {"3"}}
	is.Equal(endToEnd(h), http.Header{"X-End": {"2"}})
	is.Equal(len(h), 5)
}
