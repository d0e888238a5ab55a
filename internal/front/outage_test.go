package front

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/epoch"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

func noGrace(clock.Time, int) fleet.Grace { return fleet.Grace{} }

func newDrainHost(drain clock.Span) *Host {
	return New(Config{Settings: Settings{Host: "a", IP: "127.0.0.1", DrainTimeout: drain, RegistrationInterval: 870}, Log: zap.NewNop()})
}

func listOf(n int) (list []fleet.Server) {
	for i := range n {
		list = append(list, fleet.Server{ID: keys.Server(fmt.Sprintf("s%02d", i)), Service: "bookings", Born: 1})
	}
	return list
}

// Guards against requests to servers that have left together, which looks like an
// outage, and against servers that aren't used because their registrations have
// expired in a real one.
func TestGraceOfRemovedServers(t *testing.T) {
	const now = clock.Time(100_000)
	tests := []struct {
		name      string
		drain     clock.Span
		lost      int        // of 15 servers
		failed    clock.Span // since the last failed call to the store; 0: none
		confirmed clock.Span // since the removed registrations were last known to exist; 0: never
		want      clock.Span // for which the servers are kept
	}{
		{"one leaves", 2000, 1, 0, 100, 0},
		{"a fifth leave together", 2000, 3, 0, 100, 1500},
		{"they may have left long ago", 2000, 3, 0, 1700, 0},
		{"it isn't known since when", 2000, 3, 0, 0, 0},
		{"shorter bound", 1000, 3, 0, 100, 500},
		{"bound that leaves no time", 300, 3, 0, 100, 0},
		{"outage", 2000, 1, 200, 5000, 1600},
		{"outage, longer bound", 3000, 9, 200, 5000, 1600},
		{"outage, shorter bound", 1000, 9, 200, 5000, 600},
		{"soon after an outage", 2000, 1, 2000, 50, 1550},
		{"long after an outage", 2000, 1, 2600, 50, 0},
		{"a call failed, but no outage was long enough", 2000, 1, 300, 1200, 400},
		{"after an outage, first list", 2000, 9, 200, 0, 1600},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newDrainHost(tt.drain)
			h.replaceServers(listOf(15), epoch.At(1, 1), noGrace)
			if tt.failed > 0 {
				h.storeFailedAt = now.Add(-tt.failed)
			}
			since := clock.Time(0)
			if tt.confirmed > 0 {
				since = now.Add(-tt.confirmed)
			}
			kept := max(h.graceSince(since)(now, tt.lost).Until.Sub(now), 0)
			is.Equal(kept, tt.want)
			is.True(kept < tt.drain)
		})
	}
}

// Guards against a grace that counts from a response of the store that this process
// has handled late, and from too early if a waiting watch reports a change at once.
func TestRemovedSince(t *testing.T) {
	tests := []struct {
		name     string
		asOf     clock.Time // of the list before; 0: there was none
		duration clock.Span // of the call, which has just ended
		rounds   [2]clock.Span
		want     clock.Span // age of the change at most
	}{
		{"responds at once", 9000, 5, [2]clock.Span{20, 10}, 1000},
		{"has waited", 9000, 800, [2]clock.Span{80, 10}, watchLatency},
		{"has waited, few heartbeats", 9000, 800, [2]clock.Span{310, 160}, 310},
		{"has waited since just now", 9000, 110, [2]clock.Span{20, 10}, watchLatency},
		{"the process was stopped until now", 9000, 800, [2]clock.Span{750, 700}, 750},
		{"the process was stopped until its last round", 9000, 800, [2]clock.Span{700, 10}, 700},
		{"the call began after the process was stopped", 9000, 300, [2]clock.Span{700, 10}, 300},
		{"no list before", 0, 800, [2]clock.Span{20, 10}, 10000},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const ended = clock.Time(10_000)
			h := newDrainHost(2000)
			h.roundsAt = [2]clock.Time{ended.Add(-tt.rounds[0]), ended.Add(-tt.rounds[1])}
			res := h.newWatchResult(ended.Add(-tt.duration), ended)
			is.New(t).Equal(ended.Sub(syncState{serversAsOf: tt.asOf}.removedSince(res)), tt.want)
		})
	}
}

