package apply

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Change is a field that differs between two revisions. An empty value means
// that the revision doesn't have the field.
type Change struct {
	Site  keys.DataCentre `json:"site,omitempty"` // empty for a field that all sites share
	Field string          `json:"field"`
	Old   string          `json:"old,omitempty"`
	New   string          `json:"new,omitempty"`
}

// Diff returns the fields that differ, sorted by site and field.
func Diff(old, next config.Revision) (changes []Change, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("apply.Diff: %w", err)
		}
	}()
	sites := slices.Concat(old.Sites(), next.Sites())
	slices.Sort(sites)
	for _, site := range slices.Compact(sites) {
		before, err := fieldValues(old, site)
		if err != nil {
			return nil, err
		}
		after, err := fieldValues(next, site)
		if err != nil {
			return nil, err
		}
		for f, v := range before {
			if w := after[f]; w != v {
				changes = append(changes, Change{site, f, v, w})
			}
		}
		for f, w := range after {
			if _, ok := before[f]; !ok {
				changes = append(changes, Change{site, f, "", w})
			}
		}
	}
	for _, s := range old.Drains() {
		if !slices.Contains(next.Drains(), s) {
			changes = append(changes, Change{Field: "drains", Old: string(s)})
		}
	}
	for _, s := range next.Drains() {
		if !slices.Contains(old.Drains(), s) {
			changes = append(changes, Change{Field: "drains", New: string(s)})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Site, b.Site), cmp.Compare(a.Field, b.Field), cmp.Compare(a.New, b.New))
	})
	return changes, nil
}

// fieldValues returns the values of a site by the paths of their fields,
// defaults included.
func fieldValues(r config.Revision, site keys.DataCentre) (map[string]string, error) {
	c, ok := r.Site(site)
	if !ok {
		return nil, nil
	}
	b, err := config.Encode(c)
	if err != nil {
		return nil, err
	}
	doc, probs := config.Parse("", b)
	if err := probs.Err(); err != nil {
		return nil, err
	}
	m := make(map[string]string)
	for _, l := range doc.Root().Leaves() {
		m[l.Field()] = l.Value.String()
	}
	return m, nil
}
