package caller

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/intent"
)

const (
	earlierRounds = 20
	// earlierWait is the header timeout, which some requests exceed by their last bytes.
	earlierWait = 100 * clock.Millisecond
	maxOffset   = 3 * time.Millisecond
)

// Guards against the rejection of a request that loses, truncates or reorders the
// responses to earlier requests, and against a rejected request that is handled.
func TestRejectionKeepsEarlierResponses(t *testing.T) {
	const post = "POST /a/9999 HTTP/1.1\r\nHost: h\r\n"
	body := strings.Repeat("b", 4*validBodyBytes)
	tests := []struct {
		name   string
		send   string
		rest   string // is sent at about the header timeout
		status int
	}{
		{"slow header", "GET /a/9999 HTTP/1.1\r\nHo", "st: h\r\n\r\n", http.StatusRequestTimeout},
		{"slow end of header", "GET /a/9999 HTTP/1.1\r\nHost: h\r\n\r", "\n", http.StatusRequestTimeout},
		{"long body", post + fmt.Sprintf("Content-Length: %d\r\n\r\n", len(body)) + body, "", http.StatusRequestEntityTooLarge},
		{"long header", post + "X: " + strings.Repeat("x", 2*validHeaderBytes) + "\r\n\r\n", "", http.StatusRequestHeaderFieldsTooLarge},
		{"malformed header", post + "X Foo: 1\r\n\r\n", "", http.StatusBadRequest},
		{"invalid chunk", post + "Transfer-Encoding: chunked\r\n\r\nz\r\n", "", http.StatusBadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			h := &handled{ran: make(map[string]bool)}
			limits := intent.Limits{HeaderBytes: validHeaderBytes, BodyBytes: validBodyBytes, HeaderWait: earlierWait, Idle: 5 * clock.Second}
			s := New(Config{Handle: h.handle, Limits: func() intent.Limits { return limits }, Log: zap.NewNop()})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			a := &acceptor{server: s, listener: l}
			go a.run()
			counts := make(map[int]int)
			for seed := range uint64(earlierRounds) {
				r := rand.New(rand.NewPCG(seed, 0))
				c, err := net.Dial("tcp", l.Addr().String())
				if err != nil {
					t.Fatal(err)
				}
				c.SetDeadline(time.Now().Add(10 * time.Second))
				status, err := sendEarlier(r, c, h, tt.send, tt.rest)
				c.Close()
				counts[status]++
				if err != nil {
					t.Errorf("seed %d: %v", seed, err)
				}
				if status != tt.status && (tt.rest == "" || status != http.StatusOK) {
					t.Errorf("seed %d: status %d, not %d", seed, status, tt.status)
				}
			}
			t.Log(counts)
		})
	}
}

// sendEarlier sends some requests, and behind them one that may be rejected, whose status
// it returns.
func sendEarlier(r *rand.Rand, c net.Conn, h *handled, last, rest string) (status int, err error) {
	var stream bytes.Buffer
	earlier := r.IntN(validPipelined)
	first := r.IntN(1000)
	for i := range earlier {
		fmt.Fprintf(&stream, "GET /a/%d HTTP/1.1\r\nHost: h\r\n\r\n", first+i)
	}
	stream.WriteString(last)
	h.mu.Lock()
	delete(h.ran, "9999")
	h.mu.Unlock()
	go func() {
		for _, p := range cut(r, stream.Bytes()) {
			c.Write(p)
		}
		if rest != "" {
			time.Sleep(earlierWait.Std() - maxOffset + time.Duration(r.Int64N(int64(2*maxOffset))))
			io.WriteString(c, rest)
		}
	}()
	reader := bufio.NewReader(c)
	for i := range earlier + 1 {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			return 0, fmt.Errorf("response %d of %d: %w", i, earlier, err)
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			return 0, fmt.Errorf("response %d of %d: %w", i, earlier, err)
		}
		if i == earlier {
			status = resp.StatusCode
			break
		}
		if want := validResponse(fmt.Sprint(first+i), first+i, 0); resp.StatusCode != http.StatusOK || !bytes.Equal(body, want) {
			return 0, fmt.Errorf("response %d of %d: status %d, %d bytes %.40q, not %d bytes", i, earlier, resp.StatusCode, len(body), body, len(want))
		}
	}
	time.Sleep(5 * time.Millisecond) // a rejected request would be handled now
	if status != http.StatusOK && h.has("9999") {
		return status, fmt.Errorf("status %d, and handled", status)
	}
	return status, nil
}
