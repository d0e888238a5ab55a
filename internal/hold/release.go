package hold

import (
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/grant"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// clockRate is the part of a span by which a server's clock certainly
// advances: both clocks may be off by 1 in 1,000.
const clockRate = 998

// settle advances releases and drops what has ended. Hashes with requests in
// flight are cut out, so that the rest of a range needn't wait for them.
func (s *State) settle(now clock.Time, sv *server, acts []Action) []Action {
	var keep []*record
	for _, rec := range sv.records {
		switch {
		case now >= rec.until && sv.checks:
			// The server refuses the fence by now, even for late requests.
			s.urgent = true
			continue
		case now >= rec.until, sv.state == grant.Missed:
			rec.releasing = true
		}
		if !rec.releasing {
			keep = append(keep, rec)
			continue
		}
		for _, part := range sv.cut(rec) {
			var done bool
			if done, acts = s.release(now, sv, part, acts); done {
				s.urgent = true
				continue
			}
			keep = append(keep, part)
		}
	}
	sv.records = tidy(keep)
	return acts
}

// cut separates the hashes of rec that have requests in flight.
func (sv *server) cut(rec *record) (parts []*record) {
	if rec.r.Lo() == rec.r.Hi() {
		return []*record{rec}
	}
	rest := []keys.Range{rec.r}
	for h := range sv.inFlight {
		if rec.r.Contains(h) {
			one := keys.NewRange(h, h)
			rest = subtract(rest, one)
			parts = append(parts, rec.slice(one))
		}
	}
	if len(parts) == 0 {
		return []*record{rec}
	}
	for _, r := range rest {
		parts = append(parts, rec.slice(r))
	}
	return tidy(parts)
}

// release advances one part and reports whether it is released: no request in
// flight, records transferred, and the grant withdrawn from the server.
func (s *State) release(now clock.Time, sv *server, rec *record, acts []Action) (bool, []Action) {
	busy := rec.r.Lo() == rec.r.Hi() && sv.inFlight[rec.r.Lo()] > 0
	if busy && sv.state == grant.Missed && sv.checks && now >= rec.end {
		busy = false // the server refuses the fence by now, even for late requests
	}
	if busy {
		return false, acts
	}
	if now >= rec.until {
		return true, acts
	}
	if sv.state == grant.Missed && !rec.ordered && now.Sub(sv.missedAt) < grant.Renewal {
		return false, acts // the assigner's answer names the next host
	}
	if rec.next != "" && rec.next != s.cfg.Host && rec.transfer == transferNone {
		rec.transfer, rec.transferAt = transferSent, now
		acts = append(acts, Transfer{Range: rec.r, Fence: rec.fence, Next: rec.next})
	}
	if !rec.unpush {
		rec.unpush, sv.dirty = true, true
	}
	if rec.transfer == transferSent && now.Sub(rec.transferAt) < transferWait {
		return false, acts
	}
	return !sv.checks || rec.lastPush == 0 || sv.ackSeq > rec.lastPush || now >= rec.end, acts
}

// transferred notes a successful transfer for the next reports.
func (s *State) transferred(now clock.Time, ev Transferred) {
	for _, sv := range s.servers {
		for _, rec := range sv.records {
			if rec.fence != ev.Fence || rec.transfer != transferSent || intersect(rec.r, ev.Range) != rec.r {
				continue
			}
			if rec.transfer = transferFailed; ev.OK {
				rec.transfer = transferDone
				m := grant.Moved{Range: rec.r, Fence: rec.fence, To: rec.next}
				sv.moved = append(sv.moved, moved{Moved: m, at: now})
			}
		}
	}
}

// push sends the grants to a server that checks fencing tokens. The validity
// never exceeds a lease from the newest reading of the server's clock, so
// pushes that are delivered late to a frozen server don't outlast it.
func (s *State) push(now clock.Time, sv *server, acts []Action) []Action {
	if !sv.checks || !sv.haveRead || sv.state == grant.Missed {
		return acts
	}
	if !sv.dirty && now.Sub(sv.lastPush) < grant.Renewal {
		return acts
	}
	end := min(sv.lease, sv.readAt.Add(grant.Lease-grant.Margin))
	p := Push{Server: sv.name, Seq: s.pushSeq + 1, Boot: sv.boot}
	if end > now {
		p.Until = sv.read + (end-sv.readAt)*clockRate/1000
		for _, rec := range sv.records {
			// Not listed in the newest answer means no extension.
			if rec.unpush || rec.until < end {
				continue
			}
			if rec.firstPush == 0 {
				rec.firstPush = p.Seq
			}
			rec.lastPush, rec.end = p.Seq, max(rec.end, end)
			p.Grants = append(p.Grants, grant.Held{Range: rec.r, Fence: rec.fence})
		}
	}
	if len(p.Grants) == 0 && !sv.dirty {
		return acts
	}
	s.pushSeq, sv.lastPush, sv.dirty = p.Seq, now, false
	return append(acts, p)
}
