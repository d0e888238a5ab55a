package front

import (
	"context"
	"fmt"
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
	// maxSuspectTargets is how many hosts it sends the list to. They pass it on, so
	// that all hosts have it after a few periods.
	maxSuspectTargets = 24
	// registrationDelay is how long a new process waits for heartbeats of other hosts,
	// which tell whether it has to register.
	registrationDelay = 300 * time.Millisecond
	// discoverInterval is the period in which a host without enough live hosts
	// reads the hosts' addresses from the store.
	discoverInterval = 3 * time.Second
)

// sendHeartbeats sends heartbeats and reports periodically, and a heartbeat at
// once after a change.
func (h *Host) sendHeartbeats(ctx context.Context) error {
	var seq uint64
	var lastReport, lastGossip, lastSuspects, lastReach time.Time
	var reach mesh.Reach
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.heartbeatDue:
		case <-time.After(maxHeartbeatInterval):
		}
		seq++
		if time.Since(lastReach) >= reachInterval {
			lastReach = time.Now()
			reach = h.currentReach()
			h.updateGroup()
		}
		gossip := time.Since(lastGossip) >= h.members.gossipInterval()
		if h.sendHeartbeat(seq, reach, gossip) && gossip {
			lastGossip = time.Now()
		}
		if time.Since(lastReport) >= h.members.reportInterval() {
			lastReport = time.Now()
			h.sendReport()
		}
		if time.Since(lastSuspects) >= suspectInterval {
			lastSuspects = time.Now()
			h.sendSuspects()
		}
		h.expireServers()
		time.Sleep(minHeartbeatInterval)
	}
}

// expireServers removes the servers whose grace period has ended.
func (h *Host) expireServers() {
	h.mu.Lock()
	changed := h.fleet.Expire(h.clock.Now())
	h.mu.Unlock()
	if changed {
		h.publishServers()
	}
}

