package caller

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/laburnummux/laburnummux/internal/segment"
)

const (
	// writeTimeout bounds the writing of a response to a caller that doesn't read
	// it.
	writeTimeout = 10 * time.Second
	// lingerTimeout is how long a connection stays half-closed after its last
	// response. Closing it at once with unread bytes would send a reset, and the
	// caller could lose the response.
	lingerTimeout = 500 * time.Millisecond
	// maxCopiedBytes bounds the response bodies that are copied behind their head.
	// Longer ones are written without a copy.
	maxCopiedBytes = 16 << 10
)

// loop writes the responses in the order of the requests.
func (c *conn) loop(written chan<- struct{}) {
	defer close(written)
	closed := false
	for ex := range c.exchanges {
		if closed {
			// The request follows one whose response has closed the connection.
			// To the caller it looks as if it hadn't been read.
			<-ex.done
			ex.release(c.server.cfg.Metrics)
			c.endPending()
			continue
		}
		<-ex.done
		closed = !ex.start() || c.writeResponse(ex)
		ex.release(c.server.cfg.Metrics)
		c.since.Store(time.Now().UnixNano())
		c.endPending()
		if closed {
			c.finish(ex)
		}
	}
}

// finish closes a connection after its last response.
func (c *conn) finish(ex *exchange) {
	c.cancel()
	if ex.response.Abort {
		c.netConn.Close()
		return
	}
	if tc, ok := c.netConn.(*net.TCPConn); ok && tc.CloseWrite() == nil {
		// run ends its read, lingers and closes the connection.
		if tc.SetReadDeadline(time.Unix(1, 0)) == nil {
			return
		}
	}
	c.netConn.Close()
}

// writeResponse writes the response of an exchange. It reports whether the
// connection has to be closed.
func (c *conn) writeResponse(ex *exchange) (closed bool) {
	resp := &ex.response
	if resp.Abort {
		return true
	}
	closed = resp.Close || ex.close
	if closed {
		c.closing.Store(true)
	}
	var b bytes.Buffer
	b.Grow(256 + int(min(resp.Body.Len(), maxCopiedBytes)))
	b.WriteString("HTTP/1.1 " + strconv.Itoa(resp.Status) + " " + http.StatusText(resp.Status) + "\r\n")
	noBody := resp.Status == http.StatusNoContent || resp.Status == http.StatusNotModified
	for name, values := range resp.Header {
		if name == "Content-Length" || name == "Transfer-Encoding" || name == "Connection" || name == "Keep-Alive" {
			continue
		}
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	if !noBody {
		n := strconv.FormatInt(resp.Body.Len(), 10)
		if ex.isHead && resp.Header.Get("Content-Length") != "" {
			n = resp.Header.Get("Content-Length")
		}
		b.WriteString("Content-Length: " + n + "\r\n")
	}
	if closed {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	body := resp.Body
	if ex.isHead || noBody {
		body = segment.Body{}
	}
	if body.Len() <= maxCopiedBytes {
		for _, s := range body.Segments() {
			b.Write(s)
		}
		body = segment.Body{}
	}
	if err := c.netConn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return true
	}
	if c.write(b.Bytes()) != nil {
		return true
	}
	if c.writeBody(body, resp.Hold) != nil {
		return true
	}
	return closed
}
