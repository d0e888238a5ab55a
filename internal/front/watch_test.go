package front

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/epoch"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/mesh"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

func newTestHost() *Host {
	return New(Config{Settings: Settings{Host: "a", IP: "127.0.0.1"}, Log: zap.NewNop()})
}

func serverIDs(h *Host) (ids []keys.Server) {
	for _, sv := range h.serverList() {
		ids = append(ids, sv.ID)
	}
	return ids
}

// Guards against a host that ignores the servers of a restored store until its
// revisions have caught up with those of the former epoch.
func TestServersOfRestoredStore(t *testing.T) {
	list := func(rev epoch.Revision, ids ...keys.Server) func(h *Host) {
		return func(h *Host) {
			var servers []fleet.Server
			for _, id := range ids {
				servers = append(servers, fleet.Server{ID: id})
			}
			h.replaceServers(servers, rev, noGrace)
		}
	}
	event := func(rev epoch.Revision, id keys.Server) func(h *Host) {
		return func(h *Host) {
			h.applyServerEvents([]ServerEvent{{ID: id, Server: fleet.Server{ID: id}}}, rev, noGrace)
		}
	}
	tests := []struct {
		name  string
		steps []func(h *Host)
		want  []keys.Server
	}{
		{"list of the restored store", []func(h *Host){list(epoch.At(1, 900), "s1"), list(epoch.At(2, 40), "s1", "s2")}, []keys.Server{"s1", "s2"}},
		{"event of the restored store", []func(h *Host){list(epoch.At(1, 900), "s1"), list(epoch.At(2, 40), "s1"), event(epoch.At(2, 41), "s2")}, []keys.Server{"s1", "s2"}},
		{"late list of the former epoch", []func(h *Host){list(epoch.At(2, 40), "s1"), list(epoch.At(1, 900), "s1", "s2")}, []keys.Server{"s1"}},
		{"late event of the former epoch", []func(h *Host){list(epoch.At(2, 40), "s1"), event(epoch.At(1, 900), "s2")}, []keys.Server{"s1"}},
		{"older list of the same epoch", []func(h *Host){list(epoch.At(1, 900), "s1"), list(epoch.At(1, 40), "s2")}, []keys.Server{"s1"}},
		{"store without epochs", []func(h *Host){list(epoch.At(0, 9), "s1"), list(epoch.At(0, 10), "s1", "s2")}, []keys.Server{"s1", "s2"}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newTestHost()
			for _, step := range tt.steps {
				step(h)
			}
			is.New(t).Equal(serverIDs(h), tt.want)
		})
	}
}

// Guards against a host that doesn't fetch another host's newer list of servers
// after a restore, or fetches an older one. Hosts of earlier versions report no
// epoch.
func TestNewerSnapshotAfterRestore(t *testing.T) {
	tests := []struct {
		name  string
		other mesh.Heartbeat
		newer bool
	}{
		{"later epoch, lower number", mesh.Heartbeat{ServersEpoch: 2, ServersRev: 40}, true},
		{"same epoch, higher number", mesh.Heartbeat{ServersEpoch: 1, ServersRev: 901}, true},
		{"same", mesh.Heartbeat{ServersEpoch: 1, ServersRev: 900}, false},
		{"no epoch, higher number", mesh.Heartbeat{ServersRev: 901}, true},
		{"no epoch, lower number", mesh.Heartbeat{ServersRev: 40}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			ms := newMembers(Settings{Host: "a", IP: "127.0.0.1"})
			tt.other.From, tt.other.IP = "b", "127.0.0.2"
			ms.handleHeartbeat(5, &tt.other)
			got := ms.newerSnapshotAddr(6, 0, epoch.At(1, 900), false) != ""
			is.New(t).Equal(got, tt.newer)
		})
	}
	t.Run("earlier epoch", func(t *testing.T) {
		ms := newMembers(Settings{Host: "a", IP: "127.0.0.1"})
		ms.handleHeartbeat(5, &mesh.Heartbeat{From: "b", IP: "127.0.0.2", ServersEpoch: 1, ServersRev: 900})
		is.New(t).Equal(ms.newerSnapshotAddr(6, 0, epoch.At(2, 40), false), "")
	})
}

