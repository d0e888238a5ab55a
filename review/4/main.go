// Command 4 is a case of the review: several servers leave together without reporting
// that they drain, in a deployment of five data centres.
//
// # Usage
//
//	TROUBLE=1 target/review/4 review/4
package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/laburnummux/laburnummux/review/lab"
)

const (
	servers      = 15
	leaving      = 4 // servers that leave together
	rounds       = 18
	roundTime    = 5 * time.Second
	startGap     = 230 * time.Millisecond // between the starts of the new servers
	warmup       = 3 * time.Second
	leaveAfter   = 1800 * time.Millisecond // since the start of a round
	stableWindow = 3 * time.Second
	drain        = 2 * time.Second
	extraTime    = 50 * time.Millisecond // for which a server goes on serving after drain
	work         = 15 * time.Millisecond
	period       = 9 * time.Millisecond // of the bookings at each entry host
	deadline     = 2 * time.Second
	maxIdle      = 64 // connections to each entry host
)

// hosts has the zone of each entry host.
var hosts = []string{"akl-a", "akl-b", "hlz-a", "hlz-a", "hlz-a", "tga-a", "tga-a", "tga-a", "wlg-a", "wlg-a", "wlg-a"}

var zones = []string{"akl-a", "akl-b", "hlz-a", "tga-a", "wlg-a"}

// bench is the state of the case.
type bench struct {
	lab *lab.Lab

	mu     sync.Mutex
	gone   map[string]time.Time // when the store acknowledged that a server is gone
	exited map[string]bool
	late   int           // arrivals later than drain after that
	latest time.Duration // of them
	cut    int           // late ones that the exit of their server ended
}

func main() {
	code, err := run(os.Args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, "case 4:", err)
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
	b := &bench{lab: l, gone: make(map[string]time.Time), exited: make(map[string]bool)}
	l.Configure(1, []lab.Service{{Name: "bookings"}}, []lab.Route{{Name: "bookings", Kind: "unsafe", Service: "bookings", Timeout: "1000ms", Objective: "500ms", Attempts: 2}})
	var up []*lab.Server
	for i := range servers {
		s, err := b.startServer(i)
		if err != nil {
			return lab.Failed, err
		}
		up = append(up, s)
	}
	var fronts []*lab.Host
	for i, zone := range hosts {
		h, err := l.StartHost(fmt.Sprintf("front-%s-%d", zone, i), zone)
		if err != nil {
			return lab.Failed, err
		}
		fronts = append(fronts, h)
	}
	if err := l.AwaitReady(); err != nil {
		return lab.Failed, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, h := range fronts {
		wg.Add(1)
		go b.sendAll(ctx, &wg, h)
	}
	time.Sleep(stableWindow + time.Second)
	err = b.play(up)
	cancel()
	wg.Wait()
	if err != nil {
		return lab.Failed, err
	}
	return b.judge(), nil
}

func (b *bench) startServer(n int) (*lab.Server, error) {
	return b.lab.StartServer(fmt.Sprintf("i-booking-%02d", n), "bookings", zones[n%len(zones)], b.handle)
}

// play replaces servers together: the new ones start first, then the old ones leave.
func (b *bench) play(up []*lab.Server) error {
	for round := range rounds {
		if !lab.Trouble() {
			time.Sleep(roundTime)
			continue
		}
		began := time.Now()
		for i := range leaving {
			s, err := b.startServer(servers + round*leaving + i)
			if err != nil {
				return err
			}
			s.WarmUp(warmup)
			up = append(up, s)
			time.Sleep(startGap)
		}
		time.Sleep(time.Until(began.Add(leaveAfter)))
		for _, s := range up[:leaving] {
			b.leave(s)
		}
		up = up[leaving:]
		time.Sleep(time.Until(began.Add(roundTime)))
	}
	return nil
}

// leave has a server leave without reporting that it drains.
func (b *bench) leave(s *lab.Server) {
	s.Unregister()
	b.mu.Lock()
	b.gone[s.ID] = time.Now()
	b.mu.Unlock()
	b.lab.Record("the store has removed the registration of %s; it goes on serving", s.ID)
	time.AfterFunc(drain+extraTime, func() { b.exit(s) })
}

func (b *bench) exit(s *lab.Server) {
	b.mu.Lock()
	b.exited[s.ID] = true
	b.mu.Unlock()
	s.Exit()
	b.lab.Record("%s exits", s.ID)
}

// sendAll sends bookings to an entry host.
func (b *bench) sendAll(ctx context.Context, wg *sync.WaitGroup, h *lab.Host) {
	defer wg.Done()
	conns := &http.Transport{MaxIdleConnsPerHost: maxIdle, DisableCompression: true}
	t := time.NewTicker(period)
	defer t.Stop()
	for n := 0; ; n++ {
		wg.Add(1)
		go b.send(wg, conns, h, fmt.Sprintf("%s-%d", h.Name, n))
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

func (b *bench) send(wg *sync.WaitGroup, conns *http.Transport, h *lab.Host, id string) {
	defer wg.Done()
	b.lab.Record("sent %s", id)
	status, signed := lab.SendOn(context.Background(), conns, h.Addr(), lab.Request{Method: http.MethodPost, Path: "/bookings/" + id, ID: id, Body: "booking", Deadline: deadline})
	b.lab.Record("answered %s: %d, signed %t", id, status, signed)
}

// handle runs a request at a server.
func (b *bench) handle(s *lab.Server, w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Laburnummux-Attempt-Id")
	late := b.arrived(s.ID, id)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return // the sender has closed the connection
	}
	time.Sleep(work)
	b.mu.Lock()
	cut := b.exited[s.ID]
	if late && cut {
		b.cut++
	}
	b.mu.Unlock()
	if cut {
		b.lab.Record("%s was at work on %s when it exited", s.ID, id)
		return
	}
	s.Answer(w, r)
}

// arrived records the arrival of a request, and reports whether its server is gone
// for longer than drain.
func (b *bench) arrived(server, id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, ok := b.gone[server]
	since := time.Since(at)
	if !ok {
		b.lab.Record("%s runs %s", server, id)
		return false
	}
	b.lab.Record("%s runs %s, %v after its registration was removed", server, id, since.Round(time.Millisecond))
	if since <= drain {
		return false
	}
	b.late++
	b.latest = max(b.latest, since)
	return true
}

// judge checks the rule DRAIN about requests to servers that are gone.
func (b *bench) judge() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lab.Record("%d requests reached a server later than %v after it was gone, the latest after %v; %d of them were cut by its exit", b.late, drain, b.latest.Round(time.Millisecond), b.cut)
	if b.late > 0 {
		b.lab.Record("rule DRAIN is broken")
		return lab.Broken
	}
	b.lab.Record("rule DRAIN held")
	return lab.Held
}
