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
	DefaultMinCrashes = 2
	DefaultDuration   = 60 * clock.Second
	DefaultTableSize  = 1024
	// DefaultReservation is how long a server is kept free for a suspect that
	// waits to run alone. It is longer than most requests in flight, and short
	// enough for a server to recover if the suspect isn't sent again.
	DefaultReservation = 200 * clock.Millisecond
	// reservationPause is the pause after an unused reservation, as a multiple
	// of its length. A long request in flight can outlast many reservations;
	// with the pause they take at most a fifth of the server's time.
	reservationPause = 4
	// importAllowance is subtracted from the remaining time of an imported
	// record for the delay of its transfer. Without it each transfer would
	// extend the record, and two hosts could keep it alive by exchanging it.
	importAllowance = clock.Second
)

// QuarantineConfig configures a Quarantine. Zero values mean the defaults.
type QuarantineConfig struct {
	MinCrashes  int        // crashes after which a request is quarantined; at least 2
	Duration    clock.Span // of a quarantine, and of a suspect's record after its last crash
	TableSize   int        // most records kept
	Reservation clock.Span // for a suspect that waits to run alone
}

// Signature identifies a request across attempts and retries by the caller.
type Signature struct {
	Op   string    `json:"op"`
	Key  keys.Hash `json:"key"`
	Body uint64    `json:"body"` // digest of the body
}

// Admission is the decision whether an attempt may start.
type Admission struct {
	Run    bool
	Wait   bool // start again after the next End at this server
	Reason answer.Reason
	Ticket Ticket // for End, if Run
}

// Ticket identifies an attempt in flight.
type Ticket struct {
	server keys.Server
	sig    Signature
	id     uint64
}

// record has the crashes attributed to a signature. crashes is 0 after the
// request was cleared; the record is kept so that an import doesn't make the
// request a suspect again.
type record struct {
	crashes     int
	quarantined bool
	expires     clock.Time
}

// serverState has the attempts in flight at a server, and the reservation for a
// suspect.
type serverState struct {
	inFlight      []Ticket
	reservedFor   Signature
	reservedUntil clock.Time
}

// Quarantine tracks which requests are in flight at which server, which of them
// are suspects, because a server crashed while it processed them, and which are
// proven to crash servers.
//
// A crash makes all requests in flight at the server suspects. From then on a
// suspect runs alone at a server. If it completes at any server it is cleared;
// if a server crashes again while it processes the suspect, no other request can
// be the cause, and the suspect is quarantined. A second crash counts only if
// the suspect ran alone, so a request that merely shares servers with the cause
// is never quarantined.
type Quarantine struct {
	cfg     QuarantineConfig
	records map[Signature]record
	servers map[keys.Server]*serverState
	lastID  uint64
}

// NewQuarantine returns an empty Quarantine.
func NewQuarantine(cfg QuarantineConfig) *Quarantine {
	// The first crash is attributed to all requests in flight at the server, so
	// it proves nothing.
	cfg.MinCrashes = max(cfg.MinCrashes, DefaultMinCrashes)
	if cfg.Duration <= 0 {
		cfg.Duration = DefaultDuration
	}
	if cfg.TableSize <= 0 {
		cfg.TableSize = DefaultTableSize
	}
	if cfg.Reservation <= 0 {
		cfg.Reservation = DefaultReservation
	}
	return &Quarantine{cfg: cfg, records: make(map[Signature]record), servers: make(map[keys.Server]*serverState)}
}

// Start decides whether an attempt of a request may start at a server. If it
// may, the attempt counts as in flight until End or ServerCrashed.
func (q *Quarantine) Start(now clock.Time, server keys.Server, sig Signature) Admission {
	rec, known := q.lookup(now, sig)
	if known && rec.quarantined {
		return Admission{Reason: answer.Quarantined}
	}
	sv := q.servers[server]
	if sv == nil {
		sv = new(serverState)
		q.servers[server] = sv
	}
	suspect := known && rec.crashes > 0
	if !q.admit(now, sv, sig, suspect) {
		return Admission{Wait: true}
	}
	q.lastID++
	t := Ticket{server: server, sig: sig, id: q.lastID}
	sv.inFlight = append(sv.inFlight, t)
	return Admission{Run: true, Ticket: t}
}

// admit admits a suspect only to a server without other requests. If there are
// some it reserves the server, because a busy server would otherwise never
// become free for the suspect.
func (q *Quarantine) admit(now clock.Time, sv *serverState, sig Signature, suspect bool) bool {
	reserved := now.Before(sv.reservedUntil)
	if reserved && sv.reservedFor != sig {
		return false
	}
	if !suspect {
		if reserved { // the suspect was cleared at another server
			sv.reservedUntil = 0
		}
		return !q.runsSuspect(now, sv)
	}
	if len(sv.inFlight) > 0 {
		if sv.reservedUntil == 0 || !now.Before(sv.reservedUntil.Add(reservationPause*q.cfg.Reservation)) {
			sv.reservedFor, sv.reservedUntil = sig, now.Add(q.cfg.Reservation)
		}
		return false
	}
	sv.reservedUntil = 0
	return true
}

// runsSuspect reports whether a suspect is in flight at the server; no other
// request may run beside it. A request that became a suspect in flight counts
// too.
func (q *Quarantine) runsSuspect(now clock.Time, sv *serverState) bool {
	for _, t := range sv.inFlight {
		if s, ok := q.lookup(now, t.sig); ok && s.crashes > 0 {
			return true
		}
	}
	return false
}

