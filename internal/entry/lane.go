package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"slices"
	"syscall"
	"time"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/internal/hold"
	"github.com/laburnummux/laburnummux/internal/limit"
	"github.com/laburnummux/laburnummux/internal/proxy"
	"github.com/laburnummux/laburnummux/internal/retry"
	"github.com/laburnummux/laburnummux/internal/ring"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"go.uber.org/zap"
)

const (
	// probePeriod is the time between two calls to a server; three misses
	// make it unreachable.
	probePeriod  = 100 * time.Millisecond
	probeTimeout = 100 * time.Millisecond
	// maxHealth bounds a health report in bytes.
	maxHealth = 64 << 10
)

// lane is the path from this host to a backend server that it dispatches to:
// the queue, the connections, and the worker that probes the server and tells
// it its grants. The cell's mutex guards waiting, limit and boot.
type lane struct {
	c       *cell
	name    keys.Server
	checks  bool
	pool    *proxy.Pool
	probes  *http.Client
	base    string
	pushes  *ring.Ring[hold.Push]
	cancel  context.CancelFunc
	limit   *limit.State
	waiting map[uint64]*waiter
	boot    string
	down    bool          // the server refused a connection
	lost    []lostAttempt // attempts whose connection broke since the last probe
	ended   chan struct{} // closed when an attempt ends
}

// lostAttempt is an attempt whose connection broke. Only a probe sent later
// proves that the server didn't crash under it.
type lostAttempt struct {
	ticket retry.Ticket
	at     clock.Time
}

// waiter is a request in the queue. The channel has room for the one decision
// that ends the wait.
type waiter struct {
	hash keys.Hash
	done chan answer.Reason // ReasonNone: the request has a slot
}

func newLane(c *cell, s grant.Server) *lane {
	srv := c.svc.Server()
	secure := c.h.secure.toServer(s.Server, s.Address)
	l := &lane{
		c: c, name: s.Server, checks: s.Checks, base: scheme(secure) + s.Address,
		pool: proxy.NewSecurePool(s.Address, proxy.Limits{
			Idle:    srv.Slots() + 2,
			Total:   srv.Connections() - config.ConnectionReserve,
			Connect: srv.ConnectTimeout().Std(),
		}, secure),
		probes: &http.Client{
			Timeout:   probeTimeout,
			Transport: &http.Transport{MaxConnsPerHost: 2, MaxIdleConnsPerHost: 1, DisableCompression: true, TLSClientConfig: secure},
		},
		pushes: ring.New[hold.Push](1),
		limit: limit.New(limit.Config{
			Slots: srv.Slots(), QueuePerSlot: c.svc.QueuePerSlot(), BulkShare: c.svc.Share(config.Bulk), Ramp: srv.Ramp(),
		}),
		waiting: make(map[uint64]*waiter), ended: make(chan struct{}),
	}
	ctx, cancel := context.WithCancel(c.ctx)
	l.cancel = cancel
	go l.loop(ctx)
	return l
}

// stop ends the lane. The cell's mutex is held. No later probe would end the
// attempts whose connection broke, and left in flight they would keep the
// server reserved when this host dispatches to it again.
func (l *lane) stop() {
	l.endLost(l.c.h.clk.Now(), clock.Time(math.MaxInt64))
	l.cancel()
	l.pool.Close()
}

// endLost ends the attempts whose connection broke before a probe was sent
// that the same boot of the server answered.
func (l *lane) endLost(now, sent clock.Time) {
	l.lost = slices.DeleteFunc(l.lost, func(a lostAttempt) bool {
		if !a.at.Before(sent) {
			return false
		}
		l.c.quarantine.End(now, a.ticket, false)
		return true
	})
}

// idle reports whether no request uses the lane, and no lost attempt waits for
// the probe that tells whether the server crashed under it. The cell's mutex is
// held.
func (l *lane) idle() bool { return l.limit.Running() == 0 && len(l.waiting) == 0 && len(l.lost) == 0 }

// expire lets time pass in the queue. The cell's mutex is held.
func (l *lane) expire(now clock.Time) { l.take(l.limit.Expire(now)) }

// take carries out the decisions about queued requests.
func (l *lane) take(acts []limit.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case limit.Start:
			l.wake(a.ID, answer.ReasonNone)
		case limit.Refuse:
			l.wake(a.ID, a.Reason)
		}
	}
}

func (l *lane) wake(id uint64, r answer.Reason) {
	if w := l.waiting[id]; w != nil {
		delete(l.waiting, id)
		w.done <- r
	}
}

// flush refuses the queued requests of a range that is being released, so that
// they are sent to the next dispatcher.
func (l *lane) flush(now clock.Time, r keys.Range) {
	for id, w := range l.waiting {
		if !r.Contains(w.hash) {
			continue
		}
		removed, acts := l.limit.Cancel(now, id)
		if removed {
			l.wake(id, answer.NotDispatcher)
		}
		l.take(acts)
	}
}

