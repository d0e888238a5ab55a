package dedup

import (
	"encoding/json"
	"testing"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"github.com/matryer/is"
)

var firstFence = keys.NewFence(1, 1)

func newCovered(cfg Config) *State {
	s := New(cfg)
	s.SetFloor(keys.FullRange(), firstFence, epoch)
	return s
}

// Guards against wrong limits for the time of an id, and against the outcome "not
// run" for an id that may have run.
func TestBeginLimits(t *testing.T) {
	v4 := makeID(epoch+1, 1)
	v4[6] = 0x40
	tests := []struct {
		name string
		id   ID
		wall WallTime
		want Decision
		why  answer.Reason
	}{
		{"new", makeID(epoch+1, 1), epoch + 1, Run, answer.ReasonNone},
		{"at the floor", makeID(epoch, 1), epoch + 1, Unknown, answer.EarlierAttempt},
		{"at the floor and in the future", makeID(epoch, 1), epoch - 1000, Unknown, answer.EarlierAttempt},
		{"250 ms ahead", makeID(epoch+251, 1), epoch + 1, Run, answer.ReasonNone},
		{"251 ms ahead", makeID(epoch+252, 1), epoch + 1, Refused, answer.BadRequestID},
		{"9 min old", makeID(epoch+1, 1), epoch + 540_001, Run, answer.ReasonNone},
		{"more than 9 min old", makeID(epoch+1, 1), epoch + 540_002, Unknown, answer.EarlierAttempt},
		{"without a time", v4, epoch + 1, Refused, answer.BadRequestID},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			v := newCovered(Config{}).Begin(0, tt.wall, tt.id, 1, 1)
			is.Equal(v.Decision, tt.want)
			is.Equal(v.Reason, tt.why)
		})
	}
	is.New(t).Equal(New(Config{}).Begin(0, epoch, makeID(epoch, 1), 1, 1).Decision, Unknown) // no hash is covered
}

// Guards against a repeated request that runs, that gets another response than the
// first request, or that is not held while the first request is in flight.
func TestRepeat(t *testing.T) {
	is := is.New(t)
	s := newCovered(Config{MaxResponseBytes: 4})
	id := makeID(epoch+1, 1)
	begin := func(d Digest) Verdict { return s.Begin(0, epoch+1, id, 1, d) }
	first := begin(1)
	is.Equal(begin(1).Decision, Wait)
	is.Equal(begin(2), Verdict{Decision: Refused, Reason: answer.BadRequestID})
	n, ok := s.Finish(0, first.Token, answer.NotRun, Response{})
	is.True(ok)
	is.Equal(n, 1)
	second := begin(1)
	is.Equal(second.Decision, Run) // the id was freed
	_, ok = s.Finish(0, first.Token, answer.NotRun, Response{})
	is.True(!ok) // the token of the earlier run has no effect
	is.Equal(begin(1).Decision, Wait)
	s.Finish(0, second.Token, answer.Answered, Response{Status: 201, Body: []byte("four")})
	v := begin(1)
	is.Equal(v.Decision, Replay)
	is.Equal(v.Response.Status, 201)

	id = makeID(epoch+1, 2)
	s.Finish(0, begin(1).Token, answer.Answered, Response{Body: []byte("large")})
	is.Equal(begin(1), Verdict{Decision: Unknown, Reason: answer.EarlierAttempt})
}

// Guards against unbounded memory, and against an evicted or expired id that runs
// again. Eviction may raise the floor only of the record's own range.
func TestEviction(t *testing.T) {
	is := is.New(t)
	s := newCovered(Config{MaxBytes: 3 * recordOverheadBytes})
	halves := keys.FullRange().Divide(2)
	is.True(s.SetFloor(halves[1], keys.NewFence(1, 2), epoch))
	for n := range uint16(4) {
		v := s.Begin(0, epoch+10, makeID(epoch+WallTime(n)+5, n), halves[0].Lo(), 1)
		s.Finish(0, v.Token, answer.Answered, Response{})
	}
	is.Equal(s.Records(), 3)
	is.Equal(s.Begin(0, epoch+10, makeID(epoch+5, 0), halves[0].Lo(), 1).Decision, Unknown)
	is.Equal(s.Begin(0, epoch+10, makeID(epoch+5, 9), halves[1].Lo(), 1).Decision, Run)
	at := clock.Time(DefaultRetention)
	is.Equal(s.Begin(at, epoch+10, makeID(epoch+8, 3), halves[0].Lo(), 1).Decision, Unknown) // the wall clock has not advanced
	is.Equal(s.Counts().Expired, uint64(3))
}

// Guards against records or floors that are lost in a transfer, and against a
// delayed batch that covers a range again with an old floor.
func TestTransfer(t *testing.T) {
	is := is.New(t)
	a, b := newCovered(Config{}), New(Config{})
	id, unfinished := makeID(epoch+1, 1), makeID(epoch+1, 2)
	v := a.Begin(0, epoch+1, id, 1, 1)
	a.Finish(0, v.Token, answer.Answered, Response{Status: 200, Body: []byte("x")})
	a.Begin(0, epoch+1, unfinished, 1, 1)

	raw, err := json.Marshal(a.Export(keys.FullRange(), firstFence))
	is.NoErr(err)
	var batch Batch
	is.NoErr(json.Unmarshal(raw, &batch))
	is.True(b.Import(0, batch))
	is.Equal(string(b.Begin(0, epoch+1, id, 1, 1).Response.Body), "x")
	is.Equal(b.Begin(0, epoch+1, unfinished, 1, 1).Decision, Unknown)
	is.Equal(b.Begin(0, epoch+1, unfinished, 1, 2).Decision, Unknown)       // may have run with this content
	is.Equal(b.Begin(0, epoch+1, makeID(epoch, 3), 1, 1).Decision, Unknown) // the floor was transferred
	is.Equal(b.Begin(0, epoch+1, makeID(epoch+1, 3), 1, 1).Decision, Run)

	b.Export(keys.FullRange(), keys.NewFence(1, 2))
	is.True(!b.Import(0, batch))
	is.True(!b.SetFloor(keys.FullRange(), firstFence, epoch))
	is.Equal(b.Begin(0, epoch+1, makeID(epoch+1, 4), 1, 1).Reason, answer.NotDispatcher)
	is.True(a.SetFloor(keys.FullRange(), keys.NewFence(1, 3), epoch+500))
	a.Uncover(keys.FullRange(), keys.NewFence(1, 3))
	is.Equal(a.Begin(0, epoch+1, makeID(epoch+501, 5), 1, 1).Reason, answer.NotDispatcher)
	is.Equal(len(a.Dump().Coverage), 0)
}

func BenchmarkBeginFinish(b *testing.B) {
	s := newCovered(Config{MaxRecords: 1 << 14})
	b.ReportAllocs()
	for i := range b.N {
		wall := epoch + 1 + WallTime(i/8)
		id := makeID(wall, uint16(i))
		v := s.Begin(clock.Time(i/8), wall, id, keys.Hash(i), 1)
		if v.Decision != Run {
			b.Fatalf("%v", v)
		}
		s.Finish(clock.Time(i/8), v.Token, answer.Answered, Response{Status: 200})
	}
}

func BenchmarkReplay(b *testing.B) {
	s := newCovered(Config{})
	id := makeID(epoch+1, 1)
	s.Finish(0, s.Begin(0, epoch+1, id, 1, 1).Token, answer.Answered, Response{Status: 200})
	b.ReportAllocs()
	for b.Loop() {
		if s.Begin(0, epoch+1, id, 1, 1).Decision != Replay {
			b.Fatal("not replayed")
		}
	}
}
