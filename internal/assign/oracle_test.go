package assign_test

import (
	"slices"

	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/internal/lease"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// checkOwnership is the oracle: at any moment at most one server can execute a
// hash.
func (c *cluster) checkOwnership() {
	c.openRequests = slices.DeleteFunc(c.openRequests, func(r *request) bool {
		lost := r.server.dead || r.server.incarnation != r.incarnation
		return r.done || lost || !r.sent && (r.host.dead || r.host.incarnation != r.hostIncarnation)
	})
	for _, hash := range c.hashes {
		var owner keys.Server
		for _, sv := range c.servers {
			if !c.executable(sv, hash) {
				continue
			}
			if owner != "" {
				c.fail("at %d ms hash %v can be executed by %s and %s", c.now/ms, hash, owner, sv.name)
			}
			owner = sv.name
		}
	}
}

// executable reports whether the server could run a request for the hash now. A
// server that doesn't check fencing tokens runs every request that was sent to
// it or that a dispatcher may send to it.
func (c *cluster) executable(sv *backend, hash keys.Hash) bool {
	if sv.dead {
		return false
	}
	if sv.checksFence {
		return sv.accepts(c.now, hash, 0)
	}
	for _, h := range c.hosts {
		if !h.dead {
			if _, err := h.dispatcher.Check(h.clock(c.now), sv.name, hash); err == nil {
				return true
			}
		}
	}
	return slices.ContainsFunc(c.openRequests, func(r *request) bool { return r.server == sv && r.hash == hash })
}

// checkExecution checks that no other server can run the hash at the moment when
// a request runs.
func (c *cluster) checkExecution(r *request) {
	for _, sv := range c.servers {
		if sv != r.server && c.executable(sv, r.hash) {
			c.fail("at %d ms %s ran %v with fence %v while %s can", c.now/ms, r.server.name, r.hash, r.fence, sv.name)
		}
	}
}

// stepAssigner steps an assigner if its role lease is valid, and carries out its
// actions.
func (c *cluster) stepAssigner(a *assigner, ev assign.Event) {
	replaced := c.now >= a.roleUntil
	if a.host.dead || a.host.incarnation != a.incarnation || replaced && !c.deliverStale(a, ev) {
		return
	}
	for _, act := range a.state.Step(a.host.clock(c.now), ev) {
		switch act := act.(type) {
		case assign.Reply:
			if !replaced {
				c.checkGrants(a, act)
			}
			c.send(string(a.host.name), string(act.To), func() {
				h := c.host(act.To)
				c.runOnHost(h, act.Incarnation, func(now clock.Time) {
					c.stepDispatcher(h, now, lease.Reply{Nonce: act.Nonce, Term: act.Term, Seq: act.Seq, LeaseTime: act.LeaseTime, Servers: act.Servers})
				})
			})
		case assign.Publish:
			if !replaced {
				c.publish(a, act.Table)
			}
		case assign.Store:
			if !replaced {
				c.writeStore(a, act.Assignment)
			}
		}
	}
}

// deliverStale reports whether an assigner that was replaced still replies to
// the event, as if it had been paused after it checked its role. It replies to
// dispatchers that have accepted its successor: their term check must refuse
// the replies.
func (c *cluster) deliverStale(a *assigner, ev assign.Event) bool {
	r, ok := ev.(assign.Renewal)
	return ok && c.host(r.From).dispatcher.Dump().Term > a.term
}

// checkGrants checks that a fence has one holder and that the fences of a hash
// only increase.
func (c *cluster) checkGrants(a *assigner, g assign.Reply) {
	for _, sv := range g.Servers {
		for _, e := range sv.Grants {
			to := holder{sv.Server, g.To, g.Incarnation}
			if old, ok := c.grants[e.Fence]; ok && old != to {
				c.fail("fence %v was granted to %v, now to %v", e.Fence, old, to)
			}
			c.grants[e.Fence] = to
			for _, hash := range c.hashes {
				if !e.Range.Contains(hash) || e.Fence == c.newestFence[hash] {
					continue
				}
				if e.Fence < c.newestFence[hash] && e.Fence.Term() == a.term && !e.Releasing {
					c.fail("fence %v of %v granted after %v", e.Fence, hash, c.newestFence[hash])
				}
				c.newestFence[hash] = max(c.newestFence[hash], e.Fence)
			}
		}
	}
}

// publish keeps a table for the copies at the group's hosts, and checks that a
// new term starts with the owners that it was given.
func (c *cluster) publish(a *assigner, t assign.Table) {
	if t.Term == c.table.Term && t.Version <= c.table.Version {
		c.fail("table %d.%d after %d.%d", t.Term, t.Version, c.table.Term, c.table.Version)
	}
	if a.unpublished {
		a.unpublished = false
		for _, r := range a.initial.Ranges {
			for _, hash := range c.hashes {
				if !r.Hashes.Contains(hash) || r.Server < 0 {
					continue
				}
				if got := ownerOf(t.Assignment, hash); got != a.initial.Owners[r.Server].Name {
					c.fail("term %d starts with owner %q of %v, the store has %q", a.term, got, hash, a.initial.Owners[r.Server].Name)
				}
			}
		}
	}
	if t.Newer(c.table.Assignment) {
		c.table = t
	}
}

func ownerOf(a assign.Assignment, hash keys.Hash) keys.Server {
	for _, r := range a.Ranges {
		if r.Hashes.Contains(hash) && r.Server >= 0 {
			return a.Owners[r.Server].Name
		}
	}
	return ""
}

// writeStore simulates the platform's store. A failed write may still take
// effect.
func (c *cluster) writeStore(a *assigner, v assign.Assignment) {
	fails := c.storeDown
	if (!fails || c.rnd.IntN(4) == 0) && v.Newer(c.stored) && a.term == c.term {
		c.stored = v
	}
	c.after(int64(5+c.rnd.IntN(100))*ms, func() {
		c.runOnHost(a.host, a.incarnation, func(clock.Time) {
			if fails {
				c.stepAssigner(a, assign.StoreFailed{Version: v.Version})
			} else {
				c.stepAssigner(a, assign.Stored{Version: v.Version})
			}
		})
	})
}

// runElection keeps one assigner elected, as package elect does: a successor
// starts after the role lease of the earlier one has expired.
func (c *cluster) runElection() {
	c.after(20*ms, c.runElection)
	if a := c.assigner; a != nil {
		if !a.deposed && !a.host.dead && a.host.incarnation == a.incarnation && !a.host.paused && c.now < a.roleUntil {
			a.roleUntil = c.now + 290*ms // elect.PromiseTime less elect.ClockMargin
		}
		if c.now < a.roleUntil+10*ms {
			return
		}
	}
	candidates := slices.DeleteFunc(slices.Clone(c.hosts), func(h *host) bool { return h.dead || h.paused })
	if len(candidates) == 0 {
		return
	}
	h := candidates[c.rnd.IntN(len(candidates))]
	c.term++
	a := &assigner{host: h, incarnation: h.incarnation, term: c.term, roleUntil: c.now + 290*ms, unpublished: true,
		state: assign.New(assign.Config{Interval: keys.FullRange(), Policy: c.policy})}
	c.assigner = a
	// The copies at the group's hosts survive. If all servers check fencing
	// tokens, the stored assignment alone is enough.
	a.initial = c.table.Assignment
	checks := !slices.ContainsFunc(c.servers, func(sv *backend) bool { return !sv.checksFence })
	if c.stored.Newer(a.initial) || checks && c.rnd.IntN(2) == 0 {
		a.initial = c.stored
	}
	for _, sv := range c.servers {
		c.sendListing(sv)
	}
	for _, h := range c.hosts {
		if h.dead {
			c.stepAssigner(a, assign.HostListed{Host: h.name})
		}
	}
	c.stepAssigner(a, assign.Elected{Term: a.term, Assignment: a.initial})
	for _, h := range c.hosts {
		c.after(c.delay(), func() {
			c.runOnHost(h, h.incarnation, func(clock.Time) {
				if h.assigner != a {
					h.previousAssigner, h.assigner = h.assigner, a
				}
			})
		})
	}
}

// sendListing sends the host list's entry of a server to the assigner.
func (c *cluster) sendListing(sv *backend) {
	if c.assigner == nil {
		return
	}
	st := assign.Ready
	switch {
	case sv.delisted:
		st = assign.Gone
	case sv.state == grant.Draining:
		st = assign.Leaving
	}
	a := c.assigner
	c.runOnHost(a.host, a.incarnation, func(clock.Time) {
		c.stepAssigner(a, assign.ServerListed{Server: sv.name, Address: string(sv.name) + ":1", Slots: 2, Weight: 1, ChecksFences: sv.checksFence, State: st})
	})
}

// crashServer ends a server's process and drops everything sent to it.
func (c *cluster) crashServer(sv *backend) {
	sv.dead, sv.frozen, sv.inbox, sv.pushes = true, false, nil, make(map[holder]pushedGrants)
	sv.incarnation++
	if sv.refusesConns = c.rnd.IntN(2) == 0; sv.refusesConns {
		c.resetConns(sv)
	}
}

// resetConns resets the connections to a crashed server, so its requests end.
func (c *cluster) resetConns(sv *backend) {
	for _, h := range c.hosts {
		for _, r := range brokenRequests(h, sv) {
			c.after(c.delay(), func() { c.endRequest(h, h.incarnation, r) })
		}
	}
}

// brokenRequests returns the host's requests to earlier incarnations of the
// server, by id.
func brokenRequests(h *host, sv *backend) (rs []*request) {
	for r := range h.requests {
		if r.server == sv && r.incarnation != sv.incarnation {
			rs = append(rs, r)
		}
	}
	slices.SortFunc(rs, func(a, b *request) int { return a.id - b.id })
	return rs
}

// removeServer removes a crashed server from the host list.
func (c *cluster) removeServer(sv *backend) {
	sv.delisted = true
	sv.incarnation++
	c.sendListing(sv)
	c.resetConns(sv)
}

// startServer restarts a crashed server.
func (c *cluster) startServer(sv *backend) {
	sv.dead, sv.delisted, sv.state = false, false, grant.Ready
	sv.incarnation++
	c.sendListing(sv)
	c.resetConns(sv)
}

// killHost ends a host's processes. Their connections break, so servers cancel
// the requests that they haven't run.
func (c *cluster) killHost(h *host) {
	for _, r := range c.openRequests {
		if r.host == h && r.hostIncarnation == h.incarnation && !r.server.checksFence {
			c.after(200*ms, func() { c.runOnServer(r.server, r.incarnation, func() { r.done = true }) })
		}
	}
	h.dead, h.inbox, h.requests = true, nil, nil
}

// checkRecovery ends the faults, and checks that every hash is served at some
// moment within 1 s.
func (c *cluster) checkRecovery() {
	c.reliable, c.storeDown = true, c.storeDown && c.rnd.IntN(2) == 0
	clear(c.partitions)
	for _, h := range c.hosts {
		if h.dead {
			c.startHost(h)
		}
		c.resumeHost(h)
	}
	for _, sv := range c.servers {
		if sv.frozen {
			c.unfreezeServer(sv)
		}
		if sv.dead && !sv.delisted {
			c.removeServer(sv)
		}
	}
	if !slices.ContainsFunc(c.servers, func(sv *backend) bool { return !sv.dead && sv.state == grant.Ready }) {
		c.startServer(c.servers[0])
	}
	unserved, claimed := slices.Clone(c.hashes), false
	for end := c.now + 1000*ms; c.now < end && len(unserved) > 0; {
		c.run(5 * ms)
		unserved = slices.DeleteFunc(unserved, c.isServed)
		claimed = claimed || slices.ContainsFunc(unserved, c.claimedByDraining)
	}
	// A claim keeps a hash at a server that doesn't check fencing tokens. If
	// that server is draining, it must get no new requests, nor may another
	// server until the claim has ended. Such hashes get another 1 s.
	for end := c.now + 1000*ms; claimed && c.now < end; {
		c.run(5 * ms)
		unserved = slices.DeleteFunc(unserved, c.isServed)
	}
	for _, hash := range unserved {
		c.fail("hash %v is not served 1 s after the end of the faults", hash)
	}
}

// claimedByDraining reports whether a draining server has a claim on the hash.
func (c *cluster) claimedByDraining(hash keys.Hash) bool {
	return slices.ContainsFunc(c.table.Claims, func(cl assign.Claim) bool {
		return cl.Range.Contains(hash) && c.server(cl.Server).state == grant.Draining
	})
}

// isServed reports whether a request for the hash would run now.
func (c *cluster) isServed(hash keys.Hash) bool {
	r, ok := c.rangeOf(hash)
	if !ok || r.Server < 0 || r.Dispatcher == "" {
		return false
	}
	h, sv := c.host(r.Dispatcher), c.server(c.table.Owners[r.Server].Name)
	f, err := h.dispatcher.Check(h.clock(c.now), sv.name, hash)
	return err == nil && !h.dead && !sv.dead && (!sv.checksFence || sv.accepts(c.now, hash, f))
}
