package front

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/epoch"
	"github.com/laburnummux/laburnummux/internal/mesh"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// maxHeartbeatInterval is the longest time between two heartbeats.
	maxHeartbeatInterval = 150 * time.Millisecond
	// minHeartbeatInterval is the shortest time between two heartbeats. It
	// bounds the number of datagrams under load.
	minHeartbeatInterval = 8 * time.Millisecond
	// reportInterval is the period of reports to the assigner.
	reportInterval = 250 * time.Millisecond
	// minGossipInterval is the shortest period of heartbeats that list other
	// hosts. gossipIntervalPerHost is that period for each known host.
	minGossipInterval     = time.Second
	gossipIntervalPerHost = 100 * time.Millisecond
	// suspectInterval is the period in which a host sends the list of requests
	// that may crash servers.
	suspectInterval = time.Second
	// discoverInterval is the period in which a host without enough live hosts
	// reads the hosts' addresses from the store.
	discoverInterval = 3 * time.Second
)

// sendHeartbeats sends heartbeats and reports periodically, and a heartbeat at
// once after a change.
func (h *Host) sendHeartbeats(ctx context.Context) error {
	var seq uint64
	var lastReport, lastGossip, lastSuspects time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.heartbeatDue:
		case <-time.After(maxHeartbeatInterval):
		}
		seq++
		gossip := time.Since(lastGossip) >= h.members.gossipInterval()
		if h.sendHeartbeat(seq, gossip) && gossip {
			lastGossip = time.Now()
		}
		if time.Since(lastReport) >= reportInterval {
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
func (h *Host) sendHeartbeat(seq uint64, gossip bool) bool {
	now := h.clock.Now()
	s := h.cfg.Settings
	b := mesh.Heartbeat{From: s.Host, Incarnation: h.incarnation, Seq: seq, IP: s.IP, DC: s.DC, Cores: s.Cores, Leaving: h.leaving.Load(), Term: h.role.term()}
	var servers epoch.Revision
	b.ConfigVersion, servers, b.ConfirmationAge = h.snapshotVersions(now)
	b.ServersRev, b.ServersEpoch = servers.Number(), servers.Epoch()
	// Other hosts take over if the assigner, or a host that watches the store,
	// sends no heartbeats.
	priority := b.Term > 0 || b.ConfirmationAge >= 0 && h.shouldWatch()
	to := h.members.heartbeatTargets(now, priority)
	if len(to) == 0 {
		return false
	}
	var inFlight map[keys.Server]int
	inFlight, b.Queued = h.relay.LocalLoad()
	b.InFlight = make(map[mesh.ServerHash]int, len(inFlight))
	for id, n := range inFlight {
		b.InFlight[mesh.HashServer(id)] = n
	}
	b.LeavingServers = h.relay.LeavingServers()
	h.members.mu.Lock()
	if gossip {
		b.Members = h.members.gossipSample(now)
	}
	b.TablesTerm, b.TablesVersion = h.members.oldestTableVersion()
	h.relay.SetHosts(len(h.members.all) + 1)
	h.members.mu.Unlock()
	h.send(to, mesh.Message{Heartbeat: &b})
	return true
}

// sendSuspects sends the list of requests that may crash servers to the other
// hosts.
func (h *Host) sendSuspects() {
	if list := h.relay.Suspects(); len(list) > 0 {
		h.send(h.members.activeAddrs(h.clock.Now()), mesh.Message{Suspects: list})
	}
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
	return h.mesh.Run(ctx, h.handleMessage, h.logDecodeError)
}

func (h *Host) logDecodeError(err error) {
	h.log.Warn("dropping malformed message of another host", zap.Error(err))
}

func (h *Host) handleMessage(msg mesh.Message) {
	if b := msg.Heartbeat; b != nil {
		if now := h.clock.Now(); h.members.handleHeartbeat(now, b) && h.members.sendsMemberList(now) {
			h.send([]string{b.IP}, mesh.Message{Members: h.members.active(now)})
		}
		h.relay.ServersLeave(b.LeavingServers)
		h.relay.SetPeerLoad(b.From, h.resolveHashes(b.InFlight), b.Queued)
		h.checkSnapshots()
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

// join registers this host in the store, again after a restore of the store, and
// reads the other hosts' addresses there while too few of them are alive: the seeds
// in the settings may be stale.
func (h *Host) join(ctx context.Context) error {
	registered, registeredIn := false, uint64(0)
	for {
		if !registered || h.knownEpoch() > registeredIn {
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
