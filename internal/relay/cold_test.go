package relay

import (
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/intent"
)

// Guards against a health response whose warm-up isn't applied while the store is down,
// and against invalid headers that aren't counted.
func TestHeadersOfHealthResponses(t *testing.T) {
	is := is.New(t)
	sv := fleet.Server{ID: "s", Service: "catalogue", Addr: "127.0.0.1:1", Born: 5, Slots: 2}
	r := newRelay()
	reg := prometheus.NewRegistry()
	r.cfg.Metrics = NewMetrics(reg)
	r.SetConfig(intent.New(intent.Document{Version: 1, Services: []intent.Service{{Name: "catalogue", Warmup: 3000, ColdRate: 4.6}}}))
	r.SetServers([]fleet.Server{sv})
	for _, reply := range []Reply{
		{LoadFigures: 3}, {LoadFigures: 4, Slowdown: 1}, {LoadFigures: 4, BadLoad: true}, {LoadFigures: 5}, {BadWarmup: true}, {Warmup: 2000, HasWarmup: true},
	} {
		r.countLoad(sv.Incarnation(), reply)
		r.applyNotices(sv.Incarnation(), reply)
	}
	left := r.ColdLeft(sv.ID)
	is.True(left > 1000 && left <= 2000*clock.Millisecond)
	r.cfg.Metrics.observeCold(r.placement.ColdCounts(r.cfg.Clock.Now()))
	families, err := reg.Gather()
	is.NoErr(err)
	sums := make(map[string]float64)
	for _, f := range families {
		for _, m := range f.GetMetric() {
			sums[f.GetName()] += m.GetCounter().GetValue() + m.GetGauge().GetValue()
			for _, l := range m.GetLabel() {
				sums[f.GetName()+" "+l.GetValue()] = m.GetCounter().GetValue()
			}
		}
	}
	for name, want := range map[string]float64{
		"laburnummux_load_headers_total 3": 1, "laburnummux_load_headers_total 4": 2, "laburnummux_load_headers_total more": 1,
		"laburnummux_invalid_load_headers_total": 1, "laburnummux_invalid_warmups_total": 1, "laburnummux_cold_servers": 1,
	} {
		is.Equal(sums[name], want) // see the map
	}
}
