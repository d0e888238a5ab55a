package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/platform"
	"github.com/laburnummux/laburnummux/platform/fakes"
)

// frontSubnets are the second bytes of the loopback addresses that entry hosts of
// these tests may use, and hostsPerSubnet the most hosts in each, which parallel tests
// share; frontLockPort is listened on while an address is in use.
const (
	frontSubnets   = 9
	hostsPerSubnet = 250
	frontLockPort  = 7199
)

// lockFrontIP returns an address for an entry host that no other test uses.
func lockFrontIP(t *testing.T) string {
	t.Helper()
	for n := 2; n <= frontSubnets; n++ {
		for i := 1; i <= hostsPerSubnet; i++ {
			l, err := net.Listen("tcp", fmt.Sprintf("127.%d.255.%d:%d", n, i, frontLockPort))
			if err == nil {
				t.Cleanup(func() { l.Close() })
				return fmt.Sprintf("127.%d.0.%d", n, i)
			}
		}
	}
	t.Fatal("other tests use all addresses")
	return ""
}

// frontHost is an entry host on the users' platform that runs as a separate
// process, with a store and backend servers.
type frontHost struct {
	addr    string // for callers
	cmd     *exec.Cmd
	servers []*fakes.Server
}

// startFront starts a front with a server of a service without keys and one of a
// keyed service, each with the given service time.
func startFront(t *testing.T, serviceTime time.Duration) *frontHost {
	t.Helper()
	return frontOptions{serviceTime: serviceTime, maxBody: 1 << 20}.start(t)
}

// frontOptions has what differs between the entry hosts of tests.
type frontOptions struct {
	serviceTime time.Duration
	padding     int       // bytes that are added to each response
	maxBody     int       // limit of request bodies
	memoryMB    int       // memory of the machine; 0: the default of fakes.Settings
	maxFDs      int       // descriptors of the process; 0: unknown
	args        []string  // added to the command line
	stdout      io.Writer // nil: discarded
}

// start starts a front with a server of a service without keys and one of a keyed
// service.
func (o frontOptions) start(t *testing.T) *frontHost {
	t.Helper()
	store := fakes.NewStore()
	t.Cleanup(store.Close)
	ip := lockFrontIP(t)
	h := &frontHost{addr: net.JoinHostPort(ip, strconv.Itoa(fakes.CallerPort))}
	for _, service := range []string{"catalogue", "ledger"} {
		sv := fakes.NewServer(fakes.ServerConfig{ID: service + "-1", Service: service, Zone: "north", Slots: 16, Keyed: service == "ledger", ServiceTime: o.serviceTime, Padding: o.padding})
		t.Cleanup(sv.Close)
		store.Put("servers", service+"-1", sv.Registration())
		h.servers = append(h.servers, sv)
	}
	store.Put("config", "main", fakes.WithMaxBody(fakes.Configuration(1, []string{"catalogue"}, []string{"ledger"}, []fakes.Route{
		{Name: "browse", Kind: "safe", Service: "catalogue", Timeout: "5s"}, {Name: "book", Kind: "unsafe", Service: "catalogue", Timeout: "5s"},
		{Name: "history", Kind: "safe", Service: "ledger", Timeout: "5s"},
	}), o.maxBody))
	file := filepath.Join(t.TempDir(), "node.conf")
	cfg := fakes.Settings{Name: "north-1", Zone: "north", IP: ip, Seed: ip, Store: store.Addr(), MemoryMB: o.memoryMB, MaxFDs: o.maxFDs}
	if err := cfg.Write(file); err != nil {
		t.Fatal(err)
	}
	h.cmd = exec.Command(os.Args[0], append([]string{"front", "--metrics", "", "--level", "error"}, o.args...)...)
	h.cmd.Stdout = o.stdout
	h.cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+file)
	if err := h.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		h.cmd.Process.Signal(syscall.SIGCONT)
		h.cmd.Process.Kill()
		h.cmd.Wait()
	})
	return h
}

