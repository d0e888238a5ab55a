package admit

import (
	"cmp"
	"math"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// ratioWeight is the weight of the latest result in the moving average of a server's
	// service time ratio, which is kept within minRatio and maxRatio.
	ratioWeight = 0.1
	minRatio    = 0.2
	maxRatio    = 8.0
	// meanWeight is the weight of the latest request in the moving average of the
	// routes' means.
	meanWeight = 0.05
	// lateShare is the share of the time until its deadline that a request may wait if it
	// can't meet its objective. The rest is for its service, and for a retry if it is
	// refused.
	lateShare = 0.5
	// patience is the share of its expected wait that counts for a request that is
	// already queued. The expected wait is an average, and a refusal is final.
	patience = 0.5
	// demandPeriod is the period over which the load of more urgent requests is averaged,
	// demandLevels the number of priorities that are told apart. minShareLeft bounds the
	// share of the slots that they leave to others.
	demandPeriod = clock.Second
	demandLevels = 8
	minShareLeft = 0.25
	// defaultMean is the assumed service time of a route that has none.
	defaultMean = 100 * clock.Millisecond
	// maxMean bounds the mean that a host tells.
	maxMean = clock.Minute
	// minReservation and reservationTimes, in expected service times, are how long a
	// request may be admitted. Its result may be lost, and its deadline far ahead.
	minReservation   = 2 * clock.Second
	reservationTimes = 8
	// maxForeign is the most requests at a server that are believed to have been sent
	// without admission. It bounds the effect of a wrong report.
	maxForeign = 12
	// staleAge and staleTimes, in expected service times, are how old a reservation has to
	// be to end because the server reports fewer requests: its result was lost.
	staleAge   = 500 * clock.Millisecond
	staleTimes = 4
)

// Server is a server as it is listed.
type Server struct {
	ID    keys.Server
	Born  int64
	Slots int
}

// server has the requests of all hosts for one server.
type server struct {
	id       keys.Server
	born     int64
	madeAt   clock.Time
	slots    int
	listed   bool       // it has been in a list
	queue    []*request // in the order of compare at the last advance
	admitted []*request
	ratio    float64 // moving average of service time / mean of the route
	meanMs   float64 // moving average of the routes' means
	// foreign is the number of requests that were at the server at foreignAt besides
	// the admitted ones: hosts that get no reply send without admission.
	foreign   float64
	foreignAt clock.Time
	cold      coldState
	demand    [demandLevels]demand // by priority
}

// demand is the load of the requests of a priority, admitted or not.
type demand struct {
	slots float64 // moving average of the slots that they need
	at    clock.Time
}

// after returns the load after more requests with the given service time have come.
func (d demand) after(now clock.Time, serviceTime float64) demand {
	d.slots *= math.Exp(-float64(now.Sub(d.at)) / float64(demandPeriod))
	return demand{slots: d.slots + serviceTime/float64(demandPeriod), at: now}
}

// recordDemand adds a request to the load of its priority.
func (sv *server) recordDemand(now clock.Time, r *Request) {
	d := &sv.demand[min(r.Priority, demandLevels-1)]
	*d = d.after(now, r.mean()*sv.ratio)
}

// shareLeft returns the share of the server's slots that more urgent requests leave to a
// priority.
func (sv *server) shareLeft(now clock.Time, priority int) float64 {
	urgent := 0.0
	for _, d := range sv.demand[:min(priority, demandLevels-1)] {
		urgent += d.after(now, 0).slots
	}
	return max(1-urgent/float64(sv.slots), minShareLeft)
}

func (sv *server) update(l Server) { sv.slots, sv.listed = max(l.Slots, 1), true }

func (sv *server) idle() bool { return len(sv.queue) == 0 && len(sv.admitted) == 0 }

// mean returns the mean service time of a request's route.
func (r *Request) mean() float64 {
	if r.RouteMean <= 0 {
		return float64(defaultMean)
	}
	return float64(min(r.RouteMean, maxMean))
}

// serviceTime returns the expected time of a request at the server.
func (sv *server) serviceTime(r *Request) clock.Span { return clock.Span(r.mean() * sv.ratio) }

// late reports whether a request can't meet its objective even if it is sent at once.
func (sv *server) late(now clock.Time, r *Request) bool {
	return now.Add(sv.serviceTime(r)) > r.Objective
}

// waitLimit returns until when a request may wait.
func (sv *server) waitLimit(now clock.Time, r *Request) clock.Time {
	inTime := r.Objective.Add(-sv.serviceTime(r))
	late := now.Add(clock.Span(lateShare * float64(r.Deadline.Sub(now))))
	return min(max(inTime, late), r.Deadline)
}

// sort orders the queue by priority, then by whether a request can meet its objective,
// then by objective.
func (sv *server) sort(now clock.Time) {
	slices.SortStableFunc(sv.queue, func(a, b *request) int {
		if c := cmp.Compare(a.Priority, b.Priority); c != 0 {
			return c
		}
		lateA, lateB := sv.late(now, &a.Request), sv.late(now, &b.Request)
		if lateA != lateB {
			if lateA {
				return 1
			}
			return -1
		}
		return cmp.Compare(a.Objective, b.Objective)
	})
}

// inUse returns the number of requests at the server, or on their way there.
func (sv *server) inUse(now clock.Time) float64 {
	return float64(len(sv.admitted)) + sv.foreignLeft(now)
}

