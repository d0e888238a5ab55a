package route

import (
	"slices"

	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Share is the part of a service's hash space that a data centre has.
type Share struct {
	DataCentre keys.DataCentre
	Weight     int
	Cells      int
}

// Part is the range of hashes that a cell has.
type Part struct {
	Cell  keys.Cell
	Range keys.Range
}

// Layout divides the hash space of a service into cells. Parts are in the
// order of their ranges and leave no gap.
type Layout []Part

// NewLayout divides the hash space in proportion to the weights. The result
// depends only on the arguments' values, so that all hosts agree on it.
func NewLayout(name keys.Service, shares []Share) Layout {
	shares = slices.Clone(shares)
	slices.SortFunc(shares, func(a, b Share) int {
		if a.DataCentre < b.DataCentre {
			return -1
		}
		return 1
	})
	total := uint64(0)
	for _, sh := range shares {
		total += uint64(max(sh.Weight, 0))
	}
	if total == 0 {
		return nil
	}
	var l Layout
	sum, lo := uint64(0), keys.Hash(0)
	for _, sh := range shares {
		if sh.Weight <= 0 {
			continue
		}
		sum += uint64(sh.Weight)
		hi := keys.MaxHash
		if sum < total {
			hi = keys.Hash(uint64(keys.MaxHash) / total * sum)
		}
		for i, r := range keys.NewRange(lo, hi).Divide(max(sh.Cells, 1)) {
			l = append(l, Part{Cell: keys.Cell{Service: name, DataCentre: sh.DataCentre, Index: i}, Range: r})
		}
		lo = hi + 1
	}
	return l
}

// Find returns the cell that contains h.
func (l Layout) Find(h keys.Hash) (keys.Cell, bool) {
	for _, p := range l {
		if p.Range.Contains(h) {
			return p.Cell, true
		}
	}
	return keys.Cell{}, false
}
