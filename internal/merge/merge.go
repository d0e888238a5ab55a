// Package merge combines the base and the overlay of a site into one service
// configuration, and finds changes that an operator should confirm.
//
// # Usage
//
//	m, probs := merge.Merge(base, overlay)
//	if err := config.Problems(probs).Err(); err != nil { ... }
//	for _, e := range m.Entries() {
//		fmt.Println(e.Field, e.Value, e.Origin)
//	}
//	holds := merge.Review(current, m.Config())
//
// The fields of an object are merged one by one. Any other value, an array
// included, is replaced as a whole, and null removes the base's field, so that
// its default applies. The result doesn't depend on the order of fields.
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

// Merged is the result of a merge. Every value in it knows where it was
// written.
type Merged struct {
	doc Document
	cfg config.Config
}

// Document returns the merged values, with the fields of objects sorted.
func (m Merged) Document() Document { return m.doc }

// Config returns the merged configuration. It is to be used only if Merge
// reported no error.
func (m Merged) Config() config.Config { return m.cfg }

// Entry is a value of the result. The origin of a value that no file states is
// the zero Origin.
type Entry struct {
	Field  string
	Value  config.Value
	Origin config.Origin
}

// Entries returns every value that is in force, defaults included, sorted by
// field.
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

// Merge applies the overlay of a site to the base. The result is refused, that
// is an error is among the problems, if it isn't a valid configuration or if
// the overlay changes what all sites must agree on. The zero Document stands
// for an overlay that states nothing.
func Merge(base, overlay Document) (m Merged, probs []Problem) {
	g := merger{}
	if r := overlay.Root(); r.Kind() == config.Null && r.Origin() == (config.Origin{}) {
		overlay = config.NewDocument(config.NewObject(config.Origin{}, nil))
	}
	m.doc = config.NewDocument(g.values("", base.Root(), overlay.Root()))
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

func (g *merger) add(s config.Severity, o config.Origin, field, format string, args ...any) {
	g.problems = append(g.problems, Problem{
		Origin: o, Field: field, Message: fmt.Sprintf(format, args...), Severity: s,
	})
}

// values merges two values of which the overlay's isn't null.
func (g *merger) values(path string, base, overlay config.Value) config.Value {
	if overlay.Kind() != config.Object {
		if overlay.Equal(base) {
			g.add(config.SeverityWarning, overlay.Origin(), path,
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
		if b.Value.Kind() == config.Object { // sorts the fields below
			b.Value = g.values("", b.Value, config.NewObject(config.Origin{}, nil))
		}
		members = append(members, b)
	}
	for _, o := range overlay.Members() {
		field := config.Join(path, o.Name)
		b, inBase := base.Get(o.Name)
		switch {
		case o.Value.Kind() == config.Null && !inBase:
			g.add(config.SeverityWarning, o.Value.Origin(), field, "removes a field that the base doesn't have")
		case o.Value.Kind() == config.Null:
		default:
			members = append(members, config.Member{Name: o.Name, Value: g.values(field, b, o.Value)})
		}
	}
	return config.NewObject(origin, sorted(members))
}

func sorted(ms []config.Member) []config.Member {
	slices.SortFunc(ms, func(a, b config.Member) int { return strings.Compare(a.Name, b.Name) })
	return ms
}

// checkShared refuses an overlay that changes what decides who owns a key. Two
// sites that disagree about it could each have an owner for the same key.
func (g *merger) checkShared(base, overlay config.Value) {
	services, _ := overlay.Get("services")
	site, _ := overlay.Get("site")
	for _, m := range services.Members() {
		path := config.Join("services", m.Name)
		b, ok := base.Find("services", m.Name)
		if m.Value.Kind() == config.Null {
			g.checkRemoved(base, m, site)
			continue
		}
		if !ok {
			g.add(config.SeverityError, m.Value.Origin(), path,
				"is not in the base; an overlay can't add a service, because all sites must route it alike")
			continue
		}
		for _, field := range []string{"keyed", "path", "dataCentres"} {
			v, ok := m.Value.Get(field)
			if !ok {
				continue
			}
			before, _ := b.Get(field)
			if !(&merger{}).values("", before, v).Equal(before) || v.Kind() == config.Null {
				g.add(config.SeverityError, v.Origin(), config.Join(path, field),
					"differs from the base; all sites must agree on it, because it decides who owns a key")
			}
		}
	}
}

// checkRemoved refuses to remove a service at a site that has cells of it:
// nobody would assign them.
func (g *merger) checkRemoved(base config.Value, m config.Member, site config.Value) {
	name := site.Text()
	weight, ok := base.Find("services", m.Name, "dataCentres", name, "weight")
	if ok && weight.Text() != "0" {
		g.add(config.SeverityError, m.Value.Origin(), config.Join("services", m.Name),
			"can't be removed at %s, which has cells of it; set the weight of %s to 0 in the base first", name, name)
	}
}

// checkSite points out a site that has no cells, because its name may be
// misspelt.
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
	g.add(config.SeverityWarning, v.Origin(), "site", "no service has %s among its data centres", cfg.Site())
}
