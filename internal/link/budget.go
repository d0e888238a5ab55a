package link

import (
	"context"

	"github.com/laburnummux/laburnummux/internal/budget"
)

// Budget bounds the memory of the response bodies on all connections that share it.
// When they exceed it, the longest one of the server with the most is given up: the
// responses of a server that sends bytes without end make room for those of the
// others.
type Budget = budget.Budget

// NewBudget returns a Budget of a number of bytes.
func NewBudget(maxBytes int64) *Budget { return budget.New(maxBytes) }

// hold is the memory of one response body.
type hold struct {
	*budget.Hold
	stop func() bool // stops the wait for the end of the context
}

// newHold returns the hold of a response. The response is given up when ctx ends.
func newHold(ctx context.Context, p *Pool, endRead func()) *hold {
	h := &hold{Hold: p.cfg.Budget.NewHold(p, endRead)}
	h.stop = context.AfterFunc(ctx, h.Cancel)
	return h
}

// keep ends the reading of a complete response. It reports whether the response
// wasn't given up before.
func (h *hold) keep() bool {
	h.stop()
	return h.Keep()
}

// close releases the bytes.
func (h *hold) close() {
	h.stop()
	h.Close()
}
