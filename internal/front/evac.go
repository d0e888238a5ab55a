package front

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/epoch"
	"github.com/laburnummux/laburnummux/internal/place"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// evacOwnerMargin is how long before the bound for evacuations the last requests are
	// placed on owners of keys there. No request may be sent in the last 300 ms, and one
	// that has been placed may open a connection before, which takes up to 420 ms.
	evacOwnerMargin = 720 * clock.Millisecond
	// evacReleaseTimeout is the timeout of releases of evacuated servers. It is longer
	// than a lease, so that the ranges of a server that doesn't respond can move at once,
	// and shorter than the usual one, so that they move within the bound.
	evacReleaseTimeout = leaseTime + leaseTime/10 + 200*clock.Millisecond
	// maxEvacuations is how many entries of evacuations a host keeps. Deployments have
	// a few data centres; names of known ones come first.
	maxEvacuations = 256
	// maxReportedEvacuations is how many names of entries without effect are logged.
	// The others are counted only.
	maxReportedEvacuations = 64
	// evacStartWait is how long a new process that knows the servers sends no requests
	// until it knows the evacuated data centres as well. The store may be unavailable,
	// and the other hosts of an earlier version.
	evacStartWait = clock.Second
)

// EvacuationEvent is a change of an operator's entry that evacuates a data centre.
type EvacuationEvent struct {
	DC      keys.DataCentre
	Removed bool
}

// evacuations are the operators' entries, as the store or another host has last told
// them. Host.mu guards it.
type evacuations struct {
	rev     epoch.Revision                 // store revision of the entries; zero value: not known
	entries map[keys.DataCentre]clock.Time // with the time until which owners of keys there get requests
	inForce []keys.DataCentre              // entries that name a data centre, sorted
	asOf    clock.Time                     // earliest time at which the store can have sent its last confirmation; 0: never

	reported  map[keys.DataCentre]bool // entries without effect that have been logged
	heldSince clock.Time               // when the first list of servers was held back; 0: not
	waited    bool                     // it was held back for evacStartWait
}

// evacuates reports whether evacuations are enabled.
func (s Settings) evacuates() bool { return s.EvacTimeout > 0 }

// evacDeadline returns a fraction of the time within which an evacuation must be
// in force.
func (h *Host) evacDeadline(fraction float64) clock.Span {
	return clock.Span(fraction * float64(h.cfg.Settings.EvacTimeout))
}

// watchEvacuations applies changes of the evacuated data centres in the store.
func (h *Host) watchEvacuations(ctx context.Context) error {
	return h.watchStore(ctx, watchedEvacuations, h.nextEvacuations)
}

// nextEvacuations reads the entries if rev is the zero value, else waits for a change.
// It reads them again after a watch that gets no response in time, since the next
// watch may get none either.
func (h *Host) nextEvacuations(ctx context.Context, rev epoch.Revision) (next epoch.Revision, err error) {
	if rev == (epoch.Revision{}) {
		return h.readEvacuations(ctx)
	}
	began := h.clock.Now()
	watch, cancel := context.WithTimeout(ctx, h.evacDeadline(staleFraction).Std())
	defer cancel()
	evs, next, err := h.cfg.Store.WatchEvacuations(watch, rev, h.evacDeadline(watchWaitFraction))
	switch {
	case err != nil && watch.Err() != nil && ctx.Err() == nil:
		return h.readEvacuations(ctx)
	case err != nil:
		return next, err
	}
	res := h.newWatchResult(began, h.clock.Now())
	h.mu.Lock()
	since := h.evac.asOf
	if since != 0 && res.ended.Sub(res.began) > watchLatency {
		since = max(since, res.sentAfter)
	}
	h.mu.Unlock()
	if len(evs) > 0 {
		h.applyEvacuationEvents(evs, next, h.ownersUntil(since))
	}
	h.markEvacuationsConfirmed(res.sentAfter)
	return next, nil
}

func (h *Host) readEvacuations(ctx context.Context) (next epoch.Revision, err error) {
	began := h.clock.Now()
	list, next, err := h.cfg.Store.Evacuations(ctx)
	if err != nil {
		return next, err
	}
	h.mu.Lock()
	until := h.ownersUntil(h.evac.asOf)
	h.mu.Unlock()
	entries := make(map[keys.DataCentre]clock.Time, len(list))
	for _, dc := range list {
		entries[dc] = until
	}
	h.replaceEvacuations(entries, next, false)
	h.markEvacuationsConfirmed(began)
	return next, nil
}

// markEvacuationsConfirmed records the earliest time at which the store can have sent
// the entries.
func (h *Host) markEvacuationsConfirmed(sentAfter clock.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.evac.asOf = sentAfter
}

