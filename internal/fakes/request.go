package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	maxPrefix = 64 << 10 // bytes of a body that are kept for CrashOn
	chunkSize = 16 << 10 // bytes of a response that are written at a time
)

// request is a parsed application request.
type request struct {
	id           string
	attempt      string
	method       string
	path         string
	hash         keys.Hash
	fence        keys.Fence
	fenced       bool // has a hash and a fencing token
	timeout      clock.Span
	workTime     clock.Span // additional service time
	responseSize int        // bytes to stream; below 0 for the JSON response

	bodyDigest xxhash.Digest
	bodyLength int64
	prefix     []byte // first bytes of the body
}

func parseRequest(r *http.Request) (*request, error) {
	rq := &request{
		id:           r.Header.Get(answer.HeaderRequestID),
		attempt:      r.Header.Get(answer.HeaderAttempt),
		method:       r.Method,
		path:         r.URL.Path,
		responseSize: -1,
	}
	rq.bodyDigest.Reset()
	hash, fence := r.Header.Get(answer.HeaderHash), r.Header.Get(answer.HeaderFence)
	if hash != "" && fence != "" {
		err := rq.hash.UnmarshalText([]byte(hash))
		err2 := rq.fence.UnmarshalText([]byte(fence))
		if rq.fenced = err == nil && err2 == nil; !rq.fenced {
			return nil, fmt.Errorf("fakes: invalid hash %q or fencing token %q", hash, fence)
		}
	}
	if s := r.Header.Get(answer.HeaderTimeout); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n <= 0 {
			return nil, fmt.Errorf("fakes: invalid timeout %q", s)
		}
		rq.timeout = clock.Span(n)
	}
	if r.URL.Query().Has("work") {
		n, err := intParam(r, "work")
		if err != nil {
			return nil, err
		}
		rq.workTime = clock.Span(n)
	}
	if r.URL.Query().Has("size") {
		n, err := intParam(r, "size")
		if err != nil {
			return nil, err
		}
		rq.responseSize = n
	}
	return rq, nil
}

// Write implements io.Writer. It processes a part of the body.
func (rq *request) Write(p []byte) (int, error) {
	rq.prefix = append(rq.prefix, p[:min(len(p), maxPrefix-len(rq.prefix))]...)
	return rq.bodyDigest.Write(p)
}

// context returns a context that ends after the request's timeout.
func (rq *request) context(ctx context.Context) (context.Context, context.CancelFunc) {
	if rq.timeout > 0 {
		return context.WithTimeout(ctx, rq.timeout.Std())
	}
	return context.WithCancel(ctx)
}

// work waits for the service time d. It reports false if the request was
// cancelled, its timeout passed or the server was killed before.
func (b *Backend) work(ctx context.Context, d clock.Span, inc *incarnation) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d.Std())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
	case <-inc.killed:
	}
	return false
}

// Response is the JSON response to an application request.
type Response struct {
	Server keys.Server `json:"server"`
	Method string      `json:"method"`
	Path   string      `json:"path"`
	ID     string      `json:"id"`
	Hash   keys.Hash   `json:"hash"`
	Fence  keys.Fence  `json:"fence"`
	Length int64       `json:"length"` // of the request's body
	Sum    string      `json:"sum"`    // xxhash64 of the request's body
	Runs   int         `json:"runs"`   // of this request ID, including this one
}

// writeResponse writes the response in chunks, so that a freeze or a kill can
// interrupt it.
func (b *Backend) writeResponse(w http.ResponseWriter, rq *request, f runFaults, runs int, inc *incarnation) {
	if f.mismatch {
		w.Header().Set(answer.HeaderAttempt, "not-"+rq.attempt)
	}
	chunk, size := b.responseJSON(rq, runs), rq.responseSize
	if size < 0 {
		size = len(chunk)
		w.Header().Set("Content-Type", "application/json")
	} else {
		chunk = make([]byte, chunkSize)
	}
	w.Header().Set("Content-Length", strconv.Itoa(size))
	end := size
	if f.truncate {
		end = size / 2
	}
	for n := 0; n < end; n += len(chunk) {
		b.waitWhileFrozen(inc)
		if _, err := w.Write(chunk[:min(len(chunk), end-n)]); err != nil {
			return
		}
	}
	if f.truncate {
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func (b *Backend) responseJSON(rq *request, runs int) []byte {
	j, err := json.Marshal(Response{
		Server: b.cfg.Name, Method: rq.method, Path: rq.path, ID: rq.id, Hash: rq.hash, Fence: rq.fence,
		Length: rq.bodyLength, Sum: fmt.Sprintf("%016x", rq.bodyDigest.Sum64()), Runs: runs,
	})
	if err != nil {
		panic(err) // never happens: all fields can be marshalled
	}
	return j
}
