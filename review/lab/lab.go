// Package lab starts small deployments for the cases of the review: entry hosts as
// separate processes, and stand-ins for the platform's store in the process of the
// case. All addresses are loopback addresses.
//
// # Usage
//
//	l, err := lab.New(dir) // folder of the case, for record.txt
//	defer l.Close()
//	l.Configure(1, services, routes)
//	h, err := l.StartHost("front-north-1", "north")
//	l.Record("sent %s", id)
package lab

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/laburnummux/laburnummux/platform/fakes"
)

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1
	Failed = 2 // the case couldn't run
)

// HostName is the Host header of the routed requests.
const HostName = "tins.example"

// Trouble reports whether the case runs with its disruption.
func Trouble() bool { return os.Getenv("TROUBLE") != "0" }

// Lab is a deployment.
type Lab struct {
	Store *fakes.Store

	dir, tmp  string
	prefix    string // of the entry hosts' addresses
	port      int    // first of the ports that all entry hosts use
	storeAddr string
	storeSrv  *http.Server
	began     time.Time
	hosts     []*Host

	mu     sync.Mutex
	record *os.File
}

// New returns a deployment with an empty store. dir is the folder of the case.
func New(dir string) (l *Lab, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("lab: %w", err)
		}
	}()
	l = &Lab{dir: dir, Store: fakes.NewStore(), began: time.Now()}
	if l.tmp, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	if l.record, err = os.Create(filepath.Join(dir, "record.txt")); err != nil {
		return nil, err
	}
	if err = l.choosePorts(); err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", l.Addr(250)+":0")
	if err != nil {
		return nil, err
	}
	l.storeAddr = ln.Addr().String()
	l.storeSrv = &http.Server{Handler: &plainStore{store: l.Store}}
	go func() { _ = l.storeSrv.Serve(ln) }() // ends with Close
	return l, nil
}

// plainStore serves a store without the header of restores, which the users' pages
// don't describe yet.
type plainStore struct{ store *fakes.Store }

// ServeHTTP implements http.Handler.
func (p *plainStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.store.ServeHTTP(plainWriter{w}, r)
}

type plainWriter struct{ http.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (w plainWriter) WriteHeader(status int) {
	w.Header().Del("Store-Era")
	w.ResponseWriter.WriteHeader(status)
}

// choosePorts chooses loopback addresses and ports that are free.
func (l *Lab) choosePorts() error {
	for range 100 {
		l.prefix = fmt.Sprintf("127.%d.%d", 130+rand.N(110), 1+rand.N(250))
		l.port = 20000 + 20*rand.N(500)
		if l.portsAreFree() {
			return nil
		}
	}
	return errors.New("no free ports")
}

func (l *Lab) portsAreFree() bool {
	for i := range 20 {
		ln, err := net.Listen("tcp", fmt.Sprintf("%s:%d", l.Addr(1), l.port+i))
		if err != nil {
			return false
		}
		ln.Close()
	}
	return true
}

// Addr returns a loopback address of the deployment.
func (l *Lab) Addr(n int) string { return fmt.Sprintf("%s.%d", l.prefix, n) }

// Since returns the time since the start of the case.
func (l *Lab) Since() time.Duration { return time.Since(l.began) }

// Record writes a line to the record of the case.
func (l *Lab) Record(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f %s\n", l.Since().Seconds(), fmt.Sprintf(format, args...))
}

// Close ends all processes and removes the temporary folder.
func (l *Lab) Close() {
	for _, h := range l.hosts {
		h.Kill()
	}
	l.storeSrv.Close()
	l.Store.Close()
	l.record.Close()
	os.RemoveAll(l.tmp)
}

// Service is a service of a configuration.
type Service struct {
	Name  string
	Keyed bool
}

// Route is a route of a configuration. Its path prefix is its name.
type Route struct {
	Name, Kind, Service, Timeout, Objective string
	Attempts                                int
}

// Configure stores a configuration, as the operator does.
func (l *Lab) Configure(version int, services []Service, routes []Route) {
	var ss, rs []map[string]any
	for _, s := range services {
		m := map[string]any{"name": s.Name, "health_path": "/health", "max_conns": 130}
		if s.Keyed {
			m["sharded"], m["warm"] = true, "5s"
		}
		ss = append(ss, m)
	}
	for _, r := range routes {
		rs = append(rs, map[string]any{
			"name": r.Name, "path_prefix": "/" + r.Name + "/", "kind": r.Kind, "service": r.Service,
			"timeout": r.Timeout, "slo": r.Objective, "attempts": r.Attempts, "priority": 1,
		})
	}
	l.Store.Put("config", "main", map[string]any{
		"version": fmt.Sprintf("r%d", version), "services": ss,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"hosts":  []any{map[string]any{"host": HostName, "paths": rs}},
	})
}

// Host is a process of an entry host.
type Host struct {
	Name, IP string

	lab  *Lab
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
}

// StartHost starts an entry host with the command of the deploy file and waits until
// it is ready.
func (l *Lab) StartHost(name, zone string) (h *Host, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("lab: start host %s: %w", name, err)
		}
	}()
	h = &Host{Name: name, IP: l.Addr(len(l.hosts) + 1), lab: l, done: make(chan struct{})}
	file := filepath.Join(l.tmp, name+".conf")
	if err = os.WriteFile(file, []byte(l.settings(h, zone)), 0o600); err != nil {
		return nil, err
	}
	if h.log, err = os.Create(filepath.Join(l.tmp, name+".log")); err != nil {
		return nil, err
	}
	h.cmd = exec.Command("target/laburnummux", "front")
	h.cmd.Env = []string{"LABURNUMMUX_BOOT=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + l.tmp}
	h.cmd.Stdout, h.cmd.Stderr = h.log, h.log
	if err = h.cmd.Start(); err != nil {
		return nil, err
	}
	l.hosts = append(l.hosts, h)
	go h.run()
	return h, nil
}

