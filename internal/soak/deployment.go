package soak

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/platform/fakes"
)

const (
	keylessService = "catalogue"
	keyedService   = "ledger"
	// routeTimeout is the timeout of all routes.
	routeTimeout = "1000ms"
	// serviceTime is how long a backend server takes to process a request.
	serviceTime = 8 * clock.Millisecond
	// firstVersion is the configuration at the start. Each later one adds a
	// route that is named after it.
	firstVersion = 1
	// lockPort is listened on while a run uses its addresses.
	lockPort = 7199
)

// backend is a configured backend server with its current incarnation.
type backend struct {
	id    string
	keyed bool
	dc    string
	proxy *proxy // the hosts' connections to it

	mu     sync.Mutex
	fake   *fakes.Server // nil while it is stopped
	record *server       // for the oracle
}

// deployment is the whole system under test: the store, the entry hosts and the
// backend servers.
type deployment struct {
	oracle   *oracle
	store    *fakes.Store
	hosts    []*host
	backends []*backend
	lock     net.Listener // keeps other runs from using the same addresses

	mu            sync.Mutex
	version       int
	written       map[int]time.Time // when each configuration was written
	faults        int               // active unplanned faults
	faultsChanged time.Time         // last change of faults
}

func newDeployment(cfg Config) (d *deployment, err error) {
	d = &deployment{store: fakes.NewStore(), version: firstVersion, written: make(map[int]time.Time), faultsChanged: time.Now()}
	d.oracle = newOracle(d.faultFree)
	d.writeNextConfig()
	for i := range cfg.Servers {
		b := &backend{id: fmt.Sprintf("server-%d", i), keyed: i%2 == 1, dc: dcOf(cfg.Seed, i)}
		if b.proxy, err = newProxy(""); err != nil {
			return d, err
		}
		d.backends = append(d.backends, b)
		d.startServer(b)
	}
	// Parallel runs with different seeds (modulo networks) use different
	// addresses.
	const networks = 64
	ip := func(i int) string { return fmt.Sprintf("127.%d.0.%d", 64+cfg.Seed%networks, 1+i) }
	if d.lock, err = net.Listen("tcp", fmt.Sprintf("127.%d.255.1:%d", 64+cfg.Seed%networks, lockPort)); err != nil {
		return d, fmt.Errorf("another run uses the addresses of this seed: %w", err)
	}
	for i := range cfg.Hosts {
		store, err := newProxy(d.store.Addr())
		if err != nil {
			return d, err
		}
		h, err := newHost(cfg.Dir, fmt.Sprintf("host-%d", i), ip(i), ip(0), cfg.Command, store, d.unexpectedExit)
		if err != nil {
			return d, err
		}
		d.hosts = append(d.hosts, h)
		if err = h.start(); err != nil {
			return d, err
		}
	}
	return d, nil
}

// unexpectedExit reports a process that ended without having been stopped.
func (d *deployment) unexpectedExit(h *host, reason string) {
	d.oracle.report(StaysUp, "process of %s ended unexpectedly: %s; see %s", h.name, reason, h.logFile)
}

// close stops all processes and servers of the deployment.
func (d *deployment) close() (err error) {
	for _, h := range d.hosts {
		err = errors.Join(err, h.kill())
		h.store.Close()
	}
	for _, b := range d.backends {
		d.stopServer(b)
		b.proxy.Close()
	}
	d.store.Close()
	if d.lock != nil {
		err = errors.Join(err, d.lock.Close())
	}
	return err
}

// writeNextConfig writes the next configuration to the store.
func (d *deployment) writeNextConfig() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.written) > 0 {
		d.version++
	}
	route := func(name, kind, service string) fakes.Route {
		return fakes.Route{Name: name, Kind: kind, Service: service, Timeout: routeTimeout}
	}
	routes := []fakes.Route{
		route("browse", "safe", keylessService), route("book", "unsafe", keylessService),
		route("history", "safe", keyedService), route("bond", "unsafe", keyedService),
	}
	for v := firstVersion + 1; v <= d.version; v++ {
		routes = append(routes, route(versionRoute(v), "safe", keylessService))
	}
	d.written[d.version] = time.Now()
	d.store.Put("config", "main", fakes.Configuration(d.version, []string{keylessService}, []string{keyedService}, routes))
}

func versionRoute(v int) string { return fmt.Sprintf("v%d", v) }

// newestVersion returns the version of the newest configuration.
func (d *deployment) newestVersion() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.version
}

// configAge returns the time since a configuration was written.
func (d *deployment) configAge(version int) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.written[version])
}

// addFaults adds n to the number of active unplanned faults.
func (d *deployment) addFaults(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faults += n
	d.faultsChanged = time.Now()
}

// faultFree reports whether there was no unplanned fault for at least span.
func (d *deployment) faultFree(span time.Duration) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.faults == 0 && time.Since(d.faultsChanged) >= span
}

// startServer starts a new incarnation of a backend server unless one is
// running.
func (d *deployment) startServer(b *backend) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fake != nil {
		return
	}
	record := &server{id: b.id, dc: b.dc}
	service := keylessService
	if b.keyed {
		service = keyedService
	}
	d.oracle.serverStarted(record)
	b.record = record
	b.fake = fakes.NewServer(fakes.ServerConfig{
		ID: b.id, Service: service, Zone: b.dc, Keyed: b.keyed, ServiceTime: serviceTime.Std(),
		Observe: func(ev fakes.Event) { d.oracle.observe(record, ev) },
	})
	b.proxy.SetTarget(b.fake.Addr())
	d.store.Put("servers", b.id, b.fake.RegistrationAt(b.proxy.Addr()))
}

// stopServer ends the current incarnation of a backend server.
func (d *deployment) stopServer(b *backend) {
	b.mu.Lock()
	fake, record := b.fake, b.record
	b.fake = nil
	b.mu.Unlock()
	if fake == nil {
		return
	}
	fake.Close()
	d.oracle.serverStopped(record)
}

// withServer calls fn with the current incarnation of the backend server if one
// is running.
func (b *backend) withServer(fn func(*fakes.Server)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.fake != nil {
		fn(b.fake)
	}
}

// drainServer registers a backend server as draining in the store.
func (d *deployment) drainServer(b *backend) {
	b.withServer(func(sv *fakes.Server) {
		sv.Drain()
		d.store.Put("servers", b.id, sv.RegistrationAt(b.proxy.Addr()))
		d.oracle.serverDraining(b.record)
	})
}
