package link

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// endlessServer responds to each request with a prefix, and then repeats a
// block until the client closes the connection or maxBytes are written.
type endlessServer struct {
	listener net.Listener
	prefix   string
	block    string
	maxBytes int
	pause    time.Duration // after the prefix
	written  atomic.Int64
}

func newEndlessServer(t *testing.T, prefix, block string, maxBytes int) *endlessServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &endlessServer{listener: l, prefix: prefix, block: block, maxBytes: maxBytes}
	t.Cleanup(func() { l.Close() })
	go s.run()
	return s
}

func (s *endlessServer) run() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.loop(c)
	}
}

func (s *endlessServer) loop(c net.Conn) {
	defer c.Close()
	br := bufio.NewReader(c)
	if _, err := http.ReadRequest(br); err != nil {
		return
	}
	if _, err := io.WriteString(c, s.prefix); err != nil {
		return
	}
	time.Sleep(s.pause)
	block := strings.Repeat(s.block, 1+(16<<10)/len(s.block))
	for n := 0; n < s.maxBytes; n += len(block) {
		if _, err := io.WriteString(c, block); err != nil {
			return
		}
		s.written.Add(int64(len(block)))
	}
	if _, err := br.ReadByte(); err != nil { // keeps the connection open until the client closes it
		return
	}
}

// sendWithin sends a request and returns the time until its result. The bytes
// without end of a server must end it long before its deadline.
func sendWithin(p *Pool) (res Result, took time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	began := time.Now()
	res = p.Do(ctx, Request{Method: "GET", Target: "/", Host: "h", Matches: func(_ int, h http.Header) bool { return h.Get("Id") == "me" }, Confusable: noResponse})
	return res, time.Since(began)
}

// Guards against a head without end that is read, and held in memory, until the
// request's deadline.
func TestEndlessHead(t *testing.T) {
	tests := []struct {
		name   string
		prefix string
		block  string
	}{
		{"blank lines", "", "\r\n"},
		{"garbage without a newline", "", "x"},
		{"garbage that begins like a response", "HTT", "x"},
		{"status line", "HTTP/1.1 200 ", "x"},
		{"header line", "HTTP/1.1 200 OK\r\nId: me\r\nA: ", "x"},
		{"continued header line", "HTTP/1.1 200 OK\r\nId: me\r\nA: x\r\n", " x\r\n"},
		{"header lines", "HTTP/1.1 200 OK\r\nId: me\r\n", "Header-Name: value\r\n"},
		{"short header lines", "HTTP/1.1 200 OK\r\nId: me\r\n", "a:\n"},
		{"header lines of a mismatched response", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n", "A: b\r\n"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newEndlessServer(t, tt.prefix, tt.block, 64<<20)
			res, took := sendWithin(NewPool(s.listener.Addr().String(), NewBudget(maxBodyBytes*2)))
			is.True(errors.Is(res.Err, ErrMalformed))
			is.True(len(res.Err.Error()) < 1<<10) // it is logged
			is.True(res.Sent)
			is.True(took < 2*time.Second)
			is.True(s.written.Load() < 16<<20)
		})
	}
}

// Guards against a limit that counts the body as part of the head, or refuses a
// response with a long head.
func TestLongHead(t *testing.T) {
	tests := []struct {
		name   string
		header string
		body   string
	}{
		{"long header line", "A: " + strings.Repeat("x", 48<<10) + "\r\n", "abc"},
		{"many header lines", strings.Repeat("A: b\r\n", 400), "abc"},
		{"body of many lines", "", strings.Repeat("\n", 256<<10)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			resp := "HTTP/1.1 200 OK\r\nId: me\r\n" + tt.header + "Content-Length: " + strconv.Itoa(len(tt.body)) + "\r\n\r\n" + tt.body
			s := newRawServer(t, resp, resp)
			p := NewPool(s.listener.Addr().String(), NewBudget(maxBodyBytes*2))
			for range 2 {
				res := send(p)
				is.NoErr(res.Err)
				is.Equal(res.Body.String(), tt.body)
			}
			is.Equal(s.connCount.Load(), int32(1))
		})
	}
}

