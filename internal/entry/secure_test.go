package entry_test

import (
	"context"
	"crypto/sha256"
	"crypto/tls"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/laburnummux/laburnummux/internal/certs"
	"github.com/laburnummux/laburnummux/internal/devel"
	"github.com/laburnummux/laburnummux/internal/fakes"
	"github.com/laburnummux/laburnummux/internal/peerpb"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"github.com/matryer/is"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"
)

const secret = "operators-token-of-tui"

// secureSystem is a system with TLS on all connections.
type secureSystem struct {
	*devel.System
	t                *testing.T
	ca, staff, other *fakes.Authority
	logs             *observer.ObservedLogs
}

// issue issues a certificate of ca for the names and loads it.
func (s *secureSystem) issue(ca *fakes.Authority, name string, valid time.Duration, names ...string) *certs.Source {
	s.t.Helper()
	f, err := ca.Issue(name, valid, names...)
	if err != nil {
		s.t.Fatal(err)
	}
	f.CA = s.ca.CAFile()
	return s.load(f)
}

func (s *secureSystem) load(f certs.Files) *certs.Source {
	s.t.Helper()
	src, err := certs.Load("test", f, zap.NewNop())
	if err != nil {
		s.t.Fatal(err)
	}
	return src
}

// expired returns the TLS configuration of a client that presents an expired
// certificate, which the client side of package certs refuses to do.
func (s *secureSystem) expired(ca *fakes.Authority, name, san, server string) *tls.Config {
	s.t.Helper()
	f, err := ca.Issue(name, -time.Minute, san)
	if err != nil {
		s.t.Fatal(err)
	}
	c, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		s.t.Fatal(err)
	}
	cfg := s.load(certs.Files{CA: s.ca.CAFile()}).Client(tls.VersionTLS12, server)
	cfg.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return &c, nil }
	return cfg
}

func startSecureSystem(t *testing.T) *secureSystem {
	t.Helper()
	dir := t.TempDir()
	s := &secureSystem{t: t}
	for name, dst := range map[string]**fakes.Authority{"ca": &s.ca, "staff": &s.staff, "other": &s.other} {
		a, err := fakes.NewAuthority(dir, name)
		if err != nil {
			t.Fatal(err)
		}
		*dst = a
	}
	tokens := filepath.Join(dir, "tokens.jsonc")
	sum := sha256.Sum256([]byte(secret))
	if err := os.WriteFile(tokens, fmt.Appendf(nil, `{"tui": "%s"}`, hex.EncodeToString(sum[:])), 0o600); err != nil {
		t.Fatal(err)
	}
	local := s.issue(s.ca, "local", time.Hour, "127.0.0.1")
	core, logs := observer.New(zap.DebugLevel)
	s.logs = logs
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	sys, err := devel.Start(ctx, devel.Config{Hosts: 1, Servers: 2, Log: zap.New(core), TLS: &devel.TLS{
		Servers: local.Server(certs.ServerOptions{MinVersion: tls.VersionTLS12, ClientAuth: certs.Required}),
		Store:   local.Client(tls.VersionTLS12, "127.0.0.1"),
		Settings: func(h keys.Host) map[string]any {
			s.issue(s.ca, string(h), time.Hour, string(h))
			files := func(name, ca string) map[string]string {
				m := map[string]string{"certificate": filepath.Join(dir, name+".pem"), "key": filepath.Join(dir, name+".key")}
				if ca != "" {
					m["ca"] = ca
				}
				return m
			}
			return map[string]any{"operatorsTokens": tokens, "tls": map[string]any{
				"callers": files("local", ""), "peers": files(string(h), s.ca.CAFile()), "operators": files("local", s.staff.CAFile()),
				"servers": files("local", s.ca.CAFile()),
			}}
		},
	}})
	if err != nil {
		t.Fatal(err)
	}
	s.System = sys
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		if err := sys.Stop(ctx); err != nil {
			t.Error(err)
		}
	})
	if err := sys.WaitOwned(ctx); err != nil {
		t.Fatal(err)
	}
	return s
}

// do sends a request. It returns status 0 if there is no HTTP response.
func (s *secureSystem) do(cfg *tls.Config, method, url string, h http.Header) (status int, body string) {
	s.t.Helper()
	tr := &http.Transport{TLSClientConfig: cfg, DisableKeepAlives: true}
	req, err := http.NewRequestWithContext(s.t.Context(), method, url, nil)
	if err != nil {
		s.t.Fatal(err)
	}
	if h != nil {
		req.Header = h
	}
	resp, err := tr.RoundTrip(req)
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	return resp.StatusCode, string(b)
}

