package front

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/epoch"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/mesh"
	"github.com/laburnummux/laburnummux/internal/owner"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// tickInterval is the period of the assigner's decisions, idleTickInterval that
	// of the check whether the role has to be claimed.
	tickInterval     = 20 * time.Millisecond
	idleTickInterval = 50 * time.Millisecond
	// leaseTime is the time for which keys are granted. It bounds how long the
	// keys of a failed server have no owner.
	leaseTime = 2500 * clock.Millisecond
	// grantTimeout is the time after which a grant counts as unanswered.
	grantTimeout = 700 * clock.Millisecond
	// releaseTimeout is the same for a release. It is longer because the server
	// responds only when its work in progress is done.
	releaseTimeout = 5 * clock.Second
	// roleLease is how long an assigner acts without a confirmation by the
	// store. A new assigner waits as long before it moves the ranges of a server
	// that acknowledges no fence of its term, unless the processes of all former
	// assigners are known to have ended.
	roleLease = 12 * clock.Second
	// confirmInterval is the period of these confirmations.
	confirmInterval = 3 * clock.Second
	// assignerTimeout is the time without a heartbeat of the assigner after
	// which another host claims the role. claimDelayPerRank is added for each
	// live host of higher precedence.
	assignerTimeout   = 700 * clock.Millisecond
	claimDelayPerRank = 150 * clock.Millisecond
	// minorityClaimDelay is added if this host receives heartbeats from a
	// minority of the known hosts only.
	minorityClaimDelay = 8 * clock.Second
	// writeBackoff is the pause after a write that the store has refused or not
	// answered. Refused calls are billed too.
	writeBackoff = 400 * clock.Millisecond
	// claimBackoff is the pause after a failed claim of the role.
	claimBackoff = 500 * clock.Millisecond
	// recordReadInterval is the period in which a host that receives no
	// heartbeats of an assigner reads the assignment record from the store.
	recordReadInterval = 2 * clock.Second
	// resendInterval is the period of the check for hosts with outdated tables.
	resendInterval = 100 * clock.Millisecond
	// tableAckTimeout is how long a host may take to report a table in its
	// heartbeats before the complete table is sent to it. Its next heartbeat can be
	// maxRemoteInterval away. groupedTableAckTimeout is the same for data centres with
	// groups, whose hosts send none in between.
	tableAckTimeout        = maxRemoteInterval + 150*clock.Millisecond
	groupedTableAckTimeout = 2*maxRemoteInterval + 150*clock.Millisecond
)

// assignerRole claims, keeps and gives up the assigner's role for a host, and
// runs the assigner while the host has the role. Its goroutine owns all fields
// except the channels and heldTerm. Times are in boot time (see now) unless noted
// otherwise.
type assignerRole struct {
	host           *Host
	heldTerm       atomic.Uint64 // term in which this host has the role, or 0
	gaveUpTerm     atomic.Uint64 // last term in which this process gave up the role, or 0
	events         chan any
	resignRequests chan chan struct{}

	assigner           *owner.Assigner // nil if another host has the role
	recordRev          epoch.Revision  // store revision of the assignment record
	confirmedAt        clock.Time      // start of the last store call that confirmed the role
	confirmStartedAt   clock.Time      // start of the last record read that was to confirm it
	lastClaimAt        clock.Time      // last claim, or when the role was given up
	nextWriteAt        clock.Time      // when the record may be written again
	recordReadAt       clock.Time      // last read of the record without the role
	storedHolder       owner.Holder    // holder of the role in the record as last read
	storedHolderAt     clock.Time      // time of that read, on the clock of members
	lastResendAt       clock.Time
	electedAt          clock.Time   // when the role was claimed, on the clock of members
	claimedRecord      owner.Record // as written by the claim; lists the former holders
	formerEnded        bool         // all former holders are known to have ended
	tables             []owner.Table
	tablesVersion      uint64
	publishedAt        clock.Time    // last publication, on the clock of members
	recentPublications []publication // sent less than tableAckTimeout ago
	requiredVersion    uint64        // tables version that all hosts should have by now
	resigned           bool
	storeCallPending   bool                             // a read, write or claim of the record is in flight
	leavingSince       map[fleet.Incarnation]clock.Time // when the assigner learned of servers that only say in responses that they leave
	startedAt          clock.Time
	lastMinorityAt     clock.Time // last time without a majority, on the clock of members
}

// Events that run handles, besides *mesh.Report. serversChanged stands for a
// change of the servers or of the configuration; the others are the results of
// calls.
type (
	serversChanged struct{}
	grantDone      struct {
		grant   owner.Grant
		sentAt  clock.Time
		outcome owner.Outcome
	}
	releaseDone struct {
		release  owner.Release
		outcome  owner.Outcome
		handover string
	}
	restoreDone struct {
		rec       owner.Record
		rev       epoch.Revision
		startedAt clock.Time
		err       error
	}
	claimDone struct {
		rec       owner.Record
		rev       epoch.Revision
		prior     owner.Record
		startedAt clock.Time
		err       error
	}
	writeDone struct {
		version   uint64
		rev       epoch.Revision
		startedAt clock.Time
		err       error
	}
	readDone struct {
		rec       owner.Record
		rev       epoch.Revision
		startedAt clock.Time
		err       error
	}
)

