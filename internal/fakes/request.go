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
	maxStart  = 64 << 10 // bytes of a body that are kept to recognise it
	chunkSize = 16 << 10 // bytes of an answer that are written at a time
)

// request is an application request as the server understands it.
type request struct {
	id      string
	attempt string
	method  string
	path    string
	hash    keys.Hash
	fence   keys.Fence
	fenced  bool // has a hash and a fencing token
	timeout clock.Span
	work    clock.Span
	size    int // bytes to stream; below 0 for the JSON answer

	body   xxhash.Digest
	length int64
	start  []byte // first bytes of the body
}

func parse(r *http.Request) (*request, error) {
	rq := &request{
		id:      r.Header.Get(answer.HeaderRequestID),
		attempt: r.Header.Get(answer.HeaderAttempt),
		method:  r.Method,
		path:    r.URL.Path,
		size:    -1,
	}
	rq.body.Reset()
	hash, fence := r.Header.Get(answer.HeaderHash), r.Header.Get(answer.HeaderFence)
	if hash != "" && fence != "" {
		err := rq.hash.UnmarshalText([]byte(hash))
		err2 := rq.fence.UnmarshalText([]byte(fence))
		if rq.fenced = err == nil && err2 == nil; !rq.fenced {
			return nil, fmt.Errorf("fakes: hash %q, fence %q", hash, fence)
		}
	}
	if s := r.Header.Get(answer.HeaderTimeout); s != "" {
		n, err := strconv.Atoi(s)
		if err != nil || n <= 0 {
			return nil, fmt.Errorf("fakes: timeout %q", s)
		}
		rq.timeout = clock.Span(n)
	}
	if r.URL.Query().Has("work") {
		n, err := number(r, "work")
		if err != nil {
			return nil, err
		}
		rq.work = clock.Span(n)
	}
	if r.URL.Query().Has("size") {
		n, err := number(r, "size")
		if err != nil {
			return nil, err
		}
		rq.size = n
	}
	return rq, nil
}

// Write implements io.Writer for the body.
func (rq *request) Write(p []byte) (int, error) {
	rq.start = append(rq.start, p[:min(len(p), maxStart-len(rq.start))]...)
	return rq.body.Write(p)
}

// context bounds the work by the request's timeout.
func (rq *request) context(ctx context.Context) (context.Context, context.CancelFunc) {
	if rq.timeout > 0 {
		return context.WithTimeout(ctx, rq.timeout.Std())
	}
	return context.WithCancel(ctx)
}

// work waits for the service time. It reports false if the request was
// cancelled, its timeout passed or the server was killed.
func (b *Backend) work(ctx context.Context, d clock.Span, bt *boot) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d.Std())
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
	case <-bt.dead:
	}
	return false
}

// Answer is the JSON answer to an application request.
type Answer struct {
	Server keys.Server `json:"server"`
	Method string      `json:"method"`
	Path   string      `json:"path"`
	ID     string      `json:"id"`
	Hash   keys.Hash   `json:"hash"`
	Fence  keys.Fence  `json:"fence"`
	Length int64       `json:"length"` // of the request's body
	Sum    string      `json:"sum"`    // xxhash64 of the request's body
	Runs   int         `json:"runs"`   // of this request id, with this one
}

// reply writes the answer in chunks, so that a freeze or a kill can cut it.
func (b *Backend) reply(w http.ResponseWriter, rq *request, f runFaults, runs int, bt *boot) {
	if f.cross {
		w.Header().Set(answer.HeaderAttempt, "not-"+rq.attempt)
	}
	chunk, size := b.answer(rq, runs), rq.size
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
		b.gate(bt)
		if _, err := w.Write(chunk[:min(len(chunk), end-n)]); err != nil {
			return
		}
	}
	if f.truncate {
		http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func (b *Backend) answer(rq *request, runs int) []byte {
	j, err := json.Marshal(Answer{
		Server: b.cfg.Name, Method: rq.method, Path: rq.path, ID: rq.id, Hash: rq.hash, Fence: rq.fence,
		Length: rq.length, Sum: fmt.Sprintf("%016x", rq.body.Sum64()), Runs: runs,
	})
	if err != nil {
		panic(err) // all fields can be marshalled
	}
	return j
}
