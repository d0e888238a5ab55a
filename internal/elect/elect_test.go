package elect

import (
	"flag"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var long = flag.Bool("elect.long", false, "fuzz for longer; set -rapid.seed and -rapid.checks to vary it")

// TestMain fixes the seed, so that every normal run has the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	checks := "60"
	if *long {
		checks = "3000"
	}
	for name, v := range map[string]string{
		"rapid.seed": "1", "rapid.checks": checks, "rapid.steps": "60", "rapid.nofailfile": "true",
	} {
		if !set[name] {
			if err := flag.Set(name, v); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// Guards against two holders at one moment, a term with two holders, and a
// cell that stays without a holder once all faults have ended.
func TestFuzz(t *testing.T) {
	steps, terms, runs := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 7).Draw(t, "hosts"))
		host := rapid.IntRange(0, len(w.nodes)-1)
		pick := func() *node { return w.nodes[host.Draw(t, "host")] }
		pass := func() { w.advance(micros(rapid.IntRange(1, 150).Draw(t, "ms")) * ms) }
		w.advance(micros(rapid.IntRange(0, 1500).Draw(t, "quiet")) * ms)
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(*rapid.T) { pass() },
			"rest": func(*rapid.T) { w.advance(micros(rapid.IntRange(300, 4000).Draw(t, "ms")) * ms) },
			"cut": func(*rapid.T) {
				w.cut[[2]int{host.Draw(t, "from"), host.Draw(t, "to")}] = true
				pass()
			},
			"isolate": func(*rapid.T) {
				i := host.Draw(t, "host")
				for j := range w.nodes {
					w.cut[[2]int{i, j}], w.cut[[2]int{j, i}] = true, true
				}
				pass()
			},
			"heal":  func(*rapid.T) { w.heal(); pass() },
			"links": func(*rapid.T) { clear(w.cut); pass() },
			"pause": func(*rapid.T) { pick().paused = true; pass() },
			"pauseHolder": func(*rapid.T) {
				if i := w.holding(); i >= 0 {
					w.nodes[i].paused = true
				}
				pass()
			},
			"resume": func(*rapid.T) {
				if n := pick(); n.paused {
					w.resume(n)
				}
				pass()
			},
			"restart": func(*rapid.T) { w.start(pick()); pass() },
			"lose":    func(*rapid.T) { pick().down = true; pass() },
			"network": func(*rapid.T) {
				w.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(t, "loss")
				w.delay = micros(rapid.SampledFrom([]int{2, 30, 200}).Draw(t, "delay")) * ms
				pass()
			},
			"store":     func(*rapid.T) { w.mode = storeMode(rapid.IntRange(0, int(storeModes)-1).Draw(t, "mode")); pass() },
			"storeLink": func(*rapid.T) { n := pick(); n.noShop = !n.noShop; pass() },
			"": func(t *rapid.T) {
				if w.fault != "" {
					t.Fatal(w.fault)
				}
			},
		})
		w.heal()
		for _, n := range w.nodes {
			if n.down {
				w.start(n)
			}
		}
		w.advance(5000 * ms)
		if w.fault != "" {
			t.Fatal(w.fault)
		}
		if w.holding() < 0 {
			for _, n := range w.nodes {
				t.Logf("%+v", n.s.Dump())
			}
			t.Fatalf("no holder 5 s after all faults; role %+v", w.stored)
		}
		steps, terms, runs = steps+w.steps, terms+len(w.holder), runs+1
	})
	t.Logf("%d runs, %d steps of hosts, %d terms held", runs, steps, terms)
}

// Guards against elections that wait for the store or for colliding
// candidates beyond the stated figure.
func TestSuccession(t *testing.T) {
	const bound = 300 + 80 + 10 + 10 // promise, election delay, tick, two messages with their answers
	tests := []struct {
		name string
		mode storeMode
	}{{"up", storeUp}, {"down", storeDown}, {"hangs", storeHangs}, {"slow", storeSlow}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			late, worst, total := 0, micros(0), 200
			for seed := range total {
				w := newWorld(uint64(seed), 3+seed%5)
				w.advance(3000 * ms)
				w.mode = tt.mode
				w.advance(micros(seed%100) * ms)
				i := w.holding()
				is.True(i >= 0) // elected within 3 s of the start
				w.nodes[i].down = true
				lost := w.now
				for w.holding() < 0 && w.now < lost+2000*ms {
					w.advance(ms)
				}
				is.Equal(w.fault, "")
				worst = max(worst, w.now-lost)
				if w.now-lost > bound*ms {
					late++
				}
			}
			t.Logf("worst %d ms, %d of %d later than %d ms", worst/ms, late, total, bound)
			is.True(worst <= (bound+100)*ms) // one collision
		})
	}
}
