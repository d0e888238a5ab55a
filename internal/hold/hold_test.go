package hold

import (
	"testing"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"github.com/matryer/is"
)

// dispatcher answers the renewals of a State in the name of an assigner.
type dispatcher struct {
	*State
	seq   uint64
	nonce uint64
}

func (d *dispatcher) tick(now clock.Time) (acts []Action) {
	acts = d.Step(now, Tick{})
	d.note(acts)
	return acts
}

func (d *dispatcher) note(acts []Action) {
	for _, a := range acts {
		if r, ok := a.(Renew); ok {
			d.nonce = r.Nonce
		}
	}
}

func (d *dispatcher) grant(now clock.Time, term uint32, checks bool, entries ...grant.Entry) []Action {
	d.seq++
	acts := d.Step(now, Granted{Nonce: d.nonce, Term: term, Seq: d.seq, Span: grant.Lease,
		Servers: []grant.Server{{Server: "s", Checks: checks, Grants: entries}}})
	d.note(acts)
	return acts
}

func pushOf(acts []Action) (p Push, ok bool) {
	for _, a := range acts {
		if p, ok = a.(Push); ok {
			return p, true
		}
	}
	return p, false
}

var entry = grant.Entry{Range: keys.NewRange(0, 99), Fence: keys.NewFence(1, 1)}

// Guards against requests that a server would refuse because it doesn't have
// the grant yet, and against a validity that outlasts the dispatcher's lease.
func TestPushFirst(t *testing.T) {
	is := is.New(t)
	d := &dispatcher{State: New(Config{Host: "h"})}
	d.tick(1000)
	d.grant(1010, 1, true, entry)
	_, err := d.Begin(1011, "s", 5)
	is.Equal(err, ErrUnacknowledged)
	p, ok := pushOf(d.Step(1020, Reached{Server: "s", Sent: 1015, ServerClock: 70, State: grant.Ready}))
	is.True(ok)
	// The lease ends at 1000+390, 370 ms after the reading of 70; of that
	// 998 in 1,000 pass on the server's clock at least.
	is.Equal(p.Until, clock.Time(70+369))
	d.Step(1025, Reached{Server: "s", Sent: 1020, ServerClock: 75, State: grant.Ready, Seq: p.Seq})
	f, err := d.Begin(1026, "s", 5)
	is.NoErr(err)
	is.Equal(f, entry.Fence)
	_, err = d.Check(1390, "s", 5)
	is.Equal(err, ErrNotHeld) // the lease has ended
}

// Guards against an answer that revives what was released or has lapsed: an
// older term, an older answer, or a fence of an earlier term in a new one.
func TestNoRevival(t *testing.T) {
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
		{"older answer", 1400, 2, 0, entry, false},
		{"lapsed fence of an earlier term", 1400, 2, 9, entry, false},
		{"releasing", 1400, 2, 9, grant.Entry{Range: entry.Range, Fence: keys.NewFence(2, 7), Releasing: true}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			d := &dispatcher{State: New(Config{Host: "h"})}
			d.tick(1000)
			d.grant(1001, 1, false, entry)
			_, err := d.Check(1002, "s", 5)
			is.NoErr(err)
			d.grant(1003, 2, false, entry) // extended by the next term
			_, err = d.Check(1380, "s", 5)
			is.NoErr(err)
			d.tick(1395) // lapsed
			d.Step(tt.now, Granted{Nonce: d.nonce, Term: tt.term, Seq: tt.seq, Span: grant.Lease,
				Servers: []grant.Server{{Server: "s", Grants: []grant.Entry{tt.entry}}}})
			_, err = d.Check(tt.now, "s", 5)
			is.Equal(err == nil, tt.held)
		})
	}
}

// Guards against a release that forgets requests in flight, records on their
// way, or the hashes that have neither.
func TestRelease(t *testing.T) {
	is := is.New(t)
	d := &dispatcher{State: New(Config{Host: "h"})}
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
	recs := d.Dump().Servers[0].Records
	is.Equal(len(recs), 1)
	is.Equal(recs[0].Range, keys.NewRange(5, 5))
	d.tick(2000) // the lease has ended, the request hasn't
	is.Equal(len(d.Dump().Servers[0].Records), 1)
	d.End(2001, "s", 5)
	d.tick(2002)
	is.Equal(len(d.Dump().Servers[0].Records), 0)
}

