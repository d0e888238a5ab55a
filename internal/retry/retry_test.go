package retry

import (
	"testing"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"github.com/matryer/is"
)

// Guards against a result with another outcome or reason than the design states.
func TestOutcome(t *testing.T) {
	for _, tt := range outcomeTests {
		is := is.New(t)
		o, why := Outcome(tt.r)
		is.Equal(o, tt.want)
		is.Equal(why, tt.why)
	}
	o, _ := Outcome(Complete{})
	is.New(t).Equal(o, answer.Answered)
}

// Guards against backoffs that don't grow, or that differ with the same seed, and
// against redirects that are delayed or take a token of the budget.
func TestBackoff(t *testing.T) {
	is := is.New(t)
	delays := func() (ds []clock.Span) {
		s := New(Config{MaxTokens: 9, MaxAttempts: 8, BaseBackoff: 8, MaxBackoff: 50, Seed: 5, MaxRedirects: 1})
		c := s.Call(0, Op{}, 0)
		for range 5 {
			ds = append(ds, s.Decide(0, &c, DialFailed{}).Delay)
		}
		d := s.Decide(0, &c, WrongDispatcher{})
		is.True(d.Retry)
		is.Equal(d.Delay, clock.Span(0))
		is.Equal(s.Dump().Tokens, 4.0)
		return ds
	}
	ds := delays()
	is.Equal(ds, delays())
	for i, top := range []clock.Span{8, 16, 32, 50, 50} {
		is.True(ds[i] >= top/2 && ds[i] <= top)
	}
}

// Guards against hedges before the 95th percentile, of operations that aren't
// idempotent, or with too few samples.
func TestHedge(t *testing.T) {
	is := is.New(t)
	s := New(Defaults(1))
	for i := range clock.Span(100) {
		c := s.Call(0, Op{Idempotent: true}, 0)
		_, ok := s.HedgeAfter(&c)
		is.Equal(ok, i >= minSamples)
		s.Decide(0, &c, Complete{Duration: i})
	}
	p := s.Dump().P95
	is.True(p >= 94 && p <= 94*5/4)
	c, nonIdempotent := s.Call(0, Op{Idempotent: true}, 0), s.Call(0, Op{}, 0)
	is.True(!s.Hedge(clock.Time(p)-1, &c))
	is.True(!s.Hedge(clock.Time(p), &nonIdempotent))
	is.True(s.Hedge(clock.Time(p), &c))
	is.True(!s.Hedge(clock.Time(p), &c)) // one hedge per request
	is.True(s.Decide(200, &c, Truncated{}).Pending)
	is.Equal(s.Decide(200, &c, Complete{Duration: 200}).Outcome, answer.Answered)
}

// Guards against a histogram whose buckets overlap or leave a gap.
func TestBuckets(t *testing.T) {
	is := is.New(t)
	for d := clock.Span(0); d < 10_000; d++ {
		b := bucket(d)
		is.True(d <= upperBound(b) && (b == 0 || d > upperBound(b-1)))
	}
}

// Guards against suspects that run at a server beside other requests, that are
// never admitted to a busy server, or that remain suspects after they completed
// at another server.
func TestSuspectRunsAlone(t *testing.T) {
	is := is.New(t)
	a, b, other := Signature{Op: "a"}, Signature{Op: "b"}, Signature{Op: "c"}
	q := NewQuarantine(QuarantineConfig{})
	q.Start(0, "s1", a)
	q.Start(0, "s1", b)
	is.Equal(q.ServerCrashed(0, "s1"), nil)

	busy := q.Start(0, "s2", other)
	is.True(q.Start(1, "s2", a).Wait)
	is.True(q.Start(2, "s2", other).Wait) // s2 is reserved for a
	q.End(3, busy.Ticket, true)
	suspectRun := q.Start(4, "s2", a)
	is.True(suspectRun.Run)
	is.True(q.Start(5, "s2", other).Wait)
	is.True(q.Start(5, "s2", b).Wait)
	q.End(6, suspectRun.Ticket, true)
	is.True(q.Start(7+clock.Time(DefaultReservation), "s2", a).Run)     // cleared
	is.True(q.Start(7+clock.Time(DefaultReservation), "s2", other).Run) // beside the cleared request

	again := q.Start(8, "s3", b)
	is.True(again.Run)
	is.Equal(q.ServerCrashed(9, "s3"), []Signature{b})
	is.Equal(q.Start(10, "s1", b).Reason, answer.Quarantined)
	q.End(10, again.Ticket, true) // the ticket is invalid after the crash
	is.Equal(q.Start(11, "s1", b).Reason, answer.Quarantined)
	after := clock.Time(9).Add(DefaultDuration)
	is.True(q.Start(after, "s1", b).Run)
	is.Equal(q.ServerCrashed(after, "s1"), []Signature{b}) // a single further crash
}

