package front

import (
	"github.com/laburnummux/laburnummux/internal/budget"
	"github.com/laburnummux/laburnummux/internal/caller"
	"github.com/laburnummux/laburnummux/internal/listen"
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
	// reservedFDs are the descriptors that aren't used for connections. Callers'
	// connections get one in connFDs of the others, as requests in progress and idle
	// connections to servers need some, too.
	reservedFDs = 200
	connFDs     = 2
	// backlogShare is the part of the bound of callers' connections, as a divisor, that
	// may be open in addition and not accepted yet, while the process gets no processor
	// time.
	backlogShare = 3
	// operatorConnShare is the bound of connections to the addresses for the balancer,
	// operators and metrics, as a divisor of that of callers' connections. All hosts may
	// fetch a snapshot at once.
	operatorConnShare  = 3
	operatorReadBuffer = 8 << 10 // bytes; their requests are short
	operatorBacklog    = 64
	// minCallerConns is the least bound of callers' connections.
	minCallerConns = 16
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

// maxCallerConns returns the bound of callers' connections, or 0 if there is none.
func (s Settings) maxCallerConns() (n int) {
	if s.Memory > 0 {
		n = max(int(float64(s.Memory)*connShare)/connBytes, minCallerConns)
	}
	if s.MaxFDs > 0 {
		byFDs := max((s.MaxFDs-reservedFDs)/connFDs, minCallerConns)
		if n == 0 || byFDs < n {
			n = byFDs
		}
	}
	return n
}

// callerBounds returns the bounds of what callers' connections have received and
// wasn't read. They are those of the system if the memory isn't known.
func (s Settings) callerBounds() listen.Bounds {
	if s.Memory <= 0 {
		return listen.Bounds{}
	}
	return listen.Bounds{ReadBuffer: caller.ReadBuffer, Backlog: s.maxCallerConns() / backlogShare}
}

// operatorBounds returns the bounds of what connections to the addresses for the
// balancer, operators and metrics have received and wasn't read.
func (s Settings) operatorBounds() listen.Bounds {
	if s.Memory <= 0 {
		return listen.Bounds{}
	}
	return listen.Bounds{ReadBuffer: operatorReadBuffer, Backlog: operatorBacklog}
}

// maxOperatorConns returns the bound of the connections to these addresses together, or
// 0 if there is none.
func (s Settings) maxOperatorConns() int {
	n := s.maxCallerConns()
	if n == 0 {
		return 0
	}
	return max(n/operatorConnShare, minCallerConns)
}
