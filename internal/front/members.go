package front

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/mesh"
	"github.com/laburnummux/laburnummux/internal/owner"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// aliveFor is how long a host counts as alive without a beat.
	aliveFor = 1000 * clock.Millisecond
	// quietAfter is when a silent host gets beats at a lower rate only.
	quietAfter = 3 * clock.Second
	// forgetAfter is when a silent host is no longer known. It bounds how long
	// a lost host takes part of the retry budget.
	forgetAfter = 60 * clock.Second
	// awayGap is the shortest time between two beats to a host in another data
	// centre.
	awayGap = 190 * clock.Millisecond
	// nearGapPer and awayGapPer are the times between two beats to a host for
	// each host of the own or of the other data centres, up to nearGapMax and
	// awayGapMax, which must stay below aliveFor.
	nearGapPer = 3 * clock.Millisecond
	awayGapPer = 25 * clock.Millisecond
	nearGapMax = 150 * clock.Millisecond
	awayGapMax = 450 * clock.Millisecond
	// promptGap is the longest time between two beats of a prompt host to one in
	// its data centre.
	promptGap = 75 * clock.Millisecond
	// watchersMax is the number of data centres with a host that watches the
	// store. A second one goes on while the first is cut off.
	watchersMax = 2
	// namedMax is how many other hosts a beat names.
	namedMax = 8
)

// member is another host.
type member struct {
	name    keys.Host
	ip      string
	run     int64
	heard   clock.Time
	told    clock.Time // when it was last named or seen, for forgetting
	sent    clock.Time
	leaving bool
	term    uint64 // of its role, if it is the assigner
	known   uint64 // term of its tables
	version uint64
	tabled  clock.Time // when it was last sent whole tables
	dc      keys.DataCentre
	config  uint64     // version of its configuration
	servers uint64     // revision of its list of servers
	avoid   clock.Time // its view could not be fetched; not asked until then
	power   float64
	fresh   clock.Span // since the store had confirmed both when it was heard
}

// members are the other hosts, as far as they are known.
type members struct {
	self  keys.Host
	dc    keys.DataCentre
	ip    string
	power float64
	mu    sync.Mutex
	seeds []string
	all   map[keys.Host]*member

	tables   map[keys.Service]owner.Table
	assigner keys.Host  // whose beat had the highest term
	term     uint64     // the highest term of a beat or table
	led      uint64     // the term of the last assigner that was heard
	heard    clock.Time // when the assigner was last heard
}

func newMembers(s Settings) *members {
	return &members{self: s.Host, dc: s.DC, ip: s.IP, power: s.Power, seeds: s.Seeds, all: make(map[keys.Host]*member), tables: make(map[keys.Service]owner.Table)}
}

// named adds a host that another one has named.
func (ms *members) named(now clock.Time, name keys.Host, ip string, dc keys.DataCentre) {
	if name == ms.self || ip == ms.ip || ip == "" {
		return
	}
	m := ms.all[name]
	if m == nil {
		ms.all[name] = &member{name: name, ip: ip, dc: dc, told: now, fresh: -1}
		return
	}
	if now.Sub(m.heard) > quietAfter {
		m.ip = ip // it may have been replaced at another address
	}
}

// beat takes a beat. It reports whether it is the first of its process.
func (ms *members) beat(now clock.Time, b *mesh.Beat) (first bool) {
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
	if b.Run < m.run && now.Sub(m.heard) < aliveFor {
		return false // a late beat of a former process; after a silence the time of day may have been set back
	}
	first = m.run != b.Run
	m.ip, m.run, m.heard, m.told, m.leaving = b.IP, b.Run, now, now, b.Leaving
	m.term, m.known, m.version = b.Term, b.Known, b.Version
	m.dc, m.config, m.servers, m.fresh, m.power = b.DC, b.Config, b.Servers, b.Fresh, b.Power
	for _, o := range b.Members {
		ms.named(now, o.Host, o.IP, o.DC)
	}
	switch {
	case b.Term > 0 && b.Term >= ms.term:
		ms.assigner, ms.term, ms.led, ms.heard = b.From, b.Term, b.Term, now
	case ms.assigner == b.From && b.Leaving:
		ms.assigner, ms.heard = "", 0 // it has given the role up
	}
	return first
}

