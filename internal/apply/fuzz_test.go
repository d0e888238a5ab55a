package apply

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/internal/store"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that every run checks the same cases. Another one
// can be given with -rapid.seed.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20260412", "rapid.checks": "600", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// sitesWith returns two sites that state the same slots, so that a mixed
// revision shows.
func sitesWith(slots, weight int) map[keys.DataCentre]config.Config {
	sites := make(map[keys.DataCentre]config.Config)
	for _, site := range []keys.DataCentre{"n", "m"} {
		doc, _ := config.Parse("", fmt.Appendf(nil, `{"site": %q, "services": {"s": {"keyed": true, "path": "/s/{key}",
			"operations": {"get": {"method": "GET"}}, "dataCentres": {"n": {"weight": 1}, "m": {"weight": %d}},
			"server": {"slots": %d, "connections": 60}}}}`, site, weight, slots))
		cfg, probs := doc.Config()
		if err := probs.Err(); err != nil {
			panic(err)
		}
		sites[site] = cfg
	}
	return sites
}

var allSites = make(map[[2]int]map[keys.DataCentre]config.Config)

// sites returns the same as sitesWith, parsed once.
func sites(slots, weight int) map[keys.DataCentre]config.Config {
	k := [2]int{slots, weight}
	if allSites[k] == nil {
		allSites[k] = sitesWith(slots, weight)
	}
	return allSites[k]
}

func slotsOf(r config.Revision) (n int) {
	for _, site := range r.Sites() {
		c, _ := r.Site(site)
		s, _ := c.Service("s")
		n = 1000*n + s.Server().Slots()
	}
	return n
}

// operator is a request on its way. Its author is unique in a run.
type operator struct {
	req  Request
	at   *Attempt
	act  Action
	done *Result
}

type pending struct {
	w  Write
	by string
}

// entry is a write of the current object that took effect.
type entry struct {
	rev   config.Revision
	bytes []byte
	by    string
}

// model is the store, the operators and the hosts.
type model struct {
	*rapid.T
	objects map[string]store.Object
	version uint64
	outage  bool
	late    []pending // writes that may still take effect
	ops     []*operator
	history []entry
	hosts   [3]config.Revision
}

// put carries out a conditional write.
func (m *model) put(w Write, by string) bool {
	if m.objects[w.Name].Version() != w.IfVersion {
		return false
	}
	m.version++
	m.objects[w.Name] = store.NewObject(w.Name, m.version, w.Value)
	if w.Name == CurrentObject {
		rev, err := config.DecodeRevision(w.Value)
		if err != nil {
			m.Fatal(err)
		}
		m.stored(entry{rev, w.Value, by})
	}
	return true
}

// stored checks a revision when it takes effect.
func (m *model) stored(e entry) {
	var last config.Revision
	if n := len(m.history); n > 0 {
		last = m.history[n-1].rev
	}
	if e.rev.Number() != last.Number()+1 {
		m.Fatalf("revision %d follows %d", e.rev.Number(), last.Number())
	}
	if e.rev.Author() != e.by || slices.ContainsFunc(m.history, func(o entry) bool { return o.by == e.by }) {
		m.Fatalf("revision %d is by %s, written by %s", e.rev.Number(), e.rev.Author(), e.by)
	}
	i := slices.IndexFunc(m.ops, func(o *operator) bool { return o.req.Author == e.by })
	if req := m.ops[i].req; (req.Kind == Replace || req.Kind == Rollback) && req.From != last.Number() {
		m.Fatalf("revision %d was planned from %d", e.rev.Number(), req.From)
	}
	want, drains := slotsOf(last), slices.Clone(last.Drains())
	switch req := m.ops[i].req; req.Kind {
	case Replace:
		want = 0
		for range req.Sites {
			s, _ := req.Sites["n"].Service("s")
			want = 1000*want + s.Server().Slots()
		}
	case Rollback:
		want = slotsOf(m.history[req.To-1].rev)
	case Drain:
		drains = append(drains, req.Server)
	case Undrain:
		drains = slices.DeleteFunc(drains, func(s keys.Server) bool { return s == req.Server })
	}
	if len(drains) > len(last.Drains()) && len(drains) == 2 && !slices.Contains(m.ops[i].req.Override, LastServer) {
		m.Fatalf("revision %d drains the last server without a confirmation", e.rev.Number())
	}
	slices.Sort(drains)
	if slotsOf(e.rev) != want || !slices.Equal(slices.Compact(drains), e.rev.Drains()) {
		m.Fatalf("revision %d by %s mixes changes: slots %d, want %d; drains %v, want %v",
			e.rev.Number(), e.by, slotsOf(e.rev), want, e.rev.Drains(), drains)
	}
	m.history = append(m.history, e)
}

