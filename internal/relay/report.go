package relay

import (
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/caller"
)

// Reasons in logs and metrics, besides those of place.
const (
	reasonAnswered     = "answered"
	reasonNoConfig     = "no-config"
	reasonNoRoute      = "no-route"
	reasonQuarantined  = "quarantined"
	reasonTimeout      = "timeout"
	reasonCallerGone   = "caller-gone"
	reasonAnswerLost   = "answer-lost"
	reasonRejected     = "rejected"
	reasonNoConnection = "no-connection"
	reasonNotAdmitted  = "not-admitted"
)

// finish logs and counts the final response.
func (c *call) finish(resp caller.Response, why string) caller.Response {
	took := c.relay.cfg.Clock.Now().Sub(c.started)
	c.relay.cfg.Metrics.observeRequest(c.service, why, resp.Status, took)
	if ce := c.relay.cfg.Log.Check(zap.InfoLevel, "request"); ce != nil {
		fields := []zap.Field{
			zap.String("id", c.meta.ID), zap.String("why", why), zap.Int("status", resp.Status), zap.Int64("ms", int64(took)),
			zap.Int64("queuedMs", int64(c.queueTime)), zap.Int("sends", c.sends),
		}
		fields = c.appendDestination(fields, why)
		ce.Write(c.appendProgress(fields, why)...)
	}
	return resp
}

// appendDestination appends the fields that say where the request was to go.
func (c *call) appendDestination(fields []zap.Field, why string) []zap.Field {
	if c.cfg != nil {
		fields = append(fields, zap.Uint64("config", c.cfg.Version()))
	}
	if c.route != nil {
		fields = append(fields, zap.String("route", c.route.Name), zap.String("service", string(c.service)))
	}
	if why == reasonNoRoute {
		fields = append(fields, zap.String("vhost", caller.LogText(c.req.Host)), zap.String("path", caller.LogText(c.req.Path)))
	}
	if c.meta.HasKey {
		fields = append(fields, zap.Uint16("key", uint16(c.meta.Key)))
	}
	return fields
}

// appendProgress appends the fields that say how far the request got.
func (c *call) appendProgress(fields []zap.Field, why string) []zap.Field {
	if len(c.tried) > 0 {
		fields = append(fields, zap.String("server", string(c.tried[len(c.tried)-1])))
	}
	if why == reasonCallerGone {
		fields = append(fields, zap.Stringer("stage", c.leftAt))
	}
	if c.openedConn {
		fields = append(fields, zap.Bool("opened", true))
	}
	if c.lastErr != nil {
		fields = append(fields, zap.NamedError("cause", c.lastErr))
	}
	return fields
}
