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

// TestMain sets a fixed seed, so that every run checks the same cases. The flag
// -rapid.seed sets another one.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20260412", "rapid.checks": "600", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// parseSites returns two sites with the same number of slots, so that a
// revision that mixes two configurations can be detected.
func parseSites(slots, weight int) map[keys.DataCentre]config.Config {
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

var sitesCache = make(map[[2]int]map[keys.DataCentre]config.Config)

// sites returns the cached result of parseSites.
func sites(slots, weight int) map[keys.DataCentre]config.Config {
	k := [2]int{slots, weight}
	if sitesCache[k] == nil {
		sitesCache[k] = parseSites(slots, weight)
	}
	return sitesCache[k]
}

func slotsOfSites(r config.Revision) (n int) {
	for _, site := range r.Sites() {
		c, _ := r.Site(site)
		s, _ := c.Service("s")
		n = 1000*n + s.Server().Slots()
	}
	return n
}

// operator is an operator with one request. Its author is unique in a run.
type operator struct {
	req     Request
	attempt *Attempt
	action  Action
	result  *Result
}

type delayedWrite struct {
	write  Write
	author string
}

// storedWrite is a write of CurrentObject that has taken effect.
type storedWrite struct {
	rev    config.Revision
	bytes  []byte
	author string
}

// model simulates the store, the operators and the hosts.
type model struct {
	*rapid.T
	objects   map[string]store.Object
	version   uint64
	outage    bool
	delayed   []delayedWrite // writes that may still take effect
	operators []*operator
	history   []storedWrite
	hosts     [3]config.Revision
}

// applyWrite carries out a conditional write.
func (m *model) applyWrite(w Write, author string) bool {
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
		m.checkStored(storedWrite{rev, w.Value, author})
	}
	return true
}

// checkStored checks a revision when it is stored and adds it to the history.
func (m *model) checkStored(e storedWrite) {
	var last config.Revision
	if n := len(m.history); n > 0 {
		last = m.history[n-1].rev
	}
	if e.rev.Number() != last.Number()+1 {
		m.Fatalf("revision %d follows %d", e.rev.Number(), last.Number())
	}
	if e.rev.Author() != e.author || slices.ContainsFunc(m.history, func(o storedWrite) bool { return o.author == e.author }) {
		m.Fatalf("revision %d is by %s, written by %s", e.rev.Number(), e.rev.Author(), e.author)
	}
	i := slices.IndexFunc(m.operators, func(o *operator) bool { return o.req.Author == e.author })
	if req := m.operators[i].req; (req.Kind == Replace || req.Kind == Rollback) && req.PlannedFrom != last.Number() {
		m.Fatalf("revision %d was planned from %d", e.rev.Number(), req.PlannedFrom)
	}
	want, drains := slotsOfSites(last), slices.Clone(last.Drains())
	switch req := m.operators[i].req; req.Kind {
	case Replace:
		want = 0
		for range req.Sites {
			s, _ := req.Sites["n"].Service("s")
			want = 1000*want + s.Server().Slots()
		}
	case Rollback:
		want = slotsOfSites(m.history[req.RollbackTo-1].rev)
	case Drain:
		drains = append(drains, req.Server)
	case Undrain:
		drains = slices.DeleteFunc(drains, func(s keys.Server) bool { return s == req.Server })
	}
	if len(drains) > len(last.Drains()) && len(drains) == 2 && !slices.Contains(m.operators[i].req.Override, LastServer) {
		m.Fatalf("revision %d drains the last server without a confirmation", e.rev.Number())
	}
	slices.Sort(drains)
	if slotsOfSites(e.rev) != want || !slices.Equal(slices.Compact(drains), e.rev.Drains()) {
		m.Fatalf("revision %d by %s mixes changes: slots %d, want %d; drains %v, want %v",
			e.rev.Number(), e.author, slotsOfSites(e.rev), want, e.rev.Drains(), drains)
	}
	m.history = append(m.history, e)
}