// Guards against a host that learns late of servers that have left together, and
// keeps them for longer than the host that the store told.
func TestGraceIsShared(t *testing.T) {
	const (
		delay    = 300 * clock.Millisecond // until each host learns of the removal
		transfer = 150 * clock.Millisecond // for a fetch on a busy machine
	)
	tests := []struct {
		name string
		from uint64 // revision of the hosts that learn of it
	}{
		{"changes", 10},
		{"whole list", 9},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var hosts []*Host
			for i := range 3 {
				h := newDrainHost(2000)
				h.replaceServers(listOf(15), epoch.At(1, []uint64{10, tt.from, tt.from}[i]), noGrace)
				hosts = append(hosts, h)
			}
			var evs []ServerEvent
			for _, sv := range listOf(4) {
				evs = append(evs, ServerEvent{ID: sv.ID, Removed: true})
			}
			time.Sleep(2 * time.Millisecond) // a time of 0 stands for none
			removed := time.Now()
			hosts[0].applyChanges(evs, epoch.At(1, 12), hosts[0].graceSince(hosts[0].clock.Now()))
			is.Equal(hosts[0].fleet.Len(), 15)
			for i, h := range hosts[1:] {
				time.Sleep(delay.Std())
				srv := httptest.NewServer(http.HandlerFunc(hosts[i].serveSnapshot))
				is.NoErr(h.fetchSnapshot(t.Context(), srv.Client(), strings.TrimPrefix(srv.URL, "http://"), 0, epoch.At(1, tt.from)))
				srv.Close()
				passed := clock.Span(time.Since(removed).Milliseconds())
				is.Equal(h.fleet.Len(), 15)
				left := h.fleet.GraceLeft(h.clock.Now(), "s00")
				is.True(left <= maxRegistrationGrace-passed+1) // the clocks count in ms
				is.True(left >= maxRegistrationGrace-passed-transfer)
			}
			time.Sleep(maxRegistrationGrace.Std() - time.Since(removed) + 10*time.Millisecond)
			for _, h := range hosts {
				h.expireServers()
				is.Equal(h.fleet.Len(), 11)
			}
		})
	}
}

// Guards against a late host that keeps servers which the host that told it has
// stopped using, or doesn't know, and against one that drops servers of an outage.
func TestGraceOfOtherHost(t *testing.T) {
	tests := []struct {
		name   string
		knows  bool // the other host has known the servers
		outage bool // a call of the other host has failed recently
		ended  bool // the grace has ended there
		kept   bool
	}{
		{"grace runs", true, true, false, true},
		{"grace has ended", true, true, true, false},
		{"has started since, outage", false, true, false, true},
		{"has started since", false, false, false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			other, h := newDrainHost(2000), newDrainHost(2000)
			time.Sleep(2 * time.Millisecond) // a time of 0 stands for none
			h.replaceServers(listOf(15), epoch.At(1, 1), noGrace)
			if tt.knows {
				other.replaceServers(listOf(15), epoch.At(1, 1), noGrace)
			}
			if tt.outage {
				other.storeFailedAt = other.clock.Now()
			}
			grace := other.graceSince(0)
			if tt.ended {
				grace = noGrace
			}
			other.replaceServers(listOf(15)[4:], epoch.At(1, 20), grace)
			srv := httptest.NewServer(http.HandlerFunc(other.serveSnapshot))
			defer srv.Close()
			is.NoErr(h.fetchSnapshot(t.Context(), srv.Client(), strings.TrimPrefix(srv.URL, "http://"), 0, epoch.At(1, 1)))
			is.Equal(h.fleet.Len() == 15, tt.kept)
		})
	}
}
