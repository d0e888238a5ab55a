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

// BenchmarkRevise measures the time from an operator's request until its
// revision is in force at all 9 hosts, polled every ms, with and without the
// store in one of the three data centres. accepted-ms is the time until the
// operator has the answer.
func BenchmarkRevise(b *testing.B) {
	for _, isCut := range []bool{false, true} {
		b.Run(fmt.Sprintf("cut=%v", isCut), func(b *testing.B) {
			var cut atomic.Bool
			ctx, cancel := context.WithTimeout(b.Context(), patience)
			defer cancel()
			s, err := devel.Start(ctx, devel.Config{Hosts: 3, Servers: 1, Log: zap.NewNop(), Wrap: func(dc keys.DataCentre, st store.Store) store.Store {
				if dc == "north-3" {
					return cutStore{st, &cut}
				}
				return st
			}})
			if err != nil {
				b.Fatal(err)
			}
			defer func() {
				ctx, cancel := context.WithTimeout(context.Background(), patience)
				defer cancel()
				s.Stop(ctx)
			}()
			waitFor(b, allAt(s, 1))
			cut.Store(isCut)
			rev, longest, accepted := uint64(1), time.Duration(0), time.Duration(0)
			for b.Loop() {
				method := []string{http.MethodPost, http.MethodDelete}[(rev-1)%2]
				began := time.Now()
				res := revise(b, s.Hosts()[0], method, "/drain/ledger-north-1-1", entry.Revise{Author: "moana", Override: []string{apply.LastServer}})
				if res.Outcome != apply.Accepted {
					b.Fatal(res)
				}
				accepted += time.Since(began)
				rev++
				for !allAt(s, rev)() {
					time.Sleep(time.Millisecond)
				}
				longest = max(longest, time.Since(began))
			}
			b.ReportMetric(float64(accepted.Microseconds())/1000/float64(b.N), "accepted-ms")
			b.ReportMetric(float64(b.Elapsed().Microseconds())/1000/float64(b.N), "everywhere-ms")
			b.ReportMetric(float64(longest.Microseconds())/1000, "longest-ms")
		})
	}
}
