package front

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/epoch"
	"github.com/laburnummux/laburnummux/internal/owner"
)

// refusingStore has no record in its second epoch and refuses to create one.
type refusingStore struct {
	Store
	writes atomic.Int64
}

func (s *refusingStore) Record(context.Context) (owner.Record, epoch.Revision, error) {
	return owner.Record{Term: 1}, epoch.At(2, 0), nil
}

func (s *refusingStore) PutRecord(context.Context, owner.Record, epoch.Revision) (epoch.Revision, error) {
	s.writes.Add(1)
	return epoch.Revision{}, ErrRefused
}

// Guards against writes without a pause to a restored store that refuses them.
func TestRefusedWriteAfterRestore(t *testing.T) {
	is := is.New(t)
	st := &refusingStore{}
	h := New(Config{Settings: Settings{Host: "self"}, Store: st, Log: zap.NewNop()})
	r := h.role
	r.assigner = owner.New(owner.Config{LeaseTime: leaseTime, Timeout: grantTimeout, RoleLease: roleLease}, r.now(), owner.Record{Term: 2, Epoch: 1})
	r.recordRev, r.confirmedAt = epoch.At(1, 5), r.now()
	const d = 3 * writeBackoff
	for end := r.now().Add(d); r.now() < end; time.Sleep(tickInterval) {
		r.tick(t.Context())
		for len(r.events) > 0 {
			r.handleEvent(t.Context(), <-r.events)
		}
	}
	is.True(st.writes.Load() > 0)
	is.True(st.writes.Load() <= int64(d/writeBackoff)+1)
}

// Guards against an assigner that takes a record without former holders as proof,
// after a restore, that no other host can have the role.
func TestFormerAssignersAfterRestore(t *testing.T) {
	for _, tt := range []struct {
		name       string
		unverified bool
		want       bool
	}{
		{"no restore", false, true},
		{"after a restore", true, false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := New(Config{Settings: Settings{Host: "self"}, Log: zap.NewNop()})
			h.members.all["silent"] = &member{name: "silent"}
			h.role.claimedRecord = owner.Record{Term: 2, Holder: "self", Unverified: tt.unverified}
			is.Equal(h.role.allFormerEnded(), tt.want)
		})
	}
}

// Guards against an assigner that steps down because the response to its write of
// the record in a new epoch was lost.
func TestLostResponseAfterRestore(t *testing.T) {
	is := is.New(t)
	h := New(Config{Settings: Settings{Host: "self"}, Log: zap.NewNop()})
	r := h.role
	r.assigner = owner.New(owner.Config{LeaseTime: leaseTime, Timeout: grantTimeout, RoleLease: roleLease}, r.now(), owner.Record{
		Term: 2, Holder: "self", Incarnation: h.incarnation, Epoch: 1,
	})
	r.recordRev, r.confirmedAt = epoch.At(1, 5), r.now()
	written := r.assigner.Record().Restored(2)
	r.nextWriteAt = r.now().Add(roleLease)
	r.handleRead(t.Context(), r.now(), readDone{rec: written, rev: epoch.At(2, 7), startedAt: r.now()})
	is.True(r.assigner != nil)
	is.Equal(r.term(), written.Term)
}
