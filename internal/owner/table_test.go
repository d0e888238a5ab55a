package owner

import (
	"fmt"
	"reflect"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/laburnummux/laburnummux/pkg/keys"
)

// drawTable draws a table that covers all keys.
func drawTable(t *rapid.T, name string) (tab Table) {
	boundaries := rapid.SliceOfNDistinct(rapid.Uint16Range(1, 65535), 0, 12, rapid.ID[uint16]).Draw(t, name)
	isBoundary := make(map[Key]bool, len(boundaries))
	for _, k := range boundaries {
		isBoundary[Key(k)] = true
	}
	from := Key(0)
	for k := 1; k <= int(MaxKey)+1; k++ {
		if k <= int(MaxKey) && !isBoundary[Key(k)] {
			continue
		}
		id := rapid.SampledFrom([]keys.Server{"", "s1", "s2", "s3"}).Draw(t, fmt.Sprintf("%s owner", name))
		tab.Spans = appendRange(tab.Spans, Range{From: from, To: Key(k - 1), Server: id})
		from = Key(k)
	}
	return tab
}

// A change, when applied, must give the same owners as the complete table:
// otherwise a host would send requests to servers that don't own their keys.
func TestDiff(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, now := drawTable(t, "old"), drawTable(t, "now")
		old.Service, old.Term, old.Version = "ledger", 3, 7
		now.Service, now.Term, now.Version = "ledger", 3, 8
		c := now.Diff(old)
		got, ok := old.Apply(c)
		if !ok || !reflect.DeepEqual(got, now) {
			t.Fatalf("%+v with change %+v: got %+v, %v; want %+v", old, c, got, ok, now)
		}
		if len(c.Spans) > len(now.Spans)+len(old.Spans) {
			t.Fatalf("change has %d ranges, more than both tables together; new table has %d", len(c.Spans), len(now.Spans))
		}
	})
}

// A host that has missed a change must not apply the one after it.
func TestApply(t *testing.T) {
	complete := []Range{{From: 0, To: MaxKey, Server: "s1"}}
	part := []Range{{From: 5, To: 9, Server: "s2"}}
	known := Table{Service: "ledger", Term: 3, Version: 7, Spans: complete}
	tests := []struct {
		name string
		c    Table
		want bool
	}{
		{"the next change", Table{Term: 3, Version: 8, Base: 7, Spans: part}, true},
		{"a change was missed", Table{Term: 3, Version: 9, Base: 8, Spans: part}, false},
		{"a change of another term", Table{Term: 4, Version: 8, Base: 7, Spans: part}, false},
		{"a late change", Table{Term: 3, Version: 7, Base: 6, Spans: part}, false},
		{"a complete table", Table{Term: 4, Version: 1, Spans: complete}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got, ok := known.Apply(tt.c)
			is.Equal(ok, tt.want)
			if !ok {
				is.Equal(got, known)
			}
		})
	}
}
