package place

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	rampHosts, rampServers                           = 6, 10
	rampWork, rampObjective, rampDeadline            = 40, 250, 1500
	rampLength                                       = 12000
	rampColdRate, rampOver, rampSlack                = 4.6, 1.5, 8.0
	rampWarmup                                       = 3000 * clock.Millisecond
	rampQueue                                        = 8 // requests that a server queues before it rejects one
	rampDown                              clock.Span = 600
)

// rampScenario is what happens to the servers at a time.
type rampScenario struct {
	name   string
	load   float64 // of the slots of all servers at their usual speed
	inTime float64 // share of the requests that must be served in time
	event  func(d *rampSim)
}

// rampSim simulates hosts that exchange their load every 10 ms, and servers that may be
// cold, weak, down or out of the list. It advances in milliseconds.
type rampSim struct {
	rng      *rand.Rand
	now      clock.Time
	hosts    []*dcHost
	servers  []*rampServer
	tally    tally
	lost     int
	crashes  int
	overload int // most requests to a cold server in a second
}

type rampServer struct {
	fleet.Server
	running, queue []*dcRequest
	listed, down   bool
	upAt           clock.Time
	coldUntil      clock.Time
	weakUntil      clock.Time // until then it rejects all but one request at a time
	slow           float64    // times as slow; 0: not
	received       []clock.Time
}

func newRampSim(slowStart bool) *rampSim {
	d := &rampSim{rng: rand.New(rand.NewPCG(7, 8))}
	for i := range rampServers {
		d.servers = append(d.servers, &rampServer{listed: true, Server: fleet.Server{
			ID: keys.Server(fmt.Sprintf("s%d", i)), Service: svc, Addr: fmt.Sprint(i), DC: "north", Slots: 2, Born: 1, Revision: 1,
		}})
	}
	for i := range rampHosts {
		h := &dcHost{State: New("north", oneIdleConn), requests: make(map[uint64]*dcRequest)}
		h.rng = rand.New(rand.NewPCG(uint64(i), 0))
		h.SetHosts(rampHosts, nil)
		if slowStart {
			h.SetColdBound(rampOver, rampSlack)
			h.SetRamps(map[keys.Service]Ramp{svc: {Warmup: rampWarmup, ColdRate: rampColdRate}})
		}
		d.hosts = append(d.hosts, h)
	}
	d.publish()
	return d
}

// publish passes the list of servers to all hosts.
func (d *rampSim) publish() {
	for _, h := range d.hosts {
		var list []fleet.Server
		for _, sv := range d.servers {
			if sv.listed {
				list = append(list, sv.Server)
			}
		}
		d.apply(h, h.SetServers(d.now, list))
	}
}

// restart starts new processes of servers, which are cold for a time.
func (d *rampSim) restart(warmup clock.Span, servers ...*rampServer) {
	for _, sv := range servers {
		sv.Born++
		sv.Revision++
		sv.Warmup, sv.coldUntil, sv.down, sv.received = warmup, d.now.Add(warmup), false, nil
	}
	d.publish()
}

func (d *rampSim) run(sc rampScenario) {
	perMs := sc.load * rampServers * 2 / rampWork
	for id := uint64(0); d.now < rampLength; d.now++ {
		sc.event(d)
		for _, sv := range d.servers {
			if sv.down && d.now >= sv.upAt {
				d.restart(rampWarmup, sv)
			}
		}
		for range int(perMs + d.rng.Float64()) {
			id++
			h := d.hosts[d.rng.IntN(rampHosts)]
			q := &dcRequest{id: id, arrived: d.now, left: rampWork * d.rng.ExpFloat64(), host: slices.Index(d.hosts, h)}
			h.requests[id] = q
			d.apply(h, h.Submit(d.now, Request{ID: id, Service: svc, Objective: d.now.Add(rampObjective), Deadline: d.now.Add(rampDeadline), Arrived: d.now, RouteMean: rampWork}))
		}
		for _, sv := range d.servers {
			d.serve(sv)
		}
		if d.now%10 != 0 {
			continue
		}
		for i, h := range d.hosts {
			inFlight, queued := h.LocalLoad()
			for j, o := range d.hosts {
				if i != j {
					d.apply(o, o.SetPeerLoad(d.now, keys.Host(fmt.Sprint(i)), inFlight, queued))
				}
			}
			d.apply(h, h.Tick(d.now))
		}
	}
}

func (d *rampSim) apply(h *dcHost, acts []Action) {
	for _, act := range acts {
		switch act := act.(type) {
		case Start:
			d.send(h, h.requests[act.ID], d.servers[slices.IndexFunc(d.servers, func(sv *rampServer) bool { return sv.ID == act.Server.ID })])
		case Refuse:
			d.tally.refused++
		}
	}
}

