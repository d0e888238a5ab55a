package main

import (
	"bufio"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"maps"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"golang.org/x/sys/unix"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/laburnummux/laburnummux/internal/fakes"
	"github.com/laburnummux/laburnummux/internal/peerpb"
	"github.com/laburnummux/laburnummux/internal/peers"
)

// The tests of this file have many callers send at once to a host that runs as a
// separate process, and is suspended, reloaded or stopped meanwhile. They check that
// its resident memory and the bytes that it has received and not read stay below the
// memory of its machine together. CI runs them apart from the other tests.

const (
	// crowdMemoryMB and crowdFDs are the limits of the smallest machine, and
	// crowdClients is somewhat below the connections that they allow.
	crowdMemoryMB = 144
	crowdFDs      = 3075
	crowdClients  = 700
	// floodClients are more clients than connections that the limits allow.
	floodClients = 2500
	// crowdTime is how long clients send, eventDelay when the host is suspended,
	// reloaded or stopped after their start, and suspension how long it is suspended.
	crowdTime  = 5 * time.Second
	eventDelay = 500 * time.Millisecond
	suspension = 3 * time.Second
	// clientBuffer is the send buffer of a client. The default would take some GB for
	// all clients.
	clientBuffer = 64 << 10
)

// crowd is many clients that send at once to an address.
type crowd struct {
	addr    string
	clients int
	kept    string // request that is sent first and whose response is read; empty: none
	again   bool   // clients whose connection is closed open another one
	tls     bool
	send    func(c net.Conn, id string)

	end   time.Time
	mu    sync.Mutex
	conns []net.Conn // of all clients
	done  sync.WaitGroup
}

// start starts the clients, two from each address.
func (cr *crowd) start(t *testing.T) {
	t.Helper()
	cr.end = time.Now().Add(crowdTime)
	for i := range cr.clients {
		cl := &crowdClient{crowd: cr, number: i}
		cr.done.Go(cl.run)
	}
	t.Cleanup(cr.close)
}

// wait waits until all clients have sent or given up.
func (cr *crowd) wait() { cr.done.Wait() }

func (cr *crowd) close() {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	for _, c := range cr.conns {
		c.Close()
	}
}

// crowdClient is a client of a crowd.
type crowdClient struct {
	crowd  *crowd
	number int
}

func (cl *crowdClient) run() {
	cr := cl.crowd
	for n := 0; time.Now().Before(cr.end); n++ {
		c, err := cl.dial()
		if err != nil {
			continue // the host may refuse connections
		}
		if cr.kept != "" {
			io.WriteString(c, cr.kept)
			c.Read(make([]byte, 4096))
		}
		cr.send(c, fmt.Sprintf("client-%d-%d", cl.number, n))
		if !cr.again {
			return
		}
		io.Copy(io.Discard, c) // until the host closes the connection or the client gives up
		c.Close()
	}
}

// dial opens a connection from the client's address.
func (cl *crowdClient) dial() (net.Conn, error) {
	cr := cl.crowd
	address := cl.number / 2
	d := net.Dialer{Deadline: cr.end, LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 250, byte(address>>8), byte(address))}}
	c, err := d.DialContext(context.Background(), "tcp", cr.addr)
	if err != nil {
		time.Sleep(10 * time.Millisecond)
		return nil, err
	}
	c.(*net.TCPConn).SetWriteBuffer(clientBuffer)
	c.SetDeadline(cr.end)
	cr.mu.Lock()
	cr.conns = append(cr.conns, c)
	cr.mu.Unlock()
	if cr.tls {
		c = tls.Client(c, &tls.Config{InsecureSkipVerify: true}) // the fake's certificate
	}
	return c, nil
}

// event is what happens to the host while clients send.
type event func(t *testing.T, pid int)

func undisturbed(*testing.T, int) {}

func suspended(t *testing.T, pid int) {
	stopProcess(t, pid)
	time.Sleep(suspension)
	signalProcess(t, pid, syscall.SIGCONT)
}

// littleProcessorTime lets the process run for a tenth of the time.
func littleProcessorTime(t *testing.T, pid int) {
	for end := time.Now().Add(suspension); time.Now().Before(end); {
		stopProcess(t, pid)
		time.Sleep(90 * time.Millisecond)
		signalProcess(t, pid, syscall.SIGCONT)
		time.Sleep(10 * time.Millisecond)
	}
}

func reloaded(t *testing.T, pid int) {
	for range 10 {
		signalProcess(t, pid, syscall.SIGHUP)
		time.Sleep(suspension / 10)
	}
}

func terminated(t *testing.T, pid int) { signalProcess(t, pid, syscall.SIGTERM) }

