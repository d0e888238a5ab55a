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

// cutStore is the store as a data centre sees it that can be cut off from it.
type cutStore struct {
	store.Store
	cut *atomic.Bool
}

func (s cutStore) Get(ctx context.Context, name string) (store.Object, error) {
	if s.cut.Load() {
		return store.Object{}, store.ErrUnavailable
	}
	return s.Store.Get(ctx, name)
}

func (s cutStore) Watch(ctx context.Context, prefix string, since uint64) ([]store.Object, uint64, error) {
	changes, rev, err := s.Store.Watch(ctx, prefix, since)
	if s.cut.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return changes, rev, err
}

func (s cutStore) Put(ctx context.Context, name string, value []byte, ifVersion uint64) (uint64, error) {
	if s.cut.Load() {
		return 0, store.ErrUnavailable
	}
	return s.Store.Put(ctx, name, value, ifVersion)
}

func ask(t testing.TB, h *entry.Host, method, path string, body any, answer any) int {
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
	if err := json.NewDecoder(resp.Body).Decode(answer); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode
}

func revise(t testing.TB, h *entry.Host, method, path string, body entry.Revise) (res apply.Result) {
	t.Helper()
	ask(t, h, method, path, body, &res)
	return res
}

// sitesOf returns the configuration in force with ledger's ramp changed.
func sitesOf(t testing.TB, h *entry.Host, rampMs int) (uint64, map[keys.DataCentre]json.RawMessage) {
	t.Helper()
	var v struct {
		Number uint64                              `json:"number"`
		Sites  map[keys.DataCentre]json.RawMessage `json:"sites"`
	}
	ask(t, h, http.MethodGet, "/revision", nil, &v)
	for site, raw := range v.Sites {
		var compact bytes.Buffer
		if err := json.Compact(&compact, raw); err != nil {
			t.Fatal(err)
		}
		v.Sites[site] = []byte(strings.ReplaceAll(compact.String(), `"rampMs":1000`, fmt.Sprintf(`"rampMs":%d`, rampMs)))
	}
	return v.Number, v.Sites
}

func allAt(s *devel.System, n uint64) func() bool {
	return func() bool {
		return !slices.ContainsFunc(s.Hosts(), func(h *entry.Host) bool { return h.Status().Revision != n })
	}
}

// Guards against two operators who are both told that their change is in
// force, against a loser who isn't told by whom, against a data centre without
// the store that stays behind, and against a rollback that lowers the number.
func TestReviseEverywhere(t *testing.T) {
	is := is.New(t)
	var cut atomic.Bool
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	s, err := devel.Start(ctx, devel.Config{Hosts: 1, Servers: 1, Log: zap.NewNop(), Wrap: func(dc keys.DataCentre, st store.Store) store.Store {
		if dc == "north-3" {
			return cutStore{st, &cut}
		}
		return st
	}})
	is.NoErr(err)
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		is.NoErr(s.Stop(ctx))
	}()
	waitFor(t, allAt(s, 1))
	cut.Store(true)

	results := make([]apply.Result, 2)
	var wg sync.WaitGroup
	for i, author := range []string{"moana", "tui"} {
		from, sites := sitesOf(t, s.Hosts()[i], 2000+i)
		is.Equal(from, uint64(1))
		wg.Go(func() {
			results[i] = revise(t, s.Hosts()[i], http.MethodPost, "/apply", entry.Revise{Author: author, From: from, Sites: sites})
		})
	}
	wg.Wait()
	slices.SortFunc(results, func(a, b apply.Result) int { return int(a.Outcome) - int(b.Outcome) })
	won, lost := results[0], results[1]
	is.Equal(won.Outcome, apply.Accepted)
	is.Equal(lost.Outcome, apply.Raced)
	is.Equal(lost.Revision, won.Revision) // by whom and when
	is.Equal(lost.Changes, won.Changes)   // what the winner has changed
	is.Equal(len(won.Changes), 3)         // one field at three sites
	waitFor(t, allAt(s, 2))               // north-3 learns it from the others

	unable := revise(t, s.Hosts()[2], http.MethodPost, "/rollback", entry.Revise{Author: "tui", From: 2, To: 1})
	is.Equal(unable.Outcome, apply.Unavailable)
	cut.Store(false)
	back := revise(t, s.Hosts()[2], http.MethodPost, "/rollback", entry.Revise{Author: "tui", From: 2, To: 1})
	is.Equal(back.Outcome, apply.Accepted)
	is.Equal(back.Revision.Number, uint64(3))
	waitFor(t, allAt(s, 3))
	first, _ := s.Store().Object(apply.ArchiveObject(1))
	now, _ := s.Store().Object(apply.CurrentObject)
	a, err := config.DecodeRevision(first.Value())
	is.NoErr(err)
	b, err := config.DecodeRevision(now.Value())
	is.NoErr(err)
	changes, err := apply.Diff(a, b)
	is.NoErr(err)
	is.Equal(len(changes), 0)

	var f entry.Fleet
	ask(t, s.Hosts()[0], http.MethodGet, "/status?all=true", nil, &f)
	is.Equal(len(f.Hosts), 3)
	s.Store().AddMember(store.NewEntry("north-1-z", "north-1", store.Addresses{Operators: "127.0.0.1:9"}))
	waitFor(t, func() bool {
		ask(t, s.Hosts()[0], http.MethodGet, "/status?all=true", nil, &f)
		return len(f.NotHeard) == 1 && f.NotHeard[0].Host == "north-1-z"
	})
}