// ownersUntil returns until when owners of keys get requests in a data centre whose
// entry was written after a time. 0 means that the time isn't known.
func (h *Host) ownersUntil(since clock.Time) clock.Time {
	if since == 0 {
		return h.clock.Now()
	}
	return since.Add(h.cfg.Settings.EvacTimeout - evacOwnerMargin)
}

// applyEvacuationEvents applies changes of the entries up to a revision.
func (h *Host) applyEvacuationEvents(evs []EvacuationEvent, rev epoch.Revision, until clock.Time) {
	h.mu.Lock()
	entries := maps.Clone(h.evac.entries)
	h.mu.Unlock()
	if entries == nil {
		entries = make(map[keys.DataCentre]clock.Time)
	}
	for _, ev := range evs {
		if ev.Removed {
			delete(entries, ev.DC)
		} else {
			entries[ev.DC] = until
		}
	}
	h.replaceEvacuations(entries, rev, false)
}

// replaceEvacuations applies a complete list of entries, unless it is older than the
// known one. An entry that is known already keeps its time, or gets an earlier one
// from another host.
func (h *Host) replaceEvacuations(entries map[keys.DataCentre]clock.Time, rev epoch.Revision, fromHost bool) {
	h.noteEpoch(rev.Epoch())
	dcs := h.dataCentres()
	h.mu.Lock()
	held := h.evac.rev == epoch.Revision{} && h.serversLoaded
	if rev.Before(h.evac.rev) || rev == (epoch.Revision{}) {
		h.mu.Unlock()
		return
	}
	for dc := range entries {
		if at, ok := h.evac.entries[dc]; ok && (!fromHost || at < entries[dc]) {
			entries[dc] = at
		}
	}
	h.evac.rev, h.evac.entries = rev, h.boundEvacuations(entries, dcs)
	h.members.setEvacRev(rev)
	h.enforceEvacuations(dcs)
	h.mu.Unlock()
	h.triggerHeartbeat()
	if held {
		h.publishServers()
	}
}

// boundEvacuations drops unreadable entries, and those beyond maxEvacuations. h.mu is
// held.
func (h *Host) boundEvacuations(entries map[keys.DataCentre]clock.Time, dcs map[keys.DataCentre]bool) map[keys.DataCentre]clock.Time {
	if _, ok := entries[""]; ok {
		h.reportEvacuation("", "unreadable")
		delete(entries, "")
	}
	if len(entries) <= maxEvacuations {
		return entries
	}
	rank := func(dc keys.DataCentre) int {
		if dcs[dc] {
			return 0
		}
		return 1
	}
	names := slices.SortedFunc(maps.Keys(entries), func(a, b keys.DataCentre) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a, b))
	})
	for _, dc := range names[maxEvacuations:] {
		h.reportEvacuation(dc, "too many entries")
		delete(entries, dc)
	}
	return entries
}

// reportEvacuation counts an entry without effect and logs its name once. h.mu is
// held.
func (h *Host) reportEvacuation(dc keys.DataCentre, why string) {
	if h.evac.reported[dc] {
		return
	}
	h.metrics.evacuationsIgnored.Inc()
	if len(h.evac.reported) >= maxReportedEvacuations {
		return
	}
	if h.evac.reported == nil {
		h.evac.reported = make(map[keys.DataCentre]bool)
	}
	h.evac.reported[dc] = true
	h.log.Warn("evacuation entry has no effect", zap.String("dc", string(dc)), zap.String("why", why))
}

// dataCentres returns the known data centres: those of hosts and of listed servers.
func (h *Host) dataCentres() map[keys.DataCentre]bool {
	dcs := h.members.dataCentres()
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, sv := range h.fleet.List() {
		dcs[sv.DC] = true
	}
	delete(dcs, "") // not known yet
	return dcs
}

// enforceEvacuations passes the entries to the parts that use them, and logs the start
// and end of evacuations. h.mu is held.
func (h *Host) enforceEvacuations(dcs map[keys.DataCentre]bool) {
	var list []place.Evacuation
	var now []keys.DataCentre
	for _, dc := range slices.Sorted(maps.Keys(h.evac.entries)) {
		list = append(list, place.Evacuation{DC: dc, OwnersUntil: h.evac.entries[dc]})
		switch {
		case dcs[dc] || slices.Contains(h.evac.inForce, dc):
			now = append(now, dc)
		case h.serversLoaded:
			h.reportEvacuation(dc, "unknown data centre")
		}
	}
	for _, dc := range now {
		if !slices.Contains(h.evac.inForce, dc) {
			left := h.evac.entries[dc].Sub(h.clock.Now())
			h.log.Info("evacuation", zap.String("dc", string(dc)), zap.String("state", "start"), zap.Stringer("rev", h.evac.rev), zap.Int64("ownersForMs", int64(max(left, 0))))
		}
	}
	for _, dc := range h.evac.inForce {
		if !slices.Contains(now, dc) {
			h.log.Info("evacuation", zap.String("dc", string(dc)), zap.String("state", "end"), zap.Stringer("rev", h.evac.rev))
		}
	}
	h.evac.inForce = now
	h.metrics.evacuated.Set(float64(len(now)))
	h.relay.SetEvacuated(list)
	h.role.notifyServersChanged()
}