// Guards against an unreachable server that keeps its requests coming, and
// against a single missed probe that makes it unreachable.
func TestMissed(t *testing.T) {
	is := is.New(t)
	d := &dispatcher{State: New(Config{Host: "h"})}
	d.tick(1000)
	d.grant(1001, 1, false, entry)
	for i, want := range []error{nil, nil, ErrUnreachable} {
		now := clock.Time(1010 + i)
		d.Step(now, Missed{Server: "s"})
		_, err := d.Check(now, "s", 5)
		is.Equal(err, want)
	}
}

// Guards against a hot hash that is lost among many others.
func TestMeter(t *testing.T) {
	is := is.New(t)
	var m meter
	for i := range 1000 {
		m.count(keys.Hash(i))
		m.count(7)
	}
	m.roll(clock.Second)
	is.Equal(m.rate, 2000.0)
	is.Equal(m.hot, keys.Hash(7))
	is.True(m.hotRate > 700)
}

// Guards against a validity that is counted on the clock of a server's earlier
// run, which may be far ahead, and against requests to a run without grants.
func TestServerRestart(t *testing.T) {
	is := is.New(t)
	d := &dispatcher{State: New(Config{Host: "h"})}
	d.tick(1000)
	d.grant(1010, 1, true, entry)
	p, ok := pushOf(d.Step(1020, Reached{Server: "s", Sent: 1015, ServerClock: 90_000, Boot: "one", State: grant.Ready}))
	is.True(ok)
	is.Equal(p.Boot, "one")
	d.Step(1025, Reached{Server: "s", Sent: 1020, ServerClock: 90_005, Boot: "one", State: grant.Ready, Seq: p.Seq})
	_, err := d.Check(1026, "s", 5)
	is.NoErr(err)
	p, ok = pushOf(d.Step(1035, Reached{Server: "s", Sent: 1030, ServerClock: 3, Boot: "two", State: grant.Ready}))
	is.True(ok)
	is.Equal(p.Boot, "two")
	is.True(p.Until < 400)
	_, err = d.Check(1036, "s", 5)
	is.Equal(err, ErrUnacknowledged)
}

// Guards against load reports that are repeated although the assigner has
// them, and against loads that a new assigner never learns.
func TestLoadsUntilAnswered(t *testing.T) {
	is := is.New(t)
	s := New(Config{Host: "a"})
	servers := []grant.Server{{Server: "s", Grants: []grant.Entry{{Range: keys.Full(), Fence: keys.NewFence(1, 1)}}}}
	now, seq := clock.Time(0), uint64(0)
	renew := func() (r Renew) {
		now = now.Add(grant.Renewal)
		for _, a := range s.Step(now, Tick{}) {
			if x, ok := a.(Renew); ok {
				r = x
			}
		}
		return r
	}
	answer := func(r Renew, term uint32) {
		seq++
		s.Step(now, Granted{Nonce: r.Nonce, Term: term, Seq: seq, Span: grant.Lease, Servers: servers})
	}
	loads := func(r Renew) int { return len(r.Servers[0].Loads) }
	answer(renew(), 1)
	first := renew()
	for n := 0; loads(first) == 0 && n < 20; n++ { // until a whole window has passed
		answer(first, 1)
		first = renew()
	}
	is.Equal(loads(first), 1)
	is.Equal(loads(renew()), 1) // not answered yet
	answer(first, 1)
	is.Equal(loads(renew()), 0)
	answer(renew(), 2)
	is.Equal(loads(renew()), 1) // the new assigner doesn't know them
}

// Guards against requests that are sent to a server whose machine has refused
// a connection, until two more probes have failed.
func TestRefused(t *testing.T) {
	is := is.New(t)
	d := &dispatcher{State: New(Config{Host: "h"})}
	d.tick(1000)
	d.grant(1001, 1, false, entry)
	d.Step(1010, Missed{Server: "s", Refused: true})
	_, err := d.Check(1010, "s", 5)
	is.Equal(err, ErrUnreachable)
}

// Guards against a new grant that is reported as idle, or with the count of a
// part of a window.
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
