package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/platform/fakes"
)

// The tests of this file send what misbehaving callers send to an entry host that
// runs as a separate process. They check only what doesn't depend on the speed of
// the machine: the process lives, its memory and descriptors stay below those of
// its machine, and it still answers. They take up to 10 s each, as clients that are
// refused write until sendTimeout.

const (
	// hostMemoryMB is the memory of the host. bodyLimit and bodyBytes
	// are the limit of request bodies and the length of each client's body: all
	// of them together need twice the memory.
	hostMemoryMB = 144
	bodyLimit    = 16 << 20
	bodyBytes    = 12 << 20
	clientCount  = 24
	// sendTimeout bounds the time in which a client sends, and idleWait is how long
	// the clients stay connected after that.
	sendTimeout = 8 * time.Second
	idleWait    = time.Second
)

// bodyHead returns the head of a request with a body. length < 0 means chunks.
func bodyHead(id string, length int) string {
	framing := fmt.Sprintf("Content-Length: %d", length)
	if length < 0 {
		framing = "Transfer-Encoding: chunked"
	}
	return fmt.Sprintf("POST /book/x HTTP/1.1\r\nHost: %s\r\nLaburnummux-Attempt-Id: %s\r\nLaburnummux-Deadline-Ms: 8000\r\n%s\r\n\r\n", fakes.HostName, id, framing)
}

// filler returns the content of bodies. Clients share it, as there are many of them.
var filler = sync.OnceValue(func() []byte { return []byte(strings.Repeat("x", 1<<20)) })

// sendRepeated sends n bytes in pieces.
func sendRepeated(c net.Conn, n, piece int) {
	for n > 0 {
		m, err := c.Write(filler()[:min(n, piece)])
		if err != nil {
			return // the host has closed the connection, which it may
		}
		n -= m
	}
}

// sendChunks sends n bytes in chunks of a size, which must divide n, without the last
// chunk. math.MaxInt stands for bytes without end.
func sendChunks(c net.Conn, n, size int) {
	chunk := fmt.Sprintf("%x\r\n%s\r\n", size, filler()[:size])
	buf := strings.Repeat(chunk, max(1, (64<<10)/len(chunk)))
	for left := n / size; left > 0; left -= len(buf) / len(chunk) {
		if _, err := io.WriteString(c, buf[:min(left, len(buf)/len(chunk))*len(chunk)]); err != nil {
			return // the host has closed the connection, which it may
		}
	}
}

// misbehaviour is what each caller of a group of clients sends. Errors of writes are ignored: the
// host may close the connection at any time.
type misbehaviour struct {
	name    string
	padding int // bytes that are added to each response
	maxBody int // limit of request bodies; 0: bodyLimit
	send    func(c net.Conn, id string)
}

var misbehaviours = []misbehaviour{
	{"whole, a byte short", 0, 0, aByteShort},
	{"in pieces, a byte short", 0, 0, aByteShortInPieces},
	{"large chunks", 0, 0, inLargeChunks},
	// Chunks of one byte take six bytes each on the wire, which are limited, too.
	{"chunks of one byte", 0, 64 << 20, func(c net.Conn, id string) {
		io.WriteString(c, bodyHead(id, -1))
		sendChunks(c, 10<<20, 1)
	}},
	{"chunks without end", 0, 0, sentOverLimit},
	{"announced over the limit", 0, 0, announcedOverLimit},
	{"sent over the limit", 0, 0, func(c net.Conn, id string) {
		io.WriteString(c, bodyHead(id, -1))
		sendChunks(c, bodyLimit+(1<<20), 64<<10)
		io.WriteString(c, "0\r\n\r\n")
	}},
	{"pipelined bodies", 0, 0, func(c net.Conn, id string) {
		for i := range 16 {
			io.WriteString(c, bodyHead(fmt.Sprintf("%s-%d", id, i), bodyBytes/16))
			sendRepeated(c, bodyBytes/16, 1<<20)
		}
	}},
	{"headers without end", 0, 0, func(c net.Conn, id string) {
		io.WriteString(c, "GET /browse/x HTTP/1.1\r\nHost: "+fakes.HostName+"\r\n")
		for i := range 16 << 10 {
			fmt.Fprintf(c, "%x:\r\n", i)
		}
	}},
	{"responses that aren't read", 2 << 20, 0, responsesNotRead},
}

// clients are callers that send the same at once.
type clients struct {
	host  *frontHost
	conns []net.Conn
}

// connect opens the connections of a group of clients, on which a request has been answered if
// kept is set.
func (h *frontHost) connect(t *testing.T, n int, kept bool) *clients {
	t.Helper()
	cl := &clients{host: h, conns: make([]net.Conn, n)}
	errs := make([]error, n)
	var wg sync.WaitGroup
	for i := range n {
		if kept {
			wg.Go(func() { cl.conns[i], errs[i] = h.tryDial("book", fmt.Sprintf("kept-%d", i)) })
			continue
		}
		cl.conns[i], errs[i] = net.Dial("tcp", h.addr)
	}
	wg.Wait()
	for _, c := range cl.conns {
		if c != nil {
			t.Cleanup(func() { c.Close() })
		}
	}
	if err := errors.Join(errs...); err != nil {
		t.Fatal(err)
	}
	return cl
}

