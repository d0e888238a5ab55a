package front

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/epoch"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/intent"
	"github.com/laburnummux/laburnummux/internal/owner"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Guards against first grants by a host that handles its claim's response late: a
// later assigner may have moved the keys, and the server may have restarted since.
func TestNoGrantAfterLateClaim(t *testing.T) {
	for _, tt := range []struct {
		name    string
		age     clock.Span
		granted bool
	}{
		{"at once", 0, true},
		{"after a suspension", 5 * clock.Second, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			g := &countingGranter{grants: make(chan owner.Grant, 4)}
			st := &recordStore{reads: make(chan struct{}, 4)}
			h := New(Config{Settings: Settings{Host: "self", MaxLeaseTime: leaseTime}, Store: st, Granter: g, Log: zap.NewNop()})
			h.relay.SetConfig(intent.New(intent.Document{Services: []intent.Service{{Name: "ledger", Keyed: true}}}))
			h.fleet.Put(0, fleet.Server{ID: "a", Service: "ledger", Addr: "a:1", Slots: 2, Born: 1})
			now := h.role.now()
			h.role.handleClaim(t.Context(), now, claimDone{startedAt: now.Add(-tt.age), rev: epoch.At(1, 5), rec: owner.Record{
				Term: 2, Epoch: 1, Tables: map[keys.Service][]owner.Assignment{"ledger": {{To: owner.MaxKey, Server: "a", Addr: "a:1", Born: 1}}},
			}})
			select {
			case <-g.grants:
				is.True(tt.granted)
			case <-time.After(200 * time.Millisecond):
				is.True(!tt.granted)
			}
			if !tt.granted {
				is.True(h.role.assigner.NeedsConfirmation())
			}
		})
	}
}

// Guards against calls to the store that grow with the number of hosts: at a start,
// and whenever the assigner ended, each of 295 hosts read its record, and each
// registered itself. The first hosts of each data centre are enough.
func TestFewHostsStandBy(t *testing.T) {
	is := is.New(t)
	f := newFleetSim(150, 5)
	f.run(2 * clock.Second)
	standby := 0
	for _, h := range f.hosts {
		if h.isStandby(f.now) {
			standby++
		}
	}
	is.Equal(standby, 5*standbyHosts)
	for _, h := range f.hosts[:30] {
		h.down = true // all that stood by, and more
	}
	f.run(aliveTimeout + 100)
	for _, h := range f.hosts[30:35] {
		is.True(h.isStandby(f.now)) // the next ones
	}
	small := newFleetSim(12, 3)
	small.run(clock.Second)
	for _, h := range small.hosts {
		is.True(h.isStandby(small.now)) // all, where they are few
	}
}
