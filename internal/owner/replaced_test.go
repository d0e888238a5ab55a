package owner

import (
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// renewalOf advances the time until a renewal for a server is due and returns it. The
// other calls and writes succeed.
func (h *harness) renewalOf(id keys.Server) (found Grant) {
	for found.Server == "" {
		h.now = h.now.Add(20)
		for _, act := range h.assigner.Tick(h.now) {
			if g, ok := act.(Grant); ok && g.Server == id {
				found = g
				continue
			}
			h.enqueue([]Action{act})
		}
		h.answerAll("", Done)
	}
	return found
}

// Guards against calls to an address that another server has, and against a range
// that moves before its lease has expired: the other server may have it.
func TestReplacedServer(t *testing.T) {
	tests := []struct {
		name  string
		drain bool // the server drains, so that the call is a release
	}{
		{"grant", false},
		{"release", true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, Record{Term: 1}, server("a"), server("b"))
			h.advance(3*clock.Second, "", Done)
			acked := h.now
			call := h.renewalOf("a")
			if tt.drain {
				h.enqueue(h.assigner.GrantDone(h.now, h.now, call, Done))
				acked = h.now
				draining := server("a")
				draining.Draining = true
				for _, act := range h.assigner.SetServers(h.now, []keys.Service{svc}, []fleet.Server{draining, server("b")}) {
					if r, ok := act.(Release); ok {
						h.enqueue(h.assigner.ReleaseDone(h.now, r, Replaced, ""))
						continue
					}
					h.enqueue([]Action{act})
				}
			} else {
				h.enqueue(h.assigner.GrantDone(h.now, h.now, call, Replaced))
			}
			expiry := acked.Add(testConfig.LeaseTime)
			for end := h.now.Add(failureBackoff); h.now < end; {
				for _, act := range h.queue {
					switch act := act.(type) {
					case Grant:
						h.True(act.Server != "a")
						h.True(act.From != call.From || h.now >= expiry)
					case Release:
						h.True(act.Server != "a")
					}
				}
				h.answerAll("", Done)
				h.now = h.now.Add(20)
				h.enqueue(h.assigner.Tick(h.now))
			}
			h.Equal(h.keysPerServer()["b"], 65536)
		})
	}
}

// Guards against a server that gets no keys because its earlier process has ended
// and another server had its former address for a while.
func TestReplacedServerStartsAgain(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, Record{Term: 1}, server("a"))
	h.advance(3*clock.Second, "", Done)
	h.enqueue(h.assigner.GrantDone(h.now, h.now, h.renewalOf("a"), Replaced))
	next := server("a")
	next.Addr, next.Born = "elsewhere:1", 2
	h.enqueue(h.assigner.SetServers(h.now, []keys.Service{svc}, []fleet.Server{next}))
	h.advance(2*testConfig.LeaseTime, "", Done)
	is.Equal(h.keysPerServer()["a"], 65536)
}

// Guards against a release that takes keys from a server of another service at the
// address, and against a range that waits for its lease though the server that now
// has the address would release it.
func TestReleaseBySuccessor(t *testing.T) {
	tests := []struct {
		name    string
		service keys.Service // of the later server at the address
		want    keys.Server  // that has to release the range
	}{
		{"of the same service", svc, "later"},
		{"of another service", "stock", ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHarness(t, Record{Term: 1}, server("a"), server("b"))
			h.advance(testConfig.RoleLease+clock.Second, "", Done) // the role leases of former assigners have expired
			call := h.renewalOf("a")
			h.enqueue(h.assigner.GrantDone(h.now, h.now, call, Replaced))
			h.answerAll("", Done)
			replaced := h.now
			later := server("later")
			later.Addr, later.Born, later.Service = call.Addr, 2, tt.service
			h.enqueue(h.assigner.SetServers(h.now, []keys.Service{svc}, []fleet.Server{server("a"), server("b"), later}))
			var releasedBy keys.Server
			for end := h.now.Add(2 * testConfig.LeaseTime); h.now < end; {
				for _, act := range h.queue {
					if r, ok := act.(Release); ok && r.From == call.From {
						h.Equal(r.Addr, call.Addr)
						releasedBy = r.Server
					}
				}
				h.answerAll("", Done)
				if h.keysPerServer()["a"]+h.keysPerServer()[""] == 0 {
					break
				}
				h.now = h.now.Add(20)
				h.enqueue(h.assigner.Tick(h.now))
			}
			h.Equal(releasedBy, tt.want)
			h.Equal(h.now < replaced.Add(testConfig.LeaseTime/4), tt.want != "")
		})
	}
}
