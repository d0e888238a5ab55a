// Package assign decides which backend server owns which hash range of a cell
// and through which dispatcher each server is reached.
//
// # Usage
//
//	s := assign.New(assign.Config{Cell: cell, Interval: interval})
//	s.Step(now, assign.Elected{Term: term, Assignment: newest})
//	for _, a := range s.Step(now, ev) {
//		switch a := a.(type) {
//		case assign.Grant:   // to the dispatcher's boot
//		case assign.Store:   // conditional write; then Stored or StoreFailed
//		case assign.Publish: // to the group's hosts
//		}
//	}
//
// An event is delivered only if elect's Holding confirms the role at the same
// now. Ownership of a range is the triple (server, dispatcher, fence). It
// changes only after the dispatcher has released the range or its lease has
// certainly ended.
package assign

import (
	"cmp"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// lease is how long a grant may be used, counted from the answer.
	lease = grant.Lease + grant.Margin
	// electedGrace is how long after an election a dispatcher may be silent:
	// it renews every 100 ms, and this leaves time to find a successor before
	// the leases of the earlier term have ended.
	electedGrace = 2 * grant.Renewal
	// defaultSettle is 200 ms for packets of an ended dispatcher, and 400 ms
	// for the age of a server's newest answer in a report.
	defaultSettle = 600 * clock.Millisecond
	// storeWait bounds the wait for the result of a write.
	storeWait = clock.Second
	// rangesPerServer is the first division of a cell.
	rangesPerServer = 8
	// maxPerServer and maxRows bound the size of the stored assignment.
	maxPerServer = 64
	maxRows      = 1024
)

// Config of a State.
type Config struct {
	Cell     keys.Cell
	Interval keys.Range
	Policy   Policy
	// Settle is how long requests of an ended dispatcher may be on their way
	// to, or run at, a server that doesn't check fencing tokens. Default 600 ms.
	Settle clock.Span
}

// State is the assigner of one cell.
type State struct {
	cfg     Config
	term    uint32 // 0 without the role
	elected clock.Time
	fence   uint32 // sequence number of the newest fence
	answer  uint64 // sequence number of the newest answer

	rows    []*row // sorted; cover the interval once divided
	claims  []*claim
	servers []*server // by name
	hosts   []*host   // by name

	version uint64
	dirty   bool // the assignment differs from the published one
	stored  bool
	unsaved bool   // the store was not yet asked to write the newest version
	writing uint64 // version that is being written, or 0
	writeAt clock.Time
	retryAt clock.Time
	// republish asks for a table because the version was stored.
	republish bool

	balancer balancer
}

// row is a range and the server that owns or shall own it.
type row struct {
	r      keys.Range
	server keys.Server // owner, or the next one while g is being released
	g      *lessee     // outstanding grant
	// floor is the highest fence that was granted before.
	floor keys.Fence
	// records is the host that has the deduplication records after a release.
	records     keys.Host
	recordsBoot uint64
	// fragment says that the row was cut from a grant by a partial release.
	fragment bool
	origin   keys.Fence // fence of that grant
	// wait postpones a grant so that a released neighbour can be joined.
	wait clock.Time

	rate, hotRate float64
	measured      bool // rate was reported in this term
	hot           keys.Hash
	hotFor        int // decisions for which the row was hot
	coldFor       int // decisions for which the row was cold
}

// lessee is the holder of a grant. It is replaced, not changed, when the grant
// goes to another server or dispatcher.
type lessee struct {
	server    keys.Server
	host      keys.Host
	boot      uint64
	fence     keys.Fence
	last      grant.Ack // newest answer that could create the grant
	until     clock.Time
	releasing bool
	next      keys.Host
	complete  bool
}

// claim is a Claim with the state of its end.
type claim struct {
	Claim
	last grant.Ack
	// settled is the first answer after the dispatcher's end + cfg.Settle.
	settled grant.Ack
}

// server is a backend server.
type server struct {
	name    keys.Server
	addr    string
	slots   int
	weight  float64
	checks  bool
	listing Listing

	host  keys.Host // dispatcher
	boot  uint64
	since clock.Time // when the dispatcher was chosen
	state grant.State
	// readyAt is when the server first was ready, for the ramp.
	readyAt clock.Time
	ready   bool
}

