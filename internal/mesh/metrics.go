package mesh

import "github.com/prometheus/client_golang/prometheus"

// Metrics counts the datagrams of a host.
type Metrics struct {
	sent, received [numKinds]counters
	dropped        *prometheus.CounterVec
}

// counters are those of one kind of message in one direction.
type counters struct{ datagrams, bytes prometheus.Counter }

func (c counters) add(bytes int) {
	if c.datagrams == nil {
		return
	}
	c.datagrams.Inc()
	c.bytes.Add(float64(bytes))
}

// NewMetrics registers the metrics.
func NewMetrics(reg prometheus.Registerer) *Metrics {
	labels := []string{"kind", "direction"}
	datagrams := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "laburnummux_mesh_datagrams_total", Help: "Datagrams between hosts by kind of message and direction.",
	}, labels)
	bytes := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "laburnummux_mesh_bytes_total", Help: "Payload of these datagrams in bytes.",
	}, labels)
	m := &Metrics{dropped: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "laburnummux_mesh_dropped_total", Help: "Received datagrams that were dropped, by reason.",
	}, []string{"reason"})}
	for k := range numKinds {
		m.sent[k] = counters{datagrams.WithLabelValues(k.String(), "sent"), bytes.WithLabelValues(k.String(), "sent")}
		m.received[k] = counters{datagrams.WithLabelValues(k.String(), "received"), bytes.WithLabelValues(k.String(), "received")}
	}
	reg.MustRegister(datagrams, bytes, m.dropped)
	return m
}

// CountSent counts a message that was sent to a number of hosts.
func (m *Metrics) CountSent(k Kind, bytes, hosts int) {
	for range hosts {
		m.sent[k].add(bytes)
	}
}

// CountReceived counts a message that was received.
func (m *Metrics) CountReceived(k Kind, bytes int) { m.received[k].add(bytes) }

// CountDropped counts a datagram that was dropped.
func (m *Metrics) CountDropped(why Drop) { m.dropped.WithLabelValues(why.String()).Inc() }

//go:generate go tool stringer -type=Drop -linecomment -output=drop_string.go

// Drop is the reason for which a datagram was dropped.
type Drop int

// Reasons for dropping a datagram.
const (
	Malformed Drop = iota // malformed
	Foreign               // foreign
)
