package main

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"
)

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
