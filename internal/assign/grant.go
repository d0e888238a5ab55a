package assign

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// free reports whether the row may be granted to its server as far as earlier
// grants are concerned.
func (s *State) free(now clock.Time, w *row) bool {
	if w.g != nil || w.server == "" || now < s.elected.Add(lease) || now < w.wait {
		return false
	}
	for _, c := range s.claims {
		if c.Server != w.server && c.Range.Overlaps(w.r) {
			return false
		}
	}
	return true
}

// grantFree grants the free rows whose server can be reached. Fragments of one
// grant that go the same way share a fence again, so that releases with
// requests in flight don't multiply the rows.
func (s *State) grantFree(now clock.Time) {
	s.joinRows()
	type way struct {
		origin keys.Fence
		server keys.Server
	}
	var shared map[way]*lessee
	for _, w := range s.rows {
		if w.fragment && w.g != nil && !w.g.releasing && w.g.server == w.server && w.g.fence.Term() == s.term {
			if shared == nil {
				shared = make(map[way]*lessee)
			}
			shared[way{w.origin, w.server}] = w.g
		}
	}
	for _, w := range s.rows {
		if !s.free(now, w) {
			continue
		}
		sv, _ := s.server(w.server)
		if !s.usable(now, sv) {
			continue
		}
		h := s.host(sv.host)
		g := lessee{server: sv.name, host: sv.host, boot: sv.boot, until: now.Add(lease),
			complete: w.records == sv.host && w.recordsBoot == sv.boot}
		if x := shared[way{w.origin, w.server}]; w.fragment && x != nil && x.host == g.host && x.boot == g.boot &&
			x.fence > w.floor && x.complete == g.complete {
			g.fence = x.fence
		} else {
			s.fence++
			g.fence = keys.NewFence(s.term, s.fence)
			if w.fragment {
				if shared == nil {
					shared = make(map[way]*lessee)
				}
				shared[way{w.origin, w.server}] = &g
			}
		}
		w.g, w.floor = &g, g.fence
		h.changed, s.dirty = true, true
	}
}

// answerTo answers the newest renewal of a host. Grants in release are listed
// as long as the host reports them, so that requests in flight may end.
func (s *State) answerTo(now clock.Time, h *host) Grant {
	s.answer++
	h.changed = false
	a := Grant{To: h.name, Boot: h.boot, Nonce: h.nonce, Term: s.term, Seq: s.answer, Span: grant.Lease}
	index := make(map[keys.Server]int)
	at := func(sv *server) int {
		i, ok := index[sv.name]
		if !ok {
			i = len(a.Servers)
			index[sv.name] = i
			a.Servers = append(a.Servers, grant.Server{Server: sv.name, Address: sv.addr, Checks: sv.checks})
		}
		return i
	}
	for _, sv := range s.servers {
		if sv.host == h.name && sv.boot == h.boot && sv.listing != Gone {
			at(sv)
		}
	}
	for _, w := range s.rows {
		g := w.g
		if g == nil || g.host != h.name || g.boot != h.boot {
			continue
		}
		sv, _ := s.server(g.server)
		if sv.listing == Gone {
			continue // the lease runs out; requests in flight have ended with the server
		}
		if !g.releasing {
			g.last = grant.Ack{Term: s.term, Seq: s.answer}
		}
		g.until = now.Add(lease)
		i := at(sv)
		a.Servers[i].Grants = append(a.Servers[i].Grants, grant.Entry{Range: w.r, Fence: g.fence,
			Releasing: g.releasing, Next: g.next, Complete: g.complete})
	}
	return a
}
