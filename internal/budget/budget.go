// Package budget bounds the memory of all bodies that a process holds: requests of
// callers, responses of servers, and responses that callers read slowly.
//
// Each body has a Hold in the account of the caller address or server that it comes
// from or goes to. When the bodies exceed the budget, a body of the account with the
// most is given up: the longest of those without progress, or else the longest. If no
// account has much, accounts with a body without progress come first.
// Bodies that are kept, such as those of requests that were sent to a server, are
// never given up.
//
// # Usage
//
//	b := budget.New(64 << 20)
//	h := b.NewHold(address, func() { conn.SetReadDeadline(past) })
//	defer h.Close()
//	for h.Add(len(segment)) { /* read the segment */ }
//	if h.Keep() { /* complete */ }
package budget

import (
	"sync"
	"time"
)

const (
	// smallBytes is the length up to which a body may use the reserve, which is
	// 1/reserveShare of the budget: long bodies that are kept must not have all short
	// ones refused.
	smallBytes   = 64 << 10
	reserveShare = 16
	// StallTime is the time without progress after which a body is given up before
	// others of its account.
	StallTime = time.Second
	// reservableShare is the part of the budget, as a divisor, up to which Reserve
	// succeeds.
	reservableShare = 2
	// stallScanPeriod is the time for which bodies without progress aren't looked for
	// after none was found, which takes time with the number of all.
	stallScanPeriod = StallTime / 10
	// smallAccountShare is the part of the budget, as a divisor, up to which an account is
	// small: many callers that hold little each use up the budget.
	smallAccountShare = 8
	// recoveredShare is the part of the budget below which the pressure has ended.
	recoveredShare = 2
)

// Budget bounds the memory of the bodies that share it.
type Budget struct {
	mu       sync.Mutex
	max      int64
	used     int64
	leaving  int64 // bytes of given up holds that aren't closed, part of used
	accounts map[any]*account
	open     int // holds that aren't closed
	// waiting are the holds that wait for bytes, those that may use the reserve and the
	// others. All of their bytes are part of used, so they go on together.
	waiting   [2]map[*Hold]chan<- struct{}
	noStalled time.Time // when no body without progress was found
	pressed   bool
	pressure  func(bool)
}

// account has the open holds of a caller address or server.
type account struct {
	id    any
	bytes int64 // of holds that aren't given up
	holds map[*Hold]struct{}
}

// New returns a Budget of a number of bytes.
func New(maxBytes int64) *Budget {
	b := &Budget{max: maxBytes, accounts: make(map[any]*account), pressure: func(bool) {}}
	for i := range b.waiting {
		b.waiting[i] = make(map[*Hold]chan<- struct{})
	}
	return b
}

// OnPressure has a function called when bodies begin to be given up for want of
// memory, and when that has ended. It must not block or use the Budget. OnPressure is
// called before the first hold is opened.
func (b *Budget) OnPressure(f func(on bool)) { b.pressure = f }

// Used returns the bytes of all holds.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Open returns the number of holds that aren't closed.
func (b *Budget) Open() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.open
}

// Hold is the memory of one body.
type Hold struct {
	budget   *Budget
	closed   bool
	account  *account
	bytes    int64
	kept     bool
	givenUp  bool
	stalled  bool // it was given up without progress for StallTime
	progress time.Time
	giveUp   func()
}

// NewHold returns a hold in an account. giveUp is called when the body is given up
// and has to end its reading or writing; it must not block or use the Budget.
func (b *Budget) NewHold(id any, giveUp func()) *Hold {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &Hold{budget: b, giveUp: giveUp, progress: time.Now()}
	b.join(h, id)
	b.open++
	return h
}

// Reserve returns a hold of a number of bytes that is kept, or nil if the budget has
// few bytes left: what improves speed alone must not have bodies given up.
func (b *Budget) Reserve(id any, n int64) *Hold {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.used+n > b.max/reservableShare {
		return nil
	}
	h := &Hold{budget: b, kept: true, bytes: n}
	b.join(h, id)
	b.open++
	b.used += n
	return h
}

// join adds a hold to an account. b.mu is held.
func (b *Budget) join(h *Hold, id any) {
	a := b.accounts[id]
	if a == nil {
		a = &account{id: id, holds: make(map[*Hold]struct{})}
		b.accounts[id] = a
	}
	a.holds[h] = struct{}{}
	a.bytes += h.bytes
	h.account = a
}

// leave removes a hold from its account. b.mu is held.
func (b *Budget) leave(h *Hold) {
	if h.account == nil {
		return
	}
	a := h.account
	h.account = nil
	delete(a.holds, h)
	a.bytes -= h.bytes
	if len(a.holds) == 0 {
		delete(b.accounts, a.id)
	}
}

// Add adds a number of bytes. It waits until bodies that were given up have released
// theirs. It reports whether the body may go on: not after Close, which may come from
// another goroutine.
func (h *Hold) Add(n int64) bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.givenUp || h.closed {
		return false
	}
	h.progress = time.Now()
	h.bytes += n
	h.account.bytes += n
	b.used += n
	limit := b.max
	if h.bytes <= smallBytes {
		limit += b.max / reserveShare
	}
	for !h.givenUp && !h.closed && b.used > limit {
		if b.used-b.leaving > limit {
			if v := b.victim(); v != nil {
				b.end(v)
			} else {
				b.end(h) // it is kept, and so are all others
			}
			continue
		}
		b.wait(h)
	}
	return !h.givenUp && !h.closed
}

