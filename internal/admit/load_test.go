package admit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/admit"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/owner"
	"github.com/laburnummux/laburnummux/internal/place"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	svc        = keys.Service("ledger")
	simLength  = 8000
	simLatency = 1 // ms, of a message between two hosts
	simQueue   = 8 // requests that a server queues
	hotKeys    = 12
	hotShare   = 0.12 // of the requests are for these keys
)

// route is a kind of request.
type route struct {
	priority             int
	mean                 clock.Span
	objective, deadline  clock.Span
	share                float64
	inTime, late, failed int
}

// sim simulates the hosts of several groups, which send requests with keys to servers
// of different speeds. It advances in milliseconds.
type sim struct {
	rng     *rand.Rand
	routes  []*route
	hosts   []*simHost
	servers []*simServer
	index   map[keys.Server]int
	events  map[clock.Time][]func()
	now     clock.Time
	on      bool // requests are admitted
}

type simHost struct {
	*place.State
	admit    *admit.State // as the admitter
	requests map[uint64]*simRequest
}

type simServer struct {
	speed   float64
	queue   []*simRequest
	running []*simRequest
}

type simRequest struct {
	id      uint64
	host    int
	server  int
	key     owner.Key
	route   *route
	arrived clock.Time
	sent    clock.Time
	work    float64
	sends   int
	tries   int // of the caller
}

func newSim(on bool, hosts, servers int) *sim {
	s := &sim{
		rng: rand.New(rand.NewPCG(3, 4)), index: make(map[keys.Server]int), events: make(map[clock.Time][]func()), on: on,
		routes: []*route{
			{priority: 2, mean: 110, objective: 500, deadline: 1500, share: 0.7},
			{priority: 0, mean: 140, objective: 600, deadline: 1800, share: 0.3},
		},
	}
	var list []fleet.Server
	var listed []admit.Server
	table := owner.Table{Service: svc, Term: 1}
	width := (int(owner.MaxKey) + 1) / servers
	for i := range servers {
		id := serverID(i)
		list = append(list, fleet.Server{ID: id, Service: svc, Addr: fmt.Sprint(i), DC: "north", Slots: 2, Born: 1})
		listed = append(listed, admit.Server{ID: id, Born: 1, Slots: 2})
		s.index[id] = i
		s.servers = append(s.servers, &simServer{speed: 0.6 + float64(i*37%servers)/float64(servers)})
		to := owner.Key((i+1)*width - 1)
		if i == servers-1 {
			to = owner.MaxKey
		}
		table.Spans = append(table.Spans, owner.Range{From: owner.Key(i * width), To: to, Server: id})
	}
	const groups = 8
	for i := range hosts {
		h := &simHost{State: place.New("north", func(keys.Server) int { return 1 }), admit: admit.New(uint64(i)), requests: make(map[uint64]*simRequest)}
		h.SetServers(0, list)
		h.SetShare(0, place.Share{Number: i * groups / hosts, Count: groups, Hosts: hosts / groups})
		h.SetAdmission(on)
		h.SetTable(0, table)
		h.admit.SetServers(0, listed)
		s.hosts = append(s.hosts, h)
	}
	return s
}

func serverID(n int) keys.Server { return keys.Server(fmt.Sprintf("s%03d", n)) }

// after calls f after a delay.
func (s *sim) after(d clock.Span, f func()) {
	at := s.now.Add(max(d, 1))
	s.events[at] = append(s.events[at], f)
}

