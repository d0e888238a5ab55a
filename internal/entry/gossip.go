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

// heardSpan bounds how often the decisions are told that a host was heard.
const heardSpan = 200 * clock.Millisecond

// stepGossip applies an event of the gossip. It runs on the control worker;
// h.mu guards the state for the dump only.
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
			default: // a read is due already
			}
		case spread.Adopt:
			h.adoptEncoded(a.Body)
		case spread.Watch:
			h.watching.Store(a.On)
			if a.On {
				select {
				case h.readStore <- struct{}{}:
				default:
				}
			}
		case spread.Superseded:
			h.log.Error("another process has this host's name, or the wall clock was set back", zap.Uint64("boot", a.Boot))
		}
	}
	if ready && !h.ready.Swap(true) {
		h.log.Info("ready for callers")
	}
	if _, ok := ev.(spread.Leave); ok {
		h.announceLeaving()
	}
}

// announceLeaving gives the assigner role up, if another host can take it, and
// tells the group at once that this host stops, so that its backend servers
// get other dispatchers.
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
	for _, g := range h.group() {
		h.peers.Send(g, m)
	}
	for _, c := range h.cellList() {
		c.hostSeen(h.self, true)
	}
}

func (h *Host) handleDigest(ev peerEvent, d *peerpb.Digest) {
	// A digest without a heartbeat only announces that its sender is leaving.
	if d.GetCount() > 0 {
		h.stepGossip(spread.Heard{From: ev.from, Boot: ev.boot, Digest: spread.Digest{
			Revision: d.GetRevision(), Beat: d.GetCount(), Leaving: d.GetLeaving(), Hosts: beatsFromWire(d.GetHosts()),
		}})
	}
	h.mu.Lock()
	p, known := h.heard[ev.from]
	changed := p.leaving != d.GetLeaving()
	if known {
		p.leaving = d.GetLeaving()
		h.heard[ev.from] = p
	}
	h.mu.Unlock()
	if known && changed {
		for _, c := range h.cellList() {
			c.hostSeen(ev.from, d.GetLeaving())
		}
	}
}

// heardOf notes that a host of the group is alive.
func (h *Host) heardOf(from keys.Host, boot uint64) {
	if !h.inGroup(from) {
		return
	}
	now := h.clk.Now()
	h.mu.Lock()
	p, known := h.heard[from]
	due := !known || p.boot != boot || now.Sub(p.at) >= heardSpan
	if due {
		if p.boot != boot {
			p = peer{boot: boot}
		}
		p.at = now
		h.heard[from] = p
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
	return slices.Contains(h.cfg.Group(), name)
}

func (h *Host) handleConfigAsk(from keys.Host, m *peerpb.ConfigAsk) {
	h.mu.Lock()
	rev, body := h.gossip.Current()
	var beats []spread.Beat
	if m.GetHosts() {
		beats = h.gossip.Beats()
	}
	h.mu.Unlock()
	if rev <= m.GetHave() {
		body = nil
	}
	h.peers.Send(from, &peerpb.Message{Body: &peerpb.Message_ConfigBody{ConfigBody: &peerpb.ConfigBody{
		Revision: rev, Document: body, Hosts: beatsToWire(beats),
	}}})
}

func digestToWire(d spread.Digest) *peerpb.Message {
	return &peerpb.Message{Body: &peerpb.Message_Digest{Digest: &peerpb.Digest{
		Revision: d.Revision, Count: d.Beat, Leaving: d.Leaving, Hosts: beatsToWire(d.Hosts),
	}}}
}

func beatsToWire(bs []spread.Beat) (out []*peerpb.HostBeat) {
	for _, b := range bs {
		out = append(out, &peerpb.HostBeat{Host: string(b.Host), Boot: b.Boot, Count: b.Beat, Leaving: b.Leaving})
	}
	return out
}

func beatsFromWire(bs []*peerpb.HostBeat) (out []spread.Beat) {
	for _, b := range bs {
		out = append(out, spread.Beat{Host: keys.Host(b.GetHost()), Boot: b.GetBoot(), Beat: b.GetCount(), Leaving: b.GetLeaving()})
	}
	return out
}

// hostSeen passes on what is known of another host of the group.
func (c *cell) hostSeen(name keys.Host, leaving bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stepAssign(c.h.clk.Now(), assign.HostSeen{Host: name, Live: true, Leaving: leaving})
}
