// Package epoch orders the revisions of a store that can be restored from an
// older copy.
//
// A store counts its changes in revisions. When it is restored, it loses its
// latest changes and counts on from the revision of the copy, so the same number
// stands for different states. Each restore starts a new epoch: revisions of
// different epochs are ordered by the epoch, whatever their numbers are.
//
// # Usage
//
//	rev := epoch.At(2, 1041)
//	if rev.Before(next) { ... }
//	if rev.Epoch() != next.Epoch() { /* restored in between; rev can't be continued from */ }
package epoch

import "fmt"

// Revision is a revision of the store in an epoch. The zero value is before all
// others.
type Revision struct{ epoch, number uint64 }

// At returns a revision of an epoch.
func At(epoch, number uint64) Revision { return Revision{epoch: epoch, number: number} }

// Epoch returns the number of the epoch.
func (r Revision) Epoch() uint64 { return r.epoch }

// Number returns the number of the revision within its epoch.
func (r Revision) Number() uint64 { return r.number }

// Before reports whether r is older than o.
func (r Revision) Before(o Revision) bool {
	if r.epoch != o.epoch {
		return r.epoch < o.epoch
	}
	return r.number < o.number
}

// String formats the revision for logs.
func (r Revision) String() string { return fmt.Sprintf("%d/%d", r.epoch, r.number) }
