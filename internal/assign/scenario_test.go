package assign_test

import (
	"slices"
	"testing"

	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"github.com/matryer/is"
)

// newServingCluster returns a reliable cluster whose hashes are all served.
func newServingCluster(t *testing.T, hosts int, checks ...bool) *cluster {
	t.Helper()
	c := newCluster(7, hosts, checks, t.Fatalf)
	c.reliable = true
	c.run(2500 * ms)
	for _, hash := range c.hashes {
		if !c.isServed(hash) {
			t.Fatalf("hash %v isn't served at the start", hash)
		}
	}
	return c
}

// longestGap runs for d and returns the longest time for which a hash wasn't
// served.
func (c *cluster) longestGap(d int64) (longest clock.Span) {
	since := make(map[keys.Hash]int64)
	for end := c.now + d; c.now < end; {
		c.run(5 * ms)
		for _, hash := range c.hashes {
			if c.isServed(hash) {
				delete(since, hash)
				continue
			}
			if _, ok := since[hash]; !ok {
				since[hash] = c.now - 5*ms
			}
			longest = max(longest, clock.Span((c.now-since[hash])/ms))
		}
	}
	return longest
}

func (c *cluster) dispatcher(sv *backend) *host {
	i := slices.IndexFunc(c.table.Owners, func(o assign.Owner) bool { return o.Name == sv.name })
	return c.host(c.table.Owners[i].Dispatcher)
}

func (c *cluster) ownedRanges(sv *backend) (n int) {
	for _, r := range c.table.Ranges {
		if r.Server >= 0 && c.table.Owners[r.Server].Name == sv.name {
			n++
		}
	}
	return n
}

// Guards against gaps above 1 s after a single loss, and against planned moves
// that interrupt service for longer than a release takes (200 ms).
func TestGaps(t *testing.T) {
	notAssigner := func(c *cluster, h *host) bool { return c.assigner.host != h }
	tests := []struct {
		name  string
		fault func(c *cluster)
		limit clock.Span
	}{
		{"server lost with store down", func(c *cluster) {
			c.storeDown = true
			c.crashServer(c.servers[0])
		}, clock.Second},
		{"server that doesn't check lost", func(c *cluster) {
			c.crashServer(c.servers[1])
			c.servers[1].refusesConns = true
			c.resetConns(c.servers[1])
		}, clock.Second},
		{"dispatcher lost", func(c *cluster) {
			for _, sv := range c.servers {
				if h := c.dispatcher(sv); notAssigner(c, h) {
					c.killHost(h)
					return
				}
			}
		}, clock.Second},
		{"assigner and its dispatchers lost", func(c *cluster) { c.killHost(c.assigner.host) }, clock.Second},
		{"assigner replaced", func(c *cluster) { c.assigner.deposed = true }, clock.Second},
		{"drain", func(c *cluster) { c.servers[0].state = grant.Draining; c.sendListing(c.servers[0]) }, 200},
		{"dispatcher leaves", func(c *cluster) {
			h := c.dispatcher(c.servers[0])
			c.stepAssigner(c.assigner, assign.HostListed{Host: h.name, Live: true, Leaving: true})
		}, 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := newServingCluster(t, 3, true, false, true)
			tt.fault(c)
			got := c.longestGap(3000 * ms)
			t.Logf("longest gap %d ms", got)
			if got > tt.limit {
				t.Errorf("longest gap %d ms, limit %d ms", got, tt.limit)
			}
		})
	}
}

// Guards against a draining server that keeps ranges after the 3 s limit while
// the store is down, and against tables that report an assignment as stored
// that the store doesn't have.
func TestDrainStoreDown(t *testing.T) {
	is := is.New(t)
	c := newServingCluster(t, 3, true, false, true)
	for i := 0; i < 100 && !c.table.Stored; i++ {
		c.run(10 * ms)
	}
	is.True(c.table.Stored)
	c.storeDown = true
	c.servers[0].state = grant.Draining
	c.sendListing(c.servers[0])
	c.run(3000 * ms)
	is.Equal(c.ownedRanges(c.servers[0]), 0)
	is.True(!c.table.Stored) // valid by its leases, reported as not stored
	c.storeDown = false
	c.run(2000 * ms)
	is.True(c.table.Stored) // written after the store is back
}

// Guards against a server that gets its whole share as soon as it joins.
func TestJoinWarmup(t *testing.T) {
	is := is.New(t)
	c := newServingCluster(t, 3, true, true, true, true)
	joined := c.servers[3]
	c.crashServer(joined)
	c.removeServer(joined)
	c.run(3000 * ms)
	is.Equal(c.ownedRanges(joined), 0)
	c.startServer(joined)
	c.run(2500 * ms)
	early := c.ownedRanges(joined)
	is.True(early > 0 && early <= 8) // few ranges during the warm-up
	c.run(15000 * ms)
	is.True(c.ownedRanges(joined) >= early)
}

