package link

import (
	"context"
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
	// minBodyBuffer is the first size of the buffer for a body.
	minBodyBuffer = 4 << 10
)

var (
	errBodyTooLong = errors.New("response body exceeds the limit")
	errGivenUp     = errors.New("response given up: the responses in progress exceed the limit for their memory")
)

// readBody reads the body of a response until ctx ends. Its errors wrap ErrConnLost
// or ErrMalformed.
func readBody(ctx context.Context, resp *http.Response, maxBytes int64, h *hold) (b []byte, err error) {
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
		return nil, nil
	}
	if resp.ContentLength > maxBytes {
		return nil, errBodyTooLong
	}
	for {
		if len(b) == cap(b) {
			length := resp.ContentLength
			if length < 0 {
				length = maxBytes
			}
			if b, err = growBuffer(b, length, h); err != nil {
				return nil, err
			}
		}
		n, err := resp.Body.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case int64(len(b)) > maxBytes:
			return nil, errBodyTooLong
		case err == io.EOF:
			return b, nil
		case err != nil && !h.add(0):
			return nil, errGivenUp
		case err != nil:
			return nil, err
		}
	}
}

// growBuffer returns a buffer with the content of b and more capacity, for a body
// of at most maxBytes. The buffer grows with the bytes received, as a length may
// be declared of which nothing is sent.
func growBuffer(b []byte, maxBytes int64, h *hold) ([]byte, error) {
	size := min(max(2*int64(cap(b)), minBodyBuffer), maxBytes+1) // one more to read the end of the body
	if !h.add(size) {
		return nil, errGivenUp
	}
	grown := make([]byte, len(b), size)
	copy(grown, b)
	h.add(-int64(cap(b)))
	return grown, nil
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
