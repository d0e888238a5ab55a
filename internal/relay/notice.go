package relay

import (
	"net/http"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/head"
	"github.com/laburnummux/laburnummux/internal/link"
)

// leaveMargin is how much earlier than Config.DrainTimeout a leaving server gets
// its last requests.
const leaveMargin = 200 * clock.Millisecond

// pauseMargin is added to a pause: this host's clock counts whole milliseconds, and
// the requests that wait for the end are sent together.
const pauseMargin = 10 * clock.Millisecond

// newPool returns the pool for a process of a server.
func (r *Relay) newPool(sv fleet.Server) *pool {
	p := &pool{Pool: link.NewPool(sv.Addr, r.responses), server: sv}
	p.Observe(func(status int, h http.Header) {
		reply := r.cfg.Codec.Reply(status, h)
		r.countLoad(sv.Incarnation(), reply)
		r.applyNotices(sv.Incarnation(), reply)
	})
	p.ObserveMalformed(func(id string, err error) {
		r.cfg.Heads.Report(head.SourceServer, err, zap.String("server", string(sv.ID)), zap.String("id", id))
	})
	return p
}

// applyNotices applies what a response says about the process that sent it.
func (r *Relay) applyNotices(in fleet.Incarnation, reply Reply) {
	if reply.Leaving {
		r.ServerLeaves(in)
	}
	if reply.Pause > 0 {
		r.PauseServer(in, reply.Pause)
	}
	r.WarmupStated(in, reply.Warmup, reply.HasWarmup, reply.BadWarmup)
}

// Paused reports whether a process of a server has asked this host for a pause that
// hasn't ended.
func (r *Relay) Paused(in fleet.Incarnation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.placement.Paused(r.cfg.Clock.Now(), fleet.Server{ID: in.ID, Born: in.Born})
}

// PauseServer leaves a process of a server without requests for a time that it has
// asked for.
func (r *Relay) PauseServer(in fleet.Incarnation, d clock.Span) {
	r.mu.Lock()
	now := r.cfg.Clock.Now()
	first := r.placement.Pause(now, in, now.Add(d+pauseMargin))
	r.mu.Unlock()
	if first {
		r.cfg.Log.Info("server asked for a pause", zap.String("server", string(in.ID)), zap.Int64("ms", int64(d)))
	}
}

// ServerLeaves records that a process of a server has told this host that it is
// leaving.
func (r *Relay) ServerLeaves(in fleet.Incarnation) {
	r.mu.Lock()
	if p := r.pools[in.ID]; p != nil && p.server.Born == in.Born {
		p.leaving, r.toldLeaving = true, true
	}
	r.mu.Unlock()
	r.setLeaving(in, "server")
}

// ServersLeave records that processes of servers have told another host that they
// are leaving.
func (r *Relay) ServersLeave(list []fleet.Incarnation) {
	for _, in := range list {
		r.setLeaving(in, "host")
	}
}

// setLeaving logs a process that wasn't known to be leaving.
func (r *Relay) setLeaving(in fleet.Incarnation, toldBy string) {
	r.mu.Lock()
	now := r.cfg.Clock.Now()
	first, acts := r.placement.SetLeaving(now, in, now.Add(r.cfg.DrainTimeout-leaveMargin))
	r.deliver(acts)
	r.mu.Unlock()
	if !first {
		return
	}
	r.cfg.Log.Info("server is leaving", zap.String("server", string(in.ID)), zap.Int64("born", in.Born), zap.String("toldBy", toldBy))
	if r.cfg.ServerLeaving != nil {
		r.cfg.ServerLeaving()
	}
}

// LeavingServers returns the listed servers that have told this host that they are
// leaving and whose registrations don't say so. It is called for each heartbeat.
func (r *Relay) LeavingServers() (list []fleet.Incarnation) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.toldLeaving {
		return nil
	}
	for _, p := range r.pools {
		if p.leaving && !p.server.Draining {
			list = append(list, p.server.Incarnation())
		}
	}
	r.toldLeaving = len(list) > 0
	return list
}

// Leaving reports whether a listed server is known to be leaving, whatever its
// registration says.
func (r *Relay) Leaving(sv fleet.Server) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.placement.Leaving(sv)
}
