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
	// suspectsTimeout bounds one message about suspicions.
	suspectsTimeout = 2 * time.Second
	// suspectsEvery is the period in which suspicions are told again: a message
	// may be lost, and a host that has just started knows none.
	suspectsEvery = clock.Second
	// maxSuspects bounds the message in bytes; a full table needs about 128 KiB.
	maxSuspects = 256 << 10
	// suspectHosts is the size of a group, and bounds how many hosts of each
	// other data centre are told.
	suspectHosts = 8
)

// shareSuspects tells other hosts which requests may have crashed a server, so
// that they run them alone or not at all. The cell's mutex is held.
func (c *cell) shareSuspects(now clock.Time) {
	c.sharedAt = now
	var list []retry.Suspicion
	for _, s := range c.quarantine.Export(now) {
		if s.Crashes > 0 || s.Quarantined {
			list = append(list, s)
		}
	}
	if len(list) > 0 {
		go c.h.tellSuspects(c.ctx, c.svc.Name(), c.svc.Keyed(), list)
	}
}

// shareAgain repeats the suspicions when they are due. The cell's mutex is held.
func (c *cell) shareAgain(now clock.Time) {
	if now.Sub(c.sharedAt) >= suspectsEvery {
		c.shareSuspects(now)
	}
}

func (h *Host) tellSuspects(ctx context.Context, svc keys.Service, keyed bool, list []retry.Suspicion) {
	b, err := json.Marshal(list)
	if err != nil {
		h.log.Error("suspicions can't be encoded", zap.Error(err))
		return
	}
	for _, to := range h.suspectHosts(svc, keyed) {
		if pool := h.relayPool(to); pool != nil {
			go h.tellSuspect(ctx, to, pool, svc, b)
		}
	}
}

func (h *Host) tellSuspect(ctx context.Context, to keys.Host, pool *proxy.Pool, svc keys.Service, b []byte) {
	ctx, cancel := context.WithTimeout(ctx, suspectsTimeout)
	defer cancel()
	body, err := proxy.NewBody(bytes.NewReader(b), int64(len(b)))
	if err != nil {
		h.log.Error("suspicions can't be sent", zap.Error(err))
		return
	}
	r := pool.Send(ctx, proxy.Request{
		Method: http.MethodPut, URL: &url.URL{Path: "/"}, Header: http.Header{headerSuspects: {string(svc)}}, Body: body,
	})
	r.Close()
	if r.Failure() != proxy.OK {
		h.log.Debug("suspicions aren't delivered; told again later", zap.String("to", string(to)), zap.Stringer("failure", r.Failure()))
	}
}

// suspectHosts returns the hosts to tell: the group, and for a service without
// keys, whose requests may go to any cell, hosts of its other data centres.
func (h *Host) suspectHosts(svc keys.Service, keyed bool) []keys.Host {
	to := h.group()
	if keyed {
		return to
	}
	h.mu.Lock()
	parts := h.router.Layout(svc)
	h.mu.Unlock()
	seen := map[keys.DataCentre]bool{h.cfg.DataCentre(): true}
	for _, p := range parts {
		if dc := p.Cell.DataCentre; !seen[dc] {
			seen[dc] = true
			hosts := h.hostsOf(dc)
			to = append(to, hosts[:min(len(hosts), suspectHosts)]...)
		}
	}
	return to
}

func (h *Host) takeSuspects(w http.ResponseWriter, r *http.Request) {
	var list []retry.Suspicion
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxSuspects))
	if err == nil {
		err = json.Unmarshal(b, &list)
	}
	if err != nil {
		http.Error(w, "invalid suspicions", http.StatusBadRequest)
		return
	}
	svc := keys.Service(r.Header.Get(headerSuspects))
	for _, c := range h.cellList() {
		if c.name.Service != svc {
			continue
		}
		c.mu.Lock()
		c.quarantine.Import(c.h.clk.Now(), list)
		c.mu.Unlock()
	}
	w.WriteHeader(http.StatusNoContent)
}
