// Package certs loads certificates, keys and CAs from files, builds TLS
// configurations from them, and reloads the files when they change.
//
// The files can be replaced while the process runs: connections that are opened
// afterwards use the new ones. Files that are incomplete or don't match each
// other are rejected.
//
// # Usage
//
//	s, err := certs.Load("peers", certs.Files{Certificate: "host.pem", Key: "host.key", CA: "ca.pem"}, log)
//	ln = tls.NewListener(ln, s.Server(certs.ServerOptions{MinVersion: tls.VersionTLS13, ClientAuth: certs.Required}))
//	cfg := s.Client(tls.VersionTLS13, "north-1-b") // the server's certificate must have this name
//	s.Check(clk.Now())                             // called periodically by a worker
package certs

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"
)

// Files holds the names of the PEM files of a section. Certificate and Key must
// be set together or not at all.
type Files struct {
	Certificate string // the leaf first, then intermediate certificates
	Key         string
	CA          string // one or more CAs that sign the peer's certificates
}

// credentials holds the parsed contents of the files of a section.
type credentials struct {
	cert  *tls.Certificate // nil without a certificate file
	roots *x509.CertPool   // nil without a CA file
}

// Source holds the current certificate, key and CA of one section of the
// settings.
type Source struct{ *FileWatcher[credentials] }

// Load reads and checks the files of a section.
func Load(section string, f Files, log *zap.Logger) (*Source, error) {
	if (f.Certificate == "") != (f.Key == "") {
		return nil, fmt.Errorf("certs: %s: a certificate and its key are required together", section)
	}
	w, err := NewFileWatcher(section, log, func(c [][]byte) (*credentials, error) { return parseCredentials(f, c) }, f.Certificate, f.Key, f.CA)
	if err != nil {
		return nil, err
	}
	return &Source{w}, nil
}

// parseCredentials parses the contents of the files. Its errors never contain
// contents of a file, because one of the files is a private key.
func parseCredentials(f Files, contents [][]byte) (*credentials, error) {
	var creds credentials
	if f.Certificate != "" {
		if _, err := parseCertificates(contents[0]); err != nil {
			return nil, fmt.Errorf("certificate %s: %w", f.Certificate, err)
		}
		pair, err := tls.X509KeyPair(contents[0], contents[1])
		if err != nil {
			return nil, fmt.Errorf("certificate %s with key %s: %w", f.Certificate, f.Key, err)
		}
		creds.cert = &pair
	}
	if f.CA != "" {
		cas, err := parseCertificates(contents[2])
		if err != nil {
			return nil, fmt.Errorf("CA %s: %w", f.CA, err)
		}
		creds.roots = x509.NewCertPool()
		for _, c := range cas {
			creds.roots.AddCert(c)
		}
	}
	return &creds, nil
}

// parseCertificates returns the certificates of a PEM file. It rejects a file
// with an unterminated block: the standard library skips such a block, so that a
// truncated bundle would be accepted as complete.
func parseCertificates(b []byte) (certs []*x509.Certificate, err error) {
	for {
		var p *pem.Block
		if p, b = pem.Decode(b); p == nil {
			break
		}
		if p.Type != "CERTIFICATE" {
			return nil, fmt.Errorf("has a block of type %q; CERTIFICATE is required", p.Type)
		}
		c, err := x509.ParseCertificate(p.Bytes)
		if err != nil {
			return nil, err
		}
		certs = append(certs, c)
	}
	if len(certs) == 0 || bytes.Contains(b, []byte("-----")) {
		return nil, errors.New("is empty or incomplete; PEM blocks of certificates are required")
	}
	return certs, nil
}

// ClientAuth is a server's policy for client certificates.
type ClientAuth int

// Policies for client certificates. They have an effect only if the section has a
// CA; without one, no certificate is requested.
const (
	NotRequested ClientAuth = iota // clients send no certificate
	Optional                       // a certificate is not required, but must be valid
	Required                       // a valid certificate is required
)

// ServerOptions configures the server side of TLS connections.
type ServerOptions struct {
	MinVersion   uint16 // minimum TLS version
	ClientAuth   ClientAuth
	VerifyClient func(*x509.Certificate) error // additional check of a client's valid certificate; may be nil
	NextProtos   []string                      // ALPN protocols
}

