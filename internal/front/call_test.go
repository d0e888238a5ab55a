package front

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/intent"
	"github.com/laburnummux/laburnummux/internal/owner"
)

// deadlineGranter records the time left until the deadline of each grant, and the
// path of health requests.
type deadlineGranter struct {
	timeLeft []time.Duration
	health   []string
	pause    clock.Span // that the servers ask for
}

func (g *deadlineGranter) Grant(ctx context.Context, _ owner.Grant, health string) (GrantReply, error) {
	end, _ := ctx.Deadline()
	g.timeLeft, g.health = append(g.timeLeft, time.Until(end)), append(g.health, health)
	return GrantReply{Outcome: owner.Done, Pause: g.pause}, nil
}

func (g *deadlineGranter) Release(context.Context, owner.Release, string) (GrantReply, error) {
	return GrantReply{Outcome: owner.Failed}, nil
}

// Guards against a grant that is sent after its range counts as free. A host that
// was suspended, or got no processor time, between the decision and the call used
// to start with the whole timeout. In a soak test two servers had a lease on the
// same range for 1.3 s.
func TestLateGrantIsNotSent(t *testing.T) {
	tests := []struct {
		name  string
		since clock.Span // since the decision
		sent  bool
	}{
		{"at once", 0, true},
		{"late", grantTimeout - 200, true},
		{"too late", grantTimeout, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			g := &deadlineGranter{}
			c := &grantCall{role: &assignerRole{host: &Host{cfg: Config{Granter: g}}}}
			out, err := c.send(t.Context(), grantTimeout-tt.since)
			is.Equal(len(g.timeLeft) == 1, tt.sent)
			if tt.sent {
				is.NoErr(err)
				is.True(g.timeLeft[0] <= (grantTimeout - tt.since).Std())
				return
			}
			is.Equal(out.Outcome, owner.Failed)
		})
	}
}

// Guards against health requests that identify a server in a pause that it has asked
// for, and against requests in a pause that only such a response has asked for.
func TestNoHealthRequestsInPause(t *testing.T) {
	is := is.New(t)
	g := &deadlineGranter{pause: 300}
	h := New(Config{Settings: Settings{Host: "self"}, Granter: g, Log: zap.NewNop()})
	h.applyConfig(intent.New(intent.Document{Version: 1, Services: []intent.Service{{Name: "ledger", Health: "/health", Keyed: true}}}))
	in := fleet.Incarnation{ID: "a", Born: 1}
	grant := func() {
		c := &grantCall{role: h.role, grant: owner.Grant{Service: "ledger", Server: in.ID, Born: in.Born}, health: h.role.healthPath("ledger", in), sentAt: h.role.now()}
		c.run(t.Context())
	}
	grant()
	is.True(h.relay.Paused(in))
	grant()
	time.Sleep(400 * time.Millisecond)
	grant()
	is.Equal(g.health, []string{"/health", "", "/health"})
}
