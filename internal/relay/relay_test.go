package relay

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/caller"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/intent"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

type stubCodec struct{}

func (stubCodec) Meta(http.Header) Meta                        { return Meta{} }
func (stubCodec) Forward(http.Header, clock.Span, keys.Server) {}
func (stubCodec) Reply(int, http.Header) Reply                 { return Reply{} }

func newRelay() *Relay {
	return New(Config{Clock: clock.Manual(0), Codec: stubCodec{}, DC: "north", Log: zap.NewNop()})
}

// Guards against a host without a configuration that responds 404 to a path
// instead of 503.
func TestUnknownRoute(t *testing.T) {
	is := is.New(t)
	r := newRelay()
	req := &caller.Request{Method: "GET", Target: "/x", Path: "/x", Host: "h", Header: http.Header{}}
	resp := r.Handle(context.Background(), req)
	is.Equal(resp.Status, http.StatusServiceUnavailable)
	is.True(resp.Header.Get("Retry-After") != "")
	r.SetConfig(intent.New(intent.Document{Version: 1}))
	is.Equal(r.Handle(context.Background(), req).Status, http.StatusNotFound)
}

// Guards against hop-by-hop headers that are forwarded, including those that the
// Connection header lists.
func TestEndToEnd(t *testing.T) {
	is := is.New(t)
	h := http.Header{"Connection": {"keep-alive, X-Hop"}, "X-Hop": {"1"}, "Keep-Alive": {"5"}, "X-End": {"2"}, "Content-Length": {"3"}}
	is.Equal(endToEnd(h), http.Header{"X-End": {"2"}})
	is.Equal(len(h), 5)
}

// Guards against a count of departed callers that doesn't say where their requests were.
func TestStageOfDepartedCallers(t *testing.T) {
	tests := []struct {
		sends int
		at    stage
		want  string
	}{
		{0, stageUnread, "unread"},
		{0, stageQueued, "queued"},
		{1, stageQueued, "sent"},
		{2, stageQueued, "sent"},
	}
	for _, tt := range tests {
		t.Run(tt.want, func(t *testing.T) {
			is := is.New(t)
			r := newRelay()
			reg := prometheus.NewRegistry()
			r.cfg.Metrics = NewMetrics(reg)
			c := &call{relay: r, service: "ledger", sends: tt.sends, leftAt: tt.at}
			is.True(c.endAbandoned().Abort)
			families, err := reg.Gather()
			is.NoErr(err)
			found := false
			for _, f := range families {
				if f.GetName() == "laburnummux_callers_left_total" {
					m := f.GetMetric()[0]
					found = m.GetLabel()[1].GetValue() == tt.want && m.GetCounter().GetValue() == 1
				}
			}
			is.True(found)
		})
	}
}