// Server returns the TLS configuration of a listener.
func (s *Source) Server(o ServerOptions) *tls.Config {
	return &tls.Config{
		MinVersion: o.MinVersion, NextProtos: o.NextProtos,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return s.serverConfig(o), nil },
	}
}

func (s *Source) serverConfig(o ServerOptions) *tls.Config {
	creds := s.Value()
	cfg := &tls.Config{MinVersion: o.MinVersion, NextProtos: o.NextProtos, Certificates: []tls.Certificate{*creds.cert}}
	if o.ClientAuth == NotRequested || creds.roots == nil {
		return cfg
	}
	// A resumed session would still be accepted after its CA was removed.
	cfg.SessionTicketsDisabled = true
	cfg.ClientCAs, cfg.ClientAuth = creds.roots, tls.VerifyClientCertIfGiven
	if o.ClientAuth == Required {
		cfg.ClientAuth = tls.RequireAndVerifyClientCert
	}
	if o.VerifyClient != nil {
		cfg.VerifyConnection = func(cs tls.ConnectionState) error {
			if len(cs.PeerCertificates) == 0 {
				return nil
			}
			return o.VerifyClient(cs.PeerCertificates[0])
		}
	}
	return cfg
}

// Client returns the TLS configuration of connections to a server whose
// certificate must be signed by the CA and have one of the names.
func (s *Source) Client(minVersion uint16, names ...string) *tls.Config {
	cfg := &tls.Config{
		MinVersion: minVersion,
		// The standard verification supports neither names in URIs nor a CA
		// that is reloaded. VerifyConnection replaces it completely.
		InsecureSkipVerify: true,
		VerifyConnection:   func(cs tls.ConnectionState) error { return s.verifyServer(cs, names) },
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			creds := s.Value()
			if creds.cert == nil {
				return &tls.Certificate{}, nil
			}
			// The server would reject an expired certificate only after the
			// client's part of the handshake, when the client may already have
			// sent a request.
			if at := creds.cert.Leaf.NotAfter; time.Now().After(at) {
				return nil, fmt.Errorf("certs: %s: the client certificate expired at %s", s.Name(), at.Format(time.RFC3339))
			}
			return creds.cert, nil
		},
	}
	if len(names) > 0 && net.ParseIP(names[0]) == nil {
		cfg.ServerName = names[0]
	}
	return cfg
}

func (s *Source) verifyServer(cs tls.ConnectionState, names []string) error {
	if len(cs.PeerCertificates) == 0 {
		return errors.New("certs.verifyServer: the server sent no certificate")
	}
	creds := s.Value()
	if creds.roots == nil {
		return errors.New("certs.verifyServer: no CA is configured for the server's certificate")
	}
	leaf := cs.PeerCertificates[0]
	opts := x509.VerifyOptions{Roots: creds.roots, Intermediates: x509.NewCertPool()}
	for _, c := range cs.PeerCertificates[1:] {
		opts.Intermediates.AddCert(c)
	}
	if _, err := leaf.Verify(opts); err != nil {
		return fmt.Errorf("certs.verifyServer: %w", err)
	}
	for _, n := range names {
		if HasName(leaf, n) {
			return nil
		}
	}
	return fmt.Errorf("certs.verifyServer: the server's certificate is for %q; one of %q is required", Names(leaf), names)
}

// Names returns the DNS names, URIs and IP addresses of a certificate.
func Names(c *x509.Certificate) (names []string) {
	names = slices.Clone(c.DNSNames)
	for _, u := range c.URIs {
		names = append(names, u.String())
	}
	for _, ip := range c.IPAddresses {
		names = append(names, ip.String())
	}
	return names
}

// HasName reports whether a certificate has exactly the name. Wildcards are not
// expanded, because one wildcard certificate would be valid for every host.
func HasName(c *x509.Certificate, name string) bool {
	return name != "" && slices.Contains(Names(c), name)
}

// NotAfter returns when the current certificate expires, in Unix seconds, or 0
// without a certificate.
func (s *Source) NotAfter() int64 {
	creds := s.Value()
	if creds.cert == nil {
		return 0
	}
	return creds.cert.Leaf.NotAfter.Unix()
}
