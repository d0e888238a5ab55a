// Package mesh sends short messages between entry hosts as UDP datagrams.
//
// Delivery isn't guaranteed. Every message contains current state and is sent
// again while it matters, so a lost one only delays an update.
//
// # Usage
//
//	c, err := mesh.Listen(ip, port)
//	go c.Run(ctx, func(p mesh.Packet) { ... }, func(err error) { ... })
//	b, err := mesh.Encode(mesh.Message{Heartbeat: &heartbeat})
//	err = c.Send(ip, b)
package mesh

import (
	"context"
	"fmt"
	"net"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/owner"
	"github.com/laburnummux/laburnummux/internal/retry"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// maxMessageBytes is the largest payload of UDP over IPv4.
const maxMessageBytes = 65507

// Message is the content of one datagram. Unused parts are empty.
type Message struct {
	Heartbeat *Heartbeat    `cbor:"1,keyasint,omitempty"`
	Report    *Report       `cbor:"2,keyasint,omitempty"`
	Tables    []owner.Table `cbor:"3,keyasint,omitempty"`
	// Suspects are requests that may crash servers.
	Suspects []retry.SuspectRecord `cbor:"4,keyasint,omitempty"`
	// Members are all active hosts in the sender's list. They are sent to a host
	// that has just started.
	Members []Member `cbor:"5,keyasint,omitempty"`
	// Admission of requests to servers. Hosts of earlier versions ignore these parts.
	Asks       []Ask      `cbor:"6,keyasint,omitempty"`
	AskReplies []AskReply `cbor:"7,keyasint,omitempty"`
	AskDones   []AskDone  `cbor:"8,keyasint,omitempty"`
	// TableParts are parts of tables that are too long for one message. Hosts of earlier
	// versions, which can't get such tables, ignore them.
	TableParts []TablePart `cbor:"9,keyasint,omitempty"`
	// Losses are the latest losses of servers, for the decision about Suspects. Hosts
	// of earlier versions ignore them, so they are only sent with Suspects.
	Losses []retry.Loss `cbor:"10,keyasint,omitempty"`
}

// Heartbeat is the state that a host sends to the others periodically.
type Heartbeat struct {
	From            keys.Host            `cbor:"1,keyasint"`
	Incarnation     int64                `cbor:"2,keyasint"` // start of its process, Unix ms
	Seq             uint64               `cbor:"3,keyasint"`
	IP              string               `cbor:"4,keyasint"`
	Leaving         bool                 `cbor:"5,keyasint,omitempty"`
	Term            uint64               `cbor:"6,keyasint,omitempty"`  // term of its role if it is the assigner, else 0
	TablesTerm      uint64               `cbor:"7,keyasint,omitempty"`  // term of its tables
	TablesVersion   uint64               `cbor:"8,keyasint,omitempty"`  // version of its tables
	InFlight        map[ServerHash]int   `cbor:"18,keyasint,omitempty"` // its requests in flight at each server
	Queued          map[keys.Service]int `cbor:"10,keyasint,omitempty"` // its requests that wait for a server
	Members         []Member             `cbor:"11,keyasint,omitempty"` // some of the active hosts in its list
	ConfigVersion   uint64               `cbor:"13,keyasint,omitempty"` // version of its configuration
	ServersRev      uint64               `cbor:"14,keyasint,omitempty"` // number of the store revision of its list of servers
	ConfirmationAge clock.Span           `cbor:"15,keyasint"`           // time since the store last confirmed both to this host; negative: never
	DC              keys.DataCentre      `cbor:"16,keyasint,omitempty"`
	Cores           float64              `cbor:"17,keyasint,omitempty"` // its processor, in cores of standard speed
	ServersEpoch    uint64               `cbor:"19,keyasint,omitempty"` // epoch of ServersRev; 0 from hosts of earlier versions
	// LeavingServers are the servers that have told it that they are leaving,
	// until their registrations say so.
	LeavingServers []fleet.Incarnation `cbor:"20,keyasint,omitempty"`
	// Interval is the longest time until its next heartbeat to the receiver. It is 0
	// from hosts of earlier versions, which expect several heartbeats a second.
	Interval clock.Span `cbor:"21,keyasint,omitempty"`
	Reach    Reach      `cbor:"22,keyasint,omitempty"`
	NoLoad   bool       `cbor:"23,keyasint,omitempty"` // InFlight and Queued aren't sent to the receiver
	// GaveUpTerm is the last term in which its process gave up the assigner's role and
	// went on.
	GaveUpTerm uint64 `cbor:"30,keyasint,omitempty"`
	// EvacRev is the number of the store revision of its list of evacuated data
	// centres, and EvacEpoch its epoch. They are 0 from hosts that don't know the list.
	EvacRev   uint64 `cbor:"24,keyasint,omitempty"`
	EvacEpoch uint64 `cbor:"25,keyasint,omitempty"`
	Admits    bool   `cbor:"26,keyasint,omitempty"` // it acts as an admitter
}

// Reach says which hosts exchange frequent heartbeats with a host, besides those of
// its group.
type Reach int

// Reaches of a host.
const (
	ReachGroup Reach = iota // none
	ReachDC                 // the hosts of its data centre, and those with ReachDC in others
	ReachAll                // all hosts
)

// ServerHash stands for a server in heartbeats, which would otherwise consist
// mostly of server names. If two servers have the same hash, the load of one is
// counted at the other.
type ServerHash uint32

func HashServer(id keys.Server) ServerHash { return ServerHash(xxhash.Sum64String(string(id))) }

// Member is a host in a list of hosts.
type Member struct {
	Host keys.Host       `cbor:"1,keyasint"`
	IP   string          `cbor:"2,keyasint"`
	DC   keys.DataCentre `cbor:"3,keyasint"`
}

// Report has the observations of a host since its last report, for the assigner.
type Report struct {
	From         keys.Host                        `cbor:"1,keyasint"`
	KeyLoads     map[keys.Service][]owner.KeyLoad `cbor:"2,keyasint,omitempty"`
	ServiceTimes []owner.ServiceTime              `cbor:"3,keyasint,omitempty"`
}

// Conn is an open socket.
type Conn struct {
	conn *net.UDPConn
	port uint16
}

// Listen opens the socket. All hosts use the same port.
func Listen(ip string, port uint16) (c *Conn, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("mesh: listen: %w", err)
		}
	}()
	addr, err := netip.ParseAddr(ip)
	if err != nil {
		return nil, err
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(addr, port)))
	if err != nil {
		return nil, err
	}
	return &Conn{conn: conn, port: port}, nil
}