func (s *sim) run(load float64) {
	capacity, mean := 0.0, 0.0 // requests per ms
	for _, r := range s.routes {
		mean += r.share * float64(r.mean)
	}
	for _, sv := range s.servers {
		capacity += 2 * sv.speed / mean
	}
	id := uint64(0)
	for next := 0.0; s.now < simLength; s.now++ {
		for _, f := range s.events[s.now] {
			f()
		}
		delete(s.events, s.now)
		for ; float64(s.now) >= next; next += s.rng.ExpFloat64() / (capacity * load) {
			id++
			q := &simRequest{id: id, host: s.rng.IntN(len(s.hosts)), route: s.routes[0], arrived: s.now, key: owner.Key(s.rng.IntN(int(owner.MaxKey) + 1))}
			if s.rng.Float64() > s.routes[0].share {
				q.route = s.routes[1]
			}
			if s.rng.Float64() < hotShare {
				q.key = owner.Key(s.rng.IntN(hotKeys) * 5003)
			}
			// Between an exponential distribution and a constant.
			q.work = float64(q.route.mean) * (0.4 + 0.6*s.rng.ExpFloat64())
			s.submit(q)
		}
		s.serve()
		if s.now%10 == 0 {
			s.tick()
		}
	}
}

func (s *sim) submit(q *simRequest) {
	h := s.hosts[q.host]
	h.requests[q.id] = q
	s.apply(h, h.Submit(s.now, place.Request{
		ID: q.id, Service: svc, Keyed: true, Key: q.key, Priority: q.route.priority, Objective: q.arrived.Add(q.route.objective),
		Deadline: q.arrived.Add(q.route.deadline), Arrived: q.arrived, RouteMean: q.route.mean,
	}))
}

// refuse has the caller retry once, at another host, if it has the time.
func (s *sim) refuse(q *simRequest, after clock.Span) {
	delete(s.hosts[q.host].requests, q.id)
	if q.tries++; q.tries > 1 {
		q.route.failed++
		return
	}
	left := q.arrived.Add(q.route.deadline).Sub(s.now)
	s.after(min(after, left/3), func() {
		q.host = s.rng.IntN(len(s.hosts))
		s.submit(q)
	})
}

func (s *sim) apply(h *simHost, acts []place.Action) {
	for _, act := range acts {
		switch act := act.(type) {
		case place.Start:
			q := h.requests[act.ID]
			if n := s.index[act.Server.ID]; act.Admit {
				s.ask(q, n)
			} else {
				s.send(q, n)
			}
		case place.Refuse:
			s.refuse(h.requests[act.ID], act.RetryAfter)
		}
	}
}

// admitter returns the state in which requests to a server are admitted.
func (s *sim) admitter(n int) *admit.State { return s.hosts[n%len(s.hosts)].admit }

func (s *sim) ask(q *simRequest, n int) {
	q.server = n
	r := admit.Request{
		ID: admit.ID{Host: fmt.Sprint(q.host), Num: q.id}, Server: fleet.Incarnation{ID: serverID(n), Born: 1}, Slots: 2,
		Priority: q.route.priority, Objective: q.arrived.Add(q.route.objective), Deadline: q.arrived.Add(q.route.deadline), RouteMean: q.route.mean,
	}
	s.after(simLatency, func() { s.reply(s.admitter(n).Ask(s.now, r)) })
}

func (s *sim) reply(replies []admit.Reply) {
	for _, r := range replies {
		var host int
		fmt.Sscan(r.To().Host, &host)
		h := s.hosts[host]
		q := h.requests[r.To().Num]
		if q == nil || q.host != host {
			continue
		}
		s.after(simLatency, func() {
			switch r := r.(type) {
			case admit.Admitted:
				s.send(q, q.server)
			case admit.Refused:
				s.refuse(q, r.RetryAfter)
				s.apply(h, h.Done(s.now, serverID(q.server), place.Result{Cancelled: true}))
			}
		})
	}
}

// send puts a request into a server's queue. A full one rejects it; its owner gets it
// again if it isn't sent too often.
func (s *sim) send(q *simRequest, n int) {
	sv := s.servers[n]
	q.sent = s.now
	q.sends++
	if len(sv.queue) < simQueue {
		sv.queue = append(sv.queue, q)
		return
	}
	s.after(simLatency, func() {
		s.done(q, n, place.Result{Shed: true, Load: simQueue + 2, HasLoad: true})
		if q.sends < 3 {
			s.submit(q)
		} else {
			s.refuse(q, 200)
		}
	})
}

