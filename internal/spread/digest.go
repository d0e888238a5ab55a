package spread

import (
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Sizes in bytes as protobuf encodes them: a tag of 1 byte for each field, 1
// byte for each length.
const (
	// frameBytes is what HTTP/2 and gRPC add to a message (internal/peers).
	frameBytes = 60
	// batchBytes is the batch around a message without the sender's name: tag
	// and length of the name 2, boot id 11, tags and lengths of the message and
	// of its body 5 (lengths above 127 bytes take 2).
	batchBytes = 18
	// digestBytes is the revision 5 (up to 268 million), the own heartbeat 5
	// (up to 268 million, 621 days) and the leaving flag 2.
	digestBytes = 12
	// beatBytes is a heartbeat without the name: tag and length 2, tag and
	// length of the name 2, boot id 11, heartbeat 5.
	beatBytes = 20
	// askBytes is the revision 5 and the flag for heartbeats 2.
	askBytes = 7
	// bodyBytes is the revision 5, tag and length of the document 4.
	bodyBytes = 9
)

const (
	digestsPerRound = groupTargets + 1
	// MaxRate is the limit for the digests of rounds in bytes/s, whatever the
	// fleet's size; what was saved in the 0.4 s before may be added once.
	// Heartbeats of others use what the digests leave. The limit
	// holds for names of up to 43 characters, because 3 digests without
	// heartbeats of others are always sent. Digests outside a round, at most 3
	// per round, are deducted from later heartbeats; during a burst of changes
	// they add up to 15 x (90 + length of the name) bytes/s.
	MaxRate      = 2000
	roundBytes   = MaxRate * int(RoundSpan) / int(clock.Second)
	maxAllowance = 2 * roundBytes
	maxBeats     = 4 // heartbeats of others in a digest
	// maxTold is how many digests have the same heartbeat of another host.
	maxTold = 3
	// tellSpan is how long after it was heard a heartbeat is told on.
	tellSpan = 30 * clock.Second
)

// Size returns the bytes of a digest on the wire, with the batch around it.
func (d Digest) Size(from keys.Host) int {
	n := frameBytes + batchBytes + len(from) + digestBytes
	for _, b := range d.Hosts {
		n += b.Size()
	}
	return n
}

// Size returns the bytes of a heartbeat on the wire.
func (b Beat) Size() int {
	n := beatBytes + len(b.Host)
	if b.Leaving {
		n += 2
	}
	return n
}

// Size returns the bytes of the request on the wire.
func (f Fetch) Size(from keys.Host) int { return frameBytes + batchBytes + len(from) + askBytes }

// Size returns the bytes of the answer on the wire.
func (f Fetched) Size() int {
	n := frameBytes + batchBytes + len(f.From) + bodyBytes + len(f.Body)
	for _, b := range f.Hosts {
		n += b.Size()
	}
	return n
}

func (s *State) digest() Digest {
	return Digest{Revision: s.revision, Beat: s.beat, Leaving: s.leaving}
}

func (s *State) sendRound() {
	s.nextRound = s.nextRound.Add(RoundSpan)
	if !s.nextRound.After(s.now) {
		s.nextRound = s.now.Add(RoundSpan) // after a pause there is no burst
	}
	s.beat++
	s.round++
	s.extra = digestsPerRound
	to := s.targets(nil)
	d := s.digest()
	s.allowance = min(s.allowance+roundBytes, maxAllowance) - len(to)*d.Size(s.cfg.Host)
	for i, name := range to {
		d.Hosts = s.pickBeats(name, s.allowance/(len(to)-i))
		for _, b := range d.Hosts {
			s.allowance -= b.Size()
		}
		s.do(Tell{To: name, Digest: d})
	}
}

// tellExtra sends a digest outside a round if the limit allows it.
func (s *State) tellExtra(to keys.Host) {
	if s.extra == 0 {
		return
	}
	s.extra--
	d := s.digest()
	s.allowance = max(s.allowance-d.Size(s.cfg.Host), -maxAllowance)
	s.do(Tell{To: to, Digest: d})
}

// targets chooses up to 2 hosts of the group and 1 elsewhere that are not in
// the list given. Silent hosts are chosen too: after a partition nobody would
// speak first otherwise.
func (s *State) targets(not []keys.Host) []keys.Host {
	h := &s.hosts
	to := make([]keys.Host, 0, digestsPerRound)
	n := len(h.group)
	for i := 0; i < n && len(to) < groupTargets; i++ {
		j := i + s.rng.IntN(n-i)
		h.group[i], h.group[j] = h.group[j], h.group[i]
		if name := h.all[h.group[i]].name; !slices.Contains(not, name) {
			to = append(to, name)
		}
	}
	if i := s.elsewhere(); i >= 0 && !slices.Contains(not, h.all[i].name) {
		to = append(to, h.all[i].name)
	}
	return to
}

// elsewhere chooses a host outside the group: with equal chances one of the
// own data centre or one of another, if there are both. The data centres have
// equal chances too, so that a small one is reached as often as a large one.
func (s *State) elsewhere() int32 {
	h := &s.hosts
	far := 0
	for _, c := range h.centres {
		if len(c.hosts) > 0 {
			far++
		}
	}
	if far == 0 && len(h.own) == 0 {
		return -1
	}
	if far == 0 || len(h.own) > 0 && s.rng.IntN(2) == 0 {
		return h.own[s.rng.IntN(len(h.own))]
	}
	skip := s.rng.IntN(far)
	for _, c := range h.centres {
		if len(c.hosts) == 0 {
			continue
		}
		if skip == 0 {
			return c.hosts[s.rng.IntN(len(c.hosts))]
		}
		skip--
	}
	return -1
}

// pickBeats chooses heartbeats of others for a digest within a number of bytes.
// In every other round a digest inside the data centre has that of a watcher
// first, so that the loss of a watcher is noticed in the whole data centre
// within watchSpan.
func (s *State) pickBeats(to keys.Host, limit int) []Beat {
	var beats []Beat
	add := func(i int32) bool {
		e := &s.hosts.all[i]
		b := e.toBeat()
		if limit < b.Size() {
			return false
		}
		if e.name != to && !slices.ContainsFunc(beats, func(o Beat) bool { return o.Host == b.Host }) {
			limit -= b.Size()
			beats = append(beats, b)
		}
		return true
	}
	if t := &s.hosts.all[s.hosts.index[to]]; s.round%2 == 0 && t.centre >= 0 &&
		s.hosts.centres[t.centre].name == s.cfg.DataCentre {
		if w := s.firstWatchers(); len(w) > 0 {
			add(w[s.rng.IntN(len(w))])
		}
	}
	fresh := s.hosts.fresh
	for k := len(fresh) - 1; k >= 0 && len(beats) < maxBeats; k-- {
		e := &s.hosts.all[fresh[k]]
		if e.told >= maxTold || s.now.Sub(e.heard) > tellSpan {
			fresh = slices.Delete(fresh, k, k+1)
			continue
		}
		if !add(fresh[k]) {
			break
		}
		e.told++
	}
	s.hosts.fresh = fresh
	return beats
}
