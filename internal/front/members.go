package front

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/epoch"
	"github.com/laburnummux/laburnummux/internal/mesh"
	"github.com/laburnummux/laburnummux/internal/owner"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// aliveTimeout is how long a host counts as alive after its last heartbeat.
	aliveTimeout = 1000 * clock.Millisecond
	// inactiveTimeout is how long after its last heartbeat a host counts as
	// inactive: it gets heartbeats at a lower rate and no other messages.
	inactiveTimeout = 3 * clock.Second
	// removeTimeout is the time without a heartbeat after which a host is
	// removed. It bounds how long a failed host uses up part of the retry budget.
	removeTimeout = 60 * clock.Second
	// minRemoteInterval is the shortest time between two heartbeats to a host in
	// another data centre.
	minRemoteInterval = 190 * clock.Millisecond
	// localIntervalPerHost and remoteIntervalPerHost are the times between two
	// heartbeats to a host in the same or in another data centre, per host of the
	// same or of the other data centres. They grow up to maxLocalInterval and
	// maxRemoteInterval, which must stay below aliveTimeout.
	localIntervalPerHost  = 3 * clock.Millisecond
	remoteIntervalPerHost = 25 * clock.Millisecond
	maxLocalInterval      = 150 * clock.Millisecond
	maxRemoteInterval     = 450 * clock.Millisecond
	// maxPriorityInterval is the longest time between two heartbeats of a
	// priority host (see heartbeatTargets) to a host in its data centre.
	maxPriorityInterval = 75 * clock.Millisecond
	// maxWatchingDCs is the number of data centres with a host that watches the
	// store. The second one continues while the first is partitioned.
	maxWatchingDCs = 2
	// maxGossipMembers is how many other hosts a heartbeat lists.
	maxGossipMembers = 8
)

// member is another host, with the state from its last heartbeat. Times are on
// the clock of this host.
type member struct {
	name            keys.Host
	ip              string
	incarnation     int64
	lastHeartbeat   clock.Time
	lastSeen        clock.Time // last heartbeat, or when another host first listed it
	lastSent        clock.Time
	leaving         bool
	roleTerm        uint64 // term of the assigner's role, or 0
	tablesTerm      uint64 // term of its tables
	tablesVersion   uint64
	tablesSentAt    clock.Time // when complete tables were last sent to it
	dc              keys.DataCentre
	configVersion   uint64
	serversRev      epoch.Revision // store revision of its list of servers
	fetchAfter      clock.Time     // earliest next fetch of its snapshot, after a failed one
	cores           float64
	confirmationAge clock.Span // at its last heartbeat; negative: the store has never confirmed its state
}

// members are the known other hosts, and the tables of key owners that were
// received from them.
type members struct {
	self  keys.Host
	dc    keys.DataCentre
	ip    string
	cores float64
	mu    sync.Mutex
	seeds []string
	all   map[keys.Host]*member

	tables         map[keys.Service]owner.Table
	assigner       keys.Host  // host whose heartbeat had the highest term
	maxTerm        uint64     // highest term of a heartbeat or table
	assignerTerm   uint64     // term of assigner
	assignerSeenAt clock.Time // time of its last heartbeat
}

func newMembers(s Settings) *members {
	return &members{self: s.Host, dc: s.DC, ip: s.IP, cores: s.Cores, seeds: s.Seeds, all: make(map[keys.Host]*member), tables: make(map[keys.Service]owner.Table)}
}

// add adds a host that another host or the store lists. ms.mu is held.
func (ms *members) add(now clock.Time, name keys.Host, ip string, dc keys.DataCentre) {
	if name == ms.self || ip == ms.ip || ip == "" {
		return
	}
	m := ms.all[name]
	if m == nil {
		ms.all[name] = &member{name: name, ip: ip, dc: dc, lastSeen: now, confirmationAge: -1}
		return
	}
	if now.Sub(m.lastHeartbeat) > inactiveTimeout {
		m.ip = ip // it may have been replaced at another address
	}
}

