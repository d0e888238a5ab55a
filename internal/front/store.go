package front

import (
	"context"
	"errors"

	"github.com/laburnummux/laburnummux/internal/clock"
	"github.com/laburnummux/laburnummux/internal/epoch"
	"github.com/laburnummux/laburnummux/internal/fleet"
	"github.com/laburnummux/laburnummux/internal/intent"
	"github.com/laburnummux/laburnummux/internal/owner"
	"github.com/laburnummux/laburnummux/pkg/keys"
)

// Errors of a Store.
var (
	ErrNotFound   = errors.New("not found")
	ErrConflict   = errors.New("conflict: changed by another writer")
	ErrCompacted  = errors.New("revision compacted: changes since then are no longer available")
	ErrRestored   = errors.New("store was restored from an older copy; revisions of the former epoch can't be continued from")
	ErrRefused    = errors.New("store refused the call; nothing was done")
	ErrNoResponse = errors.New("store did not respond; the call may have taken effect")
	ErrMalformed  = errors.New("response of the store can't be decoded")
)

// ServerEvent is a change of a server's registration.
type ServerEvent struct {
	ID      keys.Server
	Server  fleet.Server
	Removed bool
}

// Store is the platform's store, which keeps the configuration, the assignment
// record, the registrations of servers and hosts, and the entries of evacuations.
type Store interface {
	// Config returns the configuration, or nil if the store has an invalid one, and
	// the store's revision of it.
	Config(ctx context.Context) (*intent.Config, epoch.Revision, error)
	// WatchConfig waits for a change after a revision. It returns nil and the
	// next revision if there was none, or none to a valid configuration.
	WatchConfig(ctx context.Context, rev epoch.Revision, wait clock.Span) (*intent.Config, epoch.Revision, error)
	// Servers returns the servers that are in use or draining.
	Servers(ctx context.Context) ([]fleet.Server, epoch.Revision, error)
	WatchServers(ctx context.Context, rev epoch.Revision, wait clock.Span) ([]ServerEvent, epoch.Revision, error)
	// Evacuations returns the data centres that operators have entered for evacuation,
	// whether or not they exist. The name of an unreadable entry is empty.
	Evacuations(ctx context.Context) ([]keys.DataCentre, epoch.Revision, error)
	WatchEvacuations(ctx context.Context, rev epoch.Revision, wait clock.Span) ([]EvacuationEvent, epoch.Revision, error)
	// Record returns the assignment record. If none was written in the store's
	// current epoch, the revision has no number, and the record is the last one of
	// an earlier epoch, or empty. An invalid one is ErrMalformed, with its revision.
	Record(ctx context.Context) (owner.Record, epoch.Revision, error)
	// PutRecord replaces the record if its revision is still rev, or creates the
	// record of that epoch if rev has no number.
	PutRecord(ctx context.Context, rec owner.Record, rev epoch.Revision) (epoch.Revision, error)
	// Hosts returns the addresses of the entry hosts, possibly seconds old.
	Hosts(ctx context.Context) (map[keys.Host]string, error)
	// PutHost registers a host. It returns the epoch of the store that has the
	// registration.
	PutHost(ctx context.Context, h keys.Host, ip string) (storeEpoch uint64, err error)
}

// GrantReply is a server's reply to a grant or release.
type GrantReply struct {
	Outcome  owner.Outcome
	Handover string     // state for the next owner of a released range
	Leaving  bool       // the server is about to end
	Pause    clock.Span // for which the server wants no requests
	// Warmup is how much longer the server is cold, if it has stated that.
	Warmup    clock.Span
	HasWarmup bool
	BadWarmup bool   // it has stated an invalid one
	LastConn  uint64 // number of the last connection that was open when the call was sent; 0: not sent
}

// Granter grants key ranges to backend servers and has them release the ranges. The
// calls reach no other server than the named one. health is the path of its health
// requests; empty: it gets none.
type Granter interface {
	Grant(ctx context.Context, g owner.Grant, health string) (GrantReply, error)
	Release(ctx context.Context, r owner.Release, health string) (GrantReply, error)
}
