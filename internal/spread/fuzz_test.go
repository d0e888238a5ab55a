package spread

import (
	"flag"
	"os"
	"testing"

	"github.com/laburnummux/laburnummux/internal/clock"
	"pgregory.net/rapid"
)

// TestMain fixes the seed so that every run has the same verdict. A longer run:
// go test ./internal/spread -run TestFaults -rapid.checks=2000 -rapid.seed=7
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == "0" {
		f.Value.Set("20260831")
		flag.Set("rapid.nofailfile", "true")
	}
	os.Exit(m.Run())
}

var totalSteps int

// Guards against a revision that goes back, a host that stays behind and a data
// centre in which nobody watches, over loss, delay, duplication, reordering,
// partitions, stops and restarts. The checks of single steps are in sim.step.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		group := rapid.SampledFrom([]int{4, 2}).Draw(t, "group")
		m := newSim(nil, 12, 3, group, rapid.Uint64Range(1, 1<<40).Draw(t, "seed"))
		m.t = fataler{t: t}
		host := rapid.IntRange(0, len(m.nodes)-1)
		dc := rapid.IntRange(0, m.dcs-1)
		t.Repeat(map[string]func(*rapid.T){
			"run":       func(t *rapid.T) { m.run(clock.Span(rapid.IntRange(1, 3000).Draw(t, "ms"))) },
			"accept":    func(t *rapid.T) { m.accept() },
			"loss":      func(t *rapid.T) { m.loss = rapid.SampledFrom([]float64{0, 0.01, 0.3, 0.9}).Draw(t, "share") },
			"duplicate": func(t *rapid.T) { m.dup = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "share") },
			"cut":       func(t *rapid.T) { d := dc.Draw(t, "dc"); m.cut[d] = !m.cut[d] },
			"cutStore":  func(t *rapid.T) { d := dc.Draw(t, "dc"); m.storeCut[d] = !m.storeCut[d] },
			"restart":   func(t *rapid.T) { m.boot(host.Draw(t, "host")) },
			"list":      func(t *rapid.T) { m.list() },
			"stop": func(t *rapid.T) {
				// Between groups a lost watcher is noticed after 15 s, so one of
				// the two must remain.
				i := host.Draw(t, "host")
				down := 0
				for _, n := range m.nodes {
					if n.down && n.dc == m.nodes[i].dc {
						down++
					}
				}
				if n := m.nodes[i]; !n.down && down < group/2 {
					n.had, n.down = max(n.had, n.s.revision), true
				}
			},
		})
		m.loss, m.dup, m.cut, m.storeCut = 0, 0, make([]bool, m.dcs), make([]bool, m.dcs)
		m.run(5 * clock.Second)
		if b := m.behind(); len(b) > 0 {
			t.Fatalf("%v lack revision %d 5 s after the last fault", b, m.revision)
		}
		for d, n := range m.watching() {
			if n == 0 {
				t.Fatalf("nobody watches in %s", dcName(d))
			}
		}
		totalSteps += m.steps
	})
	t.Logf("%d steps", totalSteps)
}

// fataler lets the simulation fail a check of rapid.
type fataler struct {
	testing.TB
	t *rapid.T
}

func (f fataler) Fatalf(format string, args ...any) { f.t.Fatalf(format, args...) }
