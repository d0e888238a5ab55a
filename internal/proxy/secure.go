package proxy

import (
	"context"
	"crypto/tls"
	"net"
	"time"
)

// handshakeTimeout bounds a TLS handshake. A key must be served again within
// 1 s of a loss, so a host that accepts connections and then hangs must be
// noticed earlier.
const handshakeTimeout = 500 * time.Millisecond

// NewSecurePool returns a pool whose connections use TLS, or plain text if cfg
// is nil.
func NewSecurePool(address string, l Limits, cfg *tls.Config) *Pool {
	p := NewPool(address, l)
	if cfg != nil {
		p.scheme = "https"
		p.tr.DialTLSContext = secureDialer(p.tr.DialContext, cfg)
	}
	return p
}

type dialer func(ctx context.Context, network, address string) (net.Conn, error)

// secureDialer returns a dialer that adds a TLS handshake. Nothing of a request
// is sent before the handshake, so its failure counts as a failed connection
// and another host may be tried.
func secureDialer(dial dialer, cfg *tls.Config) dialer {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		raw, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
		defer cancel()
		c := tls.Client(raw, cfg)
		if err = c.HandshakeContext(ctx); err != nil {
			raw.Close()
			return nil, &net.OpError{Op: "dial", Net: network, Addr: raw.RemoteAddr(), Err: err}
		}
		return c, nil
	}
}
