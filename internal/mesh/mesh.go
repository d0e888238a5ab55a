// Package mesh carries short messages between entry hosts as datagrams.
//
// Nothing that has to arrive depends on it: every message states what is the
// case now and is sent again while it matters, so a lost one only makes a
// view older.
//
// # Usage
//
//	m, err := mesh.Listen(ip, port)
//	go m.Run(ctx, func(msg mesh.Message) { ... })
//	m.Send(ip, mesh.Message{Beat: &beat})
package mesh

import (
	"context"
	"fmt"
	"net"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/owner"
	"github.com/laburnummux/laburnummux/internal/retry"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// maxDatagram is the largest message, the limit of UDP over IPv4.
const maxDatagram = 65507

// Message is one datagram.
type Message struct {
	Beat   *Beat         `cbor:"1,keyasint,omitempty"`
	Report *Report       `cbor:"2,keyasint,omitempty"`
	Tables []owner.Table `cbor:"3,keyasint,omitempty"`
	// Suspects are requests that may crash servers.
	Suspects []retry.Suspicion `cbor:"4,keyasint,omitempty"`
	// Members are all hosts that the sender knows, for one that has just started.
	Members []Member `cbor:"5,keyasint,omitempty"`
}

// Beat says how a host is.
type Beat struct {
	From    keys.Host            `cbor:"1,keyasint"`
	Run     int64                `cbor:"2,keyasint"` // start of its process, Unix ms
	Seq     uint64               `cbor:"3,keyasint"`
	IP      string               `cbor:"4,keyasint"`
	Leaving bool                 `cbor:"5,keyasint,omitempty"`
	Term    uint64               `cbor:"6,keyasint,omitempty"`  // of the role, if it is the assigner
	Known   uint64               `cbor:"7,keyasint,omitempty"`  // term of its tables
	Version uint64               `cbor:"8,keyasint,omitempty"`  // version of its tables
	Busy    map[Tag]int          `cbor:"18,keyasint,omitempty"` // its requests at each server
	Waiting map[keys.Service]int `cbor:"10,keyasint,omitempty"`
	Members []Member             `cbor:"11,keyasint,omitempty"` // some of those that it knows
	Config  uint64               `cbor:"13,keyasint,omitempty"` // version of its configuration
	Servers uint64               `cbor:"14,keyasint,omitempty"` // revision of its list of servers
	Fresh   clock.Span           `cbor:"15,keyasint"`           // since the store has confirmed both to it; negative: it doesn't watch
	DC      keys.DataCentre      `cbor:"16,keyasint,omitempty"`
	Power   float64              `cbor:"17,keyasint,omitempty"` // its processor, in cores
}

// Tag stands for a server in beats, where names are most of the bytes. If two
// servers share one, the load of one is counted at the other.
type Tag uint32

// TagOf returns the tag of a server.
func TagOf(id keys.Server) Tag { return Tag(xxhash.Sum64String(string(id))) }

// Member is a host as others name it.
type Member struct {
	Host keys.Host       `cbor:"1,keyasint"`
	IP   string          `cbor:"2,keyasint"`
	DC   keys.DataCentre `cbor:"3,keyasint"`
}

// Report tells the assigner what a host has observed since its last report.
type Report struct {
	From  keys.Host                     `cbor:"1,keyasint"`
	Busy  map[keys.Service][]owner.Busy `cbor:"2,keyasint,omitempty"`
	Paces []owner.Pace                  `cbor:"3,keyasint,omitempty"`
}

// Mesh is an open socket.
type Mesh struct {
	conn *net.UDPConn
	port uint16
}

// Listen opens the socket. All hosts use the same port.
func Listen(ip string, port uint16) (m *Mesh, err error) {
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
	return &Mesh{conn: conn, port: port}, nil
}

// Encode returns a message's bytes, for sending it to several hosts.
func Encode(msg Message) (b []byte, err error) {
	if b, err = cbor.Marshal(msg); err != nil {
		return nil, fmt.Errorf("mesh: encode: %w", err)
	}
	if len(b) > maxDatagram {
		return nil, fmt.Errorf("mesh: message of %d bytes is longer than a datagram", len(b))
	}
	return b, nil
}

// Send sends encoded bytes to a host.
func (m *Mesh) Send(ip string, b []byte) error {
	addr, err := netip.ParseAddr(ip)
	if err == nil {
		_, err = m.conn.WriteToUDPAddrPort(b, netip.AddrPortFrom(addr, m.port))
	}
	if err != nil {
		return fmt.Errorf("mesh: send to %s: %w", ip, err)
	}
	return nil
}

// Run passes received messages on until ctx ends. bad is called for datagrams
// that can't be read.
func (m *Mesh) Run(ctx context.Context, got func(Message), bad func(error)) error {
	stop := context.AfterFunc(ctx, func() { m.conn.Close() })
	defer stop()
	buf := make([]byte, maxDatagram)
	for {
		n, _, err := m.conn.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return fmt.Errorf("mesh: receive: %w", err)
		}
		var msg Message
		if err := cbor.Unmarshal(buf[:n], &msg); err != nil {
			bad(fmt.Errorf("mesh: decode: %w", err))
			continue
		}
		got(msg)
	}
}