func newAssignerRole(h *Host) *assignerRole {
	return &assignerRole{host: h, events: make(chan any, 256), resignRequests: make(chan chan struct{})}
}

// term returns the term in which this host is the assigner, or 0.
func (r *assignerRole) term() uint64 { return r.heldTerm.Load() }

func (r *assignerRole) notifyServersChanged() { r.post(serversChanged{}) }

// addReport passes the observations of a host to the assigner.
func (r *assignerRole) addReport(rep *mesh.Report) {
	if r.term() > 0 {
		r.post(rep)
	}
}

// post queues a report or a change of servers. It doesn't block, and drops the
// event if the queue is full. Results of calls must not be lost and are queued by
// postResult.
func (r *assignerRole) post(ev any) {
	select {
	case r.events <- ev:
	default:
		r.host.log.Warn("event queue of the assigner is full; dropping an event")
	}
}

// postResult queues the result of a call. It blocks until there is room.
func (r *assignerRole) postResult(ctx context.Context, ev any) {
	select {
	case r.events <- ev:
	case <-ctx.Done():
	}
}

// resign gives up the role before a planned stop. It waits up to 500 ms each
// for the goroutine to begin and to finish.
func (r *assignerRole) resign() {
	done := make(chan struct{})
	const wait = 500 * time.Millisecond
	select {
	case r.resignRequests <- done:
	case <-time.After(wait):
		return
	}
	select {
	case <-done:
	case <-time.After(wait):
	}
}

func (r *assignerRole) run(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	r.startedAt = r.now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case done := <-r.resignRequests:
			r.handleResign(ctx)
			close(done)
		case ev := <-r.events:
			r.handleEvent(ctx, ev)
		case <-t.C:
			r.tick(ctx)
			if r.assigner == nil {
				t.Reset(idleTickInterval)
			} else {
				t.Reset(tickInterval)
			}
		}
	}
}

// now returns the time on a clock that includes suspensions of the machine:
// leases keep running out while it is suspended.
func (r *assignerRole) now() clock.Time { return bootTime() }

func (r *assignerRole) handleEvent(ctx context.Context, ev any) {
	now := r.now()
	switch ev := ev.(type) {
	case serversChanged:
		if r.assigner != nil {
			r.executeAndPublish(ctx, r.updateServers(now))
		}
	case *mesh.Report:
		if r.assigner != nil {
			for s, loads := range ev.KeyLoads {
				r.assigner.AddLoads(now, s, loads)
			}
			r.assigner.AddServiceTimes(ev.ServiceTimes)
		}
	case grantDone:
		if r.assigner != nil {
			if ev.outcome == owner.Refused {
				r.confirmStartedAt = 0 // another host may have the role; read the record at once
			}
			acts := r.assigner.GrantDone(now, ev.sentAt, ev.grant, ev.outcome)
			r.execute(ctx, acts)
			if ev.outcome != owner.Done || ev.grant.First {
				r.publish() // an ordinary renewal changes no owner
			}
		}
	case releaseDone:
		if r.assigner != nil {
			r.executeAndPublish(ctx, r.assigner.ReleaseDone(now, ev.release, ev.outcome, ev.handover))
		}
	case restoreDone:
		r.storeCallPending = false
		r.handleRestore(ctx, now, ev)
	case claimDone:
		r.storeCallPending = false
		r.handleClaim(ctx, now, ev)
	case writeDone:
		r.storeCallPending = false
		r.handleWrite(ctx, now, ev)
	case readDone:
		r.storeCallPending = false
		r.handleRead(ctx, now, ev)
	}
}

func (r *assignerRole) updateServers(now clock.Time) []owner.Action {
	cfg := r.host.relay.Config()
	if cfg == nil {
		return nil
	}
	r.assigner.SetEvacuated(r.host.evacuatedDCs())
	return r.assigner.SetServers(now, cfg.KeyedServices(), r.serverList())
}

// serverList returns the servers for the assigner. A server that says only in
// responses that it leaves is draining in it once the store has confirmed the role
// since: keys can't move while the store is down, and stay served until then.
func (r *assignerRole) serverList() []fleet.Server {
	r.host.mu.Lock()
	list, up := r.host.fleet.List(), r.host.storeUp
	r.host.mu.Unlock()
	r.host.setWarmups(list)
	for i, sv := range list {
		if sv.Draining || !r.host.relay.Leaving(sv) {
			continue
		}
		in := sv.Incarnation()
		if _, known := r.leavingSince[in]; !known {
			r.leavingSince[in] = r.now()
		}
		list[i].Draining = r.confirmedAt >= r.leavingSince[in]
		if !list[i].Draining && up {
			r.confirmStartedAt = 0 // read the record at once
		}
	}
	return list
}

