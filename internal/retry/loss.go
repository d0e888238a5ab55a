package retry

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// maxLosses bounds the losses of servers that a host remembers.
	maxLosses = 256
	// maxRunLosses bounds the losses that a record has. A frequent request can be at
	// several servers at once, and all of them count as explained by it.
	maxRunLosses = 32
	// maxRan bounds how long another host can say that an attempt ran.
	maxRan = 24 * 60 * clock.Minute
	// sameLoss is the time within which two reports about a process mean the same
	// loss. It covers the delay of the exchange between hosts.
	sameLoss = 2 * clock.Second
	// restartTimeout is the time after the loss of a process within which a later
	// process of the server proves that it had ended. Later than that the server may
	// have been restarted for another reason.
	restartTimeout = 10 * clock.Second
	// massLosses is how many other servers of the service must be lost close to a loss
	// for it to be taken for a common cause, such as a partition or a power loss.
	massLosses = 3
	// simultaneous is the time within which massLosses other losses mean that servers were
	// lost together, such as those with a common power supply.
	simultaneous = 50 * clock.Millisecond
	// closeTogether is the time within which massLosses other losses may have a common
	// cause, such as a power loss that several hosts notice one after the other.
	closeTogether = 250 * clock.Millisecond
	// shortRun is the longest time from the start of a request to its server's loss that
	// makes the request a likely cause also where many servers are lost.
	shortRun = 50 * clock.Millisecond
	// fullWeight is the weight of a crash apart from others. One close to others
	// counts half: among many requests that often start, some start just before a loss.
	fullWeight = 2
	// lookBack is the time before a request's first loss in which other losses count
	// against it. It must exceed the time in which a slow sound request can fail to
	// complete while all servers keep crashing.
	lookBack = 10 * clock.Second
	// soonAfterStart is the longest run before a crash that allows the shorter
	// minQuietTime. Slow sound requests run for longer.
	soonAfterStart = 250 * clock.Millisecond
	// minQuietTime is the time without other losses before the latest losses of a request
	// that may prove it by themselves.
	minQuietTime = 3 * clock.Second
	// unexplainedWeight is how many crashes of a request one unexplained loss cancels.
	unexplainedWeight = 3
	// maxUnexplained is the most losses that crashes can outweigh. More of them are an
	// outage, in which a request can be at most of the servers that are lost.
	maxUnexplained = 2
)

// Process identifies one process of a server in the records of all hosts.
type Process uint64

func hashProcess(server keys.Server, born int64) Process {
	return Process(xxhash.Sum64String(string(server) + "/" + strconv.FormatInt(born, 10)))
}

//go:generate go tool stringer -type=LossKind -linecomment -output=losskind_string.go

// LossKind is what is known about a process to which a connection was lost or couldn't
// be opened. If reports differ, the higher value applies.
type LossKind int

// Kinds of losses.
const (
	Unreachable  LossKind = iota // unreachable
	Refused                      // refused
	Alive                        // alive
	Ended                        // ended
	numLossKinds                 // kinds
)

// isCrash reports whether the loss of a server counts as its crash. A server that
// refuses connections counts until the same process responds again.
func (k LossKind) isCrash() bool { return k == Refused || k == Ended }

// Loss is the loss of a server in the form exchanged between hosts. Age replaces the
// time, because the clocks of two hosts can't be compared.
type Loss struct {
	Process Process      `json:"process" cbor:"1,keyasint"`
	Service keys.Service `json:"service,omitempty" cbor:"2,keyasint,omitempty"`
	Kind    LossKind     `json:"kind" cbor:"3,keyasint,omitempty"`
	Age     clock.Span   `json:"ageMs" cbor:"4,keyasint"`
}

// RunLoss is the loss of a server while it ran a request.
type RunLoss struct {
	Loss  Loss       `json:"loss" cbor:"1,keyasint"`
	Ran   clock.Span `json:"ranMs" cbor:"2,keyasint"` // from the start of the attempt to the loss
	Alone bool       `json:"alone,omitempty" cbor:"3,keyasint,omitempty"`
}

// Valid reports whether a host can have sent the loss.
func (l Loss) Valid() bool { return l.Kind >= 0 && l.Kind < numLossKinds && l.Age >= 0 }

// Valid reports whether a host can have sent the loss.
func (l RunLoss) Valid() bool { return l.Loss.Valid() && l.Ran >= 0 && l.Ran <= maxRan }

