package dedup

import (
	"flag"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"pgregory.net/rapid"
)

// TestMain sets defaults of rapid's flags before they are parsed. The fixed seed
// makes runs reproducible. A longer run:
//
//	go test ./internal/dedup -rapid.checks=20000 -rapid.steps=100 -rapid.seed=7
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"seed": "1", "checks": "500", "nofailfile": "true"} {
		if err := flag.Set("rapid."+name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

const epoch = WallTime(1_800_000_000_000)

func makeID(stamp WallTime, n uint16) (id ID) {
	for i := range 6 {
		id[i] = byte(stamp >> (40 - 8*i))
	}
	id[6], id[8], id[14], id[15] = 0x70, 0x80, byte(n>>8), byte(n)
	return id
}

// host is a dispatcher with its own wall clock.
type host struct {
	s    *State
	skew clock.Span // 0 to 250 ms, so that two hosts differ by at most 250 ms
}

// heldRange is one of the two ranges of the hash space, with the host that holds
// its lease.
type heldRange struct {
	r       keys.Range
	holder  int
	covered bool // the holder has imported the records or set the floor
	batch   Batch
	fence   keys.Fence
	floor   WallTime // highest floor that was set; eviction may raise it further
}

type request struct {
	id       ID
	hash     keys.Hash
	digest   Digest // of the last run
	runs     int    // runs that may have reached a server
	started  bool   // has run at least once
	inFlight bool   // a run is in flight at some host
	response string // body of the response, if answered
}

// run is a run of a request that the dispatcher at host has begun.
type run struct {
	req   *request
	host  int
	token Token
}

// model tracks the runs of each id across three dispatchers.
type model struct {
	*rapid.T
	cfg           Config
	now           clock.Time
	hosts         [3]host
	ranges        [2]heldRange
	reqs          []*request
	active        []run // in flight
	allRuns       []run // for late Finish calls
	fence         uint32
	evictedByLost uint64 // number of evictions at lost processes
}

func (m *model) wall(h int) WallTime { return epoch.Add(clock.Span(m.now) + m.hosts[h].skew) }

func (m *model) nextFence() keys.Fence {
	m.fence++
	return keys.NewFence(1, m.fence)
}

func (m *model) rangeOf(h keys.Hash) *heldRange {
	if m.ranges[0].r.Contains(h) {
		return &m.ranges[0]
	}
	return &m.ranges[1]
}

// begin sends a new request or a repeated one to the host that holds the lease of
// its key.
func (m *model) begin(t *rapid.T) {
	var req *request
	if len(m.reqs) > 0 && rapid.IntRange(0, 2).Draw(t, "repeat") > 0 {
		req = rapid.SampledFrom(m.reqs).Draw(t, "request")
	} else {
		offset := rapid.SampledFrom([]clock.Span{0, 0, -1, 250, 251, 400, -300, -20_000, -9 * clock.Minute, -11 * clock.Minute}).Draw(t, "caller's clock")
		hash := keys.Hash(rapid.SampledFrom([]uint64{1, 2, 1 << 63, 1<<63 + 1}).Draw(t, "hash"))
		stamp := m.wall(rapid.IntRange(0, 2).Draw(t, "stamped like")).Add(offset)
		req = &request{id: makeID(stamp, uint16(len(m.reqs))), hash: hash}
		m.reqs = append(m.reqs, req)
	}
	p := m.rangeOf(req.hash)
	h := p.holder
	if !p.covered {
		return // package lease refuses the request until the grant is complete
	}
	digest := Digest(1)
	if rapid.IntRange(0, 9).Draw(t, "other content") == 0 {
		digest = 2
	}
	st := m.hosts[h].s
	v := st.Begin(m.now, m.wall(h), req.id, req.hash, digest)
	mustRun := !req.started && req.id.Stamp() > p.floor && req.id.Stamp() <= m.wall(h).Add(MaxAhead) && req.id.Stamp() >= m.wall(h).Add(-DefaultMaxAge)
	switch v.Decision {
	case Run:
		if req.runs++; req.runs > 1 || req.inFlight {
			t.Fatalf("%v runs twice", req.id)
		}
		req.started, req.inFlight, req.digest = true, true, digest
		r := run{req, h, v.Token}
		m.active, m.allRuns = append(m.active, r), append(m.allRuns, r)
	case Wait:
		if !req.inFlight || digest != req.digest {
			t.Fatalf("%v waits although no run with its content is in flight", req.id)
		}
	case Replay:
		if digest != req.digest || req.response == "" || string(v.Response.Body) != req.response {
			t.Fatalf("%v is replayed as %q instead of %q", req.id, v.Response.Body, req.response)
		}
	case Refused:
		// A request with other content under the same id did not run.
		if digest == req.digest && req.runs > 0 {
			t.Fatalf("%v is refused as \"not run\" (%v) after %d runs", req.id, v.Reason, req.runs)
		}
	}
	if mustRun && v.Decision != Run && (m.cfg.MaxRecords == 1000 || v.Reason != answer.QueueFull && m.evictions() == 0) {
		t.Fatalf("new id %v gets %v, %v", req.id, v.Decision, v.Reason)
	}
}

// evictions returns the number of evictions at all hosts. It includes those of
// lost processes, because the floors that they raised remain valid at their
// successors.
func (m *model) evictions() (n uint64) {
	n = m.evictedByLost
	for _, h := range m.hosts {
		n += h.s.Counts().Evicted
	}
	return n
}

func (m *model) finish(t *rapid.T) {
	if len(m.active) == 0 {
		t.Skip("none")
	}
	i := rapid.IntRange(0, len(m.active)-1).Draw(t, "flight")
	r := m.active[i]
	m.active = slices.Delete(m.active, i, i+1)
	o := answer.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome"))
	body := r.req.id.String() + strings.Repeat("x", rapid.SampledFrom([]int{0, 100}).Draw(t, "large"))
	if _, ok := m.hosts[r.host].s.Finish(m.now, r.token, o, Response{Status: 200, Body: []byte(body)}); !ok {
		t.Fatalf("Finish does not know the run of %v", r.req.id)
	}
	r.req.inFlight = false
	if r.req.response = ""; o == answer.Answered {
		r.req.response = body
	}
	if o == answer.NotRun {
		r.req.runs--
	}
}

// lateFinish calls Finish again for a run that has ended.
func (m *model) lateFinish(t *rapid.T) {
	if len(m.allRuns) == 0 {
		t.Skip("none")
	}
	r := rapid.SampledFrom(m.allRuns).Draw(t, "token")
	if slices.Contains(m.active, r) {
		t.Skip("in flight")
	}
	if _, ok := m.hosts[r.host].s.Finish(m.now, r.token, answer.NotRun, Response{}); ok {
		t.Fatalf("%v was finished twice", r.req.id)
	}
}

// export exports a range from its holder. A later importBatch step delivers the
// batch to the new holder.
func (m *model) export(t *rapid.T) {
	p := &m.ranges[rapid.IntRange(0, 1).Draw(t, "range")]
	if !p.covered {
		t.Skip("in transit")
	}
	p.batch = m.hosts[p.holder].s.Export(p.r, p.fence)
	hash := p.r.Lo()
	v := m.hosts[p.holder].s.Begin(m.now, m.wall(p.holder), makeID(m.wall(p.holder), 60000), hash, 1)
	if v.Decision != Unknown || v.Reason != answer.NotDispatcher {
		t.Fatalf("after Export a new id gets %v, %v", v.Decision, v.Reason)
	}
	p.holder, p.covered = (p.holder+rapid.IntRange(1, 2).Draw(t, "to"))%3, false
}

func (m *model) importBatch(t *rapid.T) {
	p := &m.ranges[rapid.IntRange(0, 1).Draw(t, "range")]
	if !p.covered {
		if !m.hosts[p.holder].s.Import(m.now, p.batch) {
			t.Fatalf("batch with fence %v has no effect", p.batch.Fence)
		}
		p.covered, p.fence = true, m.nextFence()
	}
	if rapid.Bool().Draw(t, "duplicate") && p.batch.Fence > 0 && p.covered {
		m.hosts[p.holder].s.Import(m.now, p.batch) // must not lower a floor
	}
}

// unplannedMove moves a range without its records, because its holder is lost or
// paused.
func (m *model) unplannedMove(t *rapid.T) {
	p := &m.ranges[rapid.IntRange(0, 1).Draw(t, "range")]
	if rapid.Bool().Draw(t, "process lost") {
		m.loseProcess(p.holder)
	} else if p.covered && rapid.Bool().Draw(t, "lease lost") {
		m.hosts[p.holder].s.Uncover(p.r, p.fence)
	}
	m.takeover(p, (p.holder+rapid.IntRange(1, 2).Draw(t, "to"))%3)
}

func (m *model) takeover(p *heldRange, to int) {
	p.holder, p.fence, p.covered = to, m.nextFence(), true
	p.floor = max(p.floor, m.wall(to).Add(TakeoverMargin))
	if !m.hosts[to].s.SetFloor(p.r, p.fence, m.wall(to).Add(TakeoverMargin)) {
		m.Fatalf("SetFloor had no effect")
	}
}

// loseProcess replaces a process by one without state. Requests in flight there
// may have run.
func (m *model) loseProcess(h int) {
	m.evictedByLost += m.hosts[h].s.Counts().Evicted
	m.hosts[h].s = New(m.cfg)
	at := func(r run) bool { return r.host == h }
	for _, r := range m.active {
		r.req.inFlight = r.req.inFlight && !at(r)
	}
	m.active, m.allRuns = slices.DeleteFunc(m.active, at), slices.DeleteFunc(m.allRuns, at)
	for i := range m.ranges {
		if p := &m.ranges[i]; p.holder == h {
			m.takeover(p, (h+1)%3)
		}
	}
}

// Guards against a request that runs twice, the outcome "not run" for a request
// that may have run, and the response to another request, for any order of
// planned and unplanned moves, evictions, expirations, late messages and clock
// steps.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{T: t, cfg: Config{MaxResponseBytes: 60, MaxRecords: rapid.SampledFrom([]int{3, 8, 1000}).Draw(t, "records")}}
		for h := range m.hosts {
			m.hosts[h].s = New(m.cfg)
		}
		for i, r := range keys.FullRange().Divide(2) {
			m.ranges[i].r = r
			m.takeover(&m.ranges[i], i)
		}
		m.now = 2000
		t.Repeat(map[string]func(*rapid.T){
			"begin": m.begin, "begin2": m.begin, "begin3": m.begin,
			"finish": m.finish, "finish2": m.finish, "late finish": m.lateFinish,
			"transfer": m.export, "arrive": m.importBatch, "take": m.unplannedMove,
			"clock": func(t *rapid.T) {
				m.now = m.now.Add(rapid.SampledFrom([]clock.Span{1, 30, 249, 251, 499, 501, 20_000, 90_000}).Draw(t, "ms"))
				h := rapid.IntRange(0, 2).Draw(t, "host")
				m.hosts[h].skew = rapid.SampledFrom([]clock.Span{0, 1, 125, 250}).Draw(t, "skew")
			},
			"": func(t *rapid.T) {
				for _, h := range m.hosts {
					if n := h.s.Records(); n > m.cfg.MaxRecords {
						t.Fatalf("%d records, more than MaxRecords", n)
					}
				}
			},
		})
	})
}
