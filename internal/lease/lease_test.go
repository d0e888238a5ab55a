package lease

import (
	"testing"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"github.com/matryer/is"
)

// testDispatcher is a State with the assigner's side of its protocol.
type testDispatcher struct {
	*State
	seq   uint64
	nonce uint64
}

func (d *testDispatcher) tick(now clock.Time) (acts []Action) {
	acts = d.Step(now, Tick{})
	d.recordNonce(acts)
	return acts
}

func (d *testDispatcher) recordNonce(acts []Action) {
	for _, a := range acts {
		if r, ok := a.(Renewal); ok {
			d.nonce = r.Nonce
		}
	}
}

func (d *testDispatcher) grant(now clock.Time, term uint32, checks bool, entries ...grant.Entry) []Action {
	d.seq++
	acts := d.Step(now, Reply{Nonce: d.nonce, Term: term, Seq: d.seq, LeaseTime: grant.LeaseTime,
		Servers: []grant.Server{{Server: "s", ChecksFences: checks, Grants: entries}}})
	d.recordNonce(acts)
	return acts
}

func findPush(acts []Action) (p Push, ok bool) {
	for _, a := range acts {
		if p, ok = a.(Push); ok {
			return p, true
		}
	}
	return p, false
}

var entry = grant.Entry{Range: keys.NewRange(0, 99), Fence: keys.NewFence(1, 1)}

// Guards against requests that a server would refuse because it doesn't have the
// grant yet, and against grants that are valid at the server for longer than the
// dispatcher's lease.
func TestUnacknowledgedGrant(t *testing.T) {
	is := is.New(t)
	d := &testDispatcher{State: New(Config{Host: "h"})}
	d.tick(1000)
	d.grant(1010, 1, true, entry)
	_, err := d.Begin(1011, "s", 5)
	is.Equal(err, ErrUnacknowledged)
	p, ok := findPush(d.Step(1020, Response{Server: "s", Sent: 1015, ServerClock: 70, State: grant.Ready}))
	is.True(ok)
	// The lease expires at 1000+390, 370 ms after the clock reading of 70.
	// The server's clock advances by at least 998/1000 of that.
	is.Equal(p.Until, clock.Time(70+369))
	d.Step(1025, Response{Server: "s", Sent: 1020, ServerClock: 75, State: grant.Ready, Seq: p.Seq})
	f, err := d.Begin(1026, "s", 5)
	is.NoErr(err)
	is.Equal(f, entry.Fence)
	_, err = d.Check(1390, "s", 5)
	is.Equal(err, ErrNoLease) // the lease has expired
}

// Guards against a reply that restores a lease which was released or has expired:
// a reply of an earlier term, an older reply, or a fence of an earlier term in a
// new reply.
func TestStaleReply(t *testing.T) {
	tests := []struct {
		name  string
		now   clock.Time
		term  uint32
		seq   uint64
		entry grant.Entry
		held  bool
	}{
		{"new fence of the same term", 1400, 2, 9, grant.Entry{Range: entry.Range, Fence: keys.NewFence(2, 7)}, true},
		{"older term", 1400, 1, 9, entry, false},
		{"older reply", 1400, 2, 0, entry, false},
		{"expired fence of an earlier term", 1400, 2, 9, entry, false},
		{"releasing", 1400, 2, 9, grant.Entry{Range: entry.Range, Fence: keys.NewFence(2, 7), Releasing: true}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := &testDispatcher{State: New(Config{Host: "h"})}
			d.tick(1000)
			d.grant(1001, 1, false, entry)
			_, err := d.Check(1002, "s", 5)
			is.NoErr(err)
			d.grant(1003, 2, false, entry) // extended by the next term
			_, err = d.Check(1380, "s", 5)
			is.NoErr(err)
			d.tick(1395) // expired
			d.Step(tt.now, Reply{Nonce: d.nonce, Term: tt.term, Seq: tt.seq, LeaseTime: grant.LeaseTime,
				Servers: []grant.Server{{Server: "s", Grants: []grant.Entry{tt.entry}}}})
			_, err = d.Check(tt.now, "s", 5)
			is.Equal(err == nil, tt.held)
		})
	}
}

// Guards against a release that ignores requests in flight or unfinished transfers
// of deduplication records, or that delays the hashes which have neither.
func TestRelease(t *testing.T) {
	is := is.New(t)
	d := &testDispatcher{State: New(Config{Host: "h"})}
	d.tick(1000)
	d.grant(1001, 1, false, entry)
	_, err := d.Begin(1002, "s", 5)
	is.NoErr(err)
	rel := entry
	rel.Releasing, rel.Next = true, "h2"
	acts := d.grant(1010, 1, false, rel)
	var transfers []Transfer
	for _, a := range acts {
		if tr, ok := a.(Transfer); ok {
			transfers = append(transfers, tr)
		}
	}
	is.Equal(len(transfers), 2) // on both sides of the hash in flight
	_, err = d.Begin(1011, "s", 6)
	is.Equal(err, ErrReleasing)
	for _, tr := range transfers {
		d.Step(1012, Transferred{Range: tr.Range, Fence: tr.Fence, OK: true})
	}
	leases := d.Dump().Servers[0].Leases
	is.Equal(len(leases), 1)
	is.Equal(leases[0].Range, keys.NewRange(5, 5))
	d.tick(2000) // the lease has expired, the request is still in flight
	is.Equal(len(d.Dump().Servers[0].Leases), 1)
	d.End(2001, "s", 5)
	d.tick(2002)
	is.Equal(len(d.Dump().Servers[0].Leases), 0)
}

