package replay

import (
	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/elect"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/internal/lease"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	tickInterval   = elect.TickInterval
	digestInterval = 200 * clock.Millisecond
	// tableCollectTime and assignerTimeout are as in the entry host: how long a new
	// assigner waits for copies of the assignment, and the time without a reply
	// of the assigner after which renewals are sent to the whole group.
	tableCollectTime = 30 * clock.Millisecond
	assignerTimeout  = 2 * grant.RenewalInterval
)

// host is the model of an entry host with its states for the cell.
type host struct {
	sim         *sim
	name        keys.Host
	incarnation uint64     // number of the current incarnation
	offset      clock.Span // of its clock from simulated time; differs between hosts
	dead        bool
	leaving     bool // it has announced that it will stop
	listed      bool // in the host list
	paused      bool
	inbox       []func() // calls that arrived while it is paused

	elect  *elect.State
	assign *assign.State
	leases *lease.State

	table       assign.Table
	electedTerm uint32 // elected, but assign hasn't started; 0 if none
	electedAt   clock.Time
	// term is the term with which assign was started, or 0 if this host isn't
	// the assigner; roleTerm is the newest term in which it was elected.
	term, roleTerm  uint32
	assigner        keys.Host  // assumed assigner, or ""
	assignerReplyAt clock.Time // when the assigner last replied
	probes          map[keys.Server]*probe
	nextDigest      clock.Time
	lastTick        clock.Time // of assign and lease
}

// probe is the newest probe of a server.
type probe struct {
	sent      clock.Time
	responded bool
}

// start starts a new incarnation of the host with empty states.
func (h *host) start() {
	h.incarnation++
	h.dead, h.leaving, h.paused, h.inbox = false, false, false, nil
	t := h.sim.trace
	h.elect = elect.New(elect.Config{Self: h.name, Incarnation: h.incarnation, Group: t.Hosts, Seed: t.Seed ^ uint64(keys.HashOf("host", string(h.name)))})
	h.assign = assign.New(assign.Config{Interval: keys.FullRange(), Policy: t.policy})
	h.leases = lease.New(lease.Config{Host: h.name})
	h.table, h.electedTerm, h.term, h.roleTerm, h.assigner = assign.Table{}, 0, 0, 0, ""
	h.probes = make(map[keys.Server]*probe)
	h.tick(h.incarnation)
}

// now reads the host's own clock.
func (h *host) now() clock.Time { return h.sim.now.Add(h.offset) }

// exec calls fn unless the given incarnation of the host has ended. A paused
// host calls it when it resumes.
func (h *host) exec(incarnation uint64, fn func()) {
	switch {
	case h.dead || h.incarnation != incarnation:
	case h.paused:
		h.inbox = append(h.inbox, fn)
	default:
		fn()
	}
}

func (h *host) resume() {
	h.paused = false
	inbox := h.inbox
	h.inbox = nil
	for _, fn := range inbox {
		h.exec(h.incarnation, fn)
	}
}

// after calls fn after d, unless the current incarnation of the host has ended
// by then.
func (h *host) after(d clock.Span, fn func()) {
	incarnation := h.incarnation
	h.sim.after(d, func() { h.exec(incarnation, fn) })
}

// tick steps the host's states and schedules the next tick of this incarnation.
func (h *host) tick(incarnation uint64) {
	if h.dead || h.incarnation != incarnation {
		return
	}
	if !h.paused {
		h.step()
	}
	h.sim.after(tickInterval, func() { h.tick(incarnation) })
}

func (h *host) step() {
	h.stepElect(elect.Tick{})
	now := h.now()
	if h.electedTerm != 0 && now.Sub(h.electedAt) >= tableCollectTime {
		h.term, h.electedTerm = h.electedTerm, 0
		h.stepMembers()
		h.stepAssign(assign.Elected{Term: h.term, Assignment: h.table.Assignment})
	}
	if now.Sub(h.lastTick) < h.sim.trace.Step {
		return
	}
	h.lastTick = now
	if now >= h.nextDigest {
		h.sendDigest()
	}
	h.stepAssign(assign.Tick{})
	h.stepLeases(lease.Tick{})
	for _, name := range h.leases.Servers() {
		if p := h.probes[name]; p == nil || now.Sub(p.sent) >= grant.RenewalInterval {
			h.probe(name, p)
		}
	}
}

