package fakes

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const maxGrants = 1 << 20 // bytes of a grant message

// Grant gives a server a range of hashes.
type Grant struct {
	Range keys.Range `json:"range"`
	Fence keys.Fence `json:"fence"`
}

// GrantMessage is the body of PUT /laburnummux/grants. It replaces all grants.
type GrantMessage struct {
	Grants     []Grant    `json:"grants"`
	ValidUntil clock.Time `json:"validUntil"` // on the server's own clock

	// Boot is optional. A message to another boot of the server is refused,
	// because the clock starts again with each boot.
	Boot string `json:"boot,omitempty"`
}

// grants are the ranges that a server holds and the highest fencing tokens
// that it has seen.
type grants struct {
	held  []Grant
	until clock.Time
	seen  []Grant
}

// holds reports whether f is the valid fencing token of h.
func (g *grants) holds(h keys.Hash, f keys.Fence, now clock.Time) bool {
	if !now.Before(g.until) {
		return false
	}
	return slices.ContainsFunc(g.held, func(o Grant) bool { return o.Range.Contains(h) && o.Fence == f })
}

// replace takes over a grant message. It changes nothing and reports false if
// a part of a range was seen with a higher fencing token: ranges are split and
// merged, so the comparison is by overlap.
func (g *grants) replace(m GrantMessage) bool {
	for _, n := range m.Grants {
		if slices.ContainsFunc(g.seen, func(o Grant) bool { return o.Range.Overlaps(n.Range) && o.Fence > n.Fence }) {
			return false
		}
	}
	for _, n := range m.Grants {
		g.seen = slices.DeleteFunc(g.seen, func(o Grant) bool {
			return n.Range.Contains(o.Range.Lo()) && n.Range.Contains(o.Range.Hi())
		})
		g.seen = append(g.seen, n)
	}
	g.held, g.until = m.Grants, m.ValidUntil
	return true
}

func (b *Backend) putGrants(w http.ResponseWriter, r *http.Request, bt *boot) {
	body, ok := readBody(w, r, maxGrants)
	if !ok {
		return
	}
	b.gate(bt)
	var m GrantMessage
	if json.Unmarshal(body, &m) != nil {
		refuse(w, http.StatusBadRequest, answer.BadRequest)
		return
	}
	b.mu.Lock()
	ok = (m.Boot == "" || m.Boot == bt.id) && bt.grants.replace(m)
	h := b.health()
	b.mu.Unlock()
	if !ok {
		refuse(w, http.StatusConflict, answer.StaleFence)
		return
	}
	b.gate(bt)
	send(w, h)
}