func (m *model) newOperator() {
	req := Request{
		Kind: Kind(rapid.IntRange(0, 3).Draw(m.T, "kind")), Author: fmt.Sprintf("op%d", len(m.ops)), Time: time.Unix(int64(len(m.ops)), 0),
		Server: keys.Server(rapid.SampledFrom([]string{"x", "y"}).Draw(m.T, "server")),
	}
	slots, weight := rapid.SampledFrom([]int{1, 4, 5, 6, 7}).Draw(m.T, "slots"), 1
	if rapid.IntRange(0, 9).Draw(m.T, "layout") == 9 {
		weight = 2
	}
	n := uint64(len(m.history))
	req.Sites = sites(slots, weight)
	req.From = n - min(n, uint64(max(0, rapid.IntRange(-4, 1).Draw(m.T, "stale"))))
	req.To = 1 + uint64(rapid.IntRange(0, int(n)).Draw(m.T, "to"))
	req.Peers = slices.DeleteFunc([]keys.Server{"x", "y"}, func(s keys.Server) bool { return s == req.Server })
	if rapid.Bool().Draw(m.T, "override") {
		req.Override = []string{"slots-lowered", LastServer}
	}
	o := &operator{req: req, at: New(req)}
	o.act = o.at.Start()
	m.ops = append(m.ops, o)
}

// first puts revision 1 in force.
func (m *model) first() {
	req := Request{Author: "op0", Sites: sites(4, 1), Time: time.Unix(0, 0)}
	_, next := decide(base{}, req, nil, nil)
	b, err := config.EncodeRevision(next)
	if err != nil {
		m.Fatal(err)
	}
	m.ops = append(m.ops, &operator{req: req})
	m.put(Write{Name: CurrentObject, Value: b}, req.Author)
}

// step lets one open request go on, with a result that the store may give.
func (m *model) step() {
	var open []*operator
	for _, o := range m.ops {
		if o.act != nil {
			open = append(open, o)
		}
	}
	if len(open) == 0 {
		return
	}
	o := open[rapid.IntRange(0, len(open)-1).Draw(m.T, "operator")]
	fate := 29 - rapid.IntRange(0, 29).Draw(m.T, "fate") // rapid prefers low numbers
	switch act := o.act.(type) {
	case Read:
		m.answer(o, m.read(act, fate))
	case Write:
		m.answer(o, m.write(act, o.req.Author, fate))
	}
}

func (m *model) read(r Read, fate int) Event {
	obj, ok := m.objects[r.Name]
	switch {
	case fate == 0:
		return Expired{}
	case fate == 1 || m.outage:
		return ReadDone{Err: store.ErrUnavailable}
	case !ok:
		return ReadDone{Err: store.ErrNotFound}
	}
	return ReadDone{Object: obj}
}

func (m *model) write(w Write, by string, fate int) Event {
	switch {
	case fate <= 2: // on its way, perhaps for long
		m.late = append(m.late, pending{w, by})
		if fate == 0 {
			return Expired{}
		}
		return WriteDone{store.ErrUnsure}
	case fate == 3:
		return WriteDone{store.ErrUnsure} // lost on the way
	case fate == 4 || m.outage:
		return WriteDone{store.ErrUnavailable}
	}
	ok := m.put(w, by)
	switch {
	case fate <= 7:
		return WriteDone{store.ErrUnsure} // the answer is lost
	case !ok:
		return WriteDone{store.ErrConflict}
	}
	return WriteDone{}
}

func (m *model) answer(o *operator, ev Event) {
	if o.act = o.at.Step(ev); o.act == nil {
		m.Fatal("no action")
	}
	if d, ok := o.act.(Done); ok {
		o.act, o.done = nil, &d.Result
		m.check(o)
	}
}

