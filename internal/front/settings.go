package front

import (
	"runtime/debug"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Settings are the settings of a host's process.
type Settings struct {
	FirstStart bool // the deployment has never run before
	Host       keys.Host
	DC         keys.DataCentre
	IP         string
	Callers    string   // address for callers
	Ready      string   // address for the balancer's readiness check
	Control    string   // address for operators; may be empty
	Metrics    string   // address for metrics; may be empty
	MeshPort   uint16   // the same on all hosts
	Seeds      []string // addresses of some hosts; may be stale
	Store      string   // address of the store
	Cores      float64  // processor, in cores of standard speed
	Memory     int64    // bytes above which the process is killed; 0: unknown
	MaxFDs     int      // most descriptors of the process; 0: unknown

	DrainTimeout clock.Span // longest time until a draining server gets no new requests
	ApplyTimeout clock.Span // longest time until an accepted configuration is in force
	EvacTimeout  clock.Span // longest time until an evacuation is in force; 0: evacuations are disabled
	GracePeriod  clock.Span // time between SIGTERM and SIGKILL
	// RegistrationInterval is the period in which backend servers renew their
	// registrations. The store removes a registration after three without renewal.
	RegistrationInterval clock.Span
	MaxLeaseTime         clock.Span // longest lease time of a grant
	BudgetRatio          float64    // retries per request
	BudgetSlack          float64    // retries beyond the ratio, of all hosts together
	BudgetWindow         clock.Span
	// In no second a cold server may get more requests than the cold rate of its
	// service times ColdOver, plus ColdSlack.
	ColdOver, ColdSlack float64
	Disabled            []Feature // by the operator, not in the settings file
}

// heapShare is the share of a process's memory from which on the garbage collector
// runs as often as needed. The rest is for stacks, the C library, bytes that have
// been received but not read, and what is allocated during a collection.
const heapShare = 0.6

// garbagePercent is how much garbage may be in memory, in percent of what is in use.
// Hosts use a small part of their memory, and collections take processor time.
const garbagePercent = 200

// LimitMemory makes the garbage collector keep the process below its memory.
func (s Settings) LimitMemory() {
	if s.Memory > 0 {
		debug.SetGCPercent(garbagePercent)
		debug.SetMemoryLimit(int64(float64(s.Memory) * heapShare))
	}
}
