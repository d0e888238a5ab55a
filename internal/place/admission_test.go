package place

import (
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/owner"
)

// Guards against requests that are held or refused here because of the group's own load,
// though the owner's admitter orders those of all hosts; and against requests that are
// marked for admission where nobody asks.
func TestPlacementForAdmission(t *testing.T) {
	tests := []struct {
		name   string
		on     bool
		shares int
		keyed  bool
		starts int // of 20 requests
		admit  bool
	}{
		{"admission", true, 2, true, 20, true},
		{"no admission", false, 2, true, 3, false},
		{"all hosts tell their load", true, 1, true, 3, false},
		{"without a key", true, 2, false, 6, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := New("north", oneIdleConn)
			s.SetAdmission(tt.on)
			s.SetShare(0, Share{Count: tt.shares, Hosts: 2})
			s.SetServers(0, servers(2))
			s.SetTable(0, owner.Table{Service: svc, Term: 1, Spans: []owner.Range{{From: 0, To: owner.MaxKey, Server: "s0"}}})
			n := 0
			for id := range uint64(20) {
				r := newRequest(id, 0)
				r.Keyed = tt.keyed
				for _, act := range s.Submit(0, r) {
					if st, ok := act.(Start); ok {
						n++
						is.Equal(st.Admit, tt.admit)
					}
				}
			}
			is.Equal(n, tt.starts)
		})
	}
}

// Guards against a request that is placed again and again on a server whose admitter
// refuses it, and against a server that gets nothing for too long because of it.
func TestDecline(t *testing.T) {
	is := is.New(t)
	s := newState(2)
	s.Decline(0, "s0", 400)
	for id := range uint64(3) {
		for _, act := range s.Submit(0, newRequest(id, 0)) {
			is.Equal(act.(Start).Server.ID, servers(2)[1].ID)
		}
	}
	is.Equal(len(starts(s.Submit(0, newRequest(9, 0)))), 0)
	is.Equal(starts(s.Tick(399)), nil)
	s.Decline(0, "none", 400)
	s.Submit(390, newRequest(10, 390))
	is.Equal(len(starts(s.Tick(400))), 1)
}
