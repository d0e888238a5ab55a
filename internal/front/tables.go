package front

import (
	"github.com/laburnummux/laburnummux/internal/mesh"
	"github.com/laburnummux/laburnummux/internal/owner"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// maxMessageSpans is the most ranges in the tables of one message. A range takes about
	// 23 bytes, and a datagram holds 65,507.
	maxMessageSpans = 2000
	// maxPartSpans is the most ranges in a part of a longer table.
	maxPartSpans = 500
	// maxAssemblies is the most services whose parts are kept, and maxAssemblySpans the
	// ranges in them from which on no more are begun: the rest of a table may never come.
	maxAssemblies    = 256
	maxAssemblySpans = 1 << 17
)

// sendTables sends tables to hosts, in several messages if they don't fit in one.
func (h *Host) sendTables(ips []string, tables []owner.Table) {
	for _, m := range tableMessages(tables) {
		h.send(ips, m)
	}
}

// tableMessages returns the messages that hold tables.
func tableMessages(tables []owner.Table) (msgs []mesh.Message) {
	var next mesh.Message
	spans := 0
	for _, t := range tables {
		if len(t.Spans) > maxMessageSpans {
			for _, p := range mesh.SplitTable(t, maxPartSpans) {
				msgs = append(msgs, mesh.Message{TableParts: []mesh.TablePart{p}})
			}
			continue
		}
		if spans += len(t.Spans); spans > maxMessageSpans {
			msgs = append(msgs, next)
			next, spans = mesh.Message{}, len(t.Spans)
		}
		next.Tables = append(next.Tables, t)
	}
	if len(next.Tables) > 0 {
		msgs = append(msgs, next)
	}
	return msgs
}

// tableAssembly is a table of which parts have been received.
type tableAssembly struct {
	table   owner.Table // without ranges
	parts   [][]owner.Range
	missing int // parts
	spans   int // received ranges
}

// tableAssemblies has the latest incomplete table of each service.
type tableAssemblies map[keys.Service]*tableAssembly

// spans returns the number of ranges in all parts.
func (as tableAssemblies) spans() (n int) {
	for _, a := range as {
		n += a.spans
	}
	return n
}

// add adds a part. ok is true if the table is complete with it.
func (as tableAssemblies) add(p mesh.TablePart) (t owner.Table, ok bool) {
	a := as[p.Table.Service]
	if a == nil || p.Table.Newer(a.table) {
		if a == nil && (len(as) >= maxAssemblies || as.spans() > maxAssemblySpans) {
			clear(as)
		}
		a = &tableAssembly{table: p.Table, parts: make([][]owner.Range, p.Parts), missing: p.Parts}
		a.table.Spans = nil
		as[p.Table.Service] = a
	}
	if a.table.Newer(p.Table) || p.Table.Base != a.table.Base || p.Parts != len(a.parts) || a.parts[p.Part] != nil || len(p.Table.Spans) == 0 {
		return owner.Table{}, false
	}
	if a.spans += len(p.Table.Spans); a.spans > int(owner.MaxKey)+1 { // more than keys
		delete(as, p.Table.Service)
		return owner.Table{}, false
	}
	a.parts[p.Part] = p.Table.Spans
	if a.missing--; a.missing > 0 {
		return owner.Table{}, false
	}
	delete(as, p.Table.Service)
	t = a.table
	for _, spans := range a.parts {
		t.Spans = append(t.Spans, spans...)
	}
	return t, true
}
