package entry_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/laburnummux/laburnummux/internal/apply"
	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/internal/devel"
	"github.com/laburnummux/laburnummux/internal/entry"
	"github.com/laburnummux/laburnummux/internal/store"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"github.com/matryer/is"
	"go.uber.org/zap"
)

// partitionedStore is the store of a data centre that a network partition can make
// unavailable.
type partitionedStore struct {
	store.Store
	partitioned *atomic.Bool
}

func (s partitionedStore) Get(ctx context.Context, name string) (store.Object, error) {
	if s.partitioned.Load() {
		return store.Object{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, name)
}

func (s partitionedStore) Watch(ctx context.Context, prefix string, since uint64) ([]store.Object, uint64, error) {
	changes, rev, err := s.Store.Watch(ctx, prefix, since)
	if s.partitioned.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return changes, rev, err
}

func (s partitionedStore) Put(ctx context.Context, name string, value []byte, ifVersion uint64) (uint64, error) {
	if s.partitioned.Load() {
		return 0, store.ErrUnavailable
	}
	return s.Store.Put(ctx, name, value, ifVersion)
}

func operatorRequest(t testing.TB, h *entry.Host, method, path string, body any, result any) int {
	t.Helper()
	b, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	req, err := http.NewRequestWithContext(t.Context(), method, "http://"+h.OperatorAddr()+path, bytes.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	if err := json.NewDecoder(resp.Body).Decode(result); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode
}

func revise(t testing.TB, h *entry.Host, method, path string, body entry.ReviseRequest) (res apply.Result) {
	t.Helper()
	operatorRequest(t, h, method, path, body, &res)
	return res
}

// sitesWithRamp returns the number of the revision in force, and its configuration
// with ledger's warm-up time changed to rampMs.
func sitesWithRamp(t testing.TB, h *entry.Host, rampMs int) (uint64, map[keys.DataCentre]json.RawMessage) {
	t.Helper()
	var v struct {
		Number uint64                              `json:"number"`
		Sites  map[keys.DataCentre]json.RawMessage `json:"sites"`
	}
	operatorRequest(t, h, http.MethodGet, "/revision", nil, &v)
	for site, raw := range v.Sites {
		var compact bytes.Buffer
		if err := json.Compact(&compact, raw); err != nil {
			t.Fatal(err)
		}
		v.Sites[site] = []byte(strings.ReplaceAll(compact.String(), `"rampMs":1000`, fmt.Sprintf(`"rampMs":%d`, rampMs)))
	}
	return v.Number, v.Sites
}

func allAtRevision(s *devel.System, n uint64) func() bool {
	return func() bool {
		return !slices.ContainsFunc(s.Hosts(), func(h *entry.Host) bool { return h.Status().Revision != n })
	}
}

// Guards against two concurrent changes that are both accepted, against a response
// to the losing operator without the winning revision, against a data centre
// without access to the store that doesn't get the revision, and against a
// rollback that decreases the revision number.
func TestReviseEverywhere(t *testing.T) {
	is := is.New(t)
	var partitioned atomic.Bool
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	s, err := devel.Start(ctx, devel.Config{Hosts: 1, Servers: 1, Log: zap.NewNop(), WrapStore: func(dc keys.DataCentre, st store.Store) store.Store {
		if dc == "north-3" {
			return partitionedStore{st, &partitioned}
		}
		return st
	}})
	is.NoErr(err)
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		is.NoErr(s.Stop(ctx))
	}()
	waitFor(t, allAtRevision(s, 1))
	partitioned.Store(true)

	results := make([]apply.Result, 2)
	var wg sync.WaitGroup
	for i, author := range []string{"moana", "tui"} {
		from, sites := sitesWithRamp(t, s.Hosts()[i], 2000+i)
		is.Equal(from, uint64(1))
		wg.Go(func() {
			results[i] = revise(t, s.Hosts()[i], http.MethodPost, "/apply", entry.ReviseRequest{Author: author, From: from, Sites: sites})
		})
	}
	wg.Wait()
	slices.SortFunc(results, func(a, b apply.Result) int { return int(a.Outcome) - int(b.Outcome) })
	won, lost := results[0], results[1]
	is.Equal(won.Outcome, apply.Accepted)
	is.Equal(lost.Outcome, apply.Conflict)
	is.Equal(lost.Revision, won.Revision) // author and time of the winning revision
	is.Equal(lost.Changes, won.Changes)   // changes of the winning revision
	is.Equal(len(won.Changes), 3)         // one field at three sites
	waitFor(t, allAtRevision(s, 2))       // north-3 gets it from other hosts

	unavailable := revise(t, s.Hosts()[2], http.MethodPost, "/rollback", entry.ReviseRequest{Author: "tui", From: 2, To: 1})
	is.Equal(unavailable.Outcome, apply.Unavailable)
	partitioned.Store(false)
	rolledBack := revise(t, s.Hosts()[2], http.MethodPost, "/rollback", entry.ReviseRequest{Author: "tui", From: 2, To: 1})
	is.Equal(rolledBack.Outcome, apply.Accepted)
	is.Equal(rolledBack.Revision.Number, uint64(3))
	waitFor(t, allAtRevision(s, 3))
	first, _ := s.Store().Object(apply.ArchiveObject(1))
	now, _ := s.Store().Object(apply.CurrentObject)
	a, err := config.DecodeRevision(first.Value())
	is.NoErr(err)
	b, err := config.DecodeRevision(now.Value())
	is.NoErr(err)
	changes, err := apply.Diff(a, b)
	is.NoErr(err)
	is.Equal(len(changes), 0)

	var f entry.FleetStatus
	operatorRequest(t, s.Hosts()[0], http.MethodGet, "/status?all=true", nil, &f)
	is.Equal(len(f.Hosts), 3)
	s.Store().AddMember(store.NewEntryMember("north-1-z", "north-1", store.Addresses{Operators: "127.0.0.1:9"}))
	waitFor(t, func() bool {
		operatorRequest(t, s.Hosts()[0], http.MethodGet, "/status?all=true", nil, &f)
		return len(f.Unresponsive) == 1 && f.Unresponsive[0].Host == "north-1-z"
	})
}

// Guards against a wrong outcome if the store's response to a write is lost.
func TestReviseWriteResponseLost(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 1)
	from, sites := sitesWithRamp(t, s.Hosts()[0], 3000)
	s.Store().LoseResponses(4) // for the archived copy, the revision and concurrent writes of assigners
	res := revise(t, s.Hosts()[0], http.MethodPost, "/apply", entry.ReviseRequest{Author: "moana", From: from, Sites: sites})
	is.Equal(res.Outcome, apply.Accepted)
	waitFor(t, allAtRevision(s, 2))
}

