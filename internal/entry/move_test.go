package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/laburnummux/laburnummux/internal/devel"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/matryer/is"
	"go.uber.org/zap"
)

// Guards against queued bookings that are answered "unknown", though they never
// ran, because their range moved to another dispatcher: the record that says
// "running" must not be transferred for a request that was taken out of the
// queue.
func TestPlannedMoveWithQueue(t *testing.T) {
	is := is.New(t)
	s := startWith(t, devel.Config{Hosts: 2, Servers: 2, Service: 20, Log: zap.NewNop()})
	waitOnce(t, s)
	stays, leaves := s.Hosts()[0], s.Hosts()[1]
	ids := make([]string, 120)
	replies := make([]reply, len(ids))
	var wg sync.WaitGroup
	for i := range ids {
		ids[i] = newID(t)
		wg.Go(func() {
			url := fmt.Sprintf("http://%s/ledger/tin-%d/entries", stays.CallerAddr(), i)
			replies[i] = call(t, http.MethodPost, url, ids[i], "")
		})
	}
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	is.NoErr(leaves.Stop(ctx))
	wg.Wait()
	for i, r := range replies {
		is.NoErr(r.err)
		if r.outcome == answer.Unknown { // nothing was lost, so everything is known
			t.Errorf("booking %d is unknown: %s, %d runs", i, r.reason, runs(s, ids[i]))
		}
		want := 0
		if r.outcome == answer.Answered {
			want = 1
		}
		is.Equal(runs(s, ids[i]), want)
	}
}

// Guards against "unknown" for a booking that never ran: one that has a slot
// and waits to run alone, because it may have crashed a server, must not be
// transferred as "running" when its dispatcher stops.
func TestPlannedMoveWithSuspect(t *testing.T) {
	is := is.New(t)
	s := start(t, 2)
	waitOnce(t, s)
	const path = "/ledger/tin-3/entries"
	crash := crashOnce(t, s, path)
	for _, n := range s.Servers() {
		b := s.Server(n).Backend()
		b.NoCrash()
		if b.Runs(crash).Started > 0 {
			is.NoErr(s.Server(n).Restart())
		}
	}
	var neighbour string // another key of the same server
	waitFor(t, func() bool {
		own := call(t, http.MethodGet, url(s, 0)+"/ledger/tin-3", "", "")
		for n := 4; n < 20 && own.outcome == answer.Answered; n++ {
			neighbour = fmt.Sprintf("/ledger/tin-%d", n)
			if r := call(t, http.MethodGet, url(s, 0)+neighbour, "", ""); r.outcome == answer.Answered && r.owner == own.owner {
				return true
			}
		}
		return false
	})

	for _, n := range s.Servers() {
		s.Server(n).Backend().Slow(800)
	}
	var wg sync.WaitGroup
	wg.Go(func() { call(t, http.MethodGet, url(s, 0)+neighbour, "", "") })
	leaves := -1
	waitFor(t, func() bool { leaves = dispatcherOf(t, s, 1); return leaves >= 0 })
	id := newID(t)
	var r reply
	wg.Go(func() { r = call(t, http.MethodPost, url(s, leaves+1)+path, id, "poison") })
	waitFor(t, func() bool { return dispatcherOf(t, s, 2) == leaves }) // the suspect waits beside the lookup
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	is.NoErr(s.Hosts()[leaves].Stop(ctx))
	wg.Wait()
	is.NoErr(r.err)
	if r.outcome == answer.Unknown {
		t.Errorf("the suspect is unknown: %s", r.reason)
	}
	want := 0
	if r.outcome == answer.Answered {
		want = 1
	}
	is.Equal(runs(s, id), want)
}

// dispatcherOf returns the host at which so many requests of the ledger have a
// slot of a server, or -1.
func dispatcherOf(t testing.TB, s *devel.System, slots int) int {
	t.Helper()
	for i, h := range s.Hosts() {
		var d struct {
			Cells []struct {
				Cell   string `json:"cell"`
				Queues map[string]struct {
					Classes []struct {
						Running int `json:"running"`
					} `json:"classes"`
				} `json:"queues"`
			} `json:"cells"`
		}
		if err := json.Unmarshal(call(t, http.MethodGet, "http://"+h.OperatorAddr()+"/dump", "", "").body, &d); err != nil {
			t.Fatal(err)
		}
		for _, c := range d.Cells {
			for _, q := range c.Queues {
				n := 0
				for _, class := range q.Classes {
					n += class.Running
				}
				if strings.HasPrefix(c.Cell, "ledger") && n == slots {
					return i
				}
			}
		}
	}
	return -1
}
