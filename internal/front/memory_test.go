package front

import (
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/caller"
)

// Guards against limits that refuse a body that the configuration allows where memory is
// little, that exceed the memory, or that apply if it is unknown.
func TestLimitsOfMemory(t *testing.T) {
	tests := []struct {
		memory    int64
		fds       int
		bodyBytes int64
		conns     int
	}{
		{0, 0, caller.DefaultBudget, 0},
		{144e6, 0, 72e6, 732},
		{144e6, 3075, 72e6, 732},
		{536e6, 3075, 268e6, 1437},
		{0, 400, caller.DefaultBudget, 100},
		{1e6, 100, 5e5, 16},
	}
	for _, tt := range tests {
		is := is.New(t)
		s := Settings{Memory: tt.memory, MaxFDs: tt.fds}
		is.Equal(s.bodyBytes(), tt.bodyBytes)
		is.Equal(s.maxCallerConns(), tt.conns)
	}
}
