package head

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"

	"go.uber.org/zap"
)

// Transport is an http.RoundTripper that refuses responses with a malformed head. It
// checks the bytes on the connections of an http.Transport before that parses them, so
// such a connection isn't used again. The error of RoundTrip, or of the reading of the body
// for a trailer, wraps an *Error.
type Transport struct {
	base   *http.Transport
	report ReportFunc
}

type dialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// NewTransport returns a Transport with the settings of base, which it takes over. There is
// no HTTP/2. It calls report, which may be nil, with each error of a malformed head.
func NewTransport(base *http.Transport, report ReportFunc) *Transport {
	if report == nil {
		report = func(error, ...zap.Field) {}
	}
	if base.DialContext == nil {
		base.DialContext = new(net.Dialer).DialContext
	}
	if base.DialTLSContext == nil {
		base.DialTLSContext = dialTLS(base.DialContext, base.TLSClientConfig)
	}
	base.DialContext, base.DialTLSContext = checked(base.DialContext), checked(base.DialTLSContext)
	return &Transport{base: base, report: report}
}

// dialTLS returns a dialer that adds TLS, as http.Transport does it by itself.
func dialTLS(dial dialFunc, cfg *tls.Config) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		own := cfg.Clone()
		if own == nil {
			own = &tls.Config{}
		}
		if own.ServerName == "" {
			if own.ServerName, _, err = net.SplitHostPort(addr); err != nil {
				c.Close()
				return nil, err
			}
		}
		tc := tls.Client(c, own)
		if err := tc.HandshakeContext(ctx); err != nil {
			c.Close()
			return nil, err
		}
		return tc, nil
	}
}

// checked returns a dialer whose connections check heads.
func checked(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		cc := &checkedConn{Conn: c}
		cc.begin() // a server may send bytes before it gets a request
		return cc, nil
	}
}

// errUnchecked is the error of a response on a connection that doesn't check heads, such as
// one with TLS through a proxy.
var errUnchecked = errors.New("head: the head of the response wasn't checked")

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, _, err := t.Send(req.Context(), req)
	return resp, err
}

// Send is RoundTrip with another context than the request's. It also reports whether the
// request got a connection, after which the server may have received it.
func (t *Transport) Send(ctx context.Context, req *http.Request) (resp *http.Response, connected bool, err error) {
	var used atomic.Pointer[checkedConn]
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*checkedConn); ok {
			c.begin()
			used.Store(c)
		}
	}}
	resp, err = t.base.RoundTrip(req.WithContext(httptrace.WithClientTrace(ctx, trace)))
	c := used.Load()
	if err == nil && c == nil {
		resp.Body.Close()
		return nil, true, errUnchecked
	}
	if fault := c.fault(); fault != nil {
		if err == nil {
			resp.Body.Close()
		}
		t.report(fault, zap.String("address", req.URL.Host))
		return nil, true, fault
	}
	if err == nil && len(resp.TransferEncoding) > 0 {
		resp.Body = &checkedBody{ReadCloser: resp.Body, resp: resp, conn: c, report: t.report}
	}
	return resp, c != nil, err
}

// CloseIdleConnections closes the connections without a request.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }

// checkedConn is a connection that checks the heads that are read from it.
type checkedConn struct {
	net.Conn
	mu     sync.Mutex
	reader Reader
}

// begin has the next bytes checked as the head of a response, unless that of one is being
// checked. It is called before each request is sent.
func (c *checkedConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reader.scanner.Scanning() {
		c.reader.Begin()
	}
}

// fault returns the error of a malformed head that was read, or nil. c may be nil.
func (c *checkedConn) fault() error {
	if c == nil {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reader.Fault()
}

// Read implements io.Reader.
func (c *checkedConn) Read(p []byte) (n int, err error) {
	if err = c.fault(); err != nil {
		return 0, err
	}
	n, err = c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if valid, fault := c.reader.check(p[:n]); fault != nil {
		return valid, fault
	}
	return n, err
}

// checkedBody is a body in chunks. It checks the trailer behind it.
type checkedBody struct {
	io.ReadCloser
	resp   *http.Response
	conn   *checkedConn
	report ReportFunc
}

// Read implements io.Reader.
func (b *checkedBody) Read(p []byte) (n int, err error) {
	n, err = b.ReadCloser.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if e := CheckTrailer(b.resp.Trailer); e != nil {
		b.conn.Close()
		b.report(e, zap.String("address", b.conn.RemoteAddr().String()))
		return n, e
	}
	return n, err
}