// handleHeartbeat updates the sender's state. It reports whether the heartbeat is
// the first of the sender's process.
func (ms *members) handleHeartbeat(now clock.Time, b *mesh.Heartbeat) (first bool) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if b.From == ms.self {
		return false
	}
	m := ms.all[b.From]
	if m == nil {
		m = &member{name: b.From}
		ms.all[b.From] = m
	}
	if b.Incarnation < m.incarnation && now.Sub(m.lastHeartbeat) < aliveTimeout {
		return false // late, from a previous process; after a longer gap its wall clock may have been set back instead
	}
	first = m.incarnation != b.Incarnation
	m.ip, m.incarnation, m.lastHeartbeat, m.lastSeen, m.leaving = b.IP, b.Incarnation, now, now, b.Leaving
	m.roleTerm, m.tablesTerm, m.tablesVersion = b.Term, b.TablesTerm, b.TablesVersion
	m.dc, m.configVersion, m.serversRev, m.confirmationAge, m.cores = b.DC, b.ConfigVersion, epoch.At(b.ServersEpoch, b.ServersRev), b.ConfirmationAge, b.Cores
	for _, o := range b.Members {
		ms.add(now, o.Host, o.IP, o.DC)
	}
	switch {
	case b.Term > 0 && b.Term >= ms.maxTerm:
		ms.assigner, ms.maxTerm, ms.assignerTerm, ms.assignerSeenAt = b.From, b.Term, b.Term, now
	case ms.assigner == b.From && b.Leaving:
		ms.assigner, ms.assignerSeenAt = "", 0 // it has given up the role
	}
	return first
}

// sendsMemberList reports whether this host sends the list of hosts to newly
// started ones: it is a seed, which they contact first, or the first host of its
// data centre.
func (ms *members) sendsMemberList(now clock.Time) bool {
	return slices.Contains(ms.seeds, ms.ip) || ms.isFirstInDC(now)
}

// active returns the hosts that aren't inactive.
func (ms *members) active(now clock.Time) (out []mesh.Member) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.activeLocked(now)
}

// addAll adds the hosts that another host lists.
func (ms *members) addAll(now clock.Time, list []mesh.Member) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, o := range list {
		ms.add(now, o.Host, o.IP, o.DC)
	}
}

// applyTable applies a table, or a change of one, if it is newer than the known
// one. It returns the complete table.
func (ms *members) applyTable(t owner.Table) (next owner.Table, ok bool) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if old, found := ms.tables[t.Service]; found || t.Base != 0 {
		t, ok = old.Apply(t)
		if !ok {
			return t, false
		}
	}
	ms.tables[t.Service] = t
	ms.maxTerm = max(ms.maxTerm, t.Term)
	return t, true
}

// oldestTableVersion returns the lowest term and version of the known tables.
// ms.mu is held.
func (ms *members) oldestTableVersion() (term, version uint64) {
	first := true
	for _, t := range ms.tables {
		if first || t.Term < term || t.Term == term && t.Version < version {
			term, version, first = t.Term, t.Version, false
		}
	}
	return term, version
}

// heartbeatTargets returns the addresses that are due for a heartbeat. Hosts in
// other data centres get fewer, as traffic between data centres is expensive and
// most requests stay in their own. Both rates fall with the number of hosts, so
// that the number of datagrams per host doesn't grow with it. Priority hosts,
// whose missing heartbeats make other hosts take over, keep a higher rate.
func (ms *members) heartbeatTargets(now clock.Time, priority bool) (ips []string) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	local := 0 // other hosts in this data centre
	for _, m := range ms.all {
		if m.dc == ms.dc {
			local++
		}
	}
	localInterval := min(localIntervalPerHost*clock.Span(local), maxLocalInterval)
	remoteInterval := min(max(minRemoteInterval, remoteIntervalPerHost*clock.Span(len(ms.all)-local)), maxRemoteInterval)
	if priority {
		localInterval, remoteInterval = min(localInterval, maxPriorityInterval), minRemoteInterval
	}
	known := make(map[string]bool, len(ms.all))
	for name, m := range ms.all {
		if now.Sub(m.lastSeen) > removeTimeout {
			delete(ms.all, name)
			continue
		}
		known[m.ip] = true
		interval := localInterval
		if m.dc != ms.dc {
			interval = remoteInterval
		}
		if now.Sub(m.lastHeartbeat) > inactiveTimeout {
			interval = clock.Second
		}
		if m.lastSent != 0 && now.Sub(m.lastSent) < interval {
			continue
		}
		m.lastSent = now
		ips = append(ips, m.ip)
	}
	for _, ip := range ms.seeds {
		if !known[ip] && ip != ms.ip {
			ips = append(ips, ip)
		}
	}
	return ips
}

