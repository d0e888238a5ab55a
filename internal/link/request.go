package link

import (
	"bytes"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/laburnummux/laburnummux/internal/budget"
	"github.com/laburnummux/laburnummux/internal/segment"
)

// Request is a request to a backend server.
type Request struct {
	Method           string
	Target           string // path and query as the caller sent them
	Host             string
	Header           http.Header
	Body             segment.Body
	HasContentLength bool // send a Content-Length even if the body is empty
	// ID identifies the request, or the kind of request if responses don't identify
	// it further.
	ID string
	// Matches reports whether a response belongs to this request.
	Matches func(status int, h http.Header) bool
	// Confusable reports whether a copy of a response, which a faulty server may
	// send later on the same connection, could do harm as the response to another
	// request with the same ID. That isn't sent on this connection any more.
	Confusable func(status int, h http.Header) bool
	// Abandoned reports whether nobody waits for the response any more. It is called
	// right before the request is sent. May be nil: then only ctx decides.
	Abandoned func() bool
	// KeepHold has the memory of a response without an error counted until Result.Hold
	// is closed, and not only until the response is complete.
	KeepHold bool
	NewConn  bool // send it on a new connection only
	// LastConn is the highest number of a connection that may carry the request;
	// 0 means any, and a new one is opened if none is idle. The request waits for one
	// that is in use.
	LastConn uint64
}

// Result is the response to a request, or the error.
type Result struct {
	Sent    bool // bytes of the request may have reached the server
	Status  int
	Proto   string
	Header  http.Header
	Body    segment.Body
	Hold    *budget.Hold // see Request.KeepHold
	NewConn bool         // a new connection was opened
	// Waited is how long the new connection was left unused, see Pool.dial.
	Waited time.Duration
	// LastConn is the number of the last connection that was open when the request
	// was sent. Connections up to this one reach the process that responded or
	// earlier ones at its address.
	LastConn            uint64
	MismatchedResponses int // responses to other requests, which were skipped
	Err                 error
}

// writer writes a request with a long body while the response is read.
type writer struct {
	conn *conn
	head []byte
	body segment.Body
	done chan<- error
}

func (w *writer) run() {
	bufs := append(net.Buffers{w.head}, w.body.Segments()...)
	_, err := bufs.WriteTo(w.conn.Conn)
	w.done <- err
}

// encodeHead returns the request line and the header.
func (r Request) encodeHead() []byte {
	var b bytes.Buffer
	b.Grow(512 + int(min(r.Body.Len(), maxInlineBytes)))
	b.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	if r.Body.Len() > 0 || r.HasContentLength {
		b.WriteString("Content-Length: " + strconv.FormatInt(r.Body.Len(), 10) + "\r\n")
	}
	for name, values := range r.Header {
		for _, v := range values {
			b.WriteString(name + ": " + v + "\r\n")
		}
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
