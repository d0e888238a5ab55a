package limit

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkHeap measures the heap size of a State with an empty and a full queue.
func BenchmarkHeap(b *testing.B) {
	for _, slots := range []int{2, 6, 24} {
		for _, full := range []bool{false, true} {
			b.Run(fmt.Sprintf("slots=%d/full=%v", slots, full), func(b *testing.B) {
				const n = 200
				for range b.N {
					before := heapAlloc()
					all := make([]*State, n)
					for i := range all {
						all[i] = New(Config{Slots: slots})
						for k := 0; full && k < 17*slots; k++ {
							all[i].Offer(1, Request{ID: uint64(k), Caller: fmt.Sprint(k % 20)})
						}
					}
					b.ReportMetric(float64(heapAlloc()-before)/n, "heap-B/server")
					runtime.KeepAlive(all)
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
