package head

import (
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
)

//go:generate go tool stringer -type=Source -linecomment -output=source_string.go

// Source is what has sent a malformed head.
type Source int

// Sources of responses.
const (
	SourceServer Source = iota // server
	SourceHost                 // host
	SourceStore                // store
)

// Reporter logs and counts the malformed heads of responses.
type Reporter struct {
	log   *zap.Logger
	heads *prometheus.CounterVec
}

// NewReporter registers the metric.
func NewReporter(reg prometheus.Registerer, log *zap.Logger) *Reporter {
	r := &Reporter{log: log, heads: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "laburnummux_malformed_heads_total", Help: "Responses with a malformed head or trailer, which are not used, by sender and fault.",
	}, []string{"from", "fault"})}
	reg.MustRegister(r.heads)
	return r
}

// ReportFunc reports an error if it is about a malformed head.
type ReportFunc func(err error, fields ...zap.Field)

// From returns a ReportFunc for the responses of a sender.
func (r *Reporter) From(from Source) ReportFunc {
	return func(err error, fields ...zap.Field) { r.Report(from, err, fields...) }
}

// Report reports an error if it is about a malformed head. The fields say more about the
// response. r may be nil.
func (r *Reporter) Report(from Source, err error, fields ...zap.Field) {
	f, ok := FaultOf(err)
	if r == nil || !ok {
		return
	}
	r.heads.WithLabelValues(from.String(), f.String()).Inc()
	if ce := r.log.Check(zap.WarnLevel, "malformed response; closing its connection"); ce != nil {
		ce.Write(append(fields, zap.Stringer("from", from), zap.Stringer("why", f), zap.Error(err))...)
	}
}
