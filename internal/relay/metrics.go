package relay

import (
	"strconv"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/link"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Metrics has the metrics of callers' requests and of sends to servers.
type Metrics struct {
	requests    *prometheus.CounterVec
	latency     *prometheus.HistogramVec
	sends       *prometheus.CounterVec
	connsOpened prometheus.Counter
	mismatched  prometheus.Counter
	unsigned    *prometheus.CounterVec
	callersLeft *prometheus.CounterVec
	tickDelay   prometheus.Histogram
	coldMetrics
}

// NewMetrics registers the relay's metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	m := &Metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "laburnummux_requests_total", Help: "Callers' requests by service, reason of the outcome and status.",
		}, []string{"service", "why", "status"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "laburnummux_request_seconds", Help: "Time until the final answer.", Buckets: prometheus.ExponentialBuckets(0.005, 2, 11),
		}, []string{"service"}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "laburnummux_sends_total", Help: "Requests sent to servers, by service and result.",
		}, []string{"service", "result"}),
		connsOpened: prometheus.NewCounter(prometheus.CounterOpts{Name: "laburnummux_connections_opened_total", Help: "Connections opened to servers."}),
		mismatched:  prometheus.NewCounter(prometheus.CounterOpts{Name: "laburnummux_foreign_responses_total", Help: "Responses that belonged to another request."}),
	}
	m.callersLeft = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "laburnummux_callers_left_total", Help: "Requests whose caller left before the final response, by service and where the request was.",
	}, []string{"service", "stage"})
	m.unsigned = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "laburnummux_unsigned_responses_total", Help: "Responses from backend servers without a signature, which are not passed on, by service and status.",
	}, []string{"service", "status"})
	m.tickDelay = prometheus.NewHistogram(prometheus.HistogramOpts{
		Name: "laburnummux_tick_delay_seconds", Help: "How late the process is: the delay of a timer that expires 20 to 100 times a second.", Buckets: prometheus.ExponentialBuckets(0.002, 4, 7),
	})
	m.coldMetrics = newColdMetrics(reg)
	reg.MustRegister(m.requests, m.latency, m.sends, m.connsOpened, m.mismatched, m.callersLeft, m.tickDelay, m.unsigned)
	return m
}

func (m *Metrics) observeRequest(s keys.Service, why string, status int, took clock.Span) {
	if m == nil {
		return
	}
	m.requests.WithLabelValues(string(s), why, strconv.Itoa(status)).Inc()
	m.latency.WithLabelValues(string(s)).Observe(took.Std().Seconds())
}

func (m *Metrics) observeUnsigned(s keys.Service, status int) {
	if m == nil {
		return
	}
	m.unsigned.WithLabelValues(string(s), strconv.Itoa(status)).Inc()
}

func (m *Metrics) observeCallerLeft(s keys.Service, at stage) {
	if m == nil {
		return
	}
	m.callersLeft.WithLabelValues(string(s), at.String()).Inc()
}

func (m *Metrics) observeTickDelay(d time.Duration) {
	if m == nil {
		return
	}
	m.tickDelay.Observe(d.Seconds())
}

func (m *Metrics) observeSend(s keys.Service, res link.Result) {
	if m == nil {
		return
	}
	result := strconv.Itoa(res.Status)
	if res.Err != nil {
		result = "error"
	}
	m.sends.WithLabelValues(string(s), result).Inc()
	m.mismatched.Add(float64(res.MismatchedResponses))
	if res.NewConn {
		m.connsOpened.Inc()
	}
}