// evacuatedDCs returns the evacuated data centres.
func (h *Host) evacuatedDCs() []keys.DataCentre {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.evac.inForce)
}

// releaseTimeout returns the timeout of a release of a server.
func (h *Host) releaseTimeout(id keys.Server) clock.Span {
	h.mu.Lock()
	defer h.mu.Unlock()
	if sv, ok := h.fleet.Get(id); ok && slices.Contains(h.evac.inForce, sv.DC) {
		return evacReleaseTimeout
	}
	return releaseTimeout
}

// checkEvacuations applies the entries to data centres that have become known with a
// new list of servers.
func (h *Host) checkEvacuations() {
	h.mu.Lock()
	pending := len(h.evac.inForce) < len(h.evac.entries)
	h.mu.Unlock()
	if !pending {
		return
	}
	dcs := h.dataCentres()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.enforceEvacuations(dcs)
}

// holdServers reports whether the servers get no requests yet, because this process has
// just started and doesn't know whether some are evacuated.
func (h *Host) holdServers() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.cfg.Settings.evacuates() || h.evac.rev != (epoch.Revision{}) || !h.serversLoaded {
		return false
	}
	if h.evac.heldSince == 0 {
		h.evac.heldSince = max(h.clock.Now(), 1)
	}
	return h.evacHeld()
}

// evacHeld reports whether servers are held back. h.mu is held.
func (h *Host) evacHeld() bool {
	return h.evac.heldSince != 0 && h.evac.rev == (epoch.Revision{}) && h.clock.Now().Sub(h.evac.heldSince) < evacStartWait
}

// releaseServers reports whether servers were held back for as long as they may be.
func (h *Host) releaseServers() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.evac.heldSince == 0 || h.evac.rev != (epoch.Revision{}) || h.evacHeld() || h.evac.waited {
		return false
	}
	h.evac.waited = true
	h.log.Warn("sending requests without knowing the evacuated data centres: neither the store nor another host has told them")
	return true
}

// evacParam is in the query of a snapshot: the revision of the fetching host's list of
// evacuated data centres, as epoch/number. Hosts of earlier versions send none.
const evacParam = "evac"

// evacRevParam parses evacParam.
func evacRevParam(v string) (rev epoch.Revision, err error) {
	if v == "" {
		return rev, nil
	}
	e, n, _ := strings.Cut(v, "/")
	storeEpoch, err := strconv.ParseUint(e, 10, 64)
	if err != nil {
		return rev, err
	}
	number, err := strconv.ParseUint(n, 10, 64)
	return epoch.At(storeEpoch, number), err
}

// evacSnapshot is the list of evacuated data centres in a snapshot.
type evacSnapshot struct {
	Rev   uint64 `cbor:"1,keyasint"` // number of its store revision
	Epoch uint64 `cbor:"2,keyasint,omitempty"`
	// OwnersLeft says for how much longer owners of keys in each data centre get
	// requests, so that all hosts stop at the same time.
	OwnersLeft map[keys.DataCentre]clock.Span `cbor:"3,keyasint,omitempty"`
}

// evacSnapshotSince returns the entries if they are newer than a revision, else nil.
// h.mu is held.
func (h *Host) evacSnapshotSince(rev epoch.Revision) *evacSnapshot {
	if !rev.Before(h.evac.rev) {
		return nil
	}
	now := h.clock.Now()
	s := &evacSnapshot{Rev: h.evac.rev.Number(), Epoch: h.evac.rev.Epoch(), OwnersLeft: make(map[keys.DataCentre]clock.Span, len(h.evac.entries))}
	for dc, until := range h.evac.entries {
		s.OwnersLeft[dc] = max(until.Sub(now), 0)
	}
	return s
}

// applyEvacSnapshot applies the entries in a snapshot whose fetch began at a time.
func (h *Host) applyEvacSnapshot(s *evacSnapshot, began clock.Time) {
	if s == nil || !h.cfg.Settings.evacuates() {
		return
	}
	entries := make(map[keys.DataCentre]clock.Time, len(s.OwnersLeft))
	for dc, left := range s.OwnersLeft {
		entries[dc] = began.Add(min(max(left, 0), h.cfg.Settings.EvacTimeout-evacOwnerMargin))
	}
	h.replaceEvacuations(entries, epoch.At(s.Epoch, s.Rev), true)
}
