package assign

import (
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// renew takes a dispatcher's report. It returns the host to answer, or nil if
// the renewal is outdated.
func (s *State) renew(now clock.Time, ev Renew) *host {
	h := s.host(ev.From)
	if s.term == 0 || ev.Ack.Term > s.term || ev.Nonce <= h.nonces[ev.Boot] {
		return nil
	}
	if ev.Boot != h.boot {
		// Boot ids have no order. A delayed renewal of an earlier boot is
		// corrected by the next one of the present boot, within 100 ms.
		h.boot, h.bootAt = ev.Boot, now
	}
	h.nonces[ev.Boot] = ev.Nonce
	h.nonce, h.heard, h.ack, h.gone = ev.Nonce, now, ev.Ack, false
	for _, r := range ev.Servers {
		sv, _ := s.server(r.Server)
		if sv.host == h.name && sv.boot == h.boot {
			sv.observe(now, r.State)
		}
		for _, held := range r.Held {
			s.adopt(now, h, r.Server, held)
		}
		s.loads(h, r)
	}
	s.releases(h, ev)
	s.narrow(ev)
	return h
}

// observe notes the state that the server's dispatcher reports.
func (sv *server) observe(now clock.Time, st grant.State) {
	if st == grant.Ready && !sv.ready {
		sv.ready, sv.readyAt = true, now
	}
	if st == grant.Missed {
		sv.ready = false // it starts cold when it returns
	}
	sv.state = st
}

// adopt takes over a grant of an earlier term that the dispatcher still has.
// Where reports differ, the higher fence is the newer grant; the lower one has
// lapsed at its dispatcher.
func (s *State) adopt(now clock.Time, h *host, name keys.Server, held grant.Held) {
	if held.Fence.Term() >= s.term || !held.Range.Overlaps(s.cfg.Interval) {
		return
	}
	for _, w := range s.overlapping(held.Range) {
		if w.floor >= held.Fence {
			return // known, or outdated
		}
	}
	if now >= s.elected.Add(lease) {
		// Only requests in flight can be left of a grant that old.
		if sv, _ := s.server(name); !sv.checks && !s.hasClaim(name, held) {
			s.claims = append(s.claims, &claim{last: grant.Ack{Term: s.term},
				Claim: Claim{Range: held.Range, Server: name, Dispatcher: h.name, Boot: h.boot, Fence: held.Fence}})
			s.cut(held.Range)
			s.dirty = true
		}
		return
	}
	s.cut(held.Range)
	for _, w := range s.overlapping(held.Range) {
		w.server, w.floor = name, held.Fence
		w.g = &lessee{server: name, host: h.name, boot: h.boot, fence: held.Fence,
			last: grant.Ack{Term: s.term}, until: now.Add(lease)}
	}
	h.changed, s.dirty = true, true
}

// releases frees what the dispatcher no longer holds. A grant that is missing
// from the report is released only if the report acknowledges the last answer
// that could create it; otherwise that answer may still be on its way.
func (s *State) releases(h *host, ev Renew) {
	for i := 0; i < len(s.rows); i++ {
		w := s.rows[i]
		if w.g == nil || w.g.host != h.name || w.g.boot != h.boot || !ev.Ack.Covers(w.g.last) {
			continue
		}
		k := slices.IndexFunc(ev.Servers, func(r grant.Report) bool { return r.Server == w.g.server })
		var held []keys.Range
		var moved []grant.Moved
		if k >= 0 {
			held = parts(ev.Servers[k].Held, w.g.fence, w.r)
			moved = ev.Servers[k].Moved
		}
		if len(held) == 1 && held[0] == w.r {
			continue
		}
		whole := w.r
		for _, p := range held {
			s.cut(p)
		}
		for _, p := range s.overlapping(whole) {
			if len(held) > 0 {
				p.fragment, p.origin = true, w.floor
			}
			if !slices.ContainsFunc(held, func(r keys.Range) bool { return r.Overlaps(p.r) }) {
				s.freed(p, moved)
			}
		}
	}
}

// parts returns the parts of r that are held under the fence, joined where
// they touch.
func parts(held []grant.Held, f keys.Fence, r keys.Range) (out []keys.Range) {
	for _, x := range held {
		if x.Fence != f || !x.Range.Overlaps(r) {
			continue
		}
		p := keys.NewRange(max(x.Range.Lo(), r.Lo()), min(x.Range.Hi(), r.Hi()))
		if n := len(out); n > 0 && out[n-1].Hi()+1 == p.Lo() {
			out[n-1] = keys.NewRange(out[n-1].Lo(), p.Hi())
			continue
		}
		out = append(out, p)
	}
	return out
}

// freed ends a grant that was released, and notes who has the records.
func (s *State) freed(w *row, moved []grant.Moved) {
	w.records, w.recordsBoot = w.g.host, w.g.boot
	for _, m := range moved {
		if m.Fence == w.g.fence && m.Range.Lo() <= w.r.Lo() && w.r.Hi() <= m.Range.Hi() {
			w.records, w.recordsBoot = m.To, s.host(m.To).boot
		}
	}
	w.g = nil
	s.dirty = true
}

// lapse frees grants whose lease has certainly ended. A server that doesn't
// check fencing tokens may still have requests of the lost dispatcher.
func (s *State) lapse(now clock.Time) {
	for _, w := range s.rows {
		if w.g == nil || now < w.g.until {
			continue
		}
		sv, _ := s.server(w.g.server)
		if !sv.checks && sv.listing != Gone {
			s.claims = append(s.claims, s.newClaim(w))
		}
		w.g, w.records = nil, ""
		s.dirty = true
	}
}
