package place

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Guards against a server that joins at low load and never gets a request
// because the others are known to be fast; it may be faster still. One request
// by one host is enough, and none is sent during the warm-up.
func TestNewServerExploration(t *testing.T) {
	const hosts, warmup, joined = 4, 3 * clock.Second, clock.Time(10_000)
	tests := []struct {
		name  string
		at    clock.Time // of the requests
		peers int        // requests that another host has at the new server
		dc    keys.DataCentre
		want  int
	}{
		{"cold", joined + 100, 0, "north", 0},
		{"warm", joined.Add(warmup), 0, "north", 1},
		{"explored by another host", joined.Add(warmup), 1, "north", 0},
		{"in another data centre", joined.Add(warmup), 0, "south", 0}, // explored by its own hosts
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newState(3)
			s.SetHosts(hosts, nil)
			for _, sv := range s.servers {
				sv.serviceTimeRatio, sv.explored = 0.6, true
			}
			s.SetServers(joined, append(servers(3), fleet.Server{ID: "new", Service: svc, Addr: "new", DC: tt.dc, Slots: 2, Born: 1, Warmup: warmup}))
			s.SetPeerLoad(tt.at, "other", map[keys.Server]int{"new": tt.peers}, nil)
			s.SetPeerLoad(tt.at, "other", nil, nil)
			got := 0
			for id := range uint64(5 * hosts) {
				sv := s.Submit(tt.at, newRequest(id, tt.at))[0].(Start).Server
				if sv.ID == "new" {
					got++
				}
				s.Done(tt.at.Add(100), sv.ID, Result{Duration: 60, RouteMean: 100})
			}
			is.Equal(got, tt.want)
		})
	}
}

// Guards against a new server that is explored by every host: each of 91 hosts
// would open a connection to each new server.
func TestOneHostExplores(t *testing.T) {
	is := is.New(t)
	const hosts = 20
	var all []*State
	for i := range hosts {
		s := newState(3)
		s.SetHosts(hosts, nil)
		s.rotation = i // hosts have handled different numbers of requests
		for _, sv := range s.servers {
			sv.serviceTimeRatio, sv.explored = 0.6, true
		}
		s.SetServers(0, append(servers(3), fleet.Server{ID: "new", Service: svc, Addr: "new", DC: "north", Slots: 2, Born: 1}))
		all = append(all, s)
	}
	explorations := 0
	for n := range 10 * hosts {
		from := n % hosts
		sv := all[from].Submit(0, newRequest(uint64(n), 0))[0].(Start).Server
		if sv.ID == "new" {
			explorations++
			for i, s := range all {
				if i != from {
					s.SetPeerLoad(0, keys.Host(fmt.Sprint(from)), map[keys.Server]int{"new": 1}, nil)
				}
			}
		}
		all[from].Done(100, sv.ID, Result{Duration: 60, RouteMean: 100})
	}
	is.Equal(explorations, 1)
}

// The load of the other hosts is a running sum, so that its cost doesn't grow with
// the number of hosts. It must stay the sum of the last reports, whatever order
// lists of servers, reports and their expiry come in.
func TestSumOfPeerLoads(t *testing.T) {
	is := is.New(t)
	s := newState(3)
	s.SetPeerLoad(0, "a", map[keys.Server]int{"s0": 2, "s1": 1}, nil)
	s.SetPeerLoad(0, "b", map[keys.Server]int{"s0": 3, "new": 4}, nil)
	is.Equal(s.servers["s0"].load(), 5)
	s.SetServers(10, append(servers(2), fleet.Server{ID: "new", Service: svc, Addr: "new", DC: "north", Slots: 2, Born: 1}))
	is.Equal(s.servers["s0"].load(), 5)
	is.Equal(s.servers["new"].load(), 4) // reported before it was listed
	s.SetPeerLoad(20, "a", map[keys.Server]int{"s1": 7}, nil)
	is.Equal(s.servers["s0"].load(), 3)
	is.Equal(s.servers["s1"].load(), 7)
	s.Tick(clock.Time(peerMaxAge) + 1) // the report of b expires
	is.Equal(s.servers["s0"].load(), 0)
	is.Equal(s.servers["new"].load(), 0)
	is.Equal(s.servers["s1"].load(), 7)
}

// A host reports exactly the servers at which it has requests in flight, also
// after a server has restarted.
func TestLocalLoad(t *testing.T) {
	is := is.New(t)
	s := newState(2)
	s.Submit(0, newRequest(1, 0))
	s.Submit(0, newRequest(2, 0))
	inFlight, _ := s.LocalLoad()
	is.Equal(inFlight, map[keys.Server]int{"s0": 1, "s1": 1})
	restarted := servers(2)
	restarted[0].Born = 2
	s.SetServers(10, restarted)
	inFlight, _ = s.LocalLoad()
	is.Equal(inFlight, map[keys.Server]int{"s0": 1, "s1": 1}) // the calls haven't returned yet
	s.Done(20, "s0", Result{Cancelled: true})
	inFlight, _ = s.LocalLoad()
	is.Equal(inFlight, map[keys.Server]int{"s1": 1})
}