// loss is the loss of a process of a server.
type loss struct {
	server  keys.Server // "" if only other hosts have lost it
	service keys.Service
	born    int64
	kind    LossKind
	at      clock.Time
	ran     bool // a request of this host was in flight there
	// frequent is a request that was in flight there and has more losses than its
	// record holds.
	frequent Signature
}

// runLoss is the loss of a process while it ran the request of a record.
type runLoss struct {
	process Process
	at      clock.Time
	ran     clock.Span
	alone   bool // no other request was in flight there
}

// started returns when the attempt started that the process was running.
func (l runLoss) started() clock.Time { return l.at.Add(-l.ran) }

// lossTable has the latest losses of servers.
type lossTable map[Process]*loss

// report adds a loss, or merges it with an earlier report about the same loss. A
// process is lost once more only if it responded or ran a request in between.
func (t lossTable) report(p Process, l loss) *loss {
	own := t[p]
	if own == nil || l.at > own.at.Add(sameLoss) && (own.kind == Alive || own.kind < Alive && l.ran) {
		if own != nil {
			l.server, l.born = cmp.Or(l.server, own.server), max(l.born, own.born)
		}
		t[p] = &l
		if len(t) > maxLosses {
			t.evict()
		}
		return &l
	}
	own.at, own.kind, own.ran = min(own.at, l.at), max(own.kind, l.kind), own.ran || l.ran
	own.server, own.born, own.service = cmp.Or(own.server, l.server), max(own.born, l.born), cmp.Or(own.service, l.service)
	return own
}

// evict removes the oldest loss.
func (t lossTable) evict() {
	var oldest Process
	first := true
	for p, l := range t {
		if first || l.at < t[oldest].at || l.at == t[oldest].at && p < oldest {
			oldest, first = p, false
		}
	}
	delete(t, oldest)
}

// setEnded records that a server has a later process. It reports whether that proves
// a crash.
func (t lossTable) setEnded(now clock.Time, server keys.Server, born int64) (changed bool) {
	for _, l := range t {
		if l.server == server && l.born < born && l.kind != Ended && now.Sub(l.at) < restartTimeout {
			l.kind, changed = Ended, true
		}
	}
	return changed
}

// export returns the latest losses, latest first.
func (t lossTable) export(now clock.Time, n int) (list []Loss) {
	for p, l := range t {
		if now.Sub(l.at) < DefaultDuration {
			list = append(list, l.export(now, p))
		}
	}
	slices.SortFunc(list, func(a, b Loss) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Process, b.Process)) })
	return list[:min(len(list), n)]
}

func (l *loss) export(now clock.Time, p Process) Loss {
	return Loss{Process: p, Service: l.service, Kind: l.kind, Age: max(now.Sub(l.at), 0)}
}

// addLoss adds the loss of a process that ran the request, or merges it with what the
// record has about the process. It returns the oldest losses if there are too many.
func (s *record) addLoss(l runLoss) (dropped []runLoss) {
	if s.hasCleared && l.at <= s.cleared {
		return nil
	}
	i := slices.IndexFunc(s.losses, func(o runLoss) bool { return o.process == l.process })
	switch {
	case i < 0:
		// The slices of a record aren't shared: records are copied by value.
		s.losses = append(slices.Clone(s.losses), l)
	case l.at > s.losses[i].at.Add(sameLoss):
		s.losses = slices.Clone(s.losses)
		s.losses[i] = l
	default:
		s.losses = slices.Clone(s.losses)
		o := &s.losses[i]
		o.at, o.ran, o.alone = min(o.at, l.at), max(o.ran, l.ran), o.alone && l.alone
	}
	slices.SortStableFunc(s.losses, func(a, b runLoss) int { return cmp.Compare(a.at, b.at) })
	if n := len(s.losses) - maxRunLosses; n > 0 {
		dropped, s.losses = s.losses[:n], s.losses[n:]
	}
	return dropped
}

// addLoss adds the loss of a process that ran the request of a record.
func (q *Quarantine) addLoss(sig Signature, s *record, l runLoss) {
	for _, d := range s.addLoss(l) {
		if o := q.losses[d.process]; o != nil {
			o.frequent = sig
		}
	}
}