// check compares an answer with what the store has. It is repeated at the end,
// when no write is on its way any more.
func (m *model) check(o *operator) {
	i := slices.IndexFunc(m.history, func(e entry) bool { return e.by == o.req.Author })
	switch res := *o.done; {
	case res.Outcome == Unknown:
	case res.Outcome == Accepted && (i < 0 || m.history[i].rev.Number() != res.Revision.Number):
		m.Fatalf("%s was told accepted, but revision %d isn't stored", o.req.Author, res.Revision.Number)
	case res.Outcome != Accepted && i >= 0:
		m.Fatalf("%s was told %s, but revision %d is stored", o.req.Author, res.Outcome, m.history[i].rev.Number())
	case res.Outcome == Raced && (res.Revision.Number <= o.req.From || m.history[res.Revision.Number-1].by != res.Revision.Author):
		m.Fatalf("%s was told %+v, which is wrong", o.req.Author, res)
	case res.Outcome == Raced && res.Revision.Author == o.req.Author:
		m.Fatalf("%s was raced by itself", o.req.Author)
	case res.Outcome == Held && len(o.req.Override) > 0:
		m.Fatalf("%s is held in spite of the confirmation", o.req.Author)
	}
}

// deliver brings any revision, old or new, to a host.
func (m *model) deliver() {
	if len(m.history) == 0 {
		return
	}
	h := rapid.IntRange(0, len(m.hosts)-1).Draw(m.T, "host")
	got := m.history[rapid.IntRange(0, len(m.history)-1).Draw(m.T, "delivered")].rev
	before := m.hosts[h].Number()
	if Newer(m.hosts[h], got) {
		m.hosts[h] = got
	}
	if m.hosts[h].Number() < before {
		m.Fatalf("host %d went from revision %d to %d", h, before, m.hosts[h].Number())
	}
}

func (m *model) land() {
	if len(m.late) == 0 || m.outage {
		return
	}
	i := rapid.IntRange(0, len(m.late)-1).Draw(m.T, "late")
	p := m.late[i]
	m.late = slices.Delete(m.late, i, i+1)
	m.put(p.w, p.by)
}

// finish checks what holds when nothing is on its way.
func (m *model) finish(outcomes *[Unknown + 1]int) {
	for _, p := range m.late {
		m.put(p.w, p.by)
	}
	for _, o := range m.ops {
		if o.done != nil {
			m.check(o)
			outcomes[o.done.Outcome]++
		}
	}
	for i, e := range m.history[:max(0, len(m.history)-1)] {
		if a := m.objects[ArchiveObject(uint64(i+1))]; !bytes.Equal(a.Value(), e.bytes) {
			m.Fatalf("revision %d was replaced without a copy", e.rev.Number())
		}
	}
}

// Guards against an accepted revision that is lost, mixed with another or
// announced wrongly: operators race, writes have unknown results or take
// effect late, the store is down, and operators' hosts are lost on the way.
func TestAttempts(t *testing.T) {
	var outcomes [Unknown + 1]int
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{T: rt, objects: make(map[string]store.Object)}
		if rapid.IntRange(0, 9).Draw(rt, "empty") > 0 {
			m.first()
		}
		for range rapid.IntRange(50, 200).Draw(rt, "steps") {
			switch n := rapid.IntRange(0, 19).Draw(rt, "what"); {
			case n >= 17 && len(m.ops) < 20:
				m.newOperator()
			case n == 16:
				m.land()
			case n == 15:
				m.deliver()
			case n == 14:
				m.outage = rapid.IntRange(0, 5).Draw(rt, "outage") == 5
			case n == 13 && rapid.IntRange(0, 3).Draw(rt, "lose") == 0 && len(m.ops) > 0:
				m.ops[rapid.IntRange(0, len(m.ops)-1).Draw(rt, "lost")].act = nil // its host is lost
			case n == 12 && rapid.IntRange(0, 3).Draw(rt, "restart") == 0:
				m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(rt, "restarted")] = config.Revision{}
			default:
				m.step()
			}
		}
		m.finish(&outcomes)
	})
	for o, n := range outcomes {
		t.Logf("%s: %d", Outcome(o), n)
		if n == 0 {
			t.Errorf("no request was answered %s; the run doesn't cover it", Outcome(o))
		}
	}
}
