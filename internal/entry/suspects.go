package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/proxy"
	"github.com/laburnummux/laburnummux/internal/retry"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"go.uber.org/zap"
)

const (
	// suspectsTimeout bounds the delivery of one message with suspect records.
	suspectsTimeout = 2 * time.Second
	// suspectsInterval is the interval at which suspect records are sent again,
	// since a message may be lost, and a host that has just started has no records.
	suspectsInterval = clock.Second
	// maxSuspectsBytes bounds the message. A full table needs about 128 KiB.
	maxSuspectsBytes = 256 << 10
	// maxSuspectHosts bounds the number of recipients in each other data centre.
	// It is the size of a group.
	maxSuspectHosts = 8
)

// publishSuspects sends the records of requests that may have crashed a server to
// other hosts, which then run such requests in isolation or refuse them. The
// caller must hold c.mu.
func (c *cell) publishSuspects(now clock.Time) {
	c.suspectsSentAt = now
	var list []retry.SuspectRecord
	for _, s := range c.quarantine.Export(now) {
		if s.Crashes > 0 || s.Quarantined {
			list = append(list, s)
		}
	}
	if len(list) > 0 {
		go c.host.sendSuspects(c.ctx, c.svc.Name(), c.svc.Keyed(), list)
	}
}

// republishSuspects sends the suspect records again every suspectsInterval. The
// caller must hold c.mu.
func (c *cell) republishSuspects(now clock.Time) {
	if now.Sub(c.suspectsSentAt) >= suspectsInterval {
		c.publishSuspects(now)
	}
}

func (h *Host) sendSuspects(ctx context.Context, svc keys.Service, keyed bool, list []retry.SuspectRecord) {
	b, err := json.Marshal(list)
	if err != nil {
		h.log.Error("cannot encode suspect records; not sending them", zap.Error(err))
		return
	}
	for _, to := range h.suspectRecipients(svc, keyed) {
		if pool := h.relayPool(to); pool != nil {
			go h.sendSuspectsTo(ctx, to, pool, svc, b)
		}
	}
}

func (h *Host) sendSuspectsTo(ctx context.Context, to keys.Host, pool *proxy.Pool, svc keys.Service, b []byte) {
	ctx, cancel := context.WithTimeout(ctx, suspectsTimeout)
	defer cancel()
	body, err := proxy.NewBody(bytes.NewReader(b), int64(len(b)))
	if err != nil {
		h.log.Error("cannot build the message with suspect records; not sending it", zap.Error(err))
		return
	}
	r := pool.Send(ctx, proxy.Request{
		Method: http.MethodPut, URL: &url.URL{Path: "/"}, Header: http.Header{headerSuspects: {string(svc)}}, Body: body,
	})
	r.Close()
	if r.Failure() != proxy.OK {
		h.log.Debug("cannot deliver suspect records; they are sent again after the next interval", zap.String("to", string(to)), zap.Stringer("failure", r.Failure()))
	}
}

// suspectRecipients returns the hosts that get the suspect records: the group,
// and for a service without keys, whose requests may go to any cell, also hosts
// of the service's other data centres.
func (h *Host) suspectRecipients(svc keys.Service, keyed bool) []keys.Host {
	to := h.otherGroupHosts()
	if keyed {
		return to
	}
	h.mu.Lock()
	parts := h.router.Layout(svc)
	h.mu.Unlock()
	covered := map[keys.DataCentre]bool{h.settings.DataCentre(): true}
	for _, p := range parts {
		if dc := p.Cell.DataCentre; !covered[dc] {
			covered[dc] = true
			hosts := h.entryHostsIn(dc)
			to = append(to, hosts[:min(len(hosts), maxSuspectHosts)]...)
		}
	}
	return to
}

func (h *Host) handleSuspects(w http.ResponseWriter, r *http.Request) {
	var list []retry.SuspectRecord
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSuspectsBytes))
	if err == nil {
		err = json.Unmarshal(b, &list)
	}
	if err != nil {
		http.Error(w, "invalid suspect records", http.StatusBadRequest)
		return
	}
	svc := keys.Service(r.Header.Get(headerSuspects))
	for _, c := range h.cellList() {
		if c.name.Service != svc {
			continue
		}
		c.mu.Lock()
		c.quarantine.Import(c.host.clk.Now(), list)
		c.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}
