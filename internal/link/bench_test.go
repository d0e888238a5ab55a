package link

import (
	"fmt"
	"strings"
	"testing"

	"github.com/laburnummux/laburnummux/internal/fakes/heads"
)

// BenchmarkExchange measures one request after another on a kept connection, by the
// number of fields in the response's head.
func BenchmarkExchange(b *testing.B) {
	for _, fields := range []int{4, 20, 100} {
		b.Run(fmt.Sprintf("fields=%d", fields), func(b *testing.B) {
			var more strings.Builder
			for i := range fields - 2 {
				fmt.Fprintf(&more, "X-Field-%d: %s\r\n", i, strings.Repeat("v", 30))
			}
			s := heads.NewServer(b, "HTTP/1.1 200 OK\r\nId: me\r\n"+more.String()+"Content-Length: 3\r\n\r\nabc")
			p := NewPool(s.Addr(), NewBudget(maxBodyBytes*2))
			b.ReportAllocs()
			for b.Loop() {
				if res := send(p); res.Err != nil {
					b.Fatal(res.Err)
				}
			}
		})
	}
}
