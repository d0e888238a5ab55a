package front

import (
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// setWarmups sets the warm-up of each server in a list for the assigner to the remaining
// time, which a health response may have stated. It is 0 in services that have no
// configuration for cold servers.
func (h *Host) setWarmups(list []fleet.Server) {
	cfg := h.relay.Config()
	matters := make(map[keys.Service]bool)
	if cfg != nil {
		for _, s := range cfg.Document().Services {
			matters[s.Name] = s.Warmup > 0 || s.ColdRate > 0
		}
	}
	for i, sv := range list {
		list[i].Warmup = 0
		if matters[sv.Service] {
			list[i].Warmup = h.relay.ColdLeft(sv.ID)
		}
	}
}

// dumpedServers returns the servers for operators: with the remaining warm-up of each as
// this host knows it.
func (h *Host) dumpedServers() []fleet.Server {
	list := h.serverList()
	for i, sv := range list {
		list[i].Warmup = h.relay.ColdLeft(sv.ID)
	}
	return list
}

// warmupChanged has the assigner take account of a server that is cold, or no longer is.
func (h *Host) warmupChanged() { h.role.notifyServersChanged() }

// ColdServers returns the number of servers that are cold.
func (h *Host) ColdServers() int { return h.relay.ColdServers() }
