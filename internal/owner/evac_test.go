package owner

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Latencies of calls in tests of evacuations. A release waits for the work in
// progress, so it takes up to releaseLatency, depending on the range.
const (
	releaseLatency = 200 * clock.Millisecond
	grantLatency   = 10 * clock.Millisecond
	writeLatency   = 15 * clock.Millisecond
	// releaseTimeout is that of a release without a response: longer than a lease.
	releaseTimeout = 2950 * clock.Millisecond
	// maxEvacuation is the time after which all ranges must have moved, also those of
	// servers that don't respond.
	maxEvacuation = 4700 * clock.Millisecond
)

// evacConfig has the time limits of the assigner in package front.
var evacConfig = Config{LeaseTime: 2500 * clock.Millisecond, Timeout: 700 * clock.Millisecond, RoleLease: 12 * clock.Second}

// timedCall is a call or write in flight.
type timedCall struct {
	sent, ends clock.Time
	act        Action
}

// evacuationRun drives an Assigner whose calls take time.
type evacuationRun struct {
	*is.I
	assigner   *Assigner
	now        clock.Time
	calls      []timedCall
	silent     map[keys.Server]bool // they respond to nothing
	storeDown  bool                 // writes get no response
	writes     int
	longestGap clock.Span // of a range without an owner
	gapSince   map[Key]clock.Time
	perServer  map[keys.Server]int // ranges at each server in the published tables
}

// sites returns servers in the data centres north, south and west, one after the
// other.
func sites(n int) (list []fleet.Server) {
	for i := range n {
		sv := server(fmt.Sprintf("s%03d", i))
		sv.DC = []keys.DataCentre{"north", "south", "west"}[i%3]
		list = append(list, sv)
	}
	return list
}

// divided returns a record in which each server has a number of ranges.
func divided(servers []fleet.Server, each int) Record {
	rec := Record{Term: 1, Holder: "a", Tables: make(map[keys.Service][]Assignment)}
	n := len(servers) * each
	size := (int(MaxKey) + 1) / n
	for i := range n {
		sv := servers[i%len(servers)]
		to := Key((i+1)*size - 1)
		if i == n-1 {
			to = MaxKey
		}
		rec.Seq++
		rec.Tables[svc] = append(rec.Tables[svc], Assignment{From: Key(i * size), To: to, Server: sv.ID, Addr: sv.Addr, Born: sv.Born, Fence: newFence(1, rec.Seq)})
	}
	return rec
}

func newEvacuationRun(t *testing.T, rec Record, servers []fleet.Server, evacuated ...keys.DataCentre) *evacuationRun {
	x := &evacuationRun{I: is.New(t), now: 1000, gapSince: make(map[Key]clock.Time), silent: make(map[keys.Server]bool)}
	x.assigner = New(evacConfig, x.now, rec)
	x.assigner.SetEvacuated(evacuated)
	x.send(x.assigner.SetServers(x.now, []keys.Service{svc}, servers))
	return x
}

func (x *evacuationRun) send(acts []Action) {
	for _, act := range acts {
		c := timedCall{sent: x.now, act: act}
		switch act := act.(type) {
		case Release:
			c.ends = x.now.Add(1 + clock.Span(act.From)*7919%releaseLatency)
		case Grant:
			c.ends = x.now.Add(grantLatency)
		case Write:
			c.ends = x.now.Add(writeLatency)
			x.writes++
		}
		x.calls = append(x.calls, c)
	}
}

// end delivers the outcome of a call. It returns false if it isn't known yet.
func (x *evacuationRun) end(c timedCall) bool {
	switch act := c.act.(type) {
	case Release:
		if x.silent[act.Server] {
			if x.now < c.sent.Add(releaseTimeout) {
				return false
			}
			x.send(x.assigner.ReleaseDone(x.now, act, Unknown, ""))
			return true
		}
		x.send(x.assigner.ReleaseDone(x.now, act, Done, "h"))
	case Grant:
		if x.silent[act.Server] {
			if x.now < c.sent.Add(evacConfig.Timeout) {
				return false
			}
			x.send(x.assigner.GrantDone(x.now, c.sent, act, Unknown))
			return true
		}
		act.LastConn = 1
		x.send(x.assigner.GrantDone(x.now, c.sent, act, Done))
	case Write:
		if x.storeDown {
			return false
		}
		x.send(x.assigner.WriteDone(x.now, act.Version))
	}
	return true
}

