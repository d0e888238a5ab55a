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

// getOK sends a GET request, checks that the status is 200, and discards the body.
func getOK(b *testing.B, url string, h http.Header) {
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

// paths returns a URL of a backend server, one of its dispatcher, and one of an
// entry host that relays the request.
func paths(b *testing.B) (direct, local, relayed string) {
	s := startSystem(b, 1)
	const path = "/catalogue/tins/7"
	hosts := s.Hosts()
	direct = "http://" + s.Server("catalogue-north-1-1").Addr() + path
	local = "http://" + hosts[0].CallerAddr() + path
	for k := range 100 {
		p := fmt.Sprintf("/ledger/tin-%d", k)
		r := sendRequest(b, http.MethodGet, "http://"+hosts[0].CallerAddr()+p, "", "")
		if r.outcome == answer.Answered && isLedgerServerIn(r.owner, devel.DataCentres[1]) {
			return direct, local, "http://" + hosts[0].CallerAddr() + p
		}
	}
	b.Fatal("no key with an owner in another data centre")
	return
}

func isLedgerServerIn(s keys.Server, dc keys.DataCentre) bool {
	for i := range 2 {
		if s == keys.Server(fmt.Sprintf("ledger-%s-%d", dc, i+1)) {
			return true
		}
	}
	return false
}

// BenchmarkRequest measures the cost of sequential requests. Caller, entry hosts
// and server share the process, so the figures include all of them.
func BenchmarkRequest(b *testing.B) {
	direct, local, relayed := paths(b)
	for _, bb := range []struct{ name, url string }{{"direct", direct}, {"dispatcher", local}, {"relayed", relayed}} {
		b.Run(bb.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				getOK(b, bb.url, nil)
			}
		})
	}
}

// BenchmarkRatio measures the duration of a routed request relative to that of a
// direct one. Both are sent alternately in the same run.
func BenchmarkRatio(b *testing.B) {
	direct, local, relayed := paths(b)
	var elapsed [3]time.Duration
	for b.Loop() {
		for i, url := range []string{direct, local, relayed} {
			t := time.Now()
			getOK(b, url, nil)
			elapsed[i] += time.Since(t)
		}
	}
	b.ReportMetric(float64(elapsed[1])/float64(elapsed[0]), "dispatcher/direct")
	b.ReportMetric(float64(elapsed[2])/float64(elapsed[0]), "relayed/direct")
}

// BenchmarkIdle measures the CPU time and the bytes per host without any
// requests: 12 hosts in 3 data centres and 45 backend servers, all in this
// process, so that the figure includes the servers' side of the probes.
func BenchmarkIdle(b *testing.B) {
	const hosts, span = 4, 5 * time.Second
	s := startSystem(b, hosts)
	for b.Loop() {
		cpu, sent := cpuTime(b), sentBytes(s)
		time.Sleep(span)
		n := float64(len(s.Hosts())) * span.Seconds()
		b.ReportMetric(100*(cpuTime(b)-cpu).Seconds()/n, "%core/host")
		b.ReportMetric(float64(sentBytes(s)-sent)/n, "B/s/host")
	}
}

// cpuTime returns the user and system CPU time that the process has used.
func cpuTime(b *testing.B) time.Duration {
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

// BenchmarkSlowServer measures the latency of lookups if one server of four is
// 40 ms slower than the others. Caller, host and servers share the process.
func BenchmarkSlowServer(b *testing.B) {
	s := startSystemWith(b, devel.Config{Hosts: 1, Servers: 4, ServiceTime: 2, Log: zap.NewNop()})
	url := "http://" + s.Hosts()[0].CallerAddr() + "/catalogue/tins/7"
	for range 200 {
		getOK(b, url, nil)
	}
	s.Server("catalogue-north-1-2").Backend().Slow(40)
	var latencies []time.Duration
	for b.Loop() {
		t := time.Now()
		getOK(b, url, nil)
		latencies = append(latencies, time.Since(t))
	}
	slices.Sort(latencies)
	percentile := func(share float64) float64 { return latencies[int(share*float64(len(latencies)-1))].Seconds() * 1000 }
	b.ReportMetric(percentile(0.5), "p50-ms")
	b.ReportMetric(percentile(0.99), "p99-ms")
	b.ReportMetric(percentile(0.999), "p99.9-ms")
}