// Guards against moving the hashes that a frozen server without fencing checks
// may still run, and against leaving the rest of its ranges unserved.
func TestFrozenServer(t *testing.T) {
	is := is.New(t)
	c := newServingCluster(t, 3, false, false)
	sv := c.servers[0]
	sv.frozen = true
	c.run(1500 * ms)
	blocked := make(map[keys.Hash]bool)
	for _, r := range c.openRequests {
		if r.server == sv {
			blocked[r.hash] = true
		}
	}
	is.True(len(blocked) > 0)
	is.True(len(blocked) < len(c.hashes))
	for _, hash := range c.hashes {
		is.Equal(c.isServed(hash), !blocked[hash]) // only hashes with requests in flight wait
	}
	c.unfreezeServer(sv)
	c.run(1000 * ms)
	for _, hash := range c.hashes {
		is.True(c.isServed(hash))
	}
}

// Guards against an assigner that replies to a dispatcher which has accepted a
// newer term, or to a repeated renewal.
func TestStaleAssigner(t *testing.T) {
	is := is.New(t)
	s := assign.New(assign.Config{Interval: keys.FullRange()})
	s.Step(0, assign.Elected{Term: 4})
	old := s.Step(10, assign.Renewal{From: "h0", Incarnation: 1, Nonce: 2, Ack: grant.Ack{Term: 5, Seq: 1}})
	is.Equal(len(old), 0)
	is.Equal(len(s.Step(11, assign.Renewal{From: "h0", Incarnation: 1, Nonce: 3, Ack: grant.Ack{Term: 4}})), 1)
	is.Equal(len(s.Step(12, assign.Renewal{From: "h0", Incarnation: 1, Nonce: 3})), 0) // repeated
}

// runWithLoad runs one assigner with one dispatcher, which reports its grants and
// the given load, and returns the final ranges.
func runWithLoad(load func(keys.Range) grant.Load, until clock.Time) (ranges []assign.Range) {
	s := assign.New(assign.Config{Interval: keys.FullRange()})
	s.Step(0, assign.Elected{Term: 1})
	servers := []keys.Server{"a", "b"}
	for _, name := range servers {
		s.Step(0, assign.ServerListed{Server: name, Weight: 1, ChecksFences: true, State: assign.Ready})
	}
	var last assign.Reply
	for now := clock.Time(0); now < until; now += 100 {
		ev := assign.Renewal{From: "h", Incarnation: 1, Nonce: uint64(now) + 1, Ack: grant.Ack{Term: last.Term, Seq: last.Seq}}
		for _, name := range servers {
			r := grant.Report{Server: name, State: grant.Ready}
			for _, sv := range last.Servers {
				for _, e := range sv.Grants {
					if sv.Server == name && !e.Releasing {
						r.Held = append(r.Held, grant.Held{Range: e.Range, Fence: e.Fence})
						r.Loads = append(r.Loads, load(e.Range))
					}
				}
			}
			ev.Servers = append(ev.Servers, r)
		}
		for _, a := range s.Step(now, ev) {
			if g, ok := a.(assign.Reply); ok {
				last = g
			}
		}
	}
	return s.Dump().Assignment.Ranges
}

// Guards against a hot hash that stays in a wide range, and against splits
// under an even load.
func TestSplitHot(t *testing.T) {
	is := is.New(t)
	const hot = keys.Hash(12345)
	steady := func(r keys.Range) grant.Load {
		l := grant.Load{Range: r, Rate: 10}
		if r.Contains(hot) {
			l.Rate, l.Hot, l.HotRate = 500, hot, 490
		}
		return l
	}
	ranges := runWithLoad(steady, 6000)
	is.True(slices.ContainsFunc(ranges, func(r assign.Range) bool { return r.Hashes == keys.NewRange(hot, hot) }))
	even := runWithLoad(func(r keys.Range) grant.Load { return grant.Load{Range: r, Rate: 10} }, 6000)
	is.Equal(len(even), 16)
}

// Guards against a renewal that was sent before a grant arrived and is taken for
// the grant's release.
func TestCrossedRenewal(t *testing.T) {
	is := is.New(t)
	s := assign.New(assign.Config{Interval: keys.FullRange()})
	s.Step(0, assign.ServerListed{Server: "a", Weight: 1, State: assign.Ready})
	s.Step(0, assign.Elected{Term: 1})
	renew := func(now clock.Time, nonce uint64, ack grant.Ack) (g assign.Reply) {
		ready := []grant.Report{{Server: "a", State: grant.Ready}}
		for _, a := range s.Step(now, assign.Renewal{From: "h", Incarnation: 1, Nonce: nonce, Ack: ack, Servers: ready}) {
			if a, ok := a.(assign.Reply); ok {
				g = a
			}
		}
		return g
	}
	fence := func() keys.Fence { return s.Dump().Assignment.Ranges[0].Fence }
	first := renew(300, 1, grant.Ack{})
	second := renew(420, 2, grant.Ack{Term: 1, Seq: first.Seq})
	f := fence()
	is.True(f != 0)
	renew(430, 3, grant.Ack{Term: 1, Seq: first.Seq}) // sent before the second reply arrived
	is.Equal(fence(), f)
	renew(440, 4, grant.Ack{Term: 1, Seq: second.Seq + 1})
	is.True(fence() > f) // released, then granted again
}
