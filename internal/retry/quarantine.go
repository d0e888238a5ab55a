package retry

import (
	"cmp"
	"math"
	"sort"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Defaults of QuarantineConfig.
const (
	DefaultCrashes = 2
	DefaultSpan    = 60 * clock.Second
	DefaultTable   = 1024
	// DefaultReserve is how long a server is kept free for a suspect that
	// waits to run alone. Longer than most requests in flight, and short
	// enough for a server to recover if the suspect never comes.
	DefaultReserve = 200 * clock.Millisecond
	// pause in reservations after one that was not used. A long request in
	// flight can outlast many of them; with this pause they take at most a
	// fifth of the server's time.
	pause = 4
	// transit is deducted from an imported entry's time. Without it each
	// transfer would add its delay, and two hosts could keep an entry alive by
	// sending it back and forth.
	transit = clock.Second
)

// QuarantineConfig has the rules of a Quarantine. Zero values mean the defaults.
type QuarantineConfig struct {
	Crashes int        // after which a request is quarantined; at least 2
	Span    clock.Span // of a quarantine, and of a suspicion without a new crash
	Table   int        // most requests remembered
	Reserve clock.Span
}

// Signature recognises a request that is sent again.
type Signature struct {
	Op   string    `json:"op"`
	Key  keys.Hash `json:"key"`
	Body uint64    `json:"body"` // digest of the body
}

// Admission says whether an attempt may begin.
type Admission struct {
	Run    bool
	Wait   bool // try again after the next End on this server
	Reason answer.Reason
	Ticket Ticket // for End, if Run
}

// Ticket identifies an attempt that runs.
type Ticket struct {
	server keys.Server
	sig    Signature
	run    uint64
}

// suspicion is what is known about a signature. crashes is 0 once the request
// was cleared; it is kept so that an import doesn't suspect it again.
type suspicion struct {
	crashes     int
	quarantined bool
	until       clock.Time
}

type load struct {
	running    []Ticket
	reserved   Signature
	reservedTo clock.Time
}

// Quarantine knows which requests are in flight at which server, which of them
// are suspected of crashing servers, and which are proven to.
//
// A crash makes all requests in flight at the server suspects. From then on a
// suspect runs alone at a server. If it completes anywhere it is cleared; if
// the server crashes under it again, no other request can be the cause, and it
// is quarantined. A second crash counts only if the suspect ran alone, so a
// request that merely shares servers with the cause is never quarantined.
type Quarantine struct {
	cfg     QuarantineConfig
	table   map[Signature]suspicion
	servers map[keys.Server]*load
	runs    uint64
}

// NewQuarantine returns an empty Quarantine.
func NewQuarantine(cfg QuarantineConfig) *Quarantine {
	// A first crash falls on all neighbours alike and can prove nothing.
	cfg.Crashes = max(cfg.Crashes, DefaultCrashes)
	if cfg.Span <= 0 {
		cfg.Span = DefaultSpan
	}
	if cfg.Table <= 0 {
		cfg.Table = DefaultTable
	}
	if cfg.Reserve <= 0 {
		cfg.Reserve = DefaultReserve
	}
	return &Quarantine{cfg: cfg, table: make(map[Signature]suspicion), servers: make(map[keys.Server]*load)}
}

// Start asks to send a request to a server.
func (q *Quarantine) Start(now clock.Time, server keys.Server, sig Signature) Admission {
	sus, known := q.lookup(now, sig)
	if known && sus.quarantined {
		return Admission{Reason: answer.Quarantined}
	}
	l := q.servers[server]
	if l == nil {
		l = new(load)
		q.servers[server] = l
	}
	suspect := known && sus.crashes > 0
	if !q.admit(now, l, sig, suspect) {
		return Admission{Wait: true}
	}
	q.runs++
	t := Ticket{server: server, sig: sig, run: q.runs}
	l.running = append(l.running, t)
	return Admission{Run: true, Ticket: t}
}

// admit lets a suspect run only alone, and reserves the server for it if it
// can't run yet; otherwise it would never run at a busy server.
func (q *Quarantine) admit(now clock.Time, l *load, sig Signature, suspect bool) bool {
	reserved := now.Before(l.reservedTo)
	if reserved && l.reserved != sig {
		return false
	}
	if !suspect {
		if reserved { // it was cleared elsewhere
			l.reservedTo = 0
		}
		return !q.alone(now, l)
	}
	if len(l.running) > 0 {
		if l.reservedTo == 0 || !now.Before(l.reservedTo.Add(pause*q.cfg.Reserve)) {
			l.reserved, l.reservedTo = sig, now.Add(q.cfg.Reserve)
		}
		return false
	}
	l.reservedTo = 0
	return true
}

// alone reports whether the server runs a suspect, which must have no
// neighbour. A request that became a suspect while it ran counts too.
func (q *Quarantine) alone(now clock.Time, l *load) bool {
	for _, t := range l.running {
		if s, ok := q.lookup(now, t.sig); ok && s.crashes > 0 {
			return true
		}
	}
	return false
}

// End says that an attempt has ended without a crash of its server. completed
// means that the server answered it in full.
func (q *Quarantine) End(now clock.Time, t Ticket, completed bool) {
	if l := q.servers[t.server]; l != nil {
		for i, r := range l.running {
			if r == t {
				l.running = append(l.running[:i], l.running[i+1:]...)
				break
			}
		}
		if len(l.running) == 0 && !now.Before(l.reservedTo) {
			delete(q.servers, t.server)
		}
	}
	if s, ok := q.lookup(now, t.sig); ok && completed && !s.quarantined {
		q.table[t.sig] = suspicion{until: now.Add(q.cfg.Span)}
	}
}

// Crashed says that a server crashed with its requests in flight. It returns
// the requests that are quarantined because of it. Tickets of the server's
// attempts are void.
func (q *Quarantine) Crashed(now clock.Time, server keys.Server) (proven []Signature) {
	l := q.servers[server]
	if l == nil {
		return nil
	}
	delete(q.servers, server)
	for _, t := range l.running {
		s, _ := q.lookup(now, t.sig)
		if s.quarantined {
			continue
		}
		if s.crashes == 0 || len(l.running) == 1 {
			s.crashes++
		}
		s.until = now.Add(q.cfg.Span)
		if s.crashes >= q.cfg.Crashes {
			s.quarantined = true
			proven = append(proven, t.sig)
		}
		q.put(now, t.sig, s)
	}
	return proven
}

// lookup returns the suspicion of sig. After its quarantine a request remains
// a suspect for one more span, so that it runs alone and a single further
// crash quarantines it again.
func (q *Quarantine) lookup(now clock.Time, sig Signature) (s suspicion, ok bool) {
	if s, ok = q.table[sig]; !ok || now.Before(s.until) {
		return s, ok
	}
	if s.quarantined && now.Before(s.until.Add(q.cfg.Span)) {
		s = suspicion{crashes: q.cfg.Crashes - 1, until: s.until.Add(q.cfg.Span)}
		q.table[sig] = s
		return s, true
	}
	delete(q.table, sig)
	return suspicion{}, false
}

// put stores a suspicion. A full table drops the least important entry:
// cleared before suspected before quarantined, and then the oldest.
func (q *Quarantine) put(now clock.Time, sig Signature, s suspicion) {
	if _, ok := q.table[sig]; !ok && len(q.table) >= q.cfg.Table {
		q.evict()
	}
	q.table[sig] = s
}

func (q *Quarantine) evict() {
	var drop Signature
	first := true
	for k, v := range q.table {
		c := compare(v, q.table[drop])
		if first || c < 0 || c == 0 && less(k, drop) {
			drop, first = k, false
		}
	}
	delete(q.table, drop)
}

func compare(a, b suspicion) int {
	return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.until, b.until))
}

