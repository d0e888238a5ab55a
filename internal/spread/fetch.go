package spread

import (
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// source is a host that told a higher revision.
type source struct {
	host     keys.Host
	revision uint64
	tries    int
}

// fetch is the revision that the host is fetching. Only one fetch is under way
// at a time, so that a burst of revisions is fetched once per round trip.
type fetch struct {
	from    keys.Host // empty when there is none
	sent    clock.Time
	sources []source
}

// startup is how far a starting host has come in asking for the newest
// revision.
type startup struct {
	storeRead   bool
	storeFailed bool
	asked       bool
	askedAt     clock.Time
	waiting     []keys.Host // asked, not answered
	answered    bool        // a peer answered with a revision
	hostsKnown  bool        // a peer answered with its heartbeats
	ready       bool
}

// offer notes that a host has a revision.
func (s *State) offer(from keys.Host, revision uint64) {
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

// startFetch fetches from the source that was tried least and has the highest
// revision.
func (s *State) startFetch() {
	f := &s.fetch
	f.from = ""
	f.sources = slices.DeleteFunc(f.sources, func(c source) bool {
		return c.revision <= s.revision || c.tries >= maxTries
	})
	best := -1
	for i, c := range f.sources {
		if best < 0 || c.tries < f.sources[best].tries ||
			c.tries == f.sources[best].tries && c.revision > f.sources[best].revision {
			best = i
		}
	}
	if best < 0 {
		return
	}
	f.sources[best].tries++
	f.from, f.sent = f.sources[best].host, s.now
	s.do(Fetch{From: f.from, Have: s.revision})
}

func (s *State) retryFetch() {
	if s.fetch.from != "" && s.now.Sub(s.fetch.sent) >= RetrySpan {
		s.startFetch()
	}
}

func (s *State) fetched(ev Fetched) {
	b := &s.boot
	b.waiting = slices.DeleteFunc(b.waiting, func(h keys.Host) bool { return h == ev.From })
	b.answered = b.answered || ev.Revision > 0
	if len(ev.Hosts) > 0 {
		b.hostsKnown = true
		for _, h := range ev.Hosts {
			s.learn(h, false)
		}
	}
	f := &s.fetch
	mine := f.from == ev.From
	if mine {
		f.from = ""
		// The host may have restarted since it told its revision.
		f.sources = slices.DeleteFunc(f.sources, func(c source) bool {
			return c.host == ev.From && c.revision > ev.Revision
		})
	}
	s.adopt(ev.Revision, ev.Body)
	if mine {
		s.startFetch()
	}
}

// adopt takes over a revision if it is higher, and tells others at once so
// that a change doesn't wait for the next round at each hop.
func (s *State) adopt(revision uint64, body []byte) {
	if revision <= s.revision {
		return
	}
	s.revision, s.body = revision, body
	s.do(Adopt{Revision: revision, Body: body})
	for _, to := range s.targets(nil) {
		s.tellExtra(to)
	}
}

// Ready reports whether the host has asked for the newest revision as far as
// it can: the store answered, or the store could not be read and every peer
// that was asked answered or did not do so within 1 s. After a read of the
// store the revision is not below that of an earlier run of the host, because
// a revision is stored before anyone adopts it. When the store is down it is
// not below that of any peer that answered.
func (s *State) Ready() bool { return s.boot.ready }

func (s *State) starting() {
	b := &s.boot
	if b.ready {
		return
	}
	waited := b.asked && s.now.Sub(b.askedAt) >= startSpan
	peers := b.answered && (len(b.waiting) == 0 || waited)
	if b.storeRead || peers && (b.storeFailed || waited) {
		b.ready = true
		b.waiting = nil
		return
	}
	if b.asked && !waited && (len(b.waiting) > 0 || s.now.Sub(b.askedAt) < RetrySpan) {
		return
	}
	b.asked, b.askedAt = true, s.now
	s.do(ReadStore{})
	for i, to := range s.peersToAsk() {
		if !slices.Contains(b.waiting, to) {
			b.waiting = append(b.waiting, to)
		}
		// One list of heartbeats is enough: at 3,900 hosts it has 125 KB.
		s.do(Fetch{From: to, Have: s.revision, Hosts: !b.hostsKnown && i == 0})
	}
}

// peersToAsk returns a few hosts of the group and elsewhere.
func (s *State) peersToAsk() []keys.Host {
	var to []keys.Host
	for range startPeers {
		for _, h := range s.targets(to) {
			if len(to) < startPeers {
				to = append(to, h)
			}
		}
	}
	return to
}
