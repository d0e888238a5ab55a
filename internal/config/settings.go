package config

import (
	"net/netip"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// MaxGroup is the largest number of hosts in a group: control messages stay
// between a host and its at most 7 peers.
const MaxGroup = 8

// Defaults of Settings.
const (
	defaultMaxHeaderBytes    = 64 << 10
	defaultIdleTimeout       = clock.Minute
	defaultReadHeaderTimeout = 5 * clock.Second
	defaultCallerBodyBytes   = 16 << 20
	defaultDrain             = 30 * clock.Second
)

// Settings are what one entry host knows before it reads the store.
type Settings struct {
	host       keys.Host
	dataCentre keys.DataCentre
	group      []keys.Host
	listen     Listen
	store      Store
	logLevel   Level
	callers    CallerLimits
	drain      clock.Span

	tls             TLS
	operatorsTokens string
}

// Host returns the name of this host.
func (s Settings) Host() keys.Host { return s.host }

// DataCentre returns the data centre of this host.
func (s Settings) DataCentre() keys.DataCentre { return s.dataCentre }

// Group returns the names of all hosts of the group, this host included,
// sorted. It must not be modified.
func (s Settings) Group() []keys.Host { return s.group }

// Listen returns the addresses of the listeners.
func (s Settings) Listen() Listen { return s.listen }

// Store returns how to reach the platform's store.
func (s Settings) Store() Store { return s.store }

// LogLevel returns the lowest level of log lines that are written.
func (s Settings) LogLevel() Level { return s.logLevel }

// Callers returns the limits for callers' connections and requests.
func (s Settings) Callers() CallerLimits { return s.callers }

// Drain returns how long a planned stop waits for requests in flight.
func (s Settings) Drain() clock.Span { return s.drain }

// Listen has the address of each listener.
type Listen struct {
	callers, relay, peers, operators netip.AddrPort
}

// Callers returns the address for callers' requests.
func (l Listen) Callers() netip.AddrPort { return l.callers }

// Relay returns the address for requests relayed by other entry hosts.
func (l Listen) Relay() netip.AddrPort { return l.relay }

// Peers returns the address for batches of other entry hosts.
func (l Listen) Peers() netip.AddrPort { return l.peers }

// Operators returns the address for metrics, state dumps and commands.
func (l Listen) Operators() netip.AddrPort { return l.operators }

// Store has the address of the platform's store.
type Store struct {
	address   netip.AddrPort
	tokenFile string
}

// Address returns the address of the store.
func (s Store) Address() netip.AddrPort { return s.address }

// TokenFile returns the file that holds the token for the store, or "".
func (s Store) TokenFile() string { return s.tokenFile }

// CallerLimits protect a host against callers.
type CallerLimits struct {
	maxHeaderBytes    int
	idleTimeout       clock.Span
	readHeaderTimeout clock.Span
	maxBodyBytes      int
}

// MaxHeaderBytes returns the largest accepted request header.
func (l CallerLimits) MaxHeaderBytes() int { return l.maxHeaderBytes }

// IdleTimeout returns how long an idle connection is kept.
func (l CallerLimits) IdleTimeout() clock.Span { return l.idleTimeout }

// ReadHeaderTimeout returns how long a caller may take to send a header.
func (l CallerLimits) ReadHeaderTimeout() clock.Span { return l.readHeaderTimeout }

// MaxBodyBytes returns the largest accepted request body. Services may state
// a lower limit.
func (l CallerLimits) MaxBodyBytes() int { return l.maxBodyBytes }
