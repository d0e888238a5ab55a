package caller

import (
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/listen"
)

// Guards against connections that may hold more unread bytes than the machine has
// memory for, and against bounds where the memory isn't known.
func TestCapacity(t *testing.T) {
	tests := []struct {
		name         string
		capacity     Capacity
		conns        int
		bounds       listen.Bounds
		held         int64 // by callers' connections that are full
		operators    int
		operatorHeld int64
	}{
		{"unknown", Capacity{}, 0, listen.Bounds{}, 0, 0, 0},
		{"descriptors only", Capacity{FDs: 400}, 100, listen.Bounds{}, 0, 33, 0},
		{"smallest machine", Capacity{Memory: 144e6, FDs: 3075, ConnShare: 0.125, ConnBytes: 24 << 10}, 732, listen.Bounds{ReadBuffer: 12 << 10, Backlog: 244}, 976 * 24 << 10, 244, 325 * 16 << 10},
		{"few descriptors", Capacity{Memory: 144e6, FDs: 220, ConnShare: 0.125, ConnBytes: 24 << 10}, 16, listen.Bounds{ReadBuffer: 12 << 10, Backlog: 16}, 32 * 24 << 10, 16, 32 * 16 << 10},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			n := tt.capacity.MaxConns()
			is.Equal(n, tt.conns)
			is.Equal(tt.capacity.CallerBounds(n), tt.bounds)
			is.Equal(tt.capacity.CallerBounds(n).Held(n), tt.held)
			operators := ShareOfConns(n, 3)
			is.Equal(operators, tt.operators)
			is.Equal(tt.capacity.OtherBounds(operators).Held(operators), tt.operatorHeld)
			is.True(tt.held+tt.operatorHeld <= tt.capacity.Memory/4)
		})
	}
}
