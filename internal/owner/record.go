package owner

import (
	"cmp"
	"maps"
	"slices"

	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Key is a key of a keyed service.
type Key uint16

// MaxKey is the highest key.
const MaxKey Key = 65535

// Fence is a fencing token. A server rejects grants of a key with a lower one
// than it has seen.
type Fence uint64

// seqBits is the size of the sequence in a Fence; the rest is the term. 24
// bits allow 16 million changes in a term and 2^29 terms below the integers
// that every JSON decoder keeps exactly.
const seqBits = 24

func newFence(term, seq uint64) Fence { return Fence(term<<seqBits | seq) }

// Record is what the store keeps: who is the assigner, and which server may
// hold which keys. It is replaced as a whole by conditional writes.
type Record struct {
	Term   uint64                 `json:"term"`
	Holder keys.Host              `json:"holder"`
	Run    int64                  `json:"run"` // start of the holder's process, Unix ms
	Seq    uint64                 `json:"seq"` // last sequence used in a fence of this term
	Tables map[keys.Service][]Row `json:"tables"`
	// Former are earlier holders that may still act: they neither gave the role
	// up nor are known to have ended.
	Former []Holder `json:"former,omitempty"`
}

// Holder is a process that has had the assigner's role.
type Holder struct {
	Host keys.Host `json:"host"`
	Run  int64     `json:"run"`
}

// Process returns the process that has the role.
func (r Record) Process() Holder { return Holder{Host: r.Holder, Run: r.Run} }

// Replaced reports whether the process is known to have ended, because its host
// runs another one now. run is the run that was heard, or 0.
func (h Holder) Replaced(run int64) bool { return h.Host != "" && run != 0 && run != h.Run }

// Succeed returns the record with which a process takes the role.
func (r Record) Succeed(h Holder) Record {
	next := r
	next.Former = slices.Clone(r.Former)
	if r.Holder != "" {
		next.Former = append(next.Former, r.Process())
	}
	next.Term, next.Seq, next.Holder, next.Run = r.Term+1, 0, h.Host, h.Run
	return next
}

// FormerEnded reports whether all earlier holders are known to have ended. runOf
// returns the run of a host that is heard now, or 0.
func (r Record) FormerEnded(runOf func(keys.Host) int64) bool {
	return !slices.ContainsFunc(r.Former, func(h Holder) bool {
		if h.Host == r.Holder {
			return h.Run == r.Run
		}
		return !h.Replaced(runOf(h.Host))
	})
}

// Row assigns a range of keys. Server is empty if nobody may hold it.
type Row struct {
	From   Key         `json:"from"`
	To     Key         `json:"to"` // inclusive
	Server keys.Server `json:"server,omitempty"`
	Addr   string      `json:"addr,omitempty"` // a server may be called after its entry is gone
	Born   int64       `json:"born,omitempty"` // tells the server's runs apart
	Fence  Fence       `json:"fence,omitempty"`
}

// Table is what hosts need to know of one service's owners.
type Table struct {
	Service keys.Service `cbor:"1,keyasint"`
	Term    uint64       `cbor:"2,keyasint"`
	Version uint64       `cbor:"3,keyasint"` // grows within a term
	Spans   []Span       `cbor:"4,keyasint"`
	// Base is the version of the same term to which Spans are the changes; 0
	// means that Spans are the whole table.
	Base uint64 `cbor:"5,keyasint,omitempty"`
}

// Span is a range of keys with its owner. Server is empty while no server may
// be asked.
type Span struct {
	From   Key         `cbor:"1,keyasint"`
	To     Key         `cbor:"2,keyasint"`
	Server keys.Server `cbor:"3,keyasint"`
}

// Owner returns the server that owns a key, or "".
func (t Table) Owner(k Key) keys.Server {
	i, ok := slices.BinarySearchFunc(t.Spans, k, func(s Span, k Key) int {
		switch {
		case s.To < k:
			return -1
		case s.From > k:
			return 1
		}
		return 0
	})
	if !ok {
		return ""
	}
	return t.Spans[i].Server
}

// TableOf returns the table of a service as a stored record has it.
func (r Record) TableOf(s keys.Service) Table {
	t := Table{Service: s, Term: r.Term}
	for _, w := range r.Tables[s] {
		t.Spans = append(t.Spans, Span{From: w.From, To: w.To, Server: w.Server})
	}
	return t
}

// equal reports whether two records have the same tables.
func equal(a, b map[keys.Service][]Row) bool {
	return maps.EqualFunc(a, b, func(x, y []Row) bool { return slices.Equal(x, y) })
}

// normal sorts rows and fills gaps with rows that have no server.
func normal(rows []Row) []Row {
	rows = slices.Clone(rows)
	slices.SortFunc(rows, func(a, b Row) int { return cmp.Compare(a.From, b.From) })
	var out []Row
	next := 0
	for _, w := range rows {
		if int(w.From) < next || w.To < w.From {
			continue // overlaps an earlier row; can't come from this program
		}
		if int(w.From) > next {
			out = append(out, Row{From: Key(next), To: w.From - 1})
		}
		out = append(out, w)
		next = int(w.To) + 1
	}
	if next <= int(MaxKey) {
		out = append(out, Row{From: Key(next), To: MaxKey})
	}
	return out
}