// Guards against a suspect whose reservations exclude all other requests from a
// server while a long request is in flight there.
func TestReservationPause(t *testing.T) {
	is := is.New(t)
	suspect, other := Signature{Op: "a"}, Signature{Op: "c"}
	q := NewQuarantine(QuarantineConfig{Reservation: 100})
	q.Start(0, "s1", suspect)
	q.ServerCrashed(0, "s1")
	q.Start(0, "s2", other) // long
	admitted := 0
	for now := clock.Time(1); now <= 1000; now++ {
		is.True(q.Start(now, "s2", suspect).Wait)
		if v := q.Start(now, "s2", other); v.Run {
			admitted++
			q.End(now, v.Ticket, true)
		}
	}
	is.Equal(admitted, 800)
}

// Guards against a record that two hosts keep alive by exchanging it, a cleared
// record that an import makes a suspect's again, and a table that grows beyond
// its size.
func TestExchangeRecords(t *testing.T) {
	is := is.New(t)
	sig := Signature{Op: "a"}
	x, y := NewQuarantine(QuarantineConfig{}), NewQuarantine(QuarantineConfig{TableSize: 2})
	x.Start(0, "s", sig)
	x.ServerCrashed(0, "s")
	for now := clock.Time(0); now < 2*clock.Time(DefaultDuration); now += 100 {
		y.Import(now+100, x.Export(now)) // transfer takes 100 ms
		x.Import(now+100, y.Export(now))
	}
	is.Equal(len(x.Export(2*clock.Time(DefaultDuration))), 0)

	now := 2 * clock.Time(DefaultDuration)
	x.Start(now, "s", sig)
	x.ServerCrashed(now, "s")
	suspected := x.Export(now)
	y.Import(now, suspected)
	is.Equal(y.Export(now)[0].Crashes, 1)
	y.End(now, y.Start(now, "s", sig).Ticket, true)
	y.Import(now, suspected)
	is.Equal(y.Export(now)[0].Crashes, 0)
	x.Import(now, y.Export(now))
	is.Equal(x.Export(now)[0].Crashes, 0)

	y.Import(now, []SuspectRecord{{Signature: Signature{Op: "q"}, Crashes: 2, Quarantined: true, Remaining: DefaultDuration}})
	for i := range 5 {
		y.Import(now, []SuspectRecord{{Signature: Signature{Op: "b", Key: keys.Hash(i)}, Crashes: 1, Remaining: DefaultDuration}})
	}
	is.Equal(len(y.Export(now)), 2)
	is.True(y.Export(now)[1].Quarantined) // suspects are evicted first
}

func BenchmarkDecide(b *testing.B) {
	s := New(Defaults(1))
	b.ReportAllocs()
	for b.Loop() {
		c := s.Call(0, Op{Idempotent: true}, 0)
		s.Decide(0, &c, Complete{Duration: 3})
	}
}

func BenchmarkQuarantine(b *testing.B) {
	q := NewQuarantine(QuarantineConfig{})
	for i := range 5 {
		q.Start(0, "s", Signature{Op: "book", Key: keys.Hash(i)})
	}
	b.ReportAllocs()
	for b.Loop() {
		q.End(0, q.Start(0, "s", Signature{Op: "book", Key: 9}).Ticket, true)
	}
}
