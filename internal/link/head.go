package link

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
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

// headReader is the source of a connection's reader. It bounds the heads of
// responses, which http.ReadResponse reads without a limit.
type headReader struct {
	source  io.Reader
	inHead  bool
	lineLen int // bytes of the current line, without CR
	bytes   int
	lines   int
	err     error // last error of source
}

// reset begins the count of another request's heads.
func (h *headReader) reset() { h.inHead, h.bytes, h.lines = false, 0, 0 }

// begin begins a head. buffered has the bytes that were read before.
func (h *headReader) begin(buffered []byte) error {
	h.inHead, h.lineLen = true, 0
	return h.count(buffered)
}

// end ends the head, if it is still open because it is malformed.
func (h *headReader) end() { h.inHead = false }

// Read implements io.Reader.
func (h *headReader) Read(p []byte) (n int, err error) {
	n, err = h.source.Read(p)
	h.err = err
	if e := h.count(p[:n]); e != nil {
		return 0, e // with bytes, the reader would return them as a line and drop the error
	}
	return n, err
}

// count counts the bytes up to the empty line that ends the head.
func (h *headReader) count(p []byte) error {
	for _, b := range p {
		if !h.inHead {
			return nil
		}
		h.bytes++
		switch b {
		case '\n':
			h.inHead = h.lineLen > 0
			h.lines++
			h.lineLen = 0
		case '\r':
		default:
			h.lineLen++
		}
		if h.bytes > maxHeadBytes || h.lines > maxHeadLines {
			return errHeadTooLong
		}
	}
	return nil
}

// readHead reads the head of the next response. Its errors wrap ErrConnLost or
// ErrMalformed.
func (c *conn) readHead(req *http.Request) (resp *http.Response, err error) {
	defer func() {
		switch {
		case err == nil:
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
