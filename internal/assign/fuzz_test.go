package assign_test

import (
	"flag"
	"os"
	"slices"
	"strconv"
	"testing"

	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/grant"
	"pgregory.net/rapid"
)

var long = flag.Int("long", 0, "run the ownership fuzz with this many cases and a random seed")

// The normal run uses a fixed seed, so that its verdict is the same each time.
// A seed given with -rapid.seed replaces it.
func TestMain(m *testing.M) {
	flag.Parse()
	set := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true", "rapid.checks": "60", "rapid.steps": "60"} {
		if !set[name] && (name != "rapid.seed" || *long == 0) {
			_ = flag.Set(name, value)
		}
	}
	if *long > 0 {
		_ = flag.Set("rapid.checks", strconv.Itoa(*long))
	}
	os.Exit(m.Run())
}

// Guards against two servers that can execute a hash at the same moment, reused
// or falling fences, acknowledged assignments that a new term forgets, and keys
// that stay without an owner after faults.
func TestOwnership(t *testing.T) {
	steps, served, refused, terms := 0, 0, 0, uint32(0)
	rapid.Check(t, func(t *rapid.T) {
		checks := rapid.SliceOfN(rapid.Bool(), 2, 4).Draw(t, "checks")
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "hosts"), checks, t.Fatalf)
		w.trace = t.Logf
		w.policy = rapid.SampledFrom([]assign.Policy{assign.LeastUnavailable, assign.LeastChurn}).Draw(t, "policy")
		w.calm, w.refusals = true, true
		w.run(1500 * ms)
		w.calm = false
		t.Repeat(w.faults())
		w.heal()
		steps, served, refused, terms = steps+w.steps, served+w.served, refused+w.refused, terms+w.term
	})
	t.Logf("%d events, %d requests run, %d refused, %d terms", steps, served, refused, terms)
}

// faults are the actions of the fuzz.
func (w *world) faults() map[string]func(*rapid.T) {
	host := func(t *rapid.T) *node { return w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")] }
	peer := func(t *rapid.T) *backend { return w.peers[rapid.IntRange(0, len(w.peers)-1).Draw(t, "server")] }
	wait := func(t *rapid.T) { w.run(rapid.Int64Range(1, 250).Draw(t, "wait") * ms) }
	return map[string]func(*rapid.T){
		"wait":  wait,
		"wait2": wait,
		"wait3": wait,
		"pauseHost": func(t *rapid.T) {
			host(t).paused = true
		},
		"resumeHosts": func(t *rapid.T) {
			for _, n := range w.hosts {
				w.resume(n)
			}
		},
		"killHost": func(t *rapid.T) {
			n := host(t)
			w.kill(n)
			if rapid.Bool().Draw(t, "listed") && w.asn != nil {
				w.assign(w.asn, assign.HostSeen{Host: n.name})
			}
		},
		"startHosts": func(t *rapid.T) {
			for _, n := range w.hosts {
				if n.dead {
					w.boot(n)
				}
			}
		},
		"hostLeaving": func(t *rapid.T) {
			w.assign(w.asn, assign.HostSeen{Host: host(t).name, Live: true, Leaving: rapid.Bool().Draw(t, "leaving")})
		},
		"freezeServer": func(t *rapid.T) { peer(t).frozen = true },
		"thawServers": func(t *rapid.T) {
			for _, p := range w.peers {
				w.thaw(p)
			}
		},
		"crashServer": func(t *rapid.T) {
			if p := peer(t); !p.dead {
				w.crash(p)
			}
		},
		"serverBack": func(t *rapid.T) {
			if p := peer(t); p.dead {
				w.join(p)
			}
		},
		"serverGone": func(t *rapid.T) {
			if p := peer(t); p.dead {
				w.leave(p)
			}
		},
		"drainServer": func(t *rapid.T) {
			if p := peer(t); !p.dead {
				p.state = grant.Draining
				w.listed(p)
			}
		},
		"undrainServers": func(t *rapid.T) {
			for _, p := range w.peers {
				if !p.dead && p.state == grant.Draining {
					p.state = grant.Ready
					w.listed(p)
				}
			}
		},
		"depose":    func(t *rapid.T) { w.asn.out = true },
		"storeDown": func(t *rapid.T) { w.storeDown = rapid.Bool().Draw(t, "down") },
		"partition": func(t *rapid.T) {
			a, b := string(host(t).name), string(host(t).name)
			if rapid.Bool().Draw(t, "toServer") {
				b = string(peer(t).name)
			}
			w.cut[[2]string{a, b}], w.cut[[2]string{b, a}] = a != b, a != b && rapid.Bool().Draw(t, "both")
		},
		// A server in trouble whose dispatcher is lost or whose assigner changes:
		// single faults rarely coincide with requests in flight.
		"together": func(t *rapid.T) {
			p := peer(t)
			if i := slices.IndexFunc(w.table.Owners, func(o assign.Owner) bool { return o.Name == p.name }); i >= 0 && w.table.Owners[i].Dispatcher != "" {
				n := w.node(w.table.Owners[i].Dispatcher)
				switch rapid.IntRange(0, 3).Draw(t, "dispatcher") {
				case 0:
					w.kill(n)
				case 1, 2:
					n.paused = true
				}
			}
			if rapid.Bool().Draw(t, "frozen") {
				p.frozen = true
			} else if !p.dead {
				p.state = grant.Draining
				w.listed(p)
			}
			w.asn.out = w.asn.out || rapid.IntRange(0, 3).Draw(t, "depose") == 0
			w.run(rapid.Int64Range(300, 1200).Draw(t, "wait") * ms)
		},
		"reconnect": func(t *rapid.T) { clear(w.cut) },
	}
}
