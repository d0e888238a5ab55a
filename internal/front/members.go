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
	// aliveTimeout is how long a host counts as alive after its last heartbeat, if
	// it sends several in that time. missedHeartbeats is the same in promised
	// intervals for hosts that send fewer.
	aliveTimeout     = 1000 * clock.Millisecond
	missedHeartbeats = 2.5
	// inactiveTimeout is how long after its last heartbeat a host counts as
	// inactive: it gets heartbeats at a lower rate and no other messages.
	inactiveTimeout = 3 * clock.Second
	// removeTimeout is the time without a heartbeat after which a host is
	// removed. It bounds how long a failed host uses up part of the retry budget.
	removeTimeout = 60 * clock.Second
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
	gaveUpTerm      uint64 // last term in which its process gave up the role, or 0
	tablesTerm      uint64 // term of its tables
	tablesVersion   uint64
	tablesSentAt    clock.Time // when complete tables were last sent to it
	dc              keys.DataCentre
	configVersion   uint64
	serversRev      epoch.Revision // store revision of its list of servers
	evacRev         epoch.Revision // store revision of its list of evacuated data centres
	fetchAfter      clock.Time     // earliest next fetch of its snapshot, after a failed one
	cores           float64
	confirmationAge clock.Span // at its last heartbeat; negative: the store has never confirmed its state
	interval        clock.Span // longest time until its next heartbeat, as it promised; 0: an earlier version
	reach           mesh.Reach
	admits          bool       // it acts as an admitter
	dueAt           clock.Time // next heartbeat to it
	sentAs          relation   // of the last heartbeat to it
	index           int        // in members.due
}

// lastsFor returns how long the host counts as alive after a heartbeat.
func (m *member) lastsFor() clock.Span {
	if m.interval <= maxRemoteInterval {
		return aliveTimeout
	}
	return max(aliveTimeout, clock.Span(missedHeartbeats*float64(m.interval)))
}

// alive reports whether the host's next heartbeat isn't overdue.
func (m *member) alive(now clock.Time) bool {
	return m.lastHeartbeat != 0 && now.Sub(m.lastHeartbeat) <= m.lastsFor()
}

// active reports whether the host gets messages other than heartbeats.
func (m *member) active(now clock.Time) bool {
	return m.lastHeartbeat != 0 && now.Sub(m.lastHeartbeat) < max(inactiveTimeout, m.lastsFor())
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
	addrs map[string]int // number of members at an address
	due   dueHeap        // all members by the time of the next heartbeat to them
	reach mesh.Reach     // of this host
	// listsFrom is from when on this host sends lists of hosts if it isn't a seed.
	listsFrom clock.Time

	local        int   // other hosts in this data centre
	group        group // of this host
	groupChanged bool  // the hosts of the data centre have changed

	candidatesChanged bool       // a host may have become, or ceased to be, a candidate
	candidatesAt      clock.Time // when they were last listed

	lastStanding standing
	standingAt   clock.Time // when it was determined

	evacuates bool           // evacuations are enabled
	evacRev   epoch.Revision // store revision of this host's list of evacuated data centres

	tables         map[keys.Service]owner.Table
	assigner       keys.Host  // host whose heartbeat had the highest term
	maxTerm        uint64     // highest term of a heartbeat or table
	assignerTerm   uint64     // term of assigner
	assignerSeenAt clock.Time // time of its last heartbeat
	vacatedAt      clock.Time // when an assigner last said that it gave up the role
}

func newMembers(s Settings) *members {
	return &members{self: s.Host, dc: s.DC, ip: s.IP, cores: s.Cores, seeds: s.Seeds, evacuates: s.evacuates(), all: make(map[keys.Host]*member), addrs: make(map[string]int), groupChanged: true, tables: make(map[keys.Service]owner.Table)}
}

// add adds a host that another host or the store lists. ms.mu is held.
func (ms *members) add(now clock.Time, name keys.Host, ip string, dc keys.DataCentre) {
	if name == ms.self || ip == ms.ip || ip == "" {
		return
	}
	m := ms.all[name]
	if m == nil {
		ms.insert(now, &member{name: name, ip: ip, dc: dc, lastSeen: now, confirmationAge: -1})
		return
	}
	if !m.active(now) {
		ms.setIP(m, ip) // it may have been replaced at another address
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
		m = &member{name: b.From, dc: b.DC}
		ms.insert(now, m)
	}
	if b.Incarnation < m.incarnation && now.Sub(m.lastHeartbeat) < aliveTimeout {
		return false // late, from a previous process; after a longer gap its wall clock may have been set back instead
	}
	first = m.incarnation != b.Incarnation
	ms.groupChanged = ms.groupChanged || m.dc != b.DC || m.leaving != b.Leaving
	ms.candidatesChanged = ms.candidatesChanged || m.leaving != b.Leaving || m.admits != b.Admits || m.dc != b.DC || m.ip != b.IP || !m.active(now)
	sooner := b.Reach > m.reach || !m.active(now)
	ms.setIP(m, b.IP)
	m.incarnation, m.lastHeartbeat, m.lastSeen, m.leaving, m.interval, m.reach = b.Incarnation, now, now, b.Leaving, b.Interval, b.Reach
	m.roleTerm, m.gaveUpTerm, m.tablesTerm, m.tablesVersion = b.Term, b.GaveUpTerm, b.TablesTerm, b.TablesVersion
	m.admits = b.Admits
	m.dc, m.configVersion, m.serversRev, m.confirmationAge, m.cores = b.DC, b.ConfigVersion, epoch.At(b.ServersEpoch, b.ServersRev), b.ConfirmationAge, b.Cores
	m.evacRev = epoch.At(b.EvacEpoch, b.EvacRev)
	if sooner {
		ms.scheduleAt(m, m.lastSent.Add(ms.interval(m)))
	}
	for _, o := range b.Members {
		ms.add(now, o.Host, o.IP, o.DC)
	}
	switch {
	case b.Term > 0 && b.Term >= ms.maxTerm:
		ms.assigner, ms.maxTerm, ms.assignerTerm, ms.assignerSeenAt = b.From, b.Term, b.Term, now
	case ms.assigner == b.From && (b.Leaving || b.GaveUpTerm > 0 && b.GaveUpTerm >= ms.assignerTerm):
		ms.assigner, ms.assignerSeenAt, ms.vacatedAt = "", 0, now // it has given up the role
	}
	return first
}

