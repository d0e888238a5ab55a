package link

import (
	"errors"
	"fmt"
	"io"
	"net/http"
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

var errBodyTooLong = errors.New("response body exceeds the limit")

// readBody reads the body of a response. Its errors wrap ErrConnLost or
// ErrMalformed. The body isn't closed, as that would read it to its end.
func readBody(resp *http.Response, maxBytes int64) (b []byte, err error) {
	if resp.Body != http.NoBody && resp.ContentLength > maxBytes {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, errBodyTooLong)
	}
	b, err = io.ReadAll(io.LimitReader(resp.Body, maxBytes+1))
	switch {
	case err != nil:
		return nil, fmt.Errorf("%w: %w", ErrConnLost, err)
	case int64(len(b)) > maxBytes:
		return nil, fmt.Errorf("%w: %w", ErrMalformed, errBodyTooLong)
	}
	return b, nil
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
