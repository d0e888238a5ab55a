package proxy

import (
	"sync"
	"time"
)

// Transfer watches a step of a request that waits for its caller: the reading of a body
// that isn't buffered, or the writing of a response. The request holds a slot of its server
// meanwhile.
type Transfer struct {
	interrupt func() // ends the step

	mu          sync.Mutex
	since       time.Time // when the wait in progress began; zero: there is none
	interrupted bool
}

// NewTransfer returns a transfer for a step that interrupt ends.
func NewTransfer(interrupt func()) *Transfer { return &Transfer{interrupt: interrupt} }

// Stalled reports whether the step has been waiting for its caller for a time.
func (t *Transfer) Stalled(d time.Duration) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.since.IsZero() && time.Since(t.since) >= d
}

// Interrupt ends a step that waits for its caller, and with it the attempt. It reports
// whether the step was waiting and hadn't been interrupted before.
func (t *Transfer) Interrupt() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.interrupted || t.since.IsZero() {
		return false
	}
	t.interrupted = true
	t.interrupt()
	return true
}

// Interrupted reports whether the step was interrupted.
func (t *Transfer) Interrupted() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.interrupted
}

// begin records that a wait for the caller begins. t may be nil, as for end.
func (t *Transfer) begin() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.since = time.Now()
}

// end records that the wait has ended.
func (t *Transfer) end() {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.since = time.Time{}
}
