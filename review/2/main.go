// Command 2 is a case of the review: while the store is down, a server that holds
// keys ends, and its address goes to a server of another service with keys.
//
// # Usage
//
//	TROUBLE=1 target/review/2 review/2
package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/laburnummux/laburnummux/platform/fakes"
	"github.com/laburnummux/laburnummux/review/lab"
)

const (
	serversPerService = 3
	hosts             = 2
	settleTime        = 8 * time.Second
	outage            = 8 * time.Second
	crashAfter        = 500 * time.Millisecond // since the start of the outage
	reuseAfter        = 2 * time.Second
	expiry            = 3 * 870 * time.Millisecond
	backAfter         = time.Second // since the end of the outage, for registrations
	afterwards        = 5 * time.Second
	samplePeriod      = 20 * time.Millisecond
	maxShared         = 500 * time.Millisecond // for which two servers may hold a key
)

var services = []string{"ledger", "stock"}

// bench is the state of the case.
type bench struct {
	lab     *lab.Lab
	mu      sync.Mutex
	servers []*server
	shared  map[string]time.Time // since when two servers hold the same keys
	longest time.Duration
	pair    string
}

// server is a backend server that is up.
type server struct {
	*fakes.Server
	id, service string
}

func main() {
	code, err := run(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "case 2:", err)
		code = lab.Failed
	}
	os.Exit(code)
}

func run(dir string) (code int, err error) {
	l, err := lab.New(dir)
	if err != nil {
		return lab.Failed, err
	}
	defer l.Close()
	b := &bench{lab: l, shared: make(map[string]time.Time)}
	defer b.close()
	var ss []lab.Service
	var rs []lab.Route
	for _, s := range services {
		ss = append(ss, lab.Service{Name: s, Keyed: true})
		rs = append(rs, lab.Route{Name: s, Kind: "safe", Service: s, Timeout: "1000ms", Objective: "500ms", Attempts: 2})
	}
	l.Configure(1, ss, rs)
	for _, s := range services {
		for i := range serversPerService {
			b.start(fmt.Sprintf("i-%s-%d", s, i), s, "")
		}
	}
	for i := range hosts {
		zone := []string{"akl-a", "akl-b"}[i]
		if _, err := l.StartHost("front-"+zone+"-1", zone); err != nil {
			return lab.Failed, err
		}
	}
	if err := l.AwaitReady(); err != nil {
		return lab.Failed, err
	}
	stop := make(chan struct{})
	done := make(chan struct{})
	go b.watch(stop, done)
	time.Sleep(settleTime)
	if n := b.holders(); n != len(services)*serversPerService {
		return lab.Failed, fmt.Errorf("%d servers hold keys after %v", n, settleTime)
	}
	b.play()
	close(stop)
	<-done
	return b.judge(), nil
}

// start starts a server and registers it, unless the store is down.
func (b *bench) start(id, service, addr string) *server {
	s := &server{id: id, service: service}
	s.Server = fakes.NewServer(fakes.ServerConfig{ID: id, Service: service, Zone: "akl-a", Slots: 2, Keyed: true, Addr: addr, Observe: func(ev fakes.Event) {
		switch ev := ev.(type) {
		case fakes.Granted:
			b.lab.Record("%s takes keys %d to %d of %s, fence %d, until %.3f", id, ev.From, ev.To, service, ev.Fence, b.lab.Since().Seconds()+time.Until(ev.Until).Seconds())
		case fakes.Released:
			b.lab.Record("%s releases keys %d to %d of %s", id, ev.From, ev.To, service)
		}
	}})
	b.mu.Lock()
	b.servers = append(b.servers, s)
	b.mu.Unlock()
	b.lab.Record("%s of %s is up at %s", id, service, s.Addr())
	if addr == "" {
		b.lab.Store.Put("servers", id, s.Registration())
	}
	return s
}

// end ends a server.
func (b *bench) end(s *server) {
	s.Close()
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, x := range b.servers {
		if x == s {
			b.servers = append(b.servers[:i], b.servers[i+1:]...)
			break
		}
	}
	b.lab.Record("%s of %s has ended", s.id, s.service)
}

func (b *bench) close() {
	for _, s := range b.servers {
		s.Close()
	}
}

// play has the first server of the first service replaced at its address by a server
// of the second one while the store is down.
func (b *bench) play() {
	if !lab.Trouble() {
		time.Sleep(outage + afterwards)
		return
	}
	b.lab.Record("the store is down")
	b.lab.Store.SetFault(fakes.NoResponse)
	time.Sleep(crashAfter)
	x := b.servers[0]
	b.end(x)
	time.AfterFunc(expiry, func() { b.lab.Store.Remove("servers", x.id) })
	time.Sleep(reuseAfter)
	z := b.start("i-"+services[1]+"-new", services[1], x.Addr())
	time.Sleep(outage - crashAfter - reuseAfter)
	b.lab.Record("the store is back")
	b.lab.Store.SetFault(fakes.NoFault)
	time.Sleep(backAfter)
	b.lab.Store.Put("servers", z.id, z.Registration())
	time.Sleep(afterwards)
}

// holders returns the number of servers with keys.
func (b *bench) holders() (n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, s := range b.servers {
		if len(s.Leases()) > 0 {
			n++
		}
	}
	return n
}

// watch looks for keys that two servers of a service hold.
func (b *bench) watch(stop, done chan struct{}) {
	defer close(done)
	t := time.NewTicker(samplePeriod)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-t.C:
			b.sample(now)
		}
	}
}

func (b *bench) sample(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, x := range b.servers {
		for _, y := range b.servers[i+1:] {
			pair := x.id + " and " + y.id
			if x.service != y.service || !overlap(x.Leases(), y.Leases()) {
				delete(b.shared, pair)
				continue
			}
			since, ok := b.shared[pair]
			if !ok {
				b.shared[pair] = now
				b.lab.Record("%s of %s hold the same keys from now on", pair, x.service)
				continue
			}
			if d := now.Sub(since); d > b.longest {
				b.longest, b.pair = d, pair
			}
		}
	}
}

// overlap reports whether two lists of leases have a key in common.
func overlap(x, y []fakes.Lease) bool {
	for _, a := range x {
		for _, c := range y {
			if a.From <= c.To && c.From <= a.To {
				return true
			}
		}
	}
	return false
}

// judge checks the rule OWNER about keys that two servers hold.
func (b *bench) judge() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lab.Record("longest time for which two servers of a service held the same keys: %v (%s)", b.longest.Round(time.Millisecond), b.pair)
	if b.longest > maxShared {
		b.lab.Record("rule OWNER is broken")
		return lab.Broken
	}
	b.lab.Record("rule OWNER held")
	return lab.Held
}