// done reports the result of a request to its host and to the admitter.
func (s *sim) done(q *simRequest, n int, res place.Result) {
	h := s.hosts[q.host]
	id := admit.ID{Host: fmt.Sprint(q.host), Num: q.id}
	s.apply(h, h.Done(s.now, serverID(n), res))
	if s.on {
		s.after(simLatency, func() {
			s.reply(s.admitter(n).Done(s.now, id, admit.Result{Duration: res.Duration, Load: res.Load, HasLoad: res.HasLoad}))
		})
	}
}

// serve advances the servers by a millisecond.
func (s *sim) serve() {
	for n, sv := range s.servers {
		for len(sv.running) < 2 && len(sv.queue) > 0 {
			sv.running = append(sv.running, sv.queue[0])
			sv.queue = sv.queue[1:]
		}
		left := sv.running[:0]
		for _, q := range sv.running {
			if q.work -= sv.speed; q.work > 0 {
				left = append(left, q)
				continue
			}
			switch took := s.now.Sub(q.arrived); {
			case took <= q.route.objective:
				q.route.inTime++
			case took <= q.route.deadline:
				q.route.late++
			default:
				q.route.failed++
			}
			load := len(sv.queue) + len(sv.running) - 1
			s.after(simLatency, func() {
				s.done(q, n, place.Result{Duration: s.now.Sub(q.sent), RouteMean: q.route.mean, Load: load, HasLoad: true})
			})
		}
		sv.running = left
	}
}

// tick has the hosts exchange their load within their groups.
func (s *sim) tick() {
	for i, h := range s.hosts {
		s.apply(h, h.Tick(s.now))
		s.reply(h.admit.Tick(s.now))
		if (int(s.now)/10+i)%7 != 0 {
			continue
		}
		inFlight, queued := h.LocalLoad()
		for j, o := range s.hosts {
			if i != j && i*8/len(s.hosts) == j*8/len(s.hosts) {
				s.apply(o, o.SetPeerLoad(s.now, keys.Host(fmt.Sprint(i)), inFlight, queued))
			}
		}
	}
}

// Guards against requests for keys that wait at their owner in the order of arrival,
// because hosts of other groups have filled it. Admission must get more requests served
// within their objective, most of the urgent ones at any load, and must not cost the
// others theirs.
func TestLoad(t *testing.T) {
	tests := []struct {
		load    float64
		servers int
		gain    float64 // in the share of requests that are served in time
		urgent  float64 // least share of the urgent ones that are
	}{
		{0.7, 90, 0.025, 0.95}, {0.7, 130, 0.025, 0.95}, {1.2, 90, 0.06, 0.89}, {1.2, 130, 0.06, 0.89},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("load %.1f, %d servers", tt.load, tt.servers), func(t *testing.T) {
			is := is.New(t)
			var inTime [2][2]float64 // without and with admission, by route
			for i, on := range []bool{false, true} {
				s := newSim(on, 60, tt.servers)
				s.run(tt.load)
				for j, r := range s.routes {
					all := float64(r.inTime + r.late + r.failed)
					inTime[i][j] = float64(r.inTime) / all
					t.Logf("admission %-5v priority %d: in time %.3f, late %.3f, failed %.3f of %.0f", on, r.priority, inTime[i][j], float64(r.late)/all, float64(r.failed)/all, all)
				}
			}
			total := func(x [2]float64) float64 { return 0.7*x[0] + 0.3*x[1] }
			is.True(total(inTime[1]) >= total(inTime[0])+tt.gain)
			is.True(inTime[1][1] >= tt.urgent)
			is.True(inTime[1][0] >= inTime[0][0]-0.02)
		})
	}
}
