package entry

import (
	"encoding/json"

	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/dedup"
	"github.com/laburnummux/laburnummux/internal/hold"
	"github.com/laburnummux/laburnummux/internal/peerpb"
	"github.com/laburnummux/laburnummux/internal/route"
	"github.com/laburnummux/laburnummux/internal/store"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"go.uber.org/zap"
)

// updateRoute adopts a routing table, if it is newer than the present one.
func (h *Host) updateRoute(t *route.Table) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.router.Update(h.clk.Now(), t) {
		h.metrics.Table(t.Cell())
		h.notify()
	}
}

func (h *Host) handleTable(from keys.Host, m *peerpb.Table) {
	t, err := tableFromWire(m)
	if err != nil {
		h.log.Warn("routing table refused", zap.String("from", string(from)), zap.Error(err))
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
	c.sawTerm(t.Term)
	c.adopt(t, assigner)
}

// sawTerm makes the dispatcher renew at once when it hears of a new assigner:
// its leases may end before the next regular renewal.
func (c *cell) sawTerm(term uint32) {
	if term > c.seenTerm {
		c.seenTerm = term
		c.stepHold(c.h.clk.Now(), hold.TermSeen{})
	}
}

// handleTableAsk answers with the copy of the assignment, if it is newer than
// what the asker has. An elected assigner collects all copies.
func (h *Host) handleTableAsk(from keys.Host, m *peerpb.TableAsk) {
	c := h.cell(cellFromWire(m.GetCell()))
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.GetElectedTerm() > c.table.Term && c.term == 0 {
		c.assigner, c.answeredAt = from, c.h.clk.Now()
		c.sawTerm(m.GetElectedTerm())
	}
	have := assign.Assignment{Term: m.GetTerm(), Version: m.GetVersion()}
	if !c.table.Newer(have) {
		return
	}
	w, err := tableToWire(c.assigner, c.table)
	if err != nil {
		h.log.Error("routing table can't be encoded", zap.Error(err))
		return
	}
	h.peers.Send(from, w)
}

// askTable asks for a newer table of a cell. A cell of the own group is always
// told its tables, but a message may have been lost.
func (h *Host) askTable(c keys.Cell, term uint32, version uint64) {
	m := &peerpb.Message{Body: &peerpb.Message_TableAsk{TableAsk: &peerpb.TableAsk{
		Cell: cellToWire(c), Term: term, Version: version,
	}}}
	for _, to := range h.hostsOf(c.DataCentre) {
		h.peers.Send(to, m)
	}
}

// askTables asks for the tables of all cells of a service.
func (h *Host) askTables(name keys.Service) {
	h.mu.Lock()
	parts := h.router.Layout(name)
	h.mu.Unlock()
	for _, p := range parts {
		h.askTable(p.Cell, 0, 0)
	}
}

// hostsOf returns the other entry hosts of a data centre.
func (h *Host) hostsOf(dc keys.DataCentre) (out []keys.Host) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, m := range h.members {
		if m.Role() == store.Entry && m.DataCentre() == dc && m.Name() != string(h.self) {
			out = append(out, keys.Host(m.Name()))
		}
	}
	return out
}

// transfer sends the deduplication records of a range to its next dispatcher.
// The cell's mutex is held.
func (c *cell) transfer(now clock.Time, a hold.Transfer) {
	c.endUnsent(now, a.Range)
	for _, l := range c.lanes {
		l.flush(now, a.Range)
	}
	b, err := json.Marshal(c.dedup.Export(a.Range, a.Fence))
	if err != nil {
		c.h.log.Error("deduplication records can't be encoded", zap.Error(err))
		c.stepHold(now, hold.Transferred{Range: a.Range, Fence: a.Fence})
		return
	}
	c.h.peers.Send(a.Next, &peerpb.Message{Body: &peerpb.Message_Records{Records: &peerpb.Records{
		Cell: cellToWire(c.name), Range: heldToWire(a.Range, a.Fence, ""), Batch: b,
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
		accepted = c.dedup.Import(c.h.clk.Now(), b)
		c.mu.Unlock()
	}
	h.peers.Send(from, &peerpb.Message{Body: &peerpb.Message_RecordsReply{RecordsReply: &peerpb.RecordsReply{
		Cell: m.GetCell(), Range: m.GetRange(), Accepted: accepted,
	}}})
}

func (h *Host) handleRecordsReply(m *peerpb.RecordsReply) {
	if c := h.cell(cellFromWire(m.GetCell())); c != nil {
		r := m.GetRange()
		c.step(hold.Transferred{
			Range: rangeOf(r.GetLo(), r.GetHi()), Fence: keys.Fence(r.GetFence()), OK: m.GetAccepted(),
		})
	}
}
