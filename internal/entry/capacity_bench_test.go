package entry

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/elect"
	"github.com/laburnummux/laburnummux/internal/lease"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// BenchmarkControl measures the cost of the control messages and of the decision
// packages for one group per simulated second. Run it with -benchtime 1x. Counts are
// reproducible; times aren't.
func BenchmarkControl(b *testing.B) {
	for _, tt := range []struct{ hosts, cells, servers, ranges int }{
		{3, 1, 2, 8}, {3, 1, 8, 8}, {3, 1, 16, 8}, {3, 1, 2, 64}, {3, 1, 8, 64}, {3, 1, 16, 64},
		{4, 1, 2, 8}, {4, 1, 8, 8}, {4, 1, 16, 8}, {4, 1, 2, 64}, {4, 1, 8, 64}, {4, 1, 16, 64},
		{8, 1, 2, 8}, {8, 1, 8, 8}, {8, 1, 16, 8}, {8, 1, 2, 64}, {8, 1, 8, 64}, {8, 1, 16, 64},
		{8, 4, 16, 8}, {8, 5, 16, 8}, {8, 20, 16, 8}, {8, 50, 16, 8},
	} {
		b.Run(fmt.Sprintf("hosts=%d/cells=%d/servers=%d/ranges=%d", tt.hosts, tt.cells, tt.servers, tt.ranges), func(b *testing.B) {
			for range b.N {
				m := newControlSim(tt.hosts, tt.cells, tt.servers, tt.ranges)
				m.run(startupTime)
				if n := m.unowned([]keys.Hash{0, 1 << 40, 1 << 63}); n > 0 {
					b.Fatalf("%d of 3 hashes have no owner", n)
				}
				m.resetCounters()
				rangeCount := m.rangeCount()
				var before, after runtime.MemStats
				runtime.ReadMemStats(&before)
				m.run(clock.Second)
				runtime.ReadMemStats(&after)
				perHost := func(n int) float64 { return float64(n) / float64(tt.hosts) }
				b.ReportMetric(float64(rangeCount)/float64(tt.cells), "rows/cell")
				for kind, n := range m.messages {
					b.ReportMetric(float64(n)/float64(tt.cells), kind+"/cell")
					b.ReportMetric(float64(m.bytes[kind])/float64(tt.cells), kind+"-B/cell")
				}
				b.ReportMetric(perHost(m.batches), "batches/host")
				b.ReportMetric(perHost(m.totalBytes), "sent-B/host")
				b.ReportMetric(float64(m.storeWrites), "writes")
				b.ReportMetric(float64(m.assignerTick)/float64(max(m.assignerTicks, 1))/1000, "us/assigner-tick")
				b.ReportMetric(float64(m.otherTick)/float64(max(m.otherTicks, 1))/1000, "us/other-tick")
				b.ReportMetric(perHost(int(m.tickTime+m.eventTime))/1e6, "cpu-ms/host")
				b.ReportMetric(perHost(int(after.Mallocs-before.Mallocs)), "allocs/host")
			}
		})
	}
}

// BenchmarkIdleTick measures a tick of packages elect, assign and lease that
// causes no action.
func BenchmarkIdleTick(b *testing.B) {
	for _, tt := range []struct{ servers, ranges int }{{2, 8}, {8, 8}, {16, 8}, {2, 64}, {8, 64}, {16, 64}} {
		m := newControlSim(8, 1, tt.servers, tt.ranges)
		m.run(startupTime + 5) // between two renewals
		a := m.assigner(0)
		for _, bb := range []struct {
			name string
			host int
		}{{"assigner", a}, {"other", (a + 1) % len(m.hosts)}} {
			c := m.hosts[bb.host].cells[0]
			b.Run(fmt.Sprintf("%s/servers=%d/ranges=%d", bb.name, tt.servers, tt.ranges), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					c.elect.Step(m.now, elect.Tick{})
					if c.term != 0 {
						c.assign.Step(m.now, assign.Tick{})
					}
					c.leases.Step(m.now, lease.Tick{})
				}
			})
		}
	}
}