func signalProcess(t *testing.T, pid int, s syscall.Signal) {
	t.Helper()
	if err := syscall.Kill(pid, s); err != nil {
		t.Fatal(err)
	}
}

// run has the clients send, lets an event happen, and returns the usage of the host
// until an ordinary request was answered after that.
func (cr *crowd) run(t *testing.T, pid int, ev event, ordinary func()) usage {
	t.Helper()
	s := newSampler(pid)
	cr.start(t)
	time.Sleep(eventDelay)
	ev(t, pid)
	cr.wait()
	ordinary()
	return s.finish()
}

// frontForms are what callers of a front send.
var frontForms = []func(c net.Conn, id string){
	aByteShort, aByteShortInPieces, inLargeChunks, inChunksOfOneByte, announcedOverLimit, sentOverLimit, responsesNotRead, complete,
}

func aByteShort(c net.Conn, id string) {
	io.WriteString(c, bodyHead(id, bodyBytes))
	sendRepeated(c, bodyBytes-1, 1<<20)
}

func aByteShortInPieces(c net.Conn, id string) {
	io.WriteString(c, bodyHead(id, bodyBytes))
	sendRepeated(c, bodyBytes-1, 1000)
}

func inLargeChunks(c net.Conn, id string) {
	io.WriteString(c, bodyHead(id, -1))
	sendChunks(c, bodyBytes, 256<<10)
}

func inChunksOfOneByte(c net.Conn, id string) {
	io.WriteString(c, bodyHead(id, -1))
	sendChunks(c, bodyBytes, 1)
}

func announcedOverLimit(c net.Conn, id string) {
	io.WriteString(c, bodyHead(id, 1<<30))
	sendRepeated(c, 2*bodyLimit, 1<<20)
}

func sentOverLimit(c net.Conn, id string) {
	io.WriteString(c, bodyHead(id, -1))
	sendChunks(c, math.MaxInt, 64<<10)
}

func responsesNotRead(c net.Conn, id string) {
	for i := range 64 {
		io.WriteString(c, frontRequest("browse", fmt.Sprintf("%s-%d", id, i)))
	}
}

func complete(c net.Conn, id string) {
	io.WriteString(c, bodyHead(id, bodyBytes))
	sendRepeated(c, bodyBytes, 1<<20)
}

func pipelined(c net.Conn, id string) {
	for i := range 64 {
		io.WriteString(c, bodyHead(fmt.Sprintf("%s-%d", id, i), 1)+"x")
	}
}

// mixed returns a function that sends the forms by turns.
func mixed(forms []func(c net.Conn, id string)) func(c net.Conn, id string) {
	return func(c net.Conn, id string) {
		var client, attempt int
		fmt.Sscanf(id, "client-%d-%d", &client, &attempt)
		forms[(client+attempt)%len(forms)](c, id)
	}
}

// Guards against a front whose process ends, or that holds more than the memory of its
// machine, as many callers send more than it reads.
func TestCrowdFront(t *testing.T) {
	all := mixed(frontForms)
	tests := []struct {
		name    string
		event   event
		clients int
		kept    bool
		again   bool
		send    func(c net.Conn, id string)
	}{
		{"a byte short", undisturbed, crowdClients, false, false, aByteShort},
		{"a byte short, suspended", suspended, crowdClients, false, false, aByteShort},
		{"in pieces, suspended", suspended, crowdClients, false, false, aByteShortInPieces},
		{"large chunks, suspended", suspended, crowdClients, false, false, inLargeChunks},
		{"chunks of one byte, suspended", suspended, crowdClients, false, false, inChunksOfOneByte},
		{"announced over the limit, suspended", suspended, crowdClients, false, false, announcedOverLimit},
		{"sent over the limit, suspended", suspended, crowdClients, false, false, sentOverLimit},
		{"responses that aren't read, suspended", suspended, crowdClients, false, false, responsesNotRead},
		{"mixed", undisturbed, crowdClients, false, false, all},
		{"mixed, suspended", suspended, crowdClients, false, false, all},
		{"mixed on kept connections, suspended", suspended, crowdClients, true, false, all},
		{"mixed, again after each refusal", undisturbed, crowdClients, false, true, all},
		{"mixed, again after each refusal, suspended", suspended, crowdClients, false, true, all},
		{"mixed, little processor time", littleProcessorTime, crowdClients, false, true, all},
		{"mixed, reloaded", reloaded, crowdClients, false, true, all},
		{"more than the connections allowed, suspended", suspended, floodClients, false, false, all},
		{"more than the connections allowed, again, suspended", suspended, floodClients, false, true, all},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := crowdHost().start(t)
			h.dial(t, "browse", "first").Close()
			cr := &crowd{addr: h.addr, clients: tt.clients, again: tt.again, send: tt.send}
			if tt.kept {
				cr.kept = frontRequest("browse", "kept")
			}
			pid := h.cmd.Process.Pid
			u := cr.run(t, pid, tt.event, func() { h.dial(t, "browse", "last").Close() })
			u.check(t, pid, crowdMemoryMB, crowdFDs)
		})
	}
}