func (m *model) newOperator() {
	req := Request{
		Kind: Kind(rapid.IntRange(0, 3).Draw(m.T, "kind")), Author: fmt.Sprintf("op%d", len(m.operators)), Time: time.Unix(int64(len(m.operators)), 0),
		Server: keys.Server(rapid.SampledFrom([]string{"x", "y"}).Draw(m.T, "server")),
	}
	slots, weight := rapid.SampledFrom([]int{1, 4, 5, 6, 7}).Draw(m.T, "slots"), 1
	if rapid.IntRange(0, 9).Draw(m.T, "layout") == 9 {
		weight = 2
	}
	n := uint64(len(m.history))
	req.Sites = sites(slots, weight)
	req.PlannedFrom = n - min(n, uint64(max(0, rapid.IntRange(-4, 1).Draw(m.T, "stale"))))
	req.RollbackTo = 1 + uint64(rapid.IntRange(0, int(n)).Draw(m.T, "to"))
	req.Peers = slices.DeleteFunc([]keys.Server{"x", "y"}, func(s keys.Server) bool { return s == req.Server })
	if rapid.Bool().Draw(m.T, "override") {
		req.Override = []string{"slots-lowered", LastServer}
	}
	o := &operator{req: req, attempt: New(req)}
	o.action = o.attempt.Start()
	m.operators = append(m.operators, o)
}

// storeFirstRevision stores revision 1.
func (m *model) storeFirstRevision() {
	req := Request{Author: "op0", Sites: sites(4, 1), Time: time.Unix(0, 0)}
	_, next := decide(storedRevision{}, req, nil, nil)
	b, err := config.EncodeRevision(next)
	if err != nil {
		m.Fatal(err)
	}
	m.operators = append(m.operators, &operator{req: req})
	m.applyWrite(Write{Name: CurrentObject, Value: b}, req.Author)
}

// step advances one unfinished request with a result that the store may return.
func (m *model) step() {
	var open []*operator
	for _, o := range m.operators {
		if o.action != nil {
			open = append(open, o)
		}
	}
	if len(open) == 0 {
		return
	}
	o := open[rapid.IntRange(0, len(open)-1).Draw(m.T, "operator")]
	outcome := 29 - rapid.IntRange(0, 29).Draw(m.T, "fate") // rapid prefers low numbers
	switch act := o.action.(type) {
	case Read:
		m.resume(o, m.read(act, outcome))
	case Write:
		m.resume(o, m.write(act, o.req.Author, outcome))
	}
}

func (m *model) read(r Read, outcome int) Event {
	obj, ok := m.objects[r.Name]
	switch {
	case outcome == 0:
		return TimedOut{}
	case outcome == 1 || m.outage:
		return ReadDone{Err: store.ErrUnavailable}
	case !ok:
		return ReadDone{Err: store.ErrNotFound}
	}
	return ReadDone{Object: obj}
}

func (m *model) write(w Write, author string, outcome int) Event {
	switch {
	case outcome <= 2: // delayed for any time
		m.delayed = append(m.delayed, delayedWrite{w, author})
		if outcome == 0 {
			return TimedOut{}
		}
		return WriteDone{store.ErrIndeterminate}
	case outcome == 3:
		return WriteDone{store.ErrIndeterminate} // the request was lost
	case outcome == 4 || m.outage:
		return WriteDone{store.ErrUnavailable}
	}
	ok := m.applyWrite(w, author)
	switch {
	case outcome <= 7:
		return WriteDone{store.ErrIndeterminate} // the response was lost
	case !ok:
		return WriteDone{store.ErrConflict}
	}
	return WriteDone{}
}

func (m *model) resume(o *operator, ev Event) {
	if o.action = o.attempt.Step(ev); o.action == nil {
		m.Fatal("no action")
	}
	if d, ok := o.action.(Done); ok {
		o.action, o.result = nil, &d.Result
		m.checkResult(o)
	}
}

