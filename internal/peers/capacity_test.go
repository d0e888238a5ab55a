package peers

import (
	"fmt"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/laburnummux/laburnummux/internal/peerpb"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"go.uber.org/zap"
	"google.golang.org/grpc"
)

// BenchmarkExchange measures the CPU time and the allocations of one batch over
// loopback, sender and receiver together.
func BenchmarkExchange(b *testing.B) {
	for _, ranges := range []int{0, 16, 128} {
		b.Run(fmt.Sprintf("ranges=%d", ranges), func(b *testing.B) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			received := make(chan struct{}, 1)
			to := New("b", 2, func(keys.Host, uint64, *peerpb.Message) { received <- struct{}{} }, zap.NewNop())
			srv := grpc.NewServer()
			peerpb.RegisterPeerServer(srv, to)
			go srv.Serve(l)
			defer srv.Stop()
			from := New("north-1-e001", 1, nil, zap.NewNop())
			from.SetAddresses(map[keys.Host]string{"b": l.Addr().String()})
			go from.Run(b.Context())
			r := &peerpb.Report{Server: "catalogue-north-1-001"}
			for i := range ranges {
				r.Held = append(r.Held, &peerpb.Held{Lo: uint64(i), Hi: uint64(i), Fence: 1 << 40})
				r.Loads = append(r.Loads, &peerpb.Load{Lo: uint64(i), Hi: uint64(i), Rate: 1, Hot: 1 << 60, HotRate: 1})
			}
			m := &peerpb.Message{Body: &peerpb.Message_RenewAsk{RenewAsk: &peerpb.RenewAsk{Nonce: 1, Servers: []*peerpb.Report{r}}}}
			send := func() {
				from.Send("b", m)
				select {
				case <-received:
				case <-time.After(5 * time.Second):
					b.Fatal("no batch received within 5 s")
				}
			}
			send()
			b.ReportAllocs()
			before := cpuTime()
			b.ResetTimer()
			for range b.N {
				send()
			}
			b.ReportMetric(float64(cpuTime()-before)/float64(b.N)/1000, "cpu-us/batch")
		})
	}
}

// cpuTime returns the user and system CPU time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
