package elect

import (
	"flag"
	"os"
	"slices"
	"testing"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var long = flag.Bool("elect.long", false, "fuzz for longer; set -rapid.seed and -rapid.checks to vary it")

// TestMain fixes the seed, so that every normal run has the same verdict. With
// seed 29, 20 checks find a reply counted from its arrival, a voter that ignores
// its promise and a holder that ignores Previous.
func TestMain(m *testing.M) {
	flag.Parse()
	set := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	checks := "20"
	if *long {
		checks = "3000"
	}
	for name, v := range map[string]string{
		"rapid.seed": "29", "rapid.checks": checks, "rapid.steps": "60", "rapid.nofailfile": "true",
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
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{3, 5, 2, 3, 4, 5, 7}).Draw(t, "hosts"))
		host := rapid.IntRange(0, len(w.nodes)-1)
		pick := func() *node { return w.nodes[host.Draw(t, "host")] }
		wait := func(lo, hi int) { w.advance(micros(rapid.IntRange(lo, hi).Draw(t, "ms")) * ms) }
		chance := func(s string) bool { return rapid.Bool().Draw(t, s) }
		holder := func() int { return max(w.holding(), 0) }
		split := func() { // some hosts stay connected to both sides
			side := rapid.IntRange(0, 1<<len(w.nodes)-1).Draw(t, "side")
			both := rapid.SampledFrom([]int{-1, -1, 0, 1, 2}).Draw(t, "both")
			for i := range w.nodes {
				for j := range w.nodes {
					if side>>i&1 != side>>j&1 && i != both && j != both {
						w.cut[[2]int{i, j}] = true
					}
				}
			}
		}
		for _, n := range w.nodes {
			n.down = rapid.IntRange(0, 3).Draw(t, "late") == 0
		}
		wait(0, 1500)
		for _, n := range w.nodes {
			if n.down {
				w.start(n)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass":  func(*rapid.T) { wait(1, 150) },
			"rest":  func(*rapid.T) { wait(300, 3500) },
			"split": func(*rapid.T) { split(); wait(1, 800) },
			"links": func(*rapid.T) { clear(w.cut); clear(w.slow); wait(1, 400) },
			"heal":  func(*rapid.T) { w.heal(); wait(1, 1500) },
			// A holder that stops hearing or being heard, one host after the
			// other, and is paused with replies in its queue.
			"strike": func(*rapid.T) {
				h := holder()
				for range rapid.IntRange(1, 6).Draw(t, "blows") {
					i := host.Draw(t, "to")
					switch rapid.IntRange(0, 6).Draw(t, "blow") {
					case 0, 1:
						w.cut[[2]int{h, i}] = true
					case 2:
						w.cut[[2]int{i, h}] = true
					case 3:
						w.slow[[2]int{i, h}] = micros(rapid.IntRange(20, 250).Draw(t, "slow")) * ms
					case 4:
						w.nodes[h].paused = true
					case 5:
						for j := range w.nodes {
							w.cut[[2]int{h, j}] = true
						}
					case 6:
						w.resume(w.nodes[h])
					}
					wait(0, 150)
				}
				wait(0, 400)
				w.resume(w.nodes[h])
			},
			// A voter that only the holder can't hear is replaced; then the old
			// and the new voters are kept apart.
			"age": func(*rapid.T) {
				h, i := holder(), host.Draw(t, "silent")
				clear(w.cut)
				w.cut[[2]int{h, i}], w.cut[[2]int{i, h}] = true, true
				wait(2900, 3300)
				split()
				wait(1, 1000)
			},
			"pause":  func(*rapid.T) { pick().paused = true; wait(1, 150) },
			"resume": func(*rapid.T) { w.resume(pick()); wait(1, 150) },
			"restart": func(*rapid.T) {
				n := pick()
				if n.down = chance("later"); n.down {
					wait(1, 1000)
				}
				if chance("again") {
					w.start(n)
				}
				wait(1, 400)
			},
			"network": func(*rapid.T) {
				w.loss = rapid.SampledFrom([]float64{0, 0, 0.05, 0.3}).Draw(t, "loss")
				w.delay = micros(rapid.SampledFrom([]int{0, 2, 2, 30, 200}).Draw(t, "delay")) * ms
			},
			"store": func(*rapid.T) {
				w.mode = storeMode(max(0, rapid.IntRange(-2, int(storeModes)-1).Draw(t, "mode")))
				wait(1, 150)
			},
			"storeLink": func(*rapid.T) { n := pick(); n.noShop = !n.noShop; wait(1, 150) },
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
			rounds := 30
			if *long {
				rounds = 3000
			}
			late, worst := 0, micros(0)
			for seed := range rounds {
				w := newWorld(uint64(seed), 3+seed%5)
				w.advance(1500 * ms)
				w.mode = tt.mode
				w.advance(micros(seed%100) * ms)
				i := w.holding()
				is.True(i >= 0) // elected within 1.5 s of the start
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
			t.Logf("worst %d ms, %d of %d later than %d ms", worst/ms, late, rounds, bound)
			is.True(worst <= (bound+100)*ms) // one collision
		})
	}
}

