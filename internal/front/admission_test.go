package front

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/mesh"
	"github.com/laburnummux/laburnummux/internal/place"
	"github.com/laburnummux/laburnummux/internal/relay"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// admissionNet connects the admissions of several hosts.
type admissionNet struct {
	is    *is.I
	hosts map[string]*Host
	order []string // addresses, the best admitter of admitServer first
	// drop reports whether a message is lost; delay returns how late it is.
	drop  atomic.Pointer[dropFunc]
	delay func(from, to string, m mesh.Message) time.Duration
	asked sync.Map // number of asks to an address, *atomic.Int64
}

type dropFunc func(from, to string, m mesh.Message) bool

var admitServer = fleet.Server{ID: "s1", Service: "ledger", Addr: "s1:1", DC: "north", Slots: 2, Born: 1}

func newAdmissionNet(t *testing.T, n int) *admissionNet {
	net := &admissionNet{is: is.New(t), hosts: make(map[string]*Host)}
	for i := range n {
		h := New(Config{Settings: Settings{Host: keys.Host(fmt.Sprintf("h%d", i)), IP: fmt.Sprintf("10.0.0.%d", i+1), DC: "north", ColdOver: 1.5, ColdSlack: 8}, Log: zap.NewNop()})
		net.hosts[h.admission.self] = h
		h.admission.transmit = func(ip string, m mesh.Message) { net.transmit(h.admission.self, ip, m) }
		h.admission.state.SetColdFrom(0)
		h.admission.setServers([]fleet.Server{admitServer})
	}
	for _, h := range net.hosts {
		for ip, o := range net.hosts {
			if o != h {
				h.members.handleHeartbeat(h.clock.Now()+1, &mesh.Heartbeat{From: o.cfg.Settings.Host, IP: ip, DC: "north", Incarnation: 1, Admits: true, Interval: 1000})
			}
		}
		h.admission.updateAdmitters()
		net.order = h.admission.admitters.of(admitServer)
		go func() { _ = h.admission.run(t.Context()) }()
	}
	return net
}

func (n *admissionNet) transmit(from, to string, m mesh.Message) {
	if len(m.Asks) > 0 {
		c, _ := n.asked.LoadOrStore(to, new(atomic.Int64))
		c.(*atomic.Int64).Add(int64(len(m.Asks)))
	}
	if drop := n.drop.Load(); drop != nil && (*drop)(from, to, m) {
		return
	}
	b, err := mesh.Encode(m)
	n.is.NoErr(err)
	wait := time.Duration(0)
	if n.delay != nil {
		wait = n.delay(from, to, m)
	}
	time.AfterFunc(wait, func() {
		m, err := mesh.Decode(b)
		if err == nil {
			n.hosts[to].admission.handle(from, m)
		}
	})
}

func (n *admissionNet) asks(ip string) int64 {
	c, ok := n.asked.Load(ip)
	if !ok {
		return 0
	}
	return c.(*atomic.Int64).Load()
}

// asker returns a host that isn't among the first admitters.
func (n *admissionNet) asker() *admission {
	for ip, h := range n.hosts {
		if ip != n.order[0] && ip != n.order[1] && ip != n.order[2] {
			return h.admission
		}
	}
	return nil
}

// admit asks for a request with a key that may wait for 5 s.
func (n *admissionNet) admit(ctx context.Context, a *admission, cold clock.Span) (adm relay.Admission, took time.Duration) {
	began, now := time.Now(), a.host.clock.Now()
	ask := relay.Ask{Server: admitServer, Objective: now.Add(5000), Deadline: now.Add(10_000), RouteMean: 50, Keyed: true, Cold: cold}
	if cold > 0 {
		ask.ColdRate = 1000
	}
	adm = a.Admit(ctx, ask)
	return adm, time.Since(began)
}

