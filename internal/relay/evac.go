package relay

import "github.com/laburnummux/laburnummux/internal/place"

// SetEvacuated replaces the list of data centres whose servers get no requests.
func (r *Relay) SetEvacuated(list []place.Evacuation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.deliver(r.placement.SetEvacuated(r.cfg.Clock.Now(), list))
}
