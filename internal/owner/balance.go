package owner

import (
	"cmp"
	"math"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// balanceInterval is the time between balancing decisions.
	balanceInterval = 250 * clock.Millisecond
	// fastHalfLife and slowHalfLife are the half-lives of the two load estimates.
	// Hot keys change within seconds; a small persistent imbalance shows only in
	// a longer mean.
	fastHalfLife = clock.Second
	slowHalfLife = 10 * clock.Second
	// overloadRatio is the ratio of a server's load to its share above which
	// ranges are moved away; targetRatio is the ratio that a move aims at.
	overloadRatio = 1.3
	targetRatio   = 1.05
	// minUtilization is the fraction of a server's slots that must be in use
	// before ranges are moved away: below it requests hardly queue.
	minUtilization = 0.35
	// minDeviations is the number of standard deviations by which a load must
	// exceed its share, as loads are estimated from few requests.
	minDeviations = 1.5
	// minWantedShare and maxWantedShare bound the load of a complete range that is moved,
	// as a share of the load that should move. Requests wait during a move, and far more
	// than the wanted load would overload the destination.
	minWantedShare, maxWantedShare = 0.1, 1.5
	// baseLoad is a load, in busy slots, that is spread evenly over all keys of a
	// service and added to the observed one, so that keys without load are spread
	// too.
	baseLoad = 1.0
	// minMoves is the number of ranges of a service that may move at a time, maxMoves
	// the same for a large service, with one for each serversPerMove servers. Requests
	// for these ranges wait until the move is done, and each change is sent to all hosts.
	minMoves       = 4
	maxMoves       = 8
	serversPerMove = 16
	// maxJoinMoves bounds the ranges that move at a time to servers without any, half as
	// many as there are of these. When a data centre comes back, the load of the others is
	// several times their share.
	maxJoinMoves = 16
	// maxUnsplit is how many overloaded servers without a range that can move are passed
	// over in a round. The search for a range takes time in proportion to the keys.
	maxUnsplit = 4
	// maxRangesPerServer limits the ranges of a server, as each is renewed with
	// a call of its own.
	maxRangesPerServer = 12
	// minServiceTimeRatio and maxServiceTimeRatio bound the estimated service
	// time ratios.
	minServiceTimeRatio, maxServiceTimeRatio = 0.4, 2.5
	// maxSlowPenalty is the exponent of a server's service time ratio by which
	// its share is reduced below lowUtilization. The exponent falls to 0 at
	// highUtilization.
	maxSlowPenalty                  = 2.0
	lowUtilization, highUtilization = 0.35, 0.7
	// moveCooldown is how long a moved range isn't moved again for its load.
	moveCooldown = 5 * clock.Second
	// minSpeedup is the ratio of capacities above which a hot key moves to a
	// faster server.
	minSpeedup = 1.25
	// requestLoadWeight is the weight of one observation in the mean load of a
	// request.
	requestLoadWeight = 0.02
	// serviceTimePrior is the weight, in observations, of the assumption that all
	// servers are equally fast; serviceTimeMaxWeight is the largest number of
	// observations that a server's service time ratio is averaged over.
	serviceTimePrior     = 4
	serviceTimeMaxWeight = 40
)

// serviceTimeRatio returns the service time of a server relative to the mean of
// its service.
func (a *Assigner) serviceTimeRatio(id keys.Server) float64 {
	if r := a.serviceTimeRatios[id]; r != nil {
		return min(max(r.ratio, minServiceTimeRatio), maxServiceTimeRatio)
	}
	return 1
}

// effectiveSlots returns the number of requests of mean service time that a
// server can run at a time.
func (a *Assigner) effectiveSlots(id keys.Server) float64 {
	return float64(max(a.servers[id].Slots, 1)) / a.serviceTimeRatio(id)
}

// capacity returns a server's share of the load. At low utilization slow servers
// get less than their slots allow, as their requests take longer even if none is
// queued.
func (a *Assigner) capacity(id keys.Server) float64 {
	return a.effectiveSlots(id) / math.Pow(a.serviceTimeRatio(id), a.slowPenalty)
}

