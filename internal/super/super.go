// Package super runs workers under a supervisor tree.
//
// A worker is a goroutine with one job. A supervisor starts its children in
// order, restarts one that fails or panics after a growing delay, and stops
// them in reverse order. A supervisor is itself a worker, so that trees nest.
//
// # Usage
//
//	root := super.New("entry", log)
//	root.Add("beat", b.run)
//	root.Add("cells", c.run)
//	err := root.Run(ctx) // returns when ctx ends and all children stopped
package super

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// Delays between restarts of a failing worker.
const (
	minDelay = 50 * time.Millisecond
	maxDelay = 5 * time.Second
)

// Func is the body of a worker. It returns when ctx ends; any earlier return is
// a failure and leads to a restart.
type Func func(ctx context.Context) error

// Supervisor owns a list of workers.
type Supervisor struct {
	name     string
	log      *zap.Logger
	children []*child
}

type child struct {
	name     string
	fn       Func
	restarts atomic.Int64
	done     chan struct{}
	cancel   context.CancelFunc
}

// New returns an empty supervisor.
func New(name string, log *zap.Logger) *Supervisor {
	return &Supervisor{name: name, log: log.Named(name)}
}

// Add registers a worker. It must not be called after Run.
func (s *Supervisor) Add(name string, fn Func) {
	s.children = append(s.children, &child{name: name, fn: fn})
}

// Restarts returns the number of restarts of each worker.
func (s *Supervisor) Restarts() map[string]int64 {
	m := make(map[string]int64, len(s.children))
	for _, c := range s.children {
		m[c.name] = c.restarts.Load()
	}
	return m
}

// Run starts all workers, waits for ctx to end, and stops them one by one,
// the last started first.
func (s *Supervisor) Run(ctx context.Context) error {
	for _, c := range s.children {
		// Children get contexts of their own, so that they end in
		// reverse order and not all at once.
		var cctx context.Context
		cctx, c.cancel = context.WithCancel(context.WithoutCancel(ctx))
		c.done = make(chan struct{})
		go c.run(cctx, s.log)
	}
	<-ctx.Done()
	for i := len(s.children) - 1; i >= 0; i-- {
		s.children[i].cancel()
		<-s.children[i].done
	}
	return nil
}

func (c *child) run(ctx context.Context, log *zap.Logger) {
	defer close(c.done)
	delay := minDelay
	for {
		start := time.Now()
		err := c.once(ctx)
		if ctx.Err() != nil {
			return
		}
		if time.Since(start) > maxDelay {
			delay = minDelay
		}
		c.restarts.Add(1)
		log.Error("worker failed; restarting", zap.String("worker", c.name), zap.Duration("delay", delay), zap.Error(err))
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		delay = min(2*delay, maxDelay)
	}
}

func (c *child) once(ctx context.Context) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("super: worker %s panicked: %v", c.name, p)
		}
	}()
	if err = c.fn(ctx); err == nil {
		err = errors.New("super: worker returned")
	}
	return err
}