// run waits for the end of the process.
func (h *Host) run() {
	defer close(h.done)
	if err := h.cmd.Wait(); err != nil {
		h.lab.Record("%s has ended: %v", h.Name, err)
	}
}

// settings returns the settings file of a host.
func (l *Lab) settings(h *Host, zone string) string {
	return strings.Join([]string{
		"node=" + h.Name, "role=front", "machine_class=front", "serves=front,control", "ip=" + h.IP, "zone=" + zone, "region=home",
		fmt.Sprintf("listen.front=%s:%d", h.IP, l.port), fmt.Sprintf("listen.ready=%s:%d", h.IP, l.port+1),
		fmt.Sprintf("listen.control=%s:%d", h.IP, l.port+2), fmt.Sprintf("port_range=%d,%d", l.port+4, l.port+19),
		fmt.Sprintf("seeds=%s:%d,%s:%d", l.Addr(1), l.port+2, l.Addr(2), l.port+2), "bootstrap=true",
		"limits.cpu_share=0.32", "limits.cores=1", "limits.memory_mb=284", "limits.max_fds=4100", "heartbeat=870ms",
		"contracts=base,drain,config,cost,retry,recover,own,platform",
		"bounds.seed_lag=3s", "bounds.reuse_after=2s", "bounds.stable_window=3000ms", "bounds.ack=4000ms", "bounds.catch_up=4s",
		"bounds.drain=2000ms", "bounds.grace=6s", "bounds.loss_slack=200ms", "bounds.config_apply=2000ms", "bounds.rollback_slack=250ms",
		"bounds.max_skew=5000ms", "bounds.retry_budget_ratio=0.2", "bounds.budget_window=10s", "bounds.budget_slack=64",
		"bounds.recover=15s", "bounds.hold_max=10000ms", "bounds.thaw=300ms", "grants=rpc",
		"provider.address=" + l.storeAddr, "provider.form=objects", "provider.writes_per_s=400", "provider.reads_per_s=2000",
		"provider.history=20s", "provider.value_bytes=1048576", "",
	}, "\n")
}

// Addr returns the address for callers.
func (h *Host) Addr() string { return fmt.Sprintf("%s:%d", h.IP, h.lab.port) }

// Ready reports whether the balancer would send connections to the host.
func (h *Host) Ready() bool {
	resp, err := http.Get(fmt.Sprintf("http://%s:%d/api/ready", h.IP, h.lab.port+1))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// AwaitReady waits until all hosts are ready.
func (l *Lab) AwaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, h := range l.hosts {
		for !h.Ready() {
			if time.Now().After(deadline) {
				return fmt.Errorf("lab: %s isn't ready", h.Name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

// Signal sends a signal to the process.
func (h *Host) Signal(sig syscall.Signal) {
	if err := h.cmd.Process.Signal(sig); err != nil {
		h.lab.Record("%s: signal %v: %v", h.Name, sig, err)
	}
}

// Ended reports whether the process has ended.
func (h *Host) Ended() bool {
	select {
	case <-h.done:
		return true
	default:
		return false
	}
}

// Kill ends the process and waits for it.
func (h *Host) Kill() {
	if !h.Ended() {
		h.Signal(syscall.SIGCONT)
		h.Signal(syscall.SIGKILL)
	}
	<-h.done
	h.log.Close()
}

// Log returns the lines of the host's log that contain a text.
func (h *Host) Log(text string) (lines []string) {
	b, err := os.ReadFile(h.log.Name())
	if err != nil {
		return nil
	}
	for _, line := range strings.Split(string(b), "\n") {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}

// Restart starts the process of a host that has ended again.
func (l *Lab) Restart(h *Host) {
	h.done = make(chan struct{})
	cmd := exec.Command("target/laburnummux", "front")
	cmd.Env, cmd.Stdout, cmd.Stderr = h.cmd.Env, h.log, h.log
	h.cmd = cmd
	if err := cmd.Start(); err != nil {
		l.Record("%s can't start: %v", h.Name, err)
		close(h.done)
		return
	}
	go h.run()
}

// Resident returns the resident memory of the process in bytes, or 0 if it has ended.
func (h *Host) Resident() int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", h.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	var size, resident int64
	if _, err := fmt.Sscan(string(b), &size, &resident); err != nil {
		return 0
	}
	return resident * int64(os.Getpagesize())
}

// Wait waits for the end of the process.
func (h *Host) Wait() { <-h.done }
