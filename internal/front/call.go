package front

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/epoch"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/head"
	"github.com/laburnummux/laburnummux/internal/owner"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// readCall reads the assignment record.
type readCall struct {
	role           *assignerRole
	startedAt      clock.Time
	writtenVersion uint64
}

func (c *readCall) run(ctx context.Context) {
	ev := readDone{startedAt: c.startedAt}
	ev.rec, ev.rev, ev.err = c.role.host.cfg.Store.Record(ctx)
	c.role.postResult(ctx, ev)
}

// writeCall replaces the assignment record if its revision is still rev.
type writeCall struct {
	role      *assignerRole
	write     owner.Write
	rev       epoch.Revision
	startedAt clock.Time
}

func (c *writeCall) run(ctx context.Context) {
	ev := writeDone{version: c.write.Version, startedAt: c.startedAt}
	ev.rev, ev.err = c.role.host.cfg.Store.PutRecord(ctx, c.write.Record, c.rev)
	c.role.postResult(ctx, ev)
}

// grantCall sends a grant to a backend server.
type grantCall struct {
	role   *assignerRole
	grant  owner.Grant
	health string // path of the server's health requests
	sentAt clock.Time
}

func (c *grantCall) run(ctx context.Context) {
	reply, err := c.send(ctx, grantTimeout-c.role.now().Sub(c.sentAt))
	out := reply.Outcome
	c.role.applyReply(reply, err, fleet.Incarnation{ID: c.grant.Server, Born: c.grant.Born})
	c.role.host.metrics.keyCalls.WithLabelValues("grant", outcomeName(out)).Inc()
	if out != owner.Done || c.grant.LastConn == 0 {
		c.role.host.log.Info("grant", zap.String("server", string(c.grant.Server)), zap.Uint16("from", uint16(c.grant.From)),
			zap.Uint16("to", uint16(c.grant.To)), zap.Uint64("fence", uint64(c.grant.Fence)), zap.String("outcome", outcomeName(out)),
			zap.Bool("handover", c.grant.Handover != ""), zap.Error(err))
	}
	if out == owner.Done || c.grant.LastConn == 0 {
		c.grant.LastConn = reply.LastConn
	}
	c.role.postResult(ctx, grantDone{grant: c.grant, sentAt: c.sentAt, outcome: out})
}

// send sends the grant if time is left. The lease of an unanswered grant is
// assumed to start at the end of the timeout at the latest (see
// owner.Assigner.GrantDone), so the grant must not be sent after that, for example
// by a host that was suspended before the call.
func (c *grantCall) send(ctx context.Context, left clock.Span) (GrantReply, error) {
	if left <= 0 {
		return GrantReply{Outcome: owner.Failed}, fmt.Errorf("grant not sent: its timeout passed %d ms ago", -left)
	}
	ctx, cancel := context.WithTimeout(ctx, left.Std())
	defer cancel()
	return c.role.host.cfg.Granter.Grant(ctx, c.grant, c.health)
}

// releaseCall sends a release to a backend server.
type releaseCall struct {
	role    *assignerRole
	release owner.Release
	timeout clock.Span
	health  string // path of the server's health requests
}

func (c *releaseCall) run(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, c.timeout.Std())
	defer cancel()
	reply, err := c.role.host.cfg.Granter.Release(call, c.release, c.health)
	out := reply.Outcome
	c.role.applyReply(reply, err, fleet.Incarnation{ID: c.release.Server, Born: c.release.Born})
	c.role.host.metrics.keyCalls.WithLabelValues("release", outcomeName(out)).Inc()
	c.role.host.log.Info("release", zap.String("server", string(c.release.Server)), zap.Uint16("from", uint16(c.release.From)),
		zap.Uint16("to", uint16(c.release.To)), zap.Uint64("fence", uint64(c.release.Fence)), zap.String("outcome", outcomeName(out)), zap.Error(err))
	c.role.postResult(ctx, releaseDone{release: c.release, outcome: out, handover: reply.Handover})
}

// healthPath returns the path of health requests to a server of a service, or "" if
// it gets none.
func (r *assignerRole) healthPath(s keys.Service, in fleet.Incarnation) string {
	cfg := r.host.relay.Config()
	if cfg == nil || r.host.relay.Paused(in) {
		return ""
	}
	svc, _ := cfg.Service(s)
	return svc.Health
}

// applyReply applies what a reply says about the process that sent it, and reports a
// malformed one.
func (r *assignerRole) applyReply(reply GrantReply, err error, in fleet.Incarnation) {
	r.host.heads.Report(head.SourceServer, err, zap.String("server", string(in.ID)))
	if reply.Leaving {
		r.host.relay.ServerLeaves(in)
	}
	if reply.Pause > 0 {
		r.host.relay.PauseServer(in, reply.Pause)
	}
	r.host.relay.WarmupStated(in, reply.Warmup, reply.HasWarmup, reply.BadWarmup)
}

func outcomeName(o owner.Outcome) string {
	switch o {
	case owner.Done:
		return "done"
	case owner.Refused:
		return "refused"
	case owner.Failed:
		return "failed"
	case owner.Unconnected:
		return "unconnected"
	case owner.Replaced:
		return "replaced"
	}
	return "unknown"
}