// crowdHost returns the options of a front on the smallest machine.
func crowdHost() frontOptions {
	return frontOptions{serviceTime: 100 * time.Millisecond, padding: 2 << 20, maxBody: bodyLimit, memoryMB: crowdMemoryMB, maxFDs: crowdFDs}
}

// Guards against a front that holds more than its memory, or refuses requests to other
// servers, while complete bodies wait for a server that doesn't respond.
func TestCrowdAtHungServer(t *testing.T) {
	tests := []struct {
		name  string
		event event
		send  func(c net.Conn, id string)
	}{{"undisturbed", undisturbed, complete}, {"suspended", suspended, complete}, {"pipelined", undisturbed, pipelined}, {"pipelined, suspended", suspended, pipelined}}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := crowdHost().start(t)
			h.dial(t, "history", "first").Close()
			h.servers[0].Hang(true)
			cr := &crowd{addr: h.addr, clients: crowdClients, send: tt.send}
			pid := h.cmd.Process.Pid
			u := cr.run(t, pid, tt.event, func() { h.dial(t, "history", "last").Close() })
			u.check(t, pid, crowdMemoryMB, crowdFDs)
		})
	}
}

// Guards against a front that doesn't end on SIGTERM while many callers send, or that
// holds more than its memory meanwhile.
func TestCrowdTerminated(t *testing.T) {
	is := is.New(t)
	h := crowdHost().start(t)
	h.dial(t, "browse", "first").Close()
	cr := &crowd{addr: h.addr, clients: crowdClients, again: true, send: mixed(frontForms)}
	pid := h.cmd.Process.Pid
	u := cr.run(t, pid, terminated, func() { waitFor(t, func() bool { return !isAlive(pid) }) })
	t.Logf("%d MB resident, %d MB unread, %d MB in all", u.memory/1e6, u.unread/1e6, u.total/1e6)
	is.True(u.total < crowdMemoryMB*1e6)
	is.True(u.memory < crowdMemoryMB*1e6)
}

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

// serveForms are what callers of a serve host send.
var serveForms = []func(c net.Conn, id string){
	func(c net.Conn, _ string) { // a byte short of what is buffered
		io.WriteString(c, serveHead("/bookings", serveBuffer))
		sendRepeated(c, serveBuffer-1, serveBuffer)
	},
	func(c net.Conn, _ string) { // long, a byte short
		io.WriteString(c, serveHead("/bookings", serveBodyLimit))
		sendRepeated(c, serveBodyLimit-1, 64<<10)
	},
	func(c net.Conn, _ string) { // the same in pieces
		io.WriteString(c, serveHead("/bookings", serveBodyLimit))
		sendRepeated(c, serveBodyLimit-1, 1000)
	},
	func(c net.Conn, _ string) { // large chunks
		io.WriteString(c, serveHead("/bookings", -1))
		sendChunks(c, serveBodyLimit, 256<<10)
	},
	func(c net.Conn, _ string) { // chunks of one byte
		io.WriteString(c, serveHead("/bookings", -1))
		sendChunks(c, serveBodyLimit, 1)
	},
	func(c net.Conn, _ string) { // announced over the limit
		io.WriteString(c, serveHead("/bookings", 1<<30))
		sendRepeated(c, 4*serveBodyLimit, 64<<10)
	},
	func(c net.Conn, _ string) { // sent over the limit
		io.WriteString(c, serveHead("/bookings", -1))
		sendChunks(c, math.MaxInt, 64<<10)
	},
	func(c net.Conn, _ string) { // responses that aren't read
		for range 64 {
			io.WriteString(c, "GET /ledger/tin-1?size=2000000 HTTP/1.1\r\nHost: h\r\n\r\n")
		}
	},
}

