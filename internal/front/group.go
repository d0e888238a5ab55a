package front

import (
	"cmp"
	"slices"

	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// maxUngroupedHosts is the largest number of hosts of a data centre that all
	// tell each other their load. Above it they form groups.
	maxUngroupedHosts = 12
	// groupSize is the largest number of hosts in a group.
	groupSize = 8
)

// group is a set of hosts of a data centre that tell each other their load and
// send their requests without keys to the same part of the data centre's servers.
// So neither the heartbeats that a host sends nor those that it receives grow with
// the number of hosts.
type group struct {
	number int // of this host's group, from 0
	count  int // groups in the data centre
	hosts  map[keys.Host]bool
}

// split reports whether the data centre has more than one group.
func (g group) split() bool { return g.count > 1 }

// has reports whether a host is in the group.
func (g group) has(h keys.Host) bool { return g.hosts[h] }

// groupOf returns the group of a host among the hosts of its data centre. The order
// is that of the names, so that all hosts come to the same groups, and a host that
// joins or leaves changes the group of few others. The number of groups doubles, so
// that it seldom changes, and shares are halved then.
func groupOf(self keys.Host, dc []keys.Host) (g group) {
	slices.SortFunc(dc, func(a, b keys.Host) int { return cmp.Compare(a, b) })
	g.count = 1
	for len(dc) > maxUngroupedHosts && len(dc) > g.count*groupSize {
		g.count *= 2
	}
	own, _ := slices.BinarySearch(dc, self)
	g.number = own * g.count / len(dc)
	g.hosts = make(map[keys.Host]bool, groupSize)
	for i, h := range dc {
		if i*g.count/len(dc) == g.number {
			g.hosts[h] = true
		}
	}
	return g
}

// regroup determines the group of this host anew if the hosts of its data centre
// have changed. ms.mu is held.
func (ms *members) regroup() {
	if !ms.groupChanged {
		return
	}
	ms.groupChanged, ms.local = false, 0
	dc := []keys.Host{ms.self}
	for _, m := range ms.all {
		if m.dc != ms.dc {
			continue
		}
		ms.local++
		if !m.leaving {
			dc = append(dc, m.name)
		}
	}
	ms.group = groupOf(ms.self, dc)
	ms.reschedule()
}

// currentGroup returns the group of this host.
func (ms *members) currentGroup() group {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.regroup()
	return ms.group
}
