package logs

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// Guards against logging that blocks while the queue is full, and against
// dropped lines that aren't counted and reported.
func TestDropsLines(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	s := NewSink(&out)
	log := New(s, zap.InfoLevel)
	for range 3 * messageRate {
		log.Info("request")
	}
	for range 2 * queueSize {
		if _, err := s.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(s.Run(ctx))
	is.True(strings.Count(out.String(), "\n") <= queueSize+1)
	is.True(strings.Contains(out.String(), "logger dropped lines"))
	is.True(s.Dropped() >= 2*messageRate+queueSize)
}