// sendHeartbeat sends a heartbeat to the hosts that are due for one. It reports
// whether there were any.
func (h *Host) sendHeartbeat(seq uint64, reach mesh.Reach, gossip bool) bool {
	now := h.clock.Now()
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
	b = mesh.Heartbeat{From: s.Host, Incarnation: h.incarnation, Seq: seq, IP: s.IP, DC: s.DC, Cores: s.Cores, Leaving: h.leaving.Load(), Term: h.role.term(), Reach: reach}
	var servers epoch.Revision
	b.ConfigVersion, servers, b.ConfirmationAge = h.snapshotVersions(now)
	b.ServersRev, b.ServersEpoch = servers.Number(), servers.Epoch()
	b.LeavingServers = h.relay.LeavingServers()
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
	if list := h.relay.Suspects(); len(list) > 0 {
		h.send(sample(h.members.activeAddrs(h.clock.Now()), maxSuspectTargets), mesh.Message{Suspects: list})
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

// receive handles the messages of other hosts.
func (h *Host) receive(ctx context.Context) error {
	return h.mesh.Run(ctx, h.handlePacket, h.logDecodeError)
}

// handlePacket handles a message if it comes from where it says, and from a host
// that is known unless it says who the sender is.
func (h *Host) handlePacket(p mesh.Packet) {
	msg, ip := p.Message, p.From.String()
	h.metrics.mesh.CountReceived(msg.Kind(), p.Bytes)
	switch b := msg.Heartbeat; {
	case b != nil && b.IP != ip:
		h.logDropped(mesh.Foreign, fmt.Errorf("heartbeat of %s at %s comes from %s", b.From, b.IP, ip))
	case b == nil && !h.members.isAddr(ip):
		h.logDropped(mesh.Foreign, fmt.Errorf("%s from %s, which is no known host", msg.Kind(), ip))
	default:
		h.handleMessage(msg)
	}
}

// dropLogInterval is the shortest time between two log lines about dropped
// messages.
const dropLogInterval = time.Second

func (h *Host) logDecodeError(err error) { h.logDropped(mesh.Malformed, err) }

// logDropped counts a dropped message and logs it at a bounded rate. It is called by
// the goroutine that receives messages.
func (h *Host) logDropped(why mesh.Drop, err error) {
	h.metrics.mesh.CountDropped(why)
	h.dropped.count++
	if time.Since(h.dropped.loggedAt) < dropLogInterval {
		return
	}
	h.log.Warn("dropping messages", zap.Stringer("why", why), zap.Int("count", h.dropped.count), zap.NamedError("last", err))
	h.dropped = droppedMessages{loggedAt: time.Now()}
}

// droppedMessages are the messages that were dropped since the last log line.
type droppedMessages struct {
	loggedAt time.Time
	count    int
}

func (h *Host) handleMessage(msg mesh.Message) {
	if b := msg.Heartbeat; b != nil {
		h.handleHeartbeat(b)
	}
	if len(msg.Members) > 0 {
		h.members.addAll(h.clock.Now(), msg.Members)
		h.triggerHeartbeat() // adds this host to the member lists of the listed hosts
	}
	if len(msg.Suspects) > 0 {
		h.relay.ImportSuspects(msg.Suspects)
	}
	if msg.Report != nil {
		h.role.addReport(msg.Report)
	}
	if len(msg.Tables) > 0 {
		h.applyTables(msg.Tables)
	}
}

// handleHeartbeat applies a heartbeat of another host.
func (h *Host) handleHeartbeat(b *mesh.Heartbeat) {
	now := h.clock.Now()
	if h.members.handleHeartbeat(now, b) && h.members.sendsMemberList(now) {
		h.send([]string{b.IP}, mesh.Message{Members: h.members.active(now)})
	}
	h.relay.ServersLeave(b.LeavingServers)
	if !b.NoLoad {
		h.relay.SetPeerLoad(b.From, h.resolveHashes(b.InFlight), b.Queued)
	}
	h.checkSnapshot(now, b.From)
}

// resolveHashes replaces server hashes by server names. It leaves out unknown
// servers.
func (h *Host) resolveHashes(inFlight map[mesh.ServerHash]int) map[keys.Server]int {
	byHash := h.serverByHash.Load()
	if byHash == nil {
		return nil
	}
	out := make(map[keys.Server]int, len(inFlight))
	for hash, n := range inFlight {
		if id, ok := (*byHash)[hash]; ok {
			out[id] = n
		}
	}
	return out
}

// join registers this host in the store if it stands by for roles, again after a
// restore of the store, and reads the other hosts' addresses there while too few of
// them are alive: the seeds in the settings may be stale. A host that finds one of the
// registered hosts learns of the others from it.
func (h *Host) join(ctx context.Context) error {
	registered, registeredIn := false, uint64(0)
	sleep(ctx, registrationDelay)
	for {
		mayAct := h.members.isStandby(h.clock.Now()) || h.role.term() > 0
		if mayAct && (!registered || h.knownEpoch() > registeredIn) {
			storeEpoch, err := h.cfg.Store.PutHost(ctx, h.cfg.Settings.Host, h.cfg.Settings.IP)
			h.recordStoreResult(err)
			if err == nil {
				h.noteEpoch(storeEpoch)
				registered, registeredIn = true, storeEpoch
			}
		}
		if ms := h.members.membership(h.clock.Now()); ms.alive < 2 || !ms.majority {
			h.discoverHosts(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(discoverInterval):
		}
	}
}

// discoverHosts adds the hosts that are registered in the store.
func (h *Host) discoverHosts(ctx context.Context) {
	ips, err := h.cfg.Store.Hosts(ctx)
	h.recordStoreResult(err)
	if err != nil {
		return
	}
	h.members.mu.Lock()
	defer h.members.mu.Unlock()
	now := h.clock.Now()
	for name, ip := range ips {
		h.members.add(now, name, ip, "")
	}
}
