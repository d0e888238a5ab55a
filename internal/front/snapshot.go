package front

import (
	"compress/gzip"
	"net/http"
	"strconv"
	"strings"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/epoch"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/intent"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	snapshotPath = "/view"
	// changesParam is in the query if the fetching host takes changes in place of
	// the whole list of servers. Hosts of earlier versions don't.
	changesParam = "changes"
	// minCompressedBytes is the length from which on a snapshot is compressed.
	minCompressedBytes = 4 << 10
)

// snapshot is the configuration and the list of servers as a host fetches them
// from another host instead of the store. Parts that aren't newer than those of
// the fetching host are left out.
type snapshot struct {
	Config     *intent.Document `cbor:"1,keyasint,omitempty"`
	Servers    []fleet.Server   `cbor:"3,keyasint,omitempty"`
	ServersRev uint64           `cbor:"4,keyasint,omitempty"` // number of the store revision of Servers
	Outage     bool             `cbor:"5,keyasint,omitempty"` // a call to the store has failed recently
	Epoch      uint64           `cbor:"6,keyasint,omitempty"` // epoch of ServersRev; 0 from hosts of earlier versions
	// Changes means that Servers has only the servers that have changed since the
	// revision of the fetching host, and Removed those that are gone.
	Changes bool          `cbor:"7,keyasint,omitempty"`
	Removed []keys.Server `cbor:"8,keyasint,omitempty"`
	// GraceLeft says how much longer servers without a registration are kept, so that
	// all hosts stop using them at the same time. Hosts of earlier versions send none.
	GraceLeft map[keys.Server]clock.Span `cbor:"9,keyasint,omitempty"`
	Evac      *evacSnapshot              `cbor:"10,keyasint,omitempty"`
}

// grace returns the grace of a snapshot whose fetch began at a time. A server that
// the sending host doesn't know, because it has started since, gets that of an
// outage if there was one.
func (s snapshot) grace(began clock.Time, outageGrace clock.Span) graceFunc {
	g := fleet.Grace{Ends: make(map[keys.Server]clock.Time, len(s.GraceLeft))}
	for id, left := range s.GraceLeft {
		g.Ends[id] = began.Add(left)
	}
	if s.Outage {
		g.Until = began.Add(outageGrace)
	}
	return func(clock.Time, int) fleet.Grace { return g }
}

// events returns the changes of a snapshot with Changes.
func (s snapshot) events() (evs []ServerEvent) {
	for _, sv := range s.Servers {
		evs = append(evs, ServerEvent{ID: sv.ID, Server: sv})
	}
	for _, id := range s.Removed {
		evs = append(evs, ServerEvent{ID: id, Removed: true})
	}
	return evs
}

// peerRevision returns a revision that another host reports. Hosts of earlier
// versions report no epoch; only the numbers of their revisions are compared.
func peerRevision(storeEpoch, number uint64, own epoch.Revision) epoch.Revision {
	if storeEpoch == 0 {
		storeEpoch = own.Epoch()
	}
	return epoch.At(storeEpoch, number)
}

// serveSnapshot responds with the parts that are newer than the versions in the
// request.
func (h *Host) serveSnapshot(w http.ResponseWriter, r *http.Request) {
	config, err := strconv.ParseUint(r.URL.Query().Get("config"), 10, 64)
	if err != nil {
		http.Error(w, "config: "+err.Error(), http.StatusBadRequest)
		return
	}
	number, err := strconv.ParseUint(r.URL.Query().Get("servers"), 10, 64)
	if err != nil {
		http.Error(w, "servers: "+err.Error(), http.StatusBadRequest)
		return
	}
	var storeEpoch uint64
	if v := r.URL.Query().Get("epoch"); v != "" {
		if storeEpoch, err = strconv.ParseUint(v, 10, 64); err != nil {
			http.Error(w, "epoch: "+err.Error(), http.StatusBadRequest)
			return
		}
	}
	evac, err := evacRevParam(r.URL.Query().Get(evacParam))
	if err != nil {
		http.Error(w, evacParam+": "+err.Error(), http.StatusBadRequest)
		return
	}
	var s snapshot
	h.mu.Lock()
	s.Evac = h.evacSnapshotSince(evac)
	if c := h.relay.Config(); c != nil && c.Version() > config {
		doc := c.Document()
		s.Config = &doc
	}
	if rev := h.sync.serversRev; h.serversLoaded && peerRevision(storeEpoch, number, rev).Before(rev) {
		s.ServersRev, s.Epoch = rev.Number(), rev.Epoch()
		if r.URL.Query().Has(changesParam) {
			s.Servers, s.Removed, s.Changes = h.changes.since(epoch.At(storeEpoch, number))
		}
		unregistered := s.Removed
		if !s.Changes {
			s.Servers, unregistered = h.fleet.Registered(), h.fleet.Unregistered()
		}
		s.GraceLeft = h.graceLeft(unregistered)
		h.ageWarmups(s.Servers)
	}
	s.Outage = h.storeFailed(h.clock.Now())
	h.mu.Unlock()
	b, err := cbor.Marshal(s)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	if err := sendSnapshot(w, r, b); err != nil {
		h.log.Debug("cannot send snapshot to another host", zap.Error(err))
	}
}

// sendSnapshot sends an encoded snapshot, compressed if it is long: a configuration may
// have 1 MiB, most of which repeats.
func sendSnapshot(w http.ResponseWriter, r *http.Request, b []byte) (err error) {
	if len(b) < minCompressedBytes || !strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		_, err = w.Write(b)
		return err
	}
	w.Header().Set("Content-Encoding", "gzip")
	z, err := gzip.NewWriterLevel(w, gzip.BestSpeed)
	if err != nil {
		return err
	}
	if _, err = z.Write(b); err != nil {
		return err
	}
	return z.Close()
}

// ageWarmups sets the warm-up of each server to the remaining time. h.mu is held.
func (h *Host) ageWarmups(list []fleet.Server) {
	now := h.clock.Now()
	for i, sv := range list {
		if sv.Warmup > 0 {
			list[i].Warmup = h.fleet.WarmupLeft(now, sv.ID)
		}
	}
}

// graceLeft returns how much longer servers without a registration are kept. h.mu is
// held.
func (h *Host) graceLeft(ids []keys.Server) map[keys.Server]clock.Span {
	now := h.clock.Now()
	left := make(map[keys.Server]clock.Span, len(ids))
	for _, id := range ids {
		left[id] = h.fleet.GraceLeft(now, id)
	}
	return left
}
