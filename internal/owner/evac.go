package owner

import (
	"cmp"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// evacuationShare is the share of the ranges to evacuate that move at a time, and
	// minEvacuationMoves the least number of them. Requests for a range wait while it
	// moves, and if the store or the assigner is lost halfway, only these have no
	// owner.
	evacuationShare    = 0.25
	minEvacuationMoves = 24
	// evacuationBatches is how many times fewer ranges begin to move in a tick than may
	// move at a time: a range has no owner while its release waits for processor time. A
	// tick has a whole batch or none, since the next owners are chosen by the load of all
	// keys, which takes a walk over them.
	evacuationBatches = 4
	// slowMove is how long a range counts as moving. A server that doesn't respond,
	// or has long work in progress, must not hold up the other ranges.
	slowMove = 500 * clock.Millisecond
	// evacuationWriteInterval is the shortest time between two writes of the record
	// while ranges are evacuated. Each write is billed.
	evacuationWriteInterval = 80 * clock.Millisecond
	// evacuationWriteDelay is how long a change waits for others, as servers often
	// respond to several releases at once.
	evacuationWriteDelay = 20 * clock.Millisecond
	// slowWrite is the age of a write from which on no further range is evacuated: a
	// range that is released while the store is down has no owner until it is back.
	slowWrite = 400 * clock.Millisecond
)

// evacuation is the state of the evacuation of data centres.
type evacuation struct {
	dcs     map[keys.DataCentre]bool
	total   int        // ranges that were to move at most since none was
	moving  int        // ranges that began to move less than slowMove ago
	wroteAt clock.Time // when the last write of the record was sent
	heldAt  clock.Time // when a write was first held since then; 0: not
}

// SetEvacuated sets the evacuated data centres. Their servers get no new ranges, and
// their ranges move to other servers, some at a time.
func (a *Assigner) SetEvacuated(list []keys.DataCentre) {
	a.evacuation.dcs = make(map[keys.DataCentre]bool, len(list))
	for _, dc := range list {
		a.evacuation.dcs[dc] = true
	}
}

// isEvacuated reports whether a server is in an evacuated data centre.
func (a *Assigner) isEvacuated(id keys.Server) bool {
	return len(a.evacuation.dcs) > 0 && a.evacuation.dcs[a.servers[id].DC]
}

// evacuate has ranges of evacuated servers released, as many at a time as may move. It
// is called once a tick, as it looks at all ranges. Ranges of a service without a usable server stay, as they have nowhere to move to.
func (a *Assigner) evacuate(now clock.Time) {
	e := &a.evacuation
	a.now, e.moving = now, 0
	if len(e.dcs) == 0 {
		e.total = 0
		return
	}
	if a.firstListAt == 0 || now < a.firstListAt.Add(firstAssignDelay) {
		return // released ranges would wait for assignFree
	}
	waiting := make(map[keys.Service][]*rangeState)
	count := 0
	for s, ranges := range a.tables {
		for _, rs := range ranges {
			switch {
			case rs.evacuatedAt != 0 && (!rs.acked || rs.releasing):
				if now.Sub(rs.evacuatedAt) < slowMove {
					e.moving++
				}
			case rs.acked && !rs.releasing && now >= rs.blockedUntil && a.isEvacuated(rs.Server):
				waiting[s] = append(waiting[s], rs)
				count++
			}
		}
	}
	if e.total = max(e.total, count+e.moving); count+e.moving == 0 {
		e.total = 0
	}
	limit := max(minEvacuationMoves, int(evacuationShare*float64(e.total)))
	room := min(limit-e.moving, count, limit/evacuationBatches)
	if room <= 0 || room < min(limit/evacuationBatches, count) || a.storeOutage || a.writeInFlight && now.Sub(e.wroteAt) > slowWrite {
		return
	}
	for _, s := range a.serviceNames() {
		room -= a.startEvacuation(now, s, waiting[s][:min(len(waiting[s]), room)])
	}
}

// startEvacuation has ranges of a service released and chooses their next owners, the
// least loaded servers. It returns how many ranges it has started to move.
func (a *Assigner) startEvacuation(now clock.Time, s keys.Service, ranges []*rangeState) int {
	ids := a.usableServers(s)
	if len(ids) == 0 || len(ranges) == 0 {
		return 0
	}
	servers, _ := a.serverLoads(s)
	load := make(map[*rangeState]float64, len(ranges))
	for _, rs := range ranges {
		load[rs] = baseLoad / float64(int(MaxKey)+1) * rs.width()
	}
	if l := a.loads[s]; l != nil {
		for k, v := range l.keys {
			if rs := a.rangeOf(s, k); load[rs] > 0 {
				load[rs] += v
			}
		}
	}
	slices.SortStableFunc(ranges, func(x, y *rangeState) int { return cmp.Compare(load[y], load[x]) })
	for _, rs := range ranges {
		rs.dest = slices.MinFunc(ids, func(x, y keys.Server) int {
			return cmp.Compare(servers[x]/a.capacity(x), servers[y]/a.capacity(y))
		})
		servers[rs.dest] += load[rs]
		rs.evacuatedAt = now
		rs.startRelease()
	}
	a.evacuation.moving += len(ranges)
	return len(ranges)
}

// holdsWrite reports whether a write of the record waits for more moves.
func (a *Assigner) holdsWrite(now clock.Time) bool {
	e := &a.evacuation
	if e.moving > 0 && e.heldAt == 0 {
		e.heldAt = now
	}
	return e.moving > 0 && (now.Sub(e.heldAt) < evacuationWriteDelay || now.Sub(e.wroteAt) < evacuationWriteInterval)
}
