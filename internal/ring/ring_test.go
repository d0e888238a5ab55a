package ring

import (
	"context"
	"testing"

	"github.com/matryer/is"
)

// Guards against a full ring that blocks its producer, changes the order of
// items, or doesn't count dropped ones.
func TestFull(t *testing.T) {
	is := is.New(t)
	r := New[int](3)
	for i := range 3 {
		is.True(r.Push(i))
	}
	is.True(!r.Push(3)) // rejected
	r.Replace(4)        // drops 0
	is.Equal(r.Dropped(), uint64(2))
	for _, want := range []int{1, 2, 4} {
		got, ok := r.TryPop()
		is.True(ok)
		is.Equal(got, want)
	}
	_, ok := r.TryPop()
	is.True(!ok)
}

// Guards against a consumer that keeps waiting after its context has ended, or
// that isn't woken by an item added while it waits.
func TestPopWaits(t *testing.T) {
	is := is.New(t)
	r := New[int](1)
	go r.Push(7)
	v, ok := r.Pop(t.Context())
	is.True(ok)
	is.Equal(v, 7)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, ok = r.Pop(ctx)
	is.True(!ok)
}
