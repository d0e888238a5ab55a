package front

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/laburnummux/laburnummux/internal/admit"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/mesh"
	"github.com/laburnummux/laburnummux/internal/place"
	"github.com/laburnummux/laburnummux/internal/relay"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// askRetransmit is the time after which an ask without a reply is sent again, and
	// askAttempts how often it is sent before its admitter counts as lost.
	askRetransmit = 15 * time.Millisecond
	askAttempts   = 3
	// lateTimer is how late a timer has to fire for the host itself to have had no
	// processor time. It then can't tell whether the admitter has replied.
	lateTimer = 10 * time.Millisecond
	// queuedAskInterval is the period in which a queued request is asked for again, so
	// that the loss of its admitter is noticed.
	queuedAskInterval = 100 * time.Millisecond
	// lostAdmitterPause is how long a host that hasn't replied isn't asked. It doubles up
	// to maxLostAdmitterPause until a message of that host arrives: where hosts send few
	// requests each, most would otherwise wait for its reply.
	lostAdmitterPause    = clock.Second
	maxLostAdmitterPause = 8 * clock.Second
	// stoppedAdmitterPause is the same for a host that says it stops. Its heartbeats tell
	// all hosts within that time.
	stoppedAdmitterPause = 5 * clock.Second
	// startQuiet is how long after its start a host admits nothing to cold servers and, if
	// it isn't a seed, sends no lists of hosts. Until it knows the other hosts it takes
	// itself for the admitter of all servers and the first host of its data centre.
	startQuiet = 1500 * clock.Millisecond
	// maxToldCold bounds for how long an ask makes a server count as cold. Asks repeat
	// while it is, and an early end of the warm-up has to take effect.
	maxToldCold = 10 * clock.Second
	// admissionTick is the period in which the admitter refuses requests that have waited
	// too long and ends reservations.
	admissionTick = 20 * time.Millisecond
	// candidatesInterval is the period in which a host determines which hosts may be
	// admitters.
	candidatesInterval = 250 * time.Millisecond
	// maxAdmissionBatch is the most asks, replies or results in a datagram, so that it
	// isn't fragmented.
	maxAdmissionBatch = 16
)

// askEnd is how the wait for an admission ends, besides with a verdict of the admitter.
type askEnd int

const (
	askReplied askEnd = iota // with a final reply
	askLost                  // without a reply
	askEnded                 // the request ended, or has to be placed again
)

// pendingAsk is a request of this host that waits for its admission or is admitted.
type pendingAsk struct {
	mesh.Ask
	deadline  clock.Time
	objective clock.Time
	ip        string             // of the admitter
	replies   chan mesh.AskReply // latest replies
}

// lostAdmitter is a host that isn't asked until a time, as it hasn't replied or stops.
type lostAdmitter struct {
	until   clock.Time
	pause   clock.Span
	stopped bool
}

// admission asks the admitters of servers for the admission of this host's requests, and
// is the admitter of some servers for all hosts.
type admission struct {
	host *Host
	self string // address of this host
	wake chan struct{}
	// transmit sends a message to a host.
	transmit func(ip string, m mesh.Message)

	mu        sync.Mutex
	state     *admit.State // as an admitter
	admitters admitters
	asks      map[uint64]*pendingAsk
	lastNum   uint64
	lost      map[string]lostAdmitter // hosts that haven't replied
	stopped   bool
	outbox    map[string]*mesh.Message // to be sent, by address
	sending   bool                     // a goroutine sends the outbox
}

func newAdmission(h *Host) *admission {
	a := &admission{
		host: h, self: h.cfg.Settings.IP, wake: make(chan struct{}, 1), state: admit.New(rand.Uint64()), asks: make(map[uint64]*pendingAsk),
		// Asks of an earlier process of this host have other numbers.
		lastNum: uint64(rand.Uint32()) << 16, lost: make(map[string]lostAdmitter), outbox: make(map[string]*mesh.Message),
		transmit: func(ip string, m mesh.Message) { h.send([]string{ip}, m) },
	}
	a.state.SetColdBound(h.cfg.Settings.ColdOver, h.cfg.Settings.ColdSlack)
	a.state.SetColdFrom(h.clock.Now().Add(startQuiet))
	a.updateAdmitters()
	return a
}

// Admit implements relay.Admitter.
func (a *admission) Admit(ctx context.Context, ask relay.Ask) relay.Admission {
	began := time.Now()
	adm, result := a.admit(ctx, ask)
	a.host.metrics.admission.observe(result, time.Since(began))
	return adm
}

