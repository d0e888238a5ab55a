package head

import (
	"fmt"
	"strings"
	"testing"
)

// BenchmarkScan measures the check of a head by its number of fields of about 45 bytes.
func BenchmarkScan(b *testing.B) {
	for _, fields := range []int{4, 20, 100} {
		b.Run(fmt.Sprintf("fields=%d", fields), func(b *testing.B) {
			p := []byte("HTTP/1.1 200 OK\r\n" + strings.Repeat("X-Field-Name: "+strings.Repeat("v", 30)+"\r\n", fields) + "\r\n")
			b.SetBytes(int64(len(p)))
			for b.Loop() {
				var s Scanner
				s.Begin()
				if n, err := s.Scan(p); err != nil || n != len(p) {
					b.Fatal(n, err)
				}
			}
		})
	}
}
