package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnummux/laburnummux/internal/budget"
	"github.com/laburnummux/laburnummux/internal/caller"
	"github.com/laburnummux/laburnummux/pkg/answer"
)

// httpBufferBytes is the length of the buffer from which net/http's server reads
// requests. Longer reads bypass it.
const httpBufferBytes = 4 << 10

// errGivenUp ends a response that was given up for want of memory.
var errGivenUp = errors.New("entry: response given up: bodies exceed the limit for their memory")

// stage is what happens on a caller's connection.
type stage int

const (
	stageHeader   stage = iota // a header is awaited or read
	stageBody                  // a body is read, or its request in progress
	stageResponse              // a response is written
)

// callerConn is a caller's connection. net/http reads one request after the other from
// it; the memory of each is counted from its first byte until its response is written.
//
// Only the goroutine that net/http runs for the connection, or one that delivers the
// response while it waits, opens, adds to and closes the hold. Its background read,
// during a request, at most records progress.
type callerConn struct {
	net.Conn         // raw, or tls
	raw              net.Conn
	tls              *tls.Conn // nil: plain text
	failedHandshakes *atomic.Uint64
	handshaken       bool // of Read
	tracked          *caller.Tracked
	intake           *intake
	refused          atomic.Bool // a header was given up

	mu        sync.Mutex
	window    caller.Window
	stage     stage
	hold      *budget.Hold // memory of the request, see count
	giveUp    func()       // of hold
	uncounted int64        // its memory without a hold
	buffered  int64        // cost of the bytes in net/http's buffer, if they are of a header
}

type callerConnKey struct{}

// withCallerConn is the ConnContext of the callers' server.
func withCallerConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(withConn(ctx, c.(*callerConn).raw), callerConnKey{}, c)
}

// callerConnOf returns the connection of a caller's request.
func callerConnOf(r *http.Request) *callerConn {
	return r.Context().Value(callerConnKey{}).(*callerConn)
}

// trackCaller is the ConnState of the callers' server.
func trackCaller(nc net.Conn, s http.ConnState) {
	c := nc.(*callerConn)
	switch s {
	case http.StateIdle:
		c.release()
		c.awaitHeader()
	case http.StateClosed, http.StateHijacked:
		c.release()
	}
}

// Read implements net.Conn. It counts the memory of headers as they are received.
func (c *callerConn) Read(p []byte) (n int, err error) {
	if err = c.handshake(); err != nil {
		return 0, err
	}
	n, err = c.Conn.Read(p)
	ok := n == 0 || c.received(p[:n], len(p))
	if !ok || c.givenUp() && c.atStage(stageHeader) {
		c.refused.Store(true)
		return 0, caller.ErrGivenUp
	}
	return n, err
}

// Write implements net.Conn. It fails if a header was given up, to which net/http would
// respond with 400: a refusal has to say whether the request has run, but its id isn't
// known.
func (c *callerConn) Write(p []byte) (int, error) {
	if c.refused.Load() {
		return 0, caller.ErrGivenUp
	}
	return c.Conn.Write(p)
}

// handshake makes the TLS handshake, if there is one, before the first read.
func (c *callerConn) handshake() error {
	if c.tls == nil || c.handshaken {
		return nil
	}
	err := c.tls.Handshake()
	if err == nil {
		c.handshaken = true
		return nil
	}
	c.failedHandshakes.Add(1)
	var rh tls.RecordHeaderError
	if errors.As(err, &rh) && rh.Conn != nil && looksLikeHTTP(string(rh.RecordHeader[:])) {
		io.WriteString(rh.Conn, "HTTP/1.0 400 Bad Request\r\n\r\nClient sent an HTTP request to an HTTPS server.\n")
	}
	return io.EOF
}

// looksLikeHTTP reports whether the beginning of a connection is that of a request in
// plain text.
func looksLikeHTTP(s string) bool {
	for _, m := range []string{"GET /", "HEAD ", "POST ", "PUT /", "OPTIO"} {
		if strings.HasPrefix(s, m) {
			return true
		}
	}
	return false
}

// received counts received bytes, which were read into a buffer of a size. It returns
// false if the request was given up.
func (c *callerConn) received(p []byte, size int) bool {
	c.tracked.RecordInput()
	var cost int64
	if size <= httpBufferBytes {
		cost = caller.HeadCost(p)
	}
	c.mu.Lock()
	inHeader := c.stage == stageHeader
	if size == 1 { // net/http's background read
		c.buffered += cost
	} else {
		c.buffered = cost
	}
	h := c.hold
	c.mu.Unlock()
	switch {
	case inHeader:
		c.tracked.BeginRequest()
		return c.count(cost)
	case h != nil:
		h.Progress()
	}
	return true
}

// count counts bytes of the request. Up to caller.UncountedBytes they are part of the
// fixed cost of the connection. It returns false if the request was given up.
func (c *callerConn) count(n int64) bool {
	c.mu.Lock()
	if c.hold == nil {
		c.uncounted += n
		if n = c.uncounted; n <= caller.UncountedBytes {
			c.mu.Unlock()
			return true
		}
		c.hold = c.tracked.NewHold(c.intake.budget, c.giveUp)
	}
	h := c.hold
	c.mu.Unlock()
	return h.Add(n)
}