// host is an entry host of the group.
type host struct {
	name    keys.Host
	gone    bool
	leaving bool
	boot    uint64
	bootAt  clock.Time        // when the present boot was first heard
	goneAt  clock.Time        // when the host list dropped the host
	nonces  map[uint64]uint64 // newest nonce of each boot in this term
	heard   clock.Time
	nonce   uint64
	ack     grant.Ack
	changed bool // its answer differs from the last one
}

// New returns an assigner without a term.
func New(cfg Config) *State {
	if cfg.Settle == 0 {
		cfg.Settle = defaultSettle
	}
	return &State{cfg: cfg}
}

// Step applies an event.
func (s *State) Step(now clock.Time, ev Event) (acts []Action) {
	var from *host
	switch ev := ev.(type) {
	case Elected:
		s.electedAs(now, ev)
	case Lost:
		s.term = 0
	case ServerSeen:
		s.serverSeen(ev)
	case HostSeen:
		s.hostSeen(now, ev)
	case Renew:
		from = s.renew(now, ev)
	case Stored:
		s.wrote(now, ev.Version, true)
	case StoreFailed:
		s.wrote(now, ev.Version, false)
	case Intent:
		s.cfg.Policy = ev.Policy
	case Tick:
	}
	if s.term == 0 {
		return nil
	}
	s.lapse(now)
	s.endClaims(now)
	s.dispatch(now)
	s.divide(now)
	s.retarget(now)
	s.balance(now)
	s.release(now)
	s.grantFree(now)
	for _, h := range s.hosts {
		// Without waiting for the next renewal: its lease is what is left
		// of the last one.
		if h == from || h.changed && s.live(now, h) {
			acts = append(acts, s.answerTo(now, h))
		}
	}
	return s.publish(now, acts)
}

// electedAs starts a term from the newest known assignment. What it names is
// taken as granted until the leases of the earlier term have ended.
func (s *State) electedAs(now clock.Time, ev Elected) {
	s.term, s.elected, s.fence, s.answer = ev.Term, now, 0, 0
	s.rows, s.claims = nil, nil
	s.writing, s.stored, s.republish = 0, false, false
	s.version, s.dirty = ev.Assignment.Version, true
	s.balancer = balancer{next: now.Add(lease)}
	for _, h := range s.hosts {
		h.heard, h.nonce, h.ack = now, 0, grant.Ack{}
		clear(h.nonces)
	}
	for _, sv := range s.servers {
		sv.host, sv.boot, sv.state, sv.since = "", 0, grant.Unknown, now
	}
	for _, o := range ev.Assignment.Owners {
		sv, known := s.server(o.Name)
		if !known {
			// The host list may lag; the server counts as ready until it
			// is listed as gone.
			sv.addr, sv.checks, sv.listing = o.Address, o.Checks, Ready
		}
		if o.Dispatcher != "" {
			h := s.host(o.Dispatcher)
			if h.boot == 0 {
				h.boot, h.heard = o.Boot, now
			}
			sv.host, sv.boot = o.Dispatcher, o.Boot
		}
	}
	for _, r := range ev.Assignment.Rows {
		if !r.Range.Overlaps(s.cfg.Interval) || r.Server < 0 || r.Server >= len(ev.Assignment.Owners) {
			continue
		}
		w := &row{r: r.Range, server: ev.Assignment.Owners[r.Server].Name, floor: r.Fence}
		if sv, _ := s.server(w.server); r.Fence != 0 && !sv.ready {
			// It served in the earlier term. Starting its ramp again would
			// move load between servers at each election.
			sv.ready, sv.readyAt = true, now.Add(-rampTime)
		}
		if r.Fence != 0 {
			w.g = &lessee{server: w.server, host: r.Dispatcher, boot: r.Boot, fence: r.Fence,
				last: grant.Ack{Term: s.term}, until: now.Add(lease)}
			if r.Holder != "" {
				w.g.server = r.Holder
			}
		}
		s.rows = append(s.rows, w)
	}
	s.fill()
	for _, c := range ev.Assignment.Claims {
		s.claims = append(s.claims, &claim{Claim: c, last: grant.Ack{Term: s.term}})
	}
}

