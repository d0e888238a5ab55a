package front

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/mesh"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// fleetSim simulates the heartbeats of hosts without a network. Datagrams arrive in
// the same step.
type fleetSim struct {
	hosts []*simHost
	byIP  map[string]*simHost
	now   clock.Time
	// tablesTerm and tablesVersion are those of the tables that all hosts have.
	tablesTerm, tablesVersion uint64
}

// simHost is a simulated host.
type simHost struct {
	*members
	next           mesh.Reach
	down           bool
	old            bool // of a version without groups
	sent, received int
	noLoad         int // heartbeats received without load
}

// newFleetSim returns hosts in data centres of equal size that know each other. The
// first of each data centre has more cores.
func newFleetSim(n, dcs int) *fleetSim {
	f := &fleetSim{byIP: make(map[string]*simHost), now: 1000}
	for i := range n {
		cores := 0.16
		if i < 3*dcs {
			cores = 0.8
		}
		h := &simHost{members: newMembers(Settings{
			Host: keys.Host(fmt.Sprintf("host-%04d", i)), IP: fmt.Sprintf("10.%d.%d.1", i/200, i%200), DC: keys.DataCentre(fmt.Sprintf("dc-%d", i%dcs)), Cores: cores,
		})}
		f.hosts = append(f.hosts, h)
		f.byIP[h.ip] = h
	}
	for _, h := range f.hosts {
		for _, o := range f.hosts {
			h.add(f.now, o.self, o.ip, o.dc)
		}
	}
	return f
}

// run advances the simulation by a time, in steps of 20 ms.
func (f *fleetSim) run(d clock.Span) {
	for end := f.now.Add(d); f.now.Before(end); f.now += 20 {
		for _, h := range f.hosts {
			if h.down {
				continue
			}
			if f.now%100 == 0 {
				watcher, _ := h.watchState(f.now)
				h.next = h.reachOf(f.now, watcher && f.now > 1100)
			}
			for _, b := range h.heartbeatTargets(f.now, h.next) {
				f.send(h, b, h.next)
			}
		}
	}
}

func (f *fleetSim) send(h *simHost, b batch, reach mesh.Reach) {
	msg := &mesh.Heartbeat{From: h.self, Incarnation: 1, IP: h.ip, DC: h.dc, Cores: h.cores, ConfirmationAge: -1, Interval: b.interval, Reach: reach, NoLoad: b.relation != near,
		TablesTerm: f.tablesTerm, TablesVersion: f.tablesVersion}
	known := *msg // what a host without groups sends, or reads of it
	known.Interval, known.Reach = 0, 0
	if h.old {
		msg = &known
	}
	for _, ip := range b.ips {
		h.sent++
		if to := f.byIP[ip]; !to.down {
			to.received++
			if msg.NoLoad {
				to.noLoad++
			}
			if to.old {
				to.handleHeartbeat(f.now, &known)
				continue
			}
			to.handleHeartbeat(f.now, msg)
		}
	}
}

// Guards against heartbeats that grow with the number of hosts. All of 295 hosts
// sent each other their load, and most of their processor time went to heartbeats.
func TestHeartbeatsPerHost(t *testing.T) {
	const length = 4 * clock.Second
	mean := func(n, dcs int) (perSecond float64, most int) {
		f := newFleetSim(n, dcs)
		f.run(3 * clock.Second)
		for _, h := range f.hosts {
			h.sent, h.received = 0, 0
		}
		f.run(length)
		for _, h := range f.hosts {
			perSecond += float64(h.sent) / float64(n) / (float64(length) / 1000)
			most = max(most, h.sent)
		}
		return perSecond, most * 1000 / int(length)
	}
	is := is.New(t)
	grown, mostGrown := mean(91, 3)
	large, mostLarge := mean(295, 5)
	t.Logf("datagrams/s a host: 91 hosts %.0f, at most %d; 295 hosts %.0f, at most %d", grown, mostGrown, large, mostLarge)
	is.True(large < 1.3*grown)
}

