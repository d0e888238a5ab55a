package front

import (
	"context"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/owner"
)

// follow takes the role if its holder is silent.
func (d *duty) follow(ctx context.Context, now clock.Time) {
	cfg := d.h.relay.Config()
	if d.resigned || d.busy || cfg == nil || len(cfg.Keyed()) == 0 || !d.h.isReady() {
		return
	}
	mono := d.h.clock.Now()
	name, _, _, heard := d.h.members.leader()
	if name != "" && mono.Sub(heard) < silentAfter {
		return
	}
	if d.read == 0 || now.Sub(d.read) > readEvery {
		d.read, d.busy = now, true
		c := &confirmation{d: d, began: now}
		go c.run(ctx)
		return
	}
	st := d.h.members.standing(mono)
	if ended := d.holderEnded(); ended != (owner.Holder{}) && d.storedAt > heard {
		d.succeed(ctx, now, st.rank, ended)
		return
	}
	wait := silentAfter + clock.Span(st.rank)*rankDelay
	if name == "" && heard == 0 && now.Sub(d.begun) > silentAfter {
		wait = clock.Span(st.rank) * rankDelay // given up, or never taken
	}
	if !st.majority {
		d.alone = mono
	}
	if now.Sub(d.begun) > silentAfter && mono.Sub(d.alone) < silentAfter {
		// The assigner's beats may be the last to arrive after a partition.
		wait += minorityDelay
	}
	since := max(heard, clock.Time(0))
	if mono.Sub(since) < wait || now.Sub(d.claimed) < claimPause+clock.Span(st.rank)*rankDelay || now.Sub(d.begun) < silentAfter {
		return
	}
	d.claim(ctx, now, owner.Holder{})
}

// claim takes the role in the store. ended is a process that is known to have
// ended.
func (d *duty) claim(ctx context.Context, now clock.Time, ended owner.Holder) {
	d.claimed, d.busy = now, true
	c := &claim{d: d, began: now, led: d.h.members.ledTerm(), ended: ended}
	go c.run(ctx)
}

// holderEnded returns the process that has the role by the stored record if its
// host runs another one now.
func (d *duty) holderEnded() (ended owner.Holder) {
	run := d.h.members.runOf(d.stored.Host, d.storedAt)
	if d.stored.Host == d.h.cfg.Settings.Host {
		run = d.h.run
	}
	if d.stored.Replaced(run) {
		return d.stored
	}
	return owner.Holder{}
}

// succeed takes the role of a process that has ended: there is no silence to
// wait for. The host whose process it was comes first, then the others by rank.
func (d *duty) succeed(ctx context.Context, now clock.Time, rank int, ended owner.Holder) {
	wait := clock.Span(0)
	if ended.Host != d.h.cfg.Settings.Host {
		wait = clock.Span(rank+1) * rankDelay
	}
	if now.Sub(d.read) < wait || d.claimed != 0 && now.Sub(d.claimed) < claimPause {
		return
	}
	d.claim(ctx, now, ended)
}

func (d *duty) claimDone(ctx context.Context, now clock.Time, ev claimEnded) {
	d.h.storeResult(ev.err)
	if ev.err != nil {
		d.h.log.Info("role isn't taken", zap.Error(ev.err))
		return
	}
	if d.resigned {
		return
	}
	d.rev, d.confirmed, d.asked = ev.rev, ev.began, now
	d.former, d.formerOK = ev.rec, false
	d.version, d.due, d.tables, d.published = 0, 0, nil, nil
	d.took = d.h.clock.Now()
	d.a = owner.New(owner.Config{
		Hold: min(hold, d.h.cfg.Settings.HoldMax), Timeout: grantTimeout, Tenure: tenure,
	}, now, ev.rec)
	d.cur.Store(ev.rec.Term)
	d.h.metrics.term.Set(float64(ev.rec.Term))
	d.h.log.Info("role is taken", zap.Uint64("term", ev.rec.Term), zap.String("former", string(ev.prior.Holder)))
	d.act(ctx, d.servers(now))
	d.h.changed()
}

// claim takes the assigner's role in the store.
type claim struct {
	d     *duty
	began clock.Time
	led   uint64       // the term of the last assigner that was heard
	ended owner.Holder // a process that is known to have ended
}

func (c *claim) run(ctx context.Context) {
	h := c.d.h
	ev := claimEnded{began: c.began}
	defer func() { c.d.result(ctx, ev) }()
	var rev uint64
	if ev.prior, rev, ev.err = h.cfg.Store.Role(ctx); ev.err != nil {
		return
	}
	if ev.prior.Term > c.led && ev.prior.Holder != "" && ev.prior.Holder != h.cfg.Settings.Host && ev.prior.Process() != c.ended {
		// Another host has taken the role since; its beats are on their way,
		// unless neither knows the other.
		h.members.learn(h.clock.Now(), ev.prior.Holder, ev.prior.Term)
		if !h.members.knows(ev.prior.Holder) {
			h.lookUp(ctx)
		}
		ev.err = ErrConflict
		return
	}
	ev.rec = ev.prior.Succeed(owner.Holder{Host: h.cfg.Settings.Host, Run: h.run})
	ev.rev, ev.err = h.cfg.Store.PutRole(ctx, ev.rec, rev)
}
