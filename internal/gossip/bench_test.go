package gossip

import (
	"runtime"
	"slices"
	"testing"
	"time"

	"github.com/laburnummux/laburnummux/internal/clock"
)

// BenchmarkGossip measures the time in the simulation from the acceptance of a
// revision at the store until it is in force on all hosts, and the traffic and
// memory that this costs. Run it with -benchtime 1x. Sizes are those of
// digest.go, with 60 bytes of frame for each message.
func BenchmarkGossip(b *testing.B) {
	const change = 10 * clock.Second // between single changes
	tests := []struct {
		name       string
		hosts, dcs int
		loss       float64
		changes    int
		interval   clock.Span
	}{
		{"hosts=12/single", 12, 3, 0, 5, change},
		{"hosts=12/loss", 12, 3, 0.01, 5, change},
		{"hosts=12/burst", 12, 3, 0, 100, clock.Second / 10},
		{"hosts=12/burst-loss", 12, 3, 0.01, 100, clock.Second / 10},
		{"hosts=400/single", 400, 7, 0, 5, change},
		{"hosts=400/loss", 400, 7, 0.01, 5, change},
		{"hosts=400/burst", 400, 7, 0, 100, clock.Second / 10},
		{"hosts=400/burst-loss", 400, 7, 0.01, 100, clock.Second / 10},
		{"hosts=3900/single", 3900, 7, 0, 2, change},
		{"hosts=3900/loss", 3900, 7, 0.01, 2, change},
		{"hosts=3900/burst", 3900, 7, 0, 100, clock.Second / 10},
		{"hosts=3900/burst-loss", 3900, 7, 0.01, 100, clock.Second / 10},
	}
	for _, tt := range tests {
		b.Run(tt.name, func(b *testing.B) {
			for range b.N {
				group := 8
				if tt.hosts == 12 {
					group = 4
				}
				before := heapBytes()
				m := newSim(b, tt.hosts, tt.dcs, group, 1)
				m.accept()
				m.run(15 * clock.Second)
				heapPerHost := float64(heapBytes()-before) / float64(tt.hosts)
				seconds := func(d clock.Span) float64 { return float64(d) / 1000 * float64(tt.hosts) }

				m.messages, m.requestBytes, m.responseBytes, m.steps = 0, 0, 0, 0
				start := time.Now()
				m.run(5 * clock.Second)
				ns := float64(time.Since(start)) / float64(m.steps)
				steady := float64(m.requestBytes) / seconds(5*clock.Second)
				maxWatch, minWatch := slices.Max(m.watcherCounts()), slices.Min(m.watcherCounts())

				m.messages, m.requestBytes, m.responseBytes, m.latency, m.lossRate = 0, 0, 0, nil, tt.loss
				for range tt.changes {
					m.accept()
					m.run(tt.interval)
				}
				span := tt.interval * clock.Span(tt.changes)
				msgs, bytes := float64(m.messages)/seconds(span), float64(m.requestBytes)/seconds(span)
				bodies := float64(m.responseBytes) / seconds(span)
				m.run(5 * clock.Second)
				if l := m.outdated(); len(l) > 0 {
					b.Errorf("%d hosts are not ready or lack the newest revision 5 s after the last change", len(l))
				}
				slices.Sort(m.latency)
				b.ReportMetric(float64(m.latency[len(m.latency)/2]), "p50-ms")
				b.ReportMetric(float64(m.latency[len(m.latency)-1]), "max-ms")
				b.ReportMetric(msgs, "msg/host/s")
				b.ReportMetric(bytes, "B/host/s")
				b.ReportMetric(bodies, "body-B/host/s")
				b.ReportMetric(steady, "steady-B/host/s")
				b.ReportMetric(heapPerHost, "heap-B/host")
				b.ReportMetric(ns, "ns/step")
				b.ReportMetric(float64(minWatch), "min-watch")
				b.ReportMetric(float64(maxWatch), "max-watch")
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return ms.HeapAlloc
}
