package owner

import (
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// nextGrant advances the time until a grant is due and returns it. Writes
// succeed.
func (h *harness) nextGrant() (g Grant) {
	for range 1000 {
		h.now = h.now.Add(20)
		h.assigner.Confirm(h.now)
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
			h.now = h.now.Add(20)
			h.Equal(len(h.assigner.GrantDone(h.now, h.now, next, Unconnected)), 0)
			h.True(h.assigner.NeedsConfirmation())
			g := h.nextGrant()
			h.True(!h.assigner.NeedsConfirmation())
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

// Guards against a range that counts as released though its server was granted it
// again after the release.
func TestGrantAfterRelease(t *testing.T) {
	former, other, later := server("a"), server("b"), server("later")
	later.Addr, later.Born = former.Addr, 2
	h := newHarness(t, Record{Term: 1}, former, other)
	setServers := func(servers ...fleet.Server) {
		h.assigner.Confirm(h.now)
		h.enqueue(h.assigner.SetServers(h.now, []keys.Service{svc}, servers))
		h.answerAll("", Done)
	}
	h.advance(3*clock.Second, "", Done)
	var lost Grant
	for lost.Server != "a" {
		lost = h.nextGrant()
		if lost.Server != "a" {
			h.enqueue(h.assigner.GrantDone(h.now, h.now, lost, Done))
		}
	}
	sent := h.now
	h.enqueue(h.assigner.GrantDone(h.now, sent, lost, Unknown))
	draining := former
	draining.Draining = true
	setServers(draining, other) // released, but not free before the unanswered grant's lease has expired
	h.advance(testConfig.LeaseTime/2, "", Done)
	setServers(other, later) // whether the later server has seen a fence of this term isn't known
	setServers(draining, other)
	granted := h.now
	for h.now < granted.Add(testConfig.LeaseTime) {
		released := false
		for _, act := range h.assigner.Tick(h.now) {
			if _, ok := act.(Release); ok {
				released = true // and not answered
				continue
			}
			h.enqueue([]Action{act})
		}
		h.answerAll("", Done)
		h.Equal(h.keysPerServer()["b"], 32768)
		if released {
			return // the assigner knows that the range isn't free
		}
		h.now = h.now.Add(20)
	}
}

// Guards against a range that moves while the later process of its server has a
// lease by a grant that was in flight when its registration arrived.
func TestGrantInFlightAtRestart(t *testing.T) {
	h := newHarness(t, Record{Term: 1}, server("a"), server("b"))
	h.assigner.FormerEnded(h.now)
	h.advance(3*clock.Second, "", Done)
	var g Grant
	for g.Server != "a" {
		g = h.nextGrant()
		if g.Server == "b" {
			h.enqueue(h.assigner.GrantDone(h.now, h.now, g, Done))
		}
	}
	restarted := server("a")
	restarted.Born = 2
	sent := h.now
	h.enqueue(h.assigner.SetServers(h.now, []keys.Service{svc}, []fleet.Server{restarted, server("b")}))
	leaseEnd := sent.Add(testConfig.Timeout + testConfig.LeaseTime + testConfig.LeaseTime*2/100)
	for h.now < leaseEnd {
		h.advance(20, "a", Failed)
		h.Equal(h.keysPerServer()["b"], 32768)
	}
	h.advance(clock.Second, "a", Failed)
	h.Equal(h.keysPerServer()["b"], 65536)
}

// Guards against a grant without a confirmed role to a server that was missing from
// the list: another process may have started at its address.
func TestGrantAfterGapInList(t *testing.T) {
	is := is.New(t)
	now := clock.Time(1000)
	a := New(testConfig, now, Record{Term: 2, Tables: map[keys.Service][]Assignment{svc: {{To: MaxKey, Server: "a", Addr: "a:1", Born: 1}}}})
	a.SetServers(now, []keys.Service{svc}, []fleet.Server{server("b")})
	now = now.Add(20)
	is.Equal(len(grants(a.SetServers(now, []keys.Service{svc}, []fleet.Server{server("a"), server("b")}))), 0)
	is.True(a.NeedsConfirmation())
	a.Confirm(now)
	is.Equal(len(grants(a.Tick(now))), 1)
}