// welcomes reports whether this host tells new ones of the others: it is a
// seed, which they ask first, or comes first in its data centre.
func (ms *members) welcomes(now clock.Time) bool {
	return slices.Contains(ms.seeds, ms.ip) || ms.first(now)
}

// names returns all hosts that were heard lately.
func (ms *members) names(now clock.Time) (out []mesh.Member) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.live(now)
}

// learnNames adds the hosts that another one has named.
func (ms *members) learnNames(now clock.Time, list []mesh.Member) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, o := range list {
		ms.named(now, o.Host, o.IP, o.DC)
	}
}

// table takes a table, or a change of one, if it is news. It returns the whole
// table.
func (ms *members) table(t owner.Table) (next owner.Table, ok bool) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if old, known := ms.tables[t.Service]; known || t.Base != 0 {
		t, ok = old.Apply(t)
		if !ok {
			return t, false
		}
	}
	ms.tables[t.Service] = t
	ms.term = max(ms.term, t.Term)
	return t, true
}

// tableVersion returns the oldest term and version of the known tables.
func (ms *members) tableVersion() (term, version uint64) {
	first := true
	for _, t := range ms.tables {
		if first || t.Term < term || t.Term == term && t.Version < version {
			term, version, first = t.Term, t.Version, false
		}
	}
	return term, version
}

// targets returns the addresses that are due for a beat. Hosts in other data
// centres get fewer: bytes between data centres are expensive, and most
// requests stay in their own. Both rates fall with the number of hosts, so that
// the datagrams of a host don't grow with it; hosts whose silence others notice
// are prompt and keep a higher one.
func (ms *members) targets(now clock.Time, prompt bool) (ips []string) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	n := 0
	for _, m := range ms.all {
		if m.dc == ms.dc {
			n++
		}
	}
	near := min(nearGapPer*clock.Span(n), nearGapMax)
	away := min(max(awayGap, awayGapPer*clock.Span(len(ms.all)-n)), awayGapMax)
	if prompt {
		near, away = min(near, promptGap), awayGap
	}
	known := make(map[string]bool, len(ms.all))
	for name, m := range ms.all {
		if now.Sub(m.told) > forgetAfter {
			delete(ms.all, name)
			continue
		}
		known[m.ip] = true
		gap := near
		if m.dc != ms.dc {
			gap = away
		}
		if now.Sub(m.heard) > quietAfter {
			gap = clock.Second
		}
		if m.sent != 0 && now.Sub(m.sent) < gap {
			continue
		}
		m.sent = now
		ips = append(ips, m.ip)
	}
	for _, ip := range ms.seeds {
		if !known[ip] && ip != ms.ip {
			ips = append(ips, ip)
		}
	}
	return ips
}

// live returns the hosts that were heard lately. ms.mu is held.
func (ms *members) live(now clock.Time) (out []mesh.Member) {
	for _, m := range ms.all {
		if now.Sub(m.heard) < quietAfter && m.heard != 0 {
			out = append(out, mesh.Member{Host: m.name, IP: m.ip, DC: m.dc})
		}
	}
	return out
}

// some returns a few hosts to name in a beat. ms.mu is held.
func (ms *members) some(now clock.Time) (out []mesh.Member) {
	out = ms.live(now)
	if len(out) > namedMax {
		slices.SortFunc(out, func(a, b mesh.Member) int { return cmp.Compare(a.Host, b.Host) })
		rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
		out = out[:namedMax]
	}
	return out
}

// precedes reports whether another host takes duties before this one: hosts
// with more processor come first, as some have little.
func (ms *members) precedes(m *member) bool {
	return cmp.Or(cmp.Compare(m.power, ms.power), cmp.Compare(ms.self, m.name)) > 0
}

// standing says how this host stands among the others.
type standing struct {
	rank     int  // number of live hosts that come first
	majority bool // it hears most of the hosts that it knows
	alive    int
	known    int
}

func (ms *members) standing(now clock.Time) (st standing) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	st.alive, st.known = 1, 1
	for _, m := range ms.all {
		if m.leaving {
			continue
		}
		st.known++
		if m.heard == 0 || now.Sub(m.heard) > aliveFor {
			continue
		}
		st.alive++
		if ms.precedes(m) {
			st.rank++
		}
	}
	st.majority = 2*st.alive > st.known
	return st
}

