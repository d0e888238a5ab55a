package assign_test

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// The trace is a small model of a wedding season: 2,000 keys with Zipf rates
// whose ten hottest change every 15 s, and 10 servers, of which one joins at
// 40 s and one is lost at 80 s.
const (
	traceKeys      = 2000
	traceEnd       = 120 * clock.Second
	traceStep      = 20 * clock.Millisecond
	traceJoin      = 40 * clock.Second
	traceLoss      = 80 * clock.Second
	traceHotPeriod = 15 * clock.Second
	traceWarmup    = 2 * clock.Second // not counted in the results
	lossDetection  = grant.LeaseTime  // time until a lost server's keys may move
	plannedMoveGap = 40 * clock.Millisecond
)

type traceKey struct {
	hash keys.Hash
	rate float64
}

// placement returns the present owner of each key of the load, or false if it
// has none.
type placement interface {
	advance(now clock.Time, load []traceKey)
	owner(i int) (keys.Server, bool)
}

func traceServers() (all []keys.Server) {
	for i := range 11 {
		all = append(all, keys.Server(fmt.Sprintf("s%02d", i)))
	}
	return all
}

// isRunning reports whether the server runs at now: the last one joins during
// the trace, the first one is lost.
func isRunning(name keys.Server, now clock.Time) bool {
	switch name {
	case "s10":
		return now >= clock.Time(traceJoin)
	case "s00":
		return now < clock.Time(traceLoss)
	}
	return true
}

func runTrace(b *testing.B, pl placement) {
	rnd := rand.New(rand.NewPCG(3, 9))
	load := make([]traceKey, traceKeys)
	for i := range load {
		load[i] = traceKey{keys.Hash(rnd.Uint64()), 4000 / math.Pow(float64(i+10), 0.9) * 0.05}
	}
	slices.SortFunc(load, func(a, b traceKey) int { return cmp.Compare(a.hash, b.hash) })
	baseRates := make([]float64, traceKeys)
	for i := range load {
		baseRates[i] = load[i].rate
	}
	lastOwner := make([]keys.Server, traceKeys)
	gap := make([]clock.Span, traceKeys)
	var moved, total, keySeconds, planned, sum, peak float64
	var longest clock.Span
	samples := 0
	for now := clock.Time(0); now < clock.Time(traceEnd); now = now.Add(traceStep) {
		if now%clock.Time(traceHotPeriod) == 0 {
			for i := range load {
				load[i].rate = baseRates[i]
			}
			for range 10 {
				load[rnd.IntN(traceKeys)].rate = 40
			}
		}
		pl.advance(now, load)
		perServer := make(map[keys.Server]float64)
		total = 0
		for i := range load {
			total += load[i].rate
			name, ok := pl.owner(i)
			if ok = ok && isRunning(name, now); now < clock.Time(traceWarmup) {
				lastOwner[i] = name
				continue
			}
			if !ok {
				gap[i] += traceStep
				keySeconds += float64(traceStep) / 1000
				if now < clock.Time(traceLoss) || now > clock.Time(traceLoss+clock.Second) {
					planned += float64(traceStep) / 1000
				}
				longest = max(longest, gap[i])
				continue
			}
			gap[i] = 0
			if lastOwner[i] != name && lastOwner[i] != "" {
				moved += load[i].rate
			}
			lastOwner[i] = name
			perServer[name] += load[i].rate
		}
		if now >= clock.Time(traceWarmup) && now%1000 == 0 {
			highest := 0.0
			for _, v := range perServer {
				highest = max(highest, v)
			}
			mean := total / 10
			if now >= clock.Time(traceJoin) && now < clock.Time(traceLoss) {
				mean = total / 11
			}
			sum, peak = sum+highest/mean, max(peak, highest/mean)
			samples++
		}
	}
	// Churn is relative to the least possible: a join and a loss each move one
	// share of eleven.
	b.ReportMetric(sum/float64(samples), "imbalance-mean")
	b.ReportMetric(peak, "imbalance-peak")
	b.ReportMetric(moved/(total*2/11), "churn")
	b.ReportMetric(keySeconds, "unavailable-key-s")
	// The gaps outside the second after the loss don't depend on how many keys
	// the lost server happens to have.
	b.ReportMetric(planned, "planned-key-s")
	b.ReportMetric(float64(longest), "longest-gap-ms")
}

// assignerPlacement is the placement by an assigner with one dispatcher that
// takes 20 ms for a release.
type assignerPlacement struct {
	state     *assign.State
	lastGrant assign.Reply
	nonce     uint64
	owners    []keys.Server
	windowEnd clock.Time
	loads     map[keys.Range]grant.Load
}

func newAssignerPlacement(policy assign.Policy) *assignerPlacement {
	p := &assignerPlacement{state: assign.New(assign.Config{Interval: keys.FullRange(), Policy: policy}), owners: make([]keys.Server, traceKeys)}
	for _, name := range traceServers() {
		if isRunning(name, 0) {
			p.state.Step(0, assign.ServerListed{Server: name, Weight: 1, ChecksFences: true, State: assign.Ready})
		}
	}
	p.state.Step(0, assign.Elected{Term: 1})
	return p
}

