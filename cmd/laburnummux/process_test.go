package main

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"github.com/laburnummux/laburnummux/internal/dedup"
	"github.com/laburnummux/laburnummux/internal/devel"
	"github.com/laburnummux/laburnummux/internal/state"
	"github.com/laburnummux/laburnummux/internal/store"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// The tests of this file run entry hosts as separate processes, which they kill
// and suspend.

// stateTimeout bounds the wait for an expected state.
const stateTimeout = 30 * time.Second

// runAsCommand is an environment variable that makes the test binary run as the
// command.
const runAsCommand = "LABURNUMMUX_TEST_COMMAND"

func TestMain(m *testing.M) {
	if os.Getenv(runAsCommand) != "" {
		main()
		return
	}
	os.Setenv(runAsCommand, "1") // for the processes that tests start
	os.Exit(m.Run())
}

// process is an entry host that runs as a separate process.
type process struct {
	cmd       *exec.Cmd
	callers   string
	relay     string
	peers     string
	operators string
	secure    bool // callers use TLS
	done      chan error
}

func (p *process) signal(t testing.TB, s syscall.Signal) {
	t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// stopProcess suspends a process and returns when all of its threads are stopped: on
// a busy machine they run on for some milliseconds after the signal.
func stopProcess(t testing.TB, pid int) {
	t.Helper()
	if err := syscall.Kill(pid, syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	waitFor(t, func() bool {
		var info unix.Siginfo
		err := unix.Waitid(unix.P_PID, pid, &info, unix.WSTOPPED|unix.WNOHANG, nil)
		return err == nil && info.Signo != 0
	})
}

// startHosts starts a store, backend servers and n entry hosts of one data centre
// and waits until each host serves a request.
func startHosts(t testing.TB, n int) (*devel.System, []*process) {
	t.Helper()
	return startLimitedHosts(t, n, nil)
}

// startLimitedHosts is startHosts with additional fields of the settings.
func startLimitedHosts(t testing.TB, n int, limits map[string]any) (*devel.System, []*process) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), stateTimeout)
	defer cancel()
	s, err := devel.Start(ctx, devel.Config{
		Servers: 3, DataCentres: []keys.DataCentre{"north-1"}, Log: zap.NewNop(), Base: []byte(strings.ReplaceAll(baseConfig, "DC", "north-1")),
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Stop(context.Background()) })
	names := make([]string, n)
	for i := range names {
		names[i] = fmt.Sprintf("north-1-%c", 'a'+i)
	}
	ps := make([]*process, n)
	for i, name := range names {
		ps[i] = startHost(t, s, name, names, limits)
	}
	for _, p := range ps {
		waitFor(t, func() bool { return send(t, p, "/ledger/tin-1", http.MethodGet, "").status == http.StatusOK })
	}
	return s, ps
}

// baseConfig is a service configuration; DC stands for the data centre.
const baseConfig = `{"services": {
  "bookings": {
    "path": "/bookings",
    "operations": {"book": {"method": "POST", "timeoutMs": 5000}},
    "dataCentres": {"DC": {"weight": 1}},
    "server": {"slots": 2, "connections": 130},
  },
  "ledger": {
    "keyed": true,
    "path": "/ledger/{key}",
    "operations": {
      "get-account": {"method": "GET", "idempotent": true, "timeoutMs": 5000},
      "post-entry": {"method": "POST", "path": "/entries", "timeoutMs": 5000},
    },
    "dataCentres": {"DC": {"weight": 1}},
    "server": {"slots": 2, "connections": 130, "checksFences": true},
  },
}}`

