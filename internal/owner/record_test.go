package owner

import (
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/pkg/keys"
)

// A partitioned former assigner may still act although its successor has
// resigned: that the last holder has ended doesn't imply that the ones before it
// have. Without this check two servers owned the same keys for a second in a
// fault-injection run.
func TestFormerEnded(t *testing.T) {
	tests := []struct {
		name         string
		incarnations map[keys.Host]int64 // from current heartbeats
		want         bool
	}{
		{"no heartbeats from the first", map[keys.Host]int64{"b": 2}, false},
		{"the first still runs", map[keys.Host]int64{"a": 1, "b": 2}, false},
		{"the first has been replaced", map[keys.Host]int64{"a": 9}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			first := Record{}.NextTerm(Holder{Host: "a", Incarnation: 1}, 0, 0)
			second := first.NextTerm(Holder{Host: "b", Incarnation: 2}, 0, 0)
			second.Holder = "" // it resigns
			third := second.NextTerm(Holder{Host: "c", Incarnation: 3}, 0, 0)
			is.Equal(third.Term, uint64(3))
			is.Equal(third.FormerEnded(func(h keys.Host) int64 { return tt.incarnations[h] }), tt.want)
		})
	}
}

// The former process of the same host has ended.
func TestFormerOfSameHost(t *testing.T) {
	is := is.New(t)
	rec := Record{}.NextTerm(Holder{Host: "a", Incarnation: 1}, 0, 0).NextTerm(Holder{Host: "a", Incarnation: 2}, 0, 0)
	is.True(rec.FormerEnded(func(keys.Host) int64 { return 0 }))
}

// The role of a process that has ended can be taken over at once; that of one
// that may still act can't.
func TestReplaced(t *testing.T) {
	tests := []struct {
		name        string
		h           Holder
		incarnation int64
		want        bool
	}{
		{"no process has the role", Holder{}, 3, false},
		{"no heartbeats from its host", Holder{Host: "a", Incarnation: 1}, 0, false},
		{"it still runs", Holder{Host: "a", Incarnation: 1}, 1, false},
		{"its host runs another process", Holder{Host: "a", Incarnation: 1}, 2, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(tt.h.Replaced(tt.incarnation), tt.want)
		})
	}
}
