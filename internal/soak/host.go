package soak

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/laburnummux/laburnummux/platform"
	"github.com/laburnummux/laburnummux/platform/fakes"
)

// host is an entry host: its settings and its current process.
type host struct {
	name         string
	ip           string
	command      []string
	settingsFile string
	logFile      string
	store        *proxy // the host's connections to the store
	// onUnexpectedExit is called when a process ends without having been
	// stopped.
	onUnexpectedExit func(h *host, reason string)

	mu            sync.Mutex
	cmd           *exec.Cmd     // nil while no process runs
	done          chan struct{} // closed when the process has ended
	stopRequested bool          // the process was sent SIGTERM or killed
	incarnation   int           // number of the process
	applied       int           // newest configuration whose route this incarnation has served
	faults        int           // active faults of the host, its connections or its process
	faultsChanged time.Time     // last change of faults, or start of the process
}

// start starts a new process unless one is running.
func (h *host) start() (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("soak: start of %s: %w", h.name, err)
		}
	}()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd != nil {
		return nil
	}
	out, err := os.OpenFile(h.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(h.command[0], h.command[1:]...)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+h.settingsFile)
	cmd.Stdout, cmd.Stderr = out, out
	if err = cmd.Start(); err != nil {
		out.Close()
		return err
	}
	h.incarnation++
	h.stopRequested = false
	h.cmd, h.done, h.applied, h.faultsChanged = cmd, make(chan struct{}), 0, time.Now()
	p := &process{host: h, cmd: cmd, log: out, done: h.done}
	go p.run()
	return nil
}

// process is one incarnation of a host's program.
type process struct {
	host *host
	cmd  *exec.Cmd
	log  io.Closer
	done chan struct{}
}

// run waits until the process has ended.
func (p *process) run() {
	err := p.cmd.Wait()
	p.log.Close()
	p.host.mu.Lock()
	stopRequested := p.host.stopRequested
	p.host.cmd = nil
	p.host.mu.Unlock()
	close(p.done)
	if !stopRequested {
		p.host.onUnexpectedExit(p.host, fmt.Sprint(err))
	}
}

// signal sends a signal to the process if one is running.
func (h *host) signal(s syscall.Signal) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.cmd == nil {
		return nil
	}
	h.stopRequested = h.stopRequested || s == syscall.SIGTERM
	return h.cmd.Process.Signal(s)
}

// kill kills the process and waits until it has ended.
func (h *host) kill() error {
	h.mu.Lock()
	cmd, done := h.cmd, h.done
	h.stopRequested = true
	h.mu.Unlock()
	if cmd == nil {
		return nil
	}
	if err := cmd.Process.Kill(); err != nil {
		return err
	}
	<-done
	return nil
}

// addFaults adds n to the number of active faults.
func (h *host) addFaults(n int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.faults += n
	h.faultsChanged = time.Now()
}

// faultFree reports whether the process has run without a fault for at least d.
func (h *host) faultFree(d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cmd != nil && h.faults == 0 && time.Since(h.faultsChanged) >= d
}

// current returns the number of the process and the newest configuration whose
// route it has served.
func (h *host) current() (incarnation, applied int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.incarnation, h.applied
}

// setApplied records that an incarnation has applied a configuration.
func (h *host) setApplied(incarnation, version int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.incarnation == incarnation {
		h.applied = max(h.applied, version)
	}
}

// ready reports whether the host accepts new connections.
func (h *host) ready() bool {
	resp, err := http.Get(fakes.ReadyURL(h.ip, platform.ReadyPath))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func newHost(dir, name, ip, seed string, command []string, store *proxy, onUnexpectedExit func(*host, string)) (h *host, err error) {
	h = &host{name: name, ip: ip, command: command, onUnexpectedExit: onUnexpectedExit, settingsFile: filepath.Join(dir, name+".conf"), logFile: filepath.Join(dir, name+".log"), store: store}
	settings := fakes.Settings{Name: name, Zone: "north", IP: ip, Seed: seed, Store: store.Addr(), Evac: evacTimeout.Std().String()}
	return h, settings.Write(h.settingsFile)
}
