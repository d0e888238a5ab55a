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
	tickPeriod   = elect.TickPeriod
	digestPeriod = 200 * clock.Millisecond
	// tableGrace and assignerSilence are those of the entry host: the wait of
	// a new assigner for copies of the assignment, and the time without an
	// answer after which renewals go to the whole group.
	tableGrace      = 30 * clock.Millisecond
	assignerSilence = 2 * grant.Renewal
)

// host is an entry host with its part in the cell.
type host struct {
	s       *sim
	name    keys.Host
	boot    uint64
	offset  clock.Span // its clock starts at another time than the others'
	dead    bool
	leaving bool
	listed  bool // in the host list
	paused  bool
	inbox   []func()

	elect  *elect.State
	assign *assign.State
	hold   *hold.State

	table      assign.Table
	pending    uint32
	pendingAt  clock.Time
	term, held uint32
	assigner   keys.Host
	answeredAt clock.Time
	probes     map[keys.Server]*probe
	digestAt   clock.Time
	beatAt     clock.Time // last tick of assign and hold
}

// probe is the newest probe of a server.
type probe struct {
	at       clock.Time
	answered bool
}

// start runs a process with an empty state on the host.
func (h *host) start() {
	h.boot++
	h.dead, h.leaving, h.paused, h.inbox = false, false, false, nil
	t := h.s.trace
	h.elect = elect.New(elect.Config{Self: h.name, Boot: h.boot, Group: t.Hosts, Seed: t.Seed ^ uint64(keys.Of("host", string(h.name)))})
	h.assign = assign.New(assign.Config{Interval: keys.Full(), Policy: t.policy})
	h.hold = hold.New(hold.Config{Host: h.name})
	h.table, h.pending, h.term, h.held, h.assigner = assign.Table{}, 0, 0, 0, ""
	h.probes = make(map[keys.Server]*probe)
	h.tick(h.boot)
}

func (h *host) clock() clock.Time { return h.s.now.Add(h.offset) }

// run runs do at boot of the host; a paused process runs it later.
func (h *host) run(boot uint64, do func()) {
	switch {
	case h.dead || h.boot != boot:
	case h.paused:
		h.inbox = append(h.inbox, do)
	default:
		do()
	}
}

func (h *host) resume() {
	h.paused = false
	inbox := h.inbox
	h.inbox = nil
	for _, do := range inbox {
		h.run(h.boot, do)
	}
}

// after runs do at this boot of the host.
func (h *host) after(d clock.Span, do func()) {
	boot := h.boot
	h.s.after(d, func() { h.run(boot, do) })
}

func (h *host) tick(boot uint64) {
	if h.dead || h.boot != boot {
		return
	}
	if !h.paused {
		h.beat()
	}
	h.s.after(tickPeriod, func() { h.tick(boot) })
}

func (h *host) beat() {
	h.stepElect(elect.Tick{})
	now := h.clock()
	if h.pending != 0 && now.Sub(h.pendingAt) >= tableGrace {
		h.term, h.pending = h.pending, 0
		h.tellMembers()
		h.stepAssign(assign.Elected{Term: h.term, Assignment: h.table.Assignment})
	}
	if now.Sub(h.beatAt) < h.s.trace.Step {
		return
	}
	h.beatAt = now
	if now >= h.digestAt {
		h.digest()
	}
	h.stepAssign(assign.Tick{})
	h.stepHold(hold.Tick{})
	for _, name := range h.hold.Servers() {
		if p := h.probes[name]; p == nil || now.Sub(p.at) >= grant.Renewal {
			h.probe(name, p)
		}
	}
}

// digest tells the group that this host runs and whether it stops.
func (h *host) digest() {
	h.digestAt = h.clock().Add(digestPeriod)
	leaving, boot := h.leaving, h.boot
	h.stepAssign(assign.HostSeen{Host: h.name, Live: true, Leaving: leaving})
	h.toGroup(frameBytes, func(to *host) {
		to.stepElect(elect.PeerBoot{Host: h.name, Boot: boot})
		to.stepAssign(assign.HostSeen{Host: h.name, Live: true, Leaving: leaving})
	})
}

func (h *host) toGroup(size int, do func(to *host)) {
	for _, to := range h.s.hosts {
		if to != h {
			h.send(to.name, size, do)
		}
	}
}

// send delivers a message to the run of the host that gets it.
func (h *host) send(name keys.Host, size int, do func(to *host)) {
	to, ok := h.s.byHost[name]
	if !ok {
		return
	}
	h.s.count(2, 2*size) // both ends
	h.s.after(h.s.trace.Delay, func() { to.run(to.boot, func() { do(to) }) })
}

