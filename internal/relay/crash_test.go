package relay

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/caller"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/intent"
	"github.com/laburnummux/laburnummux/internal/place"
	"github.com/laburnummux/laburnummux/internal/retry"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// lossSim sends one request to one server after the other, each of which is lost.
type lossSim struct {
	*Relay
	servers []fleet.Server
	sig     retry.Signature
}

// newLossSim returns a host whose servers have all responded.
func newLossSim() *lossSim {
	s := &lossSim{Relay: newRelay(), sig: retry.Signature{Op: "POST h"}}
	for i := range 9 {
		s.servers = append(s.servers, fleet.Server{ID: keys.Server(fmt.Sprint("s", i)), Service: "bookings", DC: "north", Addr: "127.0.0.1:1", Slots: 2, Born: 1})
	}
	s.cfg.Clock = clock.Manual(5000)
	s.SetServers(s.servers)
	for i := range s.servers {
		adm := s.quarantine.Start(s.cfg.Clock.Now(), s.servers[i].ID, retry.Signature{Op: "GET h"})
		s.quarantine.End(s.cfg.Clock.Now(), adm.Ticket, true)
	}
	return s
}

// send sends the request to a server.
func (s *lossSim) send(i int) retry.Admission {
	s.quarantine.Tick(s.cfg.Clock.Now())
	return s.quarantine.Start(s.cfg.Clock.Now(), s.servers[i].ID, s.sig)
}

// lose sends the request to a server and loses it after 20 ms.
func (s *lossSim) lose(i int, kind retry.LossKind) {
	adm := s.send(i)
	s.cfg.Clock.Advance(20)
	s.quarantine.ServerLost(s.cfg.Clock.Now(), s.cfg.Clock.Now(), adm.Ticket, kind)
}

// restart lists a later process of a server.
func (s *lossSim) restart(i int) {
	s.servers[i].Born++
	s.SetServers(s.servers)
}

// Guards against a network partition that is taken for crashes: without the
// check, the partition of a data centre left harmless requests in quarantine. It also
// guards against crashes that are taken for a partition because servers are lost within
// a second of each other: a request that came every 0.7 s was never quarantined.
func TestPartitionIsNoCrash(t *testing.T) {
	tests := []struct {
		name string
		kind retry.LossKind
		gap  clock.Span // between two losses
		// then happens to the servers after the loss.
		then func(s *lossSim)
		want bool
	}{
		{"refused every 0.7 s", retry.Refused, 700, nil, true},
		{"refused every 0.3 s", retry.Refused, 300, nil, true},
		{"refused every 5 s", retry.Refused, 5000, nil, true},
		{"unreachable every 0.7 s", retry.Unreachable, 700, nil, false},
		{"unreachable every 5 s", retry.Unreachable, 5000, nil, false},
		{"unreachable, then later processes", retry.Unreachable, 700, func(s *lossSim) {
			for i := range 3 {
				s.restart(i)
			}
		}, true},
		{"accept connections again, then later processes", retry.Alive, 700, func(s *lossSim) {
			for i := range 3 {
				s.restart(i)
			}
		}, true},
		{"accept connections again", retry.Alive, 700, nil, false},
		{"later processes after a minute", retry.Unreachable, 700, func(s *lossSim) {
			s.cfg.Clock.Advance(30 * clock.Second)
			for i := range 3 {
				s.restart(i)
			}
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newLossSim()
			for i := range 3 {
				s.lose(i, tt.kind)
				s.cfg.Clock.Advance(tt.gap)
			}
			if tt.then != nil {
				tt.then(s)
			}
			is.Equal(!s.send(5).Run, tt.want)
		})
	}
}

// Guards against a sound request that was at several servers when they were lost
// together, and against one whose servers were lost one by one among others, or that
// completed in between.
func TestLostTogether(t *testing.T) {
	tests := []struct {
		name string
		lose func(s *lossSim)
		want bool
	}{
		{"at three servers at once", func(s *lossSim) {
			var list []retry.Admission
			for i := range 3 {
				list = append(list, s.send(i))
			}
			s.cfg.Clock.Advance(300)
			for i, adm := range list {
				s.quarantine.ServerLost(s.cfg.Clock.Now(), s.cfg.Clock.Now().Add(clock.Span(i)), adm.Ticket, retry.Refused)
			}
		}, false},
		{"others are lost too", func(s *lossSim) {
			for i := range 3 {
				other := s.quarantine.Start(s.cfg.Clock.Now(), s.servers[8-i].ID, retry.Signature{Op: "GET h"})
				s.recordDialFailure(s.cfg.Clock.Now(), s.servers[8-i], other.Ticket, syscall.ECONNREFUSED)
				s.quarantine.End(s.cfg.Clock.Now(), other.Ticket, false)
				s.lose(i, retry.Refused)
				s.cfg.Clock.Advance(400)
			}
		}, false},
		{"one other is lost", func(s *lossSim) {
			other := s.quarantine.Start(s.cfg.Clock.Now(), s.servers[8].ID, retry.Signature{Op: "GET h"})
			s.recordDialFailure(s.cfg.Clock.Now(), s.servers[8], other.Ticket, syscall.ECONNREFUSED)
			s.quarantine.End(s.cfg.Clock.Now(), other.Ticket, false)
			for i := range 6 {
				s.lose(i, retry.Refused)
				s.cfg.Clock.Advance(400)
			}
		}, true},
		{"completes before the last", func(s *lossSim) {
			for i := range 3 {
				if i == 2 {
					adm := s.send(6)
					s.cfg.Clock.Advance(20)
					s.quarantine.End(s.cfg.Clock.Now(), adm.Ticket, true)
				}
				s.lose(i, retry.Refused)
				s.cfg.Clock.Advance(400)
			}
		}, false},
		{"the servers respond again", func(s *lossSim) {
			for i := range 2 {
				s.lose(i, retry.Refused)
				s.cfg.Clock.Advance(400)
				other := s.quarantine.Start(s.cfg.Clock.Now(), s.servers[i].ID, retry.Signature{Op: "GET h"})
				s.quarantine.End(s.cfg.Clock.Now(), other.Ticket, true)
			}
			s.lose(2, retry.Refused)
		}, false},
		{"the servers are leaving", func(s *lossSim) {
			for i := range 3 {
				s.ServerLeaves(s.servers[i].Incarnation())
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					panic(err)
				}
				addr := ln.Addr().String()
				ln.Close()
				adm := s.send(i)
				s.cfg.Clock.Advance(20)
				p := s.newPool(fleet.Server{Addr: addr})
				(&crashCheck{relay: s.Relay, server: s.servers[i], pool: p, ticket: adm.Ticket, lostAt: s.cfg.Clock.Now()}).run()
				s.cfg.Clock.Advance(400)
			}
		}, false},
		{"the servers refuse connections", func(s *lossSim) {
			for i := range 3 {
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					panic(err)
				}
				addr := ln.Addr().String()
				ln.Close()
				adm := s.send(i)
				s.cfg.Clock.Advance(20)
				p := s.newPool(fleet.Server{Addr: addr})
				(&crashCheck{relay: s.Relay, server: s.servers[i], pool: p, ticket: adm.Ticket, lostAt: s.cfg.Clock.Now()}).run()
				s.cfg.Clock.Advance(400)
			}
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newLossSim()
			tt.lose(s)
			is.Equal(!s.send(7).Run && !s.send(7).Wait, tt.want)
		})
	}
}

