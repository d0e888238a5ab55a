package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"math"
	"net/http"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/internal/head"
	"github.com/laburnummux/laburnummux/internal/lease"
	"github.com/laburnummux/laburnummux/internal/limit"
	"github.com/laburnummux/laburnummux/internal/proxy"
	"github.com/laburnummux/laburnummux/internal/retry"
	"github.com/laburnummux/laburnummux/internal/ring"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// backend is a backend server that this host dispatches to, with its request
// queue, its connections, and the worker that probes the server and sends it its
// grants. cell.mu guards queued, running, limiter, incarnation, down, lostAttempts and
// attemptEnded.
type backend struct {
	cell         *cell
	name         keys.Server
	checksFences bool
	pool         *proxy.Pool
	probeClient  *http.Client
	baseURL      string
	grantPushes  *ring.Ring[lease.Push]
	cancel       context.CancelFunc
	limiter      *limit.State
	queued       map[uint64]*queuedCall
	running      map[uint64]runningCall
	incarnation  string
	down         bool          // the server has refused a connection since its last response
	lostAttempts []lostAttempt // attempts whose connection was lost since the last successful probe
	attemptEnded chan struct{} // closed and replaced when an attempt ends and after each probe
}

// lostAttempt is an attempt whose connection was lost. Only a successful probe
// that was sent after the loss proves that the server didn't crash.
type lostAttempt struct {
	ticket retry.Ticket
	at     clock.Time
}

// queuedCall is a call in the queue. The channel has a buffer for the one
// decision that ends the wait.
type queuedCall struct {
	hash     keys.Hash
	decision chan answer.Reason // ReasonNone: the call has a slot
}

// runningCall is a call that holds a slot.
type runningCall struct {
	hash      keys.Hash
	transfers transfers
}

func newBackend(c *cell, s grant.Server) *backend {
	srv := c.svc.Server()
	secure, report := c.host.security.serverTLS(s.Server, s.Address), c.host.heads.From(head.SourceServer)
	b := &backend{
		cell: c, name: s.Server, checksFences: s.ChecksFences, baseURL: scheme(secure) + s.Address,
		pool: proxy.NewSecurePool(s.Address, proxy.Limits{
			MaxIdle:     srv.Slots() + 2,
			MaxConns:    srv.Connections() - config.ConnectionReserve,
			DialTimeout: srv.ConnectTimeout().Std(),
		}, secure),
		probeClient: newProbeClient(secure, report),
		grantPushes: ring.New[lease.Push](1),
		limiter: limit.New(limit.Config{
			Slots: srv.Slots(), QueuePerSlot: c.svc.QueuePerSlot(), BulkShare: c.svc.Share(config.Bulk), Warmup: srv.Warmup(),
		}),
		queued: make(map[uint64]*queuedCall), running: make(map[uint64]runningCall), attemptEnded: make(chan struct{}),
	}
	b.pool.ObserveMalformed(report)
	ctx, cancel := context.WithCancel(c.ctx)
	b.cancel = cancel
	go b.loop(ctx)
	return b
}

// newProbeClient returns the client for probes and grants, which uses plain text if secure is
// nil.
func newProbeClient(secure *tls.Config, report head.ReportFunc) *http.Client {
	t := &http.Transport{MaxConnsPerHost: 2, MaxIdleConnsPerHost: 1, DisableCompression: true, TLSClientConfig: secure}
	return &http.Client{Timeout: probeTimeout, Transport: head.NewTransport(t, report)}
}

// stop stops the worker and closes the idle connections. It ends the lost
// attempts, since no later probe will: if they stayed in flight, the server would
// still be reserved when this host dispatches to it again. The caller must hold
// cell.mu.
func (b *backend) stop() {
	b.endLostAttempts(b.cell.host.clk.Now(), clock.Time(math.MaxInt64))
	b.cancel()
	b.pool.Close()
}

// endLostAttempts ends the attempts whose connection was lost before a probe was
// sent to which the same incarnation of the server responded.
func (b *backend) endLostAttempts(now, sent clock.Time) {
	b.lostAttempts = slices.DeleteFunc(b.lostAttempts, func(a lostAttempt) bool {
		if !a.at.Before(sent) {
			return false
		}
		b.cell.quarantine.End(now, a.ticket, false)
		return true
	})
}

// idle reports whether there are no running or queued calls, and no lost attempts
// for which a probe has yet to show whether the server crashed. The caller must
// hold cell.mu.
func (b *backend) idle() bool {
	return b.limiter.Running() == 0 && len(b.queued) == 0 && len(b.lostAttempts) == 0
}

// expire refuses queued calls whose deadline has passed, and starts those for
// which slots have become available. The caller must hold cell.mu.
func (b *backend) expire(now clock.Time) {
	b.apply(b.limiter.Expire(now))
	b.interruptStalled(now)
}

// interruptStalled ends running calls whose callers have stopped sending their bodies or
// reading their responses: as many as calls wait for a slot, and those whose range is being
// released, since it has no owner until they have ended. The caller must hold cell.mu.
func (b *backend) interruptStalled(now clock.Time) {
	needed := len(b.queued)
	for _, r := range b.running {
		if r.transfers.interrupted() {
			needed-- // its slot will be free
		}
	}
	for _, r := range b.running {
		if !r.transfers.stalled() || needed <= 0 && !b.isReleasing(now, r.hash) {
			continue
		}
		if reason := r.transfers.interrupt(); reason != "" {
			needed--
			b.cell.host.intake.metrics.CountGivenUp(reason)
		}
	}
}

// isReleasing reports whether the range of a key is being released. The caller must hold
// cell.mu.
func (b *backend) isReleasing(now clock.Time, h keys.Hash) bool {
	_, err := b.cell.leases.Check(now, b.name, h)
	return errors.Is(err, lease.ErrReleasing)
}

// apply executes the limiter's decisions about queued calls.
func (b *backend) apply(acts []limit.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case limit.Start:
			b.wake(a.ID, answer.ReasonNone)
		case limit.Refuse:
			b.wake(a.ID, a.Reason)
		}
	}
}

func (b *backend) wake(id uint64, r answer.Reason) {
	if q := b.queued[id]; q != nil {
		delete(b.queued, id)
		q.decision <- r
	}
}

// rejectQueued refuses the queued calls of a range that is being released, so
// that they are sent to the next dispatcher.
func (b *backend) rejectQueued(now clock.Time, r keys.Range) {
	for id, q := range b.queued {
		if !r.Contains(q.hash) {
			continue
		}
		removed, acts := b.limiter.Cancel(now, id)
		if removed {
			b.wake(id, answer.NotDispatcher)
		}
		b.apply(acts)
	}
}
