package spread

import (
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// groupSilentSpan is after how long a host of the group counts as silent.
	// A host of a group of 8 misses another one's digests with 5/7 per round,
	// so with 5e-8 over 50 rounds.
	groupSilentSpan = 10 * clock.Second
	// silentSpanPerHost is added to groupSilentSpan for each host of the fleet.
	// The byte limit lets a host learn about 12 heartbeats/s (measured with 400
	// and 3,900 hosts), mostly of its own data centre. With 600 ms, 1.4% of 400
	// live hosts counted as silent; with 1200 ms, 0.06%.
	silentSpanPerHost = 1200 * clock.Millisecond
	// unlistedSpan is how long a host may be missing from the lists: the
	// platform's list lags.
	unlistedSpan = clock.Minute
	// forgetSpan is after how long an unlisted, silent host is forgotten. Until
	// then its boot id is kept to refuse late heartbeats.
	forgetSpan = 60 * clock.Minute
	// maxHosts bounds the memory that false heartbeats can use.
	maxHosts = 16384
	// maxFresh bounds the heartbeats that wait to be told.
	maxFresh = 64
	// never is the time at which a host was heard that never was.
	never clock.Time = -1
)

// entry is what is known of another host.
type entry struct {
	name     keys.Host
	centre   int32 // index in hosts.centres, or -1 if unknown
	told     uint8 // digests that had the present heartbeat
	listed   bool
	group    bool
	leaving  bool // by its own heartbeat
	listSays bool // leaving by the list
	boot     uint64
	beat     uint64
	heard    clock.Time // when its heartbeat last grew
	unlisted clock.Time // since when it is known and not listed
}

type centre struct {
	name  keys.DataCentre
	hosts []int32 // without the own group
}

// hosts has the other hosts. Indices into all remain valid until forget.
type hosts struct {
	all      []entry
	index    map[keys.Host]int32
	group    []int32
	own      []int32 // hosts of the own data centre outside the group
	centres  []centre
	ranked   []ranked // hosts of the own data centre
	fresh    []int32  // with a new heartbeat, newest last
	listedAt clock.Time
}

func (h *hosts) groupNames() []keys.Host {
	names := make([]keys.Host, 0, len(h.group))
	for _, i := range h.group {
		names = append(names, h.all[i].name)
	}
	return names
}

func (s *State) entry(name keys.Host) int32 {
	h := &s.hosts
	if i, ok := h.index[name]; ok {
		return i
	}
	i := int32(len(h.all))
	h.all = append(h.all, entry{name: name, centre: -1, heard: never, unlisted: s.now})
	h.index[name] = i
	return i
}

func (s *State) setGroup(names []keys.Host) {
	h := &s.hosts
	h.group = h.group[:0]
	for i := range h.all {
		h.all[i].group = false
	}
	own := s.centre(s.cfg.DataCentre)
	for _, name := range names {
		if name == s.cfg.Host {
			continue
		}
		if i := s.entry(name); !h.all[i].group {
			h.all[i].group, h.all[i].centre = true, own
			h.group = append(h.group, i)
		}
	}
	s.arrange()
}

func (s *State) centre(name keys.DataCentre) int32 {
	h := &s.hosts
	i := slices.IndexFunc(h.centres, func(c centre) bool { return c.name == name })
	if i < 0 {
		i = len(h.centres)
		h.centres = append(h.centres, centre{name: name})
	}
	return int32(i)
}

func (s *State) list(members []Member) {
	h := &s.hosts
	h.listedAt = s.now
	was := make([]bool, len(h.all))
	for i := range h.all {
		was[i] = h.all[i].listed
		h.all[i].listed, h.all[i].listSays = false, false
	}
	for _, m := range members {
		if m.Host == s.cfg.Host {
			continue
		}
		e := &h.all[s.entry(m.Host)]
		e.listed, e.listSays, e.centre = true, m.Leaving, s.centre(m.DataCentre)
	}
	for i := range was {
		if was[i] && !h.all[i].listed {
			h.all[i].unlisted = s.now
		}
	}
	s.forget()
	s.arrange()
}

