package caller

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"time"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/budget"
	"github.com/laburnummux/laburnummux/internal/listen"
	"github.com/laburnummux/laburnummux/internal/segment"
)

const (
	// DefaultBudget is the bytes of requests and responses without Config.Budget.
	DefaultBudget = 1 << 30
	// headByteCost and headLineCost are the memory that a header is counted with: a
	// short line takes many times its length as an entry of http.Header, and the
	// relay makes a copy of the entries.
	headByteCost = 3
	headLineCost = 192
	// encryptedByteCost is the memory that an encrypted byte is counted with: it may
	// belong to a header with lines of four bytes.
	encryptedByteCost = headByteCost + headLineCost/4
	// chunkOverhead is how many bytes a body in chunks takes at most for each of its
	// bytes. net/http rejects a body whose chunks have more than 16 bytes and twice their
	// length of other bytes, on average.
	chunkOverhead = 1 + 16 + 2
	// UncountedBytes is the memory up to which a request is part of the fixed cost of
	// its connection, unless the connection has other requests in progress. Counting
	// each short request took 3 of 18 microseconds.
	UncountedBytes = 8 << 10
	// maxWriteBytes is the longest part of a response that is written at once. A caller that
	// doesn't read is noticed when a part isn't written.
	maxWriteBytes = 64 << 10
	// lateReadTimeout bounds the read of bytes that are already in the socket's buffer. It
	// only has to be longer than the time between the setting of the deadline and the read.
	lateReadTimeout = time.Second
	// minRetryAfter and maxRetryAfter bound when the caller of a request that was given
	// up for want of memory may send it again, in seconds: callers that are refused
	// together come back one by one.
	minRetryAfter = 0.5
	maxRetryAfter = 1.5
)

// NewBudget returns the budget of the bodies of callers' requests and of responses. It
// logs when they begin to exceed it, and when they are well below it again.
func NewBudget(maxBytes int64, log *zap.Logger) *budget.Budget {
	b := budget.New(maxBytes)
	b.OnPressure(func(on bool) {
		if on {
			log.Warn("bodies exceed the limit for their memory: giving up the longest", zap.Int64("bytes", maxBytes))
		} else {
			log.Info("bodies are below the limit for their memory again")
		}
	})
	return b
}

// ErrGivenUp ends the reading of a request that was given up for want of memory.
var ErrGivenUp = errors.New("caller: request given up: requests exceed the limit for their memory")

// HeadCost returns the memory that bytes of a header are counted with.
func HeadCost(p []byte) int64 {
	return headByteCost*int64(len(p)) + headLineCost*int64(bytes.Count(p, []byte{'\n'}))
}

// source is the source of a connection's reader. It counts the memory of headers as
// they are received.
type source struct{ conn *conn }

// Read implements io.Reader.
func (s source) Read(p []byte) (n int, err error) {
	c := s.conn
	if c.inRequest && c.inHead && c.fault != nil {
		return 0, c.fault // the parser may have dropped it, and would go on behind the fault
	}
	n, err = c.netConn.Read(p)
	if c.inRequest && c.inHead && errors.Is(err, os.ErrDeadlineExceeded) {
		n, err = c.readLate(p)
	}
	c.received += int64(n)
	c.readErr = err
	if n > 0 {
		c.RecordInput()
	}
	switch {
	case !c.inRequest || n == 0:
	case c.inHead:
		if err := c.receiveHead(p[:n]); err != nil {
			return 0, err
		}
	case c.hold != nil:
		c.hold.Progress()
	}
	return n, err
}

// readLate reads bytes of a header that are in the socket's buffer after its deadline: the
// process may have got no processor time to read them earlier.
func (c *conn) readLate(p []byte) (int, error) {
	if n, err := listen.Unread(c.socket); err != nil || n == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	if err := c.setReadDeadline(time.Now().Add(lateReadTimeout)); err != nil {
		return 0, err
	}
	defer c.endRead()
	return c.netConn.Read(p)
}

// beginRequest begins to count the memory of a request and to check its header. Its first
// bytes are buffered.
func (c *conn) beginRequest() error {
	c.inRequest, c.inHead, c.counted, c.fault = true, true, 0, nil
	c.scanner.Begin()
	buffered, err := c.reader.Peek(c.reader.Buffered())
	c.received, c.readErr = int64(len(buffered)), nil
	if err != nil {
		return err
	}
	if err = c.receiveHead(buffered); c.fault != nil {
		return c.headerError(err)
	}
	return err
}