// sendDigest sends the group a message that this host is running and whether it
// is about to stop.
func (h *host) sendDigest() {
	h.nextDigest = h.now().Add(digestInterval)
	leaving, incarnation := h.leaving, h.incarnation
	h.stepAssign(assign.HostListed{Host: h.name, Live: true, Leaving: leaving})
	h.broadcast(frameBytes, func(to *host) {
		to.stepElect(elect.IncarnationSeen{Host: h.name, Incarnation: incarnation})
		to.stepAssign(assign.HostListed{Host: h.name, Live: true, Leaving: leaving})
	})
}

// broadcast sends a message to all other hosts.
func (h *host) broadcast(size int, fn func(to *host)) {
	for _, to := range h.sim.hosts {
		if to != h {
			h.send(to.name, size, fn)
		}
	}
}

// send sends a message of size bytes, which calls fn at the incarnation of the
// recipient that is current on arrival.
func (h *host) send(name keys.Host, size int, fn func(to *host)) {
	to, ok := h.sim.byHost[name]
	if !ok {
		return
	}
	h.sim.count(2, 2*size) // at the sender and at the recipient
	h.sim.after(h.sim.trace.MessageDelay, func() { to.exec(to.incarnation, func() { fn(to) }) })
}

func (h *host) stepElect(ev elect.Event) {
	if a, ok := ev.(elect.PromiseRequested); ok && a.Term != 0 && h.term == 0 {
		h.assigner = a.From
	}
	incarnation := h.incarnation
	for _, a := range h.elect.Step(h.now(), ev) {
		switch a := a.(type) {
		case elect.PromiseRequest:
			h.send(a.To, frameBytes+electBytes+roleBytes(a.Role), func(to *host) {
				to.stepElect(elect.PromiseRequested{From: h.name, FromIncarnation: incarnation, ToIncarnation: a.ToIncarnation, Term: a.Term, Nonce: a.Nonce, Version: a.Version, Role: a.Role})
			})
		case elect.PromiseResponse:
			h.send(a.To, frameBytes+electBytes+roleBytes(a.Role), func(to *host) {
				to.stepElect(elect.PromiseResponded{From: h.name, FromIncarnation: incarnation, ToIncarnation: a.ToIncarnation, Nonce: a.Nonce, Granted: a.Granted,
					Highest: a.Highest, Version: a.Version, Role: a.Role})
			})
		case elect.PromiseRelease:
			h.send(a.To, frameBytes+electBytes, func(to *host) {
				if to.incarnation == a.ToIncarnation {
					to.stepElect(elect.PromiseReleased{From: h.name, FromIncarnation: incarnation, Nonce: a.Nonce})
				}
			})
		case elect.ReadRole:
			h.sim.store.readRole(h, a.Op)
		case elect.WriteRole:
			h.sim.store.writeRole(h, a)
		case elect.Elected:
			h.elected(a.Term)
		case elect.Deposed:
			h.electedTerm, h.term, h.assigner = 0, 0, ""
			h.perform(h.assign.Step(h.now(), assign.Deposed{}))
		}
	}
}

func roleBytes(r *elect.Role) int {
	if r == nil {
		return 0
	}
	return voterBytes * (1 + len(r.Voters) + len(r.Previous))
}

// elected collects the copies of the assignment before assign starts the term.
func (h *host) elected(term uint32) {
	h.roleTerm = term
	if h.term != 0 || h.electedTerm != 0 {
		return
	}
	h.sim.stats.Elections++
	h.assigner, h.electedTerm, h.electedAt = h.name, term, h.now()
	h.broadcast(frameBytes+electBytes, func(to *host) {
		if to.table.Term == 0 {
			return
		}
		t := to.table
		to.send(h.name, frameBytes+tableBytes(t), func(h *host) { h.updateTable(t, "") })
	})
	h.sim.store.readRole(h, 0)
}

// updateTable replaces the table with a newer one. from is the assigner that
// published it, or "" if the table is a copy, whose assigner may no longer have
// the role.
func (h *host) updateTable(t assign.Table, from keys.Host) {
	if t.Newer(h.table.Assignment) || !h.table.Newer(t.Assignment) && t.Stored {
		term := h.table.Term
		h.table = t
		h.sim.setTable(t)
		if t.Term > term && from != "" {
			h.assigner = from
			h.stepLeases(lease.NewTerm{})
		}
	}
}

func (h *host) stepAssign(ev assign.Event) {
	if h.term == 0 {
		return
	}
	now := h.now()
	if term, ok := h.elect.Holding(now); !ok || term != h.roleTerm {
		return
	}
	h.perform(h.assign.Step(now, ev))
}

