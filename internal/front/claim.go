package front

import (
	"context"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/epoch"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/owner"
)

// maybeClaim claims the role if its holder has ended or sends no heartbeats.
func (r *assignerRole) maybeClaim(ctx context.Context, now clock.Time) {
	cfg := r.host.relay.Config()
	if r.resigned || r.storeCallPending || cfg == nil || len(cfg.KeyedServices()) == 0 || !r.host.isReady() {
		return
	}
	mono := r.host.clock.Now() // the clock of members; now is boot time
	if r.host.othersReachStore(mono) {
		return // one of them claims the role
	}
	name, _, _, seen := r.host.members.currentAssigner()
	if name != "" && mono.Sub(seen) < assignerTimeout {
		return
	}
	if !r.host.members.isStandby(mono) && min(mono.Sub(seen), now.Sub(r.startedAt)) < recordReadInterval {
		return // one that stands by claims the role, and sends the tables
	}
	if r.recordReadAt == 0 || now.Sub(r.recordReadAt) > recordReadInterval {
		r.recordReadAt, r.storeCallPending = now, true
		c := &readCall{role: r, startedAt: now}
		go c.run(ctx)
		return
	}
	ms := r.host.members.membership(mono)
	if ended := r.endedHolder(); ended != (owner.Holder{}) && r.storedHolderAt > seen {
		r.maybeSucceed(ctx, now, ms.rank, ended)
		return
	}
	wait := assignerTimeout + clock.Span(ms.rank)*claimDelayPerRank
	if name == "" && seen == 0 && now.Sub(r.startedAt) > assignerTimeout {
		wait = clock.Span(ms.rank) * claimDelayPerRank // the role was given up, or never taken
	}
	if !ms.majority {
		r.lastMinorityAt = mono
	}
	if now.Sub(r.startedAt) > assignerTimeout && mono.Sub(r.lastMinorityAt) < assignerTimeout {
		// After a partition the assigner's heartbeats may be the last to arrive.
		wait += minorityClaimDelay
	}
	since := max(seen, 0)
	if name == "" && seen == 0 {
		since = r.host.members.vacated()
	}
	if mono.Sub(since) < wait || now.Sub(r.lastClaimAt) < claimBackoff+clock.Span(ms.rank)*claimDelayPerRank || now.Sub(r.startedAt) < assignerTimeout {
		return
	}
	r.startClaim(ctx, now, owner.Holder{})
}

// startClaim starts a claim of the role in the store. ended is a process that is
// known to have ended, or the zero value.
func (r *assignerRole) startClaim(ctx context.Context, now clock.Time, ended owner.Holder) {
	r.lastClaimAt, r.storeCallPending = now, true
	_, _, maxTerm, _ := r.host.members.currentAssigner()
	c := &claimCall{role: r, startedAt: now, observedTerm: r.host.members.lastAssignerTerm(), maxTerm: maxTerm, endedHolder: ended}
	go c.run(ctx)
}

// endedHolder returns the process that has the role in the stored record, if
// its host runs another process now.
func (r *assignerRole) endedHolder() (ended owner.Holder) {
	n := r.host.members.incarnationAfter(r.storedHolder.Host, r.storedHolderAt)
	if r.storedHolder.Host == r.host.cfg.Settings.Host {
		n = r.host.incarnation
	}
	if r.storedHolder.Replaced(n) {
		return r.storedHolder
	}
	return owner.Holder{}
}

// maybeSucceed claims the role of a process that has ended, without waiting for
// assignerTimeout. The host of that process claims first, then the others by
// rank.
func (r *assignerRole) maybeSucceed(ctx context.Context, now clock.Time, rank int, ended owner.Holder) {
	wait := clock.Span(0)
	if ended.Host != r.host.cfg.Settings.Host {
		wait = clock.Span(rank+1) * claimDelayPerRank
	}
	if now.Sub(r.recordReadAt) < wait || r.lastClaimAt != 0 && now.Sub(r.lastClaimAt) < claimBackoff {
		return
	}
	r.startClaim(ctx, now, ended)
}

