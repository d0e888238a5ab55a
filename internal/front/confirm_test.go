package front

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/epoch"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/owner"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// recordStore counts the reads of the record. Other calls aren't expected.
type recordStore struct {
	Store
	reads chan struct{}
}

func (s *recordStore) Record(context.Context) (owner.Record, epoch.Revision, error) {
	s.reads <- struct{}{}
	return owner.Record{}, epoch.Revision{}, ErrNoResponse
}

// unconnectedAssigner returns an assigner whose server must be granted its range
// on a new connection.
func unconnectedAssigner(t *testing.T, now clock.Time) *owner.Assigner {
	a := owner.New(owner.Config{LeaseTime: leaseTime, Timeout: grantTimeout, RoleLease: roleLease}, now, owner.Record{
		Term: 2, Tables: map[keys.Service][]owner.Assignment{"ledger": {{To: owner.MaxKey, Server: "a", Addr: "a:1", Born: 1}}},
	})
	for _, act := range a.SetServers(now, []keys.Service{"ledger"}, []fleet.Server{{ID: "a", Service: "ledger", Addr: "a:1", Slots: 2, Born: 1}}) {
		if g, ok := act.(owner.Grant); ok {
			a.GrantDone(now, now, g, owner.Unconnected)
		}
	}
	if !a.NeedsConfirmation() {
		t.Fatal("the assigner needs no confirmation")
	}
	return a
}

// Guards against a grant on a new connection by an assigner that has been replaced:
// its heartbeats and the store are cut off.
func TestConfirmRole(t *testing.T) {
	tests := []struct {
		name      string
		alive     int // hosts of four others that are alive
		laterTerm bool
		after     clock.Span
		confirmed bool
	}{
		{"majority of the hosts", 3, false, aliveTimeout, true},
		{"their heartbeats may be older", 3, false, aliveTimeout - 1, false},
		{"minority", 1, false, aliveTimeout, false},
		{"a later assigner has sent its tables", 3, true, aliveTimeout, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			st := &recordStore{reads: make(chan struct{}, 4)}
			h := New(Config{Settings: Settings{Host: "self"}, Store: st, Log: zap.NewNop()})
			for i, name := range []keys.Host{"h1", "h2", "h3", "h4"} {
				m := &member{name: name}
				if i < tt.alive {
					m.lastHeartbeat, m.tablesTerm = h.clock.Now().Add(1), 2
				}
				if tt.laterTerm && i == 0 {
					m.tablesTerm = 3
				}
				h.members.all[name] = m
			}
			now := h.role.now()
			h.role.assigner = unconnectedAssigner(t, now)
			h.role.confirmRole(t.Context(), now.Add(tt.after))
			h.role.confirmRole(t.Context(), now.Add(tt.after)) // the read is in flight
			h.role.assigner.Tick(now.Add(tt.after))
			is.Equal(h.role.assigner.NeedsConfirmation(), !tt.confirmed)
			select {
			case <-st.reads:
			case <-time.After(time.Second):
				t.Fatal("the record wasn't read")
			}
			is.Equal(len(st.reads), 0)
		})
	}
}
