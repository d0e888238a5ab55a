package spread

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// watchers is the number of hosts per data centre that watch the store.
	watchers = 2
	// watchSpan is for how long a host counts as a watcher after it was heard.
	// It is below silentSpan, because heartbeats of watchers are told first.
	// A wrong guess costs one more watch for stopSpan.
	watchSpan      = 15 * clock.Second
	groupWatchSpan = 3 * clock.Second
	// stopSpan is how long a watcher must have been unneeded before it stops.
	stopSpan = 5 * clock.Second
	// firstSpan is for how long after the start hosts that are listed and not
	// yet heard count as watchers; hosts of the group do for groupWatchSpan. Without it all hosts of a fleet that starts
	// would watch, and a pending watch counts against the store's rate limit.
	firstSpan = 10 * clock.Second
)

// ranked is a host of the own data centre in rendezvous order.
type ranked struct {
	hash  uint64
	name  keys.Host
	entry int32 // index in hosts.all
}

func (r ranked) compare(o ranked) int {
	return cmp.Or(cmp.Compare(r.hash, o.hash), cmp.Compare(r.name, o.name))
}

func rank(dc keys.DataCentre, name keys.Host, entry int32) ranked {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(string(dc))
	d.Write([]byte{0})
	d.WriteString(string(name))
	return ranked{hash: d.Sum64(), name: name, entry: entry}
}

// watch is whether the host watches the store.
type watch struct {
	on       bool
	unneeded bool
	since    clock.Time // when it became unneeded
}

// Watching reports whether the host is one of the watchers of its data centre.
func (s *State) Watching() bool { return s.watch.on }

// watches reports whether another host can be relied on to watch.
func (s *State) watches(e *entry) bool {
	if e.leaving || e.listSays {
		return false
	}
	span, first := watchSpan, firstSpan
	if e.group {
		span, first = groupWatchSpan, groupWatchSpan
	}
	if e.heard == never {
		return (e.listed || e.group) && s.now.Sub(s.start) < first
	}
	return s.live(e) && s.now.Sub(e.heard) <= span
}

// firstWatchers returns the first watchers of the own data centre that were
// heard, other than this host.
func (s *State) firstWatchers() []int32 {
	w := make([]int32, 0, watchers)
	for _, r := range s.hosts.ranked {
		if e := &s.hosts.all[r.entry]; e.heard != never && s.watches(e) {
			if w = append(w, r.entry); len(w) == watchers {
				break
			}
		}
	}
	return w
}

// needed reports whether fewer than 2 hosts before this one in rendezvous order
// can be relied on. A leaving host comes last.
func (s *State) needed() bool {
	before := 0
	for _, r := range s.hosts.ranked {
		if !s.leaving && s.self.compare(r) < 0 {
			break
		}
		if s.watches(&s.hosts.all[r.entry]) {
			if before++; before == watchers {
				return false
			}
		}
	}
	return true
}

// decideWatch starts at once and stops late: too many watchers cost a few calls
// to the store, too few delay a change.
func (s *State) decideWatch() {
	w := &s.watch
	switch needed := s.needed(); {
	case needed:
		w.unneeded = false
		if !w.on {
			w.on = true
			s.do(Watch{On: true})
		}
	case w.on && !w.unneeded:
		w.unneeded, w.since = true, s.now
	case w.on && s.now.Sub(w.since) >= stopSpan:
		w.on = false
		s.do(Watch{On: false})
	}
}
