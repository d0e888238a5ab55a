package fakes

import (
	"encoding/json"
	"net/http"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const maxGrantMessage = 1 << 20 // bytes

// Grant grants a range of hashes to a server with a fencing token.
type Grant struct {
	Range keys.Range `json:"range"`
	Fence keys.Fence `json:"fence"`
}

// GrantMessage is the body of PUT /laburnummux/grants. It replaces all grants
// of the dispatcher From, unless a message with a higher Seq has been applied: a
// delayed message must not bring back a range that was withdrawn.
type GrantMessage struct {
	Grants     []Grant    `json:"grants"`
	ValidUntil clock.Time `json:"validUntil"` // on the server's own clock
	From       string     `json:"from,omitempty"`
	Seq        uint64     `json:"seq,omitempty"`

	// Boot is optional. A message for another incarnation of the server is
	// rejected, because the clock restarts with each incarnation.
	Boot string `json:"boot,omitempty"`
}

// grants has the grants of a server from each dispatcher and the highest fencing
// tokens that it has received.
type grants struct {
	sets    map[string]*grantSet // by dispatcher
	highest []Grant
}

type grantSet struct {
	seq    uint64
	grants []Grant
	until  clock.Time
}

// valid reports whether f is the valid fencing token of h.
func (g *grants) valid(h keys.Hash, f keys.Fence, now clock.Time) bool {
	for _, set := range g.sets {
		if now.Before(set.until) && slices.ContainsFunc(set.grants, func(o Grant) bool { return o.Range.Contains(h) && o.Fence == f }) {
			return g.isHighest(h, f)
		}
	}
	return false
}

// isHighest reports whether no higher fencing token than f was received for h.
func (g *grants) isHighest(h keys.Hash, f keys.Fence) bool {
	return !slices.ContainsFunc(g.highest, func(o Grant) bool { return o.Range.Contains(h) && o.Fence > f })
}

// replace applies a grant message. It changes nothing and reports false if a
// message with a higher Seq was applied, or if a higher fencing token was
// received for a part of a range. Ranges are compared by overlap, since they are
// split and merged.
func (g *grants) replace(m GrantMessage) bool {
	if set := g.sets[m.From]; set != nil && m.Seq < set.seq {
		return false
	}
	for _, n := range m.Grants {
		if slices.ContainsFunc(g.highest, func(o Grant) bool { return o.Range.Overlaps(n.Range) && o.Fence > n.Fence }) {
			return false
		}
	}
	for _, n := range m.Grants {
		g.highest = slices.DeleteFunc(g.highest, func(o Grant) bool {
			return n.Range.Contains(o.Range.Lo()) && n.Range.Contains(o.Range.Hi())
		})
		g.highest = append(g.highest, n)
	}
	if g.sets == nil {
		g.sets = make(map[string]*grantSet)
	}
	g.sets[m.From] = &grantSet{seq: m.Seq, grants: m.Grants, until: m.ValidUntil}
	return true
}

func (b *Backend) putGrants(w http.ResponseWriter, r *http.Request, bt *boot) {
	body, ok := readBody(w, r, maxGrantMessage)
	if !ok {
		return
	}
	b.waitWhileFrozen(bt)
	var m GrantMessage
	if json.Unmarshal(body, &m) != nil {
		reject(w, http.StatusBadRequest, answer.BadRequest)
		return
	}
	b.mu.Lock()
	ok = (m.Boot == "" || m.Boot == bt.id) && bt.grants.replace(m)
	h := b.health()
	b.mu.Unlock()
	b.waitWhileFrozen(bt)
	status := http.StatusOK
	if !ok {
		status = http.StatusConflict
		w.Header().Set(answer.HeaderReason, answer.StaleFence.String())
	}
	writeJSONStatus(w, status, h)
}
