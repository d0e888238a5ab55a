package gossip

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// watchersPerDataCentre is the number of hosts that watch the store in each
	// data centre.
	watchersPerDataCentre = 2
	// watcherTimeout is how long after its last heartbeat a host counts as a
	// watcher. It may be below heartbeatTimeout because heartbeats of watchers
	// are relayed first. If a live watcher is taken for lost, the cost is one
	// more watch for watchStopDelay. For hosts of the group it is
	// groupWatcherTimeout.
	watcherTimeout      = 15 * clock.Second
	groupWatcherTimeout = 3 * clock.Second
	// watchStopDelay is how long a watcher must have been unneeded before it
	// stops.
	watchStopDelay = 5 * clock.Second
	// watcherStartGrace is how long after the start of this host listed hosts
	// without a heartbeat so far count as watchers. Otherwise all hosts of a
	// starting fleet would watch, and a pending watch counts against the store's
	// rate limit. For hosts of the group it is groupWatcherTimeout.
	watcherStartGrace = 10 * clock.Second
)

// ranked is a host of this data centre with its rendezvous hash.
type ranked struct {
	hash  uint64
	name  keys.Host
	index int32 // in hosts.peers
}

func (r ranked) compare(o ranked) int {
	return cmp.Or(cmp.Compare(r.hash, o.hash), cmp.Compare(r.name, o.name))
}

func rank(dc keys.DataCentre, name keys.Host, index int32) ranked {
	var d xxhash.Digest
	d.Reset()
	d.WriteString(string(dc))
	d.Write([]byte{0})
	d.WriteString(string(name))
	return ranked{hash: d.Sum64(), name: name, index: index}
}

// watch is the state of this host's watch of the store.
type watch struct {
	on            bool
	unneeded      bool
	unneededSince clock.Time // when it became unneeded
}

// Watching reports whether the host is one of the watchers of its data centre.
func (s *State) Watching() bool { return s.watch.on }

// canWatch reports whether another host is expected to watch if it is among the
// first in rendezvous order.
func (s *State) canWatch(p *peer) bool {
	if p.leaving || p.leavingListed {
		return false
	}
	timeout, grace := watcherTimeout, watcherStartGrace
	if p.inGroup {
		timeout, grace = groupWatcherTimeout, groupWatcherTimeout
	}
	if p.heartbeatAt == never {
		return (p.listed || p.inGroup) && s.now.Sub(s.startedAt) < grace
	}
	return s.isLive(p) && s.now.Sub(p.heartbeatAt) <= timeout
}

// firstWatchers returns the first hosts in rendezvous order that sent a
// heartbeat and count as watchers, other than this host.
func (s *State) firstWatchers() []int32 {
	w := make([]int32, 0, watchersPerDataCentre)
	for _, r := range s.hosts.ranked {
		if p := &s.hosts.peers[r.index]; p.heartbeatAt != never && s.canWatch(p) {
			if w = append(w, r.index); len(w) == watchersPerDataCentre {
				break
			}
		}
	}
	return w
}

// watchNeeded reports whether fewer than 2 hosts before this one in rendezvous
// order count as watchers. A leaving host comes last.
func (s *State) watchNeeded() bool {
	before := 0
	for _, r := range s.hosts.ranked {
		if !s.leaving && s.self.compare(r) < 0 {
			break
		}
		if s.canWatch(&s.hosts.peers[r.index]) {
			if before++; before == watchersPerDataCentre {
				return false
			}
		}
	}
	return true
}

// updateWatch starts the watch at once if it is needed, and stops it with a
// delay: too many watchers cost a few calls to the store, too few delay the
// propagation of a change.
func (s *State) updateWatch() {
	w := &s.watch
	switch needed := s.watchNeeded(); {
	case needed:
		w.unneeded = false
		if !w.on {
			w.on = true
			s.emit(Watch{On: true})
		}
	case w.on && !w.unneeded:
		w.unneeded, w.unneededSince = true, s.now
	case w.on && s.now.Sub(w.unneededSince) >= watchStopDelay:
		w.on = false
		s.emit(Watch{On: false})
	}
}
