package front

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/intent"
)

const (
	// deregistrationDelay is how long the balancer may send new connections
	// after this host reports that it isn't ready: it checks once a second and
	// acts on the second failed check.
	deregistrationDelay = 2300 * time.Millisecond
	// exitReserve is the part of the grace period that is reserved for the exit
	// of the process.
	exitReserve      = 500 * time.Millisecond
	stopPollInterval = 20 * time.Millisecond
)

// Stop reports to the balancer that this host isn't ready, gives up the
// assigner's role, and waits for the requests in flight within the grace period.
func (h *Host) Stop(context.Context) error {
	began := time.Now()
	h.log.Info("stop", zap.Int("connections", h.callers.ConnCount()))
	h.leaving.Store(true)
	h.role.resign()
	h.admission.stop()
	h.callers.Drain()
	h.triggerHeartbeat()
	time.Sleep(deregistrationDelay)
	grace := h.cfg.Settings.GracePeriod.Std()
	longest := longestRequest(h.relay.Config(), grace)
	end := began.Add(grace - exitReserve)
	refuse := began.Add(refuseAfter(grace, longest))
	for h.callers.ConnCount() > 0 && time.Now().Before(end) {
		h.callers.CloseIdle()
		if time.Now().After(refuse) {
			h.relay.Stop() // callers can send refused requests to other hosts
		}
		time.Sleep(stopPollInterval)
	}
	h.log.Info("stopped", zap.Int("connections", h.callers.ConnCount()), zap.Duration("took", time.Since(began)))
	h.callerListener.Close()
	h.cancel()
	for _, l := range h.listeners {
		l.Close()
	}
	select {
	case <-h.stopped:
	case <-time.After(exitReserve / 2):
	}
	return nil
}

// longestRequest returns how long a request may last, but no more than the grace
// period.
func longestRequest(c *intent.Config, grace time.Duration) time.Duration {
	if c == nil {
		return 0 // it refuses all requests
	}
	d, unlimited := c.MaxTimeout()
	if unlimited {
		return grace
	}
	return min(d.Std(), grace)
}

// refuseAfter returns how long a stopping host accepts new requests. Later ones
// might not get a response before the process ends. Requests on connections that
// are still open are accepted for half of the grace period in any case.
func refuseAfter(grace, longest time.Duration) time.Duration {
	return min(max(grace-exitReserve-longest, grace/2), grace-exitReserve)
}