// responseLostStore loses the response to the write of the configuration and is
// unavailable afterwards.
type responseLostStore struct{ partitionedStore }

func (s responseLostStore) Put(ctx context.Context, name string, value []byte, ifVersion uint64) (uint64, error) {
	v, err := s.partitionedStore.Put(ctx, name, value, ifVersion)
	if err == nil && name == apply.CurrentObject {
		s.partitioned.Store(true)
		return 0, store.ErrIndeterminate
	}
	return v, err
}

// Guards against the outcome "accepted" or "refused" if the result of the write
// can't be known, because its response is lost and the store is unavailable.
func TestReviseStoreLost(t *testing.T) {
	is := is.New(t)
	var partitioned atomic.Bool
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	s, err := devel.Start(ctx, devel.Config{Hosts: 1, Servers: 1, Log: zap.NewNop(), WrapStore: func(_ keys.DataCentre, st store.Store) store.Store {
		return responseLostStore{partitionedStore{st, &partitioned}}
	}})
	is.NoErr(err)
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		is.NoErr(s.Stop(ctx))
	}()
	waitFor(t, allAtRevision(s, 1))
	var res apply.Result
	is.Equal(operatorRequest(t, s.Hosts()[0], http.MethodPost, "/drain/ledger-north-1-1", entry.ReviseRequest{Author: "moana", Override: []string{apply.LastServer}}, &res), http.StatusGatewayTimeout)
	is.Equal(res.Outcome, apply.Unknown)
	is.Equal(res.Revision.Number, uint64(2))
	partitioned.Store(false)
	waitFor(t, allAtRevision(s, 2)) // the write had taken effect
}

