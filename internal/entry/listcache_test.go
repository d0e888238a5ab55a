package entry

import (
	"testing"

	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/internal/lease"
	"github.com/laburnummux/laburnummux/internal/peerpb"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// renewal exchanges renewals and replies between a dispatcher and an assigner.
type renewal struct {
	dispatcher, assigner *listCache
	incarnation          uint64
}

func (rn renewal) ask(servers ...grant.Report) *peerpb.RenewAsk {
	m := rn.dispatcher.shortenAsk("a", true, renewToWire(keys.Cell{}, lease.Renewal{Servers: servers}))
	return proto.Clone(m).(*peerpb.Message).GetRenewAsk()
}

func (rn renewal) reply(servers ...grant.Server) *peerpb.RenewReply {
	m := rn.assigner.shortenReply("d", grantToWire(keys.Cell{}, assign.Reply{Servers: servers}))
	return proto.Clone(m).(*peerpb.Message).GetRenewReply()
}

// Guards against a shortened message that is expanded to another list than the
// sender's, which could release or keep the wrong ranges.
func TestListCache(t *testing.T) {
	is := is.New(t)
	first := grant.Report{Server: "s", Held: []grant.Held{{Range: keys.FullRange(), Fence: 1}}}
	second := grant.Report{Server: "s", Held: []grant.Held{{Range: keys.FullRange(), Fence: 2}}}
	rn := renewal{dispatcher: &listCache{}, assigner: &listCache{}, incarnation: 1}
	renew := func(r grant.Report) (sent int) {
		a := rn.ask(r)
		sent = len(a.GetServers())
		is.True(rn.assigner.expandAsk("d", rn.incarnation, a))
		is.Equal(renewFromWire("d", rn.incarnation, a).Servers, []grant.Report{r})
		is.True(rn.dispatcher.expandReply("a", rn.reply(grant.Server{Server: "s"})))
		return sent
	}
	is.Equal(renew(first), 1)
	is.Equal(renew(first), 0) // unchanged
	is.Equal(renew(second), 1)
	is.Equal(renew(second), 0)

	lostAsk := rn.ask(first) // lost in the network
	is.Equal(len(lostAsk.GetServers()), 1)
	is.Equal(renew(second), 0)
	is.Equal(renew(first), 1)

	// A new assigner has no list. It drops the short message, and after the
	// assigner timeout the next message is complete.
	rn.assigner = &listCache{}
	short := rn.ask(first)
	is.Equal(len(short.GetServers()), 0)
	is.True(!rn.assigner.expandAsk("d", rn.incarnation, short))
	full := rn.dispatcher.shortenAsk("a", false, renewToWire(keys.Cell{}, lease.Renewal{Servers: []grant.Report{first}})).GetRenewAsk()
	is.True(rn.assigner.expandAsk("d", rn.incarnation, full))

	// The list of an earlier incarnation of the dispatcher isn't used.
	is.True(!rn.assigner.expandAsk("d", 2, &peerpb.RenewAsk{Sum: full.GetSum()}))
}

// Guards against a reply that takes effect although the dispatcher doesn't have
// its list. It must be dropped, and the next reply must be complete.
func TestListCacheUnknownReply(t *testing.T) {
	is := is.New(t)
	rn := renewal{dispatcher: &listCache{}, assigner: &listCache{}, incarnation: 1}
	s := grant.Server{Server: "s", Grants: []grant.Entry{{Range: keys.FullRange(), Fence: 9}}}
	is.True(rn.assigner.expandAsk("d", 1, rn.ask()))
	is.True(rn.dispatcher.expandReply("a", rn.reply(s)))
	is.True(rn.assigner.expandAsk("d", 1, rn.ask()))
	short := rn.reply(s)
	is.Equal(len(short.GetServers()), 0)
	rn.dispatcher = &listCache{} // restarted
	is.True(!rn.dispatcher.expandReply("a", short))
	is.True(rn.assigner.expandAsk("d", 1, rn.ask()))
	is.Equal(len(rn.reply(s).GetServers()), 1)
}
