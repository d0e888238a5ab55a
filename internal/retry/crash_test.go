package retry

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"github.com/matryer/is"
)

// crashSeeds is the number of seeds of TestCrashOrPartition.
var crashSeeds = flag.Int("crashseeds", 3, "seeds of TestCrashOrPartition")

const (
	stableWindow   = 3 * clock.Second
	maxLateRuns    = 3
	simStep        = clock.Span(5)
	simGossip      = 250 * clock.Millisecond
	simDialTimeout = 400 * clock.Millisecond
	simRetryDelay  = 20 * clock.Millisecond
	simDeadline    = 2 * clock.Second
	simListDelay   = 50 * clock.Millisecond // until the hosts know of a new process
)

// load is a request that callers send again and again at each host.
type load struct {
	name    string
	crashes bool       // each server that runs it crashes
	period  clock.Span // at each host
	takes   clock.Span
	unique  bool       // each is another request, as most are
	from    clock.Span // no earlier
	inPhase bool       // at all hosts at the same time
	once    bool       // sent to one server only, as if not idempotent
}

// outage is a fault of some servers. Mode "crash" ends them one by one, "drop" and
// "reject" cut them off from all hosts: connections are lost, and new ones time out or
// are refused.
type outage struct {
	mode       string
	from, to   int        // servers
	at, every  clock.Span // start, and the time between two servers
	lasts      clock.Span // of a cut
	onlyHostOf int        // 0: all hosts; n: only host n-1 is cut off
}

// simServer is a server of the simulation.
type simServer struct {
	name    keys.Server
	born    int64
	up      bool
	startAt clock.Time
}

// simRun is a request of a caller, and its attempt in flight.
type simRun struct {
	host    int
	sig     Signature
	load    load
	until   clock.Time // its caller gives up
	nextTry clock.Time
	sends   int
	sent    bool
	ticket  Ticket
	server  int
	started clock.Time
	lostAt  clock.Time // the connection was lost, if lost is set
	lost    bool
	kind    LossKind
	tellAt  clock.Time // the result of the check is known
}

// sim simulates hosts, servers, faults and the exchange between hosts.
type sim struct {
	now     clock.Time
	rng     *rand.Rand
	hosts   []*Quarantine
	avoid   []map[int]clock.Time // by host: servers to which no connection could be opened
	servers []*simServer
	outages []outage
	runs    []*simRun
	pending []func() // gossip under way
	serial  int

	crashes     map[Signature][]clock.Time
	arrivals    map[Signature][]clock.Time
	completed   int
	quarantined map[Signature]bool
	loads       []load
	downTime    clock.Span
}

func (s *sim) cut(host, server int) (mode string, cut bool) {
	for _, o := range s.outages {
		if o.mode == "crash" || server < o.from || server >= o.to || o.onlyHostOf > 0 && o.onlyHostOf != host+1 {
			continue
		}
		at := clock.Time(o.at + o.every*clock.Span(server-o.from))
		if s.now >= at && s.now < at.Add(o.lasts) {
			return o.mode, true
		}
	}
	return "", false
}

// step advances the simulation.
func (s *sim) step() {
	s.now = s.now.Add(simStep)
	for i, sv := range s.servers {
		if !sv.up && s.now >= sv.startAt {
			sv.up, sv.born = true, int64(s.now)
		}
		if sv.up && s.now == clock.Time(sv.born).Add(simListDelay) {
			for _, q := range s.hosts {
				s.note(q.SetProcess(s.now, sv.name, "bookings", sv.born))
			}
		}
		for _, o := range s.outages {
			if o.mode == "crash" && i >= o.from && i < o.to && s.now == clock.Time(o.at+o.every*clock.Span(i-o.from)) {
				s.crash(i)
			}
		}
	}
	s.addCallers()
	for _, r := range s.runs {
		s.advance(r)
	}
	s.runs = slices.DeleteFunc(s.runs, func(r *simRun) bool { return r.host < 0 })
	s.gossip()
	if s.now%50 == 0 {
		for _, q := range s.hosts {
			s.note(q.Tick(s.now))
		}
	}
}

func (s *sim) note(proven []Signature) {
	for _, sig := range proven {
		s.quarantined[sig] = true
	}
}

// addCallers starts the requests that are due.
func (s *sim) addCallers() {
	for h := range s.hosts {
		for _, l := range s.loads {
			phase := clock.Time(h) * clock.Time(l.period) / clock.Time(len(s.hosts)) / clock.Time(simStep) * clock.Time(simStep)
			if l.inPhase {
				phase = 0
			}
			if phase += clock.Time(l.from); s.now < phase || (s.now-phase)%clock.Time(l.period) != 0 {
				continue
			}
			sig := Signature{Op: l.name}
			if l.unique {
				s.serial++
				sig.Body = uint64(s.serial)
			}
			s.runs = append(s.runs, &simRun{host: h, sig: sig, load: l, until: s.now.Add(simDeadline + l.takes), nextTry: s.now})
		}
	}
}

