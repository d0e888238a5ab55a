package front

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/epoch"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/mesh"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const testEvacTimeout = 5 * clock.Second

func newEvacHost(log *zap.Logger, store Store) *Host {
	return New(Config{Settings: Settings{Host: "a", DC: "north", IP: "127.0.0.1", EvacTimeout: testEvacTimeout, DrainTimeout: 2000, ApplyTimeout: 2000}, Store: store, Log: log})
}

// entriesUntil returns entries of data centres whose owners get requests until a time.
func entriesUntil(until clock.Time, dcs ...keys.DataCentre) map[keys.DataCentre]clock.Time {
	m := make(map[keys.DataCentre]clock.Time)
	for _, dc := range dcs {
		m[dc] = until
	}
	return m
}

// Guards against entries of a restored store that are ignored, late ones of the former
// epoch that are applied, and a time for owners that grows with a later list.
func TestEvacuationRevisions(t *testing.T) {
	type list struct {
		rev      epoch.Revision
		until    clock.Time
		fromHost bool
		dcs      []keys.DataCentre
	}
	tests := []struct {
		name  string
		lists []list
		want  map[keys.DataCentre]clock.Time
	}{
		{"newer", []list{{epoch.At(1, 5), 100, false, []keys.DataCentre{"south"}}, {epoch.At(1, 6), 200, false, nil}}, entriesUntil(0)},
		{"older", []list{{epoch.At(1, 6), 100, false, nil}, {epoch.At(1, 5), 100, true, []keys.DataCentre{"south"}}}, entriesUntil(0)},
		{"restored store", []list{{epoch.At(1, 900), 100, false, []keys.DataCentre{"south"}}, {epoch.At(2, 4), 200, false, []keys.DataCentre{"west"}}}, entriesUntil(200, "west")},
		{"late list of the former epoch", []list{{epoch.At(2, 4), 100, false, nil}, {epoch.At(1, 900), 100, true, []keys.DataCentre{"south"}}}, entriesUntil(0)},
		{"known entry in a later list", []list{{epoch.At(1, 5), 100, false, []keys.DataCentre{"south"}}, {epoch.At(1, 6), 200, false, []keys.DataCentre{"south"}}}, entriesUntil(100, "south")},
		{"known entry, read without knowing its age", []list{{epoch.At(1, 5), 100, true, []keys.DataCentre{"south"}}, {epoch.At(1, 6), 50, false, []keys.DataCentre{"south"}}}, entriesUntil(100, "south")},
		{"known entry, earlier time of another host", []list{{epoch.At(1, 5), 100, false, []keys.DataCentre{"south"}}, {epoch.At(1, 6), 50, true, []keys.DataCentre{"south"}}}, entriesUntil(50, "south")},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newEvacHost(zap.NewNop(), nil)
			for _, l := range tt.lists {
				h.replaceEvacuations(entriesUntil(l.until, l.dcs...), l.rev, l.fromHost)
			}
			is.New(t).True(maps.Equal(h.evac.entries, tt.want))
		})
	}
}

// Guards against hosts that don't fetch another host's entries, send to owners there
// for longer than that host does, or fetch them again and again. Hosts of earlier
// versions neither send nor ask for them.
func TestEvacuationsInSnapshots(t *testing.T) {
	is := is.New(t)
	source := newEvacHost(zap.NewNop(), nil)
	source.replaceEvacuations(entriesUntil(source.clock.Now().Add(3000), "south"), epoch.At(1, 40), false)
	srv := httptest.NewServer(http.HandlerFunc(source.serveSnapshot))
	defer srv.Close()
	addr := strings.TrimPrefix(srv.URL, "http://")
	beat := source.heartbeat(0, 1, mesh.ReachAll, false)
	beat.From, beat.IP = "b", "127.0.0.2"

	h := newEvacHost(zap.NewNop(), nil)
	h.members.handleHeartbeat(5, &beat)
	is.True(h.members.sentNewer(6, "b", 0, epoch.Revision{}))
	is.NoErr(h.fetchSnapshot(t.Context(), srv.Client(), addr, 0, epoch.Revision{}))
	left := h.evac.entries["south"].Sub(h.clock.Now())
	is.True(left > 1000 && left <= 3000)
	is.True(!h.members.sentNewer(6, "b", 0, epoch.Revision{}))

	source.replaceEvacuations(nil, epoch.At(1, 41), false)
	is.NoErr(h.fetchSnapshot(t.Context(), srv.Client(), addr, 0, epoch.Revision{}))
	is.Equal(len(h.evac.entries), 0)
	is.Equal(h.evac.rev, epoch.At(1, 41))

	disabled := newTestHost()
	disabled.members.handleHeartbeat(5, &beat)
	is.True(!disabled.members.sentNewer(6, "b", 0, epoch.Revision{}))
	is.NoErr(disabled.fetchSnapshot(t.Context(), srv.Client(), addr, 0, epoch.Revision{}))
	is.Equal(len(disabled.evac.entries), 0)
}

