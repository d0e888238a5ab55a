package gossip

import (
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// groupHeartbeatTimeout is the time without a heartbeat after which a host
	// of the group doesn't count as live any more. In a group of 8 the
	// probability that a host gets no digest of another one is 5/7 per round,
	// which makes 5e-8 for 50 rounds.
	groupHeartbeatTimeout = 10 * clock.Second
	// heartbeatTimeoutPerHost is added to groupHeartbeatTimeout for each host of
	// the fleet. Under MaxRate a host receives about 12 new heartbeats/s of other
	// hosts (with 400 and with 3,900 hosts), mostly of its own data centre. With
	// 600 ms, 1.4% of 400 live hosts didn't count as live; with 1200 ms, 0.06%.
	heartbeatTimeoutPerHost = 1200 * clock.Millisecond
	// unlistedTimeout is how long a host may be missing from the platform's
	// list, which lags, and still count as live.
	unlistedTimeout = clock.Minute
	// peerRetention is how long a host without a listing and without heartbeats
	// is kept. Until then its incarnation serves to reject late heartbeats.
	peerRetention = 60 * clock.Minute
	// maxHosts limits the memory that forged heartbeats can use.
	maxHosts = 16384
	// maxRelayQueue is the number of newest heartbeats that stay in the relay
	// queue when it is cut, at twice this length.
	maxRelayQueue = 64
	// never stands for the time of the last heartbeat if there was none.
	never clock.Time = -1
)

// peer is the state of another host.
type peer struct {
	name          keys.Host
	dataCentre    int32 // index in hosts.dataCentres, or -1 if unknown
	relays        uint8 // digests that included the latest heartbeat
	listed        bool
	inGroup       bool
	leaving       bool // according to its heartbeat
	leavingListed bool // leaving according to the list
	incarnation   uint64
	count         uint64
	heartbeatAt   clock.Time // when its heartbeat last increased
	unlistedSince clock.Time // when it became known or was last removed from the list
}

type dataCentre struct {
	name  keys.DataCentre
	hosts []int32 // outside the group
}

// hosts has the state of the other hosts. Indices into peers are invalidated by
// prunePeers.
type hosts struct {
	peers       []peer
	index       map[keys.Host]int32
	group       []int32
	sameCentre  []int32 // hosts of this data centre outside the group
	dataCentres []dataCentre
	ranked      []ranked // hosts of this data centre in rendezvous order
	relayQueue  []int32  // hosts with a new heartbeat, newest last
	listedAt    clock.Time
}

func (h *hosts) groupNames() []keys.Host {
	names := make([]keys.Host, 0, len(h.group))
	for _, i := range h.group {
		names = append(names, h.peers[i].name)
	}
	return names
}

func (s *State) peerIndex(name keys.Host) int32 {
	h := &s.hosts
	if i, ok := h.index[name]; ok {
		return i
	}
	i := int32(len(h.peers))
	h.peers = append(h.peers, peer{name: name, dataCentre: -1, heartbeatAt: never, unlistedSince: s.now})
	h.index[name] = i
	return i
}

func (s *State) setGroup(names []keys.Host) {
	h := &s.hosts
	h.group = h.group[:0]
	for i := range h.peers {
		h.peers[i].inGroup = false
	}
	ownCentre := s.dataCentreIndex(s.cfg.DataCentre)
	for _, name := range names {
		if name == s.cfg.Host {
			continue
		}
		if i := s.peerIndex(name); !h.peers[i].inGroup {
			h.peers[i].inGroup, h.peers[i].dataCentre = true, ownCentre
			h.group = append(h.group, i)
		}
	}
	s.indexPeers()
}

func (s *State) dataCentreIndex(name keys.DataCentre) int32 {
	h := &s.hosts
	i := slices.IndexFunc(h.dataCentres, func(dc dataCentre) bool { return dc.name == name })
	if i < 0 {
		i = len(h.dataCentres)
		h.dataCentres = append(h.dataCentres, dataCentre{name: name})
	}
	return int32(i)
}

func (s *State) setMembers(members []Member) {
	h := &s.hosts
	h.listedAt = s.now
	wasListed := make([]bool, len(h.peers))
	for i := range h.peers {
		wasListed[i] = h.peers[i].listed
		h.peers[i].listed, h.peers[i].leavingListed = false, false
	}
	for _, m := range members {
		if m.Host == s.cfg.Host {
			continue
		}
		p := &h.peers[s.peerIndex(m.Host)]
		p.listed, p.leavingListed, p.dataCentre = true, m.Leaving, s.dataCentreIndex(m.DataCentre)
	}
	for i := range wasListed {
		if wasListed[i] && !h.peers[i].listed {
			h.peers[i].unlistedSince = s.now
		}
	}
	s.prunePeers()
	s.indexPeers()
}

// prunePeers removes hosts that have been unlisted and without a heartbeat for
// longer than peerRetention.
func (s *State) prunePeers() {
	h := &s.hosts
	expired := func(p peer) bool {
		return !p.listed && !p.inGroup && s.now.Sub(max(p.heartbeatAt, p.unlistedSince)) > peerRetention
	}
	if !slices.ContainsFunc(h.peers, expired) {
		return
	}
	h.peers = slices.DeleteFunc(h.peers, expired)
	clear(h.index)
	h.group, h.relayQueue = h.group[:0], h.relayQueue[:0]
	for i, p := range h.peers {
		h.index[p.name] = int32(i)
		if p.inGroup {
			h.group = append(h.group, int32(i))
		}
	}
}

