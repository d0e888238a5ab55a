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

func authority(t *testing.T, dir, name string) *fakes.Authority {
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

func load(t *testing.T, f certs.Files) *certs.Set {
	t.Helper()
	s, err := certs.Load("test", f, zap.NewNop())
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// handshake returns the errors of both sides. A client may learn only after its
// part of the handshake that it was refused.
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
		raw.Close() // or the server would wait for the rest
	}
	return <-done, clientErr
}

// Guards against a side that is accepted without a certificate, with one of
// another CA, an expired one, an old TLS version, or one for another name.
func TestRefusedHandshakes(t *testing.T) {
	ca, other := authority(t, t.TempDir(), "ca"), authority(t, t.TempDir(), "other")
	server := issue(t, ca, "north-1-a", time.Hour, "north-1-a")
	good := issue(t, ca, "north-1-b", time.Hour, "north-1-b")
	byURI := issue(t, ca, "uri", time.Hour, "host:north-1-b")
	foreign := issue(t, other, "north-1-b", time.Hour, "north-1-b")
	foreign.CA = ca.CA()
	alien := issue(t, other, "north-1-a", time.Hour, "north-1-a")
	expired := issue(t, ca, "expired", -time.Minute, "north-1-b")
	expiredServer := issue(t, ca, "expired-server", -time.Minute, "north-1-a")
	wildcard := issue(t, ca, "wildcard", time.Hour, "*")
	tests := []struct {
		name           string
		server, client certs.Files
		expect         string
		old            bool
		ok             bool
	}{
		{"good", server, good, "north-1-a", false, true},
		{"URI", byURI, good, "host:north-1-b", false, true},
		{"no client certificate", server, certs.Files{CA: ca.CA()}, "north-1-a", false, false},
		{"client of another CA", server, foreign, "north-1-a", false, false},
		{"expired client", server, expired, "north-1-a", false, false},
		{"expired client that insists", server, expired, "north-1-a", false, false},
		{"TLS 1.2", server, good, "north-1-a", true, false},
		{"server of another CA", alien, good, "north-1-a", false, false},
		{"expired server", expiredServer, good, "north-1-a", false, false},
		{"server of another name", server, good, "north-1-c", false, false},
		{"server with a wildcard", wildcard, good, "north-1-a", false, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tt.server.CA = ca.CA()
			sc := load(t, tt.server).Server(certs.ServerOptions{Min: tls.VersionTLS13, Clients: certs.Required})
			cc := load(t, tt.client).Client(tls.VersionTLS12, tt.expect)
			if tt.name == "expired client that insists" {
				cc.GetClientCertificate = insist(t, tt.client)
			}
			if tt.old {
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

// Guards against a new pair that is taken while its files are half written or
// don't match, against an old one that stays, and against reading the files
// at each call.
func TestReload(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	ca := authority(t, dir, "ca")
	f := issue(t, ca, "host", time.Hour, "old")
	next := issue(t, ca, "next", time.Hour, "new")
	newCert, newKey, bundle := read(t, next.Certificate), read(t, next.Key), read(t, ca.CA())
	set := load(t, f)
	now := clock.Time(0)
	set.Check(now)
	serves := func(name string) {
		t.Helper()
		serverErr, clientErr := handshake(t,
			set.Server(certs.ServerOptions{Min: tls.VersionTLS13, Clients: certs.Required}), set.Client(tls.VersionTLS13, name))
		is.NoErr(serverErr)
		is.NoErr(clientErr)
	}
	check := func(name string, want certs.Counters) {
		t.Helper()
		now = now.Add(certs.CheckPeriod)
		set.Check(now)
		is.Equal(set.Counters(), want)
		serves(name)
	}
	check("old", certs.Counters{})
	write(t, f.Certificate, newCert[:len(newCert)/2])
	check("old", certs.Counters{Refusals: 1})
	check("old", certs.Counters{Refusals: 1}) // counted once per change
	write(t, f.Certificate, newCert)
	check("old", certs.Counters{Refusals: 2}) // the key is still the old one
	is.NoErr(os.Remove(f.Key))
	check("old", certs.Counters{Refusals: 3})
	write(t, f.Key, newKey)
	set.Check(now) // too early
	serves("old")
	check("new", certs.Counters{Reloads: 1, Refusals: 3})

	// Half of a bundle must not drop the second CA.
	second := read(t, authority(t, t.TempDir(), "second").CA())
	write(t, f.CA, append(bundle, second[:len(second)/2]...))
	check("new", certs.Counters{Reloads: 1, Refusals: 4})
	write(t, f.CA, append(bundle, second...))
	check("new", certs.Counters{Reloads: 2, Refusals: 4})
}

// Guards against a process that starts with files that can't work.
func TestLoadRefuses(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	ca := authority(t, dir, "ca")
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

// insist returns a callback for a client that shows a certificate in any case.
func insist(t *testing.T, f certs.Files) func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
	t.Helper()
	c, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		t.Fatal(err)
	}
	return func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &c, nil }
}

func read(t *testing.T, file string) []byte {
	t.Helper()
	b, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

func write(t *testing.T, file string, b []byte) {
	t.Helper()
	if err := os.WriteFile(file, b, 0o600); err != nil {
		t.Fatal(err)
	}
}