// Guards against a holder that counts a promise for as long as the voter does:
// its clock may be slower, and both round to milliseconds.
func TestMargin(t *testing.T) {
	is := is.New(t)
	successions := 0
	for seed := range 60 {
		w := newWorld(uint64(seed), 3)
		w.advance(700 * ms)
		h := w.holding()
		is.True(h >= 0)
		for i, n := range w.nodes { // the clocks go on from their readings
			ppm := int64(500)
			if i == h {
				ppm = -500
			}
			n.offset += int64(w.now) * (n.ppm - ppm) / 1_000_000
			n.ppm = ppm
		}
		w.delay = 0
		w.cut[[2]int{h, (h + 1) % 3}] = true
		w.advance(micros(150+seed%100) * ms)
		w.cut[[2]int{h, (h + 2) % 3}] = true
		w.advance(600 * ms)
		is.Equal(w.fault, "")
		if i := w.holding(); i >= 0 && i != h {
			successions++
		}
	}
	is.True(successions > 50) // the overlap was looked for
}

// Guards against two holders, or a cell without a holder, after planned stops:
// of the only voter, which must hand its vote over, among them.
func TestFuzzResign(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{2, 2, 3, 4}).Draw(t, "hosts"))
		host := rapid.IntRange(0, len(w.nodes)-1)
		wait := func(lo, hi int) { w.advance(micros(rapid.IntRange(lo, hi).Draw(t, "ms")) * ms) }
		wait(500, 1500)
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(*rapid.T) { wait(1, 600) },
			"heal": func(*rapid.T) { w.heal(); wait(1, 1500) },
			"cut": func(*rapid.T) {
				w.cut[[2]int{host.Draw(t, "from"), host.Draw(t, "to")}] = true
				wait(0, 400)
			},
			"pause": func(*rapid.T) { w.nodes[host.Draw(t, "host")].paused = true; wait(1, 400) },
			"stop": func(*rapid.T) {
				n := w.nodes[host.Draw(t, "host")]
				w.deliver(n, n.boot, Resign{})
				wait(0, 1500)
				n.down = true
				wait(0, 1500)
				w.start(n)
			},
			"store": func(*rapid.T) {
				w.mode = storeMode(max(0, rapid.IntRange(-2, int(storeModes)-1).Draw(t, "mode")))
				wait(1, 150)
			},
			"": func(t *rapid.T) {
				if w.fault != "" {
					t.Fatal(w.fault)
				}
			},
		})
		w.heal()
		for _, n := range w.nodes { // a host that resigned is about to stop
			if n.s.resigned || n.s.handover {
				w.start(n)
			}
		}
		w.advance(5000 * ms)
		if w.fault != "" {
			t.Fatal(w.fault)
		}
		if w.holding() < 0 {
			t.Fatalf("no holder 5 s after all faults; role %+v", w.stored)
		}
	})
}

// Guards against a cell that stays without a holder after the planned stop of
// its only voter.
func TestHandover(t *testing.T) {
	is := is.New(t)
	w := newWorld(7, 2)
	w.advance(3000 * ms)
	h := w.holding()
	is.True(h >= 0)
	w.deliver(w.nodes[h], w.nodes[h].boot, Resign{})
	w.advance(900 * ms) // below the second that a stopping host gives the balancer
	w.nodes[h].down = true
	w.advance(600 * ms)
	is.Equal(w.fault, "")
	is.Equal(w.holding(), 1-h)
}

// Guards against a host that keeps the role though it is about to stop, or
// that takes it again.
func TestResign(t *testing.T) {
	is := is.New(t)
	s := New(Config{Self: "a", Boot: 1, Group: []keys.Host{"a"}, Seed: 1})
	s.Step(0, RoleRead{Role: Role{Epoch: 1, Voters: []Voter{{"a", 1}}}, Version: 1, Found: true})
	now := clock.Time(0)
	for _, ok := s.Holding(now); !ok && now < 1000; _, ok = s.Holding(now) {
		now += 10
		s.Step(now, Tick{})
	}
	_, ok := s.Holding(now)
	is.True(ok)
	is.True(slices.Contains(s.Step(now, Resign{}), Action(Lost{})))
	for end := now + 1000; now < end; now += 10 {
		s.Step(now, Tick{})
		_, ok := s.Holding(now)
		is.True(!ok)
	}
}