func (h *host) stepElect(ev elect.Event) {
	if a, ok := ev.(elect.Asked); ok && a.Term != 0 && h.term == 0 {
		h.assigner = a.From
	}
	boot := h.boot
	for _, a := range h.elect.Step(h.clock(), ev) {
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
			h.s.store.readRole(h, a.Op)
		case elect.WriteRole:
			h.s.store.writeRole(h, a)
		case elect.Became:
			h.became(a.Term)
		case elect.Lost:
			h.pending, h.term, h.assigner = 0, 0, ""
			h.take(h.assign.Step(h.clock(), assign.Lost{}))
		}
	}
}

func roleBytes(r *elect.Role) int {
	if r == nil {
		return 0
	}
	return voterBytes * (1 + len(r.Voters) + len(r.Previous))
}

// became collects the copies of the assignment before the term starts.
func (h *host) became(term uint32) {
	h.held = term
	if h.term != 0 || h.pending != 0 {
		return
	}
	h.s.m.Elections++
	h.assigner, h.pending, h.pendingAt = h.name, term, h.clock()
	h.toGroup(frameBytes+electBytes, func(to *host) {
		if to.table.Term == 0 {
			return
		}
		t := to.table
		to.send(h.name, frameBytes+tableBytes(t), func(h *host) { h.adopt(t, "") })
	})
	h.s.store.readRole(h, 0)
}

// adopt keeps the newest copy of the assignment. From is its assigner, if it is
// known to be in office.
func (h *host) adopt(t assign.Table, from keys.Host) {
	if t.Newer(h.table.Assignment) || !h.table.Newer(t.Assignment) && t.Stored {
		term := h.table.Term
		h.table = t
		h.s.published(t)
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
	now := h.clock()
	if held, ok := h.elect.Holding(now); !ok || held != h.held {
		return
	}
	h.take(h.assign.Step(now, ev))
}

func (h *host) take(acts []assign.Action) {
	for _, a := range acts {
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
					to.assigner, to.answeredAt = from, to.clock()
					to.stepHold(ev)
				}
			})
		case assign.Store:
			h.s.store.writeAssignment(h, a.Assignment)
		case assign.Publish:
			from := h.name
			h.adopt(a.Table, h.name)
			h.toGroup(frameBytes+tableBytes(a.Table), func(to *host) { to.adopt(a.Table, from) })
		}
	}
}

func (h *host) stepHold(ev hold.Event) {
	boot := h.boot
	for _, a := range h.hold.Step(h.clock(), ev) {
		switch a := a.(type) {
		case hold.Renew:
			h.renew(a)
		case hold.Push:
			h.push(a)
		case hold.Transfer:
			// The records themselves are no part of the replay.
			h.send(a.Next, frameBytes+heldBytes, func(to *host) {
				to.send(h.name, frameBytes+heldBytes, func(h *host) {
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
	if h.assigner != "" && h.assigner != h.name && h.clock().Sub(h.answeredAt) < assignerSilence {
		h.send(h.assigner, size, deliver)
		return
	}
	h.toGroup(size, deliver)
}

// tellMembers hands the host list to a new assigner.
func (h *host) tellMembers() {
	for _, sv := range h.s.servers {
		if sv.known {
			h.stepAssign(sv.seen())
		}
	}
	for _, g := range h.s.hosts {
		h.stepAssign(assign.HostSeen{Host: g.name, Live: g.listed, Leaving: g.leaving && g == h})
	}
}

// probe asks a server for its clock. No answer in 100 ms is a miss.
func (h *host) probe(name keys.Server, last *probe) {
	if last != nil && !last.answered {
		h.stepHold(hold.Missed{Server: name})
	}
	p := &probe{at: h.clock()}
	h.probes[name] = p
	h.s.count(2, probeBytes)
	h.call(name, func(sv *server) uint64 { return 0 }, p)
}

func (h *host) push(a hold.Push) {
	h.s.count(2, probeBytes+pushBytes*len(a.Grants))
	from := holder{h.name, h.boot}
	h.call(a.Server, func(sv *server) uint64 { return sv.apply(from, a) }, &probe{at: h.clock()})
}

// call runs do at the server, whose answer is a reading of its clock.
func (h *host) call(name keys.Server, do func(sv *server) uint64, p *probe) {
	sv, ok := h.s.byServer[name]
	if !ok {
		return
	}
	life := sv.life
	h.s.after(h.s.trace.Delay, func() {
		if sv.dead && sv.refuses {
			h.after(h.s.trace.Delay, func() {
				if h.probes[name] == p {
					p.answered = true
					h.stepHold(hold.Missed{Server: name, Refused: true})
				}
			})
			return
		}
		sv.run(life, func() {
			seq := do(sv)
			ev := hold.Reached{Server: name, Sent: p.at, ServerClock: sv.clock(), Boot: sv.boot(), State: sv.state, Slots: 2, Seq: seq}
			h.after(h.s.trace.Delay, func() {
				p.answered = true
				h.stepHold(ev)
			})
		})
	})
}
