package front

import (
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/mesh"
)

// Guards against a misspelt name that disables nothing without an error, and against a
// feature that is listed twice.
func TestParseFeatures(t *testing.T) {
	tests := []struct {
		name  string
		names []string
		want  []Feature
		err   string
	}{
		{"none", nil, nil, ""},
		{"all", []string{"admission", "slow-start", "slowdown", "handover"}, features, ""},
		{"twice", []string{"slowdown", "slowdown"}, []Feature{Slowdown}, ""},
		{"unknown", []string{"slowdown", "evacuation"}, nil, `"evacuation"`},
		{"capital letter", []string{"Admission"}, nil, `"Admission"`},
		{"empty", []string{""}, nil, `""`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got, err := ParseFeatures(tt.names)
			is.Equal(got, tt.want)
			is.Equal(err != nil, tt.err != "")
			if err != nil {
				is.True(strings.Contains(err.Error(), tt.err+"; the known features are admission, slow-start, slowdown, handover"))
			}
		})
	}
}

// handsOver reports whether a host gives up the assigner's role because the store responds
// to another host only, and whether its heartbeats and its calls of the store say so.
func handsOver(t *testing.T, h *Host) (leaves, told, probes bool) {
	mono, now := h.clock.Now().Add(10*clock.Second), h.role.now()
	h.role.assigner = unconnectedAssigner(t, now)
	h.role.heldTerm.Store(2)
	h.members.handleHeartbeat(mono, &mesh.Heartbeat{From: "other", IP: "127.0.0.2", DC: "north", Incarnation: 1, ConfirmationAge: clock.Second, Cores: 0.8})
	h.outage, h.storeUp = storeOutage{failures: 3, since: mono.Add(-2 * clock.Second)}, false
	leaves, probes = h.othersReachStore(mono), h.role.confirmPeriod() < confirmInterval
	h.role.stepDown("test")
	return leaves, h.heartbeat(mono, 1, mesh.ReachGroup, false).GaveUpTerm == 2, probes
}

// Guards against a switch that isn't passed to its component, or that disables more than
// its feature.
func TestSwitches(t *testing.T) {
	tests := []struct {
		name     string
		disabled []Feature
	}{
		{"none", nil},
		{"admission", []Feature{Admission}},
		{"slow start", []Feature{SlowStart}},
		{"slowdown", []Feature{Slowdown}},
		{"handover", []Feature{Handover}},
		{"two", []Feature{Slowdown, Handover}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			core, logged := observer.New(zap.InfoLevel)
			reg := prometheus.NewRegistry()
			s := Settings{Host: "self", DC: "north", Cores: 0.8, Disabled: tt.disabled}
			h := New(Config{Settings: s, Granter: &countingGranter{}, Log: zap.New(core), Registry: reg})

			want := make(map[Feature]bool)
			for _, f := range tt.disabled {
				want[f] = true
			}
			h.cfg.Registry = prometheus.NewRegistry()
			c := h.relayConfig(nil)
			is.True(c.Admitter != nil) // requests to cold servers are admitted in any case
			is.Equal(c.ColdAdmissionOnly, want[Admission])
			is.Equal(c.NoSlowStart, want[SlowStart])
			is.Equal(c.IgnoreSlowdown, want[Slowdown])
			leaves, told, probes := handsOver(t, h)
			is.Equal(leaves, !want[Handover])
			is.Equal(told, !want[Handover])
			is.Equal(probes, !want[Handover])
			is.True(h.heartbeat(h.clock.Now(), 1, mesh.ReachGroup, false).Admits) // for other hosts

			enabled := gauges(t, reg, "laburnummux_feature_enabled")
			is.Equal(len(enabled), len(features))
			for _, f := range features {
				is.Equal(enabled[f.String()] == 0, want[f])
			}

			h.cfg.Settings.logFeatures(h.log)
			lines := logged.FilterMessage("features are disabled").All()
			if len(tt.disabled) == 0 {
				is.Equal(len(lines), 0)
				return
			}
			is.Equal(len(lines), 1)
			is.Equal(lines[0].ContextMap()["features"], anySlice(featureNames(tt.disabled)))
		})
	}
}

func anySlice(names []string) (list []any) {
	for _, n := range names {
		list = append(list, n)
	}
	return list
}

// gauges returns the values of a gauge by the value of its only label.
func gauges(t *testing.T, reg *prometheus.Registry, name string) map[string]float64 {
	t.Helper()
	families, err := reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	values := make(map[string]float64)
	for _, f := range families {
		if f.GetName() != name {
			continue
		}
		for _, m := range f.GetMetric() {
			values[m.GetLabel()[0].GetValue()] = m.GetGauge().GetValue()
		}
	}
	return values
}

// Guards against features that are enabled again, or reported as changed, when the
// settings file is read again: it doesn't have them.
func TestReloadKeepsFeatures(t *testing.T) {
	is := is.New(t)
	core, logged := observer.New(zap.InfoLevel)
	s := Settings{Host: "self", DC: "north", Metrics: "127.0.0.1:9464", Seeds: []string{"127.0.0.1"}, Disabled: []Feature{Handover}}
	h := New(Config{Settings: s, Log: zap.New(core)})
	s.Metrics, s.Disabled = "", nil // as in the file
	h.applySettings(s)
	is.Equal(len(logged.FilterMessage("applied changed settings").All()), 0)
	is.True(h.settings.disables(Handover))
	s.Seeds = []string{"127.0.0.2"}
	h.applySettings(s)
	is.Equal(len(logged.FilterMessage("applied changed settings").All()), 1)
	is.True(h.settings.disables(Handover))
}
