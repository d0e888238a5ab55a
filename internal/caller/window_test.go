package caller

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/laburnummux/laburnummux/internal/budget"
	"github.com/laburnummux/laburnummux/internal/listen"
)

// Guards against a large receive buffer that isn't counted, that is given while bodies
// use the memory, or that stays after the body.
func TestWindow(t *testing.T) {
	const large = listen.HeldFactor * (longReadBuffer - ReadBuffer)
	tests := []struct {
		name   string
		budget int64
		unread int // bytes that are received and not read when the body ends
		grown  int64
		after  int64 // bytes that are counted after the body
		label  string
	}{
		{"calm", 2 * large, 0, large, 0, "large"},
		{"memory in use", 2*large - 1, 0, 0, 0, "short"},
		{"more unread than a short buffer holds", 2 * large, 60 << 10, large, large, "large"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			l, err := listen.Open("127.0.0.1:0", listen.Bounds{ReadBuffer: ReadBuffer})
			is.NoErr(err)
			defer l.Close()
			client, err := net.Dial("tcp", l.Addr().String())
			is.NoErr(err)
			defer client.Close()
			server, err := l.Accept()
			is.NoErr(err)
			defer server.Close()
			b := budget.New(tt.budget)
			reg := prometheus.NewRegistry()
			m := NewMetrics(reg, b)
			w, err := WindowOf(server, ReadBuffer, m)
			is.NoErr(err)
			w.Grow(b, "a")
			w.Grow(b, "a")
			is.Equal(b.Used(), tt.grown)
			if tt.unread > 0 {
				receive(t, &w, client, server, tt.unread)
			}
			w.Shrink()
			w.Shrink()
			is.Equal(b.Used(), tt.after)
			is.Equal(countOf(t, reg, "laburnummux_long_bodies_total", tt.label), 1)
			w.Release()
			w.Release()
			is.Equal(b.Used(), int64(0))
			is.Equal(b.Open(), 0)
		})
	}
}

// countOf returns the sum of the counters of a name that have a label with a value.
func countOf(t *testing.T, reg *prometheus.Registry, name, label string) (n int) {
	t.Helper()
	families, err := reg.Gather()
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range families {
		if f.GetName() != name {
			continue
		}
		for _, m := range f.GetMetric() {
			for _, l := range m.GetLabel() {
				if l.GetValue() == label {
					n += int(m.GetCounter().GetValue())
				}
			}
		}
	}
	return n
}

// receive has a connection receive bytes until at least n aren't read. The window of the
// sender grows only as some are read.
func receive(t *testing.T, w *Window, client, server net.Conn, n int) {
	t.Helper()
	buf := make([]byte, 4<<10)
	for range 100 {
		client.SetWriteDeadline(time.Now().Add(50 * time.Millisecond))
		client.Write(make([]byte, 256<<10)) // ends at the deadline
		if unread, err := listen.Unread(w.socket); err != nil || unread >= n {
			return
		}
		for range 8 {
			if _, err := server.Read(buf); err != nil {
				t.Fatal(err)
			}
		}
	}
	t.Fatal("the bytes weren't received")
}
