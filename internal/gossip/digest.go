package gossip

import (
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Sizes of messages in bytes as encoded by protobuf: 1 byte for the tag of each
// field and 1 byte for each length.
const (
	// frameBytes is the overhead of HTTP/2 and gRPC per message (internal/peers).
	frameBytes = 60
	// batchBytes is the batch around a message without the sender's name: tag
	// and length of the name 2, incarnation 11, tags and lengths of the message and
	// of its body 5 (lengths above 127 bytes take 2).
	batchBytes = 18
	// digestBytes is the revision 5 (up to 268 million), the sender's heartbeat
	// 5 (up to 268 million, 621 days) and the leaving flag 2.
	digestBytes = 12
	// heartbeatBytes is a heartbeat without the name: tag and length 2, tag and
	// length of the name 2, incarnation 11, heartbeat 5.
	heartbeatBytes = 20
	// fetchBytes is the revision 5 and the flag for heartbeats 2.
	fetchBytes = 7
	// fetchedBytes is the revision 5, tag and length of the document 4.
	fetchedBytes = 9
)

const (
	digestsPerRound = groupFanout + 1
	// MaxRate is the limit in bytes/s for the digests of rounds, independent of
	// the size of the fleet. Unused bytes carry over; a round may use the bytes
	// of at most 0.4 s in total. Heartbeats of other hosts use the bytes that the
	// digests leave. Since 3 digests without heartbeats of others are always
	// sent, the limit holds for host names of up to 43 characters. Digests
	// outside a round, at most 3 per round, reduce the bytes for later
	// heartbeats; during a burst of changes they add up to 15 x (90 + length of
	// the name) bytes/s.
	MaxRate       = 2000
	bytesPerRound = MaxRate * int(RoundInterval) / int(clock.Second)
	maxByteBudget = 2 * bytesPerRound
	maxHeartbeats = 4 // of other hosts in a digest
	// maxRelays is the number of digests that include the same heartbeat of
	// another host.
	maxRelays = 3
	// maxRelayAge is the time after its receipt for which a heartbeat is
	// included in digests.
	maxRelayAge = 30 * clock.Second
)

// Size returns the size of the digest on the wire in bytes, including the batch
// around it.
func (d Digest) Size(from keys.Host) int {
	n := frameBytes + batchBytes + len(from) + digestBytes
	for _, hb := range d.Heartbeats {
		n += hb.Size()
	}
	return n
}

// Size returns the size of the heartbeat on the wire in bytes.
func (hb Heartbeat) Size() int {
	n := heartbeatBytes + len(hb.Host)
	if hb.Leaving {
		n += 2
	}
	return n
}

// Size returns the size of the request on the wire in bytes.
func (f Fetch) Size(from keys.Host) int { return frameBytes + batchBytes + len(from) + fetchBytes }

// Size returns the size of the response on the wire in bytes.
func (f FetchResponse) Size() int {
	n := frameBytes + batchBytes + len(f.From) + fetchedBytes + len(f.Body)
	for _, hb := range f.Heartbeats {
		n += hb.Size()
	}
	return n
}

func (s *State) newDigest() Digest {
	return Digest{Revision: s.revision, Count: s.heartbeatCount, Leaving: s.leaving}
}

func (s *State) sendRound() {
	s.nextRound = s.nextRound.Add(RoundInterval)
	if !s.nextRound.After(s.now) {
		s.nextRound = s.now.Add(RoundInterval) // skips missed rounds, so that a paused host sends no burst
	}
	s.heartbeatCount++
	s.round++
	s.extraDigests = digestsPerRound
	to := s.chooseTargets(nil)
	d := s.newDigest()
	s.byteBudget = min(s.byteBudget+bytesPerRound, maxByteBudget) - len(to)*d.Size(s.cfg.Host)
	for i, name := range to {
		d.Heartbeats = s.chooseHeartbeats(name, s.byteBudget/(len(to)-i))
		for _, hb := range d.Heartbeats {
			s.byteBudget -= hb.Size()
		}
		s.emit(SendDigest{To: name, Digest: d})
	}
}

// sendExtraDigest sends a digest outside a round unless the limit per round is
// reached.
func (s *State) sendExtraDigest(to keys.Host) {
	if s.extraDigests == 0 {
		return
	}
	s.extraDigests--
	d := s.newDigest()
	s.byteBudget = max(s.byteBudget-d.Size(s.cfg.Host), -maxByteBudget)
	s.emit(SendDigest{To: to, Digest: d})
}

// chooseTargets chooses up to 2 hosts of the group and 1 outside it that are not
// in exclude. Hosts without a recent heartbeat are chosen too, because otherwise
// neither side would send to the other after a network partition.
func (s *State) chooseTargets(exclude []keys.Host) []keys.Host {
	h := &s.hosts
	to := make([]keys.Host, 0, digestsPerRound)
	n := len(h.group)
	for i := 0; i < n && len(to) < groupFanout; i++ {
		j := i + s.rng.IntN(n-i)
		h.group[i], h.group[j] = h.group[j], h.group[i]
		if name := h.peers[h.group[i]].name; !slices.Contains(exclude, name) {
			to = append(to, name)
		}
	}
	if i := s.targetOutsideGroup(); i >= 0 && !slices.Contains(exclude, h.peers[i].name) {
		to = append(to, h.peers[i].name)
	}
	return to
}

// targetOutsideGroup chooses a host outside the group, or returns -1: with equal
// probability one of this data centre or one of another, if there are both.
// The other data centres have equal probabilities too, so that a small one is
// reached as often as a large one.
func (s *State) targetOutsideGroup() int32 {
	h := &s.hosts
	others := 0
	for _, dc := range h.dataCentres {
		if len(dc.hosts) > 0 {
			others++
		}
	}
	if others == 0 && len(h.sameCentre) == 0 {
		return -1
	}
	if others == 0 || len(h.sameCentre) > 0 && s.rng.IntN(2) == 0 {
		return h.sameCentre[s.rng.IntN(len(h.sameCentre))]
	}
	skip := s.rng.IntN(others)
	for _, dc := range h.dataCentres {
		if len(dc.hosts) == 0 {
			continue
		}
		if skip == 0 {
			return dc.hosts[s.rng.IntN(len(dc.hosts))]
		}
		skip--
	}
	return -1
}

// chooseHeartbeats chooses heartbeats of other hosts for a digest, up to limit
// bytes in total. In every other round a digest within the data centre has the
// heartbeat of a watcher first, so that the loss of a watcher is detected in the
// whole data centre within watcherTimeout.
func (s *State) chooseHeartbeats(to keys.Host, limit int) []Heartbeat {
	var heartbeats []Heartbeat
	add := func(i int32) bool {
		p := &s.hosts.peers[i]
		hb := p.heartbeat()
		if limit < hb.Size() {
			return false
		}
		if p.name != to && !slices.ContainsFunc(heartbeats, func(other Heartbeat) bool { return other.Host == hb.Host }) {
			limit -= hb.Size()
			heartbeats = append(heartbeats, hb)
		}
		return true
	}
	if target := &s.hosts.peers[s.hosts.index[to]]; s.round%2 == 0 && target.dataCentre >= 0 &&
		s.hosts.dataCentres[target.dataCentre].name == s.cfg.DataCentre {
		if watchers := s.firstWatchers(); len(watchers) > 0 {
			add(watchers[s.rng.IntN(len(watchers))])
		}
	}
	queue := s.hosts.relayQueue
	for k := len(queue) - 1; k >= 0 && len(heartbeats) < maxHeartbeats; k-- {
		p := &s.hosts.peers[queue[k]]
		if p.relays >= maxRelays || s.now.Sub(p.heartbeatAt) > maxRelayAge {
			queue = slices.Delete(queue, k, k+1)
			continue
		}
		if !add(queue[k]) {
			break
		}
		p.relays++
	}
	s.hosts.relayQueue = queue
	return heartbeats
}
