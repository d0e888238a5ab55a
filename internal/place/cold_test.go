package place

import (
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
)

// Guards against a warm-up that starts again with each list of servers, so that a server
// stays cold for ever, and against one that is missed because the server was known.
func TestWarmupOfRegistrations(t *testing.T) {
	reg := func(rev uint64, warmup clock.Span) fleet.Server {
		return fleet.Server{ID: "a", Service: svc, Addr: "a", DC: "north", Slots: 2, Born: 1, Revision: rev, Warmup: warmup}
	}
	type step struct {
		at   clock.Time
		reg  fleet.Server
		left clock.Span
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"the same registration again", []step{{0, reg(5, 1000), 1000}, {600, reg(5, 1000), 400}, {1500, reg(5, 1000), 0}}},
		{"the same one through another host, which sends what is left", []step{{0, reg(5, 1000), 1000}, {600, reg(5, 390), 400}}},
		{"a renewal", []step{{0, reg(5, 1000), 1000}, {900, reg(6, 120), 120}}},
		{"cold again with the same time", []step{{0, reg(5, 1000), 1000}, {5000, reg(9, 1000), 1000}}},
		{"warm, then cold", []step{{0, reg(5, 0), 0}, {5000, reg(6, 3000), 3000}, {5100, reg(7, 0), 0}}},
		{"of a host of an earlier version", []step{{0, reg(0, 1000), 1000}, {600, reg(0, 1000), 400}, {5000, reg(0, 800), 800}}},
		{"another process", []step{{0, reg(5, 1000), 1000}, {100, func() fleet.Server { sv := reg(5, 1000); sv.Born = 2; return sv }(), 1000}}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newState(0)
			for _, st := range tt.steps {
				s.SetServers(st.at, []fleet.Server{st.reg})
				is.Equal(s.ColdLeft(st.at, "a"), st.left)
			}
		})
	}
}

// Guards against a health response that an older registration overrules, which then sends
// a cold server too much, and against a warm-up of another process of the server.
func TestWarmupOfHealthResponses(t *testing.T) {
	is := is.New(t)
	s := newState(0)
	reg := fleet.Server{ID: "a", Service: svc, Addr: "a", DC: "north", Slots: 2, Born: 7, Revision: 5}
	s.SetServers(0, []fleet.Server{reg})
	s.SetWarmup(100, fleet.Incarnation{ID: "a", Born: 6}, 900)
	s.SetWarmup(100, fleet.Incarnation{ID: "b", Born: 7}, 900)
	is.Equal(s.ColdLeft(100, "a"), clock.Span(0))
	s.SetWarmup(100, reg.Incarnation(), 2000)
	is.Equal(s.ColdLeft(100, "a"), clock.Span(2000))
	reg.Revision = 6 // written before the response
	s.SetServers(200, []fleet.Server{reg})
	is.Equal(s.ColdLeft(200, "a"), clock.Span(1900))
	s.SetWarmup(300, reg.Incarnation(), 0)
	is.Equal(s.ColdLeft(300, "a"), clock.Span(0))
	reg.Revision, reg.Warmup = 7, 500
	s.SetServers(400, []fleet.Server{reg})
	is.Equal(s.ColdLeft(400, "a"), clock.Span(500))
	s.SetWarmup(450, reg.Incarnation(), 5000)
	reg.Revision, reg.Warmup = 8, 0
	s.SetServers(3000, []fleet.Server{reg}) // the response is old by now
	is.Equal(s.ColdLeft(3000, "a"), clock.Span(0))
	is.Equal(s.ColdLeft(3000, "none"), clock.Span(0))
}
