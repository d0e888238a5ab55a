package entry

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/laburnummux/laburnummux/internal/caller"
	"github.com/laburnummux/laburnummux/internal/listen"
	"github.com/laburnummux/laburnummux/internal/peerpb"
	"github.com/laburnummux/laburnummux/internal/peers"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"google.golang.org/grpc"
	"google.golang.org/grpc/tap"
)

const (
	// relayIdleTimeout is longer than the idle timeout of the relaying host's
	// pool. The client side therefore closes idle connections first, and no
	// request is sent on a connection that the server is closing.
	relayIdleTimeout  = 3 * time.Minute
	readHeaderTimeout = 5 * time.Second
	maxRelayHeader    = 1 << 20  // bytes; the caller's headers and those that the relaying host adds
	maxPeerHeader     = 16 << 10 // bytes
)

// listeners holds the four listeners of a host and their servers.
type listeners struct {
	callers, relay, operators *http.Server
	grpc                      *grpc.Server
	netListeners              [4]net.Listener // callers, relay, operators, peers
	callerRoutes              atomic.Pointer[http.Handler]
	errs                      chan error
}

func (h *Host) listen() (d *listeners, err error) {
	c := h.settings.Callers()
	d = &listeners{errs: make(chan error, 4)}
	d.callers = &http.Server{
		Handler:           http.HandlerFunc(d.serveCallers),
		ReadHeaderTimeout: c.ReadHeaderTimeout().Std(),
		IdleTimeout:       c.IdleTimeout().Std(),
		MaxHeaderBytes:    c.MaxHeaderBytes(),
		ConnContext:       withCallerConn,
		ConnState:         trackCaller,
	}
	d.relay = &http.Server{
		Handler: h.relayRoutes(), ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout: relayIdleTimeout, MaxHeaderBytes: maxRelayHeader, ConnContext: withRelayConn, ConnState: caller.TrackBounded,
	}
	d.operators = caller.NewOperatorServer(h.authenticate(h.operatorRoutes()))
	d.grpc = grpc.NewServer(append(h.security.grpcOptions(), peerOptions()...)...)
	peerpb.RegisterPeerServer(d.grpc, h.peers)
	l := h.settings.Listen()
	for i, x := range []struct {
		addr   netip.AddrPort
		bounds listen.Bounds
	}{
		{l.Callers(), h.intake.bounds()}, {l.Relay(), h.intake.otherBounds(relayConnShare)},
		{l.Operators(), h.intake.otherBounds(operatorConnShare)}, {l.Peers(), h.intake.peerBounds()},
	} {
		if d.netListeners[i], err = listen.Open(x.addr.String(), x.bounds); err != nil {
			d.close()
			return nil, fmt.Errorf("entry.listen: %w", err)
		}
	}
	h.secureListeners(d)
	return d, nil
}

// peerOptions returns the limits of what other hosts send in batches.
func peerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(peers.MaxBatchBytes), grpc.MaxHeaderListSize(maxPeerHeader),
		grpc.ConnectionTimeout(readHeaderTimeout), grpc.InTapHandle(limitMessageTime),
	}
}

// limitMessageTime ends calls that take longer than their bytes count as memory.
func limitMessageTime(ctx context.Context, _ *tap.Info) (context.Context, error) {
	ctx, cancel := context.WithTimeout(ctx, caller.MaxMessageTime)
	context.AfterFunc(ctx, cancel)
	return ctx, nil
}

// connKey is the context key of the connection on which a request has arrived.
type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// withRelayConn is the ConnContext of the relay's server.
func withRelayConn(ctx context.Context, c net.Conn) context.Context {
	return caller.WithBounded(withConn(ctx, c), c)
}

// abandoned returns a function that reports whether the sender of a request has
// closed its connection. The context of the request may not tell yet: net/http
// cancels it when it reads the end of the connection, which a host that was
// suspended or is busy does late.
func abandoned(r *http.Request) func() bool {
	c, ok := r.Context().Value(connKey{}).(net.Conn)
	if !ok {
		return nil
	}
	return func() bool { return caller.Closed(c) }
}

func (d *listeners) close() {
	for _, ln := range d.netListeners {
		if ln != nil {
			ln.Close()
		}
	}
}

// serveCallers serves callers' requests. It refuses them until the host has a
// configuration.
func (d *listeners) serveCallers(w http.ResponseWriter, r *http.Request) {
	callerConnOf(r).beginBody()
	if routes := d.callerRoutes.Load(); routes != nil {
		(*routes).ServeHTTP(w, r)
		return
	}
	writeOutcome(w, http.StatusServiceUnavailable, notRun(answer.NoRoute))
}

func (d *listeners) setCallerRoutes(routes http.Handler) { d.callerRoutes.Store(&routes) }

// run serves until ctx ends or a listener fails.
func (d *listeners) run(ctx context.Context) error {
	for i, s := range []*http.Server{d.callers, d.relay, d.operators} {
		go func() { d.errs <- s.Serve(d.netListeners[i]) }()
	}
	go func() { d.errs <- d.grpc.Serve(d.netListeners[3]) }()
	for {
		select {
		case <-ctx.Done():
			d.callers.Close()
			d.relay.Close()
			d.operators.Close()
			d.grpc.Stop()
			return nil
		case err := <-d.errs:
			if err != nil && !errors.Is(err, http.ErrServerClosed) {
				return fmt.Errorf("entry.run: %w", err)
			}
		}
	}
}

// shutdown closes the callers and relay listeners after their requests in flight
// have ended.
func (d *listeners) shutdown(ctx context.Context) {
	d.callers.Shutdown(ctx)
	d.relay.Shutdown(ctx)
}

func (d *listeners) callerAddr() string   { return d.netListeners[0].Addr().String() }
func (d *listeners) operatorAddr() string { return d.netListeners[2].Addr().String() }