// Encode encodes a message, so that it can be sent to several hosts.
func Encode(msg Message) (b []byte, err error) {
	if b, err = cbor.Marshal(msg); err != nil {
		return nil, fmt.Errorf("mesh: encode: %w", err)
	}
	if len(b) > maxMessageBytes {
		return nil, fmt.Errorf("mesh: message of %d bytes exceeds the limit of %d bytes", len(b), maxMessageBytes)
	}
	return b, nil
}

// Decode decodes a message. It returns an error for one that no host can have sent.
func Decode(b []byte) (msg Message, err error) {
	if err = cbor.Unmarshal(b, &msg); err != nil {
		return Message{}, fmt.Errorf("mesh: decode message of %d bytes: %w", len(b), err)
	}
	if err = msg.check(); err != nil {
		return Message{}, err
	}
	return msg, nil
}

// Send sends encoded bytes to a host.
func (c *Conn) Send(ip string, b []byte) error {
	addr, err := netip.ParseAddr(ip)
	if err == nil {
		_, err = c.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(addr, c.port))
	}
	if err != nil {
		return fmt.Errorf("mesh: send to %s: %w", ip, err)
	}
	return nil
}

// Packet is a received message with its sender.
type Packet struct {
	Message Message
	From    netip.Addr
	Bytes   int
}

// Run calls handle for received messages until ctx ends, and malformed for
// datagrams that can't be decoded.
func (c *Conn) Run(ctx context.Context, handle func(Packet), malformed func(error)) error {
	stop := context.AfterFunc(ctx, func() { c.conn.Close() })
	defer stop()
	buf := make([]byte, maxMessageBytes)
	for {
		n, from, err := c.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("mesh: receive: %w", err)
		}
		msg, err := Decode(buf[:n])
		if err != nil {
			malformed(err)
			continue
		}
		handle(Packet{Message: msg, From: from.Addr().Unmap(), Bytes: n})
	}
}
