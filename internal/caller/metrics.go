package caller

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/laburnummux/laburnummux/internal/budget"
)

// Reasons why bodies were given up and connections closed.
const (
	ReasonMemory   = "memory"   // request; it was the longest of the caller address with most
	ReasonStalled  = "stalled"  // request; as above, and it made no progress
	ReasonTimeout  = "timeout"  // request; it took too long
	ReasonTooLong  = "too-long" // request; it exceeds the limit
	ReasonResponse = "response" // response; the caller read it slowly, and has most

	reasonIdle       = "idle"       // closed without a request
	reasonIncomplete = "incomplete" // closed with an incomplete request
	reasonUnread     = "unread"     // closed with a response that its caller doesn't read
	reasonRefused    = "refused"    // closed at once: all others have requests in progress
)

// Metrics has the metrics of the memory of bodies and of callers' connections.
type Metrics struct {
	givenUp *prometheus.CounterVec
	conns   *prometheus.CounterVec
	others  *prometheus.CounterVec // as conns, of the other addresses
	windows *prometheus.CounterVec
	rejects *prometheus.CounterVec
}

// NewMetrics registers the metrics of a Server and of its budget.
func NewMetrics(reg prometheus.Registerer, b *budget.Budget) *Metrics {
	m := &Metrics{
		givenUp: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "laburnummux_bodies_given_up_total", Help: "Callers' requests that were not read to their end and responses that were not written to theirs, by reason.",
		}, []string{"reason"}),
		conns: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "laburnummux_caller_connections_closed_total", Help: "Callers' connections closed because there were too many, by reason.",
		}, []string{"reason"}),
	}
	m.others = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "laburnummux_other_connections_closed_total", Help: "Connections to the addresses that aren't for callers closed because there were too many, by address and reason.",
	}, []string{"address", "reason"})
	m.windows = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "laburnummux_long_bodies_total", Help: "Long bodies of callers' requests by the size of the receive buffer that they were read with: short if the memory of bodies was in use.",
	}, []string{"buffer"})
	m.rejects = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "laburnummux_requests_rejected_total", Help: "Callers' requests that were rejected while they were read, by reason and status.",
	}, []string{"reason", "status"})
	held := prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Name: "laburnummux_body_bytes", Help: "Memory of the headers and bodies of callers' requests, and of servers' responses.",
	}, func() float64 { return float64(b.Used()) })
	reg.MustRegister(m.givenUp, m.conns, m.others, m.windows, m.rejects, held)
	return m
}

// CountGivenUp counts a body that was given up. m may be nil.
func (m *Metrics) CountGivenUp(reason string) {
	if m != nil {
		m.givenUp.WithLabelValues(reason).Inc()
	}
}

// ForAddress returns metrics that count the connections of an address that isn't for
// callers. m may be nil.
func (m *Metrics) ForAddress(name string) *Metrics {
	if m == nil {
		return nil
	}
	return &Metrics{givenUp: m.givenUp, windows: m.windows, rejects: m.rejects, conns: m.others.MustCurryWith(prometheus.Labels{"address": name})}
}

// countLongBody counts a long body that was read with a large receive buffer, or a
// short one.
func (m *Metrics) countLongBody(large bool) {
	if m == nil {
		return
	}
	buffer := "short"
	if large {
		buffer = "large"
	}
	m.windows.WithLabelValues(buffer).Inc()
}

func (m *Metrics) countRejection(r rejection) {
	if m != nil {
		m.rejects.WithLabelValues(r.String(), strconv.Itoa(r.status())).Inc()
	}
}

func (m *Metrics) countConn(reason string) {
	if m != nil {
		m.conns.WithLabelValues(reason).Inc()
	}
}
