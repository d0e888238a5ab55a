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

// TestMain sets defaults before the flags are parsed: with a fixed seed each
// run gives the same verdict. A longer run:
// go test ./internal/limit -rapid.checks=20000 -rapid.steps=100 -rapid.seed=7
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"seed": "1", "checks": "500", "nofailfile": "true"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

type lineKey struct {
	class  Class
	caller string
}

// oracle knows which requests wait and run, from verdicts and actions only.
type oracle struct {
	*rapid.T
	s        *State
	cfg      Config
	now      clock.Time
	reqs     map[uint64]Request // waiting or running
	running  map[uint64]bool
	queued   map[lineKey][]uint64
	overtook map[lineKey]map[string]int // starts of others while a caller waits
	lastID   uint64
}

// count returns how many requests of class c run or wait.
func (o *oracle) count(c Class, running bool) (n int) {
	for id, r := range o.reqs {
		if r.Class == c && o.running[id] == running {
			n++
		}
	}
	return n
}

func (o *oracle) runs(c Class) int    { return o.count(c, true) }
func (o *oracle) waiting(c Class) int { return o.count(c, false) }

func (o *oracle) started(id uint64) {
	r, ok := o.reqs[id]
	if !ok || o.running[id] {
		o.Fatalf("request %d started twice or unknown", id)
	}
	if r.Deadline != 0 && !o.now.Before(r.Deadline) {
		o.Fatalf("request %d started after its deadline", id)
	}
	o.running[id] = true
	slots := o.s.Slots(o.now)
	if n := len(o.running); n > slots || slots > o.cfg.Slots {
		o.Fatalf("%d running, %d slots", n, slots)
	}
	if r.Class == Bulk {
		if n := o.runs(Bulk); n > max(1, int(o.cfg.BulkShare*float64(slots))) {
			o.Fatalf("%d bulk requests run in %d slots", n, slots)
		}
		if o.waiting(Interactive) > 0 {
			o.Fatalf("bulk request %d started while interactive requests wait", id)
		}
	}
	k := lineKey{r.Class, r.Caller}
	delete(o.overtook, k)
	for other, ids := range o.queued {
		if other.class != k.class || other.caller == k.caller || len(ids) == 0 {
			continue
		}
		if o.overtook[other] == nil {
			o.overtook[other] = make(map[string]int)
		}
		// One start in the current round and one in the next.
		if o.overtook[other][k.caller]++; o.overtook[other][k.caller] > 2 {
			o.Fatalf("%v overtook %v three times", k, other)
		}
	}
}

func (o *oracle) dequeue(id uint64) (position int) {
	k := lineKey{o.reqs[id].Class, o.reqs[id].Caller}
	i := slices.Index(o.queued[k], id)
	if i < 0 {
		o.Fatalf("request %d is not queued", id)
	}
	if o.queued[k] = slices.Delete(o.queued[k], i, i+1); len(o.queued[k]) == 0 {
		delete(o.overtook, k)
	}
	return i
}

func (o *oracle) apply(acts []Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case Start:
			if o.dequeue(a.ID) != 0 {
				o.Fatalf("request %d started before an earlier one of its caller", a.ID)
			}
			o.started(a.ID)
		case Refuse:
			if a.Reason == answer.DeadlineTooNear && o.waiting(o.reqs[a.ID].Class) < 2 {
				o.Fatalf("request %d was given up although no other waits for the slot", a.ID)
			}
			o.refused(o.reqs[a.ID], a.Reason)
			o.dequeue(a.ID)
			delete(o.reqs, a.ID)
		}
	}
}

func (o *oracle) refused(r Request, reason answer.Reason) {
	slots, full := o.s.Slots(o.now), o.waiting(0)+o.waiting(1) >= o.cfg.Slots*o.cfg.QueuePerSlot
	ok := false
	switch reason {
	case answer.DeadlinePassed:
		ok = r.Deadline != 0 && !o.now.Before(r.Deadline)
	case answer.DeadlineTooNear:
		ok = r.Deadline != 0 && (o.waiting(r.Class) > 0 || len(o.running) >= slots || r.Class == Bulk)
	case answer.QueueFull:
		ok = full
	case answer.Draining:
		ok = true
	}
	if !ok {
		o.Fatalf("request %+v refused with %v", r, reason)
	}
}

