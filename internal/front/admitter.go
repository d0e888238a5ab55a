package front

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// maxAdmitters is how many hosts are ranked as admitters of a server: the first, and
	// those that are asked while it doesn't reply.
	maxAdmitters = 3
	// maxRanked is the most servers whose ranking is kept.
	maxRanked = 1 << 15
	// candidatesPeriodPerHost is the time between two lists of the candidates, per known
	// host, if no heartbeat has told of a change: a host is missed after a time that grows
	// with the number of hosts as well.
	candidatesPeriodPerHost = 3 * clock.Millisecond
	// strongCores is the least processor of the hosts that are ranked first, as a share
	// of the largest in the data centre. A host whose processor quota is used up replies
	// too late.
	strongCores = 0.5
)

// candidate is a host that may be an admitter.
type candidate struct {
	name keys.Host
	ip   string
	dc   keys.DataCentre
	hash uint64 // of its name
	// cores is its processor; strong says that it is ranked before hosts with less.
	cores  float64
	strong bool
}

// admitters ranks the hosts as admitters of servers: those with much processor first,
// by rendezvous hash among each other. All hosts with
// the same list of hosts come to the same ranking, so that no message assigns it, and a
// host that joins or leaves changes the admitter of few servers.
type admitters struct {
	all    []candidate // by name
	byDC   map[keys.DataCentre][]candidate
	ranked map[keys.Server][]string // addresses, best first
}

// set replaces the list of hosts.
func (a *admitters) set(list []candidate) {
	slices.SortFunc(list, func(x, y candidate) int { return cmp.Compare(x.name, y.name) })
	markStrong(list)
	if slices.Equal(list, a.all) && a.ranked != nil {
		return
	}
	a.all, a.byDC, a.ranked = list, make(map[keys.DataCentre][]candidate), make(map[keys.Server][]string)
	for _, c := range list {
		a.byDC[c.dc] = append(a.byDC[c.dc], c)
	}
}

// markStrong marks the hosts that are ranked first in their data centre.
func markStrong(list []candidate) {
	most := make(map[keys.DataCentre]float64)
	for _, c := range list {
		most[c.dc] = max(most[c.dc], c.cores)
	}
	for i := range list {
		list[i].strong = list[i].cores >= strongCores*most[list[i].dc]
	}
}

// of returns the addresses of the first admitters of a server: hosts of its data centre,
// or of all if it has none.
func (a *admitters) of(sv fleet.Server) []string {
	ips, ok := a.ranked[sv.ID]
	if ok {
		return ips
	}
	if len(a.ranked) >= maxRanked {
		clear(a.ranked)
	}
	group := a.byDC[sv.DC]
	if len(group) == 0 {
		group = a.all
	}
	ips = rank(sv.ID, group)
	if a.ranked != nil {
		a.ranked[sv.ID] = ips
	}
	return ips
}

// rank returns the addresses of the hosts with the highest rendezvous hashes, strong
// ones first.
func rank(id keys.Server, hosts []candidate) (ips []string) {
	type ranked struct {
		hash uint64
		ip   string
	}
	var best [maxAdmitters]ranked
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], xxhash.Sum64String(string(id)))
	for _, c := range hosts {
		binary.LittleEndian.PutUint64(b[8:], c.hash)
		x := ranked{hash: xxhash.Sum64(b[:]) >> 1, ip: c.ip}
		if c.strong {
			x.hash |= 1 << 63
		}
		for i := range best {
			if best[i].ip == "" || x.hash > best[i].hash {
				x, best[i] = best[i], x
			}
			if x.ip == "" {
				break
			}
		}
	}
	for _, x := range best {
		if x.ip != "" {
			ips = append(ips, x.ip)
		}
	}
	return ips
}

// newCandidate returns a host as a candidate.
func newCandidate(name keys.Host, ip string, dc keys.DataCentre, cores float64) candidate {
	return candidate{name: name, ip: ip, dc: dc, hash: xxhash.Sum64String(string(name)), cores: cores}
}

// candidates returns the active hosts that act as admitters, without this one. ok is
// false if they can't have changed since the last call.
func (ms *members) candidates(now clock.Time) (list []candidate, ok bool) {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	if !ms.candidatesChanged && now.Sub(ms.candidatesAt) < candidatesPeriodPerHost*clock.Span(len(ms.all)) {
		return nil, false
	}
	ms.candidatesChanged, ms.candidatesAt = false, now
	for _, m := range ms.all {
		if m.admits && !m.leaving && m.active(now) {
			list = append(list, newCandidate(m.name, m.ip, m.dc, m.cores))
		}
	}
	return list, true
}

// noteCandidates has the next call of candidates list them.
func (ms *members) noteCandidates() {
	ms.mu.Lock()
	defer ms.mu.Unlock()
	ms.candidatesChanged = true
}
