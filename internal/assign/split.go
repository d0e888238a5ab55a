package assign

import (
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// A range is hot when its load exceeds hotFactor times the mean of the
	// ranges and hotShare of a server's mean load in hotDecisions consecutive
	// decisions. The last condition keeps a short burst from splitting ranges.
	hotFactor    = 4
	hotShare     = 0.2
	hotDecisions = 2
	// isolateShare is the smallest share of a range's load with which its
	// hottest hash gets a range of its own.
	isolateShare = 0.5
	// A range is cold when its load is at most coldFactor times the mean of the
	// ranges in coldDecisions consecutive decisions. The distance to hotFactor
	// is the hysteresis between split and merge.
	coldFactor    = 0.5
	coldDecisions = 10
	// mergeRangesPerServer is the number of ranges of a server, and mergeRanges
	// that of the cell, above which ranges with different fences are merged.
	// Such a merge needs a release, so it is done only near the limits.
	mergeRangesPerServer = maxRangesPerServer * 3 / 4
	mergeRanges          = maxRanges * 3 / 4
	// mergeTimeout is how long a released range waits for its neighbour to be
	// released.
	mergeTimeout = 3 * grant.RenewalInterval
)

// fillGaps sorts the ranges, adds ranges without an owner where the assignment
// has gaps, and drops ranges that overlap an earlier one or exceed the interval.
func (s *State) fillGaps() {
	slices.SortStableFunc(s.ranges, func(a, b *rangeState) int {
		switch {
		case a.hashes.Lo() < b.hashes.Lo():
			return -1
		case a.hashes.Lo() > b.hashes.Lo():
			return 1
		}
		return 0
	})
	interval := s.cfg.Interval
	next, covered := interval.Lo(), false
	var ranges []*rangeState
	for _, rg := range s.ranges {
		if covered || rg.hashes.Lo() < next || rg.hashes.Hi() > interval.Hi() {
			continue
		}
		if rg.hashes.Lo() > next {
			ranges = append(ranges, &rangeState{hashes: keys.NewRange(next, rg.hashes.Lo()-1)})
		}
		ranges = append(ranges, rg)
		next, covered = rg.hashes.Hi()+1, rg.hashes.Hi() == interval.Hi()
	}
	if !covered {
		ranges = append(ranges, &rangeState{hashes: keys.NewRange(next, interval.Hi())})
	}
	s.ranges = ranges
}

// divideUnowned divides ranges without an owner into initialRangesPerServer
// ranges per usable server, once the leases of the earlier term have expired.
func (s *State) divideUnowned(now clock.Time) {
	if now < s.electedAt.Add(leaseTime) || !slices.ContainsFunc(s.ranges, func(rg *rangeState) bool { return rg.owner == "" }) {
		return
	}
	n := 0
	for _, sv := range s.servers {
		if s.usable(now, sv) {
			n++
		}
	}
	if n == 0 {
		return
	}
	var unowned []keys.Range
	for _, rg := range s.ranges {
		if rg.owner == "" {
			unowned = append(unowned, rg.hashes)
		}
	}
	for _, p := range s.cfg.Interval.Divide(min(n*initialRangesPerServer, maxRanges/2)) {
		for _, r := range unowned {
			if r.Contains(p.Lo()) {
				s.splitBefore(p.Lo())
			}
		}
	}
}

// applyLoads records the rates in a report, for ranges that haven't been split
// or joined since.
func (s *State) applyLoads(h *host, r grant.Report) {
	for _, load := range r.Loads {
		if !load.Range.Overlaps(s.cfg.Interval) {
			continue
		}
		for _, rg := range s.overlapping(load.Range) {
			if rg.lease == nil || rg.lease.dispatcher != h.name || rg.lease.server != r.Server {
				continue
			}
			if rg.hashes == load.Range {
				rg.rate, rg.hotHash, rg.hotRate, rg.measured = load.Rate, load.Hot, load.HotRate, true
			}
		}
	}
}

// splitHot splits ranges whose load stays far above the mean, at most
// maxSplits of them.
func (s *State) splitHot(ld *loads, maxSplits int) {
	mean := ld.total / float64(max(len(s.ranges), 1))
	for _, rg := range slices.Clone(s.ranges) {
		load := ld.rangeLoad(rg)
		if load <= hotFactor*mean || load <= hotShare*ld.meanLoad() || rg.hashes.Lo() == rg.hashes.Hi() {
			rg.hotCount = 0
			continue
		}
		if rg.hotCount++; rg.hotCount >= hotDecisions && maxSplits > 0 && s.splitRange(ld, rg) {
			maxSplits--
		}
	}
}

