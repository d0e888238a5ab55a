package assign

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

//go:generate go tool stringer -type Policy

// Policy selects the cost that balancing keeps lowest.
type Policy int

// Policies.
const (
	// LeastUnavailable moves the fewest keys for the load and keeps imbalance
	// low. Keys are unavailable while they move.
	LeastUnavailable Policy = iota
	// LeastChurn moves the least load and tolerates more imbalance.
	LeastChurn
)

const (
	// A server that has just become ready gets warmupStart of its share, which
	// grows to the whole during warmupTime.
	warmupTime  = 10 * clock.Second
	warmupStart = 0.25
	// baseLoad is the load, in requests/s, that is spread evenly over a cell's
	// hashes, so that ranges without requests are balanced too. In a busy cell
	// it is baseLoadShare of the measured load.
	baseLoad      = 1.0
	baseLoadShare = 0.05
	// underloadRatio is the ratio of a server's load to its target below which
	// it gets ranges even if no server is overloaded.
	underloadRatio = 0.6
	// minHashShare is the smallest part of a server's target load for which a
	// single hash is moved alone.
	minHashShare = 0.05
)

// limits are the limits of a policy. Balancing starts when the ratio of a
// server's load to its target exceeds enter and continues until it is below
// exit.
type limits struct {
	enter, exit float64
	moves       int // per decision
	period      clock.Span
}

// policies has the limits of each policy. Imbalance stays below enter as long
// as no single hash has more load than a server's target. LeastUnavailable has
// tighter bounds and moves few keys at a time, for operators to whom unavailable
// time and imbalance matter (examples/harakeke). LeastChurn has wider bounds and
// fewer moves, for operators to whom churn matters (examples/darlingdowns).
var policies = map[Policy]limits{
	LeastUnavailable: {enter: 1.25, exit: 1.10, moves: 4, period: clock.Second},
	LeastChurn:       {enter: 1.40, exit: 1.25, moves: 2, period: 2 * clock.Second},
}

// balancer is the state of the periodic decisions.
type balancer struct {
	nextDecision, nextDispatch, nextDrain clock.Time
	drainCount                            int
	active                                bool // the highest ratio exceeded enter and hasn't fallen to exit since
}

// loads has the load of the ranges, summed by their present or next owner.
// servers is in the order of State.servers, so that decisions are
// deterministic.
type loads struct {
	servers       []keys.Server // usable servers
	capacity      map[keys.Server]float64
	load          map[keys.Server]float64
	ranges        map[keys.Server]int
	total         float64
	totalCapacity float64
	perShare      float64 // base load per unit of keys.Range.Share
}

// sumLoads returns the present loads. A range without a measured rate counts
// with the mean rate.
func (s *State) sumLoads(now clock.Time) *loads {
	ld := &loads{capacity: make(map[keys.Server]float64), load: make(map[keys.Server]float64), ranges: make(map[keys.Server]int)}
	for _, sv := range s.servers {
		if !s.usable(now, sv) {
			continue
		}
		c := sv.weight
		if age := now.Sub(sv.readyAt); age < warmupTime {
			c *= warmupStart + (1-warmupStart)*float64(age)/float64(warmupTime)
		}
		ld.servers = append(ld.servers, sv.name)
		ld.capacity[sv.name] = c
		ld.totalCapacity += c
	}
	n := 0
	for _, rg := range s.ranges {
		if rg.measured {
			ld.total += rg.rate
			n++
		}
	}
	for _, rg := range s.ranges {
		if !rg.measured && n > 0 {
			rg.rate = ld.total / float64(n) // estimate until it is reported
		}
	}
	ld.total = 0
	for _, rg := range s.ranges {
		ld.total += rg.rate
	}
	ld.perShare = max(baseLoad, ld.total*baseLoadShare) / s.cfg.Interval.Share()
	ld.total = 0
	for _, rg := range s.ranges {
		load := ld.rangeLoad(rg)
		ld.total += load
		ld.load[rg.owner] += load
		ld.ranges[rg.owner]++
	}
	return ld
}

func (ld *loads) rangeLoad(rg *rangeState) float64 { return rg.rate + ld.perShare*rg.hashes.Share() }

func (ld *loads) meanLoad() float64 { return ld.total / float64(max(len(ld.servers), 1)) }

// targetLoad returns the server's share of the total load, by capacity.
func (ld *loads) targetLoad(name keys.Server) float64 {
	return ld.total * ld.capacity[name] / ld.totalCapacity
}

func (ld *loads) loadRatio(name keys.Server) float64 { return ld.load[name] / ld.targetLoad(name) }

// placeRange adds the range to the server whose load ratio is lowest with it,
// and returns that server, or "" if there is none.
func (ld *loads) placeRange(rg *rangeState) (best keys.Server) {
	var lowest float64
	load := ld.rangeLoad(rg)
	for _, maxCount := range []int{maxRangesPerServer, maxRanges} {
		for _, name := range ld.servers {
			ratio := (ld.load[name] + load) / ld.targetLoad(name)
			if ld.ranges[name] < maxCount && (best == "" || ratio < lowest) {
				best, lowest = name, ratio
			}
		}
		if best != "" {
			break // a full server gets more only if all are full
		}
	}
	if best != "" {
		ld.moveRange(rg, load, best)
	}
	return best
}

