package soak

import (
	"context"
	"fmt"
	"os"
	"syscall"
	"time"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/platform/fakes"
)

// exitTimeout is how long a process may take to end after SIGTERM: the grace
// period of the settings and a second.
const exitTimeout = 7 * clock.Second

const (
	// restoreOutage is how long the store is away before it returns from a copy.
	restoreOutage = 500 * time.Millisecond
	// rewriteDelay is the time from a restore until operator and servers have
	// written again what they wrote last.
	rewriteDelay = time.Second
	// staleExpiry is the time from then until registrations expire that only the
	// copy has.
	staleExpiry = 1600 * time.Millisecond
)

// stepper executes one step of a plan.
type stepper struct {
	deployment *deployment
	step       Step
	start      time.Time  // of the plan
	copy       fakes.Copy // of the store, from the begin of a step that restores it
}

// run applies the step at its time and reverts it at its end.
func (p *stepper) run(ctx context.Context) {
	if !sleepUntil(ctx, p.start.Add(time.Duration(p.step.At)*time.Millisecond)) {
		return
	}
	if !p.step.Kind.planned() {
		p.deployment.addFaults(1)
		defer p.deployment.addFaults(-1)
	}
	if p.step.Kind.targetsHost() {
		h := p.deployment.hosts[p.step.Target]
		h.addFaults(1)
		defer h.addFaults(-1)
	}
	if err := p.apply(); err != nil {
		fmt.Fprintf(os.Stderr, "soak: applying %s failed: %v\n", p.step.Kind, err)
	}
	sleepUntil(ctx, p.start.Add(time.Duration(p.step.End())*time.Millisecond)) // the step is reverted even if ctx is done
	if err := p.revert(); err != nil {
		fmt.Fprintf(os.Stderr, "soak: reverting %s failed: %v\n", p.step.Kind, err)
	}
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(time.Until(t)):
		return true
	}
}

func (p *stepper) apply() error {
	d := p.deployment
	switch p.step.Kind {
	case KillHost:
		h := d.hosts[p.step.Target]
		err := h.kill()
		d.oracle.hostExited(h.name)
		return err
	case StopHost:
		return d.hosts[p.step.Target].signal(syscall.SIGTERM)
	case PauseHost:
		d.oracle.hostPaused(d.hosts[p.step.Target].name)
		return d.hosts[p.step.Target].signal(syscall.SIGSTOP)
	case ReloadHost:
		return d.hosts[p.step.Target].signal(syscall.SIGHUP)
	case CrashServer:
		d.stopServer(d.backends[p.step.Target])
	case HangServer:
		d.backends[p.step.Target].withServer(func(sv *fakes.Server) { sv.Hang(true) })
	case DrainServer:
		d.drainServer(d.backends[p.step.Target])
	case LeaveServer:
		d.backends[p.step.Target].withServer(func(sv *fakes.Server) { sv.Leave() })
	case PauseServer:
		d.backends[p.step.Target].withServer(func(sv *fakes.Server) { sv.Pause(p.step.Duration.Std()) })
	case LoseResponses:
		d.backends[p.step.Target].withServer(func(sv *fakes.Server) { sv.LoseResponses(p.step.Count) })
	case MismatchResponses:
		d.backends[p.step.Target].withServer(func(sv *fakes.Server) { sv.SendMismatched(p.step.Count) })
	case ShedRequests:
		d.backends[p.step.Target].withServer(func(sv *fakes.Server) { sv.Reject(p.step.Count) })
	case RepeatResponses:
		d.backends[p.step.Target].withServer(func(sv *fakes.Server) {
			sv.RepeatRejections(p.step.Count)
			sv.RepeatBeforeRelease(p.step.Count)
		})
	case StoreBusy:
		d.store.SetFault(fakes.Busy)
	case StoreHang:
		d.store.SetFault(fakes.NoResponse)
	case StoreLoseAcks:
		d.store.SetFault(fakes.LoseAcks)
	case StoreStopWatches:
		d.store.MuteWatches(true)
	case StoreCompact:
		d.store.Compact()
	case StoreLink:
		d.hosts[p.step.Target].store.SetMode(p.step.Mode)
	case ServerLink:
		d.backends[p.step.Target].proxy.SetMode(p.step.Mode)
	case Configure:
		d.writeNextConfig()
	case StoreRestore:
		p.copy = d.store.Copy()
	case Evacuate:
		d.evacuate(true)
	}
	return nil
}

func (p *stepper) revert() error {
	d := p.deployment
	switch p.step.Kind {
	case KillHost:
		return d.hosts[p.step.Target].start()
	case StopHost:
		return p.restart(d.hosts[p.step.Target])
	case PauseHost:
		err := d.hosts[p.step.Target].signal(syscall.SIGCONT)
		d.oracle.hostPaused(d.hosts[p.step.Target].name)
		return err
	case CrashServer:
		d.startServer(d.backends[p.step.Target])
	case HangServer:
		d.backends[p.step.Target].withServer(func(sv *fakes.Server) { sv.Hang(false) })
	case DrainServer, LeaveServer:
		d.stopServer(d.backends[p.step.Target])
		d.startServer(d.backends[p.step.Target])
	case LoseResponses:
		d.backends[p.step.Target].withServer(func(sv *fakes.Server) { sv.LoseResponses(0) })
	case MismatchResponses:
		d.backends[p.step.Target].withServer(func(sv *fakes.Server) { sv.SendMismatched(0) })
	case ShedRequests:
		d.backends[p.step.Target].withServer(func(sv *fakes.Server) { sv.Reject(0) })
	case RepeatResponses:
		d.backends[p.step.Target].withServer(func(sv *fakes.Server) {
			sv.RepeatRejections(0)
			sv.RepeatBeforeRelease(0)
		})
	case StoreBusy, StoreHang, StoreLoseAcks:
		d.store.SetFault(fakes.NoFault)
	case StoreStopWatches:
		d.store.MuteWatches(false)
	case StoreLink:
		d.hosts[p.step.Target].store.SetMode(Pass)
	case ServerLink:
		d.backends[p.step.Target].proxy.SetMode(Pass)
	case StoreRestore:
		p.restoreStore()
	case Evacuate:
		d.evacuate(false)
	}
	return nil
}

// restoreStore has the store fail and return from the copy of the step's begin.
func (p *stepper) restoreStore() {
	d := p.deployment
	d.store.SetFault(fakes.Busy)
	time.Sleep(restoreOutage)
	d.store.Restore(p.copy)
	d.store.SetFault(fakes.NoFault)
	time.Sleep(rewriteDelay)
	d.store.WriteAgain()
	time.Sleep(staleExpiry)
	d.store.ExpireStale()
}

// restart waits until a process that got SIGTERM has ended, and starts the next
// one. A process that has not ended after exitTimeout is killed, since a pause
// that overlaps may have kept it from stopping.
func (p *stepper) restart(h *host) error {
	h.mu.Lock()
	done, running := h.done, h.cmd != nil
	h.mu.Unlock()
	if running {
		select {
		case <-done:
		case <-time.After(exitTimeout.Std()):
			if err := h.kill(); err != nil {
				return err
			}
		}
	}
	p.deployment.oracle.hostExited(h.name)
	return h.start()
}
