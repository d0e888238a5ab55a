package front

import (
	"github.com/laburnummux/laburnummux/internal/epoch"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// maxChanges is how many changes of the list of servers a host remembers for other
// hosts. One that is further behind fetches the whole list.
const maxChanges = 64

// change is a change of the list of servers between two revisions.
type change struct {
	from, to epoch.Revision
	events   []ServerEvent
}

// changeLog has the latest changes of the list of servers, each from the revision
// of the one before.
type changeLog struct {
	changes []change
}

// add appends a change. Earlier ones are dropped if it doesn't follow them.
func (l *changeLog) add(c change) {
	if n := len(l.changes); n > 0 && l.changes[n-1].to != c.from {
		l.changes = nil
	}
	l.changes = append(l.changes, c)
	if extra := len(l.changes) - maxChanges; extra > 0 {
		l.changes = append([]change(nil), l.changes[extra:]...)
	}
}

// reset forgets all changes, after the whole list was replaced.
func (l *changeLog) reset() { l.changes = nil }

// since returns the servers that have changed after a revision, as they are now, and
// those that were removed. ok is false if the log doesn't reach back to it. A
// revision between two known ones gets some changes that it includes, which does no
// harm, as each server comes with its latest state.
func (l *changeLog) since(rev epoch.Revision) (changed []fleet.Server, removed []keys.Server, ok bool) {
	if len(l.changes) == 0 || rev.Epoch() != l.changes[0].from.Epoch() || rev.Before(l.changes[0].from) {
		return nil, nil, false
	}
	last := make(map[keys.Server]ServerEvent)
	var order []keys.Server
	for _, c := range l.changes {
		if !rev.Before(c.to) {
			continue
		}
		for _, ev := range c.events {
			if _, known := last[ev.ID]; !known {
				order = append(order, ev.ID)
			}
			last[ev.ID] = ev
		}
	}
	for _, id := range order {
		if ev := last[id]; ev.Removed {
			removed = append(removed, id)
		} else {
			changed = append(changed, ev.Server)
		}
	}
	return changed, removed, true
}
