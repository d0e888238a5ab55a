package proxy

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"go.uber.org/zap"
)

// handshakeTimeout bounds a TLS handshake. A key must be served again within
// 1 s of the loss of a host, so a host that accepts connections but doesn't
// complete the handshake must be detected in less time.
const handshakeTimeout = 500 * time.Millisecond

// NewSecurePool returns a pool for the address whose connections use TLS, or
// plain text if cfg is nil.
func NewSecurePool(address string, l Limits, cfg *tls.Config) *Pool {
	p := &Pool{address: address, scheme: "http", malformed: func(error, ...zap.Field) {}}
	if cfg != nil {
		p.scheme = "https"
	}
	p.transport = p.newTransport(l, cfg)
	return p
}

type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// secureDialer returns a dialer that adds a TLS handshake. No part of a request
// is sent before the handshake completes, so a failed handshake is reported as
// a dial error and the request may be sent to another host.
func secureDialer(dial dialFunc, cfg *tls.Config) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		defer cancel()
		c := tls.Client(conn, cfg)
		if err = c.HandshakeContext(ctx); err != nil {
			conn.Close()
			return nil, &net.OpError{Op: "dial", Net: network, Addr: conn.RemoteAddr(), Err: err}
		}
		return c, nil
	}
}