// Guards against a body without end that is read until the request's deadline, or
// that passes as a complete one.
func TestEndlessBody(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
	tests := []struct {
		name   string
		prefix string
		block  string
		want   error
	}{
		{"without a length", "HTTP/1.1 200 OK\r\nId: me\r\n\r\n", "x", ErrMalformed},
		{"chunks", chunked + "Id: me\r\n\r\n", "400\r\n" + strings.Repeat("x", 1<<10) + "\r\n", ErrMalformed},
		{"chunk size", chunked + "Id: me\r\n\r\n", "0", ErrConnLost},
		{"chunk extension", chunked + "Id: me\r\n\r\n4;", "x", ErrConnLost},
		{"chunk extensions", chunked + "Id: me\r\n\r\n", "1;" + strings.Repeat("x", 2000) + "\r\na\r\n", ErrConnLost},
		{"trailer", chunked + "Id: me\r\n\r\n0\r\n", "A: b\r\n", ErrConnLost},
		{"declared length over the limit", "HTTP/1.1 200 OK\r\nId: me\r\nContent-Length: 9000000000\r\n\r\n", "x", ErrMalformed},
		{"mismatched, declared length", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 9000000000\r\n\r\n", "x", ErrMismatched},
		{"mismatched, chunks", chunked + "Id: other\r\n\r\n", "4\r\nabcd\r\n", ErrMismatched},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newEndlessServer(t, tt.prefix, tt.block, 512<<20)
			res, took := sendWithin(NewPool(s.listener.Addr().String(), NewBudget(maxBodyBytes*2)))
			is.True(errors.Is(res.Err, tt.want))
			is.True(res.Sent)
			is.Equal(res.Body.Len(), int64(0))
			is.True(took < 4*time.Second)
			if strings.HasPrefix(tt.name, "mismatched") {
				is.True(s.written.Load() < 16<<20)
			}
		})
	}
}

// Guards against responses without end on many connections that together take
// more memory than the process has, and against the refusal of other servers'
// responses beside them, short or long.
func TestMemoryOfEndlessBodies(t *testing.T) {
	const (
		connCount   = 50
		budgetBytes = 8 << 20
		bodyBytes   = 2 << 20 // per connection, if it is read to the end
		maxGrowth   = 2*budgetBytes + connCount*128<<10
	)
	is := is.New(t)
	budget := NewBudget(budgetBytes)
	faulty := newEndlessServer(t, "HTTP/1.1 200 OK\r\nId: me\r\n\r\n", "x", bodyBytes)
	long := strings.Repeat("y", budgetBytes/8)
	sound := newRawServer(t, response("me", "abc"), response("me", long))
	old := debug.SetGCPercent(10) // measures what is in use, not garbage
	defer debug.SetGCPercent(old)
	runtime.GC() // other tests leave garbage
	before := heapBytes()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	p := NewPool(faulty.listener.Addr().String(), budget)
	results := make(chan Result, connCount)
	for range connCount {
		x := &sending{ctx: ctx, pool: p, results: results}
		go x.run()
	}
	sp := NewPool(sound.listener.Addr().String(), budget)
	peak := uint64(0)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		peak = max(peak, heapBytes())
		for _, want := range []string{"abc", long} {
			res := send(sp)
			is.NoErr(res.Err)
			is.Equal(res.Body.String(), want)
		}
	}
	t.Logf("heap: %d KiB before, %d KiB at its peak", before>>10, peak>>10)
	is.True(peak < before+maxGrowth)
	cancel()
	for range connCount {
		is.True((<-results).Err != nil)
	}
	is.Equal(budget.Used(), int64(0))
	is.Equal(budget.Open(), 0)
}

