package front

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/epoch"
	"github.com/laburnummux/laburnummux/internal/mesh"
	"github.com/laburnummux/laburnummux/internal/place"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// maxHeartbeatInterval is the longest time between two heartbeats.
	maxHeartbeatInterval = 150 * time.Millisecond
	// minHeartbeatInterval is the shortest time between two heartbeats. It
	// bounds the number of datagrams under load.
	minHeartbeatInterval = 8 * time.Millisecond
	// minReportInterval is the shortest period of reports to the assigner.
	// reportIntervalPerHost is that period for each known host, so that the assigner
	// receives no more of them in larger deployments.
	minReportInterval     = 250 * time.Millisecond
	reportIntervalPerHost = 2500 * time.Microsecond
	// reachInterval is the period in which a host determines its reach and its
	// group.
	reachInterval = 50 * time.Millisecond
	// minGossipInterval is the shortest period of heartbeats that list other
	// hosts. gossipIntervalPerHost is that period for each known host.
	minGossipInterval     = time.Second
	gossipIntervalPerHost = 100 * time.Millisecond
	// suspectInterval is the period in which a host sends the list of requests
	// that may crash servers.
	suspectInterval = time.Second
	// suspectChangeInterval is the shortest period after a change. A frequent request
	// crashes many servers within suspectInterval, at a different host each time.
	suspectChangeInterval = 250 * time.Millisecond
	// maxSuspectReceivers is how many hosts it sends the list to. They pass it on, so
	// that all hosts have it after a few periods.
	maxSuspectReceivers = 24
)

// timer tells when a period has passed.
type timer struct{ last time.Time }

// due reports whether the period has passed since it was last due.
func (t *timer) due(period time.Duration) bool {
	if time.Since(t.last) < period {
		return false
	}
	t.last = time.Now()
	return true
}

// sendHeartbeats sends heartbeats and reports periodically, and a heartbeat at
// once after a change.
func (h *Host) sendHeartbeats(ctx context.Context) error {
	var report, suspects, standing, candidates timer
	var seq, sentChanges uint64
	var reach mesh.Reach
	var gossipAt time.Time // of the last heartbeat that lists other hosts
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.heartbeatDue:
		case <-time.After(maxHeartbeatInterval):
		}
		if standing.due(reachInterval) {
			reach = h.currentReach()
			h.updateGroup()
		}
		if candidates.due(candidatesInterval) {
			h.admission.updateAdmitters()
		}
		seq++
		gossip := time.Since(gossipAt) >= h.members.gossipInterval()
		if h.sendHeartbeat(seq, reach, gossip) && gossip {
			gossipAt = time.Now()
		}
		if report.due(h.members.reportInterval()) {
			h.sendReport()
		}
		changes := h.relay.SuspectChanges()
		if suspects.due(suspectInterval) || changes != sentChanges && suspects.due(suspectChangeInterval) {
			sentChanges = changes
			h.sendSuspects()
		}
		h.expireServers()
		time.Sleep(minHeartbeatInterval)
	}
}

// expireServers removes the servers whose grace period has ended.
func (h *Host) expireServers() {
	now := h.clock.Now()
	h.mu.Lock()
	h.roundsAt = [2]clock.Time{h.roundsAt[1], now}
	changed := h.fleet.Expire(now)
	h.mu.Unlock()
	if h.releaseServers() || changed {
		h.publishServers()
	}
}

// versions are those of a snapshot.
type versions struct {
	config  uint64
	servers epoch.Revision
	evac    epoch.Revision
}

// sendHeartbeat sends a heartbeat to the hosts that are due for one. It reports
// whether there were any.
func (h *Host) sendHeartbeat(seq uint64, reach mesh.Reach, gossip bool) bool {
	now := h.clock.Now()
	config, servers, _ := h.snapshotVersions(now)
	if v := (versions{config: config, servers: servers, evac: h.members.ownEvacRev()}); v != h.announced {
		h.announced = v
		h.members.announce(now)
	}
	batches := h.members.heartbeatTargets(now, reach)
	if len(batches) == 0 {
		return false
	}
	b := h.heartbeat(now, seq, reach, gossip)
	inFlight, queued := h.relay.LocalLoad()
	for _, t := range batches {
		b.Interval, b.NoLoad = t.interval, t.relation != near
		b.InFlight, b.Queued = nil, nil
		if !b.NoLoad {
			b.InFlight, b.Queued = hashServers(inFlight), queued
		}
		h.send(t.ips, mesh.Message{Heartbeat: &b})
	}
	return true
}

