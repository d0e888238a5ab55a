package assign_test

import (
	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/lease"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// accepts reports whether a server that checks fencing tokens would run a
// request with the fence; 0 stands for any fence.
func (sv *backend) accepts(now int64, hash keys.Hash, f keys.Fence) bool {
	if sv.dead {
		return false
	}
	if sv.skipFenceCheck && f != 0 {
		return true
	}
	var newest keys.Fence
	for _, set := range sv.pushes {
		if sv.clock(now) >= set.until {
			continue
		}
		for _, g := range set.grants {
			if g.Range.Contains(hash) {
				newest = max(newest, g.Fence)
			}
		}
	}
	return newest != 0 && (f == 0 || f == newest)
}

// sendRequest sends a request to the owner of a random hash, and again every few
// ms.
func (c *cluster) sendRequest() {
	c.after(int64(1+c.rnd.IntN(6))*ms, c.sendRequest)
	if !c.sendRequests {
		return
	}
	hash := c.hashes[c.rnd.IntN(len(c.hashes))]
	r, ok := c.rangeOf(hash)
	if !ok || r.Server < 0 || r.Dispatcher == "" {
		return
	}
	h, sv := c.host(r.Dispatcher), c.server(c.table.Owners[r.Server].Name)
	hostIncarnation := h.incarnation
	c.runOnHost(h, hostIncarnation, func(now clock.Time) {
		f, err := h.dispatcher.Begin(now, sv.name, hash)
		if err != nil {
			c.refused++
			return
		}
		c.begun++
		r := &request{id: c.begun, server: sv, incarnation: sv.incarnation, hash: hash, fence: f, host: h, hostIncarnation: hostIncarnation}
		c.openRequests = append(c.openRequests, r)
		h.requests[r] = true
		c.after(int64(c.rnd.IntN(3))*ms, func() {
			c.runOnHost(h, hostIncarnation, func(clock.Time) { c.execute(h, hostIncarnation, r) })
		})
	})
}

func (c *cluster) rangeOf(hash keys.Hash) (assign.Range, bool) {
	for _, r := range c.table.Ranges {
		if r.Hashes.Contains(hash) {
			return r, true
		}
	}
	return assign.Range{}, false
}

// execute sends a request that was begun. Its effect happens at one instant, at
// which a server that checks fencing tokens compares the fence.
func (c *cluster) execute(h *host, hostIncarnation uint64, r *request) {
	sv := r.server
	r.sent = true
	if sv.dead && sv.refusesConns {
		r.done = true
		c.after(c.delay(), func() { c.endRequest(h, hostIncarnation, r) })
		return
	}
	if sv.checksFence && !c.reliable && c.rnd.IntN(10) == 0 {
		// The request times out at the dispatcher; it may still run.
		c.after(int64(c.rnd.IntN(300))*ms, func() { c.endRequest(h, hostIncarnation, r) })
	}
	delay := int64(c.rnd.IntN(20)) * ms
	if !c.reliable && c.rnd.IntN(20) == 0 {
		delay = int64(c.rnd.IntN(800)) * ms
	}
	// Packets of an ended dispatcher arrive within 200 ms.
	c.after(min(c.delay(), 200*ms), func() {
		c.runOnServer(sv, r.incarnation, func() {
			c.after(delay, func() {
				c.runOnServer(sv, r.incarnation, func() {
					if r.done {
						return
					}
					if !sv.checksFence || sv.accepts(c.now, r.hash, r.fence) {
						c.executed++
						c.checkExecution(r)
					}
					r.done = true
					c.after(c.delay(), func() { c.endRequest(h, hostIncarnation, r) })
				})
			})
		})
	})
}

func (c *cluster) endRequest(h *host, hostIncarnation uint64, r *request) {
	c.runOnHost(h, hostIncarnation, func(now clock.Time) {
		if h.requests[r] {
			delete(h.requests, r)
			h.dispatcher.End(now, r.server.name, r.hash)
			c.stepDispatcher(h, now, lease.Tick{})
		}
	})
}
