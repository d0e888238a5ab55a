package front

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/mesh"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

const (
	// beatEvery is the longest time between two beats.
	beatEvery = 150 * time.Millisecond
	// beatGap is the shortest time between two beats; it bounds the datagrams
	// under load.
	beatGap = 8 * time.Millisecond
	// reportEvery is the period of reports to the assigner.
	reportEvery = 250 * time.Millisecond
	// gossipEvery is the shortest period in which a host names others, and
	// gossipPer that period for each host that it knows.
	gossipEvery = time.Second
	gossipPer   = 100 * time.Millisecond
	// suspectEvery is the period in which a host tells its suspicions.
	suspectEvery = time.Second
	// joinEvery is the period in which a host that hears few others asks the
	// store for their addresses.
	joinEvery = 3 * time.Second
)

// beat tells the other hosts how this one is, at once after changes.
func (h *Host) beat(ctx context.Context) error {
	var seq uint64
	var reported, gossiped, suspected time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-h.change:
		case <-time.After(beatEvery):
		}
		seq++
		gossip := time.Since(gossiped) >= h.members.gossipGap()
		if h.sendBeat(seq, gossip) && gossip {
			gossiped = time.Now()
		}
		if time.Since(reported) >= reportEvery {
			reported = time.Now()
			h.report()
		}
		if time.Since(suspected) >= suspectEvery {
			suspected = time.Now()
			h.sendSuspects()
		}
		h.expire()
		time.Sleep(beatGap)
	}
}

// expire drops servers whose grace is over.
func (h *Host) expire() {
	h.mu.Lock()
	changed := h.view.Expire(h.clock.Now())
	h.mu.Unlock()
	if changed {
		h.servers()
	}
}

// sendBeat reports whether a beat was due anywhere.
func (h *Host) sendBeat(seq uint64, gossip bool) bool {
	now := h.clock.Now()
	s := h.cfg.Settings
	b := mesh.Beat{From: s.Host, Run: h.run, Seq: seq, IP: s.IP, DC: s.DC, Power: s.Power, Leaving: h.leaving.Load(), Term: h.duty.term()}
	b.Config, b.Servers, b.Fresh = h.versions(now)
	// The assigner's silence, and that of those who watch the store, is noticed.
	prompt := b.Term > 0 || b.Fresh >= 0 && h.watches()
	to := h.members.targets(now, prompt)
	if len(to) == 0 {
		return false
	}
	var busy map[keys.Server]int
	busy, b.Waiting = h.relay.Busy()
	b.Busy = make(map[mesh.Tag]int, len(busy))
	for id, n := range busy {
		b.Busy[mesh.TagOf(id)] = n
	}
	h.members.mu.Lock()
	if gossip {
		b.Members = h.members.some(now)
	}
	b.Known, b.Version = h.members.tableVersion()
	h.relay.Hosts(len(h.members.all) + 1)
	h.members.mu.Unlock()
	h.send(to, mesh.Message{Beat: &b})
	return true
}

// sendSuspects tells the other hosts which requests may crash servers.
func (h *Host) sendSuspects() {
	if list := h.relay.Suspects(); len(list) > 0 {
		h.send(h.members.everyone(h.clock.Now()), mesh.Message{Suspects: list})
	}
}

// send sends a message to several hosts.
func (h *Host) send(ips []string, msg mesh.Message) {
	if len(ips) == 0 {
		return
	}
	data, err := mesh.Encode(msg)
	if err != nil {
		h.log.Error("message isn't sent", zap.Error(err))
		return
	}
	for _, ip := range ips {
		if err := h.mesh.Send(ip, data); err != nil {
			h.log.Debug("message isn't sent", zap.Error(err))
		}
	}
}

// report tells the assigner what this host has observed.
func (h *Host) report() {
	busy, paces := h.relay.Observed()
	rep := mesh.Report{From: h.cfg.Settings.Host, Busy: busy, Paces: paces}
	if h.duty.term() > 0 {
		h.duty.report(&rep)
		return
	}
	if _, ip, _, _ := h.members.leader(); ip != "" && (len(busy) > 0 || len(paces) > 0) {
		h.send([]string{ip}, mesh.Message{Report: &rep})
	}
}

// receive takes the messages of other hosts.
func (h *Host) receive(ctx context.Context) error {
	return h.mesh.Run(ctx, h.got, h.badMessage)
}

func (h *Host) badMessage(err error) { h.log.Warn("message can't be read", zap.Error(err)) }

func (h *Host) got(msg mesh.Message) {
	if b := msg.Beat; b != nil {
		if now := h.clock.Now(); h.members.beat(now, b) && h.members.welcomes(now) {
			h.send([]string{b.IP}, mesh.Message{Members: h.members.names(now)})
		}
		h.relay.Peer(b.From, h.untag(b.Busy), b.Waiting)
		h.offered()
	}
	if len(msg.Members) > 0 {
		h.members.learnNames(h.clock.Now(), msg.Members)
		h.changed() // the hosts that it names learn of this one
	}
	if len(msg.Suspects) > 0 {
		h.relay.Suspect(msg.Suspects)
	}
	if msg.Report != nil {
		h.duty.report(msg.Report)
	}
	if len(msg.Tables) > 0 {
		h.tables(msg.Tables)
	}
}

// untag returns the servers that are known by their tags.
func (h *Host) untag(busy map[mesh.Tag]int) map[keys.Server]int {
	tags := h.tags.Load()
	if tags == nil {
		return nil
	}
	out := make(map[keys.Server]int, len(busy))
	for tag, n := range busy {
		if id, ok := (*tags)[tag]; ok {
			out[id] = n
		}
	}
	return out
}

// join makes this host known in the store, and looks others up there while it
// hears few of them: seeds may be stale.
func (h *Host) join(ctx context.Context) error {
	registered := false
	for {
		if !registered {
			err := h.cfg.Store.PutHost(ctx, h.cfg.Settings.Host, h.cfg.Settings.IP)
			h.storeResult(err)
			registered = err == nil
		}
		if st := h.members.standing(h.clock.Now()); st.alive < 2 || !st.majority {
			h.lookUp(ctx)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(joinEvery):
		}
	}
}

func (h *Host) lookUp(ctx context.Context) {
	ips, err := h.cfg.Store.Hosts(ctx)
	h.storeResult(err)
	if err != nil {
		return
	}
	h.members.mu.Lock()
	defer h.members.mu.Unlock()
	now := h.clock.Now()
	for name, ip := range ips {
		h.members.named(now, name, ip, "")
	}
}
