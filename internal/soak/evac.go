package soak

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/platform"
	"github.com/laburnummux/laburnummux/platform/fakes"
)

const (
	// evacTimeout is bounds.evac of the hosts. evacSlack is the delay that a lack of
	// processor time may add.
	evacTimeout = 3 * clock.Second
	evacSlack   = 500 * clock.Millisecond
	// evacuationsFrom is the first seed whose plan evacuates a data centre. Lower ones
	// keep the plans and data centres with which some of them have failed.
	evacuationsFrom = 300
	// maxEvacGap is the longest time between two evacuations.
	maxEvacGap = 6 * clock.Second
	// evacuatedDC is the data centre of the servers that are evacuated.
	evacuatedDC = "south"
)

// hasEvacuations reports whether a plan evacuates a data centre.
func hasEvacuations(seed uint64) bool { return seed >= evacuationsFrom }

// dcOf returns the data centre of a server: each service has servers in both.
func dcOf(seed uint64, server int) string {
	if hasEvacuations(seed) && server%4 >= 2 {
		return evacuatedDC
	}
	return "north"
}

// planEvacuations returns the steps that evacuate a data centre, one after the other.
func planEvacuations(seed uint64, length clock.Span) (steps []Step) {
	if !hasEvacuations(seed) {
		return nil
	}
	r := rand.New(rand.NewPCG(^seed, seed))
	between := func(lo, hi clock.Span) clock.Span { return lo + clock.Span(r.Int64N(int64(hi-lo)+1)) }
	for at := clock.Time(0).Add(startDelay + between(0, maxEvacGap)); at < clock.Time(0).Add(length); {
		s := Step{Kind: Evacuate, At: at, Duration: evacTimeout + between(minFaultTime, maxFaultTime), Mode: Delay, Count: 1}
		steps = append(steps, s)
		at = s.End().Add(between(minFaultTime, maxEvacGap))
	}
	return steps
}

// evacuate writes or removes the entry that evacuates a data centre.
func (d *deployment) evacuate(on bool) {
	d.oracle.evacuate(on)
	if on {
		d.store.Put(platform.KindEvacuations, evacuatedDC, json.RawMessage("{}"))
		return
	}
	d.store.Remove(platform.KindEvacuations, evacuatedDC)
}

// evacuate records that the data centre is about to be evacuated, or no longer is.
func (o *oracle) evacuate(on bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.evacuatedSince = time.Time{}
	if on {
		o.evacuatedSince = time.Now()
	}
}

// checkEvacuated checks a request that starts on a server.
func (o *oracle) checkEvacuated(sv *server, ev fakes.Started) {
	if sv.dc != evacuatedDC || o.evacuatedSince.IsZero() {
		return
	}
	if d := time.Since(o.evacuatedSince); d > (evacTimeout+evacSlack).Std() && o.faultFree(d+faultFreeTime.Std()) {
		o.addViolation(Evacuated, "%s started on %s %v after its data centre was evacuated", ev.AttemptID, sv.id, d)
	}
}
