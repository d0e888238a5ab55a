package caller

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/budget"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/intent"
	"github.com/laburnummux/laburnummux/internal/segment"
)

var (
	validSeeds = flag.Uint64("valid.seeds", 1, "number of seeds of TestValidRequestsAreNotInvalid")
	validFirst = flag.Uint64("valid.first", 1, "first seed of TestValidRequestsAreNotInvalid")
)

const (
	validHeaderBytes = 8000
	validBodyBytes   = 64 << 10
	validCallers     = 10
	validPipelined   = 20
	// longResponse is longer than a part of a response that is written at once.
	longResponse = 3 * 64 << 10
)

// condition is what valid requests are sent under.
type condition struct {
	name        string
	shortMemory bool // the budget is that of two bodies
	maxConns    int
	readLate    bool
	drain       bool
}

var conditions = []condition{
	{name: "nothing is short"},
	{name: "memory is short", shortMemory: true},
	{name: "connections are few", maxConns: validCallers / 2},
	{name: "responses are read late", readLate: true},
	{name: "memory is short, responses are read late", shortMemory: true, readLate: true},
	{name: "draining", drain: true},
	{name: "all", shortMemory: true, maxConns: validCallers / 2, readLate: true, drain: true},
}

// handled is a handler that records which requests it was called for.
type handled struct {
	mu  sync.Mutex
	ran map[string]bool
}

// handle responds with the path, after a delay that depends on it, and with a long body
// to one in five requests.
func (h *handled) handle(_ context.Context, r *Request) Response {
	id := r.Path[strings.LastIndex(r.Path, "/")+1:]
	h.mu.Lock()
	h.ran[id] = true
	h.mu.Unlock()
	var n int
	fmt.Sscanf(id, "%d", &n)
	time.Sleep(time.Duration(n%7) * time.Millisecond)
	return Response{Status: http.StatusOK, Body: segment.Of(validResponse(id, n, r.Body.Len()))}
}

func (h *handled) has(id string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.ran[id]
}

func validResponse(id string, n int, bodyLen int64) []byte {
	p := fmt.Appendf(nil, "%s %d ", id, bodyLen)
	if n%5 == 0 {
		p = append(p, bytes.Repeat([]byte("r"), longResponse)...)
	}
	return p
}

func startValid(t *testing.T, cond condition, h *handled) (s *Server, addr string) {
	limits := intent.Limits{HeaderBytes: validHeaderBytes, BodyBytes: validBodyBytes, HeaderWait: 5 * clock.Second, Idle: 5 * clock.Second}
	cfg := Config{Handle: h.handle, Limits: func() intent.Limits { return limits }, Log: zap.NewNop(), MaxConns: cond.maxConns}
	if cond.shortMemory {
		cfg.Budget = budget.New(2*validBodyBytes + validBodyBytes/2)
	}
	s = New(cfg)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	a := &acceptor{server: s, listener: l}
	go a.run()
	return s, l.Addr().String()
}

// validRequest is a request that each server has to accept.
type validRequest struct {
	id    string
	n     int
	forms string // the less usual forms in it
	bytes []byte
	body  int
}

