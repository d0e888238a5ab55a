package front

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/epoch"
	"github.com/laburnummux/laburnummux/internal/fleet"
)

// Guards against a warm-up that starts again at each host that fetches the servers from
// another one: along a chain of hosts the delays would add up.
func TestWarmupInSnapshots(t *testing.T) {
	reg := fleet.Server{ID: "a", Service: "ledger", Addr: "a:1", Slots: 2, Born: 1, Revision: 11, Warmup: 3000}
	for _, query := range []string{"", "&changes=1"} {
		t.Run(query, func(t *testing.T) {
			is := is.New(t)
			source := newTestHost()
			source.clock = clock.Manual(0)
			source.replaceServers(nil, epoch.At(1, 10), noGrace)
			source.applyChanges([]ServerEvent{{ID: "a", Server: reg}}, epoch.At(1, 12), noGrace)
			source.clock.Advance(1000 * clock.Millisecond)
			// The list is read from the store once more.
			source.replaceServers([]fleet.Server{reg}, epoch.At(1, 13), noGrace)
			source.applyChanges([]ServerEvent{{ID: "a", Server: reg}}, epoch.At(1, 14), noGrace)
			w := httptest.NewRecorder()
			source.serveSnapshot(w, httptest.NewRequest(http.MethodGet, fmt.Sprintf("%s?config=0&servers=13&epoch=1%s", snapshotPath, query), nil))
			var s snapshot
			is.NoErr(cbor.Unmarshal(w.Body.Bytes(), &s))
			is.Equal(len(s.Servers), 1)
			is.Equal(s.Servers[0].Warmup, clock.Span(2000))
			is.Equal(s.Servers[0].Revision, reg.Revision)
			// A host that has the registration already takes no other end from it.
			h := newTestHost()
			h.clock = clock.Manual(0)
			h.replaceServers([]fleet.Server{reg}, epoch.At(1, 10), noGrace)
			h.clock.Advance(500 * clock.Millisecond)
			h.replaceServers(s.Servers, epoch.At(1, 14), noGrace)
			is.Equal(h.fleet.WarmupLeft(h.clock.Now(), "a"), clock.Span(2500))
		})
	}
}
