package owner

import (
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// grants returns the grants among actions.
func grants(acts []Action) (out []Grant) {
	for _, act := range acts {
		if g, ok := act.(Grant); ok {
			out = append(out, g)
		}
	}
	return out
}

// Guards against a term that is used again after a restore has lost later terms.
func TestTermsRiseAcrossRestores(t *testing.T) {
	for _, tt := range []struct {
		name           string
		stored         Record // in the restored store
		lostTerm       uint64 // the highest that was lost
		epoch          uint64
		observed       uint64
		wantUnverified bool
	}{
		{"no restore", Record{Term: 1030, Epoch: 1}, 1030, 1, 1030, false},
		{"claims lost", Record{Term: 1030, Epoch: 1}, 1040, 2, 0, true},
		{"record lost", Record{}, 1040, 2, 0, true},
		{"record lost, its term observed", Record{}, 5000, 2, 5000, true},
		{"restored twice, to before the first time", Record{Term: 1030, Epoch: 1}, 1030 + 1024 + 9, 3, 0, true},
		{"many terms in an epoch", Record{Term: 9000, Epoch: 2}, 9003, 3, 0, true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			next := tt.stored.NextTerm(Holder{Host: "b"}, tt.epoch, tt.observed)
			is.True(next.Term > tt.lostTerm)
			is.Equal(next.Unverified, tt.wantUnverified)
			is.Equal(next.Epoch, tt.epoch)
		})
	}
}

// Guards against grants by an older copy of the record while servers that it
// doesn't name may have leases.
func TestUnverifiedRecordBlocksGrants(t *testing.T) {
	for _, tt := range []struct {
		name     string
		noneActs bool // no former assigner can act any more
		tables   map[keys.Service][]Assignment
		blocked  clock.Span
	}{
		{"a former assigner may act", false, map[keys.Service][]Assignment{svc: {{To: MaxKey, Server: "s0", Addr: "s0:1", Born: 1}}}, testConfig.RoleLease + testConfig.LeaseTime},
		{"none acts", true, map[keys.Service][]Assignment{svc: {{To: MaxKey, Server: "s0", Addr: "s0:1", Born: 1}}}, testConfig.LeaseTime},
		{"the copy has no tables", false, nil, testConfig.RoleLease + testConfig.LeaseTime},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			now := clock.Time(1000)
			a := New(testConfig, now, Record{Term: 2049, Epoch: 2, Unverified: true, Tables: tt.tables})
			acts := a.SetServers(now, []keys.Service{svc}, []fleet.Server{server("s0")})
			if tt.noneActs {
				a.FormerEnded(now)
			}
			granted := clock.Time(0)
			for end := now.Add(60 * clock.Second); granted == 0 && now < end; now = now.Add(20) {
				for _, act := range acts {
					if w, ok := act.(Write); ok {
						acts = append(acts, a.WriteDone(now, w.Version)...)
					}
				}
				if len(grants(acts)) > 0 {
					granted = now
				}
				acts = a.Tick(now)
			}
			is.True(granted != 0)
			is.True(granted.Sub(1000) > tt.blocked)
		})
	}
}

// Guards against a range that moves after a restore although a host that claimed
// the role in the lost part of the history can still grant it.
func TestRestoredFencesServerBeforeMove(t *testing.T) {
	is := is.New(t)
	a := New(testConfig, 1000, Record{Term: 1025, Epoch: 1, Tables: map[keys.Service][]Assignment{svc: {{To: MaxKey, Server: "s0", Addr: "s0:1", Born: 1}}}})
	g := grants(a.SetServers(1000, []keys.Service{svc}, []fleet.Server{server("s0")}))[0]
	g.LastConn = 1
	a.GrantDone(1010, 1000, g, Done)
	a.Restored(2000, a.Record().Restored(2))
	g = grants(a.Tick(2000))[0]
	is.Equal(g.Fence.term(), uint64(1025)) // shows whether another host has granted the range
	next := grants(a.GrantDone(2010, 2000, g, Done))[0]
	is.Equal(next.Fence.term(), a.Term()) // and keeps it from doing so
	is.True(!a.tables[svc][0].acked)
	a.GrantDone(2020, 2010, next, Done)
	is.True(a.tables[svc][0].acked)
}

