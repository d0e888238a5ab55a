// Package peers sends and receives messages between entry hosts.
//
// Messages that are queued for the same host are sent in one batch. Delivery is
// best effort: a message may be lost, and one whose call timed out may still
// arrive, so receivers must accept late and duplicate messages. A reply is a
// message of its own.
//
// # Usage
//
//	p := peers.New(self, incarnation, handle, log)
//	p.SetAddresses(map[keys.Host]string{"north-1-b": "10.0.0.2:7003"})
//	go p.Run(ctx)
//	p.Send("north-1-b", msg)
//	peerpb.RegisterPeerServer(grpcServer, p)
package peers

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/laburnummux/laburnummux/internal/peerpb"
	"github.com/laburnummux/laburnummux/internal/ring"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

const (
	// sendTimeout bounds one call. It is less than two renewal intervals, so
	// that an unreachable host delays only messages that are stale anyway.
	sendTimeout = 150 * time.Millisecond
	// batchDelay is how long a message waits for others to the same host, since
	// the cells of the sender create their messages one after the other.
	batchDelay  = time.Millisecond
	queueSize   = 256 // messages queued for one host
	maxMessages = 64  // messages in one batch
	// MaxBatchBytes bounds a batch in bytes. A full configuration (below 1 MiB)
	// and the deduplication records of a cell fit into it.
	MaxBatchBytes = 16 << 20
)

// connectParams shortens the delay before a reconnection. gRPC's default grows to
// 120 s, but a key must be served again within 1 s of the loss of a host.
var connectParams = grpc.ConnectParams{
	Backoff:           backoff.Config{BaseDelay: 20 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 200 * time.Millisecond},
	MinConnectTimeout: 200 * time.Millisecond,
}

// Handler handles a message from an incarnation of another host. It must not
// block.
type Handler func(from keys.Host, incarnation uint64, m *peerpb.Message)

// Peers sends messages to the other entry hosts and implements the gRPC service
// that receives theirs.
type Peers struct {
	peerpb.UnimplementedPeerServer

	self        keys.Host
	incarnation uint64
	receive     Handler
	log         *zap.Logger
	auth        *Auth // nil: plain text

	mu    sync.Mutex
	ctx   context.Context     // nil until Run
	links map[keys.Host]*link // by destination

	sent, received, failed, refused, sentBytes atomic.Uint64
}

// link sends the messages to one host.
type link struct {
	p       *Peers
	to      keys.Host
	address string
	queue   *ring.Ring[*peerpb.Message]
	cancel  context.CancelFunc // nil until the loop starts
	up      bool               // the last call succeeded
}

// New returns Peers for an incarnation of the host self.
func New(self keys.Host, incarnation uint64, handle Handler, log *zap.Logger) *Peers {
	return &Peers{
		self: self, incarnation: incarnation, receive: handle, log: log.Named("peers"),
		links: make(map[keys.Host]*link),
	}
}

// Run sends messages until ctx ends.
func (p *Peers) Run(ctx context.Context) error {
	p.mu.Lock()
	p.ctx = ctx
	for _, l := range p.links {
		p.start(l)
	}
	p.mu.Unlock()
	<-ctx.Done()
	p.mu.Lock()
	p.ctx = nil
	p.mu.Unlock()
	return ctx.Err()
}

// SetAddresses replaces the addresses of the other hosts. Messages to hosts
// without an address are dropped.
func (p *Peers) SetAddresses(addrs map[keys.Host]string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for h, l := range p.links {
		if addrs[h] != l.address {
			if l.cancel != nil {
				l.cancel()
			}
			delete(p.links, h)
		}
	}
	for h, a := range addrs {
		if h == p.self || a == "" || p.links[h] != nil {
			continue
		}
		l := &link{p: p, to: h, address: a, queue: ring.New[*peerpb.Message](queueSize)}
		p.links[h] = l
		if p.ctx != nil {
			p.start(l)
		}
	}
}

func (p *Peers) start(l *link) {
	var ctx context.Context
	ctx, l.cancel = context.WithCancel(p.ctx)
	go l.loop(ctx)
}

// Send queues m for the host to. If the queue is full, the oldest message is
// dropped.
func (p *Peers) Send(to keys.Host, m *peerpb.Message) {
	p.mu.Lock()
	l := p.links[to]
	p.mu.Unlock()
	if l != nil {
		l.queue.Replace(m)
	}
}

// Exchange implements peerpb.PeerServer. It passes the messages of a batch to
// the Handler.
func (p *Peers) Exchange(ctx context.Context, b *peerpb.Batch) (*peerpb.Batch, error) {
	if b.GetFrom() == "" {
		return nil, status.Error(codes.InvalidArgument, "peers: batch without a sender")
	}
	if err := p.authenticate(ctx, keys.Host(b.GetFrom())); err != nil {
		p.refused.Add(1)
		return nil, err
	}
	p.received.Add(uint64(len(b.GetMessages())))
	for _, m := range b.GetMessages() {
		p.receive(keys.Host(b.GetFrom()), b.GetBoot(), m)
	}
	return &peerpb.Batch{From: string(p.self), Boot: p.incarnation}, nil
}

// Counters are totals since the start, of messages unless noted.
type Counters struct {
	Sent      uint64 `json:"sent"`
	SentBytes uint64 `json:"sentBytes"`
	Received  uint64 `json:"received"`
	Failed    uint64 `json:"failed"`
	Refused   uint64 `json:"refused"` // batches of unauthorized senders
}

// Counters returns the current totals. They are read one by one, so they may
// differ by the messages of a concurrent call.
func (p *Peers) Counters() Counters {
	return Counters{p.sent.Load(), p.sentBytes.Load(), p.received.Load(), p.failed.Load(), p.refused.Load()}
}

func (l *link) loop(ctx context.Context) {
	conn, err := grpc.NewClient("passthrough:///"+l.address,
		grpc.WithTransportCredentials(l.p.credentials(l.to)),
		grpc.WithConnectParams(connectParams),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallSendMsgSize(MaxBatchBytes)))
	if err != nil {
		l.p.log.Error("invalid address of peer; sending no messages to it", zap.String("host", string(l.to)), zap.Error(err))
		return
	}
	defer conn.Close()
	client := peerpb.NewPeerClient(conn)
	for {
		m, ok := l.queue.Pop(ctx)
		if !ok {
			return
		}
		time.Sleep(batchDelay)
		b := &peerpb.Batch{From: string(l.p.self), Boot: l.p.incarnation, Messages: []*peerpb.Message{m}}
		for len(b.Messages) < maxMessages {
			if m, ok = l.queue.TryPop(); !ok {
				break
			}
			b.Messages = append(b.Messages, m)
		}
		l.logChange(l.send(ctx, client, b))
	}
}

func (l *link) send(ctx context.Context, c peerpb.PeerClient, b *peerpb.Batch) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("peers.send: %w", err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	if _, err = c.Exchange(ctx, b, grpc.WaitForReady(true)); err != nil {
		l.p.failed.Add(uint64(len(b.Messages)))
		return err
	}
	l.p.sent.Add(uint64(len(b.Messages)))
	l.p.sentBytes.Add(uint64(wireSize(b)))
	return nil
}

// logChange logs when the host becomes reachable or unreachable.
func (l *link) logChange(err error) {
	if up := err == nil; up != l.up {
		l.up = up
		if up {
			l.p.log.Info("peer is reachable", zap.String("host", string(l.to)))
		} else {
			l.p.log.Warn("peer is unreachable; dropping messages and reconnecting", zap.String("host", string(l.to)), zap.Error(err))
		}
	}
}