// sendsMemberList reports whether this host sends the list of hosts to newly
// started ones: it is a seed, which they contact first, or the first host of its
// data centre. A host that has just started takes itself for the first one until it
// knows the others; if all start together, each would send a list to most of the others.
func (ms *members) sendsMemberList(now clock.Time) bool {
	return slices.Contains(ms.seeds, ms.ip) || now >= ms.listsFrom && ms.isFirstInDC(now)
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

// activeLocked is active with ms.mu held.
func (ms *members) activeLocked(now clock.Time) (out []mesh.Member) {
	for _, m := range ms.all {
		if m.active(now) {
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

// activeAddrs returns the addresses of the hosts that aren't inactive.
func (ms *members) activeAddrs(now clock.Time) (ips []string) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, m := range ms.all {
		if m.active(now) {
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

// vacated returns when an assigner last said that it gave up the role, or 0.
func (ms *members) vacated() clock.Time {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.vacatedAt
}

// lastAssignerTerm returns the term of the last known assigner. Tables don't
// raise it, because a table can arrive before the first heartbeat of the assigner
// that sent it.
func (ms *members) lastAssignerTerm() uint64 {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.assignerTerm
}

// isAddr reports whether an address is that of a known host or of a seed.
func (ms *members) isAddr(ip string) bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.addrs[ip] > 0 || slices.Contains(ms.seeds, ip)
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

// ackTimeout returns how long a host may take to report a table. ms.mu is held.
func (ms *members) ackTimeout() clock.Span {
	if ms.group.split() {
		return groupedTableAckTimeout
	}
	return tableAckTimeout
}

// tableAckTimeout is ackTimeout without ms.mu held.
func (ms *members) tableAckTimeout() clock.Span {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.ackTimeout()
}

// outdatedAddrs returns the addresses of active hosts that don't report the
// tables of a term in at least the given version, unless complete tables were
// sent to them less than ackTimeout ago. It records that complete tables are
// being sent to the returned hosts.
func (ms *members) outdatedAddrs(now clock.Time, term, version uint64) (ips []string) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, m := range ms.all {
		current := m.tablesTerm > term || m.tablesTerm == term && m.tablesVersion >= max(version, 1)
		if current || !m.active(now) || m.tablesSentAt != 0 && now.Sub(m.tablesSentAt) < ms.ackTimeout() {
			continue
		}
		m.tablesSentAt = now
		ips = append(ips, m.ip)
	}
	return ips
}

// count returns the number of known hosts, including this one.
func (ms *members) count() int {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return len(ms.all) + 1
}

// reportInterval returns the time between two reports to the assigner.
func (ms *members) reportInterval() time.Duration {
	return max(minReportInterval, time.Duration(ms.count())*reportIntervalPerHost)
}

// gossipInterval returns the time between two heartbeats that list other hosts.
// It grows with the number of hosts, as these heartbeats are twice as long as
// the others.
func (ms *members) gossipInterval() time.Duration {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return max(minGossipInterval, time.Duration(len(ms.all))*gossipIntervalPerHost)
}

// hasNewer reports whether the host has a newer snapshot than the given versions.
func (m *member) hasNewer(config uint64, servers epoch.Revision) bool {
	return m.configVersion > config || servers.Before(peerRevision(m.serversRev.Epoch(), m.serversRev.Number(), servers))
}

// hasNewerEvac reports whether a host has a newer list of evacuated data centres than
// this one. ms.mu is held.
func (ms *members) hasNewerEvac(m *member) bool { return ms.evacuates && ms.evacRev.Before(m.evacRev) }

// setEvacRev sets the revision of this host's list of evacuated data centres.
func (ms *members) setEvacRev(rev epoch.Revision) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.evacRev = rev
}

// ownEvacRev returns the revision of this host's list of evacuated data centres.
func (ms *members) ownEvacRev() epoch.Revision {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.evacRev
}

// dataCentres returns the data centres of the known hosts.
func (ms *members) dataCentres() map[keys.DataCentre]bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	dcs := map[keys.DataCentre]bool{ms.dc: true}
	for _, m := range ms.all {
		dcs[m.dc] = true
	}
	return dcs
}

// sentNewer reports whether a host's last heartbeat told of a newer snapshot.
func (ms *members) sentNewer(now clock.Time, name keys.Host, config uint64, servers epoch.Revision) bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	m := ms.all[name]
	return m != nil && now >= m.fetchAfter && (m.hasNewer(config, servers) || ms.hasNewerEvac(m))
}

// newerSnapshotAddr returns the address of a live host with a newer snapshot,
// preferably in the same data centre, or "". local excludes the others.
func (ms *members) newerSnapshotAddr(now clock.Time, config uint64, servers epoch.Revision, local bool) (ip string) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, m := range ms.all {
		if !m.alive(now) || local && m.dc != ms.dc || now < m.fetchAfter {
			continue
		}
		if m.hasNewer(config, servers) || ms.hasNewerEvac(m) {
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
