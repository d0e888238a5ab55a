// Package stats collects the Prometheus metrics of an entry host.
//
// # Usage
//
//	m := stats.New()
//	m.Request("ledger", answer.Answered, answer.ReasonNone, time.Since(start))
//	http.Handle("/metrics", m.Handler())
package stats

import (
	"net/http"
	"time"

	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Metrics are the counters and histograms of an entry host. Metric names end in
// their unit.
type Metrics struct {
	registry  *prometheus.Registry
	requests  *prometheus.CounterVec
	duration  *prometheus.HistogramVec
	attempts  *prometheus.CounterVec
	elections *prometheus.CounterVec
	store     *prometheus.CounterVec
	tables    *prometheus.CounterVec
}

// New returns metrics in a new registry, together with those of the Go runtime
// and of the process.
func New() *Metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "laburnummux", Name: name, Help: help}, labels)
	}
	m := &Metrics{
		registry: prometheus.NewRegistry(),
		requests: counter("requests_total", "Requests of callers by outcome and reason.", "service", "outcome", "reason"),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "laburnummux", Name: "request_duration_seconds",
			Help:    "Time from the request's header to the end of its answer.",
			Buckets: []float64{.001, .002, .004, .006, .008, .01, .012, .016, .024, .05, .1, .25, .5, 1, 2.5, 5},
		}, []string{"service"}),
		attempts:  counter("attempts_total", "Attempts at backend servers by their end.", "service", "end"),
		elections: counter("elections_total", "Changes of the assigner role at this host.", "cell", "change"),
		store:     counter("store_calls_total", "Calls to the store by result.", "call", "result"),
		tables:    counter("tables_total", "Routing tables adopted.", "cell"),
	}
	m.registry.MustRegister(m.requests, m.duration, m.attempts, m.elections, m.store, m.tables,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

// Register adds a collector, for values that are read at each scrape.
func (m *Metrics) Register(c prometheus.Collector) { m.registry.MustRegister(c) }

// Registry returns the registry, for components that register several metrics.
func (m *Metrics) Registry() prometheus.Registerer { return m.registry }

// Handler returns the handler of /metrics.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// Request counts a caller's request and records its duration.
func (m *Metrics) Request(s keys.Service, o answer.Outcome, r answer.Reason, duration time.Duration) {
	m.requests.WithLabelValues(string(s), o.String(), r.String()).Inc()
	m.duration.WithLabelValues(string(s)).Observe(duration.Seconds())
}

// Attempt counts an attempt at a backend server by its result, which is the text
// of a proxy.Failure.
func (m *Metrics) Attempt(s keys.Service, result string) {
	m.attempts.WithLabelValues(string(s), result).Inc()
}

// Election counts a change of the assigner role of a cell at this host.
func (m *Metrics) Election(c keys.Cell, change string) {
	m.elections.WithLabelValues(c.String(), change).Inc()
}

// Store counts a call to the store by its result.
func (m *Metrics) Store(call string, err error) {
	result := "ok"
	if err != nil {
		result = "failed"
	}
	m.store.WithLabelValues(call, result).Inc()
}

// Table counts a routing table that was put in force.
func (m *Metrics) Table(c keys.Cell) { m.tables.WithLabelValues(c.String()).Inc() }
