package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/laburnummux/laburnummux/internal/apply"
	"github.com/laburnummux/laburnummux/internal/devel"
	"github.com/laburnummux/laburnummux/internal/entry"
	"github.com/laburnummux/laburnummux/internal/store"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"go.uber.org/zap"
)

// BenchmarkRevise measures the time from an operator's request until its revision
// is in force on all 9 hosts, polled every ms, with and without the store in one
// of the three data centres. accepted-ms is the time until the operator gets the
// response.
func BenchmarkRevise(b *testing.B) {
	for _, partition := range []bool{false, true} {
		b.Run(fmt.Sprintf("cut=%v", partition), func(b *testing.B) {
			var partitioned atomic.Bool
			ctx, cancel := context.WithTimeout(b.Context(), waitTimeout)
			defer cancel()
			s, err := devel.Start(ctx, devel.Config{Hosts: 3, Servers: 1, Log: zap.NewNop(), WrapStore: func(dc keys.DataCentre, st store.Store) store.Store {
				if dc == "north-3" {
					return partitionedStore{st, &partitioned}
				}
				return st
			}})
			if err != nil {
				b.Fatal(err)
			}
			defer func() {
				ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
				defer cancel()
				s.Stop(ctx)
			}()
			waitFor(b, allAtRevision(s, 1))
			partitioned.Store(partition)
			rev, longest, accepted := uint64(1), time.Duration(0), time.Duration(0)
			for b.Loop() {
				method := []string{http.MethodPost, http.MethodDelete}[(rev-1)%2]
				start := time.Now()
				res := revise(b, s.Hosts()[0], method, "/drain/ledger-north-1-1", entry.ReviseRequest{Author: "moana", Override: []string{apply.LastServer}})
				if res.Outcome != apply.Accepted {
					b.Fatal(res)
				}
				accepted += time.Since(start)
				rev++
				for !allAtRevision(s, rev)() {
					time.Sleep(time.Millisecond)
				}
				longest = max(longest, time.Since(start))
			}
			b.ReportMetric(float64(accepted.Microseconds())/1000/float64(b.N), "accepted-ms")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/1000/float64(b.N), "everywhere-ms")
			b.ReportMetric(float64(longest.Microseconds())/1000, "longest-ms")
		})
	}
}
