package certs_test

import (
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/laburnummux/laburnummux/internal/certs"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/fakes"
	"github.com/matryer/is"
	"go.uber.org/zap"
)

func newAuthority(t *testing.T, dir, name string) *fakes.Authority {
	t.Helper()
	a, err := fakes.NewAuthority(dir, name)
	if err != nil {
		t.Fatal(err)
	}
	return a
}

func issue(t *testing.T, a *fakes.Authority, name string, valid time.Duration, names ...string) certs.Files {
	t.Helper()
	f, err := a.Issue(name, valid, names...)
	if err != nil {
		t.Fatal(err)
	}
	return f
}

func load(t *testing.T, f certs.Files) *certs.Source {
	t.Helper()
	s, err := certs.Load("test", f, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// handshake returns the errors of both sides. If the server rejects the client,
// the client may not get an error, because its part of the handshake is already
// complete.
func handshake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	done := make(chan error, 1)
	go func() {
		c, err := ln.Accept()
		if err == nil {
			defer c.Close()
			err = tls.Server(c, server).HandshakeContext(t.Context())
		}
		done <- err
	}()
	raw, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer raw.Close()
	if clientErr = tls.Client(raw, client).HandshakeContext(t.Context()); clientErr != nil {
		raw.Close() // otherwise the server waits for the rest of the handshake
	}
	return <-done, clientErr
}

// Guards against a peer that is accepted without a certificate, with a
// certificate that is expired, of another CA or for another name, or with an old
// TLS version.
func TestRefusedHandshakes(t *testing.T) {
	ca, other := newAuthority(t, t.TempDir(), "ca"), newAuthority(t, t.TempDir(), "other")
	server := issue(t, ca, "north-1-a", time.Hour, "north-1-a")
	validClient := issue(t, ca, "north-1-b", time.Hour, "north-1-b")
	byURI := issue(t, ca, "uri", time.Hour, "host:north-1-b")
	otherCAClient := issue(t, other, "north-1-b", time.Hour, "north-1-b")
	otherCAClient.CA = ca.CAFile()
	otherCAServer := issue(t, other, "north-1-a", time.Hour, "north-1-a")
	expired := issue(t, ca, "expired", -time.Minute, "north-1-b")
	expiredServer := issue(t, ca, "expired-server", -time.Minute, "north-1-a")
	wildcard := issue(t, ca, "wildcard", time.Hour, "*")
	tests := []struct {
		name           string
		server, client certs.Files
		serverName     string
		tls12          bool
		ok             bool
	}{
		{"good", server, validClient, "north-1-a", false, true},
		{"URI", byURI, validClient, "host:north-1-b", false, true},
		{"no client certificate", server, certs.Files{CA: ca.CAFile()}, "north-1-a", false, false},
		{"client of another CA", server, otherCAClient, "north-1-a", false, false},
		{"expired client", server, expired, "north-1-a", false, false},
		{"expired client that sends its certificate", server, expired, "north-1-a", false, false},
		{"TLS 1.2", server, validClient, "north-1-a", true, false},
		{"server of another CA", otherCAServer, validClient, "north-1-a", false, false},
		{"expired server", expiredServer, validClient, "north-1-a", false, false},
		{"server of another name", server, validClient, "north-1-c", false, false},
		{"server with a wildcard", wildcard, validClient, "north-1-a", false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tt.server.CA = ca.CAFile()
			sc := load(t, tt.server).Server(certs.ServerOptions{MinVersion: tls.VersionTLS13, ClientAuth: certs.Required})
			cc := load(t, tt.client).Client(tls.VersionTLS12, tt.serverName)
			if tt.name == "expired client that sends its certificate" {
				cc.GetClientCertificate = forceCertificate(t, tt.client)
			}
			if tt.tls12 {
				cc.MaxVersion = tls.VersionTLS12
			}
			serverErr, clientErr := handshake(t, sc, cc)
			is.Equal(serverErr == nil && clientErr == nil, tt.ok)
			if tt.name == "expired client" {
				is.True(clientErr != nil) // before a request could be sent
			}
		})
	}
}

// Guards against a new certificate and key that are loaded while their files are
// half written or don't match, against an old pair that stays after a valid
// change, and against reading the files more often than every CheckInterval.
func TestReload(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	ca := newAuthority(t, dir, "ca")
	f := issue(t, ca, "host", time.Hour, "old")
	next := issue(t, ca, "next", time.Hour, "new")
	newCert, newKey, bundle := readFile(t, next.Certificate), readFile(t, next.Key), readFile(t, ca.CAFile())
	set := load(t, f)
	now := clock.Time(0)
	set.Check(now)
	serves := func(name string) {
		t.Helper()
		serverErr, clientErr := handshake(t,
			set.Server(certs.ServerOptions{MinVersion: tls.VersionTLS13, ClientAuth: certs.Required}), set.Client(tls.VersionTLS13, name))
		is.NoErr(serverErr)
		is.NoErr(clientErr)
	}
	check := func(name string, want certs.Counters) {
		t.Helper()
		now = now.Add(certs.CheckInterval)
		set.Check(now)
		is.Equal(set.Counters(), want)
		serves(name)
	}
	check("old", certs.Counters{})
	writeFile(t, f.Certificate, newCert[:len(newCert)/2])
	check("old", certs.Counters{Refusals: 1})
	check("old", certs.Counters{Refusals: 1}) // counted once per change
	writeFile(t, f.Certificate, newCert)
	check("old", certs.Counters{Refusals: 2}) // the key file still has the old key
	is.NoErr(os.Remove(f.Key))
	check("old", certs.Counters{Refusals: 3})
	writeFile(t, f.Key, newKey)
	set.Check(now) // before CheckInterval has passed
	serves("old")
	check("new", certs.Counters{Reloads: 1, Refusals: 3})

	// A half-written bundle must not be loaded with its first CA only.
	second := readFile(t, newAuthority(t, t.TempDir(), "second").CAFile())
	writeFile(t, f.CA, append(bundle, second[:len(second)/2]...))
	check("new", certs.Counters{Reloads: 1, Refusals: 4})
	writeFile(t, f.CA, append(bundle, second...))
	check("new", certs.Counters{Reloads: 2, Refusals: 4})
}

// Guards against a process that starts with invalid or incomplete files.
func TestLoadInvalidFiles(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	ca := newAuthority(t, dir, "ca")
	a, b := issue(t, ca, "a", time.Hour, "a"), issue(t, ca, "b", time.Hour, "b")
	for _, f := range []certs.Files{
		{Certificate: a.Certificate, Key: b.Key},
		{Certificate: a.Certificate},
		{Certificate: a.Certificate, Key: a.Key, CA: filepath.Join(dir, "missing")},
		{Certificate: a.Certificate, Key: a.Key, CA: a.Key},
	} {
		_, err := certs.Load("test", f, zap.NewNop())
		is.True(err != nil)
	}
}

// forceCertificate returns a GetClientCertificate callback that sends the
// certificate even if it has expired.
func forceCertificate(t *testing.T, f certs.Files) func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	t.Helper()
	c, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		t.Fatal(err)
	}
	return func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &c, nil }
}

func readFile(t *testing.T, file string) []byte {
	t.Helper()
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func writeFile(t *testing.T, file string, b []byte) {
	t.Helper()
	if err := os.WriteFile(file, b, 0o600); err != nil {
		t.Fatal(err)
	}
}
