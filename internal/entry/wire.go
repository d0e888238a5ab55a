package entry

import (
	"encoding/json"
	"fmt"

	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/elect"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/internal/lease"
	"github.com/laburnummux/laburnummux/internal/peerpb"
	"github.com/laburnummux/laburnummux/internal/route"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

func cellToWire(c keys.Cell) *peerpb.Cell {
	return &peerpb.Cell{Service: string(c.Service), DataCentre: string(c.DataCentre), Index: int32(c.Index)}
}

func cellFromWire(c *peerpb.Cell) keys.Cell {
	return keys.Cell{
		Service: keys.Service(c.GetService()), DataCentre: keys.DataCentre(c.GetDataCentre()), Index: int(c.GetIndex()),
	}
}

func votersToWire(vs []elect.Voter) (out []*peerpb.Voter) {
	for _, v := range vs {
		out = append(out, &peerpb.Voter{Host: string(v.Host), Boot: v.Incarnation})
	}
	return out
}

func votersFromWire(vs []*peerpb.Voter) (out []elect.Voter) {
	for _, v := range vs {
		out = append(out, elect.Voter{Host: keys.Host(v.GetHost()), Incarnation: v.GetBoot()})
	}
	return out
}

func roleToWire(r *elect.Role) *peerpb.Role {
	if r == nil {
		return nil
	}
	return &peerpb.Role{
		Epoch: r.Epoch, Holder: string(r.Holder),
		Voters: votersToWire(r.Voters), Previous: votersToWire(r.Previous),
	}
}

func roleFromWire(r *peerpb.Role) *elect.Role {
	if r == nil {
		return nil
	}
	return &elect.Role{
		Epoch: r.GetEpoch(), Holder: keys.Host(r.GetHolder()),
		Voters: votersFromWire(r.GetVoters()), Previous: votersFromWire(r.GetPrevious()),
	}
}

func promiseAskToWire(c keys.Cell, a elect.PromiseRequest) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_PromiseAsk{PromiseAsk: &peerpb.PromiseAsk{
		Cell: cellToWire(c), ToBoot: a.ToIncarnation, Term: a.Term, Nonce: a.Nonce, Version: a.Version, Role: roleToWire(a.Role),
	}}}
}

func promiseReplyToWire(c keys.Cell, a elect.PromiseResponse) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_PromiseReply{PromiseReply: &peerpb.PromiseReply{
		Cell: cellToWire(c), ToBoot: a.ToIncarnation, Nonce: a.Nonce, Term: a.Term, Granted: a.Granted,
		Highest: a.Highest, Version: a.Version, Role: roleToWire(a.Role),
	}}}
}

func promiseReleaseToWire(c keys.Cell, a elect.PromiseRelease) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_PromiseRelease{PromiseRelease: &peerpb.PromiseRelease{
		Cell: cellToWire(c), ToBoot: a.ToIncarnation, Nonce: a.Nonce,
	}}}
}

func heldRangeToWire(r keys.Range, f keys.Fence, to keys.Host) *peerpb.Held {
	return &peerpb.Held{Lo: uint64(r.Lo()), Hi: uint64(r.Hi()), Fence: uint64(f), To: string(to)}
}

func rangeOf(lo, hi uint64) keys.Range { return keys.NewRange(keys.Hash(lo), keys.Hash(hi)) }

func renewToWire(c keys.Cell, a lease.Renewal) *peerpb.Message {
	m := &peerpb.RenewAsk{Cell: cellToWire(c), Nonce: a.Nonce, AckTerm: a.Ack.Term, AckSeq: a.Ack.Seq}
	for _, r := range a.Servers {
		w := &peerpb.Report{Server: string(r.Server), State: int32(r.State), Slots: int32(r.Slots)}
		for _, x := range r.Held {
			w.Held = append(w.Held, heldRangeToWire(x.Range, x.Fence, ""))
		}
		for _, x := range r.Moved {
			w.Moved = append(w.Moved, heldRangeToWire(x.Range, x.Fence, x.To))
		}
		for _, x := range r.Loads {
			w.Loads = append(w.Loads, &peerpb.Load{
				Lo: uint64(x.Range.Lo()), Hi: uint64(x.Range.Hi()), Rate: x.Rate, Hot: uint64(x.Hot), HotRate: x.HotRate,
			})
		}
		m.Servers = append(m.Servers, w)
	}
	return &peerpb.Message{Body: &peerpb.Message_RenewAsk{RenewAsk: m}}
}

