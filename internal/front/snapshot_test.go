package front

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/epoch"
	"github.com/laburnummux/laburnummux/internal/fleet"
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
