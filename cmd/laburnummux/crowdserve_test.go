package main

import (
	"io"
	"maps"
	"math"
	"net"
	"testing"
	"time"

	"github.com/laburnummux/laburnummux/internal/fakes"
)

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
