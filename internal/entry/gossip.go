package entry

import (
	"slices"

	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/elect"
	"github.com/laburnummux/laburnummux/internal/peerpb"
	"github.com/laburnummux/laburnummux/internal/spread"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"go.uber.org/zap"
)

// peerEventInterval is the minimum time between two events that report to package
// elect a message from the same host.
const peerEventInterval = 200 * clock.Millisecond

// stepGossip applies an event to the gossip and executes the resulting actions.
// It runs on the control worker; h.mu guards the state for the dump only.
func (h *Host) stepGossip(ev spread.Event) {
	h.mu.Lock()
	acts := h.gossip.Step(h.clk.Now(), ev)
	ready := h.gossip.Ready()
	h.mu.Unlock()
	for _, a := range acts {
		switch a := a.(type) {
		case spread.Tell:
			h.peers.Send(a.To, digestToWire(a.Digest))
		case spread.Fetch:
			h.peers.Send(a.From, &peerpb.Message{Body: &peerpb.Message_ConfigAsk{
				ConfigAsk: &peerpb.ConfigAsk{Have: a.Have, Hosts: a.Hosts},
			}})
		case spread.ReadStore:
			select {
			case h.readStore <- struct{}{}:
			default: // a read is requested already
			}
		case spread.Adopt:
			h.applyRevision(a.Body)
		case spread.Watch:
			h.watching.Store(a.On)
			if a.On {
				select {
				case h.readStore <- struct{}{}:
				default:
				}
			}
		case spread.Superseded:
			h.log.Error("received a heartbeat of this host with a higher boot ID: another process uses its name, or the wall clock was set back", zap.Uint64("boot", a.Boot))
		}
	}
	if ready && !h.ready.Swap(true) {
		h.log.Info("configuration received; ready for callers")
	}
	if _, ok := ev.(spread.Leave); ok {
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
	m := digestToWire(spread.Digest{Revision: rev, Leaving: true})
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
		h.stepGossip(spread.Heard{From: ev.from, Boot: ev.boot, Digest: spread.Digest{
			Revision: d.GetRevision(), Beat: d.GetCount(), Leaving: d.GetLeaving(), Hosts: heartbeatsFromWire(d.GetHosts()),
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
func (h *Host) recordPeer(from keys.Host, boot uint64) {
	if !h.inGroup(from) {
		return
	}
	now := h.clk.Now()
	h.mu.Lock()
	p, known := h.peerStates[from]
	due := !known || p.boot != boot || now.Sub(p.lastMessageAt) >= peerEventInterval
	if due {
		if p.boot != boot {
			p = peerState{boot: boot}
		}
		p.lastMessageAt = now
		h.peerStates[from] = p
	}
	h.mu.Unlock()
	if !due {
		return
	}
	for _, c := range h.cellList() {
		c.step(elect.PeerBoot{Host: from, Boot: boot})
	}
}

func (h *Host) inGroup(name keys.Host) bool {
	return slices.Contains(h.settings.Group(), name)
}

func (h *Host) handleConfigAsk(from keys.Host, m *peerpb.ConfigAsk) {
	h.mu.Lock()
	rev, body := h.gossip.Current()
	var heartbeats []spread.Beat
	if m.GetHosts() {
		heartbeats = h.gossip.Beats()
	}
	h.mu.Unlock()
	if rev <= m.GetHave() {
		body = nil
	}
	h.peers.Send(from, &peerpb.Message{Body: &peerpb.Message_ConfigBody{ConfigBody: &peerpb.ConfigBody{
		Revision: rev, Document: body, Hosts: heartbeatsToWire(heartbeats),
	}}})
}

func digestToWire(d spread.Digest) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_Digest{Digest: &peerpb.Digest{
		Revision: d.Revision, Count: d.Beat, Leaving: d.Leaving, Hosts: heartbeatsToWire(d.Hosts),
	}}}
}

func heartbeatsToWire(bs []spread.Beat) (out []*peerpb.HostBeat) {
	for _, b := range bs {
		out = append(out, &peerpb.HostBeat{Host: string(b.Host), Boot: b.Boot, Count: b.Beat, Leaving: b.Leaving})
	}
	return out
}

func heartbeatsFromWire(bs []*peerpb.HostBeat) (out []spread.Beat) {
	for _, b := range bs {
		out = append(out, spread.Beat{Host: keys.Host(b.GetHost()), Boot: b.GetBoot(), Beat: b.GetCount(), Leaving: b.GetLeaving()})
	}
	return out
}

// stepHostSeen reports to the assigner that a host of the group is live, and
// whether it is leaving.
func (c *cell) stepHostSeen(name keys.Host, leaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stepAssign(c.host.clk.Now(), assign.HostSeen{Host: name, Live: true, Leaving: leaving})
}
