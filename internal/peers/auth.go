package peers

import (
	"context"
	"crypto/tls"

	"github.com/laburnummux/laburnummux/internal/certs"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/peer"
	"google.golang.org/grpc/status"
)

// Auth configures mutual TLS between entry hosts.
type Auth struct {
	ClientConfig func(to keys.Host) *tls.Config // returns the TLS configuration of connections to a host
	IsEntryHost  func(from keys.Host) bool      // reports whether the host is an entry host
}

// Secure switches from plain text to mutual TLS. It must be called before Run and
// before the gRPC server starts. The server must be configured for TLS with
// verified client certificates.
func (p *Peers) Secure(a Auth) { p.auth = &a }

func (p *Peers) credentials(to keys.Host) credentials.TransportCredentials {
	if p.auth == nil {
		return insecure.NewCredentials()
	}
	return credentials.NewTLS(p.auth.ClientConfig(to))
}

// authenticate checks that the client certificate names the sender. Otherwise
// any host with a certificate of the CA could request promises in the name of
// another host.
func (p *Peers) authenticate(ctx context.Context, from keys.Host) error {
	if p.auth == nil {
		return nil
	}
	c, _ := peer.FromContext(ctx)
	if c == nil {
		return status.Error(codes.Unauthenticated, "peers: no connection")
	}
	info, ok := c.AuthInfo.(credentials.TLSInfo)
	if !ok || len(info.State.VerifiedChains) == 0 {
		return status.Error(codes.Unauthenticated, "peers: a client certificate is required")
	}
	if !certs.HasName(info.State.VerifiedChains[0][0], string(from)) {
		return status.Errorf(codes.PermissionDenied, "peers: the certificate doesn't name the sender %q", from)
	}
	if !p.auth.IsEntryHost(from) {
		return status.Errorf(codes.PermissionDenied, "peers: %q is not an entry host of the host list", from)
	}
	return nil
}