// Guards against renewals that are all sent at once after a restore, and find no
// connection that shows that they reach the same process.
func TestRestoredKeepsRenewalTimes(t *testing.T) {
	is := is.New(t)
	a := New(testConfig, 1000, Record{Term: 1025, Epoch: 1, Tables: map[keys.Service][]Assignment{svc: {{To: MaxKey, Server: "s0", Addr: "s0:1", Born: 1}}}})
	g := grants(a.SetServers(1000, []keys.Service{svc}, []fleet.Server{server("s0")}))[0]
	g.LastConn = 1
	a.GrantDone(1010, 1000, g, Done)
	a.Restored(1100, a.Record().Restored(2))
	is.Equal(len(grants(a.Tick(1100))), 0)
	is.Equal(len(grants(a.Tick(clock.Time(1000).Add(testConfig.LeaseTime/renewalsPerLease)))), 1)
}

// Guards against a grant after a restore to a later process of a server: the former
// one can have lost the range to another server in the lost part.
func TestRestoredServerRestarted(t *testing.T) {
	restarted := server("s0")
	restarted.Born = 2
	for _, tt := range []struct {
		name    string
		restart func(a *Assigner, now clock.Time, renewal Grant) []Action
	}{
		{"connection closed", func(a *Assigner, now clock.Time, renewal Grant) []Action {
			return a.GrantDone(now, now, renewal, Unconnected)
		}},
		{"registered again", func(a *Assigner, now clock.Time, _ Grant) []Action {
			return a.SetServers(now, []keys.Service{svc}, []fleet.Server{restarted})
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			a := New(testConfig, 1000, Record{Term: 1025, Epoch: 1, Tables: map[keys.Service][]Assignment{svc: {{To: MaxKey, Server: "s0", Addr: "s0:1", Born: 1}}}})
			g := grants(a.SetServers(1000, []keys.Service{svc}, []fleet.Server{server("s0")}))[0]
			g.LastConn = 1
			a.GrantDone(1010, 1000, g, Done)
			now := clock.Time(2000)
			a.Restored(now, a.Record().Restored(2))
			renewal := grants(a.Tick(now))[0]
			a.WriteFailed()
			acts := tt.restart(a, now, renewal)
			granted := false
			for !granted && now < 60000 {
				now = now.Add(20)
				a.Confirm(now)
				acts = append(acts, a.Tick(now)...)
				for ; len(acts) > 0; acts = acts[1:] {
					switch act := acts[0].(type) {
					case Write:
						acts = append(acts, a.WriteDone(now, act.Version)...)
					case Grant:
						granted = true
					}
				}
			}
			is.True(granted)
			is.True(now.Sub(2000) > testConfig.RoleLease+testConfig.LeaseTime)
		})
	}
}

// Guards against a record that counts as verified while a host whose claim was lost
// can still grant a range: the next assigner wouldn't wait for that host.
func TestRestoredVerifiedAfterFences(t *testing.T) {
	is := is.New(t)
	a := New(testConfig, 1000, Record{Term: 1025, Epoch: 1, Tables: map[keys.Service][]Assignment{svc: {{To: MaxKey, Server: "s0", Addr: "s0:1", Born: 1}}}})
	g := grants(a.SetServers(1000, []keys.Service{svc}, []fleet.Server{server("s0")}))[0]
	g.LastConn = 1
	a.GrantDone(1010, 1000, g, Done)
	a.Restored(2000, a.Record().Restored(2))
	g = grants(a.Tick(2000))[0]
	is.True(a.Record().Unverified)
	g = grants(a.GrantDone(2010, 2000, g, Done))[0]
	a.Tick(2020)
	is.True(a.Record().Unverified)
	a.GrantDone(2030, 2010, g, Done)
	a.Tick(2040)
	is.True(!a.Record().Unverified)
}

// Guards against a renewal sent before a restore that counts as proof that no other
// host has granted the range.
func TestRenewalInFlightAtRestore(t *testing.T) {
	is := is.New(t)
	a := New(testConfig, 1000, Record{Term: 1025, Epoch: 1, Tables: map[keys.Service][]Assignment{svc: {{To: MaxKey, Server: "s0", Addr: "s0:1", Born: 1}}}})
	g := grants(a.SetServers(1000, []keys.Service{svc}, []fleet.Server{server("s0")}))[0]
	g.LastConn = 1
	a.GrantDone(1010, 1000, g, Done)
	g = grants(a.Tick(2500))[0]
	a.Restored(2600, a.Record().Restored(2))
	a.GrantDone(2610, 2500, g, Done)
	is.True(!a.tables[svc][0].acked)
	is.Equal(grants(a.Tick(3500))[0].Fence, g.Fence)
}