func renewFromWire(from keys.Host, incarnation uint64, m *peerpb.RenewAsk) assign.Renewal {
	ev := assign.Renewal{
		From: from, Incarnation: incarnation, Nonce: m.GetNonce(), Ack: grant.Ack{Term: m.GetAckTerm(), Seq: m.GetAckSeq()},
	}
	for _, w := range m.GetServers() {
		r := grant.Report{
			Server: keys.Server(w.GetServer()), State: grant.State(w.GetState()),
			Slots: int(w.GetSlots()),
		}
		for _, x := range w.GetHeld() {
			r.Held = append(r.Held, grant.Held{Range: rangeOf(x.GetLo(), x.GetHi()), Fence: keys.Fence(x.GetFence())})
		}
		for _, x := range w.GetMoved() {
			r.Moved = append(r.Moved, grant.Moved{
				Range: rangeOf(x.GetLo(), x.GetHi()), Fence: keys.Fence(x.GetFence()), To: keys.Host(x.GetTo()),
			})
		}
		for _, x := range w.GetLoads() {
			r.Loads = append(r.Loads, grant.Load{
				Range: rangeOf(x.GetLo(), x.GetHi()), Rate: x.GetRate(), Hot: keys.Hash(x.GetHot()), HotRate: x.GetHotRate(),
			})
		}
		ev.Servers = append(ev.Servers, r)
	}
	return ev
}

func grantToWire(c keys.Cell, a assign.Reply) *peerpb.Message {
	m := &peerpb.RenewReply{
		Cell: cellToWire(c), ToBoot: a.Incarnation, Nonce: a.Nonce, Term: a.Term, Seq: a.Seq, SpanMs: int64(a.LeaseTime),
	}
	for _, s := range a.Servers {
		w := &peerpb.ServerGrant{Server: string(s.Server), Address: s.Address, Checks: s.ChecksFences}
		for _, e := range s.Grants {
			w.Grants = append(w.Grants, &peerpb.Entry{
				Lo: uint64(e.Range.Lo()), Hi: uint64(e.Range.Hi()), Fence: uint64(e.Fence),
				Releasing: e.Releasing, Next: string(e.Next), Complete: e.Complete,
			})
		}
		m.Servers = append(m.Servers, w)
	}
	return &peerpb.Message{Body: &peerpb.Message_RenewReply{RenewReply: m}}
}

func grantFromWire(m *peerpb.RenewReply) lease.Reply {
	ev := lease.Reply{Nonce: m.GetNonce(), Term: m.GetTerm(), Seq: m.GetSeq(), LeaseTime: clock.Span(m.GetSpanMs())}
	for _, w := range m.GetServers() {
		s := grant.Server{Server: keys.Server(w.GetServer()), Address: w.GetAddress(), ChecksFences: w.GetChecks()}
		for _, e := range w.GetGrants() {
			s.Grants = append(s.Grants, grant.Entry{
				Range: rangeOf(e.GetLo(), e.GetHi()), Fence: keys.Fence(e.GetFence()),
				Releasing: e.GetReleasing(), Next: keys.Host(e.GetNext()), Complete: e.GetComplete(),
			})
		}
		ev.Servers = append(ev.Servers, s)
	}
	return ev
}

func tableToWire(assigner keys.Host, t assign.Table) (m *peerpb.Message, err error) {
	b, err := json.Marshal(t.Assignment)
	if err != nil {
		return nil, fmt.Errorf("entry.tableToWire: %w", err)
	}
	return &peerpb.Message{Body: &peerpb.Message_Table{Table: &peerpb.Table{
		Cell: cellToWire(t.Cell), Assigner: string(assigner), Stored: t.Stored, Assignment: b,
	}}}, nil
}

func tableFromWire(m *peerpb.Table) (t assign.Table, err error) {
	t = assign.Table{Cell: cellFromWire(m.GetCell()), Stored: m.GetStored()}
	if err = json.Unmarshal(m.GetAssignment(), &t.Assignment); err != nil {
		return t, fmt.Errorf("entry.tableFromWire: %w", err)
	}
	return t, nil
}

// routeTable converts an assignment into a routing table. A range that is moving
// from one server to another is routed to the server that has the grant, so that
// it gets requests until it releases the range.
func routeTable(t assign.Table, assigner keys.Host) *route.Table {
	backends := make([]route.Backend, 0, len(t.Owners))
	index := make(map[keys.Server]int, len(t.Owners))
	for i, o := range t.Owners {
		backends = append(backends, route.Backend{Name: o.Name, Dispatcher: o.Dispatcher, Leaving: o.Leaving})
		index[o.Name] = i
	}
	var rows []route.Row
	for _, r := range t.Ranges {
		if r.Fence == 0 || r.Releasing {
			continue
		}
		i := r.Server
		if r.GrantedTo != "" {
			var ok bool
			if i, ok = index[r.GrantedTo]; !ok {
				continue
			}
		}
		rows = append(rows, route.Row{Range: r.Hashes, Fence: r.Fence, Backend: i, Dispatcher: r.Dispatcher})
	}
	return route.NewTable(t.Cell, t.Term, t.Version, assigner, t.Stored, backends, rows)
}
