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

	"github.com/laburnummux/laburnummux/internal/peerpb"
	"github.com/laburnummux/laburnummux/internal/peers"
	"github.com/laburnummux/laburnummux/pkg/answer"
	"google.golang.org/grpc"
)

const (
	// relayIdleTimeout outlasts the idle time of the relaying host's pool, so
	// that the client side closes first and no request meets a closing
	// connection.
	relayIdleTimeout  = 3 * time.Minute
	readHeaderTimeout = 5 * time.Second
	operatorsTimeout  = 30 * time.Second
	maxRelayHeader    = 1 << 20 // bytes; a caller's header and a few of the host's
)

// listeners are the four listeners of a host.
type listeners struct {
	callers, relay, operators *http.Server
	grpc                      *grpc.Server
	lns                       [4]net.Listener // callers, relay, operators, peers
	routes                    atomic.Pointer[http.Handler]
	errs                      chan error
}

func (h *Host) listen() (d *listeners, err error) {
	c := h.cfg.Callers()
	d = &listeners{errs: make(chan error, 4)}
	d.callers = &http.Server{
		Handler:           http.HandlerFunc(d.serveCallers),
		ReadHeaderTimeout: c.ReadHeaderTimeout().Std(),
		IdleTimeout:       c.IdleTimeout().Std(),
		MaxHeaderBytes:    c.MaxHeaderBytes(),
	}
	d.relay = &http.Server{
		Handler: h.relayRoutes(), ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout: relayIdleTimeout, MaxHeaderBytes: maxRelayHeader,
	}
	d.operators = &http.Server{
		Handler: h.guard(h.operatorRoutes()), ReadHeaderTimeout: readHeaderTimeout, ReadTimeout: operatorsTimeout,
	}
	d.grpc = grpc.NewServer(append(h.secure.grpcOptions(), grpc.MaxRecvMsgSize(peers.MaxBatch))...)
	peerpb.RegisterPeerServer(d.grpc, h.peers)
	l := h.cfg.Listen()
	for i, a := range []netip.AddrPort{l.Callers(), l.Relay(), l.Operators(), l.Peers()} {
		if d.lns[i], err = net.Listen("tcp", a.String()); err != nil {
			d.close()
			return nil, fmt.Errorf("entry.listen: %w", err)
		}
	}
	h.secureListeners(d)
	return d, nil
}

func (d *listeners) close() {
	for _, ln := range d.lns {
		if ln != nil {
			ln.Close()
		}
	}
}

// serveCallers refuses requests until the configuration is known.
func (d *listeners) serveCallers(w http.ResponseWriter, r *http.Request) {
	if routes := d.routes.Load(); routes != nil {
		(*routes).ServeHTTP(w, r)
		return
	}
	writeOutcome(w, http.StatusServiceUnavailable, notRun(answer.NoRoute))
}

func (d *listeners) setCallers(routes http.Handler) { d.routes.Store(&routes) }

// run serves until ctx ends or a listener fails.
func (d *listeners) run(ctx context.Context) error {
	for i, s := range []*http.Server{d.callers, d.relay, d.operators} {
		go func() { d.errs <- s.Serve(d.lns[i]) }()
	}
	go func() { d.errs <- d.grpc.Serve(d.lns[3]) }()
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

// shutdown ends the listeners for requests after the requests in flight.
func (d *listeners) shutdown(ctx context.Context) {
	d.callers.Shutdown(ctx)
	d.relay.Shutdown(ctx)
}

func (d *listeners) callerAddr() string   { return d.lns[0].Addr().String() }
func (d *listeners) operatorAddr() string { return d.lns[2].Addr().String() }