// Guards against a serve host whose process ends, or that holds more than its memory,
// as many callers send more than it reads.
func TestCrowdServe(t *testing.T) {
	all := mixed(serveForms)
	tests := []struct {
		name    string
		event   event
		clients int
		kept    bool
		again   bool
		tls     bool
		send    func(c net.Conn, id string)
	}{
		{"a byte short of the buffer, suspended", suspended, crowdClients, false, false, false, serveForms[0]},
		{"long, a byte short, suspended", suspended, crowdClients, false, false, false, serveForms[1]},
		{"in pieces, suspended", suspended, crowdClients, false, false, false, serveForms[2]},
		{"large chunks, suspended", suspended, crowdClients, false, false, false, serveForms[3]},
		{"chunks of one byte, suspended", suspended, crowdClients, false, false, false, serveForms[4]},
		{"announced over the limit, suspended", suspended, crowdClients, false, false, false, serveForms[5]},
		{"sent over the limit, suspended", suspended, crowdClients, false, false, false, serveForms[6]},
		{"responses that aren't read, suspended", suspended, crowdClients, false, false, false, serveForms[7]},
		{"mixed", undisturbed, crowdClients, false, false, false, all},
		{"mixed on kept connections, suspended", suspended, crowdClients, true, false, false, all},
		{"mixed, again after each refusal, suspended", suspended, crowdClients, false, true, false, all},
		{"mixed, little processor time", littleProcessorTime, crowdClients, false, true, false, all},
		{"more than the connections allowed, suspended", suspended, floodClients, false, false, false, all},
		{"TLS, long, a byte short, suspended", suspended, crowdClients, false, false, true, serveForms[1]},
		{"TLS, mixed, again after each refusal, suspended", suspended, crowdClients, false, true, true, all},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			limits := maps.Clone(crowdLimits)
			if tt.tls {
				limits["tls"] = map[string]any{"callers": serverCertificate(t)}
			}
			_, ps := startLimitedHosts(t, 1, limits)
			p := ps[0]
			cr := &crowd{addr: p.callers, clients: tt.clients, again: tt.again, tls: tt.tls, send: tt.send}
			if tt.kept {
				cr.kept = "GET /ledger/tin-1 HTTP/1.1\r\nHost: h\r\n\r\n"
			}
			pid := p.cmd.Process.Pid
			u := cr.run(t, pid, tt.event, func() { checkAnswers(t, p) })
			u.check(t, pid, crowdMemoryMB, crowdFDs)
		})
	}
}

// crowdLimits are the limits in the settings of a serve host on the smallest machine.
var crowdLimits = map[string]any{"memoryMB": crowdMemoryMB}

// serverCertificate returns the settings of a certificate for 127.0.0.1.
func serverCertificate(t *testing.T) map[string]string {
	t.Helper()
	ca, err := fakes.NewAuthority(t.TempDir(), "callers")
	if err != nil {
		t.Fatal(err)
	}
	f, err := ca.Issue("local", time.Hour, "127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	return map[string]string{"certificate": f.Certificate, "key": f.Key}
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

// Guards against a host on the smallest machine that refuses a single request at the
// limit when nobody else sends.
func TestCrowdAbsent(t *testing.T) {
	const longest = 64 << 20
	tests := []struct {
		name  string
		chunk int // bytes; 0: announced
	}{{"announced", 0}, {"large chunks", 256 << 10}, {"chunks of one byte", 1}}
	for _, tt := range tests {
		t.Run("front/"+tt.name, func(t *testing.T) {
			is := is.New(t)
			o := crowdHost()
			o.maxBody, o.padding = longest, 0
			h := o.start(t)
			c := h.dial(t, "browse", "first")
			s := newSampler(h.cmd.Process.Pid)
			is.Equal(sendLongest(t, c, func(n int) string { return bodyHead("longest", n) }, tt.chunk, longest), http.StatusOK)
			s.finish().check(t, h.cmd.Process.Pid, crowdMemoryMB, crowdFDs)
		})
		t.Run("serve/"+tt.name, func(t *testing.T) {
			_, ps := startLimitedHosts(t, 1, crowdLimits)
			s := newSampler(ps[0].cmd.Process.Pid)
			waitFor(t, func() bool { // ids from before the first grant are answered "unknown"
				c, err := net.Dial("tcp", ps[0].callers)
				if err != nil {
					return false
				}
				defer c.Close()
				return sendLongest(t, c, func(n int) string { return serveHead("/bookings", n) }, tt.chunk, serveBodyLimit) == http.StatusOK
			})
			s.finish().check(t, ps[0].cmd.Process.Pid, crowdMemoryMB, crowdFDs)
		})
	}
}

// sendLongest sends a request with a body of n bytes, in chunks of a size if it isn't 0,
// and returns the status of the response. head returns its header for an announced
// length, which is -1 for chunks.
func sendLongest(t *testing.T, c net.Conn, head func(n int) string, chunk, n int) int {
	t.Helper()
	is := is.New(t)
	if chunk > 0 {
		_, err := io.WriteString(c, head(-1))
		is.NoErr(err)
		sendChunks(c, n, chunk)
		_, err = io.WriteString(c, "0\r\n\r\n")
		is.NoErr(err)
	} else {
		_, err := io.WriteString(c, head(n))
		is.NoErr(err)
		sendRepeated(c, n, 1<<20)
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	is.NoErr(err)
	is.NoErr(resp.Body.Close())
	return resp.StatusCode
}
