package front

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/intent"
)

// Guards against a request that a stopping host accepts so late that it has to
// be aborted: one arrived 5 s after SIGTERM and was aborted 0.5 s later.
func TestRefuseAfter(t *testing.T) {
	const grace = 6 * time.Second
	tests := []struct {
		name    string
		longest time.Duration
		want    time.Duration
	}{
		{"timeouts of up to 1.5 s", 1500 * time.Millisecond, 4 * time.Second},
		{"long timeouts", 5 * time.Second, 3 * time.Second},
		{"no configuration", 0, 5500 * time.Millisecond},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is.New(t).Equal(refuseAfter(grace, tt.longest), tt.want)
		})
	}
}

// Guards against a request on a route without a timeout that a stopping host accepts
// until the end of the grace period: it was sent to a server and cut off with no
// response half a second later.
func TestLongestRequest(t *testing.T) {
	const grace = 6 * time.Second
	route := func(timeout clock.Span) intent.Route { return intent.Route{Name: "r", Timeout: timeout} }
	tests := []struct {
		name   string
		routes []intent.Route
		want   time.Duration
	}{
		{"the longest timeout", []intent.Route{route(1500), route(800)}, 1500 * time.Millisecond},
		{"a route without a timeout", []intent.Route{route(1500), route(0)}, grace},
		{"longer than the grace period", []intent.Route{route(30_000)}, grace},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(longestRequest(intent.New(intent.Document{Routes: tt.routes}), grace), tt.want)
		})
	}
	is.New(t).Equal(longestRequest(nil, grace), time.Duration(0))
}
