package assign_test

import (
	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/hold"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// accepts reports whether a server that checks would run a request with the
// fence; a fence of 0 stands for any.
func (p *backend) accepts(now int64, h keys.Hash, f keys.Fence) bool {
	if p.dead {
		return false
	}
	if p.unchecked && f != 0 {
		return true
	}
	var held keys.Fence
	for _, set := range p.sets {
		if p.clock(now) >= set.until {
			continue
		}
		for _, g := range set.grants {
			if g.Range.Contains(h) {
				held = max(held, g.Fence)
			}
		}
	}
	return held != 0 && (f == 0 || f == held)
}

// requests sends a request every few ms to the owner of a random hash.
func (w *world) requests() {
	w.after(int64(1+w.rnd.IntN(6))*ms, w.requests)
	if !w.load {
		return
	}
	h := w.hashes[w.rnd.IntN(len(w.hashes))]
	row, ok := w.row(h)
	if !ok || row.Server < 0 || row.Dispatcher == "" {
		return
	}
	n, p := w.node(row.Dispatcher), w.peer(w.table.Owners[row.Server].Name)
	boot := n.boot
	w.on(n, boot, func(now clock.Time) {
		f, err := n.hold.Begin(now, p.name, h)
		if err != nil {
			w.refused++
			return
		}
		w.begun++
		r := &request{id: w.begun, server: p, life: p.life, hash: h, fence: f, node: n, boot: boot}
		w.open = append(w.open, r)
		n.requests[r] = true
		w.after(int64(w.rnd.IntN(3))*ms, func() {
			w.on(n, boot, func(clock.Time) { w.execute(n, boot, r) })
		})
	})
}

func (w *world) row(h keys.Hash) (assign.Row, bool) {
	for _, r := range w.table.Rows {
		if r.Range.Contains(h) {
			return r, true
		}
	}
	return assign.Row{}, false
}

// execute sends a request that was begun. Its effect happens at one instant,
// where a server that checks looks at the fence.
func (w *world) execute(n *node, boot uint64, r *request) {
	p := r.server
	r.sent = true
	if p.dead && p.refuses {
		r.over = true
		w.after(w.delay(), func() { w.end(n, boot, r) })
		return
	}
	if p.checks && !w.calm && w.rnd.IntN(10) == 0 {
		// The dispatcher gives up waiting; the request may still run.
		w.after(int64(w.rnd.IntN(300))*ms, func() { w.end(n, boot, r) })
	}
	late := int64(w.rnd.IntN(20)) * ms
	if !w.calm && w.rnd.IntN(20) == 0 {
		late = int64(w.rnd.IntN(800)) * ms
	}
	// Packets of an ended dispatcher arrive within 200 ms.
	w.after(min(w.delay(), 200*ms), func() {
		w.at(p, r.life, func() {
			w.after(late, func() {
				w.at(p, r.life, func() {
					if r.over {
						return
					}
					if !p.checks || p.accepts(w.now, r.hash, r.fence) {
						w.served++
						w.ran(r)
					}
					r.over = true
					w.after(w.delay(), func() { w.end(n, boot, r) })
				})
			})
		})
	})
}

func (w *world) end(n *node, boot uint64, r *request) {
	w.on(n, boot, func(now clock.Time) {
		if n.requests[r] {
			delete(n.requests, r)
			n.hold.End(now, r.server.name, r.hash)
			w.step(n, now, hold.Tick{})
		}
	})
}
