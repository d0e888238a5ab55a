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

// The trace is a wedding season in small: 2,000 keys with Zipf rates whose ten
// hottest change every 15 s, 10 servers, one joins at 40 s, one is lost at 80 s.
const (
	traceKeys  = 2000
	traceEnd   = 120 * clock.Second
	traceStep  = 20 * clock.Millisecond
	traceJoin  = 40 * clock.Second
	traceLoss  = 80 * clock.Second
	traceHot   = 15 * clock.Second
	traceWarm  = 2 * clock.Second // before it nothing is counted
	lossGap    = grant.Lease      // until a lost server's keys may move
	plannedGap = 40 * clock.Millisecond
)

type traceKey struct {
	hash keys.Hash
	rate float64
}

// placement says which server runs a hash now; false is "no owner".
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

// alive reports whether the server runs: the last one joins, the first is lost.
func alive(name keys.Server, now clock.Time) bool {
	switch name {
	case "s10":
		return now >= clock.Time(traceJoin)
	case "s00":
		return now < clock.Time(traceLoss)
	}
	return true
}

func replay(b *testing.B, p placement) {
	rnd := rand.New(rand.NewPCG(3, 9))
	load := make([]traceKey, traceKeys)
	for i := range load {
		load[i] = traceKey{keys.Hash(rnd.Uint64()), 4000 / math.Pow(float64(i+10), 0.9) * 0.05}
	}
	slices.SortFunc(load, func(a, b traceKey) int { return cmp.Compare(a.hash, b.hash) })
	base := make([]float64, traceKeys)
	for i := range load {
		base[i] = load[i].rate
	}
	last := make([]keys.Server, traceKeys)
	gap := make([]clock.Span, traceKeys)
	var moved, total, keySeconds, planned, sum, peak float64
	var longest clock.Span
	samples := 0
	for now := clock.Time(0); now < clock.Time(traceEnd); now = now.Add(traceStep) {
		if now%clock.Time(traceHot) == 0 {
			for i := range load {
				load[i].rate = base[i]
			}
			for range 10 {
				load[rnd.IntN(traceKeys)].rate = 40
			}
		}
		p.advance(now, load)
		per := make(map[keys.Server]float64)
		total = 0
		for i := range load {
			total += load[i].rate
			name, ok := p.owner(i)
			if ok = ok && alive(name, now); now < clock.Time(traceWarm) {
				last[i] = name
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
			if last[i] != name && last[i] != "" {
				moved += load[i].rate
			}
			last[i] = name
			per[name] += load[i].rate
		}
		if now >= clock.Time(traceWarm) && now%1000 == 0 {
			most := 0.0
			for _, v := range per {
				most = max(most, v)
			}
			mean := total / 10
			if now >= clock.Time(traceJoin) && now < clock.Time(traceLoss) {
				mean = total / 11
			}
			sum, peak = sum+most/mean, max(peak, most/mean)
			samples++
		}
	}
	// A join needs one share of eleven, a loss one of eleven.
	b.ReportMetric(sum/float64(samples), "imbalance-mean")
	b.ReportMetric(peak, "imbalance-peak")
	b.ReportMetric(moved/(total*2/11), "churn")
	b.ReportMetric(keySeconds, "unavailable-key-s")
	// The rest depends on how many keys the lost server happens to have.
	b.ReportMetric(planned, "planned-key-s")
	b.ReportMetric(float64(longest), "longest-gap-ms")
}

// cell drives an assigner with one dispatcher that takes 20 ms for a release.
type cell struct {
	s      *assign.State
	last   assign.Grant
	nonce  uint64
	owners []keys.Server
	window clock.Time
	rates  map[keys.Range]grant.Load
}

func newCell(p assign.Policy) *cell {
	c := &cell{s: assign.New(assign.Config{Interval: keys.Full(), Policy: p}), owners: make([]keys.Server, traceKeys)}
	for _, name := range traceServers() {
		if alive(name, 0) {
			c.s.Step(0, assign.ServerSeen{Server: name, Weight: 1, Checks: true, State: assign.Ready})
		}
	}
	c.s.Step(0, assign.Elected{Term: 1})
	return c
}

func (c *cell) advance(now clock.Time, load []traceKey) {
	if now == clock.Time(traceJoin) {
		c.s.Step(now, assign.ServerSeen{Server: "s10", Weight: 1, Checks: true, State: assign.Ready})
	}
	if now >= c.window {
		c.window, c.rates = now.Add(clock.Second), make(map[keys.Range]grant.Load)
	}
	c.nonce++
	ev := assign.Renew{From: "h", Boot: 1, Nonce: c.nonce, Ack: grant.Ack{Term: c.last.Term, Seq: c.last.Seq}}
	for _, sv := range c.last.Servers {
		r := grant.Report{Server: sv.Server, State: grant.Ready}
		gone := !alive(sv.Server, now)
		if gone && now >= clock.Time(traceLoss+grant.Silence) {
			r.State = grant.Missed
		}
		for _, e := range sv.Grants {
			if e.Releasing && !gone || gone && now >= clock.Time(traceLoss+lossGap) {
				continue
			}
			r.Held = append(r.Held, grant.Held{Range: e.Range, Fence: e.Fence})
			l, ok := c.rates[e.Range]
			if !ok {
				l = rates(load, e.Range)
				c.rates[e.Range] = l
			}
			r.Loads = append(r.Loads, l)
		}
		ev.Servers = append(ev.Servers, r)
	}
	for _, a := range c.s.Step(now, ev) {
		if g, ok := a.(assign.Grant); ok {
			c.last = g
		}
	}
	clear(c.owners)
	for _, sv := range c.last.Servers {
		for _, e := range sv.Grants {
			if e.Releasing {
				continue
			}
			for i := first(load, e.Range.Lo()); i < len(load) && e.Range.Contains(load[i].hash); i++ {
				c.owners[i] = sv.Server
			}
		}
	}
}

func (c *cell) owner(i int) (keys.Server, bool) { return c.owners[i], c.owners[i] != "" }

func first(load []traceKey, h keys.Hash) int {
	i, _ := slices.BinarySearchFunc(load, h, func(k traceKey, h keys.Hash) int { return cmp.Compare(k.hash, h) })
	return i
}

func rates(load []traceKey, r keys.Range) grant.Load {
	l := grant.Load{Range: r}
	for i := first(load, r.Lo()); i < len(load) && r.Contains(load[i].hash); i++ {
		if l.Rate += load[i].rate; load[i].rate > l.HotRate {
			l.Hot, l.HotRate = load[i].hash, load[i].rate
		}
	}
	return l
}

// hashed is a placement by hash alone; the membership changes lossGap after a
// loss, and keys that move in a join have no owner for plannedGap.
type hashed struct {
	choose  func(names []keys.Server, h keys.Hash) keys.Server
	names   []keys.Server
	owners  []keys.Server
	blocked []clock.Time
	now     clock.Time
}

func (c *hashed) advance(now clock.Time, load []traceKey) {
	c.now = now
	var names []keys.Server
	for _, name := range traceServers() {
		if alive(name, now) || name == "s00" && now < clock.Time(traceLoss+lossGap) {
			names = append(names, name)
		}
	}
	if slices.Equal(names, c.names) {
		return
	}
	start := c.names == nil
	if c.names = names; start {
		c.owners, c.blocked = make([]keys.Server, len(load)), make([]clock.Time, len(load))
	}
	for i := range load {
		to := c.choose(names, load[i].hash)
		if to != c.owners[i] && !start && alive(c.owners[i], now) {
			c.blocked[i] = now.Add(plannedGap)
		}
		c.owners[i] = to
	}
}

func (c *hashed) owner(i int) (keys.Server, bool) { return c.owners[i], c.now >= c.blocked[i] }

func rendezvous(names []keys.Server, h keys.Hash) (best keys.Server) {
	var most keys.Hash
	for _, name := range names {
		if v := keys.Of(keys.Service(name), h.String()); best == "" || v > most {
			best, most = name, v
		}
	}
	return best
}

// ring has 100 points per server.
func ring(names []keys.Server, h keys.Hash) (best keys.Server) {
	var nearest keys.Hash
	for _, name := range names {
		for i := range 100 {
			if d := keys.Of(keys.Service(name), fmt.Sprint(i)) - h; best == "" || d < nearest {
				best, nearest = name, d
			}
		}
	}
	return best
}

// BenchmarkPolicy compares imbalance, churn and unavailable time.
func BenchmarkPolicy(b *testing.B) {
	for _, bb := range []struct {
		name string
		make func() placement
	}{
		{"LeastUnavailable", func() placement { return newCell(assign.LeastUnavailable) }},
		{"LeastChurn", func() placement { return newCell(assign.LeastChurn) }},
		{"Ring", func() placement { return &hashed{choose: ring} }},
		{"Rendezvous", func() placement { return &hashed{choose: rendezvous} }},
	} {
		b.Run(bb.name, func(b *testing.B) {
			for b.Loop() {
				replay(b, bb.make())
			}
		})
	}
}
