package front

import (
	"cmp"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/mesh"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// maxWatchingDCs is the number of data centres with a host that watches the
// store. The second one continues while the first is partitioned.
const maxWatchingDCs = 2

// standbyHosts is how many hosts of a data centre, in the order of precedence, send
// each other and the hosts of their data centre frequent heartbeats. If the first
// ones end together, the next one and the others know it within aliveTimeout.
const standbyHosts = 4

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
	majority bool // more than half of the heartbeats that are due arrive
	alive    int  // including this host
	known    int  // including this host
}

func (ms *members) membership(now clock.Time) (s membership) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	s.alive, s.known = 1, 1
	heard, due := 1.0, 1.0 // hosts with a heartbeat in the last aliveTimeout, and those that owe one
	for _, m := range ms.all {
		if m.leaving {
			continue
		}
		s.known++
		due += min(1, float64(aliveTimeout)/float64(max(m.interval, 1)))
		if m.lastHeartbeat != 0 && now.Sub(m.lastHeartbeat) <= aliveTimeout {
			heard++
		}
		if !m.alive(now) {
			continue
		}
		s.alive++
		if ms.precedes(m) {
			s.rank++
		}
	}
	s.majority = 2*heard > due
	return s
}

// rankInDC returns the number of live hosts of the same data centre with precedence
// over this one.
func (ms *members) rankInDC(now clock.Time) (rank int) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	for _, m := range ms.all {
		if m.dc == ms.dc && !m.leaving && m.alive(now) && ms.precedes(m) {
			rank++
		}
	}
	return rank
}

// isFirstInDC reports whether no live host of the same data centre has precedence
// over this one.
func (ms *members) isFirstInDC(now clock.Time) bool { return ms.rankInDC(now) == 0 }

// reachOf returns how far this host's heartbeats have to be frequent. priority means
// that other hosts take over if it sends none.
func (ms *members) reachOf(now clock.Time, priority bool) mesh.Reach {
	switch {
	case priority:
		return mesh.ReachAll
	case ms.rankInDC(now) < standbyHosts:
		return mesh.ReachDC
	}
	return mesh.ReachGroup
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
		if !m.alive(now) {
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
