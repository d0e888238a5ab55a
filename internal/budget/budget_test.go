package budget

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

const mb = 1 << 20

// spec describes a hold: its account, its bytes, and whether it is kept or has made
// no progress for StallTime.
type spec struct {
	account string
	bytes   int64
	kept    bool
	stalled bool
}

// openHolds opens the holds, which write their index to ended when they are given up.
func openHolds(b *Budget, specs []spec, ended chan<- int) (holds []*Hold) {
	for i, s := range specs {
		h := b.NewHold(s.account, func() { ended <- i })
		h.Add(s.bytes)
		if s.kept {
			h.Keep()
		}
		holds = append(holds, h)
	}
	time.Sleep(StallTime + time.Millisecond)
	for i, s := range specs {
		if !s.stalled {
			holds[i].Progress()
		}
	}
	return holds
}

// small returns holds of different accounts with the same number of bytes, all with
// progress.
func small(n int, bytes int64) (specs []spec) {
	for i := range n {
		specs = append(specs, spec{account: fmt.Sprint("small-", i), bytes: bytes})
	}
	return specs
}

// adder adds bytes, which may have to wait.
type adder struct {
	hold   *Hold
	bytes  int64
	result chan<- bool
}

func (a *adder) run() { a.result <- a.hold.Add(a.bytes) }

// Guards against a budget that gives up the bodies of others than the account with
// the most, one with progress before one without, or one that is kept.
func TestVictim(t *testing.T) {
	tests := []struct {
		name   string
		specs  []spec
		add    spec
		victim int // len(specs) means the one that is added
	}{
		{"longest of the account with the most", []spec{{"a", 50 * mb, false, true}, {"b", 20 * mb, false, false}, {"b", 22 * mb, false, false}}, spec{"b", 9 * mb, false, false}, 2},
		{"of another account", []spec{{"a", 50 * mb, false, false}, {"b", 40 * mb, false, true}}, spec{"c", 30 * mb, false, false}, 0},
		{"without progress first", []spec{{"a", 50 * mb, false, false}, {"a", 40 * mb, false, true}}, spec{"b", 30 * mb, false, false}, 1},
		{"not a kept one", []spec{{"a", 60 * mb, true, true}, {"a", 1 * mb, false, false}, {"b", 35 * mb, false, true}}, spec{"b", 5 * mb, false, false}, 1},
		{"next account if all of the first are kept", []spec{{"a", 60 * mb, true, true}, {"b", 35 * mb, false, true}}, spec{"c", 20 * mb, false, false}, 1},
		{"without progress first if all accounts are small", append(small(9, 10*mb), spec{"s", 8 * mb, false, true}), spec{"c", 9 * mb, false, false}, 9},
		{"the small account with the most without progress", append(small(7, 11*mb), spec{"s", 8 * mb, false, true}, spec{"t", 9 * mb, false, true}), spec{"c", 9 * mb, false, false}, 8},
		{"of the account with the most if it isn't small", append(small(6, 10*mb), spec{"s", 8 * mb, false, true}, spec{"l", 13 * mb, false, false}), spec{"c", 20 * mb, false, false}, 8},
		{"the one that is added", []spec{{"a", 60 * mb, true, true}, {"b", 35 * mb, true, true}}, spec{"c", 20 * mb, false, false}, 2},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := New(100 * mb)
				ended := make(chan int, 10)
				holds := openHolds(b, tt.specs, ended)
				added := b.NewHold(tt.add.account, func() { ended <- len(tt.specs) })
				result := make(chan bool, 1)
				a := &adder{hold: added, bytes: tt.add.bytes, result: result}
				go a.run()
				synctest.Wait()
				is.Equal(len(ended), 1)
				victim := <-ended
				is.Equal(victim, tt.victim)
				if victim == len(tt.specs) {
					is.True(!<-result)
					added.Close()
				} else {
					is.Equal(len(result), 0) // waits for the bytes of the other
					givenUp, stalled := holds[victim].GivenUp()
					is.True(givenUp)
					is.Equal(stalled, tt.specs[victim].stalled)
					is.True(!holds[victim].Keep())
					holds[victim].Close()
					is.True(<-result)
				}
				for _, h := range append(holds, added) {
					h.Close()
				}
				is.Equal(b.Used(), int64(0))
				is.Equal(b.Open(), 0)
				is.Equal(len(b.accounts), 0)
			})
		})
	}
}

// Guards against short bodies that are refused because long ones that are kept have
// the whole budget, and against pressure that is reported more than once.
func TestReserve(t *testing.T) {
	is := is.New(t)
	b := New(16 * mb)
	var pressure []bool
	b.OnPressure(func(on bool) { pressure = append(pressure, on) })
	long := b.NewHold("a", func() {})
	is.True(long.Add(16 * mb))
	is.True(long.Keep())
	for range 8 {
		h := b.NewHold("b", func() {})
		is.True(h.Add(smallBytes))
		is.True(h.Keep())
	}
	for range 2 {
		h := b.NewHold("b", func() {})
		is.True(!h.Add(smallBytes + 1))
		h.Close()
	}
	is.Equal(pressure, []bool{true})
	long.Close()
	is.Equal(pressure, []bool{true, false})
}

