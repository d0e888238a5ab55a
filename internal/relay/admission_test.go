package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/caller"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/intent"
	"github.com/laburnummux/laburnummux/internal/owner"
	"github.com/laburnummux/laburnummux/internal/place"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// keyCodec takes every request for one with a key.
type keyCodec struct{ signedCodec }

func (keyCodec) Meta(http.Header) Meta { return Meta{Key: 7, HasKey: true} }

// stubAdmitter decides by a function of the number of the ask.
type stubAdmitter struct {
	decide func(ctx context.Context, n int, a Ask) Admission
	asks   []Ask
}

func (s *stubAdmitter) Admit(ctx context.Context, a Ask) Admission {
	s.asks = append(s.asks, a)
	return s.decide(ctx, len(s.asks), a)
}

func admissionTable(id keys.Server) owner.Table {
	return owner.Table{Service: "ledger", Term: 1, Spans: []owner.Range{{From: 0, To: owner.MaxKey, Server: id}}}
}

// Guards against requests that are sent without admission, that stay with a former owner
// of their key, and against admissions that nobody ends.
func TestAdmission(t *testing.T) {
	type want struct {
		status  int
		served  int32
		servers []keys.Server // that were asked for
		results int           // of admitted requests
	}
	refused := Admission{Verdict: AdmitRefused, RetryAfter: 250}
	tests := []struct {
		name   string
		shares int
		cold   clock.Span // of server a
		keyed  bool
		left   bool // the caller has left when the request is sent
		decide func(ctx context.Context, r *Relay, n int) Admission
		want   want
	}{
		{"admitted", 2, 0, true, false, nil, want{200, 1, []keys.Server{"a"}, 1}},
		{"all hosts tell their load", 1, 0, true, false, nil, want{200, 1, nil, 0}},
		{"without a key", 2, 0, false, false, nil, want{200, 1, nil, 0}},
		{"refused", 2, 0, true, false, func(context.Context, *Relay, int) Admission { return refused }, want{503, 0, []keys.Server{"a"}, 0}},
		{"the key moves", 2, 0, true, false, func(ctx context.Context, r *Relay, n int) Admission {
			if n == 1 {
				go r.SetTable(admissionTable("b"))
				<-ctx.Done()
				return Admission{}
			}
			return Admission{Verdict: AdmitSend}
		}, want{200, 1, []keys.Server{"a", "b"}, 0}},
		{"the server restarts", 2, 0, true, false, func(ctx context.Context, r *Relay, n int) Admission {
			if n == 1 {
				p := r.pools["a"].server
				p.Born++
				go r.SetServers([]fleet.Server{p, r.pools["b"].server})
				<-ctx.Done()
				return Admission{}
			}
			return Admission{Verdict: AdmitSend}
		}, want{200, 1, []keys.Server{"a", "a"}, 0}},
		{"the server asks for a pause", 2, 0, true, false, func(_ context.Context, r *Relay, n int) Admission {
			if n == 1 {
				r.applyNotices(r.pools["a"].server.Incarnation(), Reply{Pause: 100})
			}
			return Admission{Verdict: AdmitSend}
		}, want{200, 1, []keys.Server{"a", "a"}, 0}},
		{"gone, as the admitter knows", 2, 0, true, false, func(_ context.Context, _ *Relay, n int) Admission {
			return Admission{Verdict: []AdmitVerdict{AdmitGone, AdmitSend}[n-1]}
		}, want{200, 1, []keys.Server{"a", "a"}, 0}},
		{"the caller leaves before it is sent", 2, 0, true, true, nil, want{0, 0, []keys.Server{"a"}, 1}},
		{"cold owner", 1, 5000, true, false, nil, want{200, 1, []keys.Server{"a"}, 1}},
		{"cold server that is refused, another is warm", 1, 5000, false, false, func(context.Context, *Relay, int) Admission { return refused }, want{200, 1, nil, 0}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var served atomic.Int32
			sv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served.Add(1) }))
			t.Cleanup(sv.Close)
			results := 0
			var r *Relay
			adm := &stubAdmitter{decide: func(ctx context.Context, n int, _ Ask) Admission {
				if tt.decide != nil {
					return tt.decide(ctx, r, n)
				}
				return Admission{Verdict: AdmitSend, Done: func(res place.Result) {
					results++
					is.Equal(res.Cancelled, tt.left)
				}}
			}}
			r = New(Config{Clock: clock.System(), Codec: keyCodec{}, DC: "north", Log: zap.NewNop(), Admitter: adm})
			r.SetConfig(intent.New(intent.Document{
				Version: 1, Services: []intent.Service{{Name: "ledger", Conns: 100, Keyed: tt.keyed, ColdRate: 5}},
				Routes: []intent.Route{{
					Name: "browse", Host: "h", Prefix: "/", Attempts: 2, Timeout: 5 * clock.Second, Objective: clock.Second,
					Parts: []intent.WeightedService{{Service: "ledger", Weight: 1}},
				}},
			}))
			addr := sv.Listener.Addr().String()
			r.SetServers([]fleet.Server{{ID: "a", Service: "ledger", DC: "north", Addr: addr, Slots: 4, Warmup: tt.cold}, {ID: "b", Service: "ledger", DC: "north", Addr: addr, Slots: 4}})
			r.SetShare(place.Share{Count: tt.shares, Hosts: 2})
			r.SetTable(admissionTable("a"))
			go func() { _ = r.Run(t.Context()) }() // ends pauses
			resp := r.Handle(t.Context(), &caller.Request{Method: "GET", Target: "/x", Path: "/x", Host: "h", Header: http.Header{}, Left: func() bool { return tt.left }})
			is.Equal(resp.Status, tt.want.status)
			is.Equal(resp.Header.Get("Retry-After") != "", tt.want.status == 503)
			is.Equal(served.Load(), tt.want.served)
			var asked []keys.Server
			for _, a := range adm.asks {
				asked = append(asked, a.Server.ID)
				is.True(a.Deadline.After(a.Objective))
				is.Equal(a.ColdRate > 0, tt.cold > 0)
			}
			is.True(tt.want.servers == nil && len(asked) <= 1 || len(asked) == len(tt.want.servers))
			for i, id := range tt.want.servers {
				is.Equal(asked[i], id)
			}
			is.Equal(results, tt.want.results)
			inFlight, _ := r.LocalLoad()
			is.Equal(len(inFlight), 0)
			is.Equal(len(r.admissionWaits), 0)
		})
	}
}

