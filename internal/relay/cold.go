package relay

import (
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/place"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// ColdLeft returns how much longer a server is cold, or 0.
func (r *Relay) ColdLeft(id keys.Server) clock.Span {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.placement.ColdLeft(r.cfg.Clock.Now(), id)
}

// ColdServers returns the number of cold servers.
func (r *Relay) ColdServers() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	cold, _, _ := r.placement.ColdCounts(r.cfg.Clock.Now())
	return cold
}

// WarmupStated applies what a health response says about the warm-up of the process
// that sent it: how long it lasts if ok is set, or that the statement is invalid.
func (r *Relay) WarmupStated(in fleet.Incarnation, left clock.Span, ok, invalid bool) {
	if invalid {
		r.cfg.Metrics.countBadWarmup()
		r.reportBadHeader(in, "warm-up")
	}
	if !ok {
		return
	}
	r.mu.Lock()
	now := r.cfg.Clock.Now()
	was := r.placement.ColdLeft(now, in.ID) > 0
	r.deliver(r.placement.SetWarmup(now, in, left))
	is := r.placement.ColdLeft(now, in.ID) > 0
	r.mu.Unlock()
	if is == was {
		return
	}
	r.cfg.Log.Info("warm-up by health response", zap.String("server", string(in.ID)), zap.Int64("ms", int64(left)))
	if r.cfg.WarmupChanged != nil {
		r.cfg.WarmupChanged()
	}
}

// countLoad counts the load header of a response.
func (r *Relay) countLoad(in fleet.Incarnation, reply Reply) {
	r.cfg.Metrics.countLoad(reply)
	if reply.BadLoad {
		r.reportBadHeader(in, "load")
	}
}

// reportBadHeader logs the first invalid header of a process of a server.
func (r *Relay) reportBadHeader(in fleet.Incarnation, what string) {
	r.mu.Lock()
	p := r.pools[in.ID]
	first := p != nil && p.server.Born == in.Born && !p.badHeader
	if first {
		p.badHeader = true
	}
	r.mu.Unlock()
	if first {
		r.cfg.Log.Warn("server sends an invalid header; ignoring the invalid figures", zap.String("server", string(in.ID)), zap.String("about", what))
	}
}

// serviceRamps returns the slow start and the limits of cold servers of all services.
func (r *Relay) serviceRamps() map[keys.Service]place.Ramp {
	ramps := make(map[keys.Service]place.Ramp)
	if c := r.activeConfig.Load(); c != nil {
		for _, s := range c.Document().Services {
			ramp := place.Ramp{Warmup: s.Warmup, ColdRate: s.ColdRate}
			if r.cfg.NoSlowStart {
				ramp.Warmup = 0
			}
			ramps[s.Name] = ramp
		}
	}
	return ramps
}