// Guards against an answer that is wrong when the answer of the store's write
// is lost.
func TestReviseUnsure(t *testing.T) {
	is := is.New(t)
	s := start(t, 1)
	from, sites := sitesOf(t, s.Hosts()[0], 3000)
	s.Store().LoseAnswers(4) // the copy, the revision and what assigners write meanwhile
	res := revise(t, s.Hosts()[0], http.MethodPost, "/apply", entry.Revise{Author: "moana", From: from, Sites: sites})
	is.Equal(res.Outcome, apply.Accepted)
	waitFor(t, allAt(s, 2))
}

// lostStore loses the answer of the write of the configuration and is not to be
// reached from then on.
type lostStore struct{ cutStore }

func (s lostStore) Put(ctx context.Context, name string, value []byte, ifVersion uint64) (uint64, error) {
	v, err := s.cutStore.Put(ctx, name, value, ifVersion)
	if err == nil && name == apply.CurrentObject {
		s.cut.Store(true)
		return 0, store.ErrUnsure
	}
	return v, err
}

// Guards against "accepted" or "refused" while nobody can know.
func TestReviseUnknown(t *testing.T) {
	is := is.New(t)
	var cut atomic.Bool
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	s, err := devel.Start(ctx, devel.Config{Hosts: 1, Servers: 1, Log: zap.NewNop(), Wrap: func(_ keys.DataCentre, st store.Store) store.Store {
		return lostStore{cutStore{st, &cut}}
	}})
	is.NoErr(err)
	defer func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		is.NoErr(s.Stop(ctx))
	}()
	waitFor(t, allAt(s, 1))
	var res apply.Result
	is.Equal(ask(t, s.Hosts()[0], http.MethodPost, "/drain/ledger-north-1-1", entry.Revise{Author: "moana", Override: []string{apply.LastServer}}, &res), http.StatusGatewayTimeout)
	is.Equal(res.Outcome, apply.Unknown)
	is.Equal(res.Revision.Number, uint64(2))
	cut.Store(false)
	waitFor(t, allAt(s, 2)) // it is in force after all
}

// Guards against bodies that are accepted although they are wrong.
func TestReviseRefuses(t *testing.T) {
	s := start(t, 1)
	_, sites := sitesOf(t, s.Hosts()[0], 3000)
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
		{"no author", "/apply", entry.Revise{From: 1, Sites: sites}, 400, "author: is missing"},
		{"unknown field", "/apply", map[string]any{"author": "a", "force": true}, 400, "unknown field"},
		{"line break", "/apply", entry.Revise{Author: "a\nb"}, 400, "can't be printed"},
		{"too large", "/apply", entry.Revise{Author: "a", Note: strings.Repeat("x", 5<<20)}, 413, "too large"},
		{"no site", "/apply", entry.Revise{Author: "a", From: 1}, 422, "no site"},
		{"cells moved", "/apply", entry.Revise{Author: "a", From: 1, Sites: moved}, 422, "dataCentres can't change yet"},
		{"unknown server", "/drain/nobody", entry.Revise{Author: "a"}, 404, "no backend server"},
		{"not archived", "/rollback", entry.Revise{Author: "a", From: 1, To: 9}, 422, "is not kept"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var res apply.Result
			is.Equal(ask(t, s.Hosts()[0], http.MethodPost, tt.path, tt.body, &res), tt.status)
			is.Equal(res.Outcome, apply.Refused)
			is.True(strings.Contains(res.Reason, tt.reason))
			is.True(allAt(s, 1)())
		})
	}
}

// Guards against a drained server that keeps ranges or gets requests, and
// against one that stays without keys after its drain has ended.
func TestDrainServer(t *testing.T) {
	is := is.New(t)
	s := start(t, 1)
	const server = "ledger-north-1-1"
	res := revise(t, s.Hosts()[1], http.MethodPost, "/drain/"+server, entry.Revise{Author: "moana"})
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
	// The server may get new requests for 3 s; from then on, none.
	time.Sleep(3 * time.Second)
	seen := len(s.Server(server).Backend().AllRuns())
	for k := range 200 {
		r := call(t, http.MethodGet, fmt.Sprintf("http://%s/ledger/tin-%d", s.Hosts()[k%3].CallerAddr(), k), "", "")
		is.NoErr(r.err)
		is.True(r.owner != server)
	}
	is.Equal(len(s.Server(server).Backend().AllRuns()), seen)
	res = revise(t, s.Hosts()[1], http.MethodPost, "/drain/ledger-north-1-2", entry.Revise{Author: "moana"})
	is.Equal(res.Outcome, apply.Held) // it is the last one
	res = revise(t, s.Hosts()[2], http.MethodDelete, "/drain/"+server, entry.Revise{Author: "moana"})
	is.Equal(res.Outcome, apply.Accepted)
	is.Equal(res.Revision.Number, uint64(3))
	waitFor(t, func() bool { return ranges() > 0 })
}
