package relay

import (
	"strconv"

	"github.com/prometheus/client_golang/prometheus"
)

// coldMetrics has the metrics of cold servers and of what servers say about their load.
type coldMetrics struct {
	coldServers   prometheus.Gauge
	rampServers   prometheus.Gauge
	coldHeld      prometheus.Counter
	loadHeaders   *prometheus.CounterVec
	badLoad       prometheus.Counter
	badWarmup     prometheus.Counter
	lastHeldCount uint64
}

func newColdMetrics(reg prometheus.Registerer) coldMetrics {
	m := coldMetrics{
		coldServers: prometheus.NewGauge(prometheus.GaugeOpts{Name: "laburnummux_cold_servers", Help: "Servers that are cold."}),
		rampServers: prometheus.NewGauge(prometheus.GaugeOpts{Name: "laburnummux_slow_start_servers", Help: "Servers in slow start."}),
		coldHeld: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "laburnummux_cold_held_total", Help: "Requests that the limit of a cold server kept waiting or from that server; one that waits counts once.",
		}),
		loadHeaders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "laburnummux_load_headers_total", Help: "Responses of servers by the number of figures about their load.",
		}, []string{"figures"}),
		badLoad:   prometheus.NewCounter(prometheus.CounterOpts{Name: "laburnummux_invalid_load_headers_total", Help: "Load headers with a missing or invalid figure."}),
		badWarmup: prometheus.NewCounter(prometheus.CounterOpts{Name: "laburnummux_invalid_warmups_total", Help: "Health responses with an invalid warm-up."}),
	}
	reg.MustRegister(m.coldServers, m.rampServers, m.coldHeld, m.loadHeaders, m.badLoad, m.badWarmup)
	return m
}

// maxFigures is the highest number of figures that has a label of its own.
const maxFigures = 4

func (m *Metrics) countLoad(reply Reply) {
	if m == nil {
		return
	}
	figures := "more"
	if reply.LoadFigures <= maxFigures {
		figures = strconv.Itoa(reply.LoadFigures)
	}
	m.loadHeaders.WithLabelValues(figures).Inc()
	if reply.BadLoad {
		m.badLoad.Inc()
	}
}

func (m *Metrics) countBadWarmup() {
	if m != nil {
		m.badWarmup.Inc()
	}
}

// observeCold sets the numbers of cold servers and of servers in slow start, and counts
// the held requests up to a total. Calls are serialized.
func (m *Metrics) observeCold(cold, ramping int, held uint64) {
	if m == nil {
		return
	}
	m.coldServers.Set(float64(cold))
	m.rampServers.Set(float64(ramping))
	m.coldHeld.Add(float64(held - m.lastHeldCount))
	m.lastHeldCount = held
}