// BenchmarkFailure measures failures in one cell of 16 servers and a group of 8
// hosts: messages, bytes and writes, to be compared with those of the case
// "none", and the time for which sample hashes had no owner. Run it with
// -benchtime 1x.
func BenchmarkFailure(b *testing.B) {
	var samples []keys.Hash
	for _, r := range keys.FullRange().Divide(128) {
		samples = append(samples, r.Lo())
	}
	other := func(m *controlSim) int { return (m.assigner(0) + 1) % len(m.hosts) }
	lose := func(m *controlSim, i int) { m.hosts[i].down = true }
	for _, tt := range []struct {
		name     string
		fail     func(m *controlSim)
		restarts bool // the lost host starts again after 2 s
	}{
		{"none", func(*controlSim) {}, false},
		{"server", func(m *controlSim) { m.lostServers[simServerName(0, 3)] = true }, false},
		{"dispatcher", func(m *controlSim) { lose(m, other(m)) }, false},
		{"assigner", func(m *controlSim) { lose(m, m.assigner(0)) }, false},
		{"assigner+server", func(m *controlSim) { m.lostServers[simServerName(0, 3)] = true; lose(m, m.assigner(0)) }, false},
		{"assigner+dispatcher", func(m *controlSim) { o := other(m); lose(m, m.assigner(0)); lose(m, o) }, false},
		{"restart", func(m *controlSim) { lose(m, m.assigner(0)) }, true},
	} {
		b.Run(tt.name, func(b *testing.B) {
			const seeds, step = 5, 5 * clock.Millisecond
			msgs, bytes, writes, unownedMs, longest := 0, 0, 0, clock.Span(0), clock.Span(0)
			for seed := range seeds * b.N {
				m := newControlSim(8, 1, 16, 8)
				m.run(startupTime + clock.Span(17*seed))
				m.resetCounters()
				tt.fail(m)
				gap := make(map[keys.Hash]clock.Span)
				for t := range clock.Span(10 * clock.Second) {
					if tt.restarts && t == 2*clock.Second {
						for i, h := range m.hosts {
							if h.down {
								h.incarnation += 1000
								m.startHost(i)
							}
						}
					}
					if m.run(1); t > 2500 || t%step != 0 {
						continue
					}
					for _, x := range samples {
						if m.unowned([]keys.Hash{x}) == 0 {
							gap[x] = 0
						} else {
							gap[x] += step
							unownedMs += step
							longest = max(longest, gap[x])
						}
					}
				}
				for _, n := range m.messages {
					msgs += n
				}
				bytes += m.totalBytes
				writes += m.storeWrites
			}
			n := float64(seeds * b.N)
			b.ReportMetric(float64(msgs)/n, "msgs")
			b.ReportMetric(float64(bytes)/n, "bytes")
			b.ReportMetric(float64(writes)/n, "writes")
			b.ReportMetric(float64(unownedMs)/n/float64(len(samples)), "ms-unowned/key")
			b.ReportMetric(float64(longest), "longest-ms")
		})
	}
}

// BenchmarkHeap measures the heap used by the states of the decision packages for
// a group, and the size of the stored object and of a grant push.
func BenchmarkHeap(b *testing.B) {
	for _, tt := range []struct{ servers, ranges int }{{2, 8}, {8, 8}, {16, 8}, {2, 64}, {8, 64}, {16, 64}} {
		b.Run(fmt.Sprintf("servers=%d/ranges=%d", tt.servers, tt.ranges), func(b *testing.B) {
			for range b.N {
				const cells = 8
				m := newControlSim(8, cells, tt.servers, tt.ranges)
				m.run(startupTime)
				m.inTransit, m.timers, m.outgoing = nil, nil, nil
				rangesPerCell := float64(m.rangeCount()) / cells
				a := m.assignments[0]
				doc, err := json.Marshal(cellObject{Role: m.roles[0], Assignment: a})
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(rangesPerCell, "rows/cell")
				b.ReportMetric(float64(len(doc)), "stored-B/cell")
				b.ReportMetric(float64(len(doc))/rangesPerCell, "stored-B/range")
				push := grantsRequest{ValidUntil: 1 << 40, From: "north-1-e001/1fffffffffffffff", Seq: 1 << 20, Incarnation: "1fffffffffffffff"}
				for _, r := range a.Ranges[:tt.ranges] {
					push.Grants = append(push.Grants, grantedRange{r.Hashes, r.Fence})
				}
				if doc, err = json.Marshal(push); err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(len(doc)), "push-B/server")
				before := heapBytes()
				for _, f := range []struct {
					unit string
					drop func(*simCell)
				}{
					{"hold-B/cell", func(c *simCell) { c.leases = nil }},
					{"elect-B/cell", func(c *simCell) { c.elect = nil }},
					{"assign-B/cell", func(c *simCell) { c.assign = nil }},
				} {
					for _, h := range m.hosts {
						for _, c := range h.cells {
							f.drop(c)
						}
					}
					after := heapBytes()
					b.ReportMetric(float64(before-after)/cells, f.unit)
					before = after
				}
				table := routeTable(assign.Table{Cell: m.cells[0], Assignment: a, Stored: true}, "h")
				b.ReportMetric(float64(heapBytes()-before), "route-B/cell")
				runtime.KeepAlive(table)
				runtime.KeepAlive(m)
			}
		})
	}
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
}
