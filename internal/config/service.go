package config

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// ConnectionReserve is the number of connections to a backend server that its
// dispatcher doesn't use, so that the next dispatcher can connect while the
// connections of the previous one are still open.
const ConnectionReserve = 10

// Defaults of a service.
const (
	defaultTimeout        = clock.Second
	defaultConnectTimeout = 100 * clock.Millisecond // one probe period
	defaultWarmup         = 5 * clock.Second
	defaultQueuePerSlot   = 16
	defaultRetryBudget    = 0.1
	defaultMaxBodyBytes   = 1 << 20
	defaultCells          = 1
	defaultBulkShare      = 0.5
)

// Config is the service configuration of one site.
type Config struct {
	site     keys.DataCentre
	services []Service // sorted by name
}

// Site returns the data centre for which the configuration was merged. It is
// empty for a base.
func (c Config) Site() keys.DataCentre { return c.site }

// Services returns all services sorted by name. It must not be modified.
func (c Config) Services() []Service { return c.services }

func (c Config) Service(name keys.Service) (Service, bool) {
	i, ok := slices.BinarySearchFunc(c.services, name, func(s Service, n keys.Service) int {
		return cmp.Compare(s.name, n)
	})
	if !ok {
		return Service{}, false
	}
	return c.services[i], true
}

// Service is the configuration of one service.
type Service struct {
	name         keys.Service
	keyed        bool
	path         string
	operations   []Operation  // sorted by name
	dataCentres  []DataCentre // sorted by name
	server       Server
	policy       Policy
	classShares  [2]float64 // by Class
	queuePerSlot int
	retryBudget  float64
	maxBodyBytes int
}

func (s Service) Name() keys.Service { return s.name }

// Keyed reports whether keys of the service are owned exclusively.
func (s Service) Keyed() bool { return s.keyed }

// Path returns the prefix of all paths of the service as a gorilla/mux template.
// For a keyed service it contains {key}.
func (s Service) Path() string { return s.path }

// Operations returns the operations sorted by name. It must not be modified.
func (s Service) Operations() []Operation { return s.operations }

// DataCentres returns the data centres sorted by name. It must not be
// modified.
func (s Service) DataCentres() []DataCentre { return s.dataCentres }

// Server returns the limits of a backend server of the service.
func (s Service) Server() Server { return s.server }

// Policy returns what the assigner minimizes when it moves ranges.
func (s Service) Policy() Policy { return s.policy }

// Share returns the share of a server's slots that a class may use.
func (s Service) Share(c Class) float64 { return s.classShares[c] }

// ClassSlots returns how many slots of a server a class may use: its share
// rounded down, but at least one if the share isn't 0.
func (s Service) ClassSlots(c Class) int { return classSlots(s.server.slots, s.classShares[c]) }

func classSlots(slots int, share float64) int {
	if share == 0 {
		return 0
	}
	return max(1, int(float64(slots)*share+1e-9)) // 0.29 of 100 is 28.999... in floating point
}

// QueuePerSlot returns how many requests may wait for each slot of a server.
func (s Service) QueuePerSlot() int { return s.queuePerSlot }

// RetryBudget returns the largest number of retries per first attempt.
func (s Service) RetryBudget() float64 { return s.retryBudget }

// MaxBodyBytes returns the largest accepted request body.
func (s Service) MaxBodyBytes() int { return s.maxBodyBytes }

// CellRange is a cell with its range of the hash space.
type CellRange struct {
	Cell  keys.Cell
	Range keys.Range
}

// Cells divides the hash space of the service: first among the data centres in
// proportion to their weights, then evenly among the cells of each. It uses
// integer arithmetic only, so that all hosts compute the same result.
func (s Service) Cells() (cells []CellRange) {
	var total, sum uint64
	for _, d := range s.dataCentres {
		total += uint64(d.weight)
	}
	lo := keys.Hash(0)
	for _, d := range s.dataCentres {
		if d.weight == 0 {
			continue
		}
		sum += uint64(d.weight)
		hi := keys.MaxHash
		if sum < total {
			end, _ := bits.Div64(sum, 0, total) // sum/total of 2^64
			hi = keys.Hash(end) - 1
		}
		for i, r := range keys.NewRange(lo, hi).Divide(d.cells) {
			cell := keys.Cell{Service: s.name, DataCentre: d.name, Index: i}
			cells = append(cells, CellRange{Cell: cell, Range: r})
		}
		lo = hi + 1
	}
	return cells
}

// Operation is a kind of request of a service.
type Operation struct {
	name       string
	method     string
	path       string // relative to the service's path
	template   string
	idempotent bool
	class      Class
	timeout    clock.Span
}

func (o Operation) Name() string { return o.name }

func (o Operation) Method() string { return o.method }

// Template returns the gorilla/mux template of the whole path: the service's
// path followed by the operation's.
func (o Operation) Template() string { return o.template }

// Idempotent reports whether a request may run more than once.
func (o Operation) Idempotent() bool { return o.idempotent }

func (o Operation) Class() Class { return o.class }

// Timeout returns the timeout of a request whose caller sets none.
func (o Operation) Timeout() clock.Span { return o.timeout }

// DataCentre is the part of a service in one data centre.
type DataCentre struct {
	name   keys.DataCentre
	weight int
	cells  int
}

func (d DataCentre) Name() keys.DataCentre { return d.name }

// Weight returns the weight by which the data centre gets its part of the hash
// space.
func (d DataCentre) Weight() int { return d.weight }

// Cells returns the number of cells in the data centre.
func (d DataCentre) Cells() int { return d.cells }

// Server holds the limits of each backend server of a service.
type Server struct {
	slots          int
	connections    int
	checksFences   bool
	connectTimeout clock.Span
	warmup         clock.Span
}

// Slots returns how many requests a server processes at a time.
func (s Server) Slots() int { return s.slots }

// Connections returns how many connections a server accepts.
func (s Server) Connections() int { return s.connections }

// ChecksFences reports whether the servers check fencing tokens.
func (s Server) ChecksFences() bool { return s.checksFences }

// ConnectTimeout returns how long a connection attempt may take.
func (s Server) ConnectTimeout() clock.Span { return s.connectTimeout }

// Warmup returns the warm-up time, during which a new server gets less than its
// full load.
func (s Server) Warmup() clock.Span { return s.warmup }
