// Package devel runs a small example of the whole system in one process: a fake
// of the platform's store, one or more entry hosts per data centre and a few fake
// backend servers, all on loopback addresses.
//
// # Usage
//
//	s, err := devel.Start(ctx, devel.Config{Hosts: 1, Log: log})
//	fmt.Print(s.Overview())
//	...
//	err = s.Stop(ctx)
//
// The address of the store also has paths that inject faults: POST
// /servers/NAME/kill, restart, freeze, resume, drain or slow?ms=N for a backend
// server, and the paths below /fake/ for the store.
package devel

import (
	"context"
	"crypto/tls"
	_ "embed" // the example's configuration
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"net"
	"net/http"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/config"
	"github.com/laburnummux/laburnummux/internal/entry"
	"github.com/laburnummux/laburnummux/internal/fakes"
	"github.com/laburnummux/laburnummux/internal/merge"
	"github.com/laburnummux/laburnummux/internal/store"
	"github.com/laburnummux/laburnummux/pkg/keys"
	"go.uber.org/zap"
)

//go:embed base.jsonc
var exampleBase []byte

// DataCentres lists the data centres of the example.
var DataCentres = []keys.DataCentre{"north-1", "north-2", "north-3"}

// Config configures an example system.
type Config struct {
	// Port is the first port. If it is 0, free ports are used.
	Port int
	// Hosts is the number of entry hosts per data centre.
	Hosts int
	// Servers is the number of backend servers per service and data centre.
	Servers int
	// ServiceTime is the service time of the backend servers.
	ServiceTime clock.Span
	// Base replaces the example's service configuration.
	Base []byte
	// DataCentres replaces the example's data centres.
	DataCentres []keys.DataCentre
	// TLS configures TLS; nil means plain text.
	TLS *TLS
	// WrapStore returns the store that the entry hosts of a data centre use instead
	// of the given one. It may be nil.
	WrapStore func(keys.DataCentre, store.Store) store.Store
	Log       *zap.Logger
}

// TLS is the TLS configuration of an example system.
type TLS struct {
	Settings func(host keys.Host) map[string]any // additional fields of a host's settings
	Servers  *tls.Config                         // server side of the store and of the backend servers
	Store    *tls.Config                         // client side of connections to the store
}

// System is a running example system.
type System struct {
	cfg         Config
	store       *fakes.Store
	client      *store.Client
	control     *http.Server
	address     string // of control
	base        config.Document
	config      config.Config
	hosts       []*entry.Host
	settings    []config.Settings // by index in hosts
	servers     map[keys.Server]*fakes.Server
	serverNames []keys.Server // in the order of their start
}

// Start starts the system.
func Start(ctx context.Context, cfg Config) (s *System, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("devel.Start: %w", err)
		}
	}()
	if cfg.Base == nil {
		cfg.Base = exampleBase
	}
	if cfg.DataCentres == nil {
		cfg.DataCentres = DataCentres
	}
	s = &System{cfg: cfg, store: fakes.NewStore(clock.System(), ""), servers: make(map[keys.Server]*fakes.Server)}
	doc, probs := config.Parse("base.jsonc", cfg.Base)
	if probs.Err() != nil {
		return nil, probs
	}
	s.base = doc
	if s.config, probs = doc.Config(); probs.Err() != nil {
		return nil, probs
	}
	if err = s.serveControl(); err != nil {
		return nil, err
	}
	if s.client, err = store.New(s.storeConfig()); err != nil {
		return nil, err
	}
	if err = s.startServers(); err != nil {
		return nil, err
	}
	if err = s.writeConfig(ctx); err != nil {
		return nil, err
	}
	return s, s.startHosts(ctx)
}

func (s *System) storeConfig() store.Config {
	if s.cfg.TLS == nil {
		return store.Config{URL: "http://" + s.address}
	}
	return store.Config{URL: "https://" + s.address, TLS: s.cfg.TLS.Store}
}

// writeConfig writes the first configuration revision to the store.
func (s *System) writeConfig(ctx context.Context) error {
	configs := make(map[keys.DataCentre]config.Config)
	for _, dc := range s.cfg.DataCentres {
		overlay, probs := config.Parse(string(dc)+".jsonc", fmt.Appendf(nil, `{"site": %q}`, dc))
		if probs.Err() != nil {
			return probs
		}
		merged, probs := merge.Merge(s.base, overlay)
		if err := config.Problems(probs).Err(); err != nil {
			return err
		}
		configs[dc] = merged.Config()
	}
	rev, err := config.NewRevision(1, "dev", time.Now(), "example", configs)
	if err != nil {
		return err
	}
	b, err := config.EncodeRevision(rev)
	if err != nil {
		return err
	}
	_, err = s.client.Put(ctx, entry.ConfigObject, b, 0)
	return err
}

