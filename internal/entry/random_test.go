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

// Guards, under random faults from a fixed seed, against requests that ran but are
// reported as "not-run", non-idempotent requests that run twice, and
// mismatched responses. The servers' counters show what ran.
func TestRandomFaults(t *testing.T) {
	const seed, requests, workers = 20261204, 25, 6
	s := startSystem(t, 2)
	waitBookable(t, s)
	stop := make(chan struct{})
	var wg, faults sync.WaitGroup
	faults.Go(func() { injectFaults(s, rand.New(rand.NewPCG(seed, 0)), stop) })
	all := make([][]requestLog, workers)
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
	checkOutcomes(t, s, slices.Concat(all...))
}

// requestLog is a request with the responses to all its sends.
type requestLog struct {
	nonIdempotent bool
	responses     []response
	path, id      string
}

func randomRequest(t *testing.T, s *devel.System, rng *rand.Rand) requestLog {
	k := rng.IntN(20)
	rl := requestLog{id: newID(t), nonIdempotent: rng.IntN(2) == 0}
	method := http.MethodGet
	rl.path = []string{fmt.Sprintf("/ledger/tin-%d", k), fmt.Sprintf("/catalogue/tins/%d", k)}[rng.IntN(2)]
	if rl.nonIdempotent {
		method = http.MethodPost
		rl.path = []string{fmt.Sprintf("/ledger/tin-%d/entries", k), "/bookings"}[rng.IntN(2)]
	}
	query := fmt.Sprintf("?work=%d", rng.IntN(30))
	for range 1 + rng.IntN(3) {
		host := rng.IntN(len(s.Hosts()))
		rl.responses = append(rl.responses, sendRequestWithin(t, method, url(s, host)+rl.path+query, rl.id, "x", 100+rng.IntN(900)))
	}
	return rl
}

// injectFaults injects one fault after another until stop is closed, and then ends
// all faults.
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
			ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
			s.Hosts()[rng.IntN(len(s.Hosts()))].Stop(ctx) // its callers fail to connect from now on
			cancel()
		}
		select {
		case <-stop:
			s.Store().SetOutage(fakes.NoOutage)
			for _, name := range names {
				s.Server(name).Backend().Resume()
				s.Server(name).Backend().WaitIdle() // resumed requests may still run
			}
			return
		case <-time.After(time.Duration(rng.IntN(60)) * time.Millisecond):
		}
	}
}

// checkOutcomes compares the outcomes that callers got with what ran.
func checkOutcomes(t *testing.T, s *devel.System, all []requestLog) {
	counts := make(map[answer.Outcome]int)
	for _, rl := range all {
		n := runsWithID(s, rl.id)
		allNotRun := true
		for _, r := range rl.responses {
			if r.err != nil { // the connection was lost, so the caller got no outcome
				allNotRun = false
				continue
			}
			counts[r.outcome]++
			allNotRun = allNotRun && r.outcome == answer.NotRun
			if r.outcome == answer.Answered && r.status == http.StatusOK && (!isOwnResponse(r, rl.path, rl.id) || n == 0) {
				t.Errorf("%s %s: mismatched response %q, %d runs", rl.id, rl.path, r.body, n)
			}
		}
		if rl.nonIdempotent && n > 1 {
			t.Errorf("%s %s ran %d times", rl.id, rl.path, n)
		}
		if allNotRun && n > 0 {
			t.Errorf("%s %s is not-run but ran %d times: %+v", rl.id, rl.path, n, rl.responses)
		}
	}
	t.Log(counts)
	if counts[answer.Answered] == 0 || counts[answer.Unknown]+counts[answer.NotRun] == 0 {
		t.Errorf("outcomes %v: want both answered requests and failed ones", counts)
	}
}