// foreignLeft returns how many of the requests that were sent without admission the
// server hasn't served yet.
func (sv *server) foreignLeft(now clock.Time) float64 {
	if sv.foreign == 0 {
		return 0
	}
	served := float64(now.Sub(sv.foreignAt)) * float64(sv.slots) / (sv.meanMs * sv.ratio)
	return max(sv.foreign-served, 0)
}

// hasRoom reports whether another request may be admitted.
func (sv *server) hasRoom(now clock.Time) bool {
	return sv.inUse(now)+1 <= float64(sv.slots+spareAdmissions)
}

// advance admits queued requests while there is room, and refuses those that can't be
// served before their wait limit. asked is the request that has just been added, or nil.
func (s *State) advance(now clock.Time, sv *server, asked *request) (replies []Reply) {
	if len(sv.queue) == 0 {
		return nil
	}
	sv.sort(now)
	n := 0
	for bucket := sv.limit(now); n < len(sv.queue) && sv.hasRoom(now) && (bucket == nil || bucket.Take(now)); n++ {
		q := sv.queue[n]
		q.admitted, q.admittedAt = true, now
		q.waits = sv.inUse(now) >= float64(sv.slots)
		sv.admitted = append(sv.admitted, q)
		replies = append(replies, Admitted{q.ID})
	}
	sv.queue = slices.Delete(sv.queue, 0, n)
	return append(replies, s.refuseHopeless(now, sv, asked)...)
}

// refuseHopeless refuses the queued requests that can't be served before their wait
// limit, and those beyond maxQueue.
func (s *State) refuseHopeless(now clock.Time, sv *server, asked *request) (replies []Reply) {
	if len(sv.queue) == 0 {
		return nil
	}
	work, ahead := 0.0, sv.inUse(now)
	for _, q := range sv.admitted {
		work += q.mean()
	}
	work += sv.foreignLeft(now) * sv.meanMs
	left, bucket := sv.queue[:0], sv.limit(now)
	for _, q := range sv.queue {
		// More urgent requests that come meanwhile are admitted before this one.
		wait := clock.Span(float64(sv.waitBehind(ahead, work)) / sv.shareLeft(now, q.Priority))
		if bucket != nil {
			wait = max(wait, bucket.WaitFor(now, len(left)+1))
		}
		counted := wait
		if q != asked {
			counted = clock.Span(patience * float64(wait))
		}
		if now.Add(counted) > q.limit || q.AtOnce || len(left) >= maxQueue {
			delete(s.requests, q.ID)
			replies = append(replies, s.refuse(q.ID, wait))
			continue
		}
		left = append(left, q)
		ahead++
		work += q.mean()
	}
	clear(sv.queue[len(left):])
	sv.queue = left
	if sv.idle() {
		delete(s.active, sv)
	}
	return replies
}

// waitBehind returns how long a request waits for a slot behind a number of others with
// the given sum of mean service times.
func (sv *server) waitBehind(ahead, work float64) clock.Span {
	if ahead < float64(sv.slots) {
		return 0
	}
	interval := work / ahead * sv.ratio / float64(sv.slots) // between two free slots
	return clock.Span((ahead - float64(sv.slots) + 1) * interval)
}

// record applies the result of a request that has just been forgotten.
func (sv *server) record(now clock.Time, q *request, res Result) {
	if res.Duration > 0 {
		// The wait for a slot at the server isn't a part of its service time. With it a full
		// server would seem slower by half, and requests that it can serve would be refused.
		sample := min(max(float64(res.Duration-q.waited)/q.mean(), minRatio), maxRatio)
		sv.ratio += ratioWeight * (sample - sv.ratio)
	}
	if res.HasLoad {
		// Reservations of requests that haven't arrived yet, or whose results haven't, are
		// not in the server's count, so the difference is never too high for that reason.
		sv.foreign = float64(min(max(res.Load-len(sv.admitted), 0), maxForeign))
		sv.foreignAt = now
	}
}

// stale returns the oldest of the reservations that can't all be at the server, which
// has reported its load. An untrue report ends only those that are old.
func (sv *server) stale(now clock.Time, res Result) []*request {
	if !res.HasLoad {
		return nil
	}
	var old []*request // in the order of admission
	for _, q := range sv.admitted {
		if now.Sub(q.admittedAt) > max(staleAge, staleTimes*sv.serviceTime(&q.Request)) {
			old = append(old, q)
		}
	}
	return old[:max(len(old)-max(res.Load, 0), 0)]
}

// expired returns the admitted requests whose deadline has passed, or whose result must
// have been lost.
func (sv *server) expired(now clock.Time) (out []*request) {
	for _, q := range sv.admitted {
		if now >= q.Deadline || now.Sub(q.admittedAt) >= max(minReservation, reservationTimes*sv.serviceTime(&q.Request)) {
			out = append(out, q)
		}
	}
	return out
}

// remove takes a request out of the queue or the reservations. If the server was running
// it, the one that has waited there for longest starts.
func (sv *server) remove(now clock.Time, q *request) {
	list := &sv.queue
	if q.admitted {
		list = &sv.admitted
	}
	if i := slices.Index(*list, q); i >= 0 {
		*list = slices.Delete(*list, i, i+1)
	}
	if !q.admitted || q.waits {
		return
	}
	if i := slices.IndexFunc(sv.admitted, func(r *request) bool { return r.waits }); i >= 0 {
		next := sv.admitted[i]
		next.waits, next.waited = false, now.Sub(next.admittedAt)
	}
}