func (a *admission) admit(ctx context.Context, ask relay.Ask) (adm relay.Admission, result string) {
	for range maxAdmitters {
		p := a.begin(ask)
		if p == nil {
			break
		}
		reply, end := a.await(ctx, p)
		if end == askReplied && reply.Verdict == mesh.VerdictAdmitted {
			return relay.Admission{Verdict: relay.AdmitSend, Done: func(res place.Result) { a.finish(p, res) }}, "admitted"
		}
		a.giveUp(p, end)
		if end == askLost {
			a.host.metrics.admission.unanswered.Inc()
		}
		switch {
		case end == askEnded:
			return relay.Admission{Verdict: relay.AdmitEnded}, "ended"
		case end == askLost, reply.Verdict == mesh.VerdictMoved:
			continue // the next host is asked
		case reply.Verdict == mesh.VerdictGone:
			return relay.Admission{Verdict: relay.AdmitGone}, "gone"
		default:
			return relay.Admission{Verdict: relay.AdmitRefused, RetryAfter: reply.RetryAfter}, "refused"
		}
	}
	if ask.Cold > 0 { // nothing is sent to a cold server without admission
		return relay.Admission{Verdict: relay.AdmitRefused, RetryAfter: lostAdmitterPause / 2}, "no-admitter"
	}
	return relay.Admission{Verdict: relay.AdmitSend}, "no-admitter"
}

// begin sends an ask to the server's admitter. It returns nil if no host is known that
// might reply.
func (a *admission) begin(ask relay.Ask) *pendingAsk {
	now := a.host.clock.Now()
	a.mu.Lock()
	ip := a.admitterOf(now, ask.Server)
	if ip == "" {
		a.mu.Unlock()
		return nil
	}
	a.lastNum++
	p := &pendingAsk{ip: ip, objective: ask.Objective, deadline: ask.Deadline, replies: make(chan mesh.AskReply, 4), Ask: mesh.Ask{
		Num: a.lastNum, Server: ask.Server.ID, Born: ask.Server.Born, Slots: ask.Server.Slots, Priority: max(ask.Priority, 0), RouteMean: ask.RouteMean,
		Cold: ask.Cold, ColdRate: ask.ColdRate, AtOnce: !ask.Keyed,
	}}
	a.asks[p.Num] = p
	a.sendAsk(now, p)
	a.flush()
	return p
}

// admitterOf returns the address of the host to ask about a server, or "". a.mu is held.
func (a *admission) admitterOf(now clock.Time, sv fleet.Server) string {
	for _, ip := range a.admitters.of(sv) {
		if now >= a.lost[ip].until {
			return ip
		}
	}
	return ""
}

// sendAsk passes an ask to its admitter. a.mu is held.
func (a *admission) sendAsk(now clock.Time, p *pendingAsk) {
	if p.ip == a.self {
		a.ask(now, a.self, p.request(now))
		return
	}
	m := a.out(p.ip)
	m.Asks = append(m.Asks, p.request(now))
}

// request returns the ask with the times that are left.
func (p *pendingAsk) request(now clock.Time) mesh.Ask {
	r := p.Ask
	r.ObjectiveIn, r.DeadlineIn = p.objective.Sub(now), max(p.deadline.Sub(now), 0)
	return r
}

// await waits for the final reply to an ask.
func (a *admission) await(ctx context.Context, p *pendingAsk) (reply mesh.AskReply, end askEnd) {
	timer := time.NewTimer(askRetransmit)
	defer timer.Stop()
	due := time.Now().Add(askRetransmit)
	for unanswered := 1; ; {
		select {
		case reply = <-p.replies:
			if reply.Verdict != mesh.VerdictQueued {
				return reply, askReplied
			}
			unanswered = 0
			timer.Reset(queuedAskInterval)
			due = time.Now().Add(queuedAskInterval)
		case <-ctx.Done():
			return reply, askEnded
		case <-timer.C:
			switch late := time.Since(due) > lateTimer; {
			case late && len(p.replies) > 0:
				continue // a reply has arrived meanwhile
			case !late && unanswered >= askAttempts:
				return reply, askLost
			case !late:
				unanswered++
			}
			a.mu.Lock()
			a.sendAsk(a.host.clock.Now(), p)
			a.flush()
			timer.Reset(askRetransmit)
			due = time.Now().Add(askRetransmit)
		}
	}
}

