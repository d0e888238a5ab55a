package front

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/head"
)

// Guards against a malformed response of the store, of another host or to a grant that no
// counter tells.
func TestMalformedHeadsAreReported(t *testing.T) {
	var s head.Scanner
	s.Begin()
	_, malformed := s.Scan([]byte("HTTP/1.1 200 OK\r\nX Foo: 1\r\n"))
	tests := []struct {
		from   string
		report func(h *Host, err error)
	}{
		{"store", func(h *Host, err error) { h.CountStoreCall("list", err) }},
		{"host", func(h *Host, err error) { h.recordFetch(0, err) }},
		{"server", func(h *Host, err error) { h.role.applyReply(GrantReply{}, err, fleet.Incarnation{}) }},
	}
	for _, tt := range tests {
		t.Run(tt.from, func(t *testing.T) {
			is := is.New(t)
			reg := prometheus.NewRegistry()
			h := New(Config{Settings: Settings{Host: "a", IP: "127.0.0.1"}, Log: zap.NewNop(), Registry: reg})
			for _, err := range []error{nil, ErrNoResponse, fmt.Errorf("%w: %w", ErrNoResponse, malformed)} {
				tt.report(h, err)
			}
			families, err := reg.Gather()
			is.NoErr(err)
			counts := make(map[string]float64)
			for _, f := range families {
				if f.GetName() != "laburnummux_malformed_heads_total" {
					continue
				}
				for _, m := range f.GetMetric() {
					counts[m.GetLabel()[1].GetValue()+" "+m.GetLabel()[0].GetValue()] += m.GetCounter().GetValue()
				}
			}
			is.Equal(counts, map[string]float64{tt.from + " name": 1})
		})
	}
}
