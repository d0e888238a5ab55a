package owner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Key is a key of a keyed service.
type Key uint16

// MaxKey is the highest key.
const MaxKey Key = 65535

// Fence is a fencing token. A server rejects a grant of a key whose fence is
// lower than one that it has already seen for the key.
type Fence uint64

// seqBits is the size of the sequence in a Fence; the rest is the term. 24
// bits allow 16 million changes in a term, and 2^29 terms below 2^53, up to which
// every JSON decoder keeps integers exactly.
const seqBits = 24

// maxTerm is the highest term of a valid record.
const maxTerm = 1 << (53 - seqBits)

func newFence(term, seq uint64) Fence { return Fence(term<<seqBits | seq) }

func (f Fence) term() uint64 { return uint64(f) >> seqBits }

// Record is the state in the store: which process is the assigner, and which
// server may hold a lease on which keys. It is replaced as a whole by
// conditional writes.
type Record struct {
	Term        uint64                        `json:"term"`
	Holder      keys.Host                     `json:"holder"`
	Incarnation int64                         `json:"run"` // incarnation of the holder: start of its process, Unix ms
	Seq         uint64                        `json:"seq"` // last sequence used in a fence of this term
	Tables      map[keys.Service][]Assignment `json:"tables"`
	// Former lists the former holders that may still act: they neither resigned
	// nor are known to have ended.
	Former []Holder `json:"former,omitempty"`
	Epoch  uint64   `json:"epoch,omitempty"` // of the store that it was written to
	// Unverified means that the tables come from before a restore of the store:
	// servers that they don't name may have leases.
	Unverified bool `json:"unverified,omitempty"`
}

// termsPerEpoch is added to the term for each restore of the store since the
// record was written. It is more than the terms that a restore can lose, so that
// terms rise, and fences with them.
const termsPerEpoch = 1024

// Check returns an error if no assigner can have written the record.
func (r Record) Check() error {
	if r.Term == 0 || r.Term > maxTerm || r.Seq >= 1<<seqBits {
		return fmt.Errorf("term %d or sequence %d is out of range", r.Term, r.Seq)
	}
	return nil
}

// Holder is a process that has had the assigner's role.
type Holder struct {
	Host        keys.Host `json:"host"`
	Incarnation int64     `json:"run"` // incarnation: start of the process, Unix ms
	// Term is the last term in which it had the role. It is set in Record.Former only,
	// and not by earlier versions.
	Term uint64 `json:"term,omitempty"`
}

// Process returns the process that has the role.
func (r Record) Process() Holder { return Holder{Host: r.Holder, Incarnation: r.Incarnation} }

// Replaced reports whether the process is known to have ended because its host
// now runs another one. incarnation is the one in the host's heartbeats, or 0 if
// there are none.
func (h Holder) Replaced(incarnation int64) bool {
	return h.Host != "" && incarnation != 0 && incarnation != h.Incarnation
}

// NextTerm returns the record of the next term, with h as the assigner, for a
// store in the given epoch. observedTerm is the highest term that h knows of.
func (r Record) NextTerm(h Holder, storeEpoch, observedTerm uint64) Record {
	next := r.inEpoch(storeEpoch)
	next.Former = slices.Clone(r.Former)
	if r.Holder != "" {
		former := r.Process()
		former.Term = r.Term
		next.Former = append(next.Former, former)
	}
	next.Term, next.Seq, next.Holder, next.Incarnation = max(next.Term, observedTerm+next.Term-r.Term)+1, 0, h.Host, h.Incarnation
	return next
}

// Restored returns the record with which its holder keeps the role after a restore
// of the store.
func (r Record) Restored(storeEpoch uint64) Record {
	next := r.inEpoch(storeEpoch)
	next.Term, next.Seq, next.Former = next.Term+1, 0, nil
	return next
}

// inEpoch returns the record with the terms and the mark that restores of the
// store since it was written require.
func (r Record) inEpoch(storeEpoch uint64) Record {
	if storeEpoch <= r.Epoch {
		return r
	}
	r.Term = max(r.Term+(storeEpoch-r.Epoch)*termsPerEpoch, storeEpoch*termsPerEpoch)
	r.Epoch, r.Unverified = storeEpoch, true
	return r
}

