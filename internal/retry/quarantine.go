package retry

import (
	"cmp"
	"math"
	"slices"
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
	// DefaultWindow is longer than it takes several hosts to notice the losses of a
	// partition or a power loss.
	DefaultWindow = clock.Second
)

// QuarantineConfig configures a Quarantine. Zero values mean the defaults.
type QuarantineConfig struct {
	MinCrashes  int        // crashes after which a request is quarantined; at least 2
	Duration    clock.Span // of a quarantine, and of a suspect's record after its last crash
	TableSize   int        // most records kept
	Reservation clock.Span // for a suspect that waits to run alone
	// CheckLosses compares the servers that a request crashed with all servers that
	// were lost. A request is quarantined only if it explains enough of them.
	CheckLosses bool
	Window      clock.Span // before and after a request's losses, with CheckLosses
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
	server  keys.Server
	process process
	sig     Signature
	id      uint64
	started clock.Time
}

// process is a process of a server. id is 0 if Quarantine.SetProcess wasn't called for
// the server.
type process struct {
	id      Process
	service keys.Service
	born    int64
}

// record has the losses of servers while they ran a request. A record without any is
// kept after the request was cleared, so that an import doesn't make the request a
// suspect again.
type record struct {
	losses       []runLoss // oldest first
	priorCrashes int       // crashes before an earlier quarantine
	// reported says that another host has reported it without losses: one of an earlier
	// version, or one that no longer has them.
	reported    bool
	cleared     clock.Time // the request last completed, if hasCleared is set
	hasCleared  bool
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
// if servers go on to crash while they process the suspect, no other request of the
// host can be the cause, and the suspect is quarantined. From the second crash on a
// crash counts only if the suspect was sent to the server after the crash before and
// ran alone. So a request that merely shares servers with the cause, or was at many
// servers that were lost together, isn't quarantined.
//
// A loss is a crash if the server refuses connections, until the same process
// responds, or if a later process takes its place. Hosts exchange the losses by
// process, so that their sum counts and a loss that several hosts notice counts once.
type Quarantine struct {
	cfg       QuarantineConfig
	records   map[Signature]record
	servers   map[keys.Server]*serverState
	processes map[keys.Server]process
	responded map[keys.Server]Process // the process that last completed a request
	losses    lossTable
	lastID    uint64
	changes   uint64     // see Changes
	recheckAt clock.Time // Tick looks at the losses again; 0: never
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
	if cfg.Window <= 0 {
		cfg.Window = DefaultWindow
	}
	return &Quarantine{
		cfg: cfg, records: make(map[Signature]record), servers: make(map[keys.Server]*serverState),
		processes: make(map[keys.Server]process), responded: make(map[keys.Server]Process), losses: make(lossTable),
	}
}

// SetProcess records which process a server has. It returns the requests that are
// quarantined because the new process proves the crash of an earlier one.
func (q *Quarantine) SetProcess(now clock.Time, server keys.Server, service keys.Service, born int64) (proven []Signature) {
	q.processes[server] = process{id: hashProcess(server, born), service: service, born: born}
	if q.losses.setEnded(now, server, born) {
		return q.quarantineProven(now)
	}
	return nil
}

// RemoveProcess records that a server is no longer listed.
func (q *Quarantine) RemoveProcess(server keys.Server) {
	delete(q.processes, server)
	delete(q.responded, server)
	if sv := q.servers[server]; sv != nil {
		sv.reservedUntil = 0 // the end of its last attempt removes it
		if len(sv.inFlight) == 0 {
			delete(q.servers, server)
		}
	}
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
	suspect := known && q.isSuspect(rec)
	if !q.admit(now, sv, sig, suspect) {
		return Admission{Wait: true}
	}
	q.lastID++
	t := Ticket{server: server, process: q.processes[server], sig: sig, id: q.lastID, started: now}
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
		if s, ok := q.lookup(now, t.sig); ok && q.isSuspect(s) {
			return true
		}
	}
	return false
}

// End records that an attempt has ended without a crash of its server. completed
// means that the server sent a complete response.
func (q *Quarantine) End(now clock.Time, t Ticket, completed bool) {
	valid := false
	if sv := q.servers[t.server]; sv != nil {
		if i := slices.Index(sv.inFlight, t); i >= 0 {
			sv.inFlight = slices.Delete(sv.inFlight, i, i+1)
			valid = true
		}
		q.release(now, t.server, sv)
	}
	if !completed {
		return
	}
	if t.process.id != 0 && t.process == q.processes[t.server] {
		q.responded[t.server] = t.process.id
	}
	if l := q.losses[t.process.id]; l != nil && l.kind < Alive && t.started >= l.at {
		l.kind = Alive
	}
	if s, ok := q.lookup(now, t.sig); ok && (valid || !s.quarantined) {
		if q.isSuspect(s) {
			q.changes++
		}
		s.clear(now)
		s.expires = now.Add(q.cfg.Duration)
		q.records[t.sig] = s
	}
}

