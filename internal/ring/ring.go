// Package ring provides the bounded queue that joins two workers.
//
// A full ring never blocks its producer. Push refuses the new item; Replace
// drops the oldest one, which suits periodic messages where only the newest
// matters. Both are counted.
//
// # Usage
//
//	r := ring.New[Event](256)
//	r.Replace(ev)             // producer
//	for {
//		ev, ok := r.Pop(ctx)  // consumer
//		if !ok {
//			return
//		}
//	}
package ring

import (
	"context"
	"sync"
)

// Ring is a bounded first-in first-out queue for one or more producers and one
// consumer.
type Ring[T any] struct {
	mu      sync.Mutex
	items   []T
	head, n int
	dropped uint64
	ready   chan struct{}
}

// New returns a ring that holds up to size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make([]T, max(size, 1)), ready: make(chan struct{}, 1)}
}

// Push appends v. It reports false, and counts a drop, when the ring is full.
func (r *Ring[T]) Push(v T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.n == len(r.items) {
		r.dropped++
		return false
	}
	r.append(v)
	return true
}

// Replace appends v and drops the oldest item when the ring is full.
func (r *Ring[T]) Replace(v T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.n == len(r.items) {
		r.take()
		r.dropped++
	}
	r.append(v)
}

// Pop returns the oldest item. It waits until there is one, and reports false
// when ctx ends first.
func (r *Ring[T]) Pop(ctx context.Context) (v T, ok bool) {
	for {
		if v, ok = r.TryPop(); ok {
			return v, true
		}
		select {
		case <-ctx.Done():
			return v, false
		case <-r.ready:
		}
	}
}

// TryPop returns the oldest item without waiting.
func (r *Ring[T]) TryPop() (v T, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.n == 0 {
		return v, false
	}
	return r.take(), true
}

// Ready receives a value after items were added. A consumer that waits on
// several sources selects on it and then drains the ring with TryPop.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Dropped returns how many items were refused or dropped.
func (r *Ring[T]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

func (r *Ring[T]) append(v T) {
	r.items[(r.head+r.n)%len(r.items)] = v
	r.n++
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

func (r *Ring[T]) take() T {
	var zero T
	v := r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.n--
	return v
}
