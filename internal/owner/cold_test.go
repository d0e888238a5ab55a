package owner

import (
	"slices"
	"testing"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Guards against ranges that go to a cold server, which can't serve them at once, and
// against moves because a server is cold or has become warm again.
func TestColdServersAsOwners(t *testing.T) {
	cold := func(id string) fleet.Server {
		sv := server(id)
		sv.Warmup = 3 * clock.Second
		return sv
	}
	draining := func(id string) fleet.Server {
		sv := server(id)
		sv.Draining = true
		return sv
	}
	tests := []struct {
		name          string
		first, second []fleet.Server
		want          map[keys.Server]int // keys 2 s after the second list
		moved         float64             // share of the keys that may change owner until then
	}{
		{"first division", []fleet.Server{cold("a"), server("b"), server("c")}, nil, map[keys.Server]int{"b": 32768, "c": 32768}, 0},
		{"all are cold", []fleet.Server{cold("a"), cold("b")}, nil, map[keys.Server]int{"a": 32768, "b": 32768}, 0},
		{"an owner becomes cold", []fleet.Server{server("a"), server("b")}, []fleet.Server{cold("a"), server("b")}, map[keys.Server]int{"a": 32768, "b": 32768}, 0},
		{"a cold server joins", []fleet.Server{server("a"), server("b")}, []fleet.Server{server("a"), server("b"), cold("c")}, map[keys.Server]int{"a": 32768, "b": 32768}, 0},
		{"an owner leaves", []fleet.Server{server("a"), server("b")}, []fleet.Server{draining("a"), server("b"), cold("c")}, map[keys.Server]int{"b": 65536}, 0.5},
		{"the last warm owner leaves", []fleet.Server{server("a")}, []fleet.Server{draining("a"), cold("c")}, map[keys.Server]int{"c": 65536}, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, Record{Term: 1}, tt.first...)
			h.advance(2*clock.Second, "", Done)
			list := tt.first
			if tt.second != nil {
				list = tt.second
				h.enqueue(h.assigner.SetServers(h.now, []keys.Service{svc}, list))
				h.advance(2*clock.Second, "", Done)
			}
			h.Equal(h.keysPerServer(), tt.want)
			h.Equal(h.assigner.MovedShare(), tt.moved)
			// Once it is warm a server without ranges gets some, as any that has joined.
			h.advance(10*clock.Second, "", Done)
			for _, sv := range list {
				h.Equal(h.keysPerServer()[sv.ID] > 0, !sv.Draining)
			}
		})
	}
	t.Run("the next owner becomes cold", func(t *testing.T) {
		h := newHarness(t, Record{Term: 1}, server("a"), server("b"), server("c"))
		h.advance(3*clock.Second, "", Done)
		h.enqueue(h.assigner.SetServers(h.now, []keys.Service{svc}, []fleet.Server{draining("a"), server("b"), server("c")}))
		for _, rs := range h.assigner.tables[svc] {
			if rs.releasing {
				rs.dest = "b"
			}
		}
		h.enqueue(h.assigner.SetServers(h.now, []keys.Service{svc}, []fleet.Server{draining("a"), cold("b"), server("c")}))
		h.advance(clock.Second, "", Done)
		h.True(!slices.Contains(h.assigner.destinations(h.assigner.usableServers(svc)), "b"))
		h.True(h.keysPerServer()["c"] > h.keysPerServer()["b"])
	})
}
