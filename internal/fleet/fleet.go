// Package fleet knows the backend servers of all services.
//
// A View is fed with what the store says. It keeps a server whose entry
// vanished during or right after an outage of the store for a short time,
// because such entries come back if the server lives.
//
// # Usage
//
//	v := fleet.NewView()
//	v.Replace(now, servers, false)
//	for _, sv := range v.Usable("ledger") { ... }
package fleet

import (
	"slices"
	"strings"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// lapseGrace is how long a server outlives the loss of its entry in an outage
// of the store. Most entries are back within a heartbeat of the store's return.
// It stays below the bound for leaving servers (2 s): what looks like an outage
// of the store to this host may be a cut of its own.
const lapseGrace = 1600 * clock.Millisecond

// Server is a backend server.
type Server struct {
	ID       keys.Server
	Service  keys.Service
	Addr     string // host:port
	DC       keys.DataCentre
	Slots    int
	Draining bool
	Warmup   clock.Span // how much longer it was slow when the entry was written
	Born     int64      // Unix time in ms of its start; tells its runs apart
}

// View is the current set of servers.
type View struct {
	servers map[keys.Server]Server
	lapsed  map[keys.Server]clock.Time // entry vanished in an outage; usable until then
}

// NewView returns an empty View.
func NewView() *View {
	return &View{servers: make(map[keys.Server]Server), lapsed: make(map[keys.Server]clock.Time)}
}

// Put adds or replaces a server.
func (v *View) Put(sv Server) {
	v.servers[sv.ID] = sv
	delete(v.lapsed, sv.ID)
}

// Remove says that a server's entry is gone. In an outage of the store a
// server that had not said that it leaves is kept for a while.
func (v *View) Remove(now clock.Time, id keys.Server, outage bool) {
	sv, ok := v.servers[id]
	if !ok {
		return
	}
	if !outage || sv.Draining {
		delete(v.servers, id)
		delete(v.lapsed, id)
		return
	}
	if _, ok := v.lapsed[id]; !ok {
		v.lapsed[id] = now.Add(lapseGrace)
	}
}

// Replace takes a complete list. Servers that are not in it are removed.
func (v *View) Replace(now clock.Time, list []Server, outage bool) {
	seen := make(map[keys.Server]bool, len(list))
	for _, sv := range list {
		seen[sv.ID] = true
		v.Put(sv)
	}
	for id := range v.servers {
		if !seen[id] {
			v.Remove(now, id, outage)
		}
	}
}

// Expire drops servers whose grace is over, and reports whether there were any.
func (v *View) Expire(now clock.Time) (changed bool) {
	for id, until := range v.lapsed {
		if !now.Before(until) {
			delete(v.lapsed, id)
			delete(v.servers, id)
			changed = true
		}
	}
	return changed
}

// List returns all servers in the order of their names.
func (v *View) List() []Server {
	list := make([]Server, 0, len(v.servers))
	for _, sv := range v.servers {
		list = append(list, sv)
	}
	slices.SortFunc(list, func(a, b Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return list
}

// Entries returns the servers that have an entry, in the order of their names.
func (v *View) Entries() []Server {
	return slices.DeleteFunc(v.List(), func(sv Server) bool {
		_, lapsed := v.lapsed[sv.ID]
		return lapsed
	})
}

// Get returns a server by its name.
func (v *View) Get(id keys.Server) (Server, bool) {
	sv, ok := v.servers[id]
	return sv, ok
}

// Len returns the number of servers.
func (v *View) Len() int { return len(v.servers) }
