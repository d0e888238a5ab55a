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

var long = flag.Bool("elect.long", false, "run the fuzz tests with more checks; vary them with -rapid.seed and -rapid.checks")

// TestMain fixes the seed, so that every run without flags has the same result.
// With seed 29, 20 checks detect each of these faults: a promise counted from the
// arrival of the reply, a voter that ignores its promise, and a holder that
// ignores Previous.
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

// Guards against two holders at one time, a term with two holders, and a cell
// without a holder 5 s after all faults have ended.
func TestFuzz(t *testing.T) {
	steps, terms, runs := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		m := newSim(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{3, 5, 2, 3, 4, 5, 7}).Draw(t, "hosts"))
		host := rapid.IntRange(0, len(m.nodes)-1)
		pick := func() *node { return m.nodes[host.Draw(t, "host")] }
		wait := func(lo, hi int) { m.advance(realTime(rapid.IntRange(lo, hi).Draw(t, "ms")) * ms) }
		chance := func(s string) bool { return rapid.Bool().Draw(t, s) }
		holder := func() int { return max(m.holderIndex(), 0) }
		split := func() { // one host may stay connected to both sides
			side := rapid.IntRange(0, 1<<len(m.nodes)-1).Draw(t, "side")
			both := rapid.SampledFrom([]int{-1, -1, 0, 1, 2}).Draw(t, "both")
			for i := range m.nodes {
				for j := range m.nodes {
					if side>>i&1 != side>>j&1 && i != both && j != both {
						m.partitioned[[2]int{i, j}] = true
					}
				}
			}
		}
		for _, n := range m.nodes {
			n.down = rapid.IntRange(0, 3).Draw(t, "late") == 0
		}
		wait(0, 1500)
		for _, n := range m.nodes {
			if n.down {
				m.start(n)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass":  func(*rapid.T) { wait(1, 150) },
			"quiet": func(*rapid.T) { wait(300, 3500) },
			"split": func(*rapid.T) { split(); wait(1, 800) },
			"links": func(*rapid.T) { clear(m.partitioned); clear(m.linkDelay); wait(1, 400) },
			"heal":  func(*rapid.T) { m.heal(); wait(1, 1500) },
			// Loses or delays messages between the holder and one host after the
			// other, and pauses the holder with replies in its queue.
			"targetHolder": func(*rapid.T) {
				h := holder()
				for range rapid.IntRange(1, 6).Draw(t, "faults") {
					i := host.Draw(t, "to")
					switch rapid.IntRange(0, 6).Draw(t, "fault") {
					case 0, 1:
						m.partitioned[[2]int{h, i}] = true
					case 2:
						m.partitioned[[2]int{i, h}] = true
					case 3:
						m.linkDelay[[2]int{i, h}] = realTime(rapid.IntRange(20, 250).Draw(t, "slow")) * ms
					case 4:
						m.nodes[h].paused = true
					case 5:
						for j := range m.nodes {
							m.partitioned[[2]int{h, j}] = true
						}
					case 6:
						m.resume(m.nodes[h])
					}
					wait(0, 150)
				}
				wait(0, 400)
				m.resume(m.nodes[h])
			},
			// Partitions the holder from one voter for long enough to have the
			// voter replaced, then partitions the group, which may separate the
			// old voters from the new ones.
			"dropVoter": func(*rapid.T) {
				h, i := holder(), host.Draw(t, "voter")
				clear(m.partitioned)
				m.partitioned[[2]int{h, i}], m.partitioned[[2]int{i, h}] = true, true
				wait(2900, 3300)
				split()
				wait(1, 1000)
			},
			"pause":  func(*rapid.T) { pick().paused = true; wait(1, 150) },
			"resume": func(*rapid.T) { m.resume(pick()); wait(1, 150) },
			"restart": func(*rapid.T) {
				n := pick()
				if n.down = chance("later"); n.down {
					wait(1, 1000)
				}
				if chance("again") {
					m.start(n)
				}
				wait(1, 400)
			},
			"network": func(*rapid.T) {
				m.lossRate = rapid.SampledFrom([]float64{0, 0, 0.05, 0.3}).Draw(t, "loss")
				m.maxDelay = realTime(rapid.SampledFrom([]int{0, 2, 2, 30, 200}).Draw(t, "delay")) * ms
			},
			"store": func(*rapid.T) {
				m.storeMode = storeMode(max(0, rapid.IntRange(-2, int(storeModeCount)-1).Draw(t, "mode")))
				wait(1, 150)
			},
			"storeLink": func(*rapid.T) { n := pick(); n.storePartitioned = !n.storePartitioned; wait(1, 150) },
			"": func(t *rapid.T) {
				if m.violation != "" {
					t.Fatal(m.violation)
				}
			},
		})
		m.heal()
		for _, n := range m.nodes {
			if n.down {
				m.start(n)
			}
		}
		m.advance(5000 * ms)
		if m.violation != "" {
			t.Fatal(m.violation)
		}
		if m.holderIndex() < 0 {
			for _, n := range m.nodes {
				t.Logf("%+v", n.s.Dump())
			}
			t.Fatalf("no holder 5 s after the end of all faults; stored role %+v", m.storedRole)
		}
		steps, terms, runs = steps+m.steps, terms+len(m.termHolders), runs+1
	})
	t.Logf("%d simulations, %d steps of hosts, %d terms with a holder", runs, steps, terms)
}

