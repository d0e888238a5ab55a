package main

import (
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/laburnummux/laburnummux/internal/peerpb"
	"github.com/laburnummux/laburnummux/internal/peers"
)

// Forms of requests to the addresses that aren't for callers. The heads stay below the
// default limit of net/http's server.
var otherForms = []struct {
	name string
	send func(c net.Conn, id string)
}{
	{"head in short lines", func(c net.Conn, _ string) {
		io.WriteString(c, "GET /status HTTP/1.1\r\nHost: h\r\n")
		io.WriteString(c, strings.Repeat("a:\r\n", (512<<10)/len("a:\r\n")))
	}},
	{"head and a body a byte short", func(c net.Conn, _ string) {
		io.WriteString(c, serveHead("/status", bodyBytes))
		sendRepeated(c, bodyBytes-1, 64<<10)
	}},
	{"body in chunks", func(c net.Conn, _ string) {
		io.WriteString(c, serveHead("/status", -1))
		sendChunks(c, math.MaxInt, 64<<10)
	}},
	{"pipelined, responses not read", func(c net.Conn, _ string) {
		for range 4000 {
			io.WriteString(c, "GET /dump HTTP/1.1\r\nHost: h\r\n\r\n")
		}
	}},
}

// otherClients is the number of clients of an address that isn't for callers.
const otherClients = 100

// Guards against callers at the addresses for the balancer, operators and metrics who
// end the process or take its memory or descriptors.
func TestCrowdFrontOtherAddresses(t *testing.T) {
	addresses := []struct {
		name string
		port string
		path string
	}{{"ready", "8388", "/api/ready"}, {"control", "8382", "/status"}, {"metrics", "9464", "/metrics"}}
	for _, a := range addresses {
		for _, f := range otherForms {
			t.Run(a.name+"/"+f.name, func(t *testing.T) {
				o := crowdHost()
				o.args = []string{"--metrics", a.port}
				h := o.start(t)
				h.dial(t, "browse", "first").Close()
				ip, _, _ := net.SplitHostPort(h.addr)
				cr := &crowd{addr: net.JoinHostPort(ip, a.port), clients: otherClients, send: f.send}
				pid := h.cmd.Process.Pid
				u := cr.run(t, pid, suspended, func() {
					h.dial(t, "browse", "last").Close()
					checkURL(t, "http://"+cr.addr+a.path)
				})
				u.check(t, pid, crowdMemoryMB, crowdFDs)
			})
		}
	}
}

// checkURL fails the test unless a URL is answered.
func checkURL(t *testing.T, url string) {
	t.Helper()
	c := http.Client{Timeout: time.Second}
	waitFor(t, func() bool {
		resp, err := c.Get(url)
		if err != nil {
			return false
		}
		resp.Body.Close()
		return true
	})
}

// Guards against a serve host whose process ends, or that holds more than its memory,
// by what is sent to its addresses for other hosts and for operators.
func TestCrowdServeOtherAddresses(t *testing.T) {
	addresses := []struct {
		name string
		addr func(p *process) string
	}{
		{"relay", func(p *process) string { return p.relay }},
		{"peers", func(p *process) string { return p.peers }},
		{"operators", func(p *process) string { return p.operators }},
	}
	for _, a := range addresses {
		for _, f := range otherForms {
			t.Run(a.name+"/"+f.name, func(t *testing.T) {
				_, ps := startLimitedHosts(t, 1, crowdLimits)
				p := ps[0]
				cr := &crowd{addr: a.addr(p), clients: otherClients, send: f.send}
				pid := p.cmd.Process.Pid
				u := cr.run(t, pid, suspended, func() {
					checkAnswers(t, p)
					checkURL(t, "http://"+p.operators+"/status")
				})
				u.check(t, pid, crowdMemoryMB, crowdFDs)
			})
		}
	}
}