// Guards against a body that waits for ever because short ones have taken the bytes that
// were released for it.
func TestWaitBesideShortBodies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := New(16 * mb)
		ended := make(chan int, 10)
		first := openHolds(b, []spec{{"a", 10 * mb, false, false}}, ended)[0]
		long := b.NewHold("b", func() { ended <- 1 })
		results := make(chan bool, 200)
		go (&adder{hold: long, bytes: 7 * mb, result: results}).run()
		synctest.Wait()
		is.Equal(<-ended, 0) // the first one, for whose bytes the long one waits
		var holds []*Hold
		for range 9*mb/smallBytes + 4 {
			h := b.NewHold("c", func() { t.Error("a kept body was given up") })
			h.Keep()
			holds = append(holds, h)
			go (&adder{hold: h, bytes: smallBytes, result: results}).run()
		}
		synctest.Wait()
		is.Equal(len(results), 0)
		first.Close()
		synctest.Wait()
		is.Equal(len(results), len(holds)+1)
		is.Equal(<-ended, 1) // the long one, as all others are kept
		for _, h := range append(holds, long) {
			h.Close()
		}
		is.Equal(b.Used(), int64(0))
	})
}

// Guards against a connection that is closed by another goroutine while its reader adds
// bytes, or waits for them.
func TestAddAfterClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := New(mb)
		leaving := b.NewHold("a", func() {})
		is.True(leaving.Add(mb))
		waits := b.NewHold("b", func() {})
		result := make(chan bool, 1)
		go (&adder{hold: waits, bytes: mb / 2, result: result}).run()
		synctest.Wait()
		is.Equal(len(result), 0)
		waits.Close()
		is.True(!<-result)
		is.True(!waits.Add(1))
		leaving.Close()
		is.Equal(b.Used(), int64(0))
	})
}

// Guards against waiting holds that are all woken by each release.
func TestWaitingAreNotWoken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := New(16 * mb)
		kept := b.NewHold("a", func() {})
		is.True(kept.Add(10 * mb))
		is.True(kept.Keep())
		leaving := b.NewHold("b", func() {})
		is.True(leaving.Add(6 * mb))
		results := make(chan bool, 10)
		var holds []*Hold
		for range 10 {
			h := b.NewHold("c", func() {})
			holds = append(holds, h)
			go (&adder{hold: h, bytes: 500 << 10, result: results}).run()
		}
		synctest.Wait()
		is.Equal(len(results), 0)
		before := b.waiting[longWaiting][holds[0]]
		kept.Release(mb / 2) // not enough for them
		synctest.Wait()
		is.Equal(b.waiting[longWaiting][holds[0]], before)
		leaving.Close()
		synctest.Wait()
		is.Equal(len(results), 10)
		for range 10 {
			is.True(<-results)
		}
		for _, h := range append(holds, kept) {
			h.Close()
		}
	})
}

// Guards against a response that stays protected after it was passed on to a caller
// that doesn't read it.
func TestMove(t *testing.T) {
	is := is.New(t)
	b := New(mb)
	h := b.NewHold("server", func() { t.Error("the server's response was given up") })
	is.True(h.Add(mb))
	is.True(h.Keep())
	ended := false
	h.Move("caller", func() { ended = true })
	h.Cancel()
	is.True(ended)
	h.Close()
	h.Close()
	is.Equal(b.Used(), int64(0))
}

// Guards against reserved bytes that have bodies given up or that aren't counted.
func TestReserved(t *testing.T) {
	is := is.New(t)
	b := New(100)
	body := b.NewHold("a", func() { t.Error("the body was given up") })
	is.True(body.Add(30))
	is.True(b.Reserve("b", 21) == nil)
	h := b.Reserve("b", 20)
	is.True(h != nil)
	is.Equal(b.Used(), int64(50))
	h.Cancel() // has no effect, as it is kept
	is.True(body.Add(50))
	h.Close()
	is.Equal(b.Used(), int64(80))
	body.Close()
	is.Equal(b.Open(), 0)
	is.Equal(len(b.accounts), 0)
}

// Guards against bytes that are released twice or not at all: a budget that in the
// end refuses everything or nothing.
func TestAccounting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := New(10 * mb)
		var holds []*Hold
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			step := rapid.IntRange(0, 6).Draw(t, "step")
			if len(holds) == 0 || step == 0 {
				holds = append(holds, b.NewHold(rapid.IntRange(0, 2).Draw(t, "account"), func() {}))
				continue
			}
			h := holds[rapid.IntRange(0, len(holds)-1).Draw(t, "hold")]
			switch step {
			case 1:
				if !h.closed && b.Used() < 9*mb { // no wait without another goroutine
					h.Add(rapid.Int64Range(0, mb).Draw(t, "bytes"))
				}
			case 2:
				h.Keep()
			case 3:
				h.Cancel()
			case 4:
				h.Move(3, func() {})
			case 5:
				h.Close()
			case 6:
				h.Release(rapid.Int64Range(0, h.bytes).Draw(t, "released"))
			}
			var used, accounts int64
			open := 0
			for _, h := range holds {
				if !h.closed {
					used += h.bytes
					open++
				}
			}
			for _, a := range b.accounts {
				accounts += a.bytes
			}
			if used != b.used || open != b.open || accounts+b.leaving != b.used {
				t.Fatalf("%d bytes in %d holds; the budget has %d in %d, %d leaving, %d in accounts", used, open, b.used, b.open, b.leaving, accounts)
			}
		}
	})
}