// Guards against elections that take longer than the stated bound because they
// depend on the store or because candidates collide repeatedly.
func TestSuccession(t *testing.T) {
	const bound = 300 + 80 + 10 + 10 // promise, election delay, tick, two messages with their replies
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
			lateCount, worst := 0, realTime(0)
			for seed := range rounds {
				m := newSim(uint64(seed), 3+seed%5)
				m.advance(1500 * ms)
				m.storeMode = tt.mode
				m.advance(realTime(seed%100) * ms)
				i := m.holderIndex()
				is.True(i >= 0) // a holder is elected within 1.5 s of the start
				m.nodes[i].down = true
				lostAt := m.now
				for m.holderIndex() < 0 && m.now < lostAt+2000*ms {
					m.advance(ms)
				}
				is.Equal(m.violation, "")
				worst = max(worst, m.now-lostAt)
				if m.now-lostAt > bound*ms {
					lateCount++
				}
			}
			t.Logf("worst %d ms, %d of %d later than %d ms", worst/ms, lateCount, rounds, bound)
			is.True(worst <= (bound+100)*ms) // allows for one collision
		})
	}
}

// Guards against a holder that counts a promise for as long as the voter does.
// Its clock may be slower, and both clocks round to milliseconds.
func TestMargin(t *testing.T) {
	is := is.New(t)
	successions := 0
	for seed := range 60 {
		m := newSim(uint64(seed), 3)
		m.advance(700 * ms)
		h := m.holderIndex()
		is.True(h >= 0)
		for i, n := range m.nodes { // the clocks continue from their current readings
			ppm := int64(500)
			if i == h {
				ppm = -500
			}
			n.offset += int64(m.now) * (n.ppm - ppm) / 1_000_000
			n.ppm = ppm
		}
		m.maxDelay = 0
		m.partitioned[[2]int{h, (h + 1) % 3}] = true
		m.advance(realTime(150+seed%100) * ms)
		m.partitioned[[2]int{h, (h + 2) % 3}] = true
		m.advance(600 * ms)
		is.Equal(m.violation, "")
		if i := m.holderIndex(); i >= 0 && i != h {
			successions++
		}
	}
	is.True(successions > 50) // the seeds exercise the change of holder
}

// Guards against two holders, or a cell without a holder, after planned stops,
// including those of the only voter, which must hand over to another host first.
func TestFuzzResign(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newSim(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{2, 2, 3, 4}).Draw(t, "hosts"))
		host := rapid.IntRange(0, len(m.nodes)-1)
		wait := func(lo, hi int) { m.advance(realTime(rapid.IntRange(lo, hi).Draw(t, "ms")) * ms) }
		wait(500, 1500)
		t.Repeat(map[string]func(*rapid.T){
			"pass": func(*rapid.T) { wait(1, 600) },
			"heal": func(*rapid.T) { m.heal(); wait(1, 1500) },
			"cut": func(*rapid.T) {
				m.partitioned[[2]int{host.Draw(t, "from"), host.Draw(t, "to")}] = true
				wait(0, 400)
			},
			"pause": func(*rapid.T) { m.nodes[host.Draw(t, "host")].paused = true; wait(1, 400) },
			"stop": func(*rapid.T) {
				n := m.nodes[host.Draw(t, "host")]
				m.deliver(n, n.incarnation, Resign{})
				wait(0, 1500)
				n.down = true
				wait(0, 1500)
				m.start(n)
			},
			"store": func(*rapid.T) {
				m.storeMode = storeMode(max(0, rapid.IntRange(-2, int(storeModeCount)-1).Draw(t, "mode")))
				wait(1, 150)
			},
			"": func(t *rapid.T) {
				if m.violation != "" {
					t.Fatal(m.violation)
				}
			},
		})
		m.heal()
		for _, n := range m.nodes { // hosts that resigned are expected to stop; restart them
			if n.s.resigned || n.s.handingOver {
				m.start(n)
			}
		}
		m.advance(5000 * ms)
		if m.violation != "" {
			t.Fatal(m.violation)
		}
		if m.holderIndex() < 0 {
			t.Fatalf("no holder 5 s after the end of all faults; stored role %+v", m.storedRole)
		}
	})
}

// Guards against a cell that stays without a holder after the planned stop of
// its only voter.
func TestHandover(t *testing.T) {
	is := is.New(t)
	m := newSim(7, 2)
	m.advance(3000 * ms)
	h := m.holderIndex()
	is.True(h >= 0)
	m.deliver(m.nodes[h], m.nodes[h].incarnation, Resign{})
	m.advance(900 * ms) // below the 1 s that a stopping host waits for the load balancer
	m.nodes[h].down = true
	m.advance(600 * ms)
	is.Equal(m.violation, "")
	is.Equal(m.holderIndex(), 1-h)
}

// Guards against a host that keeps the role though it is about to stop, or that
// takes it again.
func TestResign(t *testing.T) {
	is := is.New(t)
	s := New(Config{Self: "a", Incarnation: 1, Group: []keys.Host{"a"}, Seed: 1})
	s.Step(0, RoleRead{Role: Role{Epoch: 1, Voters: []Voter{{"a", 1}}}, Version: 1, Found: true})
	now := clock.Time(0)
	for _, ok := s.Holding(now); !ok && now < 1000; _, ok = s.Holding(now) {
		now += 10
		s.Step(now, Tick{})
	}
	_, ok := s.Holding(now)
	is.True(ok)
	is.True(slices.Contains(s.Step(now, Resign{}), Action(Deposed{})))
	for end := now + 1000; now < end; now += 10 {
		s.Step(now, Tick{})
		_, ok := s.Holding(now)
		is.True(!ok)
	}
}
