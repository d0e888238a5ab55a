package lease

import (
	"cmp"
	"errors"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Errors of Begin and Check. With each of them the request has not run.
var (
	ErrNoLease        = errors.New("lease: no lease on this hash for this server")
	ErrReleasing      = errors.New("lease: range is being released")
	ErrUnreachable    = errors.New("lease: server is unreachable")
	ErrDraining       = errors.New("lease: server is draining")
	ErrUnacknowledged = errors.New("lease: server has not acknowledged the grant")
)

// lease is a range, or a part of one, that was granted and not yet released. A
// lease with requests in flight may outlast its expiry.
type lease struct {
	hashes keys.Range
	fence  keys.Fence
	// expires is when the lease expires at this host.
	expires   clock.Time
	releasing bool
	// releaseRequested reports that the assigner requested the release, so
	// nextHost is final.
	releaseRequested bool
	nextHost         keys.Host
	dedupComplete    bool

	// firstPush and lastPush are the first and last push that contained the
	// lease. serverExpiry is when it has expired at the server, whatever the
	// drift of its clock.
	firstPush, lastPush uint64
	serverExpiry        clock.Time
	withdrawn           bool // left out of further pushes

	transfer        transfer
	transferStarted clock.Time
	meter           meter
}

// transfer is the state of the transfer of a lease's deduplication records.
type transfer int

const (
	transferNone transfer = iota
	transferSent
	transferDone
	transferFailed
)

// Begin admits a request and returns the fence to send with it. Each
// successful Begin needs one End.
func (s *State) Begin(now clock.Time, name keys.Server, h keys.Hash) (keys.Fence, error) {
	sv, l, err := s.admit(now, name, h)
	if err != nil {
		return 0, err
	}
	if sv.inFlight == nil {
		sv.inFlight = make(map[keys.Hash]int)
	}
	sv.inFlight[h]++
	sv.inFlightTotal++
	l.meter.count(h)
	return l.fence, nil
}

// Check returns the fence with which a request may be sent now. A request that
// was queued after Begin must be checked again right before it is sent.
func (s *State) Check(now clock.Time, name keys.Server, h keys.Hash) (keys.Fence, error) {
	_, l, err := s.admit(now, name, h)
	if err != nil {
		return 0, err
	}
	return l.fence, nil
}

// admit returns the lease under which a request may be sent now.
func (s *State) admit(now clock.Time, name keys.Server, h keys.Hash) (*server, *lease, error) {
	sv, _, ok := s.findServer(name)
	if !ok {
		return nil, nil, ErrNoLease
	}
	if sv.state == grant.Missed {
		return nil, nil, ErrUnreachable
	}
	if sv.state == grant.Draining && now.Sub(sv.drainingSince) >= drainLimit {
		return nil, nil, ErrDraining
	}
	l, err := sv.findLease(now, h)
	if err != nil {
		return nil, nil, err
	}
	if sv.checksFence && (l.firstPush == 0 || sv.ackedPush < l.firstPush) {
		return nil, nil, ErrUnacknowledged
	}
	return sv, l, nil
}

// DedupComplete reports whether this host has all deduplication records of the
// hash.
func (s *State) DedupComplete(now clock.Time, name keys.Server, h keys.Hash) bool {
	sv, _, ok := s.findServer(name)
	if !ok {
		return false
	}
	l, err := sv.findLease(now, h)
	return err == nil && l.dedupComplete
}

// End records that a request can no longer run at the server: the server
// responded, refused the request, or closed the connection because it ended.
// For a server that doesn't check fencing tokens, a timeout or a cancelled
// request is not enough.
func (s *State) End(now clock.Time, name keys.Server, h keys.Hash) {
	sv, _, ok := s.findServer(name)
	if !ok || sv.inFlight[h] == 0 {
		return
	}
	sv.inFlightTotal--
	if sv.inFlight[h]--; sv.inFlight[h] == 0 {
		delete(sv.inFlight, h)
	}
}

// findLease returns the valid lease with the highest fence that contains h.
func (sv *server) findLease(now clock.Time, h keys.Hash) (best *lease, err error) {
	err = ErrNoLease
	n, _ := slices.BinarySearchFunc(sv.leases, h, func(l *lease, h keys.Hash) int {
		if l.hashes.Lo() > h {
			return 1
		}
		return -1
	})
	for i := n - 1; i >= 0; i-- {
		l := sv.leases[i]
		switch {
		case !l.hashes.Contains(h) || now >= l.expires:
		case l.releasing:
			if best == nil {
				err = ErrReleasing
			}
		case best == nil || l.fence > best.fence:
			best, err = l, nil
		}
	}
	return best, err
}

// applyReply applies a reply of the assigner. A reply of an earlier term, or one
// older than the newest accepted reply of its term, is ignored: it may contain
// a grant that has been released since.
func (s *State) applyReply(now clock.Time, ev Reply) {
	sentAt, ok := s.sentRenewals[ev.Nonce]
	ack := grant.Ack{Term: ev.Term, Seq: ev.Seq}
	if !ok || s.acked.Covers(ack) {
		return
	}
	s.renewNow = s.renewNow || ack.Term > s.acked.Term
	for _, sv := range s.servers {
		if sv.loadsNonce != 0 && ev.Nonce >= sv.loadsNonce {
			sv.loadsDue = false
		}
		if ack.Term > s.acked.Term {
			sv.reportLoads() // a new assigner doesn't have them
		}
	}
	s.acked = ack
	expires := sentAt.Add(min(ev.LeaseTime, grant.LeaseTime) - grant.Margin)
	for _, sv := range s.servers {
		sv.listed = false
	}
	for _, g := range ev.Servers {
		sv, i, ok := s.findServer(g.Server)
		if !ok {
			sv = &server{name: g.Server, windowStart: now}
			s.servers = slices.Insert(s.servers, i, sv)
		}
		sv.listed, sv.addr, sv.checksFence = true, g.Address, g.ChecksFences
		sv.leaseEnd = max(sv.leaseEnd, expires)
		if sv.applyEntries(now, expires, ev.Term, g.Grants) {
			s.renewNow = true
		}
	}
	for _, sv := range s.servers {
		if !sv.listed && sv.applyEntries(now, expires, ev.Term, nil) {
			s.renewNow = true
		}
	}
}

// applyEntries updates the leases to the listed entries. Leases that aren't
// listed are released. An entry with a fence of an earlier term only extends a
// lease that hasn't expired: another assigner may have granted the range since.
func (sv *server) applyEntries(now, expires clock.Time, term uint32, entries []grant.Entry) (changed bool) {
	var leases []*lease
	for _, old := range sv.leases {
		remaining := []keys.Range{old.hashes}
		for _, e := range entries {
			if e.Fence != old.fence || !e.Range.Overlaps(old.hashes) {
				continue
			}
			common := intersect(old.hashes, e.Range)
			remaining = subtract(remaining, common)
			l := old.slice(common)
			if now < old.expires {
				l.expires = max(old.expires, expires)
			}
			l.dedupComplete = e.Complete
			if e.Releasing {
				changed = changed || !l.releaseRequested
				l.releasing, l.releaseRequested = true, true
				if l.transfer == transferNone {
					l.nextHost = e.Next
				}
			}
			leases = append(leases, l)
		}
		for _, r := range remaining {
			l := old.slice(r)
			changed = changed || !l.releasing
			l.releasing = true
			leases = append(leases, l)
		}
	}
	for _, e := range entries {
		if e.Releasing || e.Fence.Term() != term || now >= expires {
			continue
		}
		remaining := []keys.Range{e.Range}
		for _, old := range sv.leases {
			if old.fence == e.Fence {
				remaining = subtract(remaining, old.hashes)
			}
		}
		for _, r := range remaining {
			leases = append(leases, &lease{hashes: r, fence: e.Fence, expires: expires, dedupComplete: e.Complete, meter: meter{partial: true}})
			changed, sv.dirty = true, true
		}
	}
	leases = sv.joinLeases(sortLeases(leases), entries)
	if !sameRanges(leases, sv.leases) {
		sv.reportLoads() // the assigner stores loads by range
	}
	sv.leases = leases
	return changed
}

// joinLeases joins neighbours under one fence that the assigner lists as one
// range, if they are in the same state at the server.
func (sv *server) joinLeases(leases []*lease, entries []grant.Entry) (out []*lease) {
	for _, l := range leases {
		if len(out) > 0 && !l.releasing {
			last := out[len(out)-1]
			whole := keys.NewRange(last.hashes.Lo(), l.hashes.Hi())
			pushed := last.firstPush == l.firstPush || max(last.firstPush, l.firstPush) <= sv.ackedPush
			listed := slices.ContainsFunc(entries, func(e grant.Entry) bool {
				return e.Fence == l.fence && intersect(e.Range, whole) == whole
			})
			if last.fence == l.fence && !last.releasing && last.hashes.Hi()+1 == l.hashes.Lo() && pushed && listed &&
				last.expires == l.expires && last.lastPush == l.lastPush && last.serverExpiry == l.serverExpiry {
				last.hashes = whole
				last.meter.add(l.meter)
				continue
			}
		}
		out = append(out, l)
	}
	return out
}

// slice returns a copy of the lease for a part of its range.
func (l *lease) slice(hashes keys.Range) *lease {
	sliced := *l
	sliced.hashes = hashes
	if hashes != l.hashes {
		sliced.meter = l.meter.slice(l.hashes, hashes)
	}
	return &sliced
}

// sortLeases sorts leases in place by range, then fence, and returns them.
func sortLeases(leases []*lease) []*lease {
	slices.SortFunc(leases, func(a, b *lease) int {
		return cmp.Or(cmp.Compare(a.hashes.Lo(), b.hashes.Lo()), cmp.Compare(a.fence, b.fence))
	})
	return leases
}

func intersect(a, b keys.Range) keys.Range {
	return keys.NewRange(max(a.Lo(), b.Lo()), min(a.Hi(), b.Hi()))
}

// subtract returns the parts of the ranges outside removed.
func subtract(ranges []keys.Range, removed keys.Range) (rest []keys.Range) {
	for _, r := range ranges {
		if !r.Overlaps(removed) {
			rest = append(rest, r)
			continue
		}
		if r.Lo() < removed.Lo() {
			rest = append(rest, keys.NewRange(r.Lo(), removed.Lo()-1))
		}
		if removed.Hi() < r.Hi() {
			rest = append(rest, keys.NewRange(removed.Hi()+1, r.Hi()))
		}
	}
	return rest
}
