package front

import (
	"time"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/intent"
)

// applyConfig puts a configuration in force, unless it is no newer than the one in
// force.
func (h *Host) applyConfig(cfg *intent.Config) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if old := h.relay.Config(); old != nil && old.Version() >= cfg.Version() {
		return
	}
	h.relay.SetConfig(cfg)
	h.configAppliedAt.Store(time.Now().UnixMilli())
	h.log.Info("configuration", zap.Uint64("version", cfg.Version()), zap.Int("routes", cfg.RouteCount()))
	h.role.notifyServersChanged()
	h.triggerHeartbeat()
}

// Term returns the term in which this host has the assigner's role, or 0 if
// another host has it.
func (h *Host) Term() uint64 { return h.role.term() }

// ConfigVersion returns the version of the configuration in force, or 0 if there is
// none.
func (h *Host) ConfigVersion() uint64 {
	if c := h.relay.Config(); c != nil {
		return c.Version()
	}
	return 0
}