// rank orders entries by their importance: cleared, suspected, quarantined.
func (s suspicion) rank() int {
	if s.quarantined {
		return math.MaxInt
	}
	return s.crashes
}

func less(a, b Signature) bool {
	if a.Op != b.Op {
		return a.Op < b.Op
	}
	if a.Key != b.Key {
		return a.Key < b.Key
	}
	return a.Body < b.Body
}

// Suspicion is an entry as it is shared between entry hosts. Left replaces a
// time, because the clocks of two hosts can't be compared.
type Suspicion struct {
	Signature
	Crashes     int        `json:"crashes"` // 0 means cleared
	Quarantined bool       `json:"quarantined"`
	Left        clock.Span `json:"leftMs"`
}

// Export returns all entries, in a fixed order.
func (q *Quarantine) Export(now clock.Time) (out []Suspicion) {
	for sig := range q.table {
		if s, ok := q.lookup(now, sig); ok {
			out = append(out, Suspicion{Signature: sig, Crashes: s.crashes, Quarantined: s.quarantined, Left: s.until.Sub(now)})
		}
	}
	sort.Slice(out, func(i, j int) bool { return less(out[i].Signature, out[j].Signature) })
	return out
}

// Import adds the entries of another host. A quarantine prevails over a
// clearance, and a clearance over a suspicion.
func (q *Quarantine) Import(now clock.Time, in []Suspicion) {
	for _, e := range in {
		if e.Left <= transit {
			continue
		}
		own, known := q.lookup(now, e.Signature)
		other := suspicion{
			crashes: min(max(e.Crashes, 0), q.cfg.Crashes), quarantined: e.Quarantined,
			until: now.Add(min(e.Left, q.cfg.Span) - transit),
		}
		if known && evidence(own) >= evidence(other) {
			continue
		}
		q.put(now, e.Signature, other)
	}
}

func evidence(s suspicion) int {
	switch {
	case s.quarantined:
		return 2
	case s.crashes == 0:
		return 1
	}
	return 0
}

// QuarantineDump is the state in a form for JSON.
type QuarantineDump struct {
	InFlight map[keys.Server]int `json:"inFlight"`
	Table    []Suspicion         `json:"table"`
}

// Dump returns the state for an operator.
func (q *Quarantine) Dump(now clock.Time) QuarantineDump {
	d := QuarantineDump{InFlight: make(map[keys.Server]int), Table: q.Export(now)}
	for server, l := range q.servers {
		d.InFlight[server] = len(l.running)
	}
	return d
}
