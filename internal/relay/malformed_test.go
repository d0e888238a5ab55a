package relay

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/head"
	"github.com/laburnummux/laburnummux/internal/link"
)

// oneResponse is a server that responds to one request.
type oneResponse struct {
	listener net.Listener
	response string
}

func (s *oneResponse) run() {
	c, err := s.listener.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		io.WriteString(c, s.response)
	}
}

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
			l, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer l.Close()
			s := &oneResponse{listener: l, response: "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + tt.line + "\r\n\r\n"}
			go s.run()
			core, logs := observer.New(zap.InfoLevel)
			reg := prometheus.NewRegistry()
			r := newRelay()
			r.cfg.Heads = head.NewReporter(reg, zap.New(core))
			p := r.newPool(fleet.Server{ID: "s-1", Addr: l.Addr().String()})
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