// placeAll has all requests that wait for placement placed on a server.
func (s *lossSim) placeAll(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, ch := range s.pending {
		delete(s.pending, id)
		ch <- place.Start{ID: id, Server: s.servers[i]}
	}
}

// Guards against a response that promises that a request has not run, though it was sent
// to a server before it was quarantined.
func TestQuarantinedAfterSend(t *testing.T) {
	tests := []struct {
		name       string
		mayHaveRun bool
		status     int
	}{
		{"sent before", true, http.StatusBadGateway},
		{"never sent", false, http.StatusServiceUnavailable},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newLossSim()
			c := &call{
				relay: s.Relay, req: &caller.Request{Method: "GET", Target: "/x"}, cfg: new(intent.Config), route: &intent.Route{Name: "r"},
				service: "bookings", started: s.cfg.Clock.Now(), deadline: s.cfg.Clock.Now().Add(clock.Minute), mayHaveRun: tt.mayHaveRun,
			}
			s.ImportSuspects([]retry.SuspectRecord{{Signature: c.signature(), Crashes: 3, Quarantined: true, Remaining: clock.Minute}}, nil)
			done := make(chan caller.Response, 1)
			go func() { done <- c.run(t.Context()) }()
			for {
				select {
				case resp := <-done:
					is.Equal(resp.Status, tt.status)
					return
				case <-time.After(time.Millisecond):
					s.placeAll(0)
				}
			}
		})
	}
}

// Guards against hosts that each count only their own crashes, that count a loss
// twice, and against a request that completed at one host and is quarantined at
// another.
func TestHostsAddLosses(t *testing.T) {
	tests := []struct {
		name      string
		servers   []int // lost in turn by the two hosts
		completes bool  // at the other host at last
		want      bool
	}{
		{"three servers", []int{0, 1, 2}, false, true},
		{"two servers", []int{0, 1}, false, false},
		{"two servers, each lost by both hosts", []int{0, 0, 1, 1}, false, false},
		{"three servers, but it completes", []int{0, 1, 2}, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			hosts := []*lossSim{newLossSim(), newLossSim()}
			advance := func(d clock.Span) {
				for _, h := range hosts {
					h.cfg.Clock.Advance(d)
				}
			}
			for n, sv := range tt.servers {
				h := hosts[n%2]
				adm := h.send(sv)
				advance(20)
				if tt.completes && n == 2 {
					done := hosts[1].send(6)
					hosts[1].quarantine.End(hosts[1].cfg.Clock.Now(), done.Ticket, true)
					list, losses := hosts[1].Suspects()
					h.ImportSuspects(list, losses)
				}
				h.quarantine.ServerLost(h.cfg.Clock.Now(), h.cfg.Clock.Now(), adm.Ticket, retry.Refused)
				advance(400)
				for i, from := range hosts {
					hosts[1-i].ImportSuspects(from.Suspects())
				}
			}
			for _, h := range hosts {
				adm := h.send(7)
				is.Equal(!adm.Run && !adm.Wait, tt.want)
			}
		})
	}
}

// Guards against a lack of descriptors or a caller that left which count as the loss of
// a server.
func TestLossKind(t *testing.T) {
	tests := []struct {
		err  error
		want retry.LossKind
		ok   bool
	}{
		{&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}, retry.Refused, true},
		{&net.OpError{Op: "dial", Err: os.NewSyscallError("connect", syscall.EHOSTUNREACH)}, retry.Unreachable, true},
		{&net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}, retry.Unreachable, true},
		{&net.OpError{Op: "dial", Err: os.NewSyscallError("socket", syscall.EMFILE)}, 0, false},
		{context.Canceled, 0, false},
	}
	for _, tt := range tests {
		t.Run(tt.err.Error(), func(t *testing.T) {
			is := is.New(t)
			kind, ok := lossKind(fmt.Errorf("dial: %w", tt.err))
			is.Equal(kind, tt.want)
			is.Equal(ok, tt.ok)
		})
	}
}
