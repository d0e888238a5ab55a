// Package fleet tracks the backend servers of all services.
//
// A Registry is updated with the registrations that are read from the store. If
// a registration disappears during or right after an outage of the store, the
// Registry keeps the server for a short grace period, because a running server
// registers again.
//
// # Usage
//
//	r := fleet.NewRegistry()
//	r.Replace(now, servers, false)
//	changed := r.Expire(now) // periodically
//	for _, sv := range r.List() { ... }
package fleet

import (
	"slices"
	"strings"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// registrationGrace is how long a server is kept after its registration has
// disappeared in an outage of the store. Most servers register again with their
// next heartbeat to the store. The grace is shorter than the 2 s after which a
// draining server must get no more requests: a network partition of this host
// can't be distinguished from an outage of the store.
const registrationGrace = 1600 * clock.Millisecond

// Server is a backend server.
type Server struct {
	ID       keys.Server
	Service  keys.Service
	Addr     string // host:port
	DC       keys.DataCentre
	Slots    int
	Draining bool
	Warmup   clock.Span // remaining warm-up time when the registration was written
	Born     int64      // incarnation: Unix time in ms of its start
}

// Incarnation is one process of a server.
type Incarnation struct {
	ID   keys.Server `cbor:"1,keyasint"`
	Born int64       `cbor:"2,keyasint"` // as in Server
}

// Incarnation returns the process that a registration describes.
func (sv Server) Incarnation() Incarnation { return Incarnation{ID: sv.ID, Born: sv.Born} }

// Registry is the current set of backend servers.
type Registry struct {
	servers    map[keys.Server]Server
	graceUntil map[keys.Server]clock.Time // of servers whose registration disappeared in an outage
}

// NewRegistry returns an empty Registry.
func NewRegistry() *Registry {
	return &Registry{servers: make(map[keys.Server]Server), graceUntil: make(map[keys.Server]clock.Time)}
}

// Put adds or replaces a server.
func (r *Registry) Put(sv Server) {
	r.servers[sv.ID] = sv
	delete(r.graceUntil, sv.ID)
}

// Remove handles a registration that is gone. During an outage of the store a
// server that wasn't draining is kept for the grace period.
func (r *Registry) Remove(now clock.Time, id keys.Server, outage bool) {
	sv, ok := r.servers[id]
	if !ok {
		return
	}
	if !outage || sv.Draining {
		delete(r.servers, id)
		delete(r.graceUntil, id)
		return
	}
	if _, ok := r.graceUntil[id]; !ok {
		r.graceUntil[id] = now.Add(registrationGrace)
	}
}

// Replace sets the complete list of registered servers. Servers that are not in
// it are removed as by Remove.
func (r *Registry) Replace(now clock.Time, servers []Server, outage bool) {
	registered := make(map[keys.Server]bool, len(servers))
	for _, sv := range servers {
		registered[sv.ID] = true
		r.Put(sv)
	}
	for id := range r.servers {
		if !registered[id] {
			r.Remove(now, id, outage)
		}
	}
}

// Expire removes the servers whose grace period is over, and reports whether
// there were any.
func (r *Registry) Expire(now clock.Time) (changed bool) {
	for id, until := range r.graceUntil {
		if !now.Before(until) {
			delete(r.graceUntil, id)
			delete(r.servers, id)
			changed = true
		}
	}
	return changed
}

// List returns all servers in the order of their IDs.
func (r *Registry) List() []Server {
	servers := make([]Server, 0, len(r.servers))
	for _, sv := range r.servers {
		servers = append(servers, sv)
	}
	slices.SortFunc(servers, func(a, b Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return servers
}

// Registered returns the servers that have a registration, in the order of their
// IDs.
func (r *Registry) Registered() []Server {
	return slices.DeleteFunc(r.List(), func(sv Server) bool {
		_, unregistered := r.graceUntil[sv.ID]
		return unregistered
	})
}

// Get returns a server by its ID.
func (r *Registry) Get(id keys.Server) (Server, bool) {
	sv, ok := r.servers[id]
	return sv, ok
}

func (r *Registry) Len() int { return len(r.servers) }