// checkResult compares a result with the history of the store. It is repeated
// at the end, when all delayed writes have reached the store.
func (m *model) checkResult(o *operator) {
	i := slices.IndexFunc(m.history, func(e storedWrite) bool { return e.author == o.req.Author })
	switch res := *o.result; {
	case res.Outcome == Unknown:
	case res.Outcome == Accepted && (i < 0 || m.history[i].rev.Number() != res.Revision.Number):
		m.Fatalf("result of %s is accepted, but revision %d isn't stored", o.req.Author, res.Revision.Number)
	case res.Outcome != Accepted && i >= 0:
		m.Fatalf("result of %s is %s, but revision %d is stored", o.req.Author, res.Outcome, m.history[i].rev.Number())
	case res.Outcome == Conflict && (res.Revision.Number <= o.req.PlannedFrom || m.history[res.Revision.Number-1].author != res.Revision.Author):
		m.Fatalf("result of %s is %+v, which names the wrong revision or author", o.req.Author, res)
	case res.Outcome == Conflict && res.Revision.Author == o.req.Author:
		m.Fatalf("result of %s is a conflict with its own revision", o.req.Author)
	case res.Outcome == Held && len(o.req.Override) > 0:
		m.Fatalf("request of %s is held although it confirms all holds", o.req.Author)
	}
}

// deliverRevision delivers a random revision of the history to a host.
func (m *model) deliverRevision() {
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
		m.Fatalf("host %d switched from revision %d to the older revision %d", h, before, m.hosts[h].Number())
	}
}

func (m *model) applyDelayed() {
	if len(m.delayed) == 0 || m.outage {
		return
	}
	i := rapid.IntRange(0, len(m.delayed)-1).Draw(m.T, "late")
	p := m.delayed[i]
	m.delayed = slices.Delete(m.delayed, i, i+1)
	m.applyWrite(p.write, p.author)
}

// checkFinalState checks results and archive after the last delayed write.
func (m *model) checkFinalState(outcomes *[Unknown + 1]int) {
	for _, p := range m.delayed {
		m.applyWrite(p.write, p.author)
	}
	for _, o := range m.operators {
		if o.result != nil {
			m.checkResult(o)
			outcomes[o.result.Outcome]++
		}
	}
	for i, e := range m.history[:max(0, len(m.history)-1)] {
		if a := m.objects[ArchiveObject(uint64(i+1))]; !bytes.Equal(a.Value(), e.bytes) {
			m.Fatalf("revision %d was replaced without a copy in the archive", e.rev.Number())
		}
	}
}

// Guards against an accepted revision that is lost, mixed with another one or
// reported with the wrong outcome. The model lets operators race, gives writes
// unknown results or delays them, makes the store unavailable, and loses hosts
// in the middle of a request.
func TestAttempts(t *testing.T) {
	var outcomes [Unknown + 1]int
	rapid.Check(t, func(rt *rapid.T) {
		m := &model{T: rt, objects: make(map[string]store.Object)}
		if rapid.IntRange(0, 9).Draw(rt, "empty") > 0 {
			m.storeFirstRevision()
		}
		for range rapid.IntRange(50, 200).Draw(rt, "steps") {
			switch n := rapid.IntRange(0, 19).Draw(rt, "what"); {
			case n >= 17 && len(m.operators) < 20:
				m.newOperator()
			case n == 16:
				m.applyDelayed()
			case n == 15:
				m.deliverRevision()
			case n == 14:
				m.outage = rapid.IntRange(0, 5).Draw(rt, "outage") == 5
			case n == 13 && rapid.IntRange(0, 3).Draw(rt, "lose") == 0 && len(m.operators) > 0:
				m.operators[rapid.IntRange(0, len(m.operators)-1).Draw(rt, "lost")].action = nil // its host is lost
			case n == 12 && rapid.IntRange(0, 3).Draw(rt, "restart") == 0:
				m.hosts[rapid.IntRange(0, len(m.hosts)-1).Draw(rt, "restarted")] = config.Revision{}
			default:
				m.step()
			}
		}
		m.checkFinalState(&outcomes)
	})
	for o, n := range outcomes {
		t.Logf("%s: %d", Outcome(o), n)
		if n == 0 {
			t.Errorf("no request had the outcome %s; the run doesn't cover it", Outcome(o))
		}
	}
}