// indexPeers groups the hosts by data centre for the choice of targets and of
// watchers.
func (s *State) indexPeers() {
	h := &s.hosts
	ownCentre := s.dataCentreIndex(s.cfg.DataCentre)
	h.sameCentre, h.ranked = h.sameCentre[:0], h.ranked[:0]
	for i := range h.dataCentres {
		h.dataCentres[i].hosts = h.dataCentres[i].hosts[:0]
	}
	for i, p := range h.peers {
		if p.dataCentre < 0 || !p.listed && !p.inGroup {
			continue
		}
		if p.dataCentre == ownCentre {
			h.ranked = append(h.ranked, rank(s.cfg.DataCentre, p.name, int32(i)))
		}
		switch {
		case p.inGroup:
		case p.dataCentre == ownCentre:
			h.sameCentre = append(h.sameCentre, int32(i))
		default:
			c := &h.dataCentres[p.dataCentre]
			c.hosts = append(c.hosts, int32(i))
		}
	}
	slices.SortFunc(h.ranked, ranked.compare)
}

func (s *State) handleDigest(ev DigestReceived) {
	d := ev.Digest
	s.updateHeartbeat(Heartbeat{Host: ev.From, Incarnation: ev.Incarnation, Count: d.Count, Leaving: d.Leaving}, true)
	for _, hb := range d.Heartbeats {
		s.updateHeartbeat(hb, true)
	}
	s.addSource(ev.From, d.Revision)
	if d.Revision < s.revision {
		s.sendExtraDigest(ev.From) // an outdated host needn't wait for the next round
	}
}

// updateHeartbeat records a heartbeat if it is newer than the recorded one, and
// queues it for digests if relay is set. A heartbeat of a FetchResponse may be
// old and isn't relayed.
func (s *State) updateHeartbeat(hb Heartbeat, relay bool) {
	h := &s.hosts
	if hb.Host == s.cfg.Host {
		if hb.Incarnation > s.cfg.Incarnation {
			s.emit(Superseded{Incarnation: hb.Incarnation})
		}
		return
	}
	if _, ok := h.index[hb.Host]; !ok && len(h.peers) >= maxHosts {
		return
	}
	i := s.peerIndex(hb.Host)
	p := &h.peers[i]
	if hb.Incarnation < p.incarnation || hb.Incarnation == p.incarnation && hb.Count <= p.count && p.heartbeatAt != never {
		return
	}
	p.incarnation, p.count, p.leaving, p.heartbeatAt, p.relays = hb.Incarnation, hb.Count, hb.Leaving, s.now, 0
	if !relay {
		return
	}
	if len(h.relayQueue) == 2*maxRelayQueue {
		h.relayQueue = h.relayQueue[:copy(h.relayQueue, h.relayQueue[maxRelayQueue:])]
	}
	h.relayQueue = append(h.relayQueue, i)
}

// heartbeatTimeout returns the time without a heartbeat after which a host
// outside the group doesn't count as live any more.
func (s *State) heartbeatTimeout() clock.Span {
	return groupHeartbeatTimeout + heartbeatTimeoutPerHost*clock.Span(len(s.hosts.peers)+1)
}

func (s *State) isLive(p *peer) bool {
	timeout := groupHeartbeatTimeout
	if !p.inGroup {
		timeout = s.heartbeatTimeout()
	}
	if p.heartbeatAt == never || s.now.Sub(p.heartbeatAt) > timeout {
		return false
	}
	// The time is taken from the last list: while lists don't arrive, a host with
	// heartbeats counts as live.
	return p.listed || s.hosts.listedAt.Sub(p.unlistedSince) <= unlistedTimeout
}

// Live returns the hosts that are live and not leaving at the time of the last
// event, sorted, including this host unless it is leaving.
func (s *State) Live() []keys.Host {
	var names []keys.Host
	if !s.leaving {
		names = append(names, s.cfg.Host)
	}
	for i := range s.hosts.peers {
		if p := &s.hosts.peers[i]; !p.leaving && !p.leavingListed && s.isLive(p) {
			names = append(names, p.name)
		}
	}
	slices.Sort(names)
	return names
}

// Heartbeats returns the heartbeats of this host and of all hosts that count as
// live.
func (s *State) Heartbeats() []Heartbeat {
	heartbeats := []Heartbeat{{Host: s.cfg.Host, Incarnation: s.cfg.Incarnation, Count: s.heartbeatCount, Leaving: s.leaving}}
	for i := range s.hosts.peers {
		if p := &s.hosts.peers[i]; s.isLive(p) {
			heartbeats = append(heartbeats, p.heartbeat())
		}
	}
	return heartbeats
}

func (p *peer) heartbeat() Heartbeat {
	return Heartbeat{Host: p.name, Incarnation: p.incarnation, Count: p.count, Leaving: p.leaving}
}
