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

// settled returns a calm world whose hashes are all served.
func settled(t *testing.T, hosts int, checks ...bool) *world {
	t.Helper()
	w := newWorld(7, hosts, checks, t.Fatalf)
	w.calm = true
	w.run(2500 * ms)
	for _, h := range w.hashes {
		if !w.served1(h) {
			t.Fatalf("hash %v isn't served at the start", h)
		}
	}
	return w
}

// gap runs for d and returns the longest time that a hash wasn't served.
func (w *world) gap(d int64) (longest clock.Span) {
	since := make(map[keys.Hash]int64)
	for end := w.now + d; w.now < end; {
		w.run(5 * ms)
		for _, h := range w.hashes {
			if w.served1(h) {
				delete(since, h)
				continue
			}
			if _, ok := since[h]; !ok {
				since[h] = w.now - 5*ms
			}
			longest = max(longest, clock.Span((w.now-since[h])/ms))
		}
	}
	return longest
}

func (w *world) dispatcher(p *backend) *node {
	i := slices.IndexFunc(w.table.Owners, func(o assign.Owner) bool { return o.Name == p.name })
	return w.node(w.table.Owners[i].Dispatcher)
}

func (w *world) owned(p *backend) (n int) {
	for _, r := range w.table.Rows {
		if r.Server >= 0 && w.table.Owners[r.Server].Name == p.name {
			n++
		}
	}
	return n
}

// Guards against gaps above 1 s after a single loss, and against planned moves
// that interrupt service for longer than a release takes.
func TestGaps(t *testing.T) {
	other := func(w *world, n *node) bool { return w.asn.at != n }
	tests := []struct {
		name  string
		fault func(w *world)
		limit clock.Span
	}{
		{"server lost with store down", func(w *world) {
			w.storeDown = true
			w.crash(w.peers[0])
		}, clock.Second},
		{"server that doesn't check lost", func(w *world) { w.crash(w.peers[1]); w.peers[1].refuses = true; w.reset(w.peers[1]) }, clock.Second},
		{"dispatcher lost", func(w *world) {
			for _, p := range w.peers {
				if n := w.dispatcher(p); other(w, n) {
					w.kill(n)
					return
				}
			}
		}, clock.Second},
		{"assigner and its dispatchers lost", func(w *world) { w.kill(w.asn.at) }, clock.Second},
		{"assigner replaced", func(w *world) { w.asn.out = true }, clock.Second},
		{"drain", func(w *world) { w.peers[0].state = grant.Draining; w.listed(w.peers[0]) }, 200},
		{"dispatcher leaves", func(w *world) {
			n := w.dispatcher(w.peers[0])
			w.assign(w.asn, assign.HostSeen{Host: n.name, Live: true, Leaving: true})
		}, 200},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := settled(t, 3, true, false, true)
			tt.fault(w)
			got := w.gap(3000 * ms)
			t.Logf("longest gap %d ms", got)
			if got > tt.limit {
				t.Errorf("longest gap %d ms, limit %d ms", got, tt.limit)
			}
		})
	}
}

// Guards against a draining server that keeps ranges after the 3 s limit, and
// against assignments that hide that the store doesn't have them.
func TestDrainStoreDown(t *testing.T) {
	is := is.New(t)
	w := settled(t, 3, true, false, true)
	for i := 0; i < 100 && !w.table.Stored; i++ {
		w.run(10 * ms)
	}
	is.True(w.table.Stored)
	w.storeDown = true
	w.peers[0].state = grant.Draining
	w.listed(w.peers[0])
	w.run(3000 * ms)
	is.Equal(w.owned(w.peers[0]), 0)
	is.True(!w.table.Stored) // in force by lease, shown as not stored
	w.storeDown = false
	w.run(2000 * ms)
	is.True(w.table.Stored) // written after the store is back
}

// Guards against a cold server that is given its whole share at once.
func TestJoinRamp(t *testing.T) {
	is := is.New(t)
	w := settled(t, 3, true, true, true, true)
	joined := w.peers[3]
	w.crash(joined)
	w.leave(joined)
	w.run(3000 * ms)
	is.Equal(w.owned(joined), 0)
	w.join(joined)
	w.run(2500 * ms)
	early := w.owned(joined)
	is.True(early > 0 && early <= 8) // few ranges first
	w.run(15000 * ms)
	is.True(w.owned(joined) >= early)
}

