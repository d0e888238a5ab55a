package front

import (
	"reflect"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/mesh"
	"github.com/laburnummux/laburnummux/internal/owner"
)

// publication is a version of the tables and when it was sent.
type publication struct {
	at      clock.Time
	version uint64
}

// publish sends the tables to all hosts if they have changed.
func (d *duty) publish() {
	tables := d.a.Tables()
	if len(tables) == len(d.tables) && len(tables) > 0 && d.tables[0].Term == tables[0].Term {
		for i := range tables {
			tables[i].Version = d.tables[i].Version
		}
		if reflect.DeepEqual(tables, d.tables) {
			return
		}
	}
	d.version++
	for i := range tables {
		tables[i].Version = d.version
	}
	news := changes(d.tables, tables)
	d.tables = tables
	d.h.metrics.moved.Set(d.a.Moved())
	d.h.tables(tables)
	now := d.h.clock.Now()
	if slices.ContainsFunc(news, func(t owner.Table) bool { return t.Base == 0 }) {
		d.h.members.tabled(now)
	}
	d.published = append(d.published, publication{at: now, version: d.version})
	d.h.send(d.h.members.everyone(now), mesh.Message{Tables: news})
}

// changes returns what turns the old tables into the new ones. A table that is
// new, or of another term, is sent as a whole.
func changes(old, now []owner.Table) (news []owner.Table) {
	for _, t := range now {
		i := slices.IndexFunc(old, func(o owner.Table) bool { return o.Service == t.Service && o.Term == t.Term })
		if i >= 0 {
			t = t.Change(old[i])
		}
		news = append(news, t)
	}
	return news
}

// resend sends the whole tables to hosts that have missed something, or that
// know nothing yet.
func (d *duty) resend(now clock.Time) {
	due := uint64(0) // the newest version that all hosts should have by now
	for len(d.published) > 0 && now.Sub(d.published[0].at) > resendAfter {
		due = d.published[0].version
		d.published = d.published[1:]
	}
	d.due = max(d.due, due)
	d.h.send(d.h.members.behind(now, d.a.Term(), d.due), mesh.Message{Tables: d.tables})
}