// clear records that the request completed: losses until then weren't caused by it.
func (s *record) clear(at clock.Time) {
	if !s.hasCleared || at > s.cleared {
		s.cleared, s.hasCleared = at, true
	}
	s.losses = slices.DeleteFunc(slices.Clone(s.losses), func(l runLoss) bool { return l.at <= s.cleared })
	s.priorCrashes, s.reported, s.quarantined = 0, false, false
}

// lastLoss returns the time of the latest loss, and false if there is none.
func (s record) lastLoss() (clock.Time, bool) {
	if len(s.losses) == 0 {
		return 0, false
	}
	return s.losses[len(s.losses)-1].at, true
}

// has reports whether the request was in flight at a process when it was lost.
func (s record) has(p Process) bool {
	return slices.ContainsFunc(s.losses, func(l runLoss) bool { return l.process == p })
}

// crashes returns how many servers crashed while they ran the request.
func (q *Quarantine) crashes(s record) (n int) {
	for _, l := range s.losses {
		if q.isCrash(l.process) {
			n++
		}
	}
	return n
}

func (q *Quarantine) isCrash(p Process) bool {
	l := q.losses[p]
	return l != nil && l.kind.isCrash()
}

// crashesInSequence returns how many servers crashed one after the other, in units of
// 1/fullWeight: the request was sent to each after the crash of the one before,
// and from the second on it ran alone. A request that was at several servers when they
// crashed about the same time counts once.
func (q *Quarantine) crashesInSequence(now clock.Time, s record) int {
	n := s.priorCrashes * fullWeight
	var last clock.Time
	for _, l := range s.losses {
		if n > 0 && (!l.alone || l.started() < last) {
			continue
		}
		if p := q.crashWeight(now, l); p > 0 {
			n += p
			last = l.at
		}
	}
	return n
}

// crashWeight returns the weight of a loss in crashesInSequence. Whether others are lost close to it is
// known only some time after it.
func (q *Quarantine) crashWeight(now clock.Time, l runLoss) int {
	switch {
	case !q.isCrash(l.process), q.lostWithOthers(l, simultaneous):
		return 0
	case !q.cfg.CheckLosses, now >= l.at.Add(closeTogether) && !q.lostWithOthers(l, closeTogether):
		return fullWeight
	case l.ran <= shortRun:
		return 1
	}
	return 0
}

// unexplained returns the times at which servers of the same services were lost
// without a request in flight that is a likely cause. They point to a cause other than
// the request.
func (q *Quarantine) unexplained(now clock.Time, sig Signature, s record) (at []clock.Time) {
	if !q.cfg.CheckLosses {
		return nil
	}
	services := make(map[keys.Service]bool)
	explained := make(map[Process]bool)
	for _, l := range s.losses {
		explained[l.process] = true
		if o := q.losses[l.process]; o != nil {
			services[o.service] = true
		}
	}
	for other, o := range q.records {
		if other != sig && (o.quarantined || q.crashesInSequence(now, o) >= (q.cfg.MinCrashes-1)*fullWeight) {
			for _, l := range o.losses {
				explained[l.process] = true
			}
		}
	}
	for p, l := range q.losses {
		if services[l.service] && !explained[p] && l.frequent != sig {
			at = append(at, l.at)
		}
	}
	return at
}

// isSuspect reports whether a request has to run alone.
func (q *Quarantine) isSuspect(s record) bool {
	switch n := q.crashes(s); {
	case s.quarantined, s.priorCrashes > 0, s.reported, n > 1:
		return true
	default:
		return n == 1 && !q.inMassLoss(s)
	}
}

// inMassLoss reports whether a server that crashed while it ran the request was lost
// together with many others. The requests at all of them would otherwise have to run
// alone, though hardly one can be the cause.
func (q *Quarantine) inMassLoss(s record) bool {
	return slices.ContainsFunc(s.losses, func(l runLoss) bool { return q.isCrash(l.process) && q.lostWithOthers(l, q.cfg.Window) })
}

// lostWithOthers reports whether many other servers of the service were lost within a
// time before or after a loss.
func (q *Quarantine) lostWithOthers(of runLoss, within clock.Span) bool {
	own := q.losses[of.process]
	if own == nil || !q.cfg.CheckLosses {
		return false
	}
	n := 0
	for p, l := range q.losses {
		if d := l.at.Sub(of.at); p != of.process && l.service == own.service && max(d, -d) < within {
			if n++; n >= massLosses {
				return true
			}
		}
	}
	return false
}