// dial opens a connection to the host, on which a request of a kind has been
// answered.
func (h *frontHost) dial(t *testing.T, kind, id string) net.Conn {
	t.Helper()
	c, err := h.tryDial(kind, id)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func (h *frontHost) tryDial(kind, id string) (net.Conn, error) {
	for end := time.Now().Add(stateTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		c, err := net.Dial("tcp", h.addr)
		if err != nil {
			continue
		}
		if _, err = io.WriteString(c, frontRequest(kind, id)); err == nil {
			buf := make([]byte, 4096)
			if n, _ := c.Read(buf); strings.HasPrefix(string(buf[:n]), "HTTP/1.1 200") {
				return c, nil
			}
		}
		c.Close()
	}
	return nil, errors.New("the host answers no request")
}

// frontRequest returns a request of a kind.
func frontRequest(kind, id string) string {
	head := fmt.Sprintf("/%s/x HTTP/1.1\r\nHost: %s\r\nLaburnummux-Attempt-Id: %s\r\nLaburnummux-Shard-Key: 7\r\nLaburnummux-Deadline-Ms: 8000\r\n", kind, fakes.HostName, id)
	if kind == "book" {
		const size = 20_000
		return http.MethodPost + " " + head + fmt.Sprintf("Content-Length: %d\r\n\r\n", size) + strings.Repeat("x", size)
	}
	return http.MethodGet + " " + head + "\r\n"
}

// reached returns those of the attempts that have reached a server.
func (h *frontHost) reached(ids []string) (reached []string) {
	for _, id := range ids {
		if slices.ContainsFunc(h.servers, func(sv *fakes.Server) bool { return sv.Runs(id) > 0 }) {
			reached = append(reached, id)
		}
	}
	return reached
}

// Guards against requests that reach servers after their callers have left a host that was too slow to read them.
func TestCallersLeaveStoppedHost(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name      string
		kind      string
		pipelined int
		kept      bool // on connections that have carried a request
		reset     bool
	}{
		{"kept connections", "browse", 1, true, false},
		{"pipelined", "browse", 4, true, false},
		{"non-idempotent", "book", 1, true, false},
		{"keyed", "history", 1, true, false},
		{"new connections", "browse", 1, false, false},
		{"reset connections", "browse", 2, true, true},
	}
	const callers = 300
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			h := startFront(t, time.Millisecond)
			h.dial(t, tt.kind, "first").Close()
			var conns []net.Conn
			for i := range callers {
				if tt.kept {
					conns = append(conns, h.dial(t, tt.kind, fmt.Sprintf("kept-%d", i)))
				}
			}
			stopProcess(t, h.cmd.Process.Pid)
			for len(conns) < callers {
				c, err := net.Dial("tcp", h.addr)
				is.NoErr(err)
				conns = append(conns, c)
			}
			var ids []string
			for i, c := range conns {
				for j := range tt.pipelined {
					ids = append(ids, fmt.Sprintf("left-%d-%d", i, j))
					_, err := io.WriteString(c, frontRequest(tt.kind, ids[len(ids)-1]))
					is.NoErr(err)
				}
				if tt.reset {
					is.NoErr(c.(*net.TCPConn).SetLinger(0))
				}
				is.NoErr(c.Close())
			}
			is.NoErr(h.cmd.Process.Signal(syscall.SIGCONT))
			h.dial(t, tt.kind, "last").Close()
			time.Sleep(time.Second)
			is.Equal(h.reached([]string{"last"}), []string{"last"})
			is.Equal(h.reached(ids), nil)
		})
	}
}

// Guards against work that goes on at servers after its callers have left a stopped host, which is on again.
func TestWorkEndsForCallersOfStoppedHost(t *testing.T) {
	tests := []struct {
		name, kind       string
		conns, pipelined int
		running          int // requests that the server runs
	}{
		{"one each", "browse", 8, 1, 8},
		{"pipelined", "browse", 2, 4, 8},
		{"full pipeline", "browse", 1, 30, 16},
		{"keyed", "history", 8, 1, 8},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := startFront(t, 4*time.Second)
			running := func() (n int) {
				for _, sv := range h.servers {
					n += sv.Running()
				}
				return n
			}
			h.dial(t, tt.kind, "first").Close()
			var conns []net.Conn
			for i := range tt.conns {
				c, err := net.Dial("tcp", h.addr)
				is.NoErr(err)
				for j := range tt.pipelined {
					_, err = io.WriteString(c, frontRequest(tt.kind, fmt.Sprintf("work-%d-%d", i, j)))
					is.NoErr(err)
				}
				conns = append(conns, c)
			}
			waitFor(t, func() bool { return running() >= tt.running })
			stopProcess(t, h.cmd.Process.Pid)
			for _, c := range conns {
				is.NoErr(c.Close())
			}
			is.NoErr(h.cmd.Process.Signal(syscall.SIGCONT))
			time.Sleep(500 * time.Millisecond)
			is.Equal(running(), 0)
		})
	}
}

// Guards against requests that reach servers after their callers have left a stopped host of the stand-alone system.
func TestCallersLeaveStoppedServe(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const callers = 300
	s, ps := startHosts(t, 2)
	runs := func() (n int) {
		for _, name := range s.Servers() {
			n += len(s.Server(name).Backend().AllRuns())
		}
		return n
	}
	get := func(i int) string { return fmt.Sprintf("GET /ledger/tin-%d HTTP/1.1\r\nHost: h\r\n\r\n", i) }
	var conns []net.Conn
	for i := range callers {
		c, err := net.Dial("tcp", ps[0].callers)
		is.NoErr(err)
		_, err = io.WriteString(c, get(i))
		is.NoErr(err)
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		conns = append(conns, c)
	}
	before := runs()
	stopProcess(t, ps[0].cmd.Process.Pid)
	for i, c := range conns {
		_, err := io.WriteString(c, get(i))
		is.NoErr(err)
		is.NoErr(c.Close())
	}
	ps[0].signal(t, syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	is.Equal(runs(), before)
}
