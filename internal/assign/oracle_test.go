package assign_test

import (
	"slices"

	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/internal/hold"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// check is the oracle: at any moment a hash can be executed by one server.
func (w *world) check() {
	w.open = slices.DeleteFunc(w.open, func(r *request) bool {
		lost := r.server.dead || r.server.life != r.life
		return r.over || lost || !r.sent && (r.node.dead || r.node.boot != r.boot)
	})
	for _, h := range w.hashes {
		var owner keys.Server
		for _, p := range w.peers {
			if !w.executable(p, h) {
				continue
			}
			if owner != "" {
				w.fail("at %d ms hash %v can be executed by %s and %s", w.now/ms, h, owner, p.name)
			}
			owner = p.name
		}
	}
}

// executable reports whether the server could run a request for the hash now.
// One that doesn't check fencing tokens runs what it was sent, and what a
// dispatcher may send to it.
func (w *world) executable(p *backend, h keys.Hash) bool {
	if p.dead {
		return false
	}
	if p.checks {
		return p.accepts(w.now, h, 0)
	}
	for _, n := range w.hosts {
		if !n.dead {
			if _, err := n.hold.Check(n.clock(w.now), p.name, h); err == nil {
				return true
			}
		}
	}
	return slices.ContainsFunc(w.open, func(r *request) bool { return r.server == p && r.hash == h })
}

// ran checks that no other server could run the hash at the moment when a
// request runs.
func (w *world) ran(r *request) {
	for _, p := range w.peers {
		if p != r.server && w.executable(p, r.hash) {
			w.fail("at %d ms %s ran %v with fence %v while %s can", w.now/ms, r.server.name, r.hash, r.fence, p.name)
		}
	}
}

// assign hands an event to an assigner if it holds the role, and carries out
// its actions.
func (w *world) assign(a *assigner, ev assign.Event) {
	replaced := w.now >= a.hold
	if a.at.dead || a.at.boot != a.boot || replaced && !w.zombie(a, ev) {
		return
	}
	for _, act := range a.state.Step(a.at.clock(w.now), ev) {
		switch act := act.(type) {
		case assign.Grant:
			if !replaced {
				w.granted(a, act)
			}
			w.send(string(a.at.name), string(act.To), func() {
				n := w.node(act.To)
				w.on(n, act.Boot, func(now clock.Time) {
					w.step(n, now, hold.Granted{Nonce: act.Nonce, Term: act.Term, Seq: act.Seq, Span: act.Span, Servers: act.Servers})
				})
			})
		case assign.Publish:
			if !replaced {
				w.publish(a, act.Table)
			}
		case assign.Store:
			if !replaced {
				w.store(a, act.Assignment)
			}
		}
	}
}

// zombie lets an assigner that was replaced go on answering a dispatcher that
// has accepted its successor, as if it had been paused after it checked its
// role: the dispatcher's term check has to refuse the answers.
func (w *world) zombie(a *assigner, ev assign.Event) bool {
	r, ok := ev.(assign.Renew)
	return ok && w.node(r.From).hold.Dump().Term > a.term
}

// granted checks that a fence has one holder and that the fences of a hash
// only grow.
func (w *world) granted(a *assigner, g assign.Grant) {
	for _, sv := range g.Servers {
		for _, e := range sv.Grants {
			to := holder{sv.Server, g.To, g.Boot}
			if old, ok := w.grants[e.Fence]; ok && old != to {
				w.fail("fence %v was granted to %v, now to %v", e.Fence, old, to)
			}
			w.grants[e.Fence] = to
			for _, h := range w.hashes {
				if !e.Range.Contains(h) || e.Fence == w.newest[h] {
					continue
				}
				if e.Fence < w.newest[h] && e.Fence.Term() == a.term && !e.Releasing {
					w.fail("fence %v of %v granted after %v", e.Fence, h, w.newest[h])
				}
				w.newest[h] = max(w.newest[h], e.Fence)
			}
		}
	}
}

// publish takes a table as the copies at the group's hosts, and checks that a
// new term starts with what was acknowledged.
func (w *world) publish(a *assigner, t assign.Table) {
	if t.Term == w.table.Term && t.Version <= w.table.Version {
		w.fail("table %d.%d after %d.%d", t.Term, t.Version, w.table.Term, w.table.Version)
	}
	if a.first {
		a.first = false
		for _, r := range a.asked.Rows {
			for _, h := range w.hashes {
				if !r.Range.Contains(h) || r.Server < 0 {
					continue
				}
				if got := owner(t.Assignment, h); got != a.asked.Owners[r.Server].Name {
					w.fail("term %d starts with owner %q of %v, the store has %q", a.term, got, h, a.asked.Owners[r.Server].Name)
				}
			}
		}
	}
	if t.Newer(w.table.Assignment) {
		w.table = t
	}
}

func owner(a assign.Assignment, h keys.Hash) keys.Server {
	for _, r := range a.Rows {
		if r.Range.Contains(h) && r.Server >= 0 {
			return a.Owners[r.Server].Name
		}
	}
	return ""
}

// store is the platform's store. A failed write may still take effect.
func (w *world) store(a *assigner, v assign.Assignment) {
	fails := w.storeDown
	if (!fails || w.rnd.IntN(4) == 0) && v.Newer(w.stored) && a.term == w.term {
		w.stored = v
	}
	w.after(int64(5+w.rnd.IntN(100))*ms, func() {
		w.on(a.at, a.boot, func(clock.Time) {
			if fails {
				w.assign(a, assign.StoreFailed{Version: v.Version})
			} else {
				w.assign(a, assign.Stored{Version: v.Version})
			}
		})
	})
}

// elections keeps one assigner elected, as package elect does: a successor
// starts after the promises to the old one have ended.
func (w *world) elections() {
	w.after(20*ms, w.elections)
	if a := w.asn; a != nil {
		if !a.out && !a.at.dead && a.at.boot == a.boot && !a.at.paused && w.now < a.hold {
			a.hold = w.now + 290*ms
		}
		if w.now < a.hold+10*ms {
			return
		}
	}
	up := slices.DeleteFunc(slices.Clone(w.hosts), func(n *node) bool { return n.dead || n.paused })
	if len(up) == 0 {
		return
	}
	n := up[w.rnd.IntN(len(up))]
	w.term++
	a := &assigner{at: n, boot: n.boot, term: w.term, hold: w.now + 290*ms, first: true,
		state: assign.New(assign.Config{Interval: keys.Full(), Policy: w.policy})}
	w.asn = a
	// The copies at the group's hosts survive. Without servers that don't
	// check fencing tokens the store alone is enough.
	a.asked = w.table.Assignment
	checks := !slices.ContainsFunc(w.peers, func(p *backend) bool { return !p.checks })
	if w.stored.Newer(a.asked) || checks && w.rnd.IntN(2) == 0 {
		a.asked = w.stored
	}
	for _, p := range w.peers {
		w.listed(p)
	}
	for _, n := range w.hosts {
		if n.dead {
			w.assign(a, assign.HostSeen{Host: n.name})
		}
	}
	w.assign(a, assign.Elected{Term: a.term, Assignment: a.asked})
	for _, n := range w.hosts {
		w.after(w.delay(), func() {
			w.on(n, n.boot, func(clock.Time) {
				if n.believes != a {
					n.former, n.believes = n.believes, a
				}
			})
		})
	}
}

// listed sends the host list's entry of a server to the assigner.
func (w *world) listed(p *backend) {
	if w.asn == nil {
		return
	}
	st := assign.Ready
	switch {
	case p.gone:
		st = assign.Gone
	case p.state == grant.Draining:
		st = assign.Leaving
	}
	a := w.asn
	w.on(a.at, a.boot, func(clock.Time) {
		w.assign(a, assign.ServerSeen{Server: p.name, Address: string(p.name) + ":1", Slots: 2, Weight: 1, Checks: p.checks, State: st})
	})
}

// crash ends a server's process with everything it was sent.
func (w *world) crash(p *backend) {
	p.dead, p.frozen, p.inbox, p.sets = true, false, nil, make(map[holder]pushed)
	p.life++
	if p.refuses = w.rnd.IntN(2) == 0; p.refuses {
		w.reset(p)
	}
}

// reset breaks the connections to a crashed server, so its requests end.
func (w *world) reset(p *backend) {
	for _, n := range w.hosts {
		for _, r := range sortedRequests(n, p) {
			w.after(w.delay(), func() { w.end(n, n.boot, r) })
		}
	}
}

func sortedRequests(n *node, p *backend) (rs []*request) {
	for r := range n.requests {
		if r.server == p && r.life != p.life {
			rs = append(rs, r)
		}
	}
	slices.SortFunc(rs, func(a, b *request) int { return a.id - b.id })
	return rs
}

// leave takes a crashed server off the host list.
func (w *world) leave(p *backend) {
	p.gone = true
	p.life++
	w.listed(p)
	w.reset(p)
}

// join starts a crashed server anew.
func (w *world) join(p *backend) {
	p.dead, p.gone, p.state = false, false, grant.Ready
	p.life++
	w.listed(p)
	w.reset(p)
}

// kill ends a host's processes. Their connections break, so that servers
// cancel what they haven't run.
func (w *world) kill(n *node) {
	for _, r := range w.open {
		if r.node == n && r.boot == n.boot && !r.server.checks {
			w.after(200*ms, func() { w.at(r.server, r.life, func() { r.over = true }) })
		}
	}
	n.dead, n.inbox, n.requests = true, nil, nil
}

// end of the faults: everything that is left works again, and every hash must
// be served at some moment within 1 s.
func (w *world) heal() {
	w.calm, w.storeDown = true, w.storeDown && w.rnd.IntN(2) == 0
	clear(w.cut)
	for _, n := range w.hosts {
		if n.dead {
			w.boot(n)
		}
		w.resume(n)
	}
	for _, p := range w.peers {
		if p.frozen {
			w.thaw(p)
		}
		if p.dead && !p.gone {
			w.leave(p)
		}
	}
	if !slices.ContainsFunc(w.peers, func(p *backend) bool { return !p.dead && p.state == grant.Ready }) {
		w.join(w.peers[0])
	}
	waiting, settling := slices.Clone(w.hashes), false
	for end := w.now + 1000*ms; w.now < end && len(waiting) > 0; {
		w.run(5 * ms)
		waiting = slices.DeleteFunc(waiting, w.served1)
		settling = settling || slices.ContainsFunc(waiting, w.settling)
	}
	// A claim keeps a hash at a server that doesn't check fencing tokens. If
	// that server is draining, it must take no new work, and no other server
	// may until the claim has settled.
	for end := w.now + 1000*ms; settling && w.now < end; {
		w.run(5 * ms)
		waiting = slices.DeleteFunc(waiting, w.served1)
	}
	for _, h := range waiting {
		w.fail("hash %v is not served 1 s after the end of the faults", h)
	}
}

func (w *world) settling(h keys.Hash) bool {
	return slices.ContainsFunc(w.table.Claims, func(c assign.Claim) bool {
		return c.Range.Contains(h) && w.peer(c.Server).state == grant.Draining
	})
}

// served1 reports whether a request for the hash would be run now.
func (w *world) served1(h keys.Hash) bool {
	row, ok := w.row(h)
	if !ok || row.Server < 0 || row.Dispatcher == "" {
		return false
	}
	n, p := w.node(row.Dispatcher), w.peer(w.table.Owners[row.Server].Name)
	f, err := n.hold.Check(n.clock(w.now), p.name, h)
	return err == nil && !n.dead && !p.dead && (!p.checks || p.accepts(w.now, h, f))
}
