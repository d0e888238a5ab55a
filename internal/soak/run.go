package soak

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/platform/fakes"
)

const (
	// readyTimeout is how long hosts may take to become ready at the start.
	readyTimeout = 20 * clock.Second
	// recoveryTimeout is the time after the last fault after which requests must
	// be served again: the longest lease and the assigner's role lease.
	recoveryTimeout = 16 * clock.Second
	// recoveryRequests is the number of consecutive requests of each kind that
	// a host must serve.
	recoveryRequests  = 10
	readyPollInterval = 50 * clock.Millisecond
)

// Config configures a run.
type Config struct {
	Seed    uint64
	Hosts   int
	Servers int
	Length  clock.Span // of the steps
	Command []string   // runs an entry host
	Dir     string     // for settings and logs
}

// Summary is the result of a run.
type Summary struct {
	Seed         uint64         `json:"seed"`
	Steps        map[string]int `json:"steps"` // by kind
	Requests     int            `json:"requests"`
	Served       int            `json:"answered"`
	LongestGap   clock.Span     `json:"longestGapMs"` // longest time without a response from a running host
	RecoveryTime clock.Span     `json:"recoveredMs"`  // from the last fault until each host served each kind of request
	Violations   []Violation    `json:"violations"`
}

// Run executes the plan of a seed.
func Run(ctx context.Context, cfg Config) (sum Summary, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("soak.Run: seed %d: %w", cfg.Seed, err)
		}
	}()
	d, err := newDeployment(cfg)
	defer func() { err = errors.Join(err, d.close()) }()
	if err != nil {
		return sum, err
	}
	if err = d.waitReady(ctx); err != nil {
		return sum, err
	}
	steps := Plan(cfg.Seed, cfg.Hosts, cfg.Servers, cfg.Length)
	callerCtx, stop := context.WithCancel(ctx)
	defer stop()
	var callers, faults sync.WaitGroup
	for i, h := range d.hosts {
		for j := range callersPerHost {
			c := &caller{deployment: d, host: h, name: fmt.Sprintf("%d-%d-%d", cfg.Seed, i, j), rand: rand.New(rand.NewPCG(cfg.Seed, uint64(i*callersPerHost+j)))}
			callers.Go(func() { c.loop(callerCtx) })
		}
	}
	sum = Summary{Seed: cfg.Seed, Steps: make(map[string]int)}
	start := time.Now()
	for _, s := range steps {
		sum.Steps[s.Kind.String()]++
		faults.Go(func() { (&stepper{deployment: d, step: s, start: start}).run(ctx) })
	}
	faults.Wait()
	sum.RecoveryTime = d.waitRecovered(ctx)
	stop()
	callers.Wait()
	d.oracle.mu.Lock()
	defer d.oracle.mu.Unlock()
	sum.Requests, sum.Served, sum.LongestGap, sum.Violations = d.oracle.requests, d.oracle.served, clock.FromStd(d.oracle.longestGap), d.oracle.violations
	return sum, nil
}

func (d *deployment) waitReady(ctx context.Context) error {
	end := time.Now().Add(readyTimeout.Std())
	for _, h := range d.hosts {
		for !h.ready() {
			if time.Now().After(end) {
				return fmt.Errorf("%s is not ready after %v", h.name, readyTimeout.Std())
			}
			if !sleepUntil(ctx, time.Now().Add(readyPollInterval.Std())) {
				return ctx.Err()
			}
		}
	}
	return nil
}

// waitRecovered waits until each host serves each kind of request, and returns
// how long that took.
func (d *deployment) waitRecovered(ctx context.Context) clock.Span {
	start := time.Now()
	for i, h := range d.hosts {
		c := &caller{deployment: d, host: h, name: fmt.Sprintf("after-%d", i), rand: rand.New(rand.NewPCG(1, uint64(i)))}
		conn := fakes.NewCaller(fmt.Sprintf("%s:%d", h.ip, fakes.CallerPort))
		for _, q := range requestKinds {
			for consecutive := 0; consecutive < recoveryRequests && ctx.Err() == nil; {
				consecutive++
				if !c.send(ctx, conn, q) {
					consecutive = 0
				}
				if time.Since(start) > recoveryTimeout.Std() {
					d.oracle.report(Recovered, "%s does not serve route %s %v after the last fault", h.name, q.route, recoveryTimeout.Std())
					break
				}
			}
		}
		conn.Close()
	}
	return clock.FromStd(time.Since(start))
}
