package owner

import (
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Guards against a range that moves while its server has a lease by the last grant
// of a former assigner, which may arrive until its timeout has passed.
func TestFormerAssignersLastGrant(t *testing.T) {
	tests := []struct {
		name     string
		ended    bool
		lastSent clock.Span // by the former assigner, after the claim
	}{
		{"the former assigner has given up the role", true, 0},
		{"the former assigner's role lease expires", false, testConfig.RoleLease},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, Record{Term: 2, Tables: map[keys.Service][]Assignment{svc: {
				{From: 0, To: 32767, Server: "a", Addr: "a:1", Born: 1, Fence: 5}, {From: 32768, To: MaxKey, Server: "b", Addr: "b:1", Born: 1, Fence: 6},
			}}}, server("a"), server("b"))
			claimed := h.now
			if tt.ended {
				h.assigner.FormerEnded(claimed)
			}
			arrived := claimed.Add(tt.lastSent + testConfig.Timeout)
			leaseEnd := arrived.Add(testConfig.LeaseTime + testConfig.LeaseTime*2/100)
			for h.now < leaseEnd {
				h.advance(20, "a", Failed)
				is.Equal(h.keysPerServer()["b"], 32768)
			}
			h.advance(clock.Second, "a", Failed)
			is.Equal(h.keysPerServer()["b"], 65536)
		})
	}
}