// perform performs the actions of assign.
func (h *host) perform(actions []assign.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case assign.Reply:
			ev := lease.Reply{Nonce: a.Nonce, Term: a.Term, Seq: a.Seq, LeaseTime: a.LeaseTime, Servers: a.Servers}
			if a.To == h.name {
				if a.Incarnation == h.incarnation {
					h.stepLeases(ev)
				}
				continue
			}
			from := h.name
			h.send(a.To, frameBytes+grantBytes(a.Servers), func(to *host) {
				if to.incarnation == a.Incarnation {
					to.assigner, to.assignerReplyAt = from, to.now()
					to.stepLeases(ev)
				}
			})
		case assign.Store:
			h.sim.store.writeAssignment(h, a.Assignment)
		case assign.Publish:
			from := h.name
			h.updateTable(a.Table, h.name)
			h.broadcast(frameBytes+tableBytes(a.Table), func(to *host) { to.updateTable(a.Table, from) })
		}
	}
}

func (h *host) stepLeases(ev lease.Event) {
	incarnation := h.incarnation
	for _, a := range h.leases.Step(h.now(), ev) {
		switch a := a.(type) {
		case lease.Renewal:
			h.renew(a)
		case lease.Push:
			h.push(a)
		case lease.Transfer:
			// The deduplication records themselves aren't simulated.
			h.send(a.Next, frameBytes+leaseBytes, func(to *host) {
				to.send(h.name, frameBytes+leaseBytes, func(h *host) {
					if h.incarnation == incarnation {
						h.stepLeases(lease.Transferred{Range: a.Range, Fence: a.Fence, OK: true})
					}
				})
			})
		}
	}
}

// renew sends a renewal to the assigner, or to the whole group while the
// assigner isn't known.
func (h *host) renew(a lease.Renewal) {
	ev := assign.Renewal{From: h.name, Incarnation: h.incarnation, Nonce: a.Nonce, Ack: a.Ack, Servers: a.Servers}
	if h.term != 0 {
		h.stepAssign(ev)
		return
	}
	size := frameBytes + reportBytes(a.Servers)
	incarnation := h.incarnation
	deliver := func(to *host) {
		to.stepElect(elect.IncarnationSeen{Host: h.name, Incarnation: incarnation})
		to.stepAssign(ev)
	}
	if h.assigner != "" && h.assigner != h.name && h.now().Sub(h.assignerReplyAt) < assignerTimeout {
		h.send(h.assigner, size, deliver)
		return
	}
	h.broadcast(size, deliver)
}

// stepMembers passes the host list to assign when this host becomes the
// assigner.
func (h *host) stepMembers() {
	for _, sv := range h.sim.servers {
		if sv.listed {
			h.stepAssign(sv.listEvent())
		}
	}
	for _, g := range h.sim.hosts {
		h.stepAssign(assign.HostListed{Host: g.name, Live: g.listed, Leaving: g.leaving && g == h})
	}
}

// probe probes a server, which returns a reading of its clock. The previous
// probe counts as missed if it has no response by now, after 100 ms.
func (h *host) probe(name keys.Server, last *probe) {
	if last != nil && !last.responded {
		h.stepLeases(lease.Unanswered{Server: name})
	}
	p := &probe{sent: h.now()}
	h.probes[name] = p
	h.sim.count(2, probeBytes)
	h.call(name, func(sv *server) uint64 { return 0 }, p)
}

func (h *host) push(a lease.Push) {
	h.sim.count(2, probeBytes+pushBytes*len(a.Grants))
	from := dispatcher{h.name, h.incarnation}
	h.call(a.Server, func(sv *server) uint64 { return sv.apply(from, a) }, &probe{sent: h.now()})
}

// call calls fn at the server. The response has a reading of the server's clock
// and the sequence number that fn returns.
func (h *host) call(name keys.Server, fn func(sv *server) uint64, p *probe) {
	sv, ok := h.sim.byServer[name]
	if !ok {
		return
	}
	incarnation := sv.incarnation
	h.sim.after(h.sim.trace.MessageDelay, func() {
		if sv.dead && sv.refuses {
			h.after(h.sim.trace.MessageDelay, func() {
				if h.probes[name] == p {
					p.responded = true
					h.stepLeases(lease.Unanswered{Server: name, Refused: true})
				}
			})
			return
		}
		sv.exec(incarnation, func() {
			seq := fn(sv)
			ev := lease.Response{Server: name, Sent: p.sent, ServerClock: sv.now(), Incarnation: sv.incarnationID(), State: sv.state, Slots: 2, Seq: seq}
			h.after(h.sim.trace.MessageDelay, func() {
				p.responded = true
				h.stepLeases(ev)
			})
		})
	})
}
