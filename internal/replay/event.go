package replay

import (
	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/elect"
	"github.com/laburnummux/laburnummux/internal/grant"
)

// applyEvent applies an event of the trace.
func (s *sim) applyEvent(e Event) {
	sv := s.byServer[e.Server]
	switch e.Kind {
	case LoadChanges:
		s.setRates(e)
	case ServerJoins:
		sv.join()
		s.stats.addMinMoved(s, s.totalRate()/float64(len(s.activeServers())))
		s.updateList(func() { sv.listed, sv.listState = true, assign.Ready; s.notifyAssigner(sv.listEvent()) })
	case ServerLeaves:
		s.stats.addMinMoved(s, s.loadOf(sv))
		sv.state, sv.drainingSince = grant.Draining, s.now
		s.updateList(func() { sv.listState = assign.Leaving; s.notifyAssigner(sv.listEvent()) })
	case ServerLost:
		s.stats.addMinMoved(s, s.loadOf(sv))
		sv.dead, sv.refuses, sv.grants = true, e.Refuses, nil
		s.updateList(func() { sv.listState = assign.Gone; s.notifyAssigner(sv.listEvent()) })
	case ServerFrozen:
		s.stats.addMinMoved(s, s.loadOf(sv))
		sv.frozen = true
	case ServerReturns:
		s.stats.addMinMoved(s, s.totalRate()/float64(len(s.activeServers())))
		sv.frozen = false
		inbox := sv.inbox
		sv.inbox = nil
		for _, fn := range inbox {
			sv.exec(sv.incarnation, fn)
		}
	case HostLost, HostRestarts, HostLeaves, HostPaused:
		if h := s.hostOf(e); h != nil {
			s.applyHostEvent(h, e)
		}
	case StoreDown, StoreUp:
		s.store.down, s.store.delay = e.Kind == StoreDown, storeDelay
	case StoreSlow:
		s.store.delay = e.Duration
	case DataCentrePartitioned:
		s.store.partitioned = true
	case DataCentreReconnected:
		s.store.partitioned = false
		for _, sv := range s.servers {
			if sv.listed {
				s.notifyAssigner(sv.listEvent())
			}
		}
		for _, h := range s.hosts {
			s.notifyAssigner(assign.HostListed{Host: h.name, Live: h.listed, Leaving: h.leaving})
		}
	}
}

func (s *sim) applyHostEvent(h *host, e Event) {
	switch e.Kind {
	case HostPaused:
		h.paused = true
		s.after(e.Duration, h.resume)
	case HostLeaves:
		h.leaving = true
		h.exec(h.incarnation, func() {
			h.stepElect(elect.Resign{}) // before assign starts to move the host's servers
			h.sendDigest()
		})
	case HostLost:
		h.dead = true
		s.updateList(func() {
			if h.listed = !h.dead; h.dead {
				s.notifyAssigner(assign.HostListed{Host: h.name})
			}
		})
	case HostRestarts:
		h.dead = true
		s.after(e.Duration, func() { h.listed = true; h.start() })
	}
}

// hostOf returns the host that an event refers to, or nil.
func (s *sim) hostOf(e Event) *host {
	switch e.Host {
	case assignerRole:
		for _, h := range s.hosts {
			if !h.dead && h.term != 0 {
				return h
			}
		}
		return nil
	case dispatcherRole:
		for _, o := range s.table.Owners {
			if o.Name == e.Server {
				return s.byHost[o.Dispatcher]
			}
		}
		return nil
	}
	return s.byHost[e.Host]
}

// updateList calls fn, which changes the host list, after the lag of the list.
func (s *sim) updateList(fn func()) { s.after(s.trace.ListLag, fn) }

// notifyAssigner passes a change of the host list to the assigner, unless the
// data centre is partitioned.
func (s *sim) notifyAssigner(ev assign.Event) {
	for _, h := range s.hosts {
		if !s.store.partitioned {
			h.exec(h.incarnation, func() { h.stepAssign(ev) })
		}
	}
}

// setTable takes a table, if it is newer, and updates where the requests for
// each key are sent.
func (s *sim) setTable(t assign.Table) {
	if !t.Newer(s.table.Assignment) {
		return
	}
	s.table = t
	i := 0
	for _, r := range t.Ranges {
		if r.GrantedTo != "" && !s.stats.seenFences[r.Fence] {
			s.stats.seenFences[r.Fence] = true
			if s.now >= s.trace.WarmupEnd {
				s.stats.RangeMoves++
			}
		}
		for ; i < len(s.keys) && s.keys[i].hash <= r.Hashes.Hi(); i++ {
			k := s.keys[i]
			k.routable = r.Hashes.Contains(k.hash) && r.Fence != 0 && !r.Releasing && r.Server >= 0
			if !k.routable {
				continue
			}
			name := r.GrantedTo
			if name == "" {
				name = t.Owners[r.Server].Name
			}
			k.dispatcher, k.server = s.byHost[r.Dispatcher], s.byServer[name]
		}
	}
}

// setRates sets the rates of a key set.
func (s *sim) setRates(e Event) {
	for _, k := range s.keys {
		if k.keySet == e.Keys {
			k.rate = e.Rate * k.weight
		}
	}
	s.ratesChanged = true
}

// addOverload adds the load that changed rates put above the policy's bound to
// the load that has to move. Events at the same time are taken together.
func (s *sim) addOverload() {
	if !s.ratesChanged {
		return
	}
	s.ratesChanged = false
	all := s.activeServers()
	limit := s.stats.maxImbalance * s.totalRate() / float64(max(len(all), 1))
	for _, sv := range all {
		s.stats.addMinMoved(s, max(0, s.loadOf(sv)-limit))
	}
}
