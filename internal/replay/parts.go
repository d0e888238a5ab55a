package replay

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/elect"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/internal/hold"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// holder is one run of a dispatcher.
type holder struct {
	host keys.Host
	boot uint64
}

// server is a backend server.
type server struct {
	s       *sim
	name    keys.Server
	checks  bool
	offset  clock.Span
	life    int
	dead    bool
	refuses bool
	frozen  bool
	inbox   []func()
	state   grant.State
	leftAt  clock.Time // when it began to leave, or 0
	sets    map[holder]hold.Push

	known   bool // to the host list
	listing assign.Listing
}

func (sv *server) clock() clock.Time { return sv.s.now.Add(sv.offset) }
func (sv *server) boot() string      { return strconv.Itoa(sv.life) }

func (sv *server) seen() assign.ServerSeen {
	return assign.ServerSeen{Server: sv.name, Address: string(sv.name), Slots: 2, Weight: 1, Checks: sv.checks, State: sv.listing}
}

// run runs do unless the server was lost since life; a frozen one runs it later.
func (sv *server) run(life int, do func()) {
	switch {
	case sv.dead || sv.life != life:
	case sv.frozen:
		sv.inbox = append(sv.inbox, do)
	default:
		do()
	}
}

// join starts a run of the server.
func (sv *server) join() {
	sv.life++
	sv.dead, sv.frozen, sv.refuses, sv.inbox, sv.leftAt = false, false, false, nil, 0
	sv.state, sv.sets = grant.Ready, make(map[holder]hold.Push)
}

// apply takes a push unless a later one was applied. It returns the sequence
// number as the acknowledgement.
func (sv *server) apply(from holder, p hold.Push) uint64 {
	if p.Boot != sv.boot() {
		return 0
	}
	if sv.sets[from].Seq < p.Seq {
		sv.sets[from] = p
	}
	return p.Seq
}

// accepts reports whether the server runs requests for the hash.
func (sv *server) accepts(h keys.Hash) bool {
	if !sv.checks {
		return true
	}
	for _, p := range sv.sets {
		if sv.clock() >= p.Until {
			continue
		}
		i, _ := slices.BinarySearchFunc(p.Grants, h, func(g grant.Held, h keys.Hash) int { return cmp.Compare(g.Range.Hi(), h) })
		if i < len(p.Grants) && p.Grants[i].Range.Contains(h) {
			return true
		}
	}
	return false
}

// storeTimeout is how long a call to the store may take before its result
// counts as unknown.
const storeTimeout = 150 * clock.Millisecond

// object is the cell's object in the store.
type object struct {
	s       *sim
	down    bool
	cut     bool
	delay   clock.Span
	version uint64
	role    elect.Role
	rows    assign.Assignment
}

// call runs do at the store after half of its delay and hands the result back,
// or reports failure after the timeout. A late write takes effect all the same.
func (o *object) call(h *host, do func(), ok, failed func()) {
	if o.down || o.cut {
		h.after(storeTimeout, failed)
		return
	}
	o.s.after(o.delay/2, do)
	if o.delay > storeTimeout {
		h.after(storeTimeout, failed)
		return
	}
	h.after(o.delay, ok)
}

func (o *object) readRole(h *host, op uint64) {
	var ev elect.RoleRead
	var rows assign.Assignment
	o.call(h, func() {
		ev, rows = elect.RoleRead{Op: op, Role: o.role, Version: o.version, Found: o.version > 0}, o.rows
	}, func() {
		if rows.Newer(h.table.Assignment) {
			h.adopt(assign.Table{Assignment: rows, Stored: true}, "")
		}
		h.stepElect(ev)
	}, func() { h.stepElect(elect.RoleFailed{Op: op}) })
}

func (o *object) writeRole(h *host, a elect.WriteRole) {
	var ev elect.Event = elect.RoleConflict{Op: a.Op}
	o.call(h, func() {
		if o.version == a.IfVersion {
			o.version++
			o.role = a.Role
			ev = elect.RoleWritten{Op: a.Op, Version: o.version}
		}
	}, func() { h.stepElect(ev) }, func() { h.stepElect(elect.RoleUnsure{Op: a.Op}) })
}

// writeAssignment replaces an older assignment and leaves the role as it is.
func (o *object) writeAssignment(h *host, a assign.Assignment) {
	var ok bool
	var ev elect.RoleRead
	o.call(h, func() {
		if o.version > 0 && a.Newer(o.rows) {
			o.version++
			o.rows = a
		}
		ok = o.rows.Term == a.Term && o.rows.Version == a.Version
		ev = elect.RoleRead{Role: o.role, Version: o.version, Found: true}
	}, func() {
		if !ok {
			h.stepAssign(assign.StoreFailed{Version: a.Version})
			return
		}
		h.stepElect(ev)
		h.stepAssign(assign.Stored{Version: a.Version})
	}, func() { h.stepAssign(assign.StoreFailed{Version: a.Version}) })
}
