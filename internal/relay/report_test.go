package relay

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/laburnummux/laburnummux/internal/caller"
	"github.com/laburnummux/laburnummux/internal/intent"
)

// Guards against a 404 in the log without the configuration, host and path it was about.
func TestUnknownRouteIsReported(t *testing.T) {
	is := is.New(t)
	core, logs := observer.New(zap.InfoLevel)
	r := newRelay()
	r.cfg.Log = zap.New(core)
	r.SetConfig(intent.New(intent.Document{Version: 9}))
	path := "/" + strings.Repeat("x", 100)
	req := &caller.Request{Method: "GET", Target: path, Path: path, Host: "h", Header: http.Header{}}
	is.Equal(r.Handle(context.Background(), req).Status, http.StatusNotFound)
	m := logs.FilterMessage("request").All()[0].ContextMap()
	is.Equal(m["why"], reasonNoRoute)
	is.Equal(m["config"], uint64(9))
	is.Equal(m["vhost"], "h")
	is.Equal(m["path"], path[:64])
}

// Guards against a server's failure in the log that doesn't say whether the server signed it.
func TestUnsignedFailureIsReported(t *testing.T) {
	for _, unsigned := range []bool{false, true} {
		t.Run(map[bool]string{false: "signed", true: "unsigned"}[unsigned], func(t *testing.T) {
			is := is.New(t)
			core, logs := observer.New(zap.InfoLevel)
			reg := prometheus.NewRegistry()
			r := newRelay()
			r.cfg.Log, r.cfg.Metrics = zap.New(core), NewMetrics(reg)
			c := &call{relay: r, service: "ledger", unsigned: unsigned}
			c.finish(caller.Response{Status: http.StatusNotFound}, reasonAnswered)
			is.Equal(logs.All()[0].ContextMap()["signed"], !unsigned)
			families, err := reg.Gather()
			is.NoErr(err)
			counted := false
			for _, f := range families {
				counted = counted || f.GetName() == "laburnummux_unsigned_responses_total"
			}
			is.Equal(counted, unsigned)
		})
	}
}
