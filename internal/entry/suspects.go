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
	// suspectsTimeout bounds one message about suspicions. One that is late is
	// of little use: the request may have reached the next server by then.
	suspectsTimeout = 2 * time.Second
	suspectsAgain   = 50 * time.Millisecond
	// maxSuspects bounds the message in bytes; a full table needs about 128 KiB.
	maxSuspects = 256 << 10
	// suspectHosts is the size of a group, and bounds how many hosts of each
	// other data centre are told.
	suspectHosts = 8
)

// shareSuspects tells other hosts which requests may have crashed a server, so
// that they run them alone or not at all. A message may be lost; then the other
// host learns from one more crash. The cell's mutex is held.
func (c *cell) shareSuspects(now clock.Time) {
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

func (h *Host) tellSuspects(ctx context.Context, svc keys.Service, keyed bool, list []retry.Suspicion) {
	ctx, cancel := context.WithTimeout(ctx, suspectsTimeout)
	defer cancel()
	b, err := json.Marshal(list)
	if err != nil {
		h.log.Error("suspicions can't be encoded", zap.Error(err))
		return
	}
	for _, to := range h.suspectHosts(svc, keyed) {
		pool := h.relayPool(to)
		if pool == nil {
			continue
		}
		go h.tellSuspect(ctx, pool, svc, b)
	}
	<-ctx.Done()
}

func (h *Host) tellSuspect(ctx context.Context, pool *proxy.Pool, svc keys.Service, b []byte) {
	body, err := proxy.NewBody(bytes.NewReader(b), int64(len(b)))
	if err != nil {
		return // reading from memory doesn't fail
	}
	for ctx.Err() == nil {
		r := pool.Send(ctx, proxy.Request{
			Method: http.MethodPut, URL: &url.URL{Path: "/"}, Header: http.Header{headerSuspects: {string(svc)}}, Body: body,
		})
		r.Close()
		if r.Failure() == proxy.OK || !body.Replayable() {
			return
		}
		time.Sleep(suspectsAgain)
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
