package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/dedup"
	"github.com/laburnummux/laburnummux/internal/devel"
	"github.com/laburnummux/laburnummux/internal/entry"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
)

// ledgerConfig configures the keyed service of the example in one data centre. Its
// timeouts are long enough to move a range on a busy machine, so that no request
// ends because of its deadline.
const ledgerConfig = `{"services": {"ledger": {"keyed": true, "path": "/ledger/{key}",
	"operations": {
		"get-account": {"method": "GET", "idempotent": true, "timeoutMs": 20000},
		"post-entry": {"method": "POST", "path": "/entries", "timeoutMs": 20000}},
	"dataCentres": {"north-1": {"weight": 1}},
	"server": {"slots": 2, "connections": 130, "checksFences": true, "rampMs": 1000}}}}`

// startLedger starts one data centre with the given number of entry hosts and two
// backend servers.
func startLedger(t testing.TB, hosts int, service clock.Span, log *zap.Logger) *devel.System {
	t.Helper()
	s := startSystemWith(t, devel.Config{
		Hosts: hosts, Servers: 2, ServiceTime: service, Base: []byte(ledgerConfig), DataCentres: devel.DataCentres[:1], Log: log,
	})
	waitBookableAt(t, s, "/ledger/tin-7/entries")
	return s
}

// maxMoves bounds the number of planned moves per test. On a busy machine the
// lease of a dispatcher can expire during a planned move. Its deduplication
// records are then lost, and the next dispatcher has no record of what ran. Such a
// move is checked for everything else, and another one is made.
const maxMoves = 8

// untilLeasesKept makes moves until no lease expires during one.
func untilLeasesKept(t *testing.T, move func(t *testing.T) (leasesKept bool)) {
	t.Helper()
	for range maxMoves {
		if move(t) {
			return
		}
	}
	t.Errorf("a lease expired in each of %d moves", maxMoves)
}

// leaseExpired reports whether a range was taken over without the records of ids
// that were generated after since, because a lease had expired.
func leaseExpired(logs *observer.ObservedLogs, since time.Time) bool {
	takeovers := logs.FilterMessage(entry.RecordsMissingMessage).All()
	return slices.ContainsFunc(takeovers, func(e observer.LoggedEntry) bool {
		return e.Time.After(since.Add(-dedup.TakeoverMargin.Std()))
	})
}

// Guards against queued bookings that never ran but are answered "unknown"
// because their range moved to another dispatcher. This happens if their records
// are transferred as "running" although they were removed from the queue.
func TestPlannedMoveWithQueue(t *testing.T) { untilLeasesKept(t, moveWithQueue) }

// moveWithQueue stops a host with bookings in its queues. It reports whether no
// lease expired before its release.
func moveWithQueue(t *testing.T) (leasesKept bool) {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	s := startLedger(t, 2, 20, zap.New(core))
	started := time.Now()
	staying, leaving := s.Hosts()[0], s.Hosts()[1]
	ids := make([]string, 120)
	responses := make([]response, len(ids))
	var wg sync.WaitGroup
	for i := range ids {
		ids[i] = newID(t)
		wg.Go(func() {
			url := fmt.Sprintf("http://%s/ledger/tin-%d/entries", staying.CallerAddr(), i)
			responses[i] = sendRequest(t, http.MethodPost, url, ids[i], "")
		})
	}
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	is.NoErr(leaving.Stop(ctx))
	wg.Wait()
	leasesKept = !leaseExpired(logs, started)
	for i, r := range responses {
		is.NoErr(r.err)
		if r.outcome == answer.Unknown && (leasesKept || r.reason != answer.EarlierAttempt.String()) {
			t.Errorf("booking %d has outcome unknown: %s, %d runs; no lease expired: %t", i, r.reason, runsWithID(s, ids[i]), leasesKept)
		}
		want := 0
		if r.outcome == answer.Answered {
			want = 1
		}
		is.True(runsWithID(s, ids[i]) == want || r.outcome == answer.Unknown && runsWithID(s, ids[i]) <= 1)
	}
	return leasesKept
}

// Guards against a booking that never ran but is answered "unknown" because its
// record is transferred as "running" when its dispatcher stops. The booking is a
// suspect that has a slot and waits to run in isolation.
func TestPlannedMoveWithSuspect(t *testing.T) { untilLeasesKept(t, moveWithSuspect) }

func moveWithSuspect(t *testing.T) (leasesKept bool) {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	s := startLedger(t, 2, 0, zap.New(core))
	const path = "/ledger/tin-3/entries"
	crash := crashOnce(t, s, path)
	for _, n := range s.Servers() {
		b := s.Server(n).Backend()
		b.ClearCrashes()
		if b.Runs(crash).Started > 0 {
			is.NoErr(s.Server(n).Restart())
		}
	}
	var otherKey string // another key of the same server
	waitFor(t, func() bool {
		suspectOwner := sendRequest(t, http.MethodGet, url(s, 0)+"/ledger/tin-3", "", "")
		for n := 4; n < 20 && suspectOwner.outcome == answer.Answered; n++ {
			otherKey = fmt.Sprintf("/ledger/tin-%d", n)
			if r := sendRequest(t, http.MethodGet, url(s, 0)+otherKey, "", ""); r.outcome == answer.Answered && r.owner == suspectOwner.owner {
				return true
			}
		}
		return false
	})

	for _, n := range s.Servers() {
		s.Server(n).Backend().Slow(800)
	}
	var wg sync.WaitGroup
	wg.Go(func() { sendRequest(t, http.MethodGet, url(s, 0)+otherKey, "", "") })
	leaving := -1
	waitFor(t, func() bool { leaving = dispatcherOf(t, s, 1); return leaving >= 0 })
	started := time.Now()
	id := newID(t)
	var r response
	wg.Go(func() { r = sendRequest(t, http.MethodPost, url(s, leaving+1)+path, id, "poison") })
	waitFor(t, func() bool { return dispatcherOf(t, s, 2) == leaving }) // the suspect has a slot too and waits for the lookup
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	is.NoErr(s.Hosts()[leaving].Stop(ctx))
	wg.Wait()
	is.NoErr(r.err)
	leasesKept = !leaseExpired(logs, started)
	if r.outcome == answer.Unknown && (leasesKept || r.reason != answer.EarlierAttempt.String()) {
		t.Errorf("the suspect has outcome unknown: %s; no lease expired: %t", r.reason, leasesKept)
	}
	want := 0
	if r.outcome == answer.Answered {
		want = 1
	}
	is.Equal(runsWithID(s, id), want)
	return leasesKept
}

// dispatcherOf returns the index of the host where the given number of requests
// of the ledger have a slot of a server, or -1.
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
		if err := json.Unmarshal(sendRequest(t, http.MethodGet, "http://"+h.OperatorAddr()+"/dump", "", "").body, &d); err != nil {
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
