package limit

import (
	"flag"
	"os"
	"slices"
	"testing"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"pgregory.net/rapid"
)

// TestMain sets defaults of rapid's flags before they are parsed. The fixed seed
// makes runs reproducible. A longer run:
//
//	go test ./internal/limit -rapid.checks=20000 -rapid.steps=100 -rapid.seed=7
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"seed": "1", "checks": "500", "nofailfile": "true"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// queueKey identifies the queued requests of one caller in one lane of a class.
type queueKey struct {
	class    Class
	streamed bool
	caller   string
}

func keyOf(r Request) queueKey { return queueKey{r.Class, r.Streamed, r.Caller} }

// oracle tracks the queued and running requests from the verdicts and actions
// alone.
type oracle struct {
	*rapid.T
	s         *State
	cfg       Config
	now       clock.Time
	reqs      map[uint64]Request // queued or running
	running   map[uint64]bool
	queued    map[queueKey][]uint64
	overtakes map[queueKey]map[string]int // starts of other callers of the lane since this one was last served
	streamed  [numClasses]bool            // whether the last request that started was
	lastID    uint64
}

// count returns the number of requests of class c that are running or queued.
func (o *oracle) count(c Class, running bool) (n int) {
	for id, r := range o.reqs {
		if r.Class == c && o.running[id] == running {
			n++
		}
	}
	return n
}

func (o *oracle) runningCount(c Class) int { return o.count(c, true) }
func (o *oracle) queuedCount(c Class) int  { return o.count(c, false) }

func (o *oracle) started(id uint64) {
	r, ok := o.reqs[id]
	if !ok || o.running[id] {
		o.Fatalf("request %d is unknown or was started twice", id)
	}
	if r.Deadline != 0 && !o.now.Before(r.Deadline) {
		o.Fatalf("request %d started after its deadline", id)
	}
	o.running[id] = true
	slots := o.s.Slots(o.now)
	if n := len(o.running); n > slots || slots > o.cfg.Slots {
		o.Fatalf("%d requests are running in %d effective slots", n, slots)
	}
	if r.Class == Bulk {
		if n := o.runningCount(Bulk); n > max(1, int(o.cfg.BulkShare*float64(slots))) {
			o.Fatalf("%d bulk requests are running in %d slots, more than the bulk share", n, slots)
		}
		if o.queuedCount(Interactive) > 0 {
			o.Fatalf("bulk request %d started while interactive requests are queued", id)
		}
	}
	k := keyOf(r)
	delete(o.overtakes, k)
	for other, ids := range o.queued {
		if other.class == k.class && other.streamed != k.streamed && len(ids) > 0 && o.streamed[k.class] == k.streamed {
			o.Fatalf("%v was served twice in succession while %v was queued", k, other)
		}
	}
	o.streamed[k.class] = k.streamed
	for other, ids := range o.queued {
		if other.class != k.class || other.streamed != k.streamed || other.caller == k.caller || len(ids) == 0 {
			continue
		}
		if o.overtakes[other] == nil {
			o.overtakes[other] = make(map[string]int)
		}
		// Two starts are allowed: one in the current round, one in the next.
		if o.overtakes[other][k.caller]++; o.overtakes[other][k.caller] > 2 {
			o.Fatalf("%v was served three times while %v was queued", k, other)
		}
	}
}

func (o *oracle) dequeue(id uint64) (position int) {
	k := keyOf(o.reqs[id])
	i := slices.Index(o.queued[k], id)
	if i < 0 {
		o.Fatalf("request %d is not queued", id)
	}
	if o.queued[k] = slices.Delete(o.queued[k], i, i+1); len(o.queued[k]) == 0 {
		delete(o.overtakes, k)
	}
	return i
}

func (o *oracle) apply(acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case Start:
			if o.dequeue(a.ID) != 0 {
				o.Fatalf("request %d started before an earlier request of its caller", a.ID)
			}
			o.started(a.ID)
		case Refuse:
			if a.Reason == answer.DeadlineTooNear && o.queuedCount(o.reqs[a.ID].Class) < 2 {
				o.Fatalf("request %d was refused as too late although no other is queued for the slot", a.ID)
			}
			o.refused(o.reqs[a.ID], a.Reason)
			o.dequeue(a.ID)
			delete(o.reqs, a.ID)
		}
	}
}

func (o *oracle) refused(r Request, reason answer.Reason) {
	slots, full := o.s.Slots(o.now), o.queuedCount(0)+o.queuedCount(1) >= o.cfg.Slots*o.cfg.QueuePerSlot
	ok := false
	switch reason {
	case answer.DeadlinePassed:
		ok = r.Deadline != 0 && !o.now.Before(r.Deadline)
	case answer.DeadlineTooNear:
		ok = r.Deadline != 0 && (o.queuedCount(r.Class) > 0 || len(o.running) >= slots || r.Class == Bulk)
	case answer.QueueFull:
		ok = full
	case answer.Draining:
		ok = true
	}
	if !ok {
		o.Fatalf("request %+v refused with %v, which does not apply", r, reason)
	}
}

