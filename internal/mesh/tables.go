package mesh

import (
	"fmt"

	"github.com/laburnummux/laburnummux/internal/owner"
)

const (
	// maxTableParts is the most parts of a table; maxReceivedPartSpans is the most ranges
	// that a received part may have. Hosts send fewer.
	maxTableParts        = 256
	maxReceivedPartSpans = 2000
)

// TablePart is a part of a table that is too long for one message. The ranges of all
// parts in their order are those of the table.
type TablePart struct {
	Table owner.Table `cbor:"1,keyasint"`
	Part  int         `cbor:"2,keyasint"` // 0 is the first
	Parts int         `cbor:"3,keyasint"`
}

// SplitTable divides a table into parts of at most n ranges.
func SplitTable(t owner.Table, n int) (parts []TablePart) {
	count := (len(t.Spans) + n - 1) / n
	for i := range count {
		p := TablePart{Table: t, Part: i, Parts: count}
		p.Table.Spans = t.Spans[i*n : min((i+1)*n, len(t.Spans))]
		parts = append(parts, p)
	}
	return parts
}

// checkTableParts returns an error for parts that no host can have sent.
func (m Message) checkTableParts() error {
	for _, p := range m.TableParts {
		if p.Parts < 1 || p.Parts > maxTableParts || p.Part < 0 || p.Part >= p.Parts || len(p.Table.Spans) > maxReceivedPartSpans {
			return fmt.Errorf("part %d of %d of a table, with %d ranges", p.Part, p.Parts, len(p.Table.Spans))
		}
	}
	return nil
}
