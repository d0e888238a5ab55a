package link

import (
	"context"
	"sync"
)

// Budget bounds the memory of the response bodies that are being read, on all
// connections that share it. When they exceed it, the longest one of the server
// with the most is given up: the responses of a server that sends bytes without
// end make room for those of the others.
type Budget struct {
	mu       sync.Mutex
	released *sync.Cond // bytes were released, or a hold was given up
	max      int64
	used     int64
	leaving  int64 // bytes of given up holds that aren't closed, part of used
	holds    map[*hold]struct{}
}

// NewBudget returns a Budget of a number of bytes.
func NewBudget(maxBytes int64) *Budget {
	b := &Budget{max: maxBytes, holds: make(map[*hold]struct{})}
	b.released = sync.NewCond(&b.mu)
	return b
}

// hold is the memory of one response body.
type hold struct {
	budget  *Budget
	pool    *Pool
	bytes   int64
	givenUp bool
	endRead func()      // ends the reading; it must not block
	stop    func() bool // stops the wait for the end of the context
}

// newHold returns the hold of a response. The response is given up when ctx ends.
func (b *Budget) newHold(ctx context.Context, p *Pool, endRead func()) *hold {
	h := &hold{budget: b, pool: p, endRead: endRead}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holds[h] = struct{}{}
	h.stop = context.AfterFunc(ctx, h.cancel)
	return h
}

// cancel gives up the response, unless it is complete.
func (h *hold) cancel() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if _, ok := h.budget.holds[h]; ok && !h.givenUp {
		h.giveUp()
	}
}

// giveUp gives up the response. The budget's mu is held.
func (h *hold) giveUp() {
	h.givenUp = true
	h.budget.leaving += h.bytes
	h.endRead()
	h.budget.released.Broadcast()
}

// add adds a number of bytes, which may be negative. It waits until responses that
// were given up have released theirs. It reports whether the response may go on.
func (h *hold) add(n int64) bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.givenUp {
		return false
	}
	h.bytes += n
	b.used += n
	if n < 0 {
		b.released.Broadcast()
	}
	for !h.givenUp && b.used > b.max {
		if b.used-b.leaving > b.max {
			b.giveUpOne()
			continue
		}
		b.released.Wait()
	}
	return !h.givenUp
}

// giveUpOne gives up the longest response of the server with the most. b.mu is
// held.
func (b *Budget) giveUpOne() {
	byPool := make(map[*Pool]int64)
	for h := range b.holds {
		if !h.givenUp {
			byPool[h.pool] += h.bytes
		}
	}
	var longest *hold
	for h := range b.holds {
		if h.givenUp {
			continue
		}
		if longest == nil || byPool[h.pool] > byPool[longest.pool] || h.pool == longest.pool && h.bytes > longest.bytes {
			longest = h
		}
	}
	longest.giveUp()
}

// close releases the bytes.
func (h *hold) close() {
	h.stop()
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.holds, h)
	b.used -= h.bytes
	if h.givenUp {
		b.leaving -= h.bytes
	}
	b.released.Broadcast()
}
