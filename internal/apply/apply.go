// Package apply decides about new configuration revisions. It has no clock, no
// I/O and no goroutine: an Attempt says which object of the store to read or
// write next and is told the result.
//
// # Usage
//
//	a := apply.New(apply.Request{Author: "moana", Time: time.Now(), From: 7, Sites: sites})
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
// CurrentObject has the revision in force. Before it is replaced, it is copied
// to one of ArchiveSlots archive objects. The archive is what a rollback
// restores from, and what tells an operator whose write had an unknown result
// whether it took effect, when the revision has already been replaced again.
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
	// ArchiveSlots is the number of replaced revisions that are kept. The
	// store has no deletion, so slots are reused.
	ArchiveSlots = 64
)

// ArchiveObject returns the store object that keeps a revision after it was
// replaced.
func ArchiveObject(revision uint64) string {
	return fmt.Sprintf("config/archive/%02d", revision%ArchiveSlots)
}

// LastServer is the kind of the hold of a drain that would leave a cell without
// a server. The other kinds are those of merge.HoldKind.
const LastServer = "last-server"

//go:generate go tool stringer -type=Outcome -linecomment -output=apply_string.go

// Outcome is the answer to an operator.
type Outcome int

// Outcomes. All but Accepted and Unknown mean that the request is not in force
// through this attempt and never will be.
const (
	Accepted    Outcome = iota // accepted
	Unchanged                  // unchanged
	Raced                      // raced
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

// Kind is what an operator asks for.
type Kind int

// Kinds.
const (
	Replace  Kind = iota // new configuration of all sites
	Rollback             // the sites of an archived revision again
	Drain                // a backend server to be drained
	Undrain              // a backend server not to be drained any more
)

// Request is what an operator asks for.
type Request struct {
	Kind     Kind
	Author   string
	Note     string
	Time     time.Time
	From     uint64                            // revision from which the change was planned; Replace and Rollback; 0 in a plan: the one in force
	Sites    map[keys.DataCentre]config.Config // Replace
	To       uint64                            // Rollback
	Server   keys.Server                       // Drain and Undrain
	Peers    []keys.Server                     // Drain: the other live servers of its cell
	Override []string                          // kinds of holds that the operator confirms
	Plan     bool                              // decide only, write nothing
}

// Origin says who made a revision.
type Origin struct {
	Number uint64    `json:"number"`
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	Note   string    `json:"note,omitempty"`
}

func originOf(r config.Revision) Origin { return Origin{r.Number(), r.Author(), r.Time(), r.Note()} }

// Result answers a Request.
type Result struct {
	Outcome Outcome `json:"outcome"`
	// Revision is the accepted revision, the one that a plan would create, or
	// the one whose fate is unknown; otherwise the one in force.
	Revision Origin `json:"revision"`
	// From is the revision in force on which the decision was based.
	From uint64 `json:"from"`
	// Changes are those of the request; if it was raced, those that others
	// have made since the revision from which it was planned.
	Changes []Change `json:"changes,omitempty"`
	Holds   []string `json:"holds,omitempty"`
	Reason  string   `json:"reason,omitempty"`
}

// Newer reports whether a host that has a revision adopts another one.
// Revisions reach a host in any order: from the store and from other hosts.
func Newer(have, got config.Revision) bool { return got.Number() > have.Number() }

// base is what the store has.
type base struct {
	rev     config.Revision // zero if there is none
	version uint64
	bytes   []byte
}

// decide applies the rules to a request. The planned revision, if known, is
// the one from which the request was planned; the target is that of a
// rollback.
func decide(cur base, req Request, planned, target *config.Revision) (res Result, next config.Revision) {
	res = Result{Revision: originOf(cur.rev), From: cur.rev.Number()}
	if cur.version == 0 && req.Kind != Replace {
		return refused(res, "there is no configuration yet"), next
	}
	sites, drains := req.Sites, slices.Clone(cur.rev.Drains())
	switch req.Kind {
	case Rollback:
		if target == nil {
			return refused(res, "revision %d is not kept any more", req.To), next
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
		return refused(res, "the request has no site; every host would be without configuration"), next
	}
	next, err := config.NewRevision(cur.rev.Number()+1, req.Author, req.Time, req.Note, sites)
	if err != nil {
		return refused(res, "%v", err), next
	}
	next = next.WithDrains(drains).WithRetired(retire(cur.rev, next))
	changes, err := Diff(cur.rev, next)
	if err != nil {
		return refused(res, "%v", err), next
	}
	if len(changes) == 0 && cur.version != 0 {
		res.Outcome, res.Reason = Unchanged, "the revision in force has this content already"
		return res, next
	}
	anyPlan := req.Plan && req.From == 0
	if (req.Kind == Replace || req.Kind == Rollback) && !anyPlan && req.From != cur.rev.Number() {
		return raced(res, req, cur, planned), next
	}
	res.Changes = changes
	if why := layoutChange(cur.rev, next); why != "" {
		return refused(res, "%s", why), next
	}
	open := false
	for _, h := range merge.ReviewRevision(cur.rev, next) {
		res.Holds = append(res.Holds, h.String())
		open = open || !slices.Contains(req.Override, h.Kind.String())
	}
	if req.Kind == Drain && !slices.ContainsFunc(req.Peers, func(s keys.Server) bool { return !slices.Contains(drains, s) }) {
		res.Holds = append(res.Holds, fmt.Sprintf("%s: no server of the cell of %s would be left; its keys would have no owner", LastServer, req.Server))
		open = open || !slices.Contains(req.Override, LastServer)
	}
	if open {
		res.Outcome, res.Reason = Held, "the change needs a confirmation"
		return res, next
	}
	res.Outcome, res.Revision = Accepted, originOf(next)
	return res, next
}

func refused(res Result, format string, args ...any) Result {
	res.Outcome, res.Reason = Refused, fmt.Sprintf(format, args...)
	return res
}

func raced(res Result, req Request, cur base, planned *config.Revision) Result {
	res.Outcome = Raced
	res.Reason = fmt.Sprintf("planned from revision %d; %s has applied revision %d since", req.From, cur.rev.Author(), cur.rev.Number())
	if req.From > cur.rev.Number() {
		res.Reason = fmt.Sprintf("planned from revision %d, but revision %d is in force", req.From, cur.rev.Number())
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

// layoutChange says what a revision changes about the cells of a service that
// exists or has existed. Hosts adopt a revision at different times and may miss
// some, so with a changed layout the old cell and the new one could both own a
// key.
func layoutChange(old, next config.Revision) string {
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
			return fmt.Sprintf("service %s: dataCentres can't change yet: while cells move, two could own a key at once", s.Name())
		case o.Keyed() != n.Keyed():
			return fmt.Sprintf("service %s: keyed can't change yet: hosts would disagree on who owns a key", s.Name())
		}
	}
	return ""
}

// retire returns the layouts of all services that have been removed.
func retire(old, next config.Revision) map[keys.Service]config.Layout {
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

// servicesOf returns the services of all sites, each once. All sites agree on
// what layoutChange compares.
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
