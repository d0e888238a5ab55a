package front

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/mesh"
	"github.com/laburnummux/laburnummux/internal/owner"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// dutyTick is the period of the assigner's decisions.
	dutyTick = 20 * time.Millisecond
	// hold is the time for which keys are granted. It bounds how long the keys
	// of a lost server stay without an owner.
	hold = 2500 * clock.Millisecond
	// grantTimeout is after what time a grant counts as unanswered.
	grantTimeout = 700 * clock.Millisecond
	// releaseTimeout is the same for a release, whose answer waits for the
	// work in progress.
	releaseTimeout = 5 * clock.Second
	// tenure is how long an assigner acts without a confirmation by the store.
	// A new one waits so long where it can't shut the former one out.
	tenure = 12 * clock.Second
	// confirmEvery is the period of these confirmations.
	confirmEvery = 3 * clock.Second
	// silentAfter is how long the assigner must be silent until its role is
	// taken; rankDelay is added for each live host that comes first.
	silentAfter = 700 * clock.Millisecond
	rankDelay   = 150 * clock.Millisecond
	// minorityDelay is added if this host hears only a minority of the others.
	minorityDelay = 8 * clock.Second
	// writePause is the pause after a write that the store has refused or not
	// answered. Refused calls are priced too.
	writePause = 400 * clock.Millisecond
	// claimPause is the pause after a failed attempt to take the role.
	claimPause = 500 * clock.Millisecond
	// readEvery is the period in which a host that hears no assigner reads the
	// owners from the store.
	readEvery = 2 * clock.Second
	// resendEvery is the period in which hosts with old tables are looked for.
	resendEvery = 100 * clock.Millisecond
	// resendAfter is how long a host may take to say that it has a table until
	// it gets the whole one: its next beat can be awayGapMax away.
	resendAfter = awayGapMax + 150*clock.Millisecond
)

// duty is the assigner's part of a host. Its loop owns all fields but the
// channels and cur.
type duty struct {
	h      *Host
	cur    atomic.Uint64 // term of the role, or 0
	events chan any
	quit   chan chan struct{}

	a         *owner.Assigner
	rev       uint64 // of the stored record
	confirmed clock.Time
	asked     clock.Time
	claimed   clock.Time
	writeAt   clock.Time // when the record may be written again
	read      clock.Time
	stored    owner.Holder // who had the role when the record was last read
	storedAt  clock.Time   // when that was, by the clock of members
	resent    clock.Time
	took      clock.Time   // when the role was taken, by the clock of members
	former    owner.Record // as the role was taken; names the former assigners
	formerOK  bool         // they are known to have ended
	tables    []owner.Table
	version   uint64
	published []publication // that some hosts may not have noticed yet
	due       uint64        // version that all hosts should have
	resigned  bool
	busy      bool // a store call about the role is in flight
	begun     clock.Time
	alone     clock.Time // when this host last heard only a minority
}

// Events of the loop.
type (
	serversChanged struct{}
	granted        struct {
		g    owner.Grant
		sent clock.Time
		out  owner.Outcome
	}
	released struct {
		r        owner.Release
		out      owner.Outcome
		handover string
	}
	claimEnded struct {
		rec   owner.Record
		rev   uint64
		prior owner.Record
		began clock.Time
		err   error
	}
	writeEnded struct {
		version uint64
		rev     uint64
		began   clock.Time
		err     error
	}
	confirmEnded struct {
		rec   owner.Record
		rev   uint64
		began clock.Time
		err   error
	}
)

func newDuty(h *Host) *duty {
	return &duty{h: h, events: make(chan any, 256), quit: make(chan chan struct{})}
}

// term returns the term of the role if this host is the assigner, else 0.
func (d *duty) term() uint64 { return d.cur.Load() }

func (d *duty) changed() { d.post(serversChanged{}) }

// report takes what a host has observed.
func (d *duty) report(r *mesh.Report) {
	if d.term() > 0 {
		d.post(r)
	}
}

// post hands an event to the loop. Reports are dropped if it is behind; the
// other events belong to calls that the loop has started, or are repeated by
// its tick.
func (d *duty) post(ev any) {
	select {
	case d.events <- ev:
	default:
		d.h.log.Warn("assigner is behind; event is dropped")
	}
}

// result hands the end of a call to the loop.
func (d *duty) result(ctx context.Context, ev any) {
	select {
	case d.events <- ev:
	case <-ctx.Done():
	}
}

// resign gives the role up, for a planned stop.
func (d *duty) resign() {
	done := make(chan struct{})
	const wait = 500 * time.Millisecond
	select {
	case d.quit <- done:
	case <-time.After(wait):
		return
	}
	select {
	case <-done:
	case <-time.After(wait):
	}
}

func (d *duty) run(ctx context.Context) error {
	t := time.NewTicker(dutyTick)
	defer t.Stop()
	d.begun = d.now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case done := <-d.quit:
			d.leave(ctx)
			close(done)
		case ev := <-d.events:
			d.handle(ctx, ev)
		case <-t.C:
			d.tick(ctx)
		}
	}
}

// now is the time by a clock that counts suspensions, in which holds and
// tenures go on.
func (d *duty) now() clock.Time { return bootTime() }

