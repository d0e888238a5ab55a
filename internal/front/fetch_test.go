package front

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/epoch"
	"github.com/laburnummux/laburnummux/internal/fakes/heads"
	"github.com/laburnummux/laburnummux/internal/intent"
)

// longConfig returns a configuration of about 800 kB.
func longConfig(version uint64) *intent.Document {
	doc := &intent.Document{Version: version}
	for i := range 4200 {
		name := fmt.Sprintf("route-%x", uint32(i)*2654435761)
		doc.Routes = append(doc.Routes, intent.Route{
			Name: name, Host: "a.example", Prefix: "/" + name + "/", Timeout: 1500, Objective: 400, Attempts: 2,
			Parts: []intent.WeightedService{{Service: "ledger", Weight: 1}},
		})
	}
	return doc
}

// slowSource sends a snapshot in parts with a pause between them, as a link with little
// bandwidth does. It stops after a number of parts if that is set.
type slowSource struct {
	body  []byte
	parts int
	pause time.Duration
	stop  int
}

// ServeHTTP implements http.Handler.
func (s *slowSource) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	size := len(s.body)/s.parts + 1
	for i := 0; i*size < len(s.body); i++ {
		if s.stop > 0 && i == s.stop {
			<-r.Context().Done()
			return
		}
		if _, err := w.Write(s.body[i*size : min((i+1)*size, len(s.body))]); err != nil {
			return // the client has closed the connection
		}
		w.(http.Flusher).Flush()
		time.Sleep(s.pause)
	}
}

// Guards against a configuration that never reaches a host with little bandwidth, as each fetch ends before its end.
func TestSnapshotOverSlowLink(t *testing.T) {
	body, err := cbor.Marshal(snapshot{Config: longConfig(6)})
	is.New(t).NoErr(err)
	tests := []struct {
		name    string
		source  *slowSource
		version uint64
		result  string
	}{
		{"slow", &slowSource{body: body, parts: 10, pause: 100 * time.Millisecond}, 6, "ok"},
		{"stopped", &slowSource{body: body, parts: 10, pause: 10 * time.Millisecond, stop: 5}, 0, "stalled"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			srv := httptest.NewServer(tt.source)
			defer srv.Close()
			h := newTestHost()
			began := time.Now()
			err := h.fetchSnapshot(t.Context(), newSnapshotClient(), strings.TrimPrefix(srv.URL, "http://"), 0, epoch.Revision{})
			is.Equal(fetchResult(err), tt.result)
			is.Equal(h.ConfigVersion(), tt.version)
			is.True(time.Since(began) < maxSnapshotTime/2) // a stopped one doesn't hold the host up
		})
	}
}

// Guards against hosts that send a long configuration to each other uncompressed.
func TestLongSnapshotIsCompressed(t *testing.T) {
	is := is.New(t)
	source := newTestHost()
	source.applyConfig(intent.New(*longConfig(6)))
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodGet, snapshotPath+"?config=0&servers=0", nil)
	r.Header.Set("Accept-Encoding", "gzip")
	source.serveSnapshot(w, r)
	is.Equal(w.Code, http.StatusOK)
	body, err := cbor.Marshal(snapshot{Config: longConfig(6)})
	is.NoErr(err)
	is.True(w.Body.Len() < len(body)/4)
	srv := httptest.NewServer(http.HandlerFunc(source.serveSnapshot))
	defer srv.Close()
	h := newTestHost()
	is.NoErr(h.fetchSnapshot(t.Context(), newSnapshotClient(), strings.TrimPrefix(srv.URL, "http://"), 0, epoch.Revision{}))
	is.Equal(h.ConfigVersion(), uint64(6))
	is.Equal(h.relay.Config().RouteCount(), 4200)
}

// Guards against a host that relies on other hosts although it can fetch nothing from them.
func TestHostWithoutFetchesReadsStore(t *testing.T) {
	is := is.New(t)
	h := newTestHost()
	h.cfg.Settings.DrainTimeout, h.cfg.Settings.ApplyTimeout = 2500, 2500
	h.recordFetch(1000, errStalled)
	h.recordFetch(1500, errStalled)
	is.True(!h.cannotFetch(1700))
	is.True(h.cannotFetch(1800))
	h.recordFetch(1900, nil)
	is.True(!h.cannotFetch(5000))
}

// Guards against a host that goes on reading the store long after its last failed fetch.
func TestHostFetchesAgainAfterFailure(t *testing.T) {
	is := is.New(t)
	h := newTestHost()
	h.cfg.Settings.DrainTimeout, h.cfg.Settings.ApplyTimeout = 2500, 2500
	h.recordFetch(1000, errStalled)
	is.True(h.cannotFetch(2000))
	is.True(!h.cannotFetch(60_000))
}

// Guards against a malformed response of another host whose snapshot is applied, and
// against a valid one that isn't.
func TestMalformedHeadOfSnapshot(t *testing.T) {
	body, err := cbor.Marshal(snapshot{Config: &intent.Document{Version: 6}})
	is.New(t).NoErr(err)
	for _, l := range heads.Lines() {
		for _, fields := range l.Placed(fmt.Sprintf("Content-Length: %d\r\n", len(body))) {
			t.Run(fmt.Sprintf("%.80q", fields), func(t *testing.T) {
				is := is.New(t)
				s := heads.NewServer(t, "HTTP/1.1 200 OK\r\n"+fields+"\r\n"+string(body))
				h := newTestHost()
				err := h.fetchSnapshot(t.Context(), newSnapshotClient(), s.Addr(), 0, epoch.Revision{})
				is.Equal(err == nil, l.Valid())
				is.Equal(h.ConfigVersion() == 6, l.Valid())
			})
		}
	}
}
