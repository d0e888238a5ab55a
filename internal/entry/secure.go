package entry

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"slices"
	"sync/atomic"
	"time"

	"github.com/laburnummux/laburnummux/internal/auth"
	"github.com/laburnummux/laburnummux/internal/caller"
	"github.com/laburnummux/laburnummux/internal/certs"
	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/internal/peers"
	"github.com/laburnummux/laburnummux/internal/store"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"github.com/prometheus/client_golang/prometheus"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
)

// filePollInterval is the interval of the checks for changed files. Package certs
// reads each file at most once per certs.CheckInterval.
const filePollInterval = time.Second

// security has the certificates of each kind of connection and the operators'
// credentials. A nil Source means plain text.
type security struct {
	callers, peers, operators, servers *certs.Source
	tokens                             *auth.Tokens
	authenticator                      *auth.Authenticator
	isPeer                             func(keys.Host) bool
	failedHandshakes, refusedCalls     atomic.Uint64 // refusedCalls are operators' calls
}

// loadSecurity loads the certificates and tokens whose files are in the settings.
func (h *Host) loadSecurity() (err error) {
	s := &h.security
	t := h.settings.TLS()
	sections := []struct {
		name  string
		files certs.Files
		dst   **certs.Source
	}{
		{"callers", t.Callers(), &s.callers}, {"peers", t.Peers(), &s.peers},
		{"operators", t.Operators(), &s.operators}, {"servers", t.Servers(), &s.servers},
	}
	for _, x := range sections {
		if x.files == (certs.Files{}) {
			continue
		}
		if *x.dst, err = certs.Load(x.name, x.files, h.log); err != nil {
			return fmt.Errorf("entry.loadSecurity: %w", err)
		}
		h.checkers = append(h.checkers, *x.dst)
	}
	if f := h.settings.OperatorsTokens(); f != "" {
		if s.tokens, err = auth.LoadTokens(f, h.log); err != nil {
			return fmt.Errorf("entry.loadSecurity: %w", err)
		}
		h.checkers = append(h.checkers, s.tokens)
	}
	s.authenticator = auth.New(auth.Config{Tokens: s.tokens, Certificates: t.Operators().CA != ""})
	s.isPeer = h.isEntryHost
	if s.peers != nil {
		h.peers.Secure(peers.Auth{ClientConfig: s.hostTLS, IsEntryHost: h.isEntryHost})
	}
	h.metrics.Register(&securityCollector{h})
	return nil
}

// pollFiles checks the files of certificates and tokens for changes.
func (h *Host) pollFiles(ctx context.Context) error {
	t := time.NewTicker(filePollInterval)
	defer t.Stop()
	for {
		for _, w := range h.checkers {
			w.Check(h.clk.Now())
		}
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
	}
}

