package merge

import (
	"fmt"

	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

//go:generate go tool stringer -type=HoldKind -linecomment -output=review_string.go

// HoldKind is a kind of change that is more often a mistake than intended.
type HoldKind int

const (
	NoServices         HoldKind = iota // no-services
	ServiceRemoved                     // service-removed
	DataCentresRemoved                 // data-centres-removed
	SlotsLowered                       // slots-lowered
	KeyedToKeyless                     // keyed-to-keyless
	SiteRemoved                        // site-removed
)

// Hold marks a change that is applied only if the operator confirms it.
type Hold struct {
	Kind    HoldKind
	Site    keys.DataCentre // empty if the configuration has no site
	Service keys.Service    // empty if the change affects the whole site
	Reason  string
}

// String returns the hold on one line.
func (h Hold) String() string {
	s := h.Kind.String() + ": "
	if h.Site != "" {
		s += "site " + string(h.Site) + ": "
	}
	return s + h.Reason
}

// Review returns the holds of a change from the configuration in force at a site
// to a new one.
func Review(old, new config.Config) (holds []Hold) {
	add := func(k HoldKind, s keys.Service, format string, args ...any) {
		holds = append(holds, Hold{Kind: k, Site: old.Site(), Service: s, Reason: fmt.Sprintf(format, args...)})
	}
	if len(new.Services()) == 0 {
		add(NoServices, "", "the list of services is empty; every request would be refused")
	}
	for _, o := range old.Services() {
		n, ok := new.Service(o.Name())
		if !ok {
			add(ServiceRemoved, o.Name(), "service %s is removed; all its requests would be refused", o.Name())
			continue
		}
		if !keepsDataCentre(o, n) {
			add(DataCentresRemoved, o.Name(),
				"service %s is removed from all its current data centres; all its keys would move at once", o.Name())
		}
		if before, after := o.Server().Slots(), n.Server().Slots(); 2*after < before {
			add(SlotsLowered, o.Name(), "slots of service %s fall from %d to %d, less than half", o.Name(), before, after)
		}
		if o.Keyed() && !n.Keyed() {
			add(KeyedToKeyless, o.Name(), "service %s becomes keyless; its keys would have no exclusive owner", o.Name())
		}
	}
	return holds
}

// keepsDataCentre reports whether at least one data centre has cells both of the
// old and of the new service.
func keepsDataCentre(old, new config.Service) bool {
	weights := map[keys.DataCentre]int{}
	for _, d := range new.DataCentres() {
		weights[d.Name()] = d.Weight()
	}
	for _, d := range old.DataCentres() {
		if d.Weight() > 0 && weights[d.Name()] > 0 {
			return true
		}
	}
	return false
}

// ReviewRevision returns the holds of a change of the configurations of all
// sites.
func ReviewRevision(old, new config.Revision) (holds []Hold) {
	for _, site := range old.Sites() {
		o, _ := old.Site(site)
		n, ok := new.Site(site)
		if !ok {
			holds = append(holds, Hold{Kind: SiteRemoved, Site: site, Reason: "the configuration of the site is removed"})
			continue
		}
		holds = append(holds, Review(o, n)...)
	}
	return holds
}
