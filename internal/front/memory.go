package front

import (
	"github.com/laburnummux/laburnummux/internal/budget"
	"github.com/laburnummux/laburnummux/internal/caller"
)

const (
	// bodyShare is the share of a process's memory for the bodies of callers' requests
	// and servers' responses. It is below heapShare, as connections, state and garbage
	// need room, and above the longest body that callers may send on hosts with little memory.
	bodyShare = 0.5
	// connShare is the share of a process's memory for callers' connections, each of
	// which is counted with connBytes: two goroutines, a buffer, and a short request,
	// which is in no budget.
	connShare = 0.125
	connBytes = 24 << 10
	// operatorConnShare is the bound of connections to the addresses for the balancer,
	// operators and metrics, as a divisor of that of callers' connections. All hosts may
	// fetch a snapshot at once.
	operatorConnShare = 3
)

// newBodyBudget returns the budget of the bodies of requests and responses.
func (h *Host) newBodyBudget() *budget.Budget {
	return caller.NewBudget(h.cfg.Settings.bodyBytes(), h.log)
}

// bodyBytes returns the bytes for the bodies of requests and responses.
func (s Settings) bodyBytes() int64 {
	if s.Memory <= 0 {
		return caller.DefaultBudget
	}
	return int64(float64(s.Memory) * bodyShare)
}

// capacity returns what the process may use.
func (s Settings) capacity() caller.Capacity {
	return caller.Capacity{Memory: s.Memory, FDs: s.MaxFDs, ConnShare: connShare, ConnBytes: connBytes}
}

// maxCallerConns returns the bound of callers' connections, or 0 if there is none.
func (s Settings) maxCallerConns() int { return s.capacity().MaxConns() }

// maxOperatorConns returns the bound of the connections to the addresses for the
// balancer, operators and metrics together, or 0 if there is none.
func (s Settings) maxOperatorConns() int {
	return caller.ShareOfConns(s.maxCallerConns(), operatorConnShare)
}