// metricValue returns the value of a gauge or counter without labels.
func metricValue(t *testing.T, h *Host, name string) float64 {
	families, err := h.cfg.Registry.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if m := f.GetMetric()[0]; f.GetName() == name {
			return m.GetGauge().GetValue() + m.GetCounter().GetValue()
		}
	}
	t.Fatalf("no metric %s", name)
	return 0
}

// Guards against entries without effect that use memory without bound, hide those of
// data centres, or are logged more than once.
func TestEvacuationEntriesAreBounded(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.WarnLevel)
	h := newEvacHost(zap.New(core), nil)
	h.replaceServers([]fleet.Server{{ID: "s", DC: "south"}}, epoch.At(1, 1), noGrace)
	for rev := range uint64(3) {
		entries := entriesUntil(100, "south", "")
		for i := range 1000 {
			entries[keys.DataCentre(fmt.Sprintf("a-%04d", i))] = 100
		}
		h.replaceEvacuations(entries, epoch.At(1, 2+rev), false)
	}
	is.Equal(len(h.evac.entries), maxEvacuations)
	is.Equal(h.evacuatedDCs(), []keys.DataCentre{"south"})
	is.Equal(metricValue(t, h, "laburnummux_evacuated_datacentres"), 1.0)
	is.True(metricValue(t, h, "laburnummux_evacuations_ignored_total") >= 1001-maxEvacuations)
	is.True(logs.Len() <= maxReportedEvacuations)
	is.Equal(logs.FilterField(zap.String("dc", "")).Len(), 1)

	// A data centre becomes known with its first server.
	h.replaceServers([]fleet.Server{{ID: "s", DC: "south"}, {ID: "t", DC: "a-0001"}}, epoch.At(1, 9), noGrace)
	is.Equal(h.evacuatedDCs(), []keys.DataCentre{"a-0001", "south"})
	// One whose servers are all gone is still evacuated.
	h.replaceServers(nil, epoch.At(1, 10), noGrace)
	is.Equal(h.evacuatedDCs(), []keys.DataCentre{"a-0001", "south"})
}

// Guards against servers that get requests before a new process knows whether they are
// evacuated, and against a process that waits for that without end.
func TestServersAreHeldAtStart(t *testing.T) {
	tests := []struct {
		name  string
		known bool
		wait  clock.Span
		ready bool
	}{
		{"known", true, 0, true},
		{"not known", false, 0, false},
		{"not known for long", false, evacStartWait + 10, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newEvacHost(zap.NewNop(), nil)
			h.replaceServers([]fleet.Server{{ID: "s", DC: "south"}}, epoch.At(1, 1), noGrace)
			is.True(h.serverByHash.Load() == nil)
			if tt.known {
				h.replaceEvacuations(nil, epoch.At(1, 2), true)
			}
			h.evac.heldSince = h.evac.heldSince.Add(-tt.wait)
			h.expireServers()
			is.Equal(h.serverByHash.Load() != nil, tt.ready)
			is.Equal(h.evacHeld(), !tt.ready)
		})
	}
}

// watchStub is a store whose watches of evacuations don't respond.
type watchStub struct {
	Store
	wait  clock.Span // of the last watch
	until time.Duration
	reads int
}

func (s *watchStub) Evacuations(context.Context) ([]keys.DataCentre, epoch.Revision, error) {
	s.reads++
	return []keys.DataCentre{"north"}, epoch.At(1, uint64(10+s.reads)), nil
}

func (s *watchStub) WatchEvacuations(ctx context.Context, _ epoch.Revision, wait clock.Span) ([]EvacuationEvent, epoch.Revision, error) {
	end, _ := ctx.Deadline()
	s.wait, s.until = wait, time.Until(end)
	<-ctx.Done()
	return nil, epoch.Revision{}, ErrNoResponse
}

// Guards against a watch without a response that isn't noticed within the bound.
func TestSilentEvacuationWatch(t *testing.T) {
	is := is.New(t)
	s := &watchStub{}
	h := newEvacHost(zap.NewNop(), s)
	h.cfg.Settings.EvacTimeout = 200
	rev, err := h.nextEvacuations(t.Context(), epoch.At(1, 10))
	is.NoErr(err)
	is.Equal(rev, epoch.At(1, 11))
	is.Equal(s.wait, clock.Span(100))
	is.True(s.until <= 150*time.Millisecond)
	is.True(slices.Equal(h.evacuatedDCs(), []keys.DataCentre{"north"}))
}
