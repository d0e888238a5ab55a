package replay

import (
	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/elect"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/internal/hold"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	tickInterval   = elect.TickPeriod
	digestInterval = 200 * clock.Millisecond
	// tableCollectTime and assignerTimeout are as in the entry host: how long a new
	// assigner waits for copies of the assignment, and the time without a reply
	// of the assigner after which renewals are sent to the whole group.
	tableCollectTime = 30 * clock.Millisecond
	assignerTimeout  = 2 * grant.Renewal
)

// host is the model of an entry host with its states for the cell.
type host struct {
	sim     *sim
	name    keys.Host
	boot    uint64     // number of the current incarnation
	offset  clock.Span // of its clock from simulated time; differs between hosts
	dead    bool
	leaving bool // it has announced that it will stop
	listed  bool // in the host list
	paused  bool
	inbox   []func() // calls that arrived while it is paused

	elect  *elect.State
	assign *assign.State
	hold   *hold.State

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
	lastTick        clock.Time // of assign and hold
}

// probe is the newest probe of a server.
type probe struct {
	sent      clock.Time
	responded bool
}

// start starts a new incarnation of the host with empty states.
func (h *host) start() {
	h.boot++
	h.dead, h.leaving, h.paused, h.inbox = false, false, false, nil
	t := h.sim.trace
	h.elect = elect.New(elect.Config{Self: h.name, Boot: h.boot, Group: t.Hosts, Seed: t.Seed ^ uint64(keys.Of("host", string(h.name)))})
	h.assign = assign.New(assign.Config{Interval: keys.Full(), Policy: t.policy})
	h.hold = hold.New(hold.Config{Host: h.name})
	h.table, h.electedTerm, h.term, h.roleTerm, h.assigner = assign.Table{}, 0, 0, 0, ""
	h.probes = make(map[keys.Server]*probe)
	h.tick(h.boot)
}

// now reads the host's own clock.
func (h *host) now() clock.Time { return h.sim.now.Add(h.offset) }

// exec calls fn unless the given incarnation of the host has ended. A paused host
// calls it when it resumes.
func (h *host) exec(boot uint64, fn func()) {
	switch {
	case h.dead || h.boot != boot:
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
		h.exec(h.boot, fn)
	}
}

// after calls fn after d, unless the current incarnation of the host has ended by
// then.
func (h *host) after(d clock.Span, fn func()) {
	boot := h.boot
	h.sim.after(d, func() { h.exec(boot, fn) })
}

// tick steps the host's states and schedules the next tick of this
// incarnation.
func (h *host) tick(boot uint64) {
	if h.dead || h.boot != boot {
		return
	}
	if !h.paused {
		h.step()
	}
	h.sim.after(tickInterval, func() { h.tick(boot) })
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
	h.stepHold(hold.Tick{})
	for _, name := range h.hold.Servers() {
		if p := h.probes[name]; p == nil || now.Sub(p.sent) >= grant.Renewal {
			h.probe(name, p)
		}
	}
}