// crash ends a server with all its requests.
func (s *sim) crash(i int) {
	sv := s.servers[i]
	if !sv.up {
		return
	}
	sv.up, sv.startAt = false, s.now.Add(s.downTime)
	for _, r := range s.runs {
		if r.sent && !r.lost && r.server == i {
			r.lost, r.lostAt, r.kind, r.tellAt = true, s.now, Refused, s.now.Add(simStep)
		}
	}
}

// advance moves a request on.
func (s *sim) advance(r *simRun) {
	q := s.hosts[r.host]
	mode, cut := "", false
	if r.sent {
		mode, cut = s.cut(r.host, r.server)
	}
	switch {
	case r.sent && !r.lost && cut:
		r.lost, r.lostAt, r.kind, r.tellAt = true, s.now, Unreachable, s.now.Add(simDialTimeout)
		if mode == "reject" {
			r.kind, r.tellAt = Refused, s.now.Add(simStep)
		}
	case r.lost && s.now >= r.tellAt:
		s.note(q.ServerLost(s.now, r.lostAt, r.ticket, r.kind))
		r.sent, r.lost = false, false
		if r.nextTry = s.now.Add(simRetryDelay); r.sends > 2 || r.load.once {
			r.host = -1
		}
	case r.lost:
	case r.sent && s.now >= r.started.Add(r.load.takes):
		if r.load.crashes {
			s.crashes[r.sig] = append(s.crashes[r.sig], s.now)
			s.crash(r.server)
			return
		}
		q.End(s.now, r.ticket, true)
		s.completed++
		r.host = -1
	case r.sent:
	case s.now > r.until:
		r.host = -1
	case s.now >= r.nextTry:
		s.send(r)
	}
}

// send sends a request to a random server.
func (s *sim) send(r *simRun) {
	q := s.hosts[r.host]
	var usable []int
	for i := range s.servers {
		if s.now >= s.avoid[r.host][i] {
			usable = append(usable, i)
		}
	}
	r.nextTry = s.now.Add(simRetryDelay)
	if len(usable) == 0 {
		return
	}
	i := usable[s.rng.IntN(len(usable))]
	a := q.Start(s.now, s.servers[i].name, r.sig)
	if !a.Run {
		if !a.Wait {
			r.host = -1
		}
		return
	}
	mode, cut := s.cut(r.host, i)
	if cut || !s.servers[i].up {
		kind := Refused
		if mode == "drop" {
			kind, r.nextTry = Unreachable, s.now.Add(simDialTimeout)
		}
		q.DialFailed(s.now, a.Ticket, kind)
		q.End(s.now, a.Ticket, false)
		s.avoid[r.host][i] = s.now.Add(500)
		return
	}
	r.sent, r.ticket, r.server, r.started = true, a.Ticket, i, s.now
	r.sends++
	if r.load.crashes {
		s.arrivals[r.sig] = append(s.arrivals[r.sig], s.now)
	}
}

// gossip exchanges the records of all hosts; a message takes one step.
func (s *sim) gossip() {
	for _, f := range s.pending {
		f()
	}
	s.pending = nil
	for i, from := range s.hosts {
		if (s.now+clock.Time(i)*25)%clock.Time(simGossip) != 0 {
			continue
		}
		records, losses := from.Export(s.now), from.ExportLosses(s.now, 48)
		for j, to := range s.hosts {
			if i != j {
				s.pending = append(s.pending, func() {
					to.ImportLosses(s.now, losses)
					s.note(to.Import(s.now, records))
				})
			}
		}
	}
}

func newSim(seed uint64, hosts, servers int, loads []load, outages []outage) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(seed, 1)), loads: loads, outages: outages, downTime: 3 * clock.Second,
		crashes: make(map[Signature][]clock.Time), arrivals: make(map[Signature][]clock.Time), quarantined: make(map[Signature]bool),
	}
	for range hosts {
		s.hosts = append(s.hosts, NewQuarantine(QuarantineConfig{MinCrashes: 3, CheckLosses: true}))
		s.avoid = append(s.avoid, make(map[int]clock.Time))
	}
	for i := range servers {
		sv := &simServer{name: keys.Server(fmt.Sprint("s", i)), born: -1, up: true}
		s.servers = append(s.servers, sv)
		for _, q := range s.hosts {
			q.SetProcess(0, sv.name, "bookings", sv.born)
		}
	}
	return s
}