// everyone returns the addresses of all hosts that were heard lately.
func (ms *members) everyone(now clock.Time) (ips []string) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, m := range ms.all {
		if m.heard != 0 && now.Sub(m.heard) < quietAfter {
			ips = append(ips, m.ip)
		}
	}
	return ips
}

// tabled notes that whole tables are sent to everyone.
func (ms *members) tabled(now clock.Time) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, m := range ms.all {
		m.tabled = now
	}
}

// leader returns the assigner, its address and when it was last heard.
func (ms *members) leader() (name keys.Host, ip string, term uint64, heard clock.Time) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if m := ms.all[ms.assigner]; m != nil {
		ip = m.ip
	}
	return ms.assigner, ip, ms.term, ms.heard
}

// ledTerm returns the term of the last assigner that was heard. A table alone
// doesn't raise it: it can overtake the first beat of the assigner that sent it.
func (ms *members) ledTerm() uint64 {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.led
}

// knows reports whether a host's address is known.
func (ms *members) knows(name keys.Host) bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return ms.all[name] != nil
}

// learn notes an assigner that the store names.
func (ms *members) learn(now clock.Time, name keys.Host, term uint64) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if term > ms.led {
		ms.assigner, ms.term, ms.led, ms.heard = name, max(term, ms.term), term, now
	}
}

// runOf returns the start of a host's process that was heard after the given
// time, or 0 if none was.
func (ms *members) runOf(name keys.Host, after clock.Time) int64 {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if m := ms.all[name]; m != nil && m.heard > after {
		return m.run
	}
	return 0
}

// behind returns the addresses of live hosts that don't have the tables of a
// term in at least the given version, unless they have just been sent them.
func (ms *members) behind(now clock.Time, term, version uint64) (ips []string) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, m := range ms.all {
		has := m.known > term || m.known == term && m.version >= max(version, 1)
		if has || m.heard == 0 || now.Sub(m.heard) >= quietAfter || m.tabled != 0 && now.Sub(m.tabled) < resendAfter {
			continue
		}
		m.tabled = now
		ips = append(ips, m.ip)
	}
	return ips
}

// first reports whether this host comes first in its data centre.
func (ms *members) first(now clock.Time) bool {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, m := range ms.all {
		if m.heard != 0 && now.Sub(m.heard) <= aliveFor && !m.leaving && m.dc == ms.dc && ms.precedes(m) {
			return false
		}
	}
	return true
}

// gossipGap returns the time between two beats that name other hosts. It grows
// with their number, as those beats are twice as long as the others.
func (ms *members) gossipGap() time.Duration {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	return max(gossipEvery, time.Duration(len(ms.all))*gossipPer)
}

// watchers reports whether this host is one of those that watch the store: the
// first live host of each of the first data centres. fresh is the age of the
// freshest view of another live host, or -1 if none watches.
func (ms *members) watchers(now clock.Time) (first bool, fresh clock.Span) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	first, fresh = true, -1
	before := make(map[keys.DataCentre]bool)
	for _, m := range ms.all {
		if m.heard == 0 || now.Sub(m.heard) > aliveFor {
			continue
		}
		if !m.leaving {
			if m.dc == ms.dc && ms.precedes(m) {
				first = false
			}
			if m.dc < ms.dc {
				before[m.dc] = true
			}
		}
		if m.fresh < 0 {
			continue
		}
		if age := m.fresh + now.Sub(m.heard); fresh < 0 || age < fresh {
			fresh = age
		}
	}
	return first && len(before) < watchersMax, fresh
}

// newer returns the address of a live host with a newer view, or "". near
// restricts it to the own data centre.
func (ms *members) newer(now clock.Time, config, servers uint64, near bool) (ip string) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, m := range ms.all {
		if m.heard == 0 || now.Sub(m.heard) > aliveFor || near && m.dc != ms.dc || now < m.avoid {
			continue
		}
		if m.config > config || m.servers > servers {
			ip = m.ip
			if m.dc == ms.dc {
				return ip
			}
		}
	}
	return ip
}

// unreachable notes that a host's view couldn't be fetched.
func (ms *members) unreachable(now clock.Time, ip string) {
	const avoid = clock.Second
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, m := range ms.all {
		if m.ip == ip {
			m.avoid = now.Add(avoid)
		}
	}
}
