package owner

import (
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/pkg/keys"
)

// A former assigner that was cut off may still act although its successor gave
// the role up: the end of the last one says nothing about those before. (Two
// servers held the same keys for a second in a hunt.)
func TestFormerEnded(t *testing.T) {
	tests := []struct {
		name string
		runs map[keys.Host]int64 // of the hosts that are heard
		want bool
	}{
		{"the first is silent", map[keys.Host]int64{"b": 2}, false},
		{"the first still runs", map[keys.Host]int64{"a": 1, "b": 2}, false},
		{"the first has been replaced", map[keys.Host]int64{"a": 9}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			first := Record{}.Succeed(Holder{Host: "a", Run: 1})
			second := first.Succeed(Holder{Host: "b", Run: 2})
			second.Holder = "" // it gives the role up
			third := second.Succeed(Holder{Host: "c", Run: 3})
			is.Equal(third.Term, uint64(3))
			is.Equal(third.FormerEnded(func(h keys.Host) int64 { return tt.runs[h] }), tt.want)
		})
	}
}

// The former process of the same host has ended.
func TestFormerOfSameHost(t *testing.T) {
	is := is.New(t)
	rec := Record{}.Succeed(Holder{Host: "a", Run: 1}).Succeed(Holder{Host: "a", Run: 2})
	is.True(rec.FormerEnded(func(keys.Host) int64 { return 0 }))
}

// The role of a process that has ended is taken at once; that of one that may
// still act isn't.
func TestReplaced(t *testing.T) {
	tests := []struct {
		name string
		h    Holder
		run  int64
		want bool
	}{
		{"nobody has the role", Holder{}, 3, false},
		{"its host isn't heard", Holder{Host: "a", Run: 1}, 0, false},
		{"it still runs", Holder{Host: "a", Run: 1}, 1, false},
		{"its host runs another process", Holder{Host: "a", Run: 1}, 2, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(tt.h.Replaced(tt.run), tt.want)
		})
	}
}