// newValidRequest returns a request in one of the forms that HTTP/1.1 allows.
func newValidRequest(r *rand.Rand, n int) validRequest {
	q := validRequest{id: fmt.Sprint(n), n: n}
	target := "/a%20b/" + q.id
	if r.IntN(3) == 0 {
		target += "?x=" + strings.Repeat("y", r.IntN(300))
	}
	if r.IntN(10) == 0 {
		target, q.forms = "http://h"+target, q.forms+" absolute"
	}
	lines := []string{"Host: h", "X-Empty:", "x-spaces: \t a b \t", "Laburnummux-Attempt-Id: 9c41d07be2a35f68"}
	for i := range r.IntN(20) {
		lines = append(lines, fmt.Sprintf("X-%d: %s", i, strings.Repeat("z", r.IntN(100))))
	}
	var body []byte
	method := "GET"
	if r.IntN(2) == 0 {
		method = "POST"
		switch r.IntN(4) {
		case 0:
			q.body, q.forms = validBodyBytes, q.forms+" full-body"
		case 1:
			q.body = r.IntN(validBodyBytes)
		default:
			q.body = r.IntN(300)
		}
		body = bytes.Repeat([]byte("b"), q.body)
		if r.IntN(8) == 0 {
			lines, q.forms = append(lines, "Expect: 100-continue"), q.forms+" expect"
		}
		if r.IntN(2) == 0 {
			lines, q.forms = append(lines, "Transfer-Encoding: chunked"), q.forms+" chunked"
			body = chunked(r, body)
		} else {
			lines = append(lines, fmt.Sprint("Content-Length: ", q.body))
		}
	}
	r.Shuffle(len(lines), func(i, j int) { lines[i], lines[j] = lines[j], lines[i] })
	head := method + " " + target + " HTTP/1.1\r\n" + strings.Join(lines, "\r\n") + "\r\n"
	if r.IntN(4) == 0 {
		const filler = "X-Filler: \r\n"
		q.forms += " full-header"
		head += filler[:len(filler)-2] + strings.Repeat("f", validHeaderBytes-len(head)-len(filler)-len("\r\n")) + "\r\n"
	}
	if r.IntN(10) == 0 {
		head, q.forms = "\r\n"+head, q.forms+" empty-line"
	}
	q.bytes = append([]byte(head+"\r\n"), body...)
	return q
}