// activeLocked is active with ms.mu held.
func (ms *members) activeLocked(now clock.Time) (out []mesh.Member) {
	for _, m := range ms.all {
		if now.Sub(m.lastHeartbeat) < inactiveTimeout && m.lastHeartbeat != 0 {
			out = append(out, mesh.Member{Host: m.name, IP: m.ip, DC: m.dc})
		}
	}
	return out
}

// gossipSample returns a random selection of active hosts to list in a
// heartbeat. ms.mu is held.
func (ms *members) gossipSample(now clock.Time) (out []mesh.Member) {
	out = ms.activeLocked(now)
	if len(out) > maxGossipMembers {
		slices.SortFunc(out, func(a, b mesh.Member) int { return cmp.Compare(a.Host, b.Host) })
		rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		out = out[:maxGossipMembers]
	}
	return out
}

// precedes reports whether another host has precedence over this one as assigner
// or watcher. Hosts with more cores come first, as some have little processor
// time; the name decides between equal ones.
func (ms *members) precedes(m *member) bool {
	return cmp.Or(cmp.Compare(m.cores, ms.cores), cmp.Compare(ms.self, m.name)) > 0
}

// membership is the state of the known hosts, for decisions about roles. Hosts
// that are leaving don't count.
type membership struct {
	rank     int  // number of live hosts with precedence over this one
	majority bool // more than half of the known hosts are alive
	alive    int  // including this host
	known    int  // including this host
}

func (ms *members) membership(now clock.Time) (s membership) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	s.alive, s.known = 1, 1
	for _, m := range ms.all {
		if m.leaving {
			continue
		}
		s.known++
		if m.lastHeartbeat == 0 || now.Sub(m.lastHeartbeat) > aliveTimeout {
			continue
		}
		s.alive++
		if ms.precedes(m) {
			s.rank++
		}
	}
	s.majority = 2*s.alive > s.known
	return s
}

// activeAddrs returns the addresses of the hosts that aren't inactive.
func (ms *members) activeAddrs(now clock.Time) (ips []string) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, m := range ms.all {
		if m.lastHeartbeat != 0 && now.Sub(m.lastHeartbeat) < inactiveTimeout {
			ips = append(ips, m.ip)
		}
	}
	return ips
}

// markTablesSent records that complete tables are being sent to all hosts.
func (ms *members) markTablesSent(now clock.Time) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, m := range ms.all {
		m.tablesSentAt = now
	}
}

// knownTables returns the known tables that are of a term or a later one.
func (ms *members) knownTables(term uint64) (tables []owner.Table) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, t := range ms.tables {
		if t.Term >= term {
			tables = append(tables, t)
		}
	}
	return tables
}

// noneActs reports whether each other known host has sent a heartbeat without the
// assigner's role after the given time, or has given the role up and is leaving.
func (ms *members) noneActs(after clock.Time) bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, m := range ms.all {
		if m.roleTerm > 0 || !m.leaving && m.lastHeartbeat <= after {
			return false
		}
	}
	return true
}

// currentAssigner returns the assigner, its address, the highest known term, and
// the time of the assigner's last heartbeat.
func (ms *members) currentAssigner() (name keys.Host, ip string, term uint64, seen clock.Time) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if m := ms.all[ms.assigner]; m != nil {
		ip = m.ip
	}
	return ms.assigner, ip, ms.maxTerm, ms.assignerSeenAt
}

// lastAssignerTerm returns the term of the last known assigner. Tables don't
// raise it, because a table can arrive before the first heartbeat of the assigner
// that sent it.
func (ms *members) lastAssignerTerm() uint64 {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.assignerTerm
}

func (ms *members) isKnown(name keys.Host) bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.all[name] != nil
}

