package relay

import (
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/intent"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Guards against health requests to a server that leaves or asked for a pause.
func TestHealthRequestsStop(t *testing.T) {
	sv := fleet.Server{ID: "s", Service: "catalogue", Addr: "127.0.0.1:1", Born: 5}
	tests := []struct {
		name  string
		reply Reply
		want  string
	}{
		{"neither", Reply{}, "/health"},
		{"leaving", Reply{Leaving: true}, ""},
		{"paused", Reply{Pause: 2000}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newRelay()
			r.SetConfig(intent.New(intent.Document{Version: 1, Services: []intent.Service{{Name: keys.Service("catalogue"), Health: "/health"}}}))
			r.SetServers([]fleet.Server{sv})
			r.applyNotices(sv.Incarnation(), tt.reply)
			is.Equal(r.healthPath(sv), tt.want)
		})
	}
}

// Guards against other hosts that aren't told of a leaving server, and against
// heartbeats that go on telling them once its registration says so.
func TestLeavingServersAreTold(t *testing.T) {
	sv := fleet.Server{ID: "s", Service: "catalogue", Addr: "127.0.0.1:1", Born: 5}
	draining, next := sv, sv
	draining.Draining, next.Born = true, 6
	tests := []struct {
		name string
		list []fleet.Server
		want int
	}{
		{"ready", []fleet.Server{sv}, 1},
		{"draining", []fleet.Server{draining}, 0},
		{"next process", []fleet.Server{next}, 0},
		{"removed", nil, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			told, other := newRelay(), newRelay()
			for _, r := range []*Relay{told, other} {
				r.SetServers([]fleet.Server{sv})
			}
			told.applyNotices(sv.Incarnation(), Reply{Leaving: true})
			told.SetServers(tt.list)
			is.Equal(len(told.LeavingServers()), tt.want)
			other.ServersLeave([]fleet.Incarnation{sv.Incarnation()})
			is.Equal(len(other.LeavingServers()), 0) // each host tells only what it was told by servers
			is.True(other.Leaving(sv))
			is.True(!other.Leaving(next))
		})
	}
}

// Guards against requests that arrive in the last millisecond of a pause.
func TestPauseLastsUntilItsEnd(t *testing.T) {
	is := is.New(t)
	sv := fleet.Server{ID: "s", Service: "catalogue", Addr: "127.0.0.1:1", Born: 5}
	r := newRelay()
	r.SetServers([]fleet.Server{sv})
	before := r.cfg.Clock.Now()
	r.applyNotices(sv.Incarnation(), Reply{Pause: 2000})
	is.True(r.placement.Paused(before.Add(2001), sv))
}