// receiveHead counts and checks bytes of a header. Those behind its end are counted, too.
func (c *conn) receiveHead(p []byte) error {
	if !c.count(HeadCost(p)) {
		return ErrGivenUp
	}
	_, c.fault = c.scanner.Scan(p)
	return c.fault
}

// count counts bytes of the request that is being read. It returns false if the
// request was given up.
func (c *conn) count(n int64) bool {
	c.counted += n
	if !c.inHead && c.counted >= longBody {
		c.window.Grow(c.server.cfg.Budget, c.address)
	}
	if c.hold != nil {
		return c.hold.Add(n)
	}
	if c.counted <= UncountedBytes && c.pending.Load() == 0 {
		return true
	}
	c.hold = c.NewHold(c.server.cfg.Budget, c.endRead)
	return c.hold.Add(c.counted)
}

// endRead ends the reading of a request.
func (c *conn) endRead() {
	c.netConn.SetReadDeadline(time.Unix(1, 0)) // an error means that the connection is closed
}

// giveUp gives the response up, and with it the connection.
func (ex *exchange) giveUp(c *conn) {
	c.netConn.Close()
	go ex.drop(c.server.cfg.Metrics)
}

// drop releases the memory of a response that isn't being written: it may wait for the
// response to an earlier request, which may wait for this memory.
func (ex *exchange) drop(m *Metrics) {
	if ex.start() {
		ex.release(m)
	}
}

// start begins the writing or dropping of the response. It returns false if the other
// one has begun.
func (ex *exchange) start() bool {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	first := !ex.started
	ex.started = true
	return first
}

// setReadDeadline sets the deadline of a request that is being read. It returns
// ErrGivenUp if the request was given up, as the later deadline would undo endRead.
func (c *conn) setReadDeadline(t time.Time) error {
	if err := c.netConn.SetReadDeadline(t); err != nil {
		return err
	}
	if c.hold != nil {
		if givenUp, _ := c.hold.GivenUp(); givenUp {
			return ErrGivenUp
		}
	}
	return nil
}

// takeHold ends the reading of a request, and returns its hold, which may be nil.
func (c *conn) takeHold() (h *budget.Hold) {
	c.window.Shrink()
	h, c.hold, c.inRequest = c.hold, nil, false
	return h
}

// RetryAfter returns the value of the header for a caller whose request was given up
// for want of memory.
func RetryAfter() string {
	return strconv.FormatFloat(minRetryAfter+rand.Float64()*(maxRetryAfter-minRetryAfter), 'f', 3, 64)
}

// endRequest ends the reading of a request that has failed, and releases its memory.
// It returns the error with the status that the caller gets.
func (c *conn) endRequest(err error) error {
	h := c.takeHold()
	m := c.server.cfg.Metrics
	var givenUp, stalled bool
	if h != nil {
		defer h.Close()
		givenUp, stalled = h.GivenUp()
	}
	var pe *protocolError
	switch {
	case c.Evicted(): // counted as a connection
	case givenUp && stalled:
		m.CountGivenUp(ReasonStalled)
		return &protocolError{reason: rejectedStalled, err: ErrGivenUp}
	case givenUp:
		m.CountGivenUp(ReasonMemory)
		return &protocolError{reason: rejectedMemory, err: ErrGivenUp, header: http.Header{"Retry-After": {RetryAfter()}}}
	case !errors.As(err, &pe):
	case pe.reason == rejectedLongBody:
		m.CountGivenUp(ReasonTooLong)
	case pe.reason == rejectedSlowBody:
		m.CountGivenUp(ReasonTimeout)
	}
	return err
}

// writeBody writes a long body without a copy, segment by segment.
func (c *conn) writeBody(body segment.Body, h *budget.Hold) error {
	for _, s := range body.Segments() {
		for part := range slices.Chunk(s, maxWriteBytes) {
			if err := c.write(part); err != nil {
				return err
			}
			if h != nil {
				h.Progress()
			}
		}
	}
	return nil
}

// write writes a part of a response and records the write for Tracked.evictionClass.
func (c *conn) write(p []byte) error {
	c.beginWrite()
	defer c.endWrite()
	_, err := c.netConn.Write(p)
	return err
}

// release releases the memory of the exchange's response, which is written or
// dropped.
func (ex *exchange) release(m *Metrics) {
	ex.mu.Lock()
	defer ex.mu.Unlock()
	h := ex.response.Hold
	if h == nil {
		return
	}
	if givenUp, _ := h.GivenUp(); givenUp {
		m.CountGivenUp(ReasonResponse)
	}
	ex.response.Body, ex.response.Hold = segment.Body{}, nil
	h.Close()
}
