package front

import (
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/mesh"
	"github.com/laburnummux/laburnummux/internal/owner"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Guards against an assigner that keeps its role for the role lease while only it is
// partitioned from the store: it can't move the keys of servers that leave.
func TestHandOverRole(t *testing.T) {
	const failing = 2 * clock.Second // since the first failed call
	tests := []struct {
		name         string
		failures     int
		confirmedAge clock.Span // of the other host's last confirmation by the store; negative: none
		cores        float64    // of the other host; this one has 0.8
		handsOver    bool
	}{
		{"another host reaches the store", 3, clock.Second, 0.8, true},
		{"one with half the cores", 3, clock.Second, 0.4, true},
		{"one with too little processor for the role", 3, clock.Second, 0.16, false},
		{"one call has failed", 1, clock.Second, 0.8, false},
		{"no host reaches the store", 3, failing, 0.8, false},
		{"another host reached it just after the first failure", 3, failing - handOverMargin, 0.8, false},
		{"no other host has read the store", 3, -1, 0.8, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			st := &recordStore{reads: make(chan struct{}, 4)}
			h := New(Config{Settings: Settings{Host: "self", DC: "north", Cores: 0.8}, Store: st, Granter: &countingGranter{}, Log: zap.NewNop()})
			mono := h.clock.Now().Add(10 * clock.Second)
			now := h.role.now()
			h.role.assigner = unconnectedAssigner(t, now)
			h.role.heldTerm.Store(2)
			h.role.confirmedAt, h.role.confirmStartedAt = now, now
			other := &mesh.Heartbeat{From: "other", IP: "127.0.0.2", DC: "north", Incarnation: 1, ConfirmationAge: tt.confirmedAge, Cores: tt.cores}
			h.members.handleHeartbeat(mono, other)
			h.outage = storeOutage{failures: tt.failures, since: mono.Add(-failing)}
			is.Equal(h.othersReachStore(mono), tt.handsOver)
			if !tt.handsOver {
				return
			}
			h.role.handOver()
			is.Equal(h.role.term(), uint64(0))
			b := h.heartbeat(mono, 1, mesh.ReachGroup, false)
			is.Equal(b.GaveUpTerm, uint64(2))
		})
	}
}

// Guards against keys that stay without an owner for the role lease after a handover:
// the ranges of servers that don't respond move only once no former assigner can act.
func TestFormerAssignerGaveUp(t *testing.T) {
	former := owner.Holder{Host: "a", Incarnation: 7, Term: 5}
	tests := []struct {
		name  string
		b     mesh.Heartbeat
		ended bool
	}{
		{"gave up the term", mesh.Heartbeat{Incarnation: 7, GaveUpTerm: 5}, true},
		{"gave up an earlier term", mesh.Heartbeat{Incarnation: 7, GaveUpTerm: 4}, false},
		{"has the role", mesh.Heartbeat{Incarnation: 7, GaveUpTerm: 5, Term: 6}, false},
		{"says nothing", mesh.Heartbeat{Incarnation: 7}, false},
		{"is another process", mesh.Heartbeat{Incarnation: 8, GaveUpTerm: 5}, false}, // see owner.Holder.Replaced
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ms := newMembers(Settings{Host: "self", DC: "north"})
			tt.b.From, tt.b.IP, tt.b.DC = "a", "127.0.0.2", "north"
			ms.handleHeartbeat(100, &tt.b)
			is.Equal(ms.gaveUp(former, 50), tt.ended)
			is.Equal(ms.gaveUp(former, 100), false) // the heartbeat is no newer
			rec := owner.Record{Holder: "self", Former: []owner.Holder{former}}.WithoutFormer(func(h owner.Holder) bool { return ms.gaveUp(h, 50) })
			is.Equal(rec.FormerEnded(func(keys.Host) int64 { return 0 }), tt.ended)
		})
	}
}

// Guards against waiting for the timeout of an assigner that has given up its role,
// and against a later term that such a heartbeat ends.
func TestAssignerGivesUp(t *testing.T) {
	tests := []struct {
		name     string
		gaveUp   uint64
		assigner keys.Host
	}{
		{"this term", 5, ""},
		{"an earlier term", 4, "a"},
		{"none", 0, "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			ms := newMembers(Settings{Host: "self", DC: "north"})
			b := &mesh.Heartbeat{From: "a", IP: "127.0.0.2", DC: "north", Incarnation: 1, Term: 5}
			ms.handleHeartbeat(100, b)
			b.Term, b.GaveUpTerm = 0, tt.gaveUp
			ms.handleHeartbeat(200, b)
			name, _, _, _ := ms.currentAssigner()
			is.Equal(name, tt.assigner)
			is.Equal(ms.vacated() == 200, tt.assigner == "") // the hosts claim by rank from then on
		})
	}
}