// send has each caller send at once, and returns when all have sent or given up.
func (cl *clients) send(f func(c net.Conn, id string)) {
	var wg sync.WaitGroup
	end := time.Now().Add(sendTimeout)
	for i, c := range cl.conns {
		c.SetWriteDeadline(end)
		wg.Go(func() { f(c, fmt.Sprintf("client-%d", i)) })
	}
	wg.Wait()
}

// Guards against callers that end the process of a host, or keep it from serving
// others, by bodies, headers or responses that take more than its memory.
func TestMisbehavingCallers(t *testing.T) {
	for _, m := range misbehaviours {
		for _, kept := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/kept=%t", m.name, kept), func(t *testing.T) {
				const maxFDs = 1024
				h := frontOptions{serviceTime: 100 * time.Millisecond, padding: m.padding, maxBody: cmp.Or(m.maxBody, bodyLimit), memoryMB: hostMemoryMB, maxFDs: maxFDs}.start(t)
				h.dial(t, "browse", "first").Close()
				cl := h.connect(t, clientCount, kept)
				s := newSampler(h.cmd.Process.Pid)
				cl.send(m.send)
				time.Sleep(idleWait)
				h.dial(t, "browse", "last").Close()
				u := s.finish()
				u.check(t, h.cmd.Process.Pid, hostMemoryMB, maxFDs)
			})
		}
	}
}

// Guards against callers whose connections take all descriptors of a host.
func TestManyConnections(t *testing.T) {
	tests := []struct {
		name string
		send func(c net.Conn, id string)
	}{
		{"idle", func(net.Conn, string) {}},
		{"incomplete header", func(c net.Conn, _ string) { io.WriteString(c, "GET /browse/x HTTP/1.1\r\nHost: h\r\n") }},
		{"incomplete body", func(c net.Conn, id string) { io.WriteString(c, bodyHead(id, 1000)+"x") }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			const maxFDs, conns = 400, 600
			h := frontOptions{serviceTime: time.Millisecond, maxBody: bodyLimit, memoryMB: hostMemoryMB, maxFDs: maxFDs}.start(t)
			h.dial(t, "browse", "first").Close()
			s := newSampler(h.cmd.Process.Pid)
			cl := h.connect(t, conns, false)
			cl.send(tt.send)
			time.Sleep(idleWait)
			h.dial(t, "browse", "last").Close()
			u := s.finish()
			u.check(t, h.cmd.Process.Pid, hostMemoryMB, maxFDs)
		})
	}
}

// Guards against a host without other work that refuses a body of the length that
// its configuration allows, or takes more than its memory for it.
func TestLongestBody(t *testing.T) {
	is := is.New(t)
	const size = 64 << 20
	h := frontOptions{serviceTime: time.Millisecond, maxBody: size, memoryMB: hostMemoryMB}.start(t)
	h.dial(t, "browse", "first").Close()
	c, err := net.Dial("tcp", h.addr)
	is.NoErr(err)
	t.Cleanup(func() { c.Close() })
	_, err = io.WriteString(c, bodyHead("longest", size))
	is.NoErr(err)
	sendRepeated(c, size, 1<<20)
	buf := make([]byte, 4096)
	n, err := c.Read(buf)
	is.NoErr(err)
	memory := residentBytes(h.cmd.Process.Pid)
	t.Logf("%d MB", memory/1e6)
	is.True(strings.HasPrefix(string(buf[:n]), fmt.Sprintf("HTTP/1.1 %d", http.StatusOK)))
	is.True(memory < hostMemoryMB*1e6)
}

// Guards against complete bodies that wait for a server that doesn't respond and take
// all of the memory, or the memory of requests to other servers.
func TestBodiesAtHungServer(t *testing.T) {
	h := frontOptions{serviceTime: time.Millisecond, maxBody: bodyLimit, memoryMB: hostMemoryMB}.start(t)
	h.dial(t, "history", "first").Close()
	h.servers[0].Hang(true)
	cl := h.connect(t, clientCount, false)
	s := newSampler(h.cmd.Process.Pid)
	cl.send(complete)
	time.Sleep(idleWait)
	h.dial(t, "history", "last").Close()
	u := s.finish()
	u.check(t, h.cmd.Process.Pid, hostMemoryMB, math.MaxInt)
}

// Guards against a host that doesn't end while callers are connected whose bodies stop
// a byte short.
func TestStopWithIncompleteBodies(t *testing.T) {
	is := is.New(t)
	h := frontOptions{serviceTime: time.Millisecond, maxBody: bodyLimit, memoryMB: hostMemoryMB}.start(t)
	h.dial(t, "browse", "first").Close()
	cl := h.connect(t, clientCount, false)
	cl.send(misbehaviours[0].send)
	is.NoErr(h.cmd.Process.Signal(syscall.SIGTERM))
	waitFor(t, func() bool { return !isAlive(h.cmd.Process.Pid) })
}