// slowPenaltyAt returns the exponent by which slow servers get less load: 0 at
// high utilization, maxSlowPenalty at low.
func (a *Assigner) slowPenaltyAt(s keys.Service, total float64) float64 {
	sum := 0.0
	for _, id := range a.usableServers(s) {
		sum += a.effectiveSlots(id)
	}
	if sum == 0 {
		return 0
	}
	return maxSlowPenalty * min(max((highUtilization-total/sum)/(highUtilization-lowUtilization), 0), 1)
}

// usableServers returns the usable servers of a service in the order of their
// IDs.
func (a *Assigner) usableServers(s keys.Service) (ids []keys.Server) {
	for id := range a.servers {
		if a.usable(s, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// serverLoads returns the load of each server: its observed load plus a small
// amount for the width of its ranges, so that keys without load are spread too.
func (a *Assigner) serverLoads(s keys.Service) (loads map[keys.Server]float64, total float64) {
	loads = make(map[keys.Server]float64)
	ranges := a.tables[s]
	base := baseLoad / float64(int(MaxKey)+1)
	for _, rs := range ranges {
		if id := rs.futureServer(); id != "" {
			loads[id] += base * rs.width()
		}
		total += base * rs.width()
	}
	if l := a.loads[s]; l != nil {
		for k, v := range l.keys {
			total += v
			if id := a.rangeOf(s, k).futureServer(); id != "" {
				loads[id] += v
			}
		}
	}
	return loads, total
}

func (rs *rangeState) width() float64 { return float64(int(rs.To) - int(rs.From) + 1) }

// futureServer returns the server that has the range or, if it is being
// released, the one that gets it next.
func (rs *rangeState) futureServer() keys.Server {
	if rs.releasing {
		return rs.dest
	}
	return rs.Server
}

func (a *Assigner) rangeOf(s keys.Service, k Key) *rangeState {
	ranges := a.tables[s]
	i, _ := slices.BinarySearchFunc(ranges, k, func(rs *rangeState, k Key) int {
		switch {
		case rs.To < k:
			return -1
		case rs.From > k:
			return 1
		}
		return 0
	})
	return ranges[i]
}

// divideEvenly divides a table without owners into one range per server.
func (a *Assigner) divideEvenly(s keys.Service) {
	ids := a.newOwners(s)
	if len(ids) == 0 {
		return
	}
	n := int(MaxKey) + 1
	var ranges []*rangeState
	for i, id := range ids {
		from, to := i*n/len(ids), (i+1)*n/len(ids)-1
		ranges = append(ranges, &rangeState{Assignment: Assignment{From: Key(from), To: Key(to)}, dest: id})
	}
	a.tables[s] = ranges
}

// leastLoaded returns the server with the lowest load for its capacity, as the
// next owner of a range.
func (a *Assigner) leastLoaded(s keys.Service, rs *rangeState) (best keys.Server) {
	loads, _ := a.serverLoads(s)
	least := math.Inf(1)
	for _, id := range a.newOwners(s) {
		// A new incarnation of the same server holds no leases and may get it, and so
		// may one that has released the range, such as after an evacuation.
		if id == rs.Server && rs.releasing && !rs.released && a.servers[id].Born == rs.Born {
			continue
		}
		if x := loads[id] / a.capacity(id); x < least {
			best, least = id, x
		}
	}
	if best != "" {
		rs.dest = best // the range counts as load of best from now on
	}
	return best
}

// rebalance starts to move ranges from the most loaded servers to the least
// loaded, by the fast and by the slow estimate of the load.
func (a *Assigner) rebalance(now clock.Time, s keys.Service) {
	ids := a.balanced(s)
	if len(ids) < 2 || a.storeOutage || now < a.firstListAt.Add(firstAssignDelay) {
		return
	}
	for _, estimates := range []map[keys.Service]*loadEstimate{a.slowLoads, a.fastLoads} {
		if l := estimates[s]; l != nil {
			l.decay(now)
		}
	}
	// The slow estimate is used only while the load is balanced by the fast one:
	// it still contains load of keys that are no longer hot.
	defer func() { a.loads = a.fastLoads }()
	if a.startMoves(s, ids) == 0 {
		a.loads = a.slowLoads
		a.startMoves(s, ids)
	}
}

// startMoves starts moves by the current estimate. It returns the number of
// ranges that are moving.
func (a *Assigner) startMoves(s keys.Service, ids []keys.Server) (moving int) {
	for _, rs := range a.tables[s] {
		if rs.Server == "" || rs.releasing || !rs.acked {
			moving++
		}
	}
	loads, total := a.serverLoads(s)
	a.slowPenalty = a.slowPenaltyAt(s, total)
	capacity := 0.0
	for _, id := range ids {
		capacity += a.capacity(id)
	}
	mean := total / capacity
	dests := a.destinations(ids)
	if len(dests) == 0 {
		return moving
	}
	ratio := func(id keys.Server) float64 { return loads[id] / a.capacity(id) / mean }
	sources := slices.Clone(ids) // servers that ranges may move away from
	for limit := a.moveLimit(s, ids); moving < limit; {
		hot := slices.MaxFunc(sources, func(x, y keys.Server) int { return cmp.Compare(ratio(x), ratio(y)) })
		idle := slices.MinFunc(dests, func(x, y keys.Server) int { return cmp.Compare(ratio(x), ratio(y)) })
		empty := !a.hasRanges(s, idle)
		if ratio(idle) > 1 || !empty && !a.overloaded(s, hot, loads[hot], mean) {
			return moving
		}
		want := min(max(ratio(hot)-targetRatio, 0.25)*a.capacity(hot), (targetRatio-ratio(idle))*a.capacity(idle)) * mean
		rs, part := a.splitLoad(s, hot, want)
		if rs == nil {
			rs, part, idle = a.isolateHotKey(s, hot, idle)
		}
		if rs == nil && empty {
			rs, part = a.splitHalf(s, hot)
		}
		if rs == nil && empty {
			hot = a.widestOwner(s, hot)
			rs, part = a.splitHalf(s, hot)
		}
		if rs == nil {
			// The server has a single hot key, or ranges that have just moved. The
			// others balance their load among themselves.
			sources = slices.DeleteFunc(sources, func(id keys.Server) bool { return id == hot })
			if len(ids)-len(sources) > maxUnsplit || len(sources) == 0 {
				return moving
			}
			total -= loads[hot]
			capacity -= a.capacity(hot)
			mean = total / capacity
			continue
		}
		rs.dest = idle
		rs.startRelease()
		loads[hot] -= part
		loads[idle] += part
		moving++
	}
	return moving
}

// moveLimit returns the number of ranges of a service that may move at a time among
// servers.
func (a *Assigner) moveLimit(s keys.Service, ids []keys.Server) int {
	owners := make(map[keys.Server]bool, len(ids))
	for _, rs := range a.tables[s] {
		owners[rs.futureServer()] = true
	}
	empty := 0
	for _, id := range ids {
		if !owners[id] {
			empty++
		}
	}
	return max(minMoves, min(len(ids)/serversPerMove, maxMoves), min(empty/2, maxJoinMoves))
}

// hasRanges reports whether any range is assigned to a server or moving to it.
func (a *Assigner) hasRanges(s keys.Service, id keys.Server) bool {
	return slices.ContainsFunc(a.tables[s], func(rs *rangeState) bool { return rs.Server == id || rs.releasing && rs.dest == id })
}

// overloaded reports whether a server's load x exceeds its share by more than
// the random variation of the estimate.
func (a *Assigner) overloaded(s keys.Service, id keys.Server, x, mean float64) bool {
	share := a.capacity(id) * mean
	if x < overloadRatio*share || x < minUtilization*a.capacity(id) {
		return false
	}
	requestLoad := 0.0
	if l := a.loads[s]; l != nil {
		requestLoad = l.requestLoad
	}
	return x-share > minDeviations*math.Sqrt(x*requestLoad)
}

// splitLoad splits off the narrowest subrange of a server's keys that has about
// the wanted load. If there is none, or if the server already has maxRangesPerServer
// movable ranges, it returns a complete range (see heaviestRange).
func (a *Assigner) splitLoad(s keys.Service, id keys.Server, want float64) (best *rangeState, part float64) {
	l := a.loads[s]
	if l == nil || want <= 0 {
		return nil, 0
	}
	n := 0
	var from, to Key
	width := math.Inf(1)
	for _, rs := range a.tables[s] {
		if rs.Server != id || !a.movable(rs) {
			continue
		}
		n++
		f, t, sum := l.subrange(rs, want)
		if sum >= want/3 && float64(t-f) < width {
			best, from, to, part, width = rs, f, t, sum, float64(t-f)
		}
	}
	if best == nil || n >= maxRangesPerServer {
		return a.heaviestRange(s, id, want)
	}
	return a.split(s, best, from, to), part
}

// heaviestRange returns the movable range of a server with the most load, if that is
// from minWantedShare to maxWantedShare of the wanted load. A server with many
// ranges may have no single one with about the wanted load, and would stay overloaded.
func (a *Assigner) heaviestRange(s keys.Service, id keys.Server, want float64) (best *rangeState, load float64) {
	loads := make(map[*rangeState]float64)
	for k, x := range a.loads[s].keys {
		if rs := a.rangeOf(s, k); rs.Server == id {
			loads[rs] += x
		}
	}
	for _, rs := range a.tables[s] {
		if x := loads[rs]; a.movable(rs) && x > load && x <= maxWantedShare*want {
			best, load = rs, x
		}
	}
	if load < minWantedShare*want {
		return nil, 0
	}
	return best, load
}

// isolateHotKey separates a key that alone overloads its server from the other
// keys. The key moves to a faster server if there is one; else the other
// keys of its server move away, so that their requests don't queue behind it. It
// returns the range to move, its load and the destination.
func (a *Assigner) isolateHotKey(s keys.Service, hot, idle keys.Server) (rs *rangeState, load float64, dest keys.Server) {
	l := a.loads[s]
	if l == nil {
		return nil, 0, idle
	}
	var heavy *rangeState
	var key Key
	for k, v := range l.keys {
		if r := a.rangeOf(s, k); r.Server == hot && a.movable(r) && v > load {
			heavy, key, load = r, k, v
		}
	}
	if heavy == nil || load < minUtilization*a.capacity(hot) {
		return nil, 0, idle
	}
	fast := hot
	for _, id := range a.newOwners(s) {
		if a.capacity(id) > a.capacity(fast)*minSpeedup {
			fast = id
		}
	}
	if fast != hot && a.maxKeyLoad(s, fast) < load/2 {
		return a.split(s, heavy, key, key), load, fast
	}
	var best *rangeState
	for _, r := range a.tables[s] {
		if r.Server == hot && r != heavy && a.movable(r) && (best == nil || r.width() > best.width()) {
			best = r
		}
	}
	switch {
	case best != nil:
	case key > heavy.From && key-heavy.From >= heavy.To-key:
		best = a.split(s, heavy, heavy.From, key-1)
	case key < heavy.To:
		best = a.split(s, heavy, key+1, heavy.To)
	default:
		return nil, 0, idle
	}
	return best, a.rangeLoad(s, best), idle
}

// maxKeyLoad returns the load of a server's most loaded key.
func (a *Assigner) maxKeyLoad(s keys.Service, id keys.Server) (x float64) {
	for k, v := range a.loads[s].keys {
		if a.rangeOf(s, k).futureServer() == id {
			x = max(x, v)
		}
	}
	return x
}

// rangeLoad returns the observed load of a range's keys.
func (a *Assigner) rangeLoad(s keys.Service, rs *rangeState) (x float64) {
	for k, v := range a.loads[s].keys {
		if k >= rs.From && k <= rs.To {
			x += v
		}
	}
	return x
}

// movable reports whether a range can be moved for its load. One that has just
// moved isn't moved again for moveCooldown, as its requests wait during a move.
func (a *Assigner) movable(rs *rangeState) bool {
	return !rs.releasing && rs.acked && !rs.inFlight && (rs.movedAt == 0 || a.now.Sub(rs.movedAt) > moveCooldown)
}

// splitHalf splits off the upper half of a server's widest range. A server that
// has just joined gets it if there is too little load to choose a range by.
func (a *Assigner) splitHalf(s keys.Service, id keys.Server) (part *rangeState, load float64) {
	var best *rangeState
	for _, rs := range a.tables[s] {
		if rs.Server == id && a.movable(rs) && (best == nil || rs.width() > best.width()) {
			best = rs
		}
	}
	if best == nil || best.From == best.To {
		return nil, 0
	}
	mid := best.From + (best.To-best.From)/2 + 1
	return a.split(s, best, mid, best.To), baseLoad * float64(best.To-mid) / float64(MaxKey)
}

// widestOwner returns the server with the widest range that can be divided. A server
// without ranges gets a part of it if the most loaded server has none to give, such as
// one with a single hot key. It returns id if there is no such server.
func (a *Assigner) widestOwner(s keys.Service, id keys.Server) keys.Server {
	widest := 1.0
	for _, rs := range a.tables[s] {
		if rs.Server != "" && a.movable(rs) && rs.width() > widest {
			id, widest = rs.Server, rs.width()
		}
	}
	return id
}

// subrange returns the narrowest sequence of loaded keys of a range with about
// the wanted load: 0.6 to 1.5 times as much. sum is 0 if there is none.
func (l *loadEstimate) subrange(rs *rangeState, want float64) (from, to Key, sum float64) {
	var ks []Key
	for k := range l.keys {
		if k >= rs.From && k <= rs.To {
			ks = append(ks, k)
		}
	}
	slices.Sort(ks)
	best := math.Inf(1)
	lo, acc := 0, 0.0
	for _, k := range ks {
		acc += l.keys[k]
		for acc-l.keys[ks[lo]] >= want {
			acc -= l.keys[ks[lo]]
			lo++
		}
		// Moving far more than the wanted load would only overload the
		// destination instead.
		if acc < want*0.6 || acc > want*maxWantedShare {
			continue
		}
		if d := float64(k - ks[lo]); d < best {
			best, from, to, sum = d, ks[lo], k, acc
		}
	}
	return from, to, sum
}

// split splits a range so that from..to becomes a range of its own, which it
// returns.
func (a *Assigner) split(s keys.Service, rs *rangeState, from, to Key) *rangeState {
	ranges := a.tables[s]
	i := slices.Index(ranges, rs)
	parts := make([]*rangeState, 0, 3)
	if from > rs.From {
		left := *rs
		left.To = from - 1
		parts = append(parts, &left)
	}
	mid := *rs
	mid.From, mid.To = from, to
	parts = append(parts, &mid)
	if to < rs.To {
		right := *rs
		right.From = to + 1
		parts = append(parts, &right)
	}
	a.tables[s] = slices.Replace(ranges, i, i+1, parts...)
	return &mid
}

// merge merges adjacent ranges with the same owner and fence.
func (a *Assigner) merge(s keys.Service) {
	ranges := a.tables[s]
	out := ranges[:0]
	for _, rs := range ranges {
		if n := len(out); n > 0 && out[n-1].canMerge(rs) {
			p := out[n-1]
			p.To = rs.To
			p.leaseEnd, p.lateLeaseEnd = max(p.leaseEnd, rs.leaseEnd), max(p.lateLeaseEnd, rs.lateLeaseEnd)
			p.nextCall = min(p.nextCall, rs.nextCall)
			continue
		}
		out = append(out, rs)
	}
	clear(ranges[len(out):])
	a.tables[s] = out
}

func (rs *rangeState) canMerge(o *rangeState) bool {
	return rs.Server != "" && rs.Server == o.Server && rs.Born == o.Born && rs.Fence == o.Fence &&
		rs.acked && o.acked && !rs.inFlight && !o.inFlight && !rs.releasing && !o.releasing &&
		rs.unansweredSince == 0 && o.unansweredSince == 0 && rs.recordVersion == o.recordVersion
}