// giveUp ends an ask that wasn't admitted. A host that hasn't replied, or isn't an
// admitter any more, isn't asked for a while.
func (a *admission) giveUp(p *pendingAsk, end askEnd) {
	now := a.host.clock.Now()
	a.mu.Lock()
	delete(a.asks, p.Num)
	if end != askReplied {
		a.sendDone(now, p.ip, mesh.AskDone{Num: p.Num})
	}
	if end == askLost {
		a.lose(now, p.ip, false)
	}
	a.flush()
}

// lose has a host not asked for a while. a.mu is held.
func (a *admission) lose(now clock.Time, ip string, stopped bool) {
	if len(a.lost) >= maxRanked {
		clear(a.lost)
	}
	l := a.lost[ip]
	if now < l.until {
		return // several requests have waited for it
	}
	switch {
	case stopped:
		l.pause = stoppedAdmitterPause
	case l.pause == 0:
		l.pause = lostAdmitterPause
	default:
		l.pause = min(2*l.pause, maxLostAdmitterPause)
	}
	l.until, l.stopped = now.Add(l.pause), stopped
	a.lost[ip] = l
}

// heard has a host asked again that was lost, as a message of it has arrived.
func (a *admission) heard(ip string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if l, ok := a.lost[ip]; ok && !l.stopped {
		delete(a.lost, ip)
	}
}

// finish ends the reservation of an admitted request.
func (a *admission) finish(p *pendingAsk, res place.Result) {
	d := mesh.AskDone{Num: p.Num, Load: max(res.Load, 0), HasLoad: res.HasLoad}
	if !res.Cancelled && !res.ConnFailed && !res.Shed && !res.Failed {
		d.Duration = max(res.Duration, 0)
	}
	a.mu.Lock()
	delete(a.asks, p.Num)
	a.sendDone(a.host.clock.Now(), p.ip, d)
	a.flush()
}

// sendDone passes the result of a request to its admitter. a.mu is held.
func (a *admission) sendDone(now clock.Time, ip string, d mesh.AskDone) {
	if ip == a.self {
		a.done(now, a.self, d)
		return
	}
	m := a.out(ip)
	m.AskDones = append(m.AskDones, d)
}

// handle handles the parts of a message that are about admission.
func (a *admission) handle(ip string, m mesh.Message) {
	a.heard(ip)
	if len(m.Asks)+len(m.AskReplies)+len(m.AskDones) == 0 {
		return
	}
	now := a.host.clock.Now()
	a.mu.Lock()
	for _, d := range m.AskDones {
		a.done(now, ip, d)
	}
	for _, r := range m.Asks {
		a.ask(now, ip, r)
	}
	for _, r := range m.AskReplies {
		a.deliver(now, ip, r)
	}
	a.flush()
}

