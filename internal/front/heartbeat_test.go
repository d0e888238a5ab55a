package front

import (
	"fmt"
	"net/netip"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/epoch"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/mesh"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// The load that a heartbeat reports must be counted at the right servers, and a
// server that isn't in this host's list yet must not hide the others.
func TestResolveHashes(t *testing.T) {
	is := is.New(t)
	h := &Host{}
	is.Equal(len(h.resolveHashes(map[mesh.ServerHash]int{mesh.HashServer("s1"): 2})), 0) // no list yet
	byHash := map[mesh.ServerHash]keys.Server{mesh.HashServer("s1"): "s1", mesh.HashServer("s2"): "s2"}
	h.serverByHash.Store(&byHash)
	got := h.resolveHashes(map[mesh.ServerHash]int{mesh.HashServer("s1"): 2, mesh.HashServer("s9"): 1})
	is.Equal(got, map[keys.Server]int{"s1": 2})
}

// Heartbeats go to every host many times a second and must not carry servers'
// names: 40 names of 12 bytes and a header would alone exceed the bound.
func TestHeartbeatSize(t *testing.T) {
	is := is.New(t)
	b := &mesh.Heartbeat{From: "front-north-12", Incarnation: 1 << 40, IP: "10.128.0.9", DC: "north", InFlight: make(map[mesh.ServerHash]int)}
	for i := range 40 {
		b.InFlight[mesh.HashServer(keys.Server(fmt.Sprintf("i-%08x", i)))] = 3
	}
	data, err := mesh.Encode(mesh.Message{Heartbeat: b})
	is.NoErr(err)
	is.True(len(data) < 400)
}

// BenchmarkHeartbeat handles a heartbeat, from its bytes on. The time and the
// allocations must not grow with the number of hosts.
func BenchmarkHeartbeat(b *testing.B) {
	for _, n := range []int{12, 100, 1000, 4000} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			h := New(Config{Settings: Settings{Host: "self", IP: "10.0.0.1", DC: "north"}, Log: zap.NewNop()})
			var list []fleet.Server
			for i := range 900 {
				list = append(list, fleet.Server{ID: keys.Server(fmt.Sprintf("s%d", i)), Service: "ledger", Addr: fmt.Sprint(i), Slots: 2})
			}
			h.replaceServers(list, epoch.At(1, 1), noGrace)
			msgs := make([][]byte, n)
			for i := range msgs {
				hb := &mesh.Heartbeat{
					From: keys.Host(fmt.Sprintf("host-%d", i)), Incarnation: 1, IP: fmt.Sprintf("10.1.%d.%d", i/250, i%250), DC: "north",
					ServersRev: 1, ServersEpoch: 1, Interval: 450, InFlight: make(map[mesh.ServerHash]int),
				}
				for s := range 6 {
					hb.InFlight[mesh.HashServer(list[(7*i+s)%len(list)].ID)] = 1
				}
				msgs[i], _ = mesh.Encode(mesh.Message{Heartbeat: hb})
			}
			handle := func(i int) {
				msg, err := mesh.Decode(msgs[i%n])
				if err != nil {
					b.Fatal(err)
				}
				h.handleMessage(msg)
			}
			for i := range n {
				handle(i)
			}
			i := 0
			b.ReportAllocs()
			for b.Loop() {
				handle(i)
				i++
			}
		})
	}
}

// Guards against messages of senders that are no hosts, and of hosts that give the
// address of another one: load, suspects or tables of a stranger would count.
func TestForeignMessages(t *testing.T) {
	tests := []struct {
		name string
		from string
		msg  mesh.Message
		want bool // handled
	}{
		{"heartbeat", "127.0.0.2", mesh.Message{Heartbeat: &mesh.Heartbeat{From: "b", Incarnation: 1, IP: "127.0.0.2"}}, true},
		{"heartbeat with another address", "127.0.0.9", mesh.Message{Heartbeat: &mesh.Heartbeat{From: "b", Incarnation: 1, IP: "127.0.0.2"}}, false},
		{"hosts from a seed", "127.0.0.3", mesh.Message{Members: []mesh.Member{{Host: "b", IP: "127.0.0.2"}}}, true},
		{"hosts from a known host", "127.0.0.4", mesh.Message{Members: []mesh.Member{{Host: "b", IP: "127.0.0.2"}}}, true},
		{"hosts from a stranger", "127.0.0.9", mesh.Message{Members: []mesh.Member{{Host: "b", IP: "127.0.0.2"}}}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := New(Config{Settings: Settings{Host: "a", IP: "127.0.0.1", Seeds: []string{"127.0.0.3"}}, Log: zap.NewNop()})
			var err error
			h.mesh, err = mesh.Listen("127.0.0.1", 0)
			is.NoErr(err)
			h.handleMessage(mesh.Message{Members: []mesh.Member{{Host: "known", IP: "127.0.0.4"}}})
			h.handlePacket(mesh.Packet{Message: tt.msg, From: netip.MustParseAddr(tt.from)})
			is.Equal(h.members.isKnown("b"), tt.want)
		})
	}
}
