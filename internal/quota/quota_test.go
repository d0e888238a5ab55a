package quota

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const svc = keys.Service("ledger")

var testConfig = Config{Ratio: 0.2, Slack: 60, Window: 10 * clock.Second}

// All hosts together must not retry more than the limit in any window, whatever
// the load, and even if some hosts restart. Each host sends as many retries as
// its budget allows.
func TestSumOfHosts(t *testing.T) {
	is := is.New(t)
	const hosts, length = 12, 60 * 1000
	rng := rand.New(rand.NewPCG(7, 7))
	budgets := make([]*Budget, hosts)
	for i := range budgets {
		budgets[i] = New(0, testConfig)
	}
	requests, retries := make([]int, length), make([]int, length)
	for now := clock.Time(0); now < length; now++ {
		rate := 0.05
		if now > 20000 && now < 25000 || now > 40000 {
			rate = 0.5 // bursts, with low load after them
		}
		if now%9000 == 0 {
			budgets[rng.IntN(hosts)] = New(now, testConfig)
		}
		for range 2 {
			if rng.Float64() > rate {
				continue
			}
			b := budgets[rng.IntN(hosts)]
			b.CountRequest(now, svc)
			requests[now]++
			for range 3 {
				if b.AllowRetry(now, svc, hosts) {
					retries[now]++
				}
			}
		}
	}
	w := int(testConfig.Window)
	sum := func(v []int, from int) (n int) {
		for i := max(from, 0); i < min(from+w, length); i++ {
			n += v[i]
		}
		return n
	}
	for from := 0; from+w <= length; from += 50 {
		base := max(sum(requests, from), sum(requests, from-w), sum(requests, from-w/2))
		limit := testConfig.Ratio*float64(base) + testConfig.Slack
		is.True(float64(sum(retries, from)) <= limit)
	}
}

// Without any requests a host may still use its part of the slack.
func TestSlack(t *testing.T) {
	is := is.New(t)
	b := New(0, testConfig)
	now := clock.Time(testConfig.Window)
	n := 0
	for b.AllowRetry(now, svc, 6) {
		n++
	}
	is.Equal(n, 8) // 60/6, less the 20% reserve
	is.True(!b.AllowRetry(now.Add(testConfig.Window/2), svc, 6))
	is.True(b.AllowRetry(now.Add(2*testConfig.Window), svc, 6))
}