// step advances the time by a tick of the assigner.
func (x *evacuationRun) step() {
	x.now = x.now.Add(20)
	x.assigner.Confirm(x.now)
	due := x.calls
	x.calls = nil
	slices.SortStableFunc(due, func(a, b timedCall) int { return cmp.Compare(a.ends, b.ends) })
	for _, c := range due {
		if x.now < c.ends || !x.end(c) {
			x.calls = append(x.calls, c)
		}
	}
	x.send(x.assigner.Tick(x.now))
	x.observe()
}

// observe records how long ranges have no owner.
func (x *evacuationRun) observe() {
	x.perServer = make(map[keys.Server]int)
	for _, rs := range x.assigner.tables[svc] {
		id := rs.Server
		if rs.releasing || !rs.acked && rs.assignedThisTerm() {
			id = ""
		}
		x.perServer[id]++
		if id != "" {
			delete(x.gapSince, rs.From)
			continue
		}
		if _, ok := x.gapSince[rs.From]; !ok {
			x.gapSince[rs.From] = x.now
		}
		x.longestGap = max(x.longestGap, x.now.Sub(x.gapSince[rs.From]))
	}
}

// owned returns how many ranges the servers of a data centre have.
func (x *evacuationRun) owned(dc keys.DataCentre) (n int) {
	for id, ranges := range x.perServer {
		if id != "" && x.assigner.servers[id].DC == dc {
			n += ranges
		}
	}
	return n
}

func (x *evacuationRun) runFor(d clock.Span) {
	for end := x.now.Add(d); x.now < end; {
		x.step()
	}
}

// Guards against an evacuation that takes longer than the bound of 5 s, leaves keys
// without an owner longer than their moves take, or writes the record for each range.
// Servers with work in progress, or that don't respond, must not hold up the others.
func TestEvacuationIsFast(t *testing.T) {
	tests := []struct {
		name          string
		servers, each int
		silent        int // servers of the data centre that respond to nothing
		maxTime       clock.Span
		maxGap        clock.Span
		maxWrites     int
	}{
		{"small", 6, 2, 0, 500, 350, 5},
		{"large", 131, 12, 0, 2000, 400, 16},
		{"large, some servers silent", 131, 12, 12, 2500, 0, 24},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			list := sites(tt.servers)
			x := newEvacuationRun(t, divided(list, tt.each), list)
			x.runFor(3 * clock.Second)
			moving, silent := x.owned("south"), 0
			x.True(moving >= tt.servers/3*tt.each)
			for i := range tt.silent {
				x.silent[list[3*i+1].ID] = true
			}
			for id := range x.silent {
				silent += x.perServer[id]
			}
			x.writes, x.longestGap = 0, 0
			began := x.now
			x.assigner.SetEvacuated([]keys.DataCentre{"south"})
			for x.owned("south")+x.perServer[""] > silent && x.now.Sub(began) < tt.maxTime {
				x.step()
			}
			t.Logf("%d ranges moved in %d ms, %d writes, longest gap %d ms", moving-silent, x.now.Sub(began), x.writes, x.longestGap)
			x.Equal(x.owned("south"), 0)
			x.True(x.perServer[""] <= silent)
			most := 0
			for id, n := range x.perServer {
				if id != "" {
					most = max(most, n)
				}
			}
			x.True(most <= tt.each*2) // the others have 1.5 times as many ranges on average
			if tt.maxGap > 0 {
				x.True(x.longestGap <= tt.maxGap)
			}
			x.True(x.writes <= tt.maxWrites)
			x.runFor(began.Add(maxEvacuation).Sub(x.now))
			x.Equal(x.perServer[""], 0)
			x.runFor(4 * clock.Second)
			x.Equal(x.perServer[""], 0)
			x.Equal(x.owned("south"), 0) // none is granted back
			x.assigner.SetEvacuated(nil)
			clear(x.silent)
			x.runFor(20 * clock.Second)
			x.True(x.owned("south") > 0) // its servers get ranges again
		})
	}
}