func (r *assignerRole) handleClaim(ctx context.Context, now clock.Time, ev claimDone) {
	r.host.recordStoreResult(ev.err)
	if ev.err != nil {
		r.host.log.Info("claim of the assigner role failed", zap.Error(ev.err))
		return
	}
	if r.resigned {
		return
	}
	r.host.noteEpoch(ev.rev.Epoch())
	r.assigner = owner.New(owner.Config{
		LeaseTime: min(leaseTime, r.host.cfg.Settings.MaxLeaseTime), Timeout: grantTimeout, RoleLease: roleLease,
	}, now, ev.rec)
	if now.Sub(ev.startedAt) > assignerTimeout {
		r.assigner.RequireConfirmation(now) // another host may have claimed the role since
	}
	r.startTerm(now, ev.rec, ev.rev, ev.startedAt)
	r.host.log.Info("claimed the assigner role", zap.Uint64("term", ev.rec.Term),
		zap.String("former", string(ev.prior.Holder)), zap.Uint64("formerTerm", ev.prior.Term), zap.Uint64("epoch", ev.rev.Epoch()), zap.Bool("unverified", ev.rec.Unverified))
	r.executeAndPublish(ctx, r.updateServers(now))
	r.host.triggerHeartbeat()
}

// startTerm sets the state of a term that begins with a record that this host has
// written.
func (r *assignerRole) startTerm(now clock.Time, rec owner.Record, rev epoch.Revision, confirmedAt clock.Time) {
	r.recordRev, r.confirmedAt, r.confirmStartedAt = rev, confirmedAt, now
	r.claimedRecord, r.formerEnded = rec, false
	r.leavingSince = make(map[fleet.Incarnation]clock.Time)
	r.tablesVersion, r.requiredVersion, r.tables, r.recentPublications = 0, 0, nil, nil
	r.electedAt = r.host.clock.Now()
	r.heldTerm.Store(rec.Term)
	r.host.metrics.assignerTerm.Set(float64(rec.Term))
}

// claimCall claims the assigner's role by a conditional write of the record.
type claimCall struct {
	role         *assignerRole
	startedAt    clock.Time
	observedTerm uint64       // term of the last assigner known to this host
	maxTerm      uint64       // highest term known to this host
	endedHolder  owner.Holder // a process that is known to have ended
}

func (c *claimCall) run(ctx context.Context) {
	h := c.role.host
	ev := claimDone{startedAt: c.startedAt}
	defer func() { c.role.postResult(ctx, ev) }()
	var rev epoch.Revision
	if ev.prior, rev, ev.err = h.cfg.Store.Record(ctx); ev.err != nil {
		return
	}
	if ev.prior.Term > c.observedTerm && ev.prior.Holder != "" && ev.prior.Holder != h.cfg.Settings.Host && ev.prior.Process() != c.endedHolder {
		// Another host has claimed the role since. Its heartbeats will arrive
		// soon, unless neither host has the address of the other.
		h.members.setAssigner(h.clock.Now(), ev.prior.Holder, ev.prior.Term)
		if !h.members.isKnown(ev.prior.Holder) {
			h.discoverHosts(ctx)
		}
		ev.err = ErrConflict
		return
	}
	ev.rec = ev.prior.NextTerm(owner.Holder{Host: h.cfg.Settings.Host, Incarnation: h.incarnation}, rev.Epoch(), c.maxTerm)
	switch {
	case ev.prior.Term == 0 && c.maxTerm == 0 && h.cfg.Settings.FirstStart:
		ev.rec.Unverified = false // no assigner before this one
	case ev.rec.Unverified:
		ev.rec = ev.rec.WithTables(h.members.knownTables(ev.prior.Term), h.serverList())
		h.discoverHosts(ctx) // a host that isn't known may still act as assigner
	}
	ev.rev, ev.err = h.cfg.Store.PutRecord(ctx, ev.rec, rev)
}
