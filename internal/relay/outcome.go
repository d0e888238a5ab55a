package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"

	"github.com/laburnummux/laburnummux/internal/link"
	"github.com/laburnummux/laburnummux/internal/place"
)

// sendOutcome is the outcome of one send.
type sendOutcome int

const (
	answered   sendOutcome = iota // complete, signed response
	notRun                        // the server reports that it didn't run the request
	dialFailed                    // no connection could be opened
	connLost                      // the connection was lost before a complete response
	mismatched                    // the response isn't the server's response to this request
	cancelled                     // ctx has ended, or the caller has left
)

// sendResult is the classified result of one send.
type sendResult struct {
	outcome   sendOutcome
	reply     Reply
	placement place.Result
	err       error
}

// unsignedError is the error of a response that the backend server didn't sign: something
// between it and this host may have sent it. The value is the HTTP status.
type unsignedError int

func (e unsignedError) Error() string {
	return "relay: response without a signature, status " + strconv.Itoa(int(e))
}

// classify derives the outcome of a send, and its result for placement.
func (c *call) classify(ctx context.Context, res link.Result) (result sendResult) {
	switch {
	case ctx.Err() != nil && res.Err != nil, errors.Is(res.Err, link.ErrAbandoned):
		result.outcome, result.placement.Cancelled = cancelled, true
		result.placement.TimedOut = res.Sent && errors.Is(ctx.Err(), context.DeadlineExceeded)
	case errors.Is(res.Err, link.ErrDial):
		result.outcome, result.placement.ConnFailed = dialFailed, true
	case errors.Is(res.Err, link.ErrMismatched), errors.Is(res.Err, link.ErrMalformed):
		result.outcome, result.placement.Failed = mismatched, true
	case res.Err != nil:
		result.outcome, result.placement.ConnFailed = connLost, true
	}
	if result.err = res.Err; res.Err != nil {
		return result
	}
	result.reply = c.relay.cfg.Codec.Reply(res.Status, res.Header)
	result.placement.Load, result.placement.HasLoad = result.reply.Load, result.reply.HasLoad
	result.placement.Slowdown = result.reply.Slowdown
	switch {
	case result.reply.NotRun:
		result.outcome, result.placement.Shed = notRun, true
	case !result.reply.Signed || !c.signedEndToEnd(res):
		result.err = unsignedError(res.Status)
		c.relay.cfg.Metrics.observeUnsigned(c.service, res.Status)
		result.outcome, result.placement.Failed = mismatched, true
	case res.Header.Get("Content-Encoding") != "":
		result.outcome, result.placement.Failed = mismatched, true
	default:
		result.outcome, result.placement.Failed = answered, res.Status >= http.StatusInternalServerError
	}
	return result
}

// signedEndToEnd reports whether a response is still signed without its hop-by-hop headers,
// as the caller receives it: its Connection header may list the signature.
func (c *call) signedEndToEnd(res link.Result) bool {
	return len(res.Header["Connection"]) == 0 || c.relay.cfg.Codec.Reply(res.Status, endToEnd(res.Header)).Signed
}
