package link

import "sync"

// Budget bounds the memory of the response bodies that are being read, on all
// connections that share it. When they exceed it, the longest one of the server
// with the most is given up: the responses of a server that sends bytes without
// end make room for those of the others.
type Budget struct {
	mu    sync.Mutex
	max   int64
	used  int64
	holds map[*hold]struct{}
}

// NewBudget returns a Budget of a number of bytes.
func NewBudget(maxBytes int64) *Budget {
	return &Budget{max: maxBytes, holds: make(map[*hold]struct{})}
}

// hold is the memory of one response body.
type hold struct {
	budget  *Budget
	pool    *Pool
	bytes   int64
	givenUp bool
	giveUp  func() // ends the reading; it must not block
}

func (b *Budget) newHold(p *Pool, giveUp func()) *hold {
	h := &hold{budget: b, pool: p, giveUp: giveUp}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holds[h] = struct{}{}
	return h
}

// add adds a number of bytes, which may be negative. It reports whether the
// response may go on.
func (h *hold) add(n int64) bool {
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.givenUp {
		return false
	}
	h.bytes += n
	b.used += n
	for b.used > b.max && !h.givenUp {
		b.giveUpOne()
	}
	return !h.givenUp
}

// giveUpOne gives up the longest response of the server with the most. b.mu is
// held.
func (b *Budget) giveUpOne() {
	byPool := make(map[*Pool]int64)
	for h := range b.holds {
		byPool[h.pool] += h.bytes
	}
	var longest *hold
	for h := range b.holds {
		if longest == nil || byPool[h.pool] > byPool[longest.pool] || h.pool == longest.pool && h.bytes > longest.bytes {
			longest = h
		}
	}
	longest.givenUp = true
	b.remove(longest)
	longest.giveUp()
}

// close ends the hold. It may have been given up before.
func (h *hold) close() {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	if !h.givenUp {
		h.budget.remove(h)
	}
}

// remove removes a hold with its bytes. b.mu is held.
func (b *Budget) remove(h *hold) {
	delete(b.holds, h)
	b.used -= h.bytes
}
