package front

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// admissionMetrics are the metrics of the admission of this host's requests.
type admissionMetrics struct {
	asks *prometheus.CounterVec
	wait prometheus.Histogram
	// unanswered counts admitters that haven't replied; the next may have.
	unanswered prometheus.Counter
}

func newAdmissionMetrics(reg prometheus.Registerer) *admissionMetrics {
	m := &admissionMetrics{
		asks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "laburnummux_admission_asks_total", Help: "Requests of this host for which admission was asked, by result.",
		}, []string{"result"}),
		wait: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "laburnummux_admission_wait_seconds", Help: "Time that these requests waited for the result.", Buckets: prometheus.ExponentialBuckets(0.0005, 3, 8),
		}),
	}
	m.unanswered = prometheus.NewCounter(prometheus.CounterOpts{
		Name: "laburnummux_admission_unanswered_total", Help: "Asks to which the admitter of a server hasn't replied.",
	})
	reg.MustRegister(m.asks, m.wait, m.unanswered)
	return m
}

func (m *admissionMetrics) observe(result string, took time.Duration) {
	m.asks.WithLabelValues(result).Inc()
	m.wait.Observe(took.Seconds())
}
