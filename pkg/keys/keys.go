// Package keys defines names, key hashes, ranges of hashes and fencing tokens.
//
// A key of a service is hashed into a 64-bit space. Ranges of hashes, not single
// keys, are assigned to backend servers, so that the size of the assignment does
// not depend on the number of keys.
//
// # Usage
//
//	h := keys.HashOf("ledger", "tin-0042")
//	r := keys.NewRange(0, 1<<63)
//	if r.Contains(h) { ... }
//
// A Fence is a fencing token; it orders the leases of a range. Its high 32 bits
// are the term of the assigner that issued it, its low 32 bits a sequence number
// within the term.
package keys

import (
	"encoding/json"
	"fmt"
	"math"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Names of hosts, backend servers, services and data centres.
type (
	// Host names an entry host.
	Host string
	// Server names a backend server.
	Server string
	// Service names a service.
	Service string
	// DataCentre names a data centre.
	DataCentre string
)

// Cell identifies a cell: a part of a service's hash space that is assigned to
// backend servers by one assigner at a time.
type Cell struct {
	Service    Service    `json:"service"`
	DataCentre DataCentre `json:"dataCentre"`
	Index      int        `json:"index"`
}

// String returns the name of the cell in the store, in logs and in metrics.
func (c Cell) String() string {
	return fmt.Sprintf("%s.%s.%d", c.Service, c.DataCentre, c.Index)
}

// Hash is the position of a key in the hash space of its service.
type Hash uint64

// MaxHash is the last position of the hash space.
const MaxHash Hash = math.MaxUint64

// HashOf returns the hash of a key. The name of the service is hashed, too.
func HashOf(s Service, key string) Hash {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(string(s))
	d.Write([]byte{0}) // separates the name from the key
	d.WriteString(key)
	return Hash(d.Sum64())
}

// String returns h in hexadecimal.
func (h Hash) String() string { return fmt.Sprintf("%016x", uint64(h)) }

// MarshalText implements encoding.TextMarshaler. Hashes are encoded in
// hexadecimal, because JSON readers may round numbers above 2^53.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *Hash) UnmarshalText(b []byte) error {
	n, err := strconv.ParseUint(string(b), 16, 64)
	if err != nil {
		return fmt.Errorf("keys.Hash: %w", err)
	}
	*h = Hash(n)
	return nil
}

// Range is an interval of the hash space. It includes both ends.
type Range struct {
	lo, hi Hash
}

// NewRange returns the range from lo to hi. The ends are swapped if needed.
func NewRange(lo, hi Hash) Range {
	return Range{lo: min(lo, hi), hi: max(lo, hi)}
}

// FullRange returns the range that covers the whole hash space.
func FullRange() Range { return Range{hi: MaxHash} }

// Lo returns the first hash of r.
func (r Range) Lo() Hash { return r.lo }

// Hi returns the last hash of r.
func (r Range) Hi() Hash { return r.hi }

// Contains reports whether h is in r.
func (r Range) Contains(h Hash) bool { return r.lo <= h && h <= r.hi }

// Overlaps reports whether r and o have a hash in common.
func (r Range) Overlaps(o Range) bool { return r.lo <= o.hi && o.lo <= r.hi }

// Intersect returns the part that r and o have in common.
func (r Range) Intersect(o Range) (common Range, ok bool) {
	if !r.Overlaps(o) {
		return Range{}, false
	}
	return Range{lo: max(r.lo, o.lo), hi: min(r.hi, o.hi)}, true
}

// Share returns the share of the hash space that r covers, from 0 to 1.
func (r Range) Share() float64 { return (float64(r.hi-r.lo) + 1) / math.Pow(2, 64) }

// Split splits r into the hashes below at and the others. at must be above r's
// first hash and not above its last.
func (r Range) Split(at Hash) (left, right Range) {
	return Range{lo: r.lo, hi: at - 1}, Range{lo: at, hi: r.hi}
}

// Divide splits r into n ranges of almost equal width, or fewer if r has fewer
// than n hashes.
func (r Range) Divide(n int) []Range {
	n = max(n, 1)
	if diff := uint64(r.hi - r.lo); diff < uint64(n) {
		n = int(diff) + 1
	}
	parts := make([]Range, 0, n)
	step, lo := uint64(r.hi-r.lo)/uint64(n), r.lo
	for i := range n {
		hi := lo + Hash(step)
		if i == n-1 {
			hi = r.hi
		}
		parts = append(parts, Range{lo: lo, hi: hi})
		lo = hi + 1
	}
	return parts
}

// String returns the range as "lo-hi" in hexadecimal.
func (r Range) String() string { return r.lo.String() + "-" + r.hi.String() }

type rangeJSON struct {
	Lo Hash `json:"lo"`
	Hi Hash `json:"hi"`
}

// MarshalJSON implements json.Marshaler.
func (r Range) MarshalJSON() ([]byte, error) { return json.Marshal(rangeJSON{r.lo, r.hi}) }

// UnmarshalJSON implements json.Unmarshaler.
func (r *Range) UnmarshalJSON(b []byte) error {
	var v rangeJSON
	if err := json.Unmarshal(b, &v); err != nil {
		return fmt.Errorf("keys.Range: %w", err)
	}
	*r = NewRange(v.Lo, v.Hi)
	return nil
}

// Fence is a fencing token: of two leases of the same range, the one with the
// higher fence is newer.
type Fence uint64

// NewFence returns the fence with the given term and sequence number.
func NewFence(term, seq uint32) Fence { return Fence(uint64(term)<<32 | uint64(seq)) }

// Term returns the term of the assigner that issued f.
func (f Fence) Term() uint32 { return uint32(f >> 32) }

// Seq returns the sequence number of f within its term.
func (f Fence) Seq() uint32 { return uint32(f) }

// String returns f as "term.seq".
func (f Fence) String() string { return fmt.Sprintf("%d.%d", f.Term(), f.Seq()) }

// ParseFence parses a fence in the form of Fence.String.
func ParseFence(s string) (f Fence, err error) {
	var term, seq uint32
	if _, err = fmt.Sscanf(s, "%d.%d", &term, &seq); err != nil {
		return 0, fmt.Errorf("keys.ParseFence: %q is not of the form term.seq: %w", s, err)
	}
	if f = NewFence(term, seq); f.String() != s {
		return 0, fmt.Errorf("keys.ParseFence: %q is not of the form term.seq", s)
	}
	return f, nil
}

// MarshalText implements encoding.TextMarshaler.
func (f Fence) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (f *Fence) UnmarshalText(b []byte) (err error) {
	*f, err = ParseFence(string(b))
	return err
}
