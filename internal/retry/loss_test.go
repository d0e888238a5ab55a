package retry

import (
	"fmt"
	"math"
	"testing"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"github.com/matryer/is"
)

// losingQuarantine returns a Quarantine with some listed servers.
func losingQuarantine(servers int) *Quarantine {
	q := NewQuarantine(QuarantineConfig{MinCrashes: 3, CheckLosses: true})
	for i := range servers {
		q.SetProcess(0, keys.Server(fmt.Sprint("s", i)), "bookings", 1)
	}
	return q
}

// Guards against losses that use memory without a limit, own ones and those that other
// hosts send.
func TestLossesAreBounded(t *testing.T) {
	is := is.New(t)
	const servers = 3 * maxLosses
	q := losingQuarantine(servers)
	sig := Signature{Op: "a"}
	for i := range servers {
		a := q.Start(clock.Time(i), keys.Server(fmt.Sprint("s", i)), sig)
		q.ServerLost(clock.Time(i), clock.Time(i), a.Ticket, Unreachable)
	}
	is.Equal(len(q.losses), maxLosses)
	is.Equal(len(q.records[sig].losses), maxRunLosses)
	is.Equal(len(q.servers), 0)
	var list []Loss
	var runs []RunLoss
	for i := range servers {
		l := Loss{Process: Process(i + 1), Kind: Refused, Age: clock.Span(i)}
		list, runs = append(list, l), append(runs, RunLoss{Loss: l, Alone: true})
	}
	q.ImportLosses(servers, list)
	q.Import(servers, []SuspectRecord{{Signature: sig, Crashes: 1, Remaining: DefaultDuration, Losses: runs}})
	is.Equal(len(q.losses), maxLosses)
	is.Equal(len(q.records[sig].losses), maxRunLosses)
	is.True(len(q.ExportLosses(servers, 48)) <= 48)
}

// Guards against losses that no host can have sent and that change something.
func TestInvalidLosses(t *testing.T) {
	for _, l := range []Loss{
		{Process: 1, Kind: numLossKinds}, {Process: 1, Kind: -1}, {Process: 1, Age: -1}, {Process: 1, Age: math.MaxInt64}, {Age: 5},
	} {
		t.Run(fmt.Sprint(l), func(t *testing.T) {
			is := is.New(t)
			q := losingQuarantine(1)
			q.ImportLosses(0, []Loss{l})
			is.Equal(len(q.losses), 0)
		})
	}
}

// Guards against a loss of many servers after which all requests that were in flight
// have to run alone, and against a suspect of few losses that doesn't.
func TestSuspectsOfMassLoss(t *testing.T) {
	tests := []struct {
		servers int
		kind    LossKind
		alone   bool
	}{
		{1, Refused, true},
		{massLosses, Refused, true},
		{massLosses + 1, Refused, false},
		{20, Refused, false},
		{1, Unreachable, false},
		{1, Alive, false},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt.servers, tt.kind), func(t *testing.T) {
			is := is.New(t)
			q := losingQuarantine(30)
			for i := range tt.servers {
				a := q.Start(0, keys.Server(fmt.Sprint("s", i)), Signature{Op: "a", Body: uint64(i)})
				is.Equal(len(q.ServerLost(10, 10, a.Ticket, tt.kind)), 0)
			}
			is.True(q.Start(20, "s29", Signature{Op: "other"}).Run)
			is.Equal(q.Start(20, "s29", Signature{Op: "a"}).Wait, tt.alone)
		})
	}
}

// Guards against an attempt that started after the loss of its server, or ended before
// it, and is taken for one that was in flight.
func TestOnlyRequestsInFlightAreLost(t *testing.T) {
	is := is.New(t)
	q := losingQuarantine(1)
	before, first, second := q.Start(0, "s0", Signature{Op: "before"}), q.Start(0, "s0", Signature{Op: "first"}), q.Start(0, "s0", Signature{Op: "second"})
	q.End(5, before.Ticket, false)
	later := q.Start(12, "s0", Signature{Op: "later"})
	q.ServerLost(15, 10, first.Ticket, Refused)
	q.ServerLost(16, 10, second.Ticket, Refused) // is recorded already
	q.End(17, later.Ticket, false)
	var ops []string
	for _, e := range q.Export(20) {
		ops = append(ops, e.Op)
		is.Equal(len(e.Losses), 1)
		is.True(!e.Losses[0].Alone)
		is.Equal(e.Losses[0].Loss.Age, clock.Span(10))
		is.Equal(e.Losses[0].Ran, clock.Span(10))
	}
	is.Equal(ops, []string{"first", "second"})
}

// Guards against the state of servers that have left, which were reserved for a suspect,
// and stay for the life of the process.
func TestServerRemovedWhileReserved(t *testing.T) {
	is := is.New(t)
	q := NewQuarantine(QuarantineConfig{})
	q.servers["a"] = &serverState{reservedUntil: clock.Time(clock.Minute)}
	adm := q.Start(0, "b", Signature{Op: "GET h"})
	q.servers["b"].reservedUntil = clock.Time(clock.Minute)
	q.RemoveProcess("a")
	q.RemoveProcess("b")
	q.End(10, adm.Ticket, true)
	is.Equal(len(q.servers), 0)
}