// Guards against a request that waits for its admission after its caller has left.
func TestAdmissionEndsWithCaller(t *testing.T) {
	is := is.New(t)
	adm := &stubAdmitter{decide: func(ctx context.Context, _ int, _ Ask) Admission {
		<-ctx.Done()
		return Admission{}
	}}
	r := New(Config{Clock: clock.System(), Codec: keyCodec{}, DC: "north", Log: zap.NewNop(), Admitter: adm})
	r.SetConfig(intent.New(intent.Document{
		Version: 1, Services: []intent.Service{{Name: "ledger", Conns: 100, Keyed: true}},
		Routes: []intent.Route{{Name: "r", Host: "h", Prefix: "/", Attempts: 1, Timeout: 5 * clock.Second, Objective: clock.Second, Parts: []intent.WeightedService{{Service: "ledger", Weight: 1}}}},
	}))
	r.SetServers([]fleet.Server{{ID: "a", Service: "ledger", DC: "north", Addr: "127.0.0.1:1", Slots: 4}})
	r.SetShare(place.Share{Count: 2, Hosts: 2})
	r.SetTable(admissionTable("a"))
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	resp := r.Handle(ctx, &caller.Request{Method: "GET", Target: "/x", Path: "/x", Host: "h", Header: http.Header{}})
	is.True(resp.Abort)
	inFlight, _ := r.LocalLoad()
	is.Equal(len(inFlight), 0)
}

// Guards against an admitter that takes a short slowdown of a server, which the server
// reports, for its speed and refuses requests that could be served.
func TestAdmissionWithoutSlowdown(t *testing.T) {
	is := is.New(t)
	r := New(Config{Clock: clock.System(), Log: zap.NewNop(), Metrics: NewMetrics(prometheus.NewRegistry())})
	sv := fleet.Server{ID: "a", Service: "ledger", Addr: "127.0.0.1:1", Slots: 2, Born: 1}
	r.SetServers([]fleet.Server{sv})
	var got []clock.Span
	c := &call{relay: r}
	for _, x := range []float64{1, 3} {
		c.admissionDone = func(res place.Result) { got = append(got, res.Duration) }
		c.reportResult(sv, place.Result{Duration: 300, RouteMean: 100, Slowdown: x})
	}
	is.Equal(got[0], clock.Span(300))
	is.True(got[1] < 150)
}