// Guards against invalid requests that are accepted.
func TestReviseRefusesInvalid(t *testing.T) {
	s := startSystem(t, 1)
	_, sites := sitesWithRamp(t, s.Hosts()[0], 3000)
	moved := maps.Clone(sites)
	for site, raw := range moved {
		moved[site] = []byte(strings.Replace(string(raw), `"weight":1`, `"weight":2`, 1))
	}
	tests := []struct {
		name, path string
		body       any
		status     int
		reason     string
	}{
		{"no author", "/apply", entry.ReviseRequest{From: 1, Sites: sites}, 400, "author: is missing"},
		{"unknown field", "/apply", map[string]any{"author": "a", "force": true}, 400, "unknown field"},
		{"line break", "/apply", entry.ReviseRequest{Author: "a\nb"}, 400, "can't be printed"},
		{"too large", "/apply", entry.ReviseRequest{Author: "a", Note: strings.Repeat("x", 5<<20)}, 413, "too large"},
		{"no site", "/apply", entry.ReviseRequest{Author: "a", From: 1}, 422, "no site"},
		{"cells moved", "/apply", entry.ReviseRequest{Author: "a", From: 1, Sites: moved}, 422, "dataCentres can't change yet"},
		{"unknown server", "/drain/nobody", entry.ReviseRequest{Author: "a"}, 404, "no backend server"},
		{"not archived", "/rollback", entry.ReviseRequest{Author: "a", From: 1, To: 9}, 422, "is no longer in the archive"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var res apply.Result
			is.Equal(operatorRequest(t, s.Hosts()[0], http.MethodPost, tt.path, tt.body, &res), tt.status)
			is.Equal(res.Outcome, apply.Refused)
			is.True(strings.Contains(res.Reason, tt.reason))
			is.True(allAtRevision(s, 1)())
		})
	}
}

// Guards against a drained server that keeps ranges or gets requests, and against
// a server that gets no ranges after its drain has ended.
func TestDrainServer(t *testing.T) {
	is := is.New(t)
	s := startSystem(t, 1)
	const server = "ledger-north-1-1"
	res := revise(t, s.Hosts()[1], http.MethodPost, "/drain/"+server, entry.ReviseRequest{Author: "moana"})
	is.Equal(res.Outcome, apply.Accepted)
	ranges := func() (n int) {
		for _, c := range s.Hosts()[0].Status().Cells {
			for _, v := range c.Servers {
				if v.Server == server {
					n += v.Ranges
				}
			}
		}
		return n
	}
	waitFor(t, func() bool { return ranges() == 0 })
	// The server may get new requests for another 3 s, and none after that.
	time.Sleep(3 * time.Second)
	seen := len(s.Server(server).Backend().AllRuns())
	for k := range 200 {
		r := sendRequest(t, http.MethodGet, fmt.Sprintf("http://%s/ledger/tin-%d", s.Hosts()[k%3].CallerAddr(), k), "", "")
		is.NoErr(r.err)
		is.True(r.owner != server)
	}
	is.Equal(len(s.Server(server).Backend().AllRuns()), seen)
	res = revise(t, s.Hosts()[1], http.MethodPost, "/drain/ledger-north-1-2", entry.ReviseRequest{Author: "moana"})
	is.Equal(res.Outcome, apply.Held) // the last server of its cell
	res = revise(t, s.Hosts()[2], http.MethodDelete, "/drain/"+server, entry.ReviseRequest{Author: "moana"})
	is.Equal(res.Outcome, apply.Accepted)
	is.Equal(res.Revision.Number, uint64(3))
	waitFor(t, func() bool { return ranges() > 0 })
}