// Guards against a request that crashes servers and is quarantined late or never, as
// its crashes are taken for a partition or counted at each host for itself, and
// against sound requests that are quarantined by a partition, by servers that crash
// together or one by one, or by another request that crashes servers.
func TestCrashOrPartition(t *testing.T) {
	usual := load{name: "usual", period: 45, takes: 160, unique: true}
	popular := load{name: "popular", period: 20, takes: 100}
	rare := load{name: "rare", period: 700, takes: 20}
	slow := load{name: "slow", period: 300, takes: 1500}
	poison := func(period, takes clock.Span) load {
		return load{name: "poison", crashes: true, period: period, takes: takes}
	}
	after := func(l load, from clock.Span) load {
		l.from = from
		return l
	}
	once := func(l load) load {
		l.once, l.inPhase = true, true
		return l
	}
	sound := []load{usual, popular, rare, slow}
	with := func(p ...load) []load { return append([]load{usual, popular}, p...) }
	second := load{name: "second", crashes: true, period: 700, takes: 20}
	tests := []struct {
		name    string
		hosts   int
		servers int
		loads   []load
		outages []outage
		settled clock.Span // later crashes must lead to quarantine; 0: from the start
	}{
		{"every 0.7 s at two hosts, as in the review", 2, 14, []load{usual, once(poison(700, 20))}, nil, 0},
		{"every 0.7 s at two hosts, sent again", 2, 14, with(poison(700, 20)), nil, 0},
		{"every 0.7 s at two hosts without other requests", 2, 14, []load{poison(700, 20)}, nil, 0},
		{"every 0.7 s at one host", 1, 14, with(poison(700, 20)), nil, 0},
		{"every 5 s at one host", 1, 14, with(poison(5000, 20)), nil, 0},
		{"every 0.1 s at one host", 1, 40, with(poison(100, 20)), nil, 0},
		{"every 0.1 s at two hosts", 2, 60, with(poison(100, 20)), nil, 0},
		{"every 10 s at each of ten hosts", 10, 40, with(poison(10000, 20)), nil, 0},
		{"every 2 s at each of ten hosts", 10, 40, with(poison(2000, 20)), nil, 0},
		{"crashes after 0.8 s", 2, 40, with(poison(700, 800)), nil, 0},
		{"two requests that crash servers", 2, 60, with(poison(700, 20), second), nil, 0},
		{"with a cut of one server", 2, 14, with(poison(700, 20)), []outage{{mode: "drop", from: 3, to: 4, at: 1000, lasts: 9000}}, 0},
		{"with a cut of four servers", 2, 40, with(poison(700, 20)), []outage{{mode: "drop", from: 3, to: 7, at: 1000, lasts: 9000}}, 2000},
		{"with a power loss of ten servers", 2, 40, with(poison(700, 20)), []outage{{mode: "crash", from: 3, to: 13, at: 1000}}, 2000},
		{"after a power loss of ten servers", 2, 40, with(after(poison(700, 20), 1500)), []outage{{mode: "crash", from: 3, to: 13, at: 1000}}, 6000},
		{"after a cut of ten servers", 2, 40, with(after(poison(700, 20), 1500)), []outage{{mode: "reject", from: 3, to: 13, at: 1000, lasts: 1000}}, 6000},

		{"cut of two servers", 2, 14, sound, []outage{{mode: "drop", from: 0, to: 2, at: 2000, lasts: 5000}}, 0},
		{"cut of two servers that refuses connections", 2, 14, sound, []outage{{mode: "reject", from: 0, to: 2, at: 2000, lasts: 5000}}, 0},
		{"cut of a host from all servers but two", 2, 14, sound, []outage{{mode: "drop", from: 0, to: 12, at: 2000, lasts: 5000, onlyHostOf: 1}}, 0},
		{"cut of most servers", 2, 40, sound, []outage{{mode: "drop", from: 0, to: 35, at: 2000, lasts: 5000}}, 0},
		{"cut of most servers that refuses connections", 2, 40, sound, []outage{{mode: "reject", from: 0, to: 35, at: 2000, lasts: 5000}}, 0},
		{"cut that grows server by server", 2, 20, sound, []outage{{mode: "reject", from: 0, to: 15, at: 2000, every: 300, lasts: 3000}}, 0},
		{"cut that grows slowly", 2, 20, sound, []outage{{mode: "reject", from: 0, to: 15, at: 2000, every: 1300, lasts: 3000}}, 0},
		{"cuts again and again", 2, 14, sound, []outage{
			{mode: "reject", from: 0, to: 7, at: 2000, lasts: 400}, {mode: "reject", from: 7, to: 14, at: 3000, lasts: 400},
			{mode: "reject", from: 3, to: 10, at: 4000, lasts: 400}, {mode: "drop", from: 0, to: 14, at: 5000, lasts: 400},
		}, 0},
		{"three servers crash at once", 2, 14, sound, []outage{{mode: "crash", from: 0, to: 3, at: 2000}}, 0},
		{"all servers but one crash at once", 2, 14, sound, []outage{{mode: "crash", from: 0, to: 13, at: 2000}}, 0},
		{"all servers crash again and again", 2, 14, sound, []outage{
			{mode: "crash", from: 0, to: 14, at: 2000}, {mode: "crash", from: 0, to: 14, at: 6000}, {mode: "crash", from: 0, to: 14, at: 10000},
		}, 0},
		{"all servers crash again and again, not quite at once", 2, 14, sound, []outage{
			{mode: "crash", from: 0, to: 14, at: 2000, every: 30}, {mode: "crash", from: 0, to: 14, at: 6000, every: 30}, {mode: "crash", from: 0, to: 14, at: 10000, every: 30},
		}, 0},
		{"all servers, which all run the same, crash again and again", 2, 14, append(slices.Clone(sound), load{name: "slower", period: 100, takes: 1500}), []outage{
			{mode: "crash", from: 0, to: 14, at: 2000}, {mode: "crash", from: 0, to: 14, at: 6000}, {mode: "crash", from: 0, to: 14, at: 10000},
		}, 0},
		{"all servers crash again and again, one by one", 2, 14, sound, []outage{
			{mode: "crash", from: 0, to: 14, at: 2000, every: 300}, {mode: "crash", from: 0, to: 14, at: 6200, every: 300}, {mode: "crash", from: 0, to: 14, at: 10400, every: 300},
		}, 0},
		{"servers crash one by one, quickly", 2, 40, sound, []outage{{mode: "crash", from: 0, to: 38, at: 2000, every: 50}}, 0},
		{"servers crash one by one", 2, 40, sound, []outage{{mode: "crash", from: 0, to: 38, at: 2000, every: 300}}, 0},
		{"servers crash one by one, slowly", 2, 14, sound, []outage{{mode: "crash", from: 0, to: 14, at: 1000, every: 1200}}, 0},
		{"three servers crash in turn", 2, 3, sound, []outage{
			{mode: "crash", from: 0, to: 3, at: 1000, every: 1200}, {mode: "crash", from: 0, to: 3, at: 6000, every: 1200}, {mode: "crash", from: 0, to: 3, at: 11000, every: 1200},
		}, 0},
		{"crashes and a cut together", 2, 40, sound, []outage{
			{mode: "crash", from: 0, to: 15, at: 2000, every: 200}, {mode: "reject", from: 15, to: 30, at: 2500, lasts: 4000}, {mode: "drop", from: 30, to: 36, at: 3500, lasts: 2000},
		}, 0},
		{"crashes and a cut at ten hosts", 10, 40, sound, []outage{
			{mode: "crash", from: 0, to: 15, at: 2000, every: 200}, {mode: "reject", from: 15, to: 30, at: 2500, lasts: 4000},
		}, 0},
		{"crashes, a cut and a request that crashes servers", 2, 40, append(slices.Clone(sound), poison(700, 20)), []outage{
			{mode: "crash", from: 0, to: 10, at: 2000, every: 200}, {mode: "reject", from: 15, to: 25, at: 2500, lasts: 4000},
		}, 5000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(*crashSeeds) {
				s := newSim(seed, tt.hosts, tt.servers, tt.loads, tt.outages)
				for s.now < clock.Time(30*clock.Second) {
					s.step()
				}
				s.judge(t, seed, clock.Time(tt.settled))
			}
		})
	}
}

// judge checks what was quarantined, and when.
func (s *sim) judge(t *testing.T, seed uint64, settled clock.Time) {
	is := is.New(t)
	for sig := range s.quarantined {
		if sig.Op != "poison" && sig.Op != "second" {
			t.Errorf("seed %d: sound request %v was quarantined", seed, sig)
		}
	}
	crashing := false
	for sig, at := range s.crashes {
		crashing = true
		at = slices.DeleteFunc(at, func(x clock.Time) bool { return x < settled })
		late := 0
		for _, a := range s.arrivals[sig] {
			if len(at) > 2 && a > at[2].Add(stableWindow) {
				late++
			}
		}
		if late > maxLateRuns {
			t.Errorf("seed %d: %s crashed servers at %d, and reached servers %d times later than %d ms after the third crash", seed, sig.Op, at, late, stableWindow)
		}
	}
	is.True(crashing || s.completed > 100) // the sound requests did run
}