// sendBatches sends long batches of messages between hosts as long as the connection is
// open.
func sendBatches(c net.Conn, _ string) {
	dial := func(context.Context, string) (net.Conn, error) { return c, nil }
	cc, err := grpc.NewClient("passthrough:///peer", grpc.WithContextDialer(dial), grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.MaxCallSendMsgSize(peers.MaxBatchBytes)))
	if err != nil {
		return
	}
	defer cc.Close()
	ctx, cancel := context.WithTimeout(context.Background(), crowdTime)
	defer cancel()
	batch := &peerpb.Batch{From: longName()}
	for ctx.Err() == nil {
		if _, err := peerpb.NewPeerClient(cc).Exchange(ctx, batch); status.Code(err) == codes.Unavailable {
			return // the host has closed the connection
		}
	}
}

// longName makes a batch about as long as it may be. It isn't a variable, as the hosts of
// these tests run the same binary.
var longName = sync.OnceValue(func() string { return strings.Repeat("x", peers.MaxBatchBytes-1024) })

// Guards against a serve host whose process ends, or that holds more than its memory,
// by long batches of messages that are sent to it at once.
func TestCrowdServeBatches(t *testing.T) {
	const clients = 40
	for _, ev := range []struct {
		name  string
		event event
	}{{"undisturbed", undisturbed}, {"suspended", suspended}} {
		t.Run(ev.name, func(t *testing.T) {
			_, ps := startLimitedHosts(t, 1, crowdLimits)
			p := ps[0]
			cr := &crowd{addr: p.peers, clients: clients, send: sendBatches}
			pid := p.cmd.Process.Pid
			u := cr.run(t, pid, ev.event, func() { checkAnswers(t, p) })
			u.check(t, pid, crowdMemoryMB, crowdFDs)
		})
	}
}

// Guards against long bodies of operators' requests that stop a byte short, which a serve
// host reads as a whole.
func TestCrowdServeRevisions(t *testing.T) {
	const (
		length = 4 << 20 // the longest that is read
		begin  = `{"author": "`
	)
	_, ps := startLimitedHosts(t, 1, crowdLimits)
	p := ps[0]
	cr := &crowd{addr: p.operators, clients: otherClients, send: func(c net.Conn, _ string) {
		io.WriteString(c, serveHead("/apply", length)+begin)
		sendRepeated(c, length-len(begin)-1, 64<<10)
	}}
	pid := p.cmd.Process.Pid
	u := cr.run(t, pid, suspended, func() {
		checkAnswers(t, p)
		checkURL(t, "http://"+p.operators+"/status")
	})
	u.check(t, pid, crowdMemoryMB, crowdFDs)
}

// Guards against connections without a request at the addresses that aren't for
// callers that take the descriptors of the process.
func TestCrowdIdleOtherAddresses(t *testing.T) {
	const maxFDs, clients = 400, 600
	idle := func(net.Conn, string) {}
	t.Run("front", func(t *testing.T) {
		for _, port := range []string{"8388", "8382", "9464"} {
			t.Run(port, func(t *testing.T) {
				o := crowdHost()
				o.maxFDs, o.args = maxFDs, []string{"--metrics", "9464"}
				h := o.start(t)
				h.dial(t, "browse", "first").Close()
				ip, _, _ := net.SplitHostPort(h.addr)
				cr := &crowd{addr: net.JoinHostPort(ip, port), clients: clients, send: idle}
				pid := h.cmd.Process.Pid
				u := cr.run(t, pid, undisturbed, func() { h.dial(t, "browse", "last").Close() })
				u.check(t, pid, crowdMemoryMB, maxFDs)
			})
		}
	})
	t.Run("serve", func(t *testing.T) {
		for _, name := range []string{"relay", "peers", "operators"} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				_, ps := startLimitedHosts(t, 1, crowdLimits)
				p := ps[0]
				addr := map[string]string{"relay": p.relay, "peers": p.peers, "operators": p.operators}[name]
				is.NoErr(unix.Prlimit(p.cmd.Process.Pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: maxFDs, Max: maxFDs}, nil))
				cr := &crowd{addr: addr, clients: clients, send: idle}
				pid := p.cmd.Process.Pid
				u := cr.run(t, pid, undisturbed, func() { checkAnswers(t, p) })
				u.check(t, pid, crowdMemoryMB, maxFDs)
			})
		}
	})
}