// isAmbiguous reports whether another request was alone at one of the same servers,
// on another host, and is as likely to be the cause.
func (q *Quarantine) isAmbiguous(now clock.Time, sig Signature, s record) bool {
	rounds := q.crashesInSequence(now, s)
	for other, o := range q.records {
		if other == sig || o.quarantined || len(o.losses) == 0 || q.crashesInSequence(now, o) < rounds {
			continue
		}
		for _, l := range s.losses {
			if l.alone && slices.ContainsFunc(o.losses, func(m runLoss) bool { return m.alone && m.process == l.process }) {
				return true
			}
		}
	}
	return false
}

// isProven reports whether a request is proven to crash servers: by all its losses, or,
// so that an outage doesn't protect it for long, by the latest of them. These must be
// more, and the only ones for a while; for less long if they come soon after the request
// was sent.
func (q *Quarantine) isProven(now clock.Time, sig Signature, s record) bool {
	if s.quarantined || q.crashes(s)+s.priorCrashes < q.cfg.MinCrashes {
		return false // most records after many losses at once; the rest takes longer
	}
	if q.crashesInSequence(now, s) < q.cfg.MinCrashes*fullWeight || q.isAmbiguous(now, sig, s) {
		return false
	}
	unexplained := q.unexplained(now, sig, s)
	if n := q.countNear(unexplained, s, lookBack); n <= maxUnexplained && q.crashes(s)+s.priorCrashes-unexplainedWeight*n >= q.cfg.MinCrashes {
		return true
	}
	for len(s.losses) > 0 {
		s.losses = s.losses[1:]
		if q.crashes(s) < 2*q.cfg.MinCrashes || q.crashesInSequence(now, s) < q.cfg.MinCrashes*fullWeight {
			return false
		}
		if q.countNear(unexplained, s, lookBack) == 0 || q.countNear(unexplained, s, minQuietTime) == 0 && q.crashesSoon(s) {
			return true
		}
	}
	return false
}

// countNear counts the losses during those of a record, some time before and shortly
// after.
func (q *Quarantine) countNear(losses []clock.Time, s record, before clock.Span) (n int) {
	from, to := s.losses[0].at.Add(-before), s.losses[len(s.losses)-1].at.Add(q.cfg.Window)
	for _, at := range losses {
		if at >= from && at <= to {
			n++
		}
	}
	return n
}

// crashesSoon reports whether all servers crashed soon after they had been sent the
// request.
func (q *Quarantine) crashesSoon(s record) bool {
	return !slices.ContainsFunc(s.losses, func(l runLoss) bool { return q.isCrash(l.process) && l.ran > soonAfterStart })
}

// Tick quarantines the requests that are proven by losses which are now known to be
// apart from others. It is cheap while nothing is lost.
func (q *Quarantine) Tick(now clock.Time) (proven []Signature) {
	if q.recheckAt == 0 || now < q.recheckAt {
		return nil
	}
	q.recheckAt = 0
	return q.quarantineProven(now)
}

// quarantineProven quarantines the requests that are proven to crash servers. It returns them
// in the order of their signatures.
func (q *Quarantine) quarantineProven(now clock.Time) (proven []Signature) {
	for sig := range q.records {
		if s, ok := q.lookup(now, sig); ok && q.isProven(now, sig, s) {
			proven = append(proven, sig)
		}
	}
	slices.SortFunc(proven, func(a, b Signature) int {
		if lessSignature(a, b) {
			return -1
		}
		return 1
	})
	q.changes += uint64(len(proven))
	for _, sig := range proven {
		s := q.records[sig]
		s.quarantined, s.expires = true, now.Add(q.cfg.Duration)
		q.records[sig] = s
		q.shareLosses(sig, s)
	}
	return proven
}

// shareLosses marks the losses of other requests that a quarantined one has too: they
// no longer prove anything about those.
func (q *Quarantine) shareLosses(sig Signature, s record) {
	for other, o := range q.records {
		if other == sig || o.quarantined {
			continue
		}
		o.losses = slices.Clone(o.losses)
		for i := range o.losses {
			if s.has(o.losses[i].process) {
				o.losses[i].alone = false
			}
		}
		q.records[other] = o
	}
}
