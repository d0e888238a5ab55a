package entry

import (
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/caller"
	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/internal/listen"
)

const (
	// bodyShare is the share of a process's memory for callers' headers and for what is
	// buffered of bodies. It is less than that of package front, as longer bodies are
	// streamed.
	bodyShare = 0.35
	// connShare is the share of a process's memory for callers' connections, each of
	// which is counted with connBytes: two goroutines, the buffers of net/http, and
	// a short request, which is in no budget.
	connShare = 0.15
	connBytes = 32 << 10
	// heapShare is the share of a process's memory from which on the garbage collector
	// runs as often as needed. The rest is for the program itself, stacks, and bytes that
	// were received and not read.
	heapShare = 0.6
	// reservedFDs are the descriptors that aren't used for connections. Callers'
	// connections get one in connFDs of the others, as requests in progress need
	// connections to servers and other hosts.
	reservedFDs = 200
	connFDs     = 2
	// backlogShare is the part of the bound of callers' connections, as a divisor, that
	// may be open in addition and not accepted yet.
	backlogShare = 3
	// otherConnShare is the bound of connections of each address that isn't for callers, as
	// a divisor of that of callers' connections.
	otherConnShare  = 3
	otherReadBuffer = 8 << 10 // bytes; most of their requests are short
	otherBacklog    = 64
	// minCallerConns is the least bound of callers' connections.
	minCallerConns = 16
	// streamBytes are the buffers of a response that is streamed to a caller.
	streamBytes = 64 << 10
)

// LimitMemory makes the garbage collector keep the process below the memory of its
// settings.
func LimitMemory(s config.Settings) {
	if s.Memory() > 0 {
		debug.SetMemoryLimit(int64(float64(s.Memory()) * heapShare))
	}
}

// bodyBytes returns the bytes for callers' headers and for what is buffered of bodies.
func bodyBytes(memory int64) int64 {
	if memory <= 0 {
		return caller.DefaultBudget
	}
	return int64(float64(memory) * bodyShare)
}

// maxCallerConns returns the bound of callers' connections: the stated one, or else what
// memory and descriptors allow. A memory of 0 is unknown.
func maxCallerConns(stated int, memory int64, fds uint64) int {
	if stated > 0 {
		return stated
	}
	n := max(int((min(fds, 1<<30)-min(fds, reservedFDs))/connFDs), minCallerConns)
	if memory > 0 {
		n = min(n, max(int(float64(memory)*connShare)/connBytes, minCallerConns))
	}
	return n
}

// callerConns returns the bound of callers' connections.
func callerConns(s config.Settings) (n int, err error) {
	var fds syscall.Rlimit
	if err = syscall.Getrlimit(syscall.RLIMIT_NOFILE, &fds); err != nil {
		fds.Cur = 1024 // the usual limit
	}
	return maxCallerConns(s.Callers().MaxConnections(), s.Memory(), fds.Cur), err
}

// callerBounds returns the bounds of what callers' connections have received and wasn't
// read. They are those of the system if the memory isn't known.
func callerBounds(s config.Settings) listen.Bounds {
	if s.Memory() <= 0 {
		return listen.Bounds{}
	}
	n, _ := callerConns(s) // newIntake logs the error
	return listen.Bounds{ReadBuffer: caller.ReadBuffer, Backlog: n / backlogShare}
}

// otherBounds returns the bounds of the addresses that aren't for callers.
func otherBounds(s config.Settings) listen.Bounds {
	if s.Memory() <= 0 {
		return listen.Bounds{}
	}
	return listen.Bounds{ReadBuffer: otherReadBuffer, Backlog: otherBacklog}
}

// newBounds returns the bounds of the connections of an address that isn't for callers.
func (h *Host) newBounds(name string) *caller.Bounds {
	n, _ := callerConns(h.settings) // newIntake logs the error
	return caller.NewBounds(name, max(n/otherConnShare, minCallerConns), h.intake.budget, h.intake.metrics, h.log)
}

// newIntake returns the bounds of callers' connections and bodies.
func (h *Host) newIntake() *intake {
	n, err := callerConns(h.settings)
	if err != nil {
		h.log.Warn("cannot read the limit of descriptors; assuming the usual one", zap.Error(err))
	}
	b := caller.NewBudget(bodyBytes(h.settings.Memory()), h.log)
	m := caller.NewMetrics(h.metrics.Registry(), b)
	conns := caller.NewConns(n, m)
	conns.LogPressure("callers", h.log)
	return &intake{budget: b, metrics: m, conns: conns}
}
