package place

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// minShareServers is the smallest share of a service. Services with fewer
	// servers have fewer shares, each used by several groups of hosts.
	minShareServers = 2
	// overflowChoices is how many servers outside its share a host compares. It
	// knows only its own requests there; a few choices spread those of all hosts.
	overflowChoices = 4
	// overflowInFlight is the most requests that a host has in flight at a server
	// outside its share.
	overflowInFlight = 1
	// toldLoadAge is how long a host goes by the load in a server's response, if the
	// load reports of the group don't tell it.
	toldLoadAge = 500 * clock.Millisecond
)

// Share is the part of its data centre's servers that a host uses for requests
// without keys, in common with the hosts whose load it knows.
type Share struct {
	Number int // from 0
	Count  int // shares in the data centre; up to 1: the host uses all servers
	Hosts  int // that use it, including this one
}

// SetShare sets the share of this host. Other servers get its requests only while
// those of the share have no room.
func (s *State) SetShare(now clock.Time, share Share) []Action {
	s.share = share
	s.groupServers()
	return s.dispatchAll(now)
}

// pool returns the servers that a request without a key is expected to run on.
func (s *State) pool(now clock.Time, name keys.Service) []*server {
	if share := s.shareOf[name]; len(share) > 0 {
		return share
	}
	return s.candidates(now, name)
}

// explorers returns how many hosts may send a new server its first request.
func (s *State) explorers() int {
	if s.share.Count > 1 {
		return max(s.share.Hosts, 1)
	}
	return max(s.hostCount, 1)
}

// setShares determines the servers of this host's share of each service.
func (s *State) setShares() {
	s.shareOf = make(map[keys.Service][]*server)
	if s.share.Count <= 1 {
		return
	}
	for name, all := range s.serversOf {
		var local []*server
		for _, sv := range all {
			if sv.DC == s.dc {
				local = append(local, sv)
			}
		}
		count := min(s.share.Count, len(local)/minShareServers)
		if count == 0 {
			continue
		}
		number := s.share.Number * count / s.share.Count
		s.shareOf[name] = local[number*len(local)/count : (number+1)*len(local)/count]
	}
}

// pickOverflow returns a server for a request while all servers of the share are
// full or avoided, or nil. Servers of the data centre come first, as others cost
// more.
func (s *State) pickOverflow(now clock.Time, r *Request) *server {
	var remote *server
	all := s.serversOf[r.Service]
	for range min(overflowChoices, len(all)) {
		sv := all[s.rng.IntN(len(all))]
		if sv.unavailable(now) || sv.localInFlight >= overflowInFlight || s.full(sv) || now < sv.warmupUntil || !s.admits(now, sv, false) || sv.toldFull(now) {
			continue
		}
		if sv.DC == s.dc {
			return sv
		}
		remote = sv
	}
	return remote
}

// toldLately reports whether a server's load in its last response is still of use.
func (sv *server) toldLately(now clock.Time) bool {
	return sv.toldLoadAt != 0 && now.Sub(sv.toldLoadAt) < toldLoadAge
}

// toldFull reports whether a server has said lately that all its slots were busy.
func (sv *server) toldFull(now clock.Time) bool {
	return sv.toldLately(now) && sv.toldLoad >= sv.Slots
}

// toldWaiting returns how many requests the owner of a key has lately said to have
// queued, beyond those that this host knows of. It is 0 if all hosts of the data
// centre tell each other their load.
func (s *State) toldWaiting(now clock.Time, sv *server) int {
	if s.share.Count <= 1 || !sv.toldLately(now) {
		return 0
	}
	return max(sv.toldLoad-max(sv.load(), sv.Slots), 0)
}