// Indexes of Budget.waiting.
const (
	shortWaiting = iota
	longWaiting
)

// wait waits until the bytes of a hold are available or it is given up. b.mu is held, but
// not while it waits.
func (b *Budget) wait(h *Hold) {
	i := longWaiting
	if h.bytes <= smallBytes {
		i = shortWaiting
	}
	wake := make(chan struct{})
	b.waiting[i][h] = wake
	b.mu.Unlock()
	<-wake
	b.mu.Lock()
}

// wake wakes a hold if it waits. b.mu is held.
func (b *Budget) wake(h *Hold) {
	for _, waiting := range b.waiting {
		if c, ok := waiting[h]; ok {
			delete(waiting, h)
			close(c)
		}
	}
}

// wakeOne wakes a hold of an index of waiting. b.mu is held.
func (b *Budget) wakeOne(i int) {
	for h := range b.waiting[i] {
		b.wake(h)
		return
	}
}

// wakeAll wakes the holds of an index of waiting. b.mu is held.
func (b *Budget) wakeAll(i int) {
	for h, c := range b.waiting[i] {
		delete(b.waiting[i], h)
		close(c)
	}
}

// Release releases a number of bytes.
func (h *Hold) Release(n int64) {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed || h.givenUp {
		return // Close releases all
	}
	h.bytes -= n
	h.account.bytes -= n
	b.used -= n
	b.notifyReleased()
}

// Progress records that the body was read or written further without a change of its
// memory.
func (h *Hold) Progress() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.progress = time.Now()
}

// victim returns the hold that is to be given up, or nil if all are kept: that of the
// account with the most, or if all accounts are small, of the one with the most among
// those that have a body without progress. b.mu is held.
func (b *Budget) victim() *Hold {
	now := time.Now()
	v := b.mostOf(now, func(*Hold) bool { return true })
	if v == nil || v.account.bytes >= b.max/smallAccountShare || now.Sub(b.noStalled) < stallScanPeriod {
		return v
	}
	if stalled := b.mostOf(now, func(h *Hold) bool { return h.stalled }); stalled != nil {
		return stalled
	}
	b.noStalled = now
	return v
}

// mostOf returns the hold that the account with the most would give up first, among
// the accounts for which that hold is acceptable. b.mu is held.
func (b *Budget) mostOf(now time.Time, acceptable func(*Hold) bool) (v *Hold) {
	for _, a := range b.accounts {
		if v != nil && a.bytes <= v.account.bytes {
			continue
		}
		if h := a.victim(now); h != nil && acceptable(h) {
			v = h
		}
	}
	return v
}

// victim returns the hold of the account that is to be given up first. Giving up
// short ones without progress would release little.
func (a *account) victim(now time.Time) (v *Hold) {
	for h := range a.holds {
		if h.kept {
			continue
		}
		h.stalled = h.bytes > smallBytes && now.Sub(h.progress) > StallTime
		if v == nil || h.stalled && !v.stalled || h.stalled == v.stalled && h.bytes > v.bytes {
			v = h
		}
	}
	return v
}

// end gives a hold up for want of memory. b.mu is held.
func (b *Budget) end(h *Hold) {
	if !b.pressed {
		b.pressed = true
		b.pressure(true)
	}
	b.cancel(h)
}

// cancel gives a hold up. b.mu is held.
func (b *Budget) cancel(h *Hold) {
	h.givenUp = true
	b.leaving += h.bytes
	b.leave(h)
	h.giveUp()
	b.wake(h)
}

// Cancel gives the body up, unless it is kept or closed.
func (h *Hold) Cancel() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.account != nil && !h.kept {
		h.budget.cancel(h)
	}
}

// Keep protects a complete body from being given up. It returns false if it was given
// up before.
func (h *Hold) Keep() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.kept = true
	return !h.givenUp
}

// Move moves a body that was kept to another account, where it may be given up.
func (h *Hold) Move(id any, giveUp func()) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if h.account == nil {
		return
	}
	h.budget.leave(h)
	h.kept, h.giveUp, h.progress = false, giveUp, time.Now()
	h.budget.join(h, id)
}

// GivenUp reports whether the body was given up, and whether it had made no progress
// for StallTime.
func (h *Hold) GivenUp() (givenUp, stalled bool) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.givenUp, h.givenUp && h.stalled
}

// Close releases the bytes. It may be called again, and for nil.
func (h *Hold) Close() {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return
	}
	h.closed = true
	b.wake(h)
	b.open--
	b.leave(h)
	b.used -= h.bytes
	if h.givenUp {
		b.leaving -= h.bytes
	}
	b.notifyReleased()
}

// notifyReleased wakes the holds whose bytes are available. Those that have to go on
// waiting aren't woken, as there may be thousands, but for one that has to give up another
// body. b.mu is held.
func (b *Budget) notifyReleased() {
	for i, limit := range [...]int64{shortWaiting: b.max + b.max/reserveShare, longWaiting: b.max} {
		switch {
		case b.used <= limit:
			b.wakeAll(i)
		case b.used-b.leaving > limit:
			b.wakeOne(i)
		}
	}
	if b.pressed && b.used < b.max/recoveredShare {
		b.pressed = false
		b.pressure(false)
	}
}