// startHost starts an entry host and adds it to the host list of the store. limits
// has additional fields of its settings.
func startHost(t testing.TB, s *devel.System, name string, names []string, limits map[string]any) *process {
	t.Helper()
	addrs := make([]string, 4)
	for i := range addrs {
		port, err := devel.FreePort()
		if err != nil {
			t.Fatal(err)
		}
		addrs[i] = fmt.Sprintf("127.0.0.1:%d", port)
	}
	fields := map[string]any{
		"host": name, "dataCentre": "north-1", "group": names, "drainMs": 5000,
		"listen": map[string]string{"callers": addrs[0], "relay": addrs[1], "peers": addrs[2], "operators": addrs[3]},
		"store":  map[string]string{"address": s.Address()},
	}
	maps.Copy(fields, limits)
	settings, err := json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(t.TempDir(), name+".jsonc")
	if err := os.WriteFile(file, settings, 0o600); err != nil {
		t.Fatal(err)
	}
	s.Store().AddMember(store.NewEntryMember(keys.Host(name), "north-1", store.Addresses{
		Callers: addrs[0], Relay: addrs[1], Peers: addrs[2], Operators: addrs[3],
	}))
	p := &process{cmd: exec.Command(os.Args[0], "serve", "--settings", file), callers: addrs[0], relay: addrs[1], peers: addrs[2], operators: addrs[3], secure: limits["tls"] != nil, done: make(chan error, 1)}
	if testing.Verbose() {
		p.cmd.Stderr = os.Stderr
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.done <- p.cmd.Wait() }()
	t.Cleanup(func() { p.cmd.Process.Kill() })
	return p
}

// secureClient accepts any certificate.
var secureClient = &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true}}}

// response is the part of a response that the tests check. Its status is 0 if no
// complete response arrived.
type response struct {
	status  int
	outcome answer.Outcome
	owner   string
}

// send sends a request to the host, with id as its request id if not empty.
func send(t testing.TB, p *process, path, method, id string) (r response) {
	t.Helper()
	client, scheme := http.DefaultClient, "http"
	if p.secure {
		client, scheme = secureClient, "https"
	}
	req, err := http.NewRequestWithContext(t.Context(), method, scheme+"://"+p.callers+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	if id != "" {
		req.Header.Set(answer.HeaderRequestID, id)
	}
	resp, err := client.Do(req)
	if err != nil {
		return r
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return r
	}
	return response{resp.StatusCode, answer.Parse(resp.Header.Get(answer.HeaderOutcome)), resp.Header.Get(answer.HeaderOwner)}
}

func waitFor(t testing.TB, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(stateTimeout); !ok(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the expected state was not reached")
		}
	}
}

// assignerIndex returns the index of the host that is the assigner of the
// ledger's cell.
func assignerIndex(t testing.TB, ps []*process) int {
	t.Helper()
	resp, err := http.Get("http://" + ps[0].operators + "/status")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	var s state.Host
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		t.Fatal(err)
	}
	for _, c := range s.Cells {
		if c.Cell == "ledger.north-1.0" {
			return int(c.Assigner[len(c.Assigner)-1] - 'a')
		}
	}
	t.Fatal("the cell has no assigner")
	return 0
}

