package front

import (
	"context"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"go.uber.org/zap"
)

// reloadInterval is the period in which the settings are read again, as they may
// change without a signal.
const reloadInterval = 2 * time.Second

// reload applies changed settings, on SIGHUP and periodically.
func (h *Host) reload(ctx context.Context) error {
	if h.cfg.Reload == nil {
		<-ctx.Done()
		return nil
	}
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-hup:
			h.log.Info("reload", zap.String("cause", "SIGHUP"))
		case <-time.After(reloadInterval):
		}
		s, err := h.cfg.Reload()
		if err != nil {
			h.log.Warn("cannot read settings; keeping the previous ones", zap.Error(err))
			continue
		}
		h.applySettings(s)
	}
}

// applySettings applies settings that were read again. Those that the command line
// gives stay as they are.
func (h *Host) applySettings(s Settings) {
	s.Metrics, s.Disabled = h.cfg.Settings.Metrics, h.cfg.Settings.Disabled
	h.mu.Lock()
	changed := !reflect.DeepEqual(s, h.settings)
	h.settings = s
	h.mu.Unlock()
	if !changed {
		return
	}
	h.members.mu.Lock()
	h.members.seeds = s.Seeds
	h.members.mu.Unlock()
	h.log.Info("applied changed settings", zap.Strings("seeds", s.Seeds))
}
