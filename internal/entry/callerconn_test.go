package entry

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/budget"
	"github.com/laburnummux/laburnummux/internal/caller"
)

// startCallers starts a server with a budget that streams a response without end to
// /endless.
func startCallers(t *testing.T, maxBytes int64) (b *budget.Budget, addr string) {
	t.Helper()
	b = caller.NewBudget(maxBytes, zap.NewNop())
	m := caller.NewMetrics(prometheus.NewRegistry(), b)
	nl, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	l := &callerListener{Listener: nl, intake: &intake{budget: b, metrics: m, conns: caller.NewConns(0, m)}}
	s := &http.Server{ConnContext: withCallerConn, ConnState: trackCaller, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := callerConnOf(r)
		c.beginBody()
		if !c.keepBody() || !c.beginResponse(r.URL.Path == "/endless", func() {}) || r.URL.Path != "/endless" {
			return
		}
		for {
			if _, err := w.Write(make([]byte, 64<<10)); err != nil {
				panic(http.ErrAbortHandler)
			}
		}
	})}
	go s.Serve(l)
	t.Cleanup(func() { s.Close() })
	return b, nl.Addr().String()
}

func dialCaller(t *testing.T, addr, text string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	if _, err = io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
	return c
}

func awaitTrue(t *testing.T, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the expected state was not reached")
		}
	}
}

// Guards against a response that isn't read and keeps its memory while others need it.
func TestUnreadResponseGivenUp(t *testing.T) {
	is := is.New(t)
	b, addr := startCallers(t, 3*streamBytes)
	dialCaller(t, addr, "GET /endless HTTP/1.1\r\nHost: h\r\n\r\n")
	awaitTrue(t, func() bool { return b.Used() >= streamBytes })
	h := b.NewHold("other", func() {})
	defer h.Close()
	is.True(h.Keep())
	is.True(h.Add(3 * streamBytes)) // waits until the response has released its memory
	is.Equal(b.Open(), 1)
}

// Guards against headers that aren't counted, or whose memory isn't released.
func TestHeadersCounted(t *testing.T) {
	const lines = 900 // in net/http's buffer
	long := strings.Repeat("a:\r\n", lines)
	get := "GET / HTTP/1.1\r\nHost: h\r\n"
	tests := []struct {
		name, text string
		want       int64
	}{
		{"ordinary", get, 0},
		{"incomplete", get + long, lines * 192},
		{"pipelined", get + "\r\n" + get + long, lines*192 - caller.UncountedBytes},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			b, addr := startCallers(t, 1<<20)
			c := dialCaller(t, addr, tt.text)
			awaitTrue(t, func() bool { return b.Used() >= tt.want })
			is.NoErr(c.Close())
			awaitTrue(t, func() bool { return b.Open() == 0 && b.Used() == 0 })
		})
	}
}

// Guards against bounds that exceed the memory or the descriptors of a process, and
// against ones that ordinary callers reach.
func TestLimitsOfProcess(t *testing.T) {
	tests := []struct {
		stated int
		memory int64
		fds    uint64
		bytes  int64
		conns  int
	}{
		{0, 0, 20_000, caller.DefaultBudget, 9_900},
		{0, 0, 1_024, caller.DefaultBudget, 412},
		{0, 0, 100, caller.DefaultBudget, minCallerConns},
		{0, 0, 1<<64 - 1, caller.DefaultBudget, (1<<30 - reservedFDs) / connFDs},
		{0, 144e6, 20_000, 50_400_000, 659},
		{0, 144e6, 1_024, 50_400_000, 412},
		{3_000, 144e6, 1_024, 50_400_000, 3_000},
	}
	for _, tt := range tests {
		is := is.New(t)
		is.Equal(bodyBytes(tt.memory), tt.bytes)
		is.Equal(maxCallerConns(tt.stated, tt.memory, tt.fds), tt.conns)
	}
}