// release forgets a server without requests in flight and without a reservation.
func (q *Quarantine) release(now clock.Time, server keys.Server, sv *serverState) {
	if len(sv.inFlight) == 0 && !now.Before(sv.reservedUntil) {
		delete(q.servers, server)
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
	return q.recordLoss(now, now, sv.inFlight, len(sv.inFlight) == 1, Refused)
}

// ServerLost records that the connection of an attempt was lost at a time, and what
// was then found out about the server. Unless the server is alive, all requests that
// were in flight there are lost with it. It invalidates their tickets, and returns
// the requests that are quarantined because of the loss.
func (q *Quarantine) ServerLost(now, at clock.Time, t Ticket, kind LossKind) (proven []Signature) {
	sv := q.servers[t.server]
	if sv == nil || !slices.Contains(sv.inFlight, t) {
		return nil
	}
	var lost, left []Ticket
	others := 0
	for _, r := range sv.inFlight {
		there := r.process == t.process && !r.started.After(at)
		switch {
		case r == t, there && kind != Alive:
			lost = append(lost, r)
			continue
		case there:
			others++
		}
		left = append(left, r)
	}
	sv.inFlight = left
	q.release(now, t.server, sv)
	return q.recordLoss(now, at, lost, len(lost)+others == 1, kind)
}

// DialFailed records that no connection could be opened for an attempt. No request is
// to blame, but the loss of the server counts in the comparison of CheckLosses. A
// process that hasn't completed a request yet may have ended before it was listed, by
// a request that was sent to its predecessor.
func (q *Quarantine) DialFailed(now clock.Time, t Ticket, kind LossKind) {
	if p := t.process; p.id != 0 && q.responded[t.server] == p.id {
		q.losses.report(p.id, loss{server: t.server, service: p.service, born: p.born, kind: kind, at: now})
	}
}

// recordLoss records the loss of a process that ran the given attempts.
func (q *Quarantine) recordLoss(now, at clock.Time, lost []Ticket, alone bool, kind LossKind) (proven []Signature) {
	if len(lost) == 0 {
		return nil
	}
	p := lost[0].process
	if p.id == 0 {
		q.lastID++
		p.id = hashProcess(lost[0].server, int64(q.lastID))
	}
	if l := q.losses[p.id]; l != nil && l.ran && at <= l.at.Add(sameLoss) {
		alone = false // others were in flight too, and have been recorded
	}
	q.losses.report(p.id, loss{server: lost[0].server, service: p.service, born: p.born, kind: kind, at: at, ran: true})
	q.changes++
	for _, t := range lost {
		s, _ := q.lookup(now, t.sig)
		if s.quarantined {
			continue
		}
		q.addLoss(t.sig, &s, runLoss{process: p.id, at: at, ran: max(at.Sub(t.started), 0), alone: alone})
		s.expires = now.Add(q.cfg.Duration)
		q.put(now, t.sig, s)
	}
	q.recheckAt = now.Add(closeTogether)
	return q.quarantineProven(now)
}

// lookup returns the record of sig. After its quarantine a request remains a
// suspect for one more QuarantineConfig.Duration, so that it runs alone and a
// single further crash quarantines it again.
func (q *Quarantine) lookup(now clock.Time, sig Signature) (s record, ok bool) {
	if s, ok = q.records[sig]; !ok || now.Before(s.expires) {
		return s, ok
	}
	if s.quarantined && now.Before(s.expires.Add(q.cfg.Duration)) {
		s = record{priorCrashes: q.cfg.MinCrashes - 1, expires: s.expires.Add(q.cfg.Duration)}
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
		c := q.compareRecords(v, q.records[victim])
		if first || c < 0 || c == 0 && lessSignature(k, victim) {
			victim, first = k, false
		}
	}
	delete(q.records, victim)
}

func (q *Quarantine) compareRecords(a, b record) int {
	return cmp.Or(cmp.Compare(q.rank(a), q.rank(b)), cmp.Compare(a.expires, b.expires))
}

// rank orders records for eviction: cleared, then suspects by the number of
// crashes, then quarantined.
func (q *Quarantine) rank(s record) int {
	switch {
	case s.quarantined:
		return math.MaxInt
	case s.reported:
		return max(q.crashes(s)+s.priorCrashes, 1)
	}
	return q.crashes(s) + s.priorCrashes
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
	// Crashes is 0 if the request was cleared, 1 for a suspect and at least 2 for a
	// quarantined request: hosts of earlier versions quarantine a request after 2.
	Crashes     int        `json:"crashes"`
	Quarantined bool       `json:"quarantined"`
	Remaining   clock.Span `json:"leftMs"`
	// Losses are the losses of servers that ran the request. Hosts of earlier versions
	// neither send nor read them.
	Losses []RunLoss `json:"losses,omitempty"`
	// ClearedAge is the time since the request completed, if Crashes is 0.
	ClearedAge clock.Span `json:"clearedMs,omitempty"`
}

// Export returns the records of suspects, quarantined and cleared requests, ordered
// by signature.
func (q *Quarantine) Export(now clock.Time) (out []SuspectRecord) {
	for sig := range q.records {
		if s, ok := q.lookup(now, sig); ok {
			if e, ok := q.exportRecord(now, sig, s); ok {
				out = append(out, e)
			}
		}
	}
	sort.Slice(out, func(i, j int) bool { return lessSignature(out[i].Signature, out[j].Signature) })
	return out
}

// exportRecord returns a record for other hosts. ok is false if it is neither that of a
// suspect nor of a cleared request.
func (q *Quarantine) exportRecord(now clock.Time, sig Signature, s record) (e SuspectRecord, ok bool) {
	e = SuspectRecord{Signature: sig, Quarantined: s.quarantined, Remaining: s.expires.Sub(now)}
	switch {
	case s.quarantined:
		e.Crashes = max(q.crashes(s)+s.priorCrashes, q.cfg.MinCrashes)
	case s.reported, s.priorCrashes > 0, q.crashes(s) > 0:
		e.Crashes = 1
	case !s.hasCleared:
		return e, false
	default:
		e.ClearedAge = max(now.Sub(s.cleared), 0)
		return e, true
	}
	for _, l := range s.losses {
		if o := q.losses[l.process]; o != nil {
			x := o.export(now, l.process)
			x.Age = max(now.Sub(l.at), 0)
			e.Losses = append(e.Losses, RunLoss{Loss: x, Ran: l.ran, Alone: l.alone})
		}
	}
	return e, true
}

// Changes returns a number that grows when this host has learned something that other
// hosts should know soon.
func (q *Quarantine) Changes() uint64 { return q.changes }

// ExportLosses returns up to n of the latest losses of servers, latest first. Other
// hosts need them only if there are suspects.
func (q *Quarantine) ExportLosses(now clock.Time, n int) []Loss {
	if len(q.records) == 0 {
		return nil
	}
	return q.losses.export(now, n)
}

// ImportLosses merges the losses of servers that another host has noticed.
func (q *Quarantine) ImportLosses(now clock.Time, list []Loss) {
	for _, l := range list {
		q.importLoss(now, l)
	}
}

// importLoss merges a loss, and reports whether it changed anything.
func (q *Quarantine) importLoss(now clock.Time, l Loss) (changed bool) {
	if !l.Valid() || l.Process == 0 || l.Age >= DefaultDuration {
		return false
	}
	var before loss
	if o := q.losses[l.Process]; o != nil {
		before = *o
	}
	return *q.losses.report(l.Process, loss{service: l.Service, kind: l.Kind, at: now.Add(-l.Age)}) != before
}

// Import merges the records of another host. Losses until the request last completed
// don't count. It returns the requests that are quarantined because of the losses of
// both hosts.
func (q *Quarantine) Import(now clock.Time, in []SuspectRecord) (proven []Signature) {
	changed := false
	for _, e := range in {
		if e.Remaining > importAllowance {
			changed = q.importRecord(now, e) || changed
		}
	}
	if !changed {
		return nil
	}
	q.recheckAt = cmp.Or(q.recheckAt, now.Add(closeTogether))
	return q.quarantineProven(now)
}

// importRecord merges a record, and reports whether it has losses.
func (q *Quarantine) importRecord(now clock.Time, e SuspectRecord) bool {
	s, known := q.lookup(now, e.Signature)
	if e.Crashes <= 0 && !e.Quarantined {
		q.importCleared(now, e, s)
		return false
	}
	for _, l := range e.Losses {
		if l.Valid() && l.Loss.Age < DefaultDuration {
			q.importLoss(now, l.Loss)
			q.addLoss(e.Signature, &s, runLoss{process: l.Loss.Process, at: now.Add(-l.Loss.Age), ran: l.Ran, alone: l.Alone})
		}
	}
	last, hasLosses := s.lastLoss()
	outdated := len(e.Losses) > 0 && s.hasCleared && (!hasLosses || last <= s.cleared)
	if outdated || len(e.Losses) == 0 && !e.Quarantined && known && !s.reported {
		return false
	}
	s.reported = s.reported || len(e.Losses) == 0
	s.quarantined = s.quarantined || e.Quarantined
	s.expires = max(s.expires, now.Add(min(e.Remaining, q.cfg.Duration)-importAllowance))
	q.put(now, e.Signature, s)
	return hasLosses
}

// importCleared applies that the request of a record completed at another host. A
// quarantine stays if a server was lost later, or if its losses aren't known.
func (q *Quarantine) importCleared(now clock.Time, e SuspectRecord, s record) {
	at := now.Add(-max(e.ClearedAge, 0))
	last, ok := s.lastLoss()
	if s.quarantined && (!ok || last > at) {
		return
	}
	s.clear(at)
	s.expires = max(s.expires, now.Add(min(e.Remaining, q.cfg.Duration)-importAllowance))
	q.put(now, e.Signature, s)
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