// Guards against keys that are not served again after an entry host, also the
// assigner, is killed or suspended, and against a posted entry that runs twice
// because its caller retries it at another host.
func TestEntryHostLost(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		signal syscall.Signal
		role   string
	}{
		{"assigner killed", syscall.SIGKILL, "assigner"},
		{"other host killed", syscall.SIGKILL, "other"},
		{"assigner suspended", syscall.SIGSTOP, "assigner"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s, ps := startHosts(t, 3)
			var ids []string
			for k := range 30 {
				id, err := dedup.NewID()
				is.NoErr(err)
				ids = append(ids, id.String())
				send(t, ps[k%3], fmt.Sprintf("/ledger/tin-%d/entries", k), http.MethodPost, id.String())
			}
			lost := assignerIndex(t, ps)
			if tt.role == "other" {
				lost = (lost + 1) % 3
			}
			ps[lost].signal(t, tt.signal)
			remaining := []*process{ps[(lost+1)%3], ps[(lost+2)%3]}
			for k := range 30 {
				waitFor(t, func() bool {
					return send(t, remaining[k%2], fmt.Sprintf("/ledger/tin-%d", k), http.MethodGet, "").status == http.StatusOK
				})
				// The response to the retry comes from the deduplication record,
				// or is "unknown" if the record was lost with the host. The
				// request never runs again.
				send(t, remaining[(k+1)%2], fmt.Sprintf("/ledger/tin-%d/entries", k), http.MethodPost, ids[k])
			}
			if tt.signal == syscall.SIGSTOP {
				ps[lost].signal(t, syscall.SIGCONT)
				// The resumed host may still act on leases that it held before;
				// they must have expired, or the server must refuse the fence.
				for k := range 30 {
					send(t, ps[lost], fmt.Sprintf("/ledger/tin-%d/entries", k), http.MethodPost, ids[k])
				}
			}
			for _, id := range ids {
				n := 0
				for _, name := range s.Servers() {
					n += s.Server(name).Backend().Runs(id).Started
				}
				is.True(n <= 1)
			}
		})
	}
}

// Guards against a stop on SIGTERM that aborts or loses requests in flight, that
// ends the process with an error, or after which the remaining hosts don't serve
// requests.
func TestTerminate(t *testing.T) {
	for _, hosts := range []int{2, 3} {
		t.Run(fmt.Sprintf("hosts=%d", hosts), func(t *testing.T) {
			is := is.New(t)
			_, ps := startHosts(t, hosts)
			var failed, answered atomic.Int64
			var wg sync.WaitGroup
			for w := range 6 {
				wg.Go(func() { postEntries(t, ps[0], w, &answered, &failed) })
			}
			waitFor(t, func() bool { return answered.Load() > 200 })
			ps[0].signal(t, syscall.SIGTERM)
			select {
			case err := <-ps[0].done:
				is.NoErr(err)
			case <-time.After(stateTimeout):
				t.Fatal("the process did not stop after SIGTERM")
			}
			wg.Wait()
			is.Equal(failed.Load(), int64(0))
			is.Equal(send(t, ps[1], "/ledger/tin-1", http.MethodGet, "").status, http.StatusOK)
		})
	}
}

// postEntries posts entries to p until its readiness check fails, as a balancer
// does, and counts the successful ones and those without a complete response.
func postEntries(t *testing.T, p *process, worker int, answered, failed *atomic.Int64) {
	for n := 0; ; n++ {
		resp, err := http.Get("http://" + p.operators + "/readyz")
		if err != nil {
			return
		}
		resp.Body.Close()
		if resp.StatusCode != http.StatusNoContent {
			return
		}
		id, err := dedup.NewID()
		if err != nil {
			t.Error(err)
			return
		}
		switch r := send(t, p, fmt.Sprintf("/ledger/tin-%d-%d/entries", worker, n), http.MethodPost, id.String()); r.status {
		case 0:
			failed.Add(1)
		case http.StatusOK:
			answered.Add(1)
		}
	}
}

// Guards against invalid settings that "check" accepts or with which an entry
// host starts.
func TestInvalidSettings(t *testing.T) {
	tests := []struct{ name, text, want string }{
		{"unknown field", `{"host": "a", "colour": 1}`, "colour"},
		{"wrong type", "{\n\"host\": 7}", ":2: host"},
		{"missing", `{"host": "a"}`, "dataCentre"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			file := filepath.Join(t.TempDir(), "host.jsonc")
			is.NoErr(os.WriteFile(file, []byte(tt.text), 0o600))
			for _, args := range [][]string{{"check", "--kind", "settings", file}, {"serve", "--settings", file}} {
				cmd := exec.Command(os.Args[0], args...)
				out, err := cmd.CombinedOutput()
				is.True(err != nil)
				is.True(strings.Contains(string(out), tt.want))
			}
		})
	}
}
