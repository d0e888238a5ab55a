package main

import (
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"
)

// BenchmarkGap measures how long keys of a data centre are not served after the
// loss of an entry host: until all of 30 keys are served, each requested every
// 5 ms at a remaining host. Every iteration starts a new system.
func BenchmarkGap(b *testing.B) {
	for _, bb := range []struct {
		name string
		kill func(b *testing.B, ps []*process) (remaining []*process)
	}{
		{"assigner", func(b *testing.B, ps []*process) []*process { return killHost(b, ps, assignerIndex(b, ps)) }},
		{"other-host", func(b *testing.B, ps []*process) []*process { return killHost(b, ps, (assignerIndex(b, ps)+1)%3) }},
	} {
		b.Run(bb.name, func(b *testing.B) {
			longest, sum := time.Duration(0), time.Duration(0)
			for range b.N {
				_, ps := startHosts(b, 3)
				remaining := bb.kill(b, ps)
				start := time.Now()
				for k := range 30 {
					waitFor(b, func() bool {
						return send(b, remaining[0], fmt.Sprintf("/ledger/tin-%d", k), http.MethodGet, "").status == http.StatusOK
					})
				}
				gap := time.Since(start)
				longest, sum = max(longest, gap), sum+gap
				for _, p := range remaining {
					p.signal(b, syscall.SIGKILL)
				}
			}
			b.ReportMetric(float64(longest.Milliseconds()), "longest-ms")
			b.ReportMetric(float64(sum.Milliseconds())/float64(b.N), "mean-ms")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// killHost kills one of three hosts and returns the others.
func killHost(b *testing.B, ps []*process, i int) []*process {
	ps[i].signal(b, syscall.SIGKILL)
	return []*process{ps[(i+1)%3], ps[(i+2)%3]}
}
