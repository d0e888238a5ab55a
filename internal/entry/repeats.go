package entry

import (
	"github.com/cespare/xxhash/v2"
	"github.com/laburnummux/laburnummux/internal/peerpb"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"google.golang.org/protobuf/proto"
)

// repeats leaves the lists out of renewals and their answers when the receiver
// has them from the message before: ten times a second they are mostly the
// same, and they are most of the bytes between entry hosts. Lists are named by
// a digest of their content, so that a lost, late or repeated message can
// never stand for another list; a receiver without the list drops the message,
// and the next one is complete.
type repeats struct {
	asks    map[keys.Host]heldAsk // newest list from each dispatcher
	has     map[keys.Host]uint64  // list of grants that each dispatcher has
	grants  []*peerpb.ServerGrant // newest list of grants, from the host grantor
	sum     uint64
	grantor keys.Host
	known   uint64 // own report that the assigner has
}

type heldAsk struct {
	boot    uint64
	sum     uint64
	reports []*peerpb.Report
}

var deterministic = proto.MarshalOptions{Deterministic: true}

// digestOf returns a digest of a message with nothing but a list; never 0.
func digestOf(m proto.Message) uint64 {
	b, err := deterministic.Marshal(m)
	if err != nil {
		return 0
	}
	return max(xxhash.Sum64(b), 1)
}

// ask shortens a renewal to the assigner, which has answered lately or not.
func (r *repeats) ask(to keys.Host, answered bool, m *peerpb.Message) *peerpb.Message {
	a := m.GetRenewAsk()
	a.Sum = digestOf(&peerpb.RenewAsk{Servers: a.Servers})
	if to == "" || !answered {
		return m // perhaps another assigner, which has no list
	}
	if r.grantor == to {
		a.Have = r.sum
	}
	if a.Sum != 0 && a.Sum == r.known {
		a.Servers = nil
	}
	return m
}

// expandAsk completes a renewal. It reports false if the list isn't known.
func (r *repeats) expandAsk(from keys.Host, boot uint64, a *peerpb.RenewAsk) bool {
	if r.asks == nil {
		r.asks, r.has = make(map[keys.Host]heldAsk), make(map[keys.Host]uint64)
	}
	r.has[from] = a.GetHave()
	held := r.asks[from]
	if len(a.GetServers()) == 0 && held.boot == boot && held.sum == a.GetSum() {
		a.Servers = held.reports
		return true
	}
	if a.GetSum() != digestOf(&peerpb.RenewAsk{Servers: a.GetServers()}) {
		return false
	}
	r.asks[from] = heldAsk{boot, a.GetSum(), a.GetServers()}
	return true
}

// reply shortens the answer to a renewal of the host to.
func (r *repeats) reply(to keys.Host, m *peerpb.Message) *peerpb.Message {
	g := m.GetRenewReply()
	g.Sum, g.Have = digestOf(&peerpb.RenewReply{Servers: g.Servers}), r.asks[to].sum
	if g.Sum != 0 && g.Sum == r.has[to] {
		g.Servers = nil
	}
	return m
}

// expandReply completes an answer. It reports false if the list isn't known.
func (r *repeats) expandReply(from keys.Host, g *peerpb.RenewReply) bool {
	r.known = g.GetHave()
	if len(g.GetServers()) == 0 && r.grantor == from && r.sum == g.GetSum() {
		g.Servers = r.grants
		return true
	}
	if g.GetSum() != digestOf(&peerpb.RenewReply{Servers: g.GetServers()}) {
		r.grantor, r.sum = "", 0
		return false
	}
	r.grantor, r.sum, r.grants = from, g.GetSum(), g.GetServers()
	return true
}