// splitRange isolates the hottest hash of a range, or halves the range. It
// reports whether the range was split.
func (s *State) splitRange(ld *loads, rg *rangeState) bool {
	if len(s.ranges)+2 > maxRanges || ld.ranges[rg.owner]+2 > maxRangesPerServer || rg.hashes.Lo() == rg.hashes.Hi() || rg.lease != nil && rg.lease.releasing {
		return false
	}
	rg.fragment, rg.hotCount = false, 0
	ld.ranges[rg.owner]++
	if rg.hotRate >= isolateShare*rg.rate && rg.hotRate > 0 && rg.hashes.Contains(rg.hotHash) {
		ld.ranges[rg.owner]++
		s.splitAround(keys.NewRange(rg.hotHash, rg.hotHash))
		return true
	}
	s.splitBefore(rg.hashes.Lo() + (rg.hashes.Hi()-rg.hashes.Lo())/2 + 1)
	return true
}

// joinRanges joins neighbours that were split by a partial release and are in
// the same state again, and neighbours that were released to be merged.
func (s *State) joinRanges() {
	s.joinIf(func(a, b *rangeState) bool {
		if !a.fragment || !b.fragment || a.originFence != b.originFence || a.owner != b.owner {
			return false
		}
		if a.lease == nil || b.lease == nil {
			return a.lease == b.lease && a.dedupHost == b.dedupHost && a.dedupIncarnation == b.dedupIncarnation &&
				s.claimant(a) == s.claimant(b)
		}
		return *a.lease == *b.lease
	})
	s.joinIf(func(a, b *rangeState) bool {
		return a.mergeUntil > 0 && a.mergeUntil == b.mergeUntil && a.lease == nil && b.lease == nil && a.owner == b.owner &&
			a.dedupHost == b.dedupHost && a.dedupIncarnation == b.dedupIncarnation
	})
}

// joinIf joins neighbours for which ok holds and returns the number of joins.
func (s *State) joinIf(ok func(a, b *rangeState) bool) (joined int) {
	out := s.ranges[:0]
	for _, rg := range s.ranges {
		if len(out) > 0 && ok(out[len(out)-1], rg) {
			last := out[len(out)-1]
			last.hashes = keys.NewRange(last.hashes.Lo(), rg.hashes.Hi())
			last.measured = last.measured && rg.measured
			last.rate, last.highestFence, last.mergeUntil = last.rate+rg.rate, max(last.highestFence, rg.highestFence), 0
			if rg.hotRate > last.hotRate {
				last.hotHash, last.hotRate = rg.hotHash, rg.hotRate
			}
			if last.lease != nil {
				s.host(last.lease.dispatcher).dirty = true
			}
			s.dirty = true
			joined++
			continue
		}
		out = append(out, rg)
	}
	clear(s.ranges[len(out):])
	s.ranges = out
	return joined
}

// mergeCold joins cold neighbours. Ranges under one fence are joined at no cost;
// near the limits, one pair with different fences is released to be joined.
func (s *State) mergeCold(now clock.Time, ld *loads) {
	mean := ld.total / float64(max(len(s.ranges), 1))
	for _, rg := range s.ranges {
		if rg.coldCount++; ld.rangeLoad(rg) > coldFactor*mean {
			rg.coldCount = 0
		}
	}
	cold := func(a, b *rangeState) bool {
		return a.owner == b.owner && a.coldCount >= coldDecisions && b.coldCount >= coldDecisions &&
			ld.ranges[a.owner] > initialRangesPerServer && ld.rangeLoad(a)+ld.rangeLoad(b) <= mean
	}
	s.joinIf(func(a, b *rangeState) bool {
		if a.lease == nil || b.lease == nil || *a.lease != *b.lease || !cold(a, b) {
			return false
		}
		ld.ranges[a.owner]--
		return true
	})
	for i := 1; i < len(s.ranges); i++ {
		a, b := s.ranges[i-1], s.ranges[i]
		near := ld.ranges[a.owner] > mergeRangesPerServer || len(s.ranges) > mergeRanges
		if !near || !cold(a, b) || a.lease == nil || b.lease == nil || a.lease.releasing || b.lease.releasing || a.lease.dispatcher != b.lease.dispatcher {
			continue
		}
		for _, rg := range []*rangeState{a, b} {
			rg.lease.releasing, rg.mergeUntil, rg.coldCount = true, now.Add(mergeTimeout), 0
			s.host(rg.lease.dispatcher).dirty = true
		}
		s.dirty = true
		return
	}
}
