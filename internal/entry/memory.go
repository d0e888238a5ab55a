package entry

import (
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/caller"
	"github.com/laburnummux/laburnummux/internal/config"
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
	// relayConnShare, peerConnShare and operatorConnShare are the bounds of connections of
	// the addresses that aren't for callers, as divisors of that of callers' connections.
	// Each relayed request in flight needs a connection, and other hosts keep idle ones.
	relayConnShare    = 2
	peerConnShare     = 2
	operatorConnShare = 8
	// peerReadBuffer is the receive buffer of connections for batches, in bytes. A
	// configuration of 1 MiB has to reach another data centre within a call's timeout.
	peerReadBuffer = 128 << 10
	// maxKnownFDs is the most descriptors that are distinguished from more.
	maxKnownFDs = 1 << 30
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

// newCapacity returns what a process may use. A memory of 0 is unknown.
func newCapacity(memory int64, fds uint64) caller.Capacity {
	return caller.Capacity{Memory: memory, FDs: int(min(fds, maxKnownFDs)), ConnShare: connShare, ConnBytes: connBytes}
}

// maxCallerConns returns the bound of callers' connections: the stated one, or else what
// memory and descriptors allow. A memory of 0 is unknown.
func maxCallerConns(stated int, memory int64, fds uint64) int {
	if stated > 0 {
		return stated
	}
	return newCapacity(memory, fds).MaxConns()
}

// processFDs returns the descriptors that the process may use.
func processFDs(log *zap.Logger) uint64 {
	var fds syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &fds); err != nil {
		log.Warn("cannot read the limit of descriptors; assuming the usual one", zap.Error(err))
		return 1024
	}
	return fds.Cur
}

// newIntake returns the bounds of callers' connections and bodies.
func (h *Host) newIntake() *intake {
	s, fds := h.settings, processFDs(h.log)
	b := caller.NewBudget(bodyBytes(s.Memory()), h.log)
	m := caller.NewMetrics(h.metrics.Registry(), b)
	n := maxCallerConns(s.Callers().MaxConnections(), s.Memory(), fds)
	conns := caller.NewConns(n, m)
	conns.LogPressure("callers", h.log)
	return &intake{budget: b, metrics: m, conns: conns, maxConns: n, capacity: newCapacity(s.Memory(), fds)}
}
