package entry

import (
	"testing"

	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/internal/hold"
	"github.com/laburnummux/laburnummux/internal/peerpb"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
)

// exchange is one renewal and its answer between a dispatcher and an assigner.
type exchange struct {
	dispatcher, assigner *repeats
	boot                 uint64
}

func (x exchange) ask(servers ...grant.Report) *peerpb.RenewAsk {
	m := x.dispatcher.ask("a", true, renewToWire(keys.Cell{}, hold.Renew{Servers: servers}))
	return proto.Clone(m).(*peerpb.Message).GetRenewAsk()
}

func (x exchange) reply(servers ...grant.Server) *peerpb.RenewReply {
	m := x.assigner.reply("d", grantToWire(keys.Cell{}, assign.Grant{Servers: servers}))
	return proto.Clone(m).(*peerpb.Message).GetRenewReply()
}

// Guards against a shortened message that is taken for another list than the
// sender's, which could free or keep the wrong ranges.
func TestRepeats(t *testing.T) {
	is := is.New(t)
	one := grant.Report{Server: "s", Held: []grant.Held{{Range: keys.Full(), Fence: 1}}}
	two := grant.Report{Server: "s", Held: []grant.Held{{Range: keys.Full(), Fence: 2}}}
	x := exchange{dispatcher: &repeats{}, assigner: &repeats{}, boot: 1}
	renew := func(r grant.Report) (sent int) {
		a := x.ask(r)
		sent = len(a.GetServers())
		is.True(x.assigner.expandAsk("d", x.boot, a))
		is.Equal(renewFromWire("d", x.boot, a).Servers, []grant.Report{r})
		is.True(x.dispatcher.expandReply("a", x.reply(grant.Server{Server: "s"})))
		return sent
	}
	is.Equal(renew(one), 1)
	is.Equal(renew(one), 0) // unchanged
	is.Equal(renew(two), 1)
	is.Equal(renew(two), 0)

	lost := x.ask(one) // lost on its way
	is.Equal(len(lost.GetServers()), 1)
	is.Equal(renew(two), 0)
	is.Equal(renew(one), 1)

	// A new assigner has no list: the short message is dropped, and after the
	// silence the next one is complete.
	x.assigner = &repeats{}
	short := x.ask(one)
	is.Equal(len(short.GetServers()), 0)
	is.True(!x.assigner.expandAsk("d", x.boot, short))
	full := x.dispatcher.ask("a", false, renewToWire(keys.Cell{}, hold.Renew{Servers: []grant.Report{one}})).GetRenewAsk()
	is.True(x.assigner.expandAsk("d", x.boot, full))

	// A list of a former run of the dispatcher isn't used.
	is.True(!x.assigner.expandAsk("d", 2, &peerpb.RenewAsk{Sum: full.GetSum()}))
}

// Guards against an answer whose list the dispatcher doesn't have: it must
// stay without effect, and the next answer must be complete.
func TestRepeatedReplyUnknown(t *testing.T) {
	is := is.New(t)
	x := exchange{dispatcher: &repeats{}, assigner: &repeats{}, boot: 1}
	s := grant.Server{Server: "s", Grants: []grant.Entry{{Range: keys.Full(), Fence: 9}}}
	is.True(x.assigner.expandAsk("d", 1, x.ask()))
	is.True(x.dispatcher.expandReply("a", x.reply(s)))
	is.True(x.assigner.expandAsk("d", 1, x.ask()))
	short := x.reply(s)
	is.Equal(len(short.GetServers()), 0)
	x.dispatcher = &repeats{} // has started anew
	is.True(!x.dispatcher.expandReply("a", short))
	is.True(x.assigner.expandAsk("d", 1, x.ask()))
	is.Equal(len(x.reply(s).GetServers()), 1)
}
