package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/laburnummux/laburnummux/internal/devel"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"go.uber.org/zap"
)

// get makes one request and discards the answer.
func get(b *testing.B, url string, h http.Header) {
	req, err := http.NewRequestWithContext(b.Context(), http.MethodGet, url, nil)
	if err != nil {
		b.Fatal(err)
	}
	for k, v := range h {
		req.Header[k] = v
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.Fatal(err)
	}
	io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		b.Fatal(resp.Status)
	}
}

// paths returns a URL for a direct call, one through the server's dispatcher,
// and one through another entry host.
func paths(b *testing.B) (direct, local, relayed string) {
	s := start(b, 1)
	const path = "/catalogue/tins/7"
	hosts := s.Hosts()
	direct = "http://" + s.Server("catalogue-north-1-1").Addr() + path
	local = "http://" + hosts[0].CallerAddr() + path
	for k := range 100 {
		p := fmt.Sprintf("/ledger/tin-%d", k)
		r := call(b, http.MethodGet, "http://"+hosts[0].CallerAddr()+p, "", "")
		if r.outcome == answer.Answered && isIn(r.owner, devel.DataCentres[1]) {
			return direct, local, "http://" + hosts[0].CallerAddr() + p
		}
	}
	b.Fatal("no key with an owner in another data centre")
	return
}

func isIn(s keys.Server, dc keys.DataCentre) bool {
	for i := range 2 {
		if s == keys.Server(fmt.Sprintf("ledger-%s-%d", dc, i+1)) {
			return true
		}
	}
	return false
}

// BenchmarkRequest reports the cost of one request, one at a time, for the
// caller, the entry hosts and the server together, which share the process.
func BenchmarkRequest(b *testing.B) {
	direct, local, relayed := paths(b)
	for _, bb := range []struct{ name, url string }{{"direct", direct}, {"dispatcher", local}, {"relayed", relayed}} {
		b.Run(bb.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				get(b, bb.url, nil)
			}
		})
	}
}

// BenchmarkRatio reports how much longer a routed request takes than a direct
// call, both measured alternately in the same run.
func BenchmarkRatio(b *testing.B) {
	direct, local, relayed := paths(b)
	var took [3]time.Duration
	for b.Loop() {
		for i, url := range []string{direct, local, relayed} {
			t := time.Now()
			get(b, url, nil)
			took[i] += time.Since(t)
		}
	}
	b.ReportMetric(float64(took[1])/float64(took[0]), "dispatcher/direct")
	b.ReportMetric(float64(took[2])/float64(took[0]), "relayed/direct")
}

// BenchmarkIdle reports the processor time and the bytes that a host spends
// for control without any requests: 12 hosts in 3 data centres, 45 backend
// servers, all in this process, so that the figure includes the servers' side
// of the probes.
func BenchmarkIdle(b *testing.B) {
	const hosts, span = 4, 5 * time.Second
	s := start(b, hosts)
	for b.Loop() {
		cpu, sent := processorTime(b), sentBytes(s)
		time.Sleep(span)
		n := float64(len(s.Hosts())) * span.Seconds()
		b.ReportMetric(100*(processorTime(b)-cpu).Seconds()/n, "%core/host")
		b.ReportMetric(float64(sentBytes(s)-sent)/n, "B/s/host")
	}
}

func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func sentBytes(s *devel.System) (n uint64) {
	for _, h := range s.Hosts() {
		n += h.PeerCounters().SentBytes
	}
	return n
}

// BenchmarkSlowServer reports the latency of lookups when one server of four
// is 40 ms slower than the others. Caller, host and servers share the process.
func BenchmarkSlowServer(b *testing.B) {
	s := startWith(b, devel.Config{Hosts: 1, Servers: 4, Service: 2, Log: zap.NewNop()})
	url := "http://" + s.Hosts()[0].CallerAddr() + "/catalogue/tins/7"
	for range 200 {
		get(b, url, nil)
	}
	s.Server("catalogue-north-1-2").Backend().Slow(40)
	var took []time.Duration
	for b.Loop() {
		t := time.Now()
		get(b, url, nil)
		took = append(took, time.Since(t))
	}
	slices.Sort(took)
	ms := func(share float64) float64 { return took[int(share*float64(len(took)-1))].Seconds() * 1000 }
	b.ReportMetric(ms(0.5), "p50-ms")
	b.ReportMetric(ms(0.99), "p99-ms")
	b.ReportMetric(ms(0.999), "p99.9-ms")
}
