package place

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/owner"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Guards against hosts that together send a cold server more than the bound, although
// they don't hear of each other's requests: when all have just started, when half of
// them are cut off, and when the server starts again and again. The server must still get
// a good part of what it tolerates.
func TestBoundOfColdServer(t *testing.T) {
	const length, rate, over, slack = 60000, 4.6, 1.5, 8.0
	tests := []struct {
		name  string
		hosts int
		known func(now clock.Time, hosts int) int // hosts that each knows of
		born  clock.Span                          // between two starts of the server
		share float64                             // of the rate that it gets at least
	}{
		{"one host", 1, nil, length, 0.9},
		{"three hosts", 3, nil, length, 0.8},
		{"84 hosts", 84, nil, length, 0.6},
		{"84 hosts, cut in two", 84, func(now clock.Time, n int) int {
			if now > 10000 {
				return n / 2
			}
			return n
		}, length, 0.6},
		{"84 hosts that start", 84, func(now clock.Time, n int) int { return min(1+int(now/8), n) }, length, 0.6},
		{"84 hosts, starts every second", 84, nil, clock.Second, 0.3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			rng := rand.New(rand.NewPCG(1, 1))
			sv := fleet.Server{ID: "a", Service: svc, Addr: "a", DC: "north", Slots: 2, Born: 1, Revision: 1, Warmup: length}
			var hosts []*State
			for i := range tt.hosts {
				h := New("north", oneIdleConn)
				h.rng = rand.New(rand.NewPCG(uint64(i), 9))
				h.SetRamps(map[keys.Service]Ramp{svc: {Warmup: length, ColdRate: rate}})
				h.SetColdBound(over, slack)
				h.SetHosts(tt.hosts, nil)
				if tt.known != nil {
					h.SetHosts(tt.known(0, tt.hosts), nil)
				}
				h.SetTable(0, owner.Table{Service: svc, Term: 1, Spans: []owner.Range{{From: 0, To: owner.MaxKey, Server: "a"}}})
				h.SetServers(0, []fleet.Server{sv})
				hosts = append(hosts, h)
			}
			var sent []clock.Time
			most, total, id := 0, 0, uint64(0)
			count := func(now clock.Time, h *State, acts []Action) {
				for range starts(acts) {
					sent = append(sent, now)
					total++
					h.Done(now, "a", Result{Duration: 20, RouteMean: 20})
				}
			}
			for now := clock.Time(0); now < length; now++ {
				if now > 0 && now%clock.Time(tt.born) == 0 {
					sv.Born, sv.Revision = sv.Born+1, sv.Revision+1
					for _, h := range hosts {
						h.SetServers(now, []fleet.Server{sv})
					}
				}
				for range 2 { // 2,000 requests per second
					id++
					h := hosts[rng.IntN(len(hosts))]
					count(now, h, h.Submit(now, Request{
						ID: id, Service: svc, Keyed: true, Objective: now.Add(400), Deadline: now.Add(1500), Arrived: now, RouteMean: 20,
					}))
				}
				h := hosts[int(now)%len(hosts)]
				if tt.known != nil {
					h.SetHosts(tt.known(now, tt.hosts), nil)
				}
				count(now, h, h.Tick(now))
				for len(sent) > 0 && now.Sub(sent[0]) >= clock.Second {
					sent = sent[1:]
				}
				most = max(most, len(sent))
			}
			held := uint64(0)
			for _, h := range hosts {
				_, _, n := h.ColdCounts(length)
				held += n
			}
			got := float64(total) / (rate * length / 1000)
			t.Logf("at most %d requests in a second, %.2f of the rate, %d held", most, got, held)
			is.True(float64(most) <= rate*over+slack)
			is.True(got >= tt.share)
			is.True(held > 0)
		})
	}
}
