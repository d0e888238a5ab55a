package main

import (
	"errors"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/soak"
)

const (
	// soakWait bounds the wait for the addresses of a seed.
	soakWait = time.Minute
	// soaksAtOnce is how many soaks run at once. More would leave each host too little
	// processor time for the bounds that are checked.
	soaksAtOnce = 4
)

// retrySoak runs a soak. It waits while another run, such as that of tests in another
// clone, uses the addresses of the seed.
func retrySoak(t *testing.T, cfg soak.Config) (sum soak.Summary, err error) {
	for end := time.Now().Add(soakWait); ; time.Sleep(100 * time.Millisecond) {
		cfg.Dir = t.TempDir()
		sum, err = soak.Run(t.Context(), cfg)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return sum, err
		}
	}
}

// Guards against violated guarantees when entry hosts run as separate processes.
// The seeds have failed before, except the first.
func TestSoak(t *testing.T) {
	t.Parallel()
	type size struct {
		hosts, servers int
		length         clock.Span
	}
	running := make(chan struct{}, soaksAtOnce)
	small, medium := size{3, 6, 8 * clock.Second}, size{4, 8, 15 * clock.Second}
	tests := []struct {
		name string
		seed uint64
		size size
	}{
		{"none", 1, small},
		// A server that hung while it processed a grant could not be stopped.
		{"hung server", 5, small},
		// A host that received a reload signal during its start ended.
		{"reload at start", 2, small},
		// A grant was sent or accepted after its timeout.
		{"late grant", 15, small},
		// The oracle missed a request that began at a server while it was stopped.
		{"ended server", 23, small},
		// A restored store named former owners and an earlier term.
		{"restored store", 51, medium},
		// A server that had told a host that it leaves, or wants a pause, got requests.
		{"leaving and paused servers", 112, small},
		// Requests that waited for the end of a pause arrived a millisecond before it.
		{"end of a pause", 200, small},
		// Plans with evacuations.
		{"evacuations", 300, small},
		{"evacuations and faults", 301, small},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			running <- struct{}{}
			defer func() { <-running }()
			is := is.New(t)
			sum, err := retrySoak(t, soak.Config{
				Seed: tt.seed, Hosts: tt.size.hosts, Servers: tt.size.servers, Length: tt.size.length, Command: []string{os.Args[0], "front"},
			})
			is.NoErr(err)
			t.Logf("%+v", sum)
			for _, v := range sum.Violations {
				t.Errorf("%s: %s", v.Rule, v.Text)
			}
			is.True(sum.Served > 0)
		})
	}
}