func (s *State) server(name keys.Server) (sv *server, known bool) {
	i, ok := slices.BinarySearchFunc(s.servers, name, func(sv *server, n keys.Server) int { return cmp.Compare(sv.name, n) })
	if !ok {
		sv = &server{name: name, weight: 1, listing: Gone}
		s.servers = slices.Insert(s.servers, i, sv)
	}
	return s.servers[i], ok
}

func (s *State) host(name keys.Host) *host {
	i, ok := slices.BinarySearchFunc(s.hosts, name, func(h *host, n keys.Host) int { return cmp.Compare(h.name, n) })
	if !ok {
		s.hosts = slices.Insert(s.hosts, i, &host{name: name, nonces: make(map[uint64]uint64)})
	}
	return s.hosts[i]
}

// overlapping returns the rows that have a hash of r.
func (s *State) overlapping(r keys.Range) []*row {
	lo, _ := slices.BinarySearchFunc(s.rows, r.Lo(), func(w *row, h keys.Hash) int { return cmp.Compare(w.r.Hi(), h) })
	hi := lo
	for hi < len(s.rows) && s.rows[hi].r.Lo() <= r.Hi() {
		hi++
	}
	return s.rows[lo:hi:hi]
}

// cut splits the rows at the ends of r. Both parts of a split grant keep its
// fence: owner and dispatcher stay the same.
func (s *State) cut(r keys.Range) {
	if r.Lo() > s.cfg.Interval.Lo() {
		s.cutBefore(r.Lo())
	}
	if r.Hi() < s.cfg.Interval.Hi() {
		s.cutBefore(r.Hi() + 1)
	}
}

func (s *State) cutBefore(at keys.Hash) {
	i, _ := slices.BinarySearchFunc(s.rows, at, func(w *row, h keys.Hash) int { return cmp.Compare(w.r.Hi(), h) })
	if i == len(s.rows) || s.rows[i].r.Lo() >= at || !s.rows[i].r.Contains(at) {
		return
	}
	left := s.rows[i]
	right := *left
	whole := left.r
	left.r, right.r = whole.Split(at)
	if left.g != nil {
		g := *left.g
		right.g = &g
		s.host(g.host).changed = true
	}
	right.share(left, whole)
	left.hotFor, right.hotFor = 0, 0
	s.rows = slices.Insert(s.rows, i+1, &right)
	s.dirty = true
}

// share divides the load of a split row until it is reported again.
func (w *row) share(left *row, whole keys.Range) {
	base := left.rate - left.hotRate
	for _, p := range []*row{left, w} {
		p.rate = base * p.r.Width() / whole.Width()
	}
	if w.r.Contains(w.hot) {
		w.rate, left.hot, left.hotRate = w.rate+w.hotRate, 0, 0
	} else {
		left.rate, w.hot, w.hotRate = left.rate+left.hotRate, 0, 0
	}
}

// Dump is the state in a form for operators.
type Dump struct {
	Term       uint32     `json:"term"`
	Stored     bool       `json:"stored"`
	Policy     string     `json:"policy"`
	Hosts      []HostDump `json:"hosts"`
	Assignment Assignment `json:"assignment"`
}

// HostDump is the part of a Dump that concerns one entry host.
type HostDump struct {
	Host    keys.Host  `json:"host"`
	Boot    uint64     `json:"boot"`
	Heard   clock.Time `json:"heard"`
	Leaving bool       `json:"leaving,omitempty"`
	Gone    bool       `json:"gone,omitempty"`
}

// Dump returns a copy of the state.
func (s *State) Dump() Dump {
	d := Dump{Term: s.term, Stored: s.stored, Policy: s.cfg.Policy.String(), Assignment: s.assignment()}
	for _, h := range s.hosts {
		d.Hosts = append(d.Hosts, HostDump{h.name, h.boot, h.heard, h.leaving, h.gone})
	}
	return d
}