// forget removes hosts that are neither listed nor heard.
func (s *State) forget() {
	h := &s.hosts
	gone := func(e entry) bool {
		return !e.listed && !e.group && s.now.Sub(max(e.heard, e.unlisted)) > forgetSpan
	}
	if !slices.ContainsFunc(h.all, gone) {
		return
	}
	h.all = slices.DeleteFunc(h.all, gone)
	clear(h.index)
	h.group, h.fresh = h.group[:0], h.fresh[:0]
	for i, e := range h.all {
		h.index[e.name] = int32(i)
		if e.group {
			h.group = append(h.group, int32(i))
		}
	}
}

// arrange sorts the hosts by data centre for the choice of targets and of
// watchers.
func (s *State) arrange() {
	h := &s.hosts
	own := s.centre(s.cfg.DataCentre)
	h.own, h.ranked = h.own[:0], h.ranked[:0]
	for i := range h.centres {
		h.centres[i].hosts = h.centres[i].hosts[:0]
	}
	for i, e := range h.all {
		if e.centre < 0 || !e.listed && !e.group {
			continue
		}
		if e.centre == own {
			h.ranked = append(h.ranked, rank(s.cfg.DataCentre, e.name, int32(i)))
		}
		switch {
		case e.group:
		case e.centre == own:
			h.own = append(h.own, int32(i))
		default:
			c := &h.centres[e.centre]
			c.hosts = append(c.hosts, int32(i))
		}
	}
	slices.SortFunc(h.ranked, ranked.compare)
}

func (s *State) heard(ev Heard) {
	d := ev.Digest
	s.learn(Beat{Host: ev.From, Boot: ev.Boot, Beat: d.Beat, Leaving: d.Leaving}, true)
	for _, b := range d.Hosts {
		s.learn(b, true)
	}
	s.offer(ev.From, d.Revision)
	if d.Revision < s.revision {
		s.tellExtra(ev.From) // a host that is behind needn't wait for a round
	}
}

// learn takes over a heartbeat if it is newer. A heartbeat from the list of
// another host may be old and is not told on.
func (s *State) learn(b Beat, tell bool) {
	h := &s.hosts
	if b.Host == s.cfg.Host {
		if b.Boot > s.cfg.Boot {
			s.do(Superseded{Boot: b.Boot})
		}
		return
	}
	if _, ok := h.index[b.Host]; !ok && len(h.all) >= maxHosts {
		return
	}
	i := s.entry(b.Host)
	e := &h.all[i]
	if b.Boot < e.boot || b.Boot == e.boot && b.Beat <= e.beat && e.heard != never {
		return
	}
	e.boot, e.beat, e.leaving, e.heard, e.told = b.Boot, b.Beat, b.Leaving, s.now, 0
	if !tell {
		return
	}
	if len(h.fresh) == 2*maxFresh {
		h.fresh = h.fresh[:copy(h.fresh, h.fresh[maxFresh:])]
	}
	h.fresh = append(h.fresh, i)
}

// silentSpan returns after how long a host outside the group counts as silent.
func (s *State) silentSpan() clock.Span {
	return groupSilentSpan + silentSpanPerHost*clock.Span(len(s.hosts.all)+1)
}

func (s *State) live(e *entry) bool {
	span := groupSilentSpan
	if !e.group {
		span = s.silentSpan()
	}
	if e.heard == never || s.now.Sub(e.heard) > span {
		return false
	}
	// A host that is heard counts as live while lists don't arrive.
	return e.listed || s.hosts.listedAt.Sub(e.unlisted) <= unlistedSpan
}

// Live returns the hosts that are live and not leaving at the time of the last
// event, sorted, with this host itself unless it is leaving.
func (s *State) Live() []keys.Host {
	var names []keys.Host
	if !s.leaving {
		names = append(names, s.cfg.Host)
	}
	for i := range s.hosts.all {
		if e := &s.hosts.all[i]; !e.leaving && !e.listSays && s.live(e) {
			names = append(names, e.name)
		}
	}
	slices.Sort(names)
	return names
}

// Beats returns the heartbeats of this host and of all that it holds for live.
func (s *State) Beats() []Beat {
	beats := []Beat{{Host: s.cfg.Host, Boot: s.cfg.Boot, Beat: s.beat, Leaving: s.leaving}}
	for i := range s.hosts.all {
		if e := &s.hosts.all[i]; s.live(e) {
			beats = append(beats, e.toBeat())
		}
	}
	return beats
}

func (e *entry) toBeat() Beat {
	return Beat{Host: e.name, Boot: e.boot, Beat: e.beat, Leaving: e.leaving}
}
