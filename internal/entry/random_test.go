package entry_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/laburnummux/laburnummux/internal/devel"
	"github.com/laburnummux/laburnummux/internal/fakes"
	"github.com/laburnummux/laburnummux/pkg/answer"
)

// Guards, under a seeded mix of faults, against requests that ran and are
// reported as "not-run", non-idempotent requests that run twice, and answers
// that are not the request's own. The servers' counters are the oracle.
func TestRandomFaults(t *testing.T) {
	const seed, requests, workers = 20261204, 25, 6
	s := start(t, 2)
	waitOnce(t, s)
	stop := make(chan struct{})
	var wg, faults sync.WaitGroup
	faults.Go(func() { injectFaults(s, rand.New(rand.NewPCG(seed, 0)), stop) })
	all := make([][]outcome, workers)
	for w := range workers {
		wg.Go(func() {
			rng := rand.New(rand.NewPCG(seed, uint64(w)+1))
			for range requests {
				all[w] = append(all[w], randomRequest(t, s, rng))
			}
		})
	}
	wg.Wait()
	close(stop)
	faults.Wait()
	compare(t, s, slices.Concat(all...))
}

// outcome is what the callers of a request were told.
type outcome struct {
	once     bool // not idempotent
	replies  []reply
	path, id string
}

func randomRequest(t *testing.T, s *devel.System, rng *rand.Rand) outcome {
	k := rng.IntN(20)
	o := outcome{id: newID(t), once: rng.IntN(2) == 0}
	method := http.MethodGet
	o.path = []string{fmt.Sprintf("/ledger/tin-%d", k), fmt.Sprintf("/catalogue/tins/%d", k)}[rng.IntN(2)]
	if o.once {
		method = http.MethodPost
		o.path = []string{fmt.Sprintf("/ledger/tin-%d/entries", k), "/bookings"}[rng.IntN(2)]
	}
	query := fmt.Sprintf("?work=%d", rng.IntN(30))
	for range 1 + rng.IntN(3) {
		host := rng.IntN(len(s.Hosts()))
		o.replies = append(o.replies, callWithin(t, method, url(s, host)+o.path+query, o.id, "x", 100+rng.IntN(900)))
	}
	return o
}

// injectFaults switches one fault after the other, and heals everything at the
// end.
func injectFaults(s *devel.System, rng *rand.Rand, stop chan struct{}) {
	names := s.Servers()
	for n := 0; ; n++ {
		srv := s.Server(names[rng.IntN(len(names))])
		b := srv.Backend()
		switch rng.IntN(9) {
		case 0:
			b.Freeze()
		case 1, 2:
			b.Resume()
		case 3:
			srv.Kill()
		case 4, 5:
			srv.Restart()
		case 6:
			b.Truncate(2)
			b.Cross(1)
		case 7:
			b.Drain()
		case 8:
			s.Store().SetOutage([]fakes.Outage{fakes.NoOutage, fakes.Refuse, fakes.Hang}[rng.IntN(3)])
		}
		if n == 20 {
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			s.Hosts()[rng.IntN(len(s.Hosts()))].Stop(ctx) // callers of it fail to connect from now on
			cancel()
		}
		select {
		case <-stop:
			s.Store().SetOutage(fakes.NoOutage)
			for _, name := range names {
				s.Server(name).Backend().Resume()
				s.Server(name).Backend().WaitIdle() // what resumed may still run
			}
			return
		case <-time.After(time.Duration(rng.IntN(60)) * time.Millisecond):
		}
	}
}

// compare checks what callers were told against what ran.
func compare(t *testing.T, s *devel.System, all []outcome) {
	counts := make(map[answer.Outcome]int)
	for _, o := range all {
		n := runs(s, o.id)
		allNotRun := true
		for _, r := range o.replies {
			if r.err != nil { // the connection ended: nothing was told
				allNotRun = false
				continue
			}
			counts[r.outcome]++
			allNotRun = allNotRun && r.outcome == answer.NotRun
			if r.outcome == answer.Answered && r.status == http.StatusOK && (!own(r, o.path, o.id) || n == 0) {
				t.Errorf("%s %s: foreign answer %q, %d runs", o.id, o.path, r.body, n)
			}
		}
		if o.once && n > 1 {
			t.Errorf("%s %s ran %d times", o.id, o.path, n)
		}
		if allNotRun && n > 0 {
			t.Errorf("%s %s is not-run but ran %d times: %+v", o.id, o.path, n, o.replies)
		}
	}
	t.Log(counts)
	if counts[answer.Answered] == 0 || counts[answer.Unknown]+counts[answer.NotRun] == 0 {
		t.Errorf("outcomes %v: the faults or the answers are missing", counts)
	}
}