// Guards against moving the hashes that a frozen server without fencing checks
// may still run, and against keeping the rest of its ranges unserved.
func TestFrozenServer(t *testing.T) {
	is := is.New(t)
	w := settled(t, 3, false, false)
	p := w.peers[0]
	p.frozen = true
	w.run(1500 * ms)
	blocked := make(map[keys.Hash]bool)
	for _, r := range w.open {
		if r.server == p {
			blocked[r.hash] = true
		}
	}
	is.True(len(blocked) > 0)
	is.True(len(blocked) < len(w.hashes))
	for _, h := range w.hashes {
		is.Equal(w.served1(h), !blocked[h]) // only hashes with requests in flight wait
	}
	w.thaw(p)
	w.run(1000 * ms)
	for _, h := range w.hashes {
		is.True(w.served1(h))
	}
}

// Guards against answers and renewals across terms: an assigner ignores a
// dispatcher that has accepted a newer term.
func TestStaleAssigner(t *testing.T) {
	is := is.New(t)
	s := assign.New(assign.Config{Interval: keys.Full()})
	s.Step(0, assign.Elected{Term: 4})
	old := s.Step(10, assign.Renew{From: "h0", Boot: 1, Nonce: 2, Ack: grant.Ack{Term: 5, Seq: 1}})
	is.Equal(len(old), 0)
	is.Equal(len(s.Step(11, assign.Renew{From: "h0", Boot: 1, Nonce: 3, Ack: grant.Ack{Term: 4}})), 1)
	is.Equal(len(s.Step(12, assign.Renew{From: "h0", Boot: 1, Nonce: 3})), 0) // repeated
}

// splitWorld drives one assigner with one dispatcher that reports what it is
// granted, and the given load.
func splitWorld(load func(keys.Range) grant.Load, until clock.Time) (rows []assign.Row) {
	s := assign.New(assign.Config{Interval: keys.Full()})
	s.Step(0, assign.Elected{Term: 1})
	servers := []keys.Server{"a", "b"}
	for _, name := range servers {
		s.Step(0, assign.ServerSeen{Server: name, Weight: 1, Checks: true, State: assign.Ready})
	}
	var last assign.Grant
	for now := clock.Time(0); now < until; now += 100 {
		ev := assign.Renew{From: "h", Boot: 1, Nonce: uint64(now) + 1, Ack: grant.Ack{Term: last.Term, Seq: last.Seq}}
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
			if g, ok := a.(assign.Grant); ok {
				last = g
			}
		}
	}
	return s.Dump().Assignment.Rows
}

// Guards against a hot hash that stays in a wide range, and against splits
// that a short burst causes.
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
	rows := splitWorld(steady, 6000)
	is.True(slices.ContainsFunc(rows, func(r assign.Row) bool { return r.Range == keys.NewRange(hot, hot) }))
	even := splitWorld(func(r keys.Range) grant.Load { return grant.Load{Range: r, Rate: 10} }, 6000)
	is.Equal(len(even), 16)
}

// Guards against a renewal that crossed a grant and is taken for its release.
func TestCrossedRenewal(t *testing.T) {
	is := is.New(t)
	s := assign.New(assign.Config{Interval: keys.Full()})
	s.Step(0, assign.ServerSeen{Server: "a", Weight: 1, State: assign.Ready})
	s.Step(0, assign.Elected{Term: 1})
	renew := func(now clock.Time, nonce uint64, ack grant.Ack) (g assign.Grant) {
		ready := []grant.Report{{Server: "a", State: grant.Ready}}
		for _, a := range s.Step(now, assign.Renew{From: "h", Boot: 1, Nonce: nonce, Ack: ack, Servers: ready}) {
			if a, ok := a.(assign.Grant); ok {
				g = a
			}
		}
		return g
	}
	fence := func() keys.Fence { return s.Dump().Assignment.Rows[0].Fence }
	first := renew(300, 1, grant.Ack{})
	granted := renew(420, 2, grant.Ack{Term: 1, Seq: first.Seq})
	f := fence()
	is.True(f != 0)
	renew(430, 3, grant.Ack{Term: 1, Seq: first.Seq}) // sent before granted came
	is.Equal(fence(), f)
	renew(440, 4, grant.Ack{Term: 1, Seq: granted.Seq + 1})
	is.True(fence() > f) // released, then granted anew
}