// sending is a request that is sent concurrently with others.
type sending struct {
	ctx     context.Context
	pool    *Pool
	results chan<- Result
	last    uint64 // Request.LastConn
}

func (x *sending) run() {
	x.results <- x.pool.Do(x.ctx, Request{Method: "GET", Target: "/", Host: "h", Matches: anyResponse, Confusable: noResponse, LastConn: x.last})
}

// heapBytes returns the bytes of the heap in use. Unlike runtime.ReadMemStats it
// doesn't stop the goroutines.
func heapBytes() uint64 {
	samples := []metrics.Sample{{Name: "/memory/classes/heap/objects:bytes"}}
	metrics.Read(samples)
	return samples[0].Value.Uint64()
}

// Guards against a response that comes too slowly and holds its request past its
// deadline.
func TestSlowResponse(t *testing.T) {
	for _, prefix := range []string{"", "HTT", "HTTP/1.1 200 OK\r\nId:", "HTTP/1.1 200 OK\r\nId: me\r\nContent-Length: 9\r\n\r\nabc"} {
		is := is.New(t)
		s := newEndlessServer(t, prefix, "x", 1)
		s.pause = 3 * time.Second
		ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
		defer cancel()
		began := time.Now()
		res := NewPool(s.listener.Addr().String(), NewBudget(maxBodyBytes)).Do(ctx, Request{Method: "GET", Target: "/", Host: "h", Matches: anyResponse})
		is.True(errors.Is(res.Err, ErrConnLost))
		is.True(res.Sent)
		is.True(time.Since(began) < 700*time.Millisecond)
	}
}

// Guards against a response that waits, past its deadline, for the memory of one
// that was given up and isn't released yet.
func TestWaitForMemory(t *testing.T) {
	is := is.New(t)
	b := NewBudget(100)
	leaving := newHold(t.Context(), NewPool("a", b), func() {})
	is.True(leaving.Add(80))
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	ended := make(chan struct{})
	waiting := newHold(ctx, NewPool("b", b), func() { close(ended) })
	is.True(!waiting.Add(60)) // gives up the other one, and waits
	givenUp, _ := leaving.GivenUp()
	is.True(givenUp)
	<-ended
	waiting.close()
	is.Equal(b.Used(), int64(80))
	leaving.close()
	is.Equal(b.Used(), int64(0))
	is.Equal(b.Open(), 0)
}

// Guards against an idle connection that receives bytes until it expires: they
// count as memory of the process.
func TestInputWhileIdle(t *testing.T) {
	is := is.New(t)
	s := newEndlessServer(t, response("me", "abc"), "x", 64<<20)
	s.pause = 50 * time.Millisecond
	quiet := newRawServer(t, response("me", "abc"), response("me", "abc"))
	p, q := NewPool(s.listener.Addr().String(), NewBudget(maxBodyBytes)), NewPool(quiet.listener.Addr().String(), NewBudget(maxBodyBytes))
	for _, p := range []*Pool{p, q} {
		res := send(p)
		is.NoErr(res.Err)
		is.Equal(p.Idle(), 1)
	}
	time.Sleep(200 * time.Millisecond)
	p.Sweep(t.Context(), time.Now(), "")
	q.Sweep(t.Context(), time.Now(), "")
	is.Equal(p.Idle(), 0)
	is.Equal(q.Idle(), 1)
}

// Guards against a budget that refuses a long response of a sound server.
func TestLongBody(t *testing.T) {
	body := strings.Repeat("x", maxBodyBytes)
	tests := []struct {
		name     string
		response string
		length   int
	}{
		{"declared length", response("me", body), maxBodyBytes},
		{"until the end of the connection", "HTTP/1.1 200 OK\r\nId: me\r\n\r\n" + body[1:], maxBodyBytes - 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newRawServer(t, tt.response)
			res, _ := sendWithin(NewPool(s.listener.Addr().String(), NewBudget(100<<20)))
			is.NoErr(res.Err)
			is.Equal(res.Body.Len(), int64(tt.length))
		})
	}
}
