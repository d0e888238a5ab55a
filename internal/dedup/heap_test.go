package dedup

import (
	"encoding/binary"
	"net/http"
	"runtime"
	"testing"

	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// BenchmarkHeap measures the heap size of a record by the size of its response.
func BenchmarkHeap(b *testing.B) {
	for _, n := range []int{1000, 10000, 60000} {
		for _, body := range []int{0, 200} {
			b.Run("", func(b *testing.B) {
				for range b.N {
					before := heapAlloc()
					s := New(Config{MaxBytes: 1 << 30})
					s.SetFloor(keys.FullRange(), 1, 0)
					wall := WallTime(1_800_000_000_000)
					for i := range n {
						var id ID
						binary.BigEndian.PutUint64(id[:8], uint64(wall)<<16|0x7000)
						binary.BigEndian.PutUint64(id[8:], 1<<63|uint64(i))
						v := s.Begin(1, wall, id, keys.Hash(i), 1)
						if v.Decision != Run {
							b.Fatal(v.Decision, v.Reason)
						}
						a := Response{Status: 200}
						if body > 0 {
							a.Body, a.Header = make([]byte, body), http.Header{"Content-Type": {"application/json"}}
						}
						s.Finish(1, v.Token, answer.Answered, a)
					}
					b.ReportMetric(float64(heapAlloc()-before)/float64(n), "heap-B/record")
					b.ReportMetric(float64(n), "records")
					b.ReportMetric(float64(body), "body-B")
					runtime.KeepAlive(s)
				}
			})
		}
	}
}

func heapAlloc() int64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
}
