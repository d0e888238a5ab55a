package link

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"
)

// Guards against a request that is sent although nobody waits for its response any more, and against a connection that is lost with it.
func TestAbandonedRequestIsNotSent(t *testing.T) {
	cancelled, cancel := context.WithCancel(context.Background())
	cancel()
	tests := []struct {
		name      string
		ctx       context.Context
		abandoned bool
		warm      bool // an idle connection is open
	}{
		{"ctx cancelled", cancelled, false, true},
		{"abandoned, idle connection", context.Background(), true, true},
		{"abandoned, new connection", context.Background(), true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newRawServer(t, response("me", "a"), response("me", "b"))
			p := NewPool(s.listener.Addr().String(), NewBudget(maxBodyBytes))
			if tt.warm {
				is.NoErr(send(p).Err)
			}
			served := s.requestCount.Load()
			res := p.Do(tt.ctx, Request{Method: "GET", Target: "/x", Host: "h", ID: "me", Matches: anyResponse, Confusable: noResponse, Abandoned: func() bool { return tt.abandoned }})
			is.True(errors.Is(res.Err, ErrAbandoned))
			is.True(!res.Sent)
			is.Equal(p.Idle(), 1)
			is.NoErr(send(p).Err)
			is.Equal(s.requestCount.Load(), served+1)
			is.Equal(s.connCount.Load(), int32(1))
		})
	}
}
