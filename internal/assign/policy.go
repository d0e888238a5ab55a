package assign

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

//go:generate go tool stringer -type Policy

// Policy selects what balancing avoids first.
type Policy int

// Policies.
const (
	// LeastUnavailable moves the fewest keys for the load, and keeps
	// imbalance low.
	LeastUnavailable Policy = iota
	// LeastChurn moves the least load and tolerates more imbalance.
	LeastChurn
)

const (
	// rampTime and rampStart let a cold server take its share slowly.
	rampTime  = 10 * clock.Second
	rampStart = 0.25
	// idleLoad is the load, in requests/s, that a cell has for its width
	// alone, so that ranges without requests are spread too; widthShare is
	// its share of the load of a busy cell.
	idleLoad   = 1.0
	widthShare = 0.05
	// underLoad is the ratio to the mean below which a server pulls ranges.
	underLoad = 0.6
	// singleShare is the part of a server's share from which a single hash is
	// moved alone.
	singleShare = 0.05
)

// limits of a policy. Balancing starts when the ratio of a server's load to
// the mean exceeds enter and continues until it is below exit.
type limits struct {
	enter, exit float64
	moves       int // per decision
	period      clock.Span
}

// Imbalance stays below enter as long as no single hash has more load than a
// server's share. Harakeke weighs unavailable time and imbalance: tighter
// bounds, cheap moves. Darling Downs weighs churn: wider bounds, fewer moves.
var policies = map[Policy]limits{
	LeastUnavailable: {enter: 1.25, exit: 1.10, moves: 4, period: clock.Second},
	LeastChurn:       {enter: 1.40, exit: 1.25, moves: 2, period: 2 * clock.Second},
}

// balancer has the state of the periodic decisions.
type balancer struct {
	next, dispatch, drain clock.Time
	drained               int
	active                bool // above exit since the ratio exceeded enter
}

// loads sums the load of each server's rows, by the server that shall own
// them. Its order is that of the servers, so decisions are repeatable.
type loads struct {
	names    []keys.Server // usable servers
	capacity map[keys.Server]float64
	load     map[keys.Server]float64
	rows     map[keys.Server]int
	total    float64
	capTotal float64
	perWidth float64
}

func (s *State) sum(now clock.Time) *loads {
	ld := &loads{capacity: make(map[keys.Server]float64), load: make(map[keys.Server]float64), rows: make(map[keys.Server]int)}
	for _, sv := range s.servers {
		if !s.usable(now, sv) {
			continue
		}
		c := sv.weight
		if age := now.Sub(sv.readyAt); age < rampTime {
			c *= rampStart + (1-rampStart)*float64(age)/float64(rampTime)
		}
		ld.names = append(ld.names, sv.name)
		ld.capacity[sv.name] = c
		ld.capTotal += c
	}
	n := 0
	for _, w := range s.rows {
		if w.measured {
			ld.total += w.rate
			n++
		}
	}
	for _, w := range s.rows {
		if !w.measured && n > 0 {
			w.rate = ld.total / float64(n) // until it is reported
		}
	}
	ld.total = 0
	for _, w := range s.rows {
		ld.total += w.rate
	}
	ld.perWidth = max(idleLoad, ld.total*widthShare) / s.cfg.Interval.Width()
	ld.total = 0
	for _, w := range s.rows {
		e := ld.of(w)
		ld.total += e
		ld.load[w.server] += e
		ld.rows[w.server]++
	}
	return ld
}

// of returns the load of a row.
func (ld *loads) of(w *row) float64 { return w.rate + ld.perWidth*w.r.Width() }

// mean returns the mean load of the usable servers.
func (ld *loads) mean() float64 { return ld.total / float64(max(len(ld.names), 1)) }

// share returns the load that the server should have.
func (ld *loads) share(name keys.Server) float64 { return ld.total * ld.capacity[name] / ld.capTotal }

func (ld *loads) ratio(name keys.Server) float64 { return ld.load[name] / ld.share(name) }

