package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"

	"github.com/laburnummux/laburnummux/internal/head"
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
		case isMalformed(err), errors.Is(err, errBodyTooLong), errors.Is(err, errGivenUp) && ctx.Err() == nil:
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
	case err == nil:
		return b, head.CheckTrailer(resp.Trailer)
	case errors.Is(err, segment.ErrTooLong):
		return b, errBodyTooLong
	case errors.Is(err, segment.ErrGivenUp), err != nil && !h.Add(0):
		return b, errGivenUp
	}
	return b, err
}

func isMalformed(err error) bool {
	_, ok := head.FaultOf(err)
	return ok
}

// delimitedByClose reports whether the end of the connection is that of the body.
func delimitedByClose(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// checkEnd returns an error unless the end of the stream that was read is the
// server's. The system reports the loss of a connection to one call only: if that is
// the write of the request, a read returns a normal end of the stream. EPIPE means
// that the server had closed its sending side before, or that a read got the error.
//
// It closes the connection, so that it never waits for the server: a write in
// progress ends with net.ErrClosed if it wasn't told of a loss before.
func (c *conn) checkEnd(wrote <-chan error) error {
	c.Close()
	err := <-wrote
	switch {
	case err == nil, errors.Is(err, net.ErrClosed), errors.Is(err, syscall.EPIPE), errors.Is(err, io.ErrClosedPipe): // the last one for net.Pipe
		return nil
	}
	return fmt.Errorf("%w: the request could not be written: %w", ErrConnLost, err)
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
	if err = head.CheckTrailer(resp.Trailer); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}