// confirm records that a call that started at the given time has confirmed the
// role in the store.
func (r *assignerRole) confirm(startedAt clock.Time) {
	before := r.confirmedAt
	r.confirmedAt = max(before, startedAt)
	r.assigner.Confirm(r.confirmedAt)
	for _, since := range r.leavingSince {
		if before < since && since <= r.confirmedAt {
			r.notifyServersChanged()
			return
		}
	}
}

func (r *assignerRole) tick(ctx context.Context) {
	now := r.now()
	if r.assigner == nil {
		r.maybeClaim(ctx, now)
		return
	}
	if _, _, term, _ := r.host.members.currentAssigner(); term > r.assigner.Term() {
		r.stepDown("another host has a higher term")
		return
	}
	if r.stepDownIfExpired(now) {
		return
	}
	if r.host.othersReachStore(r.host.clock.Now()) {
		r.handOver()
		return
	}
	if now.Sub(r.confirmStartedAt) > r.confirmPeriod() && !r.storeCallPending {
		r.confirmStartedAt, r.storeCallPending = now, true
		c := &readCall{role: r, startedAt: now}
		go c.run(ctx)
	}
	if !r.formerEnded && r.allFormerEnded() {
		r.formerEnded = true
		r.assigner.FormerEnded(now)
	}
	r.assigner.SetStoreOutage(!r.host.isStoreUp())
	r.confirmRole(ctx, now)
	r.executeAndPublish(ctx, r.assigner.Tick(now))
	if r.assigner != nil && now.Sub(r.lastResendAt) > resendInterval {
		r.lastResendAt = now
		r.resendTables(r.host.clock.Now())
	}
}

// confirmPeriod returns the time between two confirmations of the role. After a
// restore of the store the role has to be claimed anew soon: if this host ends
// before, no key can be granted for a while. See also storeProbeInterval.
func (r *assignerRole) confirmPeriod() clock.Span {
	if r.host.knownEpoch() > r.recordRev.Epoch() {
		return writeBackoff
	}
	if !r.host.isStoreUp() && !r.host.cfg.Settings.disables(Handover) {
		return storeProbeInterval
	}
	return confirmInterval
}

// allFormerEnded reports whether no former assigner acts any more: each has given
// up the role, or its host runs another process now. After a
// restore of the store any host can be one.
func (r *assignerRole) allFormerEnded() bool {
	if r.claimedRecord.Unverified {
		return r.host.members.noneActs(r.electedAt)
	}
	rec := r.claimedRecord.WithoutFormer(func(h owner.Holder) bool { return r.host.members.gaveUp(h, r.electedAt) })
	return rec.FormerEnded(func(h keys.Host) int64 { return r.host.members.incarnationAfter(h, r.electedAt) })
}

// stepDown ends the role on this host, without a change in the store.
func (r *assignerRole) stepDown(why string) {
	r.host.log.Warn("stepping down as assigner", zap.Uint64("term", r.assigner.Term()), zap.String("why", why))
	r.gaveUpTerm.Store(r.assigner.Term())
	r.assigner = nil
	r.heldTerm.Store(0)
	r.host.metrics.assignerTerm.Set(0)
	r.lastClaimAt = r.now()
}

// stepDownIfExpired ends the role if the role lease has expired.
func (r *assignerRole) stepDownIfExpired(now clock.Time) (expired bool) {
	if expired = now.Sub(r.confirmedAt) > roleLease; expired {
		r.stepDown("the store has not confirmed the role within the role lease")
	}
	return expired
}

// executeAndPublish starts the calls for the assigner's actions and publishes
// changed tables.
func (r *assignerRole) executeAndPublish(ctx context.Context, acts []owner.Action) {
	r.execute(ctx, acts)
	r.publish()
}

// execute starts the calls for the assigner's actions, unless the role lease has
// expired: the host may have been suspended since the last tick.
func (r *assignerRole) execute(ctx context.Context, acts []owner.Action) {
	now := r.now()
	if r.stepDownIfExpired(now) {
		return
	}
	for _, act := range acts {
		switch act := act.(type) {
		case owner.Grant:
			c := &grantCall{role: r, grant: act, health: r.healthPath(act.Service, fleet.Incarnation{ID: act.Server, Born: act.Born}), sentAt: now}
			go c.run(ctx)
		case owner.Release:
			c := &releaseCall{role: r, release: act, timeout: r.host.releaseTimeout(act.Server), health: r.healthPath(act.Service, fleet.Incarnation{ID: act.Server, Born: act.Born})}
			go c.run(ctx)
		case owner.Write:
			if r.storeCallPending || now < r.nextWriteAt {
				r.assigner.WriteFailed()
				continue
			}
			r.storeCallPending = true
			c := &writeCall{role: r, write: act, rev: r.recordRev, startedAt: now}
			go c.run(ctx)
		}
	}
}
