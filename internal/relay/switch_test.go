package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/caller"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/intent"
	"github.com/laburnummux/laburnummux/internal/place"
)

// switchedRelay returns a relay with a config, and what its admitter is asked. Server a
// owns all keys of the service "ledger" and is cold for a time; its admitter admits all.
// Server new of the service "catalogue" joined after the first list.
func switchedRelay(t *testing.T, cfg Config, cold clock.Span) (*Relay, *stubAdmitter) {
	sv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	t.Cleanup(sv.Close)
	adm := &stubAdmitter{decide: func(context.Context, int, Ask) Admission { return Admission{Verdict: AdmitSend} }}
	cfg.Clock, cfg.Codec, cfg.DC, cfg.Log, cfg.Admitter = clock.System(), keyCodec{}, "north", zap.NewNop(), adm
	cfg.Metrics, cfg.ColdOver, cfg.ColdSlack = NewMetrics(prometheus.NewRegistry()), 1.5, 8
	r := New(cfg)
	r.SetConfig(intent.New(intent.Document{
		Version: 1, Services: []intent.Service{{Name: "ledger", Conns: 100, Keyed: true, ColdRate: 5}, {Name: "catalogue", Conns: 100, Warmup: 60 * clock.Second}},
		Routes: []intent.Route{{
			Name: "history", Host: "h", Prefix: "/", Attempts: 1, Timeout: 5 * clock.Second, Objective: clock.Second,
			Parts: []intent.WeightedService{{Service: "ledger", Weight: 1}},
		}},
	}))
	a := fleet.Server{ID: "a", Service: "ledger", DC: "north", Addr: sv.Listener.Addr().String(), Slots: 2, Warmup: cold}
	r.SetServers([]fleet.Server{a})
	r.SetServers([]fleet.Server{a, {ID: "new", Service: "catalogue", DC: "north", Addr: "127.0.0.1:1", Slots: 2}})
	r.SetShare(place.Share{Count: 2, Hosts: 1})
	r.SetTable(admissionTable("a"))
	return r, adm
}

// requests sends 3 requests for a key. It returns how many of them were admitted before,
// and how many of those within the limit of a cold server.
func (s *stubAdmitter) requests(t *testing.T, r *Relay) (asked, limited int) {
	for range 3 {
		resp := r.Handle(t.Context(), &caller.Request{Method: "GET", Target: "/x", Path: "/x", Host: "h", Header: http.Header{}, Left: func() bool { return false }})
		if resp.Status != http.StatusOK {
			t.Fatalf("status %d", resp.Status)
		}
	}
	for _, a := range s.asks {
		if a.Cold > 0 && a.ColdRate == 5 {
			limited++
		}
	}
	return len(s.asks), limited
}

// startedAtNew returns how many of 5 requests without a key are sent at once to a server
// that has just joined.
func startedAtNew(r *Relay) (n int) {
	now := r.cfg.Clock.Now()
	for id := range uint64(5) {
		for _, act := range r.placement.Submit(now, place.Request{ID: id, Service: "catalogue", Arrived: now, Objective: now.Add(400), Deadline: now.Add(1500), RouteMean: 100}) {
			if st, ok := act.(place.Start); ok && st.Server.ID == "new" {
				n++
			}
		}
	}
	return n
}

// Guards against a switch without effect, and against one that changes more than its
// feature, such as the limit of cold servers, which is always in force.
func TestSwitches(t *testing.T) {
	tests := []struct {
		name     string
		cfg      Config
		asked    int // of 3 requests for keys of a warm server
		started  int // of 5 at a server that has just joined
		slowdown bool
	}{
		{"all enabled", Config{}, 3, 1, true},
		{"admission", Config{ColdAdmissionOnly: true}, 0, 1, true},
		{"slow start", Config{NoSlowStart: true}, 3, 3, true},
		{"slowdown", Config{IgnoreSlowdown: true}, 3, 1, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r, adm := switchedRelay(t, tt.cfg, 0)
			asked, limited := adm.requests(t, r)
			is.Equal(asked, tt.asked)
			is.Equal(limited, 0)
			is.Equal(startedAtNew(r), tt.started)
			r.placement.Done(r.cfg.Clock.Now(), "a", place.Result{Duration: 300, RouteMean: 100, Slowdown: 3})
			is.Equal(r.placement.Slowdown("a", 3) > 2, tt.slowdown)

			r, adm = switchedRelay(t, tt.cfg, 60*clock.Second)
			asked, limited = adm.requests(t, r)
			is.Equal(asked, 3)
			is.Equal(limited, 3)
			is.True(r.ColdLeft("a") > 0)
			is.Equal(r.serviceRamps()["ledger"].ColdRate, 5.0) // placement has the limit, too
			_, _, held := r.placement.ColdCounts(r.cfg.Clock.Now())
			is.Equal(held, uint64(0)) // the host has no limit of its own beside the admitter's
		})
	}
}

// loadCodec reads a load header with four figures from each response.
type loadCodec struct{ keyCodec }

func (loadCodec) Reply(int, http.Header) Reply {
	return Reply{Signed: true, LoadFigures: 4, Load: 1, HasLoad: true, Slowdown: 3}
}

// Guards against a fourth figure that isn't counted because it isn't used.
func TestIgnoredSlowdownIsCounted(t *testing.T) {
	is := is.New(t)
	r, adm := switchedRelay(t, Config{IgnoreSlowdown: true}, 0)
	r.cfg.Codec = loadCodec{}
	reg := prometheus.NewRegistry()
	r.cfg.Metrics = NewMetrics(reg)
	adm.requests(t, r)
	families, err := reg.Gather()
	is.NoErr(err)
	for _, f := range families {
		if f.GetName() == "laburnummux_load_headers_total" {
			is.Equal(f.GetMetric()[0].GetLabel()[0].GetValue(), "4")
			is.Equal(f.GetMetric()[0].GetCounter().GetValue(), 3.0)
			return
		}
	}
	is.Fail() // no header was counted
}
