// Package fleet tracks the backend servers of all services.
//
// A Registry is updated with the registrations that are read from the store. If
// a registration disappears during or right after an outage of the store, the
// Registry keeps the server for a short grace period, because a running server
// registers again.
//
// A store that was restored from an older copy lists servers as they were then.
// The Registry doesn't use such a registration if it knows that the incarnation has
// left, or knows a later one. It holds it back until the server has registered
// again, or until the store would have removed it if nobody renewed it.
//
// # Usage
//
//	r := fleet.NewRegistry(holdTime, grace)
//	held := r.Replace(now, epoch, servers, fleet.Grace{})
//	changed := r.Expire(now) // periodically
//	for _, sv := range r.List() { ... }
package fleet

import (
	"slices"
	"strings"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// departureRetention is how long a server that has left is remembered. It is longer
// than the age of a copy that the store may be restored from.
const departureRetention = 5 * 60 * clock.Second

// Server is a backend server.
type Server struct {
	ID       keys.Server
	Service  keys.Service
	Addr     string // host:port
	DC       keys.DataCentre
	Slots    int
	Draining bool
	// Warmup is the remaining warm-up time when the registration was written or, in a
	// list from another host, when that was sent.
	Warmup clock.Span
	Born   int64 // incarnation: Unix time in ms of its start
	// Revision of the registration in the store. Each one has a Warmup of its own; 0 in
	// lists of hosts of earlier versions.
	Revision uint64
}

// SameRegistration reports whether two lists have the same registration of a server,
// so that the warm-up in the later list has been running since the earlier one.
func (sv Server) SameRegistration(o Server) bool {
	if sv.ID != o.ID || sv.Born != o.Born || sv.Revision != o.Revision {
		return false
	}
	return sv.Revision != 0 || sv.Warmup == o.Warmup
}

// entry is what is known of a server.
type entry struct {
	server Server
	phase  phase
	until  clock.Time // end of the phase, if it isn't registered
	epoch  uint64     // epoch of the store in which it was last registered or removed
	warmUp clock.Time // end of the warm-up that the registration states

	// held is a registration from a restored store that is older than server. It is
	// not used until heldUntil, which is 0 if there is none.
	held      Server
	heldUntil clock.Time
}

//go:generate go tool stringer -type=phase -output=phase_string.go

// phase is the state of a server's registration.
type phase int

const (
	registered phase = iota // it has a registration
	missing                 // its registration disappeared in an outage; the grace period runs
	gone                    // it has left; it is remembered for departureRetention
)

// Incarnation is one process of a server.
type Incarnation struct {
	ID   keys.Server `cbor:"1,keyasint"`
	Born int64       `cbor:"2,keyasint"` // as in Server
}

// Incarnation returns the process that a registration describes.
func (sv Server) Incarnation() Incarnation { return Incarnation{ID: sv.ID, Born: sv.Born} }

// Grace says until when servers are kept whose registrations are gone.
type Grace struct {
	Until clock.Time                 // of servers that aren't in Ends; 0: they aren't kept
	Ends  map[keys.Server]clock.Time // of single servers
}

// end returns until when a server is kept.
func (g Grace) end(id keys.Server) clock.Time {
	if at, ok := g.Ends[id]; ok {
		return at
	}
	return g.Until
}

// Registry is the current set of backend servers.
type Registry struct {
	holdTime clock.Span
	grace    clock.Span
	epoch    uint64 // of the store
	entries  map[keys.Server]*entry
	nextEnd  clock.Time // no phase or holding back ends before; 0: none has an end
}

// NewRegistry returns an empty Registry. holdTime is the time after which a store
// removes a registration that nobody renews. grace is how long a server is kept that
// a restored store doesn't list.
func NewRegistry(holdTime, grace clock.Span) *Registry {
	return &Registry{holdTime: holdTime, grace: grace, entries: make(map[keys.Server]*entry)}
}

// Put adds or replaces a server. An incarnation that was draining stays so.
func (r *Registry) Put(now clock.Time, sv Server) {
	old := r.entries[sv.ID]
	if old != nil && old.server.Born == sv.Born && old.server.Draining {
		sv.Draining = true
	}
	e := &entry{server: sv, epoch: r.epoch, warmUp: now.Add(sv.Warmup)}
	if old != nil && old.server.SameRegistration(sv) {
		e.warmUp = old.warmUp
	}
	r.entries[sv.ID] = e
}

// WarmupLeft returns the remaining time of the warm-up that a server's registration
// states.
func (r *Registry) WarmupLeft(now clock.Time, id keys.Server) clock.Span {
	if e := r.entries[id]; e != nil {
		return max(e.warmUp.Sub(now), 0)
	}
	return 0
}

// Remove handles a registration that is gone. A server that wasn't draining is kept
// until the end of its grace period. Another removal can't extend it.
func (r *Registry) Remove(now clock.Time, id keys.Server, g Grace) {
	e := r.entries[id]
	if e == nil {
		return
	}
	e.epoch, e.heldUntil = r.epoch, 0
	until := g.end(id)
	switch {
	case e.phase == gone:
	case !now.Before(until) || e.server.Draining:
		e.phase, e.until = gone, now.Add(departureRetention)
	case e.phase == registered:
		e.phase, e.until = missing, until
	default:
		e.until = min(e.until, until)
	}
	r.scheduleEnd(e)
}

// Replace sets the complete list of servers that are registered in an epoch of the
// store. Servers that are not in it are removed as by Remove; those that a restored
// store doesn't list as in an outage, because they may have joined since the copy.
// It returns the servers whose registrations are held back from now on.
func (r *Registry) Replace(now clock.Time, epoch uint64, servers []Server, g Grace) (held []keys.Server) {
	restored := epoch > r.epoch
	r.epoch = epoch
	listed := make(map[keys.Server]bool, len(servers))
	for _, sv := range servers {
		listed[sv.ID] = true
		e := r.entries[sv.ID]
		if e == nil || !r.isOutdated(e, sv) {
			r.Put(now, sv)
			continue
		}
		e.held = sv
		if restored || e.heldUntil == 0 {
			e.heldUntil = now.Add(r.holdTime)
			held = append(held, sv.ID)
		}
		r.scheduleEnd(e)
	}
	if restored {
		g.Until = max(g.Until, now.Add(r.grace))
	}
	for id := range r.entries {
		if !listed[id] {
			r.Remove(now, id, g)
		}
	}
	return held
}

// isOutdated reports whether a listed registration is older than what is known from
// an earlier epoch: the incarnation has left, or a later one has registered.
func (r *Registry) isOutdated(e *entry, sv Server) bool {
	if e.epoch == r.epoch {
		return false
	}
	return sv.Born < e.server.Born || e.phase == gone && sv.Born == e.server.Born
}

// Expire ends grace periods and the holding back of registrations, and reports
// whether the servers have changed.
func (r *Registry) Expire(now clock.Time) (changed bool) {
	if r.nextEnd == 0 || now.Before(r.nextEnd) {
		return false
	}
	r.nextEnd = 0
	for id, e := range r.entries {
		switch {
		case e.heldUntil != 0 && !now.Before(e.heldUntil):
			r.Put(now, e.held)
			changed = true
		case e.phase == missing && !now.Before(e.until):
			e.phase, e.until = gone, now.Add(departureRetention)
			changed = true
		case e.phase == gone && e.heldUntil == 0 && !now.Before(e.until):
			delete(r.entries, id)
			continue
		}
		r.scheduleEnd(e)
	}
	return changed
}

// scheduleEnd has Expire look at an entry once its phase, or the holding back of
// its registration, ends.
func (r *Registry) scheduleEnd(e *entry) {
	for _, at := range []clock.Time{e.until, e.heldUntil} {
		if at != 0 && (r.nextEnd == 0 || at.Before(r.nextEnd)) {
			r.nextEnd = at
		}
	}
}

// List returns all servers in the order of their IDs.
func (r *Registry) List() []Server {
	return r.collect(func(e *entry) (Server, bool) { return e.server, e.phase != gone })
}

// Registered returns the servers that have a registration, in the order of their
// IDs. It includes those that are held back.
func (r *Registry) Registered() []Server {
	return r.collect(func(e *entry) (Server, bool) {
		if e.phase != registered && e.heldUntil != 0 {
			return e.held, true
		}
		return e.server, e.phase == registered
	})
}

// Unregistered returns the servers without a registration that have left or whose
// grace period runs, in the order of their IDs.
func (r *Registry) Unregistered() (ids []keys.Server) {
	for id, e := range r.entries {
		if e.phase != registered && e.heldUntil == 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// GraceLeft returns how much longer a server without a registration is kept.
func (r *Registry) GraceLeft(now clock.Time, id keys.Server) clock.Span {
	if e := r.entries[id]; e != nil && e.phase == missing {
		return max(e.until.Sub(now), 0)
	}
	return 0
}

func (r *Registry) collect(pick func(*entry) (Server, bool)) []Server {
	servers := make([]Server, 0, len(r.entries))
	for _, e := range r.entries {
		if sv, ok := pick(e); ok {
			servers = append(servers, sv)
		}
	}
	slices.SortFunc(servers, func(a, b Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return servers
}

// Get returns a server by its ID.
func (r *Registry) Get(id keys.Server) (Server, bool) {
	if e := r.entries[id]; e != nil && e.phase != gone {
		return e.server, true
	}
	return Server{}, false
}

// Len returns the number of servers.
func (r *Registry) Len() (n int) {
	for _, e := range r.entries {
		if e.phase != gone {
			n++
		}
	}
	return n
}
