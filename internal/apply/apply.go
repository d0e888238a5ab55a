// Package apply decides whether an operator's change becomes the next
// configuration revision, and how it is stored. It has no clock, no I/O and no
// goroutine: an Attempt is a state machine that returns the next object of the
// store to read or write and takes the result.
//
// A site is the laburnummux installation of one data centre and has the name of
// the data centre. A revision holds the configuration of all sites.
//
// # Usage
//
//	a := apply.New(apply.Request{Author: "moana", Time: time.Now(), PlannedFrom: 7, Sites: sites})
//	for act := a.Start(); ; {
//		switch x := act.(type) {
//		case apply.Read:
//			act = a.Step(read(x))
//		case apply.Write:
//			act = a.Step(write(x))
//		case apply.Done:
//			return x.Result
//		}
//	}
//
// # Objects
//
// CurrentObject holds the revision in force: the newest accepted one. Before it
// is replaced, it is copied to one of ArchiveSlots archive objects. A rollback
// restores a revision from the archive. The archive also shows whether a write
// with an unknown result took effect if the revision has already been replaced
// again.
package apply

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/internal/merge"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// CurrentObject is the store object with the revision in force.
	CurrentObject = "config/current"
	// ArchiveSlots is the number of archive objects for replaced revisions. The
	// store has no deletion, so slots are reused.
	ArchiveSlots = 64
)

// ArchiveObject returns the store object to which a revision is copied before
// it is replaced.
func ArchiveObject(revision uint64) string {
	return fmt.Sprintf("config/archive/%02d", revision%ArchiveSlots)
}

// LastServer is the kind of hold for a drain that would leave a cell without a
// server. The other kinds are those of merge.HoldKind.
const LastServer = "last-server"

//go:generate go tool stringer -type=Outcome -linecomment -output=apply_string.go

// Outcome is the result of a request that is reported to the operator.
type Outcome int

// Outcomes. All but Accepted and Unknown mean that this attempt has not applied
// the request and that none of its writes can take effect later.
const (
	Accepted    Outcome = iota // accepted
	Unchanged                  // unchanged
	Conflict                   // raced
	Held                       // held
	Refused                    // refused
	Unavailable                // unavailable
	Unknown                    // unknown
)

// MarshalText implements encoding.TextMarshaler.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (o *Outcome) UnmarshalText(b []byte) error {
	for v := Accepted; v <= Unknown; v++ {
		if v.String() == string(b) {
			*o = v
			return nil
		}
	}
	return fmt.Errorf("apply.Outcome: %q is not an outcome", b)
}

// Kind is the kind of a Request.
type Kind int

const (
	Replace  Kind = iota // replace the configuration of all sites
	Rollback             // restore the sites of an archived revision
	Drain                // start draining a backend server
	Undrain              // stop draining a backend server
)

// Request is an operator's request to change the configuration. A hold is a
// reason for which the change requires the operator's confirmation.
type Request struct {
	Kind        Kind
	Author      string
	Note        string
	Time        time.Time
	PlannedFrom uint64                            // Replace and Rollback: revision from which the change was planned; 0 in a plan: the one in force
	Sites       map[keys.DataCentre]config.Config // Replace
	RollbackTo  uint64                            // Rollback: revision to restore
	Server      keys.Server                       // Drain and Undrain
	Peers       []keys.Server                     // Drain: the other live servers of its cell
	Override    []string                          // kinds of holds that the operator has confirmed
	Plan        bool                              // decide only, write nothing
}

// RevisionInfo records who applied a revision, when and why.
type RevisionInfo struct {
	Number uint64    `json:"number"`
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	Note   string    `json:"note,omitempty"`
}

func revisionInfo(r config.Revision) RevisionInfo {
	return RevisionInfo{r.Number(), r.Author(), r.Time(), r.Note()}
}

// Result is the response to a Request.
type Result struct {
	Outcome Outcome `json:"outcome"`
	// Revision is the accepted revision, the one that a plan would create, or
	// the one that may or may not have been stored; otherwise the one in force.
	Revision RevisionInfo `json:"revision"`
	// From is the revision in force on which the decision was based.
	From uint64 `json:"from"`
	// Changes are those of the request. If the outcome is Conflict, they are those
	// that others have made since the revision from which it was planned.
	Changes []Change `json:"changes,omitempty"`
	Holds   []string `json:"holds,omitempty"`
	Reason  string   `json:"reason,omitempty"`
}

// Newer reports whether a host that uses one revision must switch to the
// received one. Revisions reach a host in any order, because they come from the
// store and from other hosts.
func Newer(current, received config.Revision) bool { return received.Number() > current.Number() }

// storedRevision is a revision as read from an object of the store.
type storedRevision struct {
	rev     config.Revision // zero if there is none
	version uint64
	bytes   []byte
}

