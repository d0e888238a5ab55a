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

var longCases = flag.Int("long", 0, "run the ownership fuzz with this many cases and a random seed")

// TestMain sets a fixed seed unless -rapid.seed or -long is given, so that the
// result of a normal run is reproducible.
func TestMain(m *testing.M) {
	flag.Parse()
	set := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.nofailfile": "true", "rapid.checks": "60", "rapid.steps": "60"} {
		if !set[name] && (name != "rapid.seed" || *longCases == 0) {
			_ = flag.Set(name, value)
		}
	}
	if *longCases > 0 {
		_ = flag.Set("rapid.checks", strconv.Itoa(*longCases))
	}
	os.Exit(m.Run())
}

// Guards against two servers that can execute a hash at the same moment, reused
// or decreasing fences, acknowledged assignments that a new term loses, and
// keys that stay without an owner after faults.
func TestOwnership(t *testing.T) {
	steps, served, refused, terms := 0, 0, 0, uint32(0)
	rapid.Check(t, func(t *rapid.T) {
		checks := rapid.SliceOfN(rapid.Bool(), 2, 4).Draw(t, "checks")
		c := newCluster(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 4).Draw(t, "hosts"), checks, t.Fatalf)
		c.trace = t.Logf
		c.policy = rapid.SampledFrom([]assign.Policy{assign.LeastUnavailable, assign.LeastChurn}).Draw(t, "policy")
		c.reliable, c.reportRefused = true, true
		c.run(1500 * ms)
		c.reliable = false
		t.Repeat(c.faults())
		c.checkRecovery()
		steps, served, refused, terms = steps+c.steps, served+c.executed, refused+c.refused, terms+c.term
	})
	t.Logf("%d events, %d requests run, %d refused, %d terms", steps, served, refused, terms)
}

// faults returns the actions of the fuzz.
func (c *cluster) faults() map[string]func(*rapid.T) {
	host := func(t *rapid.T) *host { return c.hosts[rapid.IntRange(0, len(c.hosts)-1).Draw(t, "host")] }
	server := func(t *rapid.T) *backend { return c.servers[rapid.IntRange(0, len(c.servers)-1).Draw(t, "server")] }
	wait := func(t *rapid.T) { c.run(rapid.Int64Range(1, 250).Draw(t, "wait") * ms) }
	return map[string]func(*rapid.T){
		"wait":  wait,
		"wait2": wait,
		"wait3": wait,
		"pauseHost": func(t *rapid.T) {
			host(t).paused = true
		},
		"resumeHosts": func(t *rapid.T) {
			for _, h := range c.hosts {
				c.resumeHost(h)
			}
		},
		"killHost": func(t *rapid.T) {
			h := host(t)
			c.killHost(h)
			if rapid.Bool().Draw(t, "listed") && c.assigner != nil {
				c.stepAssigner(c.assigner, assign.HostListed{Host: h.name})
			}
		},
		"startHosts": func(t *rapid.T) {
			for _, h := range c.hosts {
				if h.dead {
					c.startHost(h)
				}
			}
		},
		"hostLeaving": func(t *rapid.T) {
			c.stepAssigner(c.assigner, assign.HostListed{Host: host(t).name, Live: true, Leaving: rapid.Bool().Draw(t, "leaving")})
		},
		"freezeServer": func(t *rapid.T) { server(t).frozen = true },
		"thawServers": func(t *rapid.T) {
			for _, sv := range c.servers {
				c.unfreezeServer(sv)
			}
		},
		"crashServer": func(t *rapid.T) {
			if sv := server(t); !sv.dead {
				c.crashServer(sv)
			}
		},
		"serverBack": func(t *rapid.T) {
			if sv := server(t); sv.dead {
				c.startServer(sv)
			}
		},
		"serverGone": func(t *rapid.T) {
			if sv := server(t); sv.dead {
				c.removeServer(sv)
			}
		},
		"drainServer": func(t *rapid.T) {
			if sv := server(t); !sv.dead {
				sv.state = grant.Draining
				c.sendListing(sv)
			}
		},
		"undrainServers": func(t *rapid.T) {
			for _, sv := range c.servers {
				if !sv.dead && sv.state == grant.Draining {
					sv.state = grant.Ready
					c.sendListing(sv)
				}
			}
		},
		"depose":    func(t *rapid.T) { c.assigner.deposed = true },
		"storeDown": func(t *rapid.T) { c.storeDown = rapid.Bool().Draw(t, "down") },
		"partition": func(t *rapid.T) {
			a, b := string(host(t).name), string(host(t).name)
			if rapid.Bool().Draw(t, "toServer") {
				b = string(server(t).name)
			}
			c.partitions[[2]string{a, b}], c.partitions[[2]string{b, a}] = a != b, a != b && rapid.Bool().Draw(t, "both")
		},
		// Freezes or drains a server while its dispatcher is lost or the
		// assigner changes: independent faults rarely coincide with
		// requests in flight.
		"together": func(t *rapid.T) {
			sv := server(t)
			if i := slices.IndexFunc(c.table.Owners, func(o assign.Owner) bool { return o.Name == sv.name }); i >= 0 && c.table.Owners[i].Dispatcher != "" {
				h := c.host(c.table.Owners[i].Dispatcher)
				switch rapid.IntRange(0, 3).Draw(t, "dispatcher") {
				case 0:
					c.killHost(h)
				case 1, 2:
					h.paused = true
				}
			}
			if rapid.Bool().Draw(t, "frozen") {
				sv.frozen = true
			} else if !sv.dead {
				sv.state = grant.Draining
				c.sendListing(sv)
			}
			c.assigner.deposed = c.assigner.deposed || rapid.IntRange(0, 3).Draw(t, "depose") == 0
			c.run(rapid.Int64Range(300, 1200).Draw(t, "wait") * ms)
		},
		"reconnect": func(t *rapid.T) { clear(c.partitions) },
	}
}