// Guards against ranges that keep their evacuated servers, or are without an owner
// for long, because the assigner was lost halfway through the evacuation.
func TestAssignerLostInEvacuation(t *testing.T) {
	list := sites(30)
	x := newEvacuationRun(t, divided(list, 8), list)
	x.runFor(3 * clock.Second)
	x.assigner.SetEvacuated([]keys.DataCentre{"south"})
	x.runFor(300)
	left := x.owned("south")
	x.True(left > 0 && left < 80)
	rec := x.assigner.Record()
	rec.Term++
	y := newEvacuationRun(t, rec, list, "south")
	y.step()
	for y.owned("south")+y.perServer[""] > 0 {
		y.step()
		y.True(y.now < 4000) // 3 s after the takeover
	}
	y.True(y.longestGap <= 350)
	t.Logf("next assigner: longest gap %d ms", y.longestGap)
}

// Guards against an evacuation that releases all ranges while the store doesn't
// respond: those that are released have no owner until it does.
func TestStoreLostInEvacuation(t *testing.T) {
	list := sites(60)
	x := newEvacuationRun(t, divided(list, 10), list)
	x.runFor(3 * clock.Second)
	x.storeDown = true
	x.assigner.SetEvacuated([]keys.DataCentre{"south"})
	x.runFor(3 * clock.Second)
	x.True(x.perServer[""] <= 200/2)
	x.True(x.owned("south") >= 200/2)
	x.storeDown = false
	x.runFor(2500)
	x.Equal(x.owned("south"), 0)
	x.Equal(x.perServer[""], 0)
}

// Guards against keys without a server when every server of their service is
// evacuated, and against a range that its only server can't get back.
func TestNowhereToEvacuateTo(t *testing.T) {
	list := sites(3)
	x := newEvacuationRun(t, divided(list, 4), list)
	x.runFor(3 * clock.Second)
	x.assigner.SetEvacuated([]keys.DataCentre{"north", "south", "west"})
	x.runFor(2 * clock.Second)
	x.Equal(x.perServer[""], 0)
	x.assigner.SetEvacuated([]keys.DataCentre{"south", "west"})
	x.runFor(2 * clock.Second)
	x.Equal(x.owned("north"), 12)
	x.assigner.SetEvacuated([]keys.DataCentre{"south"})
	x.runFor(8 * clock.Second)
	x.Equal(x.perServer[""], 0)
	x.True(x.owned("west") > 0)

	// The other server is lost while ranges are released to it.
	list = sites(2)
	y := newEvacuationRun(t, divided(list, 2), list)
	y.runFor(3 * clock.Second)
	y.assigner.SetEvacuated([]keys.DataCentre{"south"})
	y.runFor(60)
	y.send(y.assigner.SetServers(y.now, []keys.Service{svc}, list[1:]))
	y.runFor(8 * clock.Second)
	y.True(y.perServer[""] > 0)
	y.assigner.SetEvacuated(nil)
	y.runFor(clock.Second)
	y.Equal(y.perServer[""], 0)
}

// Guards against servers that get no ranges after their evacuation because one key has
// most of the load: the ranges of that key's server can't be divided.
func TestRangesReturnBesideHotKey(t *testing.T) {
	list := sites(30)
	x := newEvacuationRun(t, divided(list, 1), list)
	runLoaded := func(d clock.Span) {
		for end := x.now.Add(d); x.now < end; {
			x.assigner.AddLoads(x.now, svc, []KeyLoad{{Key: 9973, Time: 30}})
			x.step()
		}
	}
	runLoaded(3 * clock.Second)
	x.assigner.SetEvacuated([]keys.DataCentre{"south"})
	runLoaded(8 * clock.Second)
	x.Equal(x.owned("south"), 0)
	x.assigner.SetEvacuated(nil)
	runLoaded(15 * clock.Second)
	with := 0
	for id := range x.perServer {
		if id != "" && x.assigner.servers[id].DC == "south" {
			with++
		}
	}
	x.Equal(with, 10)
}
