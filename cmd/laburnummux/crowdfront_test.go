package main

import (
	"fmt"
	"io"
	"math"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

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
