package config

import (
	"maps"
	"slices"

	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Layout holds the fields of a service that determine the cell of a key, and
// whether the key has an exclusive owner.
type Layout struct {
	keyed       bool
	dataCentres []DataCentre
}

// Layout returns the layout of the service's cells.
func (s Service) Layout() Layout { return Layout{s.keyed, s.dataCentres} }

// SameCells reports whether both layouts have the same cells with the same
// parts of the hash space.
func (l Layout) SameCells(m Layout) bool { return slices.Equal(l.dataCentres, m.dataCentres) }

// Keyed reports whether keys are owned exclusively.
func (l Layout) Keyed() bool { return l.keyed }

// Retired returns the layouts of removed services, whose cells a host that
// missed the removal may still use. It must not be modified.
func (r Revision) Retired() map[keys.Service]Layout { return r.retired }

// WithRetired returns a copy of r with the given layouts of removed services.
func (r Revision) WithRetired(retired map[keys.Service]Layout) Revision {
	r.retired = nil
	if len(retired) > 0 {
		r.retired = maps.Clone(retired)
	}
	return r
}

type wireLayout struct {
	Keyed       bool                      `json:"keyed"`
	DataCentres map[string]wireDataCentre `json:"dataCentres"`
}

func (l Layout) wire() wireLayout {
	w := wireLayout{l.keyed, make(map[string]wireDataCentre, len(l.dataCentres))}
	for _, d := range l.dataCentres {
		w.DataCentres[string(d.name)] = wireDataCentre{d.weight, d.cells}
	}
	return w
}

func (w wireLayout) layout() Layout {
	l := Layout{keyed: w.Keyed}
	for _, name := range slices.Sorted(maps.Keys(w.DataCentres)) {
		d := w.DataCentres[name]
		l.dataCentres = append(l.dataCentres, DataCentre{keys.DataCentre(name), d.Weight, d.Cells})
	}
	return l
}

func encodeLayouts(m map[keys.Service]Layout) map[keys.Service]wireLayout {
	w := make(map[keys.Service]wireLayout, len(m))
	for name, l := range m {
		w[name] = l.wire()
	}
	return w
}

func decodeLayouts(w map[keys.Service]wireLayout) map[keys.Service]Layout {
	m := make(map[keys.Service]Layout, len(w))
	for name, l := range w {
		m[name] = l.layout()
	}
	return m
}