// chunked returns a body in chunks, some of them with extensions, and with trailers.
func chunked(r *rand.Rand, body []byte) []byte {
	var b bytes.Buffer
	longest := 1 + r.IntN(8<<10)
	if r.IntN(3) == 0 {
		longest = 1
	}
	extensions := r.IntN(2) == 0
	for len(body) > 0 {
		n := min(1+r.IntN(longest), len(body))
		size := fmt.Sprintf([]string{"%x", "%X", "%04x"}[r.IntN(3)], n)
		if extensions {
			size += ";a=\"b\""
		}
		b.WriteString(size + "\r\n")
		b.Write(body[:n])
		b.WriteString("\r\n")
		body = body[n:]
	}
	b.WriteString("0\r\n")
	for i := range r.IntN(4) {
		fmt.Fprintf(&b, "X-Trailer-%d: %s\r\n", i, strings.Repeat("t", r.IntN(500)))
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// outcomes counts the results of requests by status or by the fault that was found.
type outcomes struct {
	mu     sync.Mutex
	counts map[string]int
	faults []string
}

func (o *outcomes) add(result string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts[result]++
}

// addEnd counts the end of a connection. left says that the caller has ended it.
func (o *outcomes) addEnd(result string, left bool) {
	if left {
		result += " by the caller"
	}
	o.add(result)
}

func (o *outcomes) fault(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.counts["fault"]++
	o.faults = append(o.faults, fmt.Sprintf(format, args...))
}

// validCaller sends requests on connections of its own.
type validCaller struct {
	rand     *rand.Rand
	cond     condition
	addr     string
	handler  *handled
	outcomes *outcomes
	next     int // number of the next request
}

func (v *validCaller) run() {
	for range 2 {
		v.connection()
	}
}

// connection sends requests behind one another and checks their responses.
func (v *validCaller) connection() {
	c, err := net.Dial("tcp", v.addr)
	if err != nil {
		v.outcomes.add("no connection")
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(20 * time.Second))
	var sent []validRequest
	var stream []byte
	for range 1 + v.rand.IntN(validPipelined) {
		q := newValidRequest(v.rand, v.next)
		v.next++
		sent, stream = append(sent, q), append(stream, q.bytes...)
	}
	leave, halfClose := v.rand.IntN(8) == 0, v.rand.IntN(8) == 0
	if leave {
		stream = stream[:v.rand.IntN(len(stream))]
	}
	pieces := cut(v.rand, stream)
	pause := time.Duration(v.rand.IntN(3)) * time.Millisecond
	written := make(chan struct{})
	go func() {
		defer close(written)
		for _, p := range pieces {
			if _, err := c.Write(p); err != nil {
				return
			}
			time.Sleep(pause)
		}
		switch {
		case leave:
			c.Close()
		case halfClose:
			c.(*net.TCPConn).CloseWrite()
		}
	}()
	if v.cond.readLate {
		time.Sleep(100 * time.Millisecond)
	}
	v.check(bufio.NewReader(c), sent, leave || halfClose)
	c.Close()
	<-written
}

// check reads the responses of a connection.
func (v *validCaller) check(reader *bufio.Reader, sent []validRequest, left bool) {
	for i, q := range sent {
		resp, err := http.ReadResponse(reader, nil)
		for err == nil && resp.StatusCode == http.StatusContinue {
			resp, err = http.ReadResponse(reader, nil)
		}
		if err != nil {
			if !left && strings.Contains(err.Error(), "malformed") {
				v.outcomes.fault("request %d%s: %v", i, q.forms, err)
			}
			v.outcomes.addEnd("closed", left)
			return
		}
		body, err := io.ReadAll(resp.Body)
		if err != nil {
			v.outcomes.addEnd("closed within a response", left)
			return
		}
		v.outcomes.add(fmt.Sprint(resp.StatusCode))
		switch resp.StatusCode {
		case http.StatusOK:
			if want := validResponse(q.id, q.n, int64(q.body)); !bytes.Equal(body, want) {
				v.outcomes.fault("request %d%s: response of %d bytes %.40q, not of %d bytes %.40q", i, q.forms, len(body), body, len(want), want)
				return
			}
		case http.StatusRequestTimeout, http.StatusServiceUnavailable:
			if v.handler.has(q.id) {
				v.outcomes.fault("request %d%s: handled, and status %d", i, q.forms, resp.StatusCode)
			}
			return
		default:
			v.outcomes.fault("request %d%s: status %d for %d bytes %.300q", i, q.forms, resp.StatusCode, len(q.bytes), q.bytes)
			return
		}
	}
}

// cut cuts bytes into pieces at random places.
func cut(r *rand.Rand, p []byte) (pieces [][]byte) {
	longest := []int{10, 1000, 20000, len(p) + 1}[r.IntN(4)]
	longest = max(longest, len(p)/100)
	for len(p) > 0 {
		n := min(1+r.IntN(longest), len(p))
		pieces, p = append(pieces, p[:n]), p[n:]
	}
	return pieces
}

// Guards against a valid request that is rejected as an invalid one, a rejected request
// that is handled, and responses that are mixed up.
func TestValidRequestsAreNotInvalid(t *testing.T) {
	for _, cond := range conditions {
		t.Run(cond.name, func(t *testing.T) {
			t.Parallel()
			o := &outcomes{counts: make(map[string]int)}
			for seed := *validFirst; seed < *validFirst+*validSeeds; seed++ {
				before := len(o.faults)
				sendValid(t, cond, seed, o)
				for _, f := range o.faults[before:] {
					t.Errorf("seed %d: %s", seed, f)
				}
			}
			t.Log(o.counts)
		})
	}
}

// sendValid sends the requests of a seed.
func sendValid(t *testing.T, cond condition, seed uint64, o *outcomes) {
	h := &handled{ran: make(map[string]bool)}
	s, addr := startValid(t, cond, h)
	var wg sync.WaitGroup
	for i := range validCallers {
		v := &validCaller{rand: rand.New(rand.NewPCG(seed, uint64(i))), cond: cond, addr: addr, handler: h, outcomes: o, next: (i + 1) * 1000}
		wg.Go(v.run)
	}
	if cond.drain {
		time.Sleep(20 * time.Millisecond)
		s.Drain()
	}
	wg.Wait()
}
