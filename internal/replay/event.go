package replay

import (
	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/elect"
	"github.com/laburnummux/laburnummux/internal/grant"
)

// happen carries out an event of the trace.
func (s *sim) happen(e Event) {
	sv := s.byServer[e.Server]
	switch e.Do {
	case Load:
		s.setLoad(e)
	case ServerJoins:
		sv.join()
		s.m.expect(s, s.total()/float64(len(s.balanced())))
		s.list(func() { sv.known, sv.listing = true, assign.Ready; s.tell(sv.seen()) })
	case ServerLeaves:
		s.m.expect(s, s.loadOf(sv))
		sv.state, sv.leftAt = grant.Draining, s.now
		s.list(func() { sv.listing = assign.Leaving; s.tell(sv.seen()) })
	case ServerLost:
		s.m.expect(s, s.loadOf(sv))
		sv.dead, sv.refuses, sv.sets = true, e.Refuses, nil
		s.list(func() { sv.listing = assign.Gone; s.tell(sv.seen()) })
	case ServerFrozen:
		s.m.expect(s, s.loadOf(sv))
		sv.frozen = true
	case ServerReturns:
		s.m.expect(s, s.total()/float64(len(s.balanced())))
		sv.frozen = false
		inbox := sv.inbox
		sv.inbox = nil
		for _, do := range inbox {
			sv.run(sv.life, do)
		}
	case HostLost, HostRestarts, HostLeaves, HostPaused:
		if h := s.hostOf(e); h != nil {
			s.hostEvent(h, e)
		}
	case StoreDown, StoreUp:
		s.store.down, s.store.delay = e.Do == StoreDown, storeDelay
	case StoreSlow:
		s.store.delay = e.Span
	case CentreCut:
		s.store.cut = true
	case CentreRestored:
		s.store.cut = false
		for _, sv := range s.servers {
			if sv.known {
				s.tell(sv.seen())
			}
		}
		for _, h := range s.hosts {
			s.tell(assign.HostSeen{Host: h.name, Live: h.listed, Leaving: h.leaving})
		}
	}
}

func (s *sim) hostEvent(h *host, e Event) {
	switch e.Do {
	case HostPaused:
		h.paused = true
		s.after(e.Span, h.resume)
	case HostLeaves:
		h.leaving = true
		h.run(h.boot, func() {
			h.stepElect(elect.Resign{}) // before it would start to move its servers
			h.digest()
		})
	case HostLost:
		h.dead = true
		s.list(func() {
			if h.listed = !h.dead; h.dead {
				s.tell(assign.HostSeen{Host: h.name})
			}
		})
	case HostRestarts:
		h.dead = true
		s.after(e.Span, func() { h.listed = true; h.start() })
	}
}

// hostOf returns the host that an event names.
func (s *sim) hostOf(e Event) *host {
	switch e.Host {
	case theAssigner:
		for _, h := range s.hosts {
			if !h.dead && h.term != 0 {
				return h
			}
		}
		return nil
	case theDispatcher:
		for _, o := range s.table.Owners {
			if o.Name == e.Server {
				return s.byHost[o.Dispatcher]
			}
		}
		return nil
	}
	return s.byHost[e.Host]
}

// list changes the host list after its lag.
func (s *sim) list(do func()) { s.after(s.trace.ListLag, do) }

// tell hands a change of the host list to the assigner.
func (s *sim) tell(ev assign.Event) {
	for _, h := range s.hosts {
		if !s.store.cut {
			h.run(h.boot, func() { h.stepAssign(ev) })
		}
	}
}

// published takes a new table: its rows tell where requests are sent.
func (s *sim) published(t assign.Table) {
	if !t.Newer(s.table.Assignment) {
		return
	}
	s.table = t
	i := 0
	for _, r := range t.Rows {
		if r.Holder != "" && !s.m.seen[r.Fence] {
			s.m.seen[r.Fence] = true
			if s.now >= s.trace.Warm {
				s.m.RangeMoves++
			}
		}
		for ; i < len(s.keys) && s.keys[i].hash <= r.Range.Hi(); i++ {
			k := s.keys[i]
			k.row = r.Range.Contains(k.hash) && r.Fence != 0 && !r.Releasing && r.Server >= 0
			if !k.row {
				continue
			}
			name := r.Holder
			if name == "" {
				name = t.Owners[r.Server].Name
			}
			k.host, k.server = s.byHost[r.Dispatcher], s.byServer[name]
		}
	}
}

// setLoad changes the rates of a key set.
func (s *sim) setLoad(e Event) {
	for _, k := range s.keys {
		if k.set == e.Keys {
			k.rate = e.Rate * k.weight
		}
	}
	s.reloaded = true
}

// expectLoad counts what new rates put above the policy's bound, which has to
// move. Events of one time are taken together.
func (s *sim) expectLoad() {
	if !s.reloaded {
		return
	}
	s.reloaded = false
	all := s.balanced()
	limit := s.m.bound * s.total() / float64(max(len(all), 1))
	for _, sv := range all {
		s.m.expect(s, max(0, s.loadOf(sv)-limit))
	}
}