// setAssigner records the assigner that the store names, unless a newer one is
// known.
func (ms *members) setAssigner(now clock.Time, name keys.Host, term uint64) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if term > ms.assignerTerm {
		ms.assigner, ms.maxTerm, ms.assignerTerm, ms.assignerSeenAt = name, max(term, ms.maxTerm), term, now
	}
}

// incarnationAfter returns the incarnation of a host if its last heartbeat came
// after the given time, else 0.
func (ms *members) incarnationAfter(name keys.Host, after clock.Time) int64 {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if m := ms.all[name]; m != nil && m.lastHeartbeat > after {
		return m.incarnation
	}
	return 0
}

// outdatedAddrs returns the addresses of active hosts that don't report the
// tables of a term in at least the given version, unless complete tables were
// sent to them less than tableAckTimeout ago. It records that complete tables are
// being sent to the returned hosts.
func (ms *members) outdatedAddrs(now clock.Time, term, version uint64) (ips []string) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, m := range ms.all {
		current := m.tablesTerm > term || m.tablesTerm == term && m.tablesVersion >= max(version, 1)
		if current || m.lastHeartbeat == 0 || now.Sub(m.lastHeartbeat) >= inactiveTimeout || m.tablesSentAt != 0 && now.Sub(m.tablesSentAt) < tableAckTimeout {
			continue
		}
		m.tablesSentAt = now
		ips = append(ips, m.ip)
	}
	return ips
}

// isFirstInDC reports whether no live host of the same data centre has precedence
// over this one.
func (ms *members) isFirstInDC(now clock.Time) bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, m := range ms.all {
		if m.lastHeartbeat != 0 && now.Sub(m.lastHeartbeat) <= aliveTimeout && !m.leaving && m.dc == ms.dc && ms.precedes(m) {
			return false
		}
	}
	return true
}

// gossipInterval returns the time between two heartbeats that list other hosts.
// It grows with the number of hosts, as these heartbeats are twice as long as
// the others.
func (ms *members) gossipInterval() time.Duration {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return max(minGossipInterval, time.Duration(len(ms.all))*gossipIntervalPerHost)
}

// watchState reports whether this host is a watcher, one of the hosts that watch
// the store: the first live host of each of the first maxWatchingDCs data
// centres. age is the lowest confirmation age of another live host, or -1 if
// none has one.
func (ms *members) watchState(now clock.Time) (watcher bool, age clock.Span) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	watcher, age = true, -1
	before := make(map[keys.DataCentre]bool)
	for _, m := range ms.all {
		if m.lastHeartbeat == 0 || now.Sub(m.lastHeartbeat) > aliveTimeout {
			continue
		}
		if !m.leaving {
			if m.dc == ms.dc && ms.precedes(m) {
				watcher = false
			}
			if m.dc < ms.dc {
				before[m.dc] = true
			}
		}
		if m.confirmationAge < 0 {
			continue
		}
		if a := m.confirmationAge + now.Sub(m.lastHeartbeat); age < 0 || a < age {
			age = a
		}
	}
	return watcher && len(before) < maxWatchingDCs, age
}

// newerSnapshotAddr returns the address of a live host with a newer snapshot,
// preferably in the same data centre, or "". local excludes the others.
func (ms *members) newerSnapshotAddr(now clock.Time, config uint64, servers epoch.Revision, local bool) (ip string) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, m := range ms.all {
		if m.lastHeartbeat == 0 || now.Sub(m.lastHeartbeat) > aliveTimeout || local && m.dc != ms.dc || now < m.fetchAfter {
			continue
		}
		if m.configVersion > config || servers.Before(peerRevision(m.serversRev.Epoch(), m.serversRev.Number(), servers)) {
			ip = m.ip
			if m.dc == ms.dc {
				return ip
			}
		}
	}
	return ip
}

// markUnreachable excludes a host from snapshot fetches for 1 s, after a failed
// one.
func (ms *members) markUnreachable(now clock.Time, ip string) {
	const pause = clock.Second
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, m := range ms.all {
		if m.ip == ip {
			m.fetchAfter = now.Add(pause)
		}
	}
}
