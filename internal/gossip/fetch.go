package gossip

import (
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// source is a host that reported a higher revision.
type source struct {
	host     keys.Host
	revision uint64
	attempts int
}

// fetch is the state of fetching a revision. Only one fetch is pending at a time,
// so that a burst of revisions takes one fetch per round trip.
type fetch struct {
	from    keys.Host // empty if no fetch is pending
	sentAt  clock.Time
	sources []source
}

// startup is the progress of a starting host in obtaining the newest revision.
type startup struct {
	storeRead          bool
	storeFailed        bool
	requested          bool
	requestedAt        clock.Time
	pending            []keys.Host // fetches without a response
	revisionReceived   bool        // from a peer
	heartbeatsReceived bool        // from a peer
	ready              bool
}

// addSource records that a host has a revision, and starts a fetch if none is
// pending.
func (s *State) addSource(from keys.Host, revision uint64) {
	f := &s.fetch
	i := slices.IndexFunc(f.sources, func(c source) bool { return c.host == from })
	if revision <= s.revision {
		return
	}
	switch {
	case i >= 0:
		if f.sources[i].revision < revision {
			f.sources[i] = source{host: from, revision: revision}
		}
	case len(f.sources) < maxSources:
		f.sources = append(f.sources, source{host: from, revision: revision})
	default:
		low := 0
		for j := range f.sources {
			if f.sources[j].revision < f.sources[low].revision {
				low = j
			}
		}
		if f.sources[low].revision < revision {
			f.sources[low] = source{host: from, revision: revision}
		}
	}
	if f.from == "" {
		s.startFetch()
	}
}

// startFetch fetches from the source with the fewest attempts and, among these,
// the highest revision.
func (s *State) startFetch() {
	f := &s.fetch
	f.from = ""
	f.sources = slices.DeleteFunc(f.sources, func(c source) bool {
		return c.revision <= s.revision || c.attempts >= maxAttempts
	})
	best := -1
	for i, c := range f.sources {
		if best < 0 || c.attempts < f.sources[best].attempts ||
			c.attempts == f.sources[best].attempts && c.revision > f.sources[best].revision {
			best = i
		}
	}
	if best < 0 {
		return
	}
	f.sources[best].attempts++
	f.from, f.sentAt = f.sources[best].host, s.now
	s.emit(Fetch{From: f.from, Have: s.revision})
}

func (s *State) retryFetch() {
	if s.fetch.from != "" && s.now.Sub(s.fetch.sentAt) >= FetchTimeout {
		s.startFetch()
	}
}

func (s *State) handleFetched(ev FetchResponse) {
	st := &s.startup
	st.pending = slices.DeleteFunc(st.pending, func(h keys.Host) bool { return h == ev.From })
	st.revisionReceived = st.revisionReceived || ev.Revision > 0
	if len(ev.Heartbeats) > 0 {
		st.heartbeatsReceived = true
		for _, h := range ev.Heartbeats {
			s.updateHeartbeat(h, false)
		}
	}
	f := &s.fetch
	current := f.from == ev.From
	if current {
		f.from = ""
		// The host may have restarted since it reported its revision.
		f.sources = slices.DeleteFunc(f.sources, func(c source) bool {
			return c.host == ev.From && c.revision > ev.Revision
		})
	}
	s.setRevision(ev.Revision, ev.Body)
	if current {
		s.startFetch()
	}
}

// setRevision puts a revision into force if it is higher, and sends digests at
// once, so that a change doesn't wait for the next round at each hop.
func (s *State) setRevision(revision uint64, body []byte) {
	if revision <= s.revision {
		return
	}
	s.revision, s.body = revision, body
	s.emit(ApplyRevision{Revision: revision, Body: body})
	for _, to := range s.chooseTargets(nil) {
		s.sendExtraDigest(to)
	}
}

// Ready reports whether the host has the newest revision that it could obtain.
// Either the store was read, or it could not be read (it failed or did not
// respond within 1 s), a peer sent a revision, and each of the other requested
// peers responded or did not do so within 1 s. After a read of the store the
// revision is not below that of an earlier incarnation of the host, because a
// revision is stored before any host puts it into force. If the store is down
// it is not below that of any peer that responded.
func (s *State) Ready() bool { return s.startup.ready }

func (s *State) stepStartup() {
	st := &s.startup
	if st.ready {
		return
	}
	timedOut := st.requested && s.now.Sub(st.requestedAt) >= startTimeout
	peersDone := st.revisionReceived && (len(st.pending) == 0 || timedOut)
	if st.storeRead || peersDone && (st.storeFailed || timedOut) {
		st.ready = true
		st.pending = nil
		return
	}
	if st.requested && !timedOut && (len(st.pending) > 0 || s.now.Sub(st.requestedAt) < FetchTimeout) {
		return
	}
	st.requested, st.requestedAt = true, s.now
	s.emit(ReadStore{})
	for i, to := range s.startTargets() {
		if !slices.Contains(st.pending, to) {
			st.pending = append(st.pending, to)
		}
		// One list of heartbeats is enough: with 3,900 hosts it has 125 KB.
		s.emit(Fetch{From: to, Have: s.revision, WithHeartbeats: !st.heartbeatsReceived && i == 0})
	}
}

// startTargets returns a few hosts inside and outside the group.
func (s *State) startTargets() []keys.Host {
	var to []keys.Host
	for range startFanout {
		for _, h := range s.chooseTargets(to) {
			if len(to) < startFanout {
				to = append(to, h)
			}
		}
	}
	return to
}