func (p *assignerPlacement) advance(now clock.Time, load []traceKey) {
	if now == clock.Time(traceJoin) {
		p.state.Step(now, assign.ServerListed{Server: "s10", Weight: 1, ChecksFences: true, State: assign.Ready})
	}
	if now >= p.windowEnd {
		p.windowEnd, p.loads = now.Add(clock.Second), make(map[keys.Range]grant.Load)
	}
	p.nonce++
	ev := assign.Renewal{From: "h", Incarnation: 1, Nonce: p.nonce, Ack: grant.Ack{Term: p.lastGrant.Term, Seq: p.lastGrant.Seq}}
	for _, sv := range p.lastGrant.Servers {
		r := grant.Report{Server: sv.Server, State: grant.Ready}
		gone := !isRunning(sv.Server, now)
		if gone && now >= clock.Time(traceLoss+grant.PeerTimeout) {
			r.State = grant.Missed
		}
		for _, e := range sv.Grants {
			if e.Releasing && !gone || gone && now >= clock.Time(traceLoss+lossDetection) {
				continue
			}
			r.Held = append(r.Held, grant.Held{Range: e.Range, Fence: e.Fence})
			l, ok := p.loads[e.Range]
			if !ok {
				l = rangeLoad(load, e.Range)
				p.loads[e.Range] = l
			}
			r.Loads = append(r.Loads, l)
		}
		ev.Servers = append(ev.Servers, r)
	}
	for _, a := range p.state.Step(now, ev) {
		if g, ok := a.(assign.Reply); ok {
			p.lastGrant = g
		}
	}
	clear(p.owners)
	for _, sv := range p.lastGrant.Servers {
		for _, e := range sv.Grants {
			if e.Releasing {
				continue
			}
			for i := firstKey(load, e.Range.Lo()); i < len(load) && e.Range.Contains(load[i].hash); i++ {
				p.owners[i] = sv.Server
			}
		}
	}
}

func (p *assignerPlacement) owner(i int) (keys.Server, bool) { return p.owners[i], p.owners[i] != "" }

func firstKey(load []traceKey, hash keys.Hash) int {
	i, _ := slices.BinarySearchFunc(load, hash, func(k traceKey, hash keys.Hash) int { return cmp.Compare(k.hash, hash) })
	return i
}

func rangeLoad(load []traceKey, r keys.Range) grant.Load {
	l := grant.Load{Range: r}
	for i := firstKey(load, r.Lo()); i < len(load) && r.Contains(load[i].hash); i++ {
		if l.Rate += load[i].rate; load[i].rate > l.HotRate {
			l.Hot, l.HotRate = load[i].hash, load[i].rate
		}
	}
	return l
}

// hashPlacement is a placement by hash alone. The membership changes
// lossDetection after a loss, and keys that move in a join have no owner for
// plannedMoveGap.
type hashPlacement struct {
	choose       func(names []keys.Server, hash keys.Hash) keys.Server
	members      []keys.Server
	owners       []keys.Server
	blockedUntil []clock.Time
	now          clock.Time
}

func (p *hashPlacement) advance(now clock.Time, load []traceKey) {
	p.now = now
	var names []keys.Server
	for _, name := range traceServers() {
		if isRunning(name, now) || name == "s00" && now < clock.Time(traceLoss+lossDetection) {
			names = append(names, name)
		}
	}
	if slices.Equal(names, p.members) {
		return
	}
	start := p.members == nil
	if p.members = names; start {
		p.owners, p.blockedUntil = make([]keys.Server, len(load)), make([]clock.Time, len(load))
	}
	for i := range load {
		to := p.choose(names, load[i].hash)
		if to != p.owners[i] && !start && isRunning(p.owners[i], now) {
			p.blockedUntil[i] = now.Add(plannedMoveGap)
		}
		p.owners[i] = to
	}
}

func (p *hashPlacement) owner(i int) (keys.Server, bool) {
	return p.owners[i], p.now >= p.blockedUntil[i]
}

// rendezvousHash is highest-random-weight hashing.
func rendezvousHash(names []keys.Server, hash keys.Hash) (best keys.Server) {
	var most keys.Hash
	for _, name := range names {
		if v := keys.HashOf(keys.Service(name), hash.String()); best == "" || v > most {
			best, most = name, v
		}
	}
	return best
}

// ringHash is a consistent-hash ring with 100 points per server.
func ringHash(names []keys.Server, hash keys.Hash) (best keys.Server) {
	var nearest keys.Hash
	for _, name := range names {
		for i := range 100 {
			if d := keys.HashOf(keys.Service(name), fmt.Sprint(i)) - hash; best == "" || d < nearest {
				best, nearest = name, d
			}
		}
	}
	return best
}

// BenchmarkPolicy compares imbalance, churn and unavailable time of both
// policies and two hashing schemes.
func BenchmarkPolicy(b *testing.B) {
	for _, bb := range []struct {
		name string
		make func() placement
	}{
		{"LeastUnavailable", func() placement { return newAssignerPlacement(assign.LeastUnavailable) }},
		{"LeastChurn", func() placement { return newAssignerPlacement(assign.LeastChurn) }},
		{"Ring", func() placement { return &hashPlacement{choose: ringHash} }},
		{"Rendezvous", func() placement { return &hashPlacement{choose: rendezvousHash} }},
	} {
		b.Run(bb.name, func(b *testing.B) {
			for b.Loop() {
				runTrace(b, bb.make())
			}
		})
	}
}
