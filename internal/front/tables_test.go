package front

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/mesh"
	"github.com/laburnummux/laburnummux/internal/owner"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// longTable returns a complete table with a number of ranges.
func longTable(service keys.Service, version uint64, n int) owner.Table {
	t := owner.Table{Service: service, Term: 3, Version: version}
	for i := range n {
		t.Spans = append(t.Spans, owner.Range{
			From: owner.Key(i * (int(owner.MaxKey) + 1) / n), To: owner.Key((i+1)*(int(owner.MaxKey)+1)/n - 1), Server: keys.Server(fmt.Sprintf("i-%010x", i%419)),
		})
	}
	return t
}

// Guards against tables that no host gets, as they are longer than a datagram.
func TestLongTables(t *testing.T) {
	tests := []struct {
		name   string
		tables []owner.Table
	}{
		{"short", []owner.Table{longTable("a", 1, 10), longTable("b", 1, 1990)}},
		{"long", []owner.Table{longTable("a", 1, 15600)}},
		{"long and short", []owner.Table{longTable("a", 1, 10), longTable("b", 1, 4190), longTable("c", 1, 20)}},
		{"long together", []owner.Table{longTable("a", 1, 1500), longTable("b", 1, 1500), longTable("c", 1, 1500)}},
		{"long change", []owner.Table{{Service: "a", Term: 3, Version: 9, Base: 8, Spans: longTable("a", 9, 3000).Spans}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			got := make(map[keys.Service]owner.Table)
			as := make(tableAssemblies)
			for _, m := range tableMessages(tt.tables) {
				b, err := mesh.Encode(m)
				is.NoErr(err)
				m, err := mesh.Decode(b)
				is.NoErr(err)
				for _, table := range m.Tables {
					got[table.Service] = table
				}
				for _, p := range m.TableParts {
					if table, ok := as.add(p); ok {
						got[table.Service] = table
					}
				}
			}
			is.Equal(len(got), len(tt.tables))
			for _, table := range tt.tables {
				is.Equal(got[table.Service], table)
			}
			is.Equal(len(as), 0)
		})
	}
}

// Guards against a table that is put together from parts of two versions, and against one
// that stays incomplete when a lost part is sent again.
func TestLostTableParts(t *testing.T) {
	is := is.New(t)
	as := make(tableAssemblies)
	parts := func(version uint64) []mesh.TablePart { return mesh.SplitTable(longTable("a", version, 2500), 500) }
	add := func(p mesh.TablePart) bool {
		table, ok := as.add(p)
		is.True(!ok || len(table.Spans) == 2500 && table.Version == p.Table.Version)
		return ok
	}
	for i, p := range parts(1) {
		is.True(i == 2 || !add(p)) // part 2 is lost
	}
	is.True(add(parts(1)[2]))
	for i, p := range parts(2) {
		is.True(i == 4 || !add(p))
	}
	is.True(!add(parts(1)[4])) // late
	is.True(!add(parts(3)[4])) // of a later version: the parts of version 2 don't count any more
	is.True(!add(parts(2)[4]))
	for i, p := range parts(3) {
		is.Equal(add(p), i == 3)
	}
}