// heartbeat returns what this host's heartbeats tell to all hosts.
func (h *Host) heartbeat(now clock.Time, seq uint64, reach mesh.Reach, gossip bool) (b mesh.Heartbeat) {
	s := h.cfg.Settings
	b = mesh.Heartbeat{From: s.Host, Incarnation: h.incarnation, Seq: seq, IP: s.IP, DC: s.DC, Cores: s.Cores, Leaving: h.leaving.Load(), Term: h.role.term(), Reach: reach, Admits: true}
	var servers epoch.Revision
	b.ConfigVersion, servers, b.ConfirmationAge = h.snapshotVersions(now)
	b.ServersRev, b.ServersEpoch = servers.Number(), servers.Epoch()
	evac := h.members.ownEvacRev()
	b.EvacRev, b.EvacEpoch = evac.Number(), evac.Epoch()
	b.LeavingServers = h.relay.LeavingServers()
	b.GaveUpTerm = h.role.gaveUp()
	h.members.mu.Lock()
	defer h.members.mu.Unlock()
	if gossip {
		b.Members = h.members.gossipSample(now)
	}
	b.TablesTerm, b.TablesVersion = h.members.oldestTableVersion()
	return b
}

// hashServers returns requests in flight as heartbeats report them.
func hashServers(inFlight map[keys.Server]int) map[mesh.ServerHash]int {
	out := make(map[mesh.ServerHash]int, len(inFlight))
	for id, n := range inFlight {
		out[mesh.HashServer(id)] = n
	}
	return out
}

// currentReach returns how far this host's heartbeats have to be frequent. Other
// hosts take over if the assigner, or a host that watches the store, sends none.
func (h *Host) currentReach() mesh.Reach {
	now := h.clock.Now()
	_, _, age := h.snapshotVersions(now)
	return h.members.reachOf(now, h.role.term() > 0 || age >= 0 && h.shouldWatch())
}

// sendSuspects sends the list of requests that may crash servers to other hosts.
// They pass it on.
func (h *Host) sendSuspects() {
	if list, losses := h.relay.Suspects(); len(list) > 0 {
		h.send(sample(h.members.activeAddrs(h.clock.Now()), maxSuspectReceivers), mesh.Message{Suspects: list, Losses: losses})
	}
}

// sample returns a random selection of addresses.
func sample(ips []string, n int) []string {
	if len(ips) > n {
		rand.Shuffle(len(ips), func(i, j int) { ips[i], ips[j] = ips[j], ips[i] })
		ips = ips[:n]
	}
	return ips
}

// updateGroup passes the number of hosts and this host's group to the relay, and
// logs a change of the group.
func (h *Host) updateGroup() {
	h.relay.SetHosts(h.members.count())
	g := h.members.currentGroup()
	if g.number == h.group.number && g.count == h.group.count && len(g.hosts) == len(h.group.hosts) {
		return
	}
	if g.split() || h.group.split() {
		h.log.Info("hosts that exchange their load have changed: a host of the data centre has joined or left",
			zap.Int("group", g.number), zap.Int("groups", g.count), zap.Int("hosts", len(g.hosts)), zap.Int("before", len(h.group.hosts)))
	}
	h.group = g
	h.relay.SetShare(place.Share{Number: g.number, Count: g.count, Hosts: len(g.hosts)})
}

func (h *Host) send(ips []string, msg mesh.Message) {
	if len(ips) == 0 {
		return
	}
	data, err := mesh.Encode(msg)
	if err != nil {
		h.log.Error("cannot encode message to other hosts", zap.Error(err))
		return
	}
	h.metrics.mesh.CountSent(msg.Kind(), len(data), len(ips))
	for _, ip := range ips {
		if err := h.mesh.Send(ip, data); err != nil {
			h.log.Debug("cannot send message to another host", zap.Error(err))
		}
	}
}

// sendReport sends this host's observations to the assigner.
func (h *Host) sendReport() {
	loads, times := h.relay.TakeObservations()
	rep := mesh.Report{From: h.cfg.Settings.Host, KeyLoads: loads, ServiceTimes: times}
	if h.role.term() > 0 {
		h.role.addReport(&rep)
		return
	}
	if _, ip, _, _ := h.members.currentAssigner(); ip != "" && (len(loads) > 0 || len(times) > 0) {
		h.send([]string{ip}, mesh.Message{Report: &rep})
	}
}