// isEntryHost reports whether the host is in the host list or in this host's
// group. The group is accepted because a host that starts during an outage of the
// store has no host list.
func (h *Host) isEntryHost(name keys.Host) bool {
	if slices.Contains(h.settings.Group(), name) {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	m, ok := h.members[string(name)]
	return ok && m.Role() == store.RoleEntry
}

// acceptHost accepts a certificate that names an entry host.
func (s *security) acceptHost(c *x509.Certificate) error {
	for _, n := range certs.Names(c) {
		if s.isPeer(keys.Host(n)) {
			return nil
		}
	}
	return fmt.Errorf("entry: peer certificate is for %q, which is not an entry host in the host list or group", certs.Names(c))
}

// hostTLS returns the TLS configuration for connections to an entry host, or nil
// for plain text.
func (s *security) hostTLS(name keys.Host) *tls.Config {
	if s.peers == nil {
		return nil
	}
	return s.peers.Client(tls.VersionTLS13, string(name))
}

// serverTLS returns the TLS configuration for connections to a backend server,
// whose certificate is for its name or its IP address, or nil for plain text.
func (s *security) serverTLS(name keys.Server, address string) *tls.Config {
	if s.servers == nil {
		return nil
	}
	ip, _, _ := net.SplitHostPort(address)
	return s.servers.Client(tls.VersionTLS12, string(name), ip)
}

func scheme(c *tls.Config) string {
	if c == nil {
		return "http://"
	}
	return "https://"
}

func (s *security) peerOptions(protocol string) certs.ServerOptions {
	return certs.ServerOptions{
		MinVersion: tls.VersionTLS13, ClientAuth: certs.Required, VerifyClient: s.acceptHost, NextProtos: []string{protocol},
	}
}

func (s *security) grpcOptions() []grpc.ServerOption {
	if s.peers == nil {
		return nil
	}
	return []grpc.ServerOption{grpc.Creds(credentials.NewTLS(s.peers.Server(s.peerOptions("h2"))))}
}

// secureListeners adds TLS to the HTTP listeners whose section is configured, and the
// bounds of connections to that of callers.
func (h *Host) secureListeners(d *listeners) {
	s := &h.security
	outside := certs.ServerOptions{MinVersion: tls.VersionTLS12, NextProtos: []string{"http/1.1"}}
	operators := outside
	operators.ClientAuth = certs.Optional // health checks and tokens need no certificate
	callers := &callerListener{Listener: d.netListeners[0], intake: h.intake, readBuffer: h.intake.bounds().ReadBuffer, failedHandshakes: &s.failedHandshakes}
	if s.callers != nil {
		callers.tls = s.callers.Server(outside)
	}
	d.netListeners[0] = callers
	h.boundListeners(d)
	for i, x := range []struct {
		source *certs.Source
		opts   certs.ServerOptions
		srv    *http.Server
	}{
		1: {s.peers, s.peerOptions("http/1.1"), d.relay}, 2: {s.operators, operators, d.operators},
	} {
		if x.source != nil {
			d.netListeners[i] = tls.NewListener(d.netListeners[i], x.source.Server(x.opts))
			x.srv.ErrorLog = log.New(&handshakeLog{failed: &s.failedHandshakes, out: os.Stderr}, "", log.LstdFlags)
		}
	}
}

// boundListeners adds the bounds of connections to the listeners for other hosts and
// operators. Other hosts are authenticated before they send a request over TLS, so that
// the memory of their headers is counted as of plain ones.
func (h *Host) boundListeners(d *listeners) {
	operators := caller.Requests
	if h.security.operators != nil {
		operators = caller.EncryptedRequests
	}
	for i, x := range []struct {
		name    string
		divisor int
		content caller.Content
	}{1: {"relay", relayConnShare, caller.Requests}, 2: {"operators", operatorConnShare, operators}, 3: {"peers", peerConnShare, caller.Streams}} {
		if x.name == "" {
			continue
		}
		b := caller.NewBounds(x.name, caller.ShareOfConns(h.intake.maxConns, x.divisor), h.intake.budget, h.intake.metrics, h.log)
		d.netListeners[i] = b.Listener(d.netListeners[i], x.content, h.intake.otherBounds(x.divisor).ReadBuffer)
	}
}

// handshakeLog counts failed TLS handshakes instead of logging them, since any
// client that reaches a port can cause them. It writes other lines to out.
type handshakeLog struct {
	failed *atomic.Uint64
	out    io.Writer
}

// Write implements io.Writer.
func (l *handshakeLog) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte("TLS handshake error")) {
		l.failed.Add(1)
		return len(b), nil
	}
	return l.out.Write(b)
}

// securityCollector reports metrics of certificates, tokens and refused
// connections, calls and batches.
type securityCollector struct{ host *Host }

var (
	expiryDesc             = prometheus.NewDesc("laburnummux_certificate_expiry_seconds", "Unix time at which the certificate in force expires.", []string{"section"}, nil)
	reloadsDesc            = prometheus.NewDesc("laburnummux_certificate_reloads_total", "Changed files of certificates and tokens.", []string{"section", "result"}, nil)
	handshakesDesc         = prometheus.NewDesc("laburnummux_tls_handshakes_failed_total", "Failed handshakes of the HTTP listeners.", nil, nil)
	callsRefusedDesc       = prometheus.NewDesc("laburnummux_operator_calls_refused_total", "Operators' calls without valid credentials.", nil, nil)
	peerBatchesRefusedDesc = prometheus.NewDesc("laburnummux_peer_batches_refused_total", "Batches whose sender's certificate doesn't name it.", nil, nil)
)

// Describe implements prometheus.Collector.
func (c *securityCollector) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{expiryDesc, reloadsDesc, handshakesDesc, callsRefusedDesc, peerBatchesRefusedDesc} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *securityCollector) Collect(ch chan<- prometheus.Metric) {
	counter := func(d *prometheus.Desc, v uint64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(v), labels...)
	}
	s := &c.host.security
	for _, w := range c.host.checkers {
		if src, ok := w.(*certs.Source); ok && src.NotAfter() != 0 {
			ch <- prometheus.MustNewConstMetric(expiryDesc, prometheus.GaugeValue, float64(src.NotAfter()), src.Name())
		}
		n := w.Counters()
		counter(reloadsDesc, n.Reloads, w.Name(), "taken")
		counter(reloadsDesc, n.Refusals, w.Name(), "refused")
	}
	counter(handshakesDesc, s.failedHandshakes.Load())
	counter(callsRefusedDesc, s.refusedCalls.Load())
	counter(peerBatchesRefusedDesc, c.host.peers.Counters().Refused)
}

// Settings returns the host's settings.
func (h *Host) Settings() config.Settings { return h.settings }
