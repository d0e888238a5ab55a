package entry

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/fakes/heads"
)

// Guards against a malformed response to a probe or to grants that counts as one of the
// server, or that isn't reported, and against a valid one that isn't used.
func TestMalformedHeadOfProbe(t *testing.T) {
	const report = `{"clock":5,"slots":2,"state":"ready","boot":"x"}`
	for _, method := range []string{http.MethodGet, http.MethodPut} {
		for _, l := range heads.Lines() {
			for _, fields := range l.Placed(fmt.Sprintf("Content-Length: %d\r\n", len(report))) {
				t.Run(fmt.Sprintf("%s, %.80q", method, fields), func(t *testing.T) {
					is := is.New(t)
					s := heads.NewServer(t, "HTTP/1.1 200 OK\r\n"+fields+"\r\n"+report)
					var reported atomic.Int32
					b := &backend{baseURL: "http://" + s.Addr(), probeClient: newProbeClient(nil, func(error, ...zap.Field) { reported.Add(1) })}
					b.probeClient.Timeout = 10 * time.Second // a busy machine may need more than a probe has
					defer b.probeClient.CloseIdleConnections()
					v, ok, err := b.request(t.Context(), method, "/laburnummux/health", []byte("{}"))
					is.Equal(ok, l.Valid())
					is.Equal(err == nil, l.Valid())
					is.Equal(v.Incarnation == "x", l.Valid())
					is.Equal(reported.Load() == 0, l.Valid())
					is.Equal(s.Requests(), 1) // not sent again
				})
			}
		}
	}
}
