package front

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/epoch"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/intent"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Guards against a whole list of servers that every host fetches after each change:
// with 900 servers and 295 hosts that was 26 MB for each. A host that is too far
// behind, of another epoch, or of an earlier version still gets the whole list, and
// all come to the same servers.
func TestSnapshotChanges(t *testing.T) {
	const known = 100 // servers in the first list, at revision 10
	server := func(i int, draining bool) fleet.Server {
		return fleet.Server{ID: keys.Server(fmt.Sprintf("s%03d", i)), Service: "ledger", Born: 1, Draining: draining}
	}
	first := func(h *Host, at epoch.Revision) {
		var list []fleet.Server
		for i := range known {
			list = append(list, server(i, false))
		}
		h.replaceServers(list, at, noGrace)
	}
	source := newTestHost()
	first(source, epoch.At(1, 10))
	source.applyChanges([]ServerEvent{{ID: "s000", Server: server(0, true)}}, epoch.At(1, 12), noGrace)
	source.applyChanges([]ServerEvent{{ID: "s000", Removed: true}, {ID: "s200", Server: server(200, false)}}, epoch.At(1, 15), noGrace)
	tests := []struct {
		name    string
		at      epoch.Revision // of the host that fetches
		query   string
		changed int // servers in the response
		whole   bool
	}{
		{"at a known revision", epoch.At(1, 10), "&changes=1", 1, false},
		{"between two known ones", epoch.At(1, 11), "&changes=1", 1, false},
		{"at the last but one", epoch.At(1, 12), "&changes=1", 1, false},
		{"before the first one", epoch.At(1, 9), "&changes=1", known, true},
		{"of an earlier epoch", epoch.At(0, 0), "&changes=1", known, true},
		{"of an earlier version", epoch.At(1, 10), "", known, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newTestHost()
			first(h, tt.at)
			w := httptest.NewRecorder()
			url := fmt.Sprintf("%s?config=0&servers=%d&epoch=%d%s", snapshotPath, tt.at.Number(), tt.at.Epoch(), tt.query)
			source.serveSnapshot(w, httptest.NewRequest(http.MethodGet, url, nil))
			is.Equal(w.Code, http.StatusOK)
			var s snapshot
			is.NoErr(cbor.Unmarshal(w.Body.Bytes(), &s))
			is.Equal(len(s.Servers), tt.changed)
			is.Equal(s.Changes, !tt.whole)
		})
	}
	t.Run("fetched", func(t *testing.T) {
		is := is.New(t)
		srv := httptest.NewServer(http.HandlerFunc(source.serveSnapshot))
		defer srv.Close()
		for _, at := range []uint64{9, 10, 11, 12} {
			h := newTestHost()
			first(h, epoch.At(1, at))
			is.NoErr(h.fetchSnapshot(t.Context(), srv.Client(), strings.TrimPrefix(srv.URL, "http://"), 0, epoch.At(1, at)))
			is.Equal(serverIDs(h), serverIDs(source))
			_, rev, _ := h.snapshotVersions(0)
			is.Equal(rev, epoch.At(1, 15))
			// It passes the changes on in turn.
			_, _, ok := h.changes.since(epoch.At(1, 12))
			is.Equal(ok, at != 9)
		}
	})
}

// The log keeps a bounded number of changes, and none from before a gap.
func TestChangeLog(t *testing.T) {
	is := is.New(t)
	var l changeLog
	for i := range uint64(3 * maxChanges) {
		l.add(change{from: epoch.At(1, i), to: epoch.At(1, i+1), events: []ServerEvent{{ID: keys.Server(fmt.Sprint(i)), Removed: true}}})
	}
	is.Equal(len(l.changes), maxChanges)
	_, removed, ok := l.since(epoch.At(1, 3*maxChanges-2))
	is.True(ok)
	is.Equal(removed, []keys.Server{keys.Server(fmt.Sprint(3*maxChanges - 2)), keys.Server(fmt.Sprint(3*maxChanges - 1))})
	l.add(change{from: epoch.At(1, 500), to: epoch.At(1, 501)})
	_, _, ok = l.since(epoch.At(1, 3*maxChanges-2))
	is.True(!ok)
}

// configWithRoutes returns a version with as many thousand routes as its number.
func configWithRoutes(version uint64) *intent.Config {
	doc := intent.Document{Version: version}
	for i := range version * 1000 {
		doc.Routes = append(doc.Routes, intent.Route{
			Name: fmt.Sprint("route-", i), Host: "tins.example", Prefix: fmt.Sprintf("/route-%d/", i),
			Parts: []intent.WeightedService{{Service: "catalogue", Weight: 1}},
		})
	}
	return intent.New(doc)
}

// Guards against a version that replaces a later one, or that comes without some of
// its routes, on a host that fetches long configurations from several hosts at once,
// one of which breaks off its responses.
func TestLongConfigurationsOfSeveralHosts(t *testing.T) {
	is := is.New(t)
	const versions = 6
	var addrs []string
	for v := range uint64(versions) {
		source := newTestHost()
		source.applyConfig(configWithRoutes(v + 1))
		srv := httptest.NewServer(http.HandlerFunc(source.serveSnapshot))
		t.Cleanup(srv.Close)
		addrs = append(addrs, strings.TrimPrefix(srv.URL, "http://"))
	}
	short := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		full := httptest.NewRecorder()
		source := newTestHost()
		source.applyConfig(configWithRoutes(versions + 1))
		source.serveSnapshot(full, r)
		io.CopyN(w, full.Body, int64(full.Body.Len()/2))
	}))
	t.Cleanup(short.Close)
	addrs = append(addrs, strings.TrimPrefix(short.URL, "http://"))

	h := newTestHost()
	var fetches, watch sync.WaitGroup
	done := make(chan struct{})
	watch.Go(func() {
		last := uint64(0)
		for {
			if c := h.relay.Config(); c != nil {
				last = checkVersion(t, c, last)
			}
			select {
			case <-done:
				return
			default:
			}
		}
	})
	for range 4 {
		order := rand.Perm(len(addrs))
		fetches.Go(func() {
			for _, i := range order {
				err := h.fetchSnapshot(t.Context(), http.DefaultClient, addrs[i], 0, epoch.Revision{})
				if (err != nil) != (i == versions) {
					t.Errorf("fetch from host %d: %v", i, err)
				}
			}
		})
	}
	fetches.Wait()
	close(done)
	watch.Wait()
	is.Equal(h.ConfigVersion(), uint64(versions))
}

// checkVersion checks that a version is no older than the last one and has all of
// its routes.
func checkVersion(t *testing.T, c *intent.Config, last uint64) uint64 {
	v := c.Version()
	if v < last || c.RouteCount() != int(v)*1000 {
		t.Errorf("version %d with %d routes after version %d", v, c.RouteCount(), last)
	}
	for i := range v * 1000 {
		if i%97 == 0 && c.Match("tins.example", fmt.Sprintf("/route-%d/x", i)) == nil {
			t.Errorf("version %d lacks route %d", v, i)
		}
	}
	return v
}
