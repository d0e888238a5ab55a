package super

import (
	"context"
	"sync"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// Guards against a panic of a worker that ends the process or isn't followed by
// a restart, and against workers that stop before those that depend on them.
func TestRestartAndOrder(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	var stopped []string
	worker := func(name string) Func {
		return func(ctx context.Context) error {
			<-ctx.Done()
			mu.Lock()
			defer mu.Unlock()
			stopped = append(stopped, name)
			return nil
		}
	}
	s := New("test", zap.NewNop())
	s.Add("first", worker("first"))
	runs := 0
	restarted := make(chan struct{})
	s.Add("failing", func(ctx context.Context) error {
		if runs++; runs == 1 {
			panic("broken")
		}
		close(restarted)
		return worker("failing")(ctx)
	})
	s.Add("last", worker("last"))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); s.Run(ctx) }()
	<-restarted
	cancel()
	<-done
	is.Equal(stopped, []string{"last", "failing", "first"})
	is.Equal(s.Restarts()["failing"], int64(1))
}

// Guards against a nested supervisor whose planned stop counts as a failure.
func TestNested(t *testing.T) {
	is := is.New(t)
	inner := New("inner", zap.NewNop())
	started := make(chan struct{})
	inner.Add("w", func(ctx context.Context) error { close(started); <-ctx.Done(); return nil })
	outer := New("outer", zap.NewNop())
	outer.Add("inner", inner.Run)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); outer.Run(ctx) }()
	<-started
	cancel()
	<-done
	is.Equal(outer.Restarts()["inner"], int64(0))
}
