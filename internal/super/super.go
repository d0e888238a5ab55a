// Package super runs workers under a supervisor tree.
//
// A worker is a goroutine with one task. A supervisor starts its workers in
// order, restarts one that fails or panics with exponential backoff, and stops
// them in reverse order. A supervisor is itself a worker, so that supervisors
// can be nested.
//
// # Usage
//
//	root := super.New("entry", log)
//	root.Add("heartbeat", b.run)
//	root.Add("cells", c.run)
//	err := root.Run(ctx) // returns when ctx has ended and all workers have stopped
package super

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
)

// Bounds of the delay before a restart, which doubles with each failure.
const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = 5 * time.Second
)

// Func is the function of a worker. It returns when ctx ends; any earlier return
// is a failure and causes a restart.
type Func func(ctx context.Context) error

// Supervisor starts, restarts and stops a list of workers.
type Supervisor struct {
	name    string
	log     *zap.Logger
	workers []*worker
}

type worker struct {
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
	s.workers = append(s.workers, &worker{name: name, fn: fn})
}

// Restarts returns the number of restarts of each worker.
func (s *Supervisor) Restarts() map[string]int64 {
	m := make(map[string]int64, len(s.workers))
	for _, w := range s.workers {
		m[w.name] = w.restarts.Load()
	}
	return m
}

// Run starts all workers, waits until ctx ends, and stops the workers one after
// the other in reverse order.
func (s *Supervisor) Run(ctx context.Context) error {
	for _, w := range s.workers {
		// Each worker has its own context, so that the workers stop in reverse
		// order rather than all at once.
		var cctx context.Context
		cctx, w.cancel = context.WithCancel(context.WithoutCancel(ctx))
		w.done = make(chan struct{})
		go w.run(cctx, s.log)
	}
	<-ctx.Done()
	for i := len(s.workers) - 1; i >= 0; i-- {
		s.workers[i].cancel()
		<-s.workers[i].done
	}
	return nil
}

func (w *worker) run(ctx context.Context, log *zap.Logger) {
	defer close(w.done)
	delay := minBackoff
	for {
		start := time.Now()
		err := w.runOnce(ctx)
		if ctx.Err() != nil {
			return
		}
		if time.Since(start) > maxBackoff {
			delay = minBackoff
		}
		w.restarts.Add(1)
		log.Error("worker failed; restarting", zap.String("worker", w.name), zap.Duration("delay", delay), zap.Error(err))
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		delay = min(2*delay, maxBackoff)
	}
}

func (w *worker) runOnce(ctx context.Context) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = fmt.Errorf("super: worker %s panicked: %v", w.name, p)
		}
	}()
	if err = w.fn(ctx); err == nil {
		err = errors.New("super: worker returned before its context ended")
	}
	return err
}
