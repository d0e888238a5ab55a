package link

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	"github.com/laburnummux/laburnummux/internal/head"
)

const (
	// maxHeadBytes and maxHeadLines bound the heads that are read for one request:
	// that of its response, and those of the informational and mismatched
	// responses before it. A short line takes many times its length in memory.
	maxHeadBytes = 64 << 10
	maxHeadLines = 512
	// headPrefix begins every response.
	headPrefix = "HTTP/"
	// maxErrorLen bounds the text of an error about a malformed head, in bytes.
	maxErrorLen = 200
)

var (
	errHeadTooLong = errors.New("response head exceeds the limit")
	errNotHTTP     = errors.New("not an HTTP response")
)

// headReader is the source of a connection's reader. It checks and bounds the heads of
// responses, which http.ReadResponse reads without a limit.
type headReader struct {
	source  io.Reader
	scanner head.Scanner
	bytes   int
	lines   int
	err     error // last error of source
	fault   error // of a head that is malformed or too long
}

// reset begins the count of another request's heads.
func (h *headReader) reset() {
	h.scanner.End()
	h.bytes, h.lines, h.fault = 0, 0, nil
}

// begin begins a head. buffered has the bytes that were read before.
func (h *headReader) begin(buffered []byte) error {
	h.scanner.Begin()
	return h.check(buffered)
}

// end ends the head, if it is still incomplete because it is malformed.
func (h *headReader) end() { h.scanner.End() }

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (n int, err error) {
	if h.fault != nil {
		return 0, h.fault // the parser may have dropped it, and would go on behind the fault
	}
	n, err = h.source.Read(p)
	h.err = err
	if e := h.check(p[:n]); e != nil {
		return 0, e // with bytes, the reader would return them as a line and drop the error
	}
	return n, err
}

// check checks and counts the bytes up to the end of the head.
func (h *headReader) check(p []byte) (err error) {
	n, err := h.scanner.Scan(p)
	h.bytes += n
	h.lines += bytes.Count(p[:n], []byte{'\n'})
	if h.bytes > maxHeadBytes || h.lines > maxHeadLines {
		err = errHeadTooLong
	}
	h.fault = err
	return err
}

// readHead reads the head of the next response. Its errors wrap ErrConnLost or
// ErrMalformed, and both if the end of the response couldn't be told from a loss of the
// connection.
func (c *conn) readHead(req *http.Request) (resp *http.Response, err error) {
	defer func() {
		framing := c.head.scanner.CheckFraming()
		switch {
		case err == nil && framing != nil:
			resp, err = nil, fmt.Errorf("%w: %w, so its end isn't known: %w", ErrMalformed, framing, ErrConnLost)
		case err == nil:
		case c.head.fault != nil:
			err = fmt.Errorf("%w: %w", ErrMalformed, c.head.fault)
		case c.head.err != nil: // http.ReadResponse takes the part of a line for a complete one
			err = fmt.Errorf("%w: %w", ErrConnLost, c.head.err)
		default:
			// The error may contain as many bytes of the server as the head.
			err = fmt.Errorf("%w: %.*s", ErrMalformed, maxErrorLen, err.Error())
		}
	}()
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return nil, err
	}
	if err = c.head.begin(buffered); err != nil {
		return nil, err
	}
	defer c.head.end()
	if err = awaitHead(c.reader); err != nil {
		return nil, err
	}
	return http.ReadResponse(c.reader, req)
}

// awaitHead waits for the beginning of a response. It returns errNotHTTP with the
// first byte that shows that there is none.
func awaitHead(r *bufio.Reader) error {
	for i := range len(headPrefix) {
		b, err := r.Peek(i + 1)
		if err != nil {
			return err
		}
		if b[i] != headPrefix[i] {
			return errNotHTTP
		}
	}
	return nil
}