// Guards against a host that waits once more before it reads everything again when
// the store has returned from an outage without its history.
func TestReadAgainAfterOutage(t *testing.T) {
	for _, lost := range []error{ErrCompacted, ErrRestored} {
		t.Run(lost.Error(), func(t *testing.T) {
			is := is.New(t)
			h := newTestHost()
			h.watchFrom = 0
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			results := []error{nil, ErrNoResponse, ErrNoResponse, ErrNoResponse, lost}
			var respondedAt, readAt time.Time
			is.NoErr(h.watchStore(ctx, watchedConfig, func(_ context.Context, rev epoch.Revision) (epoch.Revision, error) {
				if len(results) == 0 {
					is.Equal(rev, epoch.Revision{})
					readAt = time.Now()
					cancel()
					return rev, nil
				}
				err := results[0]
				results, respondedAt = results[1:], time.Now()
				return epoch.At(1, 5), err
			}))
			is.True(readAt.Sub(respondedAt) < minStoreBackoff)
		})
	}
}

// Guards against an outage of the store in which each host that calls it does so with
// all of its watches, and against a watch that doesn't go on when the store responds
// again.
func TestCallsInOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const outage = 10 * time.Second
		is := is.New(t)
		h := newTestHost()
		h.watchFrom = 0
		ctx, cancel := context.WithCancel(t.Context())
		began := time.Now()
		var mu sync.Mutex
		var wg sync.WaitGroup
		calls, responded := make(map[watched]int), make(map[watched]time.Duration)
		for _, what := range []watched{watchedConfig, watchedServers, watchedEvacuations} {
			next := func(context.Context, epoch.Revision) (epoch.Revision, error) {
				at := time.Since(began)
				if at >= outage {
					time.Sleep(time.Second) // as a watch without a change
				}
				mu.Lock()
				defer mu.Unlock()
				if at < outage {
					calls[what]++
					return epoch.Revision{}, ErrNoResponse
				}
				if responded[what] == 0 {
					responded[what] = at
				}
				return epoch.At(1, 5), nil
			}
			wg.Go(func() { is.NoErr(h.watchStore(ctx, what, next)) })
		}
		time.Sleep(2 * outage)
		cancel()
		wg.Wait()
		mu.Lock()
		defer mu.Unlock()
		is.True(calls[watchedConfig] >= 10 && calls[watchedConfig] <= 40)
		is.True(calls[watchedServers] <= 12 && calls[watchedEvacuations] <= 12)
		is.Equal(len(responded), 3)
		for _, at := range responded {
			is.True(at < outage+2*maxStoreWait)
		}
	})
}

// Guards against an outage of the store, or a start, in which every host calls the
// store: the hosts that stand by do, and the others only if those can't tell them.
func TestWhoWatches(t *testing.T) {
	tests := []struct {
		name    string
		before  int        // live hosts of the data centre with precedence
		age     clock.Span // confirmation age of the first of them; negative: none
		waited  clock.Span // since this host could first have watched
		watches bool
	}{
		{"first", 0, -1, 1, true},
		{"standby, fresh", 2, 500, 5000, false},
		{"standby, stale", 2, 1500, 5000, true},
		{"standby at the start", 2, -1, 1, true},
		{"other, stale", standbyHosts, 1500, 5000, false},
		{"other, all others fail", standbyHosts, 3100, 5000, true},
		{"other at the start", standbyHosts, -1, 1, false},
		{"other, nobody has a snapshot", standbyHosts, -1, 3100, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := New(Config{Settings: Settings{Host: "z", IP: "127.0.0.1", DC: "north", DrainTimeout: 2000, ApplyTimeout: 2000}, Log: zap.NewNop()})
			time.Sleep(2 * time.Millisecond) // the clock starts at 0, which stands for no heartbeat
			now := h.clock.Now()
			h.watchFrom = now.Add(-tt.waited)
			for i := range tt.before {
				b := mesh.Heartbeat{From: keys.Host(fmt.Sprintf("a%d", i)), IP: fmt.Sprintf("127.0.1.%d", i), DC: "north", ConfirmationAge: -1}
				if i == 0 {
					b.ConfirmationAge = tt.age
				}
				h.members.handleHeartbeat(now, &b)
			}
			is.Equal(h.shouldWatch(), tt.watches)
		})
	}
}