// Guards against access without valid credentials, with TLS on all connections.
// The accepted cases show that the refused ones fail for the intended reason.
func TestAccess(t *testing.T) {
	s := startSecureSystem(t)
	h := s.Hosts()[0]
	l := h.Settings().Listen()
	noCertificate := s.load(certs.Files{CA: s.ca.CAFile()}).Client(tls.VersionTLS12, "127.0.0.1")
	as := func(ca *fakes.Authority, name string, valid time.Duration, san string) *tls.Config {
		return s.issue(ca, name, valid, san).Client(tls.VersionTLS12, "127.0.0.1")
	}
	toHost := func(src *certs.Source) *tls.Config { return src.Client(tls.VersionTLS13, string(h.Settings().Host())) }
	bearer := func(token string) http.Header { return http.Header{"Authorization": {"Bearer " + token}} }
	relayed := http.Header{"Laburnummux-Service": {"ledger"}, "Laburnummux-Operation": {"read"}, "Laburnummux-Data-Centre": {"north-1"}, "Laburnummux-Cell": {"0"}}
	hostNoCertificate := toHost(s.load(certs.Files{CA: s.ca.CAFile()}))
	otherCA := toHost(s.issue(s.other, "foreign", time.Hour, "north-2-a"))
	unlistedHost := toHost(s.issue(s.ca, "stranger", time.Hour, "stranger"))
	backendServer := toHost(s.issue(s.ca, "backend", time.Hour, string(s.Servers()[0])))
	twoNames := toHost(s.issue(s.ca, "two-names", time.Hour, "north-2-a", "removed"))
	expired := s.expired(s.ca, "expired", "north-2-a", "north-1-a")
	entryHost := toHost(s.issue(s.ca, "peer", time.Hour, "north-2-a"))
	staff := as(s.staff, "kea", time.Hour, "kea")
	callers, relay, operators := "https://"+l.Callers().String(), "https://"+l.Relay().String(), "https://"+l.Operators().String()

	type access struct {
		name   string
		cfg    *tls.Config
		method string
		url    string
		header http.Header
		want   int // 0: no HTTP response
	}
	tests := []access{
		{"caller in plain text", nil, "GET", "http://" + l.Callers().String() + "/ledger/tin-1", nil, 400},
		{"caller", noCertificate, "GET", callers + "/ledger/tin-1", nil, 200},
		{"relay: without certificate", hostNoCertificate, "GET", relay + "/ledger/tin-1", relayed, 0},
		{"relay: another CA", otherCA, "GET", relay + "/ledger/tin-1", relayed, 0},
		{"relay: no host", unlistedHost, "GET", relay + "/ledger/tin-1", relayed, 0},
		{"relay: backend server", backendServer, "GET", relay + "/ledger/tin-1", relayed, 0},
		{"relay: expired", expired, "GET", relay + "/ledger/tin-1", relayed, 0},
		{"relay: host", entryHost, "GET", relay + "/ledger/tin-1", nil, 421}, // without the headers of a relayed request
		{"operators: plain text", nil, "GET", "http://" + l.Operators().String() + "/status", bearer(secret), 400},
		{"operators: certificate of the hosts", as(s.ca, "x", time.Hour, "north-1-a"), "GET", operators + "/status", nil, 0},
		{"operators: certificate of another CA", as(s.other, "y", time.Hour, "kea"), "GET", operators + "/status", bearer(secret), 0},
		{"operators: expired certificate", s.expired(s.staff, "z", "kea", "127.0.0.1"), "GET", operators + "/status", nil, 0},
		{"operators: certificate", staff, "GET", operators + "/status", nil, 200},
		{"operators: token", noCertificate, "GET", operators + "/status", bearer(secret), 200},
		{"operators: token in the query", noCertificate, "GET", operators + "/status?token=" + secret, nil, 401},
		{"operators: health", noCertificate, "GET", operators + "/healthz", nil, 204},
		{"operators: readiness", noCertificate, "GET", operators + "/readyz", nil, 204},
		{"operators: post to health", noCertificate, "POST", operators + "/healthz", nil, 401},
		{"operators: dot segments", noCertificate, "GET", operators + "/healthz/../dump", nil, 401},
	}
	for _, path := range []string{"/status", "/dump", "/metrics", "/owner/ledger/tin-1", "/healthz", "/readyz"} {
		tests = append(tests, access{"callers' listener: " + path, noCertificate, "GET", callers + path, bearer(secret), 404})
	}
	for _, path := range []string{"/status", "/dump", "/metrics", "/owner/ledger/tin-1", "/nothing"} {
		for _, header := range []http.Header{nil, bearer("wrong"), {"Authorization": {"Basic " + secret}}} {
			tests = append(tests, access{"operators: " + path, noCertificate, "GET", operators + path, header, 401})
		}
	}
	for _, method := range []string{"POST", "PUT", "DELETE", "PATCH"} {
		tests = append(tests, access{"operators: " + method, noCertificate, method, operators + "/apply", bearer("wrong"), 401})
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			got, body := s.do(tt.cfg, tt.method, tt.url, tt.header)
			if got != tt.want {
				t.Errorf("status %d, want %d: %s", got, tt.want, body)
			}
		})
	}

	batches := []struct {
		name string
		cfg  *tls.Config
		from string
		want codes.Code
	}{
		{"without certificate", hostNoCertificate, "north-2-a", codes.Unavailable},
		{"another CA", otherCA, "north-2-a", codes.Unavailable},
		{"no host", unlistedHost, "stranger", codes.Unavailable},
		{"expired", expired, "north-2-a", codes.Unavailable},
		{"in the name of another host", entryHost, "north-1-a", codes.PermissionDenied},
		{"in the name of no host", entryHost, "stranger", codes.PermissionDenied},
		{"in a second name that isn't listed", twoNames, "removed", codes.PermissionDenied},
		{"without a name", entryHost, "", codes.InvalidArgument},
		{"host", entryHost, "north-2-a", codes.OK},
	}
	for _, tt := range batches {
		t.Run("exchange: "+tt.name, func(t *testing.T) {
			conn, err := grpc.NewClient("passthrough:///"+l.Peers().String(), grpc.WithTransportCredentials(credentials.NewTLS(tt.cfg)))
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_, err = peerpb.NewPeerClient(conn).Exchange(t.Context(), &peerpb.Batch{From: tt.from, Boot: 1})
			if got := status.Code(err); got != tt.want {
				t.Errorf("%v, want %v: %v", got, tt.want, err)
			}
		})
	}

	t.Run("audit", func(t *testing.T) {
		is := is.New(t)
		for cfg, header := range map[*tls.Config]http.Header{noCertificate: bearer(secret), staff: nil} {
			code, _ := s.do(cfg, "POST", operators+"/nothing?token="+secret, header)
			is.Equal(code, 404)
		}
		who := make(map[any]bool)
		for _, e := range s.logs.FilterMessage("operator's call").All() {
			m := e.ContextMap()
			is.Equal(m["what"], "POST /nothing")
			is.Equal(m["revision"], uint64(1))
			is.Equal(m["status"], int64(404))
			who[m["who"]] = true
		}
		is.Equal(who, map[any]bool{"tui": true, "kea": true}) // and no refused calls
	})
	t.Run("metrics", func(t *testing.T) {
		is := is.New(t)
		_, text := s.do(staff, "GET", operators+"/metrics", nil)
		for _, section := range []string{"callers", "peers", "operators", "servers"} {
			is.True(strings.Contains(text, `laburnummux_certificate_expiry_seconds{section="`+section+`"} 1`))
		}
		is.True(strings.Contains(text, `laburnummux_certificate_reloads_total{result="taken",section="operatorsTokens"} 0`))
		is.True(!strings.Contains(text, "laburnummux_operator_calls_refused_total 0"))
	})
	t.Run("no secret is shown", func(t *testing.T) {
		is := is.New(t)
		_, dump := s.do(staff, "GET", operators+"/dump", nil)
		is.True(strings.Contains(dump, "cells"))
		sum := sha256.Sum256([]byte(secret))
		lines := fmt.Sprint(s.logs.All())
		for _, word := range []string{secret, hex.EncodeToString(sum[:]), "PRIVATE"} {
			is.True(!strings.Contains(dump+lines, word))
		}
	})
}

