package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
)

//go:generate go tool stringer -type=Kind -linecomment -output=kind_string.go

// Kind is the kind of fault or planned work of a step.
type Kind int

// Kinds.
const (
	KillHost          Kind = iota // kill-host
	StopHost                      // stop-host
	PauseHost                     // pause-host
	ReloadHost                    // reload-host
	CrashServer                   // crash-server
	HangServer                    // wedge-server
	DrainServer                   // drain-server
	LoseResponses                 // lose-answers
	MismatchResponses             // cross-answers
	ShedRequests                  // shed-requests
	StoreBusy                     // store-busy
	StoreHang                     // store-silent
	StoreLoseAcks                 // store-loses-acks
	StoreStopWatches              // store-deaf
	StoreCompact                  // store-compact
	StoreLink                     // link-to-store
	ServerLink                    // link-to-server
	Configure                     // configure
	LeaveServer                   // leave-server
	PauseServer                   // pause-server
	StoreRestore                  // store-restore
	RepeatResponses               // repeat-answers
	Evacuate                      // evacuate
	numKinds                      // kinds
)

// targetsHost reports whether the target of a step is an entry host.
func (k Kind) targetsHost() bool { return k <= ReloadHost || k == StoreLink }

// targetsServer reports whether the target of a step is a backend server.
func (k Kind) targetsServer() bool {
	return k >= CrashServer && k <= ShedRequests || k == ServerLink || k == LeaveServer || k == PauseServer || k == RepeatResponses
}

// planned reports whether a step is planned work, which must not affect callers.
func (k Kind) planned() bool {
	return k == StopHost || k == ReloadHost || k == DrainServer || k == Configure || k == LeaveServer || k == PauseServer || k == Evacuate
}

const (
	// startDelay is the time before the first step, in which the first requests
	// of the callers are served.
	startDelay = 2 * clock.Second
	// minFaultTime and maxFaultTime limit the duration of a fault, so that
	// faults are both shorter and longer than a lease.
	minFaultTime, maxFaultTime = 200 * clock.Millisecond, 5 * clock.Second
	// maxSeriesSteps is the largest number of steps in a series.
	maxSeriesSteps = 3
	// maxStepGap is the longest time between two steps of a series.
	maxStepGap = 400 * clock.Millisecond
	// maxSeriesGap is the longest time between two series.
	maxSeriesGap = 1500 * clock.Millisecond
	// maxRestoreGap is the longest time between two steps that restore the store.
	maxRestoreGap = 6 * clock.Second
	// maxCount is the largest number of responses that are lost or mismatched, or
	// of requests that are shed, in a step.
	maxCount = 20
	// maxRepeatGap is the longest time between two steps of RepeatResponses.
	maxRepeatGap = 4 * clock.Second
)

// plannedOnlyEvery says that every n-th seed has planned work only. Time limits
// that apply only without faults are checked with these seeds.
const plannedOnlyEvery = 4

// allKindsFrom is the first seed whose plan may have steps of all kinds. Lower
// ones have the kinds, and so the plans, with which some of them have failed.
const allKindsFrom = 100

// minDrainTime is added to the time for which a server drains, so that it is
// longer than the time limit for new requests to the server.
const minDrainTime = 4 * clock.Second

// Step is a fault or planned work, which is reverted after its duration.
type Step struct {
	Kind     Kind
	At       clock.Time // from the start of the plan
	Duration clock.Span
	Target   int // index of the host or server
	Mode     Mode
	Count    int // of responses or requests
}

// End returns the time at which the step is reverted.
func (s Step) End() clock.Time { return s.At.Add(s.Duration) }

// Plan returns the random steps of a seed. Steps come in series and overlap. Steps
// that restore the store are drawn apart from the others, so that the others stay
// as they were when a seed failed.
func Plan(seed uint64, hosts, servers int, length clock.Span) (steps []Step) {
	r := rand.New(rand.NewPCG(seed, seed>>1))
	from := kindsOf(seed)
	between := func(lo, hi clock.Span) clock.Span { return lo + clock.Span(r.Int64N(int64(hi-lo)+1)) }
	for at := clock.Time(0).Add(startDelay); at < clock.Time(0).Add(length); at = at.Add(between(0, maxSeriesGap)) {
		for range 1 + r.IntN(maxSeriesSteps) {
			s := Step{Kind: from[r.IntN(len(from))], At: at, Duration: between(minFaultTime, maxFaultTime), Mode: Mode(1 + r.IntN(int(numModes)-1)), Count: 1 + r.IntN(maxCount)}
			switch {
			case s.Kind.targetsHost():
				s.Target = r.IntN(hosts)
			case s.Kind.targetsServer():
				s.Target = r.IntN(servers)
			}
			switch s.Kind {
			case ReloadHost, StoreCompact, Configure:
				s.Duration = 0
			case DrainServer, LeaveServer:
				s.Duration += minDrainTime
			}
			steps = append(steps, s)
			at = at.Add(between(0, maxStepGap))
		}
	}
	if hasRestores(seed) {
		steps = append(steps, planRestores(seed, length)...)
	}
	steps = append(steps, planRepeats(seed, servers, length)...)
	steps = append(steps, planEvacuations(seed, length)...)
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return steps
}

// hasRestores reports whether a plan restores the store. Seeds that failed before
// there were restores don't.
func hasRestores(seed uint64) bool { return seed%8 == 3 || seed%8 == 6 }

// planRestores returns the steps of a seed that restore the store. They overlap
// with the others and with each other.
func planRestores(seed uint64, length clock.Span) (steps []Step) {
	r := rand.New(rand.NewPCG(seed, ^seed))
	between := func(lo, hi clock.Span) clock.Span { return lo + clock.Span(r.Int64N(int64(hi-lo)+1)) }
	for at := clock.Time(0).Add(startDelay + between(0, maxRestoreGap)); at < clock.Time(0).Add(length); at = at.Add(between(0, maxRestoreGap)) {
		steps = append(steps, Step{Kind: StoreRestore, At: at, Duration: between(minFaultTime, maxFaultTime), Mode: Delay, Count: 1})
	}
	return steps
}

// planRepeats returns the steps of RepeatResponses. They are drawn apart from the
// others, whose schedules seeds that once failed depend on.
func planRepeats(seed uint64, servers int, length clock.Span) (steps []Step) {
	if seed%plannedOnlyEvery == 0 {
		return nil
	}
	r := rand.New(rand.NewPCG(seed, ^seed))
	for at := clock.Time(0).Add(startDelay); at < clock.Time(0).Add(length); at = at.Add(clock.Span(1 + r.Int64N(int64(maxRepeatGap)))) {
		steps = append(steps, Step{
			Kind: RepeatResponses, At: at, Duration: minFaultTime + clock.Span(r.Int64N(int64(maxFaultTime-minFaultTime))),
			Target: r.IntN(servers), Mode: Delay, Count: 1 + r.IntN(maxCount),
		})
	}
	return steps
}

// kindsOf returns the kinds that the steps of a seed may have, apart from those of
// planRestores, planRepeats and planEvacuations.
func kindsOf(seed uint64) (all []Kind) {
	kinds := StoreRestore
	if seed < allKindsFrom {
		kinds = LeaveServer
	}
	for k := range kinds {
		if k.planned() || seed%plannedOnlyEvery != 0 {
			all = append(all, k)
		}
	}
	return all
}
