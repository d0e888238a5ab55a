package front

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

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
