package owner

import (
	"cmp"
	"math"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// balanceEvery is the period of decisions about load.
	balanceEvery = 250 * clock.Millisecond
	// fastLife and slowLife are the half-lives of the two estimates of the load.
	// Hot keys change within seconds; a lasting small difference shows only in
	// a longer mean.
	fastLife = clock.Second
	slowLife = 10 * clock.Second
	// enter is the ratio of a server's load to its share above which ranges
	// are moved away; leave is the ratio that a move aims at.
	enter = 1.3
	leave = 1.05
	// busyFrom is the part of a server's slots that must be in use until
	// ranges are moved away: below it requests hardly wait for each other.
	busyFrom = 0.35
	// doubt is the number of standard deviations by which a load must exceed
	// its share. Loads are estimated from few requests.
	doubt = 1.5
	// minLoad is the load of a service, in busy slots, below which nothing is
	// moved.
	minLoad = 1.0
	// maxMoves is the number of ranges of a service that may be under way at
	// a time. Requests for them wait meanwhile.
	maxMoves = 4
	// maxRows bounds the ranges of a server, each of which is renewed alone.
	maxRows = 12
	// minPace and maxPace bound the estimated paces.
	minPace, maxPace = 0.4, 2.5
	// maxSpare is the exponent of a server's pace by which it gets less below
	// the utilization idleAt; it falls to 0 at fullAt.
	maxSpare       = 2.0
	idleAt, fullAt = 0.35, 0.7
	// stayFor is how long a moved range stays where it is.
	stayFor = 5 * clock.Second
	// fasterBy is how much faster a server must be for a hot key to move there.
	fasterBy = 1.25
	// unitWeight is the weight of one observation of what a request adds.
	unitWeight = 0.02
	// speedPrior is how many observations the assumption that all servers are
	// alike is worth; speedMemory is how many a server's speed rests on at most.
	speedPrior  = 4
	speedMemory = 40
)

// pace returns the time that a server takes, relative to the others.
func (a *Assigner) pace(id keys.Server) float64 {
	if sp := a.speed[id]; sp != nil {
		return min(max(sp.ratio, minPace), maxPace)
	}
	return 1
}

// slots returns the number of mean requests that a server can run at a time.
func (a *Assigner) slots(id keys.Server) float64 {
	return float64(max(a.servers[id].Slots, 1)) / a.pace(id)
}

// capacity returns the part of the load that a server should get. While there
// is room, slow servers get less than their slots allow, as their requests take
// longer even if none waits.
func (a *Assigner) capacity(id keys.Server) float64 {
	return a.slots(id) / math.Pow(a.pace(id), a.spare)
}

// spareOf returns the exponent by which slow servers get less: 0 at high
// utilization, maxSpare at low.
func (a *Assigner) spareOf(s keys.Service, total float64) float64 {
	sum := 0.0
	for _, id := range a.group(s) {
		sum += a.slots(id)
	}
	if sum == 0 {
		return 0
	}
	return maxSpare * min(max((fullAt-total/sum)/(fullAt-idleAt), 0), 1)
}

