package entry

import (
	"context"
	"time"

	"github.com/laburnummux/laburnummux/internal/elect"
	"github.com/laburnummux/laburnummux/internal/gossip"
	"github.com/laburnummux/laburnummux/internal/peerpb"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// event is an input of the control worker.
type event interface{ event() }

type (
	// peerEvent is a message from another entry host.
	peerEvent struct {
		from        keys.Host
		incarnation uint64
		msg         *peerpb.Message
	}
	// cellEvent is an event of package elect, assign or lease for a cell.
	cellEvent struct {
		cell keys.Cell
		ev   any
	}
	// configEvent signals that the configuration has changed.
	configEvent struct{}
	// gossipEvent is an event of package gossip.
	gossipEvent struct{ ev gossip.Event }
)

func (peerEvent) event()   {}
func (cellEvent) event()   {}
func (configEvent) event() {}
func (gossipEvent) event() {}

// gossipInterval is the time between two ticks of the gossip.
const gossipInterval = 100 * time.Millisecond

// receive queues a message from another host. It must not block.
func (h *Host) receive(from keys.Host, incarnation uint64, m *peerpb.Message) {
	h.events.Replace(peerEvent{from, incarnation, m})
}

// control is the worker that passes events and ticks to the states of all cells
// and to the gossip.
func (h *Host) control(ctx context.Context) error {
	tick := time.NewTicker(elect.TickInterval.Std())
	defer tick.Stop()
	gossipTick := time.NewTicker(gossipInterval)
	defer gossipTick.Stop()
	for {
		select {
		case <-ctx.Done():
			h.stopCells()
			return nil
		case <-h.events.Ready():
			for ev, ok := h.events.TryPop(); ok; ev, ok = h.events.TryPop() {
				h.handleEvent(ctx, ev)
			}
		case <-tick.C:
			for _, c := range h.cellList() {
				c.tick()
			}
		case <-gossipTick.C:
			h.stepGossip(gossip.Tick{})
		}
	}
}

func (h *Host) handleEvent(ctx context.Context, ev event) {
	switch ev := ev.(type) {
	case peerEvent:
		h.handlePeer(ev)
	case cellEvent:
		if c := h.cell(ev.cell); c != nil {
			c.step(ev.ev)
		}
	case configEvent:
		h.syncCells(ctx)
	case gossipEvent:
		h.stepGossip(ev.ev)
	}
}

func (h *Host) cell(name keys.Cell) *cell {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cells[name]
}

func (h *Host) handlePeer(ev peerEvent) {
	h.recordPeer(ev.from, ev.incarnation)
	switch m := ev.msg.GetBody().(type) {
	case *peerpb.Message_PromiseAsk:
		if c := h.cell(cellFromWire(m.PromiseAsk.GetCell())); c != nil {
			a := m.PromiseAsk
			c.step(elect.PromiseRequested{
				From: ev.from, FromIncarnation: ev.incarnation, ToIncarnation: a.GetToBoot(), Term: a.GetTerm(),
				Nonce: a.GetNonce(), Version: a.GetVersion(), Role: roleFromWire(a.GetRole()),
			})
		}
	case *peerpb.Message_PromiseReply:
		if c := h.cell(cellFromWire(m.PromiseReply.GetCell())); c != nil {
			a := m.PromiseReply
			c.step(elect.PromiseResponded{
				From: ev.from, FromIncarnation: ev.incarnation, ToIncarnation: a.GetToBoot(), Nonce: a.GetNonce(), Granted: a.GetGranted(),
				Highest: a.GetHighest(), Version: a.GetVersion(), Role: roleFromWire(a.GetRole()),
			})
		}
	case *peerpb.Message_PromiseRelease:
		if c := h.cell(cellFromWire(m.PromiseRelease.GetCell())); c != nil && m.PromiseRelease.GetToBoot() == h.incarnation {
			c.step(elect.PromiseReleased{From: ev.from, FromIncarnation: ev.incarnation, Nonce: m.PromiseRelease.GetNonce()})
		}
	case *peerpb.Message_RenewAsk:
		if c := h.cell(cellFromWire(m.RenewAsk.GetCell())); c != nil {
			c.handleRenewAsk(ev.from, ev.incarnation, m.RenewAsk)
		}
	case *peerpb.Message_RenewReply:
		if c := h.cell(cellFromWire(m.RenewReply.GetCell())); c != nil && m.RenewReply.GetToBoot() == h.incarnation {
			c.handleRenewReply(ev.from, m.RenewReply)
		}
	case *peerpb.Message_Table:
		h.handleTable(ev.from, m.Table)
	case *peerpb.Message_TableAsk:
		h.handleTableAsk(ev.from, m.TableAsk)
	case *peerpb.Message_Digest:
		h.handleDigest(ev, m.Digest)
	case *peerpb.Message_ConfigAsk:
		h.handleConfigAsk(ev.from, m.ConfigAsk)
	case *peerpb.Message_ConfigBody:
		h.stepGossip(gossip.FetchResponse{
			From: ev.from, Revision: m.ConfigBody.GetRevision(), Body: m.ConfigBody.GetDocument(),
			Heartbeats: heartbeatsFromWire(m.ConfigBody.GetHosts()),
		})
	case *peerpb.Message_Records:
		h.handleRecords(ev.from, m.Records)
	case *peerpb.Message_RecordsReply:
		h.handleRecordsReply(m.RecordsReply)
	}
}

// otherGroupHosts returns the other hosts of this host's group.
func (h *Host) otherGroupHosts() []keys.Host {
	var gs []keys.Host
	for _, g := range h.settings.Group() {
		if g != h.self {
			gs = append(gs, g)
		}
	}
	return gs
}

func (h *Host) stopCells() {
	for _, c := range h.cellList() {
		c.stop()
	}
}