// Guards against requests to an unreachable server, and against a server that
// counts as unreachable after a single missed probe.
func TestUnanswered(t *testing.T) {
	is := is.New(t)
	d := &testDispatcher{State: New(Config{Host: "h"})}
	d.tick(1000)
	d.grant(1001, 1, false, entry)
	for i, want := range []error{nil, nil, ErrUnreachable} {
		now := clock.Time(1010 + i)
		d.Step(now, Unanswered{Server: "s"})
		_, err := d.Check(now, "s", 5)
		is.Equal(err, want)
	}
}

// Guards against a hot hash that isn't found among many others.
func TestMeter(t *testing.T) {
	is := is.New(t)
	var m meter
	for i := range 1000 {
		m.count(keys.Hash(i))
		m.count(7)
	}
	m.roll(clock.Second)
	is.Equal(m.rate, 2000.0)
	is.Equal(m.hotHash, keys.Hash(7))
	is.True(m.hotRate > 700)
}

// Guards against a validity computed from the clock of a server's earlier
// incarnation, which may be far ahead, and against requests to an incarnation
// that has no grants yet.
func TestServerRestart(t *testing.T) {
	is := is.New(t)
	d := &testDispatcher{State: New(Config{Host: "h"})}
	d.tick(1000)
	d.grant(1010, 1, true, entry)
	p, ok := findPush(d.Step(1020, Response{Server: "s", Sent: 1015, ServerClock: 90_000, Incarnation: "one", State: grant.Ready}))
	is.True(ok)
	is.Equal(p.Incarnation, "one")
	d.Step(1025, Response{Server: "s", Sent: 1020, ServerClock: 90_005, Incarnation: "one", State: grant.Ready, Seq: p.Seq})
	_, err := d.Check(1026, "s", 5)
	is.NoErr(err)
	p, ok = findPush(d.Step(1035, Response{Server: "s", Sent: 1030, ServerClock: 3, Incarnation: "two", State: grant.Ready}))
	is.True(ok)
	is.Equal(p.Incarnation, "two")
	is.True(p.Until < 400)
	_, err = d.Check(1036, "s", 5)
	is.Equal(err, ErrUnacknowledged)
}

// Guards against load reports that are repeated although the assigner has them,
// and against loads that are never reported to a new assigner.
func TestLoadsUntilReply(t *testing.T) {
	is := is.New(t)
	s := New(Config{Host: "a"})
	servers := []grant.Server{{Server: "s", Grants: []grant.Entry{{Range: keys.FullRange(), Fence: keys.NewFence(1, 1)}}}}
	now, seq := clock.Time(0), uint64(0)
	renew := func() (r Renewal) {
		now = now.Add(grant.RenewalInterval)
		for _, a := range s.Step(now, Tick{}) {
			if x, ok := a.(Renewal); ok {
				r = x
			}
		}
		return r
	}
	reply := func(r Renewal, term uint32) {
		seq++
		s.Step(now, Reply{Nonce: r.Nonce, Term: term, Seq: seq, LeaseTime: grant.LeaseTime, Servers: servers})
	}
	loads := func(r Renewal) int { return len(r.Servers[0].Loads) }
	reply(renew(), 1)
	first := renew()
	for n := 0; loads(first) == 0 && n < 20; n++ { // until a full window has passed
		reply(first, 1)
		first = renew()
	}
	is.Equal(loads(first), 1)
	is.Equal(loads(renew()), 1) // no reply yet
	reply(first, 1)
	is.Equal(loads(renew()), 0)
	reply(renew(), 2)
	is.Equal(loads(renew()), 1) // the new assigner doesn't have them
}

// Guards against a server that still counts as reachable after its machine has
// refused a connection, until two more probes are missed.
func TestRefused(t *testing.T) {
	is := is.New(t)
	d := &testDispatcher{State: New(Config{Host: "h"})}
	d.tick(1000)
	d.grant(1001, 1, false, entry)
	d.Step(1010, Unanswered{Server: "s", Refused: true})
	_, err := d.Check(1010, "s", 5)
	is.Equal(err, ErrUnreachable)
}

// Guards against a new lease that is reported with a rate of 0, or with the rate
// of a part of a window.
func TestMeterPartial(t *testing.T) {
	is := is.New(t)
	m := meter{partial: true}
	m.count(1)
	m.roll(clock.Second)
	is.True(!m.known)
	m.count(1)
	m.roll(clock.Second)
	is.True(m.known)
	is.Equal(m.rate, 1.0)
}
