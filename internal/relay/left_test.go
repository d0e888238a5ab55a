package relay

import (
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/caller"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/intent"
)

// signedCodec takes every response for that of the request's server.
type signedCodec struct{ stubCodec }

func (signedCodec) Reply(int, http.Header) Reply { return Reply{Signed: true} }

// Guards against requests that are sent, or sent again, although the socket shows that their callers have left.
func TestDepartedCallersRequestIsNotSent(t *testing.T) {
	tests := []struct {
		name    string
		leaveAt int32 // the caller leaves after so many sends
		ended   bool  // the host has read the end of the connection
		fail    bool  // the server's responses are failures
		want    int32
	}{
		{"stays", 9, false, false, 1},
		{"stays, server fails", 9, false, true, 2},
		{"left while queued", 0, false, false, 0},
		{"left, and the host knows", 0, true, false, 0},
		{"left before the retry", 1, false, true, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var served atomic.Int32
			sv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				served.Add(1)
				if tt.fail {
					w.WriteHeader(http.StatusInternalServerError)
				}
			}))
			t.Cleanup(sv.Close)
			r := newRelay()
			r.cfg.Codec = signedCodec{}
			r.SetConfig(intent.New(intent.Document{
				Version: 1, Services: []intent.Service{{Name: "catalogue", Conns: 100}},
				Routes: []intent.Route{{
					Name: "browse", Host: "h", Prefix: "/", Repeat: intent.Idempotent, Attempts: 2, Timeout: 5 * clock.Second, Objective: clock.Second,
					Parts: []intent.WeightedService{{Service: "catalogue", Weight: 1}},
				}},
			}))
			addr := sv.Listener.Addr().String()
			r.SetServers([]fleet.Server{{ID: "a", Service: "catalogue", DC: "north", Addr: addr, Slots: 4}, {ID: "b", Service: "catalogue", DC: "north", Addr: addr, Slots: 4}})
			for range 100 {
				r.retryBudget.CountRequest(r.cfg.Clock.Now(), "catalogue")
			}
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			if tt.ended {
				cancel()
			}
			resp := r.Handle(ctx, &caller.Request{
				Method: "GET", Target: "/x", Path: "/x", Host: "h", Header: http.Header{},
				Left: func() bool { return served.Load() >= tt.leaveAt },
			})
			is.Equal(served.Load(), tt.want)
			is.Equal(resp.Abort, tt.leaveAt < 9)
			inFlight, _ := r.LocalLoad()
			is.Equal(len(inFlight), 0)
		})
	}
}
