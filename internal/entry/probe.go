package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/internal/lease"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"go.uber.org/zap"
)

const (
	// probeInterval is the time between two probes of a server. After three failed
	// probes the server counts as unreachable.
	probeInterval = 100 * time.Millisecond
	probeTimeout  = 100 * time.Millisecond
	// maxHealthBytes bounds the size of a health report.
	maxHealthBytes = 64 << 10
)

// health is a backend server's health report, which is also its response to new
// grants. InFlight may be late or wrong, so no decision uses it.
type health struct {
	Clock       clock.Time `json:"clock"`
	Slots       int        `json:"slots"`
	InFlight    int        `json:"inFlight"`
	State       string     `json:"state"`
	Incarnation string     `json:"boot"`
}

func (v health) serverState() grant.State {
	switch v.State {
	case "ready":
		return grant.Ready
	case "starting":
		return grant.Starting
	case "draining":
		return grant.Draining
	}
	return grant.Unknown
}

type grantsRequest struct {
	Grants      []grantedRange `json:"grants"`
	ValidUntil  clock.Time     `json:"validUntil"`
	From        string         `json:"from"` // dispatcher and its incarnation
	Seq         uint64         `json:"seq"`
	Incarnation string         `json:"boot"` // incarnation of the server whose clock ValidUntil refers to
}

type grantedRange struct {
	Range keys.Range `json:"range"`
	Fence keys.Fence `json:"fence"`
}

// loop probes the server every probeInterval and sends it new grants at once.
func (b *backend) loop(ctx context.Context) {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	for {
		b.probe(ctx)
		select {
		case <-ctx.Done():
			return
		case <-b.grantPushes.Ready():
		case <-tick.C:
		}
	}
}

func (b *backend) probe(ctx context.Context) {
	p, pushing := b.grantPushes.TryPop()
	sent := b.cell.host.clk.Now()
	var v health
	var err error
	applied := uint64(0)
	if pushing {
		var ok bool
		if v, ok, err = b.pushGrants(ctx, p); ok {
			applied = p.Seq
		}
	} else {
		v, _, err = b.request(ctx, http.MethodGet, "/laburnummux/health", nil)
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		b.probeFailed(err)
		return
	}
	b.probeSucceeded(sent, v, applied)
}

// probeFailed records that the server did not respond to a probe. A refused
// connection means that the server's process has ended.
func (b *backend) probeFailed(err error) {
	b.cell.mu.Lock()
	defer b.cell.mu.Unlock()
	now := b.cell.host.clk.Now()
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if refused && !b.down {
		b.down = true
		b.serverCrashed(now)
	}
	b.cell.stepLeases(now, lease.Unanswered{Server: b.name, Refused: refused})
}

// serverCrashed records the requests that were in flight as suspects of the
// crash. The caller must hold cell.mu.
func (b *backend) serverCrashed(now clock.Time) {
	b.lostAttempts = nil
	for _, sig := range b.cell.quarantine.ServerCrashed(now, b.name) {
		b.cell.host.log.Warn("quarantined a request that crashes backend servers; refusing it",
			zap.String("operation", sig.Op), zap.Stringer("hash", sig.Key), zap.String("server", string(b.name)))
	}
	b.cell.publishSuspects(now)
	b.wakeIsolated()
}

// wakeIsolated wakes the calls that wait until they may run without others beside
// them.
func (b *backend) wakeIsolated() {
	close(b.attemptEnded)
	b.attemptEnded = make(chan struct{})
}

// probeSucceeded records the server's response to a probe. A restarted server has
// a new clock and no grants.
func (b *backend) probeSucceeded(sent clock.Time, v health, applied uint64) {
	b.cell.mu.Lock()
	defer b.cell.mu.Unlock()
	now := b.cell.host.clk.Now()
	if v.Incarnation != b.incarnation {
		if b.incarnation != "" {
			b.cell.host.log.Info("backend server restarted; starting its warm-up", zap.String("server", string(b.name)))
			b.limiter.StartWarmup(now)
			if !b.down {
				b.serverCrashed(now)
			}
		}
		b.incarnation = v.Incarnation
	}
	b.down = false
	b.endLostAttempts(now, sent)
	// Attempts may have ended above. A reservation for a suspect that was never
	// sent ends by time only, so the waiting calls check again after each probe.
	b.wakeIsolated()
	b.cell.stepLeases(now, lease.Response{
		Server: b.name, Sent: sent, ServerClock: v.Clock, Incarnation: v.Incarnation, State: v.serverState(), Slots: v.Slots, Seq: applied,
	})
}

func (b *backend) pushGrants(ctx context.Context, p lease.Push) (v health, ok bool, err error) {
	body := grantsRequest{
		ValidUntil: p.Until, From: fmt.Sprintf("%s/%x", b.cell.host.self, b.cell.host.incarnation), Seq: p.Seq, Incarnation: p.Incarnation,
		Grants: make([]grantedRange, 0, len(p.Grants)),
	}
	for _, g := range p.Grants {
		body.Grants = append(body.Grants, grantedRange{g.Range, g.Fence})
	}
	data, err := json.Marshal(body)
	if err != nil {
		return v, false, fmt.Errorf("entry.pushGrants: %w", err)
	}
	return b.request(ctx, http.MethodPut, "/laburnummux/grants", data)
}

// request sends a request to the server's control paths. It returns the server's
// health report and whether the status was 200.
func (b *backend) request(ctx context.Context, method, path string, body []byte) (v health, ok bool, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("entry.request: %w", err)
		}
	}()
	req, err := http.NewRequestWithContext(ctx, method, b.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return v, false, err
	}
	resp, err := b.probeClient.Do(req)
	if err != nil {
		return v, false, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxHealthBytes))
	if err != nil {
		return v, false, err
	}
	if err = json.Unmarshal(data, &v); err != nil {
		return v, false, err
	}
	return v, resp.StatusCode == http.StatusOK, nil
}