// sendDigest sends the group a message that this host is running and whether it
// is about to stop.
func (h *host) sendDigest() {
	h.nextDigest = h.now().Add(digestInterval)
	leaving, boot := h.leaving, h.boot
	h.stepAssign(assign.HostSeen{Host: h.name, Live: true, Leaving: leaving})
	h.broadcast(frameBytes, func(to *host) {
		to.stepElect(elect.PeerBoot{Host: h.name, Boot: boot})
		to.stepAssign(assign.HostSeen{Host: h.name, Live: true, Leaving: leaving})
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
	h.sim.after(h.sim.trace.MessageDelay, func() { to.exec(to.boot, func() { fn(to) }) })
}

func (h *host) stepElect(ev elect.Event) {
	if a, ok := ev.(elect.Asked); ok && a.Term != 0 && h.term == 0 {
		h.assigner = a.From
	}
	boot := h.boot
	for _, a := range h.elect.Step(h.now(), ev) {
		switch a := a.(type) {
		case elect.Ask:
			h.send(a.To, frameBytes+electBytes+roleBytes(a.Role), func(to *host) {
				to.stepElect(elect.Asked{From: h.name, FromBoot: boot, ToBoot: a.ToBoot, Term: a.Term, Nonce: a.Nonce, Version: a.Version, Role: a.Role})
			})
		case elect.Reply:
			h.send(a.To, frameBytes+electBytes+roleBytes(a.Role), func(to *host) {
				to.stepElect(elect.Replied{From: h.name, FromBoot: boot, ToBoot: a.ToBoot, Nonce: a.Nonce, Granted: a.Granted,
					Highest: a.Highest, Version: a.Version, Role: a.Role})
			})
		case elect.Release:
			h.send(a.To, frameBytes+electBytes, func(to *host) {
				if to.boot == a.ToBoot {
					to.stepElect(elect.Released{From: h.name, FromBoot: boot, Nonce: a.Nonce})
				}
			})
		case elect.ReadRole:
			h.sim.store.readRole(h, a.Op)
		case elect.WriteRole:
			h.sim.store.writeRole(h, a)
		case elect.Became:
			h.elected(a.Term)
		case elect.Lost:
			h.electedTerm, h.term, h.assigner = 0, 0, ""
			h.perform(h.assign.Step(h.now(), assign.Lost{}))
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
			h.stepHold(hold.TermSeen{})
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
		case assign.Grant:
			ev := hold.Granted{Nonce: a.Nonce, Term: a.Term, Seq: a.Seq, Span: a.Span, Servers: a.Servers}
			if a.To == h.name {
				if a.Boot == h.boot {
					h.stepHold(ev)
				}
				continue
			}
			from := h.name
			h.send(a.To, frameBytes+grantBytes(a.Servers), func(to *host) {
				if to.boot == a.Boot {
					to.assigner, to.assignerReplyAt = from, to.now()
					to.stepHold(ev)
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

func (h *host) stepHold(ev hold.Event) {
	boot := h.boot
	for _, a := range h.hold.Step(h.now(), ev) {
		switch a := a.(type) {
		case hold.Renew:
			h.renew(a)
		case hold.Push:
			h.push(a)
		case hold.Transfer:
			// The deduplication records themselves aren't simulated.
			h.send(a.Next, frameBytes+leaseBytes, func(to *host) {
				to.send(h.name, frameBytes+leaseBytes, func(h *host) {
					if h.boot == boot {
						h.stepHold(hold.Transferred{Range: a.Range, Fence: a.Fence, OK: true})
					}
				})
			})
		}
	}
}

// renew sends a renewal to the assigner, or to the whole group while the
// assigner isn't known.
func (h *host) renew(a hold.Renew) {
	ev := assign.Renew{From: h.name, Boot: h.boot, Nonce: a.Nonce, Ack: a.Ack, Servers: a.Servers}
	if h.term != 0 {
		h.stepAssign(ev)
		return
	}
	size := frameBytes + reportBytes(a.Servers)
	boot := h.boot
	deliver := func(to *host) {
		to.stepElect(elect.PeerBoot{Host: h.name, Boot: boot})
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
		h.stepAssign(assign.HostSeen{Host: g.name, Live: g.listed, Leaving: g.leaving && g == h})
	}
}

// probe probes a server, which returns a reading of its clock. The previous
// probe counts as missed if it has no response by now, after 100 ms.
func (h *host) probe(name keys.Server, last *probe) {
	if last != nil && !last.responded {
		h.stepHold(hold.Missed{Server: name})
	}
	p := &probe{sent: h.now()}
	h.probes[name] = p
	h.sim.count(2, probeBytes)
	h.call(name, func(sv *server) uint64 { return 0 }, p)
}

func (h *host) push(a hold.Push) {
	h.sim.count(2, probeBytes+pushBytes*len(a.Grants))
	from := dispatcher{h.name, h.boot}
	h.call(a.Server, func(sv *server) uint64 { return sv.apply(from, a) }, &probe{sent: h.now()})
}

// call calls fn at the server. The response has a reading of the server's clock
// and the sequence number that fn returns.
func (h *host) call(name keys.Server, fn func(sv *server) uint64, p *probe) {
	sv, ok := h.sim.byServer[name]
	if !ok {
		return
	}
	boot := sv.boot
	h.sim.after(h.sim.trace.MessageDelay, func() {
		if sv.dead && sv.refuses {
			h.after(h.sim.trace.MessageDelay, func() {
				if h.probes[name] == p {
					p.responded = true
					h.stepHold(hold.Missed{Server: name, Refused: true})
				}
			})
			return
		}
		sv.exec(boot, func() {
			seq := fn(sv)
			ev := hold.Reached{Server: name, Sent: p.sent, ServerClock: sv.now(), Boot: sv.bootID(), State: sv.state, Slots: 2, Seq: seq}
			h.after(h.sim.trace.MessageDelay, func() {
				p.responded = true
				h.stepHold(ev)
			})
		})
	})
}
