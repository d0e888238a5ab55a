package front

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/owner"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// countingGranter counts grants.
type countingGranter struct{ grants chan owner.Grant }

func (g *countingGranter) Grant(_ context.Context, m owner.Grant, _ string) (GrantReply, error) {
	g.grants <- m
	return GrantReply{Outcome: owner.Done, LastConn: 1}, nil
}

func (g *countingGranter) Release(context.Context, owner.Release, string) (GrantReply, error) {
	return GrantReply{Outcome: owner.Failed}, nil
}

// Guards against grants after the role lease by a host that was suspended: the
// result of a call may be handled before the next tick.
func TestNoGrantAfterRoleLease(t *testing.T) {
	for _, tt := range []struct {
		name      string
		suspended clock.Span
		granted   bool
	}{
		{"within the role lease", roleLease - clock.Second, true},
		{"after it", roleLease + clock.Second, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			g := &countingGranter{grants: make(chan owner.Grant, 4)}
			h := New(Config{Settings: Settings{Host: "self"}, Granter: g, Log: zap.NewNop()})
			r := h.role
			began := r.now().Add(-tt.suspended)
			r.confirmedAt = began
			r.assigner = owner.New(owner.Config{LeaseTime: leaseTime, Timeout: grantTimeout, RoleLease: roleLease}, began, owner.Record{
				Term: 2, Tables: map[keys.Service][]owner.Assignment{"ledger": {{To: owner.MaxKey, Server: "a", Addr: "a:1", Born: 1}}},
			})
			for _, act := range r.assigner.SetServers(began, []keys.Service{"ledger"}, []fleet.Server{{ID: "a", Service: "ledger", Addr: "a:1", Slots: 2, Born: 1}}) {
				if m, ok := act.(owner.Grant); ok {
					m.LastConn = 1
					r.assigner.GrantDone(began, began, m, owner.Done)
				}
			}
			r.handleEvent(t.Context(), releaseDone{}) // a renewal is due
			select {
			case <-g.grants:
				is.True(tt.granted)
			case <-time.After(200 * time.Millisecond):
				is.True(!tt.granted)
			}
			is.Equal(r.assigner != nil, tt.granted)
		})
	}
}

// Guards against tables that are sent to hundreds of hosts with each single change,
// and against changes that wait where there are few hosts or until keys have had no
// owner for long.
func TestPublishInterval(t *testing.T) {
	tests := []struct {
		hosts    int
		min, max clock.Span
	}{
		{1, 0, 0}, {12, 0, 10}, {91, 20, 40}, {295, 60, 100}, {1000, 100, 250}, {4000, 100, 250},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.hosts), func(t *testing.T) {
			is := is.New(t)
			d := publishInterval(tt.hosts)
			is.True(d >= tt.min && d <= tt.max)
		})
	}
}
