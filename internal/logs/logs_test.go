package logs

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
)

// Logging never blocks: lines beyond the bound are dropped, and their number is
// written.
func TestBounded(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	s := NewSink(&out)
	log := New(s, zap.InfoLevel)
	for range 3 * perSecond {
		log.Info("request")
	}
	for range 2 * queued {
		if _, err := s.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	is.NoErr(s.Run(ctx))
	is.True(strings.Count(out.String(), "\n") <= queued+1)
	is.True(strings.Contains(out.String(), "log lines are dropped"))
	is.True(s.Dropped() >= 2*perSecond+queued)
}