func (ld *loads) moveRange(rg *rangeState, load float64, to keys.Server) {
	ld.load[rg.owner] -= load
	ld.ranges[rg.owner]--
	ld.load[to] += load
	ld.ranges[to]++
}

// balance makes the periodic decisions: splits, merges, then moves.
func (s *State) balance(now clock.Time) {
	if now < s.balancer.nextDecision || now < s.electedAt.Add(leaseTime) {
		return
	}
	p := policies[s.cfg.Policy]
	s.balancer.nextDecision = now.Add(p.period)
	ld := s.sumLoads(now)
	if len(ld.servers) < 2 {
		return
	}
	s.splitHot(ld, p.moves)
	s.mergeCold(now, ld)
	for range p.moves {
		over, under := ld.servers[0], ld.servers[0]
		for _, name := range ld.servers {
			if ld.loadRatio(name) > ld.loadRatio(over) {
				over = name
			}
			if ld.loadRatio(name) < ld.loadRatio(under) {
				under = name
			}
		}
		highest := ld.loadRatio(over)
		underloaded := ld.loadRatio(under) < underloadRatio
		s.balancer.active = highest > p.enter || s.balancer.active && highest > p.exit
		if !s.balancer.active && !underloaded || ld.ranges[under] >= maxRangesPerServer {
			return
		}
		limit := min(ld.load[over]-ld.targetLoad(over), ld.targetLoad(under)-ld.load[under])
		rg := s.isolateHash(ld, over, limit)
		if rg == nil {
			rg = s.moveCandidate(ld, over, limit)
		}
		if rg == nil {
			if rg = s.splitCandidate(ld, over, limit); rg != nil {
				s.splitRange(ld, rg)
			}
			return // the parts are moved once their load is known
		}
		ld.moveRange(rg, ld.rangeLoad(rg), under)
		rg.owner, s.dirty = under, true
	}
}

// isolateHash splits off the most requested hash whose load is at most limit,
// so that one key moves instead of a range: LeastUnavailable counts keys.
// Hashes below minHashShare of the server's target load aren't worth two more
// ranges.
func (s *State) isolateHash(ld *loads, from keys.Server, limit float64) (best *rangeState) {
	if s.cfg.Policy != LeastUnavailable || len(s.ranges)+2 > maxRanges || ld.ranges[from]+2 > mergeRangesPerServer {
		return nil
	}
	minRate := max(limit/8, minHashShare*ld.targetLoad(from))
	for _, rg := range s.ranges {
		if rg.owner != from || rg.lease == nil || rg.lease.server != from || rg.lease.releasing || s.claimant(rg) != "" || !rg.hashes.Contains(rg.hotHash) {
			continue
		}
		if rg.hotRate >= minRate && rg.hotRate <= limit && (best == nil || rg.hotRate > best.hotRate) {
			best = rg
		}
	}
	if best == nil || best.hashes.Lo() == best.hashes.Hi() {
		return best
	}
	h, n := best.hotHash, len(s.ranges)
	s.splitAround(keys.NewRange(h, h))
	ld.ranges[from] += len(s.ranges) - n
	return s.overlapping(keys.NewRange(h, h))[0]
}

// moveCandidate returns the range to move from a server whose load is to fall
// by limit, or nil. LeastUnavailable prefers the fewest keys for the load,
// LeastChurn the fewest moves.
func (s *State) moveCandidate(ld *loads, from keys.Server, limit float64) (best *rangeState) {
	var score float64
	for _, rg := range s.ranges {
		load := ld.rangeLoad(rg)
		if rg.owner != from || rg.lease == nil || rg.lease.server != from || rg.lease.releasing || load > limit || load < limit/8 || s.claimant(rg) != "" {
			continue
		}
		value := load
		if s.cfg.Policy == LeastUnavailable {
			value = load / rg.hashes.Share()
		}
		if best == nil || value > score {
			best, score = rg, value
		}
	}
	return best
}

// splitCandidate returns the range with the most load among those of the server
// that exceed limit and can be split, or nil.
func (s *State) splitCandidate(ld *loads, from keys.Server, limit float64) (best *rangeState) {
	for _, rg := range s.ranges {
		if rg.owner == from && ld.rangeLoad(rg) > limit && rg.hashes.Lo() < rg.hashes.Hi() && (best == nil || ld.rangeLoad(rg) > ld.rangeLoad(best)) {
			best = rg
		}
	}
	return best
}

// MaxImbalance returns the imbalance, as the ratio of a server's load to its
// target, above which the policy starts balancing.
func MaxImbalance(p Policy) float64 { return policies[p].enter }