func (d *duty) handle(ctx context.Context, ev any) {
	now := d.now()
	switch ev := ev.(type) {
	case serversChanged:
		if d.a != nil {
			d.act(ctx, d.servers(now))
		}
	case *mesh.Report:
		if d.a != nil {
			for s, busy := range ev.Busy {
				d.a.Loads(now, s, busy)
			}
			d.a.Paces(ev.Paces)
		}
	case granted:
		if d.a != nil {
			if ev.out == owner.Refused {
				d.asked = 0 // another assigner may have the role: ask at once
			}
			acts := d.a.Granted(now, ev.sent, ev.g, ev.out)
			d.carryOut(ctx, acts)
			if ev.out != owner.Done || ev.g.First {
				d.publish() // an ordinary renewal changes no owner
			}
		}
	case released:
		if d.a != nil {
			d.act(ctx, d.a.Released(now, ev.r, ev.out, ev.handover))
		}
	case claimEnded:
		d.busy = false
		d.claimDone(ctx, now, ev)
	case writeEnded:
		d.busy = false
		d.written(ctx, now, ev)
	case confirmEnded:
		d.busy = false
		d.confirmDone(now, ev)
	}
}

func (d *duty) servers(now clock.Time) []owner.Action {
	cfg := d.h.relay.Config()
	if cfg == nil {
		return nil
	}
	return d.a.Servers(now, cfg.Keyed(), d.h.list())
}

func (d *duty) tick(ctx context.Context) {
	now := d.now()
	if d.a == nil {
		d.follow(ctx, now)
		return
	}
	if _, _, term, _ := d.h.members.leader(); term > d.a.Term() {
		d.stepDown("another host has a higher term")
		return
	}
	if now.Sub(d.confirmed) > tenure {
		d.stepDown("the store has not confirmed the role in time")
		return
	}
	if now.Sub(d.asked) > confirmEvery && !d.busy {
		d.asked, d.busy = now, true
		c := &confirmation{d: d, began: now}
		go c.run(ctx)
	}
	if !d.formerOK && d.formerEnded() {
		d.formerOK = true
		d.a.FormerEnded(now)
	}
	d.h.mu.Lock()
	out := !d.h.storeUp
	d.h.mu.Unlock()
	d.a.Outage(out)
	d.act(ctx, d.a.Tick(now))
	if now.Sub(d.resent) > resendEvery {
		d.resent = now
		d.resend(d.h.clock.Now())
	}
}

// formerEnded reports whether all former assigners' processes have ended: they
// gave the role up, or their hosts run other processes now.
func (d *duty) formerEnded() bool {
	return d.former.FormerEnded(func(h keys.Host) int64 { return d.h.members.runOf(h, d.took) })
}

func (d *duty) stepDown(why string) {
	d.h.log.Warn("role is given up", zap.Uint64("term", d.a.Term()), zap.String("why", why))
	d.a = nil
	d.cur.Store(0)
	d.h.metrics.term.Set(0)
	d.claimed = d.now()
}

// leave gives the role up and says so in the store, so that the next assigner
// need not wait.
func (d *duty) leave(ctx context.Context) {
	d.resigned = true
	if d.a == nil {
		return
	}
	rec, rev := d.a.Record(), d.rev
	d.stepDown("planned stop")
	if d.busy {
		return // a write is in flight; the next assigner waits instead
	}
	rec.Holder = ""
	ctx, cancel := context.WithTimeout(ctx, grantTimeout.Std()/2)
	defer cancel()
	if _, err := d.h.cfg.Store.PutRole(ctx, rec, rev); err != nil {
		d.h.log.Info("role isn't marked as free", zap.Error(err))
	}
	d.h.changed()
}

func (d *duty) written(ctx context.Context, now clock.Time, ev writeEnded) {
	d.h.storeResult(ev.err)
	if d.a == nil {
		return
	}
	switch {
	case ev.err == nil:
		d.rev, d.confirmed = ev.rev, max(d.confirmed, ev.began)
		d.act(ctx, d.a.Written(now, ev.version))
	case errors.Is(ev.err, ErrBusy):
		d.writeAt = now.Add(writePause)
		d.a.Unwritten()
	default:
		// Conflict or no answer: only the stored record tells what has
		// happened.
		d.h.log.Info("record isn't written", zap.Error(ev.err))
		d.asked, d.busy = now, true
		c := &confirmation{d: d, began: now, version: ev.version}
		go c.run(ctx)
	}
}

func (d *duty) confirmDone(now clock.Time, ev confirmEnded) {
	d.h.storeResult(ev.err)
	if ev.err != nil {
		if d.a != nil {
			d.writeAt = now.Add(writePause)
			d.a.Unwritten()
		}
		return
	}
	if d.a == nil {
		d.stored, d.storedAt = ev.rec.Process(), d.h.clock.Now()
		// Without an assigner in reach the stored owners are the best known.
		var ts []owner.Table
		for s := range ev.rec.Tables {
			ts = append(ts, ev.rec.TableOf(s))
		}
		d.h.tables(ts)
		return
	}
	if ev.rec.Term != d.a.Term() || ev.rec.Holder != d.h.cfg.Settings.Host || ev.rec.Run != d.h.run {
		d.stepDown("the store names another assigner")
		return
	}
	d.confirmed = max(d.confirmed, ev.began)
	if ev.rev >= d.rev {
		d.rev = ev.rev
		d.a.Found(ev.rec)
	}
}

// act carries out the assigner's actions and publishes changed tables.
func (d *duty) act(ctx context.Context, acts []owner.Action) {
	d.carryOut(ctx, acts)
	d.publish()
}

func (d *duty) carryOut(ctx context.Context, acts []owner.Action) {
	for _, act := range acts {
		switch act := act.(type) {
		case owner.Grant:
			c := &grantCall{d: d, g: act, sent: d.now()}
			go c.run(ctx)
		case owner.Release:
			c := &releaseCall{d: d, r: act}
			go c.run(ctx)
		case owner.Write:
			if d.busy || d.now() < d.writeAt {
				d.a.Unwritten()
				continue
			}
			d.busy = true
			c := &write{d: d, act: act, rev: d.rev, began: d.now()}
			go c.run(ctx)
		}
	}
}
