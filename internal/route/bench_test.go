package route

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// filledState returns a state whose cells have 16 servers and 128 ranges each.
func filledState(services, cells int) *State {
	s := New(1)
	ls := make(map[keys.Service]Layout)
	for v := range services {
		name := keys.Service(fmt.Sprintf("service-%03d", v))
		for i, r := range keys.FullRange().Divide(cells / services) {
			c := keys.Cell{Service: name, DataCentre: "north-1", Index: i}
			ls[name] = append(ls[name], config.CellRange{Cell: c, Range: r})
			var backends []Backend
			var rows []Row
			for b := range 16 {
				backends = append(backends, Backend{Name: keys.Server(fmt.Sprintf("%s-%d-%d", name, i, b)), Dispatcher: "north-1-e001"})
			}
			for k, x := range r.Divide(128) {
				rows = append(rows, Row{Range: x, Fence: 1, Backend: k % 16, Dispatcher: "north-1-e001"})
			}
			s.Update(0, NewTable(c, 1, 1, "a", true, backends, rows))
		}
	}
	s.SetLayouts(ls)
	return s
}

// BenchmarkLookup measures the time of a lookup and the heap size of the tables.
func BenchmarkLookup(b *testing.B) {
	for _, tt := range []struct{ services, cells int }{{1, 8}, {1, 234}, {1, 2062}, {100, 200}, {100, 2000}} {
		b.Run(fmt.Sprintf("services=%d/ranges=%d", tt.services, tt.cells*128), func(b *testing.B) {
			before := heapAlloc()
			s := filledState(tt.services, tt.cells)
			heap := heapAlloc() - before
			h, i := keys.Hash(0), 0
			for b.Loop() {
				h += 0x9e3779b97f4a7c15
				i++
				if _, miss := s.Lookup("service-000", h); miss != Hit {
					b.Fatal(miss)
				}
			}
			b.ReportMetric(float64(heap)/float64(tt.cells*128), "heap-B/range")
			runtime.KeepAlive(s)
		})
	}
}

func heapAlloc() int64 {
	runtime.GC()
	var ms runtime.MemStats
	runtime.ReadMemStats(&ms)
	return int64(ms.HeapAlloc)
}
