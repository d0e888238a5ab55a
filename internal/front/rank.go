package front

import (
	"cmp"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/mesh"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// maxWatchingDCs is the number of data centres with a host that watches the
// store. The second one continues while the first is partitioned.
const maxWatchingDCs = 2

// standbyHosts is how many hosts of a data centre, in the order of precedence, stand
// by for roles. They send each other and the hosts of their data centre frequent
// heartbeats, so that if the first ones end together, the next one and the others
// know it within aliveTimeout; they read the record first, and are registered in the
// store.
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

// isFirstInDC reports whether no live host of the same data centre has precedence
// over this one.
func (ms *members) isFirstInDC(now clock.Time) bool { return ms.standing(now).rankInDC == 0 }

// isStandby reports whether this host is among the first of its data centre.
func (ms *members) isStandby(now clock.Time) bool {
	return ms.standing(now).rankInDC < standbyHosts
}

// reachOf returns how far this host's heartbeats have to be frequent. priority means
// that other hosts take over if it sends none.
func (ms *members) reachOf(now clock.Time, priority bool) mesh.Reach {
	switch {
	case priority:
		return mesh.ReachAll
	case ms.isStandby(now):
		return mesh.ReachDC
	}
	return mesh.ReachGroup
}

// standing is the rank of this host, and the state of the store as the other live
// hosts know it.
type standing struct {
	rankInDC    int        // number of live hosts of the data centre with precedence over this one
	dcsBefore   int        // data centres before this one that have a live host
	confirmed   bool       // the store has confirmed the state of another live host
	confirmedAt clock.Time // latest such confirmation
	// successorConfirmedAt is the latest such confirmation of a host that could take
	// over a role of this one, see successorCores; 0: none.
	successorConfirmedAt clock.Time
}

// maxStandingAge is how long a standing is used before it is determined anew. It is
// needed several times in each period of the loops that ask for it.
const maxStandingAge = 40 * clock.Millisecond

// standing returns the current standing of this host. It walks over all members at
// most once per maxStandingAge.
func (ms *members) standing(now clock.Time) standing {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if ms.standingAt != 0 && now.Sub(ms.standingAt) < maxStandingAge && !now.Before(ms.standingAt) {
		return ms.lastStanding
	}
	ms.standingAt, ms.lastStanding = now, ms.determineStanding(now)
	return ms.lastStanding
}

func (ms *members) determineStanding(now clock.Time) (s standing) {
	var before []keys.DataCentre
	for _, m := range ms.due {
		if !m.alive(now) {
			continue
		}
		switch {
		case m.leaving:
		case m.dc == ms.dc:
			if ms.precedes(m) {
				s.rankInDC++
			}
		case m.dc < ms.dc && !slices.Contains(before, m.dc):
			before = append(before, m.dc)
		}
		if m.confirmationAge < 0 {
			continue
		}
		if at := m.lastHeartbeat.Add(-m.confirmationAge); !s.confirmed || at > s.confirmedAt {
			s.confirmed, s.confirmedAt = true, at
		}
		if at := m.lastHeartbeat.Add(-m.confirmationAge); !m.leaving && m.cores >= successorCores*ms.cores {
			s.successorConfirmedAt = max(s.successorConfirmedAt, at)
		}
	}
	s.dcsBefore = len(before)
	return s
}

// watchState reports whether this host is a watcher, one of the hosts that watch
// the store: the first live host of each of the first maxWatchingDCs data
// centres. age is the lowest confirmation age of another live host, or -1 if
// none has one.
func (ms *members) watchState(now clock.Time) (watcher bool, age clock.Span) {
	s := ms.standing(now)
	age = -1
	if s.confirmed {
		age = now.Sub(s.confirmedAt)
	}
	return s.rankInDC == 0 && s.dcsBefore < maxWatchingDCs, age
}
