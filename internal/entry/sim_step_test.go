package entry

import (
	"time"

	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/elect"
	"github.com/laburnummux/laburnummux/internal/lease"
	"github.com/laburnummux/laburnummux/internal/peerpb"
)

func (m *controlSim) tick(i int, c *simCell) {
	events, start := m.events, time.Now()
	m.electStep(i, c, elect.Tick{})
	m.assignStep(i, c, assign.Tick{})
	m.leaseStep(i, c, lease.Tick{})
	m.events = events
	d := time.Since(start)
	m.ticks++
	m.tickTime += d
	if c.term != 0 {
		m.assignerTick += d
		m.assignerTicks++
	} else {
		m.otherTick += d
		m.otherTicks++
	}
}

func (m *controlSim) electStep(i int, c *simCell, ev elect.Event) {
	name := m.cells[c.index]
	m.events++
	if a, ok := ev.(elect.PromiseRequested); ok && a.Term != 0 && c.term == 0 {
		c.assigner = a.From
	}
	for _, a := range c.elect.Step(m.now, ev) {
		switch a := a.(type) {
		case elect.PromiseRequest:
			m.send(i, a.To, "promise-ask", promiseAskToWire(name, a))
		case elect.PromiseResponse:
			m.send(i, a.To, "promise-reply", promiseReplyToWire(name, a))
		case elect.PromiseRelease:
			m.send(i, a.To, "promise-release", promiseReleaseToWire(name, a))
		case elect.ReadRole:
			m.electStep(i, c, elect.RoleRead{Op: a.Op, Role: m.roles[c.index], Version: m.versions[c.index], Found: true})
		case elect.WriteRole:
			if m.storeWrites++; a.IfVersion != m.versions[c.index] {
				m.electStep(i, c, elect.RoleConflict{Op: a.Op})
				break
			}
			m.versions[c.index]++
			m.roles[c.index] = a.Role
			m.electStep(i, c, elect.RoleWritten{Op: a.Op, Version: m.versions[c.index]})
		case elect.Elected:
			if c.term != 0 || c.electedTerm != 0 {
				break
			}
			c.electedTerm = a.Term
			m.timers[m.now.Add(tableCollectTime)] = append(m.timers[m.now.Add(tableCollectTime)], func() {
				if c.electedTerm != 0 {
					c.term, c.electedTerm = c.electedTerm, 0
					m.assignStep(i, c, assign.Elected{Term: c.term, Assignment: m.assignments[c.index]})
				}
			})
		case elect.Deposed:
			c.term, c.electedTerm, c.assigner = 0, 0, ""
			c.assign.Step(m.now, assign.Deposed{})
		}
	}
}

func (m *controlSim) assignStep(i int, c *simCell, ev assign.Event) {
	if _, ok := c.elect.Holding(m.now); !ok || c.term == 0 {
		return
	}
	name := m.cells[c.index]
	m.events++
	for _, a := range c.assign.Step(m.now, ev) {
		switch a := a.(type) {
		case assign.Reply:
			if a.To == m.hosts[i].name {
				m.leaseStep(i, c, lease.Reply{Nonce: a.Nonce, Term: a.Term, Seq: a.Seq, LeaseTime: a.LeaseTime, Servers: a.Servers})
			} else {
				m.send(i, a.To, "renew-reply", grantToWire(name, a))
			}
		case assign.Store:
			m.storeWrites++
			m.versions[c.index]++
			m.assignments[c.index] = a.Assignment
			m.electStep(i, c, elect.RoleRead{Role: m.roles[c.index], Version: m.versions[c.index], Found: true})
			m.assignStep(i, c, assign.Stored{Version: a.Assignment.Version})
		case assign.Publish:
			if t, err := tableToWire(m.hosts[i].name, a.Table); err == nil {
				m.sendToGroup(i, "table", t)
			}
		}
	}
}

func (m *controlSim) leaseStep(i int, c *simCell, ev lease.Event) {
	name := m.cells[c.index]
	m.events++
	for _, a := range c.leases.Step(m.now, ev) {
		switch a := a.(type) {
		case lease.Renewal:
			switch {
			case c.term != 0:
				m.assignStep(i, c, assign.Renewal{From: m.hosts[i].name, Incarnation: m.hosts[i].incarnation, Nonce: a.Nonce, Ack: a.Ack, Servers: a.Servers})
			case c.assigner != "" && m.now.Sub(c.assignerReplyAt) < assignerTimeout:
				m.send(i, c.assigner, "renew-ask", renewToWire(name, a))
			default:
				m.sendToGroup(i, "renew-ask", renewToWire(name, a))
			}
		case lease.Push:
			m.probe(i, c, a.Server, a.Seq)
		case lease.Transfer:
			m.leaseStep(i, c, lease.Transferred{Range: a.Range, Fence: a.Fence, OK: true})
		}
	}
}

func (m *controlSim) deliver(sb simBatch) {
	h := m.hosts[sb.link.to]
	if h.down || m.hosts[sb.link.from].down || m.hosts[sb.link.from].incarnation != sb.incarnation {
		return
	}
	from, i := m.hosts[sb.link.from].name, sb.link.to
	for _, msg := range sb.batch.Messages {
		start := time.Now()
		switch b := msg.GetBody().(type) {
		case *peerpb.Message_PromiseAsk:
			a := b.PromiseAsk
			m.electStep(i, h.cells[a.GetCell().GetIndex()], elect.PromiseRequested{From: from, FromIncarnation: sb.incarnation, ToIncarnation: a.GetToBoot(), Term: a.GetTerm(),
				Nonce: a.GetNonce(), Version: a.GetVersion(), Role: roleFromWire(a.GetRole())})
		case *peerpb.Message_PromiseReply:
			a := b.PromiseReply
			m.electStep(i, h.cells[a.GetCell().GetIndex()], elect.PromiseResponded{From: from, FromIncarnation: sb.incarnation, ToIncarnation: a.GetToBoot(), Nonce: a.GetNonce(),
				Granted: a.GetGranted(), Highest: a.GetHighest(), Version: a.GetVersion(), Role: roleFromWire(a.GetRole())})
		case *peerpb.Message_PromiseRelease:
			if a := b.PromiseRelease; a.GetToBoot() == h.incarnation {
				m.electStep(i, h.cells[a.GetCell().GetIndex()], elect.PromiseReleased{From: from, FromIncarnation: sb.incarnation, Nonce: a.GetNonce()})
			}
		case *peerpb.Message_RenewAsk:
			m.assignStep(i, h.cells[b.RenewAsk.GetCell().GetIndex()], renewFromWire(from, sb.incarnation, b.RenewAsk))
		case *peerpb.Message_RenewReply:
			if c := h.cells[b.RenewReply.GetCell().GetIndex()]; b.RenewReply.GetToBoot() == h.incarnation {
				c.assigner, c.assignerReplyAt = from, m.now
				m.leaseStep(i, c, grantFromWire(b.RenewReply))
			}
		case *peerpb.Message_Digest:
			for _, c := range h.cells {
				m.electStep(i, c, elect.IncarnationSeen{Host: from, Incarnation: sb.incarnation})
				m.assignStep(i, c, assign.HostListed{Host: from, Live: true})
			}
		}
		m.eventTime += time.Since(start)
	}
}