// decide checks a request against the revision in force and builds the next one.
// The planned revision, if known, is the one from which the request was
// planned. The target is the revision that a rollback restores; it is nil if it
// is no longer in the archive.
func decide(cur storedRevision, req Request, planned, target *config.Revision) (res Result, next config.Revision) {
	res = Result{Revision: revisionInfo(cur.rev), From: cur.rev.Number()}
	if cur.version == 0 && req.Kind != Replace {
		return refuse(res, "no configuration has been applied yet"), next
	}
	sites, drains := req.Sites, slices.Clone(cur.rev.Drains())
	switch req.Kind {
	case Rollback:
		if target == nil {
			return refuse(res, "revision %d is no longer in the archive", req.RollbackTo), next
		}
		sites = sitesOf(*target)
	case Drain, Undrain:
		sites = sitesOf(cur.rev)
		drains = slices.DeleteFunc(drains, func(s keys.Server) bool { return s == req.Server })
		if req.Kind == Drain {
			drains = append(drains, req.Server)
		}
	}
	if len(sites) == 0 {
		return refuse(res, "the request has no site; every host would be without configuration"), next
	}
	next, err := config.NewRevision(cur.rev.Number()+1, req.Author, req.Time, req.Note, sites)
	if err != nil {
		return refuse(res, "%v", err), next
	}
	next = next.WithDrains(drains).WithRetired(retiredLayouts(cur.rev, next))
	changes, err := Diff(cur.rev, next)
	if err != nil {
		return refuse(res, "%v", err), next
	}
	if len(changes) == 0 && cur.version != 0 {
		res.Outcome, res.Reason = Unchanged, "the revision in force already has this content"
		return res, next
	}
	planFromCurrent := req.Plan && req.PlannedFrom == 0
	if (req.Kind == Replace || req.Kind == Rollback) && !planFromCurrent && req.PlannedFrom != cur.rev.Number() {
		return revisionConflict(res, req, cur, planned), next
	}
	res.Changes = changes
	if reason := checkLayout(cur.rev, next); reason != "" {
		return refuse(res, "%s", reason), next
	}
	unconfirmed := false
	for _, h := range merge.ReviewRevision(cur.rev, next) {
		res.Holds = append(res.Holds, h.String())
		unconfirmed = unconfirmed || !slices.Contains(req.Override, h.Kind.String())
	}
	if req.Kind == Drain && !slices.ContainsFunc(req.Peers, func(s keys.Server) bool { return !slices.Contains(drains, s) }) {
		res.Holds = append(res.Holds, fmt.Sprintf("%s: draining %s would leave its cell without a server; the cell's keys would have no owner", LastServer, req.Server))
		unconfirmed = unconfirmed || !slices.Contains(req.Override, LastServer)
	}
	if unconfirmed {
		res.Outcome, res.Reason = Held, "the change requires confirmation of its holds"
		return res, next
	}
	res.Outcome, res.Revision = Accepted, revisionInfo(next)
	return res, next
}

func refuse(res Result, format string, args ...any) Result {
	res.Outcome, res.Reason = Refused, fmt.Sprintf(format, args...)
	return res
}

func revisionConflict(res Result, req Request, cur storedRevision, planned *config.Revision) Result {
	res.Outcome = Conflict
	res.Reason = fmt.Sprintf("planned from revision %d; %s has applied revision %d since", req.PlannedFrom, cur.rev.Author(), cur.rev.Number())
	if req.PlannedFrom > cur.rev.Number() {
		res.Reason = fmt.Sprintf("planned from revision %d, but revision %d is in force", req.PlannedFrom, cur.rev.Number())
	}
	if planned == nil {
		return res
	}
	if changes, err := Diff(*planned, cur.rev); err == nil {
		res.Changes = changes
	}
	return res
}

func sitesOf(r config.Revision) map[keys.DataCentre]config.Config {
	sites := make(map[keys.DataCentre]config.Config)
	for _, name := range r.Sites() {
		sites[name], _ = r.Site(name)
	}
	return sites
}

// checkLayout returns an error message if next changes the cells or the keyed
// flag of a service that exists or has existed, and "" otherwise. Hosts switch
// to a revision at different times and may miss some, so with a changed layout
// a server of the old cell and one of the new cell could both own a key.
func checkLayout(old, next config.Revision) string {
	before := maps.Clone(old.Retired())
	if before == nil {
		before = make(map[keys.Service]config.Layout)
	}
	for _, s := range servicesOf(old) {
		before[s.Name()] = s.Layout()
	}
	for _, s := range servicesOf(next) {
		o, ok := before[s.Name()]
		switch n := s.Layout(); {
		case !ok:
		case !o.SameCells(n):
			return fmt.Sprintf("service %s: dataCentres can't change yet: while cells move, two servers could own a key at once", s.Name())
		case o.Keyed() != n.Keyed():
			return fmt.Sprintf("service %s: keyed can't change yet: hosts would disagree on the owner of a key", s.Name())
		}
	}
	return ""
}

// retiredLayouts returns the layouts of all services that have been removed,
// those that next removes included.
func retiredLayouts(old, next config.Revision) map[keys.Service]config.Layout {
	retired := make(map[keys.Service]config.Layout)
	maps.Copy(retired, old.Retired())
	for _, s := range servicesOf(old) {
		retired[s.Name()] = s.Layout()
	}
	for _, s := range servicesOf(next) {
		delete(retired, s.Name())
	}
	return retired
}

// servicesOf returns the services of all sites, each once. The site from which
// it is taken doesn't matter, as all sites have the same layout of a service.
func servicesOf(r config.Revision) (all []config.Service) {
	seen := make(map[keys.Service]bool)
	for _, name := range r.Sites() {
		c, _ := r.Site(name)
		for _, s := range c.Services() {
			if !seen[s.Name()] {
				seen[s.Name()] = true
				all = append(all, s)
			}
		}
	}
	return all
}
