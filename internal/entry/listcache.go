package entry

import (
	"github.com/cespare/xxhash/v2"
	"github.com/laburnummux/laburnummux/internal/peerpb"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"google.golang.org/protobuf/proto"
)

// listCache leaves the lists out of renewals and their replies when the receiver
// has them from the previous message. Renewals are sent ten times a second, their
// lists rarely change, and the lists are most of the bytes between entry hosts. A
// digest of the content identifies a list, so that a lost, late or duplicate
// message never refers to another list than the sender's. A receiver that doesn't
// have the list drops the message, and the next one is complete.
type listCache struct {
	reportLists     map[keys.Host]reportList // newest reports of each dispatcher
	ackedGrantSums  map[keys.Host]uint64     // digest of the grants that each dispatcher has
	grants          []*peerpb.ServerGrant    // newest grants, from the host grantsFrom
	grantsSum       uint64
	grantsFrom      keys.Host
	ackedReportsSum uint64 // digest of this host's reports that the assigner has
}

type reportList struct {
	incarnation uint64
	sum         uint64
	reports     []*peerpb.Report
}

var deterministic = proto.MarshalOptions{Deterministic: true}

// listSum returns a digest of a message that contains only a list. It is 0 only if
// the message can't be encoded.
func listSum(m proto.Message) uint64 {
	b, err := deterministic.Marshal(m)
	if err != nil {
		return 0
	}
	return max(xxhash.Sum64(b), 1)
}

// shortenAsk leaves the reports out of a renewal to the assigner, if the assigner
// has them and has replied recently (answered).
func (lc *listCache) shortenAsk(to keys.Host, answered bool, m *peerpb.Message) *peerpb.Message {
	a := m.GetRenewAsk()
	a.Sum = listSum(&peerpb.RenewAsk{Servers: a.Servers})
	if to == "" || !answered {
		return m // it may go to another assigner, which has no list
	}
	if lc.grantsFrom == to {
		a.Have = lc.grantsSum
	}
	if a.Sum != 0 && a.Sum == lc.ackedReportsSum {
		a.Servers = nil
	}
	return m
}

// expandAsk restores the reports of a renewal. It reports false if this host
// doesn't have them.
func (lc *listCache) expandAsk(from keys.Host, incarnation uint64, a *peerpb.RenewAsk) bool {
	if lc.reportLists == nil {
		lc.reportLists, lc.ackedGrantSums = make(map[keys.Host]reportList), make(map[keys.Host]uint64)
	}
	lc.ackedGrantSums[from] = a.GetHave()
	cached := lc.reportLists[from]
	if len(a.GetServers()) == 0 && cached.incarnation == incarnation && cached.sum == a.GetSum() {
		a.Servers = cached.reports
		return true
	}
	if a.GetSum() != listSum(&peerpb.RenewAsk{Servers: a.GetServers()}) {
		return false
	}
	lc.reportLists[from] = reportList{incarnation, a.GetSum(), a.GetServers()}
	return true
}

// shortenReply leaves the grants out of the reply to a renewal of the host to, if
// that host has them.
func (lc *listCache) shortenReply(to keys.Host, m *peerpb.Message) *peerpb.Message {
	g := m.GetRenewReply()
	g.Sum, g.Have = listSum(&peerpb.RenewReply{Servers: g.Servers}), lc.reportLists[to].sum
	if g.Sum != 0 && g.Sum == lc.ackedGrantSums[to] {
		g.Servers = nil
	}
	return m
}

// expandReply restores the grants of a reply. It reports false if this host
// doesn't have them.
func (lc *listCache) expandReply(from keys.Host, g *peerpb.RenewReply) bool {
	lc.ackedReportsSum = g.GetHave()
	if len(g.GetServers()) == 0 && lc.grantsFrom == from && lc.grantsSum == g.GetSum() {
		g.Servers = lc.grants
		return true
	}
	if g.GetSum() != listSum(&peerpb.RenewReply{Servers: g.GetServers()}) {
		lc.grantsFrom, lc.grantsSum = "", 0
		return false
	}
	lc.grantsFrom, lc.grantsSum, lc.grants = from, g.GetSum(), g.GetServers()
	return true
}
