package entry

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/laburnummux/laburnummux/internal/proxy"
	"github.com/laburnummux/laburnummux/internal/stats"
	"github.com/laburnummux/laburnummux/pkg/answer"
)

// Guards against a copy of an earlier refusal on a kept connection that is taken
// for the refusal of a request.
func TestCopiedRefusal(t *testing.T) {
	const none = "none"
	tests := []struct {
		name    string
		status  int
		reason  answer.Reason
		attempt string // in the response; empty: that of the request
		want    answer.Outcome
	}{
		{"own, shed", 503, answer.Shed, "", answer.NotRun},
		{"own, stale token", 409, answer.StaleFence, "", answer.NotRun},
		{"of another attempt", 503, answer.Shed, "other", answer.Unknown},
		{"shed, without an attempt", 503, answer.Shed, none, answer.Unknown},
		{"draining, without an attempt", 503, answer.Draining, none, answer.Unknown},
		{"stale token, without an attempt", 409, answer.StaleFence, none, answer.Unknown},
		{"another response without an attempt", 200, answer.ReasonNone, none, answer.Answered},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				switch tt.attempt {
				case "":
					w.Header().Set(answer.HeaderAttempt, r.Header.Get(answer.HeaderAttempt))
				case none:
				default:
					w.Header().Set(answer.HeaderAttempt, tt.attempt)
				}
				w.Header().Set(answer.HeaderReason, tt.reason.String())
				w.WriteHeader(tt.status)
			}))
			defer srv.Close()
			pool := proxy.NewPool(strings.TrimPrefix(srv.URL, "http://"), proxy.Limits{MaxIdle: 1, DialTimeout: time.Second})
			defer pool.Close()
			body, err := proxy.NewBody(strings.NewReader(""), 0)
			is.NoErr(err)
			r := pool.Send(context.Background(), proxy.Request{Method: http.MethodPost, URL: &url.URL{Path: "/x"}, Header: http.Header{}, Body: body, Attempt: "1-1"})
			c := &cell{host: &Host{metrics: stats.New()}}
			var cl call
			res := c.attemptResult(cl, r, func(*proxy.Result) error { return nil })
			is.Equal(res.outcome, tt.want)
		})
	}
}
