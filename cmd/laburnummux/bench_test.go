package main

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// BenchmarkGap reports how long the keys of a data centre are not served after
// a loss: the longest of 30 keys, each asked for every 5 ms at a host that is
// left. Every iteration starts a new system.
func BenchmarkGap(b *testing.B) {
	for _, bb := range []struct {
		name string
		lose func(b *testing.B, ps []*process) (left []*process)
	}{
		{"assigner", func(b *testing.B, ps []*process) []*process { return kill(b, ps, assigner(b, ps)) }},
		{"other-host", func(b *testing.B, ps []*process) []*process { return kill(b, ps, (assigner(b, ps)+1)%3) }},
	} {
		b.Run(bb.name, func(b *testing.B) {
			longest, sum := time.Duration(0), time.Duration(0)
			for range b.N {
				_, ps := group(b, 3)
				left := bb.lose(b, ps)
				start := time.Now()
				for k := range 30 {
					waitFor(b, func() bool {
						return status(b, left[0], fmt.Sprintf("/ledger/tin-%d", k), http.MethodGet, "").status == http.StatusOK
					})
				}
				gap := time.Since(start)
				longest, sum = max(longest, gap), sum+gap
				for _, p := range left {
					p.signal(b, syscall.SIGKILL)
				}
			}
			b.ReportMetric(float64(longest.Milliseconds()), "longest-ms")
			b.ReportMetric(float64(sum.Milliseconds())/float64(b.N), "mean-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}

func kill(b *testing.B, ps []*process, i int) []*process {
	ps[i].signal(b, syscall.SIGKILL)
	return []*process{ps[(i+1)%3], ps[(i+2)%3]}
}
