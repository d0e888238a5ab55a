// Package merge combines the base and the overlay of a site into one service
// configuration, and detects changes that require an operator's confirmation.
//
// # Usage
//
//	m, probs := merge.Merge(base, overlay)
//	if err := config.Problems(probs).Err(); err != nil { ... }
//	entries, err := m.Entries()
//	for _, e := range entries {
//		fmt.Println(e.Field, e.Value, e.Origin)
//	}
//	holds := merge.Review(old, m.Config()) // old is the configuration in force
//
// The fields of an object are merged one by one. Any other value of the overlay,
// an array included, replaces the whole value of the base. A null removes the
// base's field, so that its default applies. The result doesn't depend on the
// order of fields.
package merge

import (
	"fmt"
	"slices"
	"strings"

	"github.com/laburnummux/laburnummux/internal/config"
)

// Types of package config that callers of Merge need.
type (
	Document = config.Document
	Problem  = config.Problem
)

// Merged is the result of a merge. Every value in it has its origin in one of
// the two files.
type Merged struct {
	doc Document
	cfg config.Config
}

// Document returns the merged values, with the fields of objects sorted.
func (m Merged) Document() Document { return m.doc }

// Config returns the merged configuration. It must not be used if Merge
// reported an error.
func (m Merged) Config() config.Config { return m.cfg }

// Entry is a value of the result. A default, which neither file states, has the
// zero Origin.
type Entry struct {
	Field  string
	Value  config.Value
	Origin config.Origin
}

// Entries returns every effective value, defaults included, sorted by field.
func (m Merged) Entries() (all []Entry, err error) {
	b, err := config.Encode(m.cfg)
	if err != nil {
		return nil, fmt.Errorf("merge.Entries: %w", err)
	}
	complete, probs := config.Parse("", b)
	if err := probs.Err(); err != nil {
		return nil, fmt.Errorf("merge.Entries: %w", err)
	}
	for _, l := range complete.Root().Leaves() {
		e := Entry{Field: l.Field(), Value: l.Value}
		if v, ok := m.doc.Root().Find(l.Path...); ok {
			e.Origin = v.Origin()
		}
		all = append(all, e)
	}
	slices.SortFunc(all, func(a, b Entry) int { return strings.Compare(a.Field, b.Field) })
	return all, nil
}

// Merge applies the overlay of a site to the base. It reports a problem of
// severity error if the result isn't a valid configuration or if the overlay
// changes a field that must be the same at all sites. The zero Document is an
// empty overlay.
func Merge(base, overlay Document) (m Merged, probs []Problem) {
	g := merger{}
	if r := overlay.Root(); r.Kind() == config.Null && r.Origin() == (config.Origin{}) {
		overlay = config.NewDocument(config.NewObject(config.Origin{}, nil))
	}
	m.doc = config.NewDocument(g.mergeValues("", base.Root(), overlay.Root()))
	g.checkShared(base.Root(), overlay.Root())
	cfg, invalid := m.doc.Config()
	m.cfg = cfg
	g.problems = append(g.problems, invalid...)
	if invalid.Err() == nil {
		g.checkSite(cfg, overlay.Root())
	}
	return m, g.problems
}

// merger collects the problems of a merge.
type merger struct {
	problems []Problem
}

func (g *merger) addProblem(s config.Severity, o config.Origin, field, format string, args ...any) {
	g.problems = append(g.problems, Problem{
		Origin: o, Field: field, Message: fmt.Sprintf(format, args...), Severity: s,
	})
}

// mergeValues merges two values. The overlay's must not be null.
func (g *merger) mergeValues(path string, base, overlay config.Value) config.Value {
	if overlay.Kind() != config.Object {
		if overlay.Equal(base) {
			g.addProblem(config.SeverityWarning, overlay.Origin(), path,
				"repeats the value of %s; it can be left out", base.Origin())
		}
		return overlay
	}
	origin := base.Origin()
	if base.Kind() != config.Object {
		origin = overlay.Origin()
	}
	var members []config.Member
	for _, b := range base.Members() {
		if _, ok := overlay.Get(b.Name); ok {
			continue
		}
		if b.Value.Kind() == config.Object { // only sorts the nested fields
			b.Value = g.mergeValues("", b.Value, config.NewObject(config.Origin{}, nil))
		}
		members = append(members, b)
	}
	for _, o := range overlay.Members() {
		field := config.JoinPath(path, o.Name)
		b, inBase := base.Get(o.Name)
		switch {
		case o.Value.Kind() == config.Null && !inBase:
			g.addProblem(config.SeverityWarning, o.Value.Origin(), field, "removes a field that the base doesn't have")
		case o.Value.Kind() == config.Null:
		default:
			members = append(members, config.Member{Name: o.Name, Value: g.mergeValues(field, b, o.Value)})
		}
	}
	return config.NewObject(origin, sortMembers(members))
}

func sortMembers(ms []config.Member) []config.Member {
	slices.SortFunc(ms, func(a, b config.Member) int { return strings.Compare(a.Name, b.Name) })
	return ms
}

// checkShared reports an error if an overlay changes fields that determine the
// owner of a key. Sites with different values of these fields could each have an
// owner for the same key.
func (g *merger) checkShared(base, overlay config.Value) {
	services, _ := overlay.Get("services")
	site, _ := overlay.Get("site")
	for _, m := range services.Members() {
		path := config.JoinPath("services", m.Name)
		b, ok := base.Find("services", m.Name)
		if m.Value.Kind() == config.Null {
			g.checkRemoved(base, m, site)
			continue
		}
		if !ok {
			g.addProblem(config.SeverityError, m.Value.Origin(), path,
				"is not in the base; an overlay can't add a service, because all sites must route it in the same way")
			continue
		}
		for _, field := range []string{"keyed", "path", "dataCentres"} {
			v, ok := m.Value.Get(field)
			if !ok {
				continue
			}
			before, _ := b.Get(field)
			if !(&merger{}).mergeValues("", before, v).Equal(before) || v.Kind() == config.Null {
				g.addProblem(config.SeverityError, v.Origin(), config.JoinPath(path, field),
					"differs from the base; it must be the same at all sites, because it determines the owner of a key")
			}
		}
	}
}

// checkRemoved reports an error if a service is removed at a site that has cells
// of it, because these cells would have no assigner.
func (g *merger) checkRemoved(base config.Value, m config.Member, site config.Value) {
	name := site.Text()
	weight, ok := base.Find("services", m.Name, "dataCentres", name, "weight")
	if ok && weight.Text() != "0" {
		g.addProblem(config.SeverityError, m.Value.Origin(), config.JoinPath("services", m.Name),
			"can't be removed at %s, which has cells of it; set the weight of %s to 0 in the base first", name, name)
	}
}

// checkSite warns about a site without cells, whose name may be misspelt.
func (g *merger) checkSite(cfg config.Config, overlay config.Value) {
	v, ok := overlay.Get("site")
	if !ok || len(cfg.Services()) == 0 {
		return
	}
	for _, s := range cfg.Services() {
		if slices.ContainsFunc(s.DataCentres(), func(d config.DataCentre) bool { return d.Name() == cfg.Site() }) {
			return
		}
	}
	g.addProblem(config.SeverityWarning, v.Origin(), "site", "no service has %s among its data centres", cfg.Site())
}