// End records that an attempt has ended without a crash of its server. completed
// means that the server sent a complete response.
func (q *Quarantine) End(now clock.Time, t Ticket, completed bool) {
	if sv := q.servers[t.server]; sv != nil {
		for i, r := range sv.inFlight {
			if r == t {
				sv.inFlight = append(sv.inFlight[:i], sv.inFlight[i+1:]...)
				break
			}
		}
		if len(sv.inFlight) == 0 && !now.Before(sv.reservedUntil) {
			delete(q.servers, t.server)
		}
	}
	if s, ok := q.lookup(now, t.sig); ok && completed && !s.quarantined {
		q.records[t.sig] = record{expires: now.Add(q.cfg.Duration)}
	}
}

// ServerCrashed records that a server crashed with its requests in flight. It
// returns the requests that are quarantined because of the crash, and
// invalidates the tickets of all attempts at the server.
func (q *Quarantine) ServerCrashed(now clock.Time, server keys.Server) (proven []Signature) {
	sv := q.servers[server]
	if sv == nil {
		return nil
	}
	delete(q.servers, server)
	for _, t := range sv.inFlight {
		s, _ := q.lookup(now, t.sig)
		if s.quarantined {
			continue
		}
		if s.crashes == 0 || len(sv.inFlight) == 1 {
			s.crashes++
		}
		s.expires = now.Add(q.cfg.Duration)
		if s.crashes >= q.cfg.MinCrashes {
			s.quarantined = true
			proven = append(proven, t.sig)
		}
		q.put(now, t.sig, s)
	}
	return proven
}

// lookup returns the record of sig. After its quarantine a request remains a
// suspect for one more QuarantineConfig.Duration, so that it runs alone and a
// single further crash quarantines it again.
func (q *Quarantine) lookup(now clock.Time, sig Signature) (s record, ok bool) {
	if s, ok = q.records[sig]; !ok || now.Before(s.expires) {
		return s, ok
	}
	if s.quarantined && now.Before(s.expires.Add(q.cfg.Duration)) {
		s = record{crashes: q.cfg.MinCrashes - 1, expires: s.expires.Add(q.cfg.Duration)}
		q.records[sig] = s
		return s, true
	}
	delete(q.records, sig)
	return record{}, false
}

// put stores a record. A full table evicts the least important record: cleared
// before suspected before quarantined, and among equals the one that expires
// first.
func (q *Quarantine) put(now clock.Time, sig Signature, s record) {
	if _, ok := q.records[sig]; !ok && len(q.records) >= q.cfg.TableSize {
		q.evict()
	}
	q.records[sig] = s
}

func (q *Quarantine) evict() {
	var victim Signature
	first := true
	for k, v := range q.records {
		c := compareRecords(v, q.records[victim])
		if first || c < 0 || c == 0 && lessSignature(k, victim) {
			victim, first = k, false
		}
	}
	delete(q.records, victim)
}

func compareRecords(a, b record) int {
	return cmp.Or(cmp.Compare(a.rank(), b.rank()), cmp.Compare(a.expires, b.expires))
}

// rank orders records for eviction: cleared, then suspects by the number of
// crashes, then quarantined.
func (s record) rank() int {
	if s.quarantined {
		return math.MaxInt
	}
	return s.crashes
}

func lessSignature(a, b Signature) bool {
	if a.Op != b.Op {
		return a.Op < b.Op
	}
	if a.Key != b.Key {
		return a.Key < b.Key
	}
	return a.Body < b.Body
}

// SuspectRecord is a record in the form exchanged between hosts. Remaining
// replaces the time of expiry, because the clocks of two hosts can't be
// compared.
type SuspectRecord struct {
	Signature
	Crashes     int        `json:"crashes"` // 0 means cleared
	Quarantined bool       `json:"quarantined"`
	Remaining   clock.Span `json:"leftMs"`
}

// Export returns all records, ordered by signature.
func (q *Quarantine) Export(now clock.Time) (out []SuspectRecord) {
	for sig := range q.records {
		if s, ok := q.lookup(now, sig); ok {
			out = append(out, SuspectRecord{Signature: sig, Crashes: s.crashes, Quarantined: s.quarantined, Remaining: s.expires.Sub(now)})
		}
	}
	sort.Slice(out, func(i, j int) bool { return lessSignature(out[i].Signature, out[j].Signature) })
	return out
}

// Import merges the records of another host. A quarantined record takes
// precedence over a cleared one, and a cleared one over a suspect's.
func (q *Quarantine) Import(now clock.Time, in []SuspectRecord) {
	for _, e := range in {
		if e.Remaining <= importAllowance {
			continue
		}
		own, known := q.lookup(now, e.Signature)
		other := record{
			crashes: min(max(e.Crashes, 0), q.cfg.MinCrashes), quarantined: e.Quarantined,
			expires: now.Add(min(e.Remaining, q.cfg.Duration) - importAllowance),
		}
		if known && precedence(own) >= precedence(other) {
			continue
		}
		q.put(now, e.Signature, other)
	}
}

// precedence ranks records for Import.
func precedence(s record) int {
	switch {
	case s.quarantined:
		return 2
	case s.crashes == 0:
		return 1
	}
	return 0
}

// QuarantineDump is the state of a Quarantine for an operator.
type QuarantineDump struct {
	InFlight map[keys.Server]int `json:"inFlight"`
	Table    []SuspectRecord     `json:"table"`
}

// Dump returns the requests in flight and all records.
func (q *Quarantine) Dump(now clock.Time) QuarantineDump {
	d := QuarantineDump{InFlight: make(map[keys.Server]int), Table: q.Export(now)}
	for server, sv := range q.servers {
		d.InFlight[server] = len(sv.inFlight)
	}
	return d
}
