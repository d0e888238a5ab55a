package front

import (
	"reflect"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/owner"
)

// publication is a version of the tables with the time at which it was sent.
type publication struct {
	sentAt  clock.Time
	version uint64
}

// publishIntervalPerHost is the shortest time between two publications, per known
// host. With many hosts, changes that follow each other are sent together: each
// publication is a datagram to every host, and each of them applies it.
const (
	publishIntervalPerHost = 0.3 // ms
	maxPublishInterval     = 250 * clock.Millisecond
)

// publishInterval returns the shortest time between two publications.
func publishInterval(hosts int) clock.Span {
	return min(clock.Span(publishIntervalPerHost*float64(hosts)), maxPublishInterval)
}

// publish sends the tables to all hosts if they have changed and this host still
// has the role. Changes that come too early are sent by a later tick.
func (r *assignerRole) publish() {
	if r.assigner == nil || r.host.clock.Now().Sub(r.publishedAt) < publishInterval(r.host.members.count()) {
		return
	}
	tables := r.assigner.Tables()
	if len(tables) == len(r.tables) && len(tables) > 0 && r.tables[0].Term == tables[0].Term {
		for i := range tables {
			tables[i].Version = r.tables[i].Version
		}
		if reflect.DeepEqual(tables, r.tables) {
			return
		}
	}
	r.tablesVersion++
	for i := range tables {
		tables[i].Version = r.tablesVersion
	}
	updates := tableChanges(r.tables, tables)
	r.tables, r.publishedAt = tables, r.host.clock.Now()
	r.host.metrics.movedShare.Set(r.assigner.MovedShare())
	r.host.applyTables(tables)
	now := r.host.clock.Now()
	if slices.ContainsFunc(updates, func(t owner.Table) bool { return t.Base == 0 }) {
		r.host.members.markTablesSent(now)
	}
	r.recentPublications = append(r.recentPublications, publication{sentAt: now, version: r.tablesVersion})
	r.host.sendTables(r.host.members.activeAddrs(now), updates)
}

// tableChanges returns the differences between two versions of the tables. A
// table that is new, or of another term, is returned as a complete table.
func tableChanges(old, now []owner.Table) (updates []owner.Table) {
	for _, t := range now {
		i := slices.IndexFunc(old, func(o owner.Table) bool { return o.Service == t.Service && o.Term == t.Term })
		if i >= 0 {
			t = t.Diff(old[i])
		}
		updates = append(updates, t)
	}
	return updates
}

// resendTables sends the complete tables to hosts whose heartbeats don't report
// the version that they should have by now, and to hosts without tables.
func (r *assignerRole) resendTables(now clock.Time) {
	required, timeout := uint64(0), r.host.members.tableAckTimeout()
	for len(r.recentPublications) > 0 && now.Sub(r.recentPublications[0].sentAt) > timeout {
		required = r.recentPublications[0].version
		r.recentPublications = r.recentPublications[1:]
	}
	r.requiredVersion = max(r.requiredVersion, required)
	r.host.sendTables(r.host.members.outdatedAddrs(now, r.assigner.Term(), r.requiredVersion), r.tables)
}
