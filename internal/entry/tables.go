package entry

import (
	"encoding/json"

	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/dedup"
	"github.com/laburnummux/laburnummux/internal/lease"
	"github.com/laburnummux/laburnummux/internal/peerpb"
	"github.com/laburnummux/laburnummux/internal/route"
	"github.com/laburnummux/laburnummux/internal/store"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"go.uber.org/zap"
)

// updateRoute installs a routing table, if it is newer than the current one.
func (h *Host) updateRoute(t *route.Table) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.router.Update(h.clk.Now(), t) {
		h.metrics.Table(t.Cell())
		h.signalRoutingChange()
	}
}

func (h *Host) handleTable(from keys.Host, m *peerpb.Table) {
	t, err := tableFromWire(m)
	if err != nil {
		h.log.Warn("ignoring a routing table that cannot be decoded", zap.String("from", string(from)), zap.Error(err))
		return
	}
	assigner := keys.Host(m.GetAssigner())
	c := h.cell(t.Cell)
	if c == nil {
		h.updateRoute(routeTable(t, assigner))
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.term == 0 && assigner == from {
		c.assigner = from
	}
	c.observeTerm(t.Term)
	c.updateTable(t, assigner)
}

// observeTerm makes the dispatcher renew its leases at once when a message shows
// a new assigner. The leases may expire before the next regular renewal.
func (c *cell) observeTerm(term uint32) {
	if term > c.seenTerm {
		c.seenTerm = term
		c.stepLeases(c.host.clk.Now(), lease.NewTerm{})
	}
}

// handleTableAsk replies with this host's copy of the assignment, if it is newer
// than that of the sender. A newly elected assigner collects the copies of all
// hosts of the group.
func (h *Host) handleTableAsk(from keys.Host, m *peerpb.TableAsk) {
	c := h.cell(cellFromWire(m.GetCell()))
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.GetElectedTerm() > c.table.Term && c.term == 0 {
		c.assigner, c.assignerReplyAt = from, c.host.clk.Now()
		c.observeTerm(m.GetElectedTerm())
	}
	senderCopy := assign.Assignment{Term: m.GetTerm(), Version: m.GetVersion()}
	if !c.table.Newer(senderCopy) {
		return
	}
	w, err := tableToWire(c.assigner, c.table)
	if err != nil {
		h.log.Error("cannot encode the routing table; not replying with it", zap.Error(err))
		return
	}
	h.peers.Send(from, w)
}

// requestTable requests newer tables of a cell from the entry hosts of its data
// centre. Hosts of the cell's group receive all tables without a request, but a
// message may have been lost.
func (h *Host) requestTable(c keys.Cell, term uint32, version uint64) {
	m := &peerpb.Message{Body: &peerpb.Message_TableAsk{TableAsk: &peerpb.TableAsk{
		Cell: cellToWire(c), Term: term, Version: version,
	}}}
	for _, to := range h.entryHostsIn(c.DataCentre) {
		h.peers.Send(to, m)
	}
}

// requestTables requests the tables of all cells of a service.
func (h *Host) requestTables(name keys.Service) {
	h.mu.Lock()
	parts := h.router.Layout(name)
	h.mu.Unlock()
	for _, p := range parts {
		h.requestTable(p.Cell, 0, 0)
	}
}

// entryHostsIn returns the other entry hosts of a data centre.
func (h *Host) entryHostsIn(dc keys.DataCentre) (out []keys.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range h.members {
		if m.Role() == store.RoleEntry && m.DataCentre() == dc && m.Name() != string(h.self) {
			out = append(out, keys.Host(m.Name()))
		}
	}
	return out
}

// transferRecords sends the deduplication records of a range to its next
// dispatcher. The caller must hold c.mu.
func (c *cell) transferRecords(now clock.Time, a lease.Transfer) {
	c.finishUnsent(now, a.Range)
	for _, b := range c.backends {
		b.rejectQueued(now, a.Range)
	}
	batch, err := json.Marshal(c.dedup.Export(a.Range, a.Fence))
	if err != nil {
		c.host.log.Error("cannot encode deduplication records; releasing the range without them", zap.Error(err))
		c.stepLeases(now, lease.Transferred{Range: a.Range, Fence: a.Fence})
		return
	}
	c.host.peers.Send(a.Next, &peerpb.Message{Body: &peerpb.Message_Records{Records: &peerpb.Records{
		Cell: cellToWire(c.name), Range: heldRangeToWire(a.Range, a.Fence, ""), Batch: batch,
	}}})
}

func (h *Host) handleRecords(from keys.Host, m *peerpb.Records) {
	c := h.cell(cellFromWire(m.GetCell()))
	if c == nil {
		return
	}
	var b dedup.Batch
	err := json.Unmarshal(m.GetBatch(), &b)
	accepted := false
	if err == nil {
		c.mu.Lock()
		accepted = c.dedup.Import(c.host.clk.Now(), b)
		c.mu.Unlock()
	}
	h.peers.Send(from, &peerpb.Message{Body: &peerpb.Message_RecordsReply{RecordsReply: &peerpb.RecordsReply{
		Cell: m.GetCell(), Range: m.GetRange(), Accepted: accepted,
	}}})
}

func (h *Host) handleRecordsReply(m *peerpb.RecordsReply) {
	if c := h.cell(cellFromWire(m.GetCell())); c != nil {
		r := m.GetRange()
		c.step(lease.Transferred{
			Range: rangeOf(r.GetLo(), r.GetHi()), Fence: keys.Fence(r.GetFence()), OK: m.GetAccepted(),
		})
	}
}
