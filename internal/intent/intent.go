// Package intent defines the routing configuration that operators declare: which
// requests go to which services, and their timeouts, priorities and retries.
//
// A Config is immutable. A new one replaces the old one as a whole, so a request
// is handled by exactly one version.
//
// # Usage
//
//	cfg := intent.New(intent.Document{Version: 7, Routes: routes, Services: services, Limits: limits})
//	if rt := cfg.Match(host, path); rt != nil {
//		service := rt.Pick(n)
//	}
package intent

import (
	"cmp"
	"slices"
	"strings"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

//go:generate go tool stringer -type=Repeat -linecomment -output=repeat_string.go

// Repeat is whether the requests of a route may be executed more than once.
type Repeat int

// Values of Repeat.
const (
	Once       Repeat = iota // once
	Idempotent               // idempotent
)

// WeightedService is a service that gets a weighted share of a route's requests.
type WeightedService struct {
	Service keys.Service
	Weight  int
}

// Route configures the requests of one host name and path prefix.
type Route struct {
	Name      string
	Host      string
	Prefix    string
	Repeat    Repeat
	Timeout   clock.Span // longest time until the final response
	Objective clock.Span // response time objective; a later response is worth less
	Attempts  int        // maximum number of servers that one request is sent to
	Priority  int        // 0 is the highest
	Parts     []WeightedService
}

// Service is a group of servers that serve the same requests.
type Service struct {
	Name   keys.Service
	Health string     // path of the health check
	Conns  int        // connections that a server accepts from all hosts together
	Keyed  bool       // a server executes only requests whose key it owns
	Warm   clock.Span // how long a key is slow at a new owner without a handover
	// Warmup is how long a server is cold after its start. Above 0 it enables slow
	// start.
	Warmup clock.Span
	// ColdRate is how many requests per second a cold server tolerates; 0: any.
	ColdRate float64
}

// Limits bounds the size of callers' requests and the time they take to send
// them.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	HeaderWait  clock.Span // for the complete header
	Idle        clock.Span // how long a connection may be idle
}

// Document is a configuration in a form that can be encoded. The fields of Route,
// WeightedService, Service and Limits have no tags and are encoded under their Go
// names.
type Document struct {
	Version  uint64    `cbor:"1,keyasint"`
	Routes   []Route   `cbor:"2,keyasint"`
	Services []Service `cbor:"3,keyasint"`
	Limits   Limits    `cbor:"4,keyasint"`
}

// Config is one version of the configuration.
type Config struct {
	doc        Document
	version    uint64
	routes     map[string][]*Route // by host name, longest prefix first
	services   map[keys.Service]Service
	limits     Limits
	routeCount int
}

// New returns the Config of a document, which must not be modified afterwards.
func New(doc Document) *Config {
	c := &Config{
		doc:        doc,
		version:    doc.Version,
		routes:     make(map[string][]*Route),
		services:   make(map[keys.Service]Service, len(doc.Services)),
		limits:     doc.Limits,
		routeCount: len(doc.Routes),
	}
	for i := range doc.Routes {
		rt := &doc.Routes[i]
		host := strings.ToLower(rt.Host)
		c.routes[host] = append(c.routes[host], rt)
	}
	for _, list := range c.routes {
		slices.SortStableFunc(list, func(a, b *Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for _, s := range doc.Services {
		c.services[s.Name] = s
	}
	return c
}

func (c *Config) Document() Document { return c.doc }

// Version increases with each change.
func (c *Config) Version() uint64 { return c.version }

// Limits returns the limits for callers.
func (c *Config) Limits() Limits { return c.limits }

// RouteCount returns the number of routes.
func (c *Config) RouteCount() int { return c.routeCount }

// MaxTimeout returns the longest timeout of all routes. unlimited means that a route
// has none: its requests last as long as their callers wait.
func (c *Config) MaxTimeout() (d clock.Span, unlimited bool) {
	for _, rt := range c.doc.Routes {
		d = max(d, rt.Timeout)
		unlimited = unlimited || rt.Timeout == 0
	}
	return d, unlimited
}

func (c *Config) Service(name keys.Service) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// KeyedServices returns the names of the keyed services in order.
func (c *Config) KeyedServices() (names []keys.Service) {
	for name, s := range c.services {
		if s.Keyed {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Match returns the route with the longest prefix of path, or nil. host may
// have a port.
func (c *Config) Match(host, path string) *Route {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, rt := range c.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, rt.Prefix) {
			return rt
		}
	}
	return nil
}

// Pick returns the service of the n-th request of the route. Any sequence of
// consecutive numbers is divided in proportion to the weights, with the least
// deviation; random choice would miss the weights in short sequences. It returns
// "" for a route without a service.
func (r *Route) Pick(n uint64) keys.Service {
	switch len(r.Parts) {
	case 0:
		return ""
	case 1:
		return r.Parts[0].Service
	}
	total := 0
	for _, p := range r.Parts {
		total += p.Weight
	}
	if total <= 0 {
		return r.Parts[0].Service
	}
	// The golden ratio's multiples spread evenly over the unit interval for
	// every prefix of the sequence.
	const golden = 0x9e3779b97f4a7c15
	x := float64(n*golden) / (1 << 64) * float64(total)
	for _, p := range r.Parts {
		if x < float64(p.Weight) {
			return p.Service
		}
		x -= float64(p.Weight)
	}
	return r.Parts[len(r.Parts)-1].Service
}
