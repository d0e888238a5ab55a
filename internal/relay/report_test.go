package relay

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/laburnummux/laburnummux/internal/caller"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/intent"
	"github.com/laburnummux/laburnummux/internal/link"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Guards against a 404 in the log without the configuration, host and path it was about.
func TestUnknownRouteIsReported(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	r := newRelay()
	r.cfg.Log = zap.New(core)
	r.SetConfig(intent.New(intent.Document{Version: 9}))
	path := "/" + strings.Repeat("x", 100)
	req := &caller.Request{Method: "GET", Target: path, Path: path, Host: "h", Header: http.Header{}}
	is.Equal(r.Handle(context.Background(), req).Status, http.StatusNotFound)
	m := logs.FilterMessage("request").All()[0].ContextMap()
	is.Equal(m["why"], reasonNoRoute)
	is.Equal(m["config"], uint64(9))
	is.Equal(m["vhost"], "h")
	is.Equal(m["path"], path[:64])
}

// Guards against an unsigned response that neither the log nor a counter explains.
func TestUnsignedResponseIsReported(t *testing.T) {
	for _, signed := range []bool{true, false} {
		t.Run(fmt.Sprint("signed ", signed), func(t *testing.T) {
			is := is.New(t)
			core, logs := observer.New(zap.InfoLevel)
			reg := prometheus.NewRegistry()
			r := newRelay()
			r.cfg.Log, r.cfg.Metrics, r.cfg.Codec = zap.New(core), NewMetrics(reg), replyCodec(signed)
			c := &call{relay: r, service: "ledger"}
			result := c.classify(context.Background(), link.Result{Sent: true, Status: http.StatusNotFound})
			is.Equal(result.outcome == answered, signed)
			c.lastErr = result.err
			c.finish(caller.Response{Status: http.StatusBadGateway}, reasonAnswerLost)
			cause, ok := logs.All()[0].ContextMap()["cause"].(string)
			is.Equal(ok, !signed)
			is.Equal(strings.Contains(cause, "404"), !signed)
			families, err := reg.Gather()
			is.NoErr(err)
			counted := false
			for _, f := range families {
				counted = counted || f.GetName() == "laburnummux_unsigned_responses_total"
			}
			is.Equal(counted, !signed)
		})
	}
}

// replyCodec reads every response as signed, or every one as unsigned.
type replyCodec bool

func (replyCodec) Meta(http.Header) Meta { return Meta{} }

func (replyCodec) Forward(http.Header, clock.Span, keys.Server) {}

func (s replyCodec) Reply(int, http.Header) Reply { return Reply{Signed: bool(s)} }

// Guards against a signed failure that is passed on without its signature, as if it were the host's.
func TestSignatureInConnectionHeader(t *testing.T) {
	tests := []struct {
		connection string
		want       bool // it is passed on
	}{
		{"", true},
		{"close", true},
		{"close, Signature", false},
	}
	for _, tt := range tests {
		t.Run(tt.connection, func(t *testing.T) {
			r := newRelay()
			r.cfg.Codec = headerCodec{}
			h := http.Header{"Signature": {"s"}}
			if tt.connection != "" {
				h["Connection"] = []string{tt.connection}
			}
			c := &call{relay: r, service: "ledger"}
			result := c.classify(context.Background(), link.Result{Sent: true, Status: http.StatusNotFound, Header: h})
			is.New(t).Equal(result.outcome == answered, tt.want)
		})
	}
}

// headerCodec reads responses with a header Signature as signed.
type headerCodec struct{ replyCodec }

func (headerCodec) Reply(_ int, h http.Header) Reply { return Reply{Signed: h.Get("Signature") != ""} }