func (o *oracle) offer(t *rapid.T) {
	o.lastID++
	r := Request{
		ID: o.lastID, Class: Class(rapid.IntRange(0, 1).Draw(t, "class")),
		Caller: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"), Streamed: rapid.Bool().Draw(t, "streamed"),
	}
	if d := rapid.IntRange(0, 120).Draw(t, "deadline"); d > 0 {
		r.Deadline = o.now.Add(clock.Span(d))
	}
	v, acts := o.s.Offer(o.now, r)
	o.apply(acts)
	switch v.Decision {
	case Started:
		if o.queuedCount(r.Class) > 0 {
			o.Fatalf("request %d started before the queued requests of its class", r.ID)
		}
		o.reqs[r.ID] = r
		o.started(r.ID)
	case Queued:
		o.reqs[r.ID] = r
		k := keyOf(r)
		o.queued[k] = append(o.queued[k], r.ID)
	case Refused:
		o.refused(r, v.Reason)
	}
}

func (o *oracle) draw(t *rapid.T, running bool) uint64 {
	var ids []uint64
	for id := range o.reqs {
		if o.running[id] == running {
			ids = append(ids, id)
		}
	}
	if len(ids) == 0 {
		t.Skip("none")
	}
	slices.Sort(ids)
	return rapid.SampledFrom(ids).Draw(t, "id")
}

func (o *oracle) done(t *rapid.T) {
	id := o.draw(t, true)
	res := Result{Shed: rapid.IntRange(0, 5).Draw(t, "shed") == 0, ServiceTime: clock.Span(rapid.IntRange(0, 30).Draw(t, "took"))}
	delete(o.running, id)
	delete(o.reqs, id)
	o.apply(o.s.Done(o.now, id, res))
	o.apply(o.s.Done(o.now, id, res)) // a repeated call must have no effect
}

// check compares the counts and verifies that no slot is free while a request is
// queued that may use it. This also detects lost requests.
func (o *oracle) check(*rapid.T) {
	if o.s.Running() != len(o.running) || o.s.Waiting() != o.queuedCount(0)+o.queuedCount(1) {
		o.Fatalf("running %d, queued %d; the oracle has %d, %v", o.s.Running(), o.s.Waiting(), len(o.running), o.queued)
	}
	if n := o.s.Waiting(); n > o.cfg.Slots*o.cfg.QueuePerSlot {
		o.Fatalf("%d requests are queued, more than the queue holds", n)
	}
	slots := o.s.Slots(o.now)
	bulkFree := o.queuedCount(Bulk) > 0 && o.runningCount(Bulk) < max(1, int(o.cfg.BulkShare*float64(slots)))
	if len(o.running) < slots && (o.queuedCount(Interactive) > 0 || bulkFree) {
		o.Fatalf("%d of %d slots are in use while requests are queued", len(o.running), slots)
	}
}

// Guards against more requests in flight than slots, an exceeded bulk share,
// requests that are lost or start twice, reordering of the requests of one
// caller, starvation of callers and of interactive requests, and refusals for a
// reason that does not apply.
func TestAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{
			Slots: rapid.SampledFrom([]int{1, 2, 6}).Draw(t, "slots"), QueuePerSlot: rapid.IntRange(1, 4).Draw(t, "queue"),
			BulkShare: rapid.SampledFrom([]float64{0, 0.34, 0.5, 1}).Draw(t, "share"), Warmup: 100, SlotRecovery: 40,
		}
		o := &oracle{
			T: t, s: New(cfg), cfg: cfg, reqs: make(map[uint64]Request), running: make(map[uint64]bool),
			queued: make(map[queueKey][]uint64), overtakes: make(map[queueKey]map[string]int),
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer":  o.offer,
			"offer2": o.offer, // repeated, so that three of the seven steps are offers
			"offer3": o.offer,
			"done":   o.done,
			"cancel": func(t *rapid.T) {
				id := o.draw(t, false)
				o.dequeue(id)
				delete(o.reqs, id)
				removed, acts := o.s.Cancel(o.now, id)
				if !removed {
					t.Fatalf("Cancel did not remove the queued request %d", id)
				}
				o.apply(acts)
			},
			"advance": func(t *rapid.T) {
				o.now = o.now.Add(clock.Span(rapid.IntRange(1, 60).Draw(t, "ms")))
				o.apply(o.s.Expire(o.now))
			},
			"cold": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
					o.s.StartWarmup(o.now)
				}
			},
			"": o.check,
		})
		o.apply(o.s.Drain(answer.ReasonNone))
		if o.s.Waiting() != 0 || o.queuedCount(0)+o.queuedCount(1) != 0 {
			t.Fatalf("requests are queued after Drain")
		}
	})
}