func (s *System) startServers() error {
	for _, dc := range s.cfg.DataCentres {
		for _, svc := range s.config.Services() {
			for i := range s.cfg.Servers {
				name := keys.Server(fmt.Sprintf("%s-%s-%d", svc.Name(), dc, i+1))
				srv := fakes.NewServer(fakes.NewBackend(fakes.BackendConfig{
					Name: name, Slots: svc.Server().Slots(), ChecksFences: svc.Server().ChecksFences(), ServiceTime: s.cfg.ServiceTime,
				}))
				if s.cfg.TLS != nil {
					srv.SetTLS(s.cfg.TLS.Servers)
				}
				if err := srv.Start(); err != nil {
					return err
				}
				s.servers[name] = srv
				s.serverNames = append(s.serverNames, name)
				s.store.AddMember(store.NewBackendMember(name, dc, svc.Name(), srv.Addr()))
			}
		}
	}
	return nil
}

// startHosts starts all entry hosts. All of them are in the host list before the
// first one starts, as in a regular deployment.
func (s *System) startHosts(ctx context.Context) error {
	var all []config.Settings
	for i, dc := range s.cfg.DataCentres {
		var group []string
		for j := range s.cfg.Hosts {
			group = append(group, hostName(dc, j))
		}
		for j := range s.cfg.Hosts {
			set, err := s.hostSettings(dc, group, i, j)
			if err != nil {
				return err
			}
			all = append(all, set)
			l := set.Listen()
			s.store.AddMember(store.NewEntryMember(set.Host(), dc, store.Addresses{
				Callers: l.Callers().String(), Relay: l.Relay().String(),
				Peers: l.Peers().String(), Operators: l.Operators().String(),
			}))
		}
	}
	s.settings = all
	s.hosts = make([]*entry.Host, 0, len(all))
	for _, set := range all {
		h, err := s.startHost(ctx, set)
		if err != nil {
			return err
		}
		s.hosts = append(s.hosts, h)
	}
	return nil
}

func (s *System) startHost(ctx context.Context, set config.Settings) (*entry.Host, error) {
	var st store.Store = s.client
	if s.cfg.WrapStore != nil {
		st = s.cfg.WrapStore(set.DataCentre(), st)
	}
	h := entry.New(entry.Config{Settings: set, Store: st, Log: s.cfg.Log})
	return h, h.Start(ctx)
}

// RestartHost stops an entry host and starts a new one with the same settings.
func (s *System) RestartHost(ctx context.Context, i int) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("devel.RestartHost: %w", err)
		}
	}()
	if err = s.hosts[i].Stop(ctx); err != nil {
		return err
	}
	s.hosts[i], err = s.startHost(ctx, s.settings[i])
	return err
}

func hostName(dc keys.DataCentre, j int) string { return fmt.Sprintf("%s-%c", dc, 'a'+j) }

func (s *System) hostSettings(dc keys.DataCentre, group []string, i, j int) (config.Settings, error) {
	ports := make([]int, 4)
	for k := range ports {
		if s.cfg.Port != 0 {
			ports[k] = s.cfg.Port + 100*(i+1) + 10*j + k + 1
			continue
		}
		var err error
		if ports[k], err = FreePort(); err != nil {
			return config.Settings{}, err
		}
	}
	addr := func(k int) string { return fmt.Sprintf("127.0.0.1:%d", ports[k]) }
	fields := map[string]any{
		"host": hostName(dc, j), "dataCentre": dc, "group": group,
		"listen": map[string]string{"callers": addr(0), "relay": addr(1), "peers": addr(2), "operators": addr(3)},
		"store":  map[string]string{"address": s.address},
	}
	if s.cfg.TLS != nil {
		maps.Copy(fields, s.cfg.TLS.Settings(keys.Host(hostName(dc, j))))
	}
	b, err := json.Marshal(fields)
	if err != nil {
		return config.Settings{}, err
	}
	set, probs := config.ParseSettings(hostName(dc, j), b)
	return set, probs.Err()
}

