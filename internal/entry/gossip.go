package entry

import (
	"slices"

	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/elect"
	"github.com/laburnummux/laburnummux/internal/gossip"
	"github.com/laburnummux/laburnummux/internal/peerpb"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"go.uber.org/zap"
)

// peerEventInterval is the minimum time between two events that report to package
// elect a message from the same host.
const peerEventInterval = 200 * clock.Millisecond

// stepGossip applies an event to the gossip and executes the resulting actions.
// It runs on the control worker; h.mu guards the state for the dump only.
func (h *Host) stepGossip(ev gossip.Event) {
	h.mu.Lock()
	acts := h.gossip.Step(h.clk.Now(), ev)
	ready := h.gossip.Ready()
	h.mu.Unlock()
	for _, a := range acts {
		switch a := a.(type) {
		case gossip.SendDigest:
			h.peers.Send(a.To, digestToWire(a.Digest))
		case gossip.Fetch:
			h.peers.Send(a.From, &peerpb.Message{Body: &peerpb.Message_ConfigAsk{
				ConfigAsk: &peerpb.ConfigAsk{Have: a.Have, Hosts: a.WithHeartbeats},
			}})
		case gossip.ReadStore:
			select {
			case h.readStore <- struct{}{}:
			default: // a read is requested already
			}
		case gossip.ApplyRevision:
			h.applyRevision(a.Body)
		case gossip.Watch:
			h.watching.Store(a.On)
			if a.On {
				select {
				case h.readStore <- struct{}{}:
				default:
				}
			}
		case gossip.Superseded:
			h.log.Error("received a heartbeat of a later incarnation of this host: another process uses its name, or the wall clock was set back", zap.Uint64("boot", a.Incarnation))
		}
	}
	if ready && !h.ready.Swap(true) {
		h.log.Info("configuration received; ready for callers")
	}
	if _, ok := ev.(gossip.Leave); ok {
		h.announceLeaving()
	}
}

// announceLeaving resigns from the assigner role, if another host can take over,
// and notifies the group at once that this host is stopping, so that its backend
// servers get other dispatchers.
func (h *Host) announceLeaving() {
	if h.hasSuccessor() {
		for _, c := range h.cellList() {
			c.step(elect.Resign{})
		}
	}
	h.mu.Lock()
	rev, _ := h.gossip.Current()
	h.mu.Unlock()
	m := digestToWire(gossip.Digest{Revision: rev, Leaving: true})
	for _, g := range h.otherGroupHosts() {
		h.peers.Send(g, m)
	}
	for _, c := range h.cellList() {
		c.stepHostSeen(h.self, true)
	}
}

func (h *Host) handleDigest(ev peerEvent, d *peerpb.Digest) {
	// A digest with a heartbeat count of 0 only announces that its sender is
	// leaving.
	if d.GetCount() > 0 {
		h.stepGossip(gossip.DigestReceived{From: ev.from, Incarnation: ev.incarnation, Digest: gossip.Digest{
			Revision: d.GetRevision(), Count: d.GetCount(), Leaving: d.GetLeaving(), Heartbeats: heartbeatsFromWire(d.GetHosts()),
		}})
	}
	h.mu.Lock()
	p, known := h.peerStates[ev.from]
	changed := p.leaving != d.GetLeaving()
	if known {
		p.leaving = d.GetLeaving()
		h.peerStates[ev.from] = p
	}
	h.mu.Unlock()
	if known && changed {
		for _, c := range h.cellList() {
			c.stepHostSeen(ev.from, d.GetLeaving())
		}
	}
}

// recordPeer records that a host of the group has sent a message.
func (h *Host) recordPeer(from keys.Host, incarnation uint64) {
	if !h.inGroup(from) {
		return
	}
	now := h.clk.Now()
	h.mu.Lock()
	p, known := h.peerStates[from]
	due := !known || p.incarnation != incarnation || now.Sub(p.lastMessageAt) >= peerEventInterval
	if due {
		if p.incarnation != incarnation {
			p = peerState{incarnation: incarnation}
		}
		p.lastMessageAt = now
		h.peerStates[from] = p
	}
	h.mu.Unlock()
	if !due {
		return
	}
	for _, c := range h.cellList() {
		c.step(elect.IncarnationSeen{Host: from, Incarnation: incarnation})
	}
}

func (h *Host) inGroup(name keys.Host) bool {
	return slices.Contains(h.settings.Group(), name)
}

func (h *Host) handleConfigAsk(from keys.Host, m *peerpb.ConfigAsk) {
	h.mu.Lock()
	rev, body := h.gossip.Current()
	var heartbeats []gossip.Heartbeat
	if m.GetHosts() {
		heartbeats = h.gossip.Heartbeats()
	}
	h.mu.Unlock()
	if rev <= m.GetHave() {
		body = nil
	}
	h.peers.Send(from, &peerpb.Message{Body: &peerpb.Message_ConfigBody{ConfigBody: &peerpb.ConfigBody{
		Revision: rev, Document: body, Hosts: heartbeatsToWire(heartbeats),
	}}})
}

func digestToWire(d gossip.Digest) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_Digest{Digest: &peerpb.Digest{
		Revision: d.Revision, Count: d.Count, Leaving: d.Leaving, Hosts: heartbeatsToWire(d.Heartbeats),
	}}}
}

func heartbeatsToWire(bs []gossip.Heartbeat) (out []*peerpb.HostBeat) {
	for _, b := range bs {
		out = append(out, &peerpb.HostBeat{Host: string(b.Host), Boot: b.Incarnation, Count: b.Count, Leaving: b.Leaving})
	}
	return out
}

func heartbeatsFromWire(bs []*peerpb.HostBeat) (out []gossip.Heartbeat) {
	for _, b := range bs {
		out = append(out, gossip.Heartbeat{Host: keys.Host(b.GetHost()), Incarnation: b.GetBoot(), Count: b.GetCount(), Leaving: b.GetLeaving()})
	}
	return out
}

// stepHostSeen reports to the assigner that a host of the group is live, and
// whether it is leaving.
func (c *cell) stepHostSeen(name keys.Host, leaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stepAssign(c.host.clk.Now(), assign.HostListed{Host: name, Live: true, Leaving: leaving})
}