// WithTables returns the record with the tables of a host. Addresses and incarnations of the servers come from the list.
func (r Record) WithTables(tables []Table, servers []fleet.Server) Record {
	known := make(map[keys.Server]Assignment)
	for _, assigned := range r.Tables {
		for _, as := range assigned {
			known[as.Server] = Assignment{Server: as.Server, Addr: as.Addr, Born: as.Born}
		}
	}
	for _, sv := range servers {
		known[sv.ID] = Assignment{Server: sv.ID, Addr: sv.Addr, Born: sv.Born}
	}
	r.Tables = maps.Clone(r.Tables)
	for _, t := range tables {
		if r.Tables == nil {
			r.Tables = make(map[keys.Service][]Assignment)
		}
		r.Tables[t.Service] = nil
		for _, span := range t.Spans {
			as := known[span.Server]
			as.From, as.To = span.From, span.To
			r.Tables[t.Service] = append(r.Tables[t.Service], as)
		}
	}
	return r
}

// WithoutFormer returns the record without the former holders that are known to
// act no more.
func (r Record) WithoutFormer(ended func(Holder) bool) Record {
	r.Former = slices.DeleteFunc(slices.Clone(r.Former), ended)
	return r
}

// FormerEnded reports whether all former holders are known to have ended.
// incarnationOf returns the incarnation in a host's current heartbeats, or 0 if
// there are none.
func (r Record) FormerEnded(incarnationOf func(keys.Host) int64) bool {
	return !slices.ContainsFunc(r.Former, func(h Holder) bool {
		if h.Host == r.Holder {
			return h.Incarnation == r.Incarnation
		}
		return !h.Replaced(incarnationOf(h.Host))
	})
}

// Assignment assigns a range of keys to a server. Server is empty if no server
// may hold a lease on the range.
type Assignment struct {
	From   Key         `json:"from"`
	To     Key         `json:"to"` // inclusive
	Server keys.Server `json:"server,omitempty"`
	Addr   string      `json:"addr,omitempty"` // needed for calls after the server's registration is gone
	Born   int64       `json:"born,omitempty"` // incarnation of the server
	Fence  Fence       `json:"fence,omitempty"`
}

// Table has the owners of one service's keys, as published to hosts.
type Table struct {
	Service keys.Service `cbor:"1,keyasint"`
	Term    uint64       `cbor:"2,keyasint"`
	Version uint64       `cbor:"3,keyasint"` // grows within a term
	Spans   []Range      `cbor:"4,keyasint"` // its name is a key in the JSON of /dump
	// Base is the version, of the same term, that Spans are changes to; 0 means
	// that Spans are the complete table.
	Base uint64 `cbor:"5,keyasint,omitempty"`
}

// Range is a range of keys with its owner. Server is empty while requests can't
// be sent to any server.
type Range struct {
	From   Key         `cbor:"1,keyasint"`
	To     Key         `cbor:"2,keyasint"`
	Server keys.Server `cbor:"3,keyasint"`
}

// Owner returns the server that owns a key, or "".
func (t Table) Owner(k Key) keys.Server {
	i, ok := slices.BinarySearchFunc(t.Spans, k, func(r Range, k Key) int {
		switch {
		case r.To < k:
			return -1
		case r.From > k:
			return 1
		}
		return 0
	})
	if !ok {
		return ""
	}
	return t.Spans[i].Server
}

// TableOf returns the table of a service according to the record.
func (r Record) TableOf(s keys.Service) Table {
	t := Table{Service: s, Term: r.Term}
	for _, as := range r.Tables[s] {
		t.Spans = append(t.Spans, Range{From: as.From, To: as.To, Server: as.Server})
	}
	return t
}

// equalTables reports whether the tables of two records are the same.
func equalTables(a, b map[keys.Service][]Assignment) bool {
	return maps.EqualFunc(a, b, func(x, y []Assignment) bool { return slices.Equal(x, y) })
}

// normalize sorts assignments and fills gaps with ranges that have no server.
func normalize(assigned []Assignment) []Assignment {
	assigned = slices.Clone(assigned)
	slices.SortFunc(assigned, func(a, b Assignment) int { return cmp.Compare(a.From, b.From) })
	var out []Assignment
	next := 0
	for _, as := range assigned {
		if int(as.From) < next || as.To < as.From {
			continue // empty or overlaps an earlier range; this program never writes it
		}
		if int(as.From) > next {
			out = append(out, Assignment{From: Key(next), To: as.From - 1})
		}
		out = append(out, as)
		next = int(as.To) + 1
	}
	if next <= int(MaxKey) {
		out = append(out, Assignment{From: Key(next), To: MaxKey})
	}
	return out
}