// health is a backend server's report about itself, which is also its answer
// to new grants. Load and InFlight may lag or mislead and decide nothing.
type health struct {
	Clock    clock.Time `json:"clock"`
	Slots    int        `json:"slots"`
	InFlight int        `json:"inFlight"`
	State    string     `json:"state"`
	Boot     string     `json:"boot"`
}

func (v health) state() grant.State {
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

type grantBody struct {
	Grants     []grantRow `json:"grants"`
	ValidUntil clock.Time `json:"validUntil"`
	From       string     `json:"from"` // dispatcher and its boot id
	Seq        uint64     `json:"seq"`
	Boot       string     `json:"boot"` // boot of the server that the validity is for
}

type grantRow struct {
	Range keys.Range `json:"range"`
	Fence keys.Fence `json:"fence"`
}

// loop tells the server its grants and probes it in between.
func (l *lane) loop(ctx context.Context) {
	tick := time.NewTicker(probePeriod)
	defer tick.Stop()
	for {
		l.probe(ctx)
		select {
		case <-ctx.Done():
			return
		case <-l.pushes.Ready():
		case <-tick.C:
		}
	}
}

func (l *lane) probe(ctx context.Context) {
	p, pushing := l.pushes.TryPop()
	sent := l.c.h.clk.Now()
	var v health
	var err error
	applied := uint64(0)
	if pushing {
		var ok bool
		if v, ok, err = l.push(ctx, p); ok {
			applied = p.Seq
		}
	} else {
		v, _, err = l.call(ctx, http.MethodGet, "/laburnummux/health", nil)
	}
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		l.missed(err)
		return
	}
	l.reached(sent, v, applied)
}

// missed reports that the server did not answer. A refused connection means
// that its process has ended.
func (l *lane) missed(err error) {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	now := l.c.h.clk.Now()
	refused := errors.Is(err, syscall.ECONNREFUSED)
	if refused && !l.down {
		l.down = true
		l.crashed(now)
	}
	l.c.stepHold(now, hold.Missed{Server: l.name, Refused: refused})
}

// crashed blames the requests that were in flight. The cell's mutex is held.
func (l *lane) crashed(now clock.Time) {
	l.lost = nil
	for _, sig := range l.c.quarantine.Crashed(now, l.name) {
		l.c.h.log.Warn("request quarantined because it crashes backend servers",
			zap.String("operation", sig.Op), zap.Stringer("hash", sig.Key), zap.String("server", string(l.name)))
	}
	l.c.shareSuspects(now)
	l.wakeIsolated()
}

// wakeIsolated wakes the requests that wait to run alone.
func (l *lane) wakeIsolated() {
	close(l.ended)
	l.ended = make(chan struct{})
}

// reached reports the answer of the server. After a restart of the server its
// clock has started again and its grants are gone.
func (l *lane) reached(sent clock.Time, v health, applied uint64) {
	l.c.mu.Lock()
	defer l.c.mu.Unlock()
	now := l.c.h.clk.Now()
	if v.Boot != l.boot {
		if l.boot != "" {
			l.c.h.log.Info("backend server restarted", zap.String("server", string(l.name)))
			l.limit.Cold(now)
			if !l.down {
				l.crashed(now)
			}
		}
		l.boot = v.Boot
	}
	l.down = false
	l.endLost(now, sent)
	// Attempts may have ended here, and a reservation for a suspect that never
	// came ends by time alone.
	l.wakeIsolated()
	l.c.stepHold(now, hold.Reached{
		Server: l.name, Sent: sent, ServerClock: v.Clock, Boot: v.Boot, State: v.state(), Slots: v.Slots, Seq: applied,
	})
}

func (l *lane) push(ctx context.Context, p hold.Push) (v health, ok bool, err error) {
	body := grantBody{
		ValidUntil: p.Until, From: fmt.Sprintf("%s/%x", l.c.h.self, l.c.h.boot), Seq: p.Seq, Boot: p.Boot,
		Grants: make([]grantRow, 0, len(p.Grants)),
	}
	for _, g := range p.Grants {
		body.Grants = append(body.Grants, grantRow{g.Range, g.Fence})
	}
	b, err := json.Marshal(body)
	if err != nil {
		return v, false, fmt.Errorf("entry.push: %w", err)
	}
	return l.call(ctx, http.MethodPut, "/laburnummux/grants", b)
}

// call returns the server's health and whether it accepted the call.
func (l *lane) call(ctx context.Context, method, path string, body []byte) (v health, ok bool, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("entry.call: %w", err)
		}
	}()
	req, err := http.NewRequestWithContext(ctx, method, l.base+path, bytes.NewReader(body))
	if err != nil {
		return v, false, err
	}
	resp, err := l.probes.Do(req)
	if err != nil {
		return v, false, err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxHealth))
	if err != nil {
		return v, false, err
	}
	if err = json.Unmarshal(b, &v); err != nil {
		return v, false, err
	}
	return v, resp.StatusCode == http.StatusOK, nil
}