// All hosts must come to the same groups, each of at most groupSize hosts, and one
// group if the data centre has few hosts. A host that joins must change few groups.
func TestGroups(t *testing.T) {
	tests := []struct {
		hosts, groups, most int
	}{
		{1, 1, 1}, {4, 1, 4}, {maxUngroupedHosts, 1, maxUngroupedHosts}, {13, 2, 7}, {26, 4, 7}, {59, 8, 8}, {65, 16, 5}, {780, 128, 7},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.hosts), func(t *testing.T) {
			is := is.New(t)
			var dc []keys.Host
			for i := range tt.hosts {
				dc = append(dc, keys.Host(fmt.Sprintf("h%03d", i*7%tt.hosts)))
			}
			is.True(tt.hosts%7 != 0) // names repeat
			sizes := make(map[int]int)
			for _, h := range dc {
				g := groupOf(h, append([]keys.Host(nil), dc...))
				is.Equal(g.count, tt.groups)
				is.True(g.has(h))
				sizes[g.number]++
				for o := range g.hosts {
					is.Equal(groupOf(o, append([]keys.Host(nil), dc...)).number, g.number)
				}
			}
			is.Equal(len(sizes), tt.groups)
			for _, n := range sizes {
				is.True(n <= tt.most && n >= tt.most-1)
			}
		})
	}
}

// Guards against live hosts that count as ended because they send few heartbeats,
// against ended ones that count as alive, and against a host of a data centre that
// isn't replaced as its first one after the first ones have ended together.
func TestLivenessAcrossGroups(t *testing.T) {
	is := is.New(t)
	f := newFleetSim(165, 3)
	f.run(6 * clock.Second)
	for _, h := range f.hosts {
		s := h.membership(f.now)
		is.Equal(s.alive, 165)
		is.True(s.majority)
	}
	firsts := func() (n int) {
		for _, h := range f.hosts {
			if !h.down && h.isFirstInDC(f.now) {
				n++
			}
		}
		return n
	}
	is.Equal(firsts(), 3)
	for _, h := range f.hosts[:9] {
		h.down = true // all hosts with more cores
	}
	f.run(aliveTimeout + 200)
	is.Equal(firsts(), 3)
	f.run(22 * clock.Second)
	for _, h := range f.hosts[9:] {
		is.Equal(h.membership(f.now).alive, 156)
	}
	// A host that receives nothing must notice that it is cut off at once, not when
	// the distant hosts' next heartbeats are overdue.
	cut := f.hosts[20]
	is.True(cut.membership(f.now).majority)
	is.True(!cut.membership(f.now.Add(aliveTimeout + 100)).majority)
}

// Hosts of the version without groups expect several heartbeats a second with load
// from every host, and must get them while hosts are replaced one by one.
func TestHostsWithoutGroups(t *testing.T) {
	is := is.New(t)
	f := newFleetSim(150, 3)
	for _, h := range f.hosts[:10] {
		h.old = true
	}
	f.run(22 * clock.Second)
	for _, h := range f.hosts[:10] {
		h.noLoad = 0
	}
	for range 10 {
		f.run(clock.Second)
		for _, h := range f.hosts[:10] {
			for _, m := range h.all {
				is.True(f.now.Sub(m.lastHeartbeat) < aliveTimeout)
			}
			is.Equal(h.noLoad, 0)
		}
	}
}

// Guards against a data centre that learns of a newer snapshot only with the next
// regular heartbeat of its first host.
func TestAnnounceSnapshot(t *testing.T) {
	is := is.New(t)
	f := newFleetSim(150, 5)
	f.run(3 * clock.Second)
	head := f.hosts[4] // the first of its data centre, which has no watcher
	is.Equal(head.reach, mesh.ReachDC)
	head.heartbeatTargets(f.now, head.next) // what is due anyway
	head.announce(f.now)
	told := make(map[string]bool)
	for _, b := range head.heartbeatTargets(f.now, head.next) {
		for _, ip := range b.ips {
			told[ip] = true
		}
	}
	for _, h := range f.hosts {
		if h.dc == head.dc && h != head && !head.group.has(h.self) {
			is.True(told[h.ip])
		}
		is.True(h.dc == head.dc || !told[h.ip])
	}
}

// Guards against complete tables that are sent to hosts which have the latest one and
// haven't had the time to say so: the assigner of 295 hosts sent several MB/s.
func TestTablesAreAcknowledgedInTime(t *testing.T) {
	is := is.New(t)
	f := newFleetSim(150, 5)
	f.run(3 * clock.Second)
	assigner := f.hosts[0]
	is.Equal(assigner.reach, mesh.ReachAll)
	f.tablesTerm, f.tablesVersion = 1, 7 // all hosts have got it now
	assigner.markTablesSent(f.now)
	sentAt := f.now
	for f.now.Sub(sentAt) <= assigner.tableAckTimeout() {
		f.run(20)
	}
	is.Equal(len(assigner.outdatedAddrs(f.now, 1, 7)), 0)
}