// endRead ends the reading of a request that was given up.
func (c *callerConn) endRead() {
	c.raw.SetReadDeadline(time.Unix(1, 0)) // an error means that the connection is closed
}

// SetReadDeadline implements net.Conn. A later deadline doesn't undo endRead.
func (c *callerConn) SetReadDeadline(t time.Time) error {
	err := c.raw.SetReadDeadline(t)
	if c.givenUp() {
		c.endRead()
	}
	return err
}

// SetDeadline implements net.Conn.
func (c *callerConn) SetDeadline(t time.Time) error {
	if err := c.raw.SetWriteDeadline(t); err != nil {
		return err
	}
	return c.SetReadDeadline(t)
}

func (c *callerConn) atStage(s stage) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.stage == s
}

func (c *callerConn) currentHold() *budget.Hold {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hold
}

// givenUp reports whether the request or its response was given up.
func (c *callerConn) givenUp() bool {
	h := c.currentHold()
	if h == nil {
		return false
	}
	givenUp, _ := h.GivenUp()
	return givenUp
}

// refuse returns the result of a request that was given up before it was sent to a
// server, and releases its memory: net/http keeps the connection for half a second.
func (c *callerConn) refuse() result {
	reason := answer.Overloaded
	if h := c.currentHold(); h != nil {
		if _, stalled := h.GivenUp(); stalled {
			reason = answer.TooSlow
		}
	}
	c.release()
	return notRun(reason)
}

// beginBody records that the header was read. With pipelining it may have come from
// net/http's buffer, without a Read.
func (c *callerConn) beginBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stage = stageBody
	c.tracked.BeginRequest()
}

// endBody records that the body was read or isn't needed any more. A transport may read
// the end of a body when its request has ended.
func (c *callerConn) endBody() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stage != stageHeader {
		c.tracked.EndRead()
	}
}

// keepBody protects a request that was read to its end from being given up. It
// returns false if it was given up before.
func (c *callerConn) keepBody() bool {
	c.endBody()
	h := c.currentHold()
	return h == nil || h.Keep()
}

// streamBody lets a request whose body is streamed be given up with its connection, as
// it may have run; cancel ends its wait for a server. It returns false if it was given
// up before.
func (c *callerConn) streamBody(cancel context.CancelFunc) bool {
	h := c.currentHold()
	if h != nil && !h.Keep() {
		return false
	}
	c.abortOnGiveUp(cancel)
	c.tracked.OnEvict(cancel)
	c.growWindow()
	return true
}

// growWindow lets the caller send a long body fast.
func (c *callerConn) growWindow() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.window.Grow(c.intake.budget, c.tracked.Address())
}

// abortOnGiveUp has the connection closed and the request cancelled if it is given up.
func (c *callerConn) abortOnGiveUp(cancel context.CancelFunc) {
	giveUp := func() {
		c.raw.Close() // that of TLS could wait for the caller
		cancel()
	}
	c.mu.Lock()
	c.giveUp = giveUp
	h := c.hold
	c.mu.Unlock()
	if h != nil {
		h.Move(c.tracked.Address(), giveUp)
	}
}

// beginResponse lets the response be given up with its connection, and counts its
// buffers if it is streamed. It returns false if it was given up.
func (c *callerConn) beginResponse(streamed bool, cancel context.CancelFunc) bool {
	c.mu.Lock()
	c.stage = stageResponse
	c.mu.Unlock()
	c.endBody()
	c.abortOnGiveUp(cancel)
	return !streamed || c.count(streamBytes)
}

// awaitHeader begins to count the next request. Its beginning may be in net/http's
// buffer, which holds many short lines at most if the caller pipelines requests.
func (c *callerConn) awaitHeader() {
	c.mu.Lock()
	c.tracked.EndRequest()
	c.window.Shrink()
	c.stage, c.giveUp, c.uncounted = stageHeader, c.endRead, 0
	n := max(c.buffered-caller.UncountedBytes, 0)
	c.mu.Unlock()
	c.count(n) // the next read fails if it was given up
}

// release releases the memory of a request, which was answered or given up.
func (c *callerConn) release() {
	c.mu.Lock()
	h, s := c.hold, c.stage
	c.hold = nil
	c.mu.Unlock()
	if h == nil {
		return
	}
	defer h.Close()
	switch givenUp, stalled := h.GivenUp(); {
	case !givenUp, c.tracked.Evicted(): // the latter is counted as a connection
	case s == stageResponse:
		c.intake.metrics.CountGivenUp(caller.ReasonResponse)
	case stalled:
		c.intake.metrics.CountGivenUp(caller.ReasonStalled)
	default:
		c.intake.metrics.CountGivenUp(caller.ReasonMemory)
	}
}

// CloseWrite closes the sending side, which net/http does before it closes a connection
// with unread bytes.
func (c *callerConn) CloseWrite() error {
	if cw, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return cw.CloseWrite()
	}
	return nil
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	c.intake.conns.Remove(c.tracked)
	err := c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.window.Release()
	return err
}

// streamedBody is a body that is read while its request is in progress.
type streamedBody struct {
	io.Reader
	conn *callerConn
}

// Read implements io.Reader.
func (b streamedBody) Read(p []byte) (n int, err error) {
	n, err = b.Reader.Read(p)
	if err == io.EOF {
		b.conn.endBody()
	}
	return n, err
}