// The range of ports in which FreePort searches. It is below the ephemeral port
// range of operating systems, so that no outgoing connection takes a port
// between the check and its use.
const (
	firstPort = 20000
	portCount = 12000
)

// nextPort counts the ports that were tried. It starts at a value that depends on
// the process, so that parallel processes rarely try the same ports.
var nextPort atomic.Uint32

func init() { nextPort.Store(uint32(os.Getpid() * 97)) }

// FreePort returns an unused port of the loopback address.
func FreePort() (int, error) {
	for range portCount {
		port := firstPort + int(nextPort.Add(1)%portCount)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return port, ln.Close()
		}
	}
	return 0, errors.New("devel.FreePort: no free port in the searched range")
}

// serveControl starts the HTTP server of the store and of the paths that inject
// faults into the backend servers.
func (s *System) serveControl() error {
	m := mux.NewRouter()
	m.Path("/servers").Methods(http.MethodGet).HandlerFunc(s.listServers)
	m.PathPrefix("/servers/{name}/").HandlerFunc(s.controlServer)
	m.PathPrefix("/").Handler(s.store)
	addr := "127.0.0.1:0"
	if s.cfg.Port != 0 {
		addr = fmt.Sprintf("127.0.0.1:%d", s.cfg.Port)
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	s.address = ln.Addr().String()
	if s.cfg.TLS != nil {
		ln = tls.NewListener(ln, s.cfg.TLS.Servers)
	}
	s.control = &http.Server{Handler: m, ReadHeaderTimeout: 5 * time.Second}
	go s.control.Serve(ln)
	return nil
}

func (s *System) listServers(w http.ResponseWriter, _ *http.Request) {
	for _, n := range s.serverNames {
		fmt.Fprintln(w, n, s.servers[n].Addr())
	}
}

func (s *System) controlServer(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["name"]
	srv := s.servers[keys.Server(name)]
	if srv == nil {
		http.NotFound(w, r)
		return
	}
	r.URL.Path = "/fake/" + strings.TrimPrefix(r.URL.Path, "/servers/"+name+"/")
	srv.Control().ServeHTTP(w, r)
}

// Address returns the address of the store and of the paths that inject faults.
func (s *System) Address() string { return s.address }

// Hosts returns the entry hosts.
func (s *System) Hosts() []*entry.Host { return s.hosts }

// Store returns the fake of the platform's store.
func (s *System) Store() *fakes.Store { return s.store }

// Server returns the backend server with the name, or nil.
func (s *System) Server(n keys.Server) *fakes.Server { return s.servers[n] }

// Servers returns the names of the backend servers.
func (s *System) Servers() []keys.Server { return s.serverNames }

// Overview returns the addresses of the system, for users.
func (s *System) Overview() string {
	var b strings.Builder
	fmt.Fprintf(&b, "store and faults  http://%s\n", s.address)
	for _, h := range s.hosts {
		st := h.Status()
		fmt.Fprintf(&b, "%-16s  callers http://%s  operators http://%s  (metrics at /metrics, state at /dump)\n",
			st.Host, h.CallerAddr(), h.OperatorAddr())
	}
	return b.String()
}

// WaitOwned waits until all ranges of every cell have an owner.
func (s *System) WaitOwned(ctx context.Context) error {
	for {
		if s.allOwned() {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.New("devel.WaitServed: stopped waiting before all keys had an owner")
		case <-time.After(10 * time.Millisecond):
		}
	}
}

// fullyOwned is the share of a cell's hash space from which the cell counts as
// owned; it allows for rounding in the sum of shares.
const fullyOwned = 1 - 1e-9

func (s *System) allOwned() bool {
	cells := 0
	for _, svc := range s.config.Services() {
		cells += len(svc.Cells())
	}
	seen := make(map[string]bool)
	for _, h := range s.hosts {
		for _, c := range h.Status().Cells {
			if c.Owned < fullyOwned {
				return false
			}
			seen[c.Cell] = true
		}
	}
	return len(seen) == cells
}

// Stop stops the entry hosts gracefully, then the backend servers and the store.
func (s *System) Stop(ctx context.Context) (err error) {
	errs := make(chan error, len(s.hosts))
	for _, h := range s.hosts {
		go func() { errs <- h.Stop(ctx) }()
	}
	for range s.hosts {
		err = errors.Join(err, <-errs)
	}
	for _, srv := range s.servers {
		srv.Kill()
	}
	s.client.Close()
	return errors.Join(err, s.control.Close())
}