// least returns the server that has the lowest ratio with w, and gives w to it.
func (ld *loads) least(w *row) (best keys.Server) {
	var lowest float64
	e := ld.of(w)
	for _, limit := range []int{maxPerServer, maxRows} {
		for _, name := range ld.names {
			r := (ld.load[name] + e) / ld.share(name)
			if ld.rows[name] < limit && (best == "" || r < lowest) {
				best, lowest = name, r
			}
		}
		if best != "" {
			break // a full server gets more only if all are full
		}
	}
	if best != "" {
		ld.move(w, e, best)
	}
	return best
}

func (ld *loads) move(w *row, e float64, to keys.Server) {
	ld.load[w.server] -= e
	ld.rows[w.server]--
	ld.load[to] += e
	ld.rows[to]++
}

// balance takes the periodic decisions: splits, merges, then moves.
func (s *State) balance(now clock.Time) {
	if now < s.balancer.next || now < s.elected.Add(lease) {
		return
	}
	p := policies[s.cfg.Policy]
	s.balancer.next = now.Add(p.period)
	ld := s.sum(now)
	if len(ld.names) < 2 {
		return
	}
	s.splitHot(ld, p.moves)
	s.mergeCold(now, ld)
	for range p.moves {
		over, under := ld.names[0], ld.names[0]
		for _, name := range ld.names {
			if ld.ratio(name) > ld.ratio(over) {
				over = name
			}
			if ld.ratio(name) < ld.ratio(under) {
				under = name
			}
		}
		high := ld.ratio(over)
		pull := ld.ratio(under) < underLoad
		s.balancer.active = high > p.enter || s.balancer.active && high > p.exit
		if !s.balancer.active && !pull || ld.rows[under] >= maxPerServer {
			return
		}
		limit := min(ld.load[over]-ld.share(over), ld.share(under)-ld.load[under])
		w := s.isolate(ld, over, limit)
		if w == nil {
			w = s.candidate(ld, over, limit)
		}
		if w == nil {
			if w = s.largest(ld, over, limit); w != nil {
				s.split(ld, w)
			}
			return // the parts are moved once their load is known
		}
		ld.move(w, ld.of(w), under)
		w.server, s.dirty = under, true
	}
}

// isolate cuts the most requested hash that fits into limit out of its row, so
// that one key moves instead of a range: LeastUnavailable counts keys. Hashes
// below singleShare of a server's share aren't worth two more rows.
func (s *State) isolate(ld *loads, from keys.Server, limit float64) (best *row) {
	if s.cfg.Policy != LeastUnavailable || len(s.rows)+2 > maxRows || ld.rows[from]+2 > mergeAbove {
		return nil
	}
	least := max(limit/8, singleShare*ld.share(from))
	for _, w := range s.rows {
		if w.server != from || w.g == nil || w.g.server != from || w.g.releasing || s.claimant(w) != "" || !w.r.Contains(w.hot) {
			continue
		}
		if w.hotRate >= least && w.hotRate <= limit && (best == nil || w.hotRate > best.hotRate) {
			best = w
		}
	}
	if best == nil || best.r.Lo() == best.r.Hi() {
		return best
	}
	h, n := best.hot, len(s.rows)
	s.cut(keys.NewRange(h, h))
	ld.rows[from] += len(s.rows) - n
	return s.overlapping(keys.NewRange(h, h))[0]
}

// candidate returns the row to move from a server that has limit too much.
// LeastUnavailable prefers the fewest keys for the load, LeastChurn the
// fewest moves.
func (s *State) candidate(ld *loads, from keys.Server, limit float64) (best *row) {
	var score float64
	for _, w := range s.rows {
		e := ld.of(w)
		if w.server != from || w.g == nil || w.g.server != from || w.g.releasing || e > limit || e < limit/8 || s.claimant(w) != "" {
			continue
		}
		v := e
		if s.cfg.Policy == LeastUnavailable {
			v = e / w.r.Width()
		}
		if best == nil || v > score {
			best, score = w, v
		}
	}
	return best
}

// largest returns the row of the server with the most load, if a part of it
// would fit where the whole doesn't.
func (s *State) largest(ld *loads, from keys.Server, limit float64) (best *row) {
	for _, w := range s.rows {
		if w.server == from && ld.of(w) > limit && w.r.Lo() < w.r.Hi() && (best == nil || ld.of(w) > ld.of(best)) {
			best = w
		}
	}
	return best
}

// Bound returns the imbalance that a policy tolerates.
func Bound(p Policy) float64 { return policies[p].enter }
