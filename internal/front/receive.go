package front

import (
	"context"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/laburnummux/laburnummux/internal/mesh"
	"github.com/laburnummux/laburnummux/internal/owner"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// maxMessageMembers is the most hosts in a list of hosts, so that it fits in a datagram.
const maxMessageMembers = 500

// receive handles the messages of other hosts.
func (h *Host) receive(ctx context.Context) error {
	return h.mesh.Run(ctx, h.handlePacket, h.logDecodeError)
}

// handlePacket handles a message if it comes from where it says, and from a host
// that is known unless it says who the sender is.
func (h *Host) handlePacket(p mesh.Packet) {
	msg, ip := p.Message, p.From.String()
	h.metrics.mesh.CountReceived(msg.Kind(), p.Bytes)
	switch b := msg.Heartbeat; {
	case b != nil && b.IP != ip:
		h.logDropped(mesh.Foreign, fmt.Errorf("heartbeat of %s at %s comes from %s", b.From, b.IP, ip))
	case b == nil && !h.members.isAddr(ip):
		h.logDropped(mesh.Foreign, fmt.Errorf("%s from %s, which is no known host", msg.Kind(), ip))
	default:
		h.handleMessage(msg)
		h.admission.handle(ip, msg)
	}
}

// dropLogInterval is the shortest time between two log lines about dropped
// messages.
const dropLogInterval = time.Second

func (h *Host) logDecodeError(err error) { h.logDropped(mesh.Malformed, err) }

// logDropped counts a dropped message and logs it at a bounded rate. It is called by
// the goroutine that receives messages.
func (h *Host) logDropped(why mesh.Drop, err error) {
	h.metrics.mesh.CountDropped(why)
	h.dropped.count++
	if time.Since(h.dropped.loggedAt) < dropLogInterval {
		return
	}
	h.log.Warn("dropping messages", zap.Stringer("why", why), zap.Int("count", h.dropped.count), zap.NamedError("last", err))
	h.dropped = droppedMessages{loggedAt: time.Now()}
}

// droppedMessages are the messages that were dropped since the last log line.
type droppedMessages struct {
	loggedAt time.Time
	count    int
}

func (h *Host) handleMessage(msg mesh.Message) {
	if b := msg.Heartbeat; b != nil {
		h.handleHeartbeat(b)
	}
	if len(msg.Members) > 0 {
		h.members.addAll(h.clock.Now(), msg.Members)
		h.triggerHeartbeat() // adds this host to the member lists of the listed hosts
	}
	if len(msg.Suspects) > 0 {
		h.relay.ImportSuspects(msg.Suspects, msg.Losses)
	}
	if msg.Report != nil {
		h.role.addReport(msg.Report)
	}
	if len(msg.Tables) > 0 {
		h.applyTables(msg.Tables)
	}
	for _, p := range msg.TableParts {
		if t, ok := h.tableParts.add(p); ok {
			h.applyTables([]owner.Table{t})
		}
	}
}

// handleHeartbeat applies a heartbeat of another host.
func (h *Host) handleHeartbeat(b *mesh.Heartbeat) {
	now := h.clock.Now()
	if h.members.handleHeartbeat(now, b) && h.members.sendsMemberList(now) {
		for list := range slices.Chunk(h.members.active(now), maxMessageMembers) {
			h.send([]string{b.IP}, mesh.Message{Members: list})
		}
	}
	h.relay.ServersLeave(b.LeavingServers)
	if !b.NoLoad {
		h.relay.SetPeerLoad(b.From, h.resolveHashes(b.InFlight), b.Queued)
	}
	h.checkSnapshot(now, b.From)
}

// resolveHashes replaces server hashes by server names. It leaves out unknown
// servers.
func (h *Host) resolveHashes(inFlight map[mesh.ServerHash]int) map[keys.Server]int {
	byHash := h.serverByHash.Load()
	if byHash == nil {
		return nil
	}
	out := make(map[keys.Server]int, len(inFlight))
	for hash, n := range inFlight {
		if id, ok := (*byHash)[hash]; ok {
			out[id] = n
		}
	}
	return out
}
