package front

import (
	"fmt"
	"slices"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

//go:generate go tool stringer -type=Feature -linecomment -output=feature_string.go

// Feature is a feature that an operator can disable to compare results.
type Feature int

// Features.
const (
	Admission Feature = iota // admission
	SlowStart                // slow-start
	Slowdown                 // slowdown
	Handover                 // handover
)

var features = []Feature{Admission, SlowStart, Slowdown, Handover}

// FeatureNames returns the names of all features.
func FeatureNames() []string { return featureNames(features) }

func featureNames(list []Feature) (names []string) {
	for _, f := range list {
		names = append(names, f.String())
	}
	return names
}

// ParseFeatures returns the features with the given names, each once.
func ParseFeatures(names []string) (list []Feature, err error) {
	for _, name := range names {
		i := slices.Index(FeatureNames(), name)
		if i < 0 {
			return nil, fmt.Errorf("unknown feature %q; the known features are %s", name, strings.Join(FeatureNames(), ", "))
		}
		if !slices.Contains(list, features[i]) {
			list = append(list, features[i])
		}
	}
	return list, nil
}

// disables reports whether the settings disable a feature.
func (s Settings) disables(f Feature) bool { return slices.Contains(s.Disabled, f) }

// registerFeatures registers the gauge that tells which features are enabled.
func (s Settings) registerFeatures(reg prometheus.Registerer) {
	enabled := prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "laburnummux_feature_enabled", Help: "1 unless the feature is disabled by --disable; it may need configuration as well.",
	}, []string{"feature"})
	for _, f := range features {
		v := 1.0
		if s.disables(f) {
			v = 0
		}
		enabled.WithLabelValues(f.String()).Set(v)
	}
	reg.MustRegister(enabled)
}

// logFeatures names the disabled features in one line, if there are any.
func (s Settings) logFeatures(log *zap.Logger) {
	if len(s.Disabled) > 0 {
		log.Info("features are disabled", zap.Strings("features", featureNames(s.Disabled)))
	}
}
