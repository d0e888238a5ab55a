package relay

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/laburnummux/laburnummux/internal/fakes/heads"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/head"
	"github.com/laburnummux/laburnummux/internal/link"
)

// Guards against a malformed response that neither the log nor a counter explains.
func TestMalformedHeadIsReported(t *testing.T) {
	tests := []struct{ line, fault string }{
		{"X Foo: 1", "name"},
		{" X-Foo: 1", "folded-line"},
		{"X-Foo: 1", ""},
	}
	for _, tt := range tests {
		t.Run(tt.line, func(t *testing.T) {
			is := is.New(t)
			s := heads.NewServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"+tt.line+"\r\n\r\n")
			core, logs := observer.New(zap.InfoLevel)
			reg := prometheus.NewRegistry()
			r := newRelay()
			r.cfg.Heads = head.NewReporter(reg, zap.New(core))
			p := r.newPool(fleet.Server{ID: "s-1", Addr: s.Addr()})
			yes := func(int, http.Header) bool { return true }
			p.Do(t.Context(), link.Request{Method: "GET", Target: "/", Host: "h", ID: "a", Matches: yes, Confusable: yes})
			families, err := reg.Gather() // without the metric until it counts
			is.NoErr(err)
			is.Equal(len(families) == 1, tt.fault != "")
			is.Equal(logs.Len(), len(families))
			if tt.fault == "" {
				return
			}
			m := logs.All()[0].ContextMap()
			is.Equal(m["why"], tt.fault)
			is.Equal(m["from"], "server")
			is.Equal(m["server"], "s-1")
			is.Equal(m["id"], "a")
		})
	}
}
