package assign

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// grantable reports whether no earlier grant, claim or pending merge prevents
// granting the range to its owner.
func (s *State) grantable(now clock.Time, rg *rangeState) bool {
	if rg.lease != nil || rg.owner == "" || now < s.electedAt.Add(leaseTime) || now < rg.mergeUntil {
		return false
	}
	for _, cl := range s.claims {
		if cl.Server != rg.owner && cl.Range.Overlaps(rg.hashes) {
			return false
		}
	}
	return true
}

// grantRanges grants the grantable ranges whose server can be reached. Fragments
// of one grant that go to the same server through the same dispatcher get one
// fence again and can be joined, so that releases with requests in flight don't
// multiply the ranges.
func (s *State) grantRanges(now clock.Time) {
	s.joinRanges()
	type path struct {
		originFence keys.Fence
		server      keys.Server
	}
	var shared map[path]*lease
	for _, rg := range s.ranges {
		if rg.fragment && rg.lease != nil && !rg.lease.releasing && rg.lease.server == rg.owner && rg.lease.fence.Term() == s.term {
			if shared == nil {
				shared = make(map[path]*lease)
			}
			shared[path{rg.originFence, rg.owner}] = rg.lease
		}
	}
	for _, rg := range s.ranges {
		if !s.grantable(now, rg) {
			continue
		}
		sv, _ := s.server(rg.owner)
		if !s.usable(now, sv) {
			continue
		}
		h := s.host(sv.dispatcher)
		l := lease{server: sv.name, dispatcher: sv.dispatcher, incarnation: sv.dispatcherIncarnation, expires: now.Add(leaseTime),
			dedupComplete: rg.dedupHost == sv.dispatcher && rg.dedupIncarnation == sv.dispatcherIncarnation}
		if other := shared[path{rg.originFence, rg.owner}]; rg.fragment && other != nil && other.dispatcher == l.dispatcher && other.incarnation == l.incarnation &&
			other.fence > rg.highestFence && other.dedupComplete == l.dedupComplete {
			l.fence = other.fence
		} else {
			s.fenceSeq++
			l.fence = keys.NewFence(s.term, s.fenceSeq)
			if rg.fragment {
				if shared == nil {
					shared = make(map[path]*lease)
				}
				shared[path{rg.originFence, rg.owner}] = &l
			}
		}
		rg.lease, rg.highestFence = &l, l.fence
		h.dirty, s.dirty = true, true
	}
}

// reply returns the reply to the newest renewal of a host. Grants that are
// being released stay listed as long as the host reports them, so that requests
// in flight can finish.
func (s *State) reply(now clock.Time, h *host) Reply {
	s.replySeq++
	h.dirty = false
	reply := Reply{To: h.name, Incarnation: h.incarnation, Nonce: h.nonce, Term: s.term, Seq: s.replySeq, LeaseTime: grant.LeaseTime}
	index := make(map[keys.Server]int)
	indexOf := func(sv *server) int {
		i, ok := index[sv.name]
		if !ok {
			i = len(reply.Servers)
			index[sv.name] = i
			reply.Servers = append(reply.Servers, grant.Server{Server: sv.name, Address: sv.addr, ChecksFences: sv.checksFence})
		}
		return i
	}
	for _, sv := range s.servers {
		if sv.dispatcher == h.name && sv.dispatcherIncarnation == h.incarnation && sv.listing != Gone {
			indexOf(sv)
		}
	}
	for _, rg := range s.ranges {
		l := rg.lease
		if l == nil || l.dispatcher != h.name || l.incarnation != h.incarnation {
			continue
		}
		sv, _ := s.server(l.server)
		if sv.listing == Gone {
			continue // the lease expires; requests in flight have ended with the server
		}
		if !l.releasing {
			l.lastSent = grant.Ack{Term: s.term, Seq: s.replySeq}
		}
		l.expires = now.Add(leaseTime)
		i := indexOf(sv)
		reply.Servers[i].Grants = append(reply.Servers[i].Grants, grant.Entry{Range: rg.hashes, Fence: l.fence,
			Releasing: l.releasing, Next: l.nextHost, Complete: l.dedupComplete})
	}
	return reply
}
