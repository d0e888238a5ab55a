package front

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/owner"
)

// deadlineGranter records the time left until the deadline of each grant.
type deadlineGranter struct{ timeLeft []time.Duration }

func (g *deadlineGranter) Grant(ctx context.Context, _ owner.Grant, _ string) (GrantReply, error) {
	end, _ := ctx.Deadline()
	g.timeLeft = append(g.timeLeft, time.Until(end))
	return GrantReply{Outcome: owner.Done}, nil
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
