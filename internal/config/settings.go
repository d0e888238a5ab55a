package config

import (
	"net/netip"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// MaxGroupHosts is the largest number of hosts in a group. A host exchanges the
// messages of elections and leases only with its at most 7 peers in the group.
const MaxGroupHosts = 8

// Defaults of Settings.
const (
	defaultMaxHeaderBytes     = 64 << 10
	defaultIdleTimeout        = clock.Minute
	defaultReadHeaderTimeout  = 5 * clock.Second
	defaultCallerMaxBodyBytes = 16 << 20
	defaultDrainTimeout       = 30 * clock.Second
)

const (
	// minMemoryMB is the least memory of a process: what it needs without requests, and
	// room for some.
	minMemoryMB = 64
	maxMemoryMB = 1 << 20
	// minConnections leaves connections to several callers. maxConnections is above the
	// descriptors that systems allow by default.
	minConnections = 16
	maxConnections = 1 << 20
)

// Settings holds the configuration that one entry host needs before it can read
// the store.
type Settings struct {
	host         keys.Host
	dataCentre   keys.DataCentre
	group        []keys.Host
	listen       Listen
	store        Store
	logLevel     Level
	callers      CallerLimits
	drainTimeout clock.Span
	memory       int64 // bytes; 0: unknown

	tls             TLS
	operatorsTokens string
}

func (s Settings) Host() keys.Host { return s.host }

func (s Settings) DataCentre() keys.DataCentre { return s.dataCentre }

// Group returns the names of all hosts of the group, this host included,
// sorted. It must not be modified.
func (s Settings) Group() []keys.Host { return s.group }

func (s Settings) Listen() Listen { return s.listen }

// Store returns the address and the credentials file of the platform's store.
func (s Settings) Store() Store { return s.store }

// LogLevel returns the lowest level of logged messages.
func (s Settings) LogLevel() Level { return s.logLevel }

// Callers returns the limits on callers' connections and requests.
func (s Settings) Callers() CallerLimits { return s.callers }

// DrainTimeout returns how long a graceful shutdown waits for requests in flight.
func (s Settings) DrainTimeout() clock.Span { return s.drainTimeout }

// Memory returns the bytes of memory that the process may use, or 0 if they aren't
// stated.
func (s Settings) Memory() int64 { return s.memory }

// Listen holds the address of each listener.
type Listen struct {
	callers, relay, peers, operators netip.AddrPort
}

// Callers returns the address for callers' requests.
func (l Listen) Callers() netip.AddrPort { return l.callers }

// Relay returns the address for requests relayed by other entry hosts.
func (l Listen) Relay() netip.AddrPort { return l.relay }

// Peers returns the address for message batches from other entry hosts.
func (l Listen) Peers() netip.AddrPort { return l.peers }

// Operators returns the address for metrics, state dumps and commands.
func (l Listen) Operators() netip.AddrPort { return l.operators }

// Store holds the address of the platform's store and the file with its token.
type Store struct {
	address   netip.AddrPort
	tokenFile string
}

func (s Store) Address() netip.AddrPort { return s.address }

// TokenFile returns the file that holds the token for the store, or "".
func (s Store) TokenFile() string { return s.tokenFile }

// CallerLimits limit the resources that a caller can use.
type CallerLimits struct {
	maxHeaderBytes    int
	idleTimeout       clock.Span
	readHeaderTimeout clock.Span
	maxBodyBytes      int
	maxConnections    int
}

// MaxHeaderBytes returns the largest accepted request header.
func (l CallerLimits) MaxHeaderBytes() int { return l.maxHeaderBytes }

// IdleTimeout returns how long an idle connection is kept.
func (l CallerLimits) IdleTimeout() clock.Span { return l.idleTimeout }

// ReadHeaderTimeout returns how long a caller may take to send a header.
func (l CallerLimits) ReadHeaderTimeout() clock.Span { return l.readHeaderTimeout }

// MaxConnections returns the most open connections of callers, or 0 if it isn't stated.
func (l CallerLimits) MaxConnections() int { return l.maxConnections }

// MaxBodyBytes returns the largest accepted request body. Services may set a
// lower limit.
func (l CallerLimits) MaxBodyBytes() int { return l.maxBodyBytes }
