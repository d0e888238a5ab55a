package main

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The tests TestCrowd* have many callers send at once to a host that runs as a separate
// process, and is suspended, reloaded or stopped meanwhile. They check that its resident
// memory and the bytes that it has received and not read stay below the memory of its
// machine together. CI runs them apart from the other tests.

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

// mixed returns a function that sends the forms by turns.
func mixed(forms []func(c net.Conn, id string)) func(c net.Conn, id string) {
	return func(c net.Conn, id string) {
		var client, attempt int
		fmt.Sscanf(id, "client-%d-%d", &client, &attempt)
		forms[(client+attempt)%len(forms)](c, id)
	}
}