func (o *oracle) offer(t *rapid.T) {
	o.lastID++
	r := Request{
		ID: o.lastID, Class: Class(rapid.IntRange(0, 1).Draw(t, "class")),
		Caller: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "caller"),
	}
	if d := rapid.IntRange(0, 120).Draw(t, "deadline"); d > 0 {
		r.Deadline = o.now.Add(clock.Span(d))
	}
	v, acts := o.s.Offer(o.now, r)
	o.apply(acts)
	switch v.Decision {
	case Started:
		if o.waiting(r.Class) > 0 {
			o.Fatalf("request %d passed the queue of its class", r.ID)
		}
		o.reqs[r.ID] = r
		o.started(r.ID)
	case Queued:
		o.reqs[r.ID] = r
		k := lineKey{r.Class, r.Caller}
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
	res := Result{Shed: rapid.IntRange(0, 5).Draw(t, "shed") == 0, Took: clock.Span(rapid.IntRange(0, 30).Draw(t, "took"))}
	delete(o.running, id)
	delete(o.reqs, id)
	o.apply(o.s.Done(o.now, id, res))
	o.apply(o.s.Done(o.now, id, res)) // the second call must have no effect
}

// check compares the counts and that no slot stays free for a request that
// could use it, which also means that no request is lost.
func (o *oracle) check(*rapid.T) {
	if o.s.Running() != len(o.running) || o.s.Waiting() != o.waiting(0)+o.waiting(1) {
		o.Fatalf("running %d, waiting %d; the oracle has %d, %v", o.s.Running(), o.s.Waiting(), len(o.running), o.queued)
	}
	if n := o.s.Waiting(); n > o.cfg.Slots*o.cfg.QueuePerSlot {
		o.Fatalf("%d requests wait", n)
	}
	slots := o.s.Slots(o.now)
	bulkFree := o.waiting(Bulk) > 0 && o.runs(Bulk) < max(1, int(o.cfg.BulkShare*float64(slots)))
	if len(o.running) < slots && (o.waiting(Interactive) > 0 || bulkFree) {
		o.Fatalf("%d of %d slots in use while requests wait", len(o.running), slots)
	}
}

// Guards against more requests in flight than slots, a broken bulk share,
// requests that are lost or start twice, reordered requests of one caller,
// callers and interactive requests that starve, and baseless refusals.
func TestAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := Config{
			Slots: rapid.SampledFrom([]int{1, 2, 6}).Draw(t, "slots"), QueuePerSlot: rapid.IntRange(1, 4).Draw(t, "queue"),
			BulkShare: rapid.SampledFrom([]float64{0, 0.34, 0.5, 1}).Draw(t, "share"), Ramp: 100, Regrow: 40,
		}
		o := &oracle{
			T: t, s: New(cfg), cfg: cfg, reqs: make(map[uint64]Request), running: make(map[uint64]bool),
			queued: make(map[lineKey][]uint64), overtook: make(map[lineKey]map[string]int),
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer":  o.offer,
			"offer2": o.offer, // as likely as all other steps together
			"offer3": o.offer,
			"done":   o.done,
			"cancel": func(t *rapid.T) {
				id := o.draw(t, false)
				o.dequeue(id)
				delete(o.reqs, id)
				removed, acts := o.s.Cancel(o.now, id)
				if !removed {
					t.Fatalf("queued request %d was not removed", id)
				}
				o.apply(acts)
			},
			"advance": func(t *rapid.T) {
				o.now = o.now.Add(clock.Span(rapid.IntRange(1, 60).Draw(t, "ms")))
				o.apply(o.s.Expire(o.now))
			},
			"cold": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
					o.s.Cold(o.now)
				}
			},
			"": o.check,
		})
		o.apply(o.s.Drain(answer.ReasonNone))
		if o.s.Waiting() != 0 || o.waiting(0)+o.waiting(1) != 0 {
			t.Fatalf("requests wait after Drain")
		}
	})
}
