package entry

import (
	"time"

	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/elect"
	"github.com/laburnummux/laburnummux/internal/hold"
	"github.com/laburnummux/laburnummux/internal/peerpb"
)

func (m *controlSim) tick(i int, c *simCell) {
	events, start := m.events, time.Now()
	m.electStep(i, c, elect.Tick{})
	m.assignStep(i, c, assign.Tick{})
	m.leaseStep(i, c, hold.Tick{})
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
	if a, ok := ev.(elect.Asked); ok && a.Term != 0 && c.term == 0 {
		c.assigner = a.From
	}
	for _, a := range c.elect.Step(m.now, ev) {
		switch a := a.(type) {
		case elect.Ask:
			m.send(i, a.To, "promise-ask", promiseAskToWire(name, a))
		case elect.Reply:
			m.send(i, a.To, "promise-reply", promiseReplyToWire(name, a))
		case elect.Release:
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
		case elect.Became:
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
		case elect.Lost:
			c.term, c.electedTerm, c.assigner = 0, 0, ""
			c.assign.Step(m.now, assign.Lost{})
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
		case assign.Grant:
			if a.To == m.hosts[i].name {
				m.leaseStep(i, c, hold.Granted{Nonce: a.Nonce, Term: a.Term, Seq: a.Seq, Span: a.Span, Servers: a.Servers})
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

func (m *controlSim) leaseStep(i int, c *simCell, ev hold.Event) {
	name := m.cells[c.index]
	m.events++
	for _, a := range c.leases.Step(m.now, ev) {
		switch a := a.(type) {
		case hold.Renew:
			switch {
			case c.term != 0:
				m.assignStep(i, c, assign.Renew{From: m.hosts[i].name, Boot: m.hosts[i].boot, Nonce: a.Nonce, Ack: a.Ack, Servers: a.Servers})
			case c.assigner != "" && m.now.Sub(c.assignerReplyAt) < assignerTimeout:
				m.send(i, c.assigner, "renew-ask", renewToWire(name, a))
			default:
				m.sendToGroup(i, "renew-ask", renewToWire(name, a))
			}
		case hold.Push:
			m.probe(i, c, a.Server, a.Seq)
		case hold.Transfer:
			m.leaseStep(i, c, hold.Transferred{Range: a.Range, Fence: a.Fence, OK: true})
		}
	}
}

func (m *controlSim) deliver(sb simBatch) {
	h := m.hosts[sb.link.to]
	if h.down || m.hosts[sb.link.from].down || m.hosts[sb.link.from].boot != sb.boot {
		return
	}
	from, i := m.hosts[sb.link.from].name, sb.link.to
	for _, msg := range sb.batch.Messages {
		start := time.Now()
		switch b := msg.GetBody().(type) {
		case *peerpb.Message_PromiseAsk:
			a := b.PromiseAsk
			m.electStep(i, h.cells[a.GetCell().GetIndex()], elect.Asked{From: from, FromBoot: sb.boot, ToBoot: a.GetToBoot(), Term: a.GetTerm(),
				Nonce: a.GetNonce(), Version: a.GetVersion(), Role: roleFromWire(a.GetRole())})
		case *peerpb.Message_PromiseReply:
			a := b.PromiseReply
			m.electStep(i, h.cells[a.GetCell().GetIndex()], elect.Replied{From: from, FromBoot: sb.boot, ToBoot: a.GetToBoot(), Nonce: a.GetNonce(),
				Granted: a.GetGranted(), Highest: a.GetHighest(), Version: a.GetVersion(), Role: roleFromWire(a.GetRole())})
		case *peerpb.Message_PromiseRelease:
			if a := b.PromiseRelease; a.GetToBoot() == h.boot {
				m.electStep(i, h.cells[a.GetCell().GetIndex()], elect.Released{From: from, FromBoot: sb.boot, Nonce: a.GetNonce()})
			}
		case *peerpb.Message_RenewAsk:
			m.assignStep(i, h.cells[b.RenewAsk.GetCell().GetIndex()], renewFromWire(from, sb.boot, b.RenewAsk))
		case *peerpb.Message_RenewReply:
			if c := h.cells[b.RenewReply.GetCell().GetIndex()]; b.RenewReply.GetToBoot() == h.boot {
				c.assigner, c.assignerReplyAt = from, m.now
				m.leaseStep(i, c, grantFromWire(b.RenewReply))
			}
		case *peerpb.Message_Digest:
			for _, c := range h.cells {
				m.electStep(i, c, elect.PeerBoot{Host: from, Boot: sb.boot})
				m.assignStep(i, c, assign.HostSeen{Host: from, Live: true})
			}
		}
		m.eventTime += time.Since(start)
	}
}
