package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/laburnummux/laburnummux/internal/segment"
)

const (
	// maxBodyBytes bounds the body of a response.
	maxBodyBytes = 64 << 20
	// maxProbeBodyBytes bounds the body of the response to a health request, which
	// isn't used.
	maxProbeBodyBytes = 64 << 10
	// maxSkippedBytes bounds the body of a mismatched response that is skipped to
	// get to the response that belongs to the request.
	maxSkippedBytes = 1 << 20
)

var (
	errBodyTooLong = errors.New("response body exceeds the limit")
	errGivenUp     = errors.New("response given up: the responses in progress exceed the limit for their memory")
)

// readBody reads the body of a response until ctx ends. Its errors wrap ErrConnLost
// or ErrMalformed.
func readBody(ctx context.Context, resp *http.Response, maxBytes int64, h *hold) (b segment.Body, err error) {
	defer func() {
		switch {
		case err == nil:
		case errors.Is(err, errBodyTooLong), errors.Is(err, errGivenUp) && ctx.Err() == nil:
			err = fmt.Errorf("%w: %w", ErrMalformed, err)
		default:
			err = fmt.Errorf("%w: %w", ErrConnLost, err)
		}
	}()
	if resp.Body == http.NoBody {
		return b, nil
	}
	b, err = segment.Read(resp.Body, resp.ContentLength, maxBytes, h.Add)
	switch {
	case errors.Is(err, segment.ErrTooLong):
		return b, errBodyTooLong
	case errors.Is(err, segment.ErrGivenUp), err != nil && !h.Add(0):
		return b, errGivenUp
	}
	return b, err
}

// skipBody reads and drops the body of a mismatched response.
func skipBody(resp *http.Response) error {
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSkippedBytes+1))
	switch {
	case err != nil:
		return fmt.Errorf("%w: %w", ErrConnLost, err)
	case n > maxSkippedBytes:
		return fmt.Errorf("%w: %w", ErrMismatched, errBodyTooLong)
	}
	return nil
}
