package gossip

import (
	"flag"
	"os"
	"testing"

	"github.com/laburnummux/laburnummux/internal/clock"
	"pgregory.net/rapid"
)

// TestMain fixes the seed so that every run has the same result. For more checks:
// go test ./internal/gossip -run TestFaults -rapid.checks=2000 -rapid.seed=7
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		f.Value.Set("20260831")
		flag.Set("rapid.nofailfile", "true")
	}
	os.Exit(m.Run())
}

var totalSteps int

// Guards against a revision lower than the one before, a host that doesn't get
// the newest revision and a data centre without a watcher, under loss, delay,
// duplication and reordering of messages, partitions, stops and restarts. The
// invariants of single steps are checked in sim.step.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		group := rapid.SampledFrom([]int{4, 2}).Draw(t, "group")
		m := newSim(nil, 12, 3, group, rapid.Uint64Range(1, 1<<40).Draw(t, "seed"))
		m.t = rapidTB{t: t}
		host := rapid.IntRange(0, len(m.nodes)-1)
		dc := rapid.IntRange(0, m.dcs-1)
		t.Repeat(map[string]func(*rapid.T){
			"run":       func(t *rapid.T) { m.run(clock.Span(rapid.IntRange(1, 3000).Draw(t, "ms"))) },
			"accept":    func(t *rapid.T) { m.accept() },
			"loss":      func(t *rapid.T) { m.lossRate = rapid.SampledFrom([]float64{0, 0.01, 0.3, 0.9}).Draw(t, "share") },
			"duplicate": func(t *rapid.T) { m.duplicateRate = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "share") },
			"cut":       func(t *rapid.T) { d := dc.Draw(t, "dc"); m.partitioned[d] = !m.partitioned[d] },
			"cutStore":  func(t *rapid.T) { d := dc.Draw(t, "dc"); m.storePartitioned[d] = !m.storePartitioned[d] },
			"restart":   func(t *rapid.T) { m.startHost(host.Draw(t, "host")) },
			"list":      func(t *rapid.T) { m.sendList() },
			"stop": func(t *rapid.T) {
				// The loss of a watcher in another group is detected after 15 s,
				// so one of the two watchers must remain.
				i := host.Draw(t, "host")
				down := 0
				for _, n := range m.nodes {
					if n.down && n.dc == m.nodes[i].dc {
						down++
					}
				}
				if n := m.nodes[i]; !n.down && down < group/2 {
					n.earlierRevision, n.down = max(n.earlierRevision, n.s.revision), true
				}
			},
		})
		m.lossRate, m.duplicateRate, m.partitioned, m.storePartitioned = 0, 0, make([]bool, m.dcs), make([]bool, m.dcs)
		m.run(5 * clock.Second)
		if b := m.outdated(); len(b) > 0 {
			t.Fatalf("%v are not ready or lack revision %d 5 s after the last fault", b, m.revision)
		}
		for d, n := range m.watcherCounts() {
			if n == 0 {
				t.Fatalf("data centre %s has no watcher", dcName(d))
			}
		}
		totalSteps += m.steps
	})
	t.Logf("%d steps", totalSteps)
}

// rapidTB passes failures of the simulation to rapid.
type rapidTB struct {
	testing.TB
	t *rapid.T
}

func (f rapidTB) Fatalf(format string, args ...any) { f.t.Fatalf(format, args...) }