// send sends a request to a server. A cold one crashes if it gets more than the bound.
func (d *rampSim) send(h *dcHost, q *dcRequest, sv *rampServer) {
	q.sent = d.now
	if d.now < sv.coldUntil {
		sv.received = slices.DeleteFunc(append(sv.received, d.now), func(at clock.Time) bool { return d.now.Sub(at) >= clock.Second })
		d.overload = max(d.overload, len(sv.received))
		if float64(len(sv.received)) > rampColdRate*rampOver+rampSlack {
			d.crashes++
			d.crash(sv)
		}
	}
	switch {
	case sv.down:
		d.lost++
		d.apply(h, h.Done(d.now, sv.ID, Result{ConnFailed: true}))
	case len(sv.queue) >= rampQueue, d.now < sv.weakUntil && len(sv.queue)+len(sv.running) > 0:
		d.tally.refused++
		d.apply(h, h.Done(d.now, sv.ID, Result{Shed: true}))
	default:
		sv.queue = append(sv.queue, q)
	}
}

// crash ends a server with its requests.
func (d *rampSim) crash(sv *rampServer) {
	lost := append(sv.queue, sv.running...)
	sv.queue, sv.running, sv.down, sv.upAt = nil, nil, true, d.now.Add(rampDown)
	for _, q := range lost {
		d.lost++
		h := d.hosts[q.host]
		d.apply(h, h.Done(d.now, sv.ID, Result{ConnFailed: true}))
	}
}

func (d *rampSim) serve(sv *rampServer) {
	for len(sv.running) < 2 && len(sv.queue) > 0 {
		sv.running = append(sv.running, sv.queue[0])
		sv.queue = sv.queue[1:]
	}
	speed := 1.0
	if sv.slow > 0 {
		speed /= sv.slow
	}
	var done []*dcRequest
	sv.running = slices.DeleteFunc(sv.running, func(q *dcRequest) bool {
		if q.left -= speed; q.left > 0 {
			return false
		}
		done = append(done, q)
		return true
	})
	for _, q := range done {
		switch took := d.now.Sub(q.arrived); {
		case took <= rampObjective:
			d.tally.inTime++
		default:
			d.tally.late++
		}
		h := d.hosts[q.host]
		d.apply(h, h.Done(d.now, sv.ID, Result{Duration: d.now.Sub(q.sent), RouteMean: rampWork}))
	}
}

// Guards against servers that are overloaded while they are cold or have just recovered,
// in terms of the callers: with slow start at least the given share of the requests is
// served in time and no cold server crashes, and without it that fails.
func TestSlowStartUnderLoad(t *testing.T) {
	tests := []rampScenario{
		{"cold servers join", 0.8, 0.95, func(d *rampSim) {
			if d.now == 2000 {
				d.restart(rampWarmup, d.servers[:3]...)
			}
		}},
		{"half of the servers come back cold", 0.7, 0.9, func(d *rampSim) {
			if d.now == 2000 {
				d.restart(rampWarmup, d.servers[:5]...)
			}
		}},
		{"recover", 0.7, 0.92, func(d *rampSim) {
			for _, sv := range d.servers[:4] {
				switch d.now % 3000 {
				case 500:
					d.crash(sv)
					sv.upAt = rampLength
				case 1100:
					sv.down, sv.weakUntil = false, d.now.Add(1000)
				}
			}
		}},
		{"flap", 0.7, 0.9, func(d *rampSim) {
			if d.now%400 == 0 {
				for _, sv := range d.servers[:2] {
					sv.listed, sv.weakUntil = !sv.listed, d.now.Add(400)
				}
				d.publish()
			}
		}},
		{"new processes are slow", 0.7, 0.96, func(d *rampSim) {
			if d.now%1500 == 0 {
				d.restart(0, d.servers[:3]...)
			}
			for _, sv := range d.servers[:3] {
				sv.slow = 6
				if d.now%1500 >= 1000 {
					sv.slow = 1
				}
			}
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			for _, on := range []bool{true, false} {
				d := newRampSim(on)
				d.run(tt)
				share := float64(d.tally.inTime) / float64(d.tally.inTime+d.tally.late+d.tally.refused+d.lost)
				t.Logf("slow start %v: %.3f in time; %+v, lost %d, crashes %d, at most %d requests/s to a cold server", on, share, d.tally, d.lost, d.crashes, d.overload)
				is.Equal(share >= tt.inTime && d.crashes == 0, on)
			}
		})
	}
}

// Guards against a server that stays in slow start for as long as this host gets no
// responses of it: where many hosts use a server, each sends it few requests.
func TestSlowStartEnds(t *testing.T) {
	is := is.New(t)
	const warmup = 3 * clock.Second
	s := New("north", oneIdleConn)
	s.SetRamps(map[keys.Service]Ramp{svc: {Warmup: warmup}})
	s.SetServers(0, servers(1))
	s.SetServers(100, servers(2)) // s1 is new
	id := uint64(0)
	loadAfter := func(now clock.Time) int { // of s1, after more requests than both servers have room for
		for range 10 {
			id++
			s.Submit(now, newRequest(id, now))
		}
		return s.servers["s1"].load()
	}
	is.True(loadAfter(200) < 2+serverQueueLen)
	is.Equal(loadAfter(100+clock.Time(warmup)), 2+serverQueueLen)
}
