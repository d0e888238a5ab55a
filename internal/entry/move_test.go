package entry_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"

	"github.com/laburnummux/laburnummux/internal/devel"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/matryer/is"
	"go.uber.org/zap"
)

// Guards against queued bookings that are answered "unknown", though they never
// ran, because their range moved to another dispatcher: the record that says
// "running" must not be transferred for a request that was taken out of the
// queue.
func TestPlannedMoveWithQueue(t *testing.T) {
	is := is.New(t)
	s := startWith(t, devel.Config{Hosts: 2, Servers: 2, Service: 20, Log: zap.NewNop()})
	waitOnce(t, s)
	stays, leaves := s.Hosts()[0], s.Hosts()[1]
	ids := make([]string, 120)
	replies := make([]reply, len(ids))
	var wg sync.WaitGroup
	for i := range ids {
		ids[i] = newID(t)
		wg.Go(func() {
			url := fmt.Sprintf("http://%s/ledger/tin-%d/entries", stays.CallerAddr(), i)
			replies[i] = call(t, http.MethodPost, url, ids[i], "")
		})
	}
	ctx, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	is.NoErr(leaves.Stop(ctx))
	wg.Wait()
	for i, r := range replies {
		is.NoErr(r.err)
		is.True(r.outcome != answer.Unknown) // nothing was lost, so everything is known
		want := 0
		if r.outcome == answer.Answered {
			want = 1
		}
		is.Equal(runs(s, ids[i]), want)
	}
}
