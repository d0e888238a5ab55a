package entry

import (
	"time"

	"github.com/laburnummux/laburnummux/internal/assign"
	"github.com/laburnummux/laburnummux/internal/elect"
	"github.com/laburnummux/laburnummux/internal/hold"
	"github.com/laburnummux/laburnummux/internal/peerpb"
)

func (m *capSim) tick(i int, p *capPart) {
	events, timed := m.events, time.Now()
	m.electStep(i, p, elect.Tick{})
	m.assignStep(i, p, assign.Tick{})
	m.holdStep(i, p, hold.Tick{})
	m.events = events
	d := time.Since(timed)
	m.ticks++
	m.tickTime += d
	if p.term != 0 {
		m.assignerTick += d
		m.assignerTicks++
	} else {
		m.otherTick += d
		m.otherTicks++
	}
}

func (m *capSim) electStep(i int, p *capPart, ev elect.Event) {
	c := m.cells[p.cell]
	m.events++
	if a, ok := ev.(elect.Asked); ok && a.Term != 0 && p.term == 0 {
		p.assigner = a.From
	}
	for _, a := range p.elect.Step(m.now, ev) {
		switch a := a.(type) {
		case elect.Ask:
			m.send(i, a.To, "promise-ask", askToWire(c, a))
		case elect.Reply:
			m.send(i, a.To, "promise-reply", replyToWire(c, a))
		case elect.Release:
			m.send(i, a.To, "promise-release", releaseToWire(c, a))
		case elect.ReadRole:
			m.electStep(i, p, elect.RoleRead{Op: a.Op, Role: m.roles[p.cell], Version: m.version[p.cell], Found: true})
		case elect.WriteRole:
			if m.writes++; a.IfVersion != m.version[p.cell] {
				m.electStep(i, p, elect.RoleConflict{Op: a.Op})
				break
			}
			m.version[p.cell]++
			m.roles[p.cell] = a.Role
			m.electStep(i, p, elect.RoleWritten{Op: a.Op, Version: m.version[p.cell]})
		case elect.Became:
			if p.term != 0 || p.pending != 0 {
				break
			}
			p.pending = a.Term
			m.reached[m.now.Add(tableGrace)] = append(m.reached[m.now.Add(tableGrace)], func() {
				if p.pending != 0 {
					p.term, p.pending = p.pending, 0
					m.assignStep(i, p, assign.Elected{Term: p.term, Assignment: m.last[p.cell]})
				}
			})
		case elect.Lost:
			p.term, p.pending, p.assigner = 0, 0, ""
			p.assign.Step(m.now, assign.Lost{})
		}
	}
}

func (m *capSim) assignStep(i int, p *capPart, ev assign.Event) {
	if _, ok := p.elect.Holding(m.now); !ok || p.term == 0 {
		return
	}
	c := m.cells[p.cell]
	m.events++
	for _, a := range p.assign.Step(m.now, ev) {
		switch a := a.(type) {
		case assign.Grant:
			if a.To == m.hosts[i].name {
				m.holdStep(i, p, hold.Granted{Nonce: a.Nonce, Term: a.Term, Seq: a.Seq, Span: a.Span, Servers: a.Servers})
			} else {
				m.send(i, a.To, "renew-reply", grantToWire(c, a))
			}
		case assign.Store:
			m.writes++
			m.version[p.cell]++
			m.last[p.cell] = a.Assignment
			m.electStep(i, p, elect.RoleRead{Role: m.roles[p.cell], Version: m.version[p.cell], Found: true})
			m.assignStep(i, p, assign.Stored{Version: a.Assignment.Version})
		case assign.Publish:
			if t, err := tableToWire(m.hosts[i].name, a.Table); err == nil {
				m.toGroup(i, "table", t)
			}
		}
	}
}

func (m *capSim) holdStep(i int, p *capPart, ev hold.Event) {
	c := m.cells[p.cell]
	m.events++
	for _, a := range p.hold.Step(m.now, ev) {
		switch a := a.(type) {
		case hold.Renew:
			switch {
			case p.term != 0:
				m.assignStep(i, p, assign.Renew{From: m.hosts[i].name, Boot: m.hosts[i].boot, Nonce: a.Nonce, Ack: a.Ack, Servers: a.Servers})
			case p.assigner != "" && m.now.Sub(p.answered) < assignerSilence:
				m.send(i, p.assigner, "renew-ask", renewToWire(c, a))
			default:
				m.toGroup(i, "renew-ask", renewToWire(c, a))
			}
		case hold.Push:
			m.probe(i, p, a.Server, a.Seq)
		case hold.Transfer:
			m.holdStep(i, p, hold.Transferred{Range: a.Range, Fence: a.Fence, OK: true})
		}
	}
}

func (m *capSim) deliver(c capBatch) {
	h := m.hosts[c.link.to]
	if h.down || m.hosts[c.link.from].down || m.hosts[c.link.from].boot != c.boot {
		return
	}
	from, i := m.hosts[c.link.from].name, c.link.to
	for _, msg := range c.b.Messages {
		timed := time.Now()
		switch b := msg.GetBody().(type) {
		case *peerpb.Message_PromiseAsk:
			a := b.PromiseAsk
			m.electStep(i, h.part[a.GetCell().GetIndex()], elect.Asked{From: from, FromBoot: c.boot, ToBoot: a.GetToBoot(), Term: a.GetTerm(),
				Nonce: a.GetNonce(), Version: a.GetVersion(), Role: roleFromWire(a.GetRole())})
		case *peerpb.Message_PromiseReply:
			a := b.PromiseReply
			m.electStep(i, h.part[a.GetCell().GetIndex()], elect.Replied{From: from, FromBoot: c.boot, ToBoot: a.GetToBoot(), Nonce: a.GetNonce(),
				Granted: a.GetGranted(), Highest: a.GetHighest(), Version: a.GetVersion(), Role: roleFromWire(a.GetRole())})
		case *peerpb.Message_PromiseRelease:
			if a := b.PromiseRelease; a.GetToBoot() == h.boot {
				m.electStep(i, h.part[a.GetCell().GetIndex()], elect.Released{From: from, FromBoot: c.boot, Nonce: a.GetNonce()})
			}
		case *peerpb.Message_RenewAsk:
			m.assignStep(i, h.part[b.RenewAsk.GetCell().GetIndex()], renewFromWire(from, c.boot, b.RenewAsk))
		case *peerpb.Message_RenewReply:
			if p := h.part[b.RenewReply.GetCell().GetIndex()]; b.RenewReply.GetToBoot() == h.boot {
				p.assigner, p.answered = from, m.now
				m.holdStep(i, p, grantFromWire(b.RenewReply))
			}
		case *peerpb.Message_Digest:
			for _, p := range h.part {
				m.electStep(i, p, elect.PeerBoot{Host: from, Boot: c.boot})
				m.assignStep(i, p, assign.HostSeen{Host: from, Live: true})
			}
		}
		m.eventTime += time.Since(timed)
	}
}