// group returns the usable servers of a service in order.
func (a *Assigner) group(s keys.Service) (ids []keys.Server) {
	for id := range a.servers {
		if a.usable(s, id) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// weights returns the load of each server: its observed load plus a small part
// for the width of its ranges, so that keys without load are spread too.
func (a *Assigner) weights(s keys.Service) (of map[keys.Server]float64, total float64) {
	of = make(map[keys.Server]float64)
	rows := a.tables[s]
	base := minLoad / float64(int(MaxKey)+1)
	for _, w := range rows {
		if id := w.next(); id != "" {
			of[id] += base * w.width()
		}
		total += base * w.width()
	}
	if l := a.load[s]; l != nil {
		for k, v := range l.keys {
			total += v
			if id := a.rowOf(s, k).next(); id != "" {
				of[id] += v
			}
		}
	}
	return of, total
}

func (w *row) width() float64 { return float64(int(w.To) - int(w.From) + 1) }

// next returns the server that has the row, or that will have it.
func (w *row) next() keys.Server {
	if w.releasing {
		return w.dest
	}
	return w.Server
}

func (a *Assigner) rowOf(s keys.Service, k Key) *row {
	rows := a.tables[s]
	i, _ := slices.BinarySearchFunc(rows, k, func(w *row, k Key) int {
		switch {
		case w.To < k:
			return -1
		case w.From > k:
			return 1
		}
		return 0
	})
	return rows[i]
}

// divide cuts a table without owners into one range per server.
func (a *Assigner) divide(s keys.Service) {
	ids := a.group(s)
	if len(ids) == 0 {
		return
	}
	n := int(MaxKey) + 1
	var rows []*row
	for i, id := range ids {
		from, to := i*n/len(ids), (i+1)*n/len(ids)-1
		rows = append(rows, &row{Row: Row{From: Key(from), To: Key(to)}, dest: id})
	}
	a.tables[s] = rows
}

// leastLoaded returns the server with the most room for a row.
func (a *Assigner) leastLoaded(s keys.Service, w *row) (best keys.Server) {
	of, _ := a.weights(s)
	least := math.Inf(1)
	for _, id := range a.group(s) {
		// A new run of the same server has taken nothing over and may get it.
		if id == w.Server && w.releasing && a.servers[id].Born == w.Born {
			continue
		}
		if x := of[id] / a.capacity(id); x < least {
			best, least = id, x
		}
	}
	if best != "" {
		w.dest = best // counts as its load from now on
	}
	return best
}

// rebalance starts to move ranges from the most loaded servers to the least, by
// what happens now and by what has lasted.
func (a *Assigner) rebalance(now clock.Time, s keys.Service) {
	ids := a.group(s)
	if len(ids) < 2 || a.outage || now < a.listed.Add(settle) {
		return
	}
	for _, estimates := range []map[keys.Service]*load{a.slow, a.fast} {
		if l := estimates[s]; l != nil {
			l.decay(now)
		}
	}
	// The lasting load decides only while the present one is even: it still
	// shows hot keys that have cooled.
	defer func() { a.load = a.fast }()
	if a.even(s, ids) == 0 {
		a.load = a.slow
		a.even(s, ids)
	}
}

// even starts moves by the current estimate. It returns the number of ranges
// under way.
func (a *Assigner) even(s keys.Service, ids []keys.Server) (moving int) {
	for _, w := range a.tables[s] {
		if w.Server == "" || w.releasing || !w.acked {
			moving++
		}
	}
	of, total := a.weights(s)
	a.spare = a.spareOf(s, total)
	capacity := 0.0
	for _, id := range ids {
		capacity += a.capacity(id)
	}
	mean := total / capacity
	ratio := func(id keys.Server) float64 { return of[id] / a.capacity(id) / mean }
	for ; moving < maxMoves; moving++ {
		hot := slices.MaxFunc(ids, func(x, y keys.Server) int { return cmp.Compare(ratio(x), ratio(y)) })
		idle := slices.MinFunc(ids, func(x, y keys.Server) int { return cmp.Compare(ratio(x), ratio(y)) })
		empty := !a.holds(s, idle)
		if ratio(idle) > 1 || !empty && !a.overloaded(s, hot, of[hot], mean) {
			return moving
		}
		want := min(max(ratio(hot)-leave, 0.25)*a.capacity(hot), (leave-ratio(idle))*a.capacity(idle)) * mean
		w, part := a.piece(s, hot, want)
		if w == nil {
			w, part, idle = a.isolate(s, hot, idle)
		}
		if w == nil && empty {
			w, part = a.half(s, hot)
		}
		if w == nil {
			return moving
		}
		w.dest = idle
		w.leave()
		of[hot] -= part
		of[idle] += part
	}
	return moving
}

// holds reports whether any range is with a server, or on its way there.
func (a *Assigner) holds(s keys.Service, id keys.Server) bool {
	return slices.ContainsFunc(a.tables[s], func(w *row) bool { return w.Server == id || w.releasing && w.dest == id })
}

// overloaded reports whether a server's load is above its share by more than
// chance explains.
func (a *Assigner) overloaded(s keys.Service, id keys.Server, x, mean float64) bool {
	share := a.capacity(id) * mean
	if x < enter*share || x < busyFrom*a.capacity(id) {
		return false
	}
	unit := 0.0
	if l := a.load[s]; l != nil {
		unit = l.unit
	}
	return x-share > doubt*math.Sqrt(x*unit)
}

// piece cuts off the narrowest stretch of a server's keys that has about the
// wanted load. It returns nil if no stretch helps.
func (a *Assigner) piece(s keys.Service, id keys.Server, want float64) (best *row, part float64) {
	l := a.load[s]
	if l == nil || want <= 0 {
		return nil, 0
	}
	rows := 0
	var from, to Key
	width := math.Inf(1)
	for _, w := range a.tables[s] {
		if w.Server != id || !a.movable(w) {
			continue
		}
		rows++
		f, t, sum := l.stretch(w, want)
		if sum >= want/3 && float64(t-f) < width {
			best, from, to, part, width = w, f, t, sum, float64(t-f)
		}
	}
	if best == nil || rows >= maxRows {
		return nil, 0
	}
	return a.cut(s, best, from, to), part
}

// isolate separates a key that alone overloads its server from the others. The
// key goes to a faster server if there is one; else the other keys of its
// server go away, so that they don't wait behind it. It returns the range to
// move and where to.
func (a *Assigner) isolate(s keys.Service, hot, idle keys.Server) (w *row, load float64, dest keys.Server) {
	l := a.load[s]
	if l == nil {
		return nil, 0, idle
	}
	var heavy *row
	var key Key
	for k, v := range l.keys {
		if r := a.rowOf(s, k); r.Server == hot && a.movable(r) && v > load {
			heavy, key, load = r, k, v
		}
	}
	if heavy == nil || load < busyFrom*a.capacity(hot) {
		return nil, 0, idle
	}
	fast := hot
	for _, id := range a.group(s) {
		if a.capacity(id) > a.capacity(fast)*fasterBy {
			fast = id
		}
	}
	if fast != hot && a.heaviest(s, fast) < load/2 {
		return a.cut(s, heavy, key, key), load, fast
	}
	var best *row
	for _, r := range a.tables[s] {
		if r.Server == hot && r != heavy && a.movable(r) && (best == nil || r.width() > best.width()) {
			best = r
		}
	}
	switch {
	case best != nil:
	case key > heavy.From && key-heavy.From >= heavy.To-key:
		best = a.cut(s, heavy, heavy.From, key-1)
	case key < heavy.To:
		best = a.cut(s, heavy, key+1, heavy.To)
	default:
		return nil, 0, idle
	}
	return best, a.loadOf(s, best), idle
}

// heaviest returns the load of a server's heaviest key.
func (a *Assigner) heaviest(s keys.Service, id keys.Server) (x float64) {
	for k, v := range a.load[s].keys {
		if a.rowOf(s, k).next() == id {
			x = max(x, v)
		}
	}
	return x
}

// loadOf returns the load of a row's keys.
func (a *Assigner) loadOf(s keys.Service, w *row) (x float64) {
	for k, v := range a.load[s].keys {
		if k >= w.From && k <= w.To {
			x += v
		}
	}
	return x
}

// movable reports whether a row can be moved for its load. One that has just
// moved stays for a while: each move keeps its requests waiting.
func (a *Assigner) movable(w *row) bool {
	return !w.releasing && w.acked && !w.calling && (w.since == 0 || a.now.Sub(w.since) > stayFor)
}

// half cuts off the upper half of a server's widest range. A server that has
// just joined gets it if there is too little load to choose by.
func (a *Assigner) half(s keys.Service, id keys.Server) (part *row, load float64) {
	var best *row
	for _, w := range a.tables[s] {
		if w.Server == id && a.movable(w) && (best == nil || w.width() > best.width()) {
			best = w
		}
	}
	if best == nil || best.From == best.To {
		return nil, 0
	}
	mid := best.From + (best.To-best.From)/2 + 1
	return a.cut(s, best, mid, best.To), minLoad * float64(best.To-mid) / float64(MaxKey)
}

// stretch returns the narrowest run of loaded keys of a row with at least the
// wanted load, or all but the heaviest key if one alone has more.
func (l *load) stretch(w *row, want float64) (from, to Key, sum float64) {
	var ks []Key
	for k := range l.keys {
		if k >= w.From && k <= w.To {
			ks = append(ks, k)
		}
	}
	slices.Sort(ks)
	best := math.Inf(1)
	lo, acc := 0, 0.0
	for _, k := range ks {
		acc += l.keys[k]
		for acc-l.keys[ks[lo]] >= want {
			acc -= l.keys[ks[lo]]
			lo++
		}
		// A run with far more than is wanted would only swap the roles.
		if acc < want*0.6 || acc > want*1.5 {
			continue
		}
		if d := float64(k - ks[lo]); d < best {
			best, from, to, sum = d, ks[lo], k, acc
		}
	}
	return from, to, sum
}

// cut splits a row so that the range from..to has a row of its own.
func (a *Assigner) cut(s keys.Service, w *row, from, to Key) *row {
	rows := a.tables[s]
	i := slices.Index(rows, w)
	parts := make([]*row, 0, 3)
	if from > w.From {
		left := *w
		left.To = from - 1
		parts = append(parts, &left)
	}
	mid := *w
	mid.From, mid.To = from, to
	parts = append(parts, &mid)
	if to < w.To {
		right := *w
		right.From = to + 1
		parts = append(parts, &right)
	}
	a.tables[s] = slices.Replace(rows, i, i+1, parts...)
	return &mid
}

// merge joins neighbours with the same owner and fence.
func (a *Assigner) merge(s keys.Service) {
	rows := a.tables[s]
	out := rows[:0]
	for _, w := range rows {
		if n := len(out); n > 0 && out[n-1].joins(w) {
			p := out[n-1]
			p.To = w.To
			p.heldUntil, p.lateUntil = max(p.heldUntil, w.heldUntil), max(p.lateUntil, w.lateUntil)
			p.callAt = min(p.callAt, w.callAt)
			continue
		}
		out = append(out, w)
	}
	clear(rows[len(out):])
	a.tables[s] = out
}

func (w *row) joins(o *row) bool {
	return w.Server != "" && w.Server == o.Server && w.Born == o.Born && w.Fence == o.Fence &&
		w.acked && o.acked && !w.calling && !o.calling && !w.releasing && !o.releasing &&
		w.silent == 0 && o.silent == 0 && w.recorded == o.recorded
}