// eventuallyIdle waits until no host has reservations or waiting requests.
func (n *admissionNet) eventuallyIdle() {
	for range 300 {
		idle := true
		for _, h := range n.hosts {
			idle = idle && len(h.admission.queues()) == 0
		}
		if idle {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	n.is.Fail() // reservations are left
}

// lose has all messages lost for which f returns true.
func (n *admissionNet) lose(f dropFunc) { n.drop.Store(&f) }

// loseHost has all messages from and to a host lost.
func (n *admissionNet) loseHost(ip string) {
	n.lose(func(from, to string, _ mesh.Message) bool { return from == ip || to == ip })
}

// The hosts of a server's data centre are ranked in the same way by all hosts, each is
// the admitter of some servers, and the loss of one changes the admitter of no server
// that it didn't have.
func TestRankOfAdmitters(t *testing.T) {
	is := is.New(t)
	var all []candidate
	for i := range 30 {
		all = append(all, newCandidate(keys.Host(fmt.Sprintf("h%02d", i)), fmt.Sprintf("10.0.0.%d", i), []keys.DataCentre{"north", "south"}[i%2], 1))
	}
	var a, b admitters
	a.set(append([]candidate(nil), all...))
	b.set(append([]candidate(nil), all[2:]...))
	count := make(map[string]int)
	for i := range 600 {
		sv := fleet.Server{ID: keys.Server(fmt.Sprintf("s%d", i)), DC: "north"}
		first := a.of(sv)
		is.Equal(len(first), maxAdmitters)
		count[first[0]]++
		if first[0] == "10.0.0.0" {
			first = first[1:]
		}
		is.Equal(b.of(sv)[0], first[0])
		is.Equal(len(a.of(fleet.Server{ID: sv.ID, DC: "none"})), maxAdmitters) // any host
	}
	is.Equal(len(count), 15) // those of the data centre
	for _, n := range count {
		is.True(n > 15 && n < 75)
	}
}

// Guards against admitters with a small part of the processor of others: on a quota they
// reply too late. They are asked only if no other host is left.
func TestStrongHostsAdmitFirst(t *testing.T) {
	is := is.New(t)
	var all []candidate
	for i := range 12 {
		cores := 0.16
		if i%6 == 0 {
			cores = 0.8
		}
		all = append(all, newCandidate(keys.Host(fmt.Sprintf("h%02d", i)), fmt.Sprintf("10.0.0.%d", i), "north", cores))
	}
	var a admitters
	a.set(all)
	for i := range 100 {
		ips := a.of(fleet.Server{ID: keys.Server(fmt.Sprintf("s%d", i)), DC: "north"})
		strong := []string{"10.0.0.0", "10.0.0.6"}
		is.True(slices.Contains(strong, ips[0]) && slices.Contains(strong, ips[1]))
		is.True(!slices.Contains(strong, ips[2]))
	}
}

// Guards against requests that wait for an admitter that is lost, and against each of
// them taking the time-out anew.
func TestAdmitterLost(t *testing.T) {
	n := newAdmissionNet(t, 6)
	n.loseHost(n.order[0])
	a := n.asker()
	adm, took := n.admit(t.Context(), a, 0)
	n.is.Equal(adm.Verdict, relay.AdmitSend)
	n.is.True(adm.Done != nil) // by the next host
	adm.Done(place.Result{Duration: 5})
	n.is.True(took >= askAttempts*askRetransmit)
	n.is.Equal(n.asks(n.order[0]), int64(askAttempts))
	for range 20 {
		adm, _ = n.admit(t.Context(), a, 0)
		n.is.Equal(adm.Verdict, relay.AdmitSend)
		adm.Done(place.Result{Duration: 5})
	}
	n.is.Equal(n.asks(n.order[0]), int64(askAttempts))
	n.eventuallyIdle()
}

// Guards against requests to a cold server that nobody has admitted.
func TestColdWithoutAdmitter(t *testing.T) {
	n := newAdmissionNet(t, 6)
	n.loseHost(n.order[0])
	a := n.asker()
	adm, _ := n.admit(t.Context(), a, 5000)
	n.is.Equal(adm.Verdict, relay.AdmitSend)
	n.is.True(adm.Done != nil) // by the next host
	adm.Done(place.Result{})
	n.lose(func(string, string, mesh.Message) bool { return true })
	adm, _ = n.admit(t.Context(), a, 5000)
	n.is.Equal(adm.Verdict, relay.AdmitRefused)
}

// The requests that wait when their admitter is lost, or stops, must be admitted by the
// next one and not be sent all at once.
func TestQueueOfLostAdmitter(t *testing.T) {
	for _, stops := range []bool{false, true} {
		t.Run(fmt.Sprintf("stops=%v", stops), func(t *testing.T) {
			n := newAdmissionNet(t, 6)
			a := n.asker()
			for range admitServer.Slots + 1 {
				n.admit(t.Context(), a, 0)
			}
			admitted := make(chan relay.Admission, 10)
			for range 4 {
				go func() {
					adm, _ := n.admit(t.Context(), a, 0)
					admitted <- adm
				}()
			}
			time.Sleep(30 * time.Millisecond)
			n.is.Equal(len(admitted), 0)
			began := time.Now()
			if stops {
				n.hosts[n.order[0]].admission.stop()
			} else {
				n.loseHost(n.order[0])
			}
			for range admitServer.Slots + 1 {
				n.is.True((<-admitted).Done != nil)
			}
			if stops {
				n.is.True(time.Since(began) < queuedAskInterval)
			}
			time.Sleep(30 * time.Millisecond)
			n.is.Equal(len(admitted), 0) // the fourth waits
		})
	}
}

// Guards against slots that stay reserved: by an admission whose reply came too late, by
// a caller that has left, or by lost messages.
func TestReservationsAreGivenBack(t *testing.T) {
	t.Run("late replies", func(t *testing.T) {
		n := newAdmissionNet(t, 6)
		n.delay = func(_, _ string, m mesh.Message) time.Duration {
			return time.Duration(len(m.AskReplies)) * 80 * time.Millisecond
		}
		adm, _ := n.admit(t.Context(), n.asker(), 0)
		n.is.True(adm.Verdict == relay.AdmitSend && adm.Done == nil)
		time.Sleep(100 * time.Millisecond)
		n.eventuallyIdle()
	})
	t.Run("caller has left", func(t *testing.T) {
		n := newAdmissionNet(t, 6)
		a := n.asker()
		var held []relay.Admission
		for range admitServer.Slots + 1 {
			adm, _ := n.admit(t.Context(), a, 0)
			held = append(held, adm)
		}
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
		defer cancel()
		adm, _ := n.admit(ctx, a, 0)
		n.is.Equal(adm.Verdict, relay.AdmitEnded)
		for _, adm := range held {
			adm.Done(place.Result{Cancelled: true})
		}
		n.eventuallyIdle()
	})
}

// With many lost messages, the admitted requests at a server must stay within its slots
// and one more for each of the hosts that act as its admitter, and all requests must come
// to an end.
func TestAdmissionWithLoss(t *testing.T) {
	n := newAdmissionNet(t, 6)
	n.lose(func(_, _ string, m mesh.Message) bool { return len(m.AskDones) == 0 && rand.Float64() < 0.2 })
	var running, most, unadmitted atomic.Int64
	var calls sync.WaitGroup
	for _, h := range n.hosts {
		for range 4 {
			calls.Go(func() {
				for range 10 {
					adm, _ := n.admit(t.Context(), h.admission, 0)
					if adm.Done == nil {
						unadmitted.Add(1)
						continue
					}
					most.Store(max(most.Load(), running.Add(1)))
					time.Sleep(2 * time.Millisecond)
					running.Add(-1)
					adm.Done(place.Result{Duration: 2})
				}
			})
		}
	}
	calls.Wait()
	t.Logf("at most %d, %d of 240 without admission", most.Load(), unadmitted.Load())
	n.is.True(most.Load() <= int64(maxAdmitters*(admitServer.Slots+1)))
	n.eventuallyIdle()
}

// BenchmarkAdmission asks for the admission of a request at another host and ends it,
// with the encoding of the messages. The time must not grow with the number of hosts.
func BenchmarkAdmission(b *testing.B) {
	for _, n := range []int{12, 100, 4000} {
		b.Run(fmt.Sprintf("hosts=%d", n), func(b *testing.B) {
			hosts := make(map[string]*Host)
			for i := range 2 {
				h := New(Config{Settings: Settings{Host: keys.Host(fmt.Sprintf("h%d", i)), IP: fmt.Sprintf("10.0.0.%d", i+1), DC: "north"}, Log: zap.NewNop()})
				hosts[h.admission.self] = h
				h.admission.transmit = func(ip string, m mesh.Message) {
					data, _ := mesh.Encode(m)
					got, _ := mesh.Decode(data)
					hosts[ip].admission.handle(h.admission.self, got)
				}
				for j := range n {
					h.members.handleHeartbeat(h.clock.Now()+1, &mesh.Heartbeat{
						From: keys.Host(fmt.Sprintf("o%d", j)), IP: fmt.Sprintf("10.1.%d.%d", j/250, j%250), DC: "south", Incarnation: 1, Admits: true, Interval: 100_000,
					})
				}
				h.members.handleHeartbeat(h.clock.Now()+1, &mesh.Heartbeat{From: "h1", IP: "10.0.0.2", DC: "north", Incarnation: 1, Admits: true, Interval: 100_000})
				h.admission.updateAdmitters()
			}
			a := hosts["10.0.0.1"].admission
			sv := admitServer
			for a.admitters.of(sv)[0] == a.self {
				sv.ID += "x"
			}
			b.ReportAllocs()
			for b.Loop() {
				now := a.host.clock.Now()
				a.Admit(b.Context(), relay.Ask{Server: sv, Objective: now.Add(500), Deadline: now.Add(2000), RouteMean: 50, Keyed: true}).Done(place.Result{Duration: 5, Load: 1, HasLoad: true})
			}
		})
	}
}
