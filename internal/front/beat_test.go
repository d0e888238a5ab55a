package front

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/mesh"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// The load that a beat reports must be counted at the right servers, and one
// that this host doesn't know yet must not hide the others.
func TestUntag(t *testing.T) {
	is := is.New(t)
	h := &Host{}
	is.Equal(len(h.untag(map[mesh.Tag]int{mesh.TagOf("s1"): 2})), 0) // no list yet
	tags := map[mesh.Tag]keys.Server{mesh.TagOf("s1"): "s1", mesh.TagOf("s2"): "s2"}
	h.tags.Store(&tags)
	got := h.untag(map[mesh.Tag]int{mesh.TagOf("s1"): 2, mesh.TagOf("s9"): 1})
	is.Equal(got, map[keys.Server]int{"s1": 2})
}

// Beats go to every host many times a second and must not carry servers' names:
// 40 of them alone, at 12 bytes and a header, would exceed the bound.
func TestBeatSize(t *testing.T) {
	is := is.New(t)
	b := &mesh.Beat{From: "front-north-12", Run: 1 << 40, IP: "10.128.0.9", DC: "north", Busy: make(map[mesh.Tag]int)}
	for i := range 40 {
		b.Busy[mesh.TagOf(keys.Server(fmt.Sprintf("i-%08x", i)))] = 3
	}
	data, err := mesh.Encode(mesh.Message{Beat: b})
	is.NoErr(err)
	is.True(len(data) < 400)
}