// ask handles an ask as the admitter. a.mu is held.
func (a *admission) ask(now clock.Time, ip string, r mesh.Ask) {
	if own := a.host.relay.ColdRate(r.Server); own > 0 && r.ColdRate > 0 {
		r.ColdRate = own
	}
	// Either host may not have learned yet that the server is cold.
	if left, rate := a.host.relay.ColdLimit(r.Server); rate > 0 {
		if r.ColdRate == 0 || rate < r.ColdRate {
			r.ColdRate = rate
		}
		r.Cold = max(r.Cold, left)
	}
	r.Cold = min(r.Cold, maxToldCold)
	a.route(now, a.state.Ask(now, admit.Request{
		ID: admit.ID{Host: ip, Num: r.Num}, Server: fleet.Incarnation{ID: r.Server, Born: r.Born}, Slots: r.Slots, Priority: r.Priority,
		Objective: now.Add(r.ObjectiveIn), Deadline: now.Add(r.DeadlineIn), RouteMean: r.RouteMean,
		Cold: r.Cold, ColdRate: r.ColdRate, AtOnce: r.AtOnce,
	}))
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// done handles the end of a request as the admitter. a.mu is held.
func (a *admission) done(now clock.Time, ip string, d mesh.AskDone) {
	a.route(now, a.state.Done(now, admit.ID{Host: ip, Num: d.Num}, admit.Result{Duration: d.Duration, Load: d.Load, HasLoad: d.HasLoad}))
}

// route passes the admitter's replies to the hosts that have asked. a.mu is held.
func (a *admission) route(now clock.Time, replies []admit.Reply) {
	for _, r := range replies {
		id := r.To()
		out := mesh.AskReply{Num: id.Num}
		switch r := r.(type) {
		case admit.Admitted:
			out.Verdict = mesh.VerdictAdmitted
		case admit.Queued:
			out.Verdict = mesh.VerdictQueued
		case admit.Refused:
			out.Verdict, out.RetryAfter = mesh.VerdictRefused, r.RetryAfter
		case admit.Gone:
			out.Verdict = mesh.VerdictGone
		case admit.Moved:
			out.Verdict = mesh.VerdictMoved
		}
		if id.Host == a.self {
			a.deliver(now, a.self, out)
			continue
		}
		m := a.out(id.Host)
		m.AskReplies = append(m.AskReplies, out)
	}
}

// deliver passes a reply to the request that waits for it. An admission that no request
// wants any more is given back. a.mu is held.
func (a *admission) deliver(now clock.Time, ip string, r mesh.AskReply) {
	if r.Verdict == mesh.VerdictMoved {
		a.lose(now, ip, true)
	}
	p := a.asks[r.Num]
	if p == nil || p.ip != ip {
		if r.Verdict == mesh.VerdictAdmitted || r.Verdict == mesh.VerdictQueued {
			a.sendDone(now, ip, mesh.AskDone{Num: r.Num})
		}
		return
	}
	select {
	case p.replies <- r:
	default: // it is asked for again
	}
}

// out returns the message to a host that is sent next. a.mu is held.
func (a *admission) out(ip string) *mesh.Message {
	m := a.outbox[ip]
	if m == nil {
		m = new(mesh.Message)
		a.outbox[ip] = m
	}
	return m
}

// flush sends the outbox and releases a.mu, which is held. What is added meanwhile is
// sent by the same goroutine, so that several parts to a host share a datagram.
func (a *admission) flush() {
	defer a.mu.Unlock()
	if a.sending {
		return
	}
	a.sending = true
	for len(a.outbox) > 0 {
		batch := a.outbox
		a.outbox = make(map[string]*mesh.Message)
		a.mu.Unlock()
		for ip, m := range batch {
			a.send(ip, m)
		}
		a.mu.Lock()
	}
	a.sending = false
}

// send sends a message in datagrams that aren't too long.
func (a *admission) send(ip string, m *mesh.Message) {
	for len(m.Asks)+len(m.AskReplies)+len(m.AskDones) > 0 {
		var part mesh.Message
		part.Asks, m.Asks = cut(m.Asks)
		part.AskReplies, m.AskReplies = cut(m.AskReplies)
		part.AskDones, m.AskDones = cut(m.AskDones)
		a.transmit(ip, part)
	}
}

// cut returns the first elements of a list, and the others.
func cut[T any](list []T) (first, rest []T) {
	n := min(len(list), maxAdmissionBatch)
	return list[:n], list[n:]
}

// run ticks while requests wait or are admitted here, until ctx ends.
func (a *admission) run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-a.wake:
		}
		for a.tick() {
			time.Sleep(admissionTick)
		}
	}
}

// tick reports whether requests wait or are admitted here.
func (a *admission) tick() bool {
	now := a.host.clock.Now()
	a.mu.Lock()
	defer a.flush()
	a.route(now, a.state.Tick(now))
	return !a.state.Idle()
}

// updateAdmitters determines which hosts may be admitters, if that may have changed.
func (a *admission) updateAdmitters() {
	now := a.host.clock.Now()
	list, ok := a.host.members.candidates(now)
	a.mu.Lock()
	defer a.mu.Unlock()
	if ok {
		if !a.stopped {
			list = append(list, newCandidate(a.host.cfg.Settings.Host, a.self, a.host.cfg.Settings.DC, a.host.cfg.Settings.Cores))
		}
		a.admitters.set(list)
	}
	for ip, l := range a.lost {
		if now.Sub(l.until) > maxLostAdmitterPause {
			delete(a.lost, ip)
		}
	}
}

// setServers replaces the list of servers.
func (a *admission) setServers(list []fleet.Server) {
	servers := make([]admit.Server, 0, len(list))
	for _, sv := range list {
		servers = append(servers, admit.Server{ID: sv.ID, Born: sv.Born, Slots: sv.Slots})
	}
	now := a.host.clock.Now()
	a.mu.Lock()
	a.route(now, a.state.SetServers(now, servers))
	a.flush()
}

// stop has the hosts that ask this one ask the next.
func (a *admission) stop() {
	a.mu.Lock()
	a.stopped = true
	a.host.members.noteCandidates()
	a.route(a.host.clock.Now(), a.state.Stop())
	a.flush()
	a.updateAdmitters()
}

// queues returns the queues of the servers for which hosts ask this one.
func (a *admission) queues() map[keys.Server]admit.Queue {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.state.Queues()
}
