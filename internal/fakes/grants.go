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

// GrantMessage is the body of PUT /laburnummux/grants. It replaces all grants
// of the dispatcher From, unless a message with a higher Seq was applied: a
// late message must not bring back a range that was withdrawn.
type GrantMessage struct {
	Grants     []Grant    `json:"grants"`
	ValidUntil clock.Time `json:"validUntil"` // on the server's own clock
	From       string     `json:"from,omitempty"`
	Seq        uint64     `json:"seq,omitempty"`

	// Boot is optional. A message to another boot of the server is refused,
	// because the clock starts again with each boot.
	Boot string `json:"boot,omitempty"`
}

// grants are the ranges that a server holds from each dispatcher and the
// highest fencing tokens that it has seen.
type grants struct {
	sets map[string]*grantSet
	seen []Grant
}

type grantSet struct {
	seq   uint64
	held  []Grant
	until clock.Time
}

// holds reports whether f is the valid fencing token of h.
func (g *grants) holds(h keys.Hash, f keys.Fence, now clock.Time) bool {
	for _, set := range g.sets {
		if now.Before(set.until) && slices.ContainsFunc(set.held, func(o Grant) bool { return o.Range.Contains(h) && o.Fence == f }) {
			return g.newest(h, f)
		}
	}
	return false
}

// newest reports whether no higher fencing token was seen for h.
func (g *grants) newest(h keys.Hash, f keys.Fence) bool {
	return !slices.ContainsFunc(g.seen, func(o Grant) bool { return o.Range.Contains(h) && o.Fence > f })
}

// replace takes over a grant message. It changes nothing and reports false if
// a part of a range was seen with a higher fencing token: ranges are split and
// merged, so the comparison is by overlap.
func (g *grants) replace(m GrantMessage) bool {
	if set := g.sets[m.From]; set != nil && m.Seq < set.seq {
		return false
	}
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
	if g.sets == nil {
		g.sets = make(map[string]*grantSet)
	}
	g.sets[m.From] = &grantSet{seq: m.Seq, held: m.Grants, until: m.ValidUntil}
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
	b.gate(bt)
	status := http.StatusOK
	if !ok {
		status = http.StatusConflict
		w.Header().Set(answer.HeaderReason, answer.StaleFence.String())
	}
	sendStatus(w, status, h)
}
