package replay

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/elect"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/internal/lease"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// dispatcher is one incarnation of a dispatcher.
type dispatcher struct {
	host        keys.Host
	incarnation uint64
}

// server is the model of a backend server.
type server struct {
	sim           *sim
	name          keys.Server
	checksFences  bool
	offset        clock.Span // of its clock from simulated time
	incarnation   int        // number of the current incarnation
	dead          bool
	refuses       bool // while dead, its machine refuses connections
	frozen        bool
	inbox         []func() // calls that arrived while it is frozen
	state         grant.State
	drainingSince clock.Time                // 0 if it isn't draining
	grants        map[dispatcher]lease.Push // newest push of each dispatcher

	listed    bool // in the host list
	listState assign.Listing
}

// now reads the server's own clock.
func (sv *server) now() clock.Time { return sv.sim.now.Add(sv.offset) }

func (sv *server) incarnationID() string { return strconv.Itoa(sv.incarnation) }

// listEvent returns the server's state in the host list as an event for assign.
func (sv *server) listEvent() assign.ServerListed {
	return assign.ServerListed{Server: sv.name, Address: string(sv.name), Slots: 2, Weight: 1, ChecksFences: sv.checksFences, State: sv.listState}
}

// exec calls fn unless the given incarnation of the server has ended. A frozen
// server calls it when it resumes.
func (sv *server) exec(incarnation int, fn func()) {
	switch {
	case sv.dead || sv.incarnation != incarnation:
	case sv.frozen:
		sv.inbox = append(sv.inbox, fn)
	default:
		fn()
	}
}

// join starts a new incarnation of the server.
func (sv *server) join() {
	sv.incarnation++
	sv.dead, sv.frozen, sv.refuses, sv.inbox, sv.drainingSince = false, false, false, nil, 0
	sv.state, sv.grants = grant.Ready, make(map[dispatcher]lease.Push)
}

// apply replaces the dispatcher's grants with those of a push, unless a later
// push has been applied. It returns the sequence number as acknowledgement, or 0
// if the push is for another incarnation.
func (sv *server) apply(from dispatcher, p lease.Push) uint64 {
	if p.Incarnation != sv.incarnationID() {
		return 0
	}
	if sv.grants[from].Seq < p.Seq {
		sv.grants[from] = p
	}
	return p.Seq
}

// accepts reports whether the server runs requests for the hash.
func (sv *server) accepts(h keys.Hash) bool {
	if !sv.checksFences {
		return true
	}
	for _, p := range sv.grants {
		if sv.now() >= p.Until {
			continue
		}
		i, _ := slices.BinarySearchFunc(p.Grants, h, func(g grant.Held, h keys.Hash) int { return cmp.Compare(g.Range.Hi(), h) })
		if i < len(p.Grants) && p.Grants[i].Range.Contains(h) {
			return true
		}
	}
	return false
}

// storeTimeout is the time after which a call to the store fails. The result of
// a write is then unknown.
const storeTimeout = 150 * clock.Millisecond

// storeModel is the model of the store. It has one object, that of the cell.
type storeModel struct {
	sim         *sim
	down        bool
	partitioned bool       // unreachable from the data centre
	delay       clock.Span // of a call, in both directions together
	version     uint64
	role        elect.Role
	assignment  assign.Assignment
}

// call calls fn at the store after half of the delay, and ok at the host after
// the whole delay. If the call times out, it calls failed at the host instead;
// a delayed write takes effect even so.
func (o *storeModel) call(h *host, fn func(), ok, failed func()) {
	if o.down || o.partitioned {
		h.after(storeTimeout, failed)
		return
	}
	o.sim.after(o.delay/2, fn)
	if o.delay > storeTimeout {
		h.after(storeTimeout, failed)
		return
	}
	h.after(o.delay, ok)
}

func (o *storeModel) readRole(h *host, op uint64) {
	var ev elect.RoleRead
	var assignment assign.Assignment
	o.call(h, func() {
		ev, assignment = elect.RoleRead{Op: op, Role: o.role, Version: o.version, Found: o.version > 0}, o.assignment
	}, func() {
		if assignment.Newer(h.table.Assignment) {
			h.updateTable(assign.Table{Assignment: assignment, Stored: true}, "")
		}
		h.stepElect(ev)
	}, func() { h.stepElect(elect.RoleOpFailed{Op: op}) })
}

func (o *storeModel) writeRole(h *host, a elect.WriteRole) {
	var ev elect.Event = elect.RoleConflict{Op: a.Op}
	o.call(h, func() {
		if o.version == a.IfVersion {
			o.version++
			o.role = a.Role
			ev = elect.RoleWritten{Op: a.Op, Version: o.version}
		}
	}, func() { h.stepElect(ev) }, func() { h.stepElect(elect.RoleIndeterminate{Op: a.Op}) })
}

// writeAssignment replaces an older assignment and doesn't change the role.
func (o *storeModel) writeAssignment(h *host, a assign.Assignment) {
	var ok bool
	var ev elect.RoleRead
	o.call(h, func() {
		if o.version > 0 && a.Newer(o.assignment) {
			o.version++
			o.assignment = a
		}
		ok = o.assignment.Term == a.Term && o.assignment.Version == a.Version
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
