package owner

import (
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/clock"
)

// nextGrant advances the time until a grant is due and returns it. Writes
// succeed.
func (h *harness) nextGrant() (g Grant) {
	for range 1000 {
		h.now = h.now.Add(20)
		for acts := h.assigner.Tick(h.now); len(acts) > 0; acts = acts[1:] {
			switch act := acts[0].(type) {
			case Grant:
				return act
			case Write:
				acts = append(acts, h.assigner.WriteDone(h.now, act.Version)...)
			}
		}
	}
	return g
}

// Guards against a fencing token that reaches a second process at an address, in a
// renewal or after a grant without a response.
func TestFenceReachesOneProcess(t *testing.T) {
	tests := []struct {
		name     string
		out      Outcome
		lastConn uint64 // of the grant with this outcome, after it
	}{
		{"executed", Done, 7},
		{"unanswered", Unknown, 7},
		{"not sent", Failed, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, Record{Term: 1}, server("a"))
			h.advance(clock.Second, "", Done)
			first := h.nextGrant()
			h.Equal(first.LastConn, uint64(0))
			first.LastConn = tt.lastConn
			h.enqueue(h.assigner.GrantDone(h.now, h.now, first, tt.out))
			next := h.nextGrant()
			h.Equal(next.Fence, first.Fence)
			h.Equal(next.LastConn, tt.lastConn)
			if tt.lastConn == 0 {
				return
			}
			acts := h.assigner.GrantDone(h.now, h.now, next, Unconnected)
			h.Equal(len(acts), 1) // at once
			g, ok := acts[0].(Grant)
			h.True(ok)
			h.True(g.Fence > first.Fence)
			h.Equal(g.LastConn, uint64(0))
			// Hosts send requests to the server meanwhile, as most often it is the same.
			h.Equal(h.keysPerServer()["a"] == 65536, tt.out == Done)
		})
	}
}

// Guards against a release of a range whose fencing token is raised meanwhile.
func TestUnconnectedWhileReleasing(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, Record{Term: 1}, server("a"))
	h.advance(3*clock.Second, "", Done)
	renewal := h.nextGrant()
	rs := h.assigner.tables[svc][0]
	rs.startRelease()
	acts := h.assigner.GrantDone(h.now, h.now, renewal, Unconnected)
	is.Equal(len(acts), 1)
	r, ok := acts[0].(Release)
	is.True(ok)
	is.Equal(r.Fence, renewal.Fence)
}
