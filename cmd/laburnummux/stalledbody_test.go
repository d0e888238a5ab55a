package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/pkg/answer"
)

// Guards against callers whose long bodies stop short and occupy all slots of a service's
// servers, so that the requests of others wait until their deadline and are refused.
func TestCrowdStalledBodies(t *testing.T) {
	// timeout is that of an ordinary request, which is sent after those of the clients.
	// They have the timeout of the operation, 5 s, and thus end later.
	const timeout = 3500 * time.Millisecond
	tests := []struct {
		clients, hosts int // at 6 slots
		addresses      int // of the clients
	}{
		{24, 1, 1}, {24, 2, 1}, {12, 1, 1}, {12, 2, 1}, {24, 1, 24}, {24, 2, 24},
	}
	for _, tt := range tests {
		name := fmt.Sprintf("clients=%d,hosts=%d", tt.clients, tt.hosts)
		if tt.addresses > 1 {
			name += fmt.Sprintf(",addresses=%d", tt.addresses)
		}
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, ps := startLimitedHosts(t, tt.hosts, crowdLimits)
			waitFor(t, func() bool { // ids from before the first grant are answered "unknown"
				return send(t, ps[0], "/bookings", http.MethodPost, "").status == http.StatusOK
			})
			var conns []net.Conn
			for i := range tt.clients {
				d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.IPv4(127, 0, 0, byte(1+i%tt.addresses))}}
				c, err := d.Dial("tcp", ps[0].callers)
				is.NoErr(err)
				defer c.Close()
				conns = append(conns, c)
				io.WriteString(c, serveHead("/bookings", serveBodyLimit))
				sendRepeated(c, 4*serveBuffer, serveBuffer)
			}
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+ps[0].callers+"/bookings", nil)
			is.NoErr(err)
			req.Header.Set(answer.HeaderTimeout, strconv.FormatInt(timeout.Milliseconds(), 10))
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			is.Equal(resp.StatusCode, http.StatusOK)
			checkInterrupted(t, conns)
		})
	}
}

// Guards against callers that don't read long responses and occupy the slots of a server, so
// that the requests of others wait until their deadline and are refused.
func TestCrowdStalledResponses(t *testing.T) {
	// timeout is that of an ordinary request. The clients have that of the operation, 5 s.
	const timeout = 3500 * time.Millisecond
	const slots = 2 // of the key's server
	tests := []struct{ clients, hosts int }{{4, 1}, {4, 2}}
	for _, tt := range tests {
		t.Run(fmt.Sprintf("clients=%d,hosts=%d", tt.clients, tt.hosts), func(t *testing.T) {
			is := is.New(t)
			_, ps := startLimitedHosts(t, tt.hosts, crowdLimits)
			for i := range tt.clients {
				c, err := net.Dial("tcp", ps[0].callers)
				is.NoErr(err)
				defer c.Close()
				is.NoErr(c.(*net.TCPConn).SetReadBuffer(clientBuffer))
				io.WriteString(c, "GET /ledger/tin-1?size=64000000 HTTP/1.1\r\nHost: h\r\n\r\n")
				if i < slots {
					_, err = io.ReadFull(c, make([]byte, 1000)) // it has a slot
					is.NoErr(err)
				}
			}
			req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+ps[0].callers+"/ledger/tin-1", nil)
			is.NoErr(err)
			req.Header.Set(answer.HeaderTimeout, strconv.FormatInt(timeout.Milliseconds(), 10))
			resp, err := http.DefaultClient.Do(req)
			is.NoErr(err)
			is.NoErr(resp.Body.Close())
			is.Equal(resp.StatusCode, http.StatusOK)
		})
	}
}

// checkInterrupted fails the test unless a request of the connections was ended as too
// slow, without the claim that it hasn't run.
func checkInterrupted(t *testing.T, conns []net.Conn) {
	t.Helper()
	is := is.New(t)
	interrupted := 0
	for _, c := range conns {
		c.SetReadDeadline(time.Now().Add(stateTimeout))
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			continue // the host has closed the connection, which it may
		}
		if answer.ParseReason(resp.Header.Get(answer.HeaderReason)) == answer.TooSlow {
			interrupted++
			is.Equal(answer.Parse(resp.Header.Get(answer.HeaderOutcome)), answer.Unknown)
			is.Equal(resp.StatusCode, http.StatusBadGateway)
		}
	}
	is.True(interrupted > 0)
}
