// Package ring provides a bounded queue between workers.
//
// A full ring never blocks its producer. Push rejects the new item. Replace
// drops the oldest one, which suits periodic messages of which only the newest
// matter. Both are counted.
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
	mu          sync.Mutex
	items       []T
	head, count int // index of the oldest item; number of items
	dropped     uint64
	ready       chan struct{}
}

// New returns a ring for up to size items.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make([]T, max(size, 1)), ready: make(chan struct{}, 1)}
}

// Push appends v. If the ring is full, it counts a drop and reports false.
func (r *Ring[T]) Push(v T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == len(r.items) {
		r.dropped++
		return false
	}
	r.append(v)
	return true
}

// Replace appends v. If the ring is full, it drops the oldest item and counts a
// drop.
func (r *Ring[T]) Replace(v T) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == len(r.items) {
		r.pop()
		r.dropped++
	}
	r.append(v)
}

// Pop removes and returns the oldest item. It waits until there is one, and
// reports false if ctx ends first.
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

// TryPop removes and returns the oldest item. It doesn't wait, and reports false
// if the ring is empty.
func (r *Ring[T]) TryPop() (v T, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.count == 0 {
		return v, false
	}
	return r.pop(), true
}

// Ready returns a channel that receives a value after items were added. A
// consumer with several sources selects on it and then drains the ring with
// TryPop.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Dropped returns the number of items that were rejected or dropped.
func (r *Ring[T]) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

func (r *Ring[T]) append(v T) {
	r.items[(r.head+r.count)%len(r.items)] = v
	r.count++
	select {
	case r.ready <- struct{}{}:
	default:
	}
}

func (r *Ring[T]) pop() T {
	var zero T
	v := r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.count--
	return v
}
