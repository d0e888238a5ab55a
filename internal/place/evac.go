package place

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Evacuation says that the servers of a data centre get no requests. The owners of
// keys there get those for their keys until OwnersUntil, as the keys move meanwhile.
type Evacuation struct {
	DC          keys.DataCentre
	OwnersUntil clock.Time
}

// SetEvacuated replaces the list of evacuated data centres.
func (s *State) SetEvacuated(now clock.Time, list []Evacuation) []Action {
	s.evacuations = make(map[keys.DataCentre]clock.Time, len(list))
	for _, e := range list {
		s.evacuations[e.DC] = e.OwnersUntil
	}
	s.groupServers()
	return s.dispatchAll(now)
}

// markEvacuated records in a server whether its data centre is evacuated.
func (s *State) markEvacuated(sv *server) (evacuated bool) {
	sv.ownsUntil, sv.evacuated = s.evacuations[sv.DC]
	return sv.evacuated
}

// allEvacuated reports whether no server can run the requests of a service because
// of evacuations. Keys have no server to move to then.
func (s *State) allEvacuated(now clock.Time, name keys.Service) bool {
	return len(s.evacuations) > 0 && s.evacuatedOf[name] && len(s.candidates(now, name)) == 0
}