// Guards against a caller who chooses the server, the hash or the fencing token by
// sending internal headers. Requests also pass through the relay, with TLS.
func TestCallersHeadersIgnored(t *testing.T) {
	is := is.New(t)
	s := startSecureSystem(t)
	cfg := s.load(certs.Files{CA: s.ca.CAFile()}).Client(tls.VersionTLS12, "127.0.0.1")
	for k := range 6 {
		var want fakes.Response
		path := fmt.Sprintf("/ledger/tin-%d", k)
		for _, h := range s.Hosts() {
			for _, forged := range []http.Header{{}, {
				answer.HeaderServer: {string(s.Servers()[k])}, answer.HeaderHash: {"0000000000000001"},
				answer.HeaderFence: {"ffffffff.1"}, "Laburnummux-Cell": {"7"}, "Laburnummux-Data-Centre": {"north-9"},
				"Laburnummux-Service": {"bookings"}, "Laburnummux-Caller": {"root"},
			}} {
				code, body := s.do(cfg, "GET", "https://"+h.CallerAddr()+path, forged)
				is.Equal(code, http.StatusOK)
				var a fakes.Response
				is.NoErr(json.Unmarshal([]byte(body), &a))
				if want.Server == "" {
					want = a
				}
				is.Equal(a.Server, want.Server)
				is.Equal(a.Hash, keys.HashOf("ledger", fmt.Sprintf("tin-%d", k)))
				is.True(a.Fence.Term() < 1<<31) // not the forged token
			}
		}
	}
}
