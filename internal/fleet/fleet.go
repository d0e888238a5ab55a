// Package fleet tracks the backend servers of all services.
//
// A View is updated with the registrations that are read from the store. If a
// registration disappears during or right after an outage of the store, the View
// keeps the server for a short grace period, because a running server registers
// again.
//
// # Usage
//
//	v := fleet.NewView()
//	v.Replace(now, servers, false)
//	for _, sv := range v.List() { ... }
package fleet

import (
	"slices"
	"strings"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// registrationGrace is how long a server is kept after its registration has
// disappeared in an outage of the store. Most servers register again within one
// heartbeat after the store is back. The grace is shorter than the 2 s after
// which a draining server must get no more requests: what this host sees as an
// outage of the store may be a network partition of the host itself.
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

// View is the current set of backend servers.
type View struct {
	servers    map[keys.Server]Server
	graceUntil map[keys.Server]clock.Time // of servers whose registration disappeared in an outage
}

// NewView returns an empty View.
func NewView() *View {
	return &View{servers: make(map[keys.Server]Server), graceUntil: make(map[keys.Server]clock.Time)}
}

// Put adds or replaces a server.
func (v *View) Put(sv Server) {
	v.servers[sv.ID] = sv
	delete(v.graceUntil, sv.ID)
}

// Remove handles a registration that is gone. During an outage of the store a
// server that wasn't draining is kept for the grace period.
func (v *View) Remove(now clock.Time, id keys.Server, outage bool) {
	sv, ok := v.servers[id]
	if !ok {
		return
	}
	if !outage || sv.Draining {
		delete(v.servers, id)
		delete(v.graceUntil, id)
		return
	}
	if _, ok := v.graceUntil[id]; !ok {
		v.graceUntil[id] = now.Add(registrationGrace)
	}
}

// Replace sets the complete list of registered servers. Servers that are not in
// it are removed as by Remove.
func (v *View) Replace(now clock.Time, servers []Server, outage bool) {
	registered := make(map[keys.Server]bool, len(servers))
	for _, sv := range servers {
		registered[sv.ID] = true
		v.Put(sv)
	}
	for id := range v.servers {
		if !registered[id] {
			v.Remove(now, id, outage)
		}
	}
}

// Expire removes the servers whose grace period is over, and reports whether
// there were any.
func (v *View) Expire(now clock.Time) (changed bool) {
	for id, until := range v.graceUntil {
		if !now.Before(until) {
			delete(v.graceUntil, id)
			delete(v.servers, id)
			changed = true
		}
	}
	return changed
}

// List returns all servers in the order of their IDs.
func (v *View) List() []Server {
	servers := make([]Server, 0, len(v.servers))
	for _, sv := range v.servers {
		servers = append(servers, sv)
	}
	slices.SortFunc(servers, func(a, b Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return servers
}

// Entries returns the servers that have a registration, in the order of their
// IDs.
func (v *View) Entries() []Server {
	return slices.DeleteFunc(v.List(), func(sv Server) bool {
		_, unregistered := v.graceUntil[sv.ID]
		return unregistered
	})
}

// Get returns a server by its ID.
func (v *View) Get(id keys.Server) (Server, bool) {
	sv, ok := v.servers[id]
	return sv, ok
}

func (v *View) Len() int { return len(v.servers) }
