package front

import (
	"container/heap"
	"math/rand/v2"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/mesh"
)

const (
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
	// priority host (see mesh.Reach) to a host in its data centre.
	maxPriorityInterval = 75 * clock.Millisecond
	// groupIntervalPerHost is the time between two heartbeats to a host of the
	// same group, per host of the group, if the data centre has several groups.
	groupIntervalPerHost = 10 * clock.Millisecond
	// distantIntervalPerHost is the time between two heartbeats to a host of
	// another group, per such host. It bounds their number whatever the number of
	// hosts: they only say who is there.
	distantIntervalPerHost = 50 * clock.Millisecond
)

// dueHeap orders members by the time of the next heartbeat to them.
type dueHeap []*member

func (d dueHeap) Len() int           { return len(d) }
func (d dueHeap) Less(i, j int) bool { return d[i].dueAt < d[j].dueAt }
func (d dueHeap) Swap(i, j int) {
	d[i], d[j] = d[j], d[i]
	d[i].index, d[j].index = i, j
}

// Push implements heap.Interface.
func (d *dueHeap) Push(x any) {
	m := x.(*member)
	m.index = len(*d)
	*d = append(*d, m)
}

// Pop implements heap.Interface.
func (d *dueHeap) Pop() any {
	last := len(*d) - 1
	m := (*d)[last]
	(*d)[last] = nil
	*d = (*d)[:last]
	return m
}

// insert adds a host. It gets a heartbeat at once, so that it learns of this one.
// ms.mu is held.
func (ms *members) insert(now clock.Time, m *member) {
	ms.all[m.name] = m
	ms.addrs[m.ip]++
	m.dueAt = now
	heap.Push(&ms.due, m)
	ms.groupChanged = true
}

// remove forgets a host. ms.mu is held.
func (ms *members) remove(m *member) {
	delete(ms.all, m.name)
	ms.setIP(m, "")
	heap.Remove(&ms.due, m.index)
	ms.groupChanged = true
}

// setIP sets the address of a host. ms.mu is held.
func (ms *members) setIP(m *member, ip string) {
	if m.ip == ip {
		return
	}
	if ms.addrs[m.ip]--; ms.addrs[m.ip] <= 0 {
		delete(ms.addrs, m.ip)
	}
	if m.ip = ip; ip != "" {
		ms.addrs[ip]++
	}
}

// scheduleAt has the next heartbeat to a host sent at a time, unless it is due
// earlier. ms.mu is held.
func (ms *members) scheduleAt(m *member, at clock.Time) {
	if at.Before(m.dueAt) {
		m.dueAt = at
		heap.Fix(&ms.due, m.index)
	}
}

// reschedule applies shorter intervals to all hosts, after a change of the group
// or of the reach. ms.mu is held.
func (ms *members) reschedule() {
	for _, m := range ms.all {
		ms.scheduleAt(m, m.lastSent.Add(ms.interval(m)))
	}
}

// announce has the hosts of this data centre that this host informs told at once of a
// newer snapshot. Hosts that all hosts are told by are frequent enough.
func (ms *members) announce(now clock.Time) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if ms.reach != mesh.ReachDC {
		return
	}
	for _, m := range ms.all {
		if m.dc == ms.dc && m.active(now) && ms.relationTo(m) == informed {
			ms.scheduleAt(m, now)
		}
	}
}

// relation is what a host needs to know of another one.
type relation int

const (
	near     relation = iota // its load
	informed                 // that it is alive, and its versions, within aliveTimeout
	distant                  // that it is there
)

// relationTo returns this host's relation to another one. Hosts of earlier versions
// know near ones only. ms.mu is held.
func (ms *members) relationTo(m *member) relation {
	switch {
	case !ms.group.split() || m.interval == 0 || ms.group.has(m.name):
		return near
	case ms.reach == mesh.ReachAll || m.reach == mesh.ReachAll:
		return informed
	case ms.reach == mesh.ReachDC && (m.dc == ms.dc || m.reach == mesh.ReachDC),
		m.reach == mesh.ReachDC && m.dc == ms.dc:
		return informed
	}
	return distant
}

// interval returns the time between two heartbeats to a host. Hosts in other data
// centres get fewer, as traffic between data centres is expensive and most requests
// stay in their own. The rates fall with the number of hosts, so that the number of
// datagrams per host doesn't grow with it. ms.mu is held.
func (ms *members) interval(m *member) clock.Span {
	priority := ms.reach == mesh.ReachAll
	switch rel := ms.relationTo(m); {
	case rel == distant:
		return max(distantIntervalPerHost*clock.Span(len(ms.all)-len(ms.group.hosts)), maxRemoteInterval)
	case rel == informed && priority:
		return minRemoteInterval
	case rel == informed:
		return maxRemoteInterval
	case ms.group.split() && ms.group.has(m.name):
		return min(groupIntervalPerHost*clock.Span(len(ms.group.hosts)-1), maxPriorityInterval)
	case m.dc != ms.dc && priority:
		return minRemoteInterval
	case m.dc != ms.dc:
		return min(max(minRemoteInterval, remoteIntervalPerHost*clock.Span(len(ms.all)-ms.local)), maxRemoteInterval)
	case priority:
		return min(localIntervalPerHost*clock.Span(ms.local), maxPriorityInterval)
	}
	return min(localIntervalPerHost*clock.Span(ms.local), maxLocalInterval)
}

// batch are the hosts that get the same heartbeat.
type batch struct {
	relation relation
	interval clock.Span // longest time until the next heartbeat to any of them
	ips      []string
}

// heartbeatTargets returns the hosts that are due for a heartbeat, by relation.
// reach is how far this host's heartbeats have to be frequent.
func (ms *members) heartbeatTargets(now clock.Time, reach mesh.Reach) (batches []batch) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.regroup()
	if reach != ms.reach {
		ms.reach = reach
		ms.reschedule()
	}
	var by [distant + 1]batch
	for len(ms.due) > 0 && !now.Before(ms.due[0].dueAt) {
		m := ms.due[0]
		interval := ms.interval(m)
		if now.Sub(m.lastSeen) > max(removeTimeout, clock.Span(missedHeartbeats*float64(max(interval, m.interval)))) {
			ms.remove(m)
			continue
		}
		rel := ms.relationTo(m)
		b := &by[rel]
		b.ips = append(b.ips, m.ip)
		b.interval = max(b.interval, interval, maxRemoteInterval)
		if !m.active(now) {
			interval = max(interval, clock.Second)
		}
		if rel == distant && m.sentAs != distant {
			interval = rand.N(interval) + 1 // hosts that started together spread their heartbeats
		}
		m.sentAs = rel
		m.lastSent, m.dueAt = now, now.Add(interval)
		heap.Fix(&ms.due, m.index)
	}
	for _, ip := range ms.seeds {
		if ip != ms.ip && ms.addrs[ip] == 0 {
			by[near].ips = append(by[near].ips, ip)
			by[near].interval = max(by[near].interval, maxRemoteInterval)
		}
	}
	for rel, b := range by {
		if len(b.ips) > 0 {
			b.relation = relation(rel)
			batches = append(batches, b)
		}
	}
	return batches
}
